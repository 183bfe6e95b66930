/*
 * Explains where a new flow would go now, for operators.  Nothing is placed
 * and nothing that the core has learned changes.
 */
#include "affinity/affinity_state.h"

static enum affinity_obstacle find_obstacle(struct affinity_core *,
                                            uint64_t now_us,
                                            const struct catalog *,
                                            const struct catalog_target *);
static bool is_in_route(const struct catalog_route *,
                        const struct catalog_target *);

static const char *const obstacle_names[AFFINITY_OBSTACLE__MAX] = {
    [AFFINITY_ELIGIBLE] = "none",
    [AFFINITY_OBSTACLE_STATE] = "not-ready",
    [AFFINITY_OBSTACLE_COOKIE] = "cookie-clash",
    [AFFINITY_OBSTACLE_AVOIDED] = "may-be-leaving",
    [AFFINITY_OBSTACLE_ZONE] = "zone-emptied",
    [AFFINITY_OBSTACLE_COLD] = "cold",
    [AFFINITY_OBSTACLE_MISSING] = "missing",
    [AFFINITY_OBSTACLE_SILENT] = "silent",
    [AFFINITY_OBSTACLE_SUSPECT] = "suspect",
    [AFFINITY_OBSTACLE_FAILING] = "failing",
};

/* Return the stable name of OBSTACLE. */
const char *
affinity_obstacle_name(enum affinity_obstacle obstacle)
{
    return obstacle < AFFINITY_OBSTACLE__MAX ? obstacle_names[obstacle]
                                             : "unknown";
}

/* Return true if TARGET is of one of the pools of ROUTE. */
static bool
is_in_route(const struct catalog_route *route,
            const struct catalog_target *target)
{
    for (size_t i = 0; i < route->split_count; i++) {
        if (route->splits[i].pool.value == target->pool.value) {
            return true;
        }
    }
    return false;
}

/* Return why TARGET gets no new flow now, the lasting reasons first. */
static enum affinity_obstacle
find_obstacle(struct affinity_core *core, uint64_t now_us,
              const struct catalog *catalog,
              const struct catalog_target *target)
{
    struct affinity_load *load = affinity_load_get(core, target->host);

    if (target->state != CATALOG_READY) {
        return AFFINITY_OBSTACLE_STATE;
    }
    if (target->cookie_clashes) {
        return AFFINITY_OBSTACLE_COOKIE;
    }
    if (g_hash_table_contains(core->avoided, &target->host)) {
        return AFFINITY_OBSTACLE_AVOIDED;
    }
    if (catalog_zone_is_emptied(catalog, target->zone) ||
        g_hash_table_contains(core->avoided_zones,
                              GUINT_TO_POINTER(target->zone))) {
        return AFFINITY_OBSTACLE_ZONE;
    }
    if (!affinity_cold_may_open(core, now_us, catalog, target, load)) {
        return AFFINITY_OBSTACLE_COLD;
    }
    if (target->missing) {
        return AFFINITY_OBSTACLE_MISSING;
    }
    if (affinity_silence_is_suspected(load)) {
        return AFFINITY_OBSTACLE_SILENT;
    }
    if (affinity_load_is_suspect(load, now_us)) {
        return AFFINITY_OBSTACLE_SUSPECT;
    }
    return now_us < load->failing_until_us ? AFFINITY_OBSTACLE_FAILING
                                           : AFFINITY_ELIGIBLE;
}

/*
 * Append the targets of ROUTE's pools that are not gone to CANDIDATES (struct
 * affinity_candidate), and set VERDICT to what a new flow would get now.
 */
void
affinity_core_where(struct affinity_core *core, uint64_t now_us,
                    const struct catalog *catalog,
                    const struct catalog_route *route, GArray *candidates,
                    struct affinity_verdict *verdict)
{
    const GPtrArray *targets = catalog_targets(catalog);
    struct affinity_counters counters = core->counters;
    GRand *rand = g_rand_copy(core->rand);

    for (guint i = 0; i < targets->len; i++) {
        const struct catalog_target *target = targets->pdata[i];
        struct affinity_candidate candidate = {.target = target};
        const struct affinity_load *load;

        if (target->state == CATALOG_GONE || !is_in_route(route, target)) {
            continue;
        }
        load = affinity_load_get(core, target->host);
        candidate.obstacle = find_obstacle(core, now_us, catalog, target);
        candidate.cost =
            affinity_place_cost(core, now_us, catalog, route, target);
        candidate.requests_in_progress = load->requests_in_progress;
        candidate.long_lived_flows = load->long_lived_flows;
        candidate.mean_answer_us = load->mean_answer_us;
        g_array_append_val(candidates, candidate);
    }
    *verdict = (struct affinity_verdict){.route = route};
    affinity_place_preview(core, now_us, catalog, route, verdict);
    g_rand_free(core->rand);
    core->rand = rand;
    core->counters = counters;
}
