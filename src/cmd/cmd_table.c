/* `route` and `pool`: the two tables from the command line. */
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <argtable2.h>

#include "base/err.h"
#include "cmd/client.h"
#include "cmd/cmd.h"
#include "cmd/output.h"

#define WAIT_DEFAULT_S 10
#define POLL_US        50000
#define LIST_MAX       64 /* values of a flag that may be repeated */
#define FLAGS_MAX      24

enum member_type {
    MEMBER_TEXT,
    MEMBER_INTEGER,
    MEMBER_LIST,    /* a flag that may be repeated */
    MEMBER_WEIGHTS, /* ADDRESS=WEIGHT, may be repeated */
};

/* A member of a row, as a flag of `set`. */
struct member_row {
    const char *flag;
    const char *member;
    enum member_type type;
    const char *glossary;
};

struct table_command_row {
    const char *name; /* of the command */
    const char *path;
    const struct member_row *members;
    size_t member_count;
    const struct output_column *columns;
    size_t column_count;
};

static const struct member_row route_members[] = {
    {"address", "address", MEMBER_TEXT, "IPv4 address that callers send to"},
    {"port", "port", MEMBER_INTEGER, "port, or 0 for every port [0]"},
    {"kind", "kind", MEMBER_TEXT, "stream or call [stream]"},
    {"pool", "pool", MEMBER_TEXT, "pool that takes the traffic"},
    {"team", "team", MEMBER_TEXT, "team that owns the row"},
    {"new-flows", "new_flows_per_s", MEMBER_INTEGER,
     "new flows a second, or 0 for no limit [0]"},
};

static const struct member_row pool_members[] = {
    {"prefer", "prefer", MEMBER_TEXT,
     "what weighs more: flows (unbroken) or balance [flows]"},
    {"team", "team", MEMBER_TEXT, "team that owns the row"},
    {"queue-limit", "queue_limit", MEMBER_INTEGER,
     "calls that may wait, or 0 for the default [0]"},
    {"drain", "drain", MEMBER_LIST,
     "address of a target to empty; may be repeated"},
    {"weight", "weights", MEMBER_WEIGHTS,
     "ADDRESS=WEIGHT of a target, 100 is usual; may be repeated"},
};

static const struct output_column route_columns[] = {
    {"NAME", "name"},
    {"ADDRESS", "address"},
    {"PORT", "port"},
    {"KIND", "kind"},
    {"POOL", "pool"},
    {"TEAM", "team"},
    {"NEW/S", "new_flows_per_s"},
    {"VERSION", "version"},
};

static const struct output_column pool_columns[] = {
    {"NAME", "name"},       {"VNI", "vni"},           {"PREFER", "prefer"},
    {"TEAM", "team"},       {"QUEUE", "queue_limit"}, {"DRAIN", "drain"},
    {"WEIGHTS", "weights"}, {"VERSION", "version"},
};

static const struct table_command_row route_command = {
    "route",       "/v1/routes",
    route_members, G_N_ELEMENTS(route_members),
    route_columns, G_N_ELEMENTS(route_columns),
};

static const struct table_command_row pool_command = {
    "pool",       "/v1/pools",
    pool_members, G_N_ELEMENTS(pool_members),
    pool_columns, G_N_ELEMENTS(pool_columns),
};

/* The flags of one run; argtable owns the entries. */
struct table_flags {
    struct arg_str *name;
    struct arg_str *members[8];
    struct arg_str *server;
    struct arg_str *token_file;
    struct arg_str *edit_id;
    struct arg_int *base;
    struct arg_str *without;
    struct arg_int *wait;
    struct arg_lit *json;
    struct arg_lit *help;
    struct arg_end *end;
    void *table[FLAGS_MAX];
    size_t used;
};

static enum cmd_status run(const struct table_command_row *, int, char **);
static void flags_init(struct table_flags *, const struct table_command_row *,
                       const char *verb);
static void print_help(const struct table_command_row *, const char *verb,
                       struct table_flags *);
static bool wants_name(const char *verb);
static char *row_path(const struct table_command_row *,
                      const struct table_flags *);
static enum cmd_status do_list(const struct table_command_row *,
                               const struct table_flags *);
static enum cmd_status do_get(const struct table_command_row *,
                              const struct table_flags *);
static enum cmd_status do_edit(const struct table_command_row *,
                               const struct table_flags *, bool set);
static struct client_options client_of(const struct table_flags *);
static bool request(const struct table_flags *, const char *method,
                    const char *path, json_t *body, json_t **answer);
static bool current_version(const struct table_command_row *,
                            const struct table_flags *, json_int_t *);
static json_t *row_of(const struct table_command_row *,
                      const struct table_flags *, GError **);
static bool set_member(json_t *row, const struct member_row *,
                       const struct arg_str *, GError **);
static enum cmd_status wait_in_force(const struct table_flags *,
                                     const char *edit_id, json_t *edit);

static bool
wants_name(const char *verb)
{
    return strcmp(verb, "list") != 0;
}

/* The flags that VERB takes. */
static void
flags_init(struct table_flags *flags, const struct table_command_row *command,
           const char *verb)
{
    bool set = strcmp(verb, "set") == 0;
    bool edit = set || strcmp(verb, "delete") == 0;

    memset(flags, 0, sizeof(*flags));
    if (wants_name(verb)) {
        flags->name = arg_str1(NULL, NULL, "NAME", "name of the row");
        flags->table[flags->used++] = flags->name;
    }
    for (size_t i = 0; set && i < command->member_count; i++) {
        const struct member_row *member = &command->members[i];
        int most =
            member->type == MEMBER_LIST || member->type == MEMBER_WEIGHTS
                ? LIST_MAX
                : 1;

        flags->members[i] =
            arg_strn(NULL, member->flag, "VALUE", 0, most, member->glossary);
        flags->table[flags->used++] = flags->members[i];
    }
    if (edit) {
        flags->edit_id = arg_str0(NULL, "edit-id", "ID",
                                  "id of the edit, to send it again safely");
        flags->base = arg_int0(NULL, "base", "VERSION",
                               "version that the edit is built on");
        flags->without = arg_strn(NULL, "accept-without", "ZONE", 0, LIST_MAX,
                                  "accept although ZONE cannot be reached");
        flags->wait = arg_int0(NULL, "wait", "SECONDS",
                               "wait for the edit to be in force [10]");
        flags->table[flags->used++] = flags->edit_id;
        flags->table[flags->used++] = flags->base;
        flags->table[flags->used++] = flags->without;
        flags->table[flags->used++] = flags->wait;
    }
    flags->server =
        arg_str0(NULL, "server", "URL", "a daemon's administration address");
    flags->token_file =
        arg_str0(NULL, "token-file", "FILE", "file with the token");
    flags->json = arg_lit0(NULL, "json", "print JSON");
    flags->help = arg_lit0(NULL, "help", "print this");
    flags->end = arg_end(4);
    flags->table[flags->used++] = flags->server;
    flags->table[flags->used++] = flags->token_file;
    flags->table[flags->used++] = flags->json;
    flags->table[flags->used++] = flags->help;
    flags->table[flags->used++] = flags->end;
}

static void
print_help(const struct table_command_row *command, const char *verb,
           struct table_flags *flags)
{
    printf("usage: parsleyspur %s %s", command->name, verb);
    arg_print_syntax(stdout, flags->table, "\n\n");
    arg_print_glossary(stdout, flags->table, "  %-28s %s\n");
}

static struct client_options
client_of(const struct table_flags *flags)
{
    struct client_options options = {
        .server = flags->server->count > 0 ? flags->server->sval[0]
                                           : getenv("PARSLEYSPUR_SERVER"),
        .token_file = flags->token_file->count > 0
                          ? flags->token_file->sval[0]
                          : getenv("PARSLEYSPUR_TOKEN_FILE"),
    };

    return options;
}

/*
 * Send a request; true with the ANSWER if it was done.  Otherwise the reason
 * has been printed.
 */
static bool
request(const struct table_flags *flags, const char *method, const char *path,
        json_t *body, json_t **answer)
{
    struct client_options options = client_of(flags);
    struct client_answer got;
    GError *error = NULL;
    const char *message;

    *answer = NULL;
    if (!client_request(&options, method, path, body, &got, &error)) {
        fprintf(stderr, "parsleyspur: %s\n", error->message);
        g_error_free(error);
        return false;
    }
    if (got.status >= 200 && got.status < 300 && got.body != NULL) {
        *answer = got.body;
        return true;
    }
    message = json_string_value(json_object_get(got.body, "message"));
    if (flags->json->count > 0 && got.body != NULL) {
        output_json(got.body);
    }
    fprintf(stderr, "parsleyspur: refused (%s): %s\n",
            got.body == NULL
                ? "no answer of this API"
                : json_string_value(json_object_get(got.body, "error")),
            message == NULL ? "ask again" : message);
    json_decref(got.body);
    return false;
}

static enum cmd_status
do_list(const struct table_command_row *command,
        const struct table_flags *flags)
{
    json_t *answer;

    if (!request(flags, "GET", command->path, NULL, &answer)) {
        return CMD_FAILED;
    }
    if (flags->json->count > 0) {
        output_json(answer);
    }
    else {
        output_rows(json_object_get(answer, "rows"), command->columns,
                    command->column_count);
    }
    json_decref(answer);
    return CMD_DONE;
}

/* The path of the row that the flags name; the caller frees it. */
static char *
row_path(const struct table_command_row *command,
         const struct table_flags *flags)
{
    char *name = g_uri_escape_string(flags->name->sval[0], NULL, FALSE);
    char *path = g_strdup_printf("%s/%s", command->path, name);

    g_free(name);
    return path;
}

static enum cmd_status
do_get(const struct table_command_row *command,
       const struct table_flags *flags)
{
    char *path = row_path(command, flags);
    json_t *answer;
    bool ok = request(flags, "GET", path, NULL, &answer);

    g_free(path);
    if (!ok) {
        return CMD_FAILED;
    }
    if (flags->json->count > 0) {
        output_json(answer);
    }
    else {
        output_row(json_object_get(answer, "row"), command->columns,
                   command->column_count);
    }
    json_decref(answer);
    return CMD_DONE;
}

/* The version to build an edit on: --base, or the tables' present one. */
static bool
current_version(const struct table_command_row *command,
                const struct table_flags *flags, json_int_t *version)
{
    json_t *answer;

    if (flags->base->count > 0) {
        *version = flags->base->ival[0];
        return true;
    }
    if (!request(flags, "GET", command->path, NULL, &answer)) {
        return false;
    }
    *version = json_integer_value(json_object_get(answer, "version"));
    json_decref(answer);
    return true;
}

/* Put the values of one flag into ROW. */
static bool
set_member(json_t *row, const struct member_row *member,
           const struct arg_str *values, GError **error)
{
    json_t *list = json_array(), *weights = json_object();
    gint64 number = 0;
    bool ok = true;

    for (int i = 0; i < values->count && ok; i++) {
        const char *text = values->sval[i], *equals = strchr(text, '=');

        switch (member->type) {
        case MEMBER_TEXT:
            json_object_set_new(row, member->member, json_string(text));
            break;
        case MEMBER_INTEGER:
            ok = g_ascii_string_to_signed(text, 10, 0, UINT32_MAX, &number,
                                          error);
            json_object_set_new(row, member->member, json_integer(number));
            break;
        case MEMBER_LIST:
            json_array_append_new(list, json_string(text));
            break;
        case MEMBER_WEIGHTS:
            if (equals == NULL) {
                g_set_error(error, ERR_DOMAIN, ERR_USAGE,
                            "--weight: got \"%s\"; give ADDRESS=WEIGHT", text);
                ok = false;
                break;
            }
            ok = g_ascii_string_to_signed(equals + 1, 10, 1, 1000, &number,
                                          error);
            json_object_setn_new(weights, text, (size_t)(equals - text),
                                 json_integer(number));
            break;
        }
    }
    if (json_array_size(list) > 0) {
        json_object_set(row, member->member, list);
    }
    if (json_object_size(weights) > 0) {
        json_object_set(row, member->member, weights);
    }
    json_decref(list);
    json_decref(weights);
    return ok;
}

/* The row that the flags describe; NULL with ERR_USAGE. */
static json_t *
row_of(const struct table_command_row *command,
       const struct table_flags *flags, GError **error)
{
    json_t *row = json_object();

    for (size_t i = 0; i < command->member_count; i++) {
        if (!set_member(row, &command->members[i], flags->members[i], error)) {
            json_decref(row);
            return NULL;
        }
    }
    return row;
}

/* Poll the edit until it is in force on every live entry daemon. */
static enum cmd_status
wait_in_force(const struct table_flags *flags, const char *edit_id,
              json_t *edit)
{
    int wait_s =
        flags->wait->count > 0 ? flags->wait->ival[0] : WAIT_DEFAULT_S;
    gint64 end = g_get_monotonic_time() + (gint64)wait_s * G_USEC_PER_SEC;
    char *path = g_strconcat("/v1/edits/", edit_id, NULL);
    json_t *answer = NULL;
    bool in_force = false;

    while (!in_force && g_get_monotonic_time() < end) {
        json_decref(answer);
        if (!request(flags, "GET", path, NULL, &answer)) {
            break;
        }
        in_force = json_is_true(
            json_object_get(json_object_get(answer, "force"), "in_force"));
        if (!in_force) {
            g_usleep(POLL_US);
        }
    }
    if (flags->json->count > 0) {
        output_json(answer == NULL ? edit : answer);
    }
    else {
        printf("version %" JSON_INTEGER_FORMAT " %s\n",
               json_integer_value(json_object_get(edit, "version")),
               in_force ? "in force"
                        : (wait_s == 0 ? "accepted"
                                       : "accepted, not in force everywhere "
                                         "yet"));
    }
    json_decref(answer);
    g_free(path);
    return in_force || wait_s == 0 ? CMD_DONE : CMD_FAILED;
}

static enum cmd_status
do_edit(const struct table_command_row *command,
        const struct table_flags *flags, bool set)
{
    json_t *body = json_object(), *zones = json_array(), *answer, *row;
    char *path = row_path(command, flags);
    char *edit_id = flags->edit_id->count > 0
                        ? g_strdup(flags->edit_id->sval[0])
                        : g_uuid_string_random();
    enum cmd_status status = CMD_FAILED;
    GError *error = NULL;
    json_int_t version;

    for (int i = 0; i < flags->without->count; i++) {
        json_array_append_new(zones, json_string(flags->without->sval[i]));
    }
    row = set ? row_of(command, flags, &error) : NULL;
    if (error != NULL) {
        status = cmd_usage_error(command->name, error->message);
        g_error_free(error);
    }
    else if (current_version(command, flags, &version)) {
        json_object_set_new(body, "edit_id", json_string(edit_id));
        json_object_set_new(body, "base_version", json_integer(version));
        json_object_set(body, "accept_without", zones);
        if (row != NULL) {
            json_object_set(body, "row", row);
        }
        if (request(flags, set ? "PUT" : "DELETE", path, body, &answer)) {
            status = wait_in_force(flags, edit_id, answer);
            json_decref(answer);
        }
    }
    json_decref(row);
    json_decref(zones);
    json_decref(body);
    g_free(edit_id);
    g_free(path);
    return status;
}

static enum cmd_status
run(const struct table_command_row *command, int argc, char **argv)
{
    static const char *const verbs[] = {"list", "get", "set", "delete", NULL};
    struct table_flags flags;
    enum cmd_status status = CMD_DONE;
    const char *verb = argc > 1 ? argv[1] : "";

    if (strcmp(verb, "--help") == 0) {
        printf("usage: parsleyspur %s list|get|set|delete [ARGUMENTS]\n",
               command->name);
        return CMD_DONE;
    }
    if (!g_strv_contains(verbs, verb)) {
        return cmd_usage_error(command->name,
                               "give one of list, get, set, delete");
    }
    flags_init(&flags, command, verb);
    if (arg_parse(argc - 1, argv + 1, flags.table) > 0 &&
        flags.help->count == 0) {
        arg_print_errors(stderr, flags.end, "parsleyspur");
        status = cmd_usage_error(command->name, "wrong arguments");
    }
    else if (flags.help->count > 0) {
        print_help(command, verb, &flags);
    }
    else if (strcmp(verb, "list") == 0) {
        status = do_list(command, &flags);
    }
    else if (strcmp(verb, "get") == 0) {
        status = do_get(command, &flags);
    }
    else {
        status = do_edit(command, &flags, strcmp(verb, "set") == 0);
    }
    arg_freetable(flags.table, flags.used);
    return status;
}

/* `parsleyspur route ...` */
enum cmd_status
cmd_route(int argc, char **argv)
{
    return run(&route_command, argc, argv);
}

/* `parsleyspur pool ...` */
enum cmd_status
cmd_pool(int argc, char **argv)
{
    return run(&pool_command, argc, argv);
}
