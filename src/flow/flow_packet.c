/*
 * The path of every packet.  Nearly all packets are forwarded by the map.
 * Packets that open or close a flow, or belong to a flow that may be an
 * exception, are relayed to the pool owner unless an answer has shown their
 * target.
 */
#include <netinet/in.h>

#include "base/hash.h"
#include "flow/flow_context.h"

/*
 * After the first packet of a UDP flow at a daemon, its packets are relayed to
 * the owner for this time.
 */
#define UDP_NOTIFY_S 3

static uint64_t flow_digest(uint32_t, uint16_t, uint32_t, uint16_t, uint8_t);
static bool owner_must_see(const struct flow_context *);
static struct flow_pool *first_pool(const struct flow_context *);
static struct flow_verdict caller_packet(const struct flow_context *);
static struct flow_verdict decide_in_pool(const struct flow_context *,
                                          struct flow_pool *,
                                          bool notify_owner);
static struct flow_verdict tcp_during_route_change(const struct flow_context *,
                                                   struct flow_pool *,
                                                   bool notify_owner);
static struct flow_verdict udp_during_route_change(const struct flow_context *,
                                                   struct flow_pool *,
                                                   bool notify_owner);

/* Return the digest of the flow of a caller and a route's address; never 0. */
static uint64_t
flow_digest(uint32_t caller, uint16_t caller_port, uint32_t address,
            uint16_t port, uint8_t protocol)
{
    uint64_t words[2] = {(uint64_t)caller << 32 | address,
                         (uint64_t)caller_port << 32 | (uint64_t)port << 16 |
                             protocol};
    uint64_t digest = hash_bytes(words, sizeof(words), 0) & FLOW_DIGEST_MAX;

    return digest == 0 ? 1 : digest;
}

/*
 * Return true if the owner must see this packet: flows open and close through
 * it, and it is notified of a flow that continues, so that it does not expire
 * the flow as idle.
 */
static bool
owner_must_see(const struct flow_context *context)
{
    struct flow_core *core = context->core;
    uint32_t now_s = flow_now_s(core);
    struct flow_cached *cached;
    uint32_t wait;

    if (context->syn || context->closing) {
        return true;
    }
    cached = flow_cache_find(&core->cache, context->digest);
    if (cached == NULL && !context->udp) {
        return false;
    }
    if (cached == NULL) {
        cached = flow_cache_add(&core->cache, context->digest, now_s);
        cached->seq = now_s;
    }
    if (context->udp && now_s < cached->seq + UDP_NOTIFY_S) {
        return true;
    }
    wait = context->udp ? core->options.udp_idle_s / 4
                        : core->options.tcp_idle_s / 4;
    if (now_s < cached->owner_notified_s + wait) {
        return false;
    }
    cached->owner_notified_s = now_s;
    return true;
}

/*
 * Return the pool to consult first.  While a route changes its pool, that is
 * the new one for TCP, since its owner has every flow that it opened, and the
 * former one for UDP, which has no visible first packet, since its owner has
 * every flow that the pool still has.
 */
static struct flow_pool *
first_pool(const struct flow_context *context)
{
    const struct flow_route *route = context->route;
    struct pool_id named = context->packet->pool;

    if (route->former == NULL) {
        return route->pool;
    }
    if (context->packet->hops > 0 && named.value == route->former->id.value) {
        return route->former;
    }
    if (context->packet->hops > 0 && named.value == route->pool->id.value) {
        return route->pool;
    }
    if (context->udp || (context->syn && !route->applied_everywhere)) {
        return route->former;
    }
    return route->pool;
}

/*
 * Return the verdict on a packet to a route's address.  A daemon whose routes
 * are not synchronized yet relays it to a peer.
 */
static struct flow_verdict
caller_packet(const struct flow_context *context)
{
    struct flow_core *core = context->core;
    struct flow_pool *pool;
    uint32_t endpoint;
    bool notify_owner;

    if (!core->synced && context->packet->hops == 0) {
        struct daemon_id peer = flow_peer_any(core);

        return peer.value == 0
                   ? flow_drop(core, FLOW_REASON_NO_OWNER)
                   : flow_relay(context, (struct pool_id){0}, peer);
    }
    if (!core->synced) {
        return flow_drop(core, FLOW_REASON_NO_OWNER);
    }
    pool = first_pool(context);
    flow_table_prefetch(&pool->table, context->digest);
    notify_owner = !pool->owned_here && owner_must_see(context);
    if (!notify_owner && !pool->owned_here &&
        flow_learned_target(context, &endpoint)) {
        return flow_forward(context, pool, endpoint);
    }
    return decide_in_pool(context, pool, notify_owner);
}

/*
 * Return the verdict of POOL, or relay to the daemon or pool that can decide.
 * NOTIFY_OWNER is true if the owner must see the packet.
 */
static struct flow_verdict
decide_in_pool(const struct flow_context *context, struct flow_pool *pool,
               bool notify_owner)
{
    const struct flow_route *route = context->route;
    bool route_moved = route->former != NULL;
    bool may_be_exception;

    if (pool->owned_here) {
        bool known = flow_table_find(&pool->table, context->digest) != NULL;

        if (route_moved && !known && !context->syn) {
            return context->udp
                       ? udp_during_route_change(context, pool, notify_owner)
                       : tcp_during_route_change(context, pool, notify_owner);
        }
        return flow_decide_as_owner(context, pool);
    }
    if (context->syn || pool->buckets == NULL) {
        return flow_relay_to_owner(context, pool);
    }
    may_be_exception =
        route_moved || flow_map_relays_to_owner(pool, context->digest);
    if ((notify_owner || may_be_exception) &&
        context->packet->hops < FLOW_HOPS_MAX &&
        pool->relay_to.value != context->core->options.self.value) {
        return flow_relay_to_owner(context, pool);
    }
    if (context->packet->hops == FLOW_HOPS_FINAL && route_moved &&
        route->pool->owned_here) {
        return flow_table_find(&route->pool->table, context->digest) != NULL
                   ? flow_decide_as_owner(context, route->pool)
                   : flow_decide_by_map(context, pool);
    }
    if ((may_be_exception || (notify_owner && context->udp)) &&
        flow_table_find(&pool->table, context->digest) == NULL) {
        return flow_drop(context->core, FLOW_REASON_NO_OWNER);
    }
    return flow_decide_by_map(context, pool);
}

/*
 * As pool owner, while the route changes its pool, return the verdict on a
 * packet of an unknown TCP flow.  If the new pool does not know the flow, the
 * former one decides.
 */
static struct flow_verdict
tcp_during_route_change(const struct flow_context *context,
                        struct flow_pool *pool, bool notify_owner)
{
    if (pool == context->route->pool) {
        return decide_in_pool(context, context->route->former, notify_owner);
    }
    return flow_decide_as_owner(context, pool);
}

/*
 * As pool owner, while the route changes its pool, return the verdict on a
 * packet of an unknown UDP flow.  After an owner was unreachable, not all
 * flows of the former pool are known; then the packet is relayed to the owner
 * of the new pool, which may have the flow.
 */
static struct flow_verdict
udp_during_route_change(const struct flow_context *context,
                        struct flow_pool *pool, bool notify_owner)
{
    const struct flow_route *route = context->route;
    bool complete = context->core->now_us >= pool->udp_known_from_us;

    if (pool == route->pool || !route->applied_everywhere) {
        return flow_decide_as_owner(context, pool);
    }
    if (complete) {
        return decide_in_pool(context, route->pool, notify_owner);
    }
    if (route->pool->owned_here) {
        return flow_table_find(&route->pool->table, context->digest) != NULL
                   ? flow_decide_as_owner(context, route->pool)
                   : flow_decide_as_owner(context, pool);
    }
    if (context->packet->hops < FLOW_HOPS_MAX &&
        route->pool->relay_to.value != 0) {
        struct flow_verdict verdict =
            flow_relay(context, pool->id, route->pool->relay_to);

        verdict.hops = FLOW_HOPS_FINAL;
        return verdict;
    }
    return flow_decide_as_owner(context, pool);
}

/*
 * Return the verdict on one packet.  Allocates only when the flow table grows.
 */
struct flow_verdict
flow_core_packet(struct flow_core *core, uint64_t now_us,
                 const struct flow_packet *packet)
{
    uint8_t flags = packet->tcp_flags;
    struct flow_context context = {
        .core = core,
        .packet = packet,
        .udp = packet->protocol == IPPROTO_UDP,
    };
    bool answer;

    core->now_us = now_us;
    context.route = flow_route_find(core, packet->src, packet->src_port);
    answer = context.route != NULL;
    if (!answer) {
        context.route = flow_route_find(core, packet->dst, packet->dst_port);
    }
    if (context.route == NULL) {
        return flow_drop(core, FLOW_REASON_NO_ROUTE);
    }
    if (context.route->view.kind != ROUTE_STREAM) {
        return flow_drop(core, FLOW_REASON_NOT_STREAM);
    }
    context.closing = !context.udp && (flags & (TCP_FIN | TCP_RST)) != 0;
    if (answer) {
        context.syn = !context.udp && (flags & TCP_SYN) != 0;
        context.digest =
            flow_digest(packet->dst, packet->dst_port, packet->src,
                        packet->src_port, packet->protocol);
        return flow_answer_packet(&context);
    }
    context.syn = !context.udp && (flags & (TCP_SYN | TCP_ACK)) == TCP_SYN;
    context.digest = flow_digest(packet->src, packet->src_port, packet->dst,
                                 packet->dst_port, packet->protocol);
    return caller_packet(&context);
}
