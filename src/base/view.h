/*
 * What the parts of the decision core tell each other: plain descriptions of
 * daemons, targets, pools and routes.  Identifiers are hashes of names, so
 * that daemons agree on them without talking.
 */
#ifndef PS_BASE_VIEW_H
#define PS_BASE_VIEW_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define VIEW_NAME_MAX 64 /* bytes of a name with its NUL */

struct daemon_id {
    uint64_t value; /* hash_string() of the daemon's name; 0 is none */
};

struct pool_id {
    uint64_t value; /* hash_string() of the pool's name; 0 is none */
};

/* A target as one announcement made it known. */
struct target_key {
    uint32_t address;     /* IPv4, host order */
    uint32_t incarnation; /* counts up at each start of the target */
};

enum target_state {
    TARGET_READY,
    TARGET_COLD,     /* ready, ramping up */
    TARGET_DRAINING, /* takes no new work, keeps its flows */
    TARGET_DOWN,     /* announcement expired or held unhealthy */
    TARGET__MAX
};

struct target_view {
    struct target_key key;
    uint16_t port;        /* Geneve port of the target's host */
    uint16_t weight;      /* share of new work, 1 to 1000; 100 is usual */
    uint16_t slots;       /* calls at once */
    uint32_t connections; /* flows at once */
    uint32_t zone;        /* hash of the zone's name, low 32 bits */
    enum target_state state;
};

enum pool_prefer {
    POOL_PREFER_FLOWS,   /* broken flows weigh more */
    POOL_PREFER_BALANCE, /* imbalance weighs more */
    POOL_PREFER__MAX
};

/* A pool with the targets known for it, sorted by key.address. */
struct pool_view {
    struct pool_id id;
    uint64_t version; /* table version that last changed its row */
    enum pool_prefer prefer;
    uint32_t queue_limit; /* calls that may wait; 0 for the default */
    size_t target_count;
    const struct target_view *targets;
};

enum route_kind {
    ROUTE_STREAM,
    ROUTE_CALL,
    ROUTE__MAX
};

struct route_view {
    uint32_t address; /* IPv4 that callers send to, host order */
    uint16_t port;    /* 0 for every port */
    enum route_kind kind;
    struct pool_id pool;
    uint64_t version;
    uint32_t new_flows_per_s; /* 0 for no limit */
};

enum daemon_state {
    DAEMON_ALIVE,
    DAEMON_SUSPECT,
    DAEMON_LEAVING, /* joining or leaving: takes no leads, still forwards */
    DAEMON_DEAD,
    DAEMON__MAX
};

struct daemon_view {
    struct daemon_id id;
    uint32_t address; /* IPv4, host order */
    uint32_t zone;
    uint64_t incarnation;
    enum daemon_state state;
    bool entry;
    bool control;
};

struct daemon_id view_daemon_id(const char *name);
struct pool_id view_pool_id(const char *name);
uint32_t view_zone_id(const char *name);

/* "alive", "suspect", "passive" (joining or leaving) or "dead". */
const char *view_daemon_state_name(enum daemon_state);

/* ADDRESS in dotted form; the caller frees it. */
char *view_address_text(uint32_t address);

/*
 * The Geneve network identifier (24 bits, never 0) of a pool.  A host's Geneve
 * interface takes off only its own: a packet that is on its way while the
 * host's address changes hands between pools is dropped by the host itself.
 */
uint32_t view_pool_vni(struct pool_id);

/* The lead of POOL among DAEMONS, by rendezvous hashing; 0 if none may. */
struct daemon_id view_lead(struct pool_id, const struct daemon_view *, size_t);

/* The lead's second, which holds copies of its state; 0 if there is none. */
struct daemon_id view_second(struct pool_id, const struct daemon_view *,
                             size_t);

#endif
