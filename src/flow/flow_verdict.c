/* The verdicts: forward, hand on, deliver, refuse, drop. */
#include "flow/flow_look.h"

static bool wants_answer(const struct flow_packet *);
static void watch(const struct flow_look *, struct flow_pool *, uint32_t);
static struct flow_verdict missing(const struct flow_look *,
                                   struct flow_pool *,
                                   const struct flow_endpoint *);
static bool replaced(const struct flow_core *, const struct flow_pool *,
                     const struct flow_endpoint *);

struct flow_verdict
flow_drop(struct flow_core *core, enum flow_reason reason)
{
    core->counters.dropped[reason]++;
    return (struct flow_verdict){.kind = FLOW_DROP, .reason = reason};
}

struct flow_verdict
flow_deliver(struct flow_core *core)
{
    core->counters.delivered++;
    return (struct flow_verdict){.kind = FLOW_DELIVER};
}

/*
 * Refuse visibly.  The reset is what a host without the connection would
 * answer (RFC 9293, 3.10.7.1); a reset is never answered.
 */
struct flow_verdict
flow_refuse(const struct flow_look *look, enum flow_reason reason)
{
    const struct flow_packet *packet = look->packet;
    struct flow_verdict verdict = {.kind = FLOW_RESET, .reason = reason};

    if (!look->udp && (packet->tcp_flags & TCP_RST) != 0) {
        return flow_drop(look->core, reason);
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

struct flow_verdict
flow_hand_on_to(const struct flow_look *look, struct pool_id pool,
                struct daemon_id to)
{
    if (look->packet->hops >= FLOW_HOPS_MAX) {
        return flow_drop(look->core, FLOW_REASON_HOPS);
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
struct flow_verdict
flow_hand_on(const struct flow_look *look, struct flow_pool *pool)
{
    if (pool->ask.value == 0) {
        return flow_drop(look->core, FLOW_REASON_NO_LEAD);
    }
    if (pool->ask.value == look->core->options.self.value) {
        return flow_drop(look->core, pool->buckets == NULL
                                         ? FLOW_REASON_NO_MAP
                                         : FLOW_REASON_NO_LEAD);
    }
    return flow_hand_on_to(look, pool->id, pool->ask);
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
missing(const struct flow_look *look, struct flow_pool *pool,
        const struct flow_endpoint *endpoint)
{
    const struct flow_core *core = look->core;

    if (replaced(core, pool, endpoint) ||
        core->now_us >= endpoint->gone_us + FLOW_GONE_US) {
        return flow_refuse(look, FLOW_REASON_TARGET_GONE);
    }
    if (!pool->acting && look->packet->hops < FLOW_HOPS_MAX &&
        pool->ask.value != core->options.self.value) {
        return flow_hand_on(look, pool);
    }
    return flow_drop(look->core, FLOW_REASON_TARGET_UNKNOWN);
}

/* Whether the target must answer a segment: data, or the end of a flow. */
static bool
wants_answer(const struct flow_packet *packet)
{
    return packet->payload_len != 0 || (packet->tcp_flags & TCP_FIN) != 0;
}

/* Note a segment that wants an answer, so that a silent flow is found. */
static void
watch(const struct flow_look *look, struct flow_pool *pool, uint32_t endpoint)
{
    struct flow_core *core = look->core;
    struct flow_cached *cached = flow_cache_find(&core->cache, look->digest);

    if (cached == NULL) {
        cached = flow_cache_add(&core->cache, look->digest, flow_now_s(core));
    }
    cached->used_s = flow_now_s(core);
    flow_silent_watch(core, pool, cached, endpoint, look->packet);
}

/* To a target, only if the pool's view still has it in this incarnation. */
struct flow_verdict
flow_forward(const struct flow_look *look, struct flow_pool *pool,
             uint32_t index)
{
    const struct flow_endpoint *endpoint = flow_endpoint_at(look->core, index);

    if (!endpoint->present) {
        return missing(look, pool, endpoint);
    }
    if (!look->udp && !look->opening && wants_answer(look->packet)) {
        watch(look, pool, index);
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
