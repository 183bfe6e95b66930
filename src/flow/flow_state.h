/* What the flow core's files share; of no concern to others. */
#ifndef PS_FLOW_FLOW_STATE_H
#define PS_FLOW_FLOW_STATE_H

#include "flow/flow_cache.h"
#include "flow/flow_core.h"
#include "flow/flow_table.h"

#define FLOW_SLICES       1024
#define FLOW_SLOT_NONE    0x7fff /* no target */
#define FLOW_SLOTS_MAX    0x7ffe
#define FLOW_RESEND_US    200000   /* an unacknowledged message again */
#define FLOW_HEARD_US     3000000  /* an unlisted lead counts as alive */
#define FLOW_GONE_US      10000000 /* a missing target counts as gone */
#define FLOW_LEARNED_MS   10000    /* an answer's target is relied on */
#define FLOW_CLOSED_S     10       /* a closed flow is kept for stragglers */
#define FLOW_UNANSWERED_S 60       /* an opening without answer is forgotten */
#define US_PER_S          1000000

/* A target of one pool in one incarnation, as this daemon's views have it. */
struct flow_endpoint {
    struct pool_id pool;
    struct target_key key;
    bool present;       /* in the pool's newest view */
    uint64_t gone_us;   /* since when not */
    uint64_t opened_us; /* last answer to an opening seen here */
    struct target_view view;
};

/* A target in the pool's map; the index is the same at all daemons. */
struct flow_slot {
    struct target_key key;
    uint32_t endpoint;
    bool avoid; /* its buckets are marked */
    uint64_t avoid_seq;
    uint64_t avoid_us;
    uint32_t count;       /* flows in the table, lead only */
    uint32_t inherited;   /* flows known by number only, lead only */
    uint64_t answered_us; /* last opening that it accepted */
    double share;         /* scratch of dealing */
    int32_t surplus;      /* scratch of dealing */
};

enum flow_phase {
    FLOW_PHASE_STABLE,     /* no mark, or the mark of a past move */
    FLOW_PHASE_MARKING,    /* waits until every daemon has the mark */
    FLOW_PHASE_CONVERTING, /* new flows on next; older ones are recorded */
    FLOW_PHASE_SETTLING,   /* base is next; waits until the second knows */
    FLOW_PHASE__MAX
};

struct flow_bucket {
    uint16_t base; /* where flows go that nobody knows */
    uint16_t next; /* new base of a move */
    bool mark;     /* packets of unknown flows go to the lead */
    uint8_t phase; /* enum flow_phase */
    bool converted;
    uint64_t changed_seq;
    uint64_t mark_seq;
    uint64_t settle_seq;
    uint64_t ready; /* position in the second's copy */
};

/* A daemon that has the map from this lead. */
struct flow_follower {
    struct daemon_id id;
    uint64_t acked;
    uint64_t sent;
    uint64_t sent_us;
    bool present;
    bool whole;        /* to be sent the whole map */
    uint64_t asked_us; /* last query */
};

/* The lead's end of a copy of its records. */
struct flow_replica {
    struct daemon_id to; /* 0: none */
    uint64_t stream;
    GArray *queue; /* uint64_t records from position acked on */
    uint64_t acked;
    uint64_t sent;
    uint64_t sent_us;
    uint32_t cursor; /* next bucket of the snapshot */
    bool started;
    bool confirmed; /* acknowledged at least once */
};

enum flow_replica_role {
    FLOW_REPLICA_SECOND,
    FLOW_REPLICA_HEIR,
    FLOW_REPLICA__MAX
};

struct flow_pool {
    struct pool_id id;
    enum pool_prefer prefer;
    bool viewed;
    GArray *members; /* uint32_t endpoints of the view */

    uint64_t epoch;
    uint64_t seq;
    struct daemon_id lead; /* who published the map */
    uint64_t lead_heard_us;
    bool lead_lost;       /* it restarted without its state */
    struct daemon_id ask; /* where to hand on, 0 for nowhere */
    uint32_t bucket_count;
    uint32_t bucket_shift;
    struct flow_bucket *buckets; /* NULL without a map */
    GArray *slots;               /* struct flow_slot */
    uint64_t slots_seq;
    uint32_t share; /* steered slices, published */
    uint32_t share_wanted;
    uint32_t share_before;
    uint64_t share_seq;

    struct flow_table table;
    uint32_t sweep;

    bool acting;
    bool granted; /* gave its lead to ask */
    bool dirty;   /* changes to be published */
    bool deal;    /* to be dealt anew */
    uint64_t dealt_us;
    uint64_t udp_known_us; /* until then unknown UDP flows are old ones */
    uint64_t complete_us;  /* from then on every flow is known */
    uint64_t prev_epoch;
    uint64_t prev_seq;
    uint64_t min_acked;
    GArray *followers; /* struct flow_follower */
    struct flow_replica replicas[FLOW_REPLICA__MAX];
    struct daemon_id heir; /* that the lead is to be given to, or 0 */
    uint32_t heir_cursor;  /* next bucket to be recorded for it */
    int64_t tokens;        /* bytes of copies */
    uint64_t tokens_us;
    uint64_t counts_us;
    uint64_t share_check_us;
    uint64_t grant_us;
    uint64_t granted_us;
    uint64_t grant_epoch;
    uint64_t grant_stream;
    bool grant_complete; /* the heir knows every flow */
    uint64_t grant_position;
    struct daemon_id grant_to;

    uint64_t lost_us; /* since when the lead is missed, or 0 */
    uint64_t query_us;
    uint64_t query_start_us;
    GArray *no_map;   /* uint64_t daemons that have none */
    uint64_t streams; /* copies begun by this lead */
    struct daemon_id in_from;
    uint64_t in_epoch;
    uint64_t in_stream;
    uint64_t in_position;
    GArray *in_counts; /* uint64_t */
};

struct flow_route {
    struct route_view view;
    struct flow_pool *pool;
    struct flow_pool *former; /* its flows may be left, or NULL */
    uint64_t changed_version;
    uint64_t former_until_us;
    bool everywhere; /* every live daemon has this version */
    bool gone;       /* scratch of an update */
    int64_t tokens;  /* new flows allowed, in 1/1000000 */
    uint64_t tokens_us;
};

struct flow_route_slot {
    uint64_t key;             /* address << 16 | port */
    struct flow_route *route; /* NULL: free */
};

struct flow_peer {
    struct daemon_view view;
    uint64_t routes_version;
    uint64_t sent_us;
    bool heard;
};

struct flow_core {
    struct flow_options options;
    struct flow_counters counters;
    uint64_t now_us;
    struct flow_actions *out;
    GRand *rand;
    GArray *endpoints;                   /* struct flow_endpoint */
    GPtrArray *pools;                    /* struct flow_pool, owned */
    GPtrArray *routes;                   /* struct flow_route, owned */
    struct flow_route_slot *route_slots; /* by address and port */
    uint32_t route_slot_count;           /* a power of two, or 0 */
    GArray *peers;        /* struct flow_peer, live entry daemons but self */
    GArray *views;        /* struct daemon_view as given */
    GHashTable *versions; /* daemon to its routes version */
    GHashTable *suspects; /* digest to struct flow_suspect */
    uint64_t routes_version;
    bool views_known;
    uint64_t joined_us;
    bool synced;
    bool stopping;
    bool stopped;
    uint64_t stop_us;
    uint64_t idle_since_us;
    struct flow_cache cache;
};

/* flow_view.c: what the daemon tells */
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
struct daemon_id flow_view_lead(const struct flow_core *, struct pool_id,
                                struct daemon_id except);
struct daemon_id flow_view_second(const struct flow_core *, struct pool_id,
                                  struct daemon_id lead);

/* flow_route.c: routes that change their pool */
void flow_route_message(struct flow_core *, struct daemon_id,
                        const struct flow_message *);
bool flow_route_current(struct flow_core *, struct daemon_id);
void flow_route_tick(struct flow_core *);
struct flow_route *flow_route_find(const struct flow_core *, uint32_t address,
                                   uint16_t port);
bool flow_route_admit(struct flow_core *, struct flow_route *);

/* flow_map.c: the map as published and followed */
void flow_map_create(struct flow_core *, struct flow_pool *);
void flow_map_free(struct flow_pool *);
void flow_map_message(struct flow_core *, struct daemon_id,
                      const struct flow_message *);
void flow_map_ack(struct flow_core *, struct daemon_id,
                  const struct flow_message *);
void flow_map_publish(struct flow_core *, struct flow_pool *);
void flow_map_followers(struct flow_core *, struct flow_pool *);
void flow_map_follow(struct flow_core *, struct flow_pool *, struct daemon_id);
uint16_t flow_map_slot(struct flow_core *, struct flow_pool *,
                       struct target_key);
void flow_map_send_whole(struct flow_core *, struct flow_pool *,
                         struct daemon_id to);
bool flow_map_acked(struct flow_pool *, struct daemon_id);
bool flow_map_marked(const struct flow_pool *, uint64_t digest);

/* flow_move.c: dealing buckets, and moving them in steps */
void flow_move_deal(struct flow_core *, struct flow_pool *);
void flow_move_avoid(struct flow_core *, struct flow_pool *);
void flow_move_tick(struct flow_core *, struct flow_pool *);
bool flow_move_in_force(const struct flow_core *, const struct flow_pool *,
                        const struct flow_bucket *);

/* flow_lead.c: opening, closing and counting */
enum flow_reason flow_lead_open(struct flow_core *, struct flow_pool *,
                                uint64_t digest, uint8_t flags,
                                uint16_t *slot);
uint64_t flow_entry_record(const struct flow_entry *);
struct flow_entry *flow_lead_inherit(struct flow_core *, struct flow_pool *,
                                     uint64_t digest);
struct flow_entry *flow_lead_adopt(struct flow_core *, struct flow_pool *,
                                   uint64_t digest);
bool flow_lead_may_inherit(const struct flow_core *, const struct flow_pool *,
                           uint64_t digest);
void flow_lead_close(struct flow_core *, struct flow_pool *,
                     struct flow_entry *);
void flow_lead_forget(struct flow_core *, struct flow_pool *,
                      struct flow_entry *);
void flow_lead_sweep(struct flow_core *, struct flow_pool *);
bool flow_lead_takes(const struct flow_core *, const struct flow_slot *);

/* flow_copy.c: copies of records to the second and to an heir */
void flow_copy_record(struct flow_pool *, uint64_t record);
void flow_copy_bucket(struct flow_pool *, uint32_t bucket, uint8_t flags);
void flow_copy_attach(struct flow_core *, struct flow_pool *,
                      enum flow_replica_role, struct daemon_id);
void flow_copy_tick(struct flow_core *, struct flow_pool *);
void flow_copy_message(struct flow_core *, struct daemon_id,
                       const struct flow_message *);
void flow_copy_ack(struct flow_core *, struct daemon_id,
                   const struct flow_message *);
bool flow_copy_whole(const struct flow_pool *);
bool flow_copy_prepare(struct flow_core *, struct flow_pool *);
bool flow_copy_near(const struct flow_pool *, const struct flow_replica *);
void flow_copy_flush(struct flow_core *, struct flow_pool *);
uint64_t flow_copy_end(const struct flow_replica *);
bool flow_copy_reached(const struct flow_replica *, uint64_t position);
void flow_copy_counts(struct flow_core *, struct flow_pool *);
void flow_copy_detach(struct flow_pool *, enum flow_replica_role);
void flow_copy_merge(struct flow_core *, struct flow_pool *,
                     struct daemon_id to);

/* flow_term.c: who decides: takeover, hand-over, stop */
void flow_term_tick(struct flow_core *, struct flow_pool *);
void flow_term_query(struct flow_core *, struct daemon_id,
                     const struct flow_message *);
void flow_term_no_map(struct flow_core *, struct daemon_id,
                      const struct flow_message *);
void flow_term_grant(struct flow_core *, struct daemon_id,
                     const struct flow_message *);
void flow_term_depose(struct flow_core *, struct flow_pool *);
void flow_term_ask(struct flow_core *, struct flow_pool *);
void flow_term_stop(struct flow_core *);

/* flow_silent.c: flows without answers */
void flow_silent_watch(struct flow_core *, struct flow_pool *,
                       struct flow_cached *, uint32_t endpoint,
                       const struct flow_packet *);
void flow_silent_clear(struct flow_core *, uint64_t digest);
void flow_silent_end(struct flow_core *, const struct flow_message *);
void flow_silent_ask(struct flow_core *, struct daemon_id,
                     const struct flow_message *);
void flow_silent_answered(struct flow_core *, struct daemon_id,
                          const struct flow_message *);
void flow_silent_tick(struct flow_core *);

/* flow_core.c */
struct flow_action *flow_act(struct flow_core *, enum flow_action_kind);
struct flow_message *flow_send(struct flow_core *, struct daemon_id to,
                               enum flow_message_kind, struct pool_id);

/* The entry at INDEX of the pool's map. */
static inline struct flow_slot *
flow_slot_at(const struct flow_pool *pool, uint32_t index)
{
    return &g_array_index(pool->slots, struct flow_slot, index);
}

static inline struct flow_endpoint *
flow_endpoint_at(const struct flow_core *core, uint32_t index)
{
    return &g_array_index(core->endpoints, struct flow_endpoint, index);
}

/* The bucket of the flow with DIGEST; the pool must have a map. */
static inline struct flow_bucket *
flow_bucket_of(const struct flow_pool *pool, uint64_t digest)
{
    return &pool->buckets[digest >> pool->bucket_shift];
}

/* The next flow of the bucket INDEX, as flow_table_next() tells. */
static inline struct flow_entry *
flow_bucket_next(const struct flow_pool *pool, uint32_t index, uint32_t *at)
{
    uint64_t first = (uint64_t)index << pool->bucket_shift;
    uint64_t last = first + (UINT64_C(1) << pool->bucket_shift) - 1;

    return flow_table_next(&pool->table, first, last, at);
}

/* Milliseconds modulo 2^32, never 0. */
static inline uint32_t
flow_now_ms(const struct flow_core *core)
{
    return (uint32_t)(core->now_us / 1000) | 1;
}

static inline uint32_t
flow_now_s(const struct flow_core *core)
{
    return (uint32_t)(core->now_us / US_PER_S);
}

#endif
