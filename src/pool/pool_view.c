/* Computes the view of a pool: the state and weight of each target. */
#include "pool/pool_internal.h"

#define SLOW_START_STEPS   10  /* few, so that views change rarely */
#define LOAD_REDUCE_ABOVE  0.8 /* a load reading up to this has no effect */
#define LOAD_REDUCTION_MAX 0.5 /* of a target's share, at load 1 */
#define BACK_OFF_MEAN_MIN  0.7 /* kept on average if all targets refuse work */

static double slow_start_share(const struct pool_core *,
                               const struct pool_target *, uint64_t);
static double load_share(const struct pool_core *, const struct pool_target *,
                         uint64_t);

/* Return the share of TARGET during slow start, in steps up to 1. */
static double
slow_start_share(const struct pool_core *core,
                 const struct pool_target *target, uint64_t now_us)
{
    uint64_t age = now_us - target->cold_since_us;
    uint64_t step;

    if (target->cold_since_us == 0 || age >= core->options.slow_start_us) {
        return 1;
    }
    step = 1 + age * (SLOW_START_STEPS - 1) / core->options.slow_start_us;
    return (double)step / SLOW_START_STEPS;
}

/*
 * Return the factor, at most 1, by which a fresh load reading reduces the
 * share of TARGET.  It is 1 if traffic proves the target healthy.
 */
static double
load_share(const struct pool_core *core, const struct pool_target *target,
           uint64_t now_us)
{
    bool fresh = target->load_at_us != 0 &&
                 now_us < target->load_at_us + core->options.load_fresh_us;
    double over;

    if (!fresh || target->load <= LOAD_REDUCE_ABOVE ||
        pool_traffic_healthy(target)) {
        return 1;
    }
    over = (target->load - LOAD_REDUCE_ABOVE) / (1 - LOAD_REDUCE_ABOVE);
    return over > 0.5 ? 1 - LOAD_REDUCTION_MAX : 1 - LOAD_REDUCTION_MAX / 2;
}

/* Return the operator's weight of TARGET, or the announced one if none. */
static uint16_t
base_weight(const struct pool_entry *entry, const struct pool_target *target)
{
    for (size_t i = 0; i < entry->overrides->len; i++) {
        const struct pool_override *override =
            &g_array_index(entry->overrides, struct pool_override, i);

        if (override->address == target->announcement.key.address) {
            return override->weight;
        }
    }
    return target->announcement.weight;
}

/* Return true if TARGET announces draining or the operator drains it. */
bool
pool_target_is_draining(const struct pool_entry *entry,
                        const struct pool_target *target)
{
    for (size_t i = 0; i < entry->draining->len; i++) {
        if (g_array_index(entry->draining, uint32_t, i) ==
            target->announcement.key.address) {
            return true;
        }
    }
    return target->announcement.state == TARGET_DRAINING;
}

/*
 * Return by how much the back-off of a pool's targets is reduced, from 0 (not
 * at all) to 1 (no back-off), so that a pool whose targets all refuse work
 * keeps BACK_OFF_MEAN_MIN of its shares.
 */
static double
back_off_correction(const struct pool_core *core,
                    const struct pool_entry *entry)
{
    double sum = 0;
    double mean;
    unsigned count = 0;

    for (size_t i = 0; i < core->targets->len; i++) {
        const struct pool_target *target = core->targets->pdata[i];

        if (target->announcement.pool.value == entry->id.value &&
            !target->expired && target->hold == POOL_HOLD_NONE) {
            sum += target->back_off_factor;
            count++;
        }
    }
    mean = count == 0 ? 1 : sum / count;
    if (mean >= BACK_OFF_MEAN_MIN) {
        return 0;
    }
    return (BACK_OFF_MEAN_MIN - mean) / (1 - mean);
}

/*
 * Return the state of TARGET in the view; SHARE is its slow-start share.  A
 * draining target stays draining even if it is held.
 */
static enum target_state
view_state(const struct pool_entry *entry, const struct pool_target *target,
           double share)
{
    if (target->expired) {
        return TARGET_DOWN;
    }
    if (pool_target_is_draining(entry, target)) {
        return TARGET_DRAINING;
    }
    if (target->hold != POOL_HOLD_NONE) {
        return TARGET_DOWN;
    }
    return share < 1 ? TARGET_COLD : TARGET_READY;
}

/*
 * Return the view of TARGET at NOW_US.  Its weight is at least 1, and its
 * slots at most the pool's slots_limit if that is set.
 */
static struct target_view
view_target(const struct pool_core *core, const struct pool_entry *entry,
            const struct pool_target *target, double correction,
            uint64_t now_us)
{
    double share = slow_start_share(core, target, now_us);
    double back_off =
        target->back_off_factor + (1 - target->back_off_factor) * correction;
    double weight = base_weight(entry, target) * share * back_off *
                    load_share(core, target, now_us);
    struct target_view view = {
        .key = target->announcement.key,
        .port = target->announcement.port,
        .weight = (uint16_t)MAX(1, weight + 0.5),
        .slots = target->announcement.slots,
        .connections = target->announcement.connections,
        .zone = target->announcement.zone,
        .state = view_state(entry, target, share),
    };

    if (entry->slots_limit != 0 && view.slots > entry->slots_limit) {
        view.slots = entry->slots_limit;
    }
    return view;
}

/* Return true if A and B are equal in every member. */
static bool
same_target(const struct target_view *a, const struct target_view *b)
{
    return a->key.address == b->key.address &&
           a->key.incarnation == b->key.incarnation && a->port == b->port &&
           a->weight == b->weight && a->slots == b->slots &&
           a->connections == b->connections && a->zone == b->zone &&
           a->state == b->state;
}

/* Return true if the arrays A and B hold equal target views. */
static bool
same_view(const GArray *a, const GArray *b)
{
    if (a->len != b->len) {
        return false;
    }
    for (size_t i = 0; i < a->len; i++) {
        if (!same_target(&g_array_index(a, struct target_view, i),
                         &g_array_index(b, struct target_view, i))) {
            return false;
        }
    }
    return true;
}

/* Return the published view of ENTRY, which owns the targets' array. */
static struct pool_view
entry_view(const struct pool_entry *entry)
{
    return (struct pool_view){
        .id = entry->id,
        .version = entry->version,
        .prefer = entry->prefer,
        .queue_limit = entry->queue_limit,
        .target_count = entry->view->len,
        .targets = (const struct target_view *)entry->view->data,
    };
}

/*
 * Compute the view of ENTRY and add it to OUT if it or the row has changed
 * since the last one.
 */
void
pool_view_publish(struct pool_core *core, uint64_t now_us,
                  struct pool_entry *entry, struct pool_actions *out)
{
    double correction = back_off_correction(core, entry);
    GArray *view = entry->scratch;

    g_array_set_size(view, 0);
    for (size_t i = 0; i < core->targets->len; i++) {
        const struct pool_target *target = core->targets->pdata[i];

        if (target->announcement.pool.value == entry->id.value) {
            struct target_view item =
                view_target(core, entry, target, correction, now_us);

            g_array_append_val(view, item);
            core->counters.gauge_held += target->hold != POOL_HOLD_NONE;
        }
    }
    if (!entry->row_changed && same_view(view, entry->view)) {
        return;
    }
    entry->row_changed = false;
    entry->scratch = entry->view;
    entry->view = view;
    pool_action_add(out, POOL_ACT_VIEW)->u.view = entry_view(entry);
}

/*
 * Store the last published view of pool ID and return true, or return false
 * if it has no row.  The view's targets stay valid until the next step.
 */
bool
pool_core_view(const struct pool_core *core, struct pool_id id,
               struct pool_view *view)
{
    const struct pool_entry *entry = pool_entry_find(core, id);

    if (entry == NULL) {
        return false;
    }
    *view = entry_view(entry);
    return true;
}
