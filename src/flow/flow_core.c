/* Creates a flow core and dispatches its events. */
#include "flow/flow_core.h"

#include <string.h>

#include "flow/flow_state.h"

#define DEFAULT_BUCKETS             4096
#define DEFAULT_STEERED_FLOWS       16
#define DEFAULT_STEERED_BALANCE     64
#define DEFAULT_SLACK_FLOWS         20
#define DEFAULT_SLACK_BALANCE       2
#define DEFAULT_REPLICA_BYTES_PER_S 2000
#define DEFAULT_FLOWS_MAX           2000000
#define DEFAULT_CACHE_ENTRIES       131072
#define DEFAULT_TCP_IDLE_S          9000
#define DEFAULT_UDP_IDLE_S          120
#define DEFAULT_ACK_LIMIT_MS        2000
#define DEFAULT_SILENT_MS           10000
#define ACTIONS_MIN                 16

static void set_default(uint32_t *, uint32_t);
static void set_defaults(struct flow_options *);
static void receive_message(struct flow_core *, struct daemon_id,
                            const struct flow_message *);
static void tick(struct flow_core *);
static void update_gauges(struct flow_core *);

static const char *const reason_names[FLOW_REASON__MAX] = {
    "none",        "no_route",       "not_stream",  "no_map",
    "no_lead",     "no_target",      "hops",        "target_unknown",
    "target_gone", "foreign_answer", "target_full", "flows_max",
    "route_rate",  "silent",
};

/*
 * Return the name of REASON in counters and spans, "unknown" if it is out of
 * range.
 */
const char *
flow_reason_name(enum flow_reason reason)
{
    return reason < FLOW_REASON__MAX ? reason_names[reason] : "unknown";
}

/* Set *MEMBER to VALUE if it is 0. */
static void
set_default(uint32_t *member, uint32_t value)
{
    if (*member == 0) {
        *member = value;
    }
}

/* Set all options that are 0 to their defaults. */
static void
set_defaults(struct flow_options *options)
{
    set_default(&options->buckets, DEFAULT_BUCKETS);
    set_default(&options->steered_flows, DEFAULT_STEERED_FLOWS);
    set_default(&options->steered_balance, DEFAULT_STEERED_BALANCE);
    set_default(&options->slack_flows, DEFAULT_SLACK_FLOWS);
    set_default(&options->slack_balance, DEFAULT_SLACK_BALANCE);
    set_default(&options->replica_bytes_per_s, DEFAULT_REPLICA_BYTES_PER_S);
    set_default(&options->flows_max, DEFAULT_FLOWS_MAX);
    set_default(&options->cache_entries, DEFAULT_CACHE_ENTRIES);
    set_default(&options->tcp_idle_s, DEFAULT_TCP_IDLE_S);
    set_default(&options->udp_idle_s, DEFAULT_UDP_IDLE_S);
    set_default(&options->ack_limit_ms, DEFAULT_ACK_LIMIT_MS);
    set_default(&options->silent_ms, DEFAULT_SILENT_MS);
}

/*
 * Return a core without routes, pools and daemons; freed by flow_core_free().
 */
struct flow_core *
flow_core_new(const struct flow_options *options)
{
    struct flow_core *core = g_new0(struct flow_core, 1);

    core->options = *options;
    set_defaults(&core->options);
    core->rand = g_rand_new_with_seed((guint32)options->seed);
    core->endpoints = g_array_new(FALSE, TRUE, sizeof(struct flow_endpoint));
    core->pools = g_ptr_array_new_with_free_func(flow_pool_free);
    core->routes = g_ptr_array_new_with_free_func(g_free);
    core->peers = g_array_new(FALSE, TRUE, sizeof(struct flow_peer));
    core->views = g_array_new(FALSE, TRUE, sizeof(struct daemon_view));
    core->suspects =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    flow_cache_init(&core->cache, core->options.cache_entries);
    return core;
}

/* Free CORE, which may be NULL. */
void
flow_core_free(struct flow_core *core)
{
    if (core == NULL) {
        return;
    }
    g_rand_free(core->rand);
    g_array_unref(core->endpoints);
    g_ptr_array_unref(core->pools);
    g_ptr_array_unref(core->routes);
    g_free(core->route_slots);
    g_array_unref(core->peers);
    g_array_unref(core->views);
    g_hash_table_unref(core->suspects);
    flow_cache_clear(&core->cache);
    g_free(core);
}

/*
 * Append an action of KIND to the actions of this step and return it; valid
 * until the next one is appended.
 */
struct flow_action *
flow_add_action(struct flow_core *core, enum flow_action_kind kind)
{
    struct flow_actions *out = core->out;
    struct flow_action *action;

    if (out->count == out->capacity) {
        out->capacity = MAX(ACTIONS_MIN, out->capacity * 2);
        out->items = g_renew(struct flow_action, out->items, out->capacity);
    }
    action = &out->items[out->count++];
    *action = (struct flow_action){.kind = kind};
    return action;
}

/*
 * Append a message to TO and return it, to be filled by the caller; the action
 * owns it.
 */
struct flow_message *
flow_send(struct flow_core *core, struct daemon_id to,
          enum flow_message_kind kind, struct pool_id pool)
{
    struct flow_action *action = flow_add_action(core, FLOW_ACT_SEND);

    action->u.send.to = to;
    action->u.send.message = flow_message_new(kind, pool);
    return action->u.send.message;
}

/* Dispatch a message from another daemon by its kind. */
static void
receive_message(struct flow_core *core, struct daemon_id from,
                const struct flow_message *message)
{
    switch (message->kind) {
    case FLOW_MSG_MAP:
        flow_map_receive(core, from, message);
        break;
    case FLOW_MSG_MAP_ACK:
        flow_map_receive_ack(core, from, message);
        break;
    case FLOW_MSG_MAP_QUERY:
        flow_ownership_receive_query(core, from, message);
        break;
    case FLOW_MSG_NO_MAP:
        flow_ownership_receive_no_map(core, from, message);
        break;
    case FLOW_MSG_RECORDS:
    case FLOW_MSG_COUNTS:
        flow_replica_receive(core, from, message);
        break;
    case FLOW_MSG_RECORDS_ACK:
        flow_replica_receive_ack(core, from, message);
        break;
    case FLOW_MSG_HANDOVER:
        flow_ownership_receive_handover(core, from, message);
        break;
    case FLOW_MSG_ROUTES:
        flow_route_receive(core, from, message);
        break;
    case FLOW_MSG_ACTIVITY_QUERY:
        flow_silent_receive_query(core, from, message);
        break;
    case FLOW_MSG_ACTIVITY_REPLY:
        flow_silent_receive_reply(core, from, message);
        break;
    case FLOW_MSG_FLOW_ENDED:
        flow_silent_receive_flow_ended(core, message);
        break;
    case FLOW_MSG__MAX:
        break;
    }
}

/* Update the gauge of the memory of the flow tables. */
static void
update_gauges(struct flow_core *core)
{
    core->counters.table_bytes = 0;
    for (guint i = 0; i < core->pools->len; i++) {
        const struct flow_pool *pool = core->pools->pdata[i];

        core->counters.table_bytes += flow_table_bytes(&pool->table);
    }
}

/* Do the periodic work of routes, pools and suspected flows. */
static void
tick(struct flow_core *core)
{
    flow_route_tick(core);
    for (guint i = 0; i < core->pools->len; i++) {
        struct flow_pool *pool = core->pools->pdata[i];

        flow_ownership_tick(core, pool);
        flow_ownership_update_relay(core, pool);
        flow_owner_sweep(core, pool);
        if (pool->owned_here) {
            flow_map_update_followers(core, pool);
            flow_move_tick(core, pool);
            flow_map_publish(core, pool);
            flow_replica_tick(core, pool);
        }
    }
    flow_silent_tick(core);
    flow_ownership_stop_tick(core);
    update_gauges(core);
}

/* Handle one event at NOW_US, in microseconds; actions are appended to OUT. */
void
flow_core_step(struct flow_core *core, uint64_t now_us,
               const struct flow_event *event, struct flow_actions *out)
{
    core->now_us = now_us;
    core->out = out;
    switch (event->kind) {
    case FLOW_EV_TICK:
        tick(core);
        break;
    case FLOW_EV_ROUTES:
        flow_view_routes(core, event);
        break;
    case FLOW_EV_POOL:
        flow_view_pool(core, event->u.pool);
        break;
    case FLOW_EV_DAEMONS:
        flow_view_daemons(core, event);
        break;
    case FLOW_EV_MESSAGE:
        receive_message(core, event->u.message.from, event->u.message.message);
        break;
    case FLOW_EV_STOP:
        core->stopping = true;
        core->stop_us = now_us;
        break;
    case FLOW_EV__MAX:
        break;
    }
    core->out = NULL;
}

/*
 * Return the counters.  Gauges are updated by ticks and packets; the gauge
 * exceptions is not set.
 */
const struct flow_counters *
flow_core_counters(const struct flow_core *core)
{
    return &core->counters;
}

/* Remove and free all actions with their messages; the array is kept. */
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

/* Free all actions with their messages and the array. */
void
flow_actions_free(struct flow_actions *actions)
{
    flow_actions_clear(actions);
    g_free(actions->items);
    *actions = (struct flow_actions){0};
}

/*
 * Return the open flows of the target at ADDRESS as the pool owner counts
 * them; 0 if this daemon does not own the pool.
 */
uint64_t
flow_core_target_flows(const struct flow_core *core, struct pool_id id,
                       uint32_t address)
{
    const struct flow_pool *pool = flow_pool_find(core, id);
    uint64_t count = 0;

    if (pool == NULL || !pool->owned_here) {
        return 0;
    }
    for (guint i = 0; i < pool->slots->len; i++) {
        const struct flow_slot *slot = flow_slot_at(pool, i);

        if (slot->key.address == address) {
            count += slot->count + slot->unidentified;
        }
    }
    return count;
}

/* Return true if this daemon owns the pool now. */
bool
flow_core_owns_pool(const struct flow_core *core, struct pool_id id)
{
    const struct flow_pool *pool = flow_pool_find(core, id);

    return pool != NULL && pool->owned_here;
}
