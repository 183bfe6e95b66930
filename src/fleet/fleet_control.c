/*
 * Runs the control role: a voter of the replicated log if this daemon is one,
 * messages from other daemons, and API calls of operators and targets.
 */
#include "base/err.h"
#include "fleet/fleet_control_private.h"
#include "fleet/fleet_pending.h"

#define STOP_US 200000U /* for pending answers at a planned stop */
/* Of the ids of a life that count its requests.  With the 32 bits that are drawn
 * an id stays below 2^53, so that any reader of the logs as JSON can hold it. */
#define REQUEST_ID_BITS 20
/*
 * The part of STOP_US reserved for the message that transfers the leadership.
 */
#define RESIGN_US 100000U

static void answer_confirm(struct fleet *, const struct fleet_peer *,
                           const Parsleyspur__FleetConfirm *);

/*
 * Start the role: as the voter it was before, as an initial voter, or as no
 * voter yet.  Return false and set ERROR on failure.
 */
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
    control->last_announced_us =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    control->packed_updates =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
                              (GDestroyNotify)g_byte_array_unref);
    control->unreported_hosts = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    control->pending = fleet_pending_new();
    control->evidence = evidence_core_new();
    control->voters_stored = true; /* none are known yet */
    /* No earlier life of this daemon has used the ids of this one. */
    control->next_request = (uint64_t)g_random_int() << REQUEST_ID_BITS;
    if (fleet->options->data_dir == NULL) {
        g_set_error(
            error, ERR_DOMAIN, ERR_SETTING,
            "the control role needs a data folder; name one in the settings");
        return false;
    }
    if (fleet_voter_file_read(fleet)) {
        fleet_voter_file_remove_logs(fleet);
        if (control->voter != 0 && !fleet_quorum_open(fleet, error)) {
            return false;
        }
    }
    else if (fleet->options->first_start) {
        fleet_voter_assign_initial(fleet);
    }
    fleet->http = http_server_new(&http, error);
    return fleet->http != NULL;
}

/*
 * Answer a request to confirm a read: with the current revision if this daemon
 * is the leader, else with a rejection.
 */
static void
answer_confirm(struct fleet *fleet, const struct fleet_peer *peer,
               const Parsleyspur__FleetConfirm *confirm)
{
    const struct fleet_control *control = fleet->control;
    Parsleyspur__FleetMessage message = PARSLEYSPUR__FLEET_MESSAGE__INIT;
    Parsleyspur__FleetSubmitAnswer answer =
        PARSLEYSPUR__FLEET_SUBMIT_ANSWER__INIT;

    answer.id = confirm->id;
    answer.committed =
        control->leading &&
        quorum_core_read_ok(control->quorum, clock_boottime_us());
    answer.revision = catalog_changed_revision(fleet->catalog);
    message.confirm_answer = &answer;
    fleet_send(fleet, peer->address, &message);
}

/* Handle a message from another daemon of the fleet. */
void
fleet_control_message(struct fleet *fleet, struct fleet_peer *peer,
                      const Parsleyspur__FleetMessage *message)
{
    struct catalog_change change;

    if (message->heartbeat != NULL) {
        fleet_heartbeat_receive(fleet, peer, message->heartbeat);
    }
    if (message->quorum != NULL) {
        fleet_quorum_message(fleet, peer, message->quorum);
    }
    if (message->submit != NULL) {
        struct fleet_requester requester = {.kind = FLEET_REQUESTER_PEER,
                                            .what = "command"};

        requester.u.peer.address = peer->address;
        requester.u.peer.id = message->submit->id;
        fleet_request_packed_command(fleet, message->submit->command.data,
                                     message->submit->command.len, &requester);
    }
    if (message->submit_answer != NULL) {
        fleet_request_finish(fleet, message->submit_answer->id,
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
        fleet_announcement_merge_report(fleet, message->heard);
    }
    if (message->update.len > 0 && fleet->control->voter == 0 &&
        !catalog_merge(fleet->catalog, message->update.data,
                       message->update.len, &change)) {
        counter_add(&fleet->counters, COUNTER_PEER_BAD_FRAMES, 1);
    }
    fleet_voter_update_role(fleet);
}

/* Do the periodic work of the control role. */
void
fleet_control_tick(struct fleet *fleet, uint64_t now_us)
{
    fleet_zone_tick(fleet, now_us);
    fleet_voter_file_tick(fleet, now_us);
    fleet_quorum_tick(fleet, now_us);
    fleet_heartbeat_send_due(fleet, now_us);
    fleet_request_tick(fleet, now_us);
    fleet_announcement_tick(fleet, now_us);
    fleet_evidence_tick(fleet, now_us);
    fleet_voter_replace_lost(fleet, now_us);
    fleet_voter_update_role(fleet);
    if (fleet->stopping && fleet->control->leading &&
        (g_hash_table_size(fleet->control->requests) == 0 ||
         now_us + RESIGN_US >= fleet->stop_us)) {
        fleet_quorum_resign(fleet);
    }
    if (fleet->control->quorum != NULL) {
        fleet_push_all(fleet, now_us);
    }
}

/*
 * Begin a planned stop: pending answers are sent within STOP_US, then the
 * daemon ends.
 */
void
fleet_control_begin_stop(struct fleet *fleet)
{
    fleet->stop_us = clock_boottime_us() + STOP_US;
}

/* Fail the pending requests and close the log. */
void
fleet_control_close(struct fleet *fleet)
{
    fleet_request_fail_all(fleet);
    fleet_quorum_close(fleet);
}

/* Free the control role's state, if there is any. */
void
fleet_control_free(struct fleet *fleet)
{
    struct fleet_control *control = fleet->control;

    if (control == NULL) {
        return;
    }
    g_hash_table_destroy(control->requests);
    g_hash_table_destroy(control->last_announced_us);
    g_hash_table_destroy(control->packed_updates);
    g_array_unref(control->unreported_hosts);
    fleet_pending_free(control->pending);
    evidence_core_free(control->evidence);
    g_free(control);
    fleet->control = NULL;
}

/* Append the metrics of the control role to OUT. */
void
fleet_control_metrics(struct fleet *fleet, GString *out)
{
    const struct fleet_control *control = fleet->control;
    bool has_vote =
        control->quorum != NULL && quorum_core_has_vote(control->quorum);
    struct counter_extra extra[] = {
        {"quorum_voter", "Which voter this daemon is, if it has the vote.",
         "gauge", (double)(has_vote ? control->voter : 0)},
        {"quorum_voter_assigned", "Which voter it is to become or is, or 0.",
         "gauge", (double)control->voter},
        {"quorum_leading", "Whether this daemon leads.", "gauge",
         control->leading ? 1 : 0},
        {"quorum_lag_ms", "Since the leader was heard.", "gauge",
         (double)fleet_heartbeat_lag_us(fleet, clock_boottime_us()) / 1000},
        {"calls_unavailable_total", "Calls without a majority in time.",
         "counter", (double)control->unavailable},
        {"announcements_total", "Announcements of targets.", "counter",
         (double)control->calls[FLEET_CALL_ANNOUNCE]},
        {"tables_total", "Tables sent by operators.", "counter",
         (double)control->calls[FLEET_CALL_REPLACE]},
        {"targets_failing_total", "Times that a target was found failing.",
         "counter", (double)control->targets_failing},
        {"zone_orders_total", "Orders to empty or restore a zone.", "counter",
         (double)control->calls[FLEET_CALL_ZONE]},
        {"routes_without_pool", "Routes to a pool that no tables name.",
         "gauge", (double)catalog_routes_without_pool(fleet->catalog)},
        {"zones_emptied", "Zones whose targets get no new flows.", "gauge",
         (double)catalog_emptied_count(fleet->catalog)},
        {"reads_total", "Reads of the tables.", "counter",
         (double)control->calls[FLEET_CALL_READ]},
        {"calls_refused_total", "Calls whose content is not valid.", "counter",
         (double)control->calls[FLEET_CALL_BAD]},
    };

    counter_write_extra(extra, G_N_ELEMENTS(extra), out);
    counter_write_latency("call_latency_ms", "Answered calls.",
                          control->latency, out);
}
