/*
 * Runs a voter of the replicated log whose state machine is the catalog.
 * Voters have numbers; the daemon assigned to a number may change at run time.
 */
#include "base/hash.h"
#include "base/log.h"
#include "fleet/fleet_control_private.h"
#include "peer/quorum_wire.h"

/* Time between checks of disk space and failed writes. */
#define CHECK_INTERVAL_US 1000000U
/*
 * Five heartbeats; short, because callers of a restarted fleet wait until its
 * first leader is elected.
 */
#define ELECTION_TIMEOUT_US 500000U
/* Few, since tables take a large part of a small disk. */
#define SNAPSHOT_ENTRIES 64
#define TRAILING_ENTRIES 64
/* What a voter with a new disk gets beside a snapshot, sent in 0.1 s. */
#define SNAPSHOT_BYTES (2U << 20)

static void step_core(struct fleet *, const struct quorum_event *);
static void run_action(struct fleet *, const struct quorum_action *);
static void log_tables(struct fleet *);
static void apply_entry(struct fleet *, const struct quorum_entry *);
static enum fleet_recipients recipients_for(enum quorum_message_kind);
static void send_message(struct fleet *, const struct quorum_action *);
static void install_snapshot(struct fleet *, const struct quorum_snapshot *);
static void supply_snapshot(struct fleet *, uint64_t index);
static void on_role_change(struct fleet *, const struct quorum_action *);
static void on_stored(void *, uint64_t token, bool ok);
static void on_space(void *, bool low);
static bool sender_is_assignee(struct fleet *, const struct fleet_peer *,
                               const struct quorum_message *,
                               uint64_t revision);
static void check_storage(struct fleet *, uint64_t now_us);
static void reopen_log(struct fleet *);
static void update_assignments(struct fleet *);

/* Handle the end of a write to the log files. */
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
    step_core(fleet, &event);
}

/* Handle the disk becoming nearly full, or having space again. */
static void
on_space(void *user, bool low)
{
    struct fleet *fleet = user;
    struct quorum_event event = {.kind = QUORUM_EV_DISK_SPACE};

    fleet_log_line(
        fleet->log, FLEET_LOG_STATE, clock_boottime_us(),
        low ? "disk-nearly-full" : "disk-has-space", "\"effect\":\"%s\"",
        low ? "changes are refused here while this daemon is the leader"
            : "changes are accepted again");
    if (fleet->control->quorum != NULL) {
        event.u.space_low = low;
        step_core(fleet, &event);
    }
}

/*
 * Open the log of the voter that this daemon is, and start the voter.  With an
 * empty log it may form a new fleet with the other initial voters, unless it
 * knows that the fleet has formed: then it has lost its log.  Return false and
 * set ERROR if the log cannot be opened.
 */
bool
fleet_quorum_open(struct fleet *fleet, GError **error)
{
    struct fleet_control *control = fleet->control;
    struct quorum_options options = {
        .self = {control->voter},
        .voter_count = control->voter_count,
        .no_bootstrap = control->fleet_formed,
        .seed = hash_pair(fleet->options->address, clock_boottime_us()),
        .election_timeout_us = ELECTION_TIMEOUT_US,
        .heartbeat_us = FLEET_QUORUM_HEARTBEAT_US,
        .snapshot_entries = SNAPSHOT_ENTRIES,
        .trailing_entries = TRAILING_ENTRIES,
        .snapshot_bytes = SNAPSHOT_BYTES,
    };
    struct store_handler handler = {on_stored, on_space, fleet};
    struct storage_report report;
    struct quorum_stored stored;
    char *folder = fleet_voter_file_log_folder(fleet);
    uint64_t started_us = clock_boottime_us();

    for (size_t i = 0; i < control->voter_count; i++) {
        options.voters[i].value = i + 1;
        options.initial_voter_count +=
            control->voters[i].assigned.address != 0 ? 1 : 0;
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
    fleet_log_line(
        fleet->log, FLEET_LOG_STATE, clock_boottime_us(), "log-open",
        "\"voter\":%zu,\"empty\":%s,\"may_form\":%s,"
        "\"records\":%" G_GUINT64_FORMAT ",\"torn_bytes\":%" G_GUINT64_FORMAT
        ",\"votes\":%s,\"term\":%" G_GUINT64_FORMAT
        ",\"took_ms\":%" G_GUINT64_FORMAT,
        control->voter, report.was_empty ? "true" : "false",
        options.no_bootstrap ? "false" : "true", report.records,
        report.torn_bytes,
        quorum_core_has_vote(control->quorum) ? "true" : "false",
        quorum_core_term(control->quorum),
        (clock_boottime_us() - started_us) / 1000);
    quorum_stored_clear(&stored);
    return true;
}

/*
 * Open the log as fleet_quorum_open() does, unless the voters are not stored
 * yet; a failure is logged, and fleet_quorum_tick() tries again.
 */
void
fleet_quorum_try_open(struct fleet *fleet)
{
    GError *error = NULL;
    char *text;

    if (!fleet->control->voters_stored) {
        return;
    }
    if (!fleet_quorum_open(fleet, &error)) {
        text = log_json_text(error->message);
        fleet_log_line(fleet->log, FLEET_LOG_STATE, clock_boottime_us(),
                       "log-not-open", "\"error\":%s", text);
        g_free(text);
        g_error_free(error);
    }
}

/* Close the log and free the voter, if there is one. */
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
 * Open the log files again, as after a restart: after a failed write nothing
 * counts as stored unless it was read back.
 */
static void
reopen_log(struct fleet *fleet)
{
    fleet_request_fail_all(fleet);
    fleet_quorum_close(fleet);
    fleet_quorum_try_open(fleet);
}

/*
 * Open the log again if it failed, else check the disk space; at most every
 * CHECK_INTERVAL_US.
 */
static void
check_storage(struct fleet *fleet, uint64_t now_us)
{
    struct fleet_control *control = fleet->control;

    if (now_us < control->next_check_us) {
        return;
    }
    control->next_check_us = now_us + CHECK_INTERVAL_US;
    if (control->quorum == NULL || quorum_core_failed(control->quorum)) {
        reopen_log(fleet);
    }
    else {
        store_check_space(control->store);
    }
}

/* Do the periodic work of the voter, if this daemon is one. */
void
fleet_quorum_tick(struct fleet *fleet, uint64_t now_us)
{
    struct quorum_event event = {.kind = QUORUM_EV_TICK};

    if (fleet->control->voter == 0) {
        return;
    }
    check_storage(fleet, now_us);
    if (fleet->control->quorum != NULL) {
        step_core(fleet, &event);
    }
}

/* Transfer the leadership to another voter, before a planned stop. */
void
fleet_quorum_resign(struct fleet *fleet)
{
    struct quorum_event event = {.kind = QUORUM_EV_RESIGN};

    if (fleet->control->quorum != NULL) {
        step_core(fleet, &event);
    }
}

/*
 * Propose a command.  fleet_request_finish() is called with REQUEST and the
 * outcome.
 */
void
fleet_quorum_propose(struct fleet *fleet, uint64_t request,
                     const uint8_t *data, size_t len)
{
    struct quorum_proposal proposal = {request, g_bytes_new(data, len)};
    struct quorum_event event = {.kind = QUORUM_EV_PROPOSE};

    event.u.propose.items = &proposal;
    event.u.propose.count = 1;
    step_core(fleet, &event);
    g_bytes_unref(proposal.command);
}

/*
 * Return true if PEER, the sender of MESSAGE, is an assignee of its voter
 * number as far as is known.  PEER reports that the log entry
 * REVISION assigned it, which is recorded if it is newer.
 */
static bool
sender_is_assignee(struct fleet *fleet, const struct fleet_peer *peer,
                   const struct quorum_message *message, uint64_t revision)
{
    struct fleet_control *control = fleet->control;
    struct fleet_assignee assignee = {peer->address, revision};
    uint64_t voter = message->from.value;

    if (voter < 1 || voter > control->voter_count || voter == control->voter) {
        return false;
    }
    fleet_voter_set_assigned(fleet, voter - 1, assignee);
    if (message->has_vote) {
        fleet_voter_set_voting(fleet, voter - 1, assignee);
    }
    return fleet_assignment_includes(&control->voters[voter - 1], assignee);
}

/*
 * Handle a message from another voter.  It is dropped if its sender is not an
 * assignee of that voter number any more.
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
        sender_is_assignee(fleet, peer, &message, wrapped->voter_revision)) {
        event.u.message = &message;
        step_core(fleet, &event);
    }
    quorum_message_clear(&message);
}

/*
 * Step the core and run its actions; snapshots come last, since each is a
 * further step.
 */
static void
step_core(struct fleet *fleet, const struct quorum_event *event)
{
    struct fleet_control *control = fleet->control;
    struct quorum_actions actions = {0};
    uint64_t now_us = clock_boottime_us();
    uint64_t changed = catalog_changed_revision(fleet->catalog);
    uint64_t version = catalog_version(fleet->catalog);

    quorum_core_step(control->quorum, now_us, event, &actions);
    for (size_t i = 0; i < actions.count; i++) {
        run_action(fleet, &actions.items[i]);
    }
    for (size_t i = 0; i < actions.count; i++) {
        if (actions.items[i].kind == QUORUM_ACT_TAKE_SNAPSHOT) {
            supply_snapshot(fleet, actions.items[i].u.take_snapshot);
        }
    }
    quorum_actions_clear(&actions);
    g_free(actions.items);
    if (quorum_core_has_vote(control->quorum)) {
        fleet_voter_set_voting(fleet, control->voter - 1,
                               fleet_voter_self(fleet));
    }
    if (!control->leading &&
        quorum_core_role(control->quorum) == QUORUM_LEADER &&
        quorum_core_read_ok(control->quorum, now_us)) {
        control->leading = true;
        control->fleet_formed = true;
        fleet_announcement_restart(fleet, now_us);
    }
    if (catalog_changed_revision(fleet->catalog) != changed) {
        fleet_push_all(fleet, now_us);
    }
    if (catalog_version(fleet->catalog) != version) {
        log_tables(fleet);
    }
}

/* Run one action of the core, except for a snapshot. */
static void
run_action(struct fleet *fleet, const struct quorum_action *action)
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
        apply_entry(fleet, action->u.apply);
        break;
    case QUORUM_ACT_INSTALL_SNAPSHOT:
        install_snapshot(fleet, action->u.install);
        break;
    case QUORUM_ACT_ROLE:
        on_role_change(fleet, action);
        break;
    case QUORUM_ACT_REFUSE:
        fleet_request_finish(fleet, action->u.refuse.request, false);
        break;
    case QUORUM_ACT_TAKE_SNAPSHOT:
    case QUORUM_ACT__MAX:
        break;
    }
}

/* Log the tables that have come in force. */
static void
log_tables(struct fleet *fleet)
{
    fleet_log_line(
        fleet->log, FLEET_LOG_STATE, clock_boottime_us(), "tables-in-force",
        "\"version\":%" G_GUINT64_FORMAT ",\"revision\":%" G_GUINT64_FORMAT
        ",\"routes\":%zu,\"routes_without_pool\":%zu",
        catalog_version(fleet->catalog), catalog_revision(fleet->catalog),
        catalog_route_count(fleet->catalog),
        catalog_routes_without_pool(fleet->catalog));
}

/* Apply a committed entry, and finish the request if it was proposed here. */
static void
apply_entry(struct fleet *fleet, const struct quorum_entry *entry)
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
                       ",\"remedy\":\"run the same release on all daemons\"",
                       entry->index);
    }
    else {
        catalog_apply(fleet->catalog, entry->index, &command, &change);
        if (change.zones) {
            fleet_zone_applied(fleet, &command.u.zone);
        }
        catalog_command_clear(&command);
    }
    if (change.voters) {
        update_assignments(fleet);
    }
    if (entry->request != 0) {
        fleet_request_finish(fleet, entry->request, !change.outdated);
    }
}

/* Record the voters that the log has assigned. */
static void
update_assignments(struct fleet *fleet)
{
    const struct catalog_voter *voters = catalog_voters(fleet->catalog);

    for (size_t i = 0; i < fleet->control->voter_count; i++) {
        struct fleet_assignee assignee = {voters[i].address,
                                          voters[i].revision};

        if (assignee.revision > 0) {
            fleet_voter_set_assigned(fleet, i, assignee);
        }
    }
}

/*
 * Return which assignees a message of KIND is for, if a voter number has two.
 */
static enum fleet_recipients
recipients_for(enum quorum_message_kind kind)
{
    return kind == QUORUM_MSG_APPEND || kind == QUORUM_MSG_SNAPSHOT
               ? FLEET_TO_ONE_ASSIGNEE
               : FLEET_TO_ALL_ASSIGNEES;
}

/*
 * Send a message from the core to the assignees of its recipient's voter
 * number.
 */
static void
send_message(struct fleet *fleet, const struct quorum_action *action)
{
    const struct fleet_control *control = fleet->control;
    uint32_t recipients[FLEET_ASSIGNEES_MAX];
    size_t recipient_count;
    Parsleyspur__FleetMessage message = PARSLEYSPUR__FLEET_MESSAGE__INIT;
    Parsleyspur__FleetQuorum wrapped = PARSLEYSPUR__FLEET_QUORUM__INIT;
    uint64_t to = action->u.send.to.value;
    GByteArray *bytes;

    if (to < 1 || to > control->voter_count) {
        return;
    }
    recipient_count = fleet_assignment_recipients(
        &control->voters[to - 1], recipients_for(action->u.send.message.kind),
        fleet_voter_answers(fleet, to - 1), recipients);
    bytes = g_byte_array_new();
    quorum_wire_pack(&action->u.send.message, bytes);
    wrapped.voter_revision = control->assigned_revision;
    wrapped.message.data = bytes->data;
    wrapped.message.len = bytes->len;
    message.quorum = &wrapped;
    for (size_t i = 0; i < recipient_count; i++) {
        fleet_send(fleet, recipients[i], &message);
    }
    g_byte_array_unref(bytes);
}

/* Replace the catalog with the content of a snapshot of the log. */
static void
install_snapshot(struct fleet *fleet, const struct quorum_snapshot *snapshot)
{
    struct catalog *catalog = catalog_new();
    struct catalog_change change;
    gsize len;
    const uint8_t *data = g_bytes_get_data(snapshot->data, &len);

    if (!catalog_merge(catalog, data, len, &change)) {
        fleet_log_line(fleet->log, FLEET_LOG_STATE, clock_boottime_us(),
                       "snapshot-damaged", "\"index\":%" G_GUINT64_FORMAT,
                       snapshot->index);
        catalog_free(catalog);
        return;
    }
    catalog_skip(catalog, snapshot->index);
    catalog_free(fleet->catalog);
    fleet->catalog = catalog;
    fleet->control->packed_revision = UINT64_MAX;
    update_assignments(fleet);
}

/* Give the core a snapshot of the catalog as of the entry INDEX. */
static void
supply_snapshot(struct fleet *fleet, uint64_t index)
{
    struct quorum_event event = {.kind = QUORUM_EV_SNAPSHOT};
    GByteArray *bytes = g_byte_array_new();

    catalog_pack_update(fleet->catalog, 0, CATALOG_COMPLETE, bytes);
    event.u.snapshot.index = index;
    event.u.snapshot.data = g_byte_array_free_to_bytes(bytes);
    step_core(fleet, &event);
    g_bytes_unref(event.u.snapshot.data);
}

/*
 * Handle a change of role, term or leader: once a leader is known, the fleet
 * has formed.
 */
static void
on_role_change(struct fleet *fleet, const struct quorum_action *action)
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
    if (action->u.role.leader.value != 0 && !control->fleet_formed) {
        control->fleet_formed = true;
        fleet_voter_file_write(fleet);
    }
}
