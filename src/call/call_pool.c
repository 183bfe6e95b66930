/* The targets of a pool, the slots in use, and the choice of a target. */
#include "call/call_internal.h"

#include "base/hash.h"

#include <string.h>

#define WEIGHT_DEFAULT 100

static unsigned key_hash(const void *);
static gboolean key_equal(const void *, const void *);
static bool is_usable(const struct call_target *);
static uint32_t slot_limit(const struct call_target *);

/* Return the hash of a struct call_key for a GHashTable. */
static unsigned
key_hash(const void *data)
{
    const struct call_key *key = data;

    return (unsigned)hash_pair(key->id, key->caller);
}

/* Return true if two struct call_key are equal, for a GHashTable. */
static gboolean
key_equal(const void *a, const void *b)
{
    const struct call_key *left = a;
    const struct call_key *right = b;

    return left->id == right->id && left->caller == right->caller;
}

/* Return a new pool with the id ID; free it with call_pool_free(). */
struct call_pool *
call_pool_new(struct pool_id id)
{
    struct call_pool *pool = g_new0(struct call_pool, 1);

    pool->id = id;
    pool->targets = g_array_new(FALSE, TRUE, sizeof(struct call_target));
    pool->calls = g_hash_table_new(key_hash, key_equal);
    pool->queue = g_sequence_new(NULL);
    pool->caller_tags = g_hash_table_new(NULL, NULL);
    g_queue_init(&pool->open);
    g_queue_init(&pool->kept_idempotent);
    g_queue_init(&pool->kept_non_idempotent);
    call_log_clear(&pool->log);
    return pool;
}

/* Free POOL with its calls and log. */
void
call_pool_free(struct call_core *core, struct call_pool *pool)
{
    GQueue *lists[] = {&pool->open, &pool->kept_idempotent,
                       &pool->kept_non_idempotent};

    for (unsigned i = 0; i < G_N_ELEMENTS(lists); i++) {
        while (lists[i]->head != NULL) {
            call_remove(core, pool, lists[i]->head->data);
        }
    }
    for (unsigned i = 0; i < CALL_GROUP_MAX; i++) {
        if (pool->ownership.previous_peers[i].keys != NULL) {
            g_array_free(pool->ownership.previous_peers[i].keys, TRUE);
        }
    }
    g_array_free(pool->targets, TRUE);
    g_hash_table_destroy(pool->calls);
    g_sequence_free(pool->queue);
    g_hash_table_destroy(pool->caller_tags);
    g_array_free(pool->log.keys, TRUE);
    g_array_free(pool->log.expires_us, TRUE);
    g_free(pool);
}

/*
 * Return the target KEY, or NULL if the pool has no target with this address
 * and incarnation.
 */
struct call_target *
call_target_find(const struct call_pool *pool, struct target_key key)
{
    size_t low = 0;
    size_t high = pool->targets->len;

    while (low < high) {
        size_t middle = (low + high) / 2;
        struct call_target *target =
            &g_array_index(pool->targets, struct call_target, middle);

        if (target->view.key.address == key.address) {
            return target->view.key.incarnation == key.incarnation ? target
                                                                   : NULL;
        }
        if (target->view.key.address < key.address) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return NULL;
}

/* Store a new view of POOL; targets that stay in it keep their load. */
void
call_pool_update(struct call_step *step, struct call_pool *pool,
                 const struct pool_view *view)
{
    GArray *new_targets = g_array_new(FALSE, TRUE, sizeof(struct call_target));

    (void)step;
    for (size_t i = 0; i < view->target_count; i++) {
        struct call_target *known =
            call_target_find(pool, view->targets[i].key);
        struct call_target target = {0};

        if (known != NULL) {
            target = *known;
        }
        target.view = view->targets[i];
        target.evidence.pool = pool->id;
        target.evidence.target = target.view.key;
        g_array_append_val(new_targets, target);
    }
    g_array_free(pool->targets, TRUE);
    pool->targets = new_targets;
    pool->has_view = true;
    pool->queue_limit = view->queue_limit;
}

/* Return true if TARGET takes new calls. */
static bool
is_usable(const struct call_target *target)
{
    return (target->view.state == TARGET_READY ||
            target->view.state == TARGET_COLD) &&
           target->view.slots > 0 && target->view.weight > 0;
}

/*
 * Return the number of slots of TARGET that may be used now: a cold target has
 * fewer, in proportion to its weight, but at least one.
 */
static uint32_t
slot_limit(const struct call_target *target)
{
    uint32_t slots = target->view.slots;
    uint32_t limit;

    if (target->view.state != TARGET_COLD ||
        target->view.weight >= WEIGHT_DEFAULT) {
        return slots;
    }
    limit =
        (slots * target->view.weight + WEIGHT_DEFAULT - 1) / WEIGHT_DEFAULT;
    return limit == 0 ? 1 : limit;
}

/* Return true if a target takes calls, now or once a slot is free. */
bool
call_pool_has_target(const struct call_pool *pool)
{
    for (unsigned i = 0; i < pool->targets->len; i++) {
        if (is_usable(&g_array_index(pool->targets, struct call_target, i))) {
            return true;
        }
    }
    return false;
}

/* Return true if CALL was already sent to the address of TARGET. */
static bool
was_tried(const struct call *call, const struct call_target *target)
{
    for (unsigned i = 0; i < call->attempt_count; i++) {
        if (call->attempts[i]->target.address == target->view.key.address) {
            return true;
        }
    }
    return false;
}

/*
 * Return the slots of TARGET in use, by this daemon and by the former owner.
 */
static uint32_t
slots_in_use(const struct call_step *step, const struct call_target *target)
{
    bool report_valid = step->now_us < target->former_slots_until_us;

    return target->slots_used + (report_valid ? target->former_slots_used : 0);
}

/*
 * Return true if A is a better choice than B: it has the lower utilization
 * relative to its weight, with one more call, or on a tie its last call is
 * older.
 */
static bool
is_better(const struct call_step *step, const struct call_target *a,
          const struct call_target *b)
{
    uint64_t load_a =
        (uint64_t)(slots_in_use(step, a) + 1) * b->view.weight * b->view.slots;
    uint64_t load_b =
        (uint64_t)(slots_in_use(step, b) + 1) * a->view.weight * a->view.slots;

    if (load_a != load_b) {
        return load_a < load_b;
    }
    return a->last_sequence < b->last_sequence;
}

/*
 * Return the target for CALL, or NULL if none has a free slot.  A target that
 * was tried is chosen again only if there is no other usable target.
 */
struct call_target *
call_target_choose(struct call_step *step, struct call_pool *pool,
                   const struct call *call)
{
    struct call_target *best = NULL;
    struct call_target *best_tried = NULL;
    bool has_untried = false;

    for (unsigned i = 0; i < pool->targets->len; i++) {
        struct call_target *target =
            &g_array_index(pool->targets, struct call_target, i);
        bool tried = was_tried(call, target);
        struct call_target **place = tried ? &best_tried : &best;

        if (!is_usable(target)) {
            continue;
        }
        has_untried = has_untried || !tried;
        if (slots_in_use(step, target) >= slot_limit(target) ||
            step->now_us < target->backoff_until_us) {
            continue;
        }
        if (*place == NULL || is_better(step, target, *place)) {
            *place = target;
        }
    }
    return has_untried ? best : best_tried;
}

/* Report what the calls have shown of each target since the last report. */
void
call_evidence_report(struct call_step *step, struct call_pool *pool)
{
    for (unsigned i = 0; i < pool->targets->len; i++) {
        struct call_evidence *evidence =
            &g_array_index(pool->targets, struct call_target, i).evidence;

        if (evidence->opened == 0 && evidence->answered == 0 &&
            evidence->refused == 0 && evidence->unanswered == 0) {
            continue;
        }
        call_action_add(step, CALL_ACT_EVIDENCE)->u.evidence = *evidence;
        evidence->opened = 0;
        evidence->answered = 0;
        evidence->refused = 0;
        evidence->unanswered = 0;
    }
}
