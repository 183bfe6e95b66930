/*
 * Commands and reads on their way.  A daemon that does not lead passes them
 * to the leader; whoever waits gets an answer in any case, at the latest when
 * the time limit is over.
 */
#include "fleet/fleet_control_private.h"

#define COMMAND_LIMIT_US 2000000U /* the caller asks another daemon before */
#define READ_LIMIT_US    900000U

static struct fleet_request *
request_new(struct fleet *, const struct fleet_waiter *, uint64_t limit_us);
static void log_done(struct fleet *, const struct fleet_request *, bool ok);
static void answer(struct fleet *, const struct fleet_request *, bool ok);
static void answer_peer(struct fleet *, const struct fleet_request *, bool ok);
static void answer_read(struct fleet *, const struct fleet_request *);
static void ask_leader(struct fleet *, Parsleyspur__FleetMessage *);

static struct fleet_request *
request_new(struct fleet *fleet, const struct fleet_waiter *waiter,
            uint64_t limit_us)
{
    struct fleet_request *request = g_new0(struct fleet_request, 1);

    request->id = ++fleet->control->next_request;
    request->waiter = *waiter;
    request->begun_us = clock_boottime_us();
    request->deadline_us = request->begun_us + limit_us;
    g_hash_table_insert(fleet->control->requests, &request->id, request);
    return request;
}

static void
answer_peer(struct fleet *fleet, const struct fleet_request *request, bool ok)
{
    Parsleyspur__FleetMessage message = PARSLEYSPUR__FLEET_MESSAGE__INIT;
    Parsleyspur__FleetSubmitAnswer done =
        PARSLEYSPUR__FLEET_SUBMIT_ANSWER__INIT;

    done.id = request->waiter.u.peer.id;
    done.committed = ok;
    done.revision = catalog_revision(fleet->catalog);
    message.submit_answer = &done;
    fleet_send(fleet, request->waiter.u.peer.address, &message);
}

static void
answer_read(struct fleet *fleet, const struct fleet_request *request)
{
    GBytes *document = catalog_document(fleet->catalog);
    gsize len;
    const char *body;

    if (document == NULL) {
        fleet_answer(fleet, request->waiter.u.http, 503,
                     "no tables yet; send some, or ask again");
        return;
    }
    body = g_bytes_get_data(document, &len);
    fleet_answer_json(fleet, request->waiter.u.http, 200, body, len);
}

/* A line for the outcome of a call, with what the call was about. */
static void
log_done(struct fleet *fleet, const struct fleet_request *request, bool ok)
{
    const struct fleet_waiter *waiter = &request->waiter;
    uint64_t now_us = clock_boottime_us();
    char subject[64] = "";

    if (waiter->kind == FLEET_WAITER_NONE) {
        return;
    }
    if (waiter->target != 0) {
        g_snprintf(subject, sizeof(subject),
                   ",\"target\":\"%" G_GINT64_MODIFIER "x\"", waiter->target);
    }
    else if (waiter->version != 0) {
        g_snprintf(subject, sizeof(subject),
                   ",\"sent_version\":%" G_GUINT64_FORMAT, waiter->version);
    }
    fleet_log_line(
        fleet->log, ok ? FLEET_LOG_REQUEST : FLEET_LOG_FAILURE, now_us,
        "call-done",
        "\"what\":\"%s\",\"id\":%" G_GUINT64_FORMAT
        "%s,\"ok\":%s,\"revision\":%" G_GUINT64_FORMAT
        ",\"version\":%" G_GUINT64_FORMAT ",\"lag_ms\":%" G_GUINT64_FORMAT
        ",\"took_ms\":%" G_GUINT64_FORMAT,
        waiter->what, request->id, subject, ok ? "true" : "false",
        catalog_revision(fleet->catalog), catalog_version(fleet->catalog),
        fleet_heartbeat_lag_us(fleet, now_us) / 1000,
        fleet_elapsed_us(now_us, request->begun_us) / 1000);
}

/* Tell whoever waits how the request came out. */
static void
answer(struct fleet *fleet, const struct fleet_request *request, bool ok)
{
    const struct fleet_waiter *waiter = &request->waiter;

    fleet->control->unavailable += ok ? 0 : 1;
    counter_latency(fleet->control->latency,
                    fleet_elapsed_us(clock_boottime_us(), request->begun_us));
    log_done(fleet, request, ok);
    switch (waiter->kind) {
    case FLEET_WAITER_NONE:
    case FLEET_WAITER__MAX:
        break;
    case FLEET_WAITER_PEER:
        answer_peer(fleet, request, ok);
        break;
    case FLEET_WAITER_READ:
        if (ok) {
            answer_read(fleet, request);
            break;
        }
        /* fall through */
    case FLEET_WAITER_CALL:
        fleet_answer(fleet, waiter->u.http, ok ? 200 : 503,
                     ok ? NULL
                        : "no majority of the control daemons answers; ask "
                          "another, or again in a second");
        break;
    }
}

static void
ask_leader(struct fleet *fleet, Parsleyspur__FleetMessage *message)
{
    fleet_send(fleet, fleet_heartbeat_leader(fleet), message);
}

/* Have the packed command committed and tell WAITER. */
void
fleet_request_bytes(struct fleet *fleet, const uint8_t *data, size_t len,
                    const struct fleet_waiter *waiter)
{
    struct fleet_control *control = fleet->control;
    struct fleet_request *request =
        request_new(fleet, waiter, COMMAND_LIMIT_US);
    Parsleyspur__FleetMessage message = PARSLEYSPUR__FLEET_MESSAGE__INIT;
    Parsleyspur__FleetSubmit submit = PARSLEYSPUR__FLEET_SUBMIT__INIT;

    if (control->quorum != NULL &&
        quorum_core_role(control->quorum) == QUORUM_LEADER) {
        fleet_quorum_propose(fleet, request->id, data, len);
        return;
    }
    if (fleet_heartbeat_leader(fleet) == 0 ||
        waiter->kind == FLEET_WAITER_PEER) {
        fleet_request_done(fleet, request->id, false);
        return;
    }
    submit.id = request->id;
    submit.command.data = (uint8_t *)(uintptr_t)data;
    submit.command.len = len;
    message.submit = &submit;
    ask_leader(fleet, &message);
}

/* Tell WAITER that what it asks for holds already. */
void
fleet_request_holds(struct fleet *fleet, const struct fleet_waiter *waiter)
{
    fleet_request_done(fleet, request_new(fleet, waiter, COMMAND_LIMIT_US)->id,
                       true);
}

/* Have COMMAND committed and tell WAITER. */
void
fleet_request_command(struct fleet *fleet,
                      const struct catalog_command *command,
                      const struct fleet_waiter *waiter)
{
    GByteArray *bytes = g_byte_array_new();

    catalog_wire_pack(command, bytes);
    fleet_request_bytes(fleet, bytes->data, bytes->len, waiter);
    g_byte_array_unref(bytes);
}

/*
 * Answer WAITER with the document in force.  Only the leader knows which that
 * is: it confirms the revision that must be reached here first.
 */
void
fleet_request_read(struct fleet *fleet, const struct fleet_waiter *waiter)
{
    struct fleet_control *control = fleet->control;
    struct fleet_request *request = request_new(fleet, waiter, READ_LIMIT_US);
    Parsleyspur__FleetMessage message = PARSLEYSPUR__FLEET_MESSAGE__INIT;
    Parsleyspur__FleetConfirm confirm = PARSLEYSPUR__FLEET_CONFIRM__INIT;

    if (control->leading) {
        fleet_request_done(
            fleet, request->id,
            quorum_core_read_ok(control->quorum, clock_boottime_us()));
        return;
    }
    if (fleet_heartbeat_leader(fleet) == 0) {
        fleet_request_done(fleet, request->id, false);
        return;
    }
    confirm.id = request->id;
    message.confirm = &confirm;
    ask_leader(fleet, &message);
}

/* The request ID has come out; one that is not known any more is ignored. */
void
fleet_request_done(struct fleet *fleet, uint64_t id, bool ok)
{
    struct fleet_request *request =
        g_hash_table_lookup(fleet->control->requests, &id);

    if (request == NULL) {
        return;
    }
    g_hash_table_steal(fleet->control->requests, &id);
    answer(fleet, request, ok);
    g_free(request);
}

/* The leader confirms that REVISION is current, or refuses to. */
void
fleet_request_confirmed(struct fleet *fleet, uint64_t id, bool ok,
                        uint64_t revision)
{
    struct fleet_request *request =
        g_hash_table_lookup(fleet->control->requests, &id);

    if (request == NULL) {
        return;
    }
    if (!ok || catalog_revision(fleet->catalog) >= revision) {
        fleet_request_done(fleet, id, ok);
        return;
    }
    request->revision = revision;
}

/* Answer reads whose revision is reached, and what waits for too long. */
void
fleet_request_tick(struct fleet *fleet, uint64_t now_us)
{
    GList *requests = g_hash_table_get_values(fleet->control->requests);

    for (GList *item = requests; item != NULL; item = item->next) {
        const struct fleet_request *request = item->data;

        if (request->revision != 0 &&
            catalog_revision(fleet->catalog) >= request->revision) {
            fleet_request_done(fleet, request->id, true);
        }
        else if (now_us >= request->deadline_us) {
            fleet_request_done(fleet, request->id, false);
        }
    }
    g_list_free(requests);
}

/* Answer all that waits: nobody knows what became of it. */
void
fleet_request_fail_all(struct fleet *fleet)
{
    GList *requests = g_hash_table_get_values(fleet->control->requests);

    for (GList *item = requests; item != NULL; item = item->next) {
        fleet_request_done(fleet, ((struct fleet_request *)item->data)->id,
                           false);
    }
    g_list_free(requests);
}
