/*
 * Chooses the target of a caller's packet, as the pool owner or by the bucket
 * map alone.
 */
#include "flow/flow_context.h"

static struct flow_verdict open_flow(const struct flow_context *,
                                     struct flow_pool *);

/*
 * Return true and set *ENDPOINT if a recent answer shows the flow's target,
 * and the target is still in a pool of the route.
 */
bool
flow_learned_target(const struct flow_context *context, uint32_t *endpoint)
{
    const struct flow_core *core = context->core;
    const struct flow_cached *cached =
        flow_cache_find(&core->cache, context->digest);
    const struct flow_endpoint *known;

    if (cached == NULL || cached->endpoint == FLOW_ENDPOINT_NONE ||
        flow_now_ms(core) - cached->answered_ms > FLOW_LEARNED_MAX_MS) {
        return false;
    }
    known = flow_endpoint_at(core, cached->endpoint);
    if (!known->present ||
        (known->pool.value != context->route->pool->id.value &&
         (context->route->former == NULL ||
          known->pool.value != context->route->former->id.value))) {
        return false;
    }
    *endpoint = cached->endpoint;
    return true;
}

/* Open a flow and return the verdict on its first packet. */
static struct flow_verdict
open_flow(const struct flow_context *context, struct flow_pool *pool)
{
    enum flow_reason reason;
    uint8_t flags = context->udp ? FLOW_ENTRY_UDP | FLOW_ENTRY_ACCEPTED : 0;
    uint16_t slot;

    if (context->route->former != NULL) {
        flags |= FLOW_ENTRY_ROUTE_MOVED;
    }
    if (!flow_route_admit_flow(context->core, context->route)) {
        return flow_reject(context, FLOW_REASON_ROUTE_RATE);
    }
    reason =
        flow_owner_open(context->core, pool, context->digest, flags, &slot);
    if (reason != FLOW_REASON_NONE) {
        return flow_reject(context, reason);
    }
    return flow_forward(context, pool, flow_slot_at(pool, slot)->endpoint);
}

/*
 * Update the flow of ENTRY by the FLAGS of a packet from its caller or its
 * target: RST, or FIN from both ends, closes it.
 */
void
flow_apply_tcp_flags(struct flow_core *core, struct flow_pool *pool,
                     struct flow_entry *entry, uint8_t flags, bool caller)
{
    entry->seen_s = flow_now_s(core);
    if ((flags & TCP_FIN) != 0) {
        entry->flags |= caller ? FLOW_ENTRY_FIN_CALLER : FLOW_ENTRY_FIN_TARGET;
    }
    if ((flags & TCP_RST) != 0 ||
        ((entry->flags & FLOW_ENTRY_FIN_CALLER) != 0 &&
         (entry->flags & FLOW_ENTRY_FIN_TARGET) != 0)) {
        flow_owner_close(core, pool, entry);
    }
}

/* Return the verdict of the pool owner on a caller's packet. */
struct flow_verdict
flow_decide_as_owner(const struct flow_context *context,
                     struct flow_pool *pool)
{
    struct flow_core *core = context->core;
    struct flow_entry *entry = flow_table_find(&pool->table, context->digest);
    uint32_t endpoint;
    uint16_t slot;

    if (entry != NULL && context->syn) {
        const struct flow_slot *held =
            flow_slot_at(pool, flow_entry_target(entry));
        bool closed = (entry->flags & FLOW_ENTRY_CLOSED) != 0;

        if (closed || !flow_endpoint_at(core, held->endpoint)->present) {
            flow_owner_remove(core, pool, entry);
            entry = NULL;
        }
    }
    if (entry == NULL && context->closing) {
        entry = flow_owner_identify(core, pool, context->digest);
    }
    if (entry == NULL && context->udp &&
        core->now_us < pool->udp_known_from_us) {
        entry = flow_owner_identify_udp(core, pool, context->digest);
    }
    if (entry == NULL && (context->syn || context->udp)) {
        return open_flow(context, pool);
    }
    if (entry == NULL && flow_learned_target(context, &endpoint)) {
        return flow_forward(context, pool, endpoint);
    }
    if (entry == NULL && pool == context->route->former &&
        !flow_owner_may_be_earlier_flow(core, pool, context->digest)) {
        return flow_reject(context, FLOW_REASON_TARGET_GONE);
    }
    if (entry == NULL) {
        slot = flow_bucket_of(pool, context->digest)->base;
    }
    else {
        slot = flow_entry_target(entry);
        if (!context->udp) {
            flow_apply_tcp_flags(core, pool, entry, context->packet->tcp_flags,
                                 true);
        }
        entry->seen_s = flow_now_s(core);
    }
    if (slot == FLOW_SLOT_NONE) {
        return flow_reject(context, FLOW_REASON_NO_TARGET);
    }
    return flow_forward(context, pool, flow_slot_at(pool, slot)->endpoint);
}

/*
 * Return the verdict of a daemon that is not the owner: by a record held here,
 * else by the bucket's base.
 */
struct flow_verdict
flow_decide_by_map(const struct flow_context *context, struct flow_pool *pool)
{
    const struct flow_entry *entry =
        flow_table_find(&pool->table, context->digest);
    uint16_t slot =
        entry != NULL && flow_entry_target(entry) < pool->slots->len
            ? flow_entry_target(entry)
            : flow_bucket_of(pool, context->digest)->base;

    if (slot == FLOW_SLOT_NONE) {
        return flow_reject(context, FLOW_REASON_NO_TARGET);
    }
    return flow_forward(context, pool, flow_slot_at(pool, slot)->endpoint);
}
