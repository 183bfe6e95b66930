/* The subcommands of roles whose settings a platform keeps. */
#include <stdio.h>
#include <string.h>

#include "cmd/cmd.h"

static void print_help(const struct cmd_role *);

static void
print_help(const struct cmd_role *role)
{
    printf(
        "usage: parsleyspur %s [--check]\n\n"
        "%s; it takes no other arguments.\n"
        "Its settings are in the file that %s names, %s by default.\n\n"
        "  --check    read the settings, tell what they amount to, and end\n"
        "  --help     print this\n",
        role->name, role->help, role->variable, role->path);
}

/* Run ROLE, or check its settings; ARGV begins with the role's own name. */
enum cmd_status
cmd_role(const struct cmd_role *role, int argc, char **argv)
{
    char *message;
    enum cmd_status status;

    if (argc == 1) {
        return role->run(role, false);
    }
    if (argc == 2 && strcmp(argv[1], "--help") == 0) {
        print_help(role);
        return CMD_DONE;
    }
    if (argc == 2 && strcmp(argv[1], "--check") == 0) {
        return role->run(role, true);
    }
    message = g_strdup_printf(
        "%s \"%s\"; its settings are in %s",
        argc == 2 ? "no argument" : "one argument too many:", argv[argc - 1],
        role->variable);
    status = cmd_usage_error(role->name, message);
    g_free(message);
    return status;
}
