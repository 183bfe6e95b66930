/* HTTP client of the administration API, for the command line. */
#ifndef PS_CMD_CLIENT_H
#define PS_CMD_CLIENT_H

#include <stdbool.h>

#include <glib.h>
#include <jansson.h>

struct client_options {
    const char *server;     /* base URL; NULL for the loopback default */
    const char *token_file; /* NULL for none */
};

struct client_answer {
    long status;  /* HTTP status */
    json_t *body; /* NULL if it is no JSON; the caller frees it */
};

bool client_request(const struct client_options *, const char *method,
                    const char *path, json_t *body, struct client_answer *,
                    GError **);

#endif
