/*
 * Opens, counts, closes and expires the flows of the pools that this daemon
 * owns.
 */
#include "flow/flow_state.h"

/* Age from which a flow of a changed route is recorded. */
#define RECORD_AGE_S 10
#define SWEEP_TICKS  200 /* ticks in which the whole table is swept */

static uint64_t slot_load(const struct flow_slot *);
static uint32_t slot_weight(const struct flow_core *,
                            const struct flow_slot *);
static uint16_t least_loaded(const struct flow_core *,
                             const struct flow_pool *);
static bool exceeds_slack(const struct flow_core *, const struct flow_pool *,
                          uint16_t base, uint16_t least);
static uint16_t pick_target(const struct flow_core *, const struct flow_pool *,
                            uint64_t digest);
static bool needs_record(const struct flow_pool *, const struct flow_bucket *,
                         uint16_t target, uint8_t flags);
static void record_moved_route(struct flow_core *, struct flow_pool *,
                               struct flow_entry *);
static void require_recording(struct flow_bucket *);
static bool expired(const struct flow_core *, const struct flow_entry *);

/* Return the number of open flows of the target. */
static uint64_t
slot_load(const struct flow_slot *slot)
{
    return (uint64_t)slot->count + slot->unidentified;
}

/* Return the weight of the target, at least 1. */
static uint32_t
slot_weight(const struct flow_core *core, const struct flow_slot *slot)
{
    return MAX(1, flow_endpoint_at(core, slot->endpoint)->view.weight);
}

/* Return true if the target may accept new flows. */
bool
flow_owner_target_accepts(const struct flow_core *core,
                          const struct flow_slot *slot)
{
    const struct flow_endpoint *endpoint =
        flow_endpoint_at(core, slot->endpoint);
    const struct target_view *view = &endpoint->view;

    return endpoint->present && view->weight > 0 &&
           (view->state == TARGET_READY || view->state == TARGET_COLD) &&
           (view->connections == 0 || slot_load(slot) < view->connections);
}

/*
 * Return the slot of the target with the fewest flows per weight, or
 * FLOW_SLOT_NONE.
 */
static uint16_t
least_loaded(const struct flow_core *core, const struct flow_pool *pool)
{
    uint16_t best = FLOW_SLOT_NONE;
    uint64_t best_load = 0;
    uint64_t best_weight = 1;

    for (guint i = 0; i < pool->slots->len; i++) {
        const struct flow_slot *slot = flow_slot_at(pool, i);
        uint64_t load = slot_load(slot) + 1;
        uint64_t weight;

        if (!flow_owner_target_accepts(core, slot)) {
            continue;
        }
        weight = slot_weight(core, slot);
        if (best == FLOW_SLOT_NONE ||
            load * best_weight < best_load * weight) {
            best = (uint16_t)i;
            best_load = load;
            best_weight = weight;
        }
    }
    return best;
}

/*
 * Return true if the load of BASE exceeds that of LEAST by more than the
 * pool's slack.
 */
static bool
exceeds_slack(const struct flow_core *core, const struct flow_pool *pool,
              uint16_t base, uint16_t least)
{
    const struct flow_slot *heavy = flow_slot_at(pool, base);
    const struct flow_slot *light = flow_slot_at(pool, least);
    uint64_t slack = pool->prefer == POOL_PREFER_BALANCE
                         ? core->options.slack_balance
                         : core->options.slack_flows;

    return slot_load(heavy) * slot_weight(core, light) * 1000 >
           (slot_load(light) + 1) * slot_weight(core, heavy) * (1000 + slack);
}

/*
 * Return the slot of the target of a new flow.  It differs from the bucket's
 * base only where every daemon relays packets of unknown flows to the owner:
 * in a bucket whose via_owner flag, or whose target's avoid flag, is in force,
 * or in a steered slice.
 */
static uint16_t
pick_target(const struct flow_core *core, const struct flow_pool *pool,
            uint64_t digest)
{
    const struct flow_bucket *bucket = flow_bucket_of(pool, digest);
    uint32_t slices = pool->min_acked >= pool->steered_seq
                          ? pool->steered_slices
                          : pool->steered_before;
    bool steered = digest % FLOW_SLICES < MIN(slices, pool->steered_wanted);
    bool base_accepts =
        bucket->base != FLOW_SLOT_NONE &&
        flow_owner_target_accepts(core, flow_slot_at(pool, bucket->base));
    uint16_t least;

    if (flow_move_via_owner_in_force(core, pool, bucket)) {
        if (bucket->phase >= FLOW_PHASE_RECORDING &&
            flow_owner_target_accepts(core,
                                      flow_slot_at(pool, bucket->next))) {
            return bucket->next;
        }
        return base_accepts ? bucket->base : least_loaded(core, pool);
    }
    if (!steered || (base_accepts && pool->tokens < 0)) {
        return bucket->base;
    }
    least = least_loaded(core, pool);
    if (least != FLOW_SLOT_NONE &&
        (!base_accepts || exceeds_slack(core, pool, bucket->base, least))) {
        return least;
    }
    return bucket->base;
}

/* Return the record of the flow of ENTRY for replicas. */
uint64_t
flow_entry_record(const struct flow_entry *entry)
{
    return (entry->flags & FLOW_ENTRY_UDP) != 0
               ? entry->record | FLOW_RECORD_UDP
               : entry->record;
}

/* Return true if a new flow is to be recorded at once. */
static bool
needs_record(const struct flow_pool *pool, const struct flow_bucket *bucket,
             uint16_t target, uint8_t flags)
{
    if (target != bucket->base || bucket->phase == FLOW_PHASE_SETTLING) {
        return true;
    }
    if ((flags & FLOW_ENTRY_ROUTE_MOVED) != 0 && pool->tokens >= 0) {
        return true;
    }
    return pool->successor.value != 0 &&
           (flags & (FLOW_ENTRY_UDP | FLOW_ENTRY_ROUTE_MOVED)) != 0;
}

/*
 * Note that the bucket has a flow without a record, which is on its base.  A
 * move that had recorded all flows does so again before the base changes.
 */
static void
require_recording(struct flow_bucket *bucket)
{
    if (bucket->phase == FLOW_PHASE_RECORDING) {
        bucket->all_recorded = false;
    }
}

/*
 * Open the flow with DIGEST, which is not in the table, with FLAGS of enum
 * flow_entry_flag.  On success *SLOT is its target.  A draining target is used
 * only while some daemon may not yet relay packets of unknown flows in its
 * buckets to the owner.
 */
enum flow_reason
flow_owner_open(struct flow_core *core, struct flow_pool *pool,
                uint64_t digest, uint8_t flags, uint16_t *slot)
{
    struct flow_bucket *bucket = flow_bucket_of(pool, digest);
    uint16_t target = pick_target(core, pool, digest);
    struct flow_slot *chosen;
    const struct flow_endpoint *endpoint;
    struct flow_entry *entry;

    if (target == FLOW_SLOT_NONE) {
        return FLOW_REASON_NO_TARGET;
    }
    if (core->counters.flows >= core->options.flows_max) {
        return FLOW_REASON_FLOWS_MAX;
    }
    chosen = flow_slot_at(pool, target);
    endpoint = flow_endpoint_at(core, chosen->endpoint);
    if (endpoint->present && endpoint->view.connections != 0 &&
        slot_load(chosen) >= endpoint->view.connections) {
        return FLOW_REASON_TARGET_FULL;
    }
    entry = flow_table_insert(&pool->table, digest, target);
    entry->seen_s = flow_now_s(core);
    entry->opened_s = (uint16_t)entry->seen_s;
    entry->flags = flags;
    chosen->count++;
    core->counters.flows++;
    core->counters.opened++;
    if (needs_record(pool, bucket, target, flags)) {
        entry->flags |= FLOW_ENTRY_RECORDED;
        flow_replica_append(pool, flow_entry_record(entry));
        core->counters.exceptions_opened += target != bucket->base;
    }
    else {
        require_recording(bucket);
    }
    *slot = target;
    return FLOW_REASON_NONE;
}

/*
 * Add to the table a flow that an earlier owner opened on its bucket's base
 * and that was only counted, not in the table.  Return NULL if none of the
 * target's flows is unidentified.
 */
struct flow_entry *
flow_owner_identify(struct flow_core *core, struct flow_pool *pool,
                    uint64_t digest)
{
    uint16_t base = flow_bucket_of(pool, digest)->base;
    struct flow_entry *entry;
    struct flow_slot *slot;

    if (base == FLOW_SLOT_NONE ||
        flow_slot_at(pool, base)->unidentified == 0) {
        return NULL;
    }
    slot = flow_slot_at(pool, base);
    slot->unidentified--;
    slot->count++;
    require_recording(flow_bucket_of(pool, digest));
    entry = flow_table_insert(&pool->table, digest, base);
    entry->flags = FLOW_ENTRY_ACCEPTED;
    entry->seen_s = flow_now_s(core);
    return entry;
}

/*
 * Return true if an unknown flow on its bucket's base may have been opened by
 * an earlier owner.
 */
bool
flow_owner_may_be_earlier_flow(const struct flow_core *core,
                               const struct flow_pool *pool, uint64_t digest)
{
    return core->now_us < pool->all_known_from_us &&
           flow_bucket_of(pool, digest)->base != FLOW_SLOT_NONE;
}

/*
 * Add to the table a UDP flow that an earlier owner may have opened.  It is on
 * its bucket's base, since it has no record.  Return NULL if the bucket has no
 * base.
 */
struct flow_entry *
flow_owner_identify_udp(struct flow_core *core, struct flow_pool *pool,
                        uint64_t digest)
{
    uint16_t base = flow_bucket_of(pool, digest)->base;
    struct flow_entry *entry;

    if (base == FLOW_SLOT_NONE) {
        return NULL;
    }
    if (flow_slot_at(pool, base)->unidentified == 0) {
        flow_slot_at(pool, base)->unidentified++;
        core->counters.flows++;
    }
    entry = flow_owner_identify(core, pool, digest);
    entry->flags |= FLOW_ENTRY_UDP;
    return entry;
}

/*
 * Stop counting the flow of ENTRY, which is kept for a while for late packets.
 */
void
flow_owner_close(struct flow_core *core, struct flow_pool *pool,
                 struct flow_entry *entry)
{
    struct flow_slot *slot = flow_slot_at(pool, flow_entry_target(entry));

    if ((entry->flags & FLOW_ENTRY_CLOSED) != 0) {
        return;
    }
    entry->flags |= FLOW_ENTRY_CLOSED;
    if (slot->count > 0) {
        slot->count--;
    }
    if (core->counters.flows > 0) {
        core->counters.flows--;
    }
    core->counters.closed++;
}

/* Remove ENTRY from the table, and its record from the replicas. */
void
flow_owner_remove(struct flow_core *core, struct flow_pool *pool,
                  struct flow_entry *entry)
{
    if ((entry->flags & FLOW_ENTRY_RECORDED) != 0 && pool->owned_here) {
        flow_replica_append(pool, entry->record | FLOW_RECORD_CLOSED);
    }
    if (pool->owned_here) {
        flow_owner_close(core, pool, entry);
    }
    flow_table_remove(&pool->table, entry);
}

/* Return true if the flow was idle, unanswered or closed for too long. */
static bool
expired(const struct flow_core *core, const struct flow_entry *entry)
{
    uint32_t limit = core->options.tcp_idle_s;

    if ((entry->flags & FLOW_ENTRY_CLOSED) != 0) {
        limit = FLOW_CLOSED_KEEP_S;
    }
    else if ((entry->flags & FLOW_ENTRY_UDP) != 0) {
        limit = core->options.udp_idle_s;
    }
    else if ((entry->flags & FLOW_ENTRY_ACCEPTED) == 0) {
        limit = FLOW_UNANSWERED_KEEP_S;
    }
    return flow_now_s(core) > entry->seen_s + limit;
}

/*
 * Record a flow of a route that changed its pool, once it is long-lived: a new
 * owner without the record would treat it as a flow of the former pool.
 */
static void
record_moved_route(struct flow_core *core, struct flow_pool *pool,
                   struct flow_entry *entry)
{
    uint16_t age = (uint16_t)(flow_now_s(core) - entry->opened_s);

    if ((entry->flags & (FLOW_ENTRY_ROUTE_MOVED | FLOW_ENTRY_RECORDED |
                         FLOW_ENTRY_CLOSED)) == FLOW_ENTRY_ROUTE_MOVED &&
        age >= RECORD_AGE_S && pool->tokens >= 0) {
        entry->flags |= FLOW_ENTRY_RECORDED;
        flow_replica_append(pool, flow_entry_record(entry));
    }
}

/* Check the next part of the table for flows that expired. */
void
flow_owner_sweep(struct flow_core *core, struct flow_pool *pool)
{
    uint32_t end = flow_table_end(&pool->table);
    uint32_t part = end / SWEEP_TICKS + 1;

    if (!pool->owned_here || end == 0) {
        return;
    }
    for (uint32_t i = 0; i < part; i++) {
        struct flow_entry *entry;

        pool->sweep_slot =
            pool->sweep_slot + 1 < end ? pool->sweep_slot + 1 : 0;
        entry = &pool->table.slots[pool->sweep_slot];
        if (entry->record == 0) {
            continue;
        }
        record_moved_route(core, pool, entry);
        if (expired(core, entry)) {
            core->counters.expired += (entry->flags & FLOW_ENTRY_CLOSED) == 0;
            flow_owner_remove(core, pool, entry);
        }
    }
}
