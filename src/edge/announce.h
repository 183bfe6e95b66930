/* Announcements of targets: JSON in, a checked struct out. */
#ifndef PS_EDGE_ANNOUNCE_H
#define PS_EDGE_ANNOUNCE_H

#include <stdbool.h>
#include <stddef.h>

#include <glib.h>

#include "base/view.h"

#define ANNOUNCE_URL_MAX 256 /* bytes with the NUL */

struct announcement {
    char pool[VIEW_NAME_MAX];
    struct target_view target;
    char health_url[ANNOUNCE_URL_MAX]; /* empty for none */
    char load_url[ANNOUNCE_URL_MAX];
};

bool announce_parse(const char *body, size_t len, struct announcement *,
                    GError **);

#endif
