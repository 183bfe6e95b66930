/* One flow core: verdicts, isolation, limits, resets, closing. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <netinet/in.h>

#include <cmocka.h>

#include "flow/flow_core.h"

#define ROUTE   0xc0a80001u
#define CALLER  0x64000001u
#define TARGET  0x0a000001u
#define FOREIGN 0x0a000063u
#define FIN     0x01
#define SYN     0x02
#define RST     0x04
#define ACK     0x10
#define SECOND  1000000

struct fixture {
    struct flow_core *core;
    uint64_t now;
    struct target_view targets[3];
    struct pool_view pool;
    struct route_view route;
};

static void step(struct fixture *, const struct flow_event *);
static void tick(struct fixture *, int);
static void tell_pool(struct fixture *);
static int setup(void **);
static int teardown(void **);
static struct flow_verdict caller(struct fixture *, uint16_t port,
                                  uint8_t flags);
static struct flow_verdict answer(struct fixture *, uint32_t from,
                                  uint16_t port, uint8_t flags);
static uint64_t flows(const struct fixture *);

static void
step(struct fixture *fixture, const struct flow_event *event)
{
    struct flow_actions actions = {0};

    flow_core_step(fixture->core, fixture->now, event, &actions);
    flow_actions_free(&actions);
}

static void
tick(struct fixture *fixture, int count)
{
    struct flow_event event = {.kind = FLOW_EV_TICK};

    for (int i = 0; i < count; i++) {
        fixture->now += 50000;
        step(fixture, &event);
    }
}

static void
tell_pool(struct fixture *fixture)
{
    struct flow_event event = {.kind = FLOW_EV_POOL};

    event.u.pool = &fixture->pool;
    step(fixture, &event);
    tick(fixture, 3);
}

/* A core that leads a pool of three targets, alone. */
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
    fixture->now = SECOND;
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
    tell_pool(fixture);
    *state = fixture;
    return 0;
}

static int
teardown(void **state)
{
    struct fixture *fixture = *state;

    flow_core_free(fixture->core);
    g_free(fixture);
    return 0;
}

static struct flow_verdict
caller(struct fixture *fixture, uint16_t port, uint8_t flags)
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

    return flow_core_packet(fixture->core, fixture->now, &packet);
}

static struct flow_verdict
answer(struct fixture *fixture, uint32_t from, uint16_t port, uint8_t flags)
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

    return flow_core_packet(fixture->core, fixture->now, &packet);
}

static uint64_t
flows(const struct fixture *fixture)
{
    return flow_core_counters(fixture->core)->flows;
}

static void
test_open_and_close(void **state)
{
    struct fixture *fixture = *state;
    struct flow_verdict opened = caller(fixture, 1000, SYN);
    struct flow_verdict later;

    assert_int_equal(opened.kind, FLOW_FORWARD);
    assert_int_equal(opened.port, 6081);
    assert_int_equal(flows(fixture), 1);
    assert_int_equal(answer(fixture, opened.address, 1000, SYN | ACK).kind,
                     FLOW_DELIVER);
    later = caller(fixture, 1000, ACK);
    assert_int_equal(later.address, opened.address);
    caller(fixture, 1000, FIN | ACK);
    assert_int_equal(flows(fixture), 1);
    answer(fixture, opened.address, 1000, FIN | ACK);
    assert_int_equal(flows(fixture), 0);
    later = caller(fixture, 1000, ACK);
    assert_int_equal(later.kind, FLOW_FORWARD);
    assert_int_equal(later.address, opened.address);
}

static void
test_unanswered_opening_is_forgotten(void **state)
{
    struct fixture *fixture = *state;

    caller(fixture, 1000, SYN);
    tick(fixture, 20 * 75);
    assert_int_equal(flows(fixture), 0);
    assert_int_equal(flow_core_counters(fixture->core)->expired, 1);
}

static void
test_reset_from_another_target_closes_nothing(void **state)
{
    struct fixture *fixture = *state;
    struct flow_verdict opened = caller(fixture, 1000, SYN);
    uint32_t other = opened.address == TARGET ? TARGET + 1 : TARGET;

    answer(fixture, other, 1000, RST);
    assert_int_equal(flows(fixture), 1);
    answer(fixture, opened.address, 1000, RST);
    assert_int_equal(flows(fixture), 0);
}

static void
test_isolation(void **state)
{
    struct fixture *fixture = *state;
    struct flow_packet packet = {.src = CALLER,
                                 .dst = ROUTE + 1,
                                 .protocol = IPPROTO_TCP,
                                 .tcp_flags = SYN};
    struct flow_verdict verdict;

    verdict = flow_core_packet(fixture->core, fixture->now, &packet);
    assert_int_equal(verdict.kind, FLOW_DROP);
    assert_int_equal(verdict.reason, FLOW_REASON_NO_ROUTE);
    verdict = answer(fixture, FOREIGN, 1000, ACK);
    assert_int_equal(verdict.kind, FLOW_DROP);
    assert_int_equal(verdict.reason, FLOW_REASON_FOREIGN_ANSWER);
}

/* A target that starts again is another one: its old flows are reset. */
static void
test_restarted_target(void **state)
{
    struct fixture *fixture = *state;
    struct flow_verdict opened = caller(fixture, 1000, SYN);
    struct flow_verdict later;

    fixture->targets[opened.address - TARGET].key.incarnation = 2;
    tell_pool(fixture);
    later = caller(fixture, 1000, ACK);
    assert_int_equal(later.kind, FLOW_RESET);
    assert_int_equal(later.reason, FLOW_REASON_TARGET_GONE);
    assert_int_equal(later.reset.caller_flags, RST);
    assert_int_equal(later.reset.caller_seq, 900);
}

static void
test_draining(void **state)
{
    struct fixture *fixture = *state;
    struct flow_verdict old = caller(fixture, 1, SYN);
    uint32_t drained = old.address;

    fixture->targets[drained - TARGET].state = TARGET_DRAINING;
    tell_pool(fixture);
    for (uint16_t port = 1000; port < 1100; port++) {
        assert_int_not_equal(caller(fixture, port, SYN).address, drained);
    }
    assert_int_equal(caller(fixture, 1, ACK).address, drained);
}

static void
test_full_targets_refuse(void **state)
{
    struct fixture *fixture = *state;
    struct flow_verdict verdict;

    for (int i = 0; i < 3; i++) {
        fixture->targets[i].connections = 2;
    }
    tell_pool(fixture);
    for (uint16_t port = 1; port <= 50; port++) {
        caller(fixture, port, SYN);
        tick(fixture, 2);
    }
    assert_int_equal(flows(fixture), 6);
    verdict = caller(fixture, 60, SYN);
    assert_int_equal(verdict.kind, FLOW_RESET);
    assert_int_equal(verdict.reset.caller_flags, RST | ACK);
    assert_int_equal(verdict.reset.caller_ack, 501);
}

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
    fixture->now += SECOND;
    for (uint16_t port = 1; port <= 20; port++) {
        struct flow_verdict verdict = caller(fixture, port, SYN);

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
        cmocka_unit_test_setup_teardown(test_unanswered_opening_is_forgotten,
                                        setup, teardown),
        cmocka_unit_test_setup_teardown(
            test_reset_from_another_target_closes_nothing, setup, teardown),
        cmocka_unit_test_setup_teardown(test_isolation, setup, teardown),
        cmocka_unit_test_setup_teardown(test_restarted_target, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_draining, setup, teardown),
        cmocka_unit_test_setup_teardown(test_full_targets_refuse, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_route_rate, setup, teardown),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
