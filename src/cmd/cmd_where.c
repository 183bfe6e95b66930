/* `where`: where a new flow would go now, and why; nothing is sent. */
#include <stdio.h>
#include <string.h>

#include <argtable2.h>

#include "cmd/client.h"
#include "cmd/cmd.h"
#include "cmd/output.h"

static const struct output_column head_columns[] = {
    {"daemon", "daemon"},         {"goes to", "goes_to"},
    {"reason", "reason"},         {"kind", "kind"},
    {"crowding", "crowding"},     {"pool answer ms", "pool_answer_ms"},
    {"version", "version"},       {"revision", "revision"},
    {"catalog age ms", "age_ms"},
};

static const struct output_column candidate_columns[] = {
    {"TARGET", "target"},     {"POOL", "pool"},
    {"OWN ZONE", "own_zone"}, {"OBSTACLE", "obstacle"},
    {"COST", "cost"},         {"BUSY", "busy"},
    {"LONG", "long_flows"},   {"ANSWER MS", "answer_ms"},
};

static void print_help(void);
static enum cmd_status ask(const char *server, const char *route, bool json);

static void
print_help(void)
{
    puts("usage: parsleyspur where --fleet URL ADDRESS:PORT [--json]\n\n"
         "Tell where a new flow to the route at ADDRESS:PORT would go now, "
         "and\n"
         "why.  Nothing is sent.\n\n"
         "  --fleet=URL  an entry daemon, where its metrics are\n"
         "  --json       print JSON\n"
         "  --help       print this");
}

/* Ask the daemon at SERVER about ROUTE and print its answer. */
static enum cmd_status
ask(const char *server, const char *route, bool json)
{
    struct client_options options = {.server = server};
    char *path = g_strconcat("/where/", route, NULL);
    struct client_answer answer;
    GError *error = NULL;
    const char *message;
    bool ok = client_request(&options, "GET", path, NULL, &answer, &error);

    g_free(path);
    if (!ok) {
        fprintf(stderr, "parsleyspur: %s\n", error->message);
        g_error_free(error);
        return CMD_FAILED;
    }
    if (answer.status != 200) {
        message = json_string_value(json_object_get(answer.body, "message"));
        fprintf(stderr, "parsleyspur: %s\n",
                message == NULL ? "the daemon is no entry daemon; name the "
                                  "metrics address of one"
                                : message);
        json_decref(answer.body);
        return answer.status == 400 ? CMD_USAGE : CMD_FAILED;
    }
    if (json) {
        output_json(answer.body);
    }
    else {
        output_row(answer.body, head_columns, G_N_ELEMENTS(head_columns));
        putchar('\n');
        output_rows(json_object_get(answer.body, "candidates"),
                    candidate_columns, G_N_ELEMENTS(candidate_columns));
    }
    json_decref(answer.body);
    return CMD_DONE;
}

/* `parsleyspur where` */
enum cmd_status
cmd_where(int argc, char **argv)
{
    struct arg_str *route = arg_str1(NULL, NULL, "ADDRESS:PORT", "of a route");
    struct arg_str *fleet = arg_str1(NULL, "fleet", "URL", "an entry daemon");
    struct arg_lit *as_json = arg_lit0(NULL, "json", "print JSON");
    struct arg_lit *help = arg_lit0(NULL, "help", "print this");
    struct arg_end *end = arg_end(4);
    void *table[] = {route, fleet, as_json, help, end};
    int faults = arg_parse(argc, argv, table);
    enum cmd_status status = CMD_DONE;

    if (help->count > 0) {
        print_help();
    }
    else if (faults > 0) {
        arg_print_errors(stderr, end, "parsleyspur where");
        status = cmd_usage_error(
            "where", "give --fleet URL and the ADDRESS:PORT of a route");
    }
    else {
        status = ask(fleet->sval[0], route->sval[0], as_json->count > 0);
    }
    arg_freetable(table, G_N_ELEMENTS(table));
    return status;
}
