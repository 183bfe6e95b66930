/* Targets: announcements in, views out, and the probes of endpoints. */
#include "daemon/daemon_private.h"

#include <string.h>

#include <jansson.h>

#include "base/err.h"
#include "base/log.h"
#include "edge/announce.h"

#define EXPIRED_LIFE_US  1              /* an announcement that ended */
#define SPREAD_LIFE_US   86400000000ULL /* the spread core expires */
#define HTTP_OK          200
#define HTTP_BAD_REQUEST 400
#define HTTP_OK_MAX      299
#define LOAD_TOKEN       (1ULL << 63) /* marks a load probe's token */

static void act(struct daemon *, const struct pool_action *);
static void publish(struct daemon *, const struct pool_view *);
static void remember_endpoint(struct daemon *, const struct announcement *);
static void endpoint_free(void *);
static void start_probe(struct daemon *, const struct pool_action *);
static void on_probe(void *, uint64_t token, const struct probe_result *);
static void answer_fault(struct daemon *, const struct http_request *,
                         const GError *);

static void
endpoint_free(void *data)
{
    struct daemon_endpoint *endpoint = data;

    g_free(endpoint->health_url);
    g_free(endpoint->load_url);
    g_free(endpoint);
}

void
daemon_target_start(struct daemon *daemon)
{
    struct pool_options options = {
        .announce_life_us = SPREAD_LIFE_US,
        .probe_every_us = (uint64_t)daemon->settings->probe_interval_ms * 1000,
        .seed = (uint32_t)daemon->seed,
    };
    struct probe_handler handler = {on_probe, daemon};

    daemon->pool = pool_core_new(&options);
    daemon->probes = probe_client_new(&daemon->loop, handler);
    daemon->endpoints = g_hash_table_new_full(NULL, NULL, NULL, endpoint_free);
}

void
daemon_target_stop(struct daemon *daemon)
{
    pool_core_free(daemon->pool);
    probe_client_free(daemon->probes);
    g_hash_table_destroy(daemon->endpoints);
}

/* Give a pool's view to the cores that choose among its targets. */
static void
publish(struct daemon *daemon, const struct pool_view *view)
{
    struct flow_event flow = {.kind = FLOW_EV_POOL};
    struct call_event call = {.kind = CALL_EV_POOL};

    flow.u.pool = view;
    daemon_packet_event(daemon, &flow);
    call.u.pool = *view;
    daemon_call_event(daemon, &call);
}

static void
act(struct daemon *daemon, const struct pool_action *action)
{
    struct call_event gone = {.kind = CALL_EV_POOL_GONE};

    switch (action->kind) {
    case POOL_ACT_VIEW:
        publish(daemon, &action->u.view);
        break;
    case POOL_ACT_DELETED:
        gone.u.pool_gone = action->u.deleted;
        daemon_call_event(daemon, &gone);
        break;
    case POOL_ACT_PROBE:
        start_probe(daemon, action);
        break;
    case POOL_ACT_REFUSE:
        counter_add(&daemon->counters, COUNTER_ANNOUNCEMENTS_BAD, 1);
        break;
    case POOL_ACT__MAX:
        break;
    }
}

/* Step the pool core and carry out its actions. */
void
daemon_target_event(struct daemon *daemon, const struct pool_event *event)
{
    struct pool_actions actions = {0};

    pool_core_step(daemon->pool, daemon_now_us(), event, &actions);
    for (size_t i = 0; i < actions.count; i++) {
        act(daemon, &actions.items[i]);
    }
    pool_actions_clear(&actions);
}

void
daemon_target_tick(struct daemon *daemon, uint64_t now_us)
{
    struct pool_event event = {.kind = POOL_EV_TICK};

    (void)now_us;
    daemon_target_event(daemon, &event);
}

/* A target as the spread core now knows it, from here or from a peer. */
void
daemon_target_spread(struct daemon *daemon, const struct spread_target *target)
{
    struct pool_event event = {.kind = POOL_EV_ANNOUNCE};
    struct pool_announcement *out = &event.u.announce.announcement;
    const struct target_view *view = &target->view;

    out->pool = target->pool;
    out->key = view->key;
    out->port = view->port;
    out->weight = view->weight;
    out->slots = view->slots;
    out->connections = view->connections;
    out->zone = view->zone;
    out->state = view->state;
    event.u.announce.life_us = SPREAD_LIFE_US;
    if (view->state == TARGET_DOWN) {
        out->state = TARGET_DRAINING;
        event.u.announce.life_us = EXPIRED_LIFE_US;
    }
    daemon_target_event(daemon, &event);
}

/* Keep the URLs of a target that announced itself here. */
static void
remember_endpoint(struct daemon *daemon, const struct announcement *from)
{
    gpointer key = GUINT_TO_POINTER(from->target.key.address);
    struct daemon_endpoint *endpoint =
        g_hash_table_lookup(daemon->endpoints, key);

    if (endpoint == NULL) {
        endpoint = g_new0(struct daemon_endpoint, 1);
        g_hash_table_insert(daemon->endpoints, key, endpoint);
    }
    endpoint->key = from->target.key;
    endpoint->pool = view_pool_id(from->pool);
    g_free(endpoint->health_url);
    g_free(endpoint->load_url);
    endpoint->health_url = g_strdup(from->health_url);
    endpoint->load_url = g_strdup(from->load_url);
}

static void
answer_fault(struct daemon *daemon, const struct http_request *request,
             const GError *error)
{
    json_t *object =
        json_pack("{s:s, s:s}", "error", err_name((enum err_code)error->code),
                  "message", error->message);
    char *text = json_dumps(object, JSON_COMPACT);

    http_answer(daemon->http, request->handle, HTTP_BAD_REQUEST,
                "application/json", text, strlen(text));
    free(text);
    json_decref(object);
}

/* Answer POST /v1/announce. */
void
daemon_target_announce(struct daemon *daemon,
                       const struct http_request *request)
{
    char done[64];
    struct announcement announcement;
    struct spread_event event = {.kind = SPREAD_EV_ANNOUNCED};
    GError *error = NULL;

    if (!announce_parse(request->body, request->body_len, &announcement,
                        &error)) {
        counter_add(&daemon->counters, COUNTER_ANNOUNCEMENTS_BAD, 1);
        answer_fault(daemon, request, error);
        g_error_free(error);
        return;
    }
    counter_add(&daemon->counters, COUNTER_ANNOUNCEMENTS, 1);
    remember_endpoint(daemon, &announcement);
    event.u.announced.pool = view_pool_id(announcement.pool);
    event.u.announced.view = announcement.target;
    event.u.announced.life_ms = (uint32_t)daemon->settings->announce_ttl_ms;
    daemon_spread_event(daemon, &event);
    g_snprintf(done, sizeof(done), "{\"announced\":true,\"vni\":%u}\n",
               view_pool_vni(event.u.announced.pool));
    http_answer(daemon->http, request->handle, HTTP_OK, "application/json",
                done, strlen(done));
}

/* Read the target's endpoints, if it announced itself to this daemon. */
static void
start_probe(struct daemon *daemon, const struct pool_action *action)
{
    uint32_t address = action->u.probe.key.address;
    const struct daemon_endpoint *endpoint =
        g_hash_table_lookup(daemon->endpoints, GUINT_TO_POINTER(address));
    long timeout_ms = (long)daemon->settings->probe_timeout_ms;
    uint64_t token = address;

    if (endpoint == NULL || daemon->phase != DAEMON_SERVING ||
        endpoint->key.incarnation != action->u.probe.key.incarnation) {
        return;
    }
    if (endpoint->health_url[0] != '\0') {
        probe_start(daemon->probes, endpoint->health_url, timeout_ms, token);
    }
    if (endpoint->load_url[0] != '\0') {
        probe_start(daemon->probes, endpoint->load_url, timeout_ms,
                    token | LOAD_TOKEN);
    }
}

static void
on_probe(void *user, uint64_t token, const struct probe_result *result)
{
    struct daemon *daemon = user;
    const struct daemon_endpoint *endpoint = g_hash_table_lookup(
        daemon->endpoints, GUINT_TO_POINTER((uint32_t)token));
    bool ok = result->answered && result->status >= HTTP_OK &&
              result->status <= HTTP_OK_MAX;
    struct pool_event event = {0};

    counter_add(&daemon->counters,
                ok ? COUNTER_PROBES_OK : COUNTER_PROBES_FAILED, 1);
    if (endpoint == NULL) {
        return;
    }
    if ((token & LOAD_TOKEN) == 0) {
        event.kind = POOL_EV_HEALTH;
        event.u.health.key = endpoint->key;
        event.u.health.result =
            ok ? POOL_HEALTH_OK
               : (result->answered ? POOL_HEALTH_FAIL : POOL_HEALTH_TIMEOUT);
    }
    else if (ok && result->has_load) {
        event.kind = POOL_EV_LOAD;
        event.u.load.key = endpoint->key;
        event.u.load.load = result->load;
    }
    else {
        return;
    }
    daemon_target_event(daemon, &event);
}
