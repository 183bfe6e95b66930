/*
 * Packets of targets: matches them with attempts by id, attempt and target,
 * assembles answers and sends them to the caller once complete.  What does not
 * match is dropped and counted.
 */
#include "call/call_internal.h"

/* A target that refused a call gets no further call for this time. */
#define REFUSED_BACKOFF_US 20000

static enum call_reason mismatch(const struct call_core *,
                                 const struct call_pool *, const struct call *,
                                 const struct call_packet *);
static void add_answer_part(struct call_step *, struct call_pool *,
                            struct call *, struct call_attempt *,
                            const struct call_packet *);
static void receive_not_run(struct call_step *, struct call_pool *,
                            struct call *, struct call_attempt *);
static void receive_outcome_unknown(struct call_step *, struct call_pool *,
                                    struct call *, struct call_attempt *);

/* Return why PACKET does not belong to CALL; CALL_REASON__MAX if it does. */
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
        call_target_find(pool, attempt->target) == NULL) {
        return CALL_REASON_WRONG_TARGET;
    }
    if (!attempt->open) {
        return CALL_REASON_LATE;
    }
    return CALL_REASON__MAX;
}

/* Process a target's packet that belongs to an open attempt of CALL. */
static void
process_matching(struct call_step *step, struct call_pool *pool,
                 struct call *call, const struct call_packet *packet)
{
    unsigned mask = (1U << CALL_ATTEMPT_BITS) - 1;
    struct call_attempt *attempt =
        call->attempts[(packet->option.attempt & mask) - 1];

    switch (packet->option.kind) {
    case CALL_ANSWER:
        add_answer_part(step, pool, call, attempt, packet);
        break;
    case CALL_NOT_RUN:
        receive_not_run(step, pool, call, attempt);
        break;
    case CALL_OUTCOME_UNKNOWN:
        receive_outcome_unknown(step, pool, call, attempt);
        break;
    case CALL_REQUEST:
    case CALL_CANCEL:
    case CALL_KIND__MAX:
        call_drop(step, pool, CALL_REASON_WRONG_KIND);
        break;
    }
}

/*
 * Return the other daemon that may have sent the request of an answer that
 * does not match here: the daemon that recorded the call, else the owner, the
 * daemon to which the highest epoch was granted, or the former owner.
 */
static struct daemon_id
other_sender(const struct call_step *step, const struct call_pool *pool,
             const struct call *call)
{
    struct daemon_id epoch_holder = pool->highest_epoch.group[0].daemon;

    if (call != NULL && call->state == CALL_STATE_EARLIER_EPOCH) {
        return call->recorder;
    }
    if (!call_is_owner(step->core, pool)) {
        return pool->view_owner;
    }
    if (pool->highest_epoch.number != 0 &&
        epoch_holder.value != step->core->options.self.value) {
        return epoch_holder;
    }
    return pool->former_owner;
}

/*
 * Process a target's packet.  If its request was not sent from here, a former
 * or concurrent owner may have sent it: the packet is relayed there once.
 */
void
call_answer_receive(struct call_step *step, struct call_pool *pool,
                    const struct call_packet *packet)
{
    struct call_key key = {packet->option.id, packet->caller};
    struct call *call = call_find(pool, key);
    struct daemon_id sender = other_sender(step, pool, call);
    enum call_reason reason = CALL_REASON_UNKNOWN_ID;
    struct call_packet relayed_packet = *packet;

    if (call != NULL && call->attempt_count > 0) {
        reason = mismatch(step->core, pool, call, packet);
    }
    if (reason == CALL_REASON__MAX) {
        process_matching(step, pool, call, packet);
        return;
    }
    if (reason == CALL_REASON_LATE || packet->to_former_owner ||
        sender.value == 0 || sender.value == step->core->options.self.value) {
        call_drop(step, pool, reason);
        return;
    }
    relayed_packet.to_former_owner = true;
    relayed_packet.hops = 0;
    call_relay(step, pool, relayed_packet, sender);
}

/*
 * Update the moving averages of the latency of answers and its deviation, as
 * TCP does (RFC 6298).
 */
static void
update_latency(struct call_pool *pool, double latency_us)
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

/* Store a part of an answer; once it is complete, send it to the caller. */
static void
add_answer_part(struct call_step *step, struct call_pool *pool,
                struct call *call, struct call_attempt *attempt,
                const struct call_packet *packet)
{
    const struct call_option *option = &packet->option;
    struct call_target *target = call_target_find(pool, attempt->target);

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
    call_bytes_make_room(step->core, pool, packet->payload_len);
    call_bytes_set(step->core, &attempt->answer[option->part], packet->payload,
                   packet->payload_len);
    attempt->parts_held++;
    if (attempt->parts_held < attempt->parts) {
        return;
    }
    if (target != NULL) {
        target->evidence.answered++;
    }
    call_attempt_close(pool, attempt);
    call->answered_attempt =
        (option->attempt & ((1U << CALL_ATTEMPT_BITS) - 1)) - 1;
    update_latency(pool, (double)(step->now_us - attempt->sent_us));
    step->core->counters.answered++;
    call_attempts_end(step, pool, call, true, false);
    call_set_state(pool, call, CALL_STATE_ANSWERED);
    call_request_clear(step->core, call);
    call_answer_send(step, pool, call);
}

/* Return true if an attempt of CALL is open. */
static bool
has_open_attempt(const struct call *call)
{
    for (unsigned i = 0; i < call->attempt_count; i++) {
        if (call->attempts[i]->open) {
            return true;
        }
    }
    return false;
}

/* Process "not run": the target refused ATTEMPT without running it. */
static void
receive_not_run(struct call_step *step, struct call_pool *pool,
                struct call *call, struct call_attempt *attempt)
{
    struct call_target *target = call_target_find(pool, attempt->target);

    if (attempt->parts != 0) {
        call_drop(step, pool, CALL_REASON_WRONG_KIND);
        return;
    }
    if (target != NULL) {
        target->evidence.refused++;
        target->backoff_until_us = step->now_us + REFUSED_BACKOFF_US;
    }
    attempt->refused = true;
    call_attempt_close(pool, attempt);
    if (call->state == CALL_STATE_SENT && !has_open_attempt(call)) {
        call_retry(step, pool, call, CALL_REASON_TARGET_REFUSED);
    }
}

/* Process "outcome unknown": the target cannot tell whether ATTEMPT ran. */
static void
receive_outcome_unknown(struct call_step *step, struct call_pool *pool,
                        struct call *call, struct call_attempt *attempt)
{
    call_attempt_close(pool, attempt);
    if (call->state != CALL_STATE_SENT || has_open_attempt(call)) {
        return;
    }
    if (call->idempotent) {
        call_retry(step, pool, call, CALL_REASON_TARGET_REFUSED);
        return;
    }
    call_end_unknown(step, pool, call, CALL_REASON_TARGET_REFUSED);
}
