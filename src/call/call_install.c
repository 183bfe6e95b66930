/* Making the records of earlier epochs part of a new epoch's log. */
#include "call/call_internal.h"

static void rebase(struct call_pool *, bool);
static void claim(struct call_step *, struct call_pool *, struct call_key,
                  uint64_t);
static void ask_recorder(struct call_step *, struct call_pool *,
                         struct call *);
static void record_waiting(struct call_step *, struct call_pool *);

/* Offsets of a renewed epoch's log begin at 0 again; others mean nothing. */
static void
rebase(struct call_pool *pool, bool renewed)
{
    GHashTableIter iter;
    void *value;

    g_hash_table_iter_init(&iter, pool->calls);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct call *call = value;

        if (!renewed || call->offset == CALL_OFFSET_NONE ||
            call->offset < pool->log.first) {
            call->offset = CALL_OFFSET_NONE;
            continue;
        }
        call->offset -= pool->log.first;
    }
    pool->log.first = 0;
}

/* A call waits here whose id an earlier lead recorded: ask that one. */
static void
ask_recorder(struct call_step *step, struct call_pool *pool, struct call *call)
{
    bool whole = call->state == CALL_RECORDING;

    call->former = pool->former;
    call->asked = whole;
    call->parts_held = 0;
    if (!whole) {
        call_request_clear(step->core, call);
        call_move(pool, call, CALL_FORMER);
        return;
    }
    if (!call_daemon_serves(step->core, pool->former)) {
        call_unknown(step, pool, call, CALL_REASON_EARLIER_EPOCH);
        return;
    }
    for (uint32_t part = 0; part < call->parts; part++) {
        struct call_packet packet = call_part(pool, call, part);

        packet.former = true;
        call_hand_on(step, pool, packet, call->former);
    }
    call_request_clear(step->core, call);
    call_move(pool, call, CALL_FORMER);
}

/* The record of KEY stands at OFFSET: find out whose it is. */
static void
claim(struct call_step *step, struct call_pool *pool, struct call_key key,
      uint64_t offset)
{
    struct call *call = call_find(pool, key);

    if (call == NULL) {
        call = call_add(step, pool, key, CALL_FORMER);
        call->former = pool->former;
        call->offset = offset;
        return;
    }
    if (call->idempotent || call->offset == offset) {
        return;
    }
    call->offset = offset;
    if (call->held || call->released == pool->lead.epoch.number) {
        return;
    }
    if (call->state == CALL_GATHERING || call->state == CALL_RECORDING) {
        ask_recorder(step, pool, call);
    }
    else if (call->state == CALL_DENYING) {
        call_unknown(step, pool, call, CALL_REASON_EARLIER_EPOCH);
    }
}

/* Record the calls that have waited for the epoch. */
static void
record_waiting(struct call_step *step, struct call_pool *pool)
{
    GList *link = pool->open.head;

    while (link != NULL) {
        struct call *call = link->data;

        link = link->next;
        if (call->state == CALL_RECORDING &&
            call->offset == CALL_OFFSET_NONE &&
            !call_record(step, pool, call)) {
            call_refuse(step, pool, call, CALL_REASON_RECORDS_FULL);
        }
    }
}

/*
 * Make the log, which holds all records of earlier epochs, that of the
 * lead's epoch.  The first calls are started once the group holds it.
 */
void
call_install(struct call_step *step, struct call_pool *pool)
{
    struct call_lead *lead = &pool->lead;
    bool renewed = lead->collected;
    GArray *keys = pool->log.keys;

    rebase(pool, renewed);
    pool->log.epoch = lead->epoch.number;
    pool->log.install = keys->len;
    lead->phase = CALL_PHASE_INSTALLING;
    lead->phase_us = step->now_us;
    lead->collected = true;
    if (!renewed) {
        lead->exact_from_us =
            lead->previous.number == 0
                ? step->now_us
                : step->now_us + call_retention_us(step->core);
    }
    for (unsigned i = 0; i < pool->log.install; i++) {
        claim(step, pool, g_array_index(keys, struct call_key, i), i);
    }
    record_waiting(step, pool);
}
