/*
 * Commands and updates of the tables between their plain structs and bytes.
 */
#ifndef PS_PEER_TABLE_WIRE_H
#define PS_PEER_TABLE_WIRE_H

#include "table/table.h"

/* A row as it is from its version on, or its removal (kind and name count). */
struct table_change {
    bool remove;
    struct table_row row;
};

/* The first answer that an edit got. */
struct table_answer {
    char id[TABLE_EDIT_ID_MAX];
    enum table_reason reason;
    uint64_t version;
    char *message; /* NULL for none */
};

/* What leads from one position to another, or the whole state. */
struct table_update {
    bool whole;
    struct table_position from; /* 0 in a whole update */
    struct table_position to;
    uint64_t applied;   /* log index of a whole update */
    GPtrArray *changes; /* struct table_change, by version or by name */
    GArray *epochs;     /* struct table_epoch, ascending */
    bool with_answers;
    uint64_t answers_floor; /* answers to edits on older versions may lack */
    GPtrArray *answers;     /* struct table_answer, oldest first */
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
