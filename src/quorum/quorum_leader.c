/* The leader: lease, replication to the followers, commits, proposals. */
#include "quorum/quorum_state.h"

static gint compare_descending(gconstpointer, gconstpointer);
static void handle_proposal(struct quorum_core *,
                            const struct quorum_proposal *);
static uint64_t majority_acked_sent_us(const struct quorum_core *,
                                       uint64_t now_us);
static enum quorum_refusal check_proposal(const struct quorum_core *,
                                          const struct quorum_proposal *);
static void refuse(struct quorum_core *, uint64_t, enum quorum_refusal);
static bool snapshot_is_shorter(const struct quorum_core *,
                                const struct quorum_peer *);
static void send_append(struct quorum_core *, struct quorum_peer *);

/* Compare two uint64_t for qsort(), the larger one first. */
static gint
compare_descending(gconstpointer a, gconstpointer b)
{
    uint64_t x = *(const uint64_t *)a;
    uint64_t y = *(const uint64_t *)b;

    return x > y ? -1 : x < y;
}

/*
 * Become the leader of the current term and append a no-op, so that entries
 * of earlier terms can be committed.
 */
void
quorum_become_leader(struct quorum_core *core)
{
    struct quorum_entry *entry;

    core->counters.elections_won++;
    core->role = QUORUM_LEADER;
    core->leader = core->options.self;
    core->role_dirty = true;
    core->leader_since_us = core->now_us;
    core->term_start_index = quorum_log_last_index(&core->log) + 1;
    for (size_t i = 0; i < core->peer_count; i++) {
        struct quorum_peer *peer = &core->peers[i];

        peer->match_index = 0;
        peer->next_index = core->term_start_index;
        peer->probing = true;
        peer->store = 0;
        peer->has_vote = false;
        peer->acked_sent_us = 0;
        peer->admit_at_index = 0;
        peer->caught_up_us = 0;
        peer->progress_us = core->now_us;
        quorum_stop_sending_snapshot(peer);
    }
    entry = quorum_entry_new(core->term_start_index, core->hard_state.term,
                             QUORUM_ENTRY_NOOP);
    quorum_leader_append(core, entry);
    quorum_entry_unref(entry);
    quorum_leader_replicate_all(core, true);
}

/* Append ENTRY to the local log and to the records to store. */
void
quorum_leader_append(struct quorum_core *core, struct quorum_entry *entry)
{
    quorum_log_append(&core->log, entry);
    quorum_store_entry(core, entry);
}

/*
 * Return when the latest message was sent that a majority has acknowledged,
 * in microseconds; 0 if there is none.  The leader itself counts with NOW_US.
 */
static uint64_t
majority_acked_sent_us(const struct quorum_core *core, uint64_t now_us)
{
    uint64_t acked_sent_us[QUORUM_VOTERS_MAX] = {now_us};

    for (size_t i = 0; i < core->peer_count; i++) {
        acked_sent_us[i + 1] = core->peers[i].acked_sent_us;
    }
    qsort(acked_sent_us, core->options.voter_count, sizeof(acked_sent_us[0]),
          compare_descending);
    return acked_sent_us[quorum_majority(core) - 1];
}

/*
 * Return true while this leader has a lease: no other leader can have been
 * elected before the lease ends.
 */
bool
quorum_leader_has_lease(const struct quorum_core *core, uint64_t now_us)
{
    return now_us < majority_acked_sent_us(core, now_us) + core->lease_us &&
           majority_acked_sent_us(core, now_us) != 0;
}

/*
 * Become a follower if no majority has answered for an election timeout;
 * otherwise send heartbeats when they are due.
 */
void
quorum_leader_tick(struct quorum_core *core)
{
    uint64_t contact_us = majority_acked_sent_us(core, core->now_us);

    contact_us = MAX(contact_us, core->leader_since_us);
    if (core->now_us - contact_us > core->options.election_timeout_us) {
        core->counters.lease_lost++;
        quorum_become_follower(core, core->hard_state.term,
                               (struct daemon_id){0});
        return;
    }
    if (core->now_us >= core->heartbeat_due_us) {
        quorum_leader_replicate_all(core, true);
    }
}

/*
 * Send each follower the entries that it lacks.  With HEARTBEAT, also send a
 * message if there are none.
 */
void
quorum_leader_replicate_all(struct quorum_core *core, bool heartbeat)
{
    if (heartbeat) {
        core->heartbeat_due_us = core->now_us + core->options.heartbeat_us;
    }
    for (size_t i = 0; i < core->peer_count; i++) {
        quorum_leader_replicate(core, &core->peers[i], heartbeat);
    }
}

/*
 * Return true if the entries that PEER lacks up to the latest snapshot have
 * more bytes than the snapshot, as with an empty store after many changes of
 * large tables.
 */
static bool
snapshot_is_shorter(const struct quorum_core *core,
                    const struct quorum_peer *peer)
{
    size_t size, bytes = 0;

    if (core->snapshot == NULL || peer->next_index <= core->log.base) {
        return false;
    }
    size = g_bytes_get_size(core->snapshot->data);
    for (uint64_t at = peer->next_index;
         at <= core->snapshot->index && bytes <= size; at++) {
        const struct quorum_entry *entry = quorum_log_at(&core->log, at);

        bytes += entry->command == NULL ? 0 : g_bytes_get_size(entry->command);
    }
    return bytes > size;
}

/*
 * Send PEER the entries that it lacks, or a piece of a snapshot if that is
 * shorter or the log does not hold them any more.  A HEARTBEAT sends entries
 * again that were not acknowledged for a heartbeat interval, because messages
 * may be lost.
 */
void
quorum_leader_replicate(struct quorum_core *core, struct quorum_peer *peer,
                        bool heartbeat)
{
    bool has_unsent = peer->next_index <= quorum_log_last_index(&core->log);

    if (heartbeat && !peer->probing &&
        peer->match_index + 1 < peer->next_index &&
        core->now_us - peer->progress_us >= core->options.heartbeat_us) {
        peer->next_index = peer->match_index + 1;
    }
    if (peer->next_index - 1 < core->log.base ||
        peer->sending_snapshot != NULL || snapshot_is_shorter(core, peer)) {
        if (heartbeat || peer->sending_snapshot == NULL) {
            quorum_send_snapshot_piece(core, peer);
        }
        return;
    }
    if (heartbeat || (has_unsent && !peer->probing)) {
        send_append(core, peer);
    }
}

/*
 * Send PEER an append message with the next entries, as many as it takes to
 * reach append_bytes.
 */
static void
send_append(struct quorum_core *core, struct quorum_peer *peer)
{
    struct quorum_message message =
        quorum_make_message(core, QUORUM_MSG_APPEND);
    uint64_t last = quorum_log_last_index(&core->log);
    size_t bytes = 0;

    message.round = core->now_us;
    message.index = peer->next_index - 1;
    quorum_log_term(&core->log, message.index, &message.index_term);
    message.commit_index = core->commit_index;
    message.entries = quorum_entries_new();
    for (uint64_t at = peer->next_index;
         at <= last && bytes < core->options.append_bytes; at++) {
        struct quorum_entry *entry = quorum_log_at(&core->log, at);

        if (entry->command != NULL) {
            bytes += g_bytes_get_size(entry->command);
        }
        g_ptr_array_add(message.entries, quorum_entry_ref(entry));
    }
    if (!peer->probing && message.entries->len > 0) {
        if (peer->next_index == peer->match_index + 1) {
            peer->progress_us = core->now_us;
        }
        peer->next_index += message.entries->len;
    }
    quorum_send_now(core, peer->id, &message);
}

/*
 * Note the store, the vote and the last contact of PEER from any answer.  If
 * the store is a different one, replication to PEER starts again.
 */
void
quorum_leader_note_answer(struct quorum_core *core, struct quorum_peer *peer,
                          const struct quorum_message *message)
{
    if (peer->store != message->store) {
        peer->store = message->store;
        peer->match_index = 0;
        peer->probing = true;
        peer->admit_at_index = 0;
        peer->caught_up_us = 0;
        quorum_stop_sending_snapshot(peer);
    }
    peer->has_vote = quorum_sender_may_vote(core, message);
    if (peer->has_vote && message->round <= core->now_us) {
        peer->acked_sent_us = MAX(peer->acked_sent_us, message->round);
    }
}

/* Note that PEER has stored the log up to index MATCH. */
void
quorum_leader_note_match(struct quorum_core *core, struct quorum_peer *peer,
                         uint64_t match)
{
    peer->probing = false;
    if (match > peer->match_index) {
        peer->match_index = match;
        peer->progress_us = core->now_us;
        quorum_leader_advance_commit(core);
    }
    peer->next_index = MAX(peer->next_index, peer->match_index + 1);
}

/*
 * Handle PEER's answer to an append message.  If PEER's log differs, continue
 * from the index that it names.
 */
void
quorum_on_append_answer(struct quorum_core *core, struct quorum_peer *peer,
                        const struct quorum_message *message)
{
    if (message->index > quorum_log_last_index(&core->log)) {
        core->counters.invalid_messages++;
        return;
    }
    if (message->granted) {
        quorum_leader_note_match(core, peer, message->index);
    }
    else if (message->index + 1 > peer->match_index) {
        core->counters.append_rejects++;
        peer->probing = true;
        peer->next_index = MIN(peer->next_index, message->index + 1);
        quorum_leader_replicate(core, peer, true);
        return;
    }
    quorum_leader_replicate(core, peer, false);
}

/*
 * Advance the commit index to the last entry that a majority has stored,
 * provided that it is of the current term.  Entries of earlier terms are
 * committed only together with one of the current term.  Copies at peers
 * without a vote do not count.
 */
void
quorum_leader_advance_commit(struct quorum_core *core)
{
    uint64_t match_index[QUORUM_VOTERS_MAX] = {core->stored_index};
    uint64_t index;
    uint64_t term = 0;

    for (size_t i = 0; i < core->peer_count; i++) {
        const struct quorum_peer *peer = &core->peers[i];

        match_index[i + 1] = peer->has_vote ? peer->match_index : 0;
    }
    qsort(match_index, core->options.voter_count, sizeof(match_index[0]),
          compare_descending);
    index = match_index[quorum_majority(core) - 1];
    if (index <= core->commit_index) {
        return;
    }
    quorum_log_term(&core->log, index, &term);
    if (term == core->hard_state.term) {
        quorum_commit_to(core, index);
    }
}

/* Add an action that refuses the proposal REQUEST. */
static void
refuse(struct quorum_core *core, uint64_t request, enum quorum_refusal reason)
{
    struct quorum_action *action = quorum_add_action(core, QUORUM_ACT_REFUSE);

    core->counters.refused++;
    action->u.refuse.request = request;
    action->u.refuse.reason = reason;
    action->u.refuse.leader = core->leader;
}

/* Refuse all uncommitted local proposals with an unknown outcome. */
void
quorum_leader_refuse_uncommitted(struct quorum_core *core)
{
    uint64_t last = quorum_log_last_index(&core->log);

    for (uint64_t index = core->commit_index + 1; index <= last; index++) {
        struct quorum_entry *entry = quorum_log_at(&core->log, index);

        if (entry->request != 0) {
            refuse(core, entry->request, QUORUM_OUTCOME_UNKNOWN);
            entry->request = 0;
        }
    }
}

/* Return why PROPOSAL is refused, or QUORUM_REFUSAL__MAX if it is accepted. */
static enum quorum_refusal
check_proposal(const struct quorum_core *core,
               const struct quorum_proposal *proposal)
{
    if (core->role != QUORUM_LEADER) {
        return QUORUM_NOT_LEADER;
    }
    if (!quorum_core_read_ok(core, core->now_us)) {
        return QUORUM_NO_QUORUM;
    }
    if (core->space_low) {
        return QUORUM_NO_SPACE;
    }
    if (g_bytes_get_size(proposal->command) > QUORUM_COMMAND_MAX) {
        return QUORUM_TOO_LARGE;
    }
    if (quorum_log_last_index(&core->log) - core->commit_index >=
        core->options.uncommitted_max) {
        return QUORUM_BUSY;
    }
    return QUORUM_REFUSAL__MAX;
}

/* Append PROPOSAL to the log, or refuse it. */
static void
handle_proposal(struct quorum_core *core,
                const struct quorum_proposal *proposal)
{
    enum quorum_refusal reason = check_proposal(core, proposal);
    struct quorum_entry *entry;

    if (reason != QUORUM_REFUSAL__MAX) {
        refuse(core, proposal->request, reason);
        return;
    }
    core->counters.proposals++;
    entry = quorum_entry_new(quorum_log_last_index(&core->log) + 1,
                             core->hard_state.term, QUORUM_ENTRY_COMMAND);
    entry->command = g_bytes_ref(proposal->command);
    entry->request = proposal->request;
    quorum_leader_append(core, entry);
    quorum_entry_unref(entry);
}

/* Accept or refuse each proposal of a batch, and replicate the new entries. */
void
quorum_on_propose(struct quorum_core *core,
                  const struct quorum_proposal *items, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        handle_proposal(core, &items[i]);
    }
    if (core->role == QUORUM_LEADER) {
        quorum_leader_replicate_all(core, false);
    }
}
