/*
 * Commands to a running stand-in: one line over TCP, one reply, then the
 * connection closes.  The same commands can come from a script of lines
 * "MS COMMAND", MS counted from the start.
 */
#ifndef PS_STANDINS_LIB_CONTROL_H
#define PS_STANDINS_LIB_CONTROL_H

#include <glib.h>
#include <uv.h>

#include "lib_net.h"

/* Carries out one command; REPLY goes back, a newline is added. */
typedef void (*control_fn)(void *arg, const char *rest, GString *reply);

struct control_command {
    const char *name; /* NULL ends a table */
    control_fn fn;
};

struct control;

struct control *control_new(uv_loop_t *, const struct control_command *,
                            void *arg);
void control_listen(struct control *, struct net_address);
void control_script(struct control *, const char *path);
void control_run(struct control *, const char *line, GString *reply);

#endif
