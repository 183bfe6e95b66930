/*
 * Epochs as one daemon sees them: what a new lead needs before it starts
 * calls, and what an old one may still do.  The test plays its peers.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "call/call.h"

#define SECOND  1000000ULL
#define POOL    7
#define DAEMONS 4
#define ID      55

struct bench {
    struct call_core *core;
    struct call_actions out;
    struct call_message messages[16];
    struct daemon_id to[16];
    unsigned message_count;
    uint64_t now;
    struct daemon_id self;
    struct daemon_id peers[DAEMONS - 1];
    struct call_want want;
};

static void
step(struct bench *bench, const struct call_event *event)
{
    bench->out.count = 0;
    bench->message_count = 0;
    call_core_step(bench->core, bench->now, event, &bench->out);
    for (size_t i = 0; i < bench->out.count; i++) {
        const struct call_action *action = &bench->out.items[i];

        if (action->kind == CALL_ACT_WANT_EPOCH) {
            bench->want = action->u.want;
        }
        if (action->kind == CALL_ACT_MESSAGE && bench->message_count < 16) {
            bench->messages[bench->message_count] = *action->u.message.message;
            bench->to[bench->message_count++] = action->u.message.to;
        }
    }
}

static void
tick(struct bench *bench, uint64_t us)
{
    uint64_t end = bench->now + us;

    while (bench->now < end) {
        struct call_event event = {.kind = CALL_EV_TICK};

        bench->now += SECOND / 20;
        step(bench, &event);
    }
}

/* The daemon that leads POOL is the one under test; its peers follow. */
static int
set_up(void **state)
{
    static struct bench bench;
    struct daemon_view views[DAEMONS] = {0};
    struct target_view target = {
        .key = {0x0a000001, 1}, .port = 6081, .weight = 100, .slots = 9};
    struct call_event daemons = {.kind = CALL_EV_DAEMONS};
    struct call_event pool = {.kind = CALL_EV_POOL};
    struct call_options options = {.incarnation = 1000};
    unsigned peers = 0;

    memset(&bench, 0, sizeof(bench));
    for (unsigned i = 0; i < DAEMONS; i++) {
        views[i].id.value = i + 1;
        views[i].entry = true;
    }
    bench.self = view_owner((struct pool_id){POOL}, views, DAEMONS);
    for (unsigned i = 0; i < DAEMONS; i++) {
        if (views[i].id.value != bench.self.value) {
            bench.peers[peers++] = views[i].id;
        }
    }
    options.self = bench.self;
    bench.core = call_core_new(&options);
    bench.now = 100 * SECOND;
    daemons.u.daemons.items = views;
    daemons.u.daemons.count = DAEMONS;
    step(&bench, &daemons);
    pool.u.pool.id.value = POOL;
    pool.u.pool.target_count = 1;
    pool.u.pool.targets = &target;
    step(&bench, &pool);
    tick(&bench, SECOND / 4); /* no peer tells its incarnation */
    *state = &bench;
    return 0;
}

static int
tear_down(void **state)
{
    struct bench *bench = *state;

    call_core_free(bench->core);
    call_actions_clear(&bench->out);
    return 0;
}

/* Epoch NUMBER of the daemon under test, or of its first peer. */
static struct call_event
epoch_of(const struct bench *bench, uint64_t number, bool own)
{
    struct call_event event = {.kind = CALL_EV_EPOCH};
    struct call_epoch *epoch = &event.u.epoch.epoch;

    epoch->pool.value = POOL;
    epoch->number = number;
    epoch->group_count = 3;
    for (unsigned i = 0; i < 3; i++) {
        epoch->group[i] = (struct call_member){bench->peers[i], 10 + i};
    }
    if (own) {
        epoch->group[0] = (struct call_member){bench->self, 1000};
    }
    event.u.epoch.asked_us = bench->now;
    return event;
}

static void
message(struct bench *bench, unsigned peer, struct call_message message)
{
    struct call_event event = {.kind = CALL_EV_MESSAGE};

    message.pool.value = POOL;
    event.u.message.from = bench->peers[peer];
    event.u.message.message = &message;
    step(bench, &event);
}

/* Peer gives its records of epoch 5, which may hold the id. */
static void
collected(struct bench *bench, unsigned peer, uint64_t incarnation, bool holds)
{
    struct call_message ack = {.kind = CALL_MSG_COLLECT_ACK,
                               .epoch = 6,
                               .previous = 5,
                               .incarnation = incarnation,
                               .held = true,
                               .end = holds,
                               .key_count = holds,
                               .keys = {{ID, 99}}};

    message(bench, peer, ack);
}

static void
acknowledge(struct bench *bench, unsigned peer, uint64_t offset)
{
    struct call_message ack = {.kind = CALL_MSG_RECORD_ACK,
                               .epoch = 6,
                               .incarnation = 10 + peer,
                               .offset = offset,
                               .end = offset};

    message(bench, peer, ack);
}

/* Epoch 5 was led by a peer; 6 is given to the daemon under test. */
static void
take_over(struct bench *bench)
{
    struct call_event current = epoch_of(bench, 5, false);
    struct call_event won = epoch_of(bench, 6, true);

    step(bench, &current);
    assert_int_equal(bench->want.previous, 5);
    step(bench, &won);
}

static unsigned
count(const struct bench *bench, enum call_action_kind kind)
{
    unsigned found = 0;

    for (size_t i = 0; i < bench->out.count; i++) {
        found += bench->out.items[i].kind == kind;
    }
    return found;
}

/* Send request ID of CALLER; true if it went to the target at once. */
static bool
request(struct bench *bench, uint64_t id)
{
    struct call_event event = {.kind = CALL_EV_PACKET};

    event.u.packet = (struct call_packet){
        .pool = {POOL},
        .caller = 99,
        .option = {.id = id, .deadline_ms = 20000, .parts = 1},
        .payload = (const uint8_t *)"x",
        .payload_len = 1,
    };
    step(bench, &event);
    return count(bench, CALL_ACT_SEND) == 1;
}

static bool
leads(const struct bench *bench)
{
    return call_core_leads(bench->core, (struct pool_id){POOL}, bench->now);
}

/* A member that restarted holds nothing: two others are needed. */
static void
test_restarted_member(void **state)
{
    struct bench *bench = *state;

    take_over(bench);
    collected(bench, 1, 77, false); /* another incarnation */
    assert_false(leads(bench));
    collected(bench, 2, 12, false);
    assert_false(leads(bench));
    collected(bench, 0, 10, true);
    acknowledge(bench, 1, 1);
    assert_true(leads(bench));
    assert_false(request(bench, ID)); /* its recorder is asked */
    assert_int_equal(count(bench, CALL_ACT_HAND_ON), 1);
}

/* Of two members' logs the longer one counts. */
static void
test_longest_log(void **state)
{
    struct bench *bench = *state;

    take_over(bench);
    collected(bench, 1, 11, false);
    collected(bench, 2, 12, true);
    acknowledge(bench, 1, 0);
    assert_false(leads(bench)); /* not yet held by the new group */
    acknowledge(bench, 1, 1);
    assert_true(leads(bench));
    assert_false(request(bench, ID));
}

/* Without a majority the new lead waits: 10 s of lease and 35 s more. */
static void
test_wait(void **state)
{
    struct bench *bench = *state;
    uint64_t waited = 0;

    take_over(bench);
    collected(bench, 1, 11, false);
    request(bench, 1);
    tick(bench, 2 * SECOND);
    request(bench, 2);
    assert_int_equal(count(bench, CALL_ACT_REFUSE), 0);
    tick(bench, SECOND / 20);
    assert_int_equal(count(bench, CALL_ACT_REFUSE), 1);
    assert_int_equal(bench->out.items[0].u.datagram.option.kind,
                     CALL_OUTCOME_UNKNOWN);
    waited = 2 * SECOND + SECOND / 20;
    while (!leads(bench) && waited < 60 * SECOND) {
        struct call_event confirm = epoch_of(bench, 6, true);

        tick(bench, SECOND / 20);
        waited += SECOND / 20;
        confirm.u.epoch.asked_us = bench->now;
        step(bench, &confirm);
    }
    assert_in_range(waited, 45 * SECOND, 46 * SECOND);
}

/* Without the authority's word every member must hold a record. */
static void
test_lease(void **state)
{
    struct bench *bench = *state;

    take_over(bench);
    collected(bench, 1, 11, false);
    collected(bench, 2, 12, false);
    acknowledge(bench, 1, 0);
    assert_true(leads(bench));
    assert_false(request(bench, 1));
    acknowledge(bench, 1, 1);
    assert_int_equal(count(bench, CALL_ACT_SEND), 1);
    tick(bench, 11 * SECOND);
    assert_false(leads(bench));
    assert_false(request(bench, 2));
    acknowledge(bench, 1, 2);
    assert_int_equal(count(bench, CALL_ACT_SEND), 0);
    acknowledge(bench, 2, 2);
    assert_int_equal(count(bench, CALL_ACT_SEND), 1);
}

/* A member that has promised a higher epoch holds no more for a lower one. */
static void
test_promise(void **state)
{
    struct bench *bench = *state;
    struct call_message collect = {.kind = CALL_MSG_COLLECT,
                                   .epoch = 9,
                                   .previous = 8,
                                   .incarnation = 1000};
    struct call_message record = {.kind = CALL_MSG_RECORD,
                                  .epoch = 8,
                                  .incarnation = 1000,
                                  .end = 1,
                                  .key_count = 1,
                                  .keys = {{ID, 99}}};

    message(bench, 1, record);
    assert_int_equal(bench->messages[0].offset, 1);
    message(bench, 2, collect);
    assert_true(bench->messages[0].held);
    assert_int_equal(bench->messages[0].key_count, 1);
    record.offset = 1;
    record.end = 2;
    message(bench, 1, record);
    assert_int_equal(bench->messages[0].kind, CALL_MSG_RECORD_ACK);
    assert_int_equal(bench->messages[0].epoch, 9);
    assert_int_equal(bench->messages[0].offset, 0);
    record.epoch = 10;
    record.offset = 0;
    record.end = 1;
    record.incarnation = 999; /* meant for an earlier process */
    message(bench, 1, record);
    assert_int_equal(bench->messages[0].offset, 0);
    assert_int_equal(bench->messages[0].incarnation, 1000);
}

/* A new lead with an unanswered request learns of the epoch NUMBER. */
static void
supersede(struct bench *bench, uint64_t number)
{
    struct call_event higher;

    take_over(bench);
    collected(bench, 1, 11, false);
    collected(bench, 2, 12, false);
    acknowledge(bench, 1, 0);
    assert_false(request(bench, 1));
    higher = epoch_of(bench, number, false);
    step(bench, &higher);
    assert_int_equal(count(bench, CALL_ACT_HAND_ON), 1);
}

/* A lead that learns of a higher epoch starts nothing more. */
static void
test_superseded(void **state)
{
    struct bench *bench = *state;

    supersede(bench, 7);
    assert_int_equal(bench->out.items[0].u.hand_on.packet.released, 7);
    acknowledge(bench, 1, 1);
    acknowledge(bench, 2, 1);
    assert_int_equal(count(bench, CALL_ACT_SEND), 0);
    assert_false(leads(bench));
}

/* After a gap another lead may have begun what no majority had recorded. */
static void
test_superseded_later(void **state)
{
    struct bench *bench = *state;

    supersede(bench, 8);
    assert_int_equal(bench->out.items[0].u.hand_on.packet.released, 0);
}

/* What an earlier lead gave up is run once, whatever comes twice. */
static void
test_released(void **state)
{
    struct bench *bench = *state;
    struct call_event event = {.kind = CALL_EV_PACKET};

    take_over(bench);
    collected(bench, 1, 11, true);
    collected(bench, 2, 12, true);
    acknowledge(bench, 1, 1);
    event.u.packet = (struct call_packet){
        .pool = {POOL},
        .caller = 99,
        .option = {.id = ID, .deadline_ms = 900, .parts = 1},
        .payload = (const uint8_t *)"x",
        .payload_len = 1,
        .hops = 1,
        .released = 5, /* of another epoch */
    };
    step(bench, &event);
    assert_int_equal(count(bench, CALL_ACT_SEND), 0);
    event.u.packet.released = 6;
    step(bench, &event);
    assert_int_equal(count(bench, CALL_ACT_SEND), 1);
    step(bench, &event);
    assert_int_equal(count(bench, CALL_ACT_SEND), 0);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)

int
main(void)
{
    const struct CMUnitTest tests[] = {
        TEST(test_restarted_member),
        TEST(test_longest_log),
        TEST(test_wait),
        TEST(test_lease),
        TEST(test_promise),
        TEST(test_superseded),
        TEST(test_released),
        TEST(test_superseded_later),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
