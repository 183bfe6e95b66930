/* Spreading: refusals, zones out of reach, hand-over of targets, codecs. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "base/hash.h"
#include "member/spread.h"
#include "peer/spread_wire.h"

#define SELF  1
#define OTHER 2

/* One core, with the actions of its last step. */
struct fixture {
    struct spread_core *core;
    struct spread_actions actions;
    uint64_t now_us;
};

static void setup_core(struct fixture *, uint64_t version);
static void teardown_core(struct fixture *);
static void step(struct fixture *, const struct spread_event *);
static void view(struct fixture *, enum daemon_state other);
static void receive(struct fixture *, const struct spread_message *);
static void order(struct fixture *, uint64_t term, enum spread_phase,
                  uint64_t from, uint64_t to);
static void announce(struct fixture *, uint64_t pool, uint32_t incarnation);
static unsigned count(const struct fixture *, enum spread_action_kind);
static const struct spread_action *find(const struct fixture *,
                                        enum spread_action_kind);
static void test_older_term(void **);
static void test_older_version(void **);
static void test_unreachable(void **);
static void test_status(void **);
static void test_crossed_reports(void **);
static void test_new_owner(void **);
static void test_refusals(void **);
static void test_wire(void **);

static void
setup_core(struct fixture *fixture, uint64_t version)
{
    struct spread_options options = {
        .self = {SELF},
        .zone = "suva",
        .entry = true,
        .version = version,
        .targets_max = 2,
    };

    memset(fixture, 0, sizeof(*fixture));
    fixture->core = spread_core_new(&options);
    fixture->now_us = 1000000;
    view(fixture, DAEMON_ALIVE);
}

static void
teardown_core(struct fixture *fixture)
{
    spread_actions_clear(&fixture->actions);
    spread_core_free(fixture->core);
}

static void
step(struct fixture *fixture, const struct spread_event *event)
{
    fixture->actions.count = 0;
    fixture->now_us += 50000;
    spread_core_step(fixture->core, fixture->now_us, event, &fixture->actions);
}

/* This daemon in Suva, and another in Nadi in state OTHER_STATE. */
static void
view(struct fixture *fixture, enum daemon_state other_state)
{
    const struct daemon_view daemons[] = {
        {.id = {SELF}, .zone = view_zone_id("suva"), .entry = true},
        {.id = {OTHER},
         .zone = view_zone_id("nadi"),
         .entry = true,
         .state = other_state},
    };
    struct spread_event event = {.kind = SPREAD_EV_VIEW};

    event.u.view.daemons = daemons;
    event.u.view.count = 2;
    step(fixture, &event);
}

static void
receive(struct fixture *fixture, const struct spread_message *message)
{
    struct spread_event event = {.kind = SPREAD_EV_MESSAGE};

    event.u.message.from.value = OTHER;
    event.u.message.message = message;
    step(fixture, &event);
}

static void
order(struct fixture *fixture, uint64_t term, enum spread_phase phase,
      uint64_t from, uint64_t to)
{
    struct spread_message message = {.kind = SPREAD_ORDER, .term = term};

    message.u.order.phase = phase;
    message.u.order.range =
        (struct spread_range){view_zone_id("suva"), 0, UINT64_MAX};
    message.u.order.bytes.from = from;
    message.u.order.bytes.to = to;
    message.u.order.attempt = 1;
    receive(fixture, &message);
}

static void
announce(struct fixture *fixture, uint64_t pool, uint32_t incarnation)
{
    struct spread_event event = {.kind = SPREAD_EV_ANNOUNCED};

    event.u.announced.pool.value = pool;
    event.u.announced.view.key.address = 10;
    event.u.announced.view.key.incarnation = incarnation;
    event.u.announced.life_ms = 3000;
    step(fixture, &event);
}

static unsigned
count(const struct fixture *fixture, enum spread_action_kind kind)
{
    unsigned found = 0;

    for (size_t i = 0; i < fixture->actions.count; i++) {
        found += fixture->actions.items[i].kind == kind;
    }
    return found;
}

static const struct spread_action *
find(const struct fixture *fixture, enum spread_action_kind kind)
{
    for (size_t i = 0; i < fixture->actions.count; i++) {
        if (fixture->actions.items[i].kind == kind) {
            return &fixture->actions.items[i];
        }
    }
    fail();
    return NULL;
}

/* A leader of an older term gets neither phase done, and is told the term. */
static void
test_older_term(void **state)
{
    struct fixture fixture;

    (void)state;
    setup_core(&fixture, 4);
    order(&fixture, 7, SPREAD_STAGE, 4, 5);
    assert_int_equal(count(&fixture, SPREAD_ACT_STAGE), 1);
    order(&fixture, 6, SPREAD_STAGE, 5, 6);
    assert_int_equal(count(&fixture, SPREAD_ACT_STAGE), 0);
    assert_int_equal(find(&fixture, SPREAD_ACT_SEND)->u.send.message.term, 7);
    order(&fixture, 6, SPREAD_FORCE, 5, 5);
    assert_int_equal(count(&fixture, SPREAD_ACT_ACTIVATE), 0);
    assert_int_equal(spread_core_counters(fixture.core)->refused_term, 2);
    order(&fixture, 7, SPREAD_FORCE, 5, 5);
    assert_int_equal(find(&fixture, SPREAD_ACT_ACTIVATE)->u.activate, 5);
    teardown_core(&fixture);
}

/* Neither orders nor differences nor snapshots lead to an older version. */
static void
test_older_version(void **state)
{
    struct spread_message message = {.kind = SPREAD_DIFFERENCE, .active = 3};
    struct fixture fixture;

    (void)state;
    setup_core(&fixture, 4);
    order(&fixture, 7, SPREAD_STAGE, 2, 3);
    assert_int_equal(count(&fixture, SPREAD_ACT_STAGE), 0);
    order(&fixture, 7, SPREAD_FORCE, 3, 3);
    assert_int_equal(count(&fixture, SPREAD_ACT_ACTIVATE), 0);
    message.u.difference.to = 4;
    receive(&fixture, &message);
    assert_int_equal(count(&fixture, SPREAD_ACT_STAGE), 0);
    assert_int_equal(spread_core_counters(fixture.core)->refused_version, 1);
    message.u.difference.to = 9;
    message.active = 9;
    receive(&fixture, &message);
    assert_int_equal(find(&fixture, SPREAD_ACT_STAGE)->u.stage.to, 9);
    assert_int_equal(find(&fixture, SPREAD_ACT_ACTIVATE)->u.activate, 9);
    assert_true(spread_core_caught_up(fixture.core));
    teardown_core(&fixture);
}

static void
test_unreachable(void **state)
{
    struct fixture fixture;
    uint32_t zones[2] = {0};

    (void)state;
    setup_core(&fixture, 0);
    assert_int_equal(spread_core_unreachable_zones(fixture.core, zones, 2), 0);
    view(&fixture, DAEMON_DEAD);
    assert_int_equal(spread_core_unreachable_zones(fixture.core, zones, 2), 1);
    assert_int_equal(zones[0], view_zone_id("nadi"));
    teardown_core(&fixture);
}

/* The leader counts n of m, names what lacks, and does not wait for ever. */
static void
test_status(void **state)
{
    struct spread_event lead = {.kind = SPREAD_EV_LEAD};
    struct spread_event commit = {.kind = SPREAD_EV_COMMITTED};
    struct fixture fixture;
    struct spread_status status;

    (void)state;
    setup_core(&fixture, 0);
    assert_false(spread_core_status(fixture.core, 1, &status));
    lead.u.lead.term = 1;
    lead.u.lead.leading = true;
    step(&fixture, &lead);
    commit.u.committed.to = 1;
    step(&fixture, &commit);
    assert_int_equal(count(&fixture, SPREAD_ACT_IN_FORCE), 0);
    assert_true(spread_core_status(fixture.core, 1, &status));
    assert_int_equal(status.phase, SPREAD_STAGE);
    assert_int_equal(status.done, 1);
    assert_int_equal(status.known, 2);
    assert_int_equal(status.lacking_count, 1);
    assert_int_equal(status.lacking[0].value, OTHER);
    view(&fixture, DAEMON_DEAD);
    step(&fixture, &(struct spread_event){.kind = SPREAD_EV_TICK});
    assert_true(spread_core_status(fixture.core, 1, &status));
    assert_int_equal(status.phase, SPREAD_FORCE);
    assert_int_equal(status.done, 1);
    assert_int_equal(status.known, 1);
    assert_int_equal(spread_core_active(fixture.core), 1);
    teardown_core(&fixture);
}

/* Reports that cross on their way do not undo later ones. */
static void
test_crossed_reports(void **state)
{
    struct spread_event lead = {.kind = SPREAD_EV_LEAD};
    struct spread_event commit = {.kind = SPREAD_EV_COMMITTED};
    struct spread_message report = {.kind = SPREAD_REPORT, .term = 1};
    struct fixture fixture;
    struct spread_status status;

    (void)state;
    setup_core(&fixture, 0);
    lead.u.lead.term = 1;
    lead.u.lead.leading = true;
    step(&fixture, &lead);
    commit.u.committed.to = 1;
    step(&fixture, &commit);
    report.u.report.version = 1;
    report.u.report.range =
        (struct spread_range){view_zone_id("nadi"), 0, UINT64_MAX};
    report.u.report.attempt = 1;
    for (uint32_t seq = 2; seq > 0; seq--) {
        report.u.report.seq = seq;
        report.u.report.done = seq - 1;
        report.u.report.done_digest = seq == 2 ? hash_pair(OTHER, 0) : 0;
        receive(&fixture, &report);
        if (seq == 2) {
            assert_int_equal(find(&fixture, SPREAD_ACT_IN_FORCE)->u.in_force,
                             1);
            report.u.report.phase = SPREAD_FORCE;
            receive(&fixture, &report);
        }
    }
    assert_true(spread_core_status(fixture.core, 1, &status));
    assert_int_equal(status.done, 2);
    assert_int_equal(status.known, 2);
    teardown_core(&fixture);
}

/* An address that another pool takes over goes down in the old pool first. */
static void
test_new_owner(void **state)
{
    struct fixture fixture;

    (void)state;
    setup_core(&fixture, 0);
    announce(&fixture, 1, 5);
    assert_int_equal(count(&fixture, SPREAD_ACT_TARGET), 1);
    announce(&fixture, 1, 5);
    assert_int_equal(count(&fixture, SPREAD_ACT_TARGET), 0);
    announce(&fixture, 2, 6);
    assert_int_equal(fixture.actions.count, 2);
    assert_int_equal(fixture.actions.items[0].u.target.pool.value, 1);
    assert_int_equal(fixture.actions.items[0].u.target.view.state,
                     TARGET_DOWN);
    assert_int_equal(fixture.actions.items[1].u.target.pool.value, 2);
    fixture.now_us += 10000000;
    step(&fixture, &(struct spread_event){.kind = SPREAD_EV_TICK});
    assert_int_equal(find(&fixture, SPREAD_ACT_TARGET)->u.target.view.state,
                     TARGET_DOWN);
    teardown_core(&fixture);
}

/* An earlier start of a target, and one target too many, are refused. */
static void
test_refusals(void **state)
{
    struct spread_event event = {.kind = SPREAD_EV_ANNOUNCED};
    struct fixture fixture;

    (void)state;
    setup_core(&fixture, 0);
    announce(&fixture, 1, 5);
    announce(&fixture, 1, 4);
    assert_int_equal(find(&fixture, SPREAD_ACT_REFUSED)->u.refused.reason,
                     SPREAD_STALE_INCARNATION);
    for (uint32_t i = 11; i < 13; i++) {
        event.u.announced.view.key.address = i;
        step(&fixture, &event);
    }
    assert_int_equal(find(&fixture, SPREAD_ACT_REFUSED)->u.refused.reason,
                     SPREAD_TOO_MANY);
    teardown_core(&fixture);
}

/* Each kind survives its codec; cut short it is refused. */
static void
test_wire(void **state)
{
    const struct spread_target target = {.pool = {3}, .stamp = 9};
    const struct spread_stamp stamp = {.address = 4, .stamp = 2};
    const uint32_t address = 77;

    (void)state;
    for (int kind = 0; kind < SPREAD_MESSAGE__MAX; kind++) {
        struct spread_message message = {
            .kind = (enum spread_message_kind)kind, .term = 5, .active = 2};
        struct spread_message back;
        GByteArray *bytes = g_byte_array_new();
        GByteArray *again = g_byte_array_new();

        if (kind == SPREAD_TARGETS) {
            message.u.targets.items = &target;
            message.u.targets.count = 1;
        }
        else if (kind == SPREAD_REFRESH) {
            message.u.refresh.addresses = &address;
            message.u.refresh.count = 1;
        }
        else if (kind == SPREAD_STAMPS) {
            message.u.stamps.items = &stamp;
            message.u.stamps.count = 1;
        }
        spread_wire_pack(&message, bytes);
        assert_true(spread_wire_unpack(bytes->data, bytes->len, &back));
        assert_int_equal(back.kind, kind);
        spread_wire_pack(&back, again);
        assert_int_equal(again->len, bytes->len);
        assert_memory_equal(again->data, bytes->data, bytes->len);
        spread_message_clear(&back);
        assert_false(spread_wire_unpack(bytes->data, bytes->len - 1, &back));
        g_byte_array_free(again, TRUE);
        g_byte_array_free(bytes, TRUE);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_older_term),
        cmocka_unit_test(test_older_version),
        cmocka_unit_test(test_unreachable),
        cmocka_unit_test(test_status),
        cmocka_unit_test(test_crossed_reports),
        cmocka_unit_test(test_new_owner),
        cmocka_unit_test(test_refusals),
        cmocka_unit_test(test_wire),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
