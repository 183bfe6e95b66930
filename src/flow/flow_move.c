/*
 * Distributes the buckets by weight with as few moves as possible, and moves
 * them in steps.  Before the first exception opens in a bucket, every
 * daemon relays packets of unknown flows in it to the owner.  The base changes
 * only when all flows on the old one are recorded.
 */
#include "flow/flow_state.h"

#define CHECKS_PER_TICK 64 /* buckets checked for exceptions */
/* No bucket is recorded while the queue has this many records. */
#define RECORD_QUEUE_MAX 512
/* Odd, so that every bucket is visited once. */
#define DISTRIBUTE_STEP  2654435761u
#define STEERED_CHECK_US 1000000 /* interval of checks before lowering */
/* A full target gets new flows again below this share of its connections. */
#define FULL_RETURN_PERCENT 95

static bool accepts_buckets(const struct flow_core *,
                            const struct flow_slot *);
static uint16_t assigned_slot(const struct flow_bucket *);
static bool set_quotas(struct flow_core *, struct flow_pool *);
static uint16_t slot_with_largest_deficit(const struct flow_pool *);
static void assign_bucket(struct flow_pool *, struct flow_bucket *,
                          uint16_t target);
static void set_via_owner(struct flow_pool *, struct flow_bucket *);
static void note_change(struct flow_pool *, struct flow_bucket *);
static bool should_avoid(const struct flow_core *, const struct flow_slot *);
static void end_avoid(struct flow_pool *, uint16_t slot);
static bool has_exception(const struct flow_pool *, uint32_t bucket);
static void step_bucket(struct flow_core *, struct flow_pool *,
                        uint32_t bucket, int *checks);
static void record_all(struct flow_pool *, uint32_t bucket);
static bool base_gone(const struct flow_core *, const struct flow_pool *,
                      const struct flow_bucket *);
static void update_steered(struct flow_core *, struct flow_pool *);
static bool has_exception_above(const struct flow_pool *, uint32_t slices);
static void remove_gone_flows(struct flow_core *, struct flow_pool *);

/* Return true if buckets may be assigned to the target. */
static bool
accepts_buckets(const struct flow_core *core, const struct flow_slot *slot)
{
    const struct flow_endpoint *endpoint =
        flow_endpoint_at(core, slot->endpoint);

    return endpoint->present && endpoint->view.weight > 0 &&
           (endpoint->view.state == TARGET_READY ||
            endpoint->view.state == TARGET_COLD);
}

/*
 * Return the slot that the bucket is assigned to, after its move if there is
 * one.
 */
static uint16_t
assigned_slot(const struct flow_bucket *bucket)
{
    return bucket->phase == FLOW_PHASE_STABLE ? bucket->base : bucket->next;
}

/*
 * Compute each target's quota and surplus of buckets; return false if no
 * target accepts buckets.
 */
static bool
set_quotas(struct flow_core *core, struct flow_pool *pool)
{
    double total = 0;
    int32_t left = (int32_t)pool->bucket_count;

    for (guint i = 0; i < pool->slots->len; i++) {
        struct flow_slot *slot = flow_slot_at(pool, i);
        const struct flow_endpoint *endpoint =
            flow_endpoint_at(core, slot->endpoint);

        slot->quota = accepts_buckets(core, slot) ? endpoint->view.weight : 0;
        total += slot->quota;
    }
    if (total == 0) {
        return false;
    }
    for (guint i = 0; i < pool->slots->len; i++) {
        struct flow_slot *slot = flow_slot_at(pool, i);
        double quota = pool->bucket_count * slot->quota / total;

        slot->surplus = -(int32_t)quota;
        slot->quota = quota;
        left -= (int32_t)quota;
    }
    for (guint i = 0; i < pool->slots->len && left > 0; i++) {
        struct flow_slot *slot = flow_slot_at(pool, i);

        if (slot->quota > 0) {
            slot->surplus--;
            left--;
        }
    }
    for (uint32_t i = 0; i < pool->bucket_count; i++) {
        uint16_t current = assigned_slot(&pool->buckets[i]);

        if (current != FLOW_SLOT_NONE) {
            flow_slot_at(pool, current)->surplus++;
        }
    }
    return true;
}

/*
 * Return the slot of the target that lacks the most buckets, or FLOW_SLOT_NONE
 * if none does.
 */
static uint16_t
slot_with_largest_deficit(const struct flow_pool *pool)
{
    uint16_t best = FLOW_SLOT_NONE;
    int32_t lowest = 0;

    for (guint i = 0; i < pool->slots->len; i++) {
        const struct flow_slot *slot = flow_slot_at(pool, i);

        if (slot->quota > 0 && slot->surplus < lowest) {
            lowest = slot->surplus;
            best = (uint16_t)i;
        }
    }
    return best;
}

/* Note that the bucket is to be published. */
static void
note_change(struct flow_pool *pool, struct flow_bucket *bucket)
{
    bucket->changed_seq = pool->seq + 1;
    pool->dirty = true;
}

/*
 * Have all daemons relay packets of unknown flows in the bucket to the owner.
 */
static void
set_via_owner(struct flow_pool *pool, struct flow_bucket *bucket)
{
    if (!bucket->via_owner) {
        bucket->via_owner = true;
        bucket->via_owner_seq = pool->seq + 1;
        note_change(pool, bucket);
    }
}

/*
 * Assign the bucket to TARGET: at once if it has no base, else by starting or
 * changing its move.  A bucket that is settling is distributed again later.
 */
static void
assign_bucket(struct flow_pool *pool, struct flow_bucket *bucket,
              uint16_t target)
{
    if (bucket->base == FLOW_SLOT_NONE) {
        bucket->base = target;
        note_change(pool, bucket);
        return;
    }
    if (bucket->phase == FLOW_PHASE_SETTLING) {
        pool->redistribute = true;
        return;
    }
    if (bucket->base == target) {
        bucket->phase = FLOW_PHASE_STABLE;
        set_via_owner(pool, bucket);
        return;
    }
    bucket->next = target;
    if (bucket->phase == FLOW_PHASE_STABLE) {
        bucket->phase = FLOW_PHASE_ANNOUNCING;
        bucket->all_recorded = false;
        if (!flow_slot_at(pool, bucket->base)->avoid) {
            set_via_owner(pool, bucket);
        }
    }
}

/*
 * Distribute the buckets by the weights of the targets that accept new flows.
 */
void
flow_move_distribute(struct flow_core *core, struct flow_pool *pool)
{
    pool->redistribute = false;
    for (guint i = 0; i < pool->members->len; i++) {
        uint32_t index = g_array_index(pool->members, uint32_t, i);

        flow_map_get_slot(core, pool, flow_endpoint_at(core, index)->key);
    }
    if (!set_quotas(core, pool)) {
        return;
    }
    for (uint32_t i = 0; i < pool->bucket_count; i++) {
        uint32_t index = (i * DISTRIBUTE_STEP) & (pool->bucket_count - 1);
        struct flow_bucket *bucket = &pool->buckets[index];
        uint16_t current = assigned_slot(bucket);
        uint16_t to;

        if (current != FLOW_SLOT_NONE &&
            flow_slot_at(pool, current)->quota > 0 &&
            flow_slot_at(pool, current)->surplus <= 0) {
            continue;
        }
        to = slot_with_largest_deficit(pool);
        if (to == FLOW_SLOT_NONE) {
            break;
        }
        if (current != FLOW_SLOT_NONE) {
            flow_slot_at(pool, current)->surplus--;
        }
        flow_slot_at(pool, to)->surplus++;
        assign_bucket(pool, bucket, to);
    }
}

/*
 * Return true if the target is to get no new flows: it does not accept them,
 * or it is full.  A full target accepts them again below FULL_RETURN_PERCENT.
 */
static bool
should_avoid(const struct flow_core *core, const struct flow_slot *slot)
{
    const struct flow_endpoint *endpoint =
        flow_endpoint_at(core, slot->endpoint);
    uint64_t limit = endpoint->view.connections;

    if (!accepts_buckets(core, slot)) {
        return true;
    }
    if (limit == 0) {
        return false;
    }
    if (slot->avoid) {
        limit = limit * FULL_RETURN_PERCENT / 100;
    }
    return (uint64_t)slot->count + slot->unidentified >= limit;
}

/*
 * Before a target accepts new flows again: set via_owner for those of its
 * buckets that are moving or have exceptions.
 */
static void
end_avoid(struct flow_pool *pool, uint16_t index)
{
    for (uint32_t i = 0; i < pool->bucket_count; i++) {
        struct flow_bucket *bucket = &pool->buckets[i];

        if (bucket->base == index && !bucket->via_owner &&
            (bucket->phase != FLOW_PHASE_STABLE || has_exception(pool, i))) {
            set_via_owner(pool, bucket);
        }
    }
}

/* Publish which targets get no new flows. */
void
flow_move_update_avoid(struct flow_core *core, struct flow_pool *pool)
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
 * Return true if every live daemon relays packets of unknown flows in BUCKET
 * to the owner.  For an avoided target, a daemon that does not acknowledge
 * is waited for only up to ack_limit_ms.
 */
bool
flow_move_via_owner_in_force(const struct flow_core *core,
                             const struct flow_pool *pool,
                             const struct flow_bucket *bucket)
{
    const struct flow_slot *slot;

    if (bucket->base == FLOW_SLOT_NONE) {
        return true;
    }
    if (bucket->via_owner && pool->min_acked >= bucket->via_owner_seq) {
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

/*
 * Return true if the bucket INDEX has an exception: a flow at another target
 * than the bucket's base.
 */
static bool
has_exception(const struct flow_pool *pool, uint32_t index)
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

/* Record every flow of the bucket INDEX that has no record yet. */
static void
record_all(struct flow_pool *pool, uint32_t index)
{
    struct flow_bucket *bucket = &pool->buckets[index];

    flow_replica_record_bucket(pool, index, 0);
    bucket->all_recorded = true;
    bucket->recorded_position =
        flow_replica_end(&pool->replicas[FLOW_REPLICA_BACKUP]);
}

/* Return true if the target of the bucket's base is gone. */
static bool
base_gone(const struct flow_core *core, const struct flow_pool *pool,
          const struct flow_bucket *bucket)
{
    const struct flow_endpoint *endpoint =
        flow_endpoint_at(core, flow_slot_at(pool, bucket->base)->endpoint);

    return !endpoint->present &&
           core->now_us > endpoint->missing_since_us + FLOW_TARGET_GONE_US;
}

/*
 * Perform the next step of the move of the bucket INDEX if its condition
 * holds.  In a stable bucket via_owner is cleared once it has no exception;
 * *CHECKS limits these checks.
 */
static void
step_bucket(struct flow_core *core, struct flow_pool *pool, uint32_t index,
            int *checks)
{
    struct flow_bucket *bucket = &pool->buckets[index];
    struct flow_replica *backup = &pool->replicas[FLOW_REPLICA_BACKUP];

    switch ((enum flow_phase)bucket->phase) {
    case FLOW_PHASE_STABLE:
        if (bucket->via_owner && *checks > 0 &&
            pool->min_acked >= bucket->via_owner_seq) {
            *checks -= 1;
            if (!has_exception(pool, index)) {
                bucket->via_owner = false;
                note_change(pool, bucket);
            }
        }
        break;
    case FLOW_PHASE_ANNOUNCING:
        if (flow_move_via_owner_in_force(core, pool, bucket)) {
            bucket->phase = FLOW_PHASE_RECORDING;
            core->counters.moves_unacked +=
                pool->min_acked < bucket->via_owner_seq;
        }
        break;
    case FLOW_PHASE_RECORDING:
        if (!bucket->all_recorded && backup->queue->len < RECORD_QUEUE_MAX &&
            pool->tokens >= 0) {
            record_all(pool, index);
        }
        if (bucket->all_recorded &&
            flow_replica_reached(backup, bucket->recorded_position) &&
            (core->now_us >= pool->all_known_from_us ||
             base_gone(core, pool, bucket))) {
            bucket->base = bucket->next;
            bucket->phase = FLOW_PHASE_SETTLING;
            bucket->settle_seq = pool->seq + 1;
            set_via_owner(pool, bucket);
            note_change(pool, bucket);
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

/*
 * Return true if an exception is in a steered slice with a number >= SLICES.
 */
static bool
has_exception_above(const struct flow_pool *pool, uint32_t slices)
{
    for (uint32_t i = 0; i < flow_table_end(&pool->table); i++) {
        const struct flow_entry *entry = &pool->table.slots[i];
        uint64_t digest = flow_entry_digest(entry);

        if (entry->record != 0 && digest % FLOW_SLICES >= slices &&
            digest % FLOW_SLICES < pool->steered_slices &&
            flow_entry_target(entry) != flow_bucket_of(pool, digest)->base) {
            return true;
        }
    }
    return false;
}

/*
 * Raise the published number of steered slices at once; lower it when no flow
 * needs the slices.
 */
static void
update_steered(struct flow_core *core, struct flow_pool *pool)
{
    bool raise = pool->steered_wanted > pool->steered_slices;

    if (pool->steered_wanted == pool->steered_slices ||
        pool->min_acked < pool->steered_seq ||
        (!raise && core->now_us < pool->steered_check_us + STEERED_CHECK_US)) {
        return;
    }
    pool->steered_check_us = core->now_us;
    if (!raise && has_exception_above(pool, pool->steered_wanted)) {
        return;
    }
    pool->steered_before = MIN(pool->steered_slices, pool->steered_wanted);
    pool->steered_slices = pool->steered_wanted;
    pool->steered_seq = pool->seq + 1;
    pool->dirty = true;
}

/* Remove the flows of targets that are gone. */
static void
remove_gone_flows(struct flow_core *core, struct flow_pool *pool)
{
    for (guint i = 0; i < pool->slots->len; i++) {
        struct flow_slot *slot = flow_slot_at(pool, i);
        const struct flow_endpoint *endpoint =
            flow_endpoint_at(core, slot->endpoint);

        if (endpoint->present || slot->count + slot->unidentified == 0 ||
            core->now_us < endpoint->missing_since_us + FLOW_TARGET_GONE_US) {
            continue;
        }
        slot->unidentified = 0;
        for (uint32_t j = flow_table_end(&pool->table); j-- > 0;) {
            struct flow_entry *entry = &pool->table.slots[j];

            if (entry->record != 0 && flow_entry_target(entry) == i) {
                flow_owner_remove(core, pool, entry);
            }
        }
    }
}

/* Perform the next step of all moves. */
void
flow_move_tick(struct flow_core *core, struct flow_pool *pool)
{
    int checks = CHECKS_PER_TICK;

    if (pool->redistribute) {
        flow_move_distribute(core, pool);
    }
    flow_move_update_avoid(core, pool);
    remove_gone_flows(core, pool);
    update_steered(core, pool);
    for (uint32_t i = 0; i < pool->bucket_count; i++) {
        const struct flow_bucket *bucket = &pool->buckets[i];

        if (bucket->phase != FLOW_PHASE_STABLE || bucket->via_owner) {
            step_bucket(core, pool, i, &checks);
        }
    }
}
