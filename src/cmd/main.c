/* Entry point of the one binary: a table of subcommands. */
#include <locale.h>
#include <stdio.h>
#include <string.h>

#include "cmd/cmd.h"

struct command_row {
    const char *name;
    const char *help;
    enum cmd_status (*run)(int, char **);
};

static const struct command_row commands[] = {
    {"serve", "run a daemon", cmd_serve},
    {"route", "list, get, set or delete rows of the routes table", cmd_route},
    {"pool", "list, get, set or delete rows of the pools table", cmd_pool},
    {"edit", "tell how far an edit has come", cmd_edit},
    {"status", "tell members, targets and versions", cmd_status},
    {"settings", "check flags and variables without starting", cmd_settings},
};

static void print_help(FILE *);

static void
print_help(FILE *out)
{
    fputs("usage: parsleyspur COMMAND [ARGUMENTS]\n\n", out);
    for (size_t i = 0; i < sizeof(commands) / sizeof(commands[0]); i++) {
        fprintf(out, "  %-9s %s\n", commands[i].name, commands[i].help);
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

int
main(int argc, char **argv)
{
    char *message;
    enum cmd_status status;

    setlocale(LC_CTYPE, "C.UTF-8");
    if (argc < 2) {
        return cmd_usage_error(NULL, "no command given");
    }
    if (strcmp(argv[1], "--help") == 0) {
        print_help(stdout);
        return CMD_DONE;
    }
    if (strcmp(argv[1], "--version") == 0) {
        puts("parsleyspur " CMD_VERSION);
        return CMD_DONE;
    }
    for (size_t i = 0; i < sizeof(commands) / sizeof(commands[0]); i++) {
        if (strcmp(argv[1], commands[i].name) == 0) {
            return commands[i].run(argc - 1, argv + 1);
        }
    }
    message = g_strdup_printf("no command \"%s\"", argv[1]);
    status = cmd_usage_error(NULL, message);
    g_free(message);
    return status;
}
