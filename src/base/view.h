/*
 * Descriptions of daemons, targets, pools and routes that the parts of the
 * decision core exchange.  Identifiers are hashes of names, so that daemons
 * agree on them without communication.
 */
#ifndef PS_BASE_VIEW_H
#define PS_BASE_VIEW_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define VIEW_NAME_MAX 64 /* bytes of a name including its NUL */

struct daemon_id {
    uint64_t value; /* hash_string() of the daemon's name; 0: none */
};

struct pool_id {
    uint64_t value; /* hash_string() of the pool's name; 0: none */
};

/* Identifies one incarnation of a target. */
struct target_key {
    uint32_t address;     /* IPv4, host order */
    uint32_t incarnation; /* increases with each start of the target */
};

enum target_state {
    TARGET_READY,
    TARGET_COLD,     /* ready, ramping up */
    TARGET_DRAINING, /* accepts no new work, keeps its flows */
    TARGET_DOWN,     /* announcement expired, or found unhealthy */
    TARGET__MAX
};

struct target_view {
    struct target_key key;
    uint16_t port;        /* Geneve port of the target's host */
    uint16_t weight;      /* share of new work, 1 to 1000; 100 is usual */
    uint16_t slots;       /* maximum of concurrent calls */
    uint32_t connections; /* maximum of concurrent flows */
    uint32_t zone;        /* hash of the zone's name, low 32 bits */
    enum target_state state;
};

enum pool_prefer {
    POOL_PREFER_FLOWS,   /* fewer broken flows matter more */
    POOL_PREFER_BALANCE, /* less imbalance matters more */
    POOL_PREFER__MAX
};

/* A pool with the targets known for it, sorted by key.address. */
struct pool_view {
    struct pool_id id;
    uint64_t version; /* table version that last changed its row */
    enum pool_prefer prefer;
    uint32_t queue_limit; /* maximum of queued calls; 0: the default */
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
    uint16_t port;    /* 0: every port */
    enum route_kind kind;
    struct pool_id pool;
    uint64_t version;
    uint32_t new_flows_per_s; /* 0: no limit */
};

enum daemon_state {
    DAEMON_ALIVE,
    DAEMON_SUSPECT,
    DAEMON_LEAVING, /* joining or leaving: owns no pools, still forwards */
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

/* Return the identifier of the daemon, pool or zone called NAME. */
struct daemon_id view_daemon_id(const char *name);
struct pool_id view_pool_id(const char *name);
uint32_t view_zone_id(const char *name);

/*
 * Return "alive", "suspect", "passive" (joining or leaving) or "dead";
 * "unknown" for any other value.
 */
const char *view_daemon_state_name(enum daemon_state);

/* Return ADDRESS in dotted form, to be freed by the caller. */
char *view_address_text(uint32_t address);

/*
 * Return the Geneve network identifier (24 bits, never 0) of a pool.  The
 * Geneve interface of a host accepts only its own identifier, so the host
 * drops a packet that is in flight while its address moves to another pool.
 */
uint32_t view_pool_vni(struct pool_id);

/*
 * Return the owner of POOL among the daemons, by rendezvous hashing; 0 if no
 * daemon may own it.
 */
struct daemon_id view_owner(struct pool_id, const struct daemon_view *,
                            size_t);

/*
 * Return the owner's backup, the next daemon by rendezvous hashing, which
 * holds a replica of the owner's state; 0 if there is none.
 */
struct daemon_id view_backup(struct pool_id, const struct daemon_view *,
                             size_t);

#endif
