/* The flow core: creation, events, counters. */
#include "flow/flow_core.h"

#include <string.h>

#include "base/hash.h"

struct flow_core {
    struct flow_options options;
    struct flow_counters counters;
    GArray *routes;    /* struct route_view */
    GHashTable *pools; /* uint64_t id to GArray of struct target_view */
};

static const char *const reason_names[FLOW_REASON__MAX] = {
    "none",        "no_route",       "not_stream",  "no_map",
    "no_lead",     "no_target",      "hops",        "target_unknown",
    "target_gone", "foreign_answer", "target_full", "flows_max",
    "route_rate",  "silent",
};

/* The name of REASON as counters and spans spell it. */
const char *
flow_reason_name(enum flow_reason reason)
{
    return reason < FLOW_REASON__MAX ? reason_names[reason] : "unknown";
}

/* A core without routes, pools and daemons; freed by flow_core_free(). */
struct flow_core *
flow_core_new(const struct flow_options *options)
{
    struct flow_core *core = g_new0(struct flow_core, 1);

    core->options = *options;
    core->routes = g_array_new(FALSE, FALSE, sizeof(struct route_view));
    core->pools = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
                                        (GDestroyNotify)g_array_unref);
    return core;
}

void
flow_core_free(struct flow_core *core)
{
    g_array_unref(core->routes);
    g_hash_table_unref(core->pools);
    g_free(core);
}

static const struct route_view *
find_route(const struct flow_core *core, uint32_t address, uint16_t port)
{
    for (guint i = 0; i < core->routes->len; i++) {
        const struct route_view *route =
            &g_array_index(core->routes, struct route_view, i);

        if (route->address == address &&
            (route->port == 0 || route->port == port)) {
            return route;
        }
    }
    return NULL;
}

/* Decide about one packet. */
struct flow_verdict
flow_core_packet(struct flow_core *core, uint64_t now_us,
                 const struct flow_packet *packet)
{
    struct flow_verdict verdict = {.kind = FLOW_DROP,
                                   .reason = FLOW_REASON_NO_ROUTE};
    const struct route_view *route;
    const struct target_view *target;
    GArray *targets;
    uint32_t key[3] = {packet->src, packet->dst,
                       (uint32_t)packet->src_port << 16 | packet->dst_port};

    (void)now_us;
    if (find_route(core, packet->src, packet->src_port) != NULL) {
        verdict.kind = FLOW_DELIVER;
        core->counters.delivered++;
        return verdict;
    }
    route = find_route(core, packet->dst, packet->dst_port);
    if (route == NULL) {
        core->counters.dropped[verdict.reason]++;
        return verdict;
    }
    targets = g_hash_table_lookup(core->pools, &route->pool.value);
    if (targets == NULL || targets->len == 0) {
        verdict.reason = FLOW_REASON_NO_TARGET;
        core->counters.dropped[verdict.reason]++;
        return verdict;
    }
    target = &g_array_index(targets, struct target_view,
                            hash_bytes(key, sizeof(key), 0) % targets->len);
    verdict.kind = FLOW_FORWARD;
    verdict.reason = FLOW_REASON_NONE;
    verdict.pool = route->pool;
    verdict.address = target->key.address;
    verdict.port = target->port;
    core->counters.forwarded++;
    return verdict;
}

/* Take one event in; actions are appended to OUT. */
void
flow_core_step(struct flow_core *core, uint64_t now_us,
               const struct flow_event *event, struct flow_actions *out)
{
    (void)now_us;
    switch (event->kind) {
    case FLOW_EV_ROUTES:
        g_array_set_size(core->routes, 0);
        g_array_append_vals(core->routes, event->u.routes.items,
                            (guint)event->u.routes.count);
        break;
    case FLOW_EV_POOL: {
        GArray *targets =
            g_array_new(FALSE, FALSE, sizeof(struct target_view));

        g_array_append_vals(targets, event->u.pool->targets,
                            (guint)event->u.pool->target_count);
        g_hash_table_insert(
            core->pools, g_memdup2(&event->u.pool->id.value, sizeof(uint64_t)),
            targets);
        break;
    }
    case FLOW_EV_STOP:
        out->items = g_renew(struct flow_action, out->items, out->count + 1);
        out->items[out->count++].kind = FLOW_ACT_STOPPED;
        out->capacity = out->count;
        break;
    case FLOW_EV_TICK:
    case FLOW_EV_DAEMONS:
    case FLOW_EV_MESSAGE:
    case FLOW_EV__MAX:
        break;
    }
}

const struct flow_counters *
flow_core_counters(const struct flow_core *core)
{
    return &core->counters;
}

void
flow_actions_clear(struct flow_actions *actions)
{
    for (size_t i = 0; i < actions->count; i++) {
        if (actions->items[i].kind == FLOW_ACT_SEND) {
            flow_message_free(actions->items[i].u.send.message);
        }
    }
    actions->count = 0;
}

void
flow_actions_free(struct flow_actions *actions)
{
    flow_actions_clear(actions);
    g_free(actions->items);
    *actions = (struct flow_actions){0};
}

uint64_t
flow_core_target_flows(const struct flow_core *core, struct pool_id pool,
                       uint32_t address)
{
    (void)core;
    (void)pool;
    (void)address;
    return 0;
}

bool
flow_core_leads(const struct flow_core *core, struct pool_id pool)
{
    (void)core;
    (void)pool;
    return true;
}
