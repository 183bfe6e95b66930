/*
 * The log of the records of one epoch: keys by offset, each with its expiry.
 */
#include "call/call_internal.h"

/* Remove all entries of LOG; its arrays are created on first use. */
void
call_log_clear(struct call_log *log)
{
    if (log->keys == NULL) {
        log->keys = g_array_new(FALSE, FALSE, sizeof(struct call_key));
        log->expires_us = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    }
    g_array_set_size(log->keys, 0);
    g_array_set_size(log->expires_us, 0);
    log->first = 0;
    log->carried_over_count = 0;
}

/* Return the offset behind the last entry of LOG. */
uint64_t
call_log_end(const struct call_log *log)
{
    return log->first + log->keys->len;
}

/* Append KEY to LOG; it may be dropped at EXPIRE_US. */
void
call_log_append(struct call_log *log, struct call_key key, uint64_t expire_us)
{
    g_array_append_val(log->keys, key);
    g_array_append_val(log->expires_us, expire_us);
}

/* Drop the entries at the front of LOG that have expired at NOW_US. */
void
call_log_expire(struct call_log *log, uint64_t now_us)
{
    unsigned count = 0;

    while (count < log->expires_us->len &&
           g_array_index(log->expires_us, uint64_t, count) <= now_us) {
        count++;
    }
    if (count == 0) {
        return;
    }
    g_array_remove_range(log->keys, 0, count);
    g_array_remove_range(log->expires_us, 0, count);
    log->first += count;
}

/*
 * Copy up to MAX keys of LOG from OFFSET on to KEYS and return how many.  The
 * offset must lie within the log or at its end.
 */
size_t
call_log_page(const struct call_log *log, uint64_t offset,
              struct call_key *keys, size_t max)
{
    uint64_t left = call_log_end(log) - offset;
    size_t count = left < max ? (size_t)left : max;

    for (size_t i = 0; i < count; i++) {
        keys[i] =
            g_array_index(log->keys, struct call_key, offset - log->first + i);
    }
    return count;
}
