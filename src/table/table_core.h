/*
 * The two tables with one history: a deterministic state machine driven by
 * the committed commands of the replicated log.  The same commands in the
 * same order give the same state, answers and snapshot, to the byte.  Entry
 * daemons hold the same state, fed by updates (differences and snapshots).
 */
#ifndef PS_TABLE_TABLE_CORE_H
#define PS_TABLE_TABLE_CORE_H

#include "table/table.h"

struct table_core;

/* Members left 0 take the default. */
struct table_core_options {
    uint32_t answers_max; /* answers kept by edit id; default 32,768 */
    uint32_t changes_max; /* row changes kept for differences; 4,096 */
    uint32_t routes_max;  /* rows; default 16,384 */
    uint32_t pools_max;   /* rows; default 16,384 */
};

/* What became of an update. */
enum table_merge {
    TABLE_MERGED,
    TABLE_STALE,  /* nothing newer in it: the tables are unchanged */
    TABLE_GAP,    /* built on a later version: ask for a snapshot */
    TABLE_DAMAGED /* no update: the tables are unchanged */
};

/* Whether a snapshot carries the answers to edits; control daemons need them.
 */
enum table_scope {
    TABLE_ROWS,
    TABLE_ROWS_AND_ANSWERS
};

typedef void (*table_visit)(const struct table_row *, void *);

struct table_core *table_core_new(const struct table_core_options *);
void table_core_free(struct table_core *);

bool table_core_apply(struct table_core *, uint64_t index, const uint8_t *,
                      size_t, struct table_result *);

uint64_t table_core_applied(const struct table_core *);
struct table_position table_core_position(const struct table_core *);
size_t table_core_count(const struct table_core *, enum table_kind);
const struct table_row *table_core_row(const struct table_core *,
                                       enum table_kind, const char *name);
const struct table_row *table_core_pool(const struct table_core *,
                                        struct pool_id);
void table_core_each(const struct table_core *, enum table_kind, table_visit,
                     void *);
bool table_core_epoch(const struct table_core *, struct pool_id,
                      struct table_epoch *);
bool table_core_answer(const struct table_core *, const char *edit_id,
                       struct table_result *);

bool table_core_difference(const struct table_core *, struct table_position,
                           uint64_t to_version, GByteArray *);
uint64_t table_core_rows(const struct table_core *, uint64_t from_version,
                         uint64_t to_version, GByteArray *, uint64_t *result);
void table_core_snapshot(const struct table_core *, enum table_scope,
                         GByteArray *);
enum table_merge table_core_merge(struct table_core *, const uint8_t *,
                                  size_t);

#endif
