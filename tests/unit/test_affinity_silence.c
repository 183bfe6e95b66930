/*
 * Tests what follows when a target falls silent without a word: its flows are
 * reset, new ones go elsewhere, and it is used again once it answers.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "affinity_fixture.h"

#define FLOWS     30
#define TARGETS   5
#define STEP_US   20000 /* between looks for probes */
#define SILENT_US 800000

/* Targets that do not answer: bit HOST is set. */
struct silence {
    struct affinity_fixture fixture;
    unsigned dead;
    uint64_t hosts[FLOWS + 1];
    uint32_t cookies[FLOWS + 1];
    unsigned resets;
    unsigned silent; /* bits of hosts taken for dead */
};

static void test_flows_of_dead_target_are_reset(void **);
static void test_new_flows_avoid_dead_target(void **);
static void test_unknown_flow_of_dead_target(void **);
static void test_moved_flows_reveal_dead_target(void **);
static void test_slow_target_keeps_flows(void **);
static void test_end_of_flow_acknowledges_answer(void **);
static void test_late_acknowledgement(void **);
static void test_zone_out_of_reach(void **);
static void test_silent_target_answers_again(void **);
static void test_target_starts_again(void **);

/* Open a flow from each of the ports 1 to FLOWS, and let every target answer
 * a request. */
static struct silence
open_flows(void)
{
    struct silence silence = {.fixture = new_fixture(TARGETS)};
    struct affinity_fixture *fixture = &silence.fixture;

    for (uint16_t port = 1; port <= FLOWS; port++) {
        send_packet(fixture, port, AFFINITY_SYN, 0, 0, 0);
        silence.hosts[port] = fixture->verdict.target->host;
        silence.cookies[port] = fixture->verdict.target->cookie;
        send_packet(fixture, port, AFFINITY_ACK, silence.cookies[port], 1, 10);
        fixture->now_us += 10000;
        send_packet(fixture, port, AFFINITY_ACK, silence.cookies[port], 2, 0);
    }
    return silence;
}

/* Report the outcomes of the probes that are due. */
static void
run_probes(struct silence *silence)
{
    struct affinity_fixture *fixture = &silence->fixture;
    struct affinity_probe probes[64];
    size_t count = affinity_core_due_probes(fixture->core, fixture->now_us,
                                            fixture->catalog_fixture.catalog,
                                            probes, G_N_ELEMENTS(probes));

    for (size_t i = 0; i < count; i++) {
        bool dead = (silence->dead >> probes[i].host & 1) != 0;

        affinity_core_record_probe(
            fixture->core, fixture->now_us, &probes[i],
            dead ? AFFINITY_PROBE_TIMED_OUT : AFFINITY_PROBE_CONNECTED, 1000);
    }
}

/* Let TIME_US pass, with a request on the flow from port 1 at its begin. */
static void
pass_time(struct silence *silence, uint64_t time_us)
{
    struct affinity_fixture *fixture = &silence->fixture;
    struct affinity_belief belief;
    struct affinity_packet packet;

    send_packet(fixture, 1, AFFINITY_ACK, silence->cookies[1], 2, 10);
    for (uint64_t at = 0; at < time_us; at += STEP_US) {
        fixture->now_us += STEP_US;
        run_probes(silence);
        while (affinity_core_next_belief(fixture->core, &belief)) {
            unsigned bit = 1U << belief.host;

            silence->silent = belief.kind == AFFINITY_BELIEF_SILENT
                                  ? silence->silent | bit
                                  : silence->silent & ~bit;
        }
        while (affinity_core_next_reset(fixture->core, &packet)) {
            assert_int_equal(silence->hosts[packet.source_port],
                             silence->hosts[1]);
            silence->resets++;
        }
    }
}

/* Return the number of open flows on the target of the flow from port 1. */
static unsigned
count_flows(const struct silence *silence)
{
    unsigned count = 0;

    for (int port = 1; port <= FLOWS; port++) {
        count += silence->hosts[port] == silence->hosts[1] ? 1 : 0;
    }
    return count;
}

/* One request goes unanswered; all flows of the target end, idle ones too. */
static void
test_flows_of_dead_target_are_reset(void **state)
{
    struct silence silence = open_flows();

    (void)state;
    silence.dead = 1U << silence.hosts[1];
    pass_time(&silence, SILENT_US);
    assert_int_equal(silence.silent, silence.dead);
    assert_int_equal(silence.resets, count_flows(&silence));
    free_fixture(&silence.fixture);
}

/* From the first unanswered probe on, other targets get all new flows. */
static void
test_new_flows_avoid_dead_target(void **state)
{
    struct silence silence = open_flows();

    (void)state;
    silence.dead = 1U << silence.hosts[1];
    pass_time(&silence, 160000);
    assert_int_equal(silence.silent, 0);
    for (uint16_t port = 100; port < 140; port++) {
        send_packet(&silence.fixture, port, AFFINITY_SYN, 0, 0, 0);
        assert_int_not_equal(silence.fixture.verdict.target->host,
                             silence.hosts[1]);
    }
    free_fixture(&silence.fixture);
}

/* A packet of a flow that moved here with the fabric's hash is answered by a
 * reset as well. */
static void
test_unknown_flow_of_dead_target(void **state)
{
    struct silence silence = open_flows();

    (void)state;
    silence.dead = 1U << silence.hosts[1];
    pass_time(&silence, SILENT_US);
    send_packet(&silence.fixture, 999, AFFINITY_ACK, silence.cookies[1], 7, 9);
    assert_int_equal(silence.fixture.verdict.action, AFFINITY_RESET);
    assert_int_equal(silence.fixture.verdict.reason, AFFINITY_TARGET_SILENT);
    free_fixture(&silence.fixture);
}

/* All flows have moved here with the fabric's hash: their requests show that a
 * target is dead, and its flows that were seen are reset. */
static void
test_moved_flows_reveal_dead_target(void **state)
{
    struct affinity_options options = {.zone = ZONE, .seed = 99};
    struct silence silence = open_flows();
    struct affinity_fixture *fixture = &silence.fixture;

    (void)state;
    affinity_core_free(fixture->core);
    fixture->core = affinity_core_new(&options);
    for (uint16_t port = 1; port <= FLOWS; port++) {
        send_packet(fixture, port, AFFINITY_ACK, silence.cookies[port], 2, 10);
        fixture->now_us += 10000;
        send_packet(fixture, port, AFFINITY_ACK, silence.cookies[port], 3, 0);
    }
    silence.dead = 1U << silence.hosts[1];
    pass_time(&silence, SILENT_US);
    assert_int_equal(silence.silent, silence.dead);
    assert_int_equal(silence.resets, count_flows(&silence));
    free_fixture(fixture);
}

/* A target that accepts connections is alive, however late its answers. */
static void
test_slow_target_keeps_flows(void **state)
{
    struct silence silence = open_flows();

    (void)state;
    pass_time(&silence, UINT64_C(10) * SECOND);
    assert_int_equal(silence.silent, 0);
    assert_int_equal(silence.resets, 0);
    free_fixture(&silence.fixture);
}

/* A caller may acknowledge the answer with the packet that ends its flow. */
static void
test_end_of_flow_acknowledges_answer(void **state)
{
    struct silence silence = open_flows();
    struct affinity_fixture *fixture = &silence.fixture;
    struct affinity_probe probes[64];

    (void)state;
    send_packet(fixture, 1, AFFINITY_ACK, silence.cookies[1], 2, 10);
    fixture->now_us += 20000;
    send_packet(fixture, 1, AFFINITY_ACK | AFFINITY_FIN, silence.cookies[1], 3,
                0);
    fixture->now_us += SECOND;
    assert_int_equal(affinity_core_due_probes(fixture->core, fixture->now_us,
                                              fixture->catalog_fixture.catalog,
                                              probes, G_N_ELEMENTS(probes)),
                     0);
    free_fixture(fixture);
}

/* The acknowledgement of an answer from before, on a flow that was idle since,
 * is no sign of life: the first one may have been lost. */
static void
test_late_acknowledgement(void **state)
{
    struct silence silence = open_flows();
    uint16_t other = 2;

    (void)state;
    while (silence.hosts[other] != silence.hosts[1]) {
        other++;
    }
    silence.dead = 1U << silence.hosts[1];
    pass_time(&silence, 160000);
    send_packet(&silence.fixture, other, AFFINITY_ACK, silence.cookies[1], 3,
                10);
    pass_time(&silence, SILENT_US);
    assert_int_equal(silence.silent, silence.dead);
    free_fixture(&silence.fixture);
}

/* If no target answers, the network is the likely reason: all flows stay. */
static void
test_zone_out_of_reach(void **state)
{
    struct silence silence = open_flows();

    (void)state;
    silence.dead = ~0U;
    pass_time(&silence, UINT64_C(10) * SECOND);
    assert_int_equal(silence.silent, 0);
    assert_int_equal(silence.resets, 0);
    free_fixture(&silence.fixture);
}

/* A target that accepts connections again gets flows again. */
static void
test_silent_target_answers_again(void **state)
{
    struct silence silence = open_flows();

    (void)state;
    silence.dead = 1U << silence.hosts[1];
    pass_time(&silence, SILENT_US);
    assert_int_equal(silence.silent, silence.dead);
    silence.dead = 0;
    pass_time(&silence, UINT64_C(2) * SECOND);
    assert_int_equal(silence.silent, 0);
    free_fixture(&silence.fixture);
}

/* A new incarnation of the target is not taken for dead. */
static void
test_target_starts_again(void **state)
{
    struct silence silence = open_flows();
    struct affinity_fixture *fixture = &silence.fixture;

    (void)state;
    silence.dead = 1U << silence.hosts[1];
    pass_time(&silence, SILENT_US);
    announce(&fixture->catalog_fixture, silence.hosts[1], 200, 1, "desk");
    affinity_core_catalog_changed(fixture->core, fixture->now_us,
                                  fixture->catalog_fixture.catalog);
    send_packet(fixture, 999, AFFINITY_ACK, silence.cookies[1], 7, 9);
    assert_int_equal(fixture->verdict.action, AFFINITY_FORWARD);
    free_fixture(fixture);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_flows_of_dead_target_are_reset),
        cmocka_unit_test(test_new_flows_avoid_dead_target),
        cmocka_unit_test(test_unknown_flow_of_dead_target),
        cmocka_unit_test(test_moved_flows_reveal_dead_target),
        cmocka_unit_test(test_slow_target_keeps_flows),
        cmocka_unit_test(test_end_of_flow_acknowledges_answer),
        cmocka_unit_test(test_late_acknowledgement),
        cmocka_unit_test(test_zone_out_of_reach),
        cmocka_unit_test(test_silent_target_answers_again),
        cmocka_unit_test(test_target_starts_again),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
