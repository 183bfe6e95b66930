/* The part of the log kept in memory. */
#include "quorum/quorum_log.h"

/* Make LOG an empty log that starts at index 1. */
void
quorum_log_init(struct quorum_log *log)
{
    log->base = 0;
    log->base_term = 0;
    log->entries = quorum_entries_new();
}

/* Release the entries of LOG. */
void
quorum_log_clear(struct quorum_log *log)
{
    g_ptr_array_unref(log->entries);
    log->entries = NULL;
}

/* Return the index of the last entry; 0 if there never was one. */
uint64_t
quorum_log_last_index(const struct quorum_log *log)
{
    return log->base + log->entries->len;
}

/* Return the term of the last entry; 0 if there never was one. */
uint64_t
quorum_log_last_term(const struct quorum_log *log)
{
    uint64_t term = 0;

    quorum_log_term(log, quorum_log_last_index(log), &term);
    return term;
}

/*
 * Set TERM to the term of the entry at INDEX.  Return false if that term is
 * not known: INDEX is below the base or after the last entry.
 */
bool
quorum_log_term(const struct quorum_log *log, uint64_t index, uint64_t *term)
{
    if (index == log->base) {
        *term = log->base_term;
        return true;
    }
    if (index < log->base || index > quorum_log_last_index(log)) {
        return false;
    }
    *term = quorum_log_at(log, index)->term;
    return true;
}

/* Return the entry at INDEX, which LOG must hold.  LOG keeps the reference. */
struct quorum_entry *
quorum_log_at(const struct quorum_log *log, uint64_t index)
{
    return log->entries->pdata[index - log->base - 1];
}

/* Append a new reference to ENTRY, whose index must be the next one. */
void
quorum_log_append(struct quorum_log *log, struct quorum_entry *entry)
{
    g_ptr_array_add(log->entries, quorum_entry_ref(entry));
}

/* Remove the entries from index FROM on. */
void
quorum_log_truncate(struct quorum_log *log, uint64_t from)
{
    g_ptr_array_set_size(log->entries, (gint)(from - log->base - 1));
}

/* Remove the entries up to and including index TO, which LOG must hold. */
void
quorum_log_compact(struct quorum_log *log, uint64_t to)
{
    if (to <= log->base) {
        return;
    }
    quorum_log_term(log, to, &log->base_term);
    g_ptr_array_remove_range(log->entries, 0, (guint)(to - log->base));
    log->base = to;
}

/* Remove all entries; the next one follows index BASE of term BASE_TERM. */
void
quorum_log_reset(struct quorum_log *log, uint64_t base, uint64_t base_term)
{
    g_ptr_array_set_size(log->entries, 0);
    log->base = base;
    log->base_term = base_term;
}
