/* Received packets: each is handled here, relayed to the owner or dropped. */
#include "call/call_internal.h"

#define RELEASE_WAIT_US                                                       \
    1000000 /* for released calls to arrive at the new owner */

static void refuse_as_former_owner(struct call_step *, struct call_pool *,
                                   const struct call_packet *);
static bool is_handled_here(const struct call_core *, const struct call_pool *,
                            const struct call_packet *);
static void handle_packet(struct call_step *, struct call_pool *,
                          const struct call_packet *);

/*
 * Refuse a packet that was sent to this daemon as a former owner, but whose
 * call it does not know, with "outcome unknown".  Shortly after the end of the
 * epoch the packet is dropped instead, since the call may be in transit to the
 * daemon that sent the packet.
 */
static void
refuse_as_former_owner(struct call_step *step, struct call_pool *pool,
                       const struct call_packet *packet)
{
    struct call_datagram *datagram;

    if (packet->target != 0 || packet->option.part != 0 ||
        step->now_us < pool->ownership.superseded_us + RELEASE_WAIT_US) {
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

/* Handle PACKET here: this daemon is the owner or knows the call. */
static void
handle_packet(struct call_step *step, struct call_pool *pool,
              const struct call_packet *packet)
{
    if (packet->target != 0) {
        call_answer_receive(step, pool, packet);
        return;
    }
    switch (packet->option.kind) {
    case CALL_REQUEST:
        call_request_receive(step, pool, packet);
        break;
    case CALL_CANCEL:
        call_cancel_receive(step, pool, packet);
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
 * Return true if this daemon handles PACKET: it is the owner by its own view;
 * it holds the epoch, and a peer relayed the packet to it as the owner; or a
 * request has been relayed as often as allowed, because the views of the
 * daemons differ for now.
 */
static bool
is_handled_here(const struct call_core *core, const struct call_pool *pool,
                const struct call_packet *packet)
{
    bool holds_epoch = pool->ownership.epoch.number != 0 &&
                       pool->ownership.collected &&
                       pool->promised_epoch <= pool->ownership.epoch.number;

    return call_is_owner(core, pool) ||
           (packet->hops > 0 && holds_epoch && packet->target == 0) ||
           (packet->hops >= CALL_HOPS_MAX && packet->target == 0 &&
            packet->option.kind == CALL_REQUEST);
}

/*
 * Handle PACKET here, or relay it to the owner of the pool.  A caller's packet
 * is dropped if it was in transit for longer than ids are remembered beyond
 * their deadline: it may be a copy of a call whose record has expired.
 */
void
call_packet_receive(struct call_step *step, struct call_pool *pool,
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
        step->core->last_relay_us = step->now_us;
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
    if (packet->to_former_owner &&
        (call == NULL || call->state == CALL_STATE_EARLIER_EPOCH)) {
        refuse_as_former_owner(step, pool, packet);
        return;
    }
    if ((call != NULL && call->state != CALL_STATE_EARLIER_EPOCH) ||
        is_handled_here(step->core, pool, packet)) {
        handle_packet(step, pool, packet);
        return;
    }
    if (pool->view_owner.value == 0 && step->core->stop_us != 0 &&
        packet->target == 0 && packet->option.kind == CALL_REQUEST) {
        call_request_receive(step, pool, packet);
        call = call_find(pool, key);
        if (call != NULL && call->attempt_count == 0 &&
            call->state < CALL_STATE_REFUSING) {
            call_refuse(step, pool, call, CALL_REASON_STOPPING);
        }
        return;
    }
    call_relay(step, pool, *packet, pool->view_owner);
}
