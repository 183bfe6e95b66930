/*
 * Tests the epochs of the call core on one daemon, with simulated peers: what
 * a new owner needs before it starts calls, and what a former owner may still
 * do.
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

struct fixture {
    struct call_core *core;
    struct call_actions out;
    struct call_message messages[16];
    struct daemon_id to[16];
    unsigned message_count;
    uint64_t now;
    struct daemon_id self;
    struct daemon_id peers[DAEMONS - 1];
    struct call_epoch_request epoch_request;
};

/*
 * Step the core with EVENT and keep a copy of the messages it sends and of the
 * last epoch request.
 */
static void
step(struct fixture *fixture, const struct call_event *event)
{
    fixture->out.count = 0;
    fixture->message_count = 0;
    call_core_step(fixture->core, fixture->now, event, &fixture->out);
    for (size_t i = 0; i < fixture->out.count; i++) {
        const struct call_action *action = &fixture->out.items[i];

        if (action->kind == CALL_ACT_REQUEST_EPOCH) {
            fixture->epoch_request = action->u.epoch_request;
        }
        if (action->kind == CALL_ACT_MESSAGE && fixture->message_count < 16) {
            fixture->messages[fixture->message_count] =
                *action->u.message.message;
            fixture->to[fixture->message_count++] = action->u.message.to;
        }
    }
}

/* Let US microseconds pass in ticks. */
static void
tick(struct fixture *fixture, uint64_t us)
{
    uint64_t end = fixture->now + us;

    while (fixture->now < end) {
        struct call_event event = {.kind = CALL_EV_TICK};

        fixture->now += SECOND / 20;
        step(fixture, &event);
    }
}

/* Set up a core for the daemon that owns POOL; the others are its peers. */
static int
set_up(void **state)
{
    static struct fixture fixture;
    struct daemon_view views[DAEMONS] = {0};
    struct target_view target = {
        .key = {0x0a000001, 1}, .port = 6081, .weight = 100, .slots = 9};
    struct call_event daemons = {.kind = CALL_EV_DAEMONS};
    struct call_event pool = {.kind = CALL_EV_POOL};
    struct call_options options = {.incarnation = 1000};
    unsigned peers = 0;

    memset(&fixture, 0, sizeof(fixture));
    for (unsigned i = 0; i < DAEMONS; i++) {
        views[i].id.value = i + 1;
        views[i].entry = true;
    }
    fixture.self = view_owner((struct pool_id){POOL}, views, DAEMONS);
    for (unsigned i = 0; i < DAEMONS; i++) {
        if (views[i].id.value != fixture.self.value) {
            fixture.peers[peers++] = views[i].id;
        }
    }
    options.self = fixture.self;
    fixture.core = call_core_new(&options);
    fixture.now = 100 * SECOND;
    daemons.u.daemons.items = views;
    daemons.u.daemons.count = DAEMONS;
    step(&fixture, &daemons);
    pool.u.pool.id.value = POOL;
    pool.u.pool.target_count = 1;
    pool.u.pool.targets = &target;
    step(&fixture, &pool);
    tick(&fixture, SECOND / 4); /* no peer sends its incarnation */
    *state = &fixture;
    return 0;
}

/* Free the core and its actions. */
static int
tear_down(void **state)
{
    struct fixture *fixture = *state;

    call_core_free(fixture->core);
    call_actions_clear(&fixture->out);
    return 0;
}

/* Return the event of epoch NUMBER, of the tested daemon or its first peer. */
static struct call_event
epoch_of(const struct fixture *fixture, uint64_t number, bool own)
{
    struct call_event event = {.kind = CALL_EV_EPOCH};
    struct call_epoch *epoch = &event.u.epoch.epoch;

    epoch->pool.value = POOL;
    epoch->number = number;
    epoch->group_count = 3;
    for (unsigned i = 0; i < 3; i++) {
        epoch->group[i] = (struct call_member){fixture->peers[i], 10 + i};
    }
    if (own) {
        epoch->group[0] = (struct call_member){fixture->self, 1000};
    }
    event.u.epoch.requested_us = fixture->now;
    return event;
}

/* Receive MESSAGE from the peer with the index PEER. */
static void
receive_message(struct fixture *fixture, unsigned peer,
                struct call_message message)
{
    struct call_event event = {.kind = CALL_EV_MESSAGE};

    message.pool.value = POOL;
    event.u.message.from = fixture->peers[peer];
    event.u.message.message = &message;
    step(fixture, &event);
}

/* Receive a peer's records of epoch 5, with the record of ID or without. */
static void
receive_collected(struct fixture *fixture, unsigned peer, uint64_t incarnation,
                  bool has_record)
{
    struct call_message ack = {.kind = CALL_MSG_COLLECT_ACK,
                               .epoch = 6,
                               .previous = 5,
                               .incarnation = incarnation,
                               .has_log = true,
                               .end = has_record,
                               .key_count = has_record,
                               .keys = {{ID, 99}}};

    receive_message(fixture, peer, ack);
}

/* Receive an acknowledgement of records of epoch 6 up to OFFSET. */
static void
acknowledge(struct fixture *fixture, unsigned peer, uint64_t offset)
{
    struct call_message ack = {.kind = CALL_MSG_RECORD_ACK,
                               .epoch = 6,
                               .incarnation = 10 + peer,
                               .offset = offset,
                               .end = offset};

    receive_message(fixture, peer, ack);
}

/* Grant epoch 5 to a peer, then epoch 6 to the tested daemon. */
static void
begin_epoch_6(struct fixture *fixture)
{
    struct call_event current = epoch_of(fixture, 5, false);
    struct call_event granted = epoch_of(fixture, 6, true);

    step(fixture, &current);
    assert_int_equal(fixture->epoch_request.previous, 5);
    step(fixture, &granted);
}

/* Return the number of actions of KIND in the last step. */
static unsigned
count(const struct fixture *fixture, enum call_action_kind kind)
{
    unsigned found = 0;

    for (size_t i = 0; i < fixture->out.count; i++) {
        found += fixture->out.items[i].kind == kind;
    }
    return found;
}

/* Receive request ID; return true if it was sent to the target at once. */
static bool
request(struct fixture *fixture, uint64_t id)
{
    struct call_event event = {.kind = CALL_EV_PACKET};

    event.u.packet = (struct call_packet){
        .pool = {POOL},
        .caller = 99,
        .option = {.id = id, .deadline_ms = 20000, .parts = 1},
        .payload = (const uint8_t *)"x",
        .payload_len = 1,
    };
    step(fixture, &event);
    return count(fixture, CALL_ACT_SEND) == 1;
}

/*
 * Return true if the tested daemon may start non-idempotent calls with a
 * majority and under a valid lease.
 */
static bool
has_active_lease(const struct fixture *fixture)
{
    return call_core_has_active_lease(fixture->core, (struct pool_id){POOL},
                                      fixture->now);
}

/* A restarted member has lost its records, so two others are needed. */
static void
test_restarted_member(void **state)
{
    struct fixture *fixture = *state;

    begin_epoch_6(fixture);
    receive_collected(fixture, 1, 77, false); /* another incarnation */
    assert_false(has_active_lease(fixture));
    receive_collected(fixture, 2, 12, false);
    assert_false(has_active_lease(fixture));
    receive_collected(fixture, 0, 10, true);
    acknowledge(fixture, 1, 1);
    assert_true(has_active_lease(fixture));
    assert_false(request(fixture, ID)); /* relayed to its recorder */
    assert_int_equal(count(fixture, CALL_ACT_RELAY), 1);
}

/* The longer log of two members is installed. */
static void
test_longest_log(void **state)
{
    struct fixture *fixture = *state;

    begin_epoch_6(fixture);
    receive_collected(fixture, 1, 11, false);
    receive_collected(fixture, 2, 12, true);
    acknowledge(fixture, 1, 0);
    /* not yet held by the new group */
    assert_false(has_active_lease(fixture));
    acknowledge(fixture, 1, 1);
    assert_true(has_active_lease(fixture));
    assert_false(request(fixture, ID));
}

/*
 * Without a majority a new owner waits for the lease of 10 s and the retention
 * of 35 s.
 */
static void
test_wait_without_majority(void **state)
{
    struct fixture *fixture = *state;
    uint64_t waited = 0;

    begin_epoch_6(fixture);
    receive_collected(fixture, 1, 11, false);
    request(fixture, 1);
    tick(fixture, 2 * SECOND);
    request(fixture, 2);
    assert_int_equal(count(fixture, CALL_ACT_REFUSE), 0);
    tick(fixture, SECOND / 20);
    assert_int_equal(count(fixture, CALL_ACT_REFUSE), 1);
    assert_int_equal(fixture->out.items[0].u.datagram.option.kind,
                     CALL_OUTCOME_UNKNOWN);
    waited = 2 * SECOND + SECOND / 20;
    while (!has_active_lease(fixture) && waited < 60 * SECOND) {
        struct call_event confirm = epoch_of(fixture, 6, true);

        tick(fixture, SECOND / 20);
        waited += SECOND / 20;
        confirm.u.epoch.requested_us = fixture->now;
        step(fixture, &confirm);
    }
    assert_in_range(waited, 45 * SECOND, 46 * SECOND);
}

/* After the lease has expired, every member must hold a record. */
static void
test_lease_expired(void **state)
{
    struct fixture *fixture = *state;

    begin_epoch_6(fixture);
    receive_collected(fixture, 1, 11, false);
    receive_collected(fixture, 2, 12, false);
    acknowledge(fixture, 1, 0);
    assert_true(has_active_lease(fixture));
    assert_false(request(fixture, 1));
    acknowledge(fixture, 1, 1);
    assert_int_equal(count(fixture, CALL_ACT_SEND), 1);
    tick(fixture, 11 * SECOND);
    assert_false(has_active_lease(fixture));
    assert_false(request(fixture, 2));
    acknowledge(fixture, 1, 2);
    assert_int_equal(count(fixture, CALL_ACT_SEND), 0);
    acknowledge(fixture, 2, 2);
    assert_int_equal(count(fixture, CALL_ACT_SEND), 1);
}

/* A member that has promised a higher epoch refuses records of a lower one. */
static void
test_promised_epoch(void **state)
{
    struct fixture *fixture = *state;
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

    receive_message(fixture, 1, record);
    assert_int_equal(fixture->messages[0].offset, 1);
    receive_message(fixture, 2, collect);
    assert_true(fixture->messages[0].has_log);
    assert_int_equal(fixture->messages[0].key_count, 1);
    record.offset = 1;
    record.end = 2;
    receive_message(fixture, 1, record);
    assert_int_equal(fixture->messages[0].kind, CALL_MSG_RECORD_ACK);
    assert_int_equal(fixture->messages[0].epoch, 9);
    assert_int_equal(fixture->messages[0].offset, 0);
    record.epoch = 10;
    record.offset = 0;
    record.end = 1;
    record.incarnation = 999; /* meant for an earlier process */
    receive_message(fixture, 1, record);
    assert_int_equal(fixture->messages[0].offset, 0);
    assert_int_equal(fixture->messages[0].incarnation, 1000);
}

/* Report the higher epoch NUMBER to an owner with an unsent request. */
static void
supersede(struct fixture *fixture, uint64_t number)
{
    struct call_event higher;

    begin_epoch_6(fixture);
    receive_collected(fixture, 1, 11, false);
    receive_collected(fixture, 2, 12, false);
    acknowledge(fixture, 1, 0);
    assert_false(request(fixture, 1));
    higher = epoch_of(fixture, number, false);
    step(fixture, &higher);
    assert_int_equal(count(fixture, CALL_ACT_RELAY), 1);
}

/* An owner starts no more calls once it knows of a higher epoch. */
static void
test_superseded(void **state)
{
    struct fixture *fixture = *state;

    supersede(fixture, 7);
    assert_int_equal(fixture->out.items[0].u.relay.packet.released_epoch, 7);
    acknowledge(fixture, 1, 1);
    acknowledge(fixture, 2, 1);
    assert_int_equal(count(fixture, CALL_ACT_SEND), 0);
    assert_false(has_active_lease(fixture));
}

/*
 * After a gap in the epochs another owner may have started a call that no
 * majority recorded, so the call is relayed without a released epoch.
 */
static void
test_superseded_after_gap(void **state)
{
    struct fixture *fixture = *state;

    supersede(fixture, 8);
    assert_int_equal(fixture->out.items[0].u.relay.packet.released_epoch, 0);
}

/* A call that a former owner released runs once, also if it arrives twice. */
static void
test_released(void **state)
{
    struct fixture *fixture = *state;
    struct call_event event = {.kind = CALL_EV_PACKET};

    begin_epoch_6(fixture);
    receive_collected(fixture, 1, 11, true);
    receive_collected(fixture, 2, 12, true);
    acknowledge(fixture, 1, 1);
    event.u.packet = (struct call_packet){
        .pool = {POOL},
        .caller = 99,
        .option = {.id = ID, .deadline_ms = 900, .parts = 1},
        .payload = (const uint8_t *)"x",
        .payload_len = 1,
        .hops = 1,
        .released_epoch = 5, /* of another epoch */
    };
    step(fixture, &event);
    assert_int_equal(count(fixture, CALL_ACT_SEND), 0);
    event.u.packet.released_epoch = 6;
    step(fixture, &event);
    assert_int_equal(count(fixture, CALL_ACT_SEND), 1);
    step(fixture, &event);
    assert_int_equal(count(fixture, CALL_ACT_SEND), 0);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)

int
main(void)
{
    const struct CMUnitTest tests[] = {
        TEST(test_restarted_member),
        TEST(test_longest_log),
        TEST(test_wait_without_majority),
        TEST(test_lease_expired),
        TEST(test_promised_epoch),
        TEST(test_superseded),
        TEST(test_released),
        TEST(test_superseded_after_gap),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
