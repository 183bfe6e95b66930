/* The verdicts: forward, relay, deliver, reject, drop. */
#include "flow/flow_context.h"

static bool needs_answer(const struct flow_packet *);
static void note_unanswered(const struct flow_context *, struct flow_pool *,
                            uint32_t);
static struct flow_verdict
verdict_for_missing_target(const struct flow_context *, struct flow_pool *,
                           const struct flow_endpoint *);
static bool target_restarted(const struct flow_core *,
                             const struct flow_pool *,
                             const struct flow_endpoint *);

/* Return the verdict to drop the packet, counted by REASON. */
struct flow_verdict
flow_drop(struct flow_core *core, enum flow_reason reason)
{
    core->counters.dropped[reason]++;
    return (struct flow_verdict){.kind = FLOW_DROP, .reason = reason};
}

/* Return the verdict to send an answer back to the fabric. */
struct flow_verdict
flow_deliver(struct flow_core *core)
{
    core->counters.delivered++;
    return (struct flow_verdict){.kind = FLOW_DELIVER};
}

/*
 * Return the verdict to reject the packet with a TCP reset or ICMP port
 * unreachable.  The TCP reset is the one that a host without the connection
 * sends (RFC 9293, 3.10.7.1); a reset itself gets no reply and is dropped.
 */
struct flow_verdict
flow_reject(const struct flow_context *context, enum flow_reason reason)
{
    const struct flow_packet *packet = context->packet;
    struct flow_verdict verdict = {.kind = FLOW_RESET, .reason = reason};

    if (!context->udp && (packet->tcp_flags & TCP_RST) != 0) {
        return flow_drop(context->core, reason);
    }
    context->core->counters.reset[reason]++;
    if (context->udp) {
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

/*
 * Return the verdict to relay the packet to the daemon TO, which decides in
 * POOL; it is dropped if it was relayed too often.
 */
struct flow_verdict
flow_relay(const struct flow_context *context, struct pool_id pool,
           struct daemon_id to)
{
    if (context->packet->hops >= FLOW_HOPS_MAX) {
        return flow_drop(context->core, FLOW_REASON_HOPS);
    }
    context->core->counters.relayed++;
    return (struct flow_verdict){
        .kind = FLOW_RELAY,
        .peer = to,
        .pool = pool,
        .hops = (uint8_t)(context->packet->hops + 1),
    };
}

/*
 * Return the verdict to relay the packet to the pool owner as known here.  The
 * packet is dropped if no owner is known or the owner is this daemon.
 */
struct flow_verdict
flow_relay_to_owner(const struct flow_context *context, struct flow_pool *pool)
{
    if (pool->relay_to.value == 0) {
        return flow_drop(context->core, FLOW_REASON_NO_OWNER);
    }
    if (pool->relay_to.value == context->core->options.self.value) {
        return flow_drop(context->core, pool->buckets == NULL
                                            ? FLOW_REASON_NO_MAP
                                            : FLOW_REASON_NO_OWNER);
    }
    return flow_relay(context, pool->id, pool->relay_to);
}

/*
 * Return true if the address of ENDPOINT is in its pool with a later
 * incarnation.
 */
static bool
target_restarted(const struct flow_core *core, const struct flow_pool *pool,
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

/*
 * Return the verdict if the flow's target is not in the pool's view: the view
 * here may be out of date, or the target is gone.
 */
static struct flow_verdict
verdict_for_missing_target(const struct flow_context *context,
                           struct flow_pool *pool,
                           const struct flow_endpoint *endpoint)
{
    const struct flow_core *core = context->core;

    if (target_restarted(core, pool, endpoint) ||
        core->now_us >= endpoint->missing_since_us + FLOW_TARGET_GONE_US) {
        return flow_reject(context, FLOW_REASON_TARGET_GONE);
    }
    if (!pool->owned_here && context->packet->hops < FLOW_HOPS_MAX &&
        pool->relay_to.value != core->options.self.value) {
        return flow_relay_to_owner(context, pool);
    }
    return flow_drop(context->core, FLOW_REASON_TARGET_UNKNOWN);
}

/*
 * Return true if the target must answer the segment: it has data, or ends the
 * flow.
 */
static bool
needs_answer(const struct flow_packet *packet)
{
    return packet->payload_len != 0 || (packet->tcp_flags & TCP_FIN) != 0;
}

/* Note a segment that must be answered, so that a silent flow is detected. */
static void
note_unanswered(const struct flow_context *context, struct flow_pool *pool,
                uint32_t endpoint)
{
    struct flow_core *core = context->core;
    struct flow_cached *cached =
        flow_cache_find(&core->cache, context->digest);

    if (cached == NULL) {
        cached =
            flow_cache_add(&core->cache, context->digest, flow_now_s(core));
    }
    cached->used_s = flow_now_s(core);
    flow_silent_note_segment(core, pool, cached, endpoint, context->packet);
}

/*
 * Return the verdict to forward the packet to the target ENDPOINT_INDEX, if
 * the pool's view still has it in this incarnation.
 */
struct flow_verdict
flow_forward(const struct flow_context *context, struct flow_pool *pool,
             uint32_t endpoint_index)
{
    const struct flow_endpoint *endpoint =
        flow_endpoint_at(context->core, endpoint_index);

    if (!endpoint->present) {
        return verdict_for_missing_target(context, pool, endpoint);
    }
    if (!context->udp && !context->syn && needs_answer(context->packet)) {
        note_unanswered(context, pool, endpoint_index);
    }
    context->core->counters.forwarded++;
    return (struct flow_verdict){
        .kind = FLOW_FORWARD,
        .pool = pool->id,
        .address = endpoint->key.address,
        .incarnation = endpoint->key.incarnation,
        .port = endpoint->view.port,
    };
}
