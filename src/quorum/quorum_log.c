/* The log in memory. */
#include "quorum/quorum_log.h"

void
quorum_log_init(struct quorum_log *log)
{
    log->base = 0;
    log->base_term = 0;
    log->entries = quorum_entries_new();
}

void
quorum_log_clear(struct quorum_log *log)
{
    g_ptr_array_unref(log->entries);
    log->entries = NULL;
}

/* Index of the last entry; 0 if there never was one. */
uint64_t
quorum_log_last(const struct quorum_log *log)
{
    return log->base + log->entries->len;
}

uint64_t
quorum_log_last_term(const struct quorum_log *log)
{
    uint64_t term = 0;

    quorum_log_term(log, quorum_log_last(log), &term);
    return term;
}

/* Fill TERM with the term of the entry at INDEX, if the log reaches there. */
bool
quorum_log_term(const struct quorum_log *log, uint64_t index, uint64_t *term)
{
    if (index == log->base) {
        *term = log->base_term;
        return true;
    }
    if (index < log->base || index > quorum_log_last(log)) {
        return false;
    }
    *term = quorum_log_at(log, index)->term;
    return true;
}

/* The entry at INDEX, which the log must hold; borrowed. */
struct quorum_entry *
quorum_log_at(const struct quorum_log *log, uint64_t index)
{
    return log->entries->pdata[index - log->base - 1];
}

/* Append ENTRY, taking a reference; its index must be the next one. */
void
quorum_log_append(struct quorum_log *log, struct quorum_entry *entry)
{
    g_ptr_array_add(log->entries, quorum_entry_ref(entry));
}

/* Drop the entries at FROM and after. */
void
quorum_log_truncate(struct quorum_log *log, uint64_t from)
{
    g_ptr_array_set_size(log->entries, (gint)(from - log->base - 1));
}

/* Leave out the entries up to TO, which the log must hold. */
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

/* Make the log empty behind BASE. */
void
quorum_log_reset(struct quorum_log *log, uint64_t base, uint64_t base_term)
{
    g_ptr_array_set_size(log->entries, 0);
    log->base = base;
    log->base_term = base_term;
}
