/*
 * Snapshots: requested from the state machine, and sent to other voters in
 * pieces.
 */
#include <string.h>

#include "base/hash.h"
#include "quorum/quorum_state.h"

static bool begin_incoming(struct quorum_core *,
                           const struct quorum_message *);
static void drop_incoming(struct quorum_core *);
static bool install_incoming(struct quorum_core *,
                             const struct quorum_message *);
static void install_snapshot(struct quorum_core *, struct quorum_snapshot *);
static uint64_t append_piece(struct quorum_core *,
                             const struct quorum_message *);

/*
 * Request a snapshot at the end of this step if enough entries, or bytes of
 * them, were applied since the last one.
 */
void
quorum_snapshot_check_due(struct quorum_core *core)
{
    uint64_t last_snapshot =
        core->snapshot != NULL ? core->snapshot->index : 0;

    if (core->taking_index == 0 && core->applied_index > last_snapshot &&
        (core->applied_index - last_snapshot >=
             core->options.snapshot_entries ||
         core->applied_bytes >= core->options.snapshot_bytes)) {
        core->snapshot_due = true;
    }
}

/*
 * Begin a snapshot of the state machine at the end of a step, when the index
 * that it has reached is final.  Return that index.
 */
uint64_t
quorum_snapshot_begin(struct quorum_core *core)
{
    core->snapshot_due = false;
    core->applied_bytes = 0;
    core->taking_index = core->applied_index;
    quorum_log_term(&core->log, core->applied_index, &core->taking_term);
    memcpy(core->taking_admitted, core->admitted, sizeof(core->admitted));
    return core->taking_index;
}

/*
 * Store the state machine's snapshot DATA at INDEX and compact the log, except
 * for the trailing entries.
 */
void
quorum_on_snapshot_taken(struct quorum_core *core, uint64_t index,
                         GBytes *data)
{
    struct quorum_snapshot *snapshot;
    uint64_t trailing = core->options.trailing_entries;

    if (core->failed || core->taking_index != index || index == 0) {
        return;
    }
    core->taking_index = 0;
    snapshot = quorum_snapshot_new(index, core->taking_term, data);
    snapshot->admitted_count = core->options.voter_count;
    memcpy(snapshot->admitted, core->taking_admitted,
           sizeof(snapshot->admitted));
    quorum_store_snapshot(core, snapshot);
    quorum_snapshot_unref(core->snapshot);
    core->snapshot = snapshot;
    core->counters.snapshots_taken++;
    if (index > trailing) {
        quorum_log_compact(&core->log, index - trailing);
    }
}

/* Stop sending the current snapshot to PEER. */
void
quorum_stop_sending_snapshot(struct quorum_peer *peer)
{
    quorum_snapshot_unref(peer->sending_snapshot);
    peer->sending_snapshot = NULL;
}

/*
 * Send PEER the next piece of the snapshot that is being sent to it; if there
 * is none, begin with the latest one.
 */
void
quorum_send_snapshot_piece(struct quorum_core *core, struct quorum_peer *peer)
{
    struct quorum_message message =
        quorum_make_message(core, QUORUM_MSG_SNAPSHOT);
    struct quorum_snapshot *snapshot;
    uint64_t remaining;

    if (peer->sending_snapshot == NULL) {
        peer->sending_snapshot = quorum_snapshot_ref(core->snapshot);
        peer->snapshot_offset = 0;
    }
    snapshot = peer->sending_snapshot;
    message.round = core->now_us;
    message.index = snapshot->index;
    message.index_term = snapshot->term;
    message.size = g_bytes_get_size(snapshot->data);
    message.checksum = snapshot->checksum;
    message.offset = peer->snapshot_offset;
    message.admitted_count = snapshot->admitted_count;
    memcpy(message.admitted, snapshot->admitted, sizeof(message.admitted));
    remaining = message.size - message.offset;
    message.piece =
        g_bytes_new_from_bytes(snapshot->data, message.offset,
                               MIN(remaining, core->options.piece_bytes));
    quorum_send_now(core, peer->id, &message);
}

/*
 * Handle PEER's answer to a piece: send the piece that it requests, or, once
 * it has the snapshot, the entries after it.
 */
void
quorum_on_snapshot_answer(struct quorum_core *core, struct quorum_peer *peer,
                          const struct quorum_message *message)
{
    const struct quorum_snapshot *snapshot = peer->sending_snapshot;

    if (snapshot == NULL || message->index != snapshot->index ||
        message->offset > g_bytes_get_size(snapshot->data)) {
        return;
    }
    if (message->granted) {
        core->counters.snapshots_sent++;
        quorum_stop_sending_snapshot(peer);
        peer->next_index = message->index + 1;
        quorum_leader_note_match(core, peer, message->index);
        quorum_leader_replicate(core, peer, false);
        return;
    }
    if (message->offset != peer->snapshot_offset || message->offset == 0) {
        peer->snapshot_offset = message->offset;
        quorum_send_snapshot_piece(core, peer);
    }
}

/* Release the snapshot that is being received, if any. */
static void
drop_incoming(struct quorum_core *core)
{
    if (core->incoming.data != NULL) {
        g_byte_array_unref(core->incoming.data);
    }
    memset(&core->incoming, 0, sizeof(core->incoming));
}

/*
 * Begin to receive the snapshot of MESSAGE, unless this has begun already.
 * Return false if the snapshot is too large.
 */
static bool
begin_incoming(struct quorum_core *core, const struct quorum_message *message)
{
    struct quorum_incoming_snapshot *incoming = &core->incoming;

    if (incoming->data != NULL && incoming->index == message->index &&
        incoming->term == message->index_term &&
        incoming->checksum == message->checksum &&
        incoming->size == message->size) {
        return true;
    }
    drop_incoming(core);
    if (message->size > QUORUM_SNAPSHOT_MAX) {
        core->counters.invalid_messages++;
        return false;
    }
    incoming->index = message->index;
    incoming->term = message->index_term;
    incoming->checksum = message->checksum;
    incoming->size = message->size;
    incoming->data = g_byte_array_new();
    return true;
}

/* Append the piece if it is the next one.  Return the next offset to send. */
static uint64_t
append_piece(struct quorum_core *core, const struct quorum_message *message)
{
    GByteArray *data = core->incoming.data;
    gsize len;
    const uint8_t *bytes = g_bytes_get_data(message->piece, &len);

    if (message->offset == data->len && len <= message->size - data->len) {
        g_byte_array_append(data, bytes, (guint)len);
    }
    return data->len;
}

/*
 * Install SNAPSHOT and remove the entries that it covers.  If the log does not
 * hold the snapshot's last entry, remove all entries.
 */
static void
install_snapshot(struct quorum_core *core, struct quorum_snapshot *snapshot)
{
    uint64_t term;

    if (quorum_log_term(&core->log, snapshot->index, &term) &&
        term == snapshot->term) {
        quorum_log_compact(&core->log, snapshot->index);
    }
    else {
        quorum_truncate_log(core, core->log.base + 1);
        quorum_log_reset(&core->log, snapshot->index, snapshot->term);
    }
    core->stored_index = MAX(core->stored_index, snapshot->index);
    core->commit_index = snapshot->index;
    core->applied_index = snapshot->index;
    core->taking_index = 0;
    core->snapshot_due = false;
    quorum_snapshot_unref(core->snapshot);
    core->snapshot = quorum_snapshot_ref(snapshot);
    quorum_restore_admissions(core, snapshot);
    quorum_store_snapshot(core, snapshot);
    quorum_add_action(core, QUORUM_ACT_INSTALL_SNAPSHOT)->u.install =
        quorum_snapshot_ref(snapshot);
    core->counters.snapshots_received++;
}

/*
 * Check the completely received snapshot and install it.  Return false if its
 * checksum is wrong; it is dropped then and will be sent again.
 */
static bool
install_incoming(struct quorum_core *core,
                 const struct quorum_message *message)
{
    struct quorum_snapshot *snapshot;
    GBytes *data = g_byte_array_free_to_bytes(core->incoming.data);
    bool intact;

    core->incoming.data = NULL;
    snapshot = quorum_snapshot_new(message->index, message->index_term, data);
    g_bytes_unref(data);
    intact = snapshot->checksum == message->checksum;
    if (intact) {
        snapshot->admitted_count = message->admitted_count;
        memcpy(snapshot->admitted, message->admitted,
               sizeof(snapshot->admitted));
        install_snapshot(core, snapshot);
    }
    else {
        core->counters.snapshots_damaged++;
    }
    quorum_snapshot_unref(snapshot);
    drop_incoming(core);
    return intact;
}

/* Handle a piece of a snapshot from a leader and answer it. */
void
quorum_on_snapshot(struct quorum_core *core,
                   const struct quorum_message *message)
{
    struct quorum_message answer;

    if (message->term >= core->hard_state.term) {
        quorum_become_follower(core, message->term, message->from);
        core->leader_contact_us = core->now_us;
        core->no_vote_until_us =
            core->now_us + core->options.election_timeout_us;
    }
    answer = quorum_make_message(core, QUORUM_MSG_SNAPSHOT_ANSWER);
    answer.round = message->round;
    answer.index = message->index;
    if (message->term < core->hard_state.term) {
        quorum_send_after_store(core, message->from, &answer);
        return;
    }
    if (message->index <= core->commit_index) {
        drop_incoming(core);
        answer.granted = true;
    }
    else if (begin_incoming(core, message)) {
        answer.offset = append_piece(core, message);
        if (answer.offset == message->size) {
            answer.granted = install_incoming(core, message);
            answer.offset = 0;
        }
    }
    answer.has_vote = core->hard_state.has_vote;
    quorum_send_after_store(core, message->from, &answer);
}
