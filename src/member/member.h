/*
 * Membership of the daemons: SWIM with Lifeguard's extensions, as a pure
 * core.  Probes are datagrams; each packed message fits MEMBER_DATAGRAM_MAX.
 */
#ifndef PS_MEMBER_MEMBER_H
#define PS_MEMBER_MEMBER_H

#include "base/view.h"

#define MEMBER_DATAGRAM_MAX 1200 /* bytes of a packed message */
#define MEMBER_RECORDS_MAX  12   /* records in one message */
#define MEMBER_STAMPS_MAX   40   /* record stamps in one message */
#define MEMBER_BUCKETS      32   /* digests of the table, by id */

enum member_status {
    MEMBER_OK,
    MEMBER_SUSPECT,
    MEMBER_DEAD,
    MEMBER_LEFT, /* ended by a planned stop; no longer counted anywhere */
    MEMBER_STATUS__MAX
};

/* What is spread of one daemon.  Its id is view_daemon_id(name). */
struct member_record {
    char name[VIEW_NAME_MAX];
    char zone[VIEW_NAME_MAX];
    uint32_t address;     /* IPv4, host order */
    uint64_t incarnation; /* only the daemon itself raises it */
    enum member_status status;
    uint32_t age_s; /* since it died or left */
    bool leaving;   /* takes no leads: it is joining, or ends by plan */
    bool entry;
    bool control;
};

/* A record reduced to what tells which of two is newer. */
struct member_stamp {
    struct daemon_id id;
    uint64_t incarnation;
    enum member_status status;
};

enum member_message_kind {
    MEMBER_PING,
    MEMBER_ACK,
    MEMBER_NACK,     /* the helper of an indirect probe got no answer */
    MEMBER_PING_REQ, /* probe TARGET for the sender */
    MEMBER_DIGESTS,  /* anti-entropy: digests of all buckets */
    MEMBER_STAMPS,   /* the sender's stamps of the buckets that differ */
    MEMBER_RECORDS,  /* news, or records that the receiver lacked */
    MEMBER_MESSAGE__MAX
};

struct member_message {
    enum member_message_kind kind;
    uint32_t cluster;      /* low bits of the hash of the cluster's name */
    uint32_t seq;          /* of the probe that this belongs to */
    struct daemon_id from; /* the daemon that sent it */
    struct daemon_id target;
    uint32_t target_address;
    uint64_t digest;      /* of the sender's whole table */
    uint32_t buckets;     /* MEMBER_STAMPS: one bit for each bucket */
    uint64_t first, last; /* and the ids covered; none if FIRST > LAST */
    size_t record_count;
    struct member_record records[MEMBER_RECORDS_MAX];
    size_t stamp_count;
    struct member_stamp stamps[MEMBER_STAMPS_MAX];
    uint64_t digests[MEMBER_BUCKETS]; /* MEMBER_DIGESTS only */
};

struct member_options {
    const char *name;
    const char *zone;
    const char *cluster;  /* NULL for "parsleyspur" */
    uint32_t address;     /* IPv4, host order */
    uint64_t incarnation; /* start time in ms, by the daemon's wall clock */
    bool entry;
    bool control;
    bool joining;          /* takes no leads until MEMBER_EV_JOINED */
    const uint32_t *seeds; /* addresses of some daemons; copied */
    size_t seed_count;
    uint64_t seed; /* of the core's own random numbers */
    /* In milliseconds; 0 takes the default. */
    uint32_t probe_interval_ms;  /* 500 */
    uint32_t probe_timeout_ms;   /* 150: then indirect probes begin */
    uint32_t suspicion_ms;       /* 1000: confirmed by another daemon */
    uint32_t suspicion_max_ms;   /* 3000: confirmed by none */
    uint32_t sync_interval_ms;   /* 1000: least time between two syncs */
    uint32_t gossip_interval_ms; /* 200: news to two daemons, while any */
    uint32_t forget_ms;          /* 86400000: the dead are kept so long */
    uint32_t daemons_max;        /* 16384: records held; above, refused */
};

enum member_event_kind {
    MEMBER_EV_TICK,
    MEMBER_EV_MESSAGE,
    MEMBER_EV_JOINED, /* what a lead must know is known */
    MEMBER_EV_LEAVE,  /* a planned stop has begun */
    MEMBER_EV_LEFT,   /* the last word before the process ends */
    MEMBER_EVENT__MAX
};

struct member_event {
    enum member_event_kind kind;
    union {
        struct {
            uint32_t from_address;
            const struct member_message *message;
        } message;
    } u;
};

enum member_action_kind {
    MEMBER_ACT_SEND,    /* pack MESSAGE and send it to ADDRESS */
    MEMBER_ACT_CHANGED, /* read member_core_daemons() again */
    MEMBER_ACTION__MAX
};

struct member_action {
    enum member_action_kind kind;
    union {
        struct {
            uint32_t address;
            struct member_message message;
        } send;
    } u;
};

struct member_actions {
    struct member_action *items; /* freed by member_actions_clear() */
    size_t count, capacity;
};

struct member_counters {
    uint64_t probes, probes_indirect, probes_failed;
    uint64_t suspected, suspicions_confirmed, refuted, declared_dead;
    uint64_t syncs, foreign, refused_full, name_conflicts;
    uint64_t gauge_alive, gauge_suspect, gauge_dead, gauge_health;
};

struct member_core;

struct member_core *member_core_new(const struct member_options *);
void member_core_free(struct member_core *);
void member_core_step(struct member_core *, uint64_t now_us,
                      const struct member_event *, struct member_actions *);
void member_actions_clear(struct member_actions *);

/* All known daemons but those that left, sorted by id; self included. */
const struct daemon_view *member_core_daemons(const struct member_core *,
                                              size_t *count);
const char *member_core_name(const struct member_core *, struct daemon_id);
const char *member_core_zone_name(const struct member_core *, uint32_t zone);
const struct member_counters *member_core_counters(const struct member_core *);

#endif
