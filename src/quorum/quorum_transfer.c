/* Snapshots: asked of the state machine, sent and received in pieces. */
#include <string.h>

#include "base/hash.h"
#include "quorum/quorum_state.h"

static bool begin_incoming(struct quorum_core *,
                           const struct quorum_message *);
static void drop_incoming(struct quorum_core *);
static bool finish_incoming(struct quorum_core *,
                            const struct quorum_message *);
static void install(struct quorum_core *, struct quorum_snapshot *);
static uint64_t take_piece(struct quorum_core *,
                           const struct quorum_message *);

/* Have the step end with a snapshot if enough has been applied. */
void
quorum_snapshot_due(struct quorum_core *core)
{
    uint64_t last = core->snapshot != NULL ? core->snapshot->index : 0;

    if (core->taking == 0 &&
        core->applied - last >= core->options.snapshot_entries) {
        core->take_now = true;
    }
}

/*
 * The step is over: name the index that the state machine has reached by now,
 * for which it is asked.  Returns that index.
 */
uint64_t
quorum_snapshot_begin(struct quorum_core *core)
{
    core->take_now = false;
    core->taking = core->applied;
    quorum_log_term(&core->log, core->applied, &core->taking_term);
    memcpy(core->taking_admitted, core->admitted, sizeof(core->admitted));
    return core->taking;
}

/* The state machine's snapshot at INDEX: store it and shorten the log. */
void
quorum_on_snapshot_taken(struct quorum_core *core, uint64_t index,
                         GBytes *data)
{
    struct quorum_snapshot *snapshot;
    uint64_t trailing = core->options.trailing_entries;

    if (core->failed || core->taking != index || index == 0) {
        return;
    }
    core->taking = 0;
    snapshot = quorum_snapshot_new(index, core->taking_term, data);
    snapshot->admitted_count = core->options.voter_count;
    memcpy(snapshot->admitted, core->taking_admitted,
           sizeof(snapshot->admitted));
    quorum_record_snapshot(core, snapshot);
    quorum_snapshot_unref(core->snapshot);
    core->snapshot = snapshot;
    core->counters.snapshots_taken++;
    if (index > trailing) {
        quorum_log_compact(&core->log, index - trailing);
    }
}

/* Send PEER no further piece. */
void
quorum_stop_sending(struct quorum_peer *peer)
{
    quorum_snapshot_unref(peer->sending);
    peer->sending = NULL;
}

/* Send PEER the piece that it wants next of the latest snapshot. */
void
quorum_send_piece(struct quorum_core *core, struct quorum_peer *peer)
{
    struct quorum_message message =
        quorum_message_of(core, QUORUM_MSG_SNAPSHOT);
    struct quorum_snapshot *snapshot;
    uint64_t left;

    if (peer->sending == NULL) {
        peer->sending = quorum_snapshot_ref(core->snapshot);
        peer->offset = 0;
    }
    snapshot = peer->sending;
    message.round = core->now_us;
    message.index = snapshot->index;
    message.index_term = snapshot->term;
    message.size = g_bytes_get_size(snapshot->data);
    message.checksum = snapshot->checksum;
    message.offset = peer->offset;
    message.admitted_count = snapshot->admitted_count;
    memcpy(message.admitted, snapshot->admitted, sizeof(message.admitted));
    left = message.size - message.offset;
    message.piece = g_bytes_new_from_bytes(
        snapshot->data, message.offset, MIN(left, core->options.piece_bytes));
    quorum_send_free(core, peer->id, &message);
}

/* Go on with the piece that PEER wants, or with the log behind it. */
void
quorum_on_snapshot_answer(struct quorum_core *core, struct quorum_peer *peer,
                          const struct quorum_message *message)
{
    const struct quorum_snapshot *snapshot = peer->sending;

    if (snapshot == NULL || message->index != snapshot->index ||
        message->offset > g_bytes_get_size(snapshot->data)) {
        return;
    }
    if (message->granted) {
        core->counters.snapshots_sent++;
        quorum_stop_sending(peer);
        peer->next = message->index + 1;
        quorum_leader_acked(core, peer, message->index);
        quorum_leader_feed(core, peer, false);
        return;
    }
    if (message->offset != peer->offset || message->offset == 0) {
        peer->offset = message->offset;
        quorum_send_piece(core, peer);
    }
}

static void
drop_incoming(struct quorum_core *core)
{
    if (core->incoming.data != NULL) {
        g_byte_array_unref(core->incoming.data);
    }
    memset(&core->incoming, 0, sizeof(core->incoming));
}

/* Make ready for the message's snapshot, unless it is on its way already. */
static bool
begin_incoming(struct quorum_core *core, const struct quorum_message *message)
{
    struct quorum_incoming *incoming = &core->incoming;

    if (incoming->data != NULL && incoming->index == message->index &&
        incoming->term == message->index_term &&
        incoming->checksum == message->checksum &&
        incoming->size == message->size) {
        return true;
    }
    drop_incoming(core);
    if (message->size > QUORUM_SNAPSHOT_MAX) {
        core->counters.stray_messages++;
        return false;
    }
    incoming->index = message->index;
    incoming->term = message->index_term;
    incoming->checksum = message->checksum;
    incoming->size = message->size;
    incoming->data = g_byte_array_new();
    return true;
}

/* Append the piece if it is the next one; returns the offset wanted next. */
static uint64_t
take_piece(struct quorum_core *core, const struct quorum_message *message)
{
    GByteArray *data = core->incoming.data;
    gsize len;
    const uint8_t *bytes = g_bytes_get_data(message->piece, &len);

    if (message->offset == data->len && len <= message->size - data->len) {
        g_byte_array_append(data, bytes, (guint)len);
    }
    return data->len;
}

/* Replace the log up to the snapshot, or all if it does not go on from it. */
static void
install(struct quorum_core *core, struct quorum_snapshot *snapshot)
{
    uint64_t term;

    if (quorum_log_term(&core->log, snapshot->index, &term) &&
        term == snapshot->term) {
        quorum_log_compact(&core->log, snapshot->index);
    }
    else {
        quorum_truncate(core, core->log.base + 1);
        quorum_log_reset(&core->log, snapshot->index, snapshot->term);
    }
    core->stored = MAX(core->stored, snapshot->index);
    core->commit = snapshot->index;
    core->applied = snapshot->index;
    core->taking = 0;
    core->take_now = false;
    quorum_snapshot_unref(core->snapshot);
    core->snapshot = quorum_snapshot_ref(snapshot);
    quorum_admitted_snapshot(core, snapshot);
    quorum_record_snapshot(core, snapshot);
    quorum_act(core, QUORUM_ACT_INSTALL_SNAPSHOT)->u.install =
        quorum_snapshot_ref(snapshot);
    core->counters.snapshots_received++;
}

/* Check and install what has come in whole. */
static bool
finish_incoming(struct quorum_core *core, const struct quorum_message *message)
{
    struct quorum_snapshot *snapshot;
    GBytes *data = g_byte_array_free_to_bytes(core->incoming.data);
    bool whole;

    core->incoming.data = NULL;
    snapshot = quorum_snapshot_new(message->index, message->index_term, data);
    g_bytes_unref(data);
    whole = snapshot->checksum == message->checksum;
    if (whole) {
        snapshot->admitted_count = message->admitted_count;
        memcpy(snapshot->admitted, message->admitted,
               sizeof(snapshot->admitted));
        install(core, snapshot);
    }
    else {
        core->counters.snapshots_damaged++;
    }
    quorum_snapshot_unref(snapshot);
    drop_incoming(core);
    return whole;
}

/* Take a piece of a snapshot from the leader of a term. */
void
quorum_on_snapshot(struct quorum_core *core,
                   const struct quorum_message *message)
{
    struct quorum_message answer;

    if (message->term >= core->hard.term) {
        quorum_follow(core, message->term, message->from);
        core->heard_us = core->now_us;
        core->refuse_until_us =
            core->now_us + core->options.election_timeout_us;
    }
    answer = quorum_message_of(core, QUORUM_MSG_SNAPSHOT_ANSWER);
    answer.round = message->round;
    answer.index = message->index;
    if (message->term < core->hard.term) {
        quorum_send(core, message->from, &answer);
        return;
    }
    if (message->index <= core->commit) {
        drop_incoming(core);
        answer.granted = true;
    }
    else if (begin_incoming(core, message)) {
        answer.offset = take_piece(core, message);
        if (answer.offset == message->size) {
            answer.granted = finish_incoming(core, message);
            answer.offset = 0;
        }
    }
    answer.voter = core->hard.voter;
    quorum_send(core, message->from, &answer);
}
