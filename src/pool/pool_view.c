/* The view of a pool: which share of new work each target may take. */
#include "pool/pool_internal.h"

#define RAMP_STEPS    10  /* of slow start, so that views change rarely */
#define LOAD_EASY     0.8 /* below this a load reading changes nothing */
#define LOAD_CUT_MOST 0.5 /* of a target's share, at load 1 */
#define BACK_OFF_MEAN 0.7 /* of a pool's shares is left, if all shed */

static double ramp(const struct pool_core *, const struct pool_target *,
                   uint64_t);
static double load_share(const struct pool_core *, const struct pool_target *,
                         uint64_t);

/* The share of a target that is ramping up, in steps up to 1. */
static double
ramp(const struct pool_core *core, const struct pool_target *target,
     uint64_t now_us)
{
    uint64_t age = now_us - target->cold_since_us;
    uint64_t step;

    if (target->cold_since_us == 0 || age >= core->options.slow_start_us) {
        return 1;
    }
    step = 1 + age * (RAMP_STEPS - 1) / core->options.slow_start_us;
    return (double)step / RAMP_STEPS;
}

/* What a fresh load reading takes off, unless traffic says otherwise. */
static double
load_share(const struct pool_core *core, const struct pool_target *target,
           uint64_t now_us)
{
    bool fresh = target->load_at_us != 0 &&
                 now_us < target->load_at_us + core->options.load_fresh_us;
    double over;

    if (!fresh || target->load <= LOAD_EASY || pool_traffic_good(target)) {
        return 1;
    }
    over = (target->load - LOAD_EASY) / (1 - LOAD_EASY);
    return over > 0.5 ? 1 - LOAD_CUT_MOST : 1 - LOAD_CUT_MOST / 2;
}

static uint16_t
base_weight(const struct pool_entry *entry, const struct pool_target *target)
{
    for (size_t i = 0; i < entry->overrides->len; i++) {
        const struct pool_override *override =
            &g_array_index(entry->overrides, struct pool_override, i);

        if (override->address == target->said.key.address) {
            return override->weight;
        }
    }
    return target->said.weight;
}

/* True if TARGET says that it drains or the operator empties it. */
bool
pool_target_drains(const struct pool_entry *entry,
                   const struct pool_target *target)
{
    for (size_t i = 0; i < entry->draining->len; i++) {
        if (g_array_index(entry->draining, uint32_t, i) ==
            target->said.key.address) {
            return true;
        }
    }
    return target->said.state == TARGET_DRAINING;
}

/*
 * How far the back-off of a pool's targets is lifted, 0 to 1, so that a pool
 * that sheds as a whole keeps BACK_OFF_MEAN of its shares.
 */
static double
back_off_lift(const struct pool_core *core, const struct pool_entry *entry)
{
    double sum = 0;
    double mean;
    unsigned count = 0;

    for (size_t i = 0; i < core->targets->len; i++) {
        const struct pool_target *target = core->targets->pdata[i];

        if (target->said.pool.value == entry->id.value && !target->expired &&
            target->hold == POOL_HOLD_NONE) {
            sum += target->back_off;
            count++;
        }
    }
    mean = count == 0 ? 1 : sum / count;
    if (mean >= BACK_OFF_MEAN) {
        return 0;
    }
    return (BACK_OFF_MEAN - mean) / (1 - mean);
}

static enum target_state
view_state(const struct pool_entry *entry, const struct pool_target *target,
           double share)
{
    if (target->expired) {
        return TARGET_DOWN;
    }
    if (pool_target_drains(entry, target)) {
        return TARGET_DRAINING;
    }
    if (target->hold != POOL_HOLD_NONE) {
        return TARGET_DOWN;
    }
    return share < 1 ? TARGET_COLD : TARGET_READY;
}

static struct target_view
view_target(const struct pool_core *core, const struct pool_entry *entry,
            const struct pool_target *target, double lift, uint64_t now_us)
{
    double share = ramp(core, target, now_us);
    double back_off = target->back_off + (1 - target->back_off) * lift;
    double weight = base_weight(entry, target) * share * back_off *
                    load_share(core, target, now_us);
    struct target_view view = {
        .key = target->said.key,
        .port = target->said.port,
        .weight = (uint16_t)MAX(1, weight + 0.5),
        .slots = target->said.slots,
        .connections = target->said.connections,
        .zone = target->said.zone,
        .state = view_state(entry, target, share),
    };

    if (entry->slots_limit != 0 && view.slots > entry->slots_limit) {
        view.slots = entry->slots_limit;
    }
    return view;
}

static bool
same_target(const struct target_view *a, const struct target_view *b)
{
    return a->key.address == b->key.address &&
           a->key.incarnation == b->key.incarnation && a->port == b->port &&
           a->weight == b->weight && a->slots == b->slots &&
           a->connections == b->connections && a->zone == b->zone &&
           a->state == b->state;
}

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

/* Give out the view of ENTRY if it differs from the last one. */
void
pool_view_publish(struct pool_core *core, uint64_t now_us,
                  struct pool_entry *entry, struct pool_actions *out)
{
    double lift = back_off_lift(core, entry);
    GArray *view = entry->scratch;

    g_array_set_size(view, 0);
    for (size_t i = 0; i < core->targets->len; i++) {
        const struct pool_target *target = core->targets->pdata[i];

        if (target->said.pool.value == entry->id.value) {
            struct target_view item =
                view_target(core, entry, target, lift, now_us);

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
