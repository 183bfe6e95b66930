/* `status` and `edit status`. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <argtable2.h>

#include "cmd/client.h"
#include "cmd/cmd.h"
#include "cmd/output.h"

static const struct output_column daemon_columns[] = {
    {"DAEMON", "name"}, {"ZONE", "zone"},   {"ADDRESS", "address"},
    {"STATE", "state"}, {"ENTRY", "entry"}, {"CONTROL", "control"},
};

static const struct output_column target_columns[] = {
    {"TARGET", "address"},          {"POOL", "pool"},   {"STATE", "state"},
    {"INCARNATION", "incarnation"}, {"FLOWS", "flows"},
};

static const struct output_column head_columns[] = {
    {"daemon", "daemon"}, {"zone", "zone"},     {"in force", "in_force"},
    {"staged", "staged"}, {"leader", "leader"}, {"current", "current"},
};

/* Of a fleet's daemon. */
static const struct output_column fleet_columns[] = {
    {"daemon", "daemon"},   {"role", "role"},         {"zone", "zone"},
    {"version", "version"}, {"revision", "revision"}, {"leader", "leader"},
    {"leading", "leading"}, {"lag ms", "lag_ms"},     {"ready", "ready"},
};

static const struct output_column voter_columns[] = {
    {"VOTER", "voter"},
    {"ADDRESS", "address"},
    {"VOTES", "votes"},
    {"VOTING", "voting"},
};

static const struct output_column peer_columns[] = {
    {"DAEMON", "address"},    {"ROLE", "role"},     {"VOTER", "voter"},
    {"REVISION", "revision"}, {"LAG MS", "lag_ms"}, {"HEARD MS", "heard_ms"},
};

static const struct output_column pool_columns[] = {
    {"POOL", "pool"},         {"READY", "ready"}, {"MISSING", "missing"},
    {"DRAINING", "draining"}, {"GONE", "gone"},
};

static const struct output_column host_columns[] = {
    {"TARGET", "target"}, {"POOL", "pool"},         {"ADDRESS", "address"},
    {"STATE", "state"},   {"HEARD MS", "heard_ms"},
};

static const struct output_column zone_columns[] = {
    {"ZONE", "zone"},
    {"EMPTIED", "emptied"},
    {"REVISION", "revision"},
    {"AGE MS", "ordered_ms_ago"},
};

static const struct output_column edit_columns[] = {
    {"edit", "edit_id"},  {"accepted", "accepted"}, {"version", "version"},
    {"reason", "reason"}, {"message", "message"},   {"force", "force"},
};

static void print_table(json_t *rows, const struct output_column *, size_t);
static void print_fleet(json_t *);
static enum cmd_status get(const struct client_options *, const char *path,
                           json_t **answer);
static enum cmd_status fetch(const char *command, const char *prefix, int argc,
                             char **argv, bool *json, json_t **answer);

/* GET PATH; CMD_DONE with ANSWER set, else what failed was printed. */
static enum cmd_status
get(const struct client_options *options, const char *path, json_t **answer)
{
    struct client_answer got;
    GError *error = NULL;
    const char *message;

    if (!client_request(options, "GET", path, NULL, &got, &error)) {
        fprintf(stderr, "parsleyspur: %s\n", error->message);
        g_error_free(error);
        return CMD_FAILED;
    }
    if (got.status != 200) {
        message = json_string_value(json_object_get(got.body, "message"));
        fprintf(stderr, "parsleyspur: refused: %s\n",
                message == NULL ? "no answer of this API" : message);
        json_decref(got.body);
        return CMD_FAILED;
    }
    *answer = got.body;
    return CMD_DONE;
}

/*
 * Parse the flags and GET PREFIX, or PREFIX and an id if PREFIX ends in '/'.
 * CMD_DONE with ANSWER set; CMD_DONE without it after the help.
 */
static enum cmd_status
fetch(const char *command, const char *prefix, int argc, char **argv,
      bool *json, json_t **answer)
{
    bool wants_id = g_str_has_suffix(prefix, "/");
    struct arg_str *id =
        arg_strn(NULL, NULL, "ID", wants_id ? 1 : 0, wants_id ? 1 : 0,
                 wants_id ? "id of the edit" : NULL);
    struct arg_str *server =
        arg_str0(NULL, "server", "URL", "a daemon's administration address");
    struct arg_str *token =
        arg_str0(NULL, "token-file", "FILE", "file with the token");
    struct arg_str *fleet =
        arg_str0(NULL, "fleet", "URL",
                 wants_id ? NULL : "a fleet's daemon, where its metrics are");
    struct arg_lit *as_json = arg_lit0(NULL, "json", "print JSON");
    struct arg_lit *help = arg_lit0(NULL, "help", "print this");
    struct arg_end *end = arg_end(4);
    void *table[] = {id, server, token, fleet, as_json, help, end};
    enum cmd_status status = CMD_DONE;
    int faults = arg_parse(argc, argv, table);

    *answer = NULL;
    *json = as_json->count > 0;
    if (help->count > 0) {
        printf("usage: parsleyspur %s%s [--server URL] [--token-file FILE] "
               "[--json]\n",
               command, wants_id ? " ID" : "");
        if (!wants_id) {
            printf("       parsleyspur %s --fleet URL [--json]\n", command);
        }
    }
    else if (faults > 0) {
        arg_print_errors(stderr, end, "parsleyspur");
        status = cmd_usage_error(command, "wrong arguments");
    }
    else if (fleet->count > 0 &&
             (wants_id || server->count > 0 || token->count > 0)) {
        status = cmd_usage_error(
            command, wants_id
                         ? "--fleet goes with status only"
                         : "--fleet takes neither --server nor --token-file");
    }
    else {
        struct client_options options = {
            .server = fleet->count > 0    ? fleet->sval[0]
                      : server->count > 0 ? server->sval[0]
                                          : getenv("PARSLEYSPUR_SERVER"),
            .token_file = fleet->count > 0 ? NULL
                          : token->count > 0
                              ? token->sval[0]
                              : getenv("PARSLEYSPUR_TOKEN_FILE"),
        };
        char *path =
            fleet->count > 0
                ? g_strdup("/status")
                : g_strconcat(prefix, wants_id ? id->sval[0] : "", NULL);

        status = get(&options, path, answer);
        g_free(path);
    }
    arg_freetable(table, G_N_ELEMENTS(table));
    return status;
}

/* Print ROWS under COLUMNS, with an empty line in front. */
static void
print_table(json_t *rows, const struct output_column *columns, size_t count)
{
    putchar('\n');
    output_rows(rows, columns, count);
}

/* What a fleet's daemon says; an entry daemon knows of no voters. */
static void
print_fleet(json_t *answer)
{
    json_t *voters = json_object_get(answer, "voters");

    output_row(answer, fleet_columns, G_N_ELEMENTS(fleet_columns));
    if (voters != NULL) {
        print_table(voters, voter_columns, G_N_ELEMENTS(voter_columns));
    }
    if (json_array_size(json_object_get(answer, "zones")) > 0) {
        print_table(json_object_get(answer, "zones"), zone_columns,
                    G_N_ELEMENTS(zone_columns));
    }
    print_table(json_object_get(answer, "daemons"), peer_columns,
                G_N_ELEMENTS(peer_columns));
    print_table(json_object_get(answer, "pools"), pool_columns,
                G_N_ELEMENTS(pool_columns));
    print_table(json_object_get(answer, "targets"), host_columns,
                G_N_ELEMENTS(host_columns));
}

/* `parsleyspur status` */
enum cmd_status
cmd_status(int argc, char **argv)
{
    bool json;
    json_t *answer;
    enum cmd_status status =
        fetch("status", "/v1/status", argc, argv, &json, &answer);

    if (answer == NULL) {
        return status;
    }
    if (json) {
        output_json(answer);
    }
    else if (json_object_get(answer, "role") != NULL) {
        print_fleet(answer);
    }
    else {
        output_row(answer, head_columns, G_N_ELEMENTS(head_columns));
        print_table(json_object_get(answer, "daemons"), daemon_columns,
                    G_N_ELEMENTS(daemon_columns));
        print_table(json_object_get(answer, "targets"), target_columns,
                    G_N_ELEMENTS(target_columns));
    }
    json_decref(answer);
    return status;
}

/* `parsleyspur edit status ID` */
enum cmd_status
cmd_edit(int argc, char **argv)
{
    bool json;
    json_t *answer;
    enum cmd_status status;

    if (argc > 1 && strcmp(argv[1], "--help") == 0) {
        puts("usage: parsleyspur edit status ID");
        return CMD_DONE;
    }
    if (argc < 2 || strcmp(argv[1], "status") != 0) {
        return cmd_usage_error("edit", "give the word status and an id");
    }
    status =
        fetch("edit status", "/v1/edits/", argc - 1, argv + 1, &json, &answer);
    if (answer == NULL) {
        return status;
    }
    if (json) {
        output_json(answer);
    }
    else {
        output_row(answer, edit_columns, G_N_ELEMENTS(edit_columns));
    }
    json_decref(answer);
    return status;
}
