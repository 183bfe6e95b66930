/* Rows of the two tables, and edits of them, as JSON. */
#ifndef PS_EDGE_ROW_JSON_H
#define PS_EDGE_ROW_JSON_H

#include <stdbool.h>

#include <glib.h>
#include <jansson.h>

#include "table/table.h"

#define ROW_JSON_ZONES_MAX 16 /* zones that an edit may be accepted without */

/* An edit as the administration API takes it. */
struct row_json_edit {
    struct table_edit edit; /* cleared by table_row_clear(&edit.row) */
    size_t zone_count;
    uint32_t zones[ROW_JSON_ZONES_MAX]; /* accept without these */
};

json_t *row_json_from(const struct table_row *);
bool row_json_read_edit(const char *body, size_t len, enum table_kind,
                        const char *name, enum table_operation,
                        struct row_json_edit *, GError **);

#endif
