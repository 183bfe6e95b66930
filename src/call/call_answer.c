/*
 * Targets' packets: matched by id, attempt and target, gathered, and given
 * to the caller as a whole.  What does not match is dropped and counted.
 */
#include "call/call_internal.h"

#define REFUSED_REST_US 20000 /* a target that refused gets no call so long */

static enum call_reason mismatch(const struct call_core *,
                                 const struct call_pool *, const struct call *,
                                 const struct call_packet *);
static void answered(struct call_step *, struct call_pool *, struct call *,
                     struct call_attempt *, const struct call_packet *);
static void not_run(struct call_step *, struct call_pool *, struct call *,
                    struct call_attempt *);
static void lost(struct call_step *, struct call_pool *, struct call *,
                 struct call_attempt *);

/* Why PACKET does not belong to CALL; CALL_REASON__MAX if it does. */
static enum call_reason
mismatch(const struct call_core *core, const struct call_pool *pool,
         const struct call *call, const struct call_packet *packet)
{
    unsigned mask = (1U << CALL_ATTEMPT_BITS) - 1;
    unsigned number = packet->option.attempt & mask;
    const struct call_attempt *attempt;

    if (number == 0 || number > call->attempt_count ||
        packet->option.attempt !=
            call_attempt_number(core, call, number - 1)) {
        return CALL_REASON_WRONG_ATTEMPT;
    }
    attempt = call->attempts[number - 1];
    if (attempt->target.address != packet->target ||
        call_slot_find(pool, attempt->target) == NULL) {
        return CALL_REASON_WRONG_TARGET;
    }
    if (!attempt->open) {
        return CALL_REASON_LATE;
    }
    return CALL_REASON__MAX;
}

/* Take a target's packet that belongs to an open attempt of CALL. */
static void
match(struct call_step *step, struct call_pool *pool, struct call *call,
      const struct call_packet *packet)
{
    unsigned mask = (1U << CALL_ATTEMPT_BITS) - 1;
    struct call_attempt *attempt =
        call->attempts[(packet->option.attempt & mask) - 1];

    switch (packet->option.kind) {
    case CALL_ANSWER:
        answered(step, pool, call, attempt, packet);
        break;
    case CALL_NOT_RUN:
        not_run(step, pool, call, attempt);
        break;
    case CALL_OUTCOME_UNKNOWN:
        lost(step, pool, call, attempt);
        break;
    case CALL_REQUEST:
    case CALL_CANCEL:
    case CALL_KIND__MAX:
        call_drop(step, pool, CALL_REASON_WRONG_KIND);
        break;
    }
}

/*
 * Another daemon that may have sent what does not match here: the recorder
 * of the call, the lead, the holder of the epoch, or the lead before.
 */
static struct daemon_id
other_sender(const struct call_step *step, const struct call_pool *pool,
             const struct call *call)
{
    struct daemon_id holder = pool->current.group[0].daemon;

    if (call != NULL && call->state == CALL_FORMER) {
        return call->former;
    }
    if (!call_is_lead(step->core, pool)) {
        return pool->view_lead;
    }
    if (pool->current.number != 0 &&
        holder.value != step->core->options.self.value) {
        return holder;
    }
    return pool->former;
}

/*
 * Take a target's packet.  What was not sent from here may have been sent by
 * another lead, before or beside this one: it goes there, once.
 */
void
call_answer(struct call_step *step, struct call_pool *pool,
            const struct call_packet *packet)
{
    struct call_key key = {packet->option.id, packet->caller};
    struct call *call = call_find(pool, key);
    struct daemon_id other = other_sender(step, pool, call);
    enum call_reason reason = CALL_REASON_UNKNOWN_ID;
    struct call_packet further = *packet;

    if (call != NULL && call->attempt_count > 0) {
        reason = mismatch(step->core, pool, call, packet);
    }
    if (reason == CALL_REASON__MAX) {
        match(step, pool, call, packet);
        return;
    }
    if (reason == CALL_REASON_LATE || packet->former || other.value == 0 ||
        other.value == step->core->options.self.value) {
        call_drop(step, pool, reason);
        return;
    }
    further.former = true;
    further.hops = 0;
    call_hand_on(step, pool, further, other);
}

/* Smooth the latency of answers and its deviation, as TCP does. */
static void
learn_latency(struct call_pool *pool, double latency_us)
{
    double error = latency_us - pool->latency_us;

    if (pool->latency_us == 0) {
        pool->latency_us = latency_us;
        pool->latency_deviation_us = latency_us / 2;
        return;
    }
    pool->latency_us += error / 8;
    pool->latency_deviation_us +=
        ((error < 0 ? -error : error) - pool->latency_deviation_us) / 4;
}

/* Take a part of an answer; with the last one the caller gets them all. */
static void
answered(struct call_step *step, struct call_pool *pool, struct call *call,
         struct call_attempt *attempt, const struct call_packet *packet)
{
    const struct call_option *option = &packet->option;
    struct call_slot *slot = call_slot_find(pool, attempt->target);

    if (attempt->parts == 0) {
        attempt->parts = option->parts;
    }
    if (option->parts != attempt->parts || option->part >= attempt->parts) {
        call_drop(step, pool, CALL_REASON_WRONG_PARTS);
        return;
    }
    if (attempt->answer[option->part] != NULL) {
        call_drop(step, pool, CALL_REASON_DUPLICATE);
        return;
    }
    call_bytes_room(step->core, pool, packet->payload_len);
    call_bytes_set(step->core, &attempt->answer[option->part], packet->payload,
                   packet->payload_len);
    attempt->parts_held++;
    if (attempt->parts_held < attempt->parts) {
        return;
    }
    if (slot != NULL) {
        slot->evidence.answered++;
    }
    call_attempt_close(pool, attempt);
    call->answered_by =
        (option->attempt & ((1U << CALL_ATTEMPT_BITS) - 1)) - 1;
    learn_latency(pool, (double)(step->now_us - attempt->sent_us));
    step->core->counters.answered++;
    call_attempts_end(step, pool, call, true, false);
    call_move(pool, call, CALL_ANSWERED);
    call_request_clear(step->core, call);
    call_answer_give(step, pool, call);
}

static bool
has_open(const struct call *call)
{
    for (unsigned i = 0; i < call->attempt_count; i++) {
        if (call->attempts[i]->open) {
            return true;
        }
    }
    return false;
}

/* The target has refused the attempt before it ran anything. */
static void
not_run(struct call_step *step, struct call_pool *pool, struct call *call,
        struct call_attempt *attempt)
{
    struct call_slot *slot = call_slot_find(pool, attempt->target);

    if (attempt->parts != 0) {
        call_drop(step, pool, CALL_REASON_WRONG_KIND);
        return;
    }
    if (slot != NULL) {
        slot->evidence.refused++;
        slot->rest_until_us = step->now_us + REFUSED_REST_US;
    }
    attempt->refused = true;
    call_attempt_close(pool, attempt);
    if (call->state == CALL_SENT && !has_open(call)) {
        call_retry(step, pool, call, CALL_REASON_TARGET_REFUSED);
    }
}

/* The target itself does not know whether the attempt ran. */
static void
lost(struct call_step *step, struct call_pool *pool, struct call *call,
     struct call_attempt *attempt)
{
    call_attempt_close(pool, attempt);
    if (call->state != CALL_SENT || has_open(call)) {
        return;
    }
    if (call->idempotent) {
        call_retry(step, pool, call, CALL_REASON_TARGET_REFUSED);
        return;
    }
    call_unknown(step, pool, call, CALL_REASON_TARGET_REFUSED);
}
