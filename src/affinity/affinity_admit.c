/*
 * Whether a new flow is taken when its pool is overloaded: more work comes
 * than all of its targets can do, so that every answer is late.  Turning some
 * flows away at once lets the others be answered in time; a caller that is
 * refused knows that nothing has run, and may ask again.
 */
#include "affinity/affinity_state.h"

#define WAITING_MIN   1.0 /* requests that wait for a slot, as seen here */
#define REFUSED_MAX   0.5 /* share of new flows */
#define PRIORITY_STEP 2.0 /* what counts less is refused so much earlier */

/*
 * False if a new flow of ROUTE is to be refused.  TYPICAL_US is the moving
 * average from request to answer over the pool; its share above the route's
 * latency objective is the share of flows that are too many.  While slots are
 * free at the target chosen, where WAITING requests wait for each slot, none
 * is refused: then the answers are slow for another reason.
 */
bool
affinity_admit(struct affinity_core *core, const struct catalog_route *route,
               uint64_t typical_us, double waiting)
{
    double goal_us = (double)route->goal_ms * 1000;
    double excess;

    if (goal_us <= 0 || waiting < WAITING_MIN ||
        (double)typical_us <= goal_us) {
        return true;
    }
    excess = ((double)typical_us - goal_us) / (double)typical_us;
    if (route->priority > 1) {
        excess *= PRIORITY_STEP;
    }
    return g_rand_double(core->rand) >= MIN(excess, REFUSED_MAX);
}
