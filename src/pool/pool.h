/*
 * The pool core computes the state and weight of each pool's targets as known
 * to this daemon.  Its inputs are pool rows, announcements, readings of the
 * targets' health and load endpoints and evidence from traffic; its outputs
 * are pool views and probe requests.  docs/design/targets.md describes how the
 * inputs are weighed against each other.
 */
#ifndef PS_POOL_POOL_H
#define PS_POOL_POOL_H

#include "base/err.h"
#include "base/view.h"

#define POOL_MESSAGE_MAX 192 /* bytes of a refusal's message with its NUL */

/* A member that is 0 takes the default at the start of its comment. */
struct pool_options {
    uint64_t announce_life_us; /* 10 s: lifetime of a direct announcement */
    uint64_t forget_us;      /* 60 s: an expired target stays listed as down */
    uint64_t slow_start_us;  /* 30 s: duration of a cold target's slow start */
    uint64_t probe_every_us; /* 2 s: interval of probes of one target */
    uint64_t hold_us; /* 30 s: length of an unhealthy target's first hold */
    uint64_t load_fresh_us;     /* 3 s: older load readings are ignored */
    uint32_t unhealthy_percent; /* 30: limit on a pool's held share */
    uint32_t targets_max;       /* 4096: targets of all pools together */
    uint32_t seed; /* of the random offsets that spread probes in time */
};

struct pool_override {
    uint32_t address; /* IPv4, host order */
    uint16_t weight;  /* 1 to 1000, replaces the announced weight */
};

/* A row of the pools table.  The core copies the arrays. */
struct pool_row {
    struct pool_id id;
    const char *name;
    uint64_t version;
    enum pool_prefer prefer;
    uint32_t queue_limit; /* 0 for the default */
    uint16_t slots_limit; /* most slots used of one target; 0: no limit */
    size_t override_count;
    const struct pool_override *overrides;
    size_t draining_count;
    const uint32_t *draining; /* addresses that the operator drains */
};

/* What a target announces about itself. */
struct pool_announcement {
    struct pool_id pool;
    struct target_key key;
    uint16_t port;
    uint16_t weight; /* 0 for the default of 100 */
    uint16_t slots;
    uint32_t connections;
    uint32_t zone;
    enum target_state state; /* ready, cold or draining */
};

enum pool_health {
    POOL_HEALTH_OK,
    POOL_HEALTH_FAIL,
    POOL_HEALTH_TIMEOUT,
    POOL_HEALTH__MAX
};

/* Outcomes of calls or flows since the last report. */
struct pool_evidence {
    struct pool_id pool;
    struct target_key key;
    uint32_t opened;
    uint32_t answered;
    uint32_t refused; /* "not run", or a reset in answer to a new flow's SYN */
    uint32_t unanswered;
};

enum pool_event_kind {
    POOL_EV_ROW_SET,
    POOL_EV_ROW_DELETE,
    POOL_EV_ANNOUNCE,
    POOL_EV_HEALTH,
    POOL_EV_LOAD,
    POOL_EV_EVIDENCE,
    POOL_EV_TICK,
    POOL_EV__MAX
};

struct pool_event {
    enum pool_event_kind kind;
    union {
        struct pool_row row;
        struct pool_id row_delete;
        struct {
            struct pool_announcement announcement;
            uint64_t life_us; /* remaining, from a peer; 0 if direct */
        } announce;
        struct {
            struct target_key key;
            enum pool_health result;
        } health;
        struct {
            struct target_key key;
            double load;     /* 0 idle to 1 full */
            uint64_t age_us; /* of the reading on arrival */
        } load;
        struct pool_evidence evidence;
    } u;
};

enum pool_action_kind {
    POOL_ACT_VIEW,    /* the pool's view has changed */
    POOL_ACT_DELETED, /* the pool's row was deleted */
    POOL_ACT_PROBE,   /* read the target's health and load now */
    POOL_ACT_REFUSE,  /* the event was refused and changed nothing */
    POOL_ACT__MAX
};

struct pool_action {
    enum pool_action_kind kind;
    union {
        /* The weights include slow start, load and back-off. */
        struct pool_view view;
        struct pool_id deleted;
        struct {
            struct target_key key;
            struct pool_id pool;
            uint16_t port;
            uint32_t zone;
        } probe;
        struct {
            enum err_code code;
            char message[POOL_MESSAGE_MAX];
        } refuse;
    } u;
};

struct pool_actions {
    struct pool_action *items;
    size_t count;
    size_t capacity;
};

struct pool_counters {
    uint64_t announcements;
    uint64_t announcements_refused;
    uint64_t announcements_old; /* ignored for an older incarnation */
    uint64_t expired;
    uint64_t moved; /* addresses that changed pools */
    uint64_t held_by_traffic;
    uint64_t held_by_endpoint;
    uint64_t holds_denied;     /* denied because too many targets are held */
    uint64_t endpoint_ignored; /* endpoint fails, but traffic is answered */
    uint64_t backed_off; /* weight reductions of targets that refuse work */
    uint64_t evidence_unknown; /* evidence about an unknown target */
    uint64_t gauge_targets;
    uint64_t gauge_held;
};

struct pool_core;

struct pool_core *pool_core_new(const struct pool_options *);
void pool_core_free(struct pool_core *);
void pool_core_step(struct pool_core *, uint64_t now_us,
                    const struct pool_event *, struct pool_actions *out);
const struct pool_counters *pool_core_counters(const struct pool_core *);

/*
 * Store the last published view of the pool and return true, or return false
 * if the pool has no row.  The view's targets stay valid until the next step.
 */
bool pool_core_view(const struct pool_core *, struct pool_id,
                    struct pool_view *);

/*
 * Store the live announcement of the address (IPv4, host order) and its
 * remaining lifetime and return true, or return false if there is none.
 */
bool pool_core_announcement(const struct pool_core *, uint32_t address,
                            uint64_t now_us, struct pool_announcement *,
                            uint64_t *life_us);

void pool_actions_clear(struct pool_actions *);

#endif
