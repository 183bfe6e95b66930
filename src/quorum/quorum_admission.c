/*
 * Admission of voters with an empty store.  If no initial voter ever had a
 * term, the cluster is new and each of them has its vote.  Otherwise the store
 * was lost or is new to the cluster, and its voter gets the vote by an entry
 * of the log.  See docs/design/quorum.md.
 */
#include <string.h>

#include "quorum/quorum_state.h"

static bool is_initial_voter(const struct quorum_core *, struct daemon_id);
static bool is_admission_in_log(const struct quorum_core *,
                                const struct quorum_peer *);
static bool has_no_term(const struct quorum_core *);
static bool majority_without_peer_acked(const struct quorum_core *,
                                        const struct quorum_peer *);
static void set_admitted_store(struct quorum_core *, struct daemon_id,
                               uint64_t);

/* Return true if ID is one of the voters that may form a new cluster. */
static bool
is_initial_voter(const struct quorum_core *core, struct daemon_id id)
{
    for (size_t i = 0; i < core->options.initial_voter_count; i++) {
        if (core->options.voters[i].value == id.value) {
            return true;
        }
    }
    return false;
}

/* Return true if this store never had a term. */
static bool
has_no_term(const struct quorum_core *core)
{
    return core->hard_state.term == 0 &&
           quorum_log_last_index(&core->log) == 0;
}

/*
 * If this voter has an empty store and may form a new cluster, ask the other
 * initial voters at each heartbeat interval whether the cluster is new.
 */
void
quorum_hello_tick(struct quorum_core *core)
{
    struct quorum_message message;

    if (core->hard_state.has_vote || !has_no_term(core) ||
        core->options.no_bootstrap || core->now_us < core->hello_due_us) {
        return;
    }
    core->hello_due_us = core->now_us + core->options.heartbeat_us;
    message = quorum_make_message(core, QUORUM_MSG_HELLO);
    message.round = core->hard_state.store;
    for (size_t i = 0; i < core->peer_count; i++) {
        if (is_initial_voter(core, core->peers[i].id)) {
            quorum_send_after_store(core, core->peers[i].id, &message);
        }
    }
}

/* Answer whether this store ever had a term. */
void
quorum_on_hello(struct quorum_core *core, const struct quorum_message *message)
{
    struct quorum_message answer =
        quorum_make_message(core, QUORUM_MSG_HELLO_ANSWER);

    answer.round = message->round;
    answer.granted = has_no_term(core);
    quorum_send_after_store(core, message->from, &answer);
}

/*
 * Handle PEER's answer to a hello.  This voter gets its vote once every other
 * initial voter has answered, since this store was created, that it never had
 * a term.  Then no store that this voter may have lost before can have given a
 * vote or acknowledged an entry.
 */
void
quorum_on_hello_answer(struct quorum_core *core, struct quorum_peer *peer,
                       const struct quorum_message *message)
{
    if (core->hard_state.has_vote || !has_no_term(core) ||
        core->options.no_bootstrap ||
        message->round != core->hard_state.store) {
        return;
    }
    peer->had_no_term = message->granted;
    for (size_t i = 0; i < core->peer_count; i++) {
        if (!core->peers[i].had_no_term &&
            is_initial_voter(core, core->peers[i].id)) {
            return;
        }
    }
    core->hard_state.has_vote = true;
    core->hard_state_dirty = true;
}

/*
 * Return the id of the store that the log, including uncommitted entries, last
 * admitted for VOTER; 0 for its first store.  Any other store of VOTER has no
 * vote any more.  It may still run, if its daemon was replaced while it was
 * unreachable.
 */
uint64_t
quorum_admitted_store(const struct quorum_core *core, struct daemon_id voter)
{
    for (uint64_t index = quorum_log_last_index(&core->log);
         index > core->commit_index; index--) {
        const struct quorum_entry *entry = quorum_log_at(&core->log, index);

        if (entry->kind == QUORUM_ENTRY_ADMIT &&
            entry->voter.value == voter.value) {
            return entry->store;
        }
    }
    for (size_t i = 0; i < core->options.voter_count; i++) {
        if (core->admitted[i].voter.value == voter.value) {
            return core->admitted[i].store;
        }
    }
    return 0;
}

/*
 * Return true if this voter may vote and campaign.  A voter that was replaced
 * while it was unreachable may have received, in a leader's entries, the
 * admission of the store that replaced its own.  If it still voted, its vote
 * would count in addition to the vote of the new store.
 */
bool
quorum_self_may_vote(const struct quorum_core *core)
{
    uint64_t store = quorum_admitted_store(core, core->options.self);

    return core->hard_state.has_vote &&
           (store == 0 || store == core->hard_state.store);
}

/*
 * Return true if the sender of MESSAGE has a vote according to the message,
 * and the log has admitted no other store for it.
 */
bool
quorum_sender_may_vote(const struct quorum_core *core,
                       const struct quorum_message *message)
{
    uint64_t store = quorum_admitted_store(core, message->from);

    return message->has_vote && (store == 0 || store == message->store);
}

/* Return true if an entry admitting PEER's store is in the log or applied. */
static bool
is_admission_in_log(const struct quorum_core *core,
                    const struct quorum_peer *peer)
{
    uint64_t last = quorum_log_last_index(&core->log);

    for (size_t i = 0; i < core->options.voter_count; i++) {
        if (core->admitted[i].voter.value == peer->id.value &&
            core->admitted[i].store == peer->store) {
            return true;
        }
    }
    for (uint64_t index = core->commit_index + 1; index <= last; index++) {
        const struct quorum_entry *entry = quorum_log_at(&core->log, index);

        if (entry->kind == QUORUM_ENTRY_ADMIT &&
            entry->voter.value == peer->id.value &&
            entry->store == peer->store) {
            return true;
        }
    }
    return false;
}

/*
 * Return true if voters other than PEER, which form a majority of all voters,
 * have acknowledged a message sent after PEER had caught up.  A voter whose
 * log holds the entry that admits PEER accepts no vote of PEER's previous
 * store any more.  If the entry could then not be committed, that vote would
 * be missing.
 */
static bool
majority_without_peer_acked(const struct quorum_core *core,
                            const struct quorum_peer *peer)
{
    size_t count = 1; /* this leader */

    for (size_t i = 0; i < core->peer_count; i++) {
        const struct quorum_peer *other = &core->peers[i];

        count += other != peer && other->has_vote &&
                         other->acked_sent_us >= peer->caught_up_us
                     ? 1
                     : 0;
    }
    return count >= quorum_majority(core);
}

/*
 * Append an entry that admits PEER, if PEER has no vote and has stored all
 * entries that were committed when it first answered this leader.  The other
 * voters alone commit this entry, because PEER's copies do not count yet.
 */
void
quorum_admit_if_ready(struct quorum_core *core, struct quorum_peer *peer)
{
    struct quorum_entry *entry;

    if (core->role != QUORUM_LEADER || peer->has_vote || peer->store == 0 ||
        !quorum_core_read_ok(core, core->now_us)) {
        return;
    }
    if (peer->admit_at_index == 0) {
        peer->admit_at_index = core->commit_index;
    }
    if (peer->match_index < peer->admit_at_index ||
        is_admission_in_log(core, peer)) {
        return;
    }
    if (peer->caught_up_us == 0) {
        peer->caught_up_us = core->now_us;
        quorum_leader_replicate_all(core, true);
    }
    if (!majority_without_peer_acked(core, peer)) {
        return;
    }
    entry = quorum_entry_new(quorum_log_last_index(&core->log) + 1,
                             core->hard_state.term, QUORUM_ENTRY_ADMIT);
    entry->voter = peer->id;
    entry->store = peer->store;
    quorum_leader_append(core, entry);
    quorum_entry_unref(entry);
    quorum_leader_replicate_all(core, false);
}

/*
 * Set the admitted store of VOTER.  If it is the store of this voter, this
 * voter gets its vote.
 */
static void
set_admitted_store(struct quorum_core *core, struct daemon_id voter,
                   uint64_t store)
{
    for (size_t i = 0; i < core->options.voter_count; i++) {
        if (core->admitted[i].voter.value == voter.value) {
            core->admitted[i].store = store;
        }
    }
    if (voter.value == core->options.self.value &&
        store == core->hard_state.store && !core->hard_state.has_vote) {
        core->hard_state.has_vote = true;
        core->hard_state_dirty = true;
    }
}

/* Apply ENTRY, which is committed and admits a voter. */
void
quorum_apply_admission(struct quorum_core *core,
                       const struct quorum_entry *entry)
{
    core->counters.admissions++;
    set_admitted_store(core, entry->voter, entry->store);
}

/* Set the admitted stores from SNAPSHOT, whose entries are committed. */
void
quorum_restore_admissions(struct quorum_core *core,
                          const struct quorum_snapshot *snapshot)
{
    for (size_t i = 0; i < snapshot->admitted_count; i++) {
        set_admitted_store(core, snapshot->admitted[i].voter,
                           snapshot->admitted[i].store);
    }
}
