/*
 * A voter of the replicated log: Raft with pre-vote, leader lease, snapshots
 * sent in pieces, and admission of voters whose store was lost.  See
 * docs/design/quorum.md.
 *
 * Each step takes one event and returns actions for the caller to execute.
 * Messages that depend on a STORE action are returned only after
 * QUORUM_EV_STORED was passed in with the action's token.
 */
#ifndef PS_QUORUM_QUORUM_CORE_H
#define PS_QUORUM_QUORUM_CORE_H

#include "quorum/quorum.h"

struct quorum_core;

enum quorum_role {
    QUORUM_FOLLOWER,
    QUORUM_PRE_CANDIDATE,
    QUORUM_CANDIDATE,
    QUORUM_LEADER,
    QUORUM_ROLE__MAX
};

enum quorum_event_kind {
    QUORUM_EV_TICK,
    QUORUM_EV_MESSAGE,
    QUORUM_EV_PROPOSE,    /* a batch: one write, one message per follower */
    QUORUM_EV_STORED,     /* tokens must come in the order of their actions */
    QUORUM_EV_SNAPSHOT,   /* the snapshot that TAKE_SNAPSHOT requested */
    QUORUM_EV_RESIGN,     /* the daemon is about to stop */
    QUORUM_EV_DISK_SPACE, /* low space in the data folder began or ended */
    QUORUM_EV__MAX
};

struct quorum_proposal {
    uint64_t request; /* number chosen by the caller, not 0 */
    GBytes *command;  /* borrowed */
};

struct quorum_event {
    enum quorum_event_kind kind;
    union {
        const struct quorum_message *message; /* borrowed */
        struct {
            const struct quorum_proposal *items;
            size_t count;
        } propose;
        struct {
            uint64_t token;
            bool ok; /* if false, no record of the action counts as stored */
        } stored;
        struct {
            uint64_t index;
            GBytes *data; /* borrowed */
        } snapshot;
        bool space_low;
    } u;
};

enum quorum_refusal {
    QUORUM_NOT_LEADER, /* send the request to the leader, if one is named */
    QUORUM_NO_QUORUM,  /* this leader has lost its lease, or has none yet */
    QUORUM_BUSY,       /* too many uncommitted entries */
    QUORUM_NO_SPACE,   /* the data folder is full */
    QUORUM_TOO_LARGE,  /* larger than QUORUM_COMMAND_MAX */
    /* May still be committed; resend with the same edit id. */
    QUORUM_OUTCOME_UNKNOWN,
    QUORUM_REFUSAL__MAX
};

enum quorum_action_kind {
    QUORUM_ACT_STORE,
    QUORUM_ACT_SEND,
    QUORUM_ACT_APPLY, /* in index order; each index once per core */
    /* Take a snapshot of the applied state; the last action of its step. */
    QUORUM_ACT_TAKE_SNAPSHOT,
    QUORUM_ACT_INSTALL_SNAPSHOT, /* replace the state machine's state */
    QUORUM_ACT_ROLE,             /* role, term or leader has changed */
    QUORUM_ACT_REFUSE,
    QUORUM_ACT__MAX
};

struct quorum_action {
    enum quorum_action_kind kind;
    union {
        struct {
            uint64_t token;
            struct quorum_record *records;
            size_t count;
        } store;
        struct {
            struct daemon_id to;
            struct quorum_message message;
        } send;
        struct quorum_entry *apply; /* .request is 0 if proposed elsewhere */
        uint64_t take_snapshot;     /* index */
        struct quorum_snapshot *install;
        struct {
            enum quorum_role role;
            uint64_t term;
            struct daemon_id leader; /* 0 if unknown */
        } role;
        struct {
            uint64_t request;
            enum quorum_refusal reason;
            struct daemon_id leader; /* 0 if unknown */
        } refuse;
    } u;
};

/*
 * The actions of a step.  The caller owns the array, empties it with
 * quorum_actions_clear() and frees `items`.
 */
struct quorum_actions {
    struct quorum_action *items;
    size_t count;
    size_t capacity;
};

struct quorum_counters {
    uint64_t elections; /* started, pre-votes not counted */
    uint64_t pre_votes; /* started */
    uint64_t elections_won;
    uint64_t lease_lost;         /* leaderships ended by a lost majority */
    uint64_t proposals;          /* accepted */
    uint64_t refused;            /* proposals */
    uint64_t committed;          /* entries */
    uint64_t append_rejects;     /* answers: the preceding entry differs */
    uint64_t snapshots_taken;    /* of the local state machine, to be stored */
    uint64_t snapshots_sent;     /* completely, and acknowledged */
    uint64_t snapshots_received; /* completely, and installed */
    uint64_t snapshots_damaged;  /* received with a wrong checksum */
    uint64_t admissions;         /* applied QUORUM_ENTRY_ADMIT entries */
    uint64_t store_failures;
    /* Not from a voter, contradicting the log, or of too large a snapshot. */
    uint64_t invalid_messages;
};

struct quorum_core *quorum_core_new(const struct quorum_options *,
                                    const struct quorum_stored *,
                                    uint64_t now_us);
void quorum_core_free(struct quorum_core *);
void quorum_core_step(struct quorum_core *, uint64_t now_us,
                      const struct quorum_event *, struct quorum_actions *);
void quorum_actions_clear(struct quorum_actions *);

bool quorum_core_read_ok(const struct quorum_core *, uint64_t now_us);
bool quorum_core_failed(const struct quorum_core *);
bool quorum_core_has_vote(const struct quorum_core *);
uint64_t quorum_core_leader_lag_us(const struct quorum_core *,
                                   uint64_t now_us);
bool quorum_core_voter_in_contact(const struct quorum_core *, struct daemon_id,
                                  uint64_t within_us);
bool quorum_core_voter_acked(const struct quorum_core *, struct daemon_id,
                             uint64_t within_us);
enum quorum_role quorum_core_role(const struct quorum_core *);
struct daemon_id quorum_core_leader(const struct quorum_core *);
uint64_t quorum_core_term(const struct quorum_core *);
uint64_t quorum_core_commit_index(const struct quorum_core *);
uint64_t quorum_core_last_index(const struct quorum_core *);
const struct quorum_entry *quorum_core_entry(const struct quorum_core *,
                                             uint64_t index);
uint64_t quorum_core_lease_us(const struct quorum_core *);
const struct quorum_counters *quorum_core_counters(const struct quorum_core *);
const char *quorum_refusal_name(enum quorum_refusal);
const char *quorum_role_name(enum quorum_role);

#endif
