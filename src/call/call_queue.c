/*
 * The queue of a pool: start-time fair queueing by caller, so that a caller
 * with many calls delays the others by no more than its share.
 */
#include "call/call_internal.h"

/* number of caller tags at which outdated ones are removed */
#define CALLER_TAGS_PRUNE_AT 8192

static int compare_calls(const void *, const void *, void *);
static gboolean is_outdated(void *, void *, void *);

/*
 * Compare two queued calls by tag, then by sequence number, as
 * g_sequence_insert_sorted() expects.
 */
static int
compare_calls(const void *a, const void *b, void *data)
{
    const struct call *left = a;
    const struct call *right = b;

    (void)data;
    if (left->queue_tag != right->queue_tag) {
        return left->queue_tag < right->queue_tag ? -1 : 1;
    }
    if (left->sequence != right->sequence) {
        return left->sequence < right->sequence ? -1 : 1;
    }
    return 0;
}

/*
 * Return true if TAG of a caller is not above the virtual time DATA, so that
 * it no longer matters.
 */
static gboolean
is_outdated(void *caller, void *tag, void *data)
{
    (void)caller;
    return (uint64_t)GPOINTER_TO_SIZE(tag) <= *(uint64_t *)data;
}

/* Set the queue tag of CALL from the share that its caller has used so far. */
void
call_queue_tag(struct call_pool *pool, struct call *call)
{
    void *caller = GSIZE_TO_POINTER((size_t)call->key.caller);
    uint64_t next =
        GPOINTER_TO_SIZE(g_hash_table_lookup(pool->caller_tags, caller));

    if (g_hash_table_size(pool->caller_tags) >= CALLER_TAGS_PRUNE_AT) {
        g_hash_table_foreach_remove(pool->caller_tags, is_outdated,
                                    &pool->virtual_time);
    }
    call->queue_tag = MAX(next, pool->virtual_time);
    g_hash_table_insert(pool->caller_tags, caller,
                        GSIZE_TO_POINTER((size_t)call->queue_tag + 1));
}

/* Insert CALL, which has a tag, into the queue. */
void
call_queue_add(struct call_pool *pool, struct call *call)
{
    call_set_state(pool, call, CALL_STATE_QUEUED);
    call->queue_place =
        g_sequence_insert_sorted(pool->queue, call, compare_calls, NULL);
}

/* Remove CALL from the queue, if it is queued. */
void
call_queue_remove(struct call *call)
{
    if (call->queue_place == NULL) {
        return;
    }
    g_sequence_remove(call->queue_place);
    call->queue_place = NULL;
}

/* Return the last call of the queue, or NULL if it is empty. */
struct call *
call_queue_last(const struct call_pool *pool)
{
    GSequenceIter *end = g_sequence_get_end_iter(pool->queue);

    if (g_sequence_iter_is_begin(end)) {
        return NULL;
    }
    return g_sequence_get(g_sequence_iter_prev(end));
}

/* Return the number of calls that wait for a slot or for their record. */
uint32_t
call_queue_length(const struct call_pool *pool)
{
    return (uint32_t)g_sequence_get_length(pool->queue) +
           pool->recording_count;
}
