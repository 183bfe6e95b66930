/* Callers' packets: gathering, duplicates, admission, cancels, handing on. */
#include "call/call_internal.h"

#define MICROSECONDS_PER_MS 1000

static void gather(struct call_step *, struct call_pool *, struct call *,
                   const struct call_packet *);
static void admit(struct call_step *, struct call_pool *, struct call *);
static void repeat(struct call_step *, struct call_pool *, struct call *,
                   const struct call_packet *);

/* Hand PACKET on to the daemon TO, unless it has come too far. */
void
call_hand_on(struct call_step *step, struct call_pool *pool,
             struct call_packet packet, struct daemon_id to)
{
    struct call_action *action;

    if (to.value == 0) {
        call_drop(step, pool, CALL_REASON_NO_LEAD);
        return;
    }
    if (packet.hops >= CALL_HOPS_MAX) {
        call_drop(step, pool, CALL_REASON_HOPS);
        return;
    }
    packet.hops++;
    action = call_action_add(step, CALL_ACT_HAND_ON);
    action->u.hand_on.to = to;
    action->u.hand_on.packet = packet;
    step->core->counters.handed_on++;
    step->core->counters.handed_on_bytes += packet.payload_len;
}

/*
 * The packet that carries PART of the call's request, which must be held; its
 * payload is borrowed from CALL.
 */
struct call_packet
call_part(const struct call_pool *pool, const struct call *call, uint32_t part)
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
 * Pass an unsent call on to the daemon TO and forget it.  EPOCH is the one
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
        packet = call_part(pool, call, part);
        packet.released = epoch;
        packet.option.deadline_ms = (uint32_t)(left / MICROSECONDS_PER_MS) + 1;
        packet.option.idempotent = call->idempotent;
        call_hand_on(step, pool, packet, to);
    }
    call_remove(step->core, pool, call);
}

/* Repeat to a caller that asks again what it was told before. */
static void
repeat(struct call_step *step, struct call_pool *pool, struct call *call,
       const struct call_packet *packet)
{
    const struct call_attempt *kept;

    if (packet->option.part != 0) {
        call_drop(step, pool, CALL_REASON_DUPLICATE);
        return;
    }
    step->core->counters.repeated++;
    if (call->state != CALL_ANSWERED) {
        call_tell(step, pool, call);
        return;
    }
    kept = call->attempts[call->answered_by];
    if (kept->answer[0] == NULL) {
        call->reason = CALL_REASON_BYTES_FULL;
        call_tell(step, pool, call);
        return;
    }
    call_answer_give(step, pool, call);
}

/*
 * A request whose id an earlier epoch recorded.  Its recorder is asked if it
 * still serves; nobody runs it again.  A call that its recorder gave up for
 * this epoch is taken over.
 */
static void
ask_former(struct call_step *step, struct call_pool *pool, struct call *call,
           const struct call_packet *packet)
{
    struct call_packet further = *packet;

    call->service = packet->service;
    call->service_port = packet->service_port;
    if (packet->released != 0 && packet->released == pool->lead.epoch.number) {
        call->asked = false;
        call->released = packet->released;
        call->arrived_us = step->now_us;
        call_move(pool, call, CALL_GATHERING);
        gather(step, pool, call, packet);
        return;
    }
    if (!packet->former && call_daemon_serves(step->core, call->former)) {
        if (!call->asked) {
            call->asked = true;
            call->deadline_us =
                step->now_us + MIN(step->core->options.deadline_max_us,
                                   (uint64_t)packet->option.deadline_ms *
                                       MICROSECONDS_PER_MS);
            call_move(pool, call, CALL_FORMER);
        }
        further.former = true;
        further.hops = 0;
        call_hand_on(step, pool, further, call->former);
        return;
    }
    if (packet->option.part == 0) {
        call_unknown(step, pool, call, CALL_REASON_EARLIER_EPOCH);
    }
}

/* Take a request's packet in a pool that this daemon decides for. */
void
call_request(struct call_step *step, struct call_pool *pool,
             const struct call_packet *packet)
{
    struct call_key key = {packet->option.id, packet->caller};
    struct call *call = call_find(pool, key);

    if (call == NULL) {
        call = call_add(step, pool, key, CALL_GATHERING);
        gather(step, pool, call, packet);
        return;
    }
    call->caller_port = packet->caller_port;
    call->released = MAX(call->released, packet->released);
    step->core->counters.duplicates += call->state != CALL_GATHERING;
    switch (call->state) {
    case CALL_GATHERING:
        gather(step, pool, call, packet);
        break;
    case CALL_RECORDING:
    case CALL_WAITING:
    case CALL_SENT:
    case CALL_DENYING:
        call_drop(step, pool, CALL_REASON_DUPLICATE);
        break;
    case CALL_FORMER:
        ask_former(step, pool, call, packet);
        break;
    case CALL_ANSWERED:
    case CALL_REFUSED:
    case CALL_UNKNOWN:
        repeat(step, pool, call, packet);
        break;
    }
}

/* Fill in CALL from the first of its packets. */
static void
begin(struct call_step *step, struct call *call,
      const struct call_packet *packet)
{
    uint64_t longest = step->core->options.deadline_max_us;
    uint64_t left = (uint64_t)packet->option.deadline_ms * MICROSECONDS_PER_MS;

    call->caller_port = packet->caller_port;
    call->service = packet->service;
    call->service_port = packet->service_port;
    call->idempotent = packet->option.idempotent;
    call->parts = packet->option.parts;
    call->released = MAX(call->released, packet->released);
    call->deadline_us =
        step->now_us + (left == 0 ? longest : MIN(left, longest));
}

/* Add a part to CALL; when all are there, admit it. */
static void
gather(struct call_step *step, struct call_pool *pool, struct call *call,
       const struct call_packet *packet)
{
    uint32_t part = packet->option.part;

    if (call->parts_held == 0) {
        begin(step, call, packet);
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
    if (!call_bytes_room(step->core, pool, packet->payload_len)) {
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

/* Forget the oldest kept idempotent call if too many calls are known. */
static bool
has_room(struct call_step *step, struct call_pool *pool)
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
 * Make room in a full queue for CALL, whose share so far may be smaller than
 * that of the call at the end.  False if CALL itself is the one too many.
 */
static bool
queue_room(struct call_step *step, struct call_pool *pool,
           const struct call *call)
{
    uint32_t limit = pool->queue_limit != 0 ? pool->queue_limit
                                            : step->core->options.queue_limit;
    struct call *last;

    if (call_queue_length(pool) < limit) {
        return true;
    }
    last = call_queue_last(pool);
    if (last == NULL || last->tag <= call->tag || last->attempt_count > 0) {
        return false;
    }
    call_refuse(step, pool, last, CALL_REASON_QUEUE_FULL);
    return true;
}

/* A whole request: record it if it must run at most once, then queue it. */
static void
admit(struct call_step *step, struct call_pool *pool, struct call *call)
{
    const struct call_options *options = &step->core->options;
    uint64_t most = (uint64_t)options->retry_percent * 100;

    step->core->counters.requests++;
    pool->tokens = MIN(pool->tokens + options->retry_percent, most);
    call_queue_tag(pool, call);
    if (!has_room(step, pool) || !queue_room(step, pool, call)) {
        call_refuse(step, pool, call, CALL_REASON_QUEUE_FULL);
        return;
    }
    if (call->idempotent || call_record_held(step, pool, call)) {
        call->held = !call->idempotent;
        call_queue_add(pool, call);
        return;
    }
    call_move(pool, call, CALL_RECORDING);
    if (call->offset == CALL_OFFSET_NONE && pool->lead.collected &&
        !call_record(step, pool, call)) {
        call_refuse(step, pool, call, CALL_REASON_RECORDS_FULL);
        return;
    }
    if (call_record_held(step, pool, call)) {
        call->held = true;
        call_queue_add(pool, call);
    }
}

/* Cancel a call: "not run" if it is unsent, else its target is told. */
void
call_cancel(struct call_step *step, struct call_pool *pool,
            const struct call_packet *packet)
{
    struct call_key key = {packet->option.id, packet->caller};
    struct call *call = call_find(pool, key);

    if (call == NULL) {
        call_drop(step, pool, CALL_REASON_UNKNOWN_ID);
        return;
    }
    switch (call->state) {
    case CALL_GATHERING:
    case CALL_RECORDING:
    case CALL_WAITING:
        step->core->counters.cancelled++;
        call_refuse(step, pool, call, CALL_REASON_CANCELLED);
        break;
    case CALL_SENT:
        step->core->counters.cancelled += !call->cancelled;
        call->cancelled = true;
        for (unsigned i = 0; i < call->attempt_count; i++) {
            call_attempt_cancel(step, pool, call, i);
        }
        break;
    case CALL_FORMER:
        ask_former(step, pool, call, packet);
        break;
    case CALL_DENYING:
    case CALL_ANSWERED:
    case CALL_REFUSED:
    case CALL_UNKNOWN:
        call_drop(step, pool, CALL_REASON_LATE);
        break;
    }
}
