/*
 * Counts what this daemon sees of each target, for the fleet: requests that
 * were answered, and those that failed as far as the lengths of answers show
 * (docs/design/failing-targets.md).  Also keeps the targets that the fleet
 * says are failing.
 */
#include "affinity/affinity_state.h"

/* An answer below this share of the route's usual length is an error. */
#define SHORT_SHARE (1.0 / 3)
/* Answers of a route before its usual length is known. */
#define ANSWERS_MIN 20
/* Step of the running median. */
#define MEDIAN_STEP 0.05
/* A list of failing targets holds for two heartbeats and a half. */
#define FAILING_US 2500000U
/* A request that waits for so many times its target's mean answer. */
#define WAIT_ANSWER_TIMES 4

static struct affinity_evidence *get(struct affinity_core *, uint64_t host);
static bool is_short(struct affinity_route_stats *, uint32_t bytes);

/* Return the counts of HOST, created if missing. */
static struct affinity_evidence *
get(struct affinity_core *core, uint64_t host)
{
    struct affinity_evidence *evidence =
        g_hash_table_lookup(core->evidence, &host);

    if (evidence == NULL) {
        evidence = g_new0(struct affinity_evidence, 1);
        evidence->host = host;
        g_hash_table_insert(core->evidence, &evidence->host, evidence);
    }
    return evidence;
}

/* Return true if an answer of BYTES is far shorter than is usual for the route
 * of STATS, and move the running median towards it. */
static bool
is_short(struct affinity_route_stats *stats, uint32_t bytes)
{
    bool known = stats->answers >= ANSWERS_MIN;

    if (stats->answers == 0) {
        stats->usual_bytes = bytes;
    }
    stats->answers += known ? 0 : 1;
    stats->usual_bytes *=
        bytes > stats->usual_bytes ? 1 + MEDIAN_STEP : 1 - MEDIAN_STEP;
    return known && bytes < stats->usual_bytes * SHORT_SHARE;
}

/* Count a request to HOST that failed. */
void
affinity_evidence_failed(struct affinity_core *core, uint64_t host)
{
    if (core->options.share_evidence) {
        get(core, host)->failed++;
        core->has_failures = true;
    }
}

/*
 * Judge the last request of FLOW, which is over: the caller has acknowledged
 * ACKNOWLEDGED, and sends a further request or ends the flow.
 */
void
affinity_evidence_request_over(struct affinity_core *core,
                               struct affinity_flow *flow,
                               uint32_t acknowledged)
{
    uint32_t bytes = acknowledged - flow->answer_start;

    flow->answer_start = acknowledged;
    if (flow->late) {
        flow->late = false;
        return;
    }
    if (!core->options.share_evidence || flow->requests == 0) {
        return;
    }
    if (bytes == 0 ||
        is_short(affinity_route_stats_get(core, flow->route), bytes)) {
        affinity_evidence_failed(core, flow->host);
    }
    else {
        get(core, flow->host)->answered++;
    }
}

/*
 * Count the request of FLOW, of which nothing was seen for SILENT_US, as failed
 * if no byte of its answer has come for longer than the route's objective and
 * far longer than its target's answers take.  A target that resets a flow tells
 * only the caller.
 */
void
affinity_evidence_waiting(struct affinity_core *core,
                          struct affinity_flow *flow, uint64_t silent_us)
{
    uint64_t mean_us = affinity_load_get(core, flow->host)->mean_answer_us;

    if (!flow->late && flow->requests > 0 && flow->request_in_progress &&
        flow->acknowledged == flow->answer_start && flow->goal_us > 0 &&
        silent_us > MAX(flow->goal_us, mean_us * WAIT_ANSWER_TIMES)) {
        flow->late = true;
        affinity_evidence_failed(core, flow->host);
    }
}

/* Return true if there are failures among the counts since they were last
 * taken. */
bool
affinity_core_has_failures(const struct affinity_core *core)
{
    return core->has_failures;
}

/* Append the counts since the last call to ROWS (struct affinity_evidence). */
void
affinity_core_take_evidence(struct affinity_core *core, GArray *rows)
{
    GHashTableIter iter;
    gpointer key, value;

    g_hash_table_iter_init(&iter, core->evidence);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        g_array_append_vals(rows, value, 1);
    }
    g_hash_table_remove_all(core->evidence);
    core->has_failures = false;
}

/* Place no new flows on HOST for some time, if there are other targets: the
 * fleet says that it is failing. */
void
affinity_core_set_failing(struct affinity_core *core, uint64_t now_us,
                          uint64_t host)
{
    affinity_load_get(core, host)->failing_until_us = now_us + FAILING_US;
}
