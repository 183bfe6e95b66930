/* Keeps the newest views of pools, targets and other daemons. */
#include "flow/flow_state.h"

static void init_replicas(struct flow_pool *);
static void add_target(struct flow_core *, struct flow_pool *,
                       const struct target_view *);
static void mark_missing(struct flow_core *, struct flow_pool *,
                         const GArray *former);
static const struct daemon_view *find_view(const struct flow_core *,
                                           struct daemon_id);

/* Return the pool with ID, or NULL. */
struct flow_pool *
flow_pool_find(const struct flow_core *core, struct pool_id id)
{
    for (guint i = 0; i < core->pools->len; i++) {
        struct flow_pool *pool = core->pools->pdata[i];

        if (pool->id.value == id.value) {
            return pool;
        }
    }
    return NULL;
}

/* Allocate the queues of the replicas. */
static void
init_replicas(struct flow_pool *pool)
{
    for (int role = 0; role < FLOW_REPLICA__MAX; role++) {
        pool->replicas[role].queue =
            g_array_new(FALSE, FALSE, sizeof(uint64_t));
    }
}

/* Return the pool with ID; if it is unknown, it is added without targets. */
struct flow_pool *
flow_pool_get(struct flow_core *core, struct pool_id id)
{
    struct flow_pool *pool = flow_pool_find(core, id);

    if (pool != NULL) {
        return pool;
    }
    pool = g_new0(struct flow_pool, 1);
    pool->id = id;
    pool->members = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    pool->slots = g_array_new(FALSE, TRUE, sizeof(struct flow_slot));
    pool->followers = g_array_new(FALSE, TRUE, sizeof(struct flow_follower));
    pool->no_map = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    pool->inbound_counts = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    flow_table_init(&pool->table);
    init_replicas(pool);
    g_ptr_array_add(core->pools, pool);
    return pool;
}

/* Free the pool at DATA. */
void
flow_pool_free(void *data)
{
    struct flow_pool *pool = data;

    flow_map_free(pool);
    flow_table_clear(&pool->table);
    g_array_unref(pool->members);
    g_array_unref(pool->slots);
    g_array_unref(pool->followers);
    g_array_unref(pool->no_map);
    g_array_unref(pool->inbound_counts);
    for (int role = 0; role < FLOW_REPLICA__MAX; role++) {
        g_array_unref(pool->replicas[role].queue);
    }
    g_free(pool);
}

/*
 * Return the index of the endpoint of KEY in POOL; if it is unknown, it is
 * added as missing.
 */
uint32_t
flow_endpoint_get(struct flow_core *core, struct pool_id pool,
                  struct target_key key)
{
    struct flow_endpoint endpoint = {
        .pool = pool, .key = key, .missing_since_us = core->now_us};

    for (guint i = core->endpoints->len; i-- > 0;) {
        const struct flow_endpoint *known = flow_endpoint_at(core, i);

        if (known->key.address == key.address &&
            known->key.incarnation == key.incarnation &&
            known->pool.value == pool.value) {
            return i;
        }
    }
    g_array_append_val(core->endpoints, endpoint);
    return core->endpoints->len - 1;
}

/* Add the target in VIEW to the members of the pool. */
static void
add_target(struct flow_core *core, struct flow_pool *pool,
           const struct target_view *view)
{
    uint32_t index = flow_endpoint_get(core, pool->id, view->key);
    struct flow_endpoint *endpoint = flow_endpoint_at(core, index);

    endpoint->present = true;
    endpoint->view = *view;
    g_array_append_val(pool->members, index);
}

/* Mark those of FORMER that the pool's view no longer has as missing. */
static void
mark_missing(struct flow_core *core, struct flow_pool *pool,
             const GArray *former)
{
    for (guint i = 0; i < former->len; i++) {
        uint32_t index = g_array_index(former, uint32_t, i);
        bool found = false;

        for (guint j = 0; j < pool->members->len && !found; j++) {
            found = g_array_index(pool->members, uint32_t, j) == index;
        }
        if (!found) {
            flow_endpoint_at(core, index)->present = false;
            flow_endpoint_at(core, index)->missing_since_us = core->now_us;
        }
    }
}

/* Replace the view of a pool by its newest one. */
void
flow_view_pool(struct flow_core *core, const struct pool_view *view)
{
    struct flow_pool *pool = flow_pool_get(core, view->id);
    GArray *former = pool->members;

    pool->has_view = true;
    pool->prefer = view->prefer;
    pool->steered_wanted = view->prefer == POOL_PREFER_BALANCE
                               ? core->options.steered_balance
                               : core->options.steered_flows;
    pool->members = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    for (size_t i = 0; i < view->target_count; i++) {
        add_target(core, pool, &view->targets[i]);
    }
    mark_missing(core, pool, former);
    g_array_unref(former);
    pool->redistribute = true;
}

/*
 * Replace the views of all daemons by the newest ones.  A peer keeps its state
 * unless it restarted.
 */
void
flow_view_daemons(struct flow_core *core, const struct flow_event *event)
{
    GArray *former = core->peers;

    g_array_set_size(core->views, 0);
    g_array_append_vals(core->views, event->u.daemons.items,
                        (guint)event->u.daemons.count);
    core->peers = g_array_new(FALSE, TRUE, sizeof(struct flow_peer));
    for (guint i = 0; i < core->views->len; i++) {
        const struct daemon_view *view =
            &g_array_index(core->views, struct daemon_view, i);
        struct flow_peer peer = {.view = *view};

        if (!view->entry || view->state == DAEMON_DEAD ||
            view->id.value == core->options.self.value) {
            continue;
        }
        for (guint j = 0; j < former->len; j++) {
            struct flow_peer *old =
                &g_array_index(former, struct flow_peer, j);

            if (old->view.id.value == view->id.value &&
                old->view.incarnation == view->incarnation) {
                peer = *old;
                peer.view = *view;
            }
        }
        g_array_append_val(core->peers, peer);
    }
    g_array_unref(former);
    if (!core->views_known) {
        core->views_known = true;
        core->joined_us = core->now_us;
    }
    for (guint i = 0; i < core->pools->len; i++) {
        flow_ownership_update_relay(core, core->pools->pdata[i]);
    }
}

/* Return the view of the daemon ID, or NULL. */
static const struct daemon_view *
find_view(const struct flow_core *core, struct daemon_id id)
{
    for (guint i = 0; i < core->views->len; i++) {
        const struct daemon_view *view =
            &g_array_index(core->views, struct daemon_view, i);

        if (view->id.value == id.value) {
            return view;
        }
    }
    return NULL;
}

/*
 * Return a live peer that is not leaving, the same one as long as the views do
 * not change; 0 if there is none.
 */
struct daemon_id
flow_peer_any(const struct flow_core *core)
{
    for (guint i = 0; i < core->peers->len; i++) {
        const struct flow_peer *peer =
            &g_array_index(core->peers, struct flow_peer, i);

        if (peer->view.state == DAEMON_ALIVE) {
            return peer->view.id;
        }
    }
    return (struct daemon_id){0};
}

/* Return true if the views have the daemon ID and it is not dead. */
bool
flow_peer_alive(const struct flow_core *core, struct daemon_id id)
{
    const struct daemon_view *view = find_view(core, id);

    return view != NULL && view->state != DAEMON_DEAD;
}

/* Return true if the views have the daemon ID, dead or alive. */
bool
flow_peer_known(const struct flow_core *core, struct daemon_id id)
{
    return find_view(core, id) != NULL;
}

/*
 * Return the owner of POOL by the views without the daemon EXCEPT; 0 if there
 * is none.  This daemon does not count while it stops.
 */
struct daemon_id
flow_view_owner(const struct flow_core *core, struct pool_id pool,
                struct daemon_id except)
{
    struct daemon_id owner;
    GArray *rest = g_array_new(FALSE, FALSE, sizeof(struct daemon_view));

    for (guint i = 0; i < core->views->len; i++) {
        struct daemon_view view =
            g_array_index(core->views, struct daemon_view, i);

        if (core->stopping && view.id.value == core->options.self.value) {
            view.state = DAEMON_LEAVING;
        }
        if (view.id.value != except.value) {
            g_array_append_val(rest, view);
        }
    }
    owner = view_owner(pool, (const struct daemon_view *)(void *)rest->data,
                       rest->len);
    g_array_unref(rest);
    return owner;
}

/* Return the daemon that should hold the replica of OWNER. */
struct daemon_id
flow_view_backup(const struct flow_core *core, struct pool_id pool,
                 struct daemon_id owner)
{
    return flow_view_owner(core, pool, owner);
}
