/* Messages and records of the replicated log in protobuf encoding. */
#include "peer/quorum_wire.h"

#include <string.h>

#include "peer/quorum.pb-c.h"

static void admitted_to_pb(const struct quorum_admitted *, size_t,
                           Parsleyspur__QuorumAdmitted *,
                           Parsleyspur__QuorumAdmitted **);
static bool admitted_from_pb(Parsleyspur__QuorumAdmitted *const *, size_t,
                             struct quorum_admitted *);
static void entry_to_pb(const struct quorum_entry *,
                        Parsleyspur__QuorumEntry *);
static struct quorum_entry *entry_from_pb(const Parsleyspur__QuorumEntry *);
static void hard_state_from_pb(const Parsleyspur__QuorumHard *,
                               struct quorum_hard_state *);
static bool message_from_pb(const Parsleyspur__QuorumMessage *,
                            struct quorum_message *);
static void pack_message(const ProtobufCMessage *, GByteArray *);
static bool record_from_pb(const Parsleyspur__QuorumRecord *,
                           struct quorum_record *, uint64_t *);
static void scalars_to_pb(const struct quorum_message *,
                          Parsleyspur__QuorumMessage *);
static struct quorum_snapshot *
snapshot_from_pb(const Parsleyspur__QuorumSnapshot *);

/* Append the encoding of MESSAGE to OUT. */
static void
pack_message(const ProtobufCMessage *message, GByteArray *out)
{
    size_t len = protobuf_c_message_get_packed_size(message);
    guint start = out->len;

    g_byte_array_set_size(out, start + (guint)len);
    protobuf_c_message_pack(message, out->data + start);
}

/* Set PB from ENTRY.  PB refers to the command of ENTRY. */
static void
entry_to_pb(const struct quorum_entry *entry, Parsleyspur__QuorumEntry *pb)
{
    gsize len;

    parsleyspur__quorum_entry__init(pb);
    pb->index = entry->index;
    pb->term = entry->term;
    pb->kind = entry->kind;
    pb->voter = entry->voter.value;
    pb->store = entry->store;
    if (entry->command != NULL) {
        pb->command.data = (uint8_t *)g_bytes_get_data(entry->command, &len);
        pb->command.len = len;
    }
}

/*
 * Return a new entry made from PB, or NULL if its kind is unknown or its index
 * is 0.  The caller owns the reference.
 */
static struct quorum_entry *
entry_from_pb(const Parsleyspur__QuorumEntry *pb)
{
    struct quorum_entry *entry;

    if (pb->kind >= QUORUM_ENTRY__MAX || pb->index == 0) {
        return NULL;
    }
    entry = quorum_entry_new(pb->index, pb->term,
                             (enum quorum_entry_kind)pb->kind);
    entry->voter.value = pb->voter;
    entry->store = pb->store;
    if (entry->kind == QUORUM_ENTRY_COMMAND) {
        entry->command = g_bytes_new(pb->command.data, pb->command.len);
    }
    return entry;
}

/* Set PB, and LIST to pointers to its elements, from ADMITTED. */
static void
admitted_to_pb(const struct quorum_admitted *admitted, size_t count,
               Parsleyspur__QuorumAdmitted *pb,
               Parsleyspur__QuorumAdmitted **list)
{
    for (size_t i = 0; i < count; i++) {
        parsleyspur__quorum_admitted__init(&pb[i]);
        pb[i].voter = admitted[i].voter.value;
        pb[i].store = admitted[i].store;
        list[i] = &pb[i];
    }
}

/* Set ADMITTED from PB.  Return false if COUNT is too large. */
static bool
admitted_from_pb(Parsleyspur__QuorumAdmitted *const *pb, size_t count,
                 struct quorum_admitted *admitted)
{
    if (count > QUORUM_VOTERS_MAX) {
        return false;
    }
    for (size_t i = 0; i < count; i++) {
        admitted[i].voter.value = pb[i]->voter;
        admitted[i].store = pb[i]->store;
    }
    return true;
}

/*
 * Set all members of PB but the lists from MESSAGE.  PB refers to the piece of
 * MESSAGE.
 */
static void
scalars_to_pb(const struct quorum_message *message,
              Parsleyspur__QuorumMessage *pb)
{
    gsize len;

    pb->kind = message->kind;
    pb->from = message->from.value;
    pb->term = message->term;
    pb->round = message->round;
    pb->pre = message->pre_vote;
    pb->granted = message->granted;
    pb->voter = message->has_vote;
    pb->store = message->store;
    pb->index = message->index;
    pb->index_term = message->index_term;
    pb->commit = message->commit_index;
    pb->offset = message->offset;
    pb->size = message->size;
    pb->checksum = message->checksum;
    if (message->piece != NULL) {
        pb->piece.data = (uint8_t *)g_bytes_get_data(message->piece, &len);
        pb->piece.len = len;
    }
}

/* Append the encoding of MESSAGE to OUT. */
void
quorum_wire_pack(const struct quorum_message *message, GByteArray *out)
{
    Parsleyspur__QuorumMessage pb = PARSLEYSPUR__QUORUM_MESSAGE__INIT;
    Parsleyspur__QuorumAdmitted admitted[QUORUM_VOTERS_MAX];
    Parsleyspur__QuorumAdmitted *admitted_list[QUORUM_VOTERS_MAX];
    size_t count = message->entries != NULL ? message->entries->len : 0;
    Parsleyspur__QuorumEntry *entries = g_new(Parsleyspur__QuorumEntry, count);
    Parsleyspur__QuorumEntry **list = g_new(Parsleyspur__QuorumEntry *, count);

    scalars_to_pb(message, &pb);
    for (size_t i = 0; i < count; i++) {
        entry_to_pb(message->entries->pdata[i], &entries[i]);
        list[i] = &entries[i];
    }
    pb.n_entries = count;
    pb.entries = list;
    admitted_to_pb(message->admitted, message->admitted_count, admitted,
                   admitted_list);
    pb.n_admitted = message->admitted_count;
    pb.admitted = admitted_list;
    pack_message(&pb.base, out);
    g_free(list);
    g_free(entries);
}

/*
 * Set MESSAGE, which must be all 0, from PB.  Return false if PB is not valid;
 * the caller clears MESSAGE in any case.
 */
static bool
message_from_pb(const Parsleyspur__QuorumMessage *pb,
                struct quorum_message *message)
{
    if (pb->kind >= QUORUM_MSG__MAX) {
        return false;
    }
    message->kind = (enum quorum_message_kind)pb->kind;
    message->from.value = pb->from;
    message->term = pb->term;
    message->round = pb->round;
    message->pre_vote = pb->pre;
    message->granted = pb->granted;
    message->has_vote = pb->voter;
    message->store = pb->store;
    message->index = pb->index;
    message->index_term = pb->index_term;
    message->commit_index = pb->commit;
    message->offset = pb->offset;
    message->size = pb->size;
    message->checksum = pb->checksum;
    if (message->kind == QUORUM_MSG_SNAPSHOT) {
        message->piece = g_bytes_new(pb->piece.data, pb->piece.len);
    }
    message->admitted_count = pb->n_admitted;
    if (!admitted_from_pb(pb->admitted, pb->n_admitted, message->admitted)) {
        return false;
    }
    if (message->kind == QUORUM_MSG_APPEND) {
        message->entries = quorum_entries_new();
    }
    else if (pb->n_entries != 0) {
        return false;
    }
    for (size_t i = 0; i < pb->n_entries; i++) {
        struct quorum_entry *entry = entry_from_pb(pb->entries[i]);

        if (entry == NULL) {
            return false;
        }
        g_ptr_array_add(message->entries, entry);
    }
    return true;
}

/*
 * Set MESSAGE from its encoding, LEN bytes at DATA.  Return true if they are
 * valid; the caller then clears MESSAGE.  Otherwise return false and set
 * MESSAGE to 0.
 */
bool
quorum_wire_unpack(const uint8_t *data, size_t len,
                   struct quorum_message *message)
{
    Parsleyspur__QuorumMessage *pb;
    bool valid;

    memset(message, 0, sizeof(*message));
    pb = parsleyspur__quorum_message__unpack(NULL, len, data);
    if (pb == NULL) {
        return false;
    }
    valid = message_from_pb(pb, message);
    parsleyspur__quorum_message__free_unpacked(pb, NULL);
    if (!valid) {
        quorum_message_clear(message);
    }
    return valid;
}

/* Append the encoding of RECORD to OUT, without the data of a snapshot. */
void
quorum_wire_pack_record(const struct quorum_record *record, GByteArray *out)
{
    Parsleyspur__QuorumRecord pb = PARSLEYSPUR__QUORUM_RECORD__INIT;
    Parsleyspur__QuorumHard hard = PARSLEYSPUR__QUORUM_HARD__INIT;
    Parsleyspur__QuorumSnapshot snapshot = PARSLEYSPUR__QUORUM_SNAPSHOT__INIT;
    Parsleyspur__QuorumEntry entry;
    Parsleyspur__QuorumAdmitted admitted[QUORUM_VOTERS_MAX];
    Parsleyspur__QuorumAdmitted *admitted_list[QUORUM_VOTERS_MAX];

    switch (record->kind) {
    case QUORUM_RECORD_HARD_STATE:
        hard.term = record->u.hard_state.term;
        hard.vote = record->u.hard_state.vote.value;
        hard.store = record->u.hard_state.store;
        hard.voter = record->u.hard_state.has_vote;
        hard.commit = record->u.hard_state.commit_index;
        pb.hard = &hard;
        break;
    case QUORUM_RECORD_ENTRY:
        entry_to_pb(record->u.entry, &entry);
        pb.entry = &entry;
        break;
    case QUORUM_RECORD_SNAPSHOT:
        snapshot.index = record->u.snapshot->index;
        snapshot.term = record->u.snapshot->term;
        snapshot.checksum = record->u.snapshot->checksum;
        snapshot.size = g_bytes_get_size(record->u.snapshot->data);
        snapshot.n_admitted = record->u.snapshot->admitted_count;
        snapshot.admitted = admitted_list;
        admitted_to_pb(record->u.snapshot->admitted, snapshot.n_admitted,
                       admitted, admitted_list);
        pb.snapshot = &snapshot;
        break;
    case QUORUM_RECORD__MAX:
        return;
    }
    pack_message(&pb.base, out);
}

/* Set HARD_STATE from PB. */
static void
hard_state_from_pb(const Parsleyspur__QuorumHard *pb,
                   struct quorum_hard_state *hard_state)
{
    hard_state->term = pb->term;
    hard_state->vote.value = pb->vote;
    hard_state->store = pb->store;
    hard_state->has_vote = pb->voter;
    hard_state->commit_index = pb->commit;
}

/*
 * Return a new snapshot made from PB, with the checksum from PB but without
 * data.  Return NULL if PB is not valid.  The caller owns the reference.
 */
static struct quorum_snapshot *
snapshot_from_pb(const Parsleyspur__QuorumSnapshot *pb)
{
    GBytes *no_data = g_bytes_new_static("", 0);
    struct quorum_snapshot *snapshot =
        quorum_snapshot_new(pb->index, pb->term, no_data);

    g_bytes_unref(no_data);
    snapshot->checksum = pb->checksum;
    snapshot->admitted_count = pb->n_admitted;
    if (!admitted_from_pb(pb->admitted, pb->n_admitted, snapshot->admitted)) {
        quorum_snapshot_unref(snapshot);
        return NULL;
    }
    return snapshot;
}

/*
 * Set RECORD from PB, and SIZE to the size of a snapshot's data.  Return false
 * if PB does not hold exactly one valid record.
 */
static bool
record_from_pb(const Parsleyspur__QuorumRecord *pb,
               struct quorum_record *record, uint64_t *size)
{
    int members =
        (pb->hard != NULL) + (pb->entry != NULL) + (pb->snapshot != NULL);

    if (members != 1) {
        return false;
    }
    if (pb->hard != NULL) {
        record->kind = QUORUM_RECORD_HARD_STATE;
        hard_state_from_pb(pb->hard, &record->u.hard_state);
        return true;
    }
    if (pb->entry != NULL) {
        record->kind = QUORUM_RECORD_ENTRY;
        record->u.entry = entry_from_pb(pb->entry);
        return record->u.entry != NULL;
    }
    record->kind = QUORUM_RECORD_SNAPSHOT;
    record->u.snapshot = snapshot_from_pb(pb->snapshot);
    *size = pb->snapshot->size;
    return record->u.snapshot != NULL;
}

/*
 * Set RECORD from its encoding, LEN bytes at DATA.  Return true if they are
 * valid; the caller then clears RECORD.  SIZE is set to the size of a
 * snapshot's data, which the encoding does not contain, otherwise to 0.
 */
bool
quorum_wire_unpack_record(const uint8_t *data, size_t len,
                          struct quorum_record *record, uint64_t *size)
{
    Parsleyspur__QuorumRecord *pb;
    bool valid;

    memset(record, 0, sizeof(*record));
    *size = 0;
    pb = parsleyspur__quorum_record__unpack(NULL, len, data);
    if (pb == NULL) {
        return false;
    }
    valid = record_from_pb(pb, record, size);
    parsleyspur__quorum_record__free_unpacked(pb, NULL);
    return valid;
}
