/* Aligned columns, and JSON lines. */
#include "cmd/output.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

static char *cell(json_t *);

/* Print VALUE as one line of JSON. */
void
output_json(json_t *value)
{
    char *text = json_dumps(value, JSON_COMPACT | JSON_SORT_KEYS);

    puts(text == NULL ? "null" : text);
    free(text);
}

/* The text of a member for people; the caller frees it. */
static char *
cell(json_t *value)
{
    GString *text = g_string_new(NULL);
    const char *key;
    json_t *item;
    size_t i;

    switch (value == NULL ? JSON_NULL : json_typeof(value)) {
    case JSON_STRING:
        g_string_append(text, json_string_value(value));
        break;
    case JSON_INTEGER:
        g_string_append_printf(text, "%" JSON_INTEGER_FORMAT,
                               json_integer_value(value));
        break;
    case JSON_TRUE:
        g_string_append(text, "yes");
        break;
    case JSON_FALSE:
        g_string_append(text, "no");
        break;
    case JSON_ARRAY:
        json_array_foreach(value, i, item)
        {
            char *part = cell(item);

            g_string_append_printf(text, "%s%s", i == 0 ? "" : ",", part);
            g_free(part);
        }
        break;
    case JSON_OBJECT:
        json_object_foreach(value, key, item)
        {
            char *part = cell(item);

            g_string_append_printf(text, "%s%s=%s", text->len == 0 ? "" : ",",
                                   key, part);
            g_free(part);
        }
        break;
    case JSON_REAL:
        g_string_append_printf(text, "%.2f", json_real_value(value));
        break;
    case JSON_NULL:
        break;
    }
    if (text->len == 0) {
        g_string_append_c(text, '-');
    }
    return g_string_free(text, FALSE);
}

/* Print ROWS, an array of objects, as aligned columns with a head line. */
void
output_rows(json_t *rows, const struct output_column *columns, size_t count)
{
    size_t widths[16] = {0}, i;
    json_t *row;

    for (size_t c = 0; c < count; c++) {
        widths[c] = strlen(columns[c].title);
        json_array_foreach(rows, i, row)
        {
            char *text = cell(json_object_get(row, columns[c].member));

            widths[c] = MAX(widths[c], strlen(text));
            g_free(text);
        }
    }
    for (size_t c = 0; c < count; c++) {
        printf("%s%-*s", c == 0 ? "" : "  ",
               c + 1 == count ? 0 : (int)widths[c], columns[c].title);
    }
    putchar('\n');
    json_array_foreach(rows, i, row)
    {
        for (size_t c = 0; c < count; c++) {
            char *text = cell(json_object_get(row, columns[c].member));

            printf("%s%-*s", c == 0 ? "" : "  ",
                   c + 1 == count ? 0 : (int)widths[c], text);
            g_free(text);
        }
        putchar('\n');
    }
}

/* Print one ROW as lines of title and value. */
void
output_row(json_t *row, const struct output_column *columns, size_t count)
{
    for (size_t c = 0; c < count; c++) {
        char *text = cell(json_object_get(row, columns[c].member));

        printf("%-16s %s\n", columns[c].title, text);
        g_free(text);
    }
}
