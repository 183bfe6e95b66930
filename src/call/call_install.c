/* Installs the records of earlier epochs in the log of a new epoch. */
#include "call/call_internal.h"

static void rebase(struct call_pool *, bool);
static void match_record(struct call_step *, struct call_pool *,
                         struct call_key, uint64_t);
static void relay_call_to_recorder(struct call_step *, struct call_pool *,
                                   struct call *);
static void record_waiting(struct call_step *, struct call_pool *);

/*
 * Renumber the log from offset 0, and with it the offsets of calls if the
 * epoch was RENEWED.  Otherwise the offsets of calls are of another log and
 * become invalid.
 */
static void
rebase(struct call_pool *pool, bool renewed)
{
    GHashTableIter iter;
    void *value;

    g_hash_table_iter_init(&iter, pool->calls);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct call *call = value;

        if (!renewed || call->record_offset == CALL_OFFSET_NONE ||
            call->record_offset < pool->log.first) {
            call->record_offset = CALL_OFFSET_NONE;
            continue;
        }
        call->record_offset -= pool->log.first;
    }
    pool->log.first = 0;
}

/*
 * CALL waits here, but a former owner recorded its id: request the outcome
 * from that owner.
 */
static void
relay_call_to_recorder(struct call_step *step, struct call_pool *pool,
                       struct call *call)
{
    bool complete = call->state == CALL_STATE_RECORDING;

    call->recorder = pool->former_owner;
    call->caller_waits = complete;
    call->parts_held = 0;
    if (!complete) {
        call_request_clear(step->core, call);
        call_set_state(pool, call, CALL_STATE_EARLIER_EPOCH);
        return;
    }
    if (!call_daemon_can_receive(step->core, pool->former_owner)) {
        call_end_unknown(step, pool, call, CALL_REASON_EARLIER_EPOCH);
        return;
    }
    for (uint32_t part = 0; part < call->parts; part++) {
        struct call_packet packet = call_request_part(pool, call, part);

        packet.to_former_owner = true;
        call_relay(step, pool, packet, call->recorder);
    }
    call_request_clear(step->core, call);
    call_set_state(pool, call, CALL_STATE_EARLIER_EPOCH);
}

/*
 * Match the record of KEY at OFFSET with a call: this daemon's own, one that
 * was released to it, or one that a former owner recorded.
 */
static void
match_record(struct call_step *step, struct call_pool *pool,
             struct call_key key, uint64_t offset)
{
    struct call *call = call_find(pool, key);

    if (call == NULL) {
        call = call_add(step, pool, key, CALL_STATE_EARLIER_EPOCH);
        call->recorder = pool->former_owner;
        call->record_offset = offset;
        return;
    }
    if (call->idempotent || call->record_offset == offset) {
        return;
    }
    call->record_offset = offset;
    if (call->record_held ||
        call->released_epoch == pool->ownership.epoch.number) {
        return;
    }
    if (call->state == CALL_STATE_ASSEMBLING ||
        call->state == CALL_STATE_RECORDING) {
        relay_call_to_recorder(step, pool, call);
    }
    else if (call->state == CALL_STATE_REFUSING) {
        call_end_unknown(step, pool, call, CALL_REASON_EARLIER_EPOCH);
    }
}

/* Record the calls that waited for the epoch. */
static void
record_waiting(struct call_step *step, struct call_pool *pool)
{
    GList *link = pool->open.head;

    while (link != NULL) {
        struct call *call = link->data;

        link = link->next;
        if (call->state == CALL_STATE_RECORDING &&
            call->record_offset == CALL_OFFSET_NONE &&
            !call_record_add(step, pool, call)) {
            call_refuse(step, pool, call, CALL_REASON_RECORDS_FULL);
        }
    }
}

/*
 * Make the log, which holds all records of the earlier epochs, the log of the
 * owner's epoch.  Calls are started only once the group holds these records.
 */
void
call_install(struct call_step *step, struct call_pool *pool)
{
    struct call_ownership *ownership = &pool->ownership;
    bool renewed = ownership->collected;
    GArray *keys = pool->log.keys;

    rebase(pool, renewed);
    pool->log.epoch = ownership->epoch.number;
    pool->log.carried_over_count = keys->len;
    ownership->phase = CALL_PHASE_INSTALLING;
    ownership->phase_since_us = step->now_us;
    ownership->collected = true;
    if (!renewed) {
        ownership->not_run_exact_from_us =
            ownership->previous.number == 0
                ? step->now_us
                : step->now_us + call_retention_us(step->core);
    }
    for (unsigned i = 0; i < pool->log.carried_over_count; i++) {
        match_record(step, pool, g_array_index(keys, struct call_key, i), i);
    }
    record_waiting(step, pool);
}
