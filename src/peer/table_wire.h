/*
 * Encoding and decoding of table commands and table updates.
 */
#ifndef PS_PEER_TABLE_WIRE_H
#define PS_PEER_TABLE_WIRE_H

#include "table/table.h"

/*
 * A row as set at its version, or the removal of a row, for which only kind,
 * name and version are used.
 */
struct table_change {
    bool remove;
    struct table_row row;
};

/* The first answer to an edit. */
struct table_answer {
    char id[TABLE_EDIT_ID_MAX];
    enum table_reason reason;
    uint64_t version;
    char *message; /* NULL for none */
};

/*
 * A difference from one position to another, or the full state (a snapshot, or
 * all rows alone).
 */
struct table_update {
    bool full;
    struct table_position from; /* 0 in a full update */
    struct table_position to;
    uint64_t applied;   /* last log index applied; 0 unless a snapshot */
    GPtrArray *changes; /* struct table_change, ordered by version in a
                           difference, by kind and name in a full update */
    GArray *epochs;     /* struct table_epoch, ascending by sequence */
    bool with_answers;
    uint64_t answers_min_version; /* answers to edits on older versions may be
                                     missing */
    GPtrArray *answers;           /* struct table_answer, oldest first */
};

void table_wire_pack_command(const struct table_command *, GByteArray *);
bool table_wire_unpack_command(const uint8_t *, size_t,
                               struct table_command *);

void table_update_init(struct table_update *);
void table_update_clear(struct table_update *);
void table_wire_pack_update(const struct table_update *, GByteArray *);
bool table_wire_unpack_update(const uint8_t *, size_t, struct table_update *);

struct table_change *table_change_new(bool remove, const struct table_row *);
void table_change_free(void *);
struct table_answer *table_answer_new(const char *id, enum table_reason,
                                      uint64_t version, const char *message);
void table_answer_free(void *);

#endif
