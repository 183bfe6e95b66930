/*
 * Buckets: dealt evenly by weight with as few moves as may be, and moved in
 * steps.  A bucket is marked everywhere before the first flow opens off its
 * base, and gets a new base only when all flows on the old one are known.
 */
#include "flow/flow_state.h"

#define CHECKS_PER_TICK 64  /* buckets looked over for flows off base */
#define QUEUE_MAX       512 /* records waiting before more are added */
#define DEAL_STEP       2654435761u /* odd: visits every bucket once */
#define SHARE_CHECK_US  1000000
#define FULL_RETURN     95 /* percent of connections: takes flows again */

static bool dealable(const struct flow_core *, const struct flow_slot *);
static uint16_t owner(const struct flow_bucket *);
static bool set_quotas(struct flow_core *, struct flow_pool *);
static uint16_t neediest(const struct flow_pool *);
static void move(struct flow_pool *, struct flow_bucket *, uint16_t target);
static void mark(struct flow_pool *, struct flow_bucket *);
static void change(struct flow_pool *, struct flow_bucket *);
static bool should_avoid(const struct flow_core *, const struct flow_slot *);
static void end_avoid(struct flow_pool *, uint16_t slot);
static bool has_off_base(const struct flow_pool *, uint32_t bucket);
static void step_bucket(struct flow_core *, struct flow_pool *,
                        uint32_t bucket, int *checks);
static void convert(struct flow_pool *, uint32_t bucket);
static bool base_gone(const struct flow_core *, const struct flow_pool *,
                      const struct flow_bucket *);
static void set_share(struct flow_core *, struct flow_pool *);
static bool steered_above(const struct flow_pool *, uint32_t share);
static void drop_gone_flows(struct flow_core *, struct flow_pool *);

/* Whether buckets may belong to the target. */
static bool
dealable(const struct flow_core *core, const struct flow_slot *slot)
{
    const struct flow_endpoint *endpoint =
        flow_endpoint_at(core, slot->endpoint);

    return endpoint->present && endpoint->view.weight > 0 &&
           (endpoint->view.state == TARGET_READY ||
            endpoint->view.state == TARGET_COLD);
}

/* The target that has the bucket, or will have it after its move. */
static uint16_t
owner(const struct flow_bucket *bucket)
{
    return bucket->phase == FLOW_PHASE_STABLE ? bucket->base : bucket->next;
}

/* Set the buckets that each target lacks or has too many; false if none. */
static bool
set_quotas(struct flow_core *core, struct flow_pool *pool)
{
    double total = 0;
    int32_t left = (int32_t)pool->bucket_count;

    for (guint i = 0; i < pool->slots->len; i++) {
        struct flow_slot *slot = flow_slot_at(pool, i);
        const struct flow_endpoint *endpoint =
            flow_endpoint_at(core, slot->endpoint);

        slot->share = dealable(core, slot) ? endpoint->view.weight : 0;
        total += slot->share;
    }
    if (total == 0) {
        return false;
    }
    for (guint i = 0; i < pool->slots->len; i++) {
        struct flow_slot *slot = flow_slot_at(pool, i);
        double quota = pool->bucket_count * slot->share / total;

        slot->surplus = -(int32_t)quota;
        slot->share = quota;
        left -= (int32_t)quota;
    }
    for (guint i = 0; i < pool->slots->len && left > 0; i++) {
        struct flow_slot *slot = flow_slot_at(pool, i);

        if (slot->share > 0) {
            slot->surplus--;
            left--;
        }
    }
    for (uint32_t i = 0; i < pool->bucket_count; i++) {
        uint16_t has = owner(&pool->buckets[i]);

        if (has != FLOW_SLOT_NONE) {
            flow_slot_at(pool, has)->surplus++;
        }
    }
    return true;
}

static uint16_t
neediest(const struct flow_pool *pool)
{
    uint16_t best = FLOW_SLOT_NONE;
    int32_t lowest = 0;

    for (guint i = 0; i < pool->slots->len; i++) {
        const struct flow_slot *slot = flow_slot_at(pool, i);

        if (slot->share > 0 && slot->surplus < lowest) {
            lowest = slot->surplus;
            best = (uint16_t)i;
        }
    }
    return best;
}

/* Note that the bucket is to be published. */
static void
change(struct flow_pool *pool, struct flow_bucket *bucket)
{
    bucket->changed_seq = pool->seq + 1;
    pool->dirty = true;
}

static void
mark(struct flow_pool *pool, struct flow_bucket *bucket)
{
    if (!bucket->mark) {
        bucket->mark = true;
        bucket->mark_seq = pool->seq + 1;
        change(pool, bucket);
    }
}

static void
move(struct flow_pool *pool, struct flow_bucket *bucket, uint16_t target)
{
    if (bucket->base == FLOW_SLOT_NONE) {
        bucket->base = target;
        change(pool, bucket);
        return;
    }
    if (bucket->phase == FLOW_PHASE_SETTLING) {
        pool->deal = true;
        return;
    }
    if (bucket->base == target) {
        bucket->phase = FLOW_PHASE_STABLE;
        mark(pool, bucket);
        return;
    }
    bucket->next = target;
    if (bucket->phase == FLOW_PHASE_STABLE) {
        bucket->phase = FLOW_PHASE_MARKING;
        bucket->converted = false;
        if (!flow_slot_at(pool, bucket->base)->avoid) {
            mark(pool, bucket);
        }
    }
}

/* Deal the buckets by the weights of the targets that take new flows. */
void
flow_move_deal(struct flow_core *core, struct flow_pool *pool)
{
    pool->deal = false;
    for (guint i = 0; i < pool->members->len; i++) {
        uint32_t index = g_array_index(pool->members, uint32_t, i);

        flow_map_slot(core, pool, flow_endpoint_at(core, index)->key);
    }
    if (!set_quotas(core, pool)) {
        return;
    }
    for (uint32_t i = 0; i < pool->bucket_count; i++) {
        uint32_t index = (i * DEAL_STEP) & (pool->bucket_count - 1);
        struct flow_bucket *bucket = &pool->buckets[index];
        uint16_t has = owner(bucket);
        uint16_t to;

        if (has != FLOW_SLOT_NONE && flow_slot_at(pool, has)->share > 0 &&
            flow_slot_at(pool, has)->surplus <= 0) {
            continue;
        }
        to = neediest(pool);
        if (to == FLOW_SLOT_NONE) {
            break;
        }
        if (has != FLOW_SLOT_NONE) {
            flow_slot_at(pool, has)->surplus--;
        }
        flow_slot_at(pool, to)->surplus++;
        move(pool, bucket, to);
    }
}

static bool
should_avoid(const struct flow_core *core, const struct flow_slot *slot)
{
    const struct flow_endpoint *endpoint =
        flow_endpoint_at(core, slot->endpoint);
    uint64_t limit = endpoint->view.connections;

    if (!dealable(core, slot)) {
        return true;
    }
    if (limit == 0) {
        return false;
    }
    if (slot->avoid) {
        limit = limit * FULL_RETURN / 100;
    }
    return (uint64_t)slot->count + slot->inherited >= limit;
}

/* Mark one by one the buckets of a target whose buckets were all marked. */
static void
end_avoid(struct flow_pool *pool, uint16_t index)
{
    for (uint32_t i = 0; i < pool->bucket_count; i++) {
        struct flow_bucket *bucket = &pool->buckets[i];

        if (bucket->base == index && !bucket->mark &&
            (bucket->phase != FLOW_PHASE_STABLE || has_off_base(pool, i))) {
            mark(pool, bucket);
        }
    }
}

/* Publish which targets get no new flows. */
void
flow_move_avoid(struct flow_core *core, struct flow_pool *pool)
{
    for (guint i = 0; i < pool->slots->len; i++) {
        struct flow_slot *slot = flow_slot_at(pool, i);
        bool avoid = should_avoid(core, slot);

        if (avoid == slot->avoid) {
            continue;
        }
        if (!avoid) {
            end_avoid(pool, (uint16_t)i);
        }
        slot->avoid = avoid;
        slot->avoid_seq = pool->seq + 1;
        slot->avoid_us = core->now_us;
        pool->slots_seq = pool->seq + 1;
        pool->dirty = true;
    }
}

/*
 * Whether every live daemon sends packets of unknown flows in BUCKET to the
 * lead.  A target that leaves is not kept waiting beyond the limit by a
 * daemon that does not acknowledge.
 */
bool
flow_move_in_force(const struct flow_core *core, const struct flow_pool *pool,
                   const struct flow_bucket *bucket)
{
    const struct flow_slot *slot;

    if (bucket->base == FLOW_SLOT_NONE) {
        return true;
    }
    if (bucket->mark && pool->min_acked >= bucket->mark_seq) {
        return true;
    }
    slot = flow_slot_at(pool, bucket->base);
    if (!slot->avoid) {
        return false;
    }
    return pool->min_acked >= slot->avoid_seq ||
           core->now_us >
               slot->avoid_us + (uint64_t)core->options.ack_limit_ms * 1000;
}

/* Whether a flow of the bucket is elsewhere than on its base. */
static bool
has_off_base(const struct flow_pool *pool, uint32_t index)
{
    const struct flow_entry *entry;
    uint32_t at = 0;

    while ((entry = flow_bucket_next(pool, index, &at)) != NULL) {
        if (flow_entry_target(entry) != pool->buckets[index].base) {
            return true;
        }
    }
    return false;
}

/* Record every flow of the bucket that has no record yet. */
static void
convert(struct flow_pool *pool, uint32_t index)
{
    struct flow_bucket *bucket = &pool->buckets[index];

    flow_copy_bucket(pool, index, 0);
    bucket->converted = true;
    bucket->ready = flow_copy_end(&pool->replicas[FLOW_REPLICA_SECOND]);
}

static bool
base_gone(const struct flow_core *core, const struct flow_pool *pool,
          const struct flow_bucket *bucket)
{
    const struct flow_endpoint *endpoint =
        flow_endpoint_at(core, flow_slot_at(pool, bucket->base)->endpoint);

    return !endpoint->present &&
           core->now_us > endpoint->gone_us + FLOW_GONE_US;
}

/* Take one bucket a step further in its move. */
static void
step_bucket(struct flow_core *core, struct flow_pool *pool, uint32_t index,
            int *checks)
{
    struct flow_bucket *bucket = &pool->buckets[index];
    struct flow_replica *second = &pool->replicas[FLOW_REPLICA_SECOND];

    switch ((enum flow_phase)bucket->phase) {
    case FLOW_PHASE_STABLE:
        if (bucket->mark && *checks > 0 &&
            pool->min_acked >= bucket->mark_seq) {
            *checks -= 1;
            if (!has_off_base(pool, index)) {
                bucket->mark = false;
                change(pool, bucket);
            }
        }
        break;
    case FLOW_PHASE_MARKING:
        if (flow_move_in_force(core, pool, bucket)) {
            bucket->phase = FLOW_PHASE_CONVERTING;
            core->counters.marks_unacked += pool->min_acked < bucket->mark_seq;
        }
        break;
    case FLOW_PHASE_CONVERTING:
        if (!bucket->converted && second->queue->len < QUEUE_MAX &&
            pool->tokens >= 0) {
            convert(pool, index);
        }
        if (bucket->converted && flow_copy_reached(second, bucket->ready) &&
            (core->now_us >= pool->complete_us ||
             base_gone(core, pool, bucket))) {
            bucket->base = bucket->next;
            bucket->phase = FLOW_PHASE_SETTLING;
            bucket->settle_seq = pool->seq + 1;
            mark(pool, bucket);
            change(pool, bucket);
        }
        break;
    case FLOW_PHASE_SETTLING:
        if (pool->min_acked >= bucket->settle_seq) {
            bucket->phase = FLOW_PHASE_STABLE;
        }
        break;
    case FLOW_PHASE__MAX:
        break;
    }
}

/* Whether a flow off the map is in a slice from SHARE on. */
static bool
steered_above(const struct flow_pool *pool, uint32_t share)
{
    for (uint32_t i = 0; i < flow_table_end(&pool->table); i++) {
        const struct flow_entry *entry = &pool->table.slots[i];
        uint64_t digest = flow_entry_digest(entry);

        if (entry->record != 0 && digest % FLOW_SLICES >= share &&
            digest % FLOW_SLICES < pool->share &&
            flow_entry_target(entry) != flow_bucket_of(pool, digest)->base) {
            return true;
        }
    }
    return false;
}

/* Raise the published share at once; lower it when no flow needs it. */
static void
set_share(struct flow_core *core, struct flow_pool *pool)
{
    bool raise = pool->share_wanted > pool->share;

    if (pool->share_wanted == pool->share ||
        pool->min_acked < pool->share_seq ||
        (!raise && core->now_us < pool->share_check_us + SHARE_CHECK_US)) {
        return;
    }
    pool->share_check_us = core->now_us;
    if (!raise && steered_above(pool, pool->share_wanted)) {
        return;
    }
    pool->share_before = MIN(pool->share, pool->share_wanted);
    pool->share = pool->share_wanted;
    pool->share_seq = pool->seq + 1;
    pool->dirty = true;
}

/* Forget the flows of targets that are gone for good. */
static void
drop_gone_flows(struct flow_core *core, struct flow_pool *pool)
{
    for (guint i = 0; i < pool->slots->len; i++) {
        struct flow_slot *slot = flow_slot_at(pool, i);
        const struct flow_endpoint *endpoint =
            flow_endpoint_at(core, slot->endpoint);

        if (endpoint->present || slot->count + slot->inherited == 0 ||
            core->now_us < endpoint->gone_us + FLOW_GONE_US) {
            continue;
        }
        slot->inherited = 0;
        for (uint32_t j = flow_table_end(&pool->table); j-- > 0;) {
            struct flow_entry *entry = &pool->table.slots[j];

            if (entry->record != 0 && flow_entry_target(entry) == i) {
                flow_lead_forget(core, pool, entry);
            }
        }
    }
}

/* Take all moves a step further. */
void
flow_move_tick(struct flow_core *core, struct flow_pool *pool)
{
    int checks = CHECKS_PER_TICK;

    if (pool->deal) {
        flow_move_deal(core, pool);
    }
    flow_move_avoid(core, pool);
    drop_gone_flows(core, pool);
    set_share(core, pool);
    for (uint32_t i = 0; i < pool->bucket_count; i++) {
        const struct flow_bucket *bucket = &pool->buckets[i];

        if (bucket->phase != FLOW_PHASE_STABLE || bucket->mark) {
            step_bucket(core, pool, i, &checks);
        }
    }
}
