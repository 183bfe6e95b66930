/* Lines of the daemons' logs: read, put in order, printed. */
#include <string.h>

#include "explain/explain_state.h"

#define TIME_OF_DAY  11 /* bytes of the date in front of it */
#define DAEMON_WIDTH 16

static void clear_line(void *);

static void
clear_line(void *data)
{
    json_decref(((struct explain_line *)data)->object);
}

/* The lines from here on are of another file. */
void
explain_begin_file(struct explain *explain)
{
    GArray *lines = g_array_new(FALSE, FALSE, sizeof(struct explain_line));

    g_array_set_clear_func(lines, clear_line);
    g_ptr_array_add(explain->files, lines);
}

/* Take in one line of the present file; one that is no log line is counted. */
void
explain_line(struct explain *explain, const char *line, size_t len)
{
    struct explain_line row = {.object = json_loadb(line, len, 0, NULL)};

    row.time = explain_text(&row, "time");
    row.daemon = explain_text(&row, "daemon");
    row.event = explain_text(&row, "event");
    if (row.time == NULL || row.daemon == NULL || row.event == NULL) {
        explain->unread += len > 0 ? 1 : 0;
        json_decref(row.object);
        return;
    }
    g_array_append_val(
        g_ptr_array_index(explain->files, explain->files->len - 1), row);
}

/*
 * Merge the files by time.  Within a file the order stays, so that a clock
 * that jumps does not put effects before their causes.
 */
void
explain_merge(struct explain *explain)
{
    guint count = explain->files->len;
    guint *next = g_new0(guint, count);

    g_array_set_size(explain->lines, 0);
    for (;;) {
        const struct explain_line *first = NULL;
        guint from = 0;

        for (guint i = 0; i < count; i++) {
            const GArray *file = explain->files->pdata[i];
            const struct explain_line *line =
                &g_array_index(file, struct explain_line, next[i]);

            if (next[i] < file->len &&
                (first == NULL || strcmp(line->time, first->time) < 0)) {
                first = line;
                from = i;
            }
        }
        if (first == NULL) {
            break;
        }
        next[from]++;
        g_array_append_vals(explain->lines, first, 1);
    }
    g_free(next);
}

/* The text of MEMBER, or NULL if there is none. */
const char *
explain_text(const struct explain_line *line, const char *member)
{
    return json_string_value(json_object_get(line->object, member));
}

/* The number of MEMBER, or 0 if there is none. */
uint64_t
explain_number(const struct explain_line *line, const char *member)
{
    return (uint64_t)json_integer_value(json_object_get(line->object, member));
}

/* True if LINE is about EVENT. */
bool
explain_is(const struct explain_line *line, const char *event)
{
    return strcmp(line->event, event) == 0;
}

/* Append "TIME DAEMON EVENT member=value ..." to OUT. */
void
explain_print(const struct explain_line *line, GString *out)
{
    const char *member;
    json_t *value;
    size_t day = strlen(line->time) > TIME_OF_DAY ? TIME_OF_DAY : 0;

    g_string_append_printf(out, "  %s %-*s %s", line->time + day, DAEMON_WIDTH,
                           line->daemon, line->event);
    json_object_foreach(line->object, member, value)
    {
        char *text;

        if (strcmp(member, "time") == 0 || strcmp(member, "daemon") == 0 ||
            strcmp(member, "event") == 0) {
            continue;
        }
        text = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT);
        g_string_append_printf(out, " %s=%s", member, text);
        free(text);
    }
    g_string_append_c(out, '\n');
}
