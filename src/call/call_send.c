/* Sending to targets: dispatch, retries within their budget, deadlines. */
#include "call/call_internal.h"

#define MICROSECONDS_PER_MS 1000
#define RETRY_COST          100 /* hundredths of a retry */

#define DEVIATIONS   4       /* of the latency, before a call counts as slow */
#define NO_TARGET_US 1000000 /* calls wait so long for a first target */
#define NO_EPOCH_US  2000000 /* calls wait so long for an epoch */

static void send_attempt(struct call_step *, struct call_pool *, struct call *,
                         struct call_slot *);
static void open_tick(struct call_step *, struct call_pool *, struct call *);

static uint32_t
deadline_left_ms(const struct call_step *step, const struct call *call)
{
    uint64_t left = call->deadline_us - step->now_us;

    return (uint32_t)(left / MICROSECONDS_PER_MS) + 1;
}

/*
 * The number of an attempt on the wire.  Two leads may send one idempotent
 * call: a tag keeps their attempts apart.
 */
uint32_t
call_attempt_number(const struct call_core *core, const struct call *call,
                    unsigned index)
{
    uint32_t tag = call->idempotent ? core->attempt_tag : 0;

    return tag << CALL_ATTEMPT_BITS | (index + 1);
}

static struct call_datagram
target_datagram(const struct call_step *step, const struct call_pool *pool,
                const struct call *call, unsigned index)
{
    const struct call_attempt *attempt = call->attempts[index];
    const struct call_slot *slot = call_slot_find(pool, attempt->target);

    return (struct call_datagram){
        .pool = pool->id,
        .target = attempt->target,
        .target_port = slot == NULL ? 0 : slot->view.port,
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

/* Send all parts of CALL to the target of SLOT as a new attempt. */
static void
send_attempt(struct call_step *step, struct call_pool *pool, struct call *call,
             struct call_slot *slot)
{
    struct call_attempt *attempt = g_new0(struct call_attempt, 1);
    unsigned index = call->attempt_count++;

    attempt->target = slot->view.key;
    attempt->sent_us = step->now_us;
    attempt->open = true;
    call->attempts[index] = attempt;
    slot->used++;
    slot->last_used = step->core->sequence++;
    slot->evidence.opened++;
    call_move(pool, call, CALL_SENT);
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
        struct call_slot *slot;

        iter = g_sequence_iter_next(iter);
        if (step->now_us >= call->deadline_us) {
            call_refuse(step, pool, call, CALL_REASON_DEADLINE);
            continue;
        }
        slot = call_slot_choose(step, pool, call);
        if (slot == NULL && call->attempt_count == 0) {
            return;
        }
        if (slot == NULL) {
            continue;
        }
        pool->virtual_time = MAX(pool->virtual_time, call->tag);
        send_attempt(step, pool, call, slot);
    }
}

/* Free the slot that ATTEMPT holds. */
void
call_attempt_close(struct call_pool *pool, struct call_attempt *attempt)
{
    struct call_slot *slot = call_slot_find(pool, attempt->target);

    if (attempt->open && slot != NULL && slot->used > 0) {
        slot->used--;
    }
    attempt->open = false;
}

/* Tell the target of an open attempt that nobody waits for it any more. */
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

/* Close all open attempts; CANCEL tells the targets. */
void
call_attempts_end(struct call_step *step, struct call_pool *pool,
                  struct call *call, bool cancel, bool unanswered)
{
    for (unsigned i = 0; i < call->attempt_count; i++) {
        struct call_attempt *attempt = call->attempts[i];
        struct call_slot *slot = call_slot_find(pool, attempt->target);

        if (!attempt->open) {
            continue;
        }
        if (cancel) {
            call_attempt_cancel(step, pool, call, i);
        }
        if (unanswered && slot != NULL) {
            slot->evidence.unanswered++;
        }
        call_attempt_close(pool, attempt);
    }
}

/* True if one more attempt is allowed; takes its cost from the budget. */
static bool
take_retry(struct call_step *step, struct call_pool *pool,
           const struct call *call)
{
    if (call->cancelled || step->now_us >= call->deadline_us ||
        call->attempt_count >= step->core->options.attempts_max) {
        return false;
    }
    if (pool->tokens < RETRY_COST) {
        step->core->counters.retries_denied++;
        return false;
    }
    pool->tokens -= RETRY_COST;
    return true;
}

/*
 * A target has refused CALL, and no attempt is open: try another target, or
 * pass the refusal on.
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

/* Send an idempotent call that got no answer in time to another target. */
static void
retry_silent(struct call_step *step, struct call_pool *pool, struct call *call)
{
    const struct call_attempt *last = call->attempts[call->attempt_count - 1];
    uint64_t wait = MIN(step->core->options.retry_after_us,
                        (call->deadline_us - call->arrived_us) / 3);
    uint64_t usual =
        (uint64_t)(pool->latency_us + DEVIATIONS * pool->latency_deviation_us);
    bool gone = call_slot_find(pool, last->target) == NULL;
    struct call_slot *slot;

    if (!gone && step->now_us < last->sent_us + MAX(wait, usual)) {
        return;
    }
    slot = call_slot_choose(step, pool, call);
    if (slot != NULL && take_retry(step, pool, call)) {
        send_attempt(step, pool, call, slot);
    }
}

/* Review one open call at NOW. */
static void
open_tick(struct call_step *step, struct call_pool *pool, struct call *call)
{
    bool late = step->now_us >= call->deadline_us;

    switch (call->state) {
    case CALL_GATHERING:
    case CALL_WAITING:
        if (late) {
            call_refuse(step, pool, call, CALL_REASON_DEADLINE);
        }
        else if (pool->no_target_since_us != 0 &&
                 call->state == CALL_WAITING &&
                 step->now_us >= pool->no_target_since_us + NO_TARGET_US) {
            call_refuse(step, pool, call, CALL_REASON_NO_TARGET);
        }
        break;
    case CALL_RECORDING:
    case CALL_DENYING:
        if (late || (call->offset == CALL_OFFSET_NONE &&
                     step->now_us >= pool->lead.since_us + NO_EPOCH_US)) {
            call_unknown(step, pool, call, CALL_REASON_NO_EPOCH);
        }
        break;
    case CALL_SENT:
        if (late) {
            call_unknown(step, pool, call, CALL_REASON_DEADLINE);
        }
        else if (call->idempotent && !call->cancelled) {
            retry_silent(step, pool, call);
        }
        break;
    case CALL_FORMER:
        if (late) {
            call_unknown(step, pool, call, CALL_REASON_EARLIER_EPOCH);
        }
        break;
    case CALL_ANSWERED:
    case CALL_REFUSED:
    case CALL_UNKNOWN:
        break;
    }
}

/* Review deadlines, retries and the lack of targets. */
void
call_tick(struct call_step *step, struct call_pool *pool)
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
        open_tick(step, pool, call);
    }
    call_forget_old(step, pool);
}
