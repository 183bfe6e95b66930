/* The choice of a target for a new flow. */
#include "affinity/affinity_state.h"

/* Penalties, in requests that wait. */
#define COLD_COST    1.0  /* a target that started within seconds is slow */
#define REMOTE_COST  3.0  /* bytes between zones are dear */
#define LASTING_COST 0.15 /* of a flow that will carry further requests */
#define SLOW_COST    2.0  /* for each time that it is slower than others */

/* A candidate; the lowest cost is chosen. */
struct choice {
    const struct catalog_target *target;
    double cost;
    unsigned ties;
};

static struct pool_id draw_pool(struct affinity_core *,
                                const struct catalog_route *);
static bool is_candidate(const struct catalog_target *, struct pool_id,
                         bool last_resort);
static double cost_of(struct affinity_core *, uint64_t now_us,
                      const struct catalog_target *, uint64_t typical_us,
                      bool lasting);
static uint64_t typical_answer(struct affinity_core *, const struct catalog *,
                               struct pool_id);
static void consider(struct affinity_core *, struct choice *,
                     const struct catalog_target *, double cost);

/* One of the route's pools, by weight. */
static struct pool_id
draw_pool(struct affinity_core *core, const struct catalog_route *route)
{
    struct pool_id none = {0};
    uint64_t total = 0, at;

    for (size_t i = 0; i < route->split_count; i++) {
        total += route->splits[i].weight;
    }
    if (total == 0) {
        return none;
    }
    at = route->split_count == 1 ? 0 : g_rand_int(core->rand) % total;
    for (size_t i = 0; i < route->split_count; i++) {
        if (at < route->splits[i].weight) {
            return route->splits[i].pool;
        }
        at -= route->splits[i].weight;
    }
    return none;
}

/*
 * Whether new flows may go to TARGET.  One whose announcements are missing is
 * the LAST_RESORT: it may be that only the announcements do not come through.
 */
static bool
is_candidate(const struct catalog_target *target, struct pool_id pool,
             bool last_resort)
{
    return target->pool.value == pool.value &&
           target->state == CATALOG_READY && !target->cookie_clashes &&
           target->missing == last_resort;
}

/* Mean of the pool's moving averages from request to answer; 0 for none. */
static uint64_t
typical_answer(struct affinity_core *core, const struct catalog *catalog,
               struct pool_id pool)
{
    const GPtrArray *targets = catalog_targets(catalog);
    uint64_t total = 0, count = 0;

    for (guint i = 0; i < targets->len; i++) {
        const struct catalog_target *target = targets->pdata[i];
        const struct affinity_load *load;

        if (target->pool.value != pool.value ||
            target->state != CATALOG_READY) {
            continue;
        }
        load = g_hash_table_lookup(core->loads, &target->host);
        if (load != NULL && load->answer_us > 0) {
            total += load->answer_us;
            count++;
        }
    }
    return count == 0 ? 0 : total / count;
}

/*
 * What a new flow on TARGET would cost its caller, in requests that wait:
 * those in progress, those to come from flows that last, and how much slower
 * than the TYPICAL_US of its pool the target has lately been.
 */
static double
cost_of(struct affinity_core *core, uint64_t now_us,
        const struct catalog_target *target, uint64_t typical_us, bool lasting)
{
    const struct affinity_load *load = affinity_load_of(core, target->host);
    double slots = MAX(target->slots, 1);
    double cost = load->busy / slots;
    double flows = load->lasting / slots;

    cost += lasting ? flows : flows * LASTING_COST;
    if (now_us < load->cold_until_us) {
        cost += COLD_COST;
    }
    if (target->zone != core->options.zone) {
        cost += REMOTE_COST;
    }
    if (typical_us > 0 && load->answer_us > 2 * typical_us) {
        cost += SLOW_COST * (double)load->answer_us / (double)typical_us;
    }
    return cost;
}

/* Keep TARGET if it is cheaper, or as cheap and drawn. */
static void
consider(struct affinity_core *core, struct choice *choice,
         const struct catalog_target *target, double cost)
{
    if (choice->target != NULL && cost > choice->cost) {
        return;
    }
    if (choice->target == NULL || cost < choice->cost) {
        choice->ties = 0;
    }
    choice->ties++;
    if (choice->ties == 1 ||
        g_rand_int_range(core->rand, 0, (gint32)choice->ties) == 0) {
        choice->target = target;
        choice->cost = cost;
    }
}

/* The target for a new flow of ROUTE, or NULL; CANDIDATES are counted. */
const struct catalog_target *
affinity_place(struct affinity_core *core, uint64_t now_us,
               const struct catalog *catalog,
               const struct catalog_route *route, uint32_t *candidates)
{
    const GPtrArray *targets = catalog_targets(catalog);
    struct pool_id pool = draw_pool(core, route);
    uint64_t typical_us = typical_answer(core, catalog, pool);
    bool lasting = affinity_flow_lasts(core, route->key);
    struct choice answering = {0}, any = {0};

    *candidates = 0;
    for (int last_resort = 0; last_resort <= 1 && any.target == NULL;
         last_resort++) {
        for (guint i = 0; i < targets->len; i++) {
            const struct catalog_target *target = targets->pdata[i];
            double cost;

            if (!is_candidate(target, pool, last_resort == 1)) {
                continue;
            }
            (*candidates)++;
            cost = cost_of(core, now_us, target, typical_us, lasting);
            consider(core, &any, target, cost);
            if (!affinity_load_suspect(affinity_load_of(core, target->host),
                                       now_us)) {
                consider(core, &answering, target, cost);
            }
        }
    }
    return answering.target != NULL ? answering.target : any.target;
}
