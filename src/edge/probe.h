/*
 * Readers of targets' health and load endpoints: HTTP GET with a time limit,
 * many at once on the daemon's loop.
 */
#ifndef PS_EDGE_PROBE_H
#define PS_EDGE_PROBE_H

#include <stdbool.h>

#include <glib.h>
#include <uv.h>

struct probe_client;

struct probe_result {
    bool answered; /* an HTTP answer came in time */
    long status;   /* HTTP status, if answered */
    bool has_load; /* the body is a number from 0 to 1 */
    double load;
};

/* Called once for each probe that was started, unless the client is closed. */
struct probe_handler {
    void (*done)(void *user, uint64_t token, const struct probe_result *);
    void *user;
};

struct probe_client *probe_client_new(uv_loop_t *, struct probe_handler);
void probe_client_close(struct probe_client *);
void probe_client_free(struct probe_client *);
bool probe_start(struct probe_client *, const char *url, long timeout_ms,
                 uint64_t token);

#endif
