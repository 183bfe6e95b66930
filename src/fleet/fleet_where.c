/* Answers where a new flow would go now, as JSON for operators. */
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "fleet/fleet_entry_private.h"

static json_t *candidate_json(const struct fleet *,
                              const struct affinity_candidate *);
static json_t *explain_route(struct fleet *, const struct catalog_route *);

/* Return CANDIDATE as JSON. */
static json_t *
candidate_json(const struct fleet *fleet,
               const struct affinity_candidate *candidate)
{
    const struct catalog_target *target = candidate->target;
    char host[20];

    g_snprintf(host, sizeof(host), "%" G_GINT64_MODIFIER "x", target->host);
    return json_pack("{s:s,s:s,s:b,s:s,s:f,s:i,s:i,s:I}", "target", host,
                     "pool", catalog_pool_name(fleet->catalog, target->pool),
                     "own_zone", target->zone == fleet->zone, "obstacle",
                     affinity_obstacle_name(candidate->obstacle), "cost",
                     candidate->cost, "busy",
                     (int)candidate->requests_in_progress, "long_flows",
                     (int)candidate->long_lived_flows, "answer_ms",
                     (json_int_t)(candidate->mean_answer_us / 1000));
}

/* Return where a new flow of ROUTE would go, and its candidates. */
static json_t *
explain_route(struct fleet *fleet, const struct catalog_route *route)
{
    GArray *candidates =
        g_array_new(FALSE, FALSE, sizeof(struct affinity_candidate));
    struct affinity_verdict verdict;
    json_t *answer, *rows = json_array();
    uint64_t now_us = clock_boottime_us();
    char host[20] = "";

    affinity_core_where(fleet->entry->affinity, now_us, fleet->catalog, route,
                        candidates, &verdict);
    for (guint i = 0; i < candidates->len; i++) {
        json_array_append_new(
            rows, candidate_json(
                      fleet, &g_array_index(candidates,
                                            struct affinity_candidate, i)));
    }
    g_array_unref(candidates);
    if (verdict.target != NULL) {
        g_snprintf(host, sizeof(host), "%" G_GINT64_MODIFIER "x",
                   verdict.target->host);
    }
    answer =
        json_pack("{s:s,s:s,s:s,s:s,s:f,s:I,s:I,s:I,s:I}", "daemon",
                  fleet->options->name, "goes_to", host, "reason",
                  verdict.target == NULL ? affinity_reason_name(verdict.reason)
                                         : "cheapest",
                  "kind", catalog_kind_traits(route->kind)->name, "crowding",
                  verdict.utilization, "pool_answer_ms",
                  (json_int_t)(verdict.pool_mean_answer_us / 1000), "version",
                  (json_int_t)catalog_version(fleet->catalog), "revision",
                  (json_int_t)catalog_revision(fleet->catalog), "age_ms",
                  (json_int_t)(fleet_elapsed_us(
                                   now_us, fleet->entry->current_contact_us) /
                               1000));
    json_object_set_new(answer, "candidates", rows);
    return answer;
}

/*
 * Return where a new flow to the route at TEXT, an address with a port, would
 * go now, as JSON; the caller frees it with free().  Set STATUS to that of the
 * HTTP answer.
 */
char *
fleet_where_text(struct fleet *fleet, const char *text, unsigned *status)
{
    const struct catalog_route *route = NULL;
    struct settings_endpoint endpoint;
    json_t *answer;
    char *body;

    *status = 200;
    if (!settings_parse_endpoint(text, 0, &endpoint) || endpoint.port == 0) {
        *status = 400;
        answer = json_pack("{s:s}", "message",
                           "no address with a port, as 198.18.0.1:443");
    }
    else {
        route = catalog_find_route(
            fleet->catalog,
            catalog_endpoint_key(endpoint.address, endpoint.port));
        *status = route == NULL ? 404 : 200;
        answer = route == NULL
                     ? json_pack("{s:s}", "message",
                                 "no route has this address and port; a new "
                                 "flow would be reset")
                     : explain_route(fleet, route);
    }
    body = json_dumps(answer, JSON_COMPACT);
    json_decref(answer);
    return body;
}
