/* The writer behind GLib's structured log. */
#include "base/log.h"

#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#define FIELDS_MAX     16
#define NAME_BYTES_MAX 128 /* of a name in a line */

static enum log_format format;
static const char *daemon_name;

static const char *level_name(GLogLevelFlags);
static void add_members(json_t *, const GLogField *, gsize);
static GLogWriterOutput write_text(GLogLevelFlags, const GLogField *, gsize);
static GLogWriterOutput write_json(GLogLevelFlags, const GLogField *, gsize);
static GLogWriterOutput writer(GLogLevelFlags, const GLogField *, gsize,
                               gpointer);

/*
 * Take over GLib's log writer.  NAME is put on every line and must outlive
 * the process's logging.
 */
void
log_init(enum log_format chosen, const char *name)
{
    format = chosen;
    daemon_name = name;
    g_log_set_writer_func(writer, NULL, NULL);
}

static const char *
level_name(GLogLevelFlags level)
{
    switch (level & G_LOG_LEVEL_MASK) {
    case G_LOG_LEVEL_ERROR:
    case G_LOG_LEVEL_CRITICAL:
        return "error";
    case G_LOG_LEVEL_WARNING:
        return "warning";
    default:
        return "info";
    }
}

/* The present time in RFC 3339 with milliseconds; the caller frees it. */
char *
log_time_text(void)
{
    GDateTime *now = g_date_time_new_now_utc();
    char *seconds = g_date_time_format(now, "%Y-%m-%dT%H:%M:%S");
    char *text = g_strdup_printf("%s.%03dZ", seconds,
                                 g_date_time_get_microsecond(now) / 1000);

    g_free(seconds);
    g_date_time_unref(now);
    return text;
}

static GLogWriterOutput
write_text(GLogLevelFlags level, const GLogField *fields, gsize count)
{
    GString *line = g_string_new(NULL);
    char *when = log_time_text();

    g_string_append_printf(line, "%s %s %s:", when, level_name(level),
                           daemon_name);
    for (gsize i = 0; i < count; i++) {
        if (strcmp(fields[i].key, "MESSAGE") == 0) {
            g_string_append_printf(line, " %s", (const char *)fields[i].value);
        }
    }
    for (gsize i = 0; i < count; i++) {
        if (g_str_has_prefix(fields[i].key, "PS_")) {
            char *key = g_ascii_strdown(fields[i].key + 3, -1);

            g_string_append_printf(line, " %s=%s", key,
                                   (const char *)fields[i].value);
            g_free(key);
        }
    }
    fprintf(stderr, "%s\n", line->str);
    g_string_free(line, TRUE);
    g_free(when);
    return G_LOG_WRITER_HANDLED;
}

/* Add the message and the pairs of log_state() to OBJECT. */
static void
add_members(json_t *object, const GLogField *fields, gsize count)
{
    for (gsize i = 0; i < count; i++) {
        bool message = strcmp(fields[i].key, "MESSAGE") == 0;
        char *key, *value;

        if (!message && !g_str_has_prefix(fields[i].key, "PS_")) {
            continue;
        }
        key = message ? g_strdup("message")
                      : g_ascii_strdown(fields[i].key + strlen("PS_"), -1);
        value = g_utf8_make_valid(fields[i].value, fields[i].length);
        json_object_set_new(object, key, json_string(value));
        g_free(key);
        g_free(value);
    }
}

static GLogWriterOutput
write_json(GLogLevelFlags level, const GLogField *fields, gsize count)
{
    json_t *object = json_object();
    char *when = log_time_text(), *line;

    json_object_set_new(object, "time", json_string(when));
    json_object_set_new(object, "level", json_string(level_name(level)));
    json_object_set_new(object, "daemon", json_string(daemon_name));
    add_members(object, fields, count);
    line = json_dumps(object, JSON_COMPACT);
    fprintf(stderr, "%s\n", line);
    free(line);
    json_decref(object);
    g_free(when);
    return G_LOG_WRITER_HANDLED;
}

static GLogWriterOutput
writer(GLogLevelFlags level, const GLogField *fields, gsize count,
       gpointer data)
{
    (void)data;
    switch (format) {
    case LOG_FORMAT_JSON:
        return write_json(level, fields, count);
    case LOG_FORMAT_TEXT:
    case LOG_FORMAT__MAX:
        break;
    }
    return write_text(level, fields, count);
}

/*
 * Log MESSAGE with pairs of key and text, ended by NULL.  Keys are lower-case
 * words; at most FIELDS_MAX pairs are taken.
 */
void
log_state(GLogLevelFlags level, const char *message, ...)
{
    GLogField fields[FIELDS_MAX + 1] = {{"MESSAGE", message, -1}};
    char keys[FIELDS_MAX + 1][32];
    gsize count = 1;
    const char *key;
    va_list list;

    va_start(list, message);
    while ((key = va_arg(list, const char *)) != NULL) {
        const char *value = va_arg(list, const char *);

        if (value == NULL || count > FIELDS_MAX) {
            break;
        }
        g_snprintf(keys[count], sizeof(keys[count]), "PS_%s", key);
        fields[count].key = keys[count];
        fields[count].value = value;
        fields[count].length = -1;
        count++;
    }
    va_end(list);
    g_log_structured_array(level, fields, count);
}

/*
 * NAME as a JSON string with its quotes, cut after NAME_BYTES_MAX so that it
 * leaves room in a line; the caller frees it.
 */
char *
log_json_name(const char *name)
{
    char *start = g_strndup(name, NAME_BYTES_MAX);
    char *quoted = log_json_text(start);

    g_free(start);
    return quoted;
}

/* TEXT as a JSON string with its quotes; the caller frees it. */
char *
log_json_text(const char *text)
{
    char *valid = g_utf8_make_valid(text, -1);
    json_t *string = json_string(valid);
    char *quoted = json_dumps(string, JSON_ENCODE_ANY);
    char *own = g_strdup(quoted);

    free(quoted);
    json_decref(string);
    g_free(valid);
    return own;
}

/*
 * The members of a JSON object, without its braces, that say what FIELDS of
 * GLib's log do; the caller frees them.
 */
char *
log_json_members(const GLogField *fields, gsize count)
{
    json_t *object = json_object();
    char *dumped, *members;

    add_members(object, fields, count);
    dumped = json_dumps(object, JSON_COMPACT);
    members = g_strndup(dumped + 1, strlen(dumped) - 2);
    free(dumped);
    json_decref(object);
    return members;
}
