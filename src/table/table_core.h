/*
 * The pools table and the routes table as one deterministic state machine that
 * applies the committed commands of the replicated log.  The same commands in
 * the same order give byte-identical state, answers and snapshots.  Entry
 * daemons hold copies of the tables, which they build from updates
 * (differences and snapshots).
 */
#ifndef PS_TABLE_TABLE_CORE_H
#define PS_TABLE_TABLE_CORE_H

#include "table/table.h"

struct table_core;

/* A member that is 0 takes its default. */
struct table_core_options {
    uint32_t answers_max; /* answers kept for resent edits; default 32,768 */
    uint32_t changes_max; /* row changes kept for differences; default 4,096 */
    uint32_t routes_max;  /* rows of the routes table; default 16,384 */
    uint32_t pools_max;   /* rows of the pools table; default 16,384 */
};

/* The result of merging an update. */
enum table_merge_result {
    TABLE_MERGED,
    TABLE_STALE,  /* contains nothing newer: the tables are unchanged */
    TABLE_GAP,    /* based on a later position: request a snapshot */
    TABLE_DAMAGED /* does not decode: the tables are unchanged */
};

/*
 * Whether a snapshot contains the answers to edits.  Control daemons need them
 * to answer resent edits.
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

bool table_core_pack_difference(const struct table_core *,
                                struct table_position, uint64_t to_version,
                                GByteArray *);
uint64_t table_core_pack_rows(const struct table_core *, uint64_t from_version,
                              uint64_t to_version, GByteArray *,
                              uint64_t *result);
void table_core_pack_snapshot(const struct table_core *, enum table_scope,
                              GByteArray *);
enum table_merge_result table_core_merge(struct table_core *, const uint8_t *,
                                         size_t);

#endif
