/* Sends calls to targets: dispatch, retries within a budget, and deadlines. */
#include "call/call_internal.h"

#define MICROSECONDS_PER_MS 1000
#define RETRY_COST          100 /* hundredths of a retry */

/* deviations above the mean latency at which a call counts as slow */
#define SLOW_DEVIATIONS   4
#define NO_TARGET_WAIT_US 1000000 /* for a first target, before refusal */
/* how long calls wait for an epoch before they end with "outcome unknown" */
#define NO_EPOCH_WAIT_US 2000000

static void send_attempt(struct call_step *, struct call_pool *, struct call *,
                         struct call_target *);
static void check_call_timeouts(struct call_step *, struct call_pool *,
                                struct call *);

/* Return the time left until the deadline of CALL, in ms, rounded up. */
static uint32_t
deadline_left_ms(const struct call_step *step, const struct call *call)
{
    uint64_t left = call->deadline_us - step->now_us;

    return (uint32_t)(left / MICROSECONDS_PER_MS) + 1;
}

/*
 * Return the number of the attempt INDEX on the wire.  Two owners may send the
 * same idempotent call: a tag distinguishes their attempts.
 */
uint32_t
call_attempt_number(const struct call_core *core, const struct call *call,
                    unsigned index)
{
    uint32_t tag = call->idempotent ? core->attempt_tag : 0;

    return tag << CALL_ATTEMPT_BITS | (index + 1);
}

/*
 * Return a datagram to the target of the attempt INDEX, without payload.  Its
 * port is 0 if the target is gone.
 */
static struct call_datagram
target_datagram(const struct call_step *step, const struct call_pool *pool,
                const struct call *call, unsigned index)
{
    const struct call_attempt *attempt = call->attempts[index];
    const struct call_target *target = call_target_find(pool, attempt->target);

    return (struct call_datagram){
        .pool = pool->id,
        .target = attempt->target,
        .target_port = target == NULL ? 0 : target->view.port,
        .caller = call->key.caller,
        .service = call->service,
        .caller_port = call->caller_port,
        .service_port = call->service_port,
        .option =
            {
                .id = call->key.id,
                .attempt = call_attempt_number(step->core, call, index),
                .deadline_ms = call->deadline_us > step->now_us
                                   ? deadline_left_ms(step, call)
                                   : 1,
                .kind = CALL_REQUEST,
                .idempotent = call->idempotent,
                .parts = 1,
            },
    };
}

/* Send all parts of CALL to TARGET as a new attempt. */
static void
send_attempt(struct call_step *step, struct call_pool *pool, struct call *call,
             struct call_target *target)
{
    struct call_attempt *attempt = g_new0(struct call_attempt, 1);
    unsigned index = call->attempt_count++;

    attempt->target = target->view.key;
    attempt->sent_us = step->now_us;
    attempt->open = true;
    call->attempts[index] = attempt;
    target->slots_used++;
    target->last_sequence = step->core->sequence++;
    target->evidence.opened++;
    call_set_state(pool, call, CALL_STATE_SENT);
    step->core->counters.sent++;
    step->core->counters.retries += index > 0;
    for (uint32_t part = 0; part < call->parts; part++) {
        struct call_datagram datagram =
            target_datagram(step, pool, call, index);

        datagram.option.part = part;
        datagram.option.parts = call->parts;
        datagram.payload =
            g_bytes_get_data(call->request[part], &datagram.payload_len);
        call_action_add(step, CALL_ACT_SEND)->u.datagram = datagram;
    }
}

/* Send calls from the queue while targets have free slots. */
void
call_dispatch(struct call_step *step, struct call_pool *pool)
{
    GSequenceIter *iter = g_sequence_get_begin_iter(pool->queue);

    while (!g_sequence_iter_is_end(iter)) {
        struct call *call = g_sequence_get(iter);
        struct call_target *target;

        iter = g_sequence_iter_next(iter);
        if (step->now_us >= call->deadline_us) {
            call_refuse(step, pool, call, CALL_REASON_DEADLINE);
            continue;
        }
        target = call_target_choose(step, pool, call);
        if (target == NULL && call->attempt_count == 0) {
            return;
        }
        if (target == NULL) {
            continue;
        }
        pool->virtual_time = MAX(pool->virtual_time, call->queue_tag);
        send_attempt(step, pool, call, target);
    }
}

/* Close ATTEMPT and free the slot that it uses. */
void
call_attempt_close(struct call_pool *pool, struct call_attempt *attempt)
{
    struct call_target *target = call_target_find(pool, attempt->target);

    if (attempt->open && target != NULL && target->slots_used > 0) {
        target->slots_used--;
    }
    attempt->open = false;
}

/* Send a cancel to the target of the attempt INDEX, if it is open. */
void
call_attempt_cancel(struct call_step *step, struct call_pool *pool,
                    const struct call *call, unsigned index)
{
    struct call_datagram datagram = target_datagram(step, pool, call, index);

    if (!call->attempts[index]->open || datagram.target_port == 0) {
        return;
    }
    datagram.option.kind = CALL_CANCEL;
    call_action_add(step, CALL_ACT_CANCEL)->u.datagram = datagram;
}

/*
 * Close all open attempts of CALL.  With CANCEL their targets get a cancel;
 * with UNANSWERED they are reported as not having answered.
 */
void
call_attempts_end(struct call_step *step, struct call_pool *pool,
                  struct call *call, bool cancel, bool unanswered)
{
    for (unsigned i = 0; i < call->attempt_count; i++) {
        struct call_attempt *attempt = call->attempts[i];
        struct call_target *target = call_target_find(pool, attempt->target);

        if (!attempt->open) {
            continue;
        }
        if (cancel) {
            call_attempt_cancel(step, pool, call, i);
        }
        if (unanswered && target != NULL) {
            target->evidence.unanswered++;
        }
        call_attempt_close(pool, attempt);
    }
}

/*
 * If CALL may be sent once more, take the cost from the budget and return
 * true.
 */
static bool
take_retry(struct call_step *step, struct call_pool *pool,
           const struct call *call)
{
    if (call->cancelled || step->now_us >= call->deadline_us ||
        call->attempt_count >= step->core->options.attempts_max) {
        return false;
    }
    if (pool->retry_tokens < RETRY_COST) {
        step->core->counters.retries_denied++;
        return false;
    }
    pool->retry_tokens -= RETRY_COST;
    return true;
}

/*
 * Retry CALL, which has no open attempt after a refusal or, if it is
 * idempotent, an unknown outcome, at another target, or refuse it.
 */
void
call_retry(struct call_step *step, struct call_pool *pool, struct call *call,
           enum call_reason reason)
{
    if (take_retry(step, pool, call)) {
        call_queue_add(pool, call);
        return;
    }
    call_refuse(step, pool, call,
                call->cancelled ? CALL_REASON_CANCELLED : reason);
}

/* Send an idempotent call that was not answered in time to another target. */
static void
retry_slow(struct call_step *step, struct call_pool *pool, struct call *call)
{
    const struct call_attempt *last = call->attempts[call->attempt_count - 1];
    uint64_t wait = MIN(step->core->options.retry_after_us,
                        (call->deadline_us - call->arrived_us) / 3);
    uint64_t slow_after_us =
        (uint64_t)(pool->latency_us +
                   SLOW_DEVIATIONS * pool->latency_deviation_us);
    bool gone = call_target_find(pool, last->target) == NULL;
    struct call_target *target;

    if (!gone && step->now_us < last->sent_us + MAX(wait, slow_after_us)) {
        return;
    }
    target = call_target_choose(step, pool, call);
    if (target != NULL && take_retry(step, pool, call)) {
        send_attempt(step, pool, call, target);
    }
}

/* Process the timeouts of one open call. */
static void
check_call_timeouts(struct call_step *step, struct call_pool *pool,
                    struct call *call)
{
    bool expired = step->now_us >= call->deadline_us;

    switch (call->state) {
    case CALL_STATE_ASSEMBLING:
    case CALL_STATE_QUEUED:
        if (expired) {
            call_refuse(step, pool, call, CALL_REASON_DEADLINE);
        }
        else if (pool->no_target_since_us != 0 &&
                 call->state == CALL_STATE_QUEUED &&
                 step->now_us >=
                     pool->no_target_since_us + NO_TARGET_WAIT_US) {
            call_refuse(step, pool, call, CALL_REASON_NO_TARGET);
        }
        break;
    case CALL_STATE_RECORDING:
    case CALL_STATE_REFUSING:
        if (expired ||
            (call->record_offset == CALL_OFFSET_NONE &&
             step->now_us >=
                 pool->ownership.without_epoch_since_us + NO_EPOCH_WAIT_US)) {
            call_end_unknown(step, pool, call, CALL_REASON_NO_EPOCH);
        }
        break;
    case CALL_STATE_SENT:
        if (expired) {
            call_end_unknown(step, pool, call, CALL_REASON_DEADLINE);
        }
        else if (call->idempotent && !call->cancelled) {
            retry_slow(step, pool, call);
        }
        break;
    case CALL_STATE_EARLIER_EPOCH:
        if (expired) {
            call_end_unknown(step, pool, call, CALL_REASON_EARLIER_EPOCH);
        }
        break;
    case CALL_STATE_ANSWERED:
    case CALL_STATE_REFUSED:
    case CALL_STATE_UNKNOWN:
        break;
    }
}

/* Process deadlines, retries and the lack of targets of all open calls. */
void
call_check_timeouts(struct call_step *step, struct call_pool *pool)
{
    GList *link = pool->open.head;

    if (call_pool_has_target(pool)) {
        pool->no_target_since_us = 0;
    }
    else if (pool->no_target_since_us == 0) {
        pool->no_target_since_us = step->now_us;
    }
    while (link != NULL) {
        struct call *call = link->data;

        link = link->next;
        check_call_timeouts(step, pool, call);
    }
    call_remove_expired(step, pool);
}
