/* The table of the calls of a pool, their bytes, and their retention. */
#include "call/call_internal.h"

#include <string.h>

static GQueue *list_of(struct call_pool *, const struct call *,
                       enum call_state);

/* Return the call KEY, or NULL if it is not known. */
struct call *
call_find(const struct call_pool *pool, struct call_key key)
{
    return g_hash_table_lookup(pool->calls, &key);
}

/*
 * Return the list for a call in STATE: the open list or one of the kept ones.
 */
static GQueue *
list_of(struct call_pool *pool, const struct call *call, enum call_state state)
{
    switch (state) {
    case CALL_STATE_ASSEMBLING:
    case CALL_STATE_RECORDING:
    case CALL_STATE_QUEUED:
    case CALL_STATE_SENT:
    case CALL_STATE_REFUSING:
        return &pool->open;
    case CALL_STATE_EARLIER_EPOCH:
        return call->caller_waits ? &pool->open : &pool->kept_non_idempotent;
    case CALL_STATE_ANSWERED:
    case CALL_STATE_REFUSED:
    case CALL_STATE_UNKNOWN:
        break;
    }
    return call->idempotent ? &pool->kept_idempotent
                            : &pool->kept_non_idempotent;
}

/* Return a new call KEY in STATE; the pool owns it. */
struct call *
call_add(struct call_step *step, struct call_pool *pool, struct call_key key,
         enum call_state state)
{
    struct call *call = g_new0(struct call, 1);

    call->key = key;
    call->state = state;
    call->record_offset = CALL_OFFSET_NONE;
    call->arrived_us = step->now_us;
    call->sequence = step->core->sequence++;
    call->link.data = call;
    call->list = list_of(pool, call, state);
    g_queue_push_tail_link(call->list, &call->link);
    g_hash_table_insert(pool->calls, &call->key, call);
    return call;
}

/* Set the state of CALL to STATE and move it to the list for that state. */
void
call_set_state(struct call_pool *pool, struct call *call,
               enum call_state state)
{
    GQueue *list = list_of(pool, call, state);

    if (call->state == CALL_STATE_QUEUED) {
        call_queue_remove(call);
    }
    pool->recording_count -= call->state == CALL_STATE_RECORDING;
    pool->recording_count += state == CALL_STATE_RECORDING;
    call->state = state;
    if (list != call->list) {
        g_queue_unlink(call->list, &call->link);
        g_queue_push_tail_link(list, &call->link);
        call->list = list;
    }
}

/* Remove and free CALL; its bytes stay valid until the next step. */
void
call_remove(struct call_core *core, struct call_pool *pool, struct call *call)
{
    call_queue_remove(call);
    pool->recording_count -= call->state == CALL_STATE_RECORDING;
    g_queue_unlink(call->list, &call->link);
    g_hash_table_remove(pool->calls, &call->key);
    call_request_clear(core, call);
    for (unsigned i = 0; i < call->attempt_count; i++) {
        call_attempt_close(pool, call->attempts[i]);
        for (unsigned part = 0; part < CALL_PARTS_MAX; part++) {
            call_bytes_clear(core, &call->attempts[i]->answer[part]);
        }
        g_free(call->attempts[i]);
    }
    g_free(call);
}

/* Store a copy of LEN bytes at DATA in PLACE, which must be empty. */
void
call_bytes_set(struct call_core *core, GBytes **place, const uint8_t *data,
               size_t len)
{
    *place = g_bytes_new(data, len);
    core->counters.gauge_bytes += len;
}

/* Empty PLACE; its bytes stay valid until the next step. */
void
call_bytes_clear(struct call_core *core, GBytes **place)
{
    if (*place == NULL) {
        return;
    }
    core->counters.gauge_bytes -= g_bytes_get_size(*place);
    g_ptr_array_add(core->deferred_bytes, *place);
    *place = NULL;
}

/* Free the parts of the request of CALL. */
void
call_request_clear(struct call_core *core, struct call *call)
{
    for (unsigned part = 0; part < CALL_PARTS_MAX; part++) {
        call_bytes_clear(core, &call->request[part]);
    }
}

/*
 * Free the kept answer of the oldest call of LIST that has one.  Return false
 * if there is none.
 */
static bool
free_oldest_answer(struct call_core *core, GQueue *list)
{
    for (GList *link = list->head; link != NULL; link = link->next) {
        struct call *call = link->data;
        struct call_attempt *kept;

        if (call->state != CALL_STATE_ANSWERED) {
            continue;
        }
        kept = call->attempts[call->answered_attempt];
        if (kept->answer[0] == NULL) {
            continue;
        }
        for (unsigned part = 0; part < CALL_PARTS_MAX; part++) {
            call_bytes_clear(core, &kept->answer[part]);
        }
        return true;
    }
    return false;
}

/*
 * Make room for LEN bytes by freeing kept answers, those of idempotent calls
 * first.  Return false if the bytes in use leave no room.
 */
bool
call_bytes_make_room(struct call_core *core, struct call_pool *pool,
                     size_t len)
{
    while (core->counters.gauge_bytes + len > core->options.bytes_max) {
        if (!free_oldest_answer(core, &pool->kept_idempotent) &&
            !free_oldest_answer(core, &pool->kept_non_idempotent)) {
            return false;
        }
    }
    return true;
}

/* Remove kept calls whose retention is over. */
void
call_remove_expired(struct call_step *step, struct call_pool *pool)
{
    GQueue *lists[] = {&pool->kept_idempotent, &pool->kept_non_idempotent};
    uint64_t retention = call_retention_us(step->core);

    for (unsigned i = 0; i < G_N_ELEMENTS(lists); i++) {
        struct call *call;

        while ((call = g_queue_peek_head(lists[i])) != NULL &&
               call->arrived_us + retention <= step->now_us) {
            call_remove(step->core, pool, call);
        }
    }
}
