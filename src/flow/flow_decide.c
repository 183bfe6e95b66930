/* A caller's packet at the pool's lead, or by the map alone. */
#include "flow/flow_look.h"

static struct flow_verdict open_flow(const struct flow_look *,
                                     struct flow_pool *);

/* Whether an answer seen lately shows the flow's target. */
bool
flow_learned(const struct flow_look *look, uint32_t *endpoint)
{
    const struct flow_core *core = look->core;
    const struct flow_cached *cached =
        flow_cache_find(&core->cache, look->digest);
    const struct flow_endpoint *known;

    if (cached == NULL || cached->endpoint == FLOW_ENDPOINT_NONE ||
        flow_now_ms(core) - cached->answered_ms > FLOW_LEARNED_MS) {
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

static struct flow_verdict
open_flow(const struct flow_look *look, struct flow_pool *pool)
{
    enum flow_reason reason;
    uint8_t flags = look->udp ? FLOW_ENTRY_UDP | FLOW_ENTRY_ANSWERED : 0;
    uint16_t slot;

    if (look->route->former != NULL) {
        flags |= FLOW_ENTRY_TRANSIT;
    }
    if (!flow_route_admit(look->core, look->route)) {
        return flow_refuse(look, FLOW_REASON_ROUTE_RATE);
    }
    reason = flow_lead_open(look->core, pool, look->digest, flags, &slot);
    if (reason != FLOW_REASON_NONE) {
        return flow_refuse(look, reason);
    }
    return flow_forward(look, pool, flow_slot_at(pool, slot)->endpoint);
}

/* Take the flags of a packet of the flow of ENTRY into account. */
void
flow_note_flags(struct flow_core *core, struct flow_pool *pool,
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
struct flow_verdict
flow_at_lead(const struct flow_look *look, struct flow_pool *pool)
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
    if (entry == NULL && flow_learned(look, &endpoint)) {
        return flow_forward(look, pool, endpoint);
    }
    if (entry == NULL && pool == look->route->former &&
        !flow_lead_may_inherit(core, pool, look->digest)) {
        return flow_refuse(look, FLOW_REASON_TARGET_GONE);
    }
    if (entry == NULL) {
        slot = flow_bucket_of(pool, look->digest)->base;
    }
    else {
        slot = flow_entry_target(entry);
        if (!look->udp) {
            flow_note_flags(core, pool, entry, look->packet->tcp_flags, true);
        }
        entry->seen_s = flow_now_s(core);
    }
    if (slot == FLOW_SLOT_NONE) {
        return flow_refuse(look, FLOW_REASON_NO_TARGET);
    }
    return flow_forward(look, pool, flow_slot_at(pool, slot)->endpoint);
}

/* Without the lead: by a record held here, else by the bucket's base. */
struct flow_verdict
flow_by_map(const struct flow_look *look, struct flow_pool *pool)
{
    const struct flow_entry *entry =
        flow_table_find(&pool->table, look->digest);
    uint16_t slot =
        entry != NULL && flow_entry_target(entry) < pool->slots->len
            ? flow_entry_target(entry)
            : flow_bucket_of(pool, look->digest)->base;

    if (slot == FLOW_SLOT_NONE) {
        return flow_refuse(look, FLOW_REASON_NO_TARGET);
    }
    return flow_forward(look, pool, flow_slot_at(pool, slot)->endpoint);
}
