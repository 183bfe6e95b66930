/*
 * Routes, and their change from one pool to another.  New flows open in the
 * new pool only once every live daemon has the new version.  Until the older
 * flows have ended, a packet that the new pool's owner does not know goes to
 * the former pool.
 */
#include "flow/flow_state.h"

/* Interval of ROUTES messages to a peer that is up to date. */
#define ROUTES_REPEAT_US UINT64_C(10000000)
/* How long a joining daemon waits for its peers' versions. */
#define SYNC_LIMIT_US 1000000
#define RATE_UNIT     1000000 /* tokens of one new flow */
#define FORMER_WORDS  3       /* route, former pool, version and a flag */
#define SLOTS_MIN     16
#define HASH_FACTOR   UINT64_C(0x9e3779b97f4a7c15)

static uint64_t route_key(uint32_t, uint16_t);
static struct flow_route_slot *find_slot(const struct flow_core *, uint64_t);
static void index_routes(struct flow_core *);
static struct flow_route *find_exact(const struct flow_core *, uint32_t,
                                     uint16_t);
static void set_route(struct flow_core *, const struct route_view *,
                      uint64_t version);
static void remove_missing(struct flow_core *);
static void append_former_pools(const struct flow_core *,
                                struct flow_message *);
static void apply_former_pool(struct flow_core *, const uint64_t *words);
static void update_applied_everywhere(struct flow_core *);
static void update_sync(struct flow_core *);
static struct flow_peer *find_peer(struct flow_core *, struct daemon_id);

/* Return the key of the route of PORT at ADDRESS. */
static uint64_t
route_key(uint32_t address, uint16_t port)
{
    return (uint64_t)address << 16 | port;
}

/* Return the slot of KEY, or the free one where it belongs. */
static struct flow_route_slot *
find_slot(const struct flow_core *core, uint64_t key)
{
    uint32_t mask = core->route_slot_count - 1;
    uint32_t i = (uint32_t)((key * HASH_FACTOR) >> 32) & mask;

    while (core->route_slots[i].route != NULL &&
           core->route_slots[i].key != key) {
        i = (i + 1) & mask;
    }
    return &core->route_slots[i];
}

/* Rebuild the slots from the routes, at most half of them used. */
static void
index_routes(struct flow_core *core)
{
    uint32_t count = SLOTS_MIN;

    while (count < core->routes->len * 2) {
        count *= 2;
    }
    g_free(core->route_slots);
    core->route_slots = g_new0(struct flow_route_slot, count);
    core->route_slot_count = count;
    for (guint i = 0; i < core->routes->len; i++) {
        struct flow_route *route = core->routes->pdata[i];
        uint64_t key = route_key(route->view.address, route->view.port);
        struct flow_route_slot *slot = find_slot(core, key);

        slot->key = key;
        slot->route = route;
    }
}

/* Return the route of exactly PORT at ADDRESS, or NULL. */
static struct flow_route *
find_exact(const struct flow_core *core, uint32_t address, uint16_t port)
{
    if (core->route_slot_count == 0) {
        return NULL;
    }
    return find_slot(core, route_key(address, port))->route;
}

/* Return the route of PORT at ADDRESS, or of all ports of ADDRESS, or NULL. */
struct flow_route *
flow_route_find(const struct flow_core *core, uint32_t address, uint16_t port)
{
    struct flow_route *route = find_exact(core, address, port);

    return route != NULL || port == 0 ? route : find_exact(core, address, 0);
}

/*
 * Add or update the route in VIEW, of VERSION of the routes.  A new route of a
 * single port starts from the pool of the route of all ports, so that its
 * flows are kept.
 */
static void
set_route(struct flow_core *core, const struct route_view *view,
          uint64_t version)
{
    struct flow_pool *pool = flow_pool_get(core, view->pool);
    struct flow_route *route = find_exact(core, view->address, view->port);
    struct flow_route *covering =
        flow_route_find(core, view->address, view->port);

    if (route == NULL) {
        route = g_new0(struct flow_route, 1);
        route->pool = covering == NULL ? pool : covering->pool;
        route->tokens_us = core->now_us;
        route->tokens = (int64_t)view->new_flows_per_s * RATE_UNIT;
        route->applied_everywhere = true;
        g_ptr_array_add(core->routes, route);
    }
    if (route->pool != pool) {
        route->former = route->pool;
        route->pool = pool;
        route->changed_version = version;
        route->former_until_us =
            core->now_us + (uint64_t)core->options.tcp_idle_s * US_PER_S;
        route->applied_everywhere = false;
    }
    route->view = *view;
    route->removed = false;
}

/* Remove the routes that the newest version does not have. */
static void
remove_missing(struct flow_core *core)
{
    for (guint i = core->routes->len; i-- > 0;) {
        struct flow_route *route = core->routes->pdata[i];

        if (route->removed) {
            g_ptr_array_remove_index_fast(core->routes, i);
        }
    }
}

/* Replace all routes; a version older than the one applied is ignored. */
void
flow_view_routes(struct flow_core *core, const struct flow_event *event)
{
    uint64_t version = event->u.routes.version;

    if (version < core->routes_version) {
        return;
    }
    for (guint i = 0; i < core->routes->len; i++) {
        struct flow_route *route = core->routes->pdata[i];

        route->removed = true;
    }
    for (size_t i = 0; i < event->u.routes.count; i++) {
        set_route(core, &event->u.routes.items[i], version);
    }
    remove_missing(core);
    index_routes(core);
    core->routes_version = version;
    for (guint i = 0; i < core->peers->len; i++) {
        g_array_index(core->peers, struct flow_peer, i).sent_us = 0;
    }
    update_applied_everywhere(core);
}

/* Return the peer with ID, or NULL; valid until the views change. */
static struct flow_peer *
find_peer(struct flow_core *core, struct daemon_id id)
{
    for (guint i = 0; i < core->peers->len; i++) {
        struct flow_peer *peer =
            &g_array_index(core->peers, struct flow_peer, i);

        if (peer->view.id.value == id.value) {
            return peer;
        }
    }
    return NULL;
}

/*
 * Append the routes that have a former pool to MESSAGE, for peers that join.
 */
static void
append_former_pools(const struct flow_core *core, struct flow_message *message)
{
    message->records = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    for (guint i = 0; i < core->routes->len; i++) {
        const struct flow_route *route = core->routes->pdata[i];
        uint64_t words[FORMER_WORDS];

        if (route->former == NULL) {
            continue;
        }
        words[0] = route_key(route->view.address, route->view.port);
        words[1] = route->former->id.value;
        words[2] = route->changed_version << 1 | route->applied_everywhere;
        g_array_append_vals(message->records, words, FORMER_WORDS);
    }
}

/*
 * Apply a route's former pool, which a peer sent, if this daemon joined after
 * the change.  If the peer knows that every daemon has the version, that is
 * noted.
 */
static void
apply_former_pool(struct flow_core *core, const uint64_t *words)
{
    struct flow_route *route =
        find_exact(core, (uint32_t)(words[0] >> 16), (uint16_t)words[0]);
    struct pool_id former = {words[1]};
    uint64_t version = words[2] >> 1;
    bool applied_everywhere = (words[2] & 1) != 0;

    if (route == NULL || route->pool->id.value == former.value ||
        version > core->routes_version || version < route->changed_version) {
        return;
    }
    if (route->former != NULL) {
        route->applied_everywhere =
            route->applied_everywhere || applied_everywhere;
        return;
    }
    route->former = flow_pool_get(core, former);
    route->changed_version = version;
    route->applied_everywhere = applied_everywhere;
    route->former_until_us =
        core->now_us + (uint64_t)core->options.tcp_idle_s * US_PER_S;
}

/* Return true if the peer ID has the routes that are applied here. */
bool
flow_route_peer_up_to_date(struct flow_core *core, struct daemon_id id)
{
    const struct flow_peer *peer = find_peer(core, id);

    return peer != NULL && peer->version_received &&
           peer->routes_version >= core->routes_version;
}

/*
 * Handle a peer's version of the routes.  The message's position is this
 * daemon's routes version as known to the peer; if it is outdated, the version
 * is sent again.
 */
void
flow_route_receive(struct flow_core *core, struct daemon_id from,
                   const struct flow_message *message)
{
    struct flow_peer *peer = find_peer(core, from);

    if (peer == NULL) {
        return;
    }
    peer->version_received = true;
    peer->routes_version = MAX(peer->routes_version, message->seq);
    for (guint i = 0;
         message->records != NULL && i + FORMER_WORDS <= message->records->len;
         i += FORMER_WORDS) {
        apply_former_pool(core, &g_array_index(message->records, uint64_t, i));
    }
    if (message->position < core->routes_version) {
        peer->sent_us = 0;
    }
    update_applied_everywhere(core);
}

/*
 * Note which routes every live daemon has in their newest version, and end
 * expired changes of pools.
 */
static void
update_applied_everywhere(struct flow_core *core)
{
    uint64_t lowest = core->routes_version;

    for (guint i = 0; i < core->peers->len; i++) {
        lowest = MIN(
            lowest,
            g_array_index(core->peers, struct flow_peer, i).routes_version);
    }
    for (guint i = 0; i < core->routes->len; i++) {
        struct flow_route *route = core->routes->pdata[i];

        if (lowest >= route->changed_version) {
            route->applied_everywhere = true;
        }
        if (route->former != NULL && core->now_us > route->former_until_us) {
            route->former = NULL;
        }
    }
}

/*
 * Note when a joining daemon may decide by its routes: once it has received
 * the versions of its peers, or has waited for them long enough, and no peer
 * has a newer one.
 */
static void
update_sync(struct flow_core *core)
{
    bool late = core->now_us > core->joined_us + SYNC_LIMIT_US;

    if (core->synced || !core->views_known) {
        return;
    }
    for (guint i = 0; i < core->peers->len; i++) {
        const struct flow_peer *peer =
            &g_array_index(core->peers, struct flow_peer, i);

        if ((!peer->version_received && !late) ||
            peer->routes_version > core->routes_version) {
            return;
        }
    }
    core->synced = true;
}

/*
 * Send peers the version applied here: on change until acknowledged, then
 * every ROUTES_REPEAT_US.
 */
void
flow_route_tick(struct flow_core *core)
{
    for (guint i = 0; i < core->peers->len; i++) {
        struct flow_peer *peer =
            &g_array_index(core->peers, struct flow_peer, i);
        bool behind = !peer->version_received ||
                      peer->routes_version < core->routes_version;
        uint64_t wait = behind ? FLOW_RESEND_US : ROUTES_REPEAT_US;
        struct flow_message *message;

        if (peer->sent_us != 0 && core->now_us < peer->sent_us + wait) {
            continue;
        }
        message = flow_send(core, peer->view.id, FLOW_MSG_ROUTES,
                            (struct pool_id){0});
        message->seq = core->routes_version;
        message->position = peer->version_received ? peer->routes_version : 0;
        append_former_pools(core, message);
        peer->sent_us = core->now_us;
    }
    update_applied_everywhere(core);
    update_sync(core);
}

/*
 * Take the tokens of one new flow from the route's token bucket; return false
 * if it has too few.
 */
bool
flow_route_admit_flow(struct flow_core *core, struct flow_route *route)
{
    int64_t rate = route->view.new_flows_per_s;

    if (rate == 0) {
        return true;
    }
    route->tokens += (int64_t)(core->now_us - route->tokens_us) * rate;
    route->tokens = MIN(route->tokens, rate * RATE_UNIT);
    route->tokens_us = core->now_us;
    if (route->tokens < RATE_UNIT) {
        return false;
    }
    route->tokens -= RATE_UNIT;
    return true;
}
