/*
 * Selects the control daemons that push the catalog to an entry daemon, its
 * sources, and searches for others.
 */
#include "base/hash.h"
#include "fleet/fleet_entry_private.h"

#define HEARTBEAT_US       1000000U /* between heartbeats to control daemons */
#define REPORT_INTERVAL_US 200000U  /* between reports of failures */
/*
 * A control daemon is current if its last contact with the leader is not
 * older.
 */
#define CURRENT_LAG_MAX_US 1500000U
/* Time between heartbeats until there is a catalog. */
#define SEARCH_INTERVAL_MIN_US 100000U
/*
 * Factor of that time after each try without success, since many daemons may
 * search at once.
 */
#define SEARCH_BACKOFF 1.5
/* Sources and probed daemons in each round, at least. */
#define SEARCH_COUNT 3U

static bool any_current(const struct fleet *, uint64_t now_us);
static gint compare_preference(gconstpointer, gconstpointer, gpointer);
static void select_sources(struct fleet *, uint64_t now_us);
static void send_heartbeat(struct fleet *, uint32_t address, uint32_t rank,
                           bool confirms);
static void add_evidence(struct fleet *, Parsleyspur__FleetHeartbeat *);
static void send_to_sources(struct fleet *, bool confirms);

/*
 * Return true if PEER is a reachable voter which has had contact with the
 * leader of the log lately, so that its catalog is current.
 */
bool
fleet_source_is_current(const struct fleet_peer *peer, uint64_t now_us)
{
    return fleet_peer_is_reachable(peer, now_us) && peer->voter != 0 &&
           peer->lag_us < CURRENT_LAG_MAX_US;
}

/* Return true if any control daemon is current. */
static bool
any_current(const struct fleet *fleet, uint64_t now_us)
{
    GHashTableIter iter;
    gpointer key, value;

    g_hash_table_iter_init(&iter, fleet->peers);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        if (fleet_source_is_current(value, now_us)) {
            return true;
        }
    }
    return false;
}

/*
 * Compare two control daemons for sorting: current ones first; if neither is
 * current, the one with the higher revision first; then those in this daemon's
 * zone; then by a hash of this daemon's address and theirs.
 */
static gint
compare_preference(gconstpointer a, gconstpointer b, gpointer data)
{
    const struct fleet *fleet = data;
    const struct fleet_peer *x = *(struct fleet_peer *const *)a;
    const struct fleet_peer *y = *(struct fleet_peer *const *)b;
    uint64_t now_us = clock_boottime_us();
    uint64_t self = fleet->options->address;
    bool x_current = fleet_source_is_current(x, now_us),
         y_current = fleet_source_is_current(y, now_us);
    bool x_same_zone = x->zone == fleet->zone,
         y_same_zone = y->zone == fleet->zone;

    if (x_current != y_current) {
        return x_current ? -1 : 1;
    }
    if (!x_current && x->revision != y->revision) {
        return x->revision > y->revision ? -1 : 1;
    }
    if (x_same_zone != y_same_zone) {
        return x_same_zone ? -1 : 1;
    }
    return hash_pair(self, x->address) < hash_pair(self, y->address) ? -1 : 1;
}

/*
 * Select the sources: the first pushes updates without delay, the others if it
 * fails.  Probe some other control daemons with a heartbeat.
 */
static void
select_sources(struct fleet *fleet, uint64_t now_us)
{
    struct fleet_entry *entry = fleet->entry;
    GPtrArray *controls = g_ptr_array_new();
    bool stale = !any_current(fleet, now_us);
    size_t probed = 0;
    GHashTableIter iter;
    gpointer key, value;

    g_hash_table_iter_init(&iter, fleet->peers);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        if (((struct fleet_peer *)value)->control) {
            g_ptr_array_add(controls, value);
        }
    }
    g_ptr_array_sort_with_data(controls, compare_preference, fleet);
    entry->source_count = 0;
    for (guint i = 0; i < controls->len; i++) {
        const struct fleet_peer *peer = controls->pdata[i];

        if (entry->source_count < FLEET_SOURCES_MAX &&
            (fleet_source_is_current(peer, now_us) ||
             (stale && peer->voter != 0 &&
              fleet_peer_is_reachable(peer, now_us)))) {
            entry->sources[entry->source_count++] = peer->address;
        }
        else if (entry->source_count + probed < SEARCH_COUNT ||
                 g_random_int_range(0, (gint32)controls->len) == 0) {
            probed++;
            send_heartbeat(fleet, peer->address, FLEET_SOURCES_MAX, false);
        }
    }
    g_ptr_array_unref(controls);
}

/*
 * Send a control daemon the revision that this daemon holds.  CONFIRMS: sent
 * because an update has come, and not answered; otherwise the control daemon
 * answers with its own state.
 */
static void
send_heartbeat(struct fleet *fleet, uint32_t address, uint32_t rank,
               bool confirms)
{
    Parsleyspur__FleetMessage *message = g_malloc0(sizeof(*message));
    Parsleyspur__FleetHeartbeat *heartbeat = g_malloc0(sizeof(*heartbeat));

    parsleyspur__fleet_message__init(message);
    parsleyspur__fleet_heartbeat__init(heartbeat);
    heartbeat->revision = catalog_revision(fleet->catalog);
    heartbeat->rank = rank;
    heartbeat->zone = fleet->zone;
    heartbeat->confirms = confirms;
    heartbeat->link_bytes_per_s = fleet->options->link_bytes_per_s;
    heartbeat->life = fleet->entry->start_id;
    if (rank == 0) {
        add_evidence(fleet, heartbeat);
    }
    message->heartbeat = heartbeat;
    fleet_send(fleet, address, message);
    parsleyspur__fleet_message__free_unpacked(message, NULL);
}

/* Add to HEARTBEAT what was seen of targets since the last one. */
static void
add_evidence(struct fleet *fleet, Parsleyspur__FleetHeartbeat *heartbeat)
{
    GArray *rows = g_array_new(FALSE, FALSE, sizeof(struct affinity_evidence));

    affinity_core_take_evidence(fleet->entry->affinity, rows);
    heartbeat->evidence = g_new0(Parsleyspur__FleetEvidence *, rows->len + 1);
    for (guint i = 0; i < rows->len; i++) {
        const struct affinity_evidence *row =
            &g_array_index(rows, struct affinity_evidence, i);
        Parsleyspur__FleetEvidence *sent = g_malloc0(sizeof(*sent));

        parsleyspur__fleet_evidence__init(sent);
        sent->host = row->host;
        sent->answered = row->answered;
        sent->failed = row->failed;
        heartbeat->evidence[heartbeat->n_evidence++] = sent;
    }
    g_array_unref(rows);
}

/* Send a heartbeat to each source, with its rank. */
static void
send_to_sources(struct fleet *fleet, bool confirms)
{
    const struct fleet_entry *entry = fleet->entry;

    for (size_t i = 0; i < entry->source_count; i++) {
        send_heartbeat(fleet, entry->sources[i], (uint32_t)i, confirms);
    }
}

/* Confirm to the sources the revision that this daemon holds now. */
void
fleet_source_confirm(struct fleet *fleet)
{
    send_to_sources(fleet, true);
}

/* Tell the first source what was seen of targets, if some have failed and the
 * last report is long enough ago. */
void
fleet_source_report_failures(struct fleet *fleet, uint64_t now_us)
{
    struct fleet_entry *entry = fleet->entry;

    if (entry->source_count > 0 && now_us >= entry->next_report_us &&
        affinity_core_has_failures(entry->affinity)) {
        entry->next_report_us = now_us + REPORT_INTERVAL_US;
        send_heartbeat(fleet, entry->sources[0], 0, true);
    }
}

/*
 * Select the sources again, request missing updates from them, and probe other
 * control daemons.
 */
void
fleet_source_select(struct fleet *fleet, uint64_t now_us)
{
    select_sources(fleet, now_us);
    send_to_sources(fleet, false);
}

/*
 * Return the number of entry daemons in this zone, with this one: the highest
 * number that a control daemon reports, since each may be in contact with only
 * some of them.  0 if no control daemon is reachable.
 */
uint32_t
fleet_source_entry_count(const struct fleet *fleet, uint64_t now_us)
{
    GHashTableIter iter;
    gpointer key, value;
    uint32_t most = 0;

    g_hash_table_iter_init(&iter, fleet->peers);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const struct fleet_peer *peer = value;

        if (peer->control && fleet_peer_is_reachable(peer, now_us)) {
            most = MAX(most, peer->entry_count);
        }
    }
    return most;
}

/*
 * Return the microseconds until the next heartbeats; without a catalog they
 * grow each time.
 */
uint64_t
fleet_source_heartbeat_interval_us(struct fleet_entry *entry)
{
    uint64_t interval_us =
        MAX(entry->search_interval_us, SEARCH_INTERVAL_MIN_US);

    if (!entry->synced) {
        entry->search_interval_us = MIN(
            (uint64_t)((double)interval_us * SEARCH_BACKOFF), HEARTBEAT_US);
        return interval_us;
    }
    return entry->source_count == 0 ? FLEET_HEARTBEAT_FAST_US : HEARTBEAT_US;
}
