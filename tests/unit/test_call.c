/* The call core on one daemon that leads: each rule brought about once. */
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

struct bench {
    struct call_core *core;
    struct call_actions out;
    uint64_t now;
    struct call_epoch epoch;
    bool authority; /* answers */
};

static void
step(struct bench *bench, const struct call_event *event)
{
    bench->out.count = 0;
    call_core_step(bench->core, bench->now, event, &bench->out);
    for (size_t i = 0; i < bench->out.count; i++) {
        struct call_want want = bench->out.items[i].u.want;
        struct call_event answer = {.kind = CALL_EV_EPOCH};

        if (bench->out.items[i].kind != CALL_ACT_WANT_EPOCH ||
            !bench->authority) {
            continue;
        }
        if (!want.confirm) {
            bench->epoch.pool = want.pool;
            bench->epoch.number++;
            bench->epoch.group_count = want.group_count;
            memcpy(bench->epoch.group, want.group, sizeof(want.group));
        }
        answer.u.epoch.epoch = bench->epoch;
        answer.u.epoch.asked_us = want.asked_us;
        call_core_step(bench->core, bench->now, &answer, &bench->out);
    }
}

static void
tick(struct bench *bench, unsigned ms)
{
    for (unsigned passed = 0; passed < ms; passed += 50) {
        struct call_event event = {.kind = CALL_EV_TICK};
        size_t kept = 0;

        bench->now += 50 * MS;
        step(bench, &event);
        for (size_t i = 0; i < bench->out.count; i++) {
            kept += bench->out.items[i].kind == CALL_ACT_REFUSE ||
                    bench->out.items[i].kind == CALL_ACT_SEND ||
                    bench->out.items[i].kind == CALL_ACT_STOPPED;
        }
        if (kept > 0) {
            return;
        }
    }
}

static void
view(struct bench *bench, unsigned targets, uint16_t slots,
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
    step(bench, &event);
}

static int
set_up(void **state)
{
    static struct bench bench;
    struct call_options options = {.self = {SELF},
                                   .queue_limit = 3,
                                   .retry_percent = 1,
                                   .records_max = 20,
                                   .bytes_max = 1000};
    struct daemon_view self = {.id = {SELF}, .entry = true};
    struct call_event event = {.kind = CALL_EV_DAEMONS};

    memset(&bench, 0, sizeof(bench));
    bench.core = call_core_new(&options);
    bench.now = 1000 * MS;
    bench.authority = true;
    event.u.daemons.items = &self;
    event.u.daemons.count = 1;
    step(&bench, &event);
    view(&bench, 2, 1, 1);
    tick(&bench, 50);
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

#define IDEMPOTENT true
#define ONCE       false

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

static void
take(struct bench *bench, struct call_packet packet)
{
    struct call_event event = {.kind = CALL_EV_PACKET};

    event.u.packet = packet;
    step(bench, &event);
}

static void
request(struct bench *bench, uint64_t id, bool idempotent)
{
    take(bench, request_of(id, idempotent));
}

/* A target's packet that answers the datagram SENT. */
static void
answer(struct bench *bench, const struct call_datagram *sent,
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

    take(bench, packet);
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

/* The one action of KIND in the last step. */
static struct call_action
only(const struct bench *bench, enum call_action_kind kind)
{
    assert_int_equal(count(bench, kind), 1);
    for (size_t i = 0; i < bench->out.count; i++) {
        if (bench->out.items[i].kind == kind) {
            return bench->out.items[i];
        }
    }
    fail();
    return (struct call_action){0};
}

static void
assert_refused(const struct bench *bench, enum call_kind kind,
               enum call_reason reason)
{
    struct call_action action = only(bench, CALL_ACT_REFUSE);

    assert_int_equal(action.u.datagram.option.kind, kind);
    assert_string_equal(call_reason_name(action.u.datagram.reason),
                        call_reason_name(reason));
}

static void
assert_dropped(const struct bench *bench, enum call_reason reason)
{
    struct call_action action = only(bench, CALL_ACT_DROP);

    assert_string_equal(call_reason_name(action.u.drop.reason),
                        call_reason_name(reason));
}

static void
test_answer_and_repeat(void **state)
{
    struct bench *bench = *state;
    struct call_datagram sent;
    struct call_packet again = request_of(5, ONCE);

    request(bench, 5, ONCE);
    sent = only(bench, CALL_ACT_SEND).u.datagram;
    assert_int_equal(sent.option.attempt, 1);
    assert_in_range(sent.option.deadline_ms, 1990, 2001);
    assert_memory_equal(sent.payload, "request", 7);
    request(bench, 5, ONCE);
    assert_dropped(bench, CALL_REASON_DUPLICATE);
    answer(bench, &sent, CALL_ANSWER);
    assert_memory_equal(only(bench, CALL_ACT_ANSWER).u.datagram.payload,
                        "answer", 6);
    answer(bench, &sent, CALL_ANSWER);
    assert_dropped(bench, CALL_REASON_LATE);
    again.caller_port = 4001; /* a retry from another port */
    take(bench, again);
    assert_int_equal(only(bench, CALL_ACT_ANSWER).u.datagram.caller_port,
                     4001);
    assert_int_equal(count(bench, CALL_ACT_SEND), 0);
}

static void
test_mismatches(void **state)
{
    struct bench *bench = *state;
    struct call_datagram sent;
    struct call_datagram odd;

    request(bench, 5, ONCE);
    sent = only(bench, CALL_ACT_SEND).u.datagram;
    odd = sent;
    odd.option.attempt = 2;
    answer(bench, &odd, CALL_ANSWER);
    assert_dropped(bench, CALL_REASON_WRONG_ATTEMPT);
    odd = sent;
    odd.target.address ^= 3;
    answer(bench, &odd, CALL_NOT_RUN);
    assert_dropped(bench, CALL_REASON_WRONG_TARGET);
    odd = sent;
    odd.caller++;
    answer(bench, &odd, CALL_ANSWER);
    assert_dropped(bench, CALL_REASON_UNKNOWN_ID);
    answer(bench, &sent, CALL_REQUEST);
    assert_dropped(bench, CALL_REASON_WRONG_KIND);
    view(bench, 2, 1, 2); /* the address has changed hands since */
    answer(bench, &sent, CALL_ANSWER);
    assert_dropped(bench, CALL_REASON_WRONG_TARGET);
}

static void
test_queue_full(void **state)
{
    struct bench *bench = *state;

    for (uint64_t id = 1; id <= 5; id++) {
        request(bench, id, ONCE);
        assert_int_equal(count(bench, CALL_ACT_SEND), id <= 2);
    }
    request(bench, 6, ONCE);
    assert_refused(bench, CALL_NOT_RUN, CALL_REASON_QUEUE_FULL);
    request(bench, 6, ONCE); /* it stays refused */
    assert_refused(bench, CALL_NOT_RUN, CALL_REASON_QUEUE_FULL);
    request(bench, 7, IDEMPOTENT);
    assert_refused(bench, CALL_NOT_RUN, CALL_REASON_QUEUE_FULL);
}

/* A caller with one call goes before the tail of one with many. */
static void
test_fair_queue(void **state)
{
    struct bench *bench = *state;
    struct call_datagram sent;
    struct call_packet other = request_of(9, ONCE);

    other.caller = CALLER + 1;
    request(bench, 1, ONCE);
    sent = only(bench, CALL_ACT_SEND).u.datagram;
    for (uint64_t id = 2; id <= 5; id++) {
        request(bench, id, ONCE);
    }
    take(bench, other);
    assert_refused(bench, CALL_NOT_RUN, CALL_REASON_QUEUE_FULL);
    assert_int_equal(only(bench, CALL_ACT_REFUSE).u.datagram.option.id, 5);
    answer(bench, &sent, CALL_ANSWER);
    assert_int_equal(only(bench, CALL_ACT_SEND).u.datagram.caller, CALLER + 1);
}

static void
test_parts(void **state)
{
    struct bench *bench = *state;
    struct call_packet part = request_of(5, ONCE);
    struct call_datagram sent;

    part.option.parts = 2;
    part.option.part = 1;
    take(bench, part);
    assert_int_equal(count(bench, CALL_ACT_SEND), 0);
    part.option.part = 0;
    take(bench, part);
    assert_int_equal(count(bench, CALL_ACT_SEND), 2);
    sent = bench->out.items[0].u.datagram;
    part = (struct call_packet){
        .pool = {POOL},
        .caller = CALLER,
        .target = sent.target.address,
        .option = {.id = 5, .attempt = 1, .kind = CALL_ANSWER, .parts = 2},
        .payload = (const uint8_t *)"x",
        .payload_len = 1,
    };
    part.option.part = 1;
    take(bench, part);
    assert_int_equal(count(bench, CALL_ACT_ANSWER), 0);
    take(bench, part);
    assert_dropped(bench, CALL_REASON_DUPLICATE);
    part.option.part = 0;
    part.option.parts = 3;
    take(bench, part);
    assert_dropped(bench, CALL_REASON_WRONG_PARTS);
    part.option.parts = 2;
    take(bench, part);
    assert_int_equal(count(bench, CALL_ACT_ANSWER), 2);
}

static void
test_target_refuses(void **state)
{
    struct bench *bench = *state;
    struct call_datagram first;
    struct call_datagram second;

    request(bench, 5, ONCE); /* the budget is one retry */
    first = only(bench, CALL_ACT_SEND).u.datagram;
    answer(bench, &first, CALL_NOT_RUN);
    second = only(bench, CALL_ACT_SEND).u.datagram;
    assert_int_equal(second.option.attempt, 2);
    assert_int_not_equal(second.target.address, first.target.address);
    answer(bench, &second, CALL_NOT_RUN); /* the budget is spent */
    assert_refused(bench, CALL_NOT_RUN, CALL_REASON_TARGET_REFUSED);
    assert_int_equal(call_core_counters(bench->core)->retries_denied, 1);
}

static void
test_silent_target(void **state)
{
    struct bench *bench = *state;
    struct call_datagram sent;

    request(bench, 5, ONCE);
    sent = only(bench, CALL_ACT_SEND).u.datagram;
    tick(bench, 2050);
    assert_refused(bench, CALL_OUTCOME_UNKNOWN, CALL_REASON_DEADLINE);
    assert_int_equal(count(bench, CALL_ACT_CANCEL), 1);
    assert_int_equal(count(bench, CALL_ACT_SEND), 0);
    answer(bench, &sent, CALL_ANSWER);
    assert_dropped(bench, CALL_REASON_LATE);
    request(bench, 5, ONCE); /* never a second run */
    assert_refused(bench, CALL_OUTCOME_UNKNOWN, CALL_REASON_DEADLINE);
}

static void
test_slow_idempotent(void **state)
{
    struct bench *bench = *state;
    struct call_datagram first;
    struct call_datagram second;

    for (uint64_t id = 100; id < 110; id++) {
        request(bench, id, IDEMPOTENT);
        first = only(bench, CALL_ACT_SEND).u.datagram;
        bench->now += MS;
        answer(bench, &first, CALL_ANSWER);
    }
    request(bench, 5, IDEMPOTENT);
    first = only(bench, CALL_ACT_SEND).u.datagram;
    tick(bench, 1000);
    second = only(bench, CALL_ACT_SEND).u.datagram;
    assert_int_not_equal(second.target.address, first.target.address);
    answer(bench, &first, CALL_ANSWER); /* late, but its own attempt's */
    assert_int_equal(count(bench, CALL_ACT_ANSWER), 1);
    assert_int_equal(count(bench, CALL_ACT_CANCEL), 1);
    answer(bench, &second, CALL_ANSWER);
    assert_dropped(bench, CALL_REASON_LATE);
}

static void
test_cancel(void **state)
{
    struct bench *bench = *state;
    struct call_packet cancel = request_of(3, ONCE);

    cancel.option.kind = CALL_CANCEL;
    take(bench, cancel);
    assert_dropped(bench, CALL_REASON_UNKNOWN_ID);
    for (uint64_t id = 1; id <= 3; id++) {
        request(bench, id, ONCE);
    }
    take(bench, cancel);
    assert_refused(bench, CALL_NOT_RUN, CALL_REASON_CANCELLED);
    request(bench, 3, ONCE);
    assert_refused(bench, CALL_NOT_RUN, CALL_REASON_CANCELLED);
    cancel.option.id = 1;
    take(bench, cancel);
    assert_int_equal(only(bench, CALL_ACT_CANCEL).u.datagram.option.kind,
                     CALL_CANCEL);
    assert_int_equal(count(bench, CALL_ACT_REFUSE), 0);
}

static void
test_no_target(void **state)
{
    struct bench *bench = *state;

    view(bench, 0, 0, 0);
    request(bench, 5, ONCE);
    assert_int_equal(count(bench, CALL_ACT_REFUSE), 0);
    tick(bench, 1500);
    assert_refused(bench, CALL_NOT_RUN, CALL_REASON_NO_TARGET);
}

/* Deadlines that have passed in the queue: not run, and never sent. */
static void
test_deadline_in_queue(void **state)
{
    struct bench *bench = *state;
    struct call_packet hasty = request_of(5, ONCE);

    request(bench, 1, ONCE);
    request(bench, 2, ONCE);
    hasty.option.deadline_ms = 100;
    take(bench, hasty);
    tick(bench, 150);
    assert_refused(bench, CALL_NOT_RUN, CALL_REASON_DEADLINE);
}

static void
test_authority_silent(void **state)
{
    struct bench *bench = *state;
    struct call_datagram sent;

    bench->authority = false;
    bench->now += 11000 * MS; /* the lease has run out */
    tick(bench, 200);
    request(bench, 5, IDEMPOTENT);
    sent = only(bench, CALL_ACT_SEND).u.datagram;
    answer(bench, &sent, CALL_ANSWER);
    assert_false(
        call_core_leads(bench->core, (struct pool_id){POOL}, bench->now));
    request(bench, 6, ONCE);
    assert_int_equal(count(bench, CALL_ACT_SEND), 0);
    tick(bench, 2100);
    assert_refused(bench, CALL_OUTCOME_UNKNOWN, CALL_REASON_NO_EPOCH);
}

static void
test_bounds(void **state)
{
    struct bench *bench = *state;
    static const uint8_t big[1001];
    struct call_packet large = request_of(50, ONCE);

    large.payload = big;
    large.payload_len = sizeof(big);
    take(bench, large);
    assert_refused(bench, CALL_NOT_RUN, CALL_REASON_BYTES_FULL);
    for (uint64_t id = 1; id < 20; id++) { /* 20 records in all */
        struct call_datagram sent;

        request(bench, id, ONCE);
        sent = only(bench, CALL_ACT_SEND).u.datagram;
        answer(bench, &sent, CALL_ANSWER);
    }
    request(bench, 20, ONCE);
    assert_refused(bench, CALL_OUTCOME_UNKNOWN, CALL_REASON_RECORDS_FULL);
    bench->now += 36000 * MS;
    tick(bench, 200);
    request(bench, 21, ONCE);
    assert_int_equal(count(bench, CALL_ACT_SEND), 1);
}

static void
test_stop_alone(void **state)
{
    struct bench *bench = *state;
    struct call_event stop = {.kind = CALL_EV_STOP};
    struct call_datagram sent;

    request(bench, 5, ONCE);
    sent = only(bench, CALL_ACT_SEND).u.datagram;
    step(bench, &stop);
    tick(bench, 1500);
    assert_int_equal(count(bench, CALL_ACT_STOPPED), 0);
    request(bench, 6, ONCE);
    assert_refused(bench, CALL_NOT_RUN, CALL_REASON_STOPPING);
    answer(bench, &sent, CALL_ANSWER);
    assert_int_equal(count(bench, CALL_ACT_ANSWER), 1);
    tick(bench, 100);
    assert_int_equal(count(bench, CALL_ACT_STOPPED), 1);
}

static void
test_least_loaded(void **state)
{
    struct bench *bench = *state;
    unsigned sent[3] = {0};

    view(bench, 3, 4, 1);
    for (uint64_t id = 1; id <= 9; id++) {
        request(bench, id, IDEMPOTENT);
        sent[only(bench, CALL_ACT_SEND).u.datagram.target.address - BASE]++;
    }
    for (unsigned i = 0; i < 3; i++) {
        assert_int_equal(sent[i], 3);
    }
}

/*
 * A request that a connection held back for longer than ids outlive their
 * deadline goes no further; an answer does, however late it comes.
 */
static void
test_aged(void **state)
{
    struct bench *bench = *state;
    struct call_packet packet = request_of(7, true);

    packet.hops = 1;
    packet.age_us = 42000000;
    take(bench, packet);
    assert_int_equal(only(bench, CALL_ACT_DROP).u.drop.reason,
                     CALL_REASON_AGED);
    assert_int_equal(count(bench, CALL_ACT_SEND), 0);
    packet.age_us = 4000000;
    take(bench, packet);
    assert_int_equal(count(bench, CALL_ACT_SEND), 1);
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
        TEST(test_authority_silent),
        TEST(test_bounds),
        TEST(test_stop_alone),
        TEST(test_least_loaded),
        TEST(test_aged),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
