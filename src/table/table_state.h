/* The members of struct table_core; private to src/table. */
#ifndef PS_TABLE_TABLE_STATE_H
#define PS_TABLE_TABLE_STATE_H

#include "peer/table_wire.h"
#include "table/table_core.h"

struct table_core {
    struct table_core_options options;
    uint64_t applied; /* index of the last command applied */
    struct table_position position;
    GTree *rows[TABLE_KIND__MAX]; /* name to owned struct table_row */
    GHashTable *pool_ids;         /* pool id to struct table_row */
    GHashTable *addresses;        /* address to GPtrArray of route rows */
    GHashTable *epochs;           /* pool id to owned struct table_epoch */
    uint64_t answers_min_version; /* answers to edits on older versions may
                                     have been discarded */
    GQueue answers;               /* struct table_answer, oldest first */
    GHashTable *answers_by_id;    /* edit id to an element of answers */
    uint64_t changes_after;       /* changes after this version are kept */
    GQueue changes;               /* struct table_change, oldest first */
};

void table_state_clear(struct table_core *);
void table_state_set(struct table_core *, const struct table_row *);
void table_state_remove(struct table_core *, enum table_kind, const char *);
void table_state_record_change(struct table_core *, bool remove,
                               const struct table_row *);
void table_state_set_epoch(struct table_core *, const struct table_epoch *);

void table_answers_add(struct table_core *, const char *id,
                       const struct table_result *);
bool table_answers_find(const struct table_core *, const char *id,
                        struct table_result *);

#endif
