/* The part of the log kept in memory; private to src/quorum. */
#ifndef PS_QUORUM_QUORUM_LOG_H
#define PS_QUORUM_QUORUM_LOG_H

#include "quorum/quorum.h"

struct quorum_log {
    uint64_t base; /* index of the last entry removed from memory */
    uint64_t base_term;
    GPtrArray *entries; /* struct quorum_entry, starting at base + 1 */
};

void quorum_log_init(struct quorum_log *);
void quorum_log_clear(struct quorum_log *);
uint64_t quorum_log_last_index(const struct quorum_log *);
uint64_t quorum_log_last_term(const struct quorum_log *);
bool quorum_log_term(const struct quorum_log *, uint64_t index, uint64_t *);
struct quorum_entry *quorum_log_at(const struct quorum_log *, uint64_t index);
void quorum_log_append(struct quorum_log *, struct quorum_entry *);
void quorum_log_truncate(struct quorum_log *, uint64_t from);
void quorum_log_compact(struct quorum_log *, uint64_t to);
void quorum_log_reset(struct quorum_log *, uint64_t base, uint64_t base_term);

#endif
