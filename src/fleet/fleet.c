/* Runs a daemon of a fleet: its event loop, timer, signals, start and stop. */
#include "fleet/fleet.h"

#include <signal.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "base/err.h"
#include "base/log.h"
#include "fleet/fleet_private.h"

/* Time between reads of the seeds in the settings. */
#define SEEDS_INTERVAL_US 2000000U
#define CLUSTER_NAME      "fleet"
#define TICK_ENTRY_MS     100 /* each wake-up uses CPU time of a small VM */
/* Short, since control daemons may have started at the same time. */
#define FIRST_TICK_MS 10
/* Half of the heartbeat interval of the log's leader. */
#define TICK_CONTROL_MS 50

static void init_fleet(struct fleet *, const struct fleet_options *);
static bool start_role(struct fleet *, GError **);
static void on_tick(uv_timer_t *);
static void on_stop(uv_signal_t *, int);
static void on_reload(uv_signal_t *, int);
static void on_message(void *, const struct mesh_sender *, enum peer_channel,
                       const uint8_t *, size_t);
static void on_datagram(void *, const struct mesh_sender *, enum peer_channel,
                        const uint8_t *, size_t);
static void free_fleet(struct fleet *);

/*
 * Return the microseconds from SINCE_US to NOW_US; 0 if SINCE_US is later, as
 * when the clock was read again in between.
 */
uint64_t
fleet_elapsed_us(uint64_t now_us, uint64_t since_us)
{
    return now_us - MIN(now_us, since_us);
}

/* Free what CALL owns, but not CALL itself. */
void
fleet_call_clear(struct fleet_call *call)
{
    switch (call->kind) {
    case FLEET_CALL_REPLACE:
        catalog_tables_clear(&call->u.tables);
        break;
    case FLEET_CALL_ZONE:
        g_free(call->u.zone.name);
        break;
    case FLEET_CALL_READY:
    case FLEET_CALL_ANNOUNCE:
    case FLEET_CALL_LEAVE:
    case FLEET_CALL_READ:
    case FLEET_CALL_BAD:
    case FLEET_CALL_UNKNOWN:
    case FLEET_CALL__MAX:
        break;
    }
}

/* Pass a message from another daemon to this daemon's role. */
static void
on_message(void *user, const struct mesh_sender *from,
           enum peer_channel channel, const uint8_t *data, size_t len)
{
    struct fleet *fleet = user;
    struct fleet_peer *peer = fleet_peer_get_or_add(fleet, from->address);
    Parsleyspur__FleetMessage *message =
        channel != PEER_FLEET
            ? NULL
            : parsleyspur__fleet_message__unpack(NULL, len, data);

    if (message == NULL || peer == NULL) {
        counter_add(&fleet->counters, COUNTER_PEER_BAD_FRAMES, 1);
    }
    else if (fleet->control != NULL) {
        fleet_control_message(fleet, peer, message);
    }
    else {
        fleet_entry_message(fleet, peer, message);
    }
    if (message != NULL) {
        parsleyspur__fleet_message__free_unpacked(message, NULL);
    }
}

/*
 * Count a datagram from a peer as a bad frame: daemons of a fleet send each
 * other none.
 */
static void
on_datagram(void *user, const struct mesh_sender *from,
            enum peer_channel channel, const uint8_t *data, size_t len)
{
    struct fleet *fleet = user;

    (void)from;
    (void)channel;
    (void)data;
    (void)len;
    counter_add(&fleet->counters, COUNTER_PEER_BAD_FRAMES, 1);
}

/* Do the periodic work, and end a planned stop that is over. */
static void
on_tick(uv_timer_t *timer)
{
    struct fleet *fleet = timer->data;
    uint64_t now_us = clock_boottime_us();

    if (now_us >= fleet->next_seeds_us) {
        fleet->next_seeds_us = now_us + SEEDS_INTERVAL_US;
        fleet_read_seeds(fleet);
        fleet_peer_expire(fleet, now_us);
    }
    if (fleet->control != NULL) {
        fleet_control_tick(fleet, now_us);
    }
    else {
        fleet_entry_tick(fleet, now_us);
    }
    fleet_log_flush(fleet->log);
    if (fleet->stopping && now_us >= fleet->stop_us) {
        fleet_end(fleet);
    }
}

/*
 * Begin a planned stop at the first signal; end the daemon at once at the
 * second.
 */
static void
on_stop(uv_signal_t *handle, int number)
{
    struct fleet *fleet = handle->data;

    fleet_log_line(fleet->log, FLEET_LOG_STATE, clock_boottime_us(), "stop",
                   "\"signal\":%d,\"planned\":%s", number,
                   fleet->stopping ? "false" : "true");
    fleet_log_flush(fleet->log);
    if (fleet->stopping) {
        fleet_end(fleet);
        return;
    }
    fleet->stopping = true;
    if (fleet->control != NULL) {
        fleet_control_begin_stop(fleet);
    }
    else {
        fleet_entry_begin_stop(fleet);
    }
}

/* Read the seeds in the settings again. */
static void
on_reload(uv_signal_t *handle, int number)
{
    struct fleet *fleet = handle->data;

    (void)number;
    fleet_read_seeds(fleet);
    fleet_log_line(fleet->log, FLEET_LOG_STATE, clock_boottime_us(), "reload",
                   "\"seeds\":%zu", fleet->seeds.count);
}

/* Begin to close all handles, after which the event loop ends. */
void
fleet_end(struct fleet *fleet)
{
    if (uv_is_closing((uv_handle_t *)&fleet->tick)) {
        return;
    }
    uv_close((uv_handle_t *)&fleet->tick, NULL);
    uv_close((uv_handle_t *)&fleet->sigterm, NULL);
    uv_close((uv_handle_t *)&fleet->sigint, NULL);
    uv_close((uv_handle_t *)&fleet->sighup, NULL);
    if (fleet->entry != NULL) {
        fleet_entry_close(fleet);
    }
    if (fleet->control != NULL) {
        fleet_control_close(fleet);
    }
    if (fleet->http != NULL) {
        http_server_close(fleet->http);
    }
    if (fleet->metrics != NULL) {
        http_server_close(fleet->metrics);
    }
    if (fleet->mesh != NULL) {
        mesh_close(fleet->mesh);
    }
}

/* Initialize FLEET from OPTIONS, which must outlive it. */
static void
init_fleet(struct fleet *fleet, const struct fleet_options *options)
{
    struct fleet_log_options log = {.fd = STDOUT_FILENO,
                                    .daemon = options->name};

    fleet->options = options;
    fleet->zone = view_zone_id(options->zone);
    fleet->log = fleet_log_new(&log);
    fleet_log_redirect_glib(fleet->log, clock_boottime_us);
    fleet->catalog = catalog_new();
    fleet->peers = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    fleet->settings.name = view_address_text(options->address);
    fleet->settings.zone = g_strdup(options->zone);
    fleet->settings.cluster = g_strdup(CLUSTER_NAME);
    fleet->settings.address.address = options->address;
    fleet->settings.peer_port = options->peer_port;
    uv_loop_init(&fleet->loop);
    uv_timer_init(&fleet->loop, &fleet->tick);
    uv_signal_init(&fleet->loop, &fleet->sigterm);
    uv_signal_init(&fleet->loop, &fleet->sigint);
    uv_signal_init(&fleet->loop, &fleet->sighup);
    fleet->tick.data = fleet;
    fleet->sigterm.data = fleet;
    fleet->sigint.data = fleet;
    fleet->sighup.data = fleet;
}

/*
 * Open the mesh and the metrics address and start the role.  Return false and
 * set ERROR on failure.
 */
static bool
start_role(struct fleet *fleet, GError **error)
{
    struct mesh_options mesh = {
        .loop = &fleet->loop,
        .settings = &fleet->settings,
        .incarnation = (uint64_t)(g_get_real_time() / 1000),
        .counters = &fleet->counters,
        .handlers = {on_message, on_datagram, fleet},
    };
    bool ok = false;

    if (fleet->options->peer_map != NULL &&
        !settings_take_peer_map(&fleet->settings, fleet->options->peer_map,
                                error)) {
        return false;
    }
    if (!fleet_span_start(fleet, error)) {
        return false;
    }
    fleet->mesh = mesh_new(&mesh, error);
    if (fleet->mesh == NULL || !fleet_metrics_start(fleet, error)) {
        return false;
    }
    fleet_read_seeds(fleet);
    switch (fleet->options->role) {
    case FLEET_ENTRY:
        ok = fleet_entry_start(fleet, error);
        break;
    case FLEET_CONTROL:
        ok = fleet_control_start(fleet, error);
        break;
    case FLEET_ROLE__MAX:
        break;
    }
    return ok;
}

/* Free what FLEET owns, once the event loop has ended. */
static void
free_fleet(struct fleet *fleet)
{
    fleet_entry_free(fleet);
    fleet_control_free(fleet);
    if (fleet->http != NULL) {
        http_server_free(fleet->http);
    }
    if (fleet->metrics != NULL) {
        http_server_free(fleet->metrics);
    }
    if (fleet->mesh != NULL) {
        mesh_free(fleet->mesh);
    }
    catalog_free(fleet->catalog);
    g_hash_table_destroy(fleet->peers);
    g_free(fleet->settings.name);
    g_free(fleet->settings.zone);
    g_free(fleet->settings.cluster);
    g_free(fleet->settings.peer_map_text);
    fleet_span_free(fleet);
    fleet_log_free(fleet->log);
}

/*
 * Run a daemon until it is stopped.  Return false and set ERROR if it cannot
 * start.
 */
bool
fleet_run(const struct fleet_options *options, GError **error)
{
    struct fleet *fleet = g_new0(struct fleet, 1);
    bool ok;

    signal(SIGPIPE, SIG_IGN);
    signal(SIGXFSZ, SIG_IGN);
    init_fleet(fleet, options);
    ok = start_role(fleet, error);
    if (ok) {
        uint64_t tick_ms =
            options->role == FLEET_ENTRY ? TICK_ENTRY_MS : TICK_CONTROL_MS;

        uv_timer_start(&fleet->tick, on_tick, FIRST_TICK_MS, tick_ms);
        uv_signal_start(&fleet->sigterm, on_stop, SIGTERM);
        uv_signal_start(&fleet->sigint, on_stop, SIGINT);
        uv_signal_start(&fleet->sighup, on_reload, SIGHUP);
        fleet_log_line(
            fleet->log, FLEET_LOG_STATE, clock_boottime_us(), "start",
            "\"role\":\"%s\",\"zone\":\"%s\",\"seeds\":%zu,"
            "\"first_start\":%s",
            options->role == FLEET_ENTRY ? "entry" : "control", options->zone,
            fleet->seeds.count, options->first_start ? "true" : "false");
        fleet_log_flush(fleet->log);
    }
    else {
        fleet_end(fleet);
    }
    uv_run(&fleet->loop, UV_RUN_DEFAULT);
    free_fleet(fleet);
    uv_loop_close(&fleet->loop);
    g_free(fleet);
    return ok;
}
