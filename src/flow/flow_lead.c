/* The lead's decisions about single flows: open, close, count, expire. */
#include "flow/flow_state.h"

#define LASTING_S   10  /* age of a flow that is worth a record */
#define SWEEP_TICKS 200 /* ticks in which the whole table is looked over */

static uint64_t load_of(const struct flow_slot *);
static uint32_t weight_of(const struct flow_core *, const struct flow_slot *);
static uint16_t least_loaded(const struct flow_core *,
                             const struct flow_pool *);
static bool outweighs(const struct flow_core *, const struct flow_pool *,
                      uint16_t base, uint16_t least);
static uint16_t choose(const struct flow_core *, const struct flow_pool *,
                       uint64_t digest);
static bool recorded(const struct flow_pool *, const struct flow_bucket *,
                     uint16_t target, uint8_t flags);
static void record_transit(struct flow_core *, struct flow_pool *,
                           struct flow_entry *);
static void convert_again(struct flow_bucket *);
static bool expired(const struct flow_core *, const struct flow_entry *);

static uint64_t
load_of(const struct flow_slot *slot)
{
    return (uint64_t)slot->count + slot->inherited;
}

static uint32_t
weight_of(const struct flow_core *core, const struct flow_slot *slot)
{
    return MAX(1, flow_endpoint_at(core, slot->endpoint)->view.weight);
}

/* Whether the target may take new flows. */
bool
flow_lead_takes(const struct flow_core *core, const struct flow_slot *slot)
{
    const struct flow_endpoint *endpoint =
        flow_endpoint_at(core, slot->endpoint);
    const struct target_view *view = &endpoint->view;

    return endpoint->present && view->weight > 0 &&
           (view->state == TARGET_READY || view->state == TARGET_COLD) &&
           (view->connections == 0 || load_of(slot) < view->connections);
}

/* The target with the fewest flows per weight, or FLOW_SLOT_NONE. */
static uint16_t
least_loaded(const struct flow_core *core, const struct flow_pool *pool)
{
    uint16_t best = FLOW_SLOT_NONE;
    uint64_t best_load = 0;
    uint64_t best_weight = 1;

    for (guint i = 0; i < pool->slots->len; i++) {
        const struct flow_slot *slot = flow_slot_at(pool, i);
        uint64_t load = load_of(slot) + 1;
        uint64_t weight;

        if (!flow_lead_takes(core, slot)) {
            continue;
        }
        weight = weight_of(core, slot);
        if (best == FLOW_SLOT_NONE ||
            load * best_weight < best_load * weight) {
            best = (uint16_t)i;
            best_load = load;
            best_weight = weight;
        }
    }
    return best;
}

/* Whether BASE is loaded above LEAST by more than the pool's slack. */
static bool
outweighs(const struct flow_core *core, const struct flow_pool *pool,
          uint16_t base, uint16_t least)
{
    const struct flow_slot *heavy = flow_slot_at(pool, base);
    const struct flow_slot *light = flow_slot_at(pool, least);
    uint64_t slack = pool->prefer == POOL_PREFER_BALANCE
                         ? core->options.slack_balance
                         : core->options.slack_flows;

    return load_of(heavy) * weight_of(core, light) * 1000 >
           (load_of(light) + 1) * weight_of(core, heavy) * (1000 + slack);
}

/*
 * The target of a new flow.  Off the bucket's base only where every daemon
 * asks the lead: in a marked bucket, or in a steered slice.
 */
static uint16_t
choose(const struct flow_core *core, const struct flow_pool *pool,
       uint64_t digest)
{
    const struct flow_bucket *bucket = flow_bucket_of(pool, digest);
    uint32_t share =
        pool->min_acked >= pool->share_seq ? pool->share : pool->share_before;
    bool steered = digest % FLOW_SLICES < MIN(share, pool->share_wanted);
    bool base_takes = bucket->base != FLOW_SLOT_NONE &&
                      flow_lead_takes(core, flow_slot_at(pool, bucket->base));
    uint16_t least;

    if (flow_move_in_force(core, pool, bucket)) {
        if (bucket->phase >= FLOW_PHASE_CONVERTING &&
            flow_lead_takes(core, flow_slot_at(pool, bucket->next))) {
            return bucket->next;
        }
        return base_takes ? bucket->base : least_loaded(core, pool);
    }
    if (!steered || (base_takes && pool->tokens < 0)) {
        return bucket->base;
    }
    least = least_loaded(core, pool);
    if (least != FLOW_SLOT_NONE &&
        (!base_takes || outweighs(core, pool, bucket->base, least))) {
        return least;
    }
    return bucket->base;
}

/* What a copy is told about the flow of ENTRY. */
uint64_t
flow_entry_record(const struct flow_entry *entry)
{
    return (entry->flags & FLOW_ENTRY_UDP) != 0
               ? entry->record | FLOW_RECORD_UDP
               : entry->record;
}

/* Whether a flow that opens now is to be recorded at once. */
static bool
recorded(const struct flow_pool *pool, const struct flow_bucket *bucket,
         uint16_t target, uint8_t flags)
{
    if (target != bucket->base || bucket->phase == FLOW_PHASE_SETTLING) {
        return true;
    }
    if ((flags & FLOW_ENTRY_TRANSIT) != 0 && pool->tokens >= 0) {
        return true;
    }
    return pool->heir.value != 0 &&
           (flags & (FLOW_ENTRY_UDP | FLOW_ENTRY_TRANSIT)) != 0;
}

/*
 * A flow without a record is on the bucket's base: a move that had recorded
 * all of them looks again before the base changes.
 */
static void
convert_again(struct flow_bucket *bucket)
{
    if (bucket->phase == FLOW_PHASE_CONVERTING) {
        bucket->converted = false;
    }
}

/*
 * Open the flow with DIGEST, which is not in the table, with FLAGS of enum
 * flow_entry_flag.  On success *SLOT is its target.  A draining target is taken only while some daemon may not yet
 * know that its buckets are marked.
 */
enum flow_reason
flow_lead_open(struct flow_core *core, struct flow_pool *pool, uint64_t digest,
               uint8_t flags, uint16_t *slot)
{
    struct flow_bucket *bucket = flow_bucket_of(pool, digest);
    uint16_t target = choose(core, pool, digest);
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
        load_of(chosen) >= endpoint->view.connections) {
        return FLOW_REASON_TARGET_FULL;
    }
    entry = flow_table_insert(&pool->table, digest, target);
    entry->seen_s = flow_now_s(core);
    entry->opened_s = (uint16_t)entry->seen_s;
    entry->flags = flags;
    chosen->count++;
    core->counters.flows++;
    core->counters.opened++;
    if (recorded(pool, bucket, target, flags)) {
        entry->flags |= FLOW_ENTRY_EXPLICIT;
        flow_copy_record(pool, flow_entry_record(entry));
        core->counters.off_map += target != bucket->base;
    }
    else {
        convert_again(bucket);
    }
    *slot = target;
    return FLOW_REASON_NONE;
}

/*
 * Take up a flow that an earlier lead opened on its bucket's base and that
 * was known by number only; NULL if there is none left.
 */
struct flow_entry *
flow_lead_inherit(struct flow_core *core, struct flow_pool *pool,
                  uint64_t digest)
{
    uint16_t base = flow_bucket_of(pool, digest)->base;
    struct flow_entry *entry;
    struct flow_slot *slot;

    if (base == FLOW_SLOT_NONE || flow_slot_at(pool, base)->inherited == 0) {
        return NULL;
    }
    slot = flow_slot_at(pool, base);
    slot->inherited--;
    slot->count++;
    convert_again(flow_bucket_of(pool, digest));
    entry = flow_table_insert(&pool->table, digest, base);
    entry->flags = FLOW_ENTRY_ANSWERED;
    entry->seen_s = flow_now_s(core);
    return entry;
}

/* Whether an unknown flow on its bucket's base may be an earlier lead's. */
bool
flow_lead_may_inherit(const struct flow_core *core,
                      const struct flow_pool *pool, uint64_t digest)
{
    return core->now_us < pool->complete_us &&
           flow_bucket_of(pool, digest)->base != FLOW_SLOT_NONE;
}

/*
 * Take up a UDP flow that an earlier lead may have opened: on its bucket's
 * base, since it has no record.  NULL if the bucket has none.
 */
struct flow_entry *
flow_lead_adopt(struct flow_core *core, struct flow_pool *pool,
                uint64_t digest)
{
    uint16_t base = flow_bucket_of(pool, digest)->base;
    struct flow_entry *entry;

    if (base == FLOW_SLOT_NONE) {
        return NULL;
    }
    if (flow_slot_at(pool, base)->inherited == 0) {
        flow_slot_at(pool, base)->inherited++;
        core->counters.flows++;
    }
    entry = flow_lead_inherit(core, pool, digest);
    entry->flags |= FLOW_ENTRY_UDP;
    return entry;
}

/* Count the flow of ENTRY no more; it is kept a while for stragglers. */
void
flow_lead_close(struct flow_core *core, struct flow_pool *pool,
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

/* Remove ENTRY from the table, and its record from the copies. */
void
flow_lead_forget(struct flow_core *core, struct flow_pool *pool,
                 struct flow_entry *entry)
{
    if ((entry->flags & FLOW_ENTRY_EXPLICIT) != 0 && pool->acting) {
        flow_copy_record(pool, entry->record | FLOW_RECORD_CLOSED);
    }
    if (pool->acting) {
        flow_lead_close(core, pool, entry);
    }
    flow_table_remove(&pool->table, entry);
}

static bool
expired(const struct flow_core *core, const struct flow_entry *entry)
{
    uint32_t limit = core->options.tcp_idle_s;

    if ((entry->flags & FLOW_ENTRY_CLOSED) != 0) {
        limit = FLOW_CLOSED_S;
    }
    else if ((entry->flags & FLOW_ENTRY_UDP) != 0) {
        limit = core->options.udp_idle_s;
    }
    else if ((entry->flags & FLOW_ENTRY_ANSWERED) == 0) {
        limit = FLOW_UNANSWERED_S;
    }
    return flow_now_s(core) > entry->seen_s + limit;
}

/*
 * Record a flow of a route that changed its pool once it has lasted a while:
 * a new lead that did not know it would take it for one of the former pool.
 */
static void
record_transit(struct flow_core *core, struct flow_pool *pool,
               struct flow_entry *entry)
{
    uint16_t age = (uint16_t)(flow_now_s(core) - entry->opened_s);

    if ((entry->flags & (FLOW_ENTRY_TRANSIT | FLOW_ENTRY_EXPLICIT |
                         FLOW_ENTRY_CLOSED)) == FLOW_ENTRY_TRANSIT &&
        age >= LASTING_S && pool->tokens >= 0) {
        entry->flags |= FLOW_ENTRY_EXPLICIT;
        flow_copy_record(pool, flow_entry_record(entry));
    }
}

/* Look over a part of the table for flows that have ended or gone idle. */
void
flow_lead_sweep(struct flow_core *core, struct flow_pool *pool)
{
    uint32_t end = flow_table_end(&pool->table);
    uint32_t part = end / SWEEP_TICKS + 1;

    if (!pool->acting || end == 0) {
        return;
    }
    for (uint32_t i = 0; i < part; i++) {
        struct flow_entry *entry;

        pool->sweep = pool->sweep + 1 < end ? pool->sweep + 1 : 0;
        entry = &pool->table.slots[pool->sweep];
        if (entry->record == 0) {
            continue;
        }
        record_transit(core, pool, entry);
        if (expired(core, entry)) {
            core->counters.expired += (entry->flags & FLOW_ENTRY_CLOSED) == 0;
            flow_lead_forget(core, pool, entry);
        }
    }
}
