/* Tests the verdicts on packets: new flows, retransmitted first packets,
 * cookies, overload, and targets that leave. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "affinity_fixture.h"

static void test_cookie_identifies_target(void **);
static void test_copy_goes_to_same_target(void **);
static void test_overload(void **);
static void test_old_answers_are_no_overload(void **);
static void test_fast_answers_are_no_overload(void **);
static void test_moved_flows_are_no_overload(void **);
static void test_utilization_counts_zone_daemons(void **);
static void test_new_flows_after_stall(void **);
static void test_single_unanswered_flow(void **);
static void test_unresponsive_target_becomes_suspect(void **);
static void test_no_route(void **);
static void test_target_gone(void **);
static void test_gone_targets_are_removed(void **);
static void test_unknown_cookie(void **);
static void test_draining_and_missing(void **);
static void test_avoided_target(void **);
static void test_long_lived_flows_distributed_evenly(void **);
static void test_slow_targets_get_no_flows(void **);
static void test_own_zone_first(void **);
static void test_route_change_keeps_flows(void **);

/* Open a flow from port CALLER, check that it is forwarded, and return the
 * host of its target. */
static uint64_t
open_flow(struct affinity_fixture *fixture, uint16_t caller)
{
    send_packet(fixture, caller, AFFINITY_SYN, 0, 0, 0);
    assert_int_equal(fixture->verdict.action, AFFINITY_FORWARD);
    return fixture->verdict.target->host;
}

/* Any daemon finds the target, even if it has not seen the first packet. */
static void
test_cookie_identifies_target(void **state)
{
    struct affinity_fixture fixture = new_fixture(5);
    struct affinity_options options = {.zone = ZONE, .seed = 99};
    uint64_t host = open_flow(&fixture, 7);
    uint32_t cookie = fixture.verdict.target->cookie;

    (void)state;
    affinity_core_free(fixture.core);
    fixture.core = affinity_core_new(&options);
    send_packet(&fixture, 7, AFFINITY_ACK, cookie, 1, 0);
    assert_int_equal(fixture.verdict.action, AFFINITY_FORWARD);
    assert_int_equal(fixture.verdict.target->host, host);
    free_fixture(&fixture);
}

/* A retransmitted first packet goes to the target of the original. */
static void
test_copy_goes_to_same_target(void **state)
{
    struct affinity_fixture fixture = new_fixture(5);
    uint64_t host = open_flow(&fixture, 7);

    (void)state;
    fixture.now_us += 200000;
    assert_int_equal(open_flow(&fixture, 7), host);
    assert_int_equal(fixture.verdict.reason, AFFINITY_REPEATED);
    free_fixture(&fixture);
}

/* Send COUNT requests, one after the other, each answered after TOOK_US. */
static void
answer_requests(struct affinity_fixture *fixture, uint16_t count,
                uint64_t took_us)
{
    for (uint16_t caller = 1; caller <= count; caller++) {
        uint32_t cookie;

        send_packet(fixture, caller, AFFINITY_SYN, 0, 0, 0);
        assert_int_equal(fixture->verdict.action, AFFINITY_FORWARD);
        cookie = fixture->verdict.target->cookie;
        send_packet(fixture, caller, AFFINITY_ACK, cookie, 1, 20);
        fixture->now_us += took_us;
        send_packet(fixture, caller, AFFINITY_ACK, cookie, 50, 0);
        send_packet(fixture, caller, AFFINITY_FIN, cookie, 50, 0);
    }
}

/* Open COUNT flows from ports FIRST on, one every 10 ms, without any answer;
 * return how many are rejected. */
static unsigned
count_rejected(struct affinity_fixture *fixture, uint16_t first,
               uint16_t count)
{
    unsigned rejected = 0;

    for (uint16_t caller = first; caller < first + count; caller++) {
        send_packet(fixture, caller, AFFINITY_SYN, 0, 0, 0);
        if (fixture->verdict.action == AFFINITY_RESET) {
            assert_int_equal(fixture->verdict.reason, AFFINITY_OVERLOAD);
            rejected++;
        }
        fixture->now_us += 10000;
    }
    return rejected;
}

/*
 * Overload: answers take longer than half of the latency objective, and every
 * slot has queued requests.  A load spike is left to the targets' queues.
 * After half a second each new flow above the limit is rejected, until no
 * requests are in progress.
 */
static void
test_overload(void **state)
{
    struct affinity_fixture fixture = new_fixture(1);

    (void)state;
    answer_requests(&fixture, 20, 300000);
    assert_int_equal(count_rejected(&fixture, 100, 50), 0);
    fixture.now_us += 100000;
    assert_int_equal(count_rejected(&fixture, 200, 20), 20);
    fixture.now_us += 5 * SECOND; /* no request is in progress any more */
    affinity_core_tick(fixture.core, fixture.now_us,
                       fixture.catalog_fixture.catalog);
    fixture.now_us += 100000;
    assert_int_equal(count_rejected(&fixture, 300, 20), 0);
    free_fixture(&fixture);
}

/*
 * When nearly all new flows are rejected, no answers come any more.  Answer
 * times older than a second must not count: otherwise rejections would
 * continue although the overload is over.
 */
static void
test_old_answers_are_no_overload(void **state)
{
    struct affinity_fixture fixture = new_fixture(1);

    (void)state;
    answer_requests(&fixture, 20, 300000);
    assert_int_equal(count_rejected(&fixture, 100, 50), 0);
    fixture.now_us += 100000;
    assert_int_equal(count_rejected(&fixture, 200, 20), 20);
    fixture.now_us += 950000;
    assert_int_equal(count_rejected(&fixture, 300, 20), 0);
    free_fixture(&fixture);
}

/* If answers are fast, requests in progress wait for callers or the
 * network. */
static void
test_fast_answers_are_no_overload(void **state)
{
    struct affinity_fixture fixture = new_fixture(1);

    (void)state;
    answer_requests(&fixture, 20, 10000);
    assert_int_equal(count_rejected(&fixture, 100, 90), 0);
    free_fixture(&fixture);
}

/*
 * After the fabric's hash has changed, the answers of most flows pass through
 * other daemons.  Their requests must not count as in progress for long.
 */
static void
test_moved_flows_are_no_overload(void **state)
{
    struct affinity_fixture fixture = new_fixture(1);

    (void)state;
    answer_requests(&fixture, 20, 80000);
    for (uint16_t caller = 100; caller < 130; caller++) {
        open_flow(&fixture, caller);
    }
    for (unsigned second = 0; second < 3; second++) {
        fixture.now_us += 350000;
        affinity_core_tick(fixture.core, fixture.now_us,
                           fixture.catalog_fixture.catalog);
        assert_int_equal(
            count_rejected(&fixture, (uint16_t)(200 + 10 * second), 2), 0);
    }
    free_fixture(&fixture);
}

/* A daemon sees only its part of the zone's requests and multiplies it. */
static void
test_utilization_counts_zone_daemons(void **state)
{
    struct affinity_fixture fixture = new_fixture(3);

    (void)state;
    affinity_core_set_zone_daemons(fixture.core, 3);
    answer_requests(&fixture, 20, 300000);
    count_rejected(&fixture, 100, 60);
    assert_true(fixture.verdict.utilization >= 3.0);
    assert_int_equal(fixture.verdict.reason, AFFINITY_OVERLOAD);
    free_fixture(&fixture);
}

/* First packets queued during a stall are dropped: copies have gone
 * elsewhere. */
static void
test_new_flows_after_stall(void **state)
{
    struct affinity_fixture fixture = new_fixture(2);
    uint32_t cookie;

    (void)state;
    open_flow(&fixture, 1);
    cookie = fixture.verdict.target->cookie;
    fixture.now_us += 3 * SECOND;
    send_packet(&fixture, 2, AFFINITY_SYN, 0, 0, 0);
    assert_int_equal(fixture.verdict.action, AFFINITY_DROP);
    assert_int_equal(fixture.verdict.reason, AFFINITY_STALE);
    send_packet(&fixture, 1, AFFINITY_ACK, cookie, 1, 0);
    assert_int_equal(fixture.verdict.action, AFFINITY_FORWARD);
    fixture.now_us += 100000;
    open_flow(&fixture, 2);
    free_fixture(&fixture);
}

/* A single unanswered flow does not make a target suspect. */
static void
test_single_unanswered_flow(void **state)
{
    struct affinity_fixture fixture = new_fixture(2);
    uint64_t host = open_flow(&fixture, 1);

    (void)state;
    for (int copy = 1; copy <= 2; copy++) {
        fixture.now_us += (uint64_t)copy * 200000;
        affinity_core_tick(fixture.core, fixture.now_us - 100000,
                           fixture.catalog_fixture.catalog);
        assert_int_equal(open_flow(&fixture, 1), host);
        assert_int_equal(fixture.verdict.reason, AFFINITY_REPEATED);
    }
    free_fixture(&fixture);
}

/* A target that answers no flow becomes suspect, then is tried again. */
static void
test_unresponsive_target_becomes_suspect(void **state)
{
    struct affinity_fixture fixture = new_fixture(2);
    uint64_t silent = open_flow(&fixture, 1);
    uint16_t caller = 2;

    (void)state;
    while (open_flow(&fixture, caller) != silent) {
        caller++;
    }
    fixture.now_us += 200000;
    assert_int_equal(open_flow(&fixture, 1), silent);
    assert_int_not_equal(open_flow(&fixture, caller), silent);
    assert_int_equal(fixture.verdict.reason, AFFINITY_PLACED_AGAIN);
    for (caller = 100; caller < 120; caller++) {
        assert_int_not_equal(open_flow(&fixture, caller), silent);
        send_packet(&fixture, caller, AFFINITY_ACK,
                    fixture.verdict.target->cookie, 1, 0);
        send_packet(&fixture, caller, AFFINITY_FIN,
                    fixture.verdict.target->cookie, 1, 0);
    }
    for (int tick = 0; tick < 20; tick++) {
        fixture.now_us += 100000;
        affinity_core_tick(fixture.core, fixture.now_us,
                           fixture.catalog_fixture.catalog);
    }
    for (caller = 200; open_flow(&fixture, caller) != silent; caller++) {
        assert_true(caller < 220);
    }
    free_fixture(&fixture);
}

/* A new flow without a route is reset. */
static void
test_no_route(void **state)
{
    struct affinity_fixture fixture = new_fixture(1);

    (void)state;
    replace(&fixture.catalog_fixture, 2, "desk", 0);
    send_packet(&fixture, 7, AFFINITY_SYN, 0, 0, 0);
    assert_int_equal(fixture.verdict.action, AFFINITY_RESET);
    assert_int_equal(fixture.verdict.reason, AFFINITY_NO_ROUTE);
    free_fixture(&fixture);
}

/* A flow is reset once its target has left, but not after the host has
 * announced itself again. */
static void
test_target_gone(void **state)
{
    struct affinity_fixture fixture = new_fixture(1);
    struct catalog_target leaving = make_target(1, 100, 0, "desk");
    uint32_t cookie;

    (void)state;
    open_flow(&fixture, 7);
    cookie = fixture.verdict.target->cookie;
    apply_target_command(&fixture.catalog_fixture, CATALOG_LEAVE, &leaving);
    send_packet(&fixture, 7, AFFINITY_ACK, cookie, 1, 10);
    assert_int_equal(fixture.verdict.action, AFFINITY_RESET);
    assert_int_equal(fixture.verdict.reason, AFFINITY_TARGET_GONE);
    announce(&fixture.catalog_fixture, 1, 200, 1, "desk");
    send_packet(&fixture, 7, AFFINITY_ACK, cookie, 1, 10);
    assert_int_equal(fixture.verdict.action, AFFINITY_FORWARD);
    free_fixture(&fixture);
}

/* No state of gone targets remains, even if flows to them were open. */
static void
test_gone_targets_are_removed(void **state)
{
    struct affinity_fixture fixture = new_fixture(1);

    (void)state;
    for (uint64_t host = 2; host < 100; host++) {
        struct catalog_target leaving = make_target(host - 1, 100, 0, "desk");

        announce(&fixture.catalog_fixture, host, 100, 1, "desk");
        open_flow(&fixture, (uint16_t)host);
        apply_target_command(&fixture.catalog_fixture, CATALOG_LEAVE,
                             &leaving);
        affinity_core_catalog_changed(fixture.core, fixture.now_us,
                                      fixture.catalog_fixture.catalog);
    }
    fixture.now_us += 60 * SECOND;
    for (int tick = 0; tick < 2; tick++) {
        fixture.now_us += SECOND;
        affinity_core_tick(fixture.core, fixture.now_us,
                           fixture.catalog_fixture.catalog);
    }
    assert_int_equal(affinity_core_flow_count(fixture.core), 0);
    assert_int_equal(affinity_core_target_count(fixture.core), 1);
    free_fixture(&fixture);
}

/* Packets with an unknown cookie or none are dropped. */
static void
test_unknown_cookie(void **state)
{
    struct affinity_fixture fixture = new_fixture(1);

    (void)state;
    send_packet(&fixture, 7, AFFINITY_ACK, catalog_cookie(1) + 1, 1, 0);
    assert_int_equal(fixture.verdict.action, AFFINITY_DROP);
    send_packet(&fixture, 7, AFFINITY_ACK, 0, 1, 0);
    assert_int_equal(fixture.verdict.action, AFFINITY_DROP);
    free_fixture(&fixture);
}

/* Draining and missing targets get no new flows while there are others. */
static void
test_draining_and_missing(void **state)
{
    struct affinity_fixture fixture = new_fixture(3);
    struct catalog_target draining = make_target(1, 100, 2, "desk");
    struct catalog_target missing = make_target(2, 100, 0, "desk");

    (void)state;
    draining.state = CATALOG_DRAINING;
    missing.missing = true;
    apply_target_command(&fixture.catalog_fixture, CATALOG_ANNOUNCE,
                         &draining);
    apply_target_command(&fixture.catalog_fixture, CATALOG_PRESENCE, &missing);
    for (uint16_t caller = 1; caller < 30; caller++) {
        assert_int_equal(open_flow(&fixture, caller), 3);
    }
    /* A missing target is used if there is no other, a draining one never. */
    missing.host = 3;
    apply_target_command(&fixture.catalog_fixture, CATALOG_PRESENCE, &missing);
    for (uint16_t caller = 100; caller < 130; caller++) {
        assert_int_not_equal(open_flow(&fixture, caller), 1);
    }
    free_fixture(&fixture);
}

/* A target that may be leaving gets no new flow, even if it is the only
 * one. */
static void
test_avoided_target(void **state)
{
    struct affinity_fixture fixture = new_fixture(2);

    (void)state;
    affinity_core_avoid(fixture.core, 1);
    for (uint16_t caller = 1; caller <= 8; caller++) {
        send_packet(&fixture, caller, AFFINITY_SYN, 0, 0, 0);
        assert_int_equal(fixture.verdict.target->host, 2);
    }
    affinity_core_avoid(fixture.core, 2);
    send_packet(&fixture, 9, AFFINITY_SYN, 0, 0, 0);
    assert_int_equal(fixture.verdict.reason, AFFINITY_NO_TARGET);
    affinity_core_clear_avoided(fixture.core);
    send_packet(&fixture, 10, AFFINITY_SYN, 0, 0, 0);
    assert_int_equal(fixture.verdict.action, AFFINITY_FORWARD);
    free_fixture(&fixture);
}

/* Flows that carry several requests are distributed evenly. */
static void
test_long_lived_flows_distributed_evenly(void **state)
{
    struct affinity_fixture fixture = new_fixture(5);
    unsigned flows[6] = {0};

    (void)state;
    for (uint16_t caller = 1; caller <= 300; caller++) {
        uint32_t cookie;

        flows[open_flow(&fixture, caller)]++;
        cookie = fixture.verdict.target->cookie;
        send_packet(&fixture, caller, AFFINITY_ACK, cookie, 1, 0);
        send_packet(&fixture, caller, AFFINITY_ACK, cookie, 1, 20);
        send_packet(&fixture, caller, AFFINITY_ACK, cookie, 50, 0);
        send_packet(&fixture, caller, AFFINITY_ACK, cookie, 50, 20);
        send_packet(&fixture, caller, AFFINITY_ACK, cookie, 90, 0);
    }
    for (int host = 1; host <= 5; host++) {
        assert_in_range(flows[host], 50, 70);
    }
    free_fixture(&fixture);
}

/* Other zones get new flows only when the targets of this zone are busy. */
static void
test_own_zone_first(void **state)
{
    struct affinity_fixture fixture = new_fixture(2);
    struct catalog_target remote = make_target(9, 100, 1, "desk");
    unsigned remotes = 0;

    (void)state;
    remote.zone = ZONE + 1;
    apply_target_command(&fixture.catalog_fixture, CATALOG_ANNOUNCE, &remote);
    for (uint16_t caller = 1; caller <= 4; caller++) {
        assert_int_not_equal(open_flow(&fixture, caller), 9);
    }
    /* Now each slot of this zone has a request in progress. */
    for (uint16_t caller = 5; caller <= 30; caller++) {
        remotes += open_flow(&fixture, caller) == 9 ? 1 : 0;
    }
    assert_true(remotes >= 5);
    free_fixture(&fixture);
}

/* A changed route applies to new flows only. */
static void
test_route_change_keeps_flows(void **state)
{
    struct affinity_fixture fixture = new_fixture(2);
    uint64_t host = open_flow(&fixture, 7);
    uint32_t cookie = fixture.verdict.target->cookie;

    (void)state;
    announce(&fixture.catalog_fixture, 20, 100, 1, "other");
    replace(&fixture.catalog_fixture, 2, "other", 1);
    send_packet(&fixture, 7, AFFINITY_ACK, cookie, 1, 0);
    assert_int_equal(fixture.verdict.target->host, host);
    assert_int_equal(open_flow(&fixture, 8), 20);
    free_fixture(&fixture);
}

/*
 * Two of five targets take five times as long as the others, and requests pile
 * up there.  The others get the new flows, and none is refused: what waits at
 * the slow targets says nothing of the others.
 */
static void
test_slow_targets_get_no_flows(void **state)
{
    struct affinity_fixture fixture = new_fixture(5);
    uint64_t hosts[101] = {0};
    uint32_t cookies[101] = {0};

    (void)state;
    for (uint16_t port = 1; port <= 100; port++) {
        hosts[port] = open_flow(&fixture, port);
        cookies[port] = fixture.verdict.target->cookie;
    }
    for (uint32_t round = 1; round <= 8; round++) {
        for (uint16_t port = 1; port <= 100; port++) {
            send_packet(&fixture, port, AFFINITY_ACK, cookies[port], round,
                        10);
        }
        for (uint64_t slow = 0; slow <= 1; slow++) {
            fixture.now_us += slow == 0 ? 40000 : 160000;
            for (uint16_t port = 1; port <= 100; port++) {
                if ((hosts[port] > 3) == (slow == 1)) {
                    send_packet(&fixture, port, AFFINITY_ACK, cookies[port],
                                round + 1, 0);
                }
            }
        }
    }
    for (uint16_t port = 1; port <= 100; port++) {
        if (hosts[port] > 3) {
            send_packet(&fixture, port, AFFINITY_ACK, cookies[port], 9, 10);
        }
    }
    for (uint16_t port = 200; port < 260; port++) {
        fixture.now_us += 10000;
        assert_in_range(open_flow(&fixture, port), 1, 3);
    }
    free_fixture(&fixture);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_cookie_identifies_target),
        cmocka_unit_test(test_copy_goes_to_same_target),
        cmocka_unit_test(test_overload),
        cmocka_unit_test(test_old_answers_are_no_overload),
        cmocka_unit_test(test_fast_answers_are_no_overload),
        cmocka_unit_test(test_moved_flows_are_no_overload),
        cmocka_unit_test(test_utilization_counts_zone_daemons),
        cmocka_unit_test(test_new_flows_after_stall),
        cmocka_unit_test(test_single_unanswered_flow),
        cmocka_unit_test(test_unresponsive_target_becomes_suspect),
        cmocka_unit_test(test_no_route),
        cmocka_unit_test(test_target_gone),
        cmocka_unit_test(test_gone_targets_are_removed),
        cmocka_unit_test(test_unknown_cookie),
        cmocka_unit_test(test_draining_and_missing),
        cmocka_unit_test(test_avoided_target),
        cmocka_unit_test(test_long_lived_flows_distributed_evenly),
        cmocka_unit_test(test_slow_targets_get_no_flows),
        cmocka_unit_test(test_own_zone_first),
        cmocka_unit_test(test_route_change_keeps_flows),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
