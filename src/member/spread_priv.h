/* What the files of the spreading core share. */
#ifndef PS_MEMBER_SPREAD_PRIV_H
#define PS_MEMBER_SPREAD_PRIV_H

#include "member/spread.h"

#define US_PER_MS         1000ULL
#define RETRY_DOUBLINGS   3     /* an order is repeated ever more rarely */
#define ATTEMPTS_PER_HEAD 2     /* then another daemon heads the range */
#define REOPEN_MS         2000  /* between looks for daemons that joined */
#define WINDOW            4     /* versions that the leader stages at once */
#define JOB_LIFE_MS       15000 /* without a word from the parent */
#define REPORT_MS         100   /* between reports of partial progress */
#define EXPIRY_MS         250   /* between looks for expired targets */
#define LOOK_MS           1000  /* between looks at all targets */
#define GONE_KEPT_MS      60000 /* targets of a dead holder, past life */
#define SYNC_BUCKETS_MAX  16    /* compared after one pair of digests */
#define BUCKET_BITS       8

/* A part of a job, given to the daemon that heads its range. */
struct spread_child {
    struct spread_range range;
    uint32_t attempts;
    uint64_t sent_us;
    bool reported;
    uint32_t attempt, seq; /* of the last report */
    uint32_t done;
    uint64_t done_digest;
    uint32_t lacking_count;
    struct daemon_id lacking[SPREAD_LACKING_MAX];
};

/* One phase of one version over a range, as ordered by PARENT. */
struct spread_job {
    enum spread_phase phase;
    uint64_t from, version;
    GBytes *bytes;
    struct spread_range range; /* not used on the leader: all zones */
    bool leader;
    struct daemon_id parent;
    uint32_t attempt; /* of the parent's last order */
    uint32_t seq;     /* of the last report */
    bool with_self;
    bool closed; /* nothing is left to be done */
    uint64_t heard_us;
    uint64_t reported_us;
    uint64_t reported_digest;
    uint32_t reported_done;
    GArray *children; /* struct spread_child */
};

/* What a job, or a range, amounts to. */
struct spread_sum {
    uint32_t done, known;
    uint64_t done_digest, known_digest;
    uint32_t lacking_count;
    struct daemon_id lacking[SPREAD_LACKING_MAX];
};

/* A target as held here. */
struct spread_held {
    struct spread_target target;
    struct spread_target shown; /* as last told by an action */
    bool visible;               /* and whether it may be used */
    uint64_t expires_us;        /* if held by this daemon */
    uint64_t seen_us;           /* last announced here */
    uint64_t down_us;           /* when it expired */
    bool pending;               /* changed here, to be spread */
};

/* A daemon that holds targets. */
struct spread_holder {
    struct daemon_id id;
    bool live;
    uint64_t gone_us;
    GArray *refreshes; /* addresses to be told */
};

struct spread_core {
    struct spread_options options;
    uint32_t zone;
    GRand *rand;
    uint64_t now_us;
    GArray *view; /* struct daemon_view, sorted by id */
    GArray *live; /* live entry daemons, sorted by zone and id */
    uint64_t term;
    bool leading;
    uint64_t committed; /* on the leader */
    uint64_t ordered;   /* and the last version that it had staged */
    uint64_t in_force;  /* the highest version known to be in force */
    uint64_t staged, active;
    GArray *boundaries; /* versions staged above ACTIVE, in order */
    bool peer_heard;
    bool synced;       /* once found alike with a peer */
    bool view_changed; /* since the leader last looked */
    uint64_t reopen_us, need_us, fetch_us, sync_us, batch_us, refresh_us,
        expiry_us, look_us;
    GPtrArray *jobs;     /* struct spread_job */
    GHashTable *targets; /* struct spread_held by address */
    GHashTable *holders; /* struct spread_holder by id */
    GHashTable *mine;    /* struct spread_held held by this daemon */
    GPtrArray *pending;  /* struct spread_held to be spread */
    GPtrArray *expired;  /* those found in one look */
    uint32_t digests[SPREAD_BUCKETS];
    uint32_t target_count; /* those in the digests */
    GPtrArray *scratch;    /* GBytes that actions borrow from */
    GArray *loop;          /* messages to this daemon itself */
    struct spread_counters counters;
    struct spread_actions *out;
};

/* spread.c */
struct spread_action *spread_act(struct spread_core *,
                                 enum spread_action_kind);
struct spread_message spread_start(const struct spread_core *,
                                   enum spread_message_kind);
void spread_send(struct spread_core *, struct daemon_id,
                 const struct spread_message *);
const void *spread_keep(struct spread_core *, const void *, size_t);

/* spread_tree.c: the live daemons, and how a range is parted */
void spread_set_view(struct spread_core *, const struct daemon_view *, size_t);
const struct daemon_view *spread_live(const struct spread_core *,
                                      const struct spread_range *, size_t *);
bool spread_is_live(const struct spread_core *, struct daemon_id);
uint64_t spread_mark(const struct daemon_view *);
struct daemon_id spread_head(const struct spread_core *,
                             const struct spread_range *, uint32_t rank);
void spread_part(const struct spread_core *, const struct spread_range *,
                 GArray *ranges);
GArray *spread_zones(const struct spread_core *);
bool spread_in_range(const struct spread_range *, uint32_t zone,
                     struct daemon_id);

/* spread_version.c: what this daemon has staged and in force */
uint64_t spread_have_staged(const struct spread_core *);
uint64_t spread_have_active(const struct spread_core *);
bool spread_stage(struct spread_core *, const struct spread_bytes *);
void spread_learn_force(struct spread_core *, uint64_t version);
void spread_fetch(struct spread_core *, struct daemon_id);
void spread_on_fetch(struct spread_core *, struct daemon_id, uint64_t staged);
void spread_on_difference(struct spread_core *, const struct spread_bytes *);

/* spread_job.c: orders down the tree, reports up */
void spread_on_order(struct spread_core *, struct daemon_id,
                     const struct spread_message *);
void spread_on_report(struct spread_core *, const struct spread_message *);
void spread_jobs_staged(struct spread_core *);
void spread_jobs_tick(struct spread_core *);
struct spread_job *spread_job_add(struct spread_core *, enum spread_phase,
                                  uint64_t from, uint64_t version, GBytes *);
void spread_job_free(void *);
void spread_job_send(struct spread_core *, struct spread_job *);

/* spread_sum.c: how far a job has come */
void spread_job_sum(const struct spread_core *, const struct spread_job *,
                    struct spread_sum *);
bool spread_child_done(const struct spread_core *,
                       const struct spread_child *);
bool spread_job_done(const struct spread_sum *);

/* spread_lead.c: on the control leader */
void spread_on_lead(struct spread_core *, uint64_t term, bool leading);
void spread_on_committed(struct spread_core *, const struct spread_bytes *);
void spread_lead_stage(struct spread_core *, const struct spread_bytes *);
void spread_lead_check(struct spread_core *);

/* spread_target.c: the targets */
void spread_on_announced(struct spread_core *, const struct spread_target *);
void spread_on_targets(struct spread_core *, const struct spread_message *);
void spread_on_refresh(struct spread_core *, const struct spread_message *);
void spread_change(struct spread_core *, struct spread_held *,
                   const struct spread_target *);
void spread_uncount(struct spread_core *, struct spread_held *);
bool spread_take(struct spread_core *, const struct spread_target *);
bool spread_target_newer(const struct spread_stamp *,
                         const struct spread_stamp *);
struct spread_stamp spread_stamp_of(const struct spread_target *);
struct spread_holder *spread_holder(struct spread_core *, struct daemon_id);
unsigned spread_bucket(uint32_t address, unsigned bits);
void spread_holder_free(void *);

/* spread_expiry.c: targets that are no longer announced */
void spread_show(struct spread_core *, struct spread_held *);
void spread_holders_changed(struct spread_core *);
void spread_expire(struct spread_core *);

/* spread_batch.c: changes and refreshes on their way out */
void spread_pend(struct spread_core *, struct spread_held *);
void spread_batch_tick(struct spread_core *);
void spread_relay_targets(struct spread_core *, const struct spread_range *,
                          const struct spread_target *, size_t);

/* spread_sync.c: anti-entropy */
void spread_sync_tick(struct spread_core *);
void spread_on_digest(struct spread_core *, struct daemon_id,
                      const struct spread_message *);
void spread_on_digests(struct spread_core *, struct daemon_id,
                       const struct spread_message *);
void spread_on_stamps(struct spread_core *, struct daemon_id,
                      const struct spread_message *);

#endif
