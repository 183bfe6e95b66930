/*
 * The call core: matches requests with answers and runs each non-idempotent
 * call at most once.  The owner of a pool decides for the pool's calls;
 * docs/design/calls.md explains why no such call runs twice.
 */
#ifndef PS_CALL_CALL_H
#define PS_CALL_CALL_H

#include "base/view.h"
#include "call/call_message.h"
#include "edge/call_option.h"

#define CALL_HOPS_MAX 3 /* times that a packet may be relayed */

/* A field that is 0 takes the default given here; self has none. */
struct call_options {
    struct daemon_id self;
    uint64_t incarnation; /* differs at each start of the process */
    /* 30 s: upper bound; used if a call gives no deadline */
    uint64_t deadline_max_us;
    uint64_t retry_window_us;   /* 5 s: for retries after the deadline */
    uint64_t lease_us;          /* 10 s: validity of a confirmed epoch */
    uint64_t lease_extended_us; /* 600 s: while all members hold the records */
    /* 1 s: after this time an unanswered idempotent call is sent again, or
       after the usual latency of answers if that is longer */
    uint64_t retry_after_us;
    uint32_t retry_percent; /* 10: retries per hundred calls */
    uint32_t attempts_max;  /* 3: of one call */
    uint32_t queue_limit;   /* 1000: queued calls of each pool */
    uint32_t bytes_max;     /* 64 MiB: payload held, of requests and answers */
    uint32_t records_max;   /* 65536: recorded ids of each pool */
    uint32_t calls_max;     /* 65536: calls of each pool, open and ended */
    uint32_t seed;
};

/* A call packet from a caller or a target. */
struct call_packet {
    struct pool_id pool; /* from the route of the service's address */
    uint32_t caller;     /* inner addresses and ports, host order */
    uint32_t service;
    uint16_t caller_port;
    uint16_t service_port;
    uint32_t target; /* outer source address if a target sent it, else 0 */
    struct call_option option;
    const uint8_t *payload; /* of the inner UDP datagram */
    size_t payload_len;
    uint32_t hops;   /* times that it was relayed */
    uint64_t age_us; /* upper bound of its time in transit between daemons */
    bool to_former_owner; /* as owner of an earlier epoch, must not relay it */
    /* epoch whose owner may run the call because its recorder released it;
       else 0 */
    uint64_t released_epoch;
};

enum call_event_kind {
    CALL_EV_PACKET,
    CALL_EV_MESSAGE,
    CALL_EV_EPOCH, /* an epoch reported by the replicated log or a peer */
    CALL_EV_POOL,
    CALL_EV_POOL_GONE,
    CALL_EV_DAEMONS,
    CALL_EV_STOP,
    CALL_EV_TICK,
    CALL_EV__MAX
};

struct call_event {
    enum call_event_kind kind;
    union {
        struct call_packet packet;
        struct {
            struct daemon_id from;
            const struct call_message *message;
        } message;
        struct {
            struct call_epoch epoch; /* number 0: the pool has none yet */
            /* echoed requested_us of the REQUEST_EPOCH that this answers;
               0 if it answers none */
            uint64_t requested_us;
        } epoch;
        struct pool_view pool;
        struct pool_id pool_gone;
        struct {
            const struct daemon_view *items;
            size_t count;
        } daemons;
    } u;
};

enum call_reason {
    CALL_REASON_QUEUE_FULL,
    CALL_REASON_BYTES_FULL,
    CALL_REASON_RECORDS_FULL,
    CALL_REASON_DEADLINE,
    CALL_REASON_NO_TARGET,
    CALL_REASON_NO_POOL,
    CALL_REASON_CANCELLED,
    CALL_REASON_TARGET_REFUSED,
    CALL_REASON_STOPPING,
    CALL_REASON_EARLIER_EPOCH, /* a former owner may have run it */
    /* this daemon lacks the epoch it needs to start the call or to report
       "not run" */
    CALL_REASON_NO_EPOCH,
    CALL_REASON_DUPLICATE, /* from here on: reasons for dropping a packet */
    CALL_REASON_LATE,      /* answer to a call that has ended */
    CALL_REASON_UNKNOWN_ID,
    CALL_REASON_WRONG_ATTEMPT,
    CALL_REASON_WRONG_TARGET,
    CALL_REASON_WRONG_KIND,
    CALL_REASON_WRONG_PARTS,
    CALL_REASON_HOPS,
    /* packet of unknown age, read after a pause of the process */
    CALL_REASON_STALLED,
    CALL_REASON_NO_OWNER,
    CALL_REASON_AGED, /* too long in transit between daemons */
    CALL_REASON__MAX
};

enum call_action_kind {
    CALL_ACT_SEND,   /* a part of a request, to a target */
    CALL_ACT_CANCEL, /* to a target */
    CALL_ACT_ANSWER, /* a part of an answer, to the caller */
    CALL_ACT_REFUSE, /* "not run" or "outcome unknown", to the caller */
    CALL_ACT_RELAY,  /* a packet, to another daemon */
    CALL_ACT_DROP,
    CALL_ACT_MESSAGE,       /* to another daemon's call core */
    CALL_ACT_REQUEST_EPOCH, /* compare and set, or confirm */
    CALL_ACT_EVIDENCE,      /* on targets, for the pool core */
    CALL_ACT_STOPPED,       /* no call is left; the daemon may exit */
    CALL_ACT__MAX
};

/* A datagram to send; payload and option are complete. */
struct call_datagram {
    struct pool_id pool;
    struct target_key target; /* SEND and CANCEL */
    uint16_t target_port;
    uint32_t caller;
    uint32_t service;
    uint16_t caller_port;
    uint16_t service_port;
    struct call_option option;
    const uint8_t *payload;
    size_t payload_len;
    enum call_reason reason; /* REFUSE */
};

/*
 * A request to make group[0] the owner in epoch PREVIOUS + 1 if PREVIOUS is
 * the current epoch, or, with CONFIRM, to change nothing.  Either way the
 * reply is a CALL_EV_EPOCH with the current epoch and requested_us.  The reply
 * to a confirmation must be a linearizable read: not older than the request.
 */
struct call_epoch_request {
    struct pool_id pool;
    uint64_t previous;
    bool confirm;
    uint32_t group_count;
    struct call_member group[CALL_GROUP_MAX];
    uint64_t requested_us;
};

/* What the calls have shown of a target since the last report. */
struct call_evidence {
    struct pool_id pool;
    struct target_key target;
    uint32_t opened;
    uint32_t answered;
    uint32_t refused;
    uint32_t unanswered;
};

struct call_action {
    enum call_action_kind kind;
    union {
        struct call_datagram datagram; /* SEND, CANCEL, ANSWER, REFUSE */
        struct {
            struct daemon_id to;
            struct call_packet packet;
        } relay;
        struct {
            enum call_reason reason;
            struct pool_id pool;
        } drop;
        struct {
            struct daemon_id to;
            struct call_message *message;
        } message;
        struct call_epoch_request epoch_request;
        struct call_evidence evidence;
    } u;
};

/*
 * Bytes that an action points to stay valid until the next step, or belong to
 * the event.
 */
struct call_actions {
    struct call_action *items;
    size_t count;
    size_t capacity;
};

/*
 * Why the owner cannot report "not run" for an idempotent call that it has not
 * sent: another daemon may have sent it.
 */
enum call_uncertainty {
    CALL_UNCERTAIN_NONE,
    CALL_UNCERTAIN_NO_EPOCH,
    CALL_UNCERTAIN_LEASE, /* expired: the epoch was not confirmed in time */
    CALL_UNCERTAIN_YOUNG_EPOCH,        /* another owner within the retention */
    CALL_UNCERTAIN_DAEMON_MISSING,     /* suspected or dead */
    CALL_UNCERTAIN_DAEMON_WAS_MISSING, /* within the retention */
    CALL_UNCERTAIN__MAX
};

struct call_counters {
    uint64_t requests; /* complete ones received as owner */
    uint64_t duplicates;
    uint64_t repeated; /* kept outcomes sent again */
    uint64_t sent;
    uint64_t retries;
    uint64_t retries_denied; /* for lack of retry budget */
    uint64_t answered;
    uint64_t not_run;
    uint64_t outcome_unknown;
    uint64_t cancelled;
    uint64_t relayed;
    uint64_t relayed_bytes;
    uint64_t records; /* ids recorded as owner */
    uint64_t record_messages;
    uint64_t record_bytes; /* of ids in messages sent */
    uint64_t epochs;       /* granted to this daemon */
    uint64_t refused[CALL_REASON__MAX];
    uint64_t dropped[CALL_REASON__MAX];
    uint64_t uncertain[CALL_UNCERTAIN__MAX];
    uint64_t gauge_queued;
    uint64_t gauge_open;
    uint64_t gauge_kept;
    uint64_t gauge_bytes;
};

struct call_core;

struct call_core *call_core_new(const struct call_options *);
void call_core_free(struct call_core *);
void call_core_step(struct call_core *, uint64_t now_us,
                    const struct call_event *, struct call_actions *out);
const struct call_counters *call_core_counters(const struct call_core *);
const char *call_reason_name(enum call_reason);
const char *call_uncertainty_name(enum call_uncertainty);

/*
 * Return true if this daemon may start non-idempotent calls of the pool now,
 * with a majority of the group and under a valid lease.  Return false during
 * the extended lease, when calls may still start.
 */
bool call_core_has_active_lease(const struct call_core *, struct pool_id,
                                uint64_t now_us);

void call_actions_clear(struct call_actions *);

#endif
