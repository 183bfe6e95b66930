/*
 * Whether a new flow is taken when its pool is overloaded: more work comes
 * than all of its targets can do.  Without a limit the targets' queues are
 * always full, so that every answer is late, and what does not fit into them
 * is turned away after a trip.  Short queues keep the slots as busy, and what
 * is taken is answered in time; a caller that is refused knows at once that
 * nothing has run, and may ask again.
 */
#include "affinity/affinity_state.h"

/* Requests in progress for each slot of a zone's targets: one that is worked
 * on, and as many that wait as are answered well within the objective. */
#define CROWDING_MAX 1.2
/* More urgent routes are refused later, still before a target's queue ends. */
#define CROWDING_URGENT_MAX 3.0
#define PRIORITY_URGENT     1 /* and what is smaller */

/* An overload has lasted for so long before flows are refused, and is over
 * when there was none for so long. */
#define SURGE_US 500000U
#define CALM_US  1000000U

/* Of the objective: quicker answers mean that the requests in progress wait
 * for their callers or for the network, and not for a slot. */
#define SLOW_SHARE 0.5

static struct affinity_pool *pool_of(struct affinity_core *, struct pool_id);

/* True if answers that take TYPICAL_US, 0 if unknown, show no long queue. */
bool
affinity_quick(const struct catalog_route *route, uint64_t typical_us)
{
    double goal_us = (double)route->goal_ms * 1000;

    return goal_us <= 0 || (double)typical_us < goal_us * SLOW_SHARE;
}

static struct affinity_pool *
pool_of(struct affinity_core *core, struct pool_id id)
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
 * False if a new flow of ROUTE to the pool ID is to be refused, where CROWDING
 * requests are in progress for each slot, and TYPICAL_US is the moving average
 * from request to answer over the pool.  A surge that is soon over, as when
 * all callers come back at once, is left to the targets' queues.
 */
bool
affinity_admit(struct affinity_core *core, uint64_t now_us, struct pool_id id,
               const struct catalog_route *route, uint64_t typical_us,
               double crowding)
{
    struct affinity_pool *pool = pool_of(core, id);
    double limit = route->priority <= PRIORITY_URGENT ? CROWDING_URGENT_MAX
                                                      : CROWDING_MAX;

    if (now_us - pool->above_us > CALM_US) {
        pool->begun_us = now_us;
    }
    if (affinity_quick(route, typical_us) || crowding < limit) {
        return true;
    }
    pool->above_us = now_us;
    return now_us - pool->begun_us < SURGE_US;
}
