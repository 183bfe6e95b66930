/*
 * Tests of a single flow core: verdicts, isolation of routes, limits, resets
 * and closing of flows.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <netinet/in.h>

#include <cmocka.h>

#include "flow/flow_core.h"

#define ROUTE     0xc0a80001u
#define CALLER    0x64000001u
#define TARGET    0x0a000001u
#define FOREIGN   0x0a000063u
#define FIN       0x01
#define SYN       0x02
#define RST       0x04
#define ACK       0x10
#define SECOND_US 1000000

struct fixture {
    struct flow_core *core;
    uint64_t now_us;
    struct target_view targets[3];
    struct pool_view pool;
    struct route_view route;
};

static void step(struct fixture *, const struct flow_event *);
static void tick(struct fixture *, int);
static void send_pool_view(struct fixture *);
static int setup(void **);
static int teardown(void **);
static struct flow_verdict caller_packet(struct fixture *, uint16_t port,
                                         uint8_t flags);
static struct flow_verdict answer_packet(struct fixture *, uint32_t from,
                                         uint16_t port, uint8_t flags);
static uint64_t open_flows(const struct fixture *);

/* Pass EVENT to the core and discard its actions. */
static void
step(struct fixture *fixture, const struct flow_event *event)
{
    struct flow_actions actions = {0};

    flow_core_step(fixture->core, fixture->now_us, event, &actions);
    flow_actions_free(&actions);
}

/* Advance the time by COUNT ticks of 50 ms. */
static void
tick(struct fixture *fixture, int count)
{
    struct flow_event event = {.kind = FLOW_EV_TICK};

    for (int i = 0; i < count; i++) {
        fixture->now_us += 50000;
        step(fixture, &event);
    }
}

/* Send the pool's view to the core and let it publish the map. */
static void
send_pool_view(struct fixture *fixture)
{
    struct flow_event event = {.kind = FLOW_EV_POOL};

    event.u.pool = &fixture->pool;
    step(fixture, &event);
    tick(fixture, 3);
}

/* Create a core that owns a pool of three targets and has no peers. */
static int
setup(void **state)
{
    struct fixture *fixture = g_new0(struct fixture, 1);
    struct flow_options options = {.self = {1}, .seed = 1, .buckets = 64};
    struct daemon_view daemon = {
        .id = {1}, .incarnation = 1, .state = DAEMON_ALIVE, .entry = true};
    struct flow_event routes = {.kind = FLOW_EV_ROUTES};
    struct flow_event daemons = {.kind = FLOW_EV_DAEMONS};

    fixture->core = flow_core_new(&options);
    fixture->now_us = SECOND_US;
    for (uint32_t i = 0; i < 3; i++) {
        fixture->targets[i].key.address = TARGET + i;
        fixture->targets[i].key.incarnation = 1;
        fixture->targets[i].port = 6081;
        fixture->targets[i].weight = 100;
        fixture->targets[i].connections = 100;
    }
    fixture->pool.id.value = 7;
    fixture->pool.target_count = 3;
    fixture->pool.targets = fixture->targets;
    fixture->route.address = ROUTE;
    fixture->route.pool.value = 7;
    routes.u.routes.items = &fixture->route;
    routes.u.routes.count = 1;
    routes.u.routes.version = 1;
    daemons.u.daemons.items = &daemon;
    daemons.u.daemons.count = 1;
    step(fixture, &routes);
    step(fixture, &daemons);
    send_pool_view(fixture);
    *state = fixture;
    return 0;
}

/* Free the core. */
static int
teardown(void **state)
{
    struct fixture *fixture = *state;

    flow_core_free(fixture->core);
    g_free(fixture);
    return 0;
}

/* Return the verdict on a TCP packet of the caller with FLAGS. */
static struct flow_verdict
caller_packet(struct fixture *fixture, uint16_t port, uint8_t flags)
{
    struct flow_packet packet = {
        .src = CALLER,
        .src_port = port,
        .dst = ROUTE,
        .dst_port = 443,
        .protocol = IPPROTO_TCP,
        .tcp_flags = flags,
        .tcp_seq = 500,
        .tcp_ack = 900,
        .outer_src = 1,
    };

    return flow_core_packet(fixture->core, fixture->now_us, &packet);
}

/* Return the verdict on a TCP packet to the caller that the host FROM sent. */
static struct flow_verdict
answer_packet(struct fixture *fixture, uint32_t from, uint16_t port,
              uint8_t flags)
{
    struct flow_packet packet = {
        .src = ROUTE,
        .src_port = 443,
        .dst = CALLER,
        .dst_port = port,
        .protocol = IPPROTO_TCP,
        .tcp_flags = flags,
        .outer_src = from,
    };

    return flow_core_packet(fixture->core, fixture->now_us, &packet);
}

/* Return the number of open flows. */
static uint64_t
open_flows(const struct fixture *fixture)
{
    return flow_core_counters(fixture->core)->flows;
}

/*
 * A flow is closed when both ends have sent FIN; late packets still reach its
 * target.
 */
static void
test_open_and_close(void **state)
{
    struct fixture *fixture = *state;
    struct flow_verdict opened = caller_packet(fixture, 1000, SYN);
    struct flow_verdict later;

    assert_int_equal(opened.kind, FLOW_FORWARD);
    assert_int_equal(opened.port, 6081);
    assert_int_equal(open_flows(fixture), 1);
    assert_int_equal(
        answer_packet(fixture, opened.address, 1000, SYN | ACK).kind,
        FLOW_DELIVER);
    later = caller_packet(fixture, 1000, ACK);
    assert_int_equal(later.address, opened.address);
    caller_packet(fixture, 1000, FIN | ACK);
    assert_int_equal(open_flows(fixture), 1);
    answer_packet(fixture, opened.address, 1000, FIN | ACK);
    assert_int_equal(open_flows(fixture), 0);
    later = caller_packet(fixture, 1000, ACK);
    assert_int_equal(later.kind, FLOW_FORWARD);
    assert_int_equal(later.address, opened.address);
}

/* A flow whose SYN gets no answer is removed after 60 s. */
static void
test_unanswered_flow_expires(void **state)
{
    struct fixture *fixture = *state;

    caller_packet(fixture, 1000, SYN);
    tick(fixture, 20 * 75);
    assert_int_equal(open_flows(fixture), 0);
    assert_int_equal(flow_core_counters(fixture->core)->expired, 1);
}

/* A RST closes a flow only if the flow's target sent it. */
static void
test_reset_from_other_target_is_ignored(void **state)
{
    struct fixture *fixture = *state;
    struct flow_verdict opened = caller_packet(fixture, 1000, SYN);
    uint32_t other = opened.address == TARGET ? TARGET + 1 : TARGET;

    answer_packet(fixture, other, 1000, RST);
    assert_int_equal(open_flows(fixture), 1);
    answer_packet(fixture, opened.address, 1000, RST);
    assert_int_equal(open_flows(fixture), 0);
}

/*
 * Packets to an address without a route, and answers of hosts that are no
 * target of the route, are dropped.
 */
static void
test_isolation(void **state)
{
    struct fixture *fixture = *state;
    struct flow_packet packet = {.src = CALLER,
                                 .dst = ROUTE + 1,
                                 .protocol = IPPROTO_TCP,
                                 .tcp_flags = SYN};
    struct flow_verdict verdict;

    verdict = flow_core_packet(fixture->core, fixture->now_us, &packet);
    assert_int_equal(verdict.kind, FLOW_DROP);
    assert_int_equal(verdict.reason, FLOW_REASON_NO_ROUTE);
    verdict = answer_packet(fixture, FOREIGN, 1000, ACK);
    assert_int_equal(verdict.kind, FLOW_DROP);
    assert_int_equal(verdict.reason, FLOW_REASON_FOREIGN_ANSWER);
}

/* A restarted target has a new incarnation: its old flows are reset. */
static void
test_flows_of_restarted_target_are_reset(void **state)
{
    struct fixture *fixture = *state;
    struct flow_verdict opened = caller_packet(fixture, 1000, SYN);
    struct flow_verdict later;

    fixture->targets[opened.address - TARGET].key.incarnation = 2;
    send_pool_view(fixture);
    later = caller_packet(fixture, 1000, ACK);
    assert_int_equal(later.kind, FLOW_RESET);
    assert_int_equal(later.reason, FLOW_REASON_TARGET_GONE);
    assert_int_equal(later.reset.caller_flags, RST);
    assert_int_equal(later.reset.caller_seq, 900);
}

/* A draining target gets no new flows and keeps its old ones. */
static void
test_draining_target_keeps_flows(void **state)
{
    struct fixture *fixture = *state;
    struct flow_verdict old = caller_packet(fixture, 1, SYN);
    uint32_t drained = old.address;

    fixture->targets[drained - TARGET].state = TARGET_DRAINING;
    send_pool_view(fixture);
    for (uint16_t port = 1000; port < 1100; port++) {
        assert_int_not_equal(caller_packet(fixture, port, SYN).address,
                             drained);
    }
    assert_int_equal(caller_packet(fixture, 1, ACK).address, drained);
}

/* When every target has its maximum of connections, new flows are reset. */
static void
test_full_targets_reject(void **state)
{
    struct fixture *fixture = *state;
    struct flow_verdict verdict;

    for (int i = 0; i < 3; i++) {
        fixture->targets[i].connections = 2;
    }
    send_pool_view(fixture);
    for (uint16_t port = 1; port <= 50; port++) {
        caller_packet(fixture, port, SYN);
        tick(fixture, 2);
    }
    assert_int_equal(open_flows(fixture), 6);
    verdict = caller_packet(fixture, 60, SYN);
    assert_int_equal(verdict.kind, FLOW_RESET);
    assert_int_equal(verdict.reset.caller_flags, RST | ACK);
    assert_int_equal(verdict.reset.caller_ack, 501);
}

/* New flows above the route's limit per second are reset. */
static void
test_route_rate(void **state)
{
    struct fixture *fixture = *state;
    struct flow_event routes = {.kind = FLOW_EV_ROUTES};
    int opened = 0;

    fixture->route.new_flows_per_s = 5;
    routes.u.routes.items = &fixture->route;
    routes.u.routes.count = 1;
    routes.u.routes.version = 2;
    step(fixture, &routes);
    fixture->now_us += SECOND_US;
    for (uint16_t port = 1; port <= 20; port++) {
        struct flow_verdict verdict = caller_packet(fixture, port, SYN);

        opened += verdict.kind == FLOW_FORWARD;
        if (verdict.kind != FLOW_FORWARD) {
            assert_int_equal(verdict.reason, FLOW_REASON_ROUTE_RATE);
            assert_int_equal(verdict.kind, FLOW_RESET);
        }
    }
    assert_int_equal(opened, 5);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_open_and_close, setup, teardown),
        cmocka_unit_test_setup_teardown(test_unanswered_flow_expires, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(
            test_reset_from_other_target_is_ignored, setup, teardown),
        cmocka_unit_test_setup_teardown(test_isolation, setup, teardown),
        cmocka_unit_test_setup_teardown(
            test_flows_of_restarted_target_are_reset, setup, teardown),
        cmocka_unit_test_setup_teardown(test_draining_target_keeps_flows,
                                        setup, teardown),
        cmocka_unit_test_setup_teardown(test_full_targets_reject, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_route_rate, setup, teardown),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
