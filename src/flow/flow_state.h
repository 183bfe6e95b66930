/* Types and functions shared by the files of the flow core only. */
#ifndef PS_FLOW_FLOW_STATE_H
#define PS_FLOW_FLOW_STATE_H

#include "flow/flow_cache.h"
#include "flow/flow_core.h"
#include "flow/flow_table.h"

/*
 * The hash space of a pool is cut into FLOW_SLICES slices.  The first ones are
 * steered: the pool owner places their flows by load instead of by the bucket
 * map.
 */
#define FLOW_SLICES    1024
#define FLOW_SLOT_NONE 0x7fff /* no target */
#define FLOW_SLOTS_MAX 0x7ffe
#define FLOW_RESEND_US 200000 /* interval of retransmissions */
/*
 * After its last message a daemon that is not in the views counts as alive for
 * this time.
 */
#define FLOW_UNLISTED_ALIVE_US 3000000
/* A target that is missing for this time counts as gone. */
#define FLOW_TARGET_GONE_US 10000000
/* The target of an answer up to this age is relied on. */
#define FLOW_LEARNED_MAX_MS 10000
/* A closed flow is kept for this time, for late packets. */
#define FLOW_CLOSED_KEEP_S 10
/* A flow that its target has not accepted is kept for this time. */
#define FLOW_UNANSWERED_KEEP_S 60
#define US_PER_S               1000000

/*
 * A target of one pool in one incarnation, according to this daemon's views.
 */
struct flow_endpoint {
    struct pool_id pool;
    struct target_key key;
    bool present;              /* in the pool's newest view */
    uint64_t missing_since_us; /* if not present: since when */
    uint64_t syn_ack_us;       /* last SYN-ACK seen by this daemon */
    struct target_view view;
};

/* A target in the pool's map; its index is the same at all daemons. */
struct flow_slot {
    struct target_key key;
    uint32_t endpoint; /* index in core->endpoints */
    /*
     * No new flows: packets of unknown flows in its buckets are relayed to the
     * owner
     */
    bool avoid;
    uint64_t avoid_seq; /* version of the map that changed avoid */
    uint64_t avoid_us;
    uint32_t count; /* at the owner: flows in the table */
    /*
     * At the owner: flows counted by an earlier owner that are not in the
     * table
     */
    uint32_t unidentified;
    uint64_t accepted_us; /* last new flow that it accepted */
    double quota; /* used only while distributing: buckets it should have */
    /* Used only while distributing: buckets above the quota */
    int32_t surplus;
};

enum flow_phase {
    FLOW_PHASE_STABLE, /* no move; via_owner may be left from the last one */
    /* Waits until every daemon relays packets of unknown flows */
    FLOW_PHASE_ANNOUNCING,
    FLOW_PHASE_RECORDING, /* new flows go to next; older ones are recorded */
    FLOW_PHASE_SETTLING,  /* base is next; waits until every daemon has it */
    FLOW_PHASE__MAX
};

struct flow_bucket {
    uint16_t base;     /* slot of flows that no daemon has a record of */
    uint16_t next;     /* base after the move */
    bool via_owner;    /* packets of unknown flows are relayed to the owner */
    uint8_t phase;     /* enum flow_phase */
    bool all_recorded; /* RECORDING: every flow on base has a record */
    uint64_t changed_seq; /* version of the map that changed the bucket last */
    uint64_t via_owner_seq; /* version that set via_owner */
    uint64_t settle_seq;    /* version that set the new base */
    /* In the backup's replica: all records of the bucket are before it */
    uint64_t recorded_position;
};

/* A daemon that receives the map from this owner. */
struct flow_follower {
    struct daemon_id id;
    uint64_t acked; /* version of the map */
    uint64_t sent;
    uint64_t sent_us;
    bool present;        /* must acknowledge before a change is in force */
    bool needs_full_map; /* is to be sent the whole map */
    uint64_t query_us;   /* last MAP_QUERY */
};

/* The owner's side of a replica of its records. */
struct flow_replica {
    struct daemon_id to; /* 0: none */
    uint64_t stream;     /* id of the replica */
    GArray *queue;       /* uint64_t records from position acked on */
    uint64_t acked;      /* position */
    uint64_t sent;       /* position */
    uint64_t sent_us;
    uint32_t cursor; /* next bucket of the snapshot */
    bool started;    /* a message was sent since the last restart */
    bool confirmed;  /* acknowledged at least once */
};

enum flow_replica_role {
    FLOW_REPLICA_BACKUP,    /* at the backup */
    FLOW_REPLICA_SUCCESSOR, /* at the next owner, before a handover */
    FLOW_REPLICA__MAX
};

struct flow_pool {
    struct pool_id id;
    enum pool_prefer prefer;
    bool has_view;
    GArray *members; /* uint32_t endpoints of the view */

    uint64_t epoch;            /* of the map */
    uint64_t seq;              /* version of the map; continues over epochs */
    struct daemon_id owner;    /* the daemon that published the map */
    uint64_t owner_contact_us; /* last map message from it */
    bool owner_restarted;      /* it lost its state */
    struct daemon_id relay_to; /* packets for the owner go there; 0: nowhere */
    uint32_t bucket_count;
    uint32_t bucket_shift;
    struct flow_bucket *buckets; /* NULL without a map */
    GArray *slots;               /* struct flow_slot */
    uint64_t slots_seq;          /* version that changed the slots last */
    /* Published: slices of FLOW_SLICES whose flows the owner places by load */
    uint32_t steered_slices;
    uint32_t steered_wanted; /* as configured for prefer */
    uint32_t steered_before; /* in force until steered_seq is acknowledged */
    uint64_t steered_seq;

    struct flow_table table;
    uint32_t sweep_slot; /* slot of the table that was swept last */

    bool owned_here;   /* this daemon is the owner */
    bool handed_over;  /* handover sent to handover_to, not yet confirmed */
    bool dirty;        /* changes are to be published */
    bool redistribute; /* buckets are to be distributed again */
    uint64_t redistributed_us;
    /* Until then an unknown UDP flow may be an earlier owner's */
    uint64_t udp_known_from_us;
    /* From then on no flow of an earlier owner can be unknown */
    uint64_t all_known_from_us;
    uint64_t prev_epoch; /* of the map that was taken over */
    uint64_t prev_seq;
    /* Lowest version that a live follower has acknowledged */
    uint64_t min_acked;
    GArray *followers; /* struct flow_follower */
    struct flow_replica replicas[FLOW_REPLICA__MAX];
    struct daemon_id successor; /* the next owner by the views; 0: none */
    uint32_t successor_cursor;  /* next bucket to be recorded for it */
    int64_t tokens; /* token bucket of bytes sent to replica holders */
    uint64_t tokens_us;
    uint64_t counts_us; /* last COUNTS message */
    uint64_t steered_check_us;
    uint64_t handover_sent_us; /* last HANDOVER message */
    uint64_t handover_us;      /* first HANDOVER message */
    uint64_t handover_epoch;
    uint64_t handover_stream;
    bool handover_complete; /* the successor knows every flow */
    uint64_t handover_position;
    struct daemon_id handover_to;

    uint64_t unreachable_since_us; /* of the owner; 0: it is reachable */
    uint64_t query_us;             /* last MAP_QUERY */
    uint64_t query_start_us;
    GArray *no_map;                /* uint64_t daemons that have no map */
    uint64_t last_stream;          /* id of the last replica started */
    struct daemon_id inbound_from; /* owner whose replica is held here */
    uint64_t inbound_epoch;
    uint64_t inbound_stream;
    uint64_t inbound_position;
    GArray *inbound_counts; /* uint64_t flows of each target */
};

struct flow_route {
    struct route_view view;
    struct flow_pool *pool;
    /* Previous pool, which may still have flows of the route; NULL: none */
    struct flow_pool *former;
    uint64_t changed_version; /* version of the routes that changed the pool */
    uint64_t former_until_us;
    bool applied_everywhere; /* every live daemon has changed_version */
    bool removed;            /* scratch of an update */
    int64_t tokens;          /* token bucket of new flows, in 1/1000000 */
    uint64_t tokens_us;
};

struct flow_route_slot {
    uint64_t key;             /* address << 16 | port */
    struct flow_route *route; /* NULL: free */
};

struct flow_peer {
    struct daemon_view view;
    uint64_t routes_version; /* version applied by the peer */
    uint64_t sent_us;        /* last ROUTES message to it */
    bool version_received;   /* it has sent a ROUTES message */
};

struct flow_core {
    struct flow_options options;
    struct flow_counters counters;
    uint64_t now_us;
    struct flow_actions *out; /* during flow_core_step(), else NULL */
    GRand *rand;
    GArray *endpoints;                   /* struct flow_endpoint */
    GPtrArray *pools;                    /* struct flow_pool, owned */
    GPtrArray *routes;                   /* struct flow_route, owned */
    struct flow_route_slot *route_slots; /* by address and port */
    uint32_t route_slot_count;           /* a power of two, or 0 */
    /* struct flow_peer: entry daemons but this one that are not dead */
    GArray *peers;
    GArray *views;        /* struct daemon_view as given */
    GHashTable *versions; /* daemon to its version of the routes */
    GHashTable *suspects; /* digest to struct flow_suspect */
    uint64_t routes_version;
    bool views_known; /* views of the daemons were received */
    uint64_t joined_us;
    bool synced; /* the routes are as new as the peers' */
    bool stopping;
    bool stopped;
    uint64_t stop_us;
    /* Stopping: since when no handover is left to do */
    uint64_t idle_since_us;
    struct flow_cache cache;
};

/* flow_view.c: views of pools, targets and daemons */
void flow_view_routes(struct flow_core *, const struct flow_event *);
void flow_view_pool(struct flow_core *, const struct pool_view *);
void flow_view_daemons(struct flow_core *, const struct flow_event *);
struct flow_pool *flow_pool_get(struct flow_core *, struct pool_id);
struct flow_pool *flow_pool_find(const struct flow_core *, struct pool_id);
void flow_pool_free(void *);
uint32_t flow_endpoint_get(struct flow_core *, struct pool_id,
                           struct target_key);
struct daemon_id flow_peer_any(const struct flow_core *);
bool flow_peer_alive(const struct flow_core *, struct daemon_id);
bool flow_peer_known(const struct flow_core *, struct daemon_id);
struct daemon_id flow_view_owner(const struct flow_core *, struct pool_id,
                                 struct daemon_id except);
struct daemon_id flow_view_backup(const struct flow_core *, struct pool_id,
                                  struct daemon_id owner);

/* flow_route.c: routes that change their pool */
void flow_route_receive(struct flow_core *, struct daemon_id,
                        const struct flow_message *);
bool flow_route_peer_up_to_date(struct flow_core *, struct daemon_id);
void flow_route_tick(struct flow_core *);
struct flow_route *flow_route_find(const struct flow_core *, uint32_t address,
                                   uint16_t port);
bool flow_route_admit_flow(struct flow_core *, struct flow_route *);

/* flow_map.c: the bucket map at its owner and its followers */
void flow_map_create(struct flow_core *, struct flow_pool *);
void flow_map_free(struct flow_pool *);
void flow_map_receive(struct flow_core *, struct daemon_id,
                      const struct flow_message *);
void flow_map_receive_ack(struct flow_core *, struct daemon_id,
                          const struct flow_message *);
void flow_map_publish(struct flow_core *, struct flow_pool *);
void flow_map_update_followers(struct flow_core *, struct flow_pool *);
void flow_map_add_follower(struct flow_core *, struct flow_pool *,
                           struct daemon_id);
uint16_t flow_map_get_slot(struct flow_core *, struct flow_pool *,
                           struct target_key);
void flow_map_send_full(struct flow_core *, struct flow_pool *,
                        struct daemon_id to);
bool flow_map_acked(struct flow_pool *, struct daemon_id);
bool flow_map_relays_to_owner(const struct flow_pool *, uint64_t digest);

/* flow_move.c: distribution of buckets, and their moves */
void flow_move_distribute(struct flow_core *, struct flow_pool *);
void flow_move_update_avoid(struct flow_core *, struct flow_pool *);
void flow_move_tick(struct flow_core *, struct flow_pool *);
bool flow_move_via_owner_in_force(const struct flow_core *,
                                  const struct flow_pool *,
                                  const struct flow_bucket *);

/* flow_owner.c: the owner's flows */
enum flow_reason flow_owner_open(struct flow_core *, struct flow_pool *,
                                 uint64_t digest, uint8_t flags,
                                 uint16_t *slot);
uint64_t flow_entry_record(const struct flow_entry *);
struct flow_entry *flow_owner_identify(struct flow_core *, struct flow_pool *,
                                       uint64_t digest);
struct flow_entry *flow_owner_identify_udp(struct flow_core *,
                                           struct flow_pool *,
                                           uint64_t digest);
bool flow_owner_may_be_earlier_flow(const struct flow_core *,
                                    const struct flow_pool *, uint64_t digest);
void flow_owner_close(struct flow_core *, struct flow_pool *,
                      struct flow_entry *);
void flow_owner_remove(struct flow_core *, struct flow_pool *,
                       struct flow_entry *);
void flow_owner_sweep(struct flow_core *, struct flow_pool *);
bool flow_owner_target_accepts(const struct flow_core *,
                               const struct flow_slot *);

/* flow_replica.c: records at the backup and at a successor */
void flow_replica_append(struct flow_pool *, uint64_t record);
void flow_replica_record_bucket(struct flow_pool *, uint32_t bucket,
                                uint8_t flags);
void flow_replica_attach(struct flow_core *, struct flow_pool *,
                         enum flow_replica_role, struct daemon_id);
void flow_replica_tick(struct flow_core *, struct flow_pool *);
void flow_replica_receive(struct flow_core *, struct daemon_id,
                          const struct flow_message *);
void flow_replica_receive_ack(struct flow_core *, struct daemon_id,
                              const struct flow_message *);
bool flow_replica_all_recorded(const struct flow_pool *);
bool flow_replica_prepare_handover(struct flow_core *, struct flow_pool *);
bool flow_replica_nearly_current(const struct flow_pool *,
                                 const struct flow_replica *);
void flow_replica_flush(struct flow_core *, struct flow_pool *);
uint64_t flow_replica_end(const struct flow_replica *);
bool flow_replica_reached(const struct flow_replica *, uint64_t position);
void flow_replica_send_counts(struct flow_core *, struct flow_pool *);
void flow_replica_detach(struct flow_pool *, enum flow_replica_role);
void flow_replica_send_merge(struct flow_core *, struct flow_pool *,
                             struct daemon_id to);

/* flow_ownership.c: takeover, handover, stop */
void flow_ownership_tick(struct flow_core *, struct flow_pool *);
void flow_ownership_receive_query(struct flow_core *, struct daemon_id,
                                  const struct flow_message *);
void flow_ownership_receive_no_map(struct flow_core *, struct daemon_id,
                                   const struct flow_message *);
void flow_ownership_receive_handover(struct flow_core *, struct daemon_id,
                                     const struct flow_message *);
void flow_ownership_end(struct flow_core *, struct flow_pool *);
void flow_ownership_update_relay(struct flow_core *, struct flow_pool *);
void flow_ownership_stop_tick(struct flow_core *);

/* flow_silent.c: flows that get no answers while others do */
void flow_silent_note_segment(struct flow_core *, struct flow_pool *,
                              struct flow_cached *, uint32_t endpoint,
                              const struct flow_packet *);
void flow_silent_remove(struct flow_core *, uint64_t digest);
void flow_silent_receive_flow_ended(struct flow_core *,
                                    const struct flow_message *);
void flow_silent_receive_query(struct flow_core *, struct daemon_id,
                               const struct flow_message *);
void flow_silent_receive_reply(struct flow_core *, struct daemon_id,
                               const struct flow_message *);
void flow_silent_tick(struct flow_core *);

/* flow_core.c */
struct flow_action *flow_add_action(struct flow_core *, enum flow_action_kind);
struct flow_message *flow_send(struct flow_core *, struct daemon_id to,
                               enum flow_message_kind, struct pool_id);

/* Return the target at INDEX of the pool's map; valid until one is added. */
static inline struct flow_slot *
flow_slot_at(const struct flow_pool *pool, uint32_t index)
{
    return &g_array_index(pool->slots, struct flow_slot, index);
}

/* Return the endpoint at INDEX; valid until one is added. */
static inline struct flow_endpoint *
flow_endpoint_at(const struct flow_core *core, uint32_t index)
{
    return &g_array_index(core->endpoints, struct flow_endpoint, index);
}

/* Return the bucket of the flow with DIGEST; the pool must have a map. */
static inline struct flow_bucket *
flow_bucket_of(const struct flow_pool *pool, uint64_t digest)
{
    return &pool->buckets[digest >> pool->bucket_shift];
}

/*
 * Return the next flow of the bucket INDEX, or NULL; AT is as for
 * flow_table_next().
 */
static inline struct flow_entry *
flow_bucket_next(const struct flow_pool *pool, uint32_t index, uint32_t *at)
{
    uint64_t first = (uint64_t)index << pool->bucket_shift;
    uint64_t last = first + (UINT64_C(1) << pool->bucket_shift) - 1;

    return flow_table_next(&pool->table, first, last, at);
}

/* Return the time in milliseconds modulo 2^32, never 0. */
static inline uint32_t
flow_now_ms(const struct flow_core *core)
{
    return (uint32_t)(core->now_us / 1000) | 1;
}

/* Return the time in seconds. */
static inline uint32_t
flow_now_s(const struct flow_core *core)
{
    return (uint32_t)(core->now_us / US_PER_S);
}

#endif
