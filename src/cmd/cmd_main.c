/* The subcommands of the one binary, and those that a platform adds. */
#include <locale.h>
#include <stdio.h>
#include <string.h>

#include "cmd/cmd.h"

static const struct cmd_row commands[] = {
    {"serve", "run a daemon", cmd_serve},
    {"route", "list, get, set or delete rows of the routes table", cmd_route},
    {"pool", "list, get, set or delete rows of the pools table", cmd_pool},
    {"edit", "tell how far an edit has come", cmd_edit},
    {"status", "tell members, targets and versions", cmd_status},
    {"explain", "tell a flow's story from the daemons' logs", cmd_explain},
    {"where", "tell where a new flow would go now, and why", cmd_where},
    {"settings", "check flags and variables without starting", cmd_settings},
    {NULL, NULL, NULL},
};

static void print_help(FILE *, const struct cmd_row *more);
static const struct cmd_row *find(const struct cmd_row *, const char *);

static void
print_help(FILE *out, const struct cmd_row *more)
{
    fputs("usage: parsleyspur COMMAND [ARGUMENTS]\n\n", out);
    for (const struct cmd_row *row = commands; row->name != NULL; row++) {
        fprintf(out, "  %-9s %s\n", row->name, row->help);
    }
    for (const struct cmd_row *row = more; row->name != NULL; row++) {
        fprintf(out, "  %-9s %s\n", row->name, row->help);
    }
    fputs("\n  --help     print this, or with a command its own help\n"
          "  --version  print the version\n",
          out);
}

/* Print an error of usage on standard error. */
enum cmd_status
cmd_usage_error(const char *command, const char *message)
{
    fprintf(stderr, "parsleyspur%s%s: %s\n", command == NULL ? "" : " ",
            command == NULL ? "" : command, message);
    fprintf(stderr, "try: parsleyspur%s%s --help\n",
            command == NULL ? "" : " ", command == NULL ? "" : command);
    return CMD_USAGE;
}

/* The row of NAME in ROWS, or NULL. */
static const struct cmd_row *
find(const struct cmd_row *rows, const char *name)
{
    for (const struct cmd_row *row = rows; row->name != NULL; row++) {
        if (strcmp(row->name, name) == 0) {
            return row;
        }
    }
    return NULL;
}

/*
 * Run the subcommand that ARGV names: one of the product's, or of MORE, which
 * ends with an empty row.
 */
enum cmd_status
cmd_main(int argc, char **argv, const struct cmd_row *more)
{
    const struct cmd_row *row;
    char *message;
    enum cmd_status status;

    setlocale(LC_CTYPE, "C.UTF-8");
    if (argc < 2) {
        return cmd_usage_error(NULL, "no command given");
    }
    if (strcmp(argv[1], "--help") == 0) {
        print_help(stdout, more);
        return CMD_DONE;
    }
    if (strcmp(argv[1], "--version") == 0) {
        puts("parsleyspur " CMD_VERSION);
        return CMD_DONE;
    }
    row = find(commands, argv[1]);
    row = row != NULL ? row : find(more, argv[1]);
    if (row != NULL) {
        return row->run(argc - 1, argv + 1);
    }
    message = g_strdup_printf("no command \"%s\"", argv[1]);
    status = cmd_usage_error(NULL, message);
    g_free(message);
    return status;
}
