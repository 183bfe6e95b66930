/* Creation and release of entries, snapshots, records and messages. */
#include "quorum/quorum.h"

#include <string.h>

#include "base/hash.h"

static void clear_entry(gpointer);
static void clear_snapshot(gpointer);

/* Return a new entry without a command.  The caller owns one reference. */
struct quorum_entry *
quorum_entry_new(uint64_t index, uint64_t term, enum quorum_entry_kind kind)
{
    struct quorum_entry *entry = g_atomic_rc_box_new0(struct quorum_entry);

    entry->index = index;
    entry->term = term;
    entry->kind = kind;
    return entry;
}

/* Return ENTRY with one more reference, which the caller owns. */
struct quorum_entry *
quorum_entry_ref(struct quorum_entry *entry)
{
    return g_atomic_rc_box_acquire(entry);
}

/* Release the command of an entry whose last reference was dropped. */
static void
clear_entry(gpointer item)
{
    struct quorum_entry *entry = item;

    if (entry->command != NULL) {
        g_bytes_unref(entry->command);
    }
}

/* Drop a reference to ENTRY.  Usable as the free function of an array. */
void
quorum_entry_unref(void *entry)
{
    g_atomic_rc_box_release_full(entry, clear_entry);
}

/* Return a new array that owns a reference to each entry in it. */
GPtrArray *
quorum_entries_new(void)
{
    return g_ptr_array_new_with_free_func(quorum_entry_unref);
}

/*
 * Return a new snapshot, which holds a reference to DATA, with the checksum
 * of DATA.  The caller owns one reference.
 */
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

/* Return SNAPSHOT with one more reference, which the caller owns. */
struct quorum_snapshot *
quorum_snapshot_ref(struct quorum_snapshot *snapshot)
{
    return g_atomic_rc_box_acquire(snapshot);
}

/* Release the data of a snapshot whose last reference was dropped. */
static void
clear_snapshot(gpointer item)
{
    struct quorum_snapshot *snapshot = item;

    g_bytes_unref(snapshot->data);
}

/* Drop a reference to SNAPSHOT; NULL is allowed. */
void
quorum_snapshot_unref(struct quorum_snapshot *snapshot)
{
    if (snapshot != NULL) {
        g_atomic_rc_box_release_full(snapshot, clear_snapshot);
    }
}

/* Drop the reference that RECORD holds and set all of it to 0. */
void
quorum_record_clear(struct quorum_record *record)
{
    switch (record->kind) {
    case QUORUM_RECORD_HARD_STATE:
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

/* Drop the references that MESSAGE holds and set all of it to 0. */
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

/* Initialize STORED to the state of an empty store. */
void
quorum_stored_init(struct quorum_stored *stored)
{
    memset(stored, 0, sizeof(*stored));
    stored->entries = quorum_entries_new();
}

/* Drop the references that STORED holds and set all of it to 0. */
void
quorum_stored_clear(struct quorum_stored *stored)
{
    quorum_snapshot_unref(stored->snapshot);
    if (stored->entries != NULL) {
        g_ptr_array_unref(stored->entries);
    }
    memset(stored, 0, sizeof(*stored));
}

/*
 * Apply RECORD to STORED.  Records are applied in the order in which they
 * were written.
 */
void
quorum_stored_apply(struct quorum_stored *stored,
                    const struct quorum_record *record)
{
    GPtrArray *entries = stored->entries;
    struct quorum_entry *entry = record->u.entry;

    switch (record->kind) {
    case QUORUM_RECORD_HARD_STATE:
        stored->hard_state = record->u.hard_state;
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
        quorum_stored_drop_covered(stored, record->u.snapshot->index,
                                   record->u.snapshot->term);
        break;
    case QUORUM_RECORD__MAX:
        break;
    }
}

/*
 * Remove the entries that a snapshot at INDEX and TERM covers.  If the entry
 * at INDEX is missing or of another term, remove all entries, unless they
 * start after INDEX.
 */
void
quorum_stored_drop_covered(struct quorum_stored *stored, uint64_t index,
                           uint64_t term)
{
    GPtrArray *entries = stored->entries;
    const struct quorum_entry *first;
    const struct quorum_entry *last_covered;
    uint64_t covered_count;

    if (entries->len == 0) {
        return;
    }
    first = entries->pdata[0];
    if (first->index > index) {
        return;
    }
    covered_count = index - first->index + 1;
    if (covered_count > entries->len) {
        g_ptr_array_set_size(entries, 0);
        return;
    }
    last_covered = entries->pdata[covered_count - 1];
    if (last_covered->term != term) {
        g_ptr_array_set_size(entries, 0);
        return;
    }
    g_ptr_array_remove_range(entries, 0, (guint)covered_count);
}
