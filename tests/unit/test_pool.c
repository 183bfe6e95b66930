/*
 * Tests of the pool core: announcements, misleading health endpoints, and
 * the limit on held targets.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "pool/pool.h"

#define SECOND 1000000ULL
#define POOL_A 7
#define POOL_B 8
#define BASE   0x0a000001

struct fixture {
    struct pool_core *core;
    struct pool_actions out;
    uint64_t now;
};

static void
step(struct fixture *fixture, const struct pool_event *event)
{
    fixture->out.count = 0;
    pool_core_step(fixture->core, fixture->now, event, &fixture->out);
}

static int
set_up(void **state)
{
    static struct fixture fixture;
    struct pool_options options = {.seed = 5};
    struct pool_event event = {.kind = POOL_EV_ROW_SET};

    memset(&fixture, 0, sizeof(fixture));
    fixture.core = pool_core_new(&options);
    fixture.now = 100 * SECOND;
    event.u.row.id.value = POOL_A;
    event.u.row.name = "fieldline";
    step(&fixture, &event);
    event.u.row.id.value = POOL_B;
    event.u.row.name = "plansdesk";
    step(&fixture, &event);
    *state = &fixture;
    return 0;
}

static int
tear_down(void **state)
{
    struct fixture *fixture = *state;

    pool_core_free(fixture->core);
    pool_actions_clear(&fixture->out);
    return 0;
}

/* Announce target NUMBER; returns the error, or -1 if it was accepted. */
static int
announce(struct fixture *fixture, unsigned number, uint64_t pool,
         uint32_t incarnation, enum target_state state, uint64_t life)
{
    struct pool_event event = {.kind = POOL_EV_ANNOUNCE};

    event.u.announce.announcement = (struct pool_announcement){
        .pool = {pool},
        .key = {BASE + number, incarnation},
        .port = 6081,
        .slots = 2,
        .connections = 2000,
        .state = state,
    };
    event.u.announce.life_us = life;
    step(fixture, &event);
    for (size_t i = 0; i < fixture->out.count; i++) {
        if (fixture->out.items[i].kind == POOL_ACT_REFUSE) {
            assert_int_equal(fixture->out.count, 1);
            return (int)fixture->out.items[i].u.refuse.code;
        }
    }
    return -1;
}

/* Return the target's entry in the pool's view, or NULL. */
static const struct target_view *
view(const struct fixture *fixture, uint64_t pool, unsigned number)
{
    struct pool_view pool_view;
    const struct target_view *target;

    assert_true(
        pool_core_view(fixture->core, (struct pool_id){pool}, &pool_view));
    target = pool_view.targets;
    for (size_t i = 0; i < pool_view.target_count; i++, target++) {
        if (target->key.address == BASE + number) {
            return target;
        }
    }
    return NULL;
}

/* Readings and traffic outcomes of one target in one second. */
struct second {
    int health; /* enum pool_health, or -1 for no reading */
    double load;
    uint32_t answered;
    uint32_t refused;
    uint32_t unanswered;
};

/*
 * Feed readings and traffic of COUNT targets for SECONDS: the first ODD behave
 * as ODD_SECOND says, the others are healthy.
 */
static void
run_seconds(struct fixture *fixture, unsigned count, unsigned odd,
            struct second odd_second, unsigned seconds)
{
    const struct second healthy = {POOL_HEALTH_OK, -1, 10, 0, 0};

    for (unsigned second = 0; second < seconds; second++) {
        struct pool_event tick = {.kind = POOL_EV_TICK};

        fixture->now += SECOND;
        for (unsigned i = 0; i < count; i++) {
            const struct second *it = i < odd ? &odd_second : &healthy;
            struct target_key key = {BASE + i, 1};
            struct pool_event event = {.kind = POOL_EV_HEALTH};

            announce(fixture, i, POOL_A, 1, TARGET_READY, 0);
            if (it->health >= 0) {
                event.u.health.key = key;
                event.u.health.result = (enum pool_health)it->health;
                step(fixture, &event);
            }
            if (it->load >= 0) {
                event = (struct pool_event){.kind = POOL_EV_LOAD};
                event.u.load.key = key;
                event.u.load.load = it->load;
                step(fixture, &event);
            }
            event = (struct pool_event){.kind = POOL_EV_EVIDENCE};
            event.u.evidence =
                (struct pool_evidence){.pool = {POOL_A},
                                       .key = key,
                                       .answered = it->answered,
                                       .refused = it->refused,
                                       .unanswered = it->unanswered};
            step(fixture, &event);
        }
        step(fixture, &tick);
    }
}

static unsigned
count_down(const struct fixture *fixture, unsigned count)
{
    unsigned down = 0;

    for (unsigned i = 0; i < count; i++) {
        down += view(fixture, POOL_A, i)->state == TARGET_DOWN;
    }
    return down;
}

static void
test_expiry(void **state)
{
    struct fixture *fixture = *state;
    struct pool_event tick = {.kind = POOL_EV_TICK};

    assert_int_equal(announce(fixture, 0, POOL_A, 1, TARGET_READY, 0), -1);
    assert_int_equal(announce(fixture, 1, POOL_A, 1, TARGET_READY, 4 * SECOND),
                     -1);
    assert_int_equal(view(fixture, POOL_A, 0)->state, TARGET_READY);
    fixture->now += 5 * SECOND;
    step(fixture, &tick);
    assert_int_equal(view(fixture, POOL_A, 0)->state, TARGET_READY);
    assert_int_equal(view(fixture, POOL_A, 1)->state, TARGET_DOWN);
    fixture->now += 5 * SECOND;
    step(fixture, &tick);
    assert_int_equal(view(fixture, POOL_A, 0)->state, TARGET_DOWN);
    announce(fixture, 0, POOL_A, 1, TARGET_READY, 0);
    assert_int_equal(view(fixture, POOL_A, 0)->state, TARGET_READY);
    fixture->now += 80 * SECOND;
    step(fixture, &tick);
    assert_null(view(fixture, POOL_A, 0));
}

static void
test_incarnations(void **state)
{
    struct fixture *fixture = *state;

    announce(fixture, 0, POOL_A, 5, TARGET_READY, 0);
    assert_int_equal(announce(fixture, 0, POOL_A, 4, TARGET_DRAINING, 0),
                     ERR_CONFLICT);
    assert_int_equal(announce(fixture, 0, POOL_A, 4, TARGET_DRAINING, SECOND),
                     -1); /* outdated, from a peer: ignored */
    assert_int_equal(view(fixture, POOL_A, 0)->state, TARGET_READY);
    assert_int_equal(announce(fixture, 0, POOL_B, 5, TARGET_READY, 0),
                     ERR_INPUT);
    assert_non_null(strstr(fixture->out.items[0].u.refuse.message, "6"));
    assert_null(view(fixture, POOL_B, 0));
    assert_int_equal(announce(fixture, 0, POOL_B, 6, TARGET_READY, SECOND),
                     -1);
    assert_null(view(fixture, POOL_A, 0)); /* changed pools at once */
    assert_int_equal(view(fixture, POOL_B, 0)->key.incarnation, 6);
}

static void
test_bad_announcements(void **state)
{
    struct fixture *fixture = *state;
    struct pool_event event = {.kind = POOL_EV_ANNOUNCE};
    struct pool_announcement good = {
        .pool = {POOL_A}, .key = {BASE, 1}, .port = 6081, .slots = 1};
    struct pool_announcement bad[6] = {good, good, good, good, good, good};

    bad[0].pool.value = 0;
    bad[1].key.address = 0;
    bad[2].port = 0;
    bad[3].slots = 0;
    bad[4].weight = 1001;
    bad[5].state = TARGET_DOWN;
    for (size_t i = 0; i < 6; i++) {
        event.u.announce.announcement = bad[i];
        step(fixture, &event);
        assert_int_equal(fixture->out.count, 1);
        assert_int_equal(fixture->out.items[0].kind, POOL_ACT_REFUSE);
        assert_int_equal(fixture->out.items[0].u.refuse.code, ERR_INPUT);
        assert_null(view(fixture, POOL_A, 0));
    }
}

static void
test_draining(void **state)
{
    struct fixture *fixture = *state;
    uint32_t drained = BASE + 1;
    struct pool_event event = {.kind = POOL_EV_ROW_SET};

    announce(fixture, 0, POOL_A, 1, TARGET_READY, 0);
    announce(fixture, 1, POOL_A, 1, TARGET_READY, 0);
    announce(fixture, 0, POOL_A, 1, TARGET_DRAINING, 0);
    assert_int_equal(fixture->out.items[0].kind, POOL_ACT_VIEW);
    assert_int_equal(view(fixture, POOL_A, 0)->state, TARGET_DRAINING);
    announce(fixture, 0, POOL_A, 1, TARGET_READY, 9 * SECOND);
    assert_int_equal(view(fixture, POOL_A, 0)->state, TARGET_DRAINING);
    fixture->now += SECOND / 2; /* newer by less than the message delay */
    announce(fixture, 0, POOL_A, 1, TARGET_READY, 10 * SECOND);
    assert_int_equal(view(fixture, POOL_A, 0)->state, TARGET_DRAINING);
    fixture->now += SECOND;
    announce(fixture, 0, POOL_A, 1, TARGET_READY, 10 * SECOND);
    assert_int_equal(view(fixture, POOL_A, 0)->state, TARGET_READY);
    event.u.row = (struct pool_row){.id = {POOL_A},
                                    .name = "fieldline",
                                    .version = 2,
                                    .draining = &drained,
                                    .draining_count = 1};
    step(fixture, &event);
    assert_int_equal(view(fixture, POOL_A, 1)->state, TARGET_DRAINING);
}

static void
test_slow_start(void **state)
{
    struct fixture *fixture = *state;
    uint16_t last = 0;

    announce(fixture, 0, POOL_A, 1, TARGET_COLD, 0);
    assert_int_equal(view(fixture, POOL_A, 0)->weight, 10);
    for (unsigned second = 0; second < 30; second++) {
        struct pool_event tick = {.kind = POOL_EV_TICK};

        assert_int_equal(view(fixture, POOL_A, 0)->state, TARGET_COLD);
        fixture->now += SECOND;
        announce(fixture, 0, POOL_A, 1, TARGET_COLD, 0);
        step(fixture, &tick);
        assert_true(view(fixture, POOL_A, 0)->weight >= last);
        last = view(fixture, POOL_A, 0)->weight;
    }
    assert_int_equal(view(fixture, POOL_A, 0)->weight, 100);
    assert_int_equal(view(fixture, POOL_A, 0)->state, TARGET_READY);
}

/* Behaviour of one target of ten, and the state and weight it leads to. */
struct behaviour {
    const char *name;
    struct second second;
    enum target_state state;
    bool lighter; /* weight below 100 */
};

static const struct behaviour behaviours[] = {
    {"healthy", {POOL_HEALTH_OK, 0.1, 10, 0, 0}, TARGET_READY, false},
    {"dead", {POOL_HEALTH_TIMEOUT, -1, 0, 0, 5}, TARGET_DOWN, false},
    {"always fine, but dead",
     {POOL_HEALTH_OK, 0, 0, 0, 5},
     TARGET_DOWN,
     false},
    {"always failing, but answers",
     {POOL_HEALTH_FAIL, -1, 9, 0, 0},
     TARGET_READY,
     false},
    {"endpoint hangs, but answers",
     {POOL_HEALTH_TIMEOUT, -1, 9, 0, 0},
     TARGET_READY,
     false},
    {"endpoint fails, no traffic",
     {POOL_HEALTH_FAIL, -1, 0, 0, 0},
     TARGET_DOWN,
     false},
    {"always full, but answers",
     {POOL_HEALTH_OK, 1, 9, 0, 0},
     TARGET_READY,
     false},
    {"full, and sheds", {POOL_HEALTH_OK, 1, 5, 5, 0}, TARGET_READY, true},
    {"always idle, but sheds",
     {POOL_HEALTH_OK, 0, 5, 5, 0},
     TARGET_READY,
     true},
    {"loses one in four", {POOL_HEALTH_OK, -1, 9, 0, 3}, TARGET_DOWN, false},
};

static void
test_behaviours(void **state)
{
    for (size_t i = 0; i < sizeof(behaviours) / sizeof(behaviours[0]); i++) {
        const struct behaviour *behaviour = &behaviours[i];
        struct fixture *fixture;
        const struct target_view *odd;

        tear_down(state);
        set_up(state);
        fixture = *state;
        run_seconds(fixture, 10, 1, behaviour->second, 12);
        odd = view(fixture, POOL_A, 0);
        if (odd->state != behaviour->state ||
            (odd->weight < 100) != behaviour->lighter) {
            fail_msg("%s: state %d, weight %u", behaviour->name, odd->state,
                     odd->weight);
        }
        assert_int_equal(view(fixture, POOL_A, 9)->state, TARGET_READY);
        assert_int_equal(view(fixture, POOL_A, 9)->weight, 100);
    }
}

static void
test_flapping(void **state)
{
    struct fixture *fixture = *state;
    struct second fine = {POOL_HEALTH_OK, -1, 0, 0, 0};
    struct second fails = {POOL_HEALTH_FAIL, -1, 0, 0, 0};

    for (unsigned i = 0; i < 10; i++) { /* at most two failures in a row */
        run_seconds(fixture, 4, 1, fails, 2);
        assert_int_equal(view(fixture, POOL_A, 0)->state, TARGET_READY);
        run_seconds(fixture, 4, 1, fine, 1);
    }
}

static void
test_hold_limit(void **state)
{
    struct fixture *fixture = *state;
    struct second dead = {POOL_HEALTH_FAIL, -1, 0, 0, 5};
    struct second silent = {POOL_HEALTH_FAIL, -1, 0, 0, 0};

    run_seconds(fixture, 10, 10, dead, 12);
    assert_int_equal(count_down(fixture, 10), 3);
    tear_down(state);
    set_up(state);
    run_seconds(fixture, 10, 10, silent, 12);
    assert_int_equal(count_down(fixture, 10), 3);
    tear_down(state);
    set_up(state);
    /* Endpoints alone hold at most 30 percent. */
    run_seconds(fixture, 2, 2, silent, 12);
    assert_int_equal(count_down(fixture, 2), 0);
    tear_down(state);
    set_up(state);
    run_seconds(fixture, 2, 2, dead, 12); /* traffic: one is never held */
    assert_int_equal(count_down(fixture, 2), 1);
}

static void
test_shedding_pool(void **state)
{
    struct fixture *fixture = *state;
    struct second sheds = {POOL_HEALTH_OK, -1, 5, 5, 0};
    unsigned sum = 0;

    run_seconds(fixture, 5, 5, sheds, 20);
    for (unsigned i = 0; i < 5; i++) {
        assert_int_equal(view(fixture, POOL_A, i)->state, TARGET_READY);
        sum += view(fixture, POOL_A, i)->weight;
    }
    assert_true(sum >= 5 * 70);
}

/* After a hold a target goes through slow start, and traffic decides. */
static void
test_recovery(void **state)
{
    struct fixture *fixture = *state;
    struct second dead = {POOL_HEALTH_OK, -1, 0, 0, 5};
    struct second idle = {POOL_HEALTH_OK, -1, 0, 0, 0};
    struct second fine = {POOL_HEALTH_OK, -1, 9, 0, 0};

    run_seconds(fixture, 4, 1, dead, 5);
    assert_int_equal(view(fixture, POOL_A, 0)->state, TARGET_DOWN);
    run_seconds(fixture, 4, 1, idle, 32);
    assert_int_equal(view(fixture, POOL_A, 0)->state, TARGET_COLD);
    run_seconds(fixture, 4, 1, fine, 32);
    assert_int_equal(view(fixture, POOL_A, 0)->state, TARGET_READY);
    assert_int_equal(view(fixture, POOL_A, 0)->weight, 100);
}

static void
test_rows(void **state)
{
    struct fixture *fixture = *state;
    struct pool_override weights = {BASE, 250};
    struct pool_event event = {.kind = POOL_EV_ROW_SET};

    announce(fixture, 0, POOL_A, 1, TARGET_READY, 0);
    event.u.row = (struct pool_row){.id = {POOL_A},
                                    .name = "fieldline",
                                    .version = 3,
                                    .slots_limit = 1,
                                    .overrides = &weights,
                                    .override_count = 1};
    step(fixture, &event);
    assert_int_equal(view(fixture, POOL_A, 0)->weight, 250);
    assert_int_equal(view(fixture, POOL_A, 0)->slots, 1);
    event.u.row.version = 2;
    step(fixture, &event);
    assert_int_equal(fixture->out.items[0].kind, POOL_ACT_REFUSE);
    assert_int_equal(fixture->out.items[0].u.refuse.code, ERR_CONFLICT);
    event = (struct pool_event){.kind = POOL_EV_ROW_DELETE};
    event.u.row_delete.value = POOL_A;
    step(fixture, &event);
    assert_int_equal(fixture->out.items[0].kind, POOL_ACT_DELETED);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_expiry, set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_incarnations, set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_bad_announcements, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_draining, set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_slow_start, set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_behaviours, set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_flapping, set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_hold_limit, set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_shedding_pool, set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_recovery, set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_rows, set_up, tear_down),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
