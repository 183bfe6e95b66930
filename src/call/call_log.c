/* The log of one epoch's records: keys by offset, each with its expiry. */
#include "call/call_internal.h"

/* Forget all entries; the arrays are made on first use. */
void
call_log_clear(struct call_log *log)
{
    if (log->keys == NULL) {
        log->keys = g_array_new(FALSE, FALSE, sizeof(struct call_key));
        log->expire = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    }
    g_array_set_size(log->keys, 0);
    g_array_set_size(log->expire, 0);
    log->first = 0;
    log->install = 0;
}

/* The offset behind the last entry. */
uint64_t
call_log_end(const struct call_log *log)
{
    return log->first + log->keys->len;
}

void
call_log_append(struct call_log *log, struct call_key key, uint64_t expire_us)
{
    g_array_append_val(log->keys, key);
    g_array_append_val(log->expire, expire_us);
}

/* Drop the entries at the front whose time has passed. */
void
call_log_expire(struct call_log *log, uint64_t now_us)
{
    unsigned count = 0;

    while (count < log->expire->len &&
           g_array_index(log->expire, uint64_t, count) <= now_us) {
        count++;
    }
    if (count == 0) {
        return;
    }
    g_array_remove_range(log->keys, 0, count);
    g_array_remove_range(log->expire, 0, count);
    log->first += count;
}

/* Copy up to MAX keys from OFFSET on, which is in the log.  Returns how many. */
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
