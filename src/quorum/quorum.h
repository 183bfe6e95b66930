/*
 * Data types of the replicated log: options, entries, snapshots, stored
 * records, and the messages between voters.  The terms are those of Raft
 * (Ongaro, "Consensus: Bridging Theory and Practice", 2014).
 */
#ifndef PS_QUORUM_QUORUM_H
#define PS_QUORUM_QUORUM_H

#include <glib.h>

#include "base/view.h"

#define QUORUM_VOTERS_MAX   5
#define QUORUM_SNAPSHOT_MAX (256U << 20) /* bytes */
#define QUORUM_COMMAND_MAX  (1U << 20)   /* bytes of one entry's command */

/* Options of a voter.  A member that is 0 takes its default. */
struct quorum_options {
    struct daemon_id self;
    struct daemon_id voters[QUORUM_VOTERS_MAX]; /* including self */
    size_t voter_count;                         /* 1, 3 or 5 */
    /* The first so many of `voters` may form a new cluster; default all. */
    size_t initial_voter_count;
    /* An empty store means that the store was lost, not that the cluster is
     * new. */
    bool no_bootstrap;
    uint64_t seed; /* differs at each start of a daemon */
    /* A voter waits between one and two of these; default 1,000,000. */
    uint64_t election_timeout_us;
    uint64_t heartbeat_us; /* default 100,000 */
    /* The most by which a clock runs fast or slow; default 10,000. */
    uint32_t clock_drift_ppm;
    uint32_t snapshot_entries; /* applied between snapshots; default 8,192 */
    /* Bytes of commands applied between snapshots; default 64 MiB. */
    uint32_t snapshot_bytes;
    uint32_t trailing_entries; /* kept for slow followers; default 1,024 */
    uint32_t piece_bytes;      /* of a snapshot per message; default 65,536 */
    uint32_t append_bytes;     /* of entries per message; default 262,144 */
    uint32_t uncommitted_max;  /* entries; default 4,096 */
};

enum quorum_entry_kind {
    QUORUM_ENTRY_NOOP,    /* the first entry of a leader's term */
    QUORUM_ENTRY_COMMAND, /* a command for the state machine */
    QUORUM_ENTRY_ADMIT,   /* gives the vote to a voter with a new store */
    QUORUM_ENTRY__MAX
};

/* A reference-counted log entry.  Only `request` changes after creation. */
struct quorum_entry {
    uint64_t index; /* starts at 1 */
    uint64_t term;
    enum quorum_entry_kind kind;
    GBytes *command;        /* QUORUM_ENTRY_COMMAND, else NULL */
    struct daemon_id voter; /* QUORUM_ENTRY_ADMIT */
    uint64_t store;         /* QUORUM_ENTRY_ADMIT: the voter's store id */
    /* Request number of the local proposal, otherwise 0; not stored. */
    uint64_t request;
};

/* The store with which a voter was last admitted; 0 for its first one. */
struct quorum_admitted {
    struct daemon_id voter;
    uint64_t store;
};

/* The state machine's state after the entry at `index`; reference-counted. */
struct quorum_snapshot {
    uint64_t index;
    uint64_t term;
    size_t admitted_count;
    struct quorum_admitted admitted[QUORUM_VOTERS_MAX];
    uint64_t checksum; /* XXH64 of data */
    GBytes *data;
};

/* Raft's persistent state, which must be stored before a voter answers. */
struct quorum_hard_state {
    uint64_t term;
    struct daemon_id vote; /* candidate voted for in this term; 0 if none */
    uint64_t store; /* random id chosen when the store was empty; never 0 */
    /* False after a start with an empty store, until the voter is admitted or
     * the cluster proves to be new. */
    bool has_vote;
    /* Last index known to be committed and stored when this was written; the
     * actual commit index may be higher. */
    uint64_t commit_index;
};

enum quorum_record_kind {
    QUORUM_RECORD_HARD_STATE,
    QUORUM_RECORD_ENTRY,    /* replaces the entry at its index and all later */
    QUORUM_RECORD_SNAPSHOT, /* replaces the log up to its index */
    QUORUM_RECORD__MAX
};

struct quorum_record {
    enum quorum_record_kind kind;
    union {
        struct quorum_hard_state hard_state;
        struct quorum_entry *entry;
        struct quorum_snapshot *snapshot;
    } u;
};

/*
 * State read back from the store.  The entries are contiguous and start after
 * the snapshot, or at index 1 if there is no snapshot.
 */
struct quorum_stored {
    struct quorum_hard_state hard_state; /* .store is 0 for an empty store */
    struct quorum_snapshot *snapshot;    /* NULL if there is none */
    GPtrArray *entries;                  /* struct quorum_entry */
};

enum quorum_message_kind {
    QUORUM_MSG_HELLO, /* asks, from an empty store, for any known term */
    QUORUM_MSG_HELLO_ANSWER,
    QUORUM_MSG_VOTE_REQUEST,
    QUORUM_MSG_VOTE,
    QUORUM_MSG_APPEND,
    QUORUM_MSG_APPEND_ANSWER,
    QUORUM_MSG_SNAPSHOT, /* one piece of a snapshot */
    QUORUM_MSG_SNAPSHOT_ANSWER,
    QUORUM_MSG_RESIGN, /* the leader resigns; the receiver campaigns at once */
    QUORUM_MSG__MAX
};

/* A message between voters.  Members that do not belong to its kind are 0. */
struct quorum_message {
    enum quorum_message_kind kind;
    struct daemon_id from;
    uint64_t term;  /* the sender's, or the term a vote is requested for */
    uint64_t round; /* request id or timestamp, echoed by the answer */
    bool pre_vote;  /* VOTE_REQUEST, VOTE */
    /* VOTE: the vote is given.  APPEND_ANSWER: the entries match the log and
     * are stored.  SNAPSHOT_ANSWER: the snapshot is not needed any more, or
     * is installed.  HELLO_ANSWER: the sender's store never had a term.
     * VOTE_REQUEST: the leader of the previous term has resigned. */
    bool granted;
    bool has_vote;  /* answers: the sender has a vote */
    uint64_t store; /* answers: the sender's store id */
    /* VOTE_REQUEST: last index of the log.  APPEND: index before the entries.
     * APPEND_ANSWER: last index stored, or where the leader is to try next.
     * SNAPSHOT, SNAPSHOT_ANSWER: index of the snapshot. */
    uint64_t index;
    uint64_t index_term;
    uint64_t commit_index; /* APPEND */
    GPtrArray *entries;    /* APPEND: struct quorum_entry; otherwise NULL */
    /* SNAPSHOT: of this piece.  SNAPSHOT_ANSWER: of the piece to send next. */
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
void quorum_stored_apply(struct quorum_stored *, const struct quorum_record *);
void quorum_stored_drop_covered(struct quorum_stored *, uint64_t index,
                                uint64_t term);

#endif
