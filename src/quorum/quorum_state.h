/* State and internal functions of struct quorum_core, private to src/quorum.
 */
#ifndef PS_QUORUM_QUORUM_STATE_H
#define PS_QUORUM_QUORUM_STATE_H

#include "quorum/quorum_core.h"
#include "quorum/quorum_log.h"

/* Another voter, as known here. */
struct quorum_peer {
    struct daemon_id id;
    bool had_no_term; /* used with an empty store: the peer never had a term */
    bool vote_granted; /* the peer gave its vote in the current round */
    uint64_t store;    /* the peer's store id in its last answer; 0: unknown */
    bool has_vote;     /* the peer has a vote according to its last answer */
    /* The members below are used by a leader. */
    uint64_t match_index; /* last index known to be in the peer's store */
    uint64_t next_index;  /* next index to send */
    bool probing; /* next_index is a guess; send one message at a time */
    /* When the latest message was sent that the peer has acknowledged. */
    uint64_t acked_sent_us;
    uint64_t progress_us; /* when match_index last grew, or sending began */
    /* The match_index that a peer without a vote must reach to be admitted. */
    uint64_t admit_at_index;
    uint64_t caught_up_us; /* when it reached that index; 0 if it did not */
    struct quorum_snapshot *sending_snapshot; /* NULL if none is being sent */
    uint64_t snapshot_offset;                 /* of the piece to send */
};

/* A snapshot that is being received. */
struct quorum_incoming_snapshot {
    uint64_t index;
    uint64_t term;
    uint64_t checksum;
    uint64_t size;
    GByteArray *data; /* received so far; NULL if no snapshot is received */
};

/* A message of the current step, or one that waits for a store action. */
struct quorum_outgoing {
    uint64_t token; /* of the store action that the message waits for */
    bool immediate; /* depends on no record of this step */
    struct daemon_id to;
    struct quorum_message message;
};

/* A store action whose completion was not reported yet. */
struct quorum_pending_store {
    uint64_t token;
    uint64_t last; /* last index of the log when the action was issued */
    uint64_t issued_us;
    struct quorum_hard_state hard_state; /* stored once it is complete */
};

struct quorum_core {
    struct quorum_options options;
    GRand *rand;
    uint64_t now_us;
    uint64_t lease_us;
    struct quorum_actions *out; /* actions of the current step */
    struct quorum_counters counters;

    struct quorum_hard_state hard_state;
    /* The last hard state that a store action contained. */
    struct quorum_hard_state written_hard_state;
    /* The last hard state that is known to be in the store. */
    struct quorum_hard_state stored_hard_state;
    bool hard_state_dirty; /* must be stored at the end of this step */
    struct quorum_log log;
    struct quorum_snapshot *snapshot; /* latest, or NULL */
    /* The first step installs the stored snapshot. */
    bool install_pending;
    /* The first step applies the entries known to be committed. */
    bool resume_pending;
    /* Stores admitted by the applied entries, one per voter. */
    struct quorum_admitted admitted[QUORUM_VOTERS_MAX];
    uint64_t commit_index;
    uint64_t applied_index;
    uint64_t stored_index; /* last index known to be in the local store */

    enum quorum_role role;
    struct daemon_id leader;
    bool role_dirty; /* role, term or leader changed since the last report */
    bool failed;     /* a store action failed */
    bool space_low;
    struct quorum_peer peers[QUORUM_VOTERS_MAX - 1];
    size_t peer_count;
    /* Gives no vote until then, because of its last contact with a leader, or
     * because it may have had one before it started. */
    uint64_t no_vote_until_us;
    uint64_t leader_contact_us; /* last contact with a leader; 0 if none yet */
    uint64_t election_due_us;
    uint64_t round; /* of the current vote request */
    /* Store action that holds the candidate's vote for itself. */
    uint64_t self_vote_token;
    bool self_vote_counts; /* pre-vote, or self_vote_token is stored */
    uint64_t heartbeat_due_us;
    uint64_t leader_since_us;
    uint64_t term_start_index; /* leader: index of its no-op entry */
    uint64_t hello_due_us;

    uint64_t applied_bytes; /* of commands, since the last snapshot */
    uint64_t taking_index;  /* of the requested snapshot; 0 if none */
    bool snapshot_due;      /* request a snapshot at the end of this step */
    uint64_t taking_term;
    struct quorum_admitted taking_admitted[QUORUM_VOTERS_MAX];
    struct quorum_incoming_snapshot incoming;

    uint64_t last_token;   /* of the latest store action */
    uint64_t stored_token; /* of the latest completed store action */
    /* That recent store actions took: a maximum that decays by half with each
     * action. */
    uint64_t store_time_us;
    GArray *records;        /* struct quorum_record of this step */
    GArray *pending_stores; /* struct quorum_pending_store, oldest first */
    GArray *outgoing;       /* struct quorum_outgoing of this step */
    GArray *waiting;        /* struct quorum_outgoing, by token */
};

/* quorum_output.c: actions, records and messages of a step */
struct quorum_action *quorum_add_action(struct quorum_core *,
                                        enum quorum_action_kind);
struct quorum_message quorum_make_message(const struct quorum_core *,
                                          enum quorum_message_kind);
void quorum_send_after_store(struct quorum_core *, struct daemon_id,
                             const struct quorum_message *);
void quorum_send_now(struct quorum_core *, struct daemon_id,
                     const struct quorum_message *);
void quorum_store_entry(struct quorum_core *, struct quorum_entry *);
void quorum_store_snapshot(struct quorum_core *, struct quorum_snapshot *);
void quorum_truncate_log(struct quorum_core *, uint64_t from);
void quorum_end_step(struct quorum_core *);
void quorum_on_token_stored(struct quorum_core *, uint64_t token);
void quorum_drop_messages(struct quorum_core *);

/* quorum_core.c */
struct quorum_peer *quorum_find_peer(struct quorum_core *, struct daemon_id);
size_t quorum_majority(const struct quorum_core *);
void quorum_become_follower(struct quorum_core *, uint64_t term,
                            struct daemon_id);
void quorum_commit_to(struct quorum_core *, uint64_t index);

/* quorum_election.c */
void quorum_election_reset(struct quorum_core *);
void quorum_election_tick(struct quorum_core *);
void quorum_election_on_stored(struct quorum_core *);
void quorum_on_vote_request(struct quorum_core *,
                            const struct quorum_message *);
void quorum_on_vote(struct quorum_core *, struct quorum_peer *,
                    const struct quorum_message *);
void quorum_campaign(struct quorum_core *, bool resigned);

/* quorum_resign.c: leadership transfer */
void quorum_resign(struct quorum_core *);
void quorum_on_resign(struct quorum_core *, const struct quorum_message *);

/* quorum_leader.c */
void quorum_become_leader(struct quorum_core *);
void quorum_leader_tick(struct quorum_core *);
void quorum_leader_advance_commit(struct quorum_core *);
void quorum_leader_append(struct quorum_core *, struct quorum_entry *);
void quorum_leader_note_answer(struct quorum_core *, struct quorum_peer *,
                               const struct quorum_message *);
void quorum_leader_replicate(struct quorum_core *, struct quorum_peer *,
                             bool heartbeat);
void quorum_leader_replicate_all(struct quorum_core *, bool heartbeat);
void quorum_leader_note_match(struct quorum_core *, struct quorum_peer *,
                              uint64_t match);
bool quorum_leader_has_lease(const struct quorum_core *, uint64_t now_us);
void quorum_leader_refuse_uncommitted(struct quorum_core *);
void quorum_on_propose(struct quorum_core *, const struct quorum_proposal *,
                       size_t);
void quorum_on_append_answer(struct quorum_core *, struct quorum_peer *,
                             const struct quorum_message *);

/* quorum_follower.c */
void quorum_on_append(struct quorum_core *, const struct quorum_message *);

/* quorum_snapshot.c: snapshots of the state machine, and their transfer */
void quorum_snapshot_check_due(struct quorum_core *);
uint64_t quorum_snapshot_begin(struct quorum_core *);
void quorum_on_snapshot_taken(struct quorum_core *, uint64_t index, GBytes *);
void quorum_stop_sending_snapshot(struct quorum_peer *);
void quorum_send_snapshot_piece(struct quorum_core *, struct quorum_peer *);
void quorum_on_snapshot(struct quorum_core *, const struct quorum_message *);
void quorum_on_snapshot_answer(struct quorum_core *, struct quorum_peer *,
                               const struct quorum_message *);

/* quorum_admission.c: voters with an empty store */
void quorum_hello_tick(struct quorum_core *);
uint64_t quorum_admitted_store(const struct quorum_core *, struct daemon_id);
bool quorum_self_may_vote(const struct quorum_core *);
bool quorum_sender_may_vote(const struct quorum_core *,
                            const struct quorum_message *);
void quorum_on_hello(struct quorum_core *, const struct quorum_message *);
void quorum_on_hello_answer(struct quorum_core *, struct quorum_peer *,
                            const struct quorum_message *);
void quorum_admit_if_ready(struct quorum_core *, struct quorum_peer *);
void quorum_apply_admission(struct quorum_core *, const struct quorum_entry *);
void quorum_restore_admissions(struct quorum_core *,
                               const struct quorum_snapshot *);

#endif
