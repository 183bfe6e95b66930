/*
 * Typed errors: a closed list of kinds, carried by GError.  A message says
 * what was seen, what was expected and what to do.
 */
#ifndef PS_BASE_ERR_H
#define PS_BASE_ERR_H

#include <glib.h>

enum err_code {
    ERR_USAGE,       /* a command line that cannot be taken */
    ERR_SETTING,     /* a setting that is wrong, unknown or contradictory */
    ERR_INPUT,       /* malformed input from a network edge */
    ERR_CONFLICT,    /* an edit built on another version */
    ERR_REFUSED,     /* a well-formed edit or request that a rule refuses */
    ERR_NOT_FOUND,   /* a named row, edit or member that does not exist */
    ERR_UNAVAILABLE, /* no quorum, no lead, or no reachable peer */
    ERR_STORAGE,     /* the data folder cannot be used */
    ERR_CORRUPT,     /* a stored record fails its checksum */
    ERR_LIMIT,       /* a size, rate or count above its limit */
    ERR_NETWORK,     /* a socket that cannot be opened or used */
    ERR_AUTH,        /* a missing or wrong token or cluster name */
    ERR__MAX
};

#define ERR_DOMAIN err_quark()

GQuark err_quark(void);
const char *err_name(enum err_code);

#endif
