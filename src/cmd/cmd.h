/* The subcommands of the one binary. */
#ifndef PS_CMD_CMD_H
#define PS_CMD_CMD_H

#include <stdbool.h>

#include <glib.h>
#include <jansson.h>

#define CMD_VERSION "0.1.0"

enum cmd_status {
    CMD_DONE = 0,
    CMD_FAILED = 1,
    CMD_USAGE = 2
};

/* A subcommand; a table of them ends with an empty row. */
struct cmd_row {
    const char *name;
    const char *help;
    enum cmd_status (*run)(int, char **);
};

/* A role whose settings are in a file that the environment names. */
struct cmd_role {
    const char *name;
    const char *help;
    const char *variable; /* of the environment */
    const char *path;     /* without it */
    /* Run the daemon, or with CHECK only read its settings and print them. */
    enum cmd_status (*run)(const struct cmd_role *, bool check);
};

enum cmd_status cmd_role(const struct cmd_role *, int argc, char **argv);
enum cmd_status cmd_main(int argc, char **argv, const struct cmd_row *more);

/* Each takes the arguments from its own name on. */
enum cmd_status cmd_serve(int argc, char **argv);
enum cmd_status cmd_settings(int argc, char **argv);
enum cmd_status cmd_route(int argc, char **argv);
enum cmd_status cmd_pool(int argc, char **argv);
enum cmd_status cmd_edit(int argc, char **argv);
enum cmd_status cmd_status(int argc, char **argv);
enum cmd_status cmd_explain(int argc, char **argv);
enum cmd_status cmd_where(int argc, char **argv);

/* Print "parsleyspur: MESSAGE" and a hint; for returns of CMD_USAGE. */
enum cmd_status cmd_usage_error(const char *command, const char *message);

#endif
