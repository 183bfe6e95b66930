/* Tests the call core on the only daemon, which owns the pool. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "call/call.h"

#define MS     1000ULL
#define POOL   7
#define BASE   0x0a000001
#define CALLER 0x0c000001
#define SELF   1

struct fixture {
    struct call_core *core;
    struct call_actions out;
    uint64_t now;
    struct call_epoch epoch;
    bool epoch_service; /* answers requests for an epoch */
};

/* Step the core with EVENT; the epoch service answers at once, if it is on. */
static void
step(struct fixture *fixture, const struct call_event *event)
{
    fixture->out.count = 0;
    call_core_step(fixture->core, fixture->now, event, &fixture->out);
    for (size_t i = 0; i < fixture->out.count; i++) {
        struct call_epoch_request request =
            fixture->out.items[i].u.epoch_request;
        struct call_event answer = {.kind = CALL_EV_EPOCH};

        if (fixture->out.items[i].kind != CALL_ACT_REQUEST_EPOCH ||
            !fixture->epoch_service) {
            continue;
        }
        if (!request.confirm) {
            fixture->epoch.pool = request.pool;
            fixture->epoch.number++;
            fixture->epoch.group_count = request.group_count;
            memcpy(fixture->epoch.group, request.group, sizeof(request.group));
        }
        answer.u.epoch.epoch = fixture->epoch;
        answer.u.epoch.requested_us = request.requested_us;
        call_core_step(fixture->core, fixture->now, &answer, &fixture->out);
    }
}

/*
 * Let MS milliseconds pass in ticks; stop early once a call is refused or
 * sent, or the core has stopped.
 */
static void
tick(struct fixture *fixture, unsigned ms)
{
    for (unsigned elapsed = 0; elapsed < ms; elapsed += 50) {
        struct call_event event = {.kind = CALL_EV_TICK};
        size_t awaited_actions = 0;

        fixture->now += 50 * MS;
        step(fixture, &event);
        for (size_t i = 0; i < fixture->out.count; i++) {
            awaited_actions += fixture->out.items[i].kind == CALL_ACT_REFUSE ||
                               fixture->out.items[i].kind == CALL_ACT_SEND ||
                               fixture->out.items[i].kind == CALL_ACT_STOPPED;
        }
        if (awaited_actions > 0) {
            return;
        }
    }
}

/* Set the view of the pool: TARGETS with SLOTS each, in INCARNATION. */
static void
set_targets(struct fixture *fixture, unsigned targets, uint16_t slots,
            uint32_t incarnation)
{
    struct target_view items[4] = {0};
    struct call_event event = {.kind = CALL_EV_POOL};

    for (unsigned i = 0; i < targets; i++) {
        items[i].key = (struct target_key){BASE + i, incarnation};
        items[i].port = 6081;
        items[i].weight = 100;
        items[i].slots = slots;
    }
    event.u.pool.id.value = POOL;
    event.u.pool.target_count = targets;
    event.u.pool.targets = items;
    step(fixture, &event);
}

/*
 * Set up a core with small limits that owns the pool; two targets of one slot.
 */
static int
set_up(void **state)
{
    static struct fixture fixture;
    struct call_options options = {.self = {SELF},
                                   .queue_limit = 3,
                                   .retry_percent = 1,
                                   .records_max = 20,
                                   .bytes_max = 1000};
    struct daemon_view self = {.id = {SELF}, .entry = true};
    struct call_event event = {.kind = CALL_EV_DAEMONS};

    memset(&fixture, 0, sizeof(fixture));
    fixture.core = call_core_new(&options);
    fixture.now = 1000 * MS;
    fixture.epoch_service = true;
    event.u.daemons.items = &self;
    event.u.daemons.count = 1;
    step(&fixture, &event);
    set_targets(&fixture, 2, 1, 1);
    tick(&fixture, 50);
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

#define IDEMPOTENT     true
#define NON_IDEMPOTENT false

/* Return the packet of request ID with a deadline of 2 s. */
static struct call_packet
request_of(uint64_t id, bool idempotent)
{
    return (struct call_packet){
        .pool = {POOL},
        .caller = CALLER,
        .caller_port = 4000,
        .service = 0x0b000001,
        .service_port = 80,
        .option = {.id = id,
                   .deadline_ms = 2000,
                   .idempotent = idempotent,
                   .parts = 1},
        .payload = (const uint8_t *)"request",
        .payload_len = 7,
    };
}

/* Step the core with PACKET. */
static void
receive(struct fixture *fixture, struct call_packet packet)
{
    struct call_event event = {.kind = CALL_EV_PACKET};

    event.u.packet = packet;
    step(fixture, &event);
}

/* Receive request ID. */
static void
request(struct fixture *fixture, uint64_t id, bool idempotent)
{
    receive(fixture, request_of(id, idempotent));
}

/* Receive a packet of KIND that the target of the datagram SENT returns. */
static void
answer(struct fixture *fixture, const struct call_datagram *sent,
       enum call_kind kind)
{
    struct call_packet packet = {
        .pool = {POOL},
        .caller = sent->caller,
        .target = sent->target.address,
        .option = {.id = sent->option.id,
                   .attempt = sent->option.attempt,
                   .kind = kind,
                   .parts = 1},
        .payload = (const uint8_t *)"answer",
        .payload_len = 6,
    };

    receive(fixture, packet);
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

/* Return the action of KIND in the last step, which must be the only one. */
static struct call_action
only_action(const struct fixture *fixture, enum call_action_kind kind)
{
    assert_int_equal(count(fixture, kind), 1);
    for (size_t i = 0; i < fixture->out.count; i++) {
        if (fixture->out.items[i].kind == kind) {
            return fixture->out.items[i];
        }
    }
    fail();
    return (struct call_action){0};
}

/* Assert that the last step refused one call with KIND and REASON. */
static void
assert_refused(const struct fixture *fixture, enum call_kind kind,
               enum call_reason reason)
{
    struct call_action action = only_action(fixture, CALL_ACT_REFUSE);

    assert_int_equal(action.u.datagram.option.kind, kind);
    assert_string_equal(call_reason_name(action.u.datagram.reason),
                        call_reason_name(reason));
}

/* Assert that the last step dropped one packet for REASON. */
static void
assert_dropped(const struct fixture *fixture, enum call_reason reason)
{
    struct call_action action = only_action(fixture, CALL_ACT_DROP);

    assert_string_equal(call_reason_name(action.u.drop.reason),
                        call_reason_name(reason));
}

/* A duplicate gets no second run, and a retry gets the kept answer. */
static void
test_answer_and_repeat(void **state)
{
    struct fixture *fixture = *state;
    struct call_datagram sent;
    struct call_packet again = request_of(5, NON_IDEMPOTENT);

    request(fixture, 5, NON_IDEMPOTENT);
    sent = only_action(fixture, CALL_ACT_SEND).u.datagram;
    assert_int_equal(sent.option.attempt, 1);
    assert_in_range(sent.option.deadline_ms, 1990, 2001);
    assert_memory_equal(sent.payload, "request", 7);
    request(fixture, 5, NON_IDEMPOTENT);
    assert_dropped(fixture, CALL_REASON_DUPLICATE);
    answer(fixture, &sent, CALL_ANSWER);
    assert_memory_equal(
        only_action(fixture, CALL_ACT_ANSWER).u.datagram.payload, "answer", 6);
    answer(fixture, &sent, CALL_ANSWER);
    assert_dropped(fixture, CALL_REASON_LATE);
    again.caller_port = 4001; /* a retry from another port */
    receive(fixture, again);
    assert_int_equal(
        only_action(fixture, CALL_ACT_ANSWER).u.datagram.caller_port, 4001);
    assert_int_equal(count(fixture, CALL_ACT_SEND), 0);
}

/* An answer of another attempt, target, caller or incarnation is dropped. */
static void
test_mismatches(void **state)
{
    struct fixture *fixture = *state;
    struct call_datagram sent;
    struct call_datagram wrong;

    request(fixture, 5, NON_IDEMPOTENT);
    sent = only_action(fixture, CALL_ACT_SEND).u.datagram;
    wrong = sent;
    wrong.option.attempt = 2;
    answer(fixture, &wrong, CALL_ANSWER);
    assert_dropped(fixture, CALL_REASON_WRONG_ATTEMPT);
    wrong = sent;
    wrong.target.address ^= 3;
    answer(fixture, &wrong, CALL_NOT_RUN);
    assert_dropped(fixture, CALL_REASON_WRONG_TARGET);
    wrong = sent;
    wrong.caller++;
    answer(fixture, &wrong, CALL_ANSWER);
    assert_dropped(fixture, CALL_REASON_UNKNOWN_ID);
    answer(fixture, &sent, CALL_REQUEST);
    assert_dropped(fixture, CALL_REASON_WRONG_KIND);
    set_targets(fixture, 2, 1, 2); /* another target has the address now */
    answer(fixture, &sent, CALL_ANSWER);
    assert_dropped(fixture, CALL_REASON_WRONG_TARGET);
}

/* A call beyond the limit of the queue is refused, and stays refused. */
static void
test_queue_full(void **state)
{
    struct fixture *fixture = *state;

    for (uint64_t id = 1; id <= 5; id++) {
        request(fixture, id, NON_IDEMPOTENT);
        assert_int_equal(count(fixture, CALL_ACT_SEND), id <= 2);
    }
    request(fixture, 6, NON_IDEMPOTENT);
    assert_refused(fixture, CALL_NOT_RUN, CALL_REASON_QUEUE_FULL);
    request(fixture, 6, NON_IDEMPOTENT); /* repeated: it stays refused */
    assert_refused(fixture, CALL_NOT_RUN, CALL_REASON_QUEUE_FULL);
    request(fixture, 7, IDEMPOTENT);
    assert_refused(fixture, CALL_NOT_RUN, CALL_REASON_QUEUE_FULL);
}

/*
 * A caller with one call is queued before the last calls of a caller with
 * many.
 */
static void
test_fair_queue(void **state)
{
    struct fixture *fixture = *state;
    struct call_datagram sent;
    struct call_packet other = request_of(9, NON_IDEMPOTENT);

    other.caller = CALLER + 1;
    request(fixture, 1, NON_IDEMPOTENT);
    sent = only_action(fixture, CALL_ACT_SEND).u.datagram;
    for (uint64_t id = 2; id <= 5; id++) {
        request(fixture, id, NON_IDEMPOTENT);
    }
    receive(fixture, other);
    assert_refused(fixture, CALL_NOT_RUN, CALL_REASON_QUEUE_FULL);
    assert_int_equal(
        only_action(fixture, CALL_ACT_REFUSE).u.datagram.option.id, 5);
    answer(fixture, &sent, CALL_ANSWER);
    assert_int_equal(only_action(fixture, CALL_ACT_SEND).u.datagram.caller,
                     CALLER + 1);
}

/* Requests and answers of several parts are passed on once complete. */
static void
test_parts(void **state)
{
    struct fixture *fixture = *state;
    struct call_packet part = request_of(5, NON_IDEMPOTENT);
    struct call_datagram sent;

    part.option.parts = 2;
    part.option.part = 1;
    receive(fixture, part);
    assert_int_equal(count(fixture, CALL_ACT_SEND), 0);
    part.option.part = 0;
    receive(fixture, part);
    assert_int_equal(count(fixture, CALL_ACT_SEND), 2);
    sent = fixture->out.items[0].u.datagram;
    part = (struct call_packet){
        .pool = {POOL},
        .caller = CALLER,
        .target = sent.target.address,
        .option = {.id = 5, .attempt = 1, .kind = CALL_ANSWER, .parts = 2},
        .payload = (const uint8_t *)"x",
        .payload_len = 1,
    };
    part.option.part = 1;
    receive(fixture, part);
    assert_int_equal(count(fixture, CALL_ACT_ANSWER), 0);
    receive(fixture, part);
    assert_dropped(fixture, CALL_REASON_DUPLICATE);
    part.option.part = 0;
    part.option.parts = 3;
    receive(fixture, part);
    assert_dropped(fixture, CALL_REASON_WRONG_PARTS);
    part.option.parts = 2;
    receive(fixture, part);
    assert_int_equal(count(fixture, CALL_ACT_ANSWER), 2);
}

/* A refused call is retried at another target while the budget lasts. */
static void
test_target_refuses(void **state)
{
    struct fixture *fixture = *state;
    struct call_datagram first;
    struct call_datagram second;

    request(fixture, 5, NON_IDEMPOTENT); /* the budget is one retry */
    first = only_action(fixture, CALL_ACT_SEND).u.datagram;
    answer(fixture, &first, CALL_NOT_RUN);
    second = only_action(fixture, CALL_ACT_SEND).u.datagram;
    assert_int_equal(second.option.attempt, 2);
    assert_int_not_equal(second.target.address, first.target.address);
    answer(fixture, &second, CALL_NOT_RUN); /* the budget is spent */
    assert_refused(fixture, CALL_NOT_RUN, CALL_REASON_TARGET_REFUSED);
    assert_int_equal(call_core_counters(fixture->core)->retries_denied, 1);
}

/* A sent non-idempotent call without an answer is never sent again. */
static void
test_silent_target(void **state)
{
    struct fixture *fixture = *state;
    struct call_datagram sent;

    request(fixture, 5, NON_IDEMPOTENT);
    sent = only_action(fixture, CALL_ACT_SEND).u.datagram;
    tick(fixture, 2050);
    assert_refused(fixture, CALL_OUTCOME_UNKNOWN, CALL_REASON_DEADLINE);
    assert_int_equal(count(fixture, CALL_ACT_CANCEL), 1);
    assert_int_equal(count(fixture, CALL_ACT_SEND), 0);
    answer(fixture, &sent, CALL_ANSWER);
    assert_dropped(fixture, CALL_REASON_LATE);
    request(fixture, 5, NON_IDEMPOTENT); /* repeated: it does not run again */
    assert_refused(fixture, CALL_OUTCOME_UNKNOWN, CALL_REASON_DEADLINE);
}

/* A slow idempotent call is sent again; the first answer counts. */
static void
test_slow_idempotent(void **state)
{
    struct fixture *fixture = *state;
    struct call_datagram first;
    struct call_datagram second;

    for (uint64_t id = 100; id < 110; id++) {
        request(fixture, id, IDEMPOTENT);
        first = only_action(fixture, CALL_ACT_SEND).u.datagram;
        fixture->now += MS;
        answer(fixture, &first, CALL_ANSWER);
    }
    request(fixture, 5, IDEMPOTENT);
    first = only_action(fixture, CALL_ACT_SEND).u.datagram;
    tick(fixture, 1000);
    second = only_action(fixture, CALL_ACT_SEND).u.datagram;
    assert_int_not_equal(second.target.address, first.target.address);
    answer(fixture, &first, CALL_ANSWER); /* late, but of an open attempt */
    assert_int_equal(count(fixture, CALL_ACT_ANSWER), 1);
    assert_int_equal(count(fixture, CALL_ACT_CANCEL), 1);
    answer(fixture, &second, CALL_ANSWER);
    assert_dropped(fixture, CALL_REASON_LATE);
}

/*
 * A cancel refuses an unsent call and is passed to the target of a sent one.
 */
static void
test_cancel(void **state)
{
    struct fixture *fixture = *state;
    struct call_packet cancel = request_of(3, NON_IDEMPOTENT);

    cancel.option.kind = CALL_CANCEL;
    receive(fixture, cancel);
    assert_dropped(fixture, CALL_REASON_UNKNOWN_ID);
    for (uint64_t id = 1; id <= 3; id++) {
        request(fixture, id, NON_IDEMPOTENT);
    }
    receive(fixture, cancel);
    assert_refused(fixture, CALL_NOT_RUN, CALL_REASON_CANCELLED);
    request(fixture, 3, NON_IDEMPOTENT);
    assert_refused(fixture, CALL_NOT_RUN, CALL_REASON_CANCELLED);
    cancel.option.id = 1;
    receive(fixture, cancel);
    assert_int_equal(
        only_action(fixture, CALL_ACT_CANCEL).u.datagram.option.kind,
        CALL_CANCEL);
    assert_int_equal(count(fixture, CALL_ACT_REFUSE), 0);
}

/* Calls are refused after a second without a target. */
static void
test_no_target(void **state)
{
    struct fixture *fixture = *state;

    set_targets(fixture, 0, 0, 0);
    request(fixture, 5, NON_IDEMPOTENT);
    assert_int_equal(count(fixture, CALL_ACT_REFUSE), 0);
    tick(fixture, 1500);
    assert_refused(fixture, CALL_NOT_RUN, CALL_REASON_NO_TARGET);
}

/* A call whose deadline passes in the queue is refused and not sent. */
static void
test_deadline_in_queue(void **state)
{
    struct fixture *fixture = *state;
    struct call_packet short_call = request_of(5, NON_IDEMPOTENT);

    request(fixture, 1, NON_IDEMPOTENT);
    request(fixture, 2, NON_IDEMPOTENT);
    short_call.option.deadline_ms = 100;
    receive(fixture, short_call);
    tick(fixture, 150);
    assert_refused(fixture, CALL_NOT_RUN, CALL_REASON_DEADLINE);
}

/*
 * Without an answer of the epoch service, idempotent calls still run after the
 * lease has expired, but others end with "outcome unknown".
 */
static void
test_epoch_service_silent(void **state)
{
    struct fixture *fixture = *state;
    struct call_datagram sent;

    fixture->epoch_service = false;
    fixture->now += 11000 * MS; /* the lease has expired */
    tick(fixture, 200);
    request(fixture, 5, IDEMPOTENT);
    sent = only_action(fixture, CALL_ACT_SEND).u.datagram;
    answer(fixture, &sent, CALL_ANSWER);
    assert_false(call_core_has_active_lease(
        fixture->core, (struct pool_id){POOL}, fixture->now));
    request(fixture, 6, NON_IDEMPOTENT);
    assert_int_equal(count(fixture, CALL_ACT_SEND), 0);
    tick(fixture, 2100);
    assert_refused(fixture, CALL_OUTCOME_UNKNOWN, CALL_REASON_NO_EPOCH);
}

/*
 * The limits of bytes and records hold, and records expire: after their
 * retention new calls are recorded again.
 */
static void
test_limits(void **state)
{
    struct fixture *fixture = *state;
    static const uint8_t big[1001];
    struct call_packet large = request_of(50, NON_IDEMPOTENT);

    large.payload = big;
    large.payload_len = sizeof(big);
    receive(fixture, large);
    assert_refused(fixture, CALL_NOT_RUN, CALL_REASON_BYTES_FULL);
    for (uint64_t id = 1; id < 20; id++) { /* 20 records in all */
        struct call_datagram sent;

        request(fixture, id, NON_IDEMPOTENT);
        sent = only_action(fixture, CALL_ACT_SEND).u.datagram;
        answer(fixture, &sent, CALL_ANSWER);
    }
    request(fixture, 20, NON_IDEMPOTENT);
    assert_refused(fixture, CALL_OUTCOME_UNKNOWN, CALL_REASON_RECORDS_FULL);
    fixture->now += 36000 * MS;
    tick(fixture, 200);
    request(fixture, 21, NON_IDEMPOTENT);
    assert_int_equal(count(fixture, CALL_ACT_SEND), 1);
}

/*
 * A planned stop of the only daemon completes sent calls and refuses new ones,
 * since no daemon is left to take over.
 */
static void
test_planned_stop(void **state)
{
    struct fixture *fixture = *state;
    struct call_event stop = {.kind = CALL_EV_STOP};
    struct call_datagram sent;

    request(fixture, 5, NON_IDEMPOTENT);
    sent = only_action(fixture, CALL_ACT_SEND).u.datagram;
    step(fixture, &stop);
    tick(fixture, 1500);
    assert_int_equal(count(fixture, CALL_ACT_STOPPED), 0);
    request(fixture, 6, NON_IDEMPOTENT);
    assert_refused(fixture, CALL_NOT_RUN, CALL_REASON_STOPPING);
    answer(fixture, &sent, CALL_ANSWER);
    assert_int_equal(count(fixture, CALL_ACT_ANSWER), 1);
    tick(fixture, 100);
    assert_int_equal(count(fixture, CALL_ACT_STOPPED), 1);
}

/* Calls go to the targets with the lowest utilization. */
static void
test_least_loaded(void **state)
{
    struct fixture *fixture = *state;
    unsigned sent[3] = {0};

    set_targets(fixture, 3, 4, 1);
    for (uint64_t id = 1; id <= 9; id++) {
        request(fixture, id, IDEMPOTENT);
        sent[only_action(fixture, CALL_ACT_SEND).u.datagram.target.address -
             BASE]++;
    }
    for (unsigned i = 0; i < 3; i++) {
        assert_int_equal(sent[i], 3);
    }
}

/*
 * A request is dropped if it was in transit for longer than ids are remembered
 * beyond their deadline, since its record may have expired.  An answer is
 * accepted whatever its age.
 */
static void
test_long_transit(void **state)
{
    struct fixture *fixture = *state;
    struct call_packet packet = request_of(7, true);

    packet.hops = 1;
    packet.age_us = 42000000;
    receive(fixture, packet);
    assert_int_equal(only_action(fixture, CALL_ACT_DROP).u.drop.reason,
                     CALL_REASON_AGED);
    assert_int_equal(count(fixture, CALL_ACT_SEND), 0);
    packet.age_us = 4000000;
    receive(fixture, packet);
    assert_int_equal(count(fixture, CALL_ACT_SEND), 1);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)

int
main(void)
{
    const struct CMUnitTest tests[] = {
        TEST(test_answer_and_repeat),
        TEST(test_mismatches),
        TEST(test_queue_full),
        TEST(test_fair_queue),
        TEST(test_parts),
        TEST(test_target_refuses),
        TEST(test_silent_target),
        TEST(test_slow_idempotent),
        TEST(test_cancel),
        TEST(test_no_target),
        TEST(test_deadline_in_queue),
        TEST(test_epoch_service_silent),
        TEST(test_limits),
        TEST(test_planned_stop),
        TEST(test_least_loaded),
        TEST(test_long_transit),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
