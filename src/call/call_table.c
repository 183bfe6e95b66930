/* The calls of a pool by their identity, their bytes, and their retention. */
#include "call/call_internal.h"

#include <string.h>

static GQueue *list_of(struct call_pool *, const struct call *,
                       enum call_state);

struct call *
call_find(const struct call_pool *pool, struct call_key key)
{
    return g_hash_table_lookup(pool->calls, &key);
}

/* The list that a call of STATE belongs to: the open ones or a kept one. */
static GQueue *
list_of(struct call_pool *pool, const struct call *call, enum call_state state)
{
    switch (state) {
    case CALL_GATHERING:
    case CALL_RECORDING:
    case CALL_WAITING:
    case CALL_SENT:
    case CALL_DENYING:
        return &pool->open;
    case CALL_FORMER:
        return call->asked ? &pool->open : &pool->kept_once;
    case CALL_ANSWERED:
    case CALL_REFUSED:
    case CALL_UNKNOWN:
        break;
    }
    return call->idempotent ? &pool->kept_idempotent : &pool->kept_once;
}

/* Make a call that is not known yet. */
struct call *
call_add(struct call_step *step, struct call_pool *pool, struct call_key key,
         enum call_state state)
{
    struct call *call = g_new0(struct call, 1);

    call->key = key;
    call->state = state;
    call->offset = CALL_OFFSET_NONE;
    call->arrived_us = step->now_us;
    call->sequence = step->core->sequence++;
    call->link.data = call;
    call->list = list_of(pool, call, state);
    g_queue_push_tail_link(call->list, &call->link);
    g_hash_table_insert(pool->calls, &call->key, call);
    return call;
}

/* Bring CALL into STATE and into the list that goes with it. */
void
call_move(struct call_pool *pool, struct call *call, enum call_state state)
{
    GQueue *list = list_of(pool, call, state);

    if (call->state == CALL_WAITING) {
        call_queue_remove(call);
    }
    pool->pending -= call->state == CALL_RECORDING;
    pool->pending += state == CALL_RECORDING;
    call->state = state;
    if (list != call->list) {
        g_queue_unlink(call->list, &call->link);
        g_queue_push_tail_link(list, &call->link);
        call->list = list;
    }
}

/* Forget CALL; its bytes last until the next step. */
void
call_remove(struct call_core *core, struct call_pool *pool, struct call *call)
{
    call_queue_remove(call);
    pool->pending -= call->state == CALL_RECORDING;
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

/* Keep a copy of LEN bytes at DATA in PLACE, which is empty. */
void
call_bytes_set(struct call_core *core, GBytes **place, const uint8_t *data,
               size_t len)
{
    *place = g_bytes_new(data, len);
    core->counters.gauge_bytes += len;
}

/* Empty PLACE; the bytes last until the next step. */
void
call_bytes_clear(struct call_core *core, GBytes **place)
{
    if (*place == NULL) {
        return;
    }
    core->counters.gauge_bytes -= g_bytes_get_size(*place);
    g_ptr_array_add(core->trash, *place);
    *place = NULL;
}

/* The request's bytes are needed no more. */
void
call_request_clear(struct call_core *core, struct call *call)
{
    for (unsigned part = 0; part < CALL_PARTS_MAX; part++) {
        call_bytes_clear(core, &call->request[part]);
    }
}

/* Free the kept answer of the oldest call of LIST that has one. */
static bool
answer_forget(struct call_core *core, GQueue *list)
{
    for (GList *link = list->head; link != NULL; link = link->next) {
        struct call *call = link->data;
        struct call_attempt *kept;

        if (call->state != CALL_ANSWERED) {
            continue;
        }
        kept = call->attempts[call->answered_by];
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
 * Make room for LEN bytes by forgetting kept answers, those of idempotent
 * calls first.  False if what is in use leaves no room.
 */
bool
call_bytes_room(struct call_core *core, struct call_pool *pool, size_t len)
{
    while (core->counters.gauge_bytes + len > core->options.bytes_max) {
        if (!answer_forget(core, &pool->kept_idempotent) &&
            !answer_forget(core, &pool->kept_once)) {
            return false;
        }
    }
    return true;
}

/* Forget kept calls whose time has passed. */
void
call_forget_old(struct call_step *step, struct call_pool *pool)
{
    GQueue *lists[] = {&pool->kept_idempotent, &pool->kept_once};
    uint64_t retention = call_retention_us(step->core);

    for (unsigned i = 0; i < G_N_ELEMENTS(lists); i++) {
        struct call *call;

        while ((call = g_queue_peek_head(lists[i])) != NULL &&
               call->arrived_us + retention <= step->now_us) {
            call_remove(step->core, pool, call);
        }
    }
}
