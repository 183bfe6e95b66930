/*
 * An HTTP server on the daemon's loop.  A request's answer may be given at
 * once or later, by its handle.  Sizes, times and connections are limited.
 */
#ifndef PS_EDGE_HTTP_H
#define PS_EDGE_HTTP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <uv.h>

#include "base/settings.h"

struct http_server;

/* A request that waits for its answer; a stale handle is ignored. */
struct http_handle {
    uint32_t index;
    uint32_t generation;
};

struct http_request {
    struct http_handle handle;
    const char *method;
    const char *path;
    const char *token; /* of "Authorization: Bearer", or NULL */
    const char *body;  /* NUL-terminated */
    size_t body_len;
};

struct http_options {
    uv_loop_t *loop;
    struct settings_endpoint listen;
    size_t body_max;          /* bytes; 0 for 1 MB */
    unsigned connections_max; /* 0 for 256 */
    /* Of these from one address, so that a caller who opens many and says
     * nothing leaves room for others; 0 for an eighth of connections_max. */
    unsigned address_max;
    unsigned timeout_s; /* without a byte of a request; 0 for 5 */
    bool one_call;      /* close after each: callers come rarely, and many */
    void (*handler)(void *user, const struct http_request *);
    void *user;
};

struct http_server *http_server_new(const struct http_options *, GError **);
void http_server_close(struct http_server *);
void http_server_free(struct http_server *);
void http_answer(struct http_server *, struct http_handle, unsigned status,
                 const char *content_type, const char *body, size_t len);

#endif
