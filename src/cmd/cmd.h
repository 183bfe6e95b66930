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

/* Each takes the arguments from its own name on. */
enum cmd_status cmd_serve(int argc, char **argv);
enum cmd_status cmd_settings(int argc, char **argv);
enum cmd_status cmd_route(int argc, char **argv);
enum cmd_status cmd_pool(int argc, char **argv);
enum cmd_status cmd_edit(int argc, char **argv);
enum cmd_status cmd_status(int argc, char **argv);

/* Print "parsleyspur: MESSAGE" and a hint; for returns of CMD_USAGE. */
enum cmd_status cmd_usage_error(const char *command, const char *message);

#endif
