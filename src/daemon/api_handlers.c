/* The paths of the administration API, by a table of rows. */
#include "daemon/api_handlers.h"

#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "edge/row_json.h"

struct handler_row {
    const char *method;
    const char *prefix;
    bool wants_name; /* the rest of the path is a name */
    enum table_kind kind;
    void (*handle)(struct daemon *, const struct api_caller *,
                   const struct handler_row *, const char *name,
                   const char *body, size_t len);
};

struct status_row {
    enum err_code code;
    unsigned status;
};

static void list_rows(struct daemon *, const struct api_caller *,
                      const struct handler_row *, const char *, const char *,
                      size_t);
static void get_row(struct daemon *, const struct api_caller *,
                    const struct handler_row *, const char *, const char *,
                    size_t);
static void set_row(struct daemon *, const struct api_caller *,
                    const struct handler_row *, const char *, const char *,
                    size_t);
static void delete_row(struct daemon *, const struct api_caller *,
                       const struct handler_row *, const char *, const char *,
                       size_t);
static void edit_status(struct daemon *, const struct api_caller *,
                        const struct handler_row *, const char *, const char *,
                        size_t);
static void system_status(struct daemon *, const struct api_caller *,
                          const struct handler_row *, const char *,
                          const char *, size_t);
static void take_edit(struct daemon *, const struct api_caller *,
                      const struct handler_row *, enum table_operation,
                      const char *, const char *, size_t);
static bool zones_reached(struct daemon *, const struct row_json_edit *,
                          char **zone);
static void collect_row(const struct table_row *, void *);
static json_t *force_json(struct daemon *, uint64_t version);
static json_t *daemons_json(struct daemon *);
static void collect_target(const struct spread_target *, void *);

static const struct handler_row handlers[] = {
    {"GET", "/v1/routes", false, TABLE_ROUTE, list_rows},
    {"GET", "/v1/pools", false, TABLE_POOL, list_rows},
    {"GET", "/v1/routes/", true, TABLE_ROUTE, get_row},
    {"GET", "/v1/pools/", true, TABLE_POOL, get_row},
    {"PUT", "/v1/routes/", true, TABLE_ROUTE, set_row},
    {"PUT", "/v1/pools/", true, TABLE_POOL, set_row},
    {"DELETE", "/v1/routes/", true, TABLE_ROUTE, delete_row},
    {"DELETE", "/v1/pools/", true, TABLE_POOL, delete_row},
    {"GET", "/v1/edits/", true, TABLE_ROUTE, edit_status},
    {"GET", "/v1/status", false, TABLE_ROUTE, system_status},
};

static const struct status_row statuses[] = {
    {ERR_INPUT, 400},       {ERR_AUTH, 401},    {ERR_NOT_FOUND, 404},
    {ERR_CONFLICT, 409},    {ERR_LIMIT, 413},   {ERR_REFUSED, 422},
    {ERR_UNAVAILABLE, 503}, {ERR_STORAGE, 507},
};

static const char *const target_state_names[TARGET__MAX] = {
    [TARGET_READY] = "ready",
    [TARGET_COLD] = "cold",
    [TARGET_DRAINING] = "draining",
    [TARGET_DOWN] = "down",
};

/* Answer CALLER with OBJECT, which is taken over. */
void
api_answer(struct daemon *daemon, const struct api_caller *caller,
           unsigned status, json_t *object)
{
    char *text = json_dumps(object, JSON_COMPACT);
    struct control_message message = {.kind = CONTROL_API_ANSWER};
    GByteArray *bytes;

    switch (caller->kind) {
    case API_CALLER_HTTP:
        http_answer(daemon->http, caller->u.http, status, "application/json",
                    text, strlen(text));
        break;
    case API_CALLER_PEER:
        message.u.api_answer.id = caller->u.peer.id;
        message.u.api_answer.status = status;
        message.u.api_answer.body = (uint8_t *)text;
        message.u.api_answer.body_len = strlen(text);
        bytes = g_byte_array_new();
        control_wire_pack(&message, bytes);
        mesh_send(daemon->mesh, caller->u.peer.daemon, PEER_CONTROL,
                  bytes->data, bytes->len);
        g_byte_array_unref(bytes);
        break;
    case API_CALLER__MAX:
        break;
    }
    free(text);
    json_decref(object);
}

/* Answer CALLER with an error of kind CODE. */
void
api_refuse(struct daemon *daemon, const struct api_caller *caller,
           enum err_code code, const char *message)
{
    unsigned status = 500;

    for (size_t i = 0; i < G_N_ELEMENTS(statuses); i++) {
        if (statuses[i].code == code) {
            status = statuses[i].status;
        }
    }
    counter_add(&daemon->counters, COUNTER_API_REFUSED, 1);
    api_answer(
        daemon, caller, status,
        json_pack("{s:s, s:s}", "error", err_name(code), "message", message));
}

bool
api_is_local(const char *path)
{
    return strcmp(path, "/v1/status") == 0;
}

/* Find the row for METHOD and PATH, and let it answer. */
void
api_handle(struct daemon *daemon, const struct api_caller *caller,
           const char *method, const char *path, const char *body, size_t len)
{
    for (size_t i = 0; i < G_N_ELEMENTS(handlers); i++) {
        const struct handler_row *row = &handlers[i];
        size_t prefix_len = strlen(row->prefix);

        if (strcmp(method, row->method) != 0 ||
            strncmp(path, row->prefix, prefix_len) != 0 ||
            (path[prefix_len] != '\0') != row->wants_name) {
            continue;
        }
        row->handle(daemon, caller, row, path + prefix_len, body, len);
        return;
    }
    api_refuse(daemon, caller, ERR_NOT_FOUND,
               "no such path or method; see parsleyspur-api(5)");
}

static void
collect_row(const struct table_row *row, void *data)
{
    json_array_append_new(data, row_json_from(row));
}

static void
list_rows(struct daemon *daemon, const struct api_caller *caller,
          const struct handler_row *row, const char *name, const char *body,
          size_t len)
{
    const struct table_core *tables = control_tables(daemon);
    json_t *rows = json_array();

    (void)name;
    (void)body;
    (void)len;
    table_core_each(tables, row->kind, collect_row, rows);
    api_answer(daemon, caller, 200,
               json_pack("{s:I, s:o}", "version",
                         (json_int_t)table_core_position(tables).version,
                         "rows", rows));
}

static void
get_row(struct daemon *daemon, const struct api_caller *caller,
        const struct handler_row *row, const char *name, const char *body,
        size_t len)
{
    const struct table_core *tables = control_tables(daemon);
    const struct table_row *found = table_core_row(tables, row->kind, name);

    (void)body;
    (void)len;
    if (found == NULL) {
        char *text = g_strdup_printf("there is no %s \"%s\"; list them for "
                                     "the names",
                                     table_kind_name(row->kind), name);

        api_refuse(daemon, caller, ERR_NOT_FOUND, text);
        g_free(text);
        return;
    }
    api_answer(daemon, caller, 200,
               json_pack("{s:I, s:o}", "version",
                         (json_int_t)table_core_position(tables).version,
                         "row", row_json_from(found)));
}

/* False with the name of a zone out of reach that the edit does not waive. */
static bool
zones_reached(struct daemon *daemon, const struct row_json_edit *edit,
              char **zone)
{
    uint32_t zones[ROW_JSON_ZONES_MAX];
    size_t count = spread_core_unreachable_zones(daemon->spread, zones,
                                                 ROW_JSON_ZONES_MAX);

    for (size_t i = 0; i < count; i++) {
        bool waived = false;

        for (size_t j = 0; j < edit->zone_count; j++) {
            waived = waived || edit->zones[j] == zones[i];
        }
        if (!waived) {
            const char *name = member_core_zone_name(daemon->member, zones[i]);

            *zone = g_strdup(name == NULL ? "?" : name);
            return false;
        }
    }
    return true;
}

static void
take_edit(struct daemon *daemon, const struct api_caller *caller,
          const struct handler_row *row, enum table_operation operation,
          const char *name, const char *body, size_t len)
{
    struct row_json_edit edit;
    struct table_result known;
    GError *error = NULL;
    char *zone, *text;

    if (!row_json_read_edit(body, len, row->kind, name, operation, &edit,
                            &error)) {
        api_refuse(daemon, caller, (enum err_code)error->code, error->message);
        g_error_free(error);
        return;
    }
    if (!table_core_answer(control_tables(daemon), edit.edit.id, &known) &&
        !zones_reached(daemon, &edit, &zone)) {
        text = g_strdup_printf("zone %s cannot be reached; repair it, or "
                               "send the edit with accept_without %s",
                               zone, zone);
        api_refuse(daemon, caller, ERR_UNAVAILABLE, text);
        g_free(text);
        g_free(zone);
    }
    else {
        control_edit(daemon, &edit.edit, caller);
    }
    table_row_clear(&edit.edit.row);
}

static void
set_row(struct daemon *daemon, const struct api_caller *caller,
        const struct handler_row *row, const char *name, const char *body,
        size_t len)
{
    take_edit(daemon, caller, row, TABLE_SET, name, body, len);
}

static void
delete_row(struct daemon *daemon, const struct api_caller *caller,
           const struct handler_row *row, const char *name, const char *body,
           size_t len)
{
    take_edit(daemon, caller, row, TABLE_DELETE, name, body, len);
}

/* How far VERSION has come on the live entry daemons. */
static json_t *
force_json(struct daemon *daemon, uint64_t version)
{
    struct spread_status status;
    json_t *lacking = json_array();
    bool known = spread_core_status(daemon->spread, version, &status);
    bool in_force = spread_core_active(daemon->spread) >= version;

    for (size_t i = 0; known && i < status.lacking_count; i++) {
        const char *name = member_core_name(daemon->member, status.lacking[i]);

        json_array_append_new(lacking, json_string(name == NULL ? "?" : name));
    }
    if (!known) {
        return json_pack("{s:b, s:o}", "in_force", in_force, "lacking",
                         lacking);
    }
    return json_pack("{s:b, s:s, s:I, s:I, s:o}", "in_force",
                     status.phase == SPREAD_FORCE &&
                         status.done >= status.known,
                     "phase", status.phase == SPREAD_FORCE ? "force" : "stage",
                     "done", (json_int_t)status.done, "known",
                     (json_int_t)status.known, "lacking", lacking);
}

/* Answer an edit: its version, or why it was refused. */
void
daemon_api_edit_done(struct daemon *daemon, const struct api_caller *caller,
                     const char *edit_id,
                     const struct control_outcome *outcome)
{
    const struct table_result *result = &outcome->result;
    bool accepted = outcome->available && result->reason == TABLE_ACCEPTED;

    counter_add(&daemon->counters,
                accepted ? COUNTER_EDITS_ACCEPTED : COUNTER_EDITS_REFUSED, 1);
    if (!outcome->available) {
        api_refuse(daemon, caller, ERR_UNAVAILABLE, outcome->message);
        return;
    }
    if (accepted) {
        api_answer(daemon, caller, 200,
                   json_pack("{s:s, s:b, s:I, s:b}", "edit_id", edit_id,
                             "accepted", 1, "version",
                             (json_int_t)result->version, "repeated",
                             result->repeated));
        return;
    }
    counter_add(&daemon->counters, COUNTER_API_REFUSED, 1);
    api_answer(daemon, caller, result->reason == TABLE_CONFLICT ? 409 : 422,
               json_pack("{s:s, s:s, s:b, s:I, s:b, s:s, s:s}", "error",
                         err_name(table_reason_code(result->reason)),
                         "edit_id", edit_id, "accepted", 0, "version",
                         (json_int_t)result->version, "repeated",
                         result->repeated, "reason",
                         table_reason_name(result->reason), "message",
                         result->message));
}

static void
edit_status(struct daemon *daemon, const struct api_caller *caller,
            const struct handler_row *row, const char *name, const char *body,
            size_t len)
{
    struct table_result result;

    (void)row;
    (void)body;
    (void)len;
    if (!table_core_answer(control_tables(daemon), name, &result)) {
        api_refuse(daemon, caller, ERR_NOT_FOUND,
                   "no edit with this id is known; it was not accepted, or "
                   "its answer is no longer kept");
        return;
    }
    if (result.reason != TABLE_ACCEPTED) {
        api_answer(daemon, caller, 200,
                   json_pack("{s:s, s:b, s:s, s:s}", "edit_id", name,
                             "accepted", 0, "reason",
                             table_reason_name(result.reason), "message",
                             result.message));
        return;
    }
    api_answer(daemon, caller, 200,
               json_pack("{s:s, s:b, s:I, s:o}", "edit_id", name, "accepted",
                         1, "version", (json_int_t)result.version, "force",
                         force_json(daemon, result.version)));
}

static json_t *
daemons_json(struct daemon *daemon)
{
    size_t count;
    const struct daemon_view *views =
        member_core_daemons(daemon->member, &count);
    json_t *list = json_array();

    for (size_t i = 0; i < count; i++) {
        const char *name = member_core_name(daemon->member, views[i].id);
        const char *zone =
            member_core_zone_name(daemon->member, views[i].zone);
        char *address = view_address_text(views[i].address);

        json_array_append_new(
            list,
            json_pack("{s:s, s:s, s:s, s:s, s:b, s:b}", "name",
                      name == NULL ? "?" : name, "zone",
                      zone == NULL ? "?" : zone, "address", address, "state",
                      view_daemon_state_name(views[i].state), "entry",
                      views[i].entry, "control", views[i].control));
        g_free(address);
    }
    return list;
}

/* Where the targets of the status are gathered. */
struct target_list {
    const struct daemon *daemon;
    json_t *items;
};

static void
collect_target(const struct spread_target *target, void *data)
{
    struct target_list *list = data;
    const struct table_row *pool =
        table_core_pool(list->daemon->in_force, target->pool);
    char *address = view_address_text(target->view.key.address);

    json_array_append_new(
        list->items,
        json_pack(
            "{s:s, s:s, s:s, s:I, s:I}", "address", address, "pool",
            pool == NULL ? "?" : pool->u.pool.name, "state",
            target_state_names[target->view.state], "incarnation",
            (json_int_t)target->view.key.incarnation, "flows",
            (json_int_t)flow_core_target_flows(
                list->daemon->flow, target->pool, target->view.key.address)));
    g_free(address);
}

static void
system_status(struct daemon *daemon, const struct api_caller *caller,
              const struct handler_row *row, const char *name,
              const char *body, size_t len)
{
    struct target_list targets = {daemon, json_array()};
    struct daemon_id leader = control_leader(daemon);
    const char *leader_name = member_core_name(daemon->member, leader);

    (void)row;
    (void)name;
    (void)body;
    (void)len;
    spread_core_targets(daemon->spread, collect_target, &targets);
    api_answer(
        daemon, caller, 200,
        json_pack("{s:s, s:s, s:I, s:I, s:s, s:b, s:o, s:o}", "daemon",
                  daemon->settings->name, "zone", daemon->settings->zone,
                  "in_force",
                  (json_int_t)table_core_position(daemon->in_force).version,
                  "staged", (json_int_t)spread_core_staged(daemon->spread),
                  "leader", leader_name == NULL ? "" : leader_name, "current",
                  control_is_current(daemon), "daemons", daemons_json(daemon),
                  "targets", targets.items));
}
