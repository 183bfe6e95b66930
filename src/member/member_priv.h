/* What the files of the membership core share. */
#ifndef PS_MEMBER_MEMBER_PRIV_H
#define PS_MEMBER_MEMBER_PRIV_H

#include <glib.h>

#include "member/member.h"

#define US_PER_MS           1000ULL
#define US_PER_S            1000000ULL
#define AWAKE_STEP_MAX_US   (150 * US_PER_MS) /* a longer gap is a pause */
#define HELPERS             3  /* daemons asked for an indirect probe */
#define GOSSIP_FANOUT       2  /* daemons that get news at a time */
#define GOSSIP_FACTOR       3  /* times log2 of the daemons: news repeated */
#define BURST_MAX           16 /* daemons told directly of a planned stop */
#define HEALTH_MAX          4
#define HEALTH_FACTOR_MAX   2    /* of intervals and suspicion */
#define ISOLATED_MS         1500 /* nothing heard: all peers are suspect */
#define RETRY_FIRST_MS      150  /* probes of a suspect, by its accuser */
#define RETRY_OTHER_MS      300  /* and by those who heard of it */
#define RETRY_OTHER_DAEMONS 64   /* above, heard suspicions are probed less */
#define HEARSAY_MS          600  /* own probes before a death is believed */
#define RECONNECT_MS        1000 /* between tries of a dead daemon or a seed */
#define PROBE_KEPT_MS       3000 /* a later answer is not recognized */
#define RTT_TIMEOUT_MAX_MS  1500 /* of a direct probe over a slow link */
#define YOUNG_MS            10000 /* what is learnt so early is no news */

/* A daemon as this one knows it. */
struct member {
    struct daemon_id id;
    struct member_record record;
    uint64_t since_us; /* of its status, on the awake clock */
    uint64_t retry_us; /* next probe while suspect */
    uint64_t rtt_us;   /* smoothed round trip; 0 is not known */
    uint32_t gossip_left;
    bool queued;      /* in the gossip queue */
    bool first_hand;  /* suspected by this daemon's own probe */
    bool confirmed;   /* another daemon's probe failed as well */
    bool death_heard; /* another daemon declared it dead */
    bool unproved;    /* was dead, says it lives, has not answered yet */
};

/* A probe of this daemon's own, direct or for another. */
struct probe {
    struct daemon_id target;
    uint32_t seq;
    uint64_t sent_us;
    uint64_t timeout_us;  /* when indirect probes begin, or a NACK is sent */
    uint64_t deadline_us; /* when it has failed */
    bool indirect;        /* helpers were asked */
    bool nacked;
    bool answered;
    bool failed;
    bool retry;          /* of a suspect; its failure tells nothing new */
    uint32_t origin_seq; /* of the daemon that asked; 0 for own probes */
    uint32_t origin_address;
};

struct member_core {
    struct member_options options;
    uint32_t *seeds;
    uint32_t cluster;
    GRand *rand;
    uint64_t now_us;   /* awake clock: pauses of the process left out */
    uint64_t clock_us; /* last time handed in */
    bool started;
    GHashTable *members; /* by id */
    GPtrArray *order;    /* the same, sorted by id */
    struct member *self;
    GQueue *gossip; /* members with news left to send */
    GPtrArray *suspects;
    GArray *probes;   /* struct probe */
    GArray *rotation; /* ids in probing order */
    guint rotation_next;
    guint reconnect_next;
    uint32_t seq;
    uint32_t health;
    uint64_t start_us, heard_us, probe_us, gossip_us, sync_us, reconnect_us,
        forget_us;
    uint64_t digests[MEMBER_BUCKETS];
    bool changed;
    GArray *view; /* struct daemon_view */
    struct member_counters counters;
    struct member_actions *out;
};

/* member.c */
struct member_action *member_actions_add(struct member_actions *);

/* member_table.c: the records and what they amount to */
struct member *member_find(const struct member_core *, struct daemon_id);
void member_merge(struct member_core *, const struct member_record *);
void member_set_status(struct member_core *, struct member *,
                       enum member_status);
void member_set(struct member_core *, struct member *,
                const struct member_record *);
void member_raise_incarnation(struct member_core *, uint64_t above);
struct member_stamp member_stamp_of(const struct member *);
unsigned member_bucket(struct daemon_id);
uint64_t member_digest(const struct member_core *);
void member_forget(struct member_core *);
void member_rebuild_view(struct member_core *);
bool member_is_peer(const struct member_core *, const struct member *);
size_t member_peer_count(const struct member_core *);
struct member *member_random_peer(struct member_core *);

/* member_suspect.c: suspicion, refutation, death */
void member_suspect(struct member_core *, struct member *, bool first_hand);
void member_hear_death(struct member_core *, struct member *);
void member_answered(struct member_core *, struct member *);
void member_check_suspects(struct member_core *);
void member_check_isolation(struct member_core *);
uint64_t member_health_factor(const struct member_core *);

/* member_gossip.c: sending, and news carried along */
void member_announce(struct member_core *, struct member *);
struct member_message *member_start(struct member_core *,
                                    enum member_message_kind);
bool member_attach(struct member_core *, struct member_message *,
                   const struct member *);
void member_send(struct member_core *, uint32_t address,
                 struct member_message *, const struct member *to);
void member_gossip(struct member_core *);
void member_burst(struct member_core *);

/* member_probe.c: the probes themselves */
void member_probe_tick(struct member_core *);
void member_probe_suspect(struct member_core *, struct member *);
void member_ping(struct member_core *, struct member *);
void member_reconnect(struct member_core *);
void member_on_ping(struct member_core *, uint32_t,
                    const struct member_message *);
void member_on_ping_req(struct member_core *, uint32_t,
                        const struct member_message *);
void member_on_answer(struct member_core *, const struct member_message *);

/* member_sync.c: anti-entropy */
void member_sync_if_differs(struct member_core *, uint32_t,
                            const struct member_message *);
void member_on_digests(struct member_core *, uint32_t,
                       const struct member_message *);
void member_on_stamps(struct member_core *, uint32_t,
                      const struct member_message *);

#endif
