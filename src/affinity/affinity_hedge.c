/*
 * Gives an opening that its target has left unanswered to a second target.
 *
 * Load: some targets are dead or cut off and no daemon knows it yet.  Each
 * opening that goes there costs its caller 200 ms to 1.4 s.  A second opening
 * costs a target a half-open flow, within a budget that operators set.
 */
#include "affinity/affinity_state.h"

/* Openings for which tokens are kept, times the share: some ten seconds of a
 * small VM's flows. */
#define BUDGET_OPENINGS 200.0

/* A larger share of packets lost at living targets speaks for the network as
 * the reason why an opening is late. */
#define LOSS_MAX 0.1

static bool route_is_repeatable(const struct catalog_route *);
static double packet_loss(const struct affinity_core *);

/* Return true if requests of ROUTE may be repeated. */
static bool
route_is_repeatable(const struct catalog_route *route)
{
    return catalog_kind_traits(route->kind)->idempotent;
}

/* Return the share of packets to living targets that callers sent again lately;
 * 0 if there were none. */
static double
packet_loss(const struct affinity_core *core)
{
    const struct affinity_trials *packets = &core->loss.packets;

    return packets->lost / (packets->answered + packets->lost + 1);
}

/* Add to the budget: a new flow of ROUTE was placed. */
void
affinity_hedge_earn(struct affinity_core *core,
                    const struct catalog_route *route)
{
    double share = core->options.hedge_share;

    if (share > 0 && route_is_repeatable(route)) {
        core->hedge_tokens =
            MIN(core->hedge_tokens + share, MAX(share * BUDGET_OPENINGS, 1));
    }
}

/*
 * Return true if FLOW of ROUTE, whose opening was sent again, may be given to a
 * second target.  The first one may still answer.
 */
bool
affinity_hedge_allows(const struct affinity_core *core,
                      const struct affinity_flow *flow,
                      const struct catalog_route *route)
{
    return core->options.hedge_share > 0 && core->hedge_tokens >= 1 &&
           flow->first_host == 0 && flow->phase == AFFINITY_HANDSHAKE &&
           route_is_repeatable(route) && !affinity_link_is_busy(core) &&
           packet_loss(core) < LOSS_MAX;
}

/* Record that the opening of FLOW, which FIRST_HOST has not answered, is given
 * to a second target. */
void
affinity_hedge_record(struct affinity_core *core, struct affinity_flow *flow,
                      uint64_t first_host)
{
    core->hedge_tokens -= 1;
    core->counters.hedged++;
    flow->first_host = first_host;
    flow->retransmitted = true;
}

/*
 * Return the host to which a packet of FLOW, which has two targets, is to be
 * sent.  NAMED is the host that the packet names.  The first packet after the
 * opening names the one whose answer the caller has taken up; a later packet
 * may name the other one, if that has answered late.
 */
uint64_t
affinity_hedge_resolve(struct affinity_core *core, struct affinity_flow *flow,
                       uint64_t named)
{
    if (named != flow->host && named != flow->first_host) {
        return named;
    }
    if (flow->phase == AFFINITY_HANDSHAKE && named == flow->first_host) {
        uint64_t second = flow->host;

        affinity_flow_move(core, flow, named);
        flow->first_host = second;
        core->counters.hedges_lost++;
    }
    return flow->host;
}
