/*
 * The control role: a voter of the replicated log whose entries are the
 * commands of the tables.  The leader takes edits and call epochs, and gives
 * each new version to the spread core.
 */
#include "daemon/control_private.h"

#include "base/hash.h"
#include "base/log.h"
#include "peer/quorum_wire.h"

#define LOG_FOLDER    "log"   /* within the data folder */
#define LOOK_EVERY_US 1000000 /* between looks at space and failures */

static void act(struct daemon *, const struct quorum_action *);
static void send_message(struct daemon *, const struct quorum_action *);
static void install(struct daemon *, const struct quorum_snapshot *);
static void give_snapshot(struct daemon *, uint64_t index);
static void on_role(struct daemon *, const struct quorum_action *);
static void begin_leading(struct daemon *);
static void end_leading(struct daemon *);
static void on_stored(void *, uint64_t token, bool ok);
static void on_space(void *, bool low);
static bool open_store(struct daemon *, struct quorum_stored *, GError **);
static void log_report(const struct storage_report *);
static bool open_quorum(struct daemon *, GError **);
static void close_quorum(struct control *);
static void recover(struct daemon *);
static void look_after(struct daemon *, uint64_t now_us);

static void
on_stored(void *user, uint64_t token, bool ok)
{
    struct quorum_event event = {.kind = QUORUM_EV_STORED};

    event.u.stored.token = token;
    event.u.stored.ok = ok;
    control_step(user, &event);
}

static void
on_space(void *user, bool low)
{
    struct quorum_event event = {.kind = QUORUM_EV_DISK_SPACE};

    log_state(low ? G_LOG_LEVEL_WARNING : G_LOG_LEVEL_MESSAGE,
              low ? "the data folder is nearly full: edits are refused; "
                    "free space"
                  : "the data folder has space again",
              NULL);
    event.u.space_low = low;
    control_step(user, &event);
}

static void
log_report(const struct storage_report *report)
{
    char bytes[32];

    if (report->torn_bytes > 0) {
        g_snprintf(bytes, sizeof(bytes), "%" G_GUINT64_FORMAT,
                   report->torn_bytes);
        log_state(G_LOG_LEVEL_WARNING,
                  "cut a torn record off the log; it was never answered for",
                  "file", report->torn_file, "bytes", bytes, NULL);
    }
}

/* Open the log's files; STORED is filled with what they hold. */
static bool
open_store(struct daemon *daemon, struct quorum_stored *stored, GError **error)
{
    struct store_handler handler = {on_stored, on_space, daemon};
    struct storage_report report;
    char *folder =
        g_build_filename(daemon->settings->data_dir, LOG_FOLDER, NULL);

    daemon->control->store =
        store_new(&daemon->loop, folder, handler, stored, &report, error);
    g_free(folder);
    if (daemon->control->store == NULL) {
        return false;
    }
    log_report(&report);
    return true;
}

/* Open the log and make a voter of what it holds. */
static bool
open_quorum(struct daemon *daemon, GError **error)
{
    const struct settings *settings = daemon->settings;
    struct table_core_options tables = {0};
    struct quorum_options options = {
        .self = daemon->self, .voters = {daemon->self}, .voter_count = 1};
    struct control *control = daemon->control;
    struct quorum_stored stored;

    options.seed = hash_pair(daemon->seed, daemon_now_us());
    for (size_t i = 0; i < settings->voter_count; i++) {
        options.voters[i] = view_daemon_id(settings->voters[i].name);
        options.voter_count = settings->voter_count;
    }
    if (!open_store(daemon, &stored, error)) {
        return false;
    }
    control->tables = table_core_new(&tables);
    control->quorum = quorum_core_new(&options, &stored, daemon_now_us());
    quorum_stored_clear(&stored);
    return true;
}

static void
close_quorum(struct control *control)
{
    if (control->store != NULL) {
        store_close(control->store);
        quorum_core_free(control->quorum);
        table_core_free(control->tables);
    }
    control->store = NULL;
    control->quorum = NULL;
    control->tables = NULL;
}

/* Start the role, if the settings give it to this daemon. */
bool
control_start(struct daemon *daemon, GError **error)
{
    if (!daemon->settings->control) {
        return true;
    }
    daemon->control = g_new0(struct control, 1);
    daemon->control->waiting =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    return open_quorum(daemon, error);
}

/*
 * After a failed write nothing of the log may count as stored that was not
 * read back: open the files anew, as after a restart.
 */
static void
recover(struct daemon *daemon)
{
    struct control *control = daemon->control;
    GError *error = NULL;

    end_leading(daemon);
    control_refuse_waiting(daemon);
    close_quorum(control);
    if (open_quorum(daemon, &error)) {
        log_state(G_LOG_LEVEL_MESSAGE, "the log is open again", NULL);
        return;
    }
    log_state(G_LOG_LEVEL_WARNING, "cannot open the log", "error",
              error->message, NULL);
    g_error_free(error);
}

/* Now and then: see to a failed log, and to the space for it. */
static void
look_after(struct daemon *daemon, uint64_t now_us)
{
    struct control *control = daemon->control;

    if (now_us < control->look_us) {
        return;
    }
    control->look_us = now_us + LOOK_EVERY_US;
    if (control->quorum == NULL || quorum_core_failed(control->quorum)) {
        recover(daemon);
    }
    else {
        store_check_space(control->store);
    }
}

/* Let the log's task finish and begin to close its handle. */
void
control_close(struct daemon *daemon)
{
    if (daemon->control != NULL) {
        close_quorum(daemon->control);
    }
}

void
control_stop(struct daemon *daemon)
{
    struct control *control = daemon->control;

    if (control == NULL) {
        return;
    }
    g_hash_table_destroy(control->waiting);
    g_free(control);
    daemon->control = NULL;
}

void
control_tick(struct daemon *daemon, uint64_t now_us)
{
    struct quorum_event event = {.kind = QUORUM_EV_TICK};

    if (daemon->control == NULL) {
        return;
    }
    look_after(daemon, now_us);
    if (daemon->control->quorum != NULL) {
        control_step(daemon, &event);
    }
}

/* Take in a message of another voter. */
void
control_message(struct daemon *daemon, struct daemon_id from,
                const uint8_t *data, size_t len)
{
    struct quorum_event event = {.kind = QUORUM_EV_MESSAGE};
    struct quorum_message message;

    if (daemon->control == NULL || !quorum_wire_unpack(data, len, &message)) {
        counter_add(&daemon->counters, COUNTER_PEER_BAD_FRAMES, 1);
        return;
    }
    if (message.from.value == from.value) {
        event.u.message = &message;
        control_step(daemon, &event);
    }
    quorum_message_clear(&message);
}

/*
 * Step the core and carry out its actions.  A snapshot is given last, since
 * it is a further step.
 */
void
control_step(struct daemon *daemon, const struct quorum_event *event)
{
    struct quorum_actions actions = {0};

    quorum_core_step(daemon->control->quorum, daemon_now_us(), event,
                     &actions);
    for (size_t i = 0; i < actions.count; i++) {
        act(daemon, &actions.items[i]);
    }
    for (size_t i = 0; i < actions.count; i++) {
        if (actions.items[i].kind == QUORUM_ACT_TAKE_SNAPSHOT) {
            give_snapshot(daemon, actions.items[i].u.take_snapshot);
        }
    }
    quorum_actions_clear(&actions);
    g_free(actions.items);
    if (!daemon->control->leading &&
        quorum_core_role(daemon->control->quorum) == QUORUM_LEADER &&
        quorum_core_read_ok(daemon->control->quorum, daemon_now_us())) {
        begin_leading(daemon);
    }
}

static void
act(struct daemon *daemon, const struct quorum_action *action)
{
    switch (action->kind) {
    case QUORUM_ACT_STORE:
        store_submit(daemon->control->store, action->u.store.token,
                     action->u.store.records, action->u.store.count);
        break;
    case QUORUM_ACT_SEND:
        send_message(daemon, action);
        break;
    case QUORUM_ACT_APPLY:
        control_apply(daemon, action->u.apply);
        break;
    case QUORUM_ACT_INSTALL_SNAPSHOT:
        install(daemon, action->u.install);
        break;
    case QUORUM_ACT_ROLE:
        on_role(daemon, action);
        break;
    case QUORUM_ACT_REFUSE:
        control_refused(daemon, action->u.refuse.reason,
                        action->u.refuse.request);
        break;
    case QUORUM_ACT_TAKE_SNAPSHOT:
    case QUORUM_ACT__MAX:
        break;
    }
}

static void
send_message(struct daemon *daemon, const struct quorum_action *action)
{
    GByteArray *bytes = g_byte_array_new();

    quorum_wire_pack(&action->u.send.message, bytes);
    mesh_send(daemon->mesh, action->u.send.to, PEER_QUORUM, bytes->data,
              bytes->len);
    g_byte_array_unref(bytes);
}

/* Replace the tables by a snapshot of the log. */
static void
install(struct daemon *daemon, const struct quorum_snapshot *snapshot)
{
    struct control *control = daemon->control;
    struct table_core_options options = {0};
    struct table_core *fresh = table_core_new(&options);
    gsize len;
    const uint8_t *data = g_bytes_get_data(snapshot->data, &len);

    if (table_core_merge(fresh, data, len) == TABLE_DAMAGED) {
        log_state(G_LOG_LEVEL_WARNING, "a snapshot does not decode", NULL);
        table_core_free(fresh);
        return;
    }
    table_core_free(control->tables);
    control->tables = fresh;
}

static void
give_snapshot(struct daemon *daemon, uint64_t index)
{
    struct quorum_event event = {.kind = QUORUM_EV_SNAPSHOT};
    GByteArray *bytes = g_byte_array_new();

    table_core_pack_snapshot(daemon->control->tables, TABLE_ROWS_AND_ANSWERS,
                             bytes);
    event.u.snapshot.index = index;
    event.u.snapshot.data = g_byte_array_free_to_bytes(bytes);
    control_step(daemon, &event);
    g_bytes_unref(event.u.snapshot.data);
}

static void
on_role(struct daemon *daemon, const struct quorum_action *action)
{
    struct daemon_id leader = action->u.role.leader;
    const char *name = member_core_name(daemon->member, leader);
    char term[32];

    g_snprintf(term, sizeof(term), "%" G_GUINT64_FORMAT, action->u.role.term);
    log_state(G_LOG_LEVEL_MESSAGE, "quorum role", "role",
              quorum_role_name(action->u.role.role), "term", term, "leader",
              leader.value == 0 ? "none" : (name == NULL ? "?" : name), NULL);
    if (action->u.role.role != QUORUM_LEADER) {
        end_leading(daemon);
    }
}

/*
 * Lead: all that earlier leaders committed is applied.  The present version
 * is given to the spread core, which finds out who lacks it.
 */
static void
begin_leading(struct daemon *daemon)
{
    struct control *control = daemon->control;
    struct spread_event event = {.kind = SPREAD_EV_LEAD};
    uint64_t version = table_core_position(control->tables).version;

    control->leading = true;
    event.u.lead.term = quorum_core_term(control->quorum);
    event.u.lead.leading = true;
    daemon_spread_event(daemon, &event);
    if (version > 0) {
        struct spread_event last = {.kind = SPREAD_EV_COMMITTED};

        last.u.committed.from = version;
        last.u.committed.to = version;
        daemon_spread_event(daemon, &last);
    }
}

static void
end_leading(struct daemon *daemon)
{
    struct spread_event event = {.kind = SPREAD_EV_LEAD};

    if (!daemon->control->leading) {
        return;
    }
    daemon->control->leading = false;
    event.u.lead.term = quorum_core_term(daemon->control->quorum);
    daemon_spread_event(daemon, &event);
}

struct daemon_id
control_leader(const struct daemon *daemon)
{
    if (daemon->control == NULL || daemon->control->quorum == NULL) {
        return (struct daemon_id){0};
    }
    return quorum_core_leader(daemon->control->quorum);
}

bool
control_is_current(const struct daemon *daemon)
{
    return daemon->control != NULL && daemon->control->leading &&
           quorum_core_read_ok(daemon->control->quorum, daemon_now_us());
}

/* The committed tables, or those in force where there are none. */
const struct table_core *
control_tables(const struct daemon *daemon)
{
    return daemon->control != NULL && daemon->control->tables != NULL
               ? daemon->control->tables
               : daemon->in_force;
}

/* A version is in force on every live entry daemon. */
void
control_in_force(struct daemon *daemon, uint64_t version)
{
    char text[32];

    (void)daemon;
    g_snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT, version);
    log_state(G_LOG_LEVEL_MESSAGE, "version staged on every live daemon",
              "version", text, NULL);
}
