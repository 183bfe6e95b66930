/*
 * The catalog: the tables of routes that an operator has put in force, which
 * are replaced as a whole (all at once), the targets that have announced
 * themselves, the availability zones that are to get no new flows, and the
 * daemons that are voters.
 *
 * On control daemons the catalog is the state machine of the replicated log.
 * Entry daemons hold a replica, whose revision only increases.  Every row has
 * the revision (log index) that last changed it.  The changes since a revision
 * are therefore the rows with a higher one.
 */
#ifndef PS_CATALOG_CATALOG_H
#define PS_CATALOG_CATALOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "base/view.h"

#define CATALOG_VOTERS_MAX  5
#define CATALOG_REMOVED_MAX 4096 /* removed rows that are kept */
#define CATALOG_OWNERS_MAX  64 /* entry daemons that share a zone's targets */

/* Kinds of requests on a route, by idempotence and size.  The values are
 * stored in logs and snapshots: add new ones at the end. */
enum catalog_kind {
    CATALOG_IDEMPOTENT,
    CATALOG_NON_IDEMPOTENT,
    CATALOG_UPLOAD,   /* not idempotent, with a large body */
    CATALOG_DOWNLOAD, /* idempotent, with a large answer */
    CATALOG_KIND__MAX
};

/* Traits of a request kind. */
struct catalog_traits {
    const char *name;
    bool idempotent;
    bool large_request;
    bool large_answer; /* sent from the host directly to the caller; an entry
                        * daemon sees only the acknowledgements */
};

struct catalog_split {
    struct pool_id pool;
    uint32_t weight;
};

struct catalog_route {
    uint64_t key; /* catalog_endpoint_key() */
    enum catalog_kind kind;
    uint32_t priority; /* 0 is the highest */
    uint32_t timeout_ms;
    uint32_t goal_ms; /* latency objective */
    size_t split_count;
    struct catalog_split *splits; /* owned */
    uint64_t revision;
    bool removed;
};

enum catalog_target_state {
    CATALOG_READY,
    CATALOG_DRAINING, /* keeps its flows, gets no new ones */
    CATALOG_GONE,     /* has left, or another host has its address */
    CATALOG_TARGET_STATE__MAX
};

struct catalog_target {
    uint64_t host;        /* identity; the host compares it with its own */
    uint64_t incarnation; /* time of its start, Unix ms; 0 if unknown */
    uint64_t sequence;    /* of the last announcement that changed the row */
    uint32_t address;
    uint16_t port;
    struct pool_id pool;
    uint32_t zone;
    uint32_t slots; /* requests that it processes at once */
    enum catalog_target_state state;
    uint32_t cold_ms; /* slow for this time after the announcement */
    /* The entry daemon that alone opens flows to the target while it is cold;
     * 0 for none. */
    uint32_t owner;
    bool missing; /* its announcements are overdue */
    uint64_t revision;
    uint32_t cookie;     /* identifies the target in packets; never 0 */
    bool cookie_clashes; /* an earlier target has the same cookie */
};

/* An availability zone for which an operator has given an order. */
struct catalog_zone {
    uint32_t zone; /* hash of its name */
    char *name;
    bool emptied;       /* its targets get no new flows */
    int64_t ordered_ms; /* Unix time of the order in force */
    uint64_t revision;
};

/* An order to empty a zone or to restore it. */
struct catalog_zone_order {
    struct catalog_zone zone;
    /* The revision of the zone's row that the order was given on; 0 if the
     * zone had none.  An order on an older row has no effect. */
    uint64_t base;
    /* To restore: its targets count as cold for this time, unless they say
     * otherwise, and belong to these entry daemons; 0: they are warm. */
    uint32_t cold_ms;
    size_t owner_count;
    uint32_t owners[CATALOG_OWNERS_MAX];
};

/* A pool of the operator's tables.  The tables set no limit to a name. */
struct catalog_pool {
    char *name;
    /* Requests a second that a cold target bears; below 0 if not limited. */
    double cold_per_s;
};

/* The daemon that is the assignee of a voter number. */
struct catalog_voter {
    uint32_t address; /* 0 if there is none yet */
    uint64_t revision;
};

/* Routes as sent by an operator, with the operator's version number. */
struct catalog_tables {
    uint64_t version;
    uint32_t idle_ms;  /* a flow silent for this time may be removed */
    GBytes *document;  /* as sent, to be read back */
    GArray *routes;    /* struct catalog_route */
    GHashTable *pools; /* id -> struct catalog_pool */
};

enum catalog_command_kind {
    CATALOG_REPLACE,  /* replace all routes, if the version is higher */
    CATALOG_ANNOUNCE, /* a target announces itself */
    CATALOG_LEAVE,    /* a target leaves */
    CATALOG_PRESENCE, /* a target is missing, or present again */
    CATALOG_VOTER,    /* a daemon is assigned a voter number */
    CATALOG_ZONE,     /* a zone is to be emptied, or restored */
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
        struct catalog_zone_order zone;
    } u;
};

/* The parts that a command or an update has changed. */
struct catalog_change {
    bool tables;
    bool targets;
    bool voters;
    bool zones;
    bool outdated; /* an order for a zone had no effect, since the zone's row
                    * has changed after it was given */
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
uint64_t catalog_changed_revision(const struct catalog *);
uint64_t catalog_version(const struct catalog *);
uint32_t catalog_idle_ms(const struct catalog *);
GBytes *catalog_document(const struct catalog *);
const char *catalog_pool_name(const struct catalog *, struct pool_id);
bool catalog_has_pool(const struct catalog *, struct pool_id);
double catalog_pool_cold_per_s(const struct catalog *, struct pool_id);
const struct catalog_voter *catalog_voters(const struct catalog *);
const struct catalog_zone *catalog_find_zone(const struct catalog *,
                                             uint32_t zone);
bool catalog_zone_is_emptied(const struct catalog *, uint32_t zone);
size_t catalog_emptied_count(const struct catalog *);
const GArray *catalog_zones(const struct catalog *);

void catalog_route_add_split(struct catalog_route *, struct pool_id,
                             uint32_t weight);
void catalog_route_clear(struct catalog_route *);

const struct catalog_traits *catalog_kind_traits(enum catalog_kind);
const struct catalog_route *catalog_find_route(const struct catalog *,
                                               uint64_t key);
const struct catalog_target *catalog_find_target(const struct catalog *,
                                                 uint64_t host);
const struct catalog_target *catalog_find_cookie(const struct catalog *,
                                                 uint32_t cookie);
size_t catalog_route_count(const struct catalog *);
size_t catalog_routes_without_pool(const struct catalog *);
const GPtrArray *catalog_targets(const struct catalog *);

bool catalog_announce_is_new(const struct catalog *,
                             const struct catalog_target *);

enum catalog_scope {
    CATALOG_FOR_ENTRY, /* without voters and the operator's document */
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
void catalog_tables_add_pool(struct catalog_tables *, const char *name,
                             double cold_per_s);
void catalog_tables_put_pool(struct catalog_tables *, struct pool_id,
                             const struct catalog_pool *);

#endif
