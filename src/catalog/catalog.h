/*
 * The catalog: the routes that operators have put in force as a whole, the
 * targets that have announced themselves, and which daemons are voters.  On
 * control daemons it is the state machine behind the replicated log; entry
 * daemons hold a replica of it that only moves forward.
 *
 * Every row carries the revision (index of the log) that last changed it, so
 * that any difference is the rows above a revision.
 */
#ifndef PS_CATALOG_CATALOG_H
#define PS_CATALOG_CATALOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "base/view.h"

#define CATALOG_SPLITS_MAX  8
#define CATALOG_VOTERS_MAX  5
#define CATALOG_REMOVED_MAX 4096 /* rows that were removed and are kept */

/* What may be repeated of the requests that a route carries, and their size.
 * The values stand in logs and snapshots: new ones go to the end. */
enum catalog_kind {
    CATALOG_IDEMPOTENT,
    CATALOG_NON_IDEMPOTENT,
    CATALOG_UPLOAD,   /* not idempotent, with a large body */
    CATALOG_DOWNLOAD, /* idempotent, with a large answer */
    CATALOG_KIND__MAX
};

/* What follows from a route's kind. */
struct catalog_traits {
    const char *name;
    bool idempotent;
    bool large_request;
    bool large_answer; /* goes from the host to the caller directly; an entry
                        * daemon sees its acknowledgements */
};

struct catalog_split {
    struct pool_id pool;
    uint32_t weight;
};

struct catalog_route {
    uint64_t key; /* catalog_endpoint_key() */
    enum catalog_kind kind;
    uint32_t priority; /* 0 is highest */
    uint32_t timeout_ms;
    uint32_t goal_ms; /* latency objective */
    size_t split_count;
    struct catalog_split splits[CATALOG_SPLITS_MAX];
    uint64_t revision;
    bool removed;
};

enum catalog_target_state {
    CATALOG_READY,
    CATALOG_DRAINING, /* keeps its flows, gets no new ones */
    CATALOG_GONE,     /* has left, or its address has passed to another */
    CATALOG_TARGET_STATE__MAX
};

struct catalog_target {
    uint64_t host;        /* identity that the host itself checks */
    uint64_t incarnation; /* its start, Unix ms; 0 if unknown */
    uint64_t sequence;    /* of its last announcement that changed something */
    uint32_t address;
    uint16_t port;
    struct pool_id pool;
    uint32_t zone;
    uint32_t slots; /* requests at once */
    enum catalog_target_state state;
    uint32_t cold_ms; /* slow for this long after the announcement */
    bool missing;     /* no announcement for too long */
    uint64_t revision;
    uint32_t cookie;     /* names the target in packets; never 0 */
    bool cookie_clashes; /* an earlier target has the cookie */
};

/* Which daemon is a voter. */
struct catalog_voter {
    uint32_t address; /* 0 for none yet */
    uint64_t revision;
};

/* Routes as an operator sends them, under the operator's own version. */
struct catalog_tables {
    uint64_t version;
    uint32_t idle_ms;  /* a flow may be forgotten after this silence */
    GBytes *document;  /* as sent, to be read back */
    GArray *routes;    /* struct catalog_route */
    GHashTable *pools; /* id -> name */
};

enum catalog_command_kind {
    CATALOG_REPLACE,  /* all routes, if the version is higher */
    CATALOG_ANNOUNCE, /* a target says what it is */
    CATALOG_LEAVE,    /* a target says that it ends */
    CATALOG_PRESENCE, /* announcements of a target are missing, or back */
    CATALOG_VOTER,    /* another daemon replaces a voter */
    CATALOG_COMMAND__MAX
};

struct catalog_command {
    enum catalog_command_kind kind;
    union {
        struct catalog_tables tables;
        struct catalog_target target; /* ANNOUNCE, LEAVE, PRESENCE */
        struct {
            size_t index;
            uint32_t address;
        } voter;
    } u;
};

/* What a command or an update has changed. */
struct catalog_change {
    bool tables;
    bool targets;
    bool voters;
};

struct catalog;

struct catalog *catalog_new(void);
void catalog_free(struct catalog *);

uint64_t catalog_endpoint_key(uint32_t address, uint16_t port);
uint32_t catalog_cookie(uint64_t host);

bool catalog_apply(struct catalog *, uint64_t index,
                   const struct catalog_command *, struct catalog_change *);
void catalog_skip(struct catalog *, uint64_t index);

uint64_t catalog_revision(const struct catalog *);
/* The last revision that changed a route or a target. */
uint64_t catalog_changed_revision(const struct catalog *);
uint64_t catalog_version(const struct catalog *);
uint32_t catalog_idle_ms(const struct catalog *);
GBytes *catalog_document(const struct catalog *);
const char *catalog_pool_name(const struct catalog *, struct pool_id);
const struct catalog_voter *catalog_voters(const struct catalog *);

const struct catalog_traits *catalog_kind_traits(enum catalog_kind);
const struct catalog_route *catalog_find_route(const struct catalog *,
                                               uint64_t key);
const struct catalog_target *catalog_find_target(const struct catalog *,
                                                 uint64_t host);
const struct catalog_target *catalog_find_cookie(const struct catalog *,
                                                 uint32_t cookie);
size_t catalog_route_count(const struct catalog *);
/* Targets in the order of their hosts; the array belongs to the catalog. */
const GPtrArray *catalog_targets(const struct catalog *);

/* Whether an announcement would change anything. */
bool catalog_announce_is_new(const struct catalog *,
                             const struct catalog_target *);

enum catalog_scope {
    CATALOG_FOR_ENTRY, /* without the operator's document */
    CATALOG_COMPLETE,
    CATALOG_SCOPE__MAX
};

void catalog_pack_update(const struct catalog *, uint64_t from,
                         enum catalog_scope, GByteArray *);
bool catalog_merge(struct catalog *, const uint8_t *, size_t,
                   struct catalog_change *);

void catalog_command_clear(struct catalog_command *);
void catalog_tables_init(struct catalog_tables *);
void catalog_tables_clear(struct catalog_tables *);
void catalog_tables_add_pool(struct catalog_tables *, const char *name);

#endif
