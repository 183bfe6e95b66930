/*
 * Outcomes of calls: ends a call with "not run" or "outcome unknown", and
 * sends kept outcomes again.
 */
#include "call/call_internal.h"

static bool was_sent(const struct call *);
static enum call_uncertainty uncertainty_of(const struct call_step *,
                                            const struct call_pool *);

/*
 * Return true if a target may have received CALL and has not reported "not
 * run".
 */
static bool
was_sent(const struct call *call)
{
    for (unsigned i = 0; i < call->attempt_count; i++) {
        if (!call->attempts[i]->refused) {
            return true;
        }
    }
    return false;
}

/*
 * Return why another daemon may have sent an idempotent call that this one has
 * not sent; CALL_UNCERTAIN_NONE once this daemon has been the owner for a
 * whole retention and no daemon has been missing for as long.
 */
static enum call_uncertainty
uncertainty_of(const struct call_step *step, const struct call_pool *pool)
{
    const struct call_core *core = step->core;
    const struct call_ownership *ownership = &pool->ownership;
    uint64_t daemon_lost_us = core->daemon_lost_us;

    if (ownership->phase < CALL_PHASE_HELLO || ownership->epoch.number == 0 ||
        !ownership->collected) {
        return CALL_UNCERTAIN_NO_EPOCH;
    }
    if (!call_lease_held(step, pool)) {
        return CALL_UNCERTAIN_LEASE;
    }
    if (step->now_us < ownership->not_run_exact_from_us) {
        return CALL_UNCERTAIN_YOUNG_EPOCH;
    }
    if (core->daemon_missing) {
        return CALL_UNCERTAIN_DAEMON_MISSING;
    }
    if (daemon_lost_us != 0 &&
        step->now_us < daemon_lost_us + call_retention_us(core)) {
        return CALL_UNCERTAIN_DAEMON_WAS_MISSING;
    }
    return CALL_UNCERTAIN_NONE;
}

/* Append an action KIND with a datagram of OPTION to the caller of CALL. */
static void
send_to_caller(struct call_step *step, struct call_pool *pool,
               const struct call *call, enum call_action_kind kind,
               struct call_option option)
{
    struct call_action *action = call_action_add(step, kind);

    action->u.datagram = (struct call_datagram){
        .pool = pool->id,
        .caller = call->key.caller,
        .service = call->service,
        .caller_port = call->caller_port,
        .service_port = call->service_port,
        .option = option,
        .reason = call->reason,
    };
}

/* Send all parts of the kept answer of CALL to its caller. */
void
call_answer_send(struct call_step *step, struct call_pool *pool,
                 const struct call *call)
{
    const struct call_attempt *kept = call->attempts[call->answered_attempt];

    for (uint32_t part = 0; part < kept->parts; part++) {
        struct call_option option = {
            .id = call->key.id,
            .attempt = call->answered_attempt + 1,
            .kind = CALL_ANSWER,
            .idempotent = call->idempotent,
            .part = part,
            .parts = kept->parts,
        };
        struct call_datagram *datagram;
        size_t len;

        send_to_caller(step, pool, call, CALL_ACT_ANSWER, option);
        datagram = &step->out->items[step->out->count - 1].u.datagram;
        datagram->payload = g_bytes_get_data(kept->answer[part], &len);
        datagram->payload_len = len;
        datagram->target = kept->target;
    }
}

/*
 * Send "not run" to the caller of CALL, which is kept without an answer, if it
 * was refused, else "outcome unknown".
 */
void
call_outcome_send(struct call_step *step, struct call_pool *pool,
                  const struct call *call)
{
    struct call_option option = {
        .id = call->key.id,
        .kind = call->state == CALL_STATE_REFUSED ? CALL_NOT_RUN
                                                  : CALL_OUTCOME_UNKNOWN,
        .idempotent = call->idempotent,
        .parts = 1,
    };

    send_to_caller(step, pool, call, CALL_ACT_REFUSE, option);
}

/* Bring CALL into STATE because of REASON, count it and inform its caller. */
static void
end_call(struct call_step *step, struct call_pool *pool, struct call *call,
         enum call_state state, enum call_reason reason)
{
    call->reason = reason;
    call_set_state(pool, call, state);
    call_request_clear(step->core, call);
    step->core->counters.refused[reason]++;
    step->core->counters.not_run += state == CALL_STATE_REFUSED;
    step->core->counters.outcome_unknown += state == CALL_STATE_UNKNOWN;
    call_outcome_send(step, pool, call);
}

/* End CALL with "outcome unknown" and cancel its open attempts. */
void
call_end_unknown(struct call_step *step, struct call_pool *pool,
                 struct call *call, enum call_reason reason)
{
    call_attempts_end(step, pool, call, true, true);
    end_call(step, pool, call, CALL_STATE_UNKNOWN, reason);
}

/*
 * End CALL with "not run" if it certainly did not run and will not run; else
 * with "outcome unknown".  A non-idempotent call is refused only once its
 * record is held, so that no later owner runs a duplicate; until then it stays
 * in CALL_STATE_REFUSING.
 */
void
call_refuse(struct call_step *step, struct call_pool *pool, struct call *call,
            enum call_reason reason)
{
    enum call_uncertainty uncertainty;

    call->reason = reason;
    if (was_sent(call)) {
        call_end_unknown(step, pool, call, reason);
        return;
    }
    if (call->idempotent) {
        uncertainty = uncertainty_of(step, pool);
        step->core->counters.uncertain[uncertainty] +=
            uncertainty != CALL_UNCERTAIN_NONE;
        end_call(step, pool, call,
                 uncertainty == CALL_UNCERTAIN_NONE ? CALL_STATE_REFUSED
                                                    : CALL_STATE_UNKNOWN,
                 reason);
        return;
    }
    if (call->record_offset == CALL_OFFSET_NONE && !call->record_held &&
        !call_record_add(step, pool, call)) {
        call_end_unknown(step, pool, call, reason);
        return;
    }
    if (call_record_held(step, pool, call)) {
        end_call(step, pool, call, CALL_STATE_REFUSED, reason);
        return;
    }
    if (step->now_us >= call->deadline_us) {
        call_end_unknown(step, pool, call, reason);
        return;
    }
    call_set_state(pool, call, CALL_STATE_REFUSING);
}
