/*
 * Admission of new flows to an overloaded pool, to which more requests come
 * than its targets can process.
 *
 * Without a limit the targets' queues are always full: every answer is late,
 * and requests that do not fit are rejected only after the trip to the target.
 * Short queues keep the slots just as busy, and admitted requests are answered
 * in time.  A caller that is rejected here learns at once that nothing has
 * run, and may retry.
 */
#include "affinity/affinity_state.h"

/* Maximum of requests in progress per slot of a zone's targets: one that is
 * processed, and as many queued as are answered well within the latency
 * objective. */
#define UTILIZATION_MAX 1.2
/* Urgent routes are rejected later, but before a target's queue is full. */
#define URGENT_UTILIZATION_MAX 3.0
#define PRIORITY_URGENT        1 /* and smaller numbers */

/* A load spike up to LOAD_SPIKE_MAX_US is left to the targets' queues; after
 * that, flows are rejected.  An overload has ended if none was observed for
 * OVERLOAD_CLEAR_US. */
#define LOAD_SPIKE_MAX_US 500000U
#define OVERLOAD_CLEAR_US 1000000U

/* Share of the latency objective below which answers are fast.  Requests in
 * progress then wait for callers or the network, not for a slot. */
#define FAST_SHARE 0.5

/*
 * Return true if MEAN_ANSWER_US, the mean time from request to answer, is
 * short enough to rule out long queues at ROUTE's targets, or if ROUTE has no
 * latency objective.  0, unknown, counts as fast.
 */
bool
affinity_answers_are_fast(const struct catalog_route *route,
                          uint64_t mean_answer_us)
{
    double goal_us = (double)route->goal_ms * 1000;

    return goal_us <= 0 || (double)mean_answer_us < goal_us * FAST_SHARE;
}

/* Return the overload state of the pool ID, created if missing. */
struct affinity_pool *
affinity_pool_get(struct affinity_core *core, struct pool_id id)
{
    struct affinity_pool *pool = g_hash_table_lookup(core->pools, &id.value);

    if (pool == NULL) {
        pool = g_new0(struct affinity_pool, 1);
        pool->id = id;
        g_hash_table_insert(core->pools, &pool->id.value, pool);
    }
    return pool;
}

/*
 * Return true if a new flow of ROUTE to the pool ID is admitted.  UTILIZATION
 * is the number of recent requests in progress per slot, POOL_MEAN_ANSWER_US
 * the mean of the moving averages of its targets' answer times.  A short load
 * spike, for example when all callers reconnect at once, is left to the
 * targets' queues.
 */
bool
affinity_admit(struct affinity_core *core, uint64_t now_us, struct pool_id id,
               const struct catalog_route *route, uint64_t pool_mean_answer_us,
               double utilization)
{
    struct affinity_pool *pool = affinity_pool_get(core, id);
    double limit = route->priority <= PRIORITY_URGENT ? URGENT_UTILIZATION_MAX
                                                      : UTILIZATION_MAX;

    if (now_us - pool->last_overload_us > OVERLOAD_CLEAR_US) {
        pool->overload_start_us = now_us;
    }
    if (affinity_answers_are_fast(route, pool_mean_answer_us) ||
        utilization < limit) {
        return true;
    }
    pool->last_overload_us = now_us;
    return now_us - pool->overload_start_us < LOAD_SPIKE_MAX_US;
}
