/*
 * The queue of a pool: start-time fair queueing over callers, so that one
 * caller with many calls delays the others by no more than its share.
 */
#include "call/call_internal.h"

#define TAGS_KEPT_MAX 8192 /* callers remembered before old ones are pruned */

static int order(const void *, const void *, void *);
static gboolean is_past(void *, void *, void *);

static int
order(const void *a, const void *b, void *data)
{
    const struct call *left = a;
    const struct call *right = b;

    (void)data;
    if (left->tag != right->tag) {
        return left->tag < right->tag ? -1 : 1;
    }
    if (left->sequence != right->sequence) {
        return left->sequence < right->sequence ? -1 : 1;
    }
    return 0;
}

static gboolean
is_past(void *caller, void *tag, void *data)
{
    (void)caller;
    return (uint64_t)GPOINTER_TO_SIZE(tag) <= *(uint64_t *)data;
}

/* Give CALL its place in the order, from its caller's share so far. */
void
call_queue_tag(struct call_pool *pool, struct call *call)
{
    void *caller = GSIZE_TO_POINTER((size_t)call->key.caller);
    uint64_t next = GPOINTER_TO_SIZE(g_hash_table_lookup(pool->tags, caller));

    if (g_hash_table_size(pool->tags) >= TAGS_KEPT_MAX) {
        g_hash_table_foreach_remove(pool->tags, is_past, &pool->virtual_time);
    }
    call->tag = MAX(next, pool->virtual_time);
    g_hash_table_insert(pool->tags, caller,
                        GSIZE_TO_POINTER((size_t)call->tag + 1));
}

/* Put a tagged call into the queue. */
void
call_queue_add(struct call_pool *pool, struct call *call)
{
    call_move(pool, call, CALL_WAITING);
    call->place = g_sequence_insert_sorted(pool->queue, call, order, NULL);
}

/* Take CALL out of the queue, if it is there. */
void
call_queue_remove(struct call *call)
{
    if (call->place == NULL) {
        return;
    }
    g_sequence_remove(call->place);
    call->place = NULL;
}

/* The call that waits at the end, or NULL. */
struct call *
call_queue_last(const struct call_pool *pool)
{
    GSequenceIter *end = g_sequence_get_end_iter(pool->queue);

    if (g_sequence_iter_is_begin(end)) {
        return NULL;
    }
    return g_sequence_get(g_sequence_iter_prev(end));
}

/* Calls that wait for a slot or for their record. */
uint32_t
call_queue_length(const struct call_pool *pool)
{
    return (uint32_t)g_sequence_get_length(pool->queue) + pool->pending;
}
