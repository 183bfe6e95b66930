/*
 * Decides on packets from a route's address, which are answers of its targets.
 */
#include "flow/flow_context.h"

static struct flow_pool *answering_pool(const struct flow_context *,
                                        uint32_t *);
static void learn_target(const struct flow_context *, uint32_t endpoint);
static void apply_answer(const struct flow_context *, struct flow_pool *,
                         uint32_t endpoint);

/*
 * Return the pool of the route, new or former, that the sender of an answer is
 * a target of, and set *ENDPOINT to that target; NULL if there is none.
 */
static struct flow_pool *
answering_pool(const struct flow_context *context, uint32_t *endpoint)
{
    struct flow_pool *pools[2] = {context->route->pool,
                                  context->route->former};

    for (int i = 0; i < 2 && pools[i] != NULL; i++) {
        for (guint j = 0; j < pools[i]->members->len; j++) {
            uint32_t index = g_array_index(pools[i]->members, uint32_t, j);

            if (flow_endpoint_at(context->core, index)->key.address ==
                context->packet->outer_src) {
                *endpoint = index;
                return pools[i];
            }
        }
    }
    return NULL;
}

/*
 * Store the flow's target, which has just answered, in the cache.  After a FIN
 * or RST the entry holds no target; a SYN-ACK leaves it unchanged.
 */
static void
learn_target(const struct flow_context *context, uint32_t endpoint)
{
    struct flow_core *core = context->core;
    uint32_t now_s = flow_now_s(core);
    struct flow_cached *cached =
        flow_cache_add(&core->cache, context->digest, now_s);

    cached->answered_ms = flow_now_ms(core);
    cached->pending_ms = 0;
    flow_silent_remove(core, context->digest);
    if (context->closing) {
        cached->endpoint = FLOW_ENDPOINT_NONE;
    }
    else if (!context->syn) {
        cached->endpoint = endpoint;
    }
}

/*
 * As owner, update the flow by an answer: a SYN-ACK means that the target
 * accepted it, FIN and RST may close it.  Answers of another target than the
 * flow's are ignored.
 */
static void
apply_answer(const struct flow_context *context, struct flow_pool *pool,
             uint32_t endpoint)
{
    struct flow_core *core = context->core;
    struct flow_entry *entry = flow_table_find(&pool->table, context->digest);
    struct flow_slot *slot;

    if (entry == NULL && context->closing) {
        entry = flow_owner_identify(core, pool, context->digest);
    }
    if (entry == NULL) {
        return;
    }
    slot = flow_slot_at(pool, flow_entry_target(entry));
    if (slot->endpoint != endpoint) {
        return;
    }
    if (context->syn) {
        entry->flags |= FLOW_ENTRY_ACCEPTED;
        slot->accepted_us = core->now_us;
    }
    flow_apply_tcp_flags(core, pool, entry, context->packet->tcp_flags, false);
}

/*
 * Return the verdict on a packet from a route's address.  It is dropped if no
 * target of the route sent it; SYN-ACK, FIN and RST are relayed to the owner
 * first.
 */
struct flow_verdict
flow_answer_packet(const struct flow_context *context)
{
    struct flow_core *core = context->core;
    uint32_t endpoint;
    struct flow_pool *pool = answering_pool(context, &endpoint);

    if (pool == NULL) {
        return flow_drop(core, FLOW_REASON_FOREIGN_ANSWER);
    }
    if (context->syn) {
        flow_endpoint_at(core, endpoint)->syn_ack_us = core->now_us;
    }
    if (pool->buckets != NULL && !pool->owned_here &&
        (context->syn || context->closing) &&
        context->packet->hops < FLOW_HOPS_MAX && pool->relay_to.value != 0 &&
        pool->relay_to.value != core->options.self.value) {
        return flow_relay_to_owner(context, pool);
    }
    learn_target(context, endpoint);
    if (pool->owned_here && !context->udp) {
        apply_answer(context, pool, endpoint);
    }
    return flow_deliver(core);
}
