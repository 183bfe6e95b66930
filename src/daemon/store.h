/*
 * The task that owns the log's files: a thread of its own, so that a slow
 * disk does not hold up packets.  It talks to the loop by messages.
 */
#ifndef PS_DAEMON_STORE_H
#define PS_DAEMON_STORE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <uv.h>

#include "quorum/quorum.h"
#include "quorum/storage.h"

struct store;

/* Called on the loop, for each write in the order of its submission. */
struct store_handler {
    void (*stored)(void *user, uint64_t token, bool ok);
    void (*space)(void *user, bool low); /* when it changes */
    void *user;
};

struct store *store_new(uv_loop_t *, const char *folder, struct store_handler,
                        struct quorum_stored *, struct storage_report *,
                        GError **);
void store_submit(struct store *, uint64_t token, const struct quorum_record *,
                  size_t);
void store_check_space(struct store *);

/* Write what waits, end the task; the store frees itself on the loop. */
void store_close(struct store *);

#endif
