/*
 * A voter of the replicated log whose state machine is the catalog.  Voters
 * have numbers; which daemon is the voter of a number changes while they run.
 */
#include "base/hash.h"
#include "base/log.h"
#include "fleet/fleet_control_private.h"
#include "peer/quorum_wire.h"

#define LOOK_EVERY_US 1000000U /* between looks at space and failures */
/* Five heartbeats: callers of a restarted fleet wait for its first leader. */
#define ELECTION_US      500000U
#define SNAPSHOT_ENTRIES 64 /* tables are a large part of a small disk */
#define TRAILING_ENTRIES 64

static void step(struct fleet *, const struct quorum_event *);
static void act(struct fleet *, const struct quorum_action *);
static void apply(struct fleet *, const struct quorum_entry *);
static enum fleet_addressee addressee_of(enum quorum_message_kind);
static void send_message(struct fleet *, const struct quorum_action *);
static void install(struct fleet *, const struct quorum_snapshot *);
static void give_snapshot(struct fleet *, uint64_t index);
static void on_role(struct fleet *, const struct quorum_action *);
static void on_stored(void *, uint64_t token, bool ok);
static void on_space(void *, bool low);
static bool is_that_voter(struct fleet *, const struct fleet_peer *,
                          const struct quorum_message *, uint64_t revision);
static void look_after(struct fleet *, uint64_t now_us);
static void recover(struct fleet *);
static void note_voters(struct fleet *);

static void
on_stored(void *user, uint64_t token, bool ok)
{
    struct fleet *fleet = user;
    struct quorum_event event = {.kind = QUORUM_EV_STORED};

    if (fleet->control->quorum == NULL) {
        return;
    }
    event.u.stored.token = token;
    event.u.stored.ok = ok;
    step(fleet, &event);
}

static void
on_space(void *user, bool low)
{
    struct fleet *fleet = user;
    struct quorum_event event = {.kind = QUORUM_EV_DISK_SPACE};

    fleet_log_line(fleet->log, FLEET_LOG_STATE, clock_boottime_us(),
                   low ? "disk-nearly-full" : "disk-has-space",
                   "\"effect\":\"%s\"",
                   low ? "changes are refused here while it leads"
                       : "changes are taken again");
    if (fleet->control->quorum != NULL) {
        event.u.space_low = low;
        step(fleet, &event);
    }
}

/*
 * Open the log of the voter that this daemon is, and start it.  MAY_FOUND: an empty
 * one may form a new cluster with the other founders.
 */
bool
fleet_quorum_open(struct fleet *fleet, bool may_found, GError **error)
{
    struct fleet_control *control = fleet->control;
    struct quorum_options options = {
        .self = {control->voter},
        .voter_count = control->voter_count,
        .no_bootstrap = !may_found,
        .seed = hash_pair(fleet->options->address, clock_boottime_us()),
        .election_timeout_us = ELECTION_US,
        .heartbeat_us = FLEET_LOG_HEARTBEAT_US,
        .snapshot_entries = SNAPSHOT_ENTRIES,
        .trailing_entries = TRAILING_ENTRIES,
    };
    struct store_handler handler = {on_stored, on_space, fleet};
    struct storage_report report;
    struct quorum_stored stored;
    char *folder = fleet_voter_log_folder(fleet);
    uint64_t begun_us = clock_boottime_us();

    for (size_t i = 0; i < control->voter_count; i++) {
        options.voters[i].value = i + 1;
        options.initial_voter_count +=
            control->voters[i].current.address != 0 ? 1 : 0;
    }
    control->store =
        store_new(&fleet->loop, folder, handler, &stored, &report, error);
    g_free(folder);
    if (control->store == NULL) {
        return false;
    }
    catalog_free(fleet->catalog);
    fleet->catalog = catalog_new();
    control->packed_revision = UINT64_MAX;
    control->quorum = quorum_core_new(&options, &stored, clock_boottime_us());
    fleet_log_line(fleet->log, FLEET_LOG_STATE, clock_boottime_us(),
                   "log-open",
                   "\"voter\":%zu,\"empty\":%s,\"records\":%" G_GUINT64_FORMAT
                   ",\"torn_bytes\":%" G_GUINT64_FORMAT
                   ",\"votes\":%s,\"term\":%" G_GUINT64_FORMAT
                   ",\"took_ms\":%" G_GUINT64_FORMAT,
                   control->voter, report.was_empty ? "true" : "false",
                   report.records, report.torn_bytes,
                   quorum_core_has_vote(control->quorum) ? "true" : "false",
                   quorum_core_term(control->quorum),
                   (clock_boottime_us() - begun_us) / 1000);
    quorum_stored_clear(&stored);
    return true;
}

/* Open the log as above; a failure is logged, and the tick tries again. */
void
fleet_quorum_try_open(struct fleet *fleet, bool may_found)
{
    GError *error = NULL;
    char *text;

    if (!fleet_quorum_open(fleet, may_found, &error)) {
        text = log_json_text(error->message);
        fleet_log_line(fleet->log, FLEET_LOG_STATE, clock_boottime_us(),
                       "log-not-open", "\"error\":%s", text);
        g_free(text);
        g_error_free(error);
    }
}

void
fleet_quorum_close(struct fleet *fleet)
{
    struct fleet_control *control = fleet->control;

    control->leading = false;
    if (control->store != NULL) {
        store_close(control->store);
        control->store = NULL;
    }
    quorum_core_free(control->quorum);
    control->quorum = NULL;
}

/*
 * After a failed write nothing counts as stored that was not read back: open
 * the files anew, as after a restart.
 */
static void
recover(struct fleet *fleet)
{
    fleet_request_fail_all(fleet);
    fleet_quorum_close(fleet);
    fleet_quorum_try_open(fleet, false);
}

static void
look_after(struct fleet *fleet, uint64_t now_us)
{
    struct fleet_control *control = fleet->control;

    if (now_us < control->look_us) {
        return;
    }
    control->look_us = now_us + LOOK_EVERY_US;
    if (control->quorum == NULL || quorum_core_failed(control->quorum)) {
        recover(fleet);
    }
    else {
        store_check_space(control->store);
    }
}

void
fleet_quorum_tick(struct fleet *fleet, uint64_t now_us)
{
    struct quorum_event event = {.kind = QUORUM_EV_TICK};

    if (fleet->control->voter == 0) {
        return;
    }
    look_after(fleet, now_us);
    if (fleet->control->quorum != NULL) {
        step(fleet, &event);
    }
}

/* Give the lead up to another voter, before a planned stop. */
void
fleet_quorum_resign(struct fleet *fleet)
{
    struct quorum_event event = {.kind = QUORUM_EV_RESIGN};

    if (fleet->control->quorum != NULL) {
        step(fleet, &event);
    }
}

/* Propose a command; fleet_request_done() tells REQUEST's outcome. */
void
fleet_quorum_propose(struct fleet *fleet, uint64_t request,
                     const uint8_t *data, size_t len)
{
    struct quorum_proposal proposal = {request, g_bytes_new(data, len)};
    struct quorum_event event = {.kind = QUORUM_EV_PROPOSE};

    event.u.propose.items = &proposal;
    event.u.propose.count = 1;
    step(fleet, &event);
    g_bytes_unref(proposal.command);
}

/*
 * True if the sender of MESSAGE, the daemon PEER, holds its voter's number, as
 * far as is known: what it says of its own tenure is taken if it is newer.
 */
static bool
is_that_voter(struct fleet *fleet, const struct fleet_peer *peer,
              const struct quorum_message *message, uint64_t revision)
{
    struct fleet_control *control = fleet->control;
    struct fleet_holder holder = {peer->address, revision};
    uint64_t voter = message->from.value;

    if (voter < 1 || voter > control->voter_count || voter == control->voter) {
        return false;
    }
    fleet_voter_adopt(fleet, voter - 1, holder);
    if (message->has_vote) {
        fleet_voter_note_vote(fleet, voter - 1, holder);
    }
    return fleet_tenure_holds(&control->voters[voter - 1], holder);
}

/*
 * A message of another voter.  One of a daemon that is not that voter any
 * more is left out.
 */
void
fleet_quorum_message(struct fleet *fleet, struct fleet_peer *peer,
                     const Parsleyspur__FleetQuorum *wrapped)
{
    struct quorum_event event = {.kind = QUORUM_EV_MESSAGE};
    struct quorum_message message;

    if (!quorum_wire_unpack(wrapped->message.data, wrapped->message.len,
                            &message)) {
        counter_add(&fleet->counters, COUNTER_PEER_BAD_FRAMES, 1);
        return;
    }
    if (fleet->control->quorum != NULL &&
        is_that_voter(fleet, peer, &message, wrapped->voter_revision)) {
        event.u.message = &message;
        step(fleet, &event);
    }
    quorum_message_clear(&message);
}

/* Step the core and carry out its actions; a snapshot, a further step, last.
 */
static void
step(struct fleet *fleet, const struct quorum_event *event)
{
    struct fleet_control *control = fleet->control;
    struct quorum_actions actions = {0};
    uint64_t now_us = clock_boottime_us();
    uint64_t changed = catalog_changed(fleet->catalog);

    quorum_core_step(control->quorum, now_us, event, &actions);
    for (size_t i = 0; i < actions.count; i++) {
        act(fleet, &actions.items[i]);
    }
    for (size_t i = 0; i < actions.count; i++) {
        if (actions.items[i].kind == QUORUM_ACT_TAKE_SNAPSHOT) {
            give_snapshot(fleet, actions.items[i].u.take_snapshot);
        }
    }
    quorum_actions_clear(&actions);
    g_free(actions.items);
    if (quorum_core_has_vote(control->quorum)) {
        fleet_voter_note_vote(fleet, control->voter - 1,
                              fleet_voter_self(fleet));
    }
    if (!control->leading &&
        quorum_core_role(control->quorum) == QUORUM_LEADER &&
        quorum_core_read_ok(control->quorum, now_us)) {
        control->leading = true;
        control->formed = true;
        fleet_presence_begin(fleet, now_us);
    }
    if (catalog_changed(fleet->catalog) != changed) {
        fleet_feed_all(fleet, now_us);
    }
}

static void
act(struct fleet *fleet, const struct quorum_action *action)
{
    switch (action->kind) {
    case QUORUM_ACT_STORE:
        store_submit(fleet->control->store, action->u.store.token,
                     action->u.store.records, action->u.store.count);
        break;
    case QUORUM_ACT_SEND:
        send_message(fleet, action);
        break;
    case QUORUM_ACT_APPLY:
        apply(fleet, action->u.apply);
        break;
    case QUORUM_ACT_INSTALL_SNAPSHOT:
        install(fleet, action->u.install);
        break;
    case QUORUM_ACT_ROLE:
        on_role(fleet, action);
        break;
    case QUORUM_ACT_REFUSE:
        fleet_request_done(fleet, action->u.refuse.request, false);
        break;
    case QUORUM_ACT_TAKE_SNAPSHOT:
    case QUORUM_ACT__MAX:
        break;
    }
}

/* Apply a committed entry and answer whoever proposed it here. */
static void
apply(struct fleet *fleet, const struct quorum_entry *entry)
{
    struct catalog_command command;
    struct catalog_change change = {0};
    gsize len;
    const uint8_t *data = g_bytes_get_data(entry->command, &len);

    if (!catalog_wire_unpack(data, len, &command)) {
        catalog_skip(fleet->catalog, entry->index);
        fleet_log_line(fleet->log, FLEET_LOG_STATE, clock_boottime_us(),
                       "command-unknown",
                       "\"index\":%" G_GUINT64_FORMAT
                       ",\"remedy\":\"run one release on all daemons\"",
                       entry->index);
    }
    else {
        catalog_apply(fleet->catalog, entry->index, &command, &change);
        catalog_command_clear(&command);
    }
    if (change.voters) {
        note_voters(fleet);
    }
    if (entry->request != 0) {
        fleet_request_done(fleet, entry->request, true);
    }
}

/* The log has made other daemons voters. */
static void
note_voters(struct fleet *fleet)
{
    const struct catalog_voter *voters = catalog_voters(fleet->catalog);

    for (size_t i = 0; i < fleet->control->voter_count; i++) {
        struct fleet_holder holder = {voters[i].address, voters[i].revision};

        if (holder.revision > 0) {
            fleet_voter_adopt(fleet, i, holder);
        }
    }
}

/* Whom a message of KIND is for, where a voter's number has two holders. */
static enum fleet_addressee
addressee_of(enum quorum_message_kind kind)
{
    return kind == QUORUM_MSG_APPEND || kind == QUORUM_MSG_SNAPSHOT
               ? FLEET_TO_FEED
               : FLEET_TO_VOTE;
}

static void
send_message(struct fleet *fleet, const struct quorum_action *action)
{
    const struct fleet_control *control = fleet->control;
    uint32_t holders[FLEET_HOLDERS_MAX];
    size_t holder_count;
    Parsleyspur__FleetMessage message = PARSLEYSPUR__FLEET_MESSAGE__INIT;
    Parsleyspur__FleetQuorum wrapped = PARSLEYSPUR__FLEET_QUORUM__INIT;
    uint64_t to = action->u.send.to.value;
    GByteArray *bytes;

    if (to < 1 || to > control->voter_count) {
        return;
    }
    holder_count = fleet_tenure_route(
        &control->voters[to - 1], addressee_of(action->u.send.message.kind),
        fleet_voter_answers(fleet, to - 1), holders);
    bytes = g_byte_array_new();
    quorum_wire_pack(&action->u.send.message, bytes);
    wrapped.voter_revision = control->tenure;
    wrapped.message.data = bytes->data;
    wrapped.message.len = bytes->len;
    message.quorum = &wrapped;
    for (size_t i = 0; i < holder_count; i++) {
        fleet_send(fleet, holders[i], &message);
    }
    g_byte_array_unref(bytes);
}

/* Replace the catalog by a snapshot of the log. */
static void
install(struct fleet *fleet, const struct quorum_snapshot *snapshot)
{
    struct catalog *fresh = catalog_new();
    struct catalog_change change;
    gsize len;
    const uint8_t *data = g_bytes_get_data(snapshot->data, &len);

    if (!catalog_merge(fresh, data, len, &change)) {
        fleet_log_line(fleet->log, FLEET_LOG_STATE, clock_boottime_us(),
                       "snapshot-damaged", "\"index\":%" G_GUINT64_FORMAT,
                       snapshot->index);
        catalog_free(fresh);
        return;
    }
    catalog_skip(fresh, snapshot->index);
    catalog_free(fleet->catalog);
    fleet->catalog = fresh;
    fleet->control->packed_revision = UINT64_MAX;
    note_voters(fleet);
}

static void
give_snapshot(struct fleet *fleet, uint64_t index)
{
    struct quorum_event event = {.kind = QUORUM_EV_SNAPSHOT};
    GByteArray *bytes = g_byte_array_new();

    catalog_pack_update(fleet->catalog, 0, CATALOG_COMPLETE, bytes);
    event.u.snapshot.index = index;
    event.u.snapshot.data = g_byte_array_free_to_bytes(bytes);
    step(fleet, &event);
    g_bytes_unref(event.u.snapshot.data);
}

static void
on_role(struct fleet *fleet, const struct quorum_action *action)
{
    struct fleet_control *control = fleet->control;

    fleet_log_line(fleet->log, FLEET_LOG_STATE, clock_boottime_us(),
                   "quorum-role",
                   "\"role\":\"%s\",\"term\":%" G_GUINT64_FORMAT
                   ",\"leader_voter\":%" G_GUINT64_FORMAT
                   ",\"commit\":%" G_GUINT64_FORMAT,
                   quorum_role_name(action->u.role.role), action->u.role.term,
                   action->u.role.leader.value,
                   quorum_core_commit_index(control->quorum));
    if (action->u.role.role != QUORUM_LEADER) {
        control->leading = false;
    }
    if (action->u.role.leader.value != 0 && !control->formed) {
        control->formed = true;
        fleet_voter_file_write(fleet);
    }
}
