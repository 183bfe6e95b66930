/* What the files of the pool core share. */
#ifndef PS_POOL_POOL_INTERNAL_H
#define PS_POOL_POOL_INTERNAL_H

#include <glib.h>

#include "pool/pool.h"

#define POOL_WEIGHT_USUAL 100
#define POOL_WEIGHT_MAX   1000

enum pool_hold {
    POOL_HOLD_NONE,
    POOL_HOLD_ENDPOINT, /* its health endpoint fails; no word of traffic */
    POOL_HOLD_TRAFFIC,  /* its traffic goes unanswered */
};

/* Counts that halve every POOL_HALF_LIFE_US. */
struct pool_history {
    uint64_t at_us;
    double answered;
    double refused;
    double unanswered;
};

struct pool_target {
    struct pool_announcement said;
    uint64_t expire_us;
    bool expired;
    uint64_t cold_since_us; /* 0: not ramping up */
    uint64_t next_probe_us;
    unsigned fails; /* health readings in a row */
    unsigned oks;
    bool overruled; /* endpoint fails, traffic is answered */
    double load;
    uint64_t load_at_us; /* 0: no reading */
    struct pool_history history;
    uint32_t second_answered; /* since next_back_off_us - 1 s */
    uint32_t second_refused;
    uint64_t next_back_off_us;
    double back_off; /* 1 takes its full share */
    enum pool_hold hold;
    uint64_t hold_until_us;
    unsigned hold_count;
    uint64_t trial_until_us; /* the endpoint alone may not hold it again */
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
    GArray *view;      /* struct target_view, as last given out */
    GArray *scratch;
    bool row_changed;
};

struct pool_core {
    struct pool_options options;
    struct pool_counters counters;
    GPtrArray *entries; /* struct pool_entry, in order of id */
    GPtrArray *targets; /* struct pool_target, in order of address */
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
bool pool_expire(struct pool_core *, uint64_t now_us);

void pool_health_read(struct pool_core *, const struct pool_event *);
void pool_load_read(struct pool_core *, uint64_t now_us,
                    const struct pool_event *, struct pool_actions *);
void pool_evidence_take(struct pool_core *, uint64_t now_us,
                        const struct pool_evidence *);
bool pool_traffic_good(const struct pool_target *);
void pool_review(struct pool_core *, uint64_t now_us, struct pool_entry *);
bool pool_target_drains(const struct pool_entry *, const struct pool_target *);

void pool_view_publish(struct pool_core *, uint64_t now_us,
                       struct pool_entry *, struct pool_actions *);

#endif
