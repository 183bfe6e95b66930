/* Printing for people and for programs. */
#ifndef PS_CMD_OUTPUT_H
#define PS_CMD_OUTPUT_H

#include <stdbool.h>
#include <stddef.h>

#include <jansson.h>

/* A column of a printed list: its title and the member of each row. */
struct output_column {
    const char *title;
    const char *member;
};

void output_json(json_t *);
void output_rows(json_t *rows, const struct output_column *, size_t);
void output_row(json_t *row, const struct output_column *, size_t);

#endif
