/*
 * The control role: a seat in the replicated log if the daemon has one, the
 * other control daemons, and the calls of operators and targets.
 */
#include <string.h>

#include "base/err.h"
#include "fleet/fleet_control_private.h"
#include "fleet/fleet_seats.h"

#define SEAT_LOST_US   1500000U /* a voter that is not heard for so long */
#define SEAT_SETTLE_US 1500000U /* a seat's new holder has so long to vote */
#define STOP_US        200000U  /* answers under way at a planned stop */
#define STANDBYS_MAX   32
#define LAG_UNKNOWN_MS UINT32_MAX

static void open_log(struct fleet *, bool may_found);
static void found(struct fleet *);
static void take_seat(struct fleet *, size_t index);
static void leave_seat(struct fleet *);
static void own_seat_changed(struct fleet *);
static void greet(struct fleet *, uint32_t address, bool answer);
static void greet_all(struct fleet *, uint64_t now_us);
static void fill_greeting(struct fleet *, Parsleyspur__FleetGreeting *,
                          uint64_t now_us);
static void take_greeting(struct fleet *, struct fleet_peer *,
                          const Parsleyspur__FleetGreeting *);
static void take_seats(struct fleet *, const Parsleyspur__FleetGreeting *);
static void answer_confirm(struct fleet *, const struct fleet_peer *,
                           const Parsleyspur__FleetConfirm *);
static void look_after_seats(struct fleet *, uint64_t now_us);
static bool holds_seat(const struct fleet *, const struct fleet_peer *);
static size_t list_standbys(struct fleet *, struct fleet_standby *,
                            uint64_t now_us);
static uint64_t lag_us(const struct fleet *, uint64_t now_us);
static gint by_address(gconstpointer, gconstpointer);

/* Start the role: the seat held before, a founder's, or none yet. */
bool
fleet_control_start(struct fleet *fleet, GError **error)
{
    struct http_options http = {
        .loop = &fleet->loop,
        .listen = fleet->options->calls,
        .body_max = fleet->options->body_max,
        .connections_max = 2048,
        .one_call = true,
        .handler = fleet_calls_handle,
        .user = fleet,
    };
    struct fleet_control *control = g_new0(struct fleet_control, 1);

    fleet->control = control;
    control->requests =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    control->heard =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    control->packed =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
                              (GDestroyNotify)g_byte_array_unref);
    control->unsent = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    if (fleet->options->data_dir == NULL) {
        g_set_error(error, ERR_DOMAIN, ERR_SETTING,
                    "the control role needs a data folder; name one");
        return false;
    }
    if (fleet_seat_file_read(fleet)) {
        fleet_seat_remove_logs(fleet);
        if (control->seat != 0 && !fleet_quorum_open(fleet, false, error)) {
            return false;
        }
    }
    else if (fleet->options->first_start) {
        found(fleet);
    }
    fleet->http = http_server_new(&http, error);
    return fleet->http != NULL;
}

static gint
by_address(gconstpointer a, gconstpointer b)
{
    uint32_t x = *(const uint32_t *)a, y = *(const uint32_t *)b;

    return x < y ? -1 : x > y;
}

/* Open the log of the seat held; where that fails it is tried again. */
static void
open_log(struct fleet *fleet, bool may_found)
{
    GError *error = NULL;

    if (!fleet_quorum_open(fleet, may_found, &error)) {
        fleet_log_line(fleet->log, FLEET_LOG_STATE, fleet_now_us(),
                       "log-not-open", "\"error\":\"%s\"", error->message);
        g_error_free(error);
    }
}

/*
 * The whole fleet starts for the first time.  All are told the same seeds, so
 * that all know the founders' seats; further seats stay vacant until a
 * standby is heard.
 */
static void
found(struct fleet *fleet)
{
    struct fleet_control *control = fleet->control;
    struct fleet_seeds seeds = fleet->seeds;
    size_t wanted = 2 * (size_t)fleet->options->losses + 1;

    qsort(seeds.addresses, seeds.count, sizeof(seeds.addresses[0]),
          by_address);
    if (seeds.count == 0) {
        return;
    }
    wanted = MAX(wanted, 3);
    wanted = MIN(wanted, 2 * seeds.count - 1);
    control->seat_count = MIN(wanted, CATALOG_SEATS_MAX);
    for (size_t i = 0; i < seeds.count && i < control->seat_count; i++) {
        control->seats[i].address = seeds.addresses[i];
        if (seeds.addresses[i] == fleet->options->address) {
            control->seat = i + 1;
        }
    }
    fleet_seat_file_write(fleet);
    if (control->seat != 0) {
        open_log(fleet, true);
    }
}

/* Hold the seat INDEX from now on, with an empty log and no vote yet. */
static void
take_seat(struct fleet *fleet, size_t index)
{
    struct fleet_control *control = fleet->control;

    control->seat = index + 1;
    control->log_number++;
    control->formed = true;
    fleet_seat_remove_logs(fleet);
    fleet_seat_file_write(fleet);
    fleet_log_line(fleet->log, FLEET_LOG_STATE, fleet_now_us(), "seat-taken",
                   "\"seat\":%zu,\"revision\":%" G_GUINT64_FORMAT,
                   control->seat, control->seats[index].revision);
    open_log(fleet, false);
}

/* The seat has passed to another daemon: what was voted for is over. */
static void
leave_seat(struct fleet *fleet)
{
    struct fleet_control *control = fleet->control;

    fleet_log_line(fleet->log, FLEET_LOG_STATE, fleet_now_us(), "seat-left",
                   "\"seat\":%zu,\"revision\":%" G_GUINT64_FORMAT,
                   control->seat, control->seats[control->seat - 1].revision);
    fleet_request_fail_all(fleet);
    fleet_quorum_close(fleet);
    control->seat = 0;
    fleet_seat_file_write(fleet);
    fleet_seat_remove_logs(fleet);
}

/* Act on what the seats say of this daemon. */
static void
own_seat_changed(struct fleet *fleet)
{
    struct fleet_control *control = fleet->control;
    uint32_t self = fleet->options->address;

    if (control->seat != 0 &&
        control->seats[control->seat - 1].address != self) {
        leave_seat(fleet);
    }
    for (size_t i = 0; i < control->seat_count && control->seat == 0; i++) {
        if (control->seats[i].address == self) {
            take_seat(fleet, i);
        }
    }
}

/*
 * Another daemon says, or the log has committed, that the seat INDEX is held
 * at ADDRESS since REVISION.  What is not newer than known changes nothing.
 */
void
fleet_control_adopt_seat(struct fleet *fleet, size_t index, uint32_t address,
                         uint64_t revision)
{
    struct catalog_seat *seat;

    if (index >= CATALOG_SEATS_MAX) {
        return;
    }
    seat = &fleet->control->seats[index];
    if (revision < seat->revision ||
        (revision == seat->revision && seat->address != 0)) {
        return;
    }
    if (seat->address != address) {
        char *text = view_address_text(address);

        fleet_log_line(
            fleet->log, FLEET_LOG_STATE, fleet_now_us(), "seat",
            "\"seat\":%zu,\"holder\":\"%s\",\"revision\":%" G_GUINT64_FORMAT,
            index + 1, text, revision);
        g_free(text);
    }
    seat->address = address;
    seat->revision = revision;
    fleet_peer_learn(fleet, address);
    fleet_seat_file_write(fleet);
}

/* The address of the leader, as far as this daemon knows; 0 if unknown. */
uint32_t
fleet_control_leader(const struct fleet *fleet)
{
    const struct fleet_control *control = fleet->control;
    uint64_t now_us = fleet_now_us();
    GHashTableIter iter;
    gpointer key, value;

    if (control->quorum != NULL) {
        uint64_t seat = quorum_core_leader(control->quorum).value;

        return seat == 0 ? 0 : control->seats[seat - 1].address;
    }
    g_hash_table_iter_init(&iter, fleet->peers);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const struct fleet_peer *peer = value;

        if (peer->control && peer->seat != 0 && peer->lag_us == 0 &&
            peer->leader == peer->address &&
            fleet_peer_is_fresh(peer, now_us)) {
            return peer->address;
        }
    }
    return 0;
}

/* Microseconds since the leader was heard; very many if it is unknown. */
static uint64_t
lag_us(const struct fleet *fleet, uint64_t now_us)
{
    const struct fleet_control *control = fleet->control;
    const struct fleet_peer *leader;
    uint32_t address;

    if (control->quorum != NULL) {
        return quorum_core_leader_lag_us(control->quorum, now_us);
    }
    address = fleet_control_leader(fleet);
    leader = g_hash_table_lookup(fleet->peers, GUINT_TO_POINTER(address));
    return leader == NULL ? UINT32_MAX
                          : fleet_elapsed_us(now_us, leader->heard_us);
}

/* Whether what is told to this daemon becomes known to the leader. */
bool
fleet_control_in_touch(const struct fleet *fleet)
{
    return lag_us(fleet, fleet_now_us()) < FLEET_FRESH_US;
}

static void
fill_greeting(struct fleet *fleet, Parsleyspur__FleetGreeting *greeting,
              uint64_t now_us)
{
    const struct fleet_control *control = fleet->control;
    uint64_t lag_ms = lag_us(fleet, now_us) / 1000;
    GHashTableIter iter;
    gpointer key, value;

    greeting->control = true;
    greeting->zone = fleet->zone;
    greeting->revision = control->quorum == NULL
                             ? catalog_revision(fleet->catalog)
                             : catalog_changed(fleet->catalog);
    greeting->leader = fleet_control_leader(fleet);
    greeting->lag_ms = (uint32_t)MIN(lag_ms, LAG_UNKNOWN_MS);
    greeting->seat = control->quorum == NULL ? 0 : (uint32_t)control->seat;
    greeting->empty = control->seat == 0;
    greeting->members_known = control->formed;
    greeting->seat_count = (uint32_t)control->seat_count;
    greeting->seats =
        g_new0(Parsleyspur__CatalogSeat *, control->seat_count + 1);
    for (size_t i = 0; i < control->seat_count; i++) {
        greeting->seats[greeting->n_seats++] =
            catalog_wire_seat(i, &control->seats[i]);
    }
    greeting->controls = g_new0(uint32_t, g_hash_table_size(fleet->peers) + 1);
    g_hash_table_iter_init(&iter, fleet->peers);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const struct fleet_peer *peer = value;

        if (peer->control && fleet_peer_is_fresh(peer, now_us)) {
            greeting->controls[greeting->n_controls++] = peer->address;
        }
    }
}

static void
greet(struct fleet *fleet, uint32_t address, bool answer)
{
    Parsleyspur__FleetMessage *message = g_malloc0(sizeof(*message));
    uint64_t now_us = fleet_now_us();

    parsleyspur__fleet_message__init(message);
    message->greeting = g_malloc0(sizeof(*message->greeting));
    parsleyspur__fleet_greeting__init(message->greeting);
    fill_greeting(fleet, message->greeting, now_us);
    message->greeting->answer = answer;
    message->greeting->rank =
        address == message->greeting->leader ? 0 : FLEET_FEEDS_MAX;
    fleet_send(fleet, address, message);
    parsleyspur__fleet_message__free_unpacked(message, NULL);
}

static void
greet_all(struct fleet *fleet, uint64_t now_us)
{
    GArray *addresses = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    GHashTableIter iter;
    gpointer key, value;

    if (now_us < fleet->greet_us) {
        g_array_unref(addresses);
        return;
    }
    fleet->greet_us =
        now_us +
        (fleet_control_in_touch(fleet) ? FLEET_GREET_US : FLEET_GREET_FAST_US);
    g_hash_table_iter_init(&iter, fleet->peers);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        if (((const struct fleet_peer *)value)->control) {
            g_array_append_val(addresses,
                               ((struct fleet_peer *)value)->address);
        }
    }
    for (guint i = 0; i < addresses->len; i++) {
        greet(fleet, g_array_index(addresses, uint32_t, i), false);
    }
    g_array_unref(addresses);
}

/* Learn the seats from another daemon, if its fleet has formed. */
static void
take_seats(struct fleet *fleet, const Parsleyspur__FleetGreeting *greeting)
{
    struct fleet_control *control = fleet->control;

    if (!greeting->members_known || greeting->seat_count == 0 ||
        greeting->seat_count > CATALOG_SEATS_MAX) {
        return;
    }
    if (control->seat_count == 0) {
        control->seat_count = greeting->seat_count;
    }
    for (size_t i = 0; i < greeting->n_seats; i++) {
        const Parsleyspur__CatalogSeat *seat = greeting->seats[i];

        if (seat->seat < control->seat_count && seat->address != 0) {
            fleet_control_adopt_seat(fleet, seat->seat, seat->address,
                                     seat->revision);
        }
    }
}

static void
take_greeting(struct fleet *fleet, struct fleet_peer *peer,
              const Parsleyspur__FleetGreeting *greeting)
{
    fleet_peer_heard(fleet, peer, greeting);
    if (greeting->control) {
        take_seats(fleet, greeting);
    }
    else {
        greet(fleet, peer->address, true);
    }
}

/* Confirm the revision of a current read, if this daemon leads. */
static void
answer_confirm(struct fleet *fleet, const struct fleet_peer *peer,
               const Parsleyspur__FleetConfirm *confirm)
{
    const struct fleet_control *control = fleet->control;
    Parsleyspur__FleetMessage message = PARSLEYSPUR__FLEET_MESSAGE__INIT;
    Parsleyspur__FleetSubmitAnswer answer =
        PARSLEYSPUR__FLEET_SUBMIT_ANSWER__INIT;

    answer.id = confirm->id;
    answer.committed = control->leading &&
                       quorum_core_read_ok(control->quorum, fleet_now_us());
    answer.revision = catalog_changed(fleet->catalog);
    message.confirm_answer = &answer;
    fleet_send(fleet, peer->address, &message);
}

/* A message of another daemon of the fleet. */
void
fleet_control_message(struct fleet *fleet, struct fleet_peer *peer,
                      const Parsleyspur__FleetMessage *message)
{
    struct catalog_change change;

    if (message->greeting != NULL) {
        take_greeting(fleet, peer, message->greeting);
    }
    if (message->quorum != NULL) {
        fleet_quorum_message(fleet, peer, message->quorum);
    }
    if (message->submit != NULL) {
        struct fleet_waiter waiter = {.kind = FLEET_WAITER_PEER,
                                      .what = "command"};

        waiter.u.peer.address = peer->address;
        waiter.u.peer.id = message->submit->id;
        fleet_request_bytes(fleet, message->submit->command.data,
                            message->submit->command.len, &waiter);
    }
    if (message->submit_answer != NULL) {
        fleet_request_done(fleet, message->submit_answer->id,
                           message->submit_answer->committed);
    }
    if (message->confirm != NULL) {
        answer_confirm(fleet, peer, message->confirm);
    }
    if (message->confirm_answer != NULL) {
        fleet_request_confirmed(fleet, message->confirm_answer->id,
                                message->confirm_answer->committed,
                                message->confirm_answer->revision);
    }
    if (message->heard != NULL) {
        fleet_presence_told(fleet, message->heard);
    }
    if (message->update.len > 0 && fleet->control->seat == 0 &&
        !catalog_merge(fleet->catalog, message->update.data,
                       message->update.len, &change)) {
        counter_add(&fleet->counters, COUNTER_PEER_BAD_FRAMES, 1);
    }
    own_seat_changed(fleet);
}

/* True if PEER has been given a seat, whether it knows that or not. */
static bool
holds_seat(const struct fleet *fleet, const struct fleet_peer *peer)
{
    for (size_t i = 0; i < fleet->control->seat_count; i++) {
        if (fleet->control->seats[i].address == peer->address) {
            return true;
        }
    }
    return false;
}

static size_t
list_standbys(struct fleet *fleet, struct fleet_standby *standbys,
              uint64_t now_us)
{
    GHashTableIter iter;
    gpointer key, value;
    size_t count = 0;

    g_hash_table_iter_init(&iter, fleet->peers);
    while (g_hash_table_iter_next(&iter, &key, &value) &&
           count < STANDBYS_MAX) {
        const struct fleet_peer *peer = value;

        if (peer->control && peer->empty && !holds_seat(fleet, peer) &&
            fleet_peer_is_fresh(peer, now_us)) {
            standbys[count].address = peer->address;
            standbys[count].zone = peer->zone;
            count++;
        }
    }
    return count;
}

/* The leader gives a seat that nobody votes from to a standby. */
static void
look_after_seats(struct fleet *fleet, uint64_t now_us)
{
    struct fleet_control *control = fleet->control;
    struct fleet_seat_view seats[CATALOG_SEATS_MAX];
    struct fleet_standby standbys[STANDBYS_MAX];
    struct fleet_seat_change change;
    struct catalog_command command = {.kind = CATALOG_SEAT};
    struct fleet_waiter waiter = {.kind = FLEET_WAITER_NONE, .what = "seat"};

    if (!control->leading || !quorum_core_read_ok(control->quorum, now_us)) {
        return;
    }
    for (size_t i = 0; i < control->seat_count; i++) {
        const struct fleet_peer *peer = g_hash_table_lookup(
            fleet->peers, GUINT_TO_POINTER(control->seats[i].address));

        seats[i].address = control->seats[i].address;
        seats[i].zone = i + 1 == control->seat
                            ? fleet->zone
                            : (peer == NULL ? 0 : peer->zone);
        seats[i].heard =
            seats[i].address != 0 &&
            quorum_core_voter_heard(control->quorum, (struct daemon_id){i + 1},
                                    SEAT_LOST_US);
    }
    if (fleet_elapsed_us(now_us, control->seat_change_us) < SEAT_SETTLE_US &&
        !seats[control->seat_changed].heard) {
        return;
    }
    change = fleet_seats_decide(seats, control->seat_count, standbys,
                                list_standbys(fleet, standbys, now_us));
    if (change.address == 0) {
        return;
    }
    control->seat_change_us = now_us;
    control->seat_changed = change.seat;
    command.u.seat.index = change.seat;
    command.u.seat.address = change.address;
    fleet_request_command(fleet, &command, &waiter);
}

void
fleet_control_tick(struct fleet *fleet, uint64_t now_us)
{
    fleet_quorum_tick(fleet, now_us);
    greet_all(fleet, now_us);
    fleet_request_tick(fleet, now_us);
    fleet_presence_tick(fleet, now_us);
    look_after_seats(fleet, now_us);
    own_seat_changed(fleet);
    if (fleet->control->quorum != NULL) {
        fleet_feed_all(fleet, now_us);
    }
}

/* Answers under way go out; then the daemon ends. */
void
fleet_control_begin_stop(struct fleet *fleet)
{
    fleet->stop_us = fleet_now_us() + STOP_US;
}

void
fleet_control_close(struct fleet *fleet)
{
    fleet_request_fail_all(fleet);
    fleet_quorum_close(fleet);
}

void
fleet_control_free(struct fleet *fleet)
{
    struct fleet_control *control = fleet->control;

    if (control == NULL) {
        return;
    }
    g_hash_table_destroy(control->requests);
    g_hash_table_destroy(control->heard);
    g_hash_table_destroy(control->packed);
    g_array_unref(control->unsent);
    g_free(control);
    fleet->control = NULL;
}

/* Append the role's metrics. */
void
fleet_control_metrics(struct fleet *fleet, GString *out)
{
    const struct fleet_control *control = fleet->control;
    struct counter_extra extra[] = {
        {"quorum_seat", "The seat held, 0 for none.", "gauge",
         (double)control->seat},
        {"quorum_leading", "Whether this daemon leads.", "gauge",
         control->leading ? 1 : 0},
        {"quorum_lag_ms", "Since the leader was heard.", "gauge",
         (double)lag_us(fleet, fleet_now_us()) / 1000},
        {"calls_unavailable_total", "Calls without a majority in time.",
         "counter", (double)control->unavailable},
        {"announcements_total", "Announcements of targets.", "counter",
         (double)control->calls[FLEET_CALL_ANNOUNCE]},
        {"tables_total", "Tables sent by operators.", "counter",
         (double)control->calls[FLEET_CALL_REPLACE]},
        {"reads_total", "Reads of the tables.", "counter",
         (double)control->calls[FLEET_CALL_READ]},
        {"calls_refused_total", "Calls whose content is not valid.", "counter",
         (double)control->calls[FLEET_CALL_BAD]},
    };

    counter_write_extra(extra, G_N_ELEMENTS(extra), out);
    counter_write_latency("call_latency_ms", "Answered calls.",
                          control->latency, out);
}
