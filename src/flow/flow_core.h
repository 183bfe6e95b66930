/*
 * The decisions about flows of stream routes: which target a packet goes to,
 * and how a flow stays there while daemons, targets and routes change.  Pure:
 * no clock, sockets or threads.  Every entry daemon runs one.
 *
 * flow_core_packet() is the path of every packet and allocates nothing but
 * the growth of the flow table; all else goes through flow_core_step().
 */
#ifndef PS_FLOW_FLOW_CORE_H
#define PS_FLOW_FLOW_CORE_H

#include <glib.h>

#include "base/view.h"
#include "flow/flow_message.h"

#define FLOW_HOPS_MAX  2 /* hand-ons that one packet may take */
#define FLOW_HOPS_LAST 3 /* marks the last one, which must decide */

/* 0 stands for the default in every member but self and seed. */
struct flow_options {
    struct daemon_id self;
    uint64_t seed;
    uint32_t buckets;          /* of a pool's map, a power of two: 4096 */
    uint32_t steered_flows;    /* steered slices of 1024: 16 */
    uint32_t steered_balance;  /* steered slices of 1024: 64 */
    uint32_t slack_flows;      /* load above the least loaded target from
                                     which a flow is steered, in 1/1000 of the
                                     mean: 20 */
    uint32_t slack_balance;    /* 2 */
    uint32_t copy_bytes_per_s; /* for copies of exceptions: 2000 */
    uint32_t flows_max;        /* flows held as lead: 2000000 */
    uint32_t cache_entries;    /* learned from answers: 131072 */
    uint32_t tcp_idle_s;       /* 9000 */
    uint32_t udp_idle_s;       /* 120 */
    uint32_t ack_limit_ms;     /* wait of a drain for marks: 2000 */
    uint32_t silent_ms;        /* unanswered before a reset: 15000 */
};

/* A packet as the daemon saw it; addresses and ports in host order. */
struct flow_packet {
    uint32_t src; /* inner */
    uint32_t dst;
    uint16_t src_port;
    uint16_t dst_port;
    uint8_t protocol; /* IPPROTO_TCP or IPPROTO_UDP */
    uint8_t tcp_flags;
    uint32_t tcp_seq;
    uint32_t tcp_ack;
    uint32_t payload_len;
    uint32_t outer_src;  /* who sent the Geneve packet; kept by a hand-on */
    uint8_t hops;        /* hand-ons so far; 0 from the fabric or a target */
    struct pool_id pool; /* as the hand-on named it; 0 when hops is 0 */
};

enum flow_verdict_kind {
    FLOW_FORWARD, /* to the target at address and port */
    FLOW_HAND_ON, /* to the daemon peer, with hops and pool */
    FLOW_DELIVER, /* an answer: back to the fabric */
    FLOW_RESET,   /* TCP: send what reset says; UDP: port unreachable */
    FLOW_DROP,    /* counted by reason */
    FLOW_VERDICT__MAX
};

enum flow_reason {
    FLOW_REASON_NONE,
    FLOW_REASON_NO_ROUTE,       /* no route has the address */
    FLOW_REASON_NOT_STREAM,     /* the route is for calls */
    FLOW_REASON_NO_MAP,         /* the pool's map is not known yet */
    FLOW_REASON_NO_LEAD,        /* no daemon can decide for the pool */
    FLOW_REASON_NO_TARGET,      /* no target may take new flows */
    FLOW_REASON_HOPS,           /* handed on too often */
    FLOW_REASON_TARGET_UNKNOWN, /* target missing, perhaps for a moment */
    FLOW_REASON_TARGET_GONE,    /* target left, restarted or changed pool */
    FLOW_REASON_FOREIGN_ANSWER, /* answer not from a target of the route */
    FLOW_REASON_TARGET_FULL,    /* connections of every target are taken */
    FLOW_REASON_FLOWS_MAX,      /* this lead holds all it may */
    FLOW_REASON_ROUTE_RATE,     /* new flows a second of the route */
    FLOW_REASON_SILENT,         /* no answers while others get theirs */
    FLOW_REASON__MAX
};

/* The segments of a reset; a flag of 0 sends none to that end. */
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
    struct daemon_id peer; /* HAND_ON */
    struct pool_id pool;   /* HAND_ON, FORWARD */
    uint8_t hops;          /* HAND_ON: to be written into the hand-on */
    uint16_t port;         /* FORWARD, RESET: of the target */
    uint32_t address;      /* FORWARD, RESET: of the target; 0 for none */
    uint32_t incarnation;  /* FORWARD: of the target that was meant */
    struct flow_reset reset;
};

enum flow_event_kind {
    FLOW_EV_TICK,    /* every 50 ms */
    FLOW_EV_ROUTES,  /* all routes, replacing the former ones */
    FLOW_EV_POOL,    /* one pool as it is now */
    FLOW_EV_DAEMONS, /* all daemons known, replacing the former ones */
    FLOW_EV_MESSAGE, /* from another daemon's flow_core */
    FLOW_EV_STOP,    /* planned stop: hand over, then FLOW_ACT_STOPPED */
    FLOW_EV__MAX
};

struct flow_event {
    enum flow_event_kind kind;
    union {
        struct {
            const struct route_view *items;
            size_t count;
            uint64_t version; /* of the table; never goes back */
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
    FLOW_ACT_RESET,   /* end a silent flow visibly at both ends */
    FLOW_ACT_STOPPED, /* all handed over: the daemon may exit */
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
    uint64_t handed_on;
    uint64_t delivered;
    uint64_t dropped[FLOW_REASON__MAX]; /* by reason */
    uint64_t reset[FLOW_REASON__MAX];   /* by reason */
    uint64_t opened;                    /* as lead */
    uint64_t closed;
    uint64_t expired;       /* idle, never closed */
    uint64_t off_map;       /* opened off the map */
    uint64_t copied;        /* records sent to a replica */
    uint64_t marks_unacked; /* moves that went on without a daemon's mark */
    uint64_t takeovers;     /* leads taken after a death */
    uint64_t handovers;     /* leads given by plan */
    uint64_t flows;         /* gauge: open flows held as lead */
    uint64_t exceptions;    /* gauge: of these, off the map */
    uint64_t table_bytes;   /* gauge */
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

/* Empty ACTIONS, freeing the messages that it owns; keeps its memory. */
void flow_actions_clear(struct flow_actions *);
void flow_actions_free(struct flow_actions *);

/* Open flows of the target at ADDRESS as the pool's lead counts them. */
uint64_t flow_core_target_flows(const struct flow_core *, struct pool_id,
                                uint32_t address);
/* Whether this daemon decides for the pool now. */
bool flow_core_leads(const struct flow_core *, struct pool_id);

#endif
