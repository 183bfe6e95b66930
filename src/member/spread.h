/*
 * Spreading of table versions and of targets' announcements over the entry
 * daemons, as a pure core.  Messages travel over the framed connections
 * between daemons; any of them may be lost or doubled.
 */
#ifndef PS_MEMBER_SPREAD_H
#define PS_MEMBER_SPREAD_H

#include <glib.h>

#include "base/view.h"

#define SPREAD_LACKING_MAX 16  /* ids named in one report */
#define SPREAD_TARGETS_MAX 256 /* targets in one message */
#define SPREAD_BUCKETS     256 /* digests of the targets, by address */

/* The two steps of a version: on every live daemon, then in force. */
enum spread_phase {
    SPREAD_STAGE,
    SPREAD_FORCE,
    SPREAD_PHASE__MAX
};

/* The daemons of ZONE whose ids lie in FIRST to LAST, both included. */
struct spread_range {
    uint32_t zone;
    uint64_t first, last;
};

/* A version's bytes.  FROM is 0 for a snapshot, else a difference. */
struct spread_bytes {
    uint64_t from, to;
    const uint8_t *data;
    size_t len;
};

/* A target as its holder last announced it.  One address, one target. */
struct spread_target {
    struct pool_id pool;
    struct target_view view;
    uint32_t life_ms;        /* from one announcement to expiry */
    uint32_t stamp;          /* counts the changes of this address */
    struct daemon_id holder; /* times the announcements */
};

/* A target reduced to what tells which of two is newer. */
struct spread_stamp {
    uint32_t address, incarnation, stamp;
    struct daemon_id holder;
};

enum spread_message_kind {
    SPREAD_ORDER,      /* do PHASE for all of RANGE */
    SPREAD_REPORT,     /* how far RANGE has come */
    SPREAD_FETCH,      /* the sender has STAGED, send what follows */
    SPREAD_DIFFERENCE, /* bytes for one daemon that lagged behind */
    SPREAD_TARGETS,    /* targets that changed, for all of RANGE */
    SPREAD_REFRESH,    /* announcements seen of targets that you hold */
    SPREAD_DIGEST,     /* anti-entropy: versions and one digest */
    SPREAD_DIGESTS,    /* digests of the targets by bucket */
    SPREAD_STAMPS,     /* stamps of the targets in one bucket */
    SPREAD_MESSAGE__MAX
};

struct spread_message {
    enum spread_message_kind kind;
    uint64_t term;   /* of the control leader, as far as known */
    uint64_t staged; /* the sender's versions */
    uint64_t active;
    union {
        struct {
            enum spread_phase phase;
            struct spread_range range;
            struct spread_bytes bytes;
            uint32_t attempt;
        } order;
        struct {
            enum spread_phase phase;
            uint64_t version;
            struct spread_range range;
            uint32_t attempt;     /* of the order that this answers */
            uint32_t seq;         /* of the reports on that order */
            uint32_t done, known; /* daemons of the range */
            uint64_t done_digest; /* of their ids and incarnations */
            uint32_t lacking_count;
            struct daemon_id lacking[SPREAD_LACKING_MAX];
        } report;
        struct spread_bytes difference;
        struct {
            struct spread_range range;
            bool relay; /* pass on to the rest of the range */
            bool sync;  /* in answer to stamps */
            const struct spread_target *items;
            size_t count;
        } targets;
        struct {
            const uint32_t *addresses;
            size_t count;
        } refresh;
        struct {
            uint32_t count;
            uint64_t digest;
            bool echo;   /* send yours back, also if alike */
            bool synced; /* the sender was once alike with a peer */
        } digest;
        struct {
            uint32_t bits; /* two to BITS buckets */
            uint32_t digests[SPREAD_BUCKETS];
        } digests;
        struct {
            uint32_t bits, bucket;
            bool request; /* send what is newer than these items */
            const struct spread_stamp *items;
            size_t count;
        } stamps;
    } u;
};

struct spread_options {
    struct daemon_id self;
    const char *zone;
    bool entry;           /* counted in m, holds tables and targets */
    uint64_t version;     /* in force when last saved; 0 for none */
    uint64_t seed;        /* of the core's own random numbers */
    uint32_t fanout;      /* 16: children of a node of the tree */
    uint32_t jobs_max;    /* 64: versions under way at once */
    uint32_t targets_max; /* 131072: targets held; above, refused */
    /* In milliseconds; 0 takes the default. */
    uint32_t retry_ms;         /* 250: an order without a report */
    uint32_t batch_ms;         /* 100: changes of targets gathered */
    uint32_t sync_interval_ms; /* 2000: one peer is compared with */
    uint32_t refresh_ms;       /* 1000: refreshes gathered */
    uint32_t forget_ms;        /* 600000: expired targets are kept */
};

enum spread_event_kind {
    SPREAD_EV_TICK,
    SPREAD_EV_MESSAGE,
    SPREAD_EV_VIEW,       /* the daemons have changed */
    SPREAD_EV_LEAD,       /* this daemon leads the control daemons, or not */
    SPREAD_EV_COMMITTED,  /* on the leader: a version to be put in force */
    SPREAD_EV_DIFFERENCE, /* the answer to SPREAD_ACT_NEED */
    SPREAD_EV_ANNOUNCED,  /* a target announced itself here */
    SPREAD_EVENT__MAX
};

struct spread_event {
    enum spread_event_kind kind;
    union {
        struct {
            struct daemon_id from;
            const struct spread_message *message;
        } message;
        struct {
            const struct daemon_view *daemons; /* sorted by id; copied */
            size_t count;
        } view;
        struct {
            uint64_t term;
            bool leading;
        } lead;
        /*
         * Versions follow one another: FROM is the version committed before.
         * A new leader, which does not know what was staged, gives its last
         * committed version with FROM equal to TO and no bytes.
         */
        struct spread_bytes committed;
        struct {
            struct daemon_id to;
            struct spread_bytes bytes;
        } difference;
        struct {
            struct pool_id pool;
            struct target_view view;
            uint32_t life_ms;
        } announced;
    } u;
};

enum spread_action_kind {
    SPREAD_ACT_SEND,
    SPREAD_ACT_STAGE,    /* keep these bytes, not in force yet */
    SPREAD_ACT_ACTIVATE, /* put VERSION in force: all staged up to it */
    SPREAD_ACT_NEED,     /* answer with SPREAD_EV_DIFFERENCE, same TO */
    SPREAD_ACT_IN_FORCE, /* on the leader: all live daemons have staged it */
    SPREAD_ACT_TARGET,   /* a target changed, appeared, or is DOWN */
    SPREAD_ACT_REFUSED,  /* an announcement was not taken in */
    SPREAD_ACTION__MAX
};

/* Why an announcement was refused. */
enum spread_refusal {
    SPREAD_STALE_INCARNATION, /* a later start of the target is known */
    SPREAD_TOO_MANY,          /* targets_max are held */
    SPREAD_REFUSAL__MAX
};

struct spread_action {
    enum spread_action_kind kind;
    union {
        struct {
            struct daemon_id to;
            struct spread_message message; /* borrowed until the next step */
        } send;
        struct spread_bytes stage; /* data borrowed until the next step */
        uint64_t activate;
        struct {
            struct daemon_id to;
            uint64_t from, version; /* a difference, or else a snapshot */
        } need;
        uint64_t in_force;
        struct spread_target target;
        struct {
            struct target_key key;
            enum spread_refusal reason;
        } refused;
    } u;
};

struct spread_actions {
    struct spread_action *items; /* freed by spread_actions_clear() */
    size_t count, capacity;
};

/* How far a version has come, on the leader. */
struct spread_status {
    uint64_t version;
    enum spread_phase phase;
    uint32_t done, known; /* n of m live entry daemons */
    uint32_t lacking_count;
    struct daemon_id lacking[SPREAD_LACKING_MAX];
};

struct spread_counters {
    uint64_t orders, orders_again, reports, staged, activated;
    uint64_t refused_term, refused_version, fetched, served;
    uint64_t targets_changed, targets_expired, targets_taken_over;
    uint64_t refreshes, syncs, refused_announcements;
    uint64_t gauge_staged, gauge_active, gauge_targets;
};

struct spread_core;

struct spread_core *spread_core_new(const struct spread_options *);
void spread_core_free(struct spread_core *);
void spread_core_step(struct spread_core *, uint64_t now_us,
                      const struct spread_event *, struct spread_actions *);
void spread_actions_clear(struct spread_actions *);

uint64_t spread_core_staged(const struct spread_core *);
uint64_t spread_core_active(const struct spread_core *);
/*
 * Whether targets and version were once found to be those of a peer that was
 * synced itself; or set, where all daemons start at once or there is no peer.
 */
bool spread_core_synced(const struct spread_core *);
void spread_core_set_synced(struct spread_core *);
bool spread_core_caught_up(const struct spread_core *);
size_t spread_core_unreachable_zones(const struct spread_core *,
                                     uint32_t *zones, size_t max);
bool spread_core_status(const struct spread_core *, uint64_t version,
                        struct spread_status *);

/* The targets that may be used now: calls FUNC for each, in no order. */
void spread_core_targets(const struct spread_core *,
                         void (*func)(const struct spread_target *, void *),
                         void *data);
const struct spread_counters *spread_core_counters(const struct spread_core *);

#endif
