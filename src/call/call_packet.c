/* The way of a packet: decided here, or handed on. */
#include "call/call_internal.h"

#define RELEASE_US 1000000 /* for calls passed on to a new lead to arrive */

static void former_unknown(struct call_step *, struct call_pool *,
                           const struct call_packet *);
static bool serves(const struct call_core *, const struct call_pool *,
                   const struct call_packet *);
static void packet_here(struct call_step *, struct call_pool *,
                        const struct call_packet *);

/*
 * A packet for a lead of an earlier epoch, which does not know its call.  It
 * is silent while the call may be on its way to the one that asks.
 */
static void
former_unknown(struct call_step *step, struct call_pool *pool,
               const struct call_packet *packet)
{
    struct call_datagram *datagram;

    if (packet->target != 0 || packet->option.part != 0 ||
        step->now_us < pool->lead.superseded_us + RELEASE_US) {
        call_drop(step, pool, CALL_REASON_UNKNOWN_ID);
        return;
    }
    datagram = &call_action_add(step, CALL_ACT_REFUSE)->u.datagram;
    datagram->pool = pool->id;
    datagram->caller = packet->caller;
    datagram->caller_port = packet->caller_port;
    datagram->service = packet->service;
    datagram->service_port = packet->service_port;
    datagram->option.id = packet->option.id;
    datagram->option.kind = CALL_OUTCOME_UNKNOWN;
    datagram->option.parts = 1;
    datagram->reason = CALL_REASON_EARLIER_EPOCH;
    step->core->counters.refused[CALL_REASON_EARLIER_EPOCH]++;
    step->core->counters.outcome_unknown++;
}

/* Decide PACKET here, as the lead or as the one that knows the call. */
static void
packet_here(struct call_step *step, struct call_pool *pool,
            const struct call_packet *packet)
{
    if (packet->target != 0) {
        call_answer(step, pool, packet);
        return;
    }
    switch (packet->option.kind) {
    case CALL_REQUEST:
        call_request(step, pool, packet);
        break;
    case CALL_CANCEL:
        call_cancel(step, pool, packet);
        break;
    case CALL_ANSWER:
    case CALL_NOT_RUN:
    case CALL_OUTCOME_UNKNOWN:
    case CALL_KIND__MAX:
        call_drop(step, pool, CALL_REASON_WRONG_KIND);
        break;
    }
}

/*
 * True if this daemon decides PACKET: as the lead by its own view; as the
 * holder of the epoch, if a peer takes it for the lead; or because the
 * daemons' views disagree for now and a request has come far enough.
 */
static bool
serves(const struct call_core *core, const struct call_pool *pool,
       const struct call_packet *packet)
{
    bool holds = pool->lead.epoch.number != 0 && pool->lead.collected &&
                 pool->promised <= pool->lead.epoch.number;

    return call_is_lead(core, pool) ||
           (packet->hops > 0 && holds && packet->target == 0) ||
           (packet->hops >= CALL_HOPS_MAX && packet->target == 0 &&
            packet->option.kind == CALL_REQUEST);
}

/*
 * Decide a packet here, or hand it on to the pool's lead.  A caller's packet
 * that was on its way for longer than ids are remembered beyond their deadline
 * may be a copy of a call whose record has expired: it goes no further.
 */
void
call_packet(struct call_step *step, struct call_pool *pool,
            const struct call_packet *packet)
{
    struct call_key key = {packet->option.id, packet->caller};
    struct call *call = call_find(pool, key);

    if (packet->option.parts == 0 || packet->option.parts > CALL_PARTS_MAX ||
        packet->option.part >= packet->option.parts) {
        call_drop(step, pool, CALL_REASON_WRONG_PARTS);
        return;
    }
    if (packet->hops > 0) {
        step->core->handed_us = step->now_us;
    }
    if (packet->target == 0 && step->now_us < step->core->stalled_until_us) {
        call_drop(step, pool, CALL_REASON_STALLED);
        return;
    }
    if (packet->target == 0 &&
        packet->age_us > step->core->options.retry_window_us) {
        call_drop(step, pool, CALL_REASON_AGED);
        return;
    }
    if (packet->former && (call == NULL || call->state == CALL_FORMER)) {
        former_unknown(step, pool, packet);
        return;
    }
    if ((call != NULL && call->state != CALL_FORMER) ||
        serves(step->core, pool, packet)) {
        packet_here(step, pool, packet);
        return;
    }
    if (pool->view_lead.value == 0 && step->core->stop_us != 0 &&
        packet->target == 0 && packet->option.kind == CALL_REQUEST) {
        call_request(step, pool, packet);
        call = call_find(pool, key);
        if (call != NULL && call->attempt_count == 0 &&
            call->state < CALL_DENYING) {
            call_refuse(step, pool, call, CALL_REASON_STOPPING);
        }
        return;
    }
    call_hand_on(step, pool, *packet, pool->view_lead);
}
