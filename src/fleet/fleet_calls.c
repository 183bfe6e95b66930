/*
 * Handles API calls of operators and targets, decoded by the platform's
 * functions.
 */
#include "base/log.h"
#include "fleet/fleet_control_private.h"

/* The clocks of targets and daemons differ by less; a day, in ms. */
#define START_AHEAD_MAX_MS 86400000U

static void handle_announcement(struct fleet *, const struct http_request *,
                                const struct catalog_target *);
static void handle_leave(struct fleet *, const struct http_request *,
                         const struct catalog_target *);
static void handle_tables(struct fleet *, const struct http_request *,
                          const struct catalog_tables *);
static void handle_read(struct fleet *, const struct http_request *);
static void reject(struct fleet *, const struct http_request *,
                   unsigned status, const char *fault);
static void reject_target(struct fleet *, const struct http_request *,
                          const struct catalog_target *, const char *event,
                          const char *fault);
static bool rejects_future_start(struct fleet *, const struct http_request *,
                                 const struct catalog_target *);

/* Answer one call, at once or when its outcome is known. */
void
fleet_calls_handle(void *user, const struct http_request *request)
{
    struct fleet *fleet = user;
    struct fleet_call call;

    fleet->options->decode_call(request, &call);
    fleet->control->calls[call.kind]++;
    switch (call.kind) {
    case FLEET_CALL_ANNOUNCE:
        handle_announcement(fleet, request, &call.u.target);
        break;
    case FLEET_CALL_LEAVE:
        handle_leave(fleet, request, &call.u.target);
        break;
    case FLEET_CALL_REPLACE:
        handle_tables(fleet, request, &call.u.tables);
        break;
    case FLEET_CALL_READ:
        handle_read(fleet, request);
        break;
    case FLEET_CALL_ZONE:
        fleet_zone_handle_order(fleet, request, call.u.zone.name,
                                call.u.zone.empty);
        break;
    case FLEET_CALL_READY:
        fleet_answer(fleet, request->handle,
                     fleet_heartbeat_has_leader_contact(fleet) ? 200 : 503,
                     NULL);
        break;
    case FLEET_CALL_BAD:
        reject(fleet, request, 400, call.u.fault);
        break;
    case FLEET_CALL_UNKNOWN:
    case FLEET_CALL__MAX:
        reject(fleet, request, 404, "no such call; see the manual");
        break;
    }
    fleet_call_clear(&call);
}

/* Answer a call with an error STATUS and FAULT as its message, and log it. */
static void
reject(struct fleet *fleet, const struct http_request *request,
       unsigned status, const char *fault)
{
    char *text = log_json_text(fault);
    uint64_t now_us = clock_boottime_us();

    fleet_log_line(fleet->log, FLEET_LOG_FAILURE, now_us, "call-refused",
                   "\"status\":%u,\"fault\":%s,\"lag_ms\":%" G_GUINT64_FORMAT,
                   status, text, fleet_heartbeat_lag_us(fleet, now_us) / 1000);
    fleet_answer(fleet, request->handle, status, fault);
    g_free(text);
}

/* Refuse an announcement or a leave of TARGET because of FAULT, and log EVENT
 * with what decided it. */
static void
reject_target(struct fleet *fleet, const struct http_request *request,
              const struct catalog_target *target, const char *event,
              const char *fault)
{
    fleet->control->calls[FLEET_CALL_BAD]++;
    fleet_log_line(
        fleet->log, FLEET_LOG_FAILURE, clock_boottime_us(), event,
        "\"target\":\"%" G_GINT64_MODIFIER "x\",\"pool\":\"%" G_GINT64_MODIFIER
        "x\",\"incarnation\":%" G_GUINT64_FORMAT
        ",\"clock_ms\":%" G_GINT64_FORMAT ",\"version\":%" G_GUINT64_FORMAT
        ",\"revision\":%" G_GUINT64_FORMAT,
        target->host, target->pool.value, target->incarnation,
        g_get_real_time() / 1000, catalog_version(fleet->catalog),
        catalog_revision(fleet->catalog));
    reject(fleet, request, 400, fault);
}

/*
 * Refuse a call of TARGET, and return true, if it states a start that lies in
 * the future.  Such an incarnation would outdate each announcement of the host
 * that lives at the target's address or under its id, for good.
 */
static bool
rejects_future_start(struct fleet *fleet, const struct http_request *request,
                     const struct catalog_target *target)
{
    uint64_t now_ms = (uint64_t)(g_get_real_time() / 1000);

    if (target->incarnation <= now_ms + START_AHEAD_MAX_MS) {
        return false;
    }
    reject_target(fleet, request, target, "start-in-future",
                  "the time of the target's start is more than a day ahead of "
                  "this daemon's clock; set the clock that is wrong");
    return true;
}

/*
 * Handle a target's announcement.  One that changes the catalog is answered
 * once the change is committed.  One that changes nothing only shows that the
 * target is present; without contact with the leader this would not become
 * known, so the target must announce itself to another daemon.  One for a pool
 * of no tables names no target: another one may live at its address.
 */
static void
handle_announcement(struct fleet *fleet, const struct http_request *request,
                    const struct catalog_target *target)
{
    struct catalog_command command = {.kind = CATALOG_ANNOUNCE};
    struct fleet_requester requester = {.kind = FLEET_REQUESTER_CALL,
                                        .what = "announcement",
                                        .target = target->host};

    if (!fleet_heartbeat_has_leader_contact(fleet)) {
        reject(fleet, request, 503,
               "cut off from the leader; call another daemon");
        return;
    }
    if (rejects_future_start(fleet, request, target)) {
        return;
    }
    if (catalog_version(fleet->catalog) != 0 &&
        !catalog_has_pool(fleet->catalog, target->pool)) {
        reject_target(fleet, request, target, "pool-unknown",
                      "no tables name the pool; send tables with it first");
        return;
    }
    fleet_announcement_received(fleet, target->host);
    if (!catalog_announce_is_new(fleet->catalog, target) ||
        fleet_zone_announcement_is_early(fleet, target)) {
        fleet_answer(fleet, request->handle, 200, NULL);
        return;
    }
    command.u.target = *target;
    command.u.target.owner = fleet_zone_choose_owner(fleet, target);
    requester.u.http = request->handle;
    fleet_log_line(
        fleet->log, FLEET_LOG_STATE, clock_boottime_us(), "announcement",
        "\"target\":\"%" G_GINT64_MODIFIER "x\",\"pool\":\"%" G_GINT64_MODIFIER
        "x\",\"state\":%d,\"incarnation\":%" G_GUINT64_FORMAT
        ",\"sequence\":%" G_GUINT64_FORMAT,
        target->host, target->pool.value, target->state, target->incarnation,
        target->sequence);
    fleet_request_command(fleet, &command, &requester);
}

/*
 * Handle a target's notice that it leaves.  If it has left already, only
 * confirm that.
 */
static void
handle_leave(struct fleet *fleet, const struct http_request *request,
             const struct catalog_target *target)
{
    const struct catalog_target *held =
        catalog_find_target(fleet->catalog, target->host);
    struct catalog_command command = {.kind = CATALOG_LEAVE};
    struct fleet_requester requester = {
        .kind = FLEET_REQUESTER_CALL, .what = "leave", .target = target->host};

    if (rejects_future_start(fleet, request, target)) {
        return;
    }
    requester.u.http = request->handle;
    if (held != NULL && held->state == CATALOG_GONE &&
        target->incarnation <= held->incarnation) {
        fleet_request_already_applied(fleet, &requester);
        return;
    }
    command.u.target = *target;
    fleet_request_command(fleet, &command, &requester);
}

/*
 * Handle tables from an operator.  A version that is not higher than the one
 * in force changes nothing.
 */
static void
handle_tables(struct fleet *fleet, const struct http_request *request,
              const struct catalog_tables *tables)
{
    struct catalog_command command = {.kind = CATALOG_REPLACE};
    struct fleet_requester requester = {.kind = FLEET_REQUESTER_CALL,
                                        .what = "tables",
                                        .version = tables->version};

    fleet_log_line(fleet->log, FLEET_LOG_STATE, clock_boottime_us(), "tables",
                   "\"version\":%" G_GUINT64_FORMAT
                   ",\"in_force\":%" G_GUINT64_FORMAT ",\"routes\":%u",
                   tables->version, catalog_version(fleet->catalog),
                   tables->routes->len);
    requester.u.http = request->handle;
    if (tables->version <= catalog_version(fleet->catalog)) {
        fleet_request_already_applied(fleet, &requester);
        return;
    }
    command.u.tables = *tables;
    fleet_request_command(fleet, &command, &requester);
}

/* Answer with the tables in force. */
static void
handle_read(struct fleet *fleet, const struct http_request *request)
{
    struct fleet_requester requester = {.kind = FLEET_REQUESTER_READ,
                                        .what = "read"};

    requester.u.http = request->handle;
    fleet_request_read(fleet, &requester);
}
