/*
 * The entry role: a replica of the catalog, fed by control daemons, and the
 * fabric's question whether packets may come.
 */
#include <string.h>

#include "base/hash.h"
#include "fleet/fleet_entry_private.h"

#define HEARTBEAT_US  1000000U /* between heartbeats of control daemons */
#define CURRENT_US    1500000U /* a control daemon's lag that is no lag */
#define SEARCH_MIN_US 100000U /* between heartbeats until there is a catalog */
#define SEARCH_GROWTH 1.5     /* after each in vain: many may search at once */
#define SEARCH_COUNT  3U      /* control daemons asked at a time */
#define STALE_WAIT_US 50000U /* for a current control daemon, at the start */
#define STOP_MIN_US   1200000U /* the fabric asks twice before it moves flows */
#define STOP_QUIET_US 700000U /* without a packet: the fabric has moved them */
#define STOP_SPARE_MS 1500U   /* kept of the time before a stop is enforced */

static void on_call(void *, const struct http_request *);
static bool is_ready(const struct fleet *);
static bool is_current(const struct fleet_peer *, uint64_t now_us);
static bool any_current(const struct fleet *, uint64_t now_us);
static void consider_ready(struct fleet *, uint64_t now_us);
static uint64_t heartbeat_interval_us(struct fleet_entry *);
static gint by_preference(gconstpointer, gconstpointer, gpointer);
static void choose_feeds(struct fleet *, uint64_t now_us);
static void send_heartbeat(struct fleet *, uint32_t address, uint32_t rank);
static void heartbeat_feeds(struct fleet *, uint64_t now_us);
static void take_update(struct fleet *, const struct fleet_peer *,
                        const ProtobufCBinaryData *);
static uint32_t entries_of_zone(const struct fleet *, uint64_t now_us);
static void log_connection(struct fleet *, uint64_t now_us);
static void advance_stop(struct fleet *, uint64_t now_us);
static void write_verdicts(const struct affinity_counters *, GString *);

/* Start the role: packets, readiness, and the search for control daemons. */
bool
fleet_entry_start(struct fleet *fleet, GError **error)
{
    struct affinity_options affinity = {
        .zone = fleet->zone,
        .seed = hash_pair(fleet->options->address, clock_boottime_us()),
    };
    struct http_options http = {
        .loop = &fleet->loop,
        .listen = fleet->options->readiness,
        .connections_max = 32,
        .address_max = 32, /* the fabric asks from one */
        .handler = on_call,
        .user = fleet,
    };

    fleet->entry = g_new0(struct fleet_entry, 1);
    fleet->entry->affinity = affinity_core_new(&affinity);
    if (!fleet_packet_start(fleet, error)) {
        return false;
    }
    fleet->http = http_server_new(&http, error);
    return fleet->http != NULL;
}

void
fleet_entry_close(struct fleet *fleet)
{
    fleet_packet_close(fleet);
}

void
fleet_entry_free(struct fleet *fleet)
{
    if (fleet->entry == NULL) {
        return;
    }
    affinity_core_free(fleet->entry->affinity);
    fleet_packet_free(fleet);
    g_free(fleet->entry);
    fleet->entry = NULL;
}

/*
 * Whether new flows may come.  A daemon that has once held a current catalog
 * goes on when it is cut off from every control daemon: its callers have no
 * better one.
 */
static bool
is_ready(const struct fleet *fleet)
{
    return fleet->entry->synced && !fleet->stopping;
}

static void
on_call(void *user, const struct http_request *request)
{
    struct fleet *fleet = user;
    struct fleet_call call;

    fleet->options->decode_call(request, &call);
    if (call.kind == FLEET_CALL_READY) {
        fleet_answer(fleet, request->handle, is_ready(fleet) ? 200 : 503,
                     is_ready(fleet) ? NULL : "not ready");
    }
    else {
        fleet_answer(fleet, request->handle, 404,
                     "an entry daemon answers readiness only");
    }
    fleet_call_clear(&call);
}

/* True if PEER feeds what the log's leader has lately confirmed. */
static bool
is_current(const struct fleet_peer *peer, uint64_t now_us)
{
    return fleet_peer_is_fresh(peer, now_us) && peer->voter != 0 &&
           peer->lag_us < CURRENT_US;
}

static bool
any_current(const struct fleet *fleet, uint64_t now_us)
{
    GHashTableIter iter;
    gpointer key, value;

    g_hash_table_iter_init(&iter, fleet->peers);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        if (is_current(value, now_us)) {
            return true;
        }
    }
    return false;
}

/*
 * Current ones first, else the furthest; then those of the own zone, then by
 * a hash of both.
 */
static gint
by_preference(gconstpointer a, gconstpointer b, gpointer data)
{
    const struct fleet *fleet = data;
    const struct fleet_peer *x = *(struct fleet_peer *const *)a;
    const struct fleet_peer *y = *(struct fleet_peer *const *)b;
    uint64_t now_us = clock_boottime_us();
    uint64_t own = fleet->options->address;
    bool x_current = is_current(x, now_us), y_current = is_current(y, now_us);
    bool x_near = x->zone == fleet->zone, y_near = y->zone == fleet->zone;

    if (x_current != y_current) {
        return x_current ? -1 : 1;
    }
    if (!x_current && x->revision != y->revision) {
        return x->revision > y->revision ? -1 : 1;
    }
    if (x_near != y_near) {
        return x_near ? -1 : 1;
    }
    return hash_pair(own, x->address) < hash_pair(own, y->address) ? -1 : 1;
}

/* Choose who feeds this daemon, the first one at once, others if it fails. */
static void
choose_feeds(struct fleet *fleet, uint64_t now_us)
{
    struct fleet_entry *entry = fleet->entry;
    GPtrArray *controls = g_ptr_array_new();
    bool stale = !any_current(fleet, now_us);
    size_t searched = 0;
    GHashTableIter iter;
    gpointer key, value;

    g_hash_table_iter_init(&iter, fleet->peers);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        if (((struct fleet_peer *)value)->control) {
            g_ptr_array_add(controls, value);
        }
    }
    g_ptr_array_sort_with_data(controls, by_preference, fleet);
    entry->feed_count = 0;
    for (guint i = 0; i < controls->len; i++) {
        const struct fleet_peer *peer = controls->pdata[i];

        if (entry->feed_count < FLEET_FEEDS_MAX &&
            (is_current(peer, now_us) ||
             (stale && peer->voter != 0 &&
              fleet_peer_is_fresh(peer, now_us)))) {
            entry->feeds[entry->feed_count++] = peer->address;
        }
        else if (entry->feed_count + searched < SEARCH_COUNT ||
                 g_random_int_range(0, (gint32)controls->len) == 0) {
            searched++;
            send_heartbeat(fleet, peer->address, FLEET_FEEDS_MAX);
        }
    }
    g_ptr_array_unref(controls);
}

/* Tell a control daemon what this daemon holds; that confirms it, too. */
static void
send_heartbeat(struct fleet *fleet, uint32_t address, uint32_t rank)
{
    Parsleyspur__FleetMessage message = PARSLEYSPUR__FLEET_MESSAGE__INIT;
    Parsleyspur__FleetHeartbeat heartbeat = PARSLEYSPUR__FLEET_HEARTBEAT__INIT;

    heartbeat.revision = catalog_revision(fleet->catalog);
    heartbeat.rank = rank;
    heartbeat.zone = fleet->zone;
    message.heartbeat = &heartbeat;
    fleet_send(fleet, address, &message);
}

static void
heartbeat_feeds(struct fleet *fleet, uint64_t now_us)
{
    struct fleet_entry *entry = fleet->entry;

    choose_feeds(fleet, now_us);
    for (size_t i = 0; i < entry->feed_count; i++) {
        send_heartbeat(fleet, entry->feeds[i], (uint32_t)i);
    }
}

/*
 * Entry daemons of this zone, this one among them: the most that any control
 * daemon hears, since each may hear a part of them only.  0 if none is heard.
 */
static uint32_t
entries_of_zone(const struct fleet *fleet, uint64_t now_us)
{
    GHashTableIter iter;
    gpointer key, value;
    uint32_t most = 0;

    g_hash_table_iter_init(&iter, fleet->peers);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const struct fleet_peer *peer = value;

        if (peer->control && fleet_peer_is_fresh(peer, now_us)) {
            most = MAX(most, peer->entries);
        }
    }
    return most;
}

static void
log_connection(struct fleet *fleet, uint64_t now_us)
{
    struct fleet_entry *entry = fleet->entry;
    bool connected =
        fleet_elapsed_us(now_us, entry->current_us) < FLEET_FRESH_US &&
        entry->current_us != 0;

    if (connected != entry->connected) {
        entry->connected = connected;
        fleet_log_line(fleet->log, FLEET_LOG_STATE, now_us,
                       connected ? "control-regained" : "control-lost",
                       "\"revision\":%" G_GUINT64_FORMAT
                       ",\"version\":%" G_GUINT64_FORMAT,
                       catalog_revision(fleet->catalog),
                       catalog_version(fleet->catalog));
    }
}

/*
 * Take flows once there is a catalog, and as soon as it is that of a current
 * control daemon.  Where none is current, as when the whole fleet has been
 * restarted, what the furthest one knows as committed is better for callers
 * than no answer.
 */
static void
consider_ready(struct fleet *fleet, uint64_t now_us)
{
    struct fleet_entry *entry = fleet->entry;
    bool current = false, behind = false;
    GHashTableIter iter;
    gpointer key, value;

    if (entry->synced || catalog_version(fleet->catalog) == 0) {
        return;
    }
    g_hash_table_iter_init(&iter, fleet->peers);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const struct fleet_peer *peer = value;

        if (is_current(peer, now_us)) {
            current = true;
            behind =
                behind || peer->revision > catalog_revision(fleet->catalog);
        }
    }
    if (behind || (!current && fleet_elapsed_us(now_us, entry->found_us) <
                                   STALE_WAIT_US)) {
        return;
    }
    entry->synced = true;
    fleet_log_line(fleet->log, FLEET_LOG_STATE, now_us, "ready",
                   "\"revision\":%" G_GUINT64_FORMAT
                   ",\"version\":%" G_GUINT64_FORMAT ",\"current\":%s",
                   catalog_revision(fleet->catalog),
                   catalog_version(fleet->catalog),
                   current ? "true" : "false");
}

/* Until the next heartbeats; longer and longer while nothing is found. */
static uint64_t
heartbeat_interval_us(struct fleet_entry *entry)
{
    uint64_t search_us = MAX(entry->search_us, SEARCH_MIN_US);

    if (!entry->synced) {
        entry->search_us =
            MIN((uint64_t)((double)search_us * SEARCH_GROWTH), HEARTBEAT_US);
        return search_us;
    }
    return entry->feed_count == 0 ? FLEET_HEARTBEAT_FAST_US : HEARTBEAT_US;
}

void
fleet_entry_tick(struct fleet *fleet, uint64_t now_us)
{
    struct fleet_entry *entry = fleet->entry;

    if (now_us >= entry->heartbeat_us) {
        heartbeat_feeds(fleet, now_us);
        entry->heartbeat_us = now_us + heartbeat_interval_us(entry);
        affinity_core_share(entry->affinity, entries_of_zone(fleet, now_us));
    }
    consider_ready(fleet, now_us);
    log_connection(fleet, now_us);
    advance_stop(fleet, now_us);
    affinity_core_tick(entry->affinity, now_us, fleet->catalog);
}

/* Take in a difference; one that begins too late is asked for again. */
static void
take_update(struct fleet *fleet, const struct fleet_peer *peer,
            const ProtobufCBinaryData *update)
{
    struct catalog_change change;
    uint64_t now_us = clock_boottime_us();
    uint64_t before = catalog_revision(fleet->catalog);

    if (!catalog_merge(fleet->catalog, update->data, update->len, &change)) {
        counter_add(&fleet->counters, COUNTER_PEER_BAD_FRAMES, 1);
    }
    if (change.tables || change.targets) {
        char *from = view_address_text(peer->address);

        affinity_core_catalog(fleet->entry->affinity, now_us, fleet->catalog);
        fleet_log_line(fleet->log, FLEET_LOG_STATE, now_us, "catalog",
                       "\"from\":\"%s\",\"before\":%" G_GUINT64_FORMAT
                       ",\"revision\":%" G_GUINT64_FORMAT
                       ",\"version\":%" G_GUINT64_FORMAT ",\"bytes\":%zu",
                       from, before, catalog_revision(fleet->catalog),
                       catalog_version(fleet->catalog), update->len);
        g_free(from);
    }
    for (size_t i = 0; i < fleet->entry->feed_count; i++) {
        send_heartbeat(fleet, fleet->entry->feeds[i], (uint32_t)i);
    }
}

/* A message of a control daemon. */
void
fleet_entry_message(struct fleet *fleet, struct fleet_peer *peer,
                    const Parsleyspur__FleetMessage *message)
{
    struct fleet_entry *entry = fleet->entry;
    uint64_t now_us = clock_boottime_us();

    if (message->heartbeat != NULL) {
        fleet_peer_heard(fleet, peer, message->heartbeat);
        if (entry->found_us == 0) {
            entry->found_us = now_us;
            heartbeat_feeds(fleet, now_us);
        }
        if (is_current(peer, now_us)) {
            entry->current_us = now_us;
        }
    }
    if (message->update.len > 0) {
        take_update(fleet, peer, &message->update);
    }
    consider_ready(fleet, now_us);
}

/*
 * Packets go on for as long as the fabric sends some: where most of a zone's
 * daemons stop at once, it goes on sending to all of them.
 */
void
fleet_entry_begin_stop(struct fleet *fleet)
{
    uint32_t grace_ms = fleet->options->grace_ms;
    uint32_t limit_ms =
        grace_ms > STOP_SPARE_MS ? grace_ms - STOP_SPARE_MS : grace_ms / 2;

    fleet->entry->stop_begun_us = clock_boottime_us();
    fleet->stop_us = fleet->entry->stop_begun_us + (uint64_t)limit_ms * 1000;
}

/* End a planned stop early, once no packets come any more. */
static void
advance_stop(struct fleet *fleet, uint64_t now_us)
{
    const struct fleet_entry *entry = fleet->entry;

    if (fleet->stopping &&
        fleet_elapsed_us(now_us, entry->stop_begun_us) >= STOP_MIN_US &&
        fleet_elapsed_us(now_us, entry->packet_us) >= STOP_QUIET_US) {
        fleet->stop_us = MIN(fleet->stop_us, now_us);
    }
}

/* Append the role's metrics. */
void
fleet_entry_metrics(struct fleet *fleet, GString *out)
{
    const struct fleet_entry *entry = fleet->entry;
    const struct affinity_counters *counters =
        affinity_core_counters(entry->affinity);
    struct counter_extra extra[] = {
        {"packets_in_total", "Packets of callers.", "counter",
         (double)entry->packets_in},
        {"packets_out_total", "Packets sent on, resets among them.", "counter",
         (double)entry->packets_out},
        {"packets_malformed_total", "Datagrams that are no packet.", "counter",
         (double)entry->malformed},
        {"packets_lost_total", "Packets that the socket did not take.",
         "counter", (double)entry->lost},
        {"resets_total", "Resets sent to callers.", "counter",
         (double)entry->resets},
        {"flows_followed", "Flows whose packets come through here.", "gauge",
         (double)affinity_core_flows(entry->affinity)},
        {"flows_remote_total", "Openings placed in another zone.", "counter",
         (double)counters->remote},
        {"targets_suspected_total", "Targets that stopped answering.",
         "counter", (double)counters->suspected},
        {"shaped_packets_total", "Packets that waited for the link.",
         "counter", (double)shape_counters(entry->shape)->queued},
        {"shaped_copies_total", "Copies left out of what waits.", "counter",
         (double)shape_counters(entry->shape)->repeated},
        {"shaped_drops_total", "Packets above the queue's bound.", "counter",
         (double)shape_counters(entry->shape)->dropped},
        {"shaped_wait_max_ms", "Longest wait for the link.", "gauge",
         (double)shape_counters(entry->shape)->wait_us / 1000},
        {"ready", "Whether the fabric may send packets.", "gauge",
         is_ready(fleet) ? 1 : 0},
    };

    counter_write_extra(extra, G_N_ELEMENTS(extra), out);
    counter_write_latency("answer_latency_ms",
                          "From a caller's request to its answer.",
                          counters->answers, out);
    write_verdicts(counters, out);
}

/* Packets by the reason of their verdict, as labels. */
static void
write_verdicts(const struct affinity_counters *counters, GString *out)
{
    struct counter_extra rows[AFFINITY_REASON__MAX];
    char names[AFFINITY_REASON__MAX][64];

    for (int i = 0; i < AFFINITY_REASON__MAX; i++) {
        g_snprintf(names[i], sizeof(names[i]), "verdicts_total{reason=\"%s\"}",
                   affinity_reason_name((enum affinity_reason)i));
        rows[i] =
            (struct counter_extra){names[i], "Packets by decision.", "counter",
                                   (double)counters->reasons[i]};
    }
    counter_write_extra(rows, AFFINITY_REASON__MAX, out);
}
