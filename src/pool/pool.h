/*
 * The targets of each pool as this daemon knows them: rows, announcements,
 * endpoint readings and traffic's evidence in, views and probes out.
 * docs/design/targets.md says how the sources are weighed.
 */
#ifndef PS_POOL_POOL_H
#define PS_POOL_POOL_H

#include "base/err.h"
#include "base/view.h"

#define POOL_MESSAGE_MAX 192 /* bytes of a refusal's message with its NUL */

/* A member that is 0 takes its default. */
struct pool_options {
    uint64_t announce_life_us;  /* 10 s: life of a direct announcement */
    uint64_t forget_us;         /* 60 s: an expired target stays as down */
    uint64_t slow_start_us;     /* 30 s: ramp of a cold target */
    uint64_t probe_every_us;    /* 2 s: between probes of one target */
    uint64_t hold_us;           /* 30 s: first hold of an unhealthy target */
    uint64_t load_fresh_us;     /* 3 s: older load readings do not count */
    uint32_t unhealthy_percent; /* 30: share that may be held unhealthy */
    uint32_t targets_max;       /* 4096: targets of all pools together */
    uint32_t seed;              /* spreads the probes in time */
};

struct pool_override {
    uint32_t address; /* IPv4, host order */
    uint16_t weight;  /* 1 to 1000, in place of the announced one */
};

/* A row of the pools table.  The arrays are copied. */
struct pool_row {
    struct pool_id id;
    const char *name;
    uint64_t version;
    enum pool_prefer prefer;
    uint32_t queue_limit; /* 0 for the default */
    uint16_t slots_limit; /* most slots used of one target; 0 for none */
    size_t override_count;
    const struct pool_override *overrides;
    size_t draining_count;
    const uint32_t *draining; /* addresses that the operator empties */
};

/* What a target says of itself. */
struct pool_announcement {
    struct pool_id pool;
    struct target_key key;
    uint16_t port;
    uint16_t weight; /* 0 for the usual 100 */
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

/* Counts since the last report, of calls or of flows. */
struct pool_evidence {
    struct pool_id pool;
    struct target_key key;
    uint32_t opened;
    uint32_t answered;
    uint32_t refused; /* "not run", or a reset in answer to an opening */
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
            uint64_t life_us; /* left, as a peer told; 0 if direct */
        } announce;
        struct {
            struct target_key key;
            enum pool_health result;
        } health;
        struct {
            struct target_key key;
            double load;     /* 0 idle to 1 full */
            uint64_t age_us; /* of the reading when it was taken in */
        } load;
        struct pool_evidence evidence;
    } u;
};

enum pool_action_kind {
    POOL_ACT_VIEW,   /* the pool's view has changed */
    POOL_ACT_GONE,   /* the pool's row was deleted */
    POOL_ACT_PROBE,  /* read the target's health and load now */
    POOL_ACT_REFUSE, /* the event was refused; nothing has changed */
    POOL_ACT__MAX
};

struct pool_action {
    enum pool_action_kind kind;
    union {
        struct pool_view view; /* weight holds slow start and back-off */
        struct pool_id gone;
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
    uint64_t announcements_old; /* older incarnation: left out */
    uint64_t expired;
    uint64_t moved; /* addresses that changed hands between pools */
    uint64_t held_by_traffic;
    uint64_t held_by_endpoint;
    uint64_t held_back_by_floor; /* would be held, but for the floor */
    uint64_t endpoint_overruled; /* endpoint failed, traffic is answered */
    uint64_t backed_off;         /* a shedding target lost weight */
    uint64_t evidence_unknown;   /* of a target that is not known */
    uint64_t gauge_targets;
    uint64_t gauge_held;
};

struct pool_core;

struct pool_core *pool_core_new(const struct pool_options *);
void pool_core_free(struct pool_core *);
void pool_core_step(struct pool_core *, uint64_t now_us,
                    const struct pool_event *, struct pool_actions *out);
const struct pool_counters *pool_core_counters(const struct pool_core *);

/* The view of POOL as last given out; false if it has no row. */
bool pool_core_view(const struct pool_core *, struct pool_id,
                    struct pool_view *);

/* The pool and life left of a live announcement; false if none is held. */
bool pool_core_announcement(const struct pool_core *, uint32_t address,
                            uint64_t now_us, struct pool_announcement *,
                            uint64_t *life_us);

void pool_actions_clear(struct pool_actions *);

#endif
