/* A daemon from start to stop: its loop, its tick, its signals. */
#include "daemon/daemon_private.h"

#include <signal.h>
#include <string.h>

#include "base/err.h"
#include "base/hash.h"
#include "base/log.h"
#include "daemon/control.h"

#define HAND_OVER_LIMIT_US 10000000 /* longest wait for the hand-over */
#define JOIN_LIMIT_US      2500000  /* longest wait for a synced peer */
#define SEED_MASK          0x7fffffffffffffffULL

static bool start(struct daemon *, GError **);
static void close_all(struct daemon *);
static void stop_cores(struct daemon *);
static void on_tick(uv_timer_t *);
static void advance_join(struct daemon *, uint64_t now_us);
static void on_signal(uv_signal_t *, int);
static void begin_stop(struct daemon *);
static void advance_stop(struct daemon *, uint64_t now_us);
static void on_message(void *, const struct mesh_sender *, enum peer_channel,
                       const uint8_t *, size_t);
static void on_datagram(void *, const struct mesh_sender *, enum peer_channel,
                        const uint8_t *, size_t);

/* The monotonic clock that every core is given. */
uint64_t
daemon_now_us(void)
{
    return uv_hrtime() / 1000;
}

/* Write the span of one hop, if KEY is sampled. */
void
daemon_span(struct daemon *daemon, uint64_t key, enum span_hop hop,
            int64_t start_us, uint32_t peer)
{
    struct span span = {.key = key, .hop = hop, .start_us = start_us};
    char *text;

    if (!span_sampled(daemon->spans, key)) {
        return;
    }
    text = view_address_text(peer);
    span.end_us = g_get_real_time();
    span.peer = text;
    counter_add(&daemon->counters,
                span_write(daemon->spans, &span) ? COUNTER_SPANS_WRITTEN
                                                 : COUNTER_SPANS_LOST,
                1);
    g_free(text);
}

/* Who takes what comes on a channel; NULL for what does not come so. */
struct channel_row {
    void (*message)(struct daemon *, struct daemon_id from, const uint8_t *,
                    size_t);
    void (*aged)(struct daemon *, uint64_t age_us, const uint8_t *, size_t);
    void (*datagram)(struct daemon *, const uint8_t *, size_t);
};

static const struct channel_row channels[PEER_CHANNEL__MAX] = {
    [PEER_SPREAD] = {.message = daemon_spread_message},
    [PEER_QUORUM] = {.message = control_message},
    [PEER_CONTROL] = {.message = daemon_api_message},
    [PEER_FLOW] = {.message = daemon_packet_message},
    [PEER_CALL] = {.message = daemon_call_message},
    [PEER_MEMBER] = {.datagram = daemon_member_datagram},
    [PEER_HANDON_FLOW] = {.datagram = daemon_packet_hand_in},
    [PEER_HANDON_CALL] = {.aged = daemon_call_hand_in},
    [PEER_RELAY] = {.datagram = daemon_packet_relayed},
};

/* A message of a peer, to the core of its channel. */
static void
on_message(void *user, const struct mesh_sender *from,
           enum peer_channel channel, const uint8_t *data, size_t len)
{
    struct daemon *daemon = user;
    const struct channel_row *row = &channels[channel];

    if (row->message != NULL) {
        row->message(daemon, from->id, data, len);
    }
    else if (row->aged != NULL) {
        row->aged(daemon, from->age_us, data, len);
    }
    else {
        counter_add(&daemon->counters, COUNTER_PEER_BAD_FRAMES, 1);
    }
}

/* A datagram of a peer, to the core of its channel. */
static void
on_datagram(void *user, const struct mesh_sender *from,
            enum peer_channel channel, const uint8_t *data, size_t len)
{
    struct daemon *daemon = user;

    (void)from;
    if (channels[channel].datagram == NULL) {
        counter_add(&daemon->counters, COUNTER_PEER_BAD_FRAMES, 1);
        return;
    }
    channels[channel].datagram(daemon, data, len);
}

static void
on_tick(uv_timer_t *timer)
{
    struct daemon *daemon = timer->data;
    struct spread_event spread = {.kind = SPREAD_EV_TICK};
    struct call_event call = {.kind = CALL_EV_TICK};
    uint64_t now_us = daemon_now_us();

    daemon_member_tick(daemon, now_us);
    control_tick(daemon, now_us);
    daemon_spread_event(daemon, &spread);
    daemon_target_tick(daemon, now_us);
    daemon_packet_tick(daemon, now_us);
    daemon_call_event(daemon, &call);
    daemon_api_tick(daemon, now_us);
    advance_join(daemon, now_us);
    advance_stop(daemon, now_us);
}

/*
 * Join once targets and version are those of a peer.  A daemon without peers
 * joins at once; where no peer is synced, as when all start together, the
 * wait is bounded.
 */
static void
advance_join(struct daemon *daemon, uint64_t now_us)
{
    bool alone = daemon->settings->peer_count == 0;

    if (daemon->joined || !daemon->settings->entry) {
        return;
    }
    if (!alone && !spread_core_synced(daemon->spread) &&
        now_us - daemon->started_us < JOIN_LIMIT_US) {
        return;
    }
    daemon->joined = true;
    spread_core_set_synced(daemon->spread);
    daemon_member_joined(daemon);
    log_state(G_LOG_LEVEL_MESSAGE, "joined", NULL);
}

/* The first signal begins a planned stop, a second ends the daemon at once. */
static void
on_signal(uv_signal_t *handle, int number)
{
    struct daemon *daemon = handle->data;

    (void)number;
    if (daemon->phase == DAEMON_SERVING) {
        begin_stop(daemon);
        return;
    }
    daemon->phase = DAEMON_ENDED;
    close_all(daemon);
}

static void
begin_stop(struct daemon *daemon)
{
    struct flow_event flow = {.kind = FLOW_EV_STOP};
    struct call_event call = {.kind = CALL_EV_STOP};

    log_state(G_LOG_LEVEL_MESSAGE, "planned stop begins", NULL);
    daemon->phase = DAEMON_HANDING_OVER;
    daemon->phase_since_us = daemon_now_us();
    daemon_member_leave(daemon, false);
    daemon_packet_event(daemon, &flow);
    daemon_call_event(daemon, &call);
}

/* Go on with a planned stop: hand over, forward a while, end. */
static void
advance_stop(struct daemon *daemon, uint64_t now_us)
{
    uint64_t waited_us = now_us - daemon->phase_since_us;

    switch (daemon->phase) {
    case DAEMON_HANDING_OVER:
        if ((daemon->flows_handed_over && daemon->calls_handed_over) ||
            waited_us > HAND_OVER_LIMIT_US) {
            log_state(G_LOG_LEVEL_MESSAGE, "leads handed over", NULL);
            daemon->phase = DAEMON_FORWARDING;
            daemon->phase_since_us = now_us;
        }
        break;
    case DAEMON_FORWARDING:
        if (waited_us > (uint64_t)daemon->settings->drain_ms * 1000) {
            daemon_member_leave(daemon, true);
            daemon->phase = DAEMON_ENDED;
            close_all(daemon);
        }
        break;
    case DAEMON_SERVING:
    case DAEMON_ENDED:
    case DAEMON_PHASE__MAX:
        break;
    }
}

/* Start every part in the order of what it needs. */
static bool
start(struct daemon *daemon, GError **error)
{
    struct span_options spans = {
        .path = daemon->settings->span_file,
        .daemon = daemon->settings->name,
        .zone = daemon->settings->zone,
        .sample = (uint64_t)daemon->settings->span_sample,
        .max_bytes = (uint64_t)daemon->settings->span_max_mb << 20,
    };
    struct mesh_options mesh = {
        .loop = &daemon->loop,
        .settings = daemon->settings,
        .incarnation = daemon->incarnation,
        .counters = &daemon->counters,
        .handlers = {on_message, on_datagram, daemon},
    };

    daemon->spans = span_writer_new(&spans, error);
    daemon->mesh = daemon->spans == NULL ? NULL : mesh_new(&mesh, error);
    if (daemon->mesh == NULL || !daemon_table_start(daemon, error) ||
        !daemon_packet_start(daemon, error) ||
        !daemon_api_start(daemon, error)) {
        return false;
    }
    daemon_call_start(daemon);
    daemon_target_start(daemon);
    daemon_spread_start(daemon);
    daemon_member_start(daemon);
    daemon_table_publish(daemon);
    return control_start(daemon, error);
}

/* Begin to close all handles; the loop then comes to its end. */
static void
close_all(struct daemon *daemon)
{
    uv_close((uv_handle_t *)&daemon->tick, NULL);
    uv_close((uv_handle_t *)&daemon->sigterm, NULL);
    uv_close((uv_handle_t *)&daemon->sigint, NULL);
    uv_close((uv_handle_t *)&daemon->geneve, NULL);
    control_close(daemon);
    mesh_close(daemon->mesh);
    http_server_close(daemon->http);
    probe_client_close(daemon->probes);
}

static void
stop_cores(struct daemon *daemon)
{
    control_stop(daemon);
    daemon_member_stop(daemon);
    daemon_spread_stop(daemon);
    daemon_target_stop(daemon);
    daemon_call_stop(daemon);
    daemon_api_stop(daemon);
    daemon_packet_stop(daemon);
    daemon_table_stop(daemon);
    mesh_free(daemon->mesh);
    span_writer_free(daemon->spans);
    g_hash_table_destroy(daemon->member_states);
}

/*
 * Run a daemon with SETTINGS until it is told to stop.  False with the reason
 * if it cannot start; the process is then expected to end.
 */
bool
daemon_run(const struct settings *settings, GError **error)
{
    struct daemon *daemon = g_new0(struct daemon, 1);

    signal(SIGPIPE, SIG_IGN);
    signal(SIGXFSZ, SIG_IGN);
    daemon->settings = settings;
    daemon->self = view_daemon_id(settings->name);
    daemon->zone = view_zone_id(settings->zone);
    daemon->started_us = daemon_now_us();
    daemon->incarnation = (uint64_t)(g_get_real_time() / 1000);
    daemon->seed =
        settings->seed != 0
            ? (uint64_t)settings->seed
            : hash_pair(daemon->self.value, daemon->incarnation) & SEED_MASK;
    daemon->member_states =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    uv_loop_init(&daemon->loop);
    uv_timer_init(&daemon->loop, &daemon->tick);
    uv_signal_init(&daemon->loop, &daemon->sigterm);
    uv_signal_init(&daemon->loop, &daemon->sigint);
    daemon->tick.data = daemon;
    daemon->sigterm.data = daemon;
    daemon->sigint.data = daemon;
    if (!start(daemon, error)) {
        return false;
    }
    uv_timer_start(&daemon->tick, on_tick, DAEMON_TICK_MS, DAEMON_TICK_MS);
    uv_signal_start(&daemon->sigterm, on_signal, SIGTERM);
    uv_signal_start(&daemon->sigint, on_signal, SIGINT);
    log_state(G_LOG_LEVEL_MESSAGE, "serving", "roles", settings->roles, "zone",
              settings->zone, NULL);
    uv_run(&daemon->loop, UV_RUN_DEFAULT);
    stop_cores(daemon);
    uv_loop_close(&daemon->loop);
    g_free(daemon);
    log_state(G_LOG_LEVEL_MESSAGE, "stopped", NULL);
    return true;
}
