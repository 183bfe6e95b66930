/* What the files of src/affinity share. */
#ifndef PS_AFFINITY_AFFINITY_STATE_H
#define PS_AFFINITY_AFFINITY_STATE_H

#include "affinity/affinity.h"

struct affinity_key {
    uint32_t source;
    uint32_t destination;
    uint16_t source_port;
    uint16_t destination_port;
};

/* What this daemon has seen of a target. */
struct affinity_load {
    uint64_t host;
    uint32_t busy;       /* requests in progress */
    uint32_t lasting;    /* open flows of routes whose flows last */
    uint32_t unanswered; /* flows in a row whose opening was repeated */
    uint64_t suspect_until_us;
    uint64_t cold_until_us;
    uint64_t cold_revision; /* of the row that told of it */
    uint64_t answer_us;     /* moving average from request to answer */
};

enum affinity_phase {
    AFFINITY_OPENING, /* until the caller acknowledges */
    AFFINITY_OPEN,
    AFFINITY_PHASE__MAX
};

/* A flow whose packets come through this daemon. */
struct affinity_flow {
    struct affinity_key key;
    uint64_t host;
    uint64_t route; /* key */
    enum affinity_phase phase;
    bool lasting;
    bool busy;     /* a request waits for its answer */
    bool repeated; /* its opening was sent again */
    uint32_t requests;
    uint32_t first_sequence; /* of the opening */
    uint32_t acknowledged;
    uint64_t request_us; /* when the request's last packet came */
    uint64_t opened_us;
    uint64_t seen_us;
};

/* How the flows of a route have behaved; tells whether they last. */
struct affinity_route_use {
    uint64_t route;
    uint32_t flows;
    uint32_t repeated; /* flows with a second request */
};

struct affinity_core {
    struct affinity_options options;
    GRand *rand;
    GHashTable *loads; /* host -> struct affinity_load */
    GHashTable *flows; /* key -> struct affinity_flow */
    GHashTable *uses;  /* route -> struct affinity_route_use */
    uint64_t sweep_us;
    uint64_t turn_us;  /* when this daemon last did anything */
    uint64_t stale_us; /* openings read before have waited for too long */
    struct affinity_counters counters;
};

/* affinity_load.c: what is known of targets */
struct affinity_load *affinity_load_of(struct affinity_core *, uint64_t host);
void affinity_load_answered(struct affinity_load *, uint64_t took_us);
bool affinity_load_suspect(const struct affinity_load *, uint64_t now_us);
void affinity_load_unanswered(struct affinity_core *, struct affinity_load *,
                              uint64_t now_us);
void affinity_load_sweep(struct affinity_core *, const struct catalog *);

/* affinity_flow.c: what is known of flows */
struct affinity_flow *affinity_flow_find(struct affinity_core *,
                                         const struct affinity_packet *);
struct affinity_flow *affinity_flow_open(struct affinity_core *,
                                         uint64_t now_us,
                                         const struct affinity_packet *,
                                         const struct catalog_route *,
                                         uint64_t host);
void affinity_flow_end(struct affinity_core *, struct affinity_flow *);
void affinity_flow_packet(struct affinity_core *, uint64_t now_us,
                          struct affinity_flow *,
                          const struct affinity_packet *);
void affinity_flow_sweep(struct affinity_core *, uint64_t now_us,
                         uint64_t idle_us);
bool affinity_flow_lasts(struct affinity_core *, uint64_t route);

/* affinity_admit.c: whether a new flow is taken */
bool affinity_admit(struct affinity_core *, const struct catalog_route *,
                    uint64_t typical_us, double waiting);

/* affinity_place.c: the choice of a target */
const struct catalog_target *
affinity_place(struct affinity_core *, uint64_t now_us, const struct catalog *,
               const struct catalog_route *, struct affinity_verdict *);

#endif
