/*
 * Cookie-based flow affinity: decides for each packet of a caller whether and
 * to which target it is forwarded.
 *
 * An entry daemon writes a 32-bit cookie into the first packet of a flow, and
 * both ends repeat it in later packets.  Any daemon can therefore read the
 * target from any packet without per-flow state (Cheetah, NSDI 20).  State is
 * kept only to place new flows well.  It covers the flows that pass through
 * this daemon, may be lost, and never decides where an open flow goes.
 *
 * The module does no I/O and reads no clock: packets, the time and a catalog
 * are passed in, verdicts are returned.
 */
#ifndef PS_AFFINITY_AFFINITY_H
#define PS_AFFINITY_AFFINITY_H

#include "base/counter.h"
#include "catalog/catalog.h"

enum affinity_flag {
    AFFINITY_SYN = 1,
    AFFINITY_ACK = 2,
    AFFINITY_FIN = 4,
    AFFINITY_RST = 8,
    AFFINITY_FLAG__MASK = 15
};

/* A packet received from a caller. */
struct affinity_packet {
    uint32_t source;
    uint32_t destination; /* address of a route */
    uint16_t source_port;
    uint16_t destination_port;
    unsigned flags;  /* of enum affinity_flag */
    uint32_t cookie; /* 0 on the first packet of a flow */
    uint32_t sequence;
    uint32_t acknowledged;
    uint16_t payload; /* bytes of data */
    /* Of the first packet of a flow: how often it was sent before. */
    uint32_t retransmissions;
};

enum affinity_action {
    AFFINITY_FORWARD, /* send to the target, with the cookie */
    AFFINITY_RESET,   /* send a reset to the caller */
    AFFINITY_DROP,    /* discard; the caller retransmits it */
    AFFINITY_ACTION__MAX
};

enum affinity_reason {
    AFFINITY_PLACED,         /* first packet of a new flow, target chosen */
    AFFINITY_REPEATED,       /* retransmitted first packet, same target */
    AFFINITY_PLACED_AGAIN,   /* the same; its target is gone or suspect */
    AFFINITY_HEDGED,         /* the same, within the budget: a second target */
    AFFINITY_COOKIE,         /* packet of an open flow */
    AFFINITY_NO_ROUTE,       /* no route for the address and port */
    AFFINITY_NO_TARGET,      /* no live target in the route's pools */
    AFFINITY_ZONE_EMPTIED,   /* all live ones are in zones to be left empty */
    AFFINITY_COLD_LIMIT,     /* all are cold, and have what they bear */
    AFFINITY_OVERLOAD,       /* pool overloaded, answers would be late */
    AFFINITY_LINK_FULL,      /* this VM's link would not send it in time */
    AFFINITY_TARGET_GONE,    /* the flow's target is gone */
    AFFINITY_TARGET_SILENT,  /* the flow's target is down or out of reach */
    AFFINITY_UNKNOWN_COOKIE, /* not in this catalog (yet) */
    AFFINITY_NO_COOKIE,      /* neither a first packet nor with a cookie */
    AFFINITY_NOT_SYNCED,     /* no catalog received yet */
    AFFINITY_STALE,          /* first packet queued while this daemon was
                              * stalled; retransmitted elsewhere */
    AFFINITY_REASON__MAX
};

struct affinity_verdict {
    enum affinity_action action;
    enum affinity_reason reason;
    const struct catalog_target *target; /* if FORWARD; owned by the catalog */
    /* Set for new flows and for packets with a known cookie, if a route
     * exists; else NULL. */
    const struct catalog_route *route;
    bool bulk;  /* data of an upload */
    bool ended; /* the caller has closed the flow, or given up */
    /* Bytes of admitted uploads not received yet. */
    uint64_t pending_upload_bytes;
    uint32_t requests_in_progress; /* at the target, seen here */
    uint32_t candidates;           /* targets that were eligible */
    double utilization; /* estimated recent requests in progress per slot */
    /* Mean time from request to answer in the pool, as seen here. */
    uint64_t pool_mean_answer_us;
};

/* Why a target gets no new flow now.  Missing, silent, suspect and failing ones
 * get some if there are no others. */
enum affinity_obstacle {
    AFFINITY_ELIGIBLE,
    AFFINITY_OBSTACLE_STATE,   /* draining */
    AFFINITY_OBSTACLE_COOKIE,  /* an earlier target has the same cookie */
    AFFINITY_OBSTACLE_AVOIDED, /* may be leaving */
    AFFINITY_OBSTACLE_ZONE,    /* its zone is emptied */
    AFFINITY_OBSTACLE_COLD,    /* has what it bears, or another owner */
    AFFINITY_OBSTACLE_MISSING, /* its announcements are overdue */
    AFFINITY_OBSTACLE_SILENT,  /* did not answer a probe */
    AFFINITY_OBSTACLE_SUSPECT, /* left openings unanswered */
    AFFINITY_OBSTACLE_FAILING, /* as the fleet says */
    AFFINITY_OBSTACLE__MAX
};

/* A target of a route's pools, as a new flow would find it. */
struct affinity_candidate {
    const struct catalog_target *target; /* owned by the catalog */
    enum affinity_obstacle obstacle;
    double cost; /* in requests in progress per slot; the least is chosen */
    uint32_t requests_in_progress;
    uint32_t long_lived_flows;
    uint64_t mean_answer_us;
};

enum affinity_probe_outcome {
    AFFINITY_PROBE_CONNECTED,
    AFFINITY_PROBE_REFUSED,
    AFFINITY_PROBE_TIMED_OUT,
    AFFINITY_PROBE_OUTCOME__MAX
};

/* A TCP connection to be opened to a target, and closed again at once. */
struct affinity_probe {
    uint64_t suspect; /* host of the target that the probe is about */
    uint64_t host;    /* to connect to: the suspect, or a reference */
    uint32_t round;   /* of the suspect's probes */
    uint32_t address; /* of HOST */
    uint16_t port;    /* of HOST */
    uint32_t timeout_us;
};

enum affinity_belief_kind {
    AFFINITY_BELIEF_SILENT,    /* the target is down or out of reach */
    AFFINITY_BELIEF_ANSWERING, /* a silent target answers again */
    AFFINITY_BELIEF__MAX
};

/* A change of what the core believes about a target, with its inputs. */
struct affinity_belief {
    enum affinity_belief_kind kind;
    uint64_t host;
    uint64_t silent_us; /* since the first packet without an answer */
    uint32_t packets;   /* without an answer, retransmissions included */
    uint32_t probes;    /* without an answer */
    double loss;        /* estimated share of lost trials elsewhere */
    uint32_t flows;     /* to be reset */
};

/* Limit of the new flows that a cold target gets in any second, from all entry
 * daemons: the rate that its pool bears times FACTOR, plus EXTRA. */
struct affinity_cold_limit {
    bool set; /* else there is no limit */
    double factor;
    double extra;
};

/* A member that is 0 takes the default in its comment, if there is one. */
struct affinity_options {
    uint32_t zone;    /* availability zone of this daemon */
    uint32_t address; /* of this daemon */
    uint64_t seed;
    uint32_t flows_max;           /* flows tracked at once; 65,536 */
    uint32_t new_flow_timeout_us; /* forget a new flow if silent; 2,000,000 */
    /* Time for which an unresponsive target is suspect; 1,000,000. */
    uint32_t suspect_us;
    uint64_t link_bytes_per_s; /* of this VM's link; 0: no limit applies */
    /* Longest gap between packets or ticks; after a longer one the daemon was
     * stalled; 400,000. */
    uint32_t stall_us;
    uint32_t suspect_flows; /* unanswered in a row until suspect; 2 */
    struct affinity_cold_limit cold_limit;
    /* Second openings for each new flow whose requests may be repeated, at
     * most; 0 for none. */
    double hedge_share;
    bool share_evidence; /* count what is seen of targets, for the fleet */
};

/* What was seen of a target since the last report. */
struct affinity_evidence {
    uint64_t host;
    uint32_t answered;
    uint32_t failed;
};

struct affinity_counters {
    uint64_t reasons[AFFINITY_REASON__MAX];
    uint64_t remote;       /* new flows placed in another zone */
    uint64_t suspected;    /* times a target became suspect */
    uint64_t untracked;    /* new flows above flows_max */
    uint64_t probes;       /* connections opened to targets */
    uint64_t silent;       /* times a target became silent */
    uint64_t hedged;       /* openings given to a second target */
    uint64_t hedges_lost;  /* of these, opened at the first one after all */
    uint64_t cold_skipped; /* cold targets passed over by their limit */
    uint64_t answer_latency[COUNTER_BUCKETS]; /* request to its answer */
};

struct affinity_core;

struct affinity_core *affinity_core_new(const struct affinity_options *);
void affinity_core_free(struct affinity_core *);
void affinity_core_handle_packet(struct affinity_core *, uint64_t now_us,
                                 const struct catalog *,
                                 const struct affinity_packet *,
                                 struct affinity_verdict *);
void affinity_core_set_queued(struct affinity_core *, size_t interactive_bytes,
                              size_t bulk_bytes);
void affinity_core_avoid(struct affinity_core *, uint64_t host);
void affinity_core_avoid_zone(struct affinity_core *, uint32_t zone);
void affinity_core_clear_avoided(struct affinity_core *);
size_t affinity_core_avoided_count(const struct affinity_core *);
void affinity_core_set_zone_daemons(struct affinity_core *, uint32_t daemons);
bool affinity_core_has_failures(const struct affinity_core *);
void affinity_core_take_evidence(struct affinity_core *, GArray *);
void affinity_core_set_failing(struct affinity_core *, uint64_t now_us,
                               uint64_t host);
void affinity_core_catalog_changed(struct affinity_core *, uint64_t now_us,
                                   const struct catalog *);
void affinity_core_tick(struct affinity_core *, uint64_t now_us,
                        const struct catalog *);
size_t affinity_core_due_probes(struct affinity_core *, uint64_t now_us,
                                const struct catalog *,
                                struct affinity_probe *, size_t max);
void affinity_core_record_probe(struct affinity_core *, uint64_t now_us,
                                const struct affinity_probe *,
                                enum affinity_probe_outcome, uint64_t took_us);
bool affinity_core_next_belief(struct affinity_core *,
                               struct affinity_belief *);
bool affinity_core_next_reset(struct affinity_core *,
                              struct affinity_packet *);
const struct affinity_counters *
affinity_core_counters(const struct affinity_core *);
size_t affinity_core_flow_count(const struct affinity_core *);
uint64_t affinity_core_pending_upload_bytes(const struct affinity_core *);
size_t affinity_core_target_count(const struct affinity_core *);
void affinity_core_where(struct affinity_core *, uint64_t now_us,
                         const struct catalog *, const struct catalog_route *,
                         GArray *candidates, struct affinity_verdict *);
const char *affinity_reason_name(enum affinity_reason);
const char *affinity_obstacle_name(enum affinity_obstacle);

#endif
