/*
 * Packets of callers: assembles, admits and cancels requests, repeats outcomes
 * to duplicates, and relays packets.
 */
#include "call/call_internal.h"

#define MICROSECONDS_PER_MS 1000

static void add_part(struct call_step *, struct call_pool *, struct call *,
                     const struct call_packet *);
static void admit(struct call_step *, struct call_pool *, struct call *);
static void repeat_outcome(struct call_step *, struct call_pool *,
                           struct call *, const struct call_packet *);

/*
 * Relay PACKET to the daemon TO; drop it if TO is 0 or if it was relayed too
 * often.
 */
void
call_relay(struct call_step *step, struct call_pool *pool,
           struct call_packet packet, struct daemon_id to)
{
    struct call_action *action;

    if (to.value == 0) {
        call_drop(step, pool, CALL_REASON_NO_OWNER);
        return;
    }
    if (packet.hops >= CALL_HOPS_MAX) {
        call_drop(step, pool, CALL_REASON_HOPS);
        return;
    }
    packet.hops++;
    action = call_action_add(step, CALL_ACT_RELAY);
    action->u.relay.to = to;
    action->u.relay.packet = packet;
    step->core->counters.relayed++;
    step->core->counters.relayed_bytes += packet.payload_len;
}

/*
 * Return the packet with PART of the request of CALL, which must have been
 * received.  The payload belongs to CALL.
 */
struct call_packet
call_request_part(const struct call_pool *pool, const struct call *call,
                  uint32_t part)
{
    struct call_packet packet = {
        .pool = pool->id,
        .caller = call->key.caller,
        .service = call->service,
        .caller_port = call->caller_port,
        .service_port = call->service_port,
        .option = {.id = call->key.id,
                   .kind = CALL_REQUEST,
                   .part = part,
                   .parts = call->parts},
    };

    packet.payload =
        g_bytes_get_data(call->request[part], &packet.payload_len);
    return packet;
}

/*
 * Relay the unsent CALL to the daemon TO and remove it here.  EPOCH is the one
 * that may run it although its record is of an earlier epoch, or 0.
 */
void
call_release(struct call_step *step, struct call_pool *pool, struct call *call,
             struct daemon_id to, uint64_t epoch)
{
    uint64_t left = call->deadline_us > step->now_us
                        ? call->deadline_us - step->now_us
                        : 0;

    for (uint32_t part = 0; part < call->parts; part++) {
        struct call_packet packet;

        if (call->request[part] == NULL) {
            continue;
        }
        packet = call_request_part(pool, call, part);
        packet.released_epoch = epoch;
        packet.option.deadline_ms = (uint32_t)(left / MICROSECONDS_PER_MS) + 1;
        packet.option.idempotent = call->idempotent;
        call_relay(step, pool, packet, to);
    }
    call_remove(step->core, pool, call);
}

/* Send the kept outcome of CALL again to a caller that repeats its request. */
static void
repeat_outcome(struct call_step *step, struct call_pool *pool,
               struct call *call, const struct call_packet *packet)
{
    const struct call_attempt *kept;

    if (packet->option.part != 0) {
        call_drop(step, pool, CALL_REASON_DUPLICATE);
        return;
    }
    step->core->counters.repeated++;
    if (call->state != CALL_STATE_ANSWERED) {
        call_outcome_send(step, pool, call);
        return;
    }
    kept = call->attempts[call->answered_attempt];
    if (kept->answer[0] == NULL) {
        call->reason = CALL_REASON_BYTES_FULL;
        call_outcome_send(step, pool, call);
        return;
    }
    call_answer_send(step, pool, call);
}

/*
 * Process a request or cancel whose id was recorded in an earlier epoch.  It
 * is relayed to the daemon that recorded it, if that daemon is still
 * reachable, and is not run again.  Only a call that its recorder released for
 * the present epoch is taken over and run here.
 */
static void
relay_to_recorder(struct call_step *step, struct call_pool *pool,
                  struct call *call, const struct call_packet *packet)
{
    struct call_packet relayed_packet = *packet;

    call->service = packet->service;
    call->service_port = packet->service_port;
    if (packet->released_epoch != 0 &&
        packet->released_epoch == pool->ownership.epoch.number) {
        call->caller_waits = false;
        call->released_epoch = packet->released_epoch;
        call->arrived_us = step->now_us;
        call_set_state(pool, call, CALL_STATE_ASSEMBLING);
        add_part(step, pool, call, packet);
        return;
    }
    if (!packet->to_former_owner &&
        call_daemon_can_receive(step->core, call->recorder)) {
        if (!call->caller_waits) {
            call->caller_waits = true;
            call->deadline_us =
                step->now_us + MIN(step->core->options.deadline_max_us,
                                   (uint64_t)packet->option.deadline_ms *
                                       MICROSECONDS_PER_MS);
            call_set_state(pool, call, CALL_STATE_EARLIER_EPOCH);
        }
        relayed_packet.to_former_owner = true;
        relayed_packet.hops = 0;
        call_relay(step, pool, relayed_packet, call->recorder);
        return;
    }
    if (packet->option.part == 0) {
        call_end_unknown(step, pool, call, CALL_REASON_EARLIER_EPOCH);
    }
}

/* Process a packet of a request in a pool whose calls this daemon handles. */
void
call_request_receive(struct call_step *step, struct call_pool *pool,
                     const struct call_packet *packet)
{
    struct call_key key = {packet->option.id, packet->caller};
    struct call *call = call_find(pool, key);

    if (call == NULL) {
        call = call_add(step, pool, key, CALL_STATE_ASSEMBLING);
        add_part(step, pool, call, packet);
        return;
    }
    call->caller_port = packet->caller_port;
    call->released_epoch = MAX(call->released_epoch, packet->released_epoch);
    step->core->counters.duplicates += call->state != CALL_STATE_ASSEMBLING;
    switch (call->state) {
    case CALL_STATE_ASSEMBLING:
        add_part(step, pool, call, packet);
        break;
    case CALL_STATE_RECORDING:
    case CALL_STATE_QUEUED:
    case CALL_STATE_SENT:
    case CALL_STATE_REFUSING:
        call_drop(step, pool, CALL_REASON_DUPLICATE);
        break;
    case CALL_STATE_EARLIER_EPOCH:
        relay_to_recorder(step, pool, call, packet);
        break;
    case CALL_STATE_ANSWERED:
    case CALL_STATE_REFUSED:
    case CALL_STATE_UNKNOWN:
        repeat_outcome(step, pool, call, packet);
        break;
    }
}

/* Initialize CALL from the first of its packets. */
static void
init_call(struct call_step *step, struct call *call,
          const struct call_packet *packet)
{
    uint64_t deadline_max = step->core->options.deadline_max_us;
    uint64_t left = (uint64_t)packet->option.deadline_ms * MICROSECONDS_PER_MS;

    call->caller_port = packet->caller_port;
    call->service = packet->service;
    call->service_port = packet->service_port;
    call->idempotent = packet->option.idempotent;
    call->parts = packet->option.parts;
    call->released_epoch = MAX(call->released_epoch, packet->released_epoch);
    call->deadline_us =
        step->now_us + (left == 0 ? deadline_max : MIN(left, deadline_max));
}

/* Add the part in PACKET to CALL, and admit CALL once it is complete. */
static void
add_part(struct call_step *step, struct call_pool *pool, struct call *call,
         const struct call_packet *packet)
{
    uint32_t part = packet->option.part;

    if (call->parts_held == 0) {
        init_call(step, call, packet);
    }
    if (packet->option.parts != call->parts || part >= call->parts ||
        packet->option.idempotent != call->idempotent) {
        call_drop(step, pool, CALL_REASON_WRONG_PARTS);
        return;
    }
    if (call->request[part] != NULL) {
        call_drop(step, pool, CALL_REASON_DUPLICATE);
        return;
    }
    if (!call_bytes_make_room(step->core, pool, packet->payload_len)) {
        call_refuse(step, pool, call, CALL_REASON_BYTES_FULL);
        return;
    }
    call_bytes_set(step->core, &call->request[part], packet->payload,
                   packet->payload_len);
    call->parts_held++;
    if (call->parts_held == call->parts) {
        admit(step, pool, call);
    }
}

/*
 * Remove the oldest kept idempotent call if there are too many calls.  Return
 * false if there are too many calls and none can be removed.
 */
static bool
make_room_for_call(struct call_step *step, struct call_pool *pool)
{
    struct call *oldest;

    if (g_hash_table_size(pool->calls) <= step->core->options.calls_max) {
        return true;
    }
    oldest = g_queue_peek_head(&pool->kept_idempotent);
    if (oldest == NULL) {
        return false;
    }
    call_remove(step->core, pool, oldest);
    return true;
}

/*
 * Make room in a full queue for CALL by refusing the last call, if its caller
 * has used a larger share.  Return false if CALL itself must be refused.
 */
static bool
make_room_in_queue(struct call_step *step, struct call_pool *pool,
                   const struct call *call)
{
    uint32_t limit = pool->queue_limit != 0 ? pool->queue_limit
                                            : step->core->options.queue_limit;
    struct call *last;

    if (call_queue_length(pool) < limit) {
        return true;
    }
    last = call_queue_last(pool);
    if (last == NULL || last->queue_tag <= call->queue_tag ||
        last->attempt_count > 0) {
        return false;
    }
    call_refuse(step, pool, last, CALL_REASON_QUEUE_FULL);
    return true;
}

/*
 * Admit a complete request: record it first if it is not idempotent, then
 * queue it.  Refuse it if a limit is reached.
 */
static void
admit(struct call_step *step, struct call_pool *pool, struct call *call)
{
    const struct call_options *options = &step->core->options;
    uint64_t tokens_max = (uint64_t)options->retry_percent * 100;

    step->core->counters.requests++;
    pool->retry_tokens =
        MIN(pool->retry_tokens + options->retry_percent, tokens_max);
    call_queue_tag(pool, call);
    if (!make_room_for_call(step, pool) ||
        !make_room_in_queue(step, pool, call)) {
        call_refuse(step, pool, call, CALL_REASON_QUEUE_FULL);
        return;
    }
    if (call->idempotent || call_record_held(step, pool, call)) {
        call->record_held = !call->idempotent;
        call_queue_add(pool, call);
        return;
    }
    call_set_state(pool, call, CALL_STATE_RECORDING);
    if (call->record_offset == CALL_OFFSET_NONE && pool->ownership.collected &&
        !call_record_add(step, pool, call)) {
        call_refuse(step, pool, call, CALL_REASON_RECORDS_FULL);
        return;
    }
    if (call_record_held(step, pool, call)) {
        call->record_held = true;
        call_queue_add(pool, call);
    }
}

/*
 * Cancel a call: refuse it as not run if it was not sent, else send a
 * cancel to the targets of its open attempts.
 */
void
call_cancel_receive(struct call_step *step, struct call_pool *pool,
                    const struct call_packet *packet)
{
    struct call_key key = {packet->option.id, packet->caller};
    struct call *call = call_find(pool, key);

    if (call == NULL) {
        call_drop(step, pool, CALL_REASON_UNKNOWN_ID);
        return;
    }
    switch (call->state) {
    case CALL_STATE_ASSEMBLING:
    case CALL_STATE_RECORDING:
    case CALL_STATE_QUEUED:
        step->core->counters.cancelled++;
        call_refuse(step, pool, call, CALL_REASON_CANCELLED);
        break;
    case CALL_STATE_SENT:
        step->core->counters.cancelled += !call->cancelled;
        call->cancelled = true;
        for (unsigned i = 0; i < call->attempt_count; i++) {
            call_attempt_cancel(step, pool, call, i);
        }
        break;
    case CALL_STATE_EARLIER_EPOCH:
        relay_to_recorder(step, pool, call, packet);
        break;
    case CALL_STATE_REFUSING:
    case CALL_STATE_ANSWERED:
    case CALL_STATE_REFUSED:
    case CALL_STATE_UNKNOWN:
        call_drop(step, pool, CALL_REASON_LATE);
        break;
    }
}
