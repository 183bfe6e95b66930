/*
 * The path of every packet.  Nearly all go straight on by the map; those that
 * open or close a flow, or belong to a flow that may be off the map, go to
 * the pool's lead unless an answer has shown their target.
 */
#include <netinet/in.h>

#include "base/hash.h"
#include "flow/flow_look.h"

#define UDP_TOLD_S 3 /* the first packets that a daemon sees go to the lead */

static uint64_t digest_of(uint32_t, uint16_t, uint32_t, uint16_t, uint8_t);
static bool must_tell_lead(const struct flow_look *);
static struct flow_pool *first_pool(const struct flow_look *);
static struct flow_verdict caller_packet(const struct flow_look *);
static struct flow_verdict in_pool(const struct flow_look *,
                                   struct flow_pool *, bool tell);
static struct flow_verdict tcp_in_change(const struct flow_look *,
                                         struct flow_pool *, bool tell);
static struct flow_verdict udp_in_change(const struct flow_look *,
                                         struct flow_pool *, bool tell);

/* The digest of the flow of a caller and a route's address; never 0. */
static uint64_t
digest_of(uint32_t caller, uint16_t caller_port, uint32_t address,
          uint16_t port, uint8_t protocol)
{
    uint64_t words[2] = {(uint64_t)caller << 32 | address,
                         (uint64_t)caller_port << 32 | (uint64_t)port << 16 |
                             protocol};
    uint64_t digest = hash_bytes(words, sizeof(words), 0) & FLOW_DIGEST_MAX;

    return digest == 0 ? 1 : digest;
}

/*
 * Whether the lead must see this packet: flows open and close through it, and
 * it hears of a flow that goes on, so that it does not hold it for idle.
 */
static bool
must_tell_lead(const struct flow_look *look)
{
    struct flow_core *core = look->core;
    uint32_t now_s = flow_now_s(core);
    struct flow_cached *cached;
    uint32_t wait;

    if (look->opening || look->closing) {
        return true;
    }
    cached = flow_cache_find(&core->cache, look->digest);
    if (cached == NULL && !look->udp) {
        return false;
    }
    if (cached == NULL) {
        cached = flow_cache_add(&core->cache, look->digest, now_s);
        cached->seq = now_s;
    }
    if (look->udp && now_s < cached->seq + UDP_TOLD_S) {
        return true;
    }
    wait = look->udp ? core->options.udp_idle_s / 4
                     : core->options.tcp_idle_s / 4;
    if (now_s < cached->touched_s + wait) {
        return false;
    }
    cached->touched_s = now_s;
    return true;
}

/*
 * The pool to ask first.  While a route changes its pool, TCP asks the new
 * one, which knows every flow that it opened; UDP, which has no openings to
 * be seen, the former one, which knows every flow that it still has.
 */
static struct flow_pool *
first_pool(const struct flow_look *look)
{
    const struct flow_route *route = look->route;
    struct pool_id named = look->packet->pool;

    if (route->former == NULL) {
        return route->pool;
    }
    if (look->packet->hops > 0 && named.value == route->former->id.value) {
        return route->former;
    }
    if (look->packet->hops > 0 && named.value == route->pool->id.value) {
        return route->pool;
    }
    if (look->udp || (look->opening && !route->everywhere)) {
        return route->former;
    }
    return route->pool;
}

/* A packet towards a route's address. */
static struct flow_verdict
caller_packet(const struct flow_look *look)
{
    struct flow_core *core = look->core;
    struct flow_pool *pool;
    uint32_t endpoint;
    bool tell;

    if (!core->synced && look->packet->hops == 0) {
        struct daemon_id peer = flow_peer_any(core);

        return peer.value == 0
                   ? flow_drop(core, FLOW_REASON_NO_LEAD)
                   : flow_hand_on_to(look, (struct pool_id){0}, peer);
    }
    if (!core->synced) {
        return flow_drop(core, FLOW_REASON_NO_LEAD);
    }
    pool = first_pool(look);
    flow_table_prefetch(&pool->table, look->digest);
    tell = !pool->acting && must_tell_lead(look);
    if (!tell && !pool->acting && flow_learned(look, &endpoint)) {
        return flow_forward(look, pool, endpoint);
    }
    return in_pool(look, pool, tell);
}

/* Decide in POOL, or pass on to the daemon or pool that can. */
static struct flow_verdict
in_pool(const struct flow_look *look, struct flow_pool *pool, bool tell)
{
    const struct flow_route *route = look->route;
    bool change = route->former != NULL;
    bool unsure;

    if (pool->acting) {
        bool known = flow_table_find(&pool->table, look->digest) != NULL;

        if (change && !known && !look->opening) {
            return look->udp ? udp_in_change(look, pool, tell)
                             : tcp_in_change(look, pool, tell);
        }
        return flow_at_lead(look, pool);
    }
    if (look->opening || pool->buckets == NULL) {
        return flow_hand_on(look, pool);
    }
    unsure = change || flow_map_marked(pool, look->digest);
    if ((tell || unsure) && look->packet->hops < FLOW_HOPS_MAX &&
        pool->ask.value != look->core->options.self.value) {
        return flow_hand_on(look, pool);
    }
    if (look->packet->hops == FLOW_HOPS_LAST && change &&
        route->pool->acting) {
        return flow_table_find(&route->pool->table, look->digest) != NULL
                   ? flow_at_lead(look, route->pool)
                   : flow_by_map(look, pool);
    }
    if ((unsure || (tell && look->udp)) &&
        flow_table_find(&pool->table, look->digest) == NULL) {
        return flow_drop(look->core, FLOW_REASON_NO_LEAD);
    }
    return flow_by_map(look, pool);
}

/* At the lead of a changed route's pool: a packet of an unknown TCP flow. */
static struct flow_verdict
tcp_in_change(const struct flow_look *look, struct flow_pool *pool, bool tell)
{
    if (pool == look->route->pool) {
        return in_pool(look, look->route->former, tell);
    }
    return flow_at_lead(look, pool);
}

/*
 * At the lead of a changed route's pool: a packet of an unknown UDP flow.
 * After a lead was lost the former pool's flows are not all known; then the
 * new pool's lead is asked whether the flow is one of its own.
 */
static struct flow_verdict
udp_in_change(const struct flow_look *look, struct flow_pool *pool, bool tell)
{
    const struct flow_route *route = look->route;
    bool complete = look->core->now_us >= pool->udp_known_us;

    if (pool == route->pool || !route->everywhere) {
        return flow_at_lead(look, pool);
    }
    if (complete) {
        return in_pool(look, route->pool, tell);
    }
    if (route->pool->acting) {
        return flow_table_find(&route->pool->table, look->digest) != NULL
                   ? flow_at_lead(look, route->pool)
                   : flow_at_lead(look, pool);
    }
    if (look->packet->hops < FLOW_HOPS_MAX && route->pool->ask.value != 0) {
        struct flow_verdict verdict =
            flow_hand_on_to(look, pool->id, route->pool->ask);

        verdict.hops = FLOW_HOPS_LAST;
        return verdict;
    }
    return flow_at_lead(look, pool);
}

/* Decide about one packet.  Allocates only when the flow table grows. */
struct flow_verdict
flow_core_packet(struct flow_core *core, uint64_t now_us,
                 const struct flow_packet *packet)
{
    uint8_t flags = packet->tcp_flags;
    struct flow_look look = {
        .core = core,
        .packet = packet,
        .udp = packet->protocol == IPPROTO_UDP,
    };
    bool answer;

    core->now_us = now_us;
    look.route = flow_route_find(core, packet->src, packet->src_port);
    answer = look.route != NULL;
    if (!answer) {
        look.route = flow_route_find(core, packet->dst, packet->dst_port);
    }
    if (look.route == NULL) {
        return flow_drop(core, FLOW_REASON_NO_ROUTE);
    }
    if (look.route->view.kind != ROUTE_STREAM) {
        return flow_drop(core, FLOW_REASON_NOT_STREAM);
    }
    look.closing = !look.udp && (flags & (TCP_FIN | TCP_RST)) != 0;
    if (answer) {
        look.opening = !look.udp && (flags & TCP_SYN) != 0;
        look.digest = digest_of(packet->dst, packet->dst_port, packet->src,
                                packet->src_port, packet->protocol);
        return flow_target_packet(&look);
    }
    look.opening = !look.udp && (flags & (TCP_SYN | TCP_ACK)) == TCP_SYN;
    look.digest = digest_of(packet->src, packet->src_port, packet->dst,
                            packet->dst_port, packet->protocol);
    return caller_packet(&look);
}
