/* Types and functions shared by the files of src/affinity. */
#ifndef PS_AFFINITY_AFFINITY_STATE_H
#define PS_AFFINITY_AFFINITY_STATE_H

#include "affinity/affinity.h"

/* Above this queueing delay of the link, a retransmitted first packet of a
 * flow says more about the link than about the target. */
#define AFFINITY_LINK_BUSY_US 50000.0

struct affinity_key {
    uint32_t source;
    uint32_t destination;
    uint16_t source_port;
    uint16_t destination_port;
};

#define AFFINITY_SUSPECT_PROBES 5 /* of a target, in a round */
#define AFFINITY_ROUNDS_MAX     6 /* without an answer, that may still count */

/* A target of which nothing was heard since a packet was sent to it. */
struct affinity_suspicion {
    uint64_t since_us; /* first packet without an answer; 0 if there is none */
    uint32_t packets;  /* retransmissions since */
    bool suspected;    /* did not answer a probe */
    /* Probes without an answer, while a reference gave one. */
    uint32_t missed;
    /* When such rounds began, the latest in succession. */
    uint64_t rounds_us[AFFINITY_ROUNDS_MAX];
    uint32_t rounds;
    /* The current round: probes of the target and of its references. */
    uint32_t round;
    uint64_t round_us;            /* its start */
    uint32_t suspect_probes;      /* of the target itself */
    uint32_t pending;             /* probes without an outcome yet */
    uint32_t references;          /* that have answered */
    bool answered;                /* the target itself */
    uint64_t next_round_us;       /* no round begins before */
    bool silent;                  /* down or out of reach */
    uint64_t recheck_interval_us; /* doubles; 0 while rounds count */
    GList link;                   /* in the core's suspicions */
};

#define AFFINITY_COLD_SLOTS 21 /* of a second and a twentieth */

/* The flows lately opened to a cold target. */
struct affinity_cold {
    uint64_t last_slot; /* number of the present slot */
    uint32_t opened[AFFINITY_COLD_SLOTS];
};

/* Load of a target, as observed by this daemon. */
struct affinity_load {
    uint64_t host;
    uint32_t requests_in_progress;
    /* Of these, those counted as recent: most likely still running. */
    uint32_t recent;
    uint32_t long_lived_flows; /* open flows of routes with long-lived flows */
    /* Flows in a row whose first packet was retransmitted. */
    uint32_t unanswered;
    uint64_t suspect_until_us;
    uint64_t failing_until_us;   /* as the fleet says */
    uint64_t cold_wait_until_us; /* its owner opens no flows before */
    uint64_t cold_until_us;
    uint32_t cold_owner;
    struct affinity_cold *cold; /* NULL if none was opened while cold */
    bool placeable;             /* got new flows by the last catalog */
    uint64_t cold_revision;     /* of the row that cold_until_us is from */
    uint64_t mean_answer_us;    /* moving average from request to answer */
    uint64_t last_answer_us;    /* when the average was last updated */
    uint64_t incarnation; /* of the target, as last seen in the catalog */
    uint64_t heard_us;    /* last sign of life */
    struct affinity_suspicion suspicion;
};

enum affinity_phase {
    AFFINITY_HANDSHAKE, /* until the caller acknowledges */
    AFFINITY_ESTABLISHED,
    AFFINITY_PHASE__MAX
};

/* A flow whose packets pass through this daemon. */
struct affinity_flow {
    struct affinity_key key;
    uint64_t host;
    uint64_t first_host; /* another target that got the opening; or 0 */
    uint64_t route;      /* key */
    enum affinity_phase phase;
    bool long_lived;
    bool request_in_progress; /* a request has no answer yet */
    bool retransmitted;       /* the first packet was retransmitted */
    uint32_t requests;
    uint32_t first_sequence; /* of the first packet */
    bool late;               /* the last request counts as failed */
    uint64_t goal_us;        /* latency objective of the route; 0 for none */
    uint32_t answer_start;   /* acknowledged before the last request */
    uint32_t next_sequence;  /* after the last data sent */
    uint32_t acknowledged;
    uint64_t last_data_us; /* last packet with data of the request */
    uint64_t opened_us;
    uint64_t seen_us;        /* last packet of any kind */
    bool large_request;      /* the route carries uploads */
    uint32_t pending_bytes;  /* of the upload not received yet */
    uint32_t received_bytes; /* of the upload, so far */
    bool recent;             /* in progress, and started recently */
    /* Time of the first packet, or of the last packet with data. */
    uint64_t recent_since_us;
    GList recent_link; /* in the core's recent_flows */
};

/* Statistics of a route, which show whether its flows are long-lived. */
struct affinity_route_stats {
    uint64_t route;
    uint32_t flows;
    uint32_t multi_request_flows; /* flows with a second request */
    uint32_t answers;             /* counted, until the length is known */
    double usual_bytes;           /* running median of answers */
    double request_bytes;         /* moving average of uploads; 0 if unknown */
};

/* This VM's link: what is queued for it, and what is still to be received. */
struct affinity_link {
    uint64_t pending_bytes; /* of admitted uploads not received yet */
    uint64_t window_bytes;  /* of these, in the callers' congestion windows */
    double interactive_queued_bytes;
    double bulk_queued_bytes;
    double interactive_rate;  /* bytes a second, moving average */
    double interactive_bytes; /* since interval_start_us */
    uint64_t interval_start_us;
};

/* Overload of a pool: more requests come than its targets can process. */
struct affinity_pool {
    struct pool_id id;
    uint64_t overload_start_us; /* start of the present overload */
    uint64_t last_overload_us;  /* when overload was last observed */
};

/* Trials at living targets: packets or probes that are answered unless they
 * are lost. */
struct affinity_trials {
    double answered;
    double lost;
};

/* What this daemon's network loses, as seen lately; all halved each
 * LOSS_HALF_LIFE_US. */
struct affinity_loss {
    struct affinity_trials packets;
    struct affinity_trials probes;
    uint64_t halved_us;
    uint64_t connect_us; /* moving maximum of the time to connect */
};

struct affinity_core {
    struct affinity_options options;
    GRand *rand;
    GHashTable *loads;       /* host -> struct affinity_load */
    GHashTable *flows;       /* key -> struct affinity_flow */
    GHashTable *pools;       /* pool -> struct affinity_pool */
    GHashTable *route_stats; /* route -> struct affinity_route_stats */
    /* Hosts that get no new flows, regardless of the catalog. */
    GHashTable *avoided;
    GHashTable *evidence;      /* host -> struct affinity_evidence */
    bool has_failures;         /* among the evidence */
    GHashTable *avoided_zones; /* the same for all targets of a zone */
    GQueue recent_flows;       /* flows with a recent request, oldest first */
    struct affinity_link link;
    struct affinity_loss loss;
    GQueue suspicions; /* loads with a suspicion, oldest first */
    GQueue beliefs;    /* struct affinity_belief, not yet reported */
    GQueue resets;     /* struct affinity_packet to be answered by a reset */
    /* That share the zone's flows, including this one. */
    uint32_t zone_daemons;
    double hedge_tokens; /* second openings that the budget has left */
    uint64_t next_sweep_us;
    bool has_catalog;        /* one was learned already */
    uint64_t last_active_us; /* last packet or tick */
    uint64_t stale_until_us; /* first packets read before then are stale */
    struct affinity_counters counters;
};

/* affinity_load.c: observed load of targets */
struct affinity_load *affinity_load_get(struct affinity_core *, uint64_t host);
void affinity_load_free(gpointer);
void affinity_load_record_answer(struct affinity_load *, uint64_t now_us,
                                 uint64_t took_us);
bool affinity_load_is_suspect(const struct affinity_load *, uint64_t now_us);
void affinity_load_record_unanswered(struct affinity_core *,
                                     struct affinity_load *, uint64_t now_us);
void affinity_load_sweep(struct affinity_core *, const struct catalog *);

/* affinity_cold.c: new flows of cold targets */
bool affinity_cold_is_limited(const struct affinity_core *,
                              const struct catalog *, struct pool_id);
bool affinity_cold_may_open(struct affinity_core *, uint64_t now_us,
                            const struct catalog *,
                            const struct catalog_target *,
                            struct affinity_load *);
void affinity_cold_record(struct affinity_load *, uint64_t now_us);
void affinity_cold_learn(struct affinity_load *, uint64_t now_us,
                         const struct catalog_target *, bool used);

/* affinity_hedge.c: second targets for openings */
void affinity_hedge_earn(struct affinity_core *, const struct catalog_route *);
bool affinity_hedge_allows(const struct affinity_core *,
                           const struct affinity_flow *,
                           const struct catalog_route *);
void affinity_hedge_record(struct affinity_core *, struct affinity_flow *,
                           uint64_t first_host);
uint64_t affinity_hedge_resolve(struct affinity_core *, struct affinity_flow *,
                                uint64_t named);

/* affinity_evidence.c: what the fleet is told of targets */
void affinity_evidence_waiting(struct affinity_core *, struct affinity_flow *,
                               uint64_t silent_us);
void affinity_evidence_failed(struct affinity_core *, uint64_t host);
void affinity_evidence_request_over(struct affinity_core *,
                                    struct affinity_flow *,
                                    uint32_t acknowledged);

/* affinity_loss.c: what this daemon's network loses */
void affinity_loss_decay(struct affinity_core *, uint64_t now_us);
double affinity_loss_share(const struct affinity_core *);
uint32_t affinity_loss_probe_timeout_us(const struct affinity_core *);

/* affinity_silence.c: targets that are down or out of reach */
void affinity_silence_sent(struct affinity_core *, uint64_t now_us,
                           struct affinity_load *, bool retransmitted);
void affinity_silence_heard(struct affinity_core *, uint64_t now_us,
                            struct affinity_load *, uint64_t previous_us);
bool affinity_silence_is_suspected(const struct affinity_load *);
void affinity_silence_end_round(struct affinity_core *, uint64_t now_us,
                                struct affinity_load *);
void affinity_silence_forget(struct affinity_core *, struct affinity_load *);

/* affinity_flow.c: tracked flows and route statistics */
struct affinity_flow *affinity_flow_find(struct affinity_core *,
                                         const struct affinity_packet *);
void affinity_flow_add(struct affinity_core *, uint64_t now_us,
                       const struct affinity_packet *,
                       const struct catalog_route *, uint64_t host);
struct affinity_flow *affinity_flow_adopt(struct affinity_core *,
                                          uint64_t now_us,
                                          const struct affinity_packet *,
                                          const struct catalog_route *,
                                          uint64_t host);
void affinity_flow_move(struct affinity_core *, struct affinity_flow *,
                        uint64_t host);
void affinity_flow_remove(struct affinity_core *, struct affinity_flow *);
void affinity_flow_handle_packet(struct affinity_core *, uint64_t now_us,
                                 struct affinity_flow *,
                                 const struct affinity_packet *);
void affinity_flow_expire_recent(struct affinity_core *, uint64_t now_us);
void affinity_flow_sweep(struct affinity_core *, uint64_t now_us,
                         uint64_t idle_us);
bool affinity_route_has_long_lived_flows(struct affinity_core *,
                                         uint64_t route);
struct affinity_route_stats *affinity_route_stats_get(struct affinity_core *,
                                                      uint64_t route);

/* affinity_link.c: admission by this VM's link */
bool affinity_link_admits(struct affinity_core *,
                          const struct catalog_route *);
bool affinity_link_is_busy(const struct affinity_core *);
double affinity_link_interactive_wait_us(const struct affinity_core *);
void affinity_link_count_interactive(struct affinity_core *, uint64_t now_us,
                                     uint32_t payload);
void affinity_link_add_flow(struct affinity_core *, struct affinity_flow *,
                            const struct catalog_route *);
void affinity_link_count_data(struct affinity_core *, struct affinity_flow *,
                              const struct affinity_packet *);
void affinity_link_remove_flow(struct affinity_core *, struct affinity_flow *,
                               bool ended);
void affinity_link_expire_flow(struct affinity_core *, struct affinity_flow *,
                               uint64_t silent_us);

/* affinity_admit.c: admission by the pool's load */
bool affinity_answers_are_fast(const struct catalog_route *,
                               uint64_t mean_answer_us);
struct affinity_pool *affinity_pool_get(struct affinity_core *,
                                        struct pool_id);
bool affinity_admit(struct affinity_core *, uint64_t now_us, struct pool_id,
                    const struct catalog_route *, uint64_t pool_mean_answer_us,
                    double utilization);

/* affinity_place.c: the choice of a target */
double affinity_place_cost(struct affinity_core *, uint64_t now_us,
                           const struct catalog *,
                           const struct catalog_route *,
                           const struct catalog_target *);
void affinity_place_preview(struct affinity_core *, uint64_t now_us,
                            const struct catalog *,
                            const struct catalog_route *,
                            struct affinity_verdict *);
const struct catalog_target *
affinity_place_second(struct affinity_core *, uint64_t now_us,
                      const struct catalog *, const struct catalog_route *,
                      uint64_t first_host, struct affinity_verdict *);
const struct catalog_target *affinity_place_flow(struct affinity_core *,
                                                 uint64_t now_us,
                                                 const struct catalog *,
                                                 const struct catalog_route *,
                                                 struct affinity_verdict *);

#endif
