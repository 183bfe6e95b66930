/* Entries, snapshots, records and messages: making, sharing, freeing. */
#include "quorum/quorum.h"

#include <string.h>

#include "base/hash.h"

static void clear_entry(gpointer);
static void clear_snapshot(gpointer);

/* An entry without a command; the caller owns one reference. */
struct quorum_entry *
quorum_entry_new(uint64_t index, uint64_t term, enum quorum_entry_kind kind)
{
    struct quorum_entry *entry = g_atomic_rc_box_new0(struct quorum_entry);

    entry->index = index;
    entry->term = term;
    entry->kind = kind;
    return entry;
}

struct quorum_entry *
quorum_entry_ref(struct quorum_entry *entry)
{
    return g_atomic_rc_box_acquire(entry);
}

static void
clear_entry(gpointer item)
{
    struct quorum_entry *entry = item;

    if (entry->command != NULL) {
        g_bytes_unref(entry->command);
    }
}

/* Drop a reference; usable as the free function of an array. */
void
quorum_entry_unref(void *entry)
{
    g_atomic_rc_box_release_full(entry, clear_entry);
}

/* An array that owns a reference to each entry in it. */
GPtrArray *
quorum_entries_new(void)
{
    return g_ptr_array_new_with_free_func(quorum_entry_unref);
}

/* A snapshot that shares DATA; the caller owns one reference. */
struct quorum_snapshot *
quorum_snapshot_new(uint64_t index, uint64_t term, GBytes *data)
{
    struct quorum_snapshot *snapshot =
        g_atomic_rc_box_new0(struct quorum_snapshot);
    gsize size;
    const void *bytes = g_bytes_get_data(data, &size);

    snapshot->index = index;
    snapshot->term = term;
    snapshot->data = g_bytes_ref(data);
    snapshot->checksum = hash_bytes(bytes, size, 0);
    return snapshot;
}

struct quorum_snapshot *
quorum_snapshot_ref(struct quorum_snapshot *snapshot)
{
    return g_atomic_rc_box_acquire(snapshot);
}

static void
clear_snapshot(gpointer item)
{
    struct quorum_snapshot *snapshot = item;

    g_bytes_unref(snapshot->data);
}

/* Drop a reference; NULL is allowed. */
void
quorum_snapshot_unref(struct quorum_snapshot *snapshot)
{
    if (snapshot != NULL) {
        g_atomic_rc_box_release_full(snapshot, clear_snapshot);
    }
}

/* Drop what RECORD refers to. */
void
quorum_record_clear(struct quorum_record *record)
{
    switch (record->kind) {
    case QUORUM_RECORD_HARD:
    case QUORUM_RECORD__MAX:
        break;
    case QUORUM_RECORD_ENTRY:
        quorum_entry_unref(record->u.entry);
        break;
    case QUORUM_RECORD_SNAPSHOT:
        quorum_snapshot_unref(record->u.snapshot);
        break;
    }
    memset(record, 0, sizeof(*record));
}

/* Drop what MESSAGE refers to. */
void
quorum_message_clear(struct quorum_message *message)
{
    if (message->entries != NULL) {
        g_ptr_array_unref(message->entries);
    }
    if (message->piece != NULL) {
        g_bytes_unref(message->piece);
    }
    memset(message, 0, sizeof(*message));
}

/* Make STORED an empty store. */
void
quorum_stored_init(struct quorum_stored *stored)
{
    memset(stored, 0, sizeof(*stored));
    stored->entries = quorum_entries_new();
}

/* Drop what STORED refers to. */
void
quorum_stored_clear(struct quorum_stored *stored)
{
    quorum_snapshot_unref(stored->snapshot);
    if (stored->entries != NULL) {
        g_ptr_array_unref(stored->entries);
    }
    memset(stored, 0, sizeof(*stored));
}

/* Take in RECORD, as read back in the order of writing. */
void
quorum_stored_take(struct quorum_stored *stored,
                   const struct quorum_record *record)
{
    GPtrArray *entries = stored->entries;
    struct quorum_entry *entry = record->u.entry;

    switch (record->kind) {
    case QUORUM_RECORD_HARD:
        stored->hard = record->u.hard;
        break;
    case QUORUM_RECORD_ENTRY:
        while (entries->len > 0) {
            const struct quorum_entry *last = entries->pdata[entries->len - 1];

            if (last->index + 1 == entry->index) {
                break;
            }
            g_ptr_array_remove_index(entries, entries->len - 1);
        }
        g_ptr_array_add(entries, quorum_entry_ref(entry));
        break;
    case QUORUM_RECORD_SNAPSHOT:
        quorum_snapshot_unref(stored->snapshot);
        stored->snapshot = quorum_snapshot_ref(record->u.snapshot);
        quorum_stored_settle(stored, record->u.snapshot->index,
                             record->u.snapshot->term);
        break;
    case QUORUM_RECORD__MAX:
        break;
    }
}

/*
 * Leave out the entries that a snapshot at INDEX and TERM covers, and all of
 * them if they do not go on from it.
 */
void
quorum_stored_settle(struct quorum_stored *stored, uint64_t index,
                     uint64_t term)
{
    GPtrArray *entries = stored->entries;
    const struct quorum_entry *first;
    const struct quorum_entry *at;
    uint64_t covered;

    if (entries->len == 0) {
        return;
    }
    first = entries->pdata[0];
    if (first->index > index) {
        return;
    }
    covered = index - first->index + 1;
    if (covered > entries->len) {
        g_ptr_array_set_size(entries, 0);
        return;
    }
    at = entries->pdata[covered - 1];
    if (at->term != term) {
        g_ptr_array_set_size(entries, 0);
        return;
    }
    g_ptr_array_remove_range(entries, 0, (guint)covered);
}
