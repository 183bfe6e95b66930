/*
 * Answers API calls, and serves metrics and status on an address of their own.
 */
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "fleet/fleet_private.h"

#define METRICS_PATH "/metrics"
#define STATUS_PATH  "/status"
#define WHERE_PATH   "/where/"

static void on_metrics_request(void *, const struct http_request *);
static void answer_status(struct fleet *, struct http_handle);
static void answer_where(struct fleet *, const struct http_request *);
static void answer_metrics(struct fleet *, struct http_handle);

/*
 * Answer with STATUS and a JSON body with MESSAGE as its error, or an empty
 * object if MESSAGE is NULL.
 */
void
fleet_answer(struct fleet *fleet, struct http_handle handle, unsigned status,
             const char *message)
{
    char *text, *body;

    if (message == NULL) {
        fleet_answer_json(fleet, handle, status, "{}", 2);
        return;
    }
    text = log_json_text(message);
    body = g_strdup_printf("{\"error\":%s}", text);
    fleet_answer_json(fleet, handle, status, body, strlen(body));
    g_free(body);
    g_free(text);
}

/* Answer with STATUS and the JSON text BODY of LEN bytes, which is copied. */
void
fleet_answer_json(struct fleet *fleet, struct http_handle handle,
                  unsigned status, const char *body, size_t len)
{
    http_answer(fleet->http, handle, status, "application/json", body, len);
}

/*
 * Answer a request for metrics or the status; any other path gets status 404.
 */
static void
on_metrics_request(void *user, const struct http_request *request)
{
    static const char paths[] = "metrics are at " METRICS_PATH
                                ", the fleet's state at " STATUS_PATH "\n";
    struct fleet *fleet = user;

    if (strcmp(request->path, METRICS_PATH) == 0) {
        answer_metrics(fleet, request->handle);
    }
    else if (strcmp(request->path, STATUS_PATH) == 0) {
        answer_status(fleet, request->handle);
    }
    else if (fleet->entry != NULL &&
             g_str_has_prefix(request->path, WHERE_PATH)) {
        answer_where(fleet, request);
    }
    else {
        http_answer(fleet->metrics, request->handle, 404, "text/plain", paths,
                    strlen(paths));
    }
}

/* Answer where a new flow to the address at the end of the path would go. */
static void
answer_where(struct fleet *fleet, const struct http_request *request)
{
    unsigned status;
    char *text =
        fleet_where_text(fleet, request->path + strlen(WHERE_PATH), &status);

    http_answer(fleet->metrics, request->handle, status, "application/json",
                text, strlen(text));
    free(text);
}

/* Answer with the status as JSON. */
static void
answer_status(struct fleet *fleet, struct http_handle handle)
{
    char *text = fleet_status_text(fleet);

    http_answer(fleet->metrics, handle, 200, "application/json", text,
                strlen(text));
    free(text);
}

/* Answer with all metrics of the daemon. */
static void
answer_metrics(struct fleet *fleet, struct http_handle handle)
{
    GString *text = g_string_new(NULL);
    struct counter_extra extra[] = {
        {"log_lines_left_out_total", "Log lines above the rate.", "counter",
         (double)fleet_log_dropped_lines(fleet->log)},
        {"catalog_revision", "Revision of the catalog held.", "gauge",
         (double)catalog_revision(fleet->catalog)},
        {"catalog_version", "The operator's version in force.", "gauge",
         (double)catalog_version(fleet->catalog)},
    };

    counter_write_extra(extra, G_N_ELEMENTS(extra), text);
    fleet_traffic_write(&fleet->traffic, text);
    if (fleet->entry != NULL) {
        fleet_entry_metrics(fleet, text);
    }
    if (fleet->control != NULL) {
        fleet_control_metrics(fleet, text);
    }
    http_answer(fleet->metrics, handle, 200, "text/plain", text->str,
                text->len);
    g_string_free(text, TRUE);
}

/*
 * Serve metrics and the status, if there is a port for them.  Return false and
 * set ERROR if the port cannot be opened.
 */
bool
fleet_metrics_start(struct fleet *fleet, GError **error)
{
    struct http_options options = {
        .loop = &fleet->loop,
        .listen = {fleet->options->address, fleet->options->metrics_port},
        .connections_max = 8,
        .address_max = 8,
        .handler = on_metrics_request,
        .user = fleet,
    };

    if (fleet->options->metrics_port == 0) {
        return true;
    }
    fleet->metrics = http_server_new(&options, error);
    return fleet->metrics != NULL;
}
