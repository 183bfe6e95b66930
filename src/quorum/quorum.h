/*
 * The replicated log's plain data: options, entries, snapshots, what is
 * stored and what voters send each other.  Terms are those of Raft (Ongaro,
 * "Consensus: Bridging Theory and Practice", 2014).
 */
#ifndef PS_QUORUM_QUORUM_H
#define PS_QUORUM_QUORUM_H

#include <glib.h>

#include "base/view.h"

#define QUORUM_VOTERS_MAX   5
#define QUORUM_SNAPSHOT_MAX (256U << 20) /* bytes */
#define QUORUM_COMMAND_MAX  (1U << 20)   /* bytes of one entry's command */

/* Members left 0 take the default.  Times are in microseconds. */
struct quorum_options {
    struct daemon_id self;
    struct daemon_id voters[QUORUM_VOTERS_MAX]; /* self among them */
    size_t voter_count;                         /* 1, 3 or 5 */
    size_t founder_count; /* the first voters, which form a new cluster; all */
    bool may_not_found;   /* an empty store is a lost one, never a new one */
    uint64_t seed;        /* another one at every start of a daemon */
    uint64_t election_timeout_us; /* a voter's shortest; default 1,000,000 */
    uint64_t heartbeat_us;        /* default 100,000 */
    uint32_t clock_drift_ppm;     /* most a clock is fast or slow; 10,000 */
    uint32_t snapshot_entries;    /* applied between snapshots; 8,192 */
    uint32_t trailing_entries;    /* kept for slow followers; 1,024 */
    uint32_t piece_bytes;         /* of a snapshot in a message; 65,536 */
    uint32_t append_bytes;        /* of entries in a message; 262,144 */
    uint32_t uncommitted_max;     /* entries; 4,096 */
};

enum quorum_entry_kind {
    QUORUM_ENTRY_NOOP,    /* a leader's first of its term */
    QUORUM_ENTRY_COMMAND, /* for the tables */
    QUORUM_ENTRY_ADMIT,   /* a voter with a new store votes from here on */
    QUORUM_ENTRY__MAX
};

/* An entry of the log; counted references, not changed but for `request`. */
struct quorum_entry {
    uint64_t index; /* counts from 1 */
    uint64_t term;
    enum quorum_entry_kind kind;
    GBytes *command;        /* QUORUM_ENTRY_COMMAND, else NULL */
    struct daemon_id voter; /* QUORUM_ENTRY_ADMIT */
    uint64_t store;         /* QUORUM_ENTRY_ADMIT: the voter's store id */
    uint64_t request;       /* of a proposal made here, else 0; not stored */
};

/* The store that each voter was last admitted with; 0 for its first one. */
struct quorum_admitted {
    struct daemon_id voter;
    uint64_t store;
};

/* The state machine at INDEX; counted references. */
struct quorum_snapshot {
    uint64_t index;
    uint64_t term;
    size_t admitted_count;
    struct quorum_admitted admitted[QUORUM_VOTERS_MAX];
    uint64_t checksum; /* XXH64 of data */
    GBytes *data;
};

/* What a voter must know before it answers anything. */
struct quorum_hard {
    uint64_t term;
    struct daemon_id vote; /* whom it voted for in term; 0 for none */
    uint64_t store;        /* id drawn when the store was empty; never 0 */
    bool voter; /* false from an empty store until it may vote again */
    /* Known to be committed and stored when this was written; may lag. */
    uint64_t commit;
};

enum quorum_record_kind {
    QUORUM_RECORD_HARD,
    QUORUM_RECORD_ENTRY,    /* replaces its index and all after it */
    QUORUM_RECORD_SNAPSHOT, /* replaces the log up to its index */
    QUORUM_RECORD__MAX
};

struct quorum_record {
    enum quorum_record_kind kind;
    union {
        struct quorum_hard hard;
        struct quorum_entry *entry;
        struct quorum_snapshot *snapshot;
    } u;
};

/*
 * What was found in the store.  The entries are contiguous and go on from the
 * snapshot, or from index 1 without one.
 */
struct quorum_stored {
    struct quorum_hard hard;          /* store 0 if the store was empty */
    struct quorum_snapshot *snapshot; /* NULL for none */
    GPtrArray *entries;               /* struct quorum_entry */
};

enum quorum_message_kind {
    QUORUM_MSG_HELLO,        /* from an empty store: have you had a term? */
    QUORUM_MSG_HELLO_ANSWER, /* answers round */
    QUORUM_MSG_VOTE_REQUEST,
    QUORUM_MSG_VOTE,
    QUORUM_MSG_APPEND,
    QUORUM_MSG_APPEND_ANSWER,
    QUORUM_MSG_SNAPSHOT, /* a piece */
    QUORUM_MSG_SNAPSHOT_ANSWER,
    QUORUM_MSG_RESIGN, /* of a leader: campaign at once */
    QUORUM_MSG__MAX
};

/* A message; members that a kind does not name are 0. */
struct quorum_message {
    enum quorum_message_kind kind;
    struct daemon_id from;
    uint64_t term;  /* of the sender, or asked for in a vote request */
    uint64_t round; /* echoed by the answer */
    bool pre;       /* VOTE_REQUEST, VOTE: of a pre-vote */
    /* VOTE, APPEND_ANSWER; HELLO_ANSWER: no term ever; VOTE_REQUEST: the
     * leader of the term before has resigned. */
    bool granted;
    bool voter;     /* answers: the sender has a vote */
    uint64_t store; /* answers: the sender's store id */
    /* VOTE_REQUEST: last of the log.  APPEND: what goes before entries.
     * APPEND_ANSWER: stored up to, or where to try next.  SNAPSHOT and its
     * answer: the snapshot's. */
    uint64_t index;
    uint64_t index_term;
    uint64_t commit;    /* APPEND */
    GPtrArray *entries; /* APPEND: struct quorum_entry; else NULL */
    /* SNAPSHOT; the answer's offset is the next wanted. */
    uint64_t offset;
    uint64_t size;
    uint64_t checksum;
    GBytes *piece;
    size_t admitted_count;
    struct quorum_admitted admitted[QUORUM_VOTERS_MAX];
};

struct quorum_entry *quorum_entry_new(uint64_t index, uint64_t term,
                                      enum quorum_entry_kind);
struct quorum_entry *quorum_entry_ref(struct quorum_entry *);
void quorum_entry_unref(void *);
GPtrArray *quorum_entries_new(void);

struct quorum_snapshot *quorum_snapshot_new(uint64_t index, uint64_t term,
                                            GBytes *);
struct quorum_snapshot *quorum_snapshot_ref(struct quorum_snapshot *);
void quorum_snapshot_unref(struct quorum_snapshot *);

void quorum_record_clear(struct quorum_record *);
void quorum_message_clear(struct quorum_message *);

void quorum_stored_init(struct quorum_stored *);
void quorum_stored_clear(struct quorum_stored *);
void quorum_stored_take(struct quorum_stored *, const struct quorum_record *);
void quorum_stored_settle(struct quorum_stored *, uint64_t index,
                          uint64_t term);

#endif
