/* Structures and functions shared by the source files of the pool core. */
#ifndef PS_POOL_POOL_INTERNAL_H
#define PS_POOL_POOL_INTERNAL_H

#include <glib.h>

#include "pool/pool.h"

#define POOL_WEIGHT_DEFAULT 100
#define POOL_WEIGHT_MAX     1000

enum pool_hold {
    POOL_HOLD_NONE,
    POOL_HOLD_ENDPOINT, /* endpoint fails, traffic does not prove health */
    POOL_HOLD_TRAFFIC,  /* its traffic goes unanswered */
};

/* Outcomes of traffic, decayed with the half-life HALF_LIFE_US. */
struct pool_traffic {
    uint64_t at_us;
    double answered;
    double refused;
    double unanswered;
};

struct pool_target {
    struct pool_announcement announcement;
    uint64_t expire_us;
    bool expired;
    uint64_t cold_since_us; /* 0: not in slow start */
    uint64_t next_probe_us;
    unsigned failures;     /* consecutive failed health readings */
    unsigned successes;    /* consecutive successful ones */
    bool endpoint_ignored; /* endpoint fails, but traffic is answered */
    double load;
    uint64_t load_at_us; /* 0: no reading */
    struct pool_traffic traffic;
    uint32_t interval_answered; /* since the last back-off update */
    uint32_t interval_refused;
    uint64_t next_back_off_us;
    double back_off_factor; /* multiplies its share; 1: no back-off */
    enum pool_hold hold;
    uint64_t hold_until_us;
    unsigned hold_count;
    /*
     * Until then, after a hold, traffic is given time to show the target's
     * health, and the endpoint alone may not hold the target again.
     */
    uint64_t trial_until_us;
};

struct pool_entry {
    struct pool_id id;
    char name[VIEW_NAME_MAX];
    uint64_t version;
    enum pool_prefer prefer;
    uint32_t queue_limit;
    uint16_t slots_limit;
    GArray *overrides; /* struct pool_override */
    GArray *draining;  /* uint32_t */
    GArray *view;      /* struct target_view, as last published */
    GArray *scratch;
    bool row_changed;
};

struct pool_core {
    struct pool_options options;
    struct pool_counters counters;
    GPtrArray *entries; /* struct pool_entry, sorted by id */
    GPtrArray *targets; /* struct pool_target, sorted by address */
    uint64_t next_review_us;
    GRand *rand;
};

struct pool_target *pool_target_find(const struct pool_core *,
                                     uint32_t address);
struct pool_entry *pool_entry_find(const struct pool_core *, struct pool_id);
struct pool_action *pool_action_add(struct pool_actions *,
                                    enum pool_action_kind);
void pool_refuse(struct pool_actions *, enum err_code, const char *format, ...)
    G_GNUC_PRINTF(3, 4);

bool pool_announce(struct pool_core *, uint64_t now_us,
                   const struct pool_event *, struct pool_actions *);
bool pool_expire_targets(struct pool_core *, uint64_t now_us);

void pool_health_record(struct pool_core *, const struct pool_event *);
void pool_load_record(struct pool_core *, uint64_t now_us,
                      const struct pool_event *, struct pool_actions *);
void pool_evidence_add(struct pool_core *, uint64_t now_us,
                       const struct pool_evidence *);
bool pool_traffic_healthy(const struct pool_target *);
void pool_review(struct pool_core *, uint64_t now_us, struct pool_entry *);
bool pool_target_is_draining(const struct pool_entry *,
                             const struct pool_target *);

void pool_view_publish(struct pool_core *, uint64_t now_us,
                       struct pool_entry *, struct pool_actions *);

#endif
