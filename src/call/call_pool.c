/* A pool as its lead sees it: the targets' slots, and which to take next. */
#include "call/call_internal.h"

#include "base/hash.h"

#include <string.h>

#define WEIGHT_USUAL 100

static unsigned key_hash(const void *);
static gboolean key_equal(const void *, const void *);
static bool usable(const struct call_slot *);
static uint32_t slots_now(const struct call_slot *);

static unsigned
key_hash(const void *data)
{
    const struct call_key *key = data;

    return (unsigned)hash_pair(key->id, key->caller);
}

static gboolean
key_equal(const void *a, const void *b)
{
    const struct call_key *left = a;
    const struct call_key *right = b;

    return left->id == right->id && left->caller == right->caller;
}

struct call_pool *
call_pool_new(struct pool_id id)
{
    struct call_pool *pool = g_new0(struct call_pool, 1);

    pool->id = id;
    pool->slots = g_array_new(FALSE, TRUE, sizeof(struct call_slot));
    pool->calls = g_hash_table_new(key_hash, key_equal);
    pool->queue = g_sequence_new(NULL);
    pool->tags = g_hash_table_new(NULL, NULL);
    g_queue_init(&pool->open);
    g_queue_init(&pool->kept_idempotent);
    g_queue_init(&pool->kept_once);
    call_log_clear(&pool->log);
    return pool;
}

void
call_pool_free(struct call_core *core, struct call_pool *pool)
{
    GQueue *lists[] = {&pool->open, &pool->kept_idempotent, &pool->kept_once};

    for (unsigned i = 0; i < G_N_ELEMENTS(lists); i++) {
        while (lists[i]->head != NULL) {
            call_remove(core, pool, lists[i]->head->data);
        }
    }
    for (unsigned i = 0; i < CALL_GROUP_MAX; i++) {
        if (pool->lead.formers[i].keys != NULL) {
            g_array_free(pool->lead.formers[i].keys, TRUE);
        }
    }
    g_array_free(pool->slots, TRUE);
    g_hash_table_destroy(pool->calls);
    g_sequence_free(pool->queue);
    g_hash_table_destroy(pool->tags);
    g_array_free(pool->log.keys, TRUE);
    g_array_free(pool->log.expire, TRUE);
    g_free(pool);
}

/* The slot of the target KEY in its present incarnation, or NULL. */
struct call_slot *
call_slot_find(const struct call_pool *pool, struct target_key key)
{
    size_t low = 0;
    size_t high = pool->slots->len;

    while (low < high) {
        size_t middle = (low + high) / 2;
        struct call_slot *slot =
            &g_array_index(pool->slots, struct call_slot, middle);

        if (slot->view.key.address == key.address) {
            return slot->view.key.incarnation == key.incarnation ? slot : NULL;
        }
        if (slot->view.key.address < key.address) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return NULL;
}

/* Take in a new view; targets that stay keep their load. */
void
call_pool_view(struct call_step *step, struct call_pool *pool,
               const struct pool_view *view)
{
    GArray *slots = g_array_new(FALSE, TRUE, sizeof(struct call_slot));

    (void)step;
    for (size_t i = 0; i < view->target_count; i++) {
        struct call_slot *known = call_slot_find(pool, view->targets[i].key);
        struct call_slot slot = {0};

        if (known != NULL) {
            slot = *known;
        }
        slot.view = view->targets[i];
        slot.evidence.pool = pool->id;
        slot.evidence.target = slot.view.key;
        g_array_append_val(slots, slot);
    }
    g_array_free(pool->slots, TRUE);
    pool->slots = slots;
    pool->known = true;
    pool->queue_limit = view->queue_limit;
}

static bool
usable(const struct call_slot *slot)
{
    return (slot->view.state == TARGET_READY ||
            slot->view.state == TARGET_COLD) &&
           slot->view.slots > 0 && slot->view.weight > 0;
}

/* Slots that may be used now: a cold target is given few. */
static uint32_t
slots_now(const struct call_slot *slot)
{
    uint32_t slots = slot->view.slots;
    uint32_t part;

    if (slot->view.state != TARGET_COLD || slot->view.weight >= WEIGHT_USUAL) {
        return slots;
    }
    part = (slots * slot->view.weight + WEIGHT_USUAL - 1) / WEIGHT_USUAL;
    return part == 0 ? 1 : part;
}

/* True if some target may take calls, now or once a slot is free. */
bool
call_pool_has_target(const struct call_pool *pool)
{
    for (unsigned i = 0; i < pool->slots->len; i++) {
        if (usable(&g_array_index(pool->slots, struct call_slot, i))) {
            return true;
        }
    }
    return false;
}

static bool
was_tried(const struct call *call, const struct call_slot *slot)
{
    for (unsigned i = 0; i < call->attempt_count; i++) {
        if (call->attempts[i]->target.address == slot->view.key.address) {
            return true;
        }
    }
    return false;
}

/* Slots in use, by this daemon and by the lead before it. */
static uint32_t
in_use(const struct call_step *step, const struct call_slot *slot)
{
    bool told = step->now_us < slot->foreign_until_us;

    return slot->used + (told ? slot->foreign : 0);
}

/* True if A is to be taken rather than B: less loaded, or idle for longer. */
static bool
is_better(const struct call_step *step, const struct call_slot *a,
          const struct call_slot *b)
{
    uint64_t load_a =
        (uint64_t)(in_use(step, a) + 1) * b->view.weight * b->view.slots;
    uint64_t load_b =
        (uint64_t)(in_use(step, b) + 1) * a->view.weight * a->view.slots;

    if (load_a != load_b) {
        return load_a < load_b;
    }
    return a->last_used < b->last_used;
}

/*
 * The slot for CALL, or NULL if none is free.  A target that was tried is
 * taken again only if no other target may be used.
 */
struct call_slot *
call_slot_choose(struct call_step *step, struct call_pool *pool,
                 const struct call *call)
{
    struct call_slot *best = NULL;
    struct call_slot *best_tried = NULL;
    bool others = false;

    for (unsigned i = 0; i < pool->slots->len; i++) {
        struct call_slot *slot =
            &g_array_index(pool->slots, struct call_slot, i);
        bool tried = was_tried(call, slot);
        struct call_slot **place = tried ? &best_tried : &best;

        if (!usable(slot)) {
            continue;
        }
        others = others || !tried;
        if (in_use(step, slot) >= slots_now(slot) ||
            step->now_us < slot->rest_until_us) {
            continue;
        }
        if (*place == NULL || is_better(step, slot, *place)) {
            *place = slot;
        }
    }
    return others ? best : best_tried;
}

/* Report what traffic has shown of each target since the last report. */
void
call_evidence_give(struct call_step *step, struct call_pool *pool)
{
    for (unsigned i = 0; i < pool->slots->len; i++) {
        struct call_evidence *evidence =
            &g_array_index(pool->slots, struct call_slot, i).evidence;

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
