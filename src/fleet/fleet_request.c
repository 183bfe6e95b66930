/*
 * Tracks commands and reads in progress.  A daemon that is not the leader
 * relays them to the leader.  Each requester gets an answer, at the latest at
 * the timeout.
 */
#include "fleet/fleet_control_private.h"

/* A caller tries another daemon before this is over. */
#define COMMAND_TIMEOUT_US 2000000U
#define READ_TIMEOUT_US    900000U

static struct fleet_request *request_new(struct fleet *,
                                         const struct fleet_requester *,
                                         uint64_t timeout_us);
static void log_outcome(struct fleet *, const struct fleet_request *, bool ok);
static void answer_requester(struct fleet *, const struct fleet_request *,
                             bool ok);
static void answer_peer(struct fleet *, const struct fleet_request *, bool ok);
static void answer_read(struct fleet *, const struct fleet_request *);
static void send_to_leader(struct fleet *, Parsleyspur__FleetMessage *);
static void refuse_too_large(struct fleet *, const struct fleet_requester *,
                             size_t len);

/*
 * Return a new request that ends after TIMEOUT_US at the latest.  It belongs
 * to the table of requests.
 */
static struct fleet_request *
request_new(struct fleet *fleet, const struct fleet_requester *requester,
            uint64_t timeout_us)
{
    struct fleet_request *request = g_new0(struct fleet_request, 1);

    request->id = ++fleet->control->next_request;
    request->requester = *requester;
    request->started_us = clock_boottime_us();
    request->deadline_us = request->started_us + timeout_us;
    g_hash_table_insert(fleet->control->requests, &request->id, request);
    return request;
}

/* Report the outcome of a command to the control daemon that relayed it. */
static void
answer_peer(struct fleet *fleet, const struct fleet_request *request, bool ok)
{
    Parsleyspur__FleetMessage message = PARSLEYSPUR__FLEET_MESSAGE__INIT;
    Parsleyspur__FleetSubmitAnswer outcome =
        PARSLEYSPUR__FLEET_SUBMIT_ANSWER__INIT;

    outcome.id = request->requester.u.peer.id;
    outcome.committed = ok;
    outcome.revision = catalog_revision(fleet->catalog);
    message.submit_answer = &outcome;
    fleet_send(fleet, request->requester.u.peer.address, &message);
}

/* Answer a read with the operator's document in force. */
static void
answer_read(struct fleet *fleet, const struct fleet_request *request)
{
    GBytes *document = catalog_document(fleet->catalog);
    gsize len;
    const char *body;

    if (document == NULL) {
        fleet_answer(fleet, request->requester.u.http, 503,
                     "no tables yet; send some, or try again later");
        return;
    }
    body = g_bytes_get_data(document, &len);
    fleet_answer_json(fleet, request->requester.u.http, 200, body, len);
}

/* Log the outcome of a request and what the call was about. */
static void
log_outcome(struct fleet *fleet, const struct fleet_request *request, bool ok)
{
    const struct fleet_requester *requester = &request->requester;
    uint64_t now_us = clock_boottime_us();
    char subject[64] = "";

    if (requester->kind == FLEET_REQUESTER_NONE) {
        return;
    }
    if (requester->target != 0) {
        g_snprintf(subject, sizeof(subject),
                   ",\"target\":\"%" G_GINT64_MODIFIER "x\"",
                   requester->target);
    }
    else if (requester->version != 0) {
        g_snprintf(subject, sizeof(subject),
                   ",\"sent_version\":%" G_GUINT64_FORMAT, requester->version);
    }
    fleet_log_line(
        fleet->log, ok ? FLEET_LOG_REQUEST : FLEET_LOG_FAILURE, now_us,
        "call-done",
        "\"what\":\"%s\",\"id\":%" G_GUINT64_FORMAT
        "%s,\"ok\":%s,\"revision\":%" G_GUINT64_FORMAT
        ",\"version\":%" G_GUINT64_FORMAT ",\"lag_ms\":%" G_GUINT64_FORMAT
        ",\"took_ms\":%" G_GUINT64_FORMAT,
        requester->what, request->id, subject, ok ? "true" : "false",
        catalog_revision(fleet->catalog), catalog_version(fleet->catalog),
        fleet_heartbeat_lag_us(fleet, now_us) / 1000,
        fleet_elapsed_us(now_us, request->started_us) / 1000);
}

/* Report the outcome of a request to its requester. */
static void
answer_requester(struct fleet *fleet, const struct fleet_request *request,
                 bool ok)
{
    const struct fleet_requester *requester = &request->requester;

    fleet->control->unavailable += ok ? 0 : 1;
    counter_latency(
        fleet->control->latency,
        fleet_elapsed_us(clock_boottime_us(), request->started_us));
    log_outcome(fleet, request, ok);
    switch (requester->kind) {
    case FLEET_REQUESTER_NONE:
    case FLEET_REQUESTER__MAX:
        break;
    case FLEET_REQUESTER_PEER:
        answer_peer(fleet, request, ok);
        break;
    case FLEET_REQUESTER_READ:
        if (ok) {
            answer_read(fleet, request);
            break;
        }
        /* fall through */
    case FLEET_REQUESTER_CALL:
        fleet_answer(fleet, requester->u.http, ok ? 200 : 503,
                     ok ? NULL
                        : "not committed: no majority of the control daemons "
                          "answers, or a newer order came first; try another, "
                          "or again in a second");
        break;
    }
}

/* Send MESSAGE to the leader. */
static void
send_to_leader(struct fleet *fleet, Parsleyspur__FleetMessage *message)
{
    fleet_send(fleet, fleet_heartbeat_leader(fleet), message);
}

/* Answer a call whose packed command of LEN bytes no log takes, and log it. */
static void
refuse_too_large(struct fleet *fleet, const struct fleet_requester *requester,
                 size_t len)
{
    fleet_log_line(
        fleet->log, FLEET_LOG_FAILURE, clock_boottime_us(), "call-refused",
        "\"status\":413,\"what\":\"%s\",\"sent_version\":"
        "%" G_GUINT64_FORMAT ",\"bytes\":%zu,\"most\":%u",
        requester->what, requester->version, len, QUORUM_COMMAND_MAX);
    fleet_answer(fleet, requester->u.http, 413,
                 "the tables are too large for the log, also compressed; send "
                 "fewer routes, or shorter names");
}

/*
 * Have the packed command committed and report the outcome to REQUESTER.  A
 * daemon that is not the leader relays the command to the leader; a command
 * that was already relayed to it fails instead.  One that is too large for any
 * leader is refused at once.
 */
void
fleet_request_packed_command(struct fleet *fleet, const uint8_t *data,
                             size_t len,
                             const struct fleet_requester *requester)
{
    struct fleet_control *control = fleet->control;
    struct fleet_request *request;
    Parsleyspur__FleetMessage message = PARSLEYSPUR__FLEET_MESSAGE__INIT;
    Parsleyspur__FleetSubmit submit = PARSLEYSPUR__FLEET_SUBMIT__INIT;

    if (len > QUORUM_COMMAND_MAX && requester->kind == FLEET_REQUESTER_CALL) {
        refuse_too_large(fleet, requester, len);
        return;
    }
    request = request_new(fleet, requester, COMMAND_TIMEOUT_US);
    if (control->quorum != NULL &&
        quorum_core_role(control->quorum) == QUORUM_LEADER) {
        fleet_quorum_propose(fleet, request->id, data, len);
        return;
    }
    if (fleet_heartbeat_leader(fleet) == 0 ||
        requester->kind == FLEET_REQUESTER_PEER) {
        fleet_request_finish(fleet, request->id, false);
        return;
    }
    submit.id = request->id;
    submit.command.data = (uint8_t *)(uintptr_t)data;
    submit.command.len = len;
    message.submit = &submit;
    send_to_leader(fleet, &message);
}

/* Report success to REQUESTER, because the command is in effect already. */
void
fleet_request_already_applied(struct fleet *fleet,
                              const struct fleet_requester *requester)
{
    fleet_request_finish(
        fleet, request_new(fleet, requester, COMMAND_TIMEOUT_US)->id, true);
}

/* Have COMMAND committed and report the outcome to REQUESTER. */
void
fleet_request_command(struct fleet *fleet,
                      const struct catalog_command *command,
                      const struct fleet_requester *requester)
{
    GByteArray *bytes = g_byte_array_new();

    catalog_wire_pack(command, bytes);
    fleet_request_packed_command(fleet, bytes->data, bytes->len, requester);
    g_byte_array_unref(bytes);
}

/*
 * Answer REQUESTER with the document in force.  Only the leader knows which
 * one that is: it confirms the revision that must be reached here first.
 */
void
fleet_request_read(struct fleet *fleet,
                   const struct fleet_requester *requester)
{
    struct fleet_control *control = fleet->control;
    struct fleet_request *request =
        request_new(fleet, requester, READ_TIMEOUT_US);
    Parsleyspur__FleetMessage message = PARSLEYSPUR__FLEET_MESSAGE__INIT;
    Parsleyspur__FleetConfirm confirm = PARSLEYSPUR__FLEET_CONFIRM__INIT;

    if (control->leading) {
        fleet_request_finish(
            fleet, request->id,
            quorum_core_read_ok(control->quorum, clock_boottime_us()));
        return;
    }
    if (fleet_heartbeat_leader(fleet) == 0) {
        fleet_request_finish(fleet, request->id, false);
        return;
    }
    confirm.id = request->id;
    message.confirm = &confirm;
    send_to_leader(fleet, &message);
}

/*
 * Finish the request ID: report its outcome and free it.  An ID that is not
 * known any more is ignored.
 */
void
fleet_request_finish(struct fleet *fleet, uint64_t id, bool ok)
{
    struct fleet_request *request =
        g_hash_table_lookup(fleet->control->requests, &id);

    if (request == NULL) {
        return;
    }
    g_hash_table_steal(fleet->control->requests, &id);
    answer_requester(fleet, request, ok);
    g_free(request);
}

/*
 * Handle the leader's answer: it confirms that REVISION is current, or rejects
 * the request (OK is false).
 */
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
        fleet_request_finish(fleet, id, ok);
        return;
    }
    request->revision = revision;
}

/* Finish reads whose revision is reached, and requests past their deadline. */
void
fleet_request_tick(struct fleet *fleet, uint64_t now_us)
{
    GList *requests = g_hash_table_get_values(fleet->control->requests);

    for (GList *item = requests; item != NULL; item = item->next) {
        const struct fleet_request *request = item->data;

        if (request->revision != 0 &&
            catalog_revision(fleet->catalog) >= request->revision) {
            fleet_request_finish(fleet, request->id, true);
        }
        else if (now_us >= request->deadline_us) {
            fleet_request_finish(fleet, request->id, false);
        }
    }
    g_list_free(requests);
}

/* Fail all requests: their outcome cannot be known here any more. */
void
fleet_request_fail_all(struct fleet *fleet)
{
    GList *requests = g_hash_table_get_values(fleet->control->requests);

    for (GList *item = requests; item != NULL; item = item->next) {
        fleet_request_finish(fleet, ((struct fleet_request *)item->data)->id,
                             false);
    }
    g_list_free(requests);
}
