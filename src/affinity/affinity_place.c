/* Chooses the target for a new flow. */
#include "affinity/affinity_state.h"

/* Costs, in requests in progress per slot. */
#define COLD_COST       1.0  /* a target is slow for seconds after its start */
#define LONG_LIVED_COST 0.05 /* of a flow that will carry more requests */
/* Factor of the ratio of the target's answer time to the pool's median, if
 * above SLOW_RATIO. */
#define SLOW_COST  2.0
#define SLOW_RATIO 1.6

/* Cost of another zone, in requests in progress per slot.  While this zone's
 * best target has fewer requests per slot, other zones are not examined.
 * Otherwise one is used if its best target has fewer by more than this and
 * answers are fast.  Not applied if this zone has no target, or to an
 * overloaded pool.  The link between zones may be cut, and its traffic is
 * expensive. */
#define REMOTE_COST 1.0

/* Maximum of recent requests of this zone per slot of the other zones'
 * targets.  Those targets also serve the flows of their own zones, which are
 * not seen here. */
#define REMOTE_UTILIZATION_MAX 0.5

/* An older measurement says nothing about the present load. */
#define ANSWER_MAX_AGE_US 1000000U

/* Criteria of a search for a target. */
struct search {
    uint64_t now_us;
    const struct catalog_route *route;
    struct pool_id pool;
    uint64_t except;                /* host that is no candidate; 0 for none */
    uint64_t pool_mean_answer_us;   /* 0 if unknown */
    uint64_t pool_median_answer_us; /* 0 if unknown */
    bool long_lived;
    bool local; /* targets of this daemon's zone, else of all others */
    bool include_unhealthy; /* also missing or suspect targets */
    /* Live targets that were passed over. */
    uint32_t emptied; /* their zone is emptied */
    uint32_t cold;    /* they are cold, and have what they bear */
};

/* The candidate of the lowest cost, and the load of those that are not slow. */
struct choice {
    const struct catalog_target *target;
    double cost;
    unsigned ties;   /* candidates of the lowest cost so far */
    uint32_t recent; /* recent requests in progress */
    uint32_t slots;
    uint64_t answer_sum_us; /* of their mean answer times */
    uint32_t answer_count;  /* candidates with a recent answer time */
};

static struct pool_id pick_pool(struct affinity_core *,
                                const struct catalog_route *);
static double target_cost(struct affinity_core *, uint64_t now_us,
                          const struct catalog_target *,
                          uint64_t pool_median_answer_us, bool long_lived);
static GArray *recent_answer_times(struct affinity_core *, uint64_t now_us,
                                   const struct catalog *, struct pool_id);
static gint compare_times(gconstpointer, gconstpointer);
static void set_answer_times(struct affinity_core *, const struct catalog *,
                             struct search *);
static double slowness(const struct affinity_load *, uint64_t now_us,
                       uint64_t pool_median_answer_us);
static void count_load(struct choice *, const struct catalog_target *,
                       const struct affinity_load *, uint64_t now_us);
static void keep_cheaper(struct affinity_core *, struct choice *,
                         const struct catalog_target *, double cost);
static struct choice find_best(struct affinity_core *, const struct catalog *,
                               struct search *, uint32_t *candidates);
static bool may_place(struct affinity_core *, const struct catalog *,
                      const struct catalog_target *, struct affinity_load *,
                      struct search *);
static enum affinity_reason no_target_reason(const struct search *);
static double zone_slots_share(const struct affinity_core *,
                               const struct catalog *, struct pool_id);
static double requests_per_slot(struct affinity_core *,
                                const struct catalog_target *);
static struct choice choose_target(struct affinity_core *,
                                   const struct catalog *, struct search *,
                                   uint32_t *candidates);
static double estimate_utilization(const struct affinity_core *,
                                   const struct choice *, double slots_share);
static uint64_t candidates_mean_answer_us(const struct choice *);
static const struct catalog_target *
choose_remote_target(struct affinity_core *, const struct catalog *,
                     struct search *, uint32_t *candidates);

/* Pick one of the pools of ROUTE at random, by weight; return the pool id 0 if
 * the weights sum to 0. */
static struct pool_id
pick_pool(struct affinity_core *core, const struct catalog_route *route)
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
 * Return the moving averages of the answer times of the ready targets of POOL
 * that have answered recently, in microseconds, as a new array.  An older
 * average belongs to a load that is over.  With it flows would still be
 * rejected when no requests are queued any more.
 */
static GArray *
recent_answer_times(struct affinity_core *core, uint64_t now_us,
                    const struct catalog *catalog, struct pool_id pool)
{
    const GPtrArray *targets = catalog_targets(catalog);
    GArray *times = g_array_new(FALSE, FALSE, sizeof(uint64_t));

    for (guint i = 0; i < targets->len; i++) {
        const struct catalog_target *target = targets->pdata[i];
        const struct affinity_load *load;

        if (target->pool.value != pool.value ||
            target->state != CATALOG_READY) {
            continue;
        }
        load = g_hash_table_lookup(core->loads, &target->host);
        if (load != NULL && load->mean_answer_us > 0 &&
            now_us - load->last_answer_us < ANSWER_MAX_AGE_US) {
            g_array_append_val(times, load->mean_answer_us);
        }
    }
    return times;
}

/* Compare two uint64_t for sorting. */
static gint
compare_times(gconstpointer a, gconstpointer b)
{
    uint64_t x = *(const uint64_t *)a;
    uint64_t y = *(const uint64_t *)b;

    return x < y ? -1 : x > y;
}

/*
 * Set the median of the answer times of SEARCH's pool, and the mean without
 * slow targets; 0 if no target has answered recently.
 */
static void
set_answer_times(struct affinity_core *core, const struct catalog *catalog,
                 struct search *search)
{
    GArray *times =
        recent_answer_times(core, search->now_us, catalog, search->pool);
    uint64_t total = 0;
    guint count = 0;

    g_array_sort(times, compare_times);
    if (times->len > 0) {
        search->pool_median_answer_us =
            g_array_index(times, uint64_t, (times->len - 1) / 2);
    }
    while (count < times->len &&
           (double)g_array_index(times, uint64_t, count) <=
               SLOW_RATIO * (double)search->pool_median_answer_us) {
        total += g_array_index(times, uint64_t, count++);
    }
    search->pool_mean_answer_us = count == 0 ? 0 : total / count;
    g_array_unref(times);
}

/* Return the ratio of the target's recent answer time to
 * POOL_MEDIAN_ANSWER_US; 0 if one of them is unknown. */
static double
slowness(const struct affinity_load *load, uint64_t now_us,
         uint64_t pool_median_answer_us)
{
    return pool_median_answer_us == 0 ||
                   now_us - load->last_answer_us >= ANSWER_MAX_AGE_US
               ? 0
               : (double)load->mean_answer_us / (double)pool_median_answer_us;
}

/*
 * Return the cost of a new flow on TARGET, in requests in progress per slot:
 * those in progress, those expected from long-lived flows, and a penalty if
 * the target has recently been slower than POOL_MEDIAN_ANSWER_US, its pool's
 * median, which some slow targets do not raise.  Long-lived flows are
 * distributed evenly, mostly regardless of the requests in progress.
 */
static double
target_cost(struct affinity_core *core, uint64_t now_us,
            const struct catalog_target *target,
            uint64_t pool_median_answer_us, bool long_lived)
{
    const struct affinity_load *load = affinity_load_get(core, target->host);
    double slots = MAX(target->slots, 1);
    double ratio;
    double cost = long_lived ? (load->long_lived_flows +
                                LONG_LIVED_COST * load->requests_in_progress) /
                                   slots
                             : (load->requests_in_progress +
                                LONG_LIVED_COST * load->long_lived_flows) /
                                   slots;

    if (now_us < load->cold_until_us) {
        cost += COLD_COST;
    }
    ratio = slowness(load, now_us, pool_median_answer_us);
    if (ratio > SLOW_RATIO) {
        cost += SLOW_COST * ratio;
    }
    return cost;
}

/* Replace the target of CHOICE by TARGET if it costs less; pick one at random
 * if the costs are equal. */
static void
keep_cheaper(struct affinity_core *core, struct choice *choice,
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

/* Count the load of TARGET among that of the candidates of CHOICE. */
static void
count_load(struct choice *choice, const struct catalog_target *target,
           const struct affinity_load *load, uint64_t now_us)
{
    choice->recent += load->recent;
    choice->slots += MAX(target->slots, 1);
    if (load->mean_answer_us > 0 &&
        now_us - load->last_answer_us < ANSWER_MAX_AGE_US) {
        choice->answer_sum_us += load->mean_answer_us;
        choice->answer_count++;
    }
}

/*
 * Return true if TARGET, which is ready and of SEARCH's pool, may get a new
 * flow: its zone is not emptied and it is not cold beyond its limit.  Count it
 * in SEARCH if not.
 */
static bool
may_place(struct affinity_core *core, const struct catalog *catalog,
          const struct catalog_target *target, struct affinity_load *load,
          struct search *search)
{
    if (catalog_zone_is_emptied(catalog, target->zone) ||
        g_hash_table_contains(core->avoided_zones,
                              GUINT_TO_POINTER(target->zone))) {
        search->emptied++;
        return false;
    }
    if (!affinity_cold_may_open(core, search->now_us, catalog, target, load)) {
        search->cold++;
        core->counters.cold_skipped++;
        return false;
    }
    return true;
}

/* Return why SEARCH has found no target. */
static enum affinity_reason
no_target_reason(const struct search *search)
{
    if (search->cold > 0) {
        return AFFINITY_COLD_LIMIT;
    }
    return search->emptied > 0 ? AFFINITY_ZONE_EMPTIED : AFFINITY_NO_TARGET;
}

/*
 * Return the cheapest of the targets that SEARCH describes, NULL if there are
 * none, and the load of those that are not slow: a slow target gets few new
 * flows, so the requests that wait there say nothing of the others.
 * CANDIDATES is increased by the number of targets.
 */
static struct choice
find_best(struct affinity_core *core, const struct catalog *catalog,
          struct search *search, uint32_t *candidates)
{
    const GPtrArray *targets = catalog_targets(catalog);
    struct choice best = {0};

    for (guint i = 0; i < targets->len; i++) {
        const struct catalog_target *target = targets->pdata[i];
        struct affinity_load *load;

        if (target->pool.value != search->pool.value ||
            target->state != CATALOG_READY || target->cookie_clashes ||
            target->host == search->except ||
            g_hash_table_contains(core->avoided, &target->host)) {
            continue;
        }
        load = affinity_load_get(core, target->host);
        if (!search->include_unhealthy &&
            (target->missing || affinity_silence_is_suspected(load) ||
             search->now_us < load->failing_until_us ||
             affinity_load_is_suspect(load, search->now_us))) {
            continue;
        }
        if ((target->zone == core->options.zone) != search->local ||
            !may_place(core, catalog, target, load, search)) {
            continue;
        }
        (*candidates)++;
        if (slowness(load, search->now_us, search->pool_median_answer_us) <=
            SLOW_RATIO) {
            count_load(&best, target, load, search->now_us);
        }
        keep_cheaper(core, &best, target,
                     target_cost(core, search->now_us, target,
                                 search->pool_median_answer_us,
                                 search->long_lived));
    }
    return best;
}

/* Return the requests in progress per slot of TARGET, as seen here. */
static double
requests_per_slot(struct affinity_core *core,
                  const struct catalog_target *target)
{
    return affinity_load_get(core, target->host)->requests_in_progress /
           (double)MAX(target->slots, 1);
}

/*
 * Return the best target for a new flow; NULL if there is none.  Targets of
 * this zone come first, other zones if this one has no targets or only busy
 * ones.  Missing or unresponsive targets are used only if there are no others.
 * Sets the local member of SEARCH to false if the target is in another zone.
 */
static struct choice
choose_target(struct affinity_core *core, const struct catalog *catalog,
              struct search *search, uint32_t *candidates)
{
    struct choice local, remote;

    for (int pass = 0; pass <= 1; pass++) {
        search->include_unhealthy = pass == 1;
        search->local = true;
        local = find_best(core, catalog, search, candidates);
        if (local.target != NULL &&
            requests_per_slot(core, local.target) < REMOTE_COST) {
            return local;
        }
        search->local = false;
        remote = find_best(core, catalog, search, candidates);
        if (remote.target != NULL &&
            (local.target == NULL ||
             (affinity_answers_are_fast(search->route,
                                        candidates_mean_answer_us(&remote)) &&
              requests_per_slot(core, remote.target) + REMOTE_COST <
                  requests_per_slot(core, local.target)))) {
            return remote;
        }
        if (local.target != NULL) {
            break;
        }
    }
    search->local = true;
    return local;
}

/*
 * Return the share of the slots of POOL in this zone that its callers may use
 * while zones are emptied: those zones' callers use the slots of the others, and
 * each zone's share is taken as that of its own slots.  For an emptied zone, or
 * one without targets, the slots are those of all other zones; the share is then
 * that of this zone in the pool, or 1.
 */
static double
zone_slots_share(const struct affinity_core *core,
                 const struct catalog *catalog, struct pool_id pool)
{
    const GPtrArray *targets = catalog_targets(catalog);
    double all = 0, usable = 0, own = 0;

    if (catalog_emptied_count(catalog) == 0) {
        return 1;
    }
    for (guint i = 0; i < targets->len; i++) {
        const struct catalog_target *target = targets->pdata[i];

        if (target->pool.value != pool.value ||
            target->state != CATALOG_READY) {
            continue;
        }
        all += target->slots;
        own += target->zone == core->options.zone ? target->slots : 0;
        usable +=
            catalog_zone_is_emptied(catalog, target->zone) ? 0 : target->slots;
    }
    if (all == 0 || own == 0) {
        return 1;
    }
    return catalog_zone_is_emptied(catalog, core->options.zone) ? own / all
                                                                : usable / all;
}

/*
 * Return the estimated recent requests in progress per slot of the candidates:
 * those seen here, times the number of daemons that share the zone's flows.
 */
static double
estimate_utilization(const struct affinity_core *core,
                     const struct choice *choice, double slots_share)
{
    return choice->slots == 0 ? 0
                              : (double)choice->recent * core->zone_daemons /
                                    (choice->slots * slots_share);
}

/* Return the mean answer time of the candidates, in microseconds; 0 if it is
 * unknown. */
static uint64_t
candidates_mean_answer_us(const struct choice *choice)
{
    return choice->answer_count == 0
               ? 0
               : choice->answer_sum_us / choice->answer_count;
}

/*
 * Return the best target of the other zones if this zone's targets are
 * overloaded and those are not, for example after callers have moved; else
 * NULL.
 */
static const struct catalog_target *
choose_remote_target(struct affinity_core *core, const struct catalog *catalog,
                     struct search *search, uint32_t *candidates)
{
    struct choice remote;

    if (!search->local) {
        return NULL;
    }
    search->local = false;
    remote = find_best(core, catalog, search, candidates);
    if (estimate_utilization(core, &remote, 1) >= REMOTE_UTILIZATION_MAX ||
        !affinity_answers_are_fast(search->route,
                                   candidates_mean_answer_us(&remote))) {
        return NULL;
    }
    return remote.target;
}

/*
 * Return the target for a new flow of ROUTE, or NULL with the reason in
 * VERDICT.  The number of candidates and their load are stored in VERDICT.
 */
const struct catalog_target *
affinity_place_flow(struct affinity_core *core, uint64_t now_us,
                    const struct catalog *catalog,
                    const struct catalog_route *route,
                    struct affinity_verdict *verdict)
{
    struct search search = {
        .now_us = now_us,
        .route = route,
        .pool = pick_pool(core, route),
        .long_lived = affinity_route_has_long_lived_flows(core, route->key),
    };
    const struct catalog_target *target;
    struct choice choice;

    set_answer_times(core, catalog, &search);
    verdict->pool_mean_answer_us = search.pool_mean_answer_us;
    choice = choose_target(core, catalog, &search, &verdict->candidates);
    verdict->utilization = estimate_utilization(
        core, &choice, zone_slots_share(core, catalog, search.pool));
    if (choice.target == NULL) {
        verdict->reason = no_target_reason(&search);
        return NULL;
    }
    if (affinity_admit(core, now_us, search.pool, route,
                       search.pool_mean_answer_us, verdict->utilization)) {
        return choice.target;
    }
    target =
        choose_remote_target(core, catalog, &search, &verdict->candidates);
    if (target == NULL) {
        verdict->requests_in_progress =
            affinity_load_get(core, choice.target->host)->requests_in_progress;
        verdict->reason = AFFINITY_OVERLOAD;
    }
    return target;
}

/*
 * Return a second target for the opening of a flow of ROUTE that FIRST_HOST has
 * left unanswered: the best one of the same pool, or NULL if there is none.
 * The flow was admitted already.
 */
const struct catalog_target *
affinity_place_second(struct affinity_core *core, uint64_t now_us,
                      const struct catalog *catalog,
                      const struct catalog_route *route, uint64_t first_host,
                      struct affinity_verdict *verdict)
{
    const struct catalog_target *first =
        catalog_find_target(catalog, first_host);
    struct search search = {
        .now_us = now_us,
        .route = route,
        .except = first_host,
        .long_lived = affinity_route_has_long_lived_flows(core, route->key),
    };

    if (first == NULL) {
        return NULL;
    }
    search.pool = first->pool;
    set_answer_times(core, catalog, &search);
    return choose_target(core, catalog, &search, &verdict->candidates).target;
}

/* Return the cost of a new flow of ROUTE on TARGET, of one of its pools. */
double
affinity_place_cost(struct affinity_core *core, uint64_t now_us,
                    const struct catalog *catalog,
                    const struct catalog_route *route,
                    const struct catalog_target *target)
{
    struct search search = {
        .now_us = now_us, .route = route, .pool = target->pool};

    set_answer_times(core, catalog, &search);
    return target_cost(core, now_us, target, search.pool_median_answer_us,
                       affinity_route_has_long_lived_flows(core, route->key));
}

/*
 * Set VERDICT to what a new flow of ROUTE would get now, without changing what
 * is known of the overload of its pools.
 */
void
affinity_place_preview(struct affinity_core *core, uint64_t now_us,
                       const struct catalog *catalog,
                       const struct catalog_route *route,
                       struct affinity_verdict *verdict)
{
    struct affinity_pool *before =
        g_new0(struct affinity_pool, route->split_count);

    for (size_t i = 0; i < route->split_count; i++) {
        before[i] = *affinity_pool_get(core, route->splits[i].pool);
    }
    if (!affinity_link_admits(core, route)) {
        verdict->reason = AFFINITY_LINK_FULL;
    }
    else {
        verdict->target =
            affinity_place_flow(core, now_us, catalog, route, verdict);
    }
    verdict->action =
        verdict->target == NULL ? AFFINITY_RESET : AFFINITY_FORWARD;
    for (size_t i = 0; i < route->split_count; i++) {
        *affinity_pool_get(core, route->splits[i].pool) = before[i];
    }
    g_free(before);
}
