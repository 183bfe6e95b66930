/*
 * The path of every packet.  Nearly all go straight on by the map; those that
 * open or close a flow, or belong to a flow that may be off the map, go to
 * the pool's lead unless an answer has shown their target.
 */
#include <netinet/in.h>

#include "base/hash.h"
#include "flow/flow_state.h"

#define TCP_FIN 0x01
#define TCP_SYN 0x02
#define TCP_RST 0x04
#define TCP_ACK 0x10

#define UDP_TOLD_S 3 /* the first packets that a daemon sees go to the lead */

/* One packet on its way to a decision. */
struct look {
    struct flow_core *core;
    struct flow_route *route;
    const struct flow_packet *packet;
    uint64_t digest;
    bool udp;
    bool opening;
    bool closing;
};

static uint64_t digest_of(uint32_t, uint16_t, uint32_t, uint16_t, uint8_t);
static struct flow_verdict drop(struct flow_core *, enum flow_reason);
static struct flow_verdict refuse(const struct look *, enum flow_reason);
static struct flow_verdict deliver(struct flow_core *);
static struct flow_verdict hand_on(const struct look *, struct flow_pool *);
static struct flow_verdict hand_on_to(const struct look *, struct pool_id,
                                      struct daemon_id);
static struct flow_verdict forward(const struct look *, struct flow_pool *,
                                   uint32_t endpoint);
static struct flow_verdict missing(const struct look *, struct flow_pool *,
                                   const struct flow_endpoint *);
static bool replaced(const struct flow_core *, const struct flow_pool *,
                     const struct flow_endpoint *);
static bool learned(const struct look *, uint32_t *endpoint);
static bool must_tell_lead(const struct look *);
static struct flow_pool *first_pool(const struct look *);
static struct flow_verdict caller_packet(const struct look *);
static struct flow_verdict in_pool(const struct look *, struct flow_pool *,
                                   bool tell);
static struct flow_verdict tcp_in_change(const struct look *,
                                         struct flow_pool *, bool tell);
static struct flow_verdict udp_in_change(const struct look *,
                                         struct flow_pool *, bool tell);
static struct flow_verdict at_lead(const struct look *, struct flow_pool *);
static struct flow_verdict open_flow(const struct look *, struct flow_pool *);
static struct flow_verdict by_map(const struct look *, struct flow_pool *);
static void note_flags(struct flow_core *, struct flow_pool *,
                       struct flow_entry *, uint8_t flags, bool caller);
static struct flow_verdict target_packet(const struct look *);
static struct flow_pool *answering_pool(const struct look *, uint32_t *);
static void learn(const struct look *, uint32_t endpoint);
static void note_answer(const struct look *, struct flow_pool *,
                        uint32_t endpoint);

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

static struct flow_verdict
drop(struct flow_core *core, enum flow_reason reason)
{
    core->counters.dropped[reason]++;
    return (struct flow_verdict){.kind = FLOW_DROP, .reason = reason};
}

static struct flow_verdict
deliver(struct flow_core *core)
{
    core->counters.delivered++;
    return (struct flow_verdict){.kind = FLOW_DELIVER};
}

/*
 * Refuse visibly.  The reset is what a host without the connection would
 * answer (RFC 9293, 3.10.7.1); a reset is never answered.
 */
static struct flow_verdict
refuse(const struct look *look, enum flow_reason reason)
{
    const struct flow_packet *packet = look->packet;
    struct flow_verdict verdict = {.kind = FLOW_RESET, .reason = reason};

    if (!look->udp && (packet->tcp_flags & TCP_RST) != 0) {
        return drop(look->core, reason);
    }
    look->core->counters.reset[reason]++;
    if (look->udp) {
        return verdict;
    }
    if ((packet->tcp_flags & TCP_ACK) != 0) {
        verdict.reset.caller_flags = TCP_RST;
        verdict.reset.caller_seq = packet->tcp_ack;
        return verdict;
    }
    verdict.reset.caller_flags = TCP_RST | TCP_ACK;
    verdict.reset.caller_ack = packet->tcp_seq + packet->payload_len +
                               ((packet->tcp_flags & TCP_SYN) != 0) +
                               ((packet->tcp_flags & TCP_FIN) != 0);
    return verdict;
}

static struct flow_verdict
hand_on_to(const struct look *look, struct pool_id pool, struct daemon_id to)
{
    if (look->packet->hops >= FLOW_HOPS_MAX) {
        return drop(look->core, FLOW_REASON_HOPS);
    }
    look->core->counters.handed_on++;
    return (struct flow_verdict){
        .kind = FLOW_HAND_ON,
        .peer = to,
        .pool = pool,
        .hops = (uint8_t)(look->packet->hops + 1),
    };
}

/* To the pool's lead as far as it is known here. */
static struct flow_verdict
hand_on(const struct look *look, struct flow_pool *pool)
{
    if (pool->ask.value == 0) {
        return drop(look->core, FLOW_REASON_NO_LEAD);
    }
    if (pool->ask.value == look->core->options.self.value) {
        return drop(look->core, pool->buckets == NULL ? FLOW_REASON_NO_MAP
                                                      : FLOW_REASON_NO_LEAD);
    }
    return hand_on_to(look, pool->id, pool->ask);
}

/* Whether the address of ENDPOINT is in its pool again as a later start. */
static bool
replaced(const struct flow_core *core, const struct flow_pool *pool,
         const struct flow_endpoint *endpoint)
{
    for (guint i = 0; i < pool->members->len; i++) {
        const struct flow_endpoint *member =
            flow_endpoint_at(core, g_array_index(pool->members, uint32_t, i));

        if (member->key.address == endpoint->key.address &&
            member->key.incarnation > endpoint->key.incarnation) {
            return true;
        }
    }
    return false;
}

/* The flow's target is not in the pool's view: late news here, or gone. */
static struct flow_verdict
missing(const struct look *look, struct flow_pool *pool,
        const struct flow_endpoint *endpoint)
{
    const struct flow_core *core = look->core;

    if (replaced(core, pool, endpoint) ||
        core->now_us >= endpoint->gone_us + FLOW_GONE_US) {
        return refuse(look, FLOW_REASON_TARGET_GONE);
    }
    if (!pool->acting && look->packet->hops < FLOW_HOPS_MAX &&
        pool->ask.value != core->options.self.value) {
        return hand_on(look, pool);
    }
    return drop(look->core, FLOW_REASON_TARGET_UNKNOWN);
}

/* To a target, only if the pool's view still has it in this incarnation. */
static struct flow_verdict
forward(const struct look *look, struct flow_pool *pool, uint32_t index)
{
    const struct flow_endpoint *endpoint = flow_endpoint_at(look->core, index);

    if (!endpoint->present) {
        return missing(look, pool, endpoint);
    }
    look->core->counters.forwarded++;
    return (struct flow_verdict){
        .kind = FLOW_FORWARD,
        .pool = pool->id,
        .address = endpoint->key.address,
        .incarnation = endpoint->key.incarnation,
        .port = endpoint->view.port,
    };
}

/* Whether an answer seen lately shows the flow's target. */
static bool
learned(const struct look *look, uint32_t *endpoint)
{
    const struct flow_core *core = look->core;
    const struct flow_cached *cached =
        flow_cache_find(&core->cache, look->digest);
    const struct flow_endpoint *known;

    if (cached == NULL || cached->endpoint == FLOW_ENDPOINT_NONE ||
        flow_now_s(core) > cached->answered_s + FLOW_LEARNED_S) {
        return false;
    }
    known = flow_endpoint_at(core, cached->endpoint);
    if (!known->present ||
        (known->pool.value != look->route->pool->id.value &&
         (look->route->former == NULL ||
          known->pool.value != look->route->former->id.value))) {
        return false;
    }
    *endpoint = cached->endpoint;
    return true;
}

/*
 * Whether the lead must see this packet: flows open and close through it, and
 * it hears of a flow that goes on, so that it does not hold it for idle.
 */
static bool
must_tell_lead(const struct look *look)
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
    }
    if (look->udp && now_s < cached->first_s + UDP_TOLD_S) {
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
first_pool(const struct look *look)
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
caller_packet(const struct look *look)
{
    struct flow_core *core = look->core;
    struct flow_pool *pool;
    uint32_t endpoint;
    bool tell;

    if (!core->synced && look->packet->hops == 0) {
        struct daemon_id peer = flow_peer_any(core);

        return peer.value == 0 ? drop(core, FLOW_REASON_NO_LEAD)
                               : hand_on_to(look, (struct pool_id){0}, peer);
    }
    if (!core->synced) {
        return drop(core, FLOW_REASON_NO_LEAD);
    }
    pool = first_pool(look);
    tell = !pool->acting && must_tell_lead(look);
    if (!tell && !pool->acting && learned(look, &endpoint)) {
        return forward(look, pool, endpoint);
    }
    return in_pool(look, pool, tell);
}

/* Decide in POOL, or pass on to the daemon or pool that can. */
static struct flow_verdict
in_pool(const struct look *look, struct flow_pool *pool, bool tell)
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
        return at_lead(look, pool);
    }
    if (look->opening || pool->buckets == NULL) {
        return hand_on(look, pool);
    }
    unsure = change || flow_map_marked(pool, look->digest);
    if ((tell || unsure) && look->packet->hops < FLOW_HOPS_MAX &&
        pool->ask.value != look->core->options.self.value) {
        return hand_on(look, pool);
    }
    if (look->packet->hops == FLOW_HOPS_LAST && change &&
        route->pool->acting) {
        return flow_table_find(&route->pool->table, look->digest) != NULL
                   ? at_lead(look, route->pool)
                   : by_map(look, pool);
    }
    if ((unsure || (tell && look->udp)) &&
        flow_table_find(&pool->table, look->digest) == NULL) {
        return drop(look->core, FLOW_REASON_NO_LEAD);
    }
    return by_map(look, pool);
}

/* At the lead of a changed route's pool: a packet of an unknown TCP flow. */
static struct flow_verdict
tcp_in_change(const struct look *look, struct flow_pool *pool, bool tell)
{
    if (pool == look->route->pool) {
        return in_pool(look, look->route->former, tell);
    }
    return at_lead(look, pool);
}

/*
 * At the lead of a changed route's pool: a packet of an unknown UDP flow.
 * After a lead was lost the former pool's flows are not all known; then the
 * new pool's lead is asked whether the flow is one of its own.
 */
static struct flow_verdict
udp_in_change(const struct look *look, struct flow_pool *pool, bool tell)
{
    const struct flow_route *route = look->route;
    bool complete = look->core->now_us >= pool->udp_known_us;

    if (pool == route->pool || !route->everywhere) {
        return at_lead(look, pool);
    }
    if (complete) {
        return in_pool(look, route->pool, tell);
    }
    if (route->pool->acting) {
        return flow_table_find(&route->pool->table, look->digest) != NULL
                   ? at_lead(look, route->pool)
                   : at_lead(look, pool);
    }
    if (look->packet->hops < FLOW_HOPS_MAX && route->pool->ask.value != 0) {
        struct flow_verdict verdict =
            hand_on_to(look, pool->id, route->pool->ask);

        verdict.hops = FLOW_HOPS_LAST;
        return verdict;
    }
    return at_lead(look, pool);
}

/* Without the lead: by a record held here, else by the bucket's base. */
static struct flow_verdict
by_map(const struct look *look, struct flow_pool *pool)
{
    const struct flow_entry *entry =
        flow_table_find(&pool->table, look->digest);
    uint16_t slot =
        entry != NULL && flow_entry_target(entry) < pool->slots->len
            ? flow_entry_target(entry)
            : flow_bucket_of(pool, look->digest)->base;

    if (slot == FLOW_SLOT_NONE) {
        return refuse(look, FLOW_REASON_NO_TARGET);
    }
    return forward(look, pool, flow_slot_at(pool, slot)->endpoint);
}

static struct flow_verdict
open_flow(const struct look *look, struct flow_pool *pool)
{
    enum flow_reason reason;
    uint8_t flags = look->udp ? FLOW_ENTRY_UDP | FLOW_ENTRY_ANSWERED : 0;
    uint16_t slot;

    if (look->route->former != NULL) {
        flags |= FLOW_ENTRY_TRANSIT;
    }
    if (!flow_route_admit(look->core, look->route)) {
        return refuse(look, FLOW_REASON_ROUTE_RATE);
    }
    reason = flow_lead_open(look->core, pool, look->digest, flags, &slot);
    if (reason != FLOW_REASON_NONE) {
        return refuse(look, reason);
    }
    return forward(look, pool, flow_slot_at(pool, slot)->endpoint);
}

/* Take the flags of a packet of the flow of ENTRY into account. */
static void
note_flags(struct flow_core *core, struct flow_pool *pool,
           struct flow_entry *entry, uint8_t flags, bool caller)
{
    entry->seen_s = flow_now_s(core);
    if ((flags & TCP_FIN) != 0) {
        entry->flags |= caller ? FLOW_ENTRY_FIN_CALLER : FLOW_ENTRY_FIN_TARGET;
    }
    if ((flags & TCP_RST) != 0 ||
        ((entry->flags & FLOW_ENTRY_FIN_CALLER) != 0 &&
         (entry->flags & FLOW_ENTRY_FIN_TARGET) != 0)) {
        flow_lead_close(core, pool, entry);
    }
}

/* The lead's own decision. */
static struct flow_verdict
at_lead(const struct look *look, struct flow_pool *pool)
{
    struct flow_core *core = look->core;
    struct flow_entry *entry = flow_table_find(&pool->table, look->digest);
    uint32_t endpoint;
    uint16_t slot;

    if (entry != NULL && look->opening) {
        const struct flow_slot *held =
            flow_slot_at(pool, flow_entry_target(entry));
        bool closed = (entry->flags & FLOW_ENTRY_CLOSED) != 0;

        if (closed || !flow_endpoint_at(core, held->endpoint)->present) {
            flow_lead_forget(core, pool, entry);
            entry = NULL;
        }
    }
    if (entry == NULL && look->closing) {
        entry = flow_lead_inherit(core, pool, look->digest);
    }
    if (entry == NULL && look->udp && core->now_us < pool->udp_known_us) {
        entry = flow_lead_adopt(core, pool, look->digest);
    }
    if (entry == NULL && (look->opening || look->udp)) {
        return open_flow(look, pool);
    }
    if (entry == NULL && learned(look, &endpoint)) {
        return forward(look, pool, endpoint);
    }
    if (entry == NULL && pool == look->route->former &&
        !flow_lead_may_inherit(core, pool, look->digest)) {
        return refuse(look, FLOW_REASON_TARGET_GONE);
    }
    if (entry == NULL) {
        slot = flow_bucket_of(pool, look->digest)->base;
    }
    else {
        slot = flow_entry_target(entry);
        if (!look->udp) {
            note_flags(core, pool, entry, look->packet->tcp_flags, true);
        }
        entry->seen_s = flow_now_s(core);
    }
    if (slot == FLOW_SLOT_NONE) {
        return refuse(look, FLOW_REASON_NO_TARGET);
    }
    return forward(look, pool, flow_slot_at(pool, slot)->endpoint);
}

/* The route's pool that the sender of an answer is a target of, or NULL. */
static struct flow_pool *
answering_pool(const struct look *look, uint32_t *endpoint)
{
    struct flow_pool *pools[2] = {look->route->pool, look->route->former};

    for (int i = 0; i < 2 && pools[i] != NULL; i++) {
        for (guint j = 0; j < pools[i]->members->len; j++) {
            uint32_t index = g_array_index(pools[i]->members, uint32_t, j);

            if (flow_endpoint_at(look->core, index)->key.address ==
                look->packet->outer_src) {
                *endpoint = index;
                return pools[i];
            }
        }
    }
    return NULL;
}

/* Note the flow's target, which has just answered. */
static void
learn(const struct look *look, uint32_t endpoint)
{
    struct flow_core *core = look->core;
    uint32_t now_s = flow_now_s(core);
    struct flow_cached *cached =
        flow_cache_add(&core->cache, look->digest, now_s);

    cached->answered_s = now_s;
    cached->asked_ms = 0;
    if (look->closing) {
        cached->endpoint = FLOW_ENDPOINT_NONE;
    }
    else if (!look->opening) {
        cached->endpoint = endpoint;
    }
}

/* As lead: take an answer that opens or closes into account. */
static void
note_answer(const struct look *look, struct flow_pool *pool, uint32_t endpoint)
{
    struct flow_core *core = look->core;
    struct flow_entry *entry = flow_table_find(&pool->table, look->digest);
    struct flow_slot *slot;

    if (entry == NULL && look->closing) {
        entry = flow_lead_inherit(core, pool, look->digest);
    }
    if (entry == NULL) {
        return;
    }
    slot = flow_slot_at(pool, flow_entry_target(entry));
    if (slot->endpoint != endpoint) {
        return;
    }
    if (look->opening) {
        entry->flags |= FLOW_ENTRY_ANSWERED;
        slot->answered_us = core->now_us;
    }
    note_flags(core, pool, entry, look->packet->tcp_flags, false);
}

/* A packet from a route's address: an answer, if its target sent it. */
static struct flow_verdict
target_packet(const struct look *look)
{
    struct flow_core *core = look->core;
    uint32_t endpoint;
    struct flow_pool *pool = answering_pool(look, &endpoint);

    if (pool == NULL) {
        return drop(core, FLOW_REASON_FOREIGN_ANSWER);
    }
    if (pool->buckets != NULL && !pool->acting &&
        (look->opening || look->closing) &&
        look->packet->hops < FLOW_HOPS_MAX && pool->ask.value != 0 &&
        pool->ask.value != core->options.self.value) {
        return hand_on(look, pool);
    }
    learn(look, endpoint);
    if (pool->acting && !look->udp) {
        note_answer(look, pool, endpoint);
    }
    return deliver(core);
}

/* Decide about one packet.  Allocates only when the flow table grows. */
struct flow_verdict
flow_core_packet(struct flow_core *core, uint64_t now_us,
                 const struct flow_packet *packet)
{
    uint8_t flags = packet->tcp_flags;
    struct look look = {
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
        return drop(core, FLOW_REASON_NO_ROUTE);
    }
    if (look.route->view.kind != ROUTE_STREAM) {
        return drop(core, FLOW_REASON_NOT_STREAM);
    }
    look.closing = !look.udp && (flags & (TCP_FIN | TCP_RST)) != 0;
    if (answer) {
        look.opening = !look.udp && (flags & TCP_SYN) != 0;
        look.digest = digest_of(packet->dst, packet->dst_port, packet->src,
                                packet->src_port, packet->protocol);
        return target_packet(&look);
    }
    look.opening = !look.udp && (flags & (TCP_SYN | TCP_ACK)) == TCP_SYN;
    look.digest = digest_of(packet->src, packet->src_port, packet->dst,
                            packet->dst_port, packet->protocol);
    return caller_packet(&look);
}
