/* Packets from a route's address: answers of its targets. */
#include "flow/flow_look.h"

static struct flow_pool *answering_pool(const struct flow_look *, uint32_t *);
static void learn(const struct flow_look *, uint32_t endpoint);
static void note_answer(const struct flow_look *, struct flow_pool *,
                        uint32_t endpoint);

/* The route's pool that the sender of an answer is a target of, or NULL. */
static struct flow_pool *
answering_pool(const struct flow_look *look, uint32_t *endpoint)
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
learn(const struct flow_look *look, uint32_t endpoint)
{
    struct flow_core *core = look->core;
    uint32_t now_s = flow_now_s(core);
    struct flow_cached *cached =
        flow_cache_add(&core->cache, look->digest, now_s);

    cached->answered_ms = flow_now_ms(core);
    cached->asked_ms = 0;
    flow_silent_clear(core, look->digest);
    if (look->closing) {
        cached->endpoint = FLOW_ENDPOINT_NONE;
    }
    else if (!look->opening) {
        cached->endpoint = endpoint;
    }
}

/* As lead: take an answer that opens or closes into account. */
static void
note_answer(const struct flow_look *look, struct flow_pool *pool,
            uint32_t endpoint)
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
    flow_note_flags(core, pool, entry, look->packet->tcp_flags, false);
}

/* A packet from a route's address: an answer, if its target sent it. */
struct flow_verdict
flow_target_packet(const struct flow_look *look)
{
    struct flow_core *core = look->core;
    uint32_t endpoint;
    struct flow_pool *pool = answering_pool(look, &endpoint);

    if (pool == NULL) {
        return flow_drop(core, FLOW_REASON_FOREIGN_ANSWER);
    }
    if (look->opening) {
        flow_endpoint_at(core, endpoint)->opened_us = core->now_us;
    }
    if (pool->buckets != NULL && !pool->acting &&
        (look->opening || look->closing) &&
        look->packet->hops < FLOW_HOPS_MAX && pool->ask.value != 0 &&
        pool->ask.value != core->options.self.value) {
        return flow_hand_on(look, pool);
    }
    learn(look, endpoint);
    if (pool->acting && !look->udp) {
        note_answer(look, pool, endpoint);
    }
    return flow_deliver(core);
}
