/*
 * Decides which target each packet of a stream route goes to, and keeps a flow
 * at its target while daemons, targets and routes change.  Every entry daemon
 * runs one flow core; it uses no clock, sockets or threads.
 *
 * Every packet passes flow_core_packet(), which allocates only when the flow
 * table grows; all else goes through flow_core_step().
 */
#ifndef PS_FLOW_FLOW_CORE_H
#define PS_FLOW_FLOW_CORE_H

#include <glib.h>

#include "base/view.h"
#include "flow/flow_message.h"

#define FLOW_HOPS_MAX 2 /* times that one packet may be relayed */
/* Hops value of a packet that its receiver must decide on. */
#define FLOW_HOPS_FINAL 3

/* 0 means the default, given below, for every member but self and seed. */
struct flow_options {
    struct daemon_id self;
    uint64_t seed;
    uint32_t buckets; /* in a pool's map, a power of two: 4096 */
    /*
     * Steered slices of 1024 (flows placed by load instead of by the map) if
     * the pool prefers flows: 16
     */
    uint32_t steered_flows;
    /* Steered slices of 1024 if it prefers balance: 64 */
    uint32_t steered_balance;
    /*
     * Load above that of the least loaded target from which a flow is
     * steered, in 1/1000 of the least loaded target's load, if the pool
     * prefers flows: 20; load is flows per weight
     */
    uint32_t slack_flows;
    uint32_t slack_balance; /* the same if it prefers balance: 2 */
    /* For records sent to replica holders: 2000 */
    uint32_t replica_bytes_per_s;
    uint32_t flows_max; /* flows that the daemon may hold as owner: 2000000 */
    uint32_t cache_entries; /* of the cache of targets that answered: 131072 */
    uint32_t tcp_idle_s;    /* 9000 */
    uint32_t udp_idle_s;    /* 120 */
    /* How long a drain waits until all daemons have acknowledged it: 2000 */
    uint32_t ack_limit_ms;
    uint32_t silent_ms; /* time without an answer before a reset: 10000 */
};

/* A packet as the daemon received it; addresses and ports in host order. */
struct flow_packet {
    uint32_t src; /* of the inner packet */
    uint32_t dst;
    uint16_t src_port;
    uint16_t dst_port;
    uint8_t protocol; /* IPPROTO_TCP or IPPROTO_UDP */
    uint8_t tcp_flags;
    uint32_t tcp_seq;
    uint32_t tcp_ack;
    uint32_t payload_len;
    uint32_t outer_src; /* sender of the Geneve packet; kept when relayed */
    uint8_t hops; /* times relayed so far; 0 from the fabric or a target */
    struct pool_id pool; /* as the relaying daemon named it; 0 if hops is 0 */
};

enum flow_verdict_kind {
    FLOW_FORWARD, /* to the target at address and port */
    FLOW_RELAY,   /* to another daemon, peer, with hops and pool */
    FLOW_DELIVER, /* an answer: back to the fabric */
    FLOW_RESET,   /* TCP: send the segments in reset; UDP: port unreachable */
    FLOW_DROP,    /* counted by reason */
    FLOW_VERDICT__MAX
};

enum flow_reason {
    FLOW_REASON_NONE,
    FLOW_REASON_NO_ROUTE,   /* no route has the address */
    FLOW_REASON_NOT_STREAM, /* the route is for calls */
    FLOW_REASON_NO_MAP,     /* this daemon has no map of the pool yet */
    /* No daemon that can decide is known or reachable here */
    FLOW_REASON_NO_OWNER,
    FLOW_REASON_NO_TARGET,      /* no target accepts new flows */
    FLOW_REASON_HOPS,           /* relayed too often */
    FLOW_REASON_TARGET_UNKNOWN, /* target missing, perhaps only for a moment */
    FLOW_REASON_TARGET_GONE,    /* target left, restarted or changed pool */
    /* Answer from a host that is no target of the route */
    FLOW_REASON_FOREIGN_ANSWER,
    FLOW_REASON_TARGET_FULL, /* every target has its maximum of connections */
    FLOW_REASON_FLOWS_MAX,   /* this owner holds its maximum of flows */
    FLOW_REASON_ROUTE_RATE,  /* the route's limit of new flows per second */
    /* No answers while other flows of the target get theirs */
    FLOW_REASON_SILENT,
    FLOW_REASON__MAX
};

/* The segments of a reset; flags of 0 mean no segment to that end. */
struct flow_reset {
    uint8_t caller_flags; /* towards the caller, from the route's address */
    uint32_t caller_seq;
    uint32_t caller_ack;
    uint8_t target_flags; /* towards the target, from the caller's address */
    uint32_t target_seq;
    uint32_t target_ack;
};

struct flow_verdict {
    enum flow_verdict_kind kind;
    enum flow_reason reason;
    struct daemon_id peer; /* RELAY */
    struct pool_id pool;   /* RELAY, FORWARD */
    uint8_t hops;          /* RELAY: to be sent with the packet */
    uint16_t port;         /* FORWARD, RESET: of the target */
    uint32_t address;      /* FORWARD, RESET: of the target; 0 for none */
    uint32_t incarnation;  /* FORWARD: of the target chosen */
    struct flow_reset reset;
};

enum flow_event_kind {
    FLOW_EV_TICK,    /* every 50 ms */
    FLOW_EV_ROUTES,  /* all routes; replaces the earlier ones */
    FLOW_EV_POOL,    /* the newest state of one pool */
    FLOW_EV_DAEMONS, /* all daemons known; replaces the earlier ones */
    FLOW_EV_MESSAGE, /* from another daemon's flow_core */
    /* Planned stop: hand all pools over, then FLOW_ACT_STOPPED */
    FLOW_EV_STOP,
    FLOW_EV__MAX
};

struct flow_event {
    enum flow_event_kind kind;
    union {
        struct {
            const struct route_view *items;
            size_t count;
            uint64_t version; /* of the table; never decreases */
        } routes;
        const struct pool_view *pool;
        struct {
            const struct daemon_view *items;
            size_t count;
        } daemons;
        struct {
            struct daemon_id from;
            const struct flow_message *message;
        } message;
    } u;
};

enum flow_action_kind {
    FLOW_ACT_SEND,
    FLOW_ACT_RESET, /* send a reset for a silent flow to both ends */
    /*
     * All pools are handed over, or STOP_LIMIT_US has passed: the daemon may
     * exit
     */
    FLOW_ACT_STOPPED,
    FLOW_ACT__MAX
};

struct flow_action {
    enum flow_action_kind kind;
    union {
        struct {
            struct daemon_id to;
            struct flow_message *message; /* owned by the action */
        } send;
        struct {
            struct flow_packet packet; /* the caller's last packet */
            uint32_t address;          /* of the target */
            uint16_t port;
            struct flow_reset reset;
        } reset;
    } u;
};

struct flow_actions {
    struct flow_action *items;
    size_t count;
    size_t capacity;
};

struct flow_counters {
    uint64_t forwarded;
    uint64_t relayed;
    uint64_t delivered;
    uint64_t dropped[FLOW_REASON__MAX]; /* by reason */
    uint64_t reset[FLOW_REASON__MAX];   /* by reason */
    uint64_t opened;                    /* as owner */
    uint64_t closed;
    uint64_t expired; /* removed when idle, without a close */
    /* Opened at another target than the bucket maps to */
    uint64_t exceptions_opened;
    uint64_t records_sent; /* records sent to replica holders */
    /* Bucket moves that proceeded without all daemons' acknowledgement */
    uint64_t moves_unacked;
    uint64_t takeovers; /* pools taken over as the owner was unreachable */
    uint64_t handovers; /* planned handovers */
    uint64_t flows;     /* gauge: open flows held as owner */
    /* Gauge: those not at the target their bucket maps to; it is not set */
    uint64_t exceptions;
    uint64_t table_bytes; /* gauge: memory of the flow tables */
};

struct flow_core;

struct flow_core *flow_core_new(const struct flow_options *);
void flow_core_free(struct flow_core *);
struct flow_verdict flow_core_packet(struct flow_core *, uint64_t now_us,
                                     const struct flow_packet *);
void flow_core_step(struct flow_core *, uint64_t now_us,
                    const struct flow_event *, struct flow_actions *);
const struct flow_counters *flow_core_counters(const struct flow_core *);
const char *flow_reason_name(enum flow_reason);

/* Remove and free all actions with their messages; the array is kept. */
void flow_actions_clear(struct flow_actions *);
void flow_actions_free(struct flow_actions *);

/*
 * Return the open flows of the target at ADDRESS as counted by the pool owner.
 */
uint64_t flow_core_target_flows(const struct flow_core *, struct pool_id,
                                uint32_t address);
/* Return true if this daemon owns the pool now. */
bool flow_core_owns_pool(const struct flow_core *, struct pool_id);

#endif
