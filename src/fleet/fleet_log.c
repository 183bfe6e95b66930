/*
 * Buffers log lines, up to a bound, for a descriptor that may not accept them
 * at once.
 */
#include "fleet/fleet_log.h"

#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <string.h>
#include <unistd.h>

#include "base/log.h"

#define LINES_PER_S_DEFAULT  100
#define BUFFER_BYTES_DEFAULT 65536
#define LINE_BYTES_MAX       1152
/* Part of LINE_BYTES_MAX; the rest is for time, daemon and event. */
#define MEMBERS_BYTES_MAX 1024
/* Seconds' worth of lines that may be written at once. */
#define BURST_S 2

/*
 * A token bucket: lines that may be written now, and when tokens were last
 * added.
 */
struct log_bucket {
    double tokens;
    uint64_t refilled_us;
};

struct fleet_log {
    struct fleet_log_options options;
    GString *buffer;
    struct log_bucket buckets[FLEET_LOG_PRIORITY__MAX]; /* unused for STATE */
    uint64_t dropped_lines;
    uint64_t reported_lines;  /* of dropped_lines, by a line of their own */
    uint64_t (*now_us)(void); /* the clock for lines of other modules */
};

static bool admit_line(struct fleet_log *, enum fleet_log_priority, uint64_t);
static void append_line(struct fleet_log *, const char *event,
                        const char *members);
static GLogWriterOutput write_glib(GLogLevelFlags, const GLogField *, gsize,
                                   gpointer);

/*
 * Return a log on OPTIONS->fd, which stays open when the log is freed.  Free
 * it with fleet_log_free().
 */
struct fleet_log *
fleet_log_new(const struct fleet_log_options *options)
{
    struct fleet_log *log = g_new0(struct fleet_log, 1);
    int flags = fcntl(options->fd, F_GETFL);

    log->options = *options;
    if (log->options.lines_per_s == 0) {
        log->options.lines_per_s = LINES_PER_S_DEFAULT;
    }
    if (log->options.buffer_bytes == 0) {
        log->options.buffer_bytes = BUFFER_BYTES_DEFAULT;
    }
    if (flags >= 0) {
        fcntl(options->fd, F_SETFL, flags | O_NONBLOCK);
    }
    log->buffer = g_string_new(NULL);
    for (int i = 0; i < FLEET_LOG_PRIORITY__MAX; i++) {
        log->buckets[i].tokens = (double)log->options.lines_per_s * BURST_S;
    }
    return log;
}

/*
 * Write the buffered lines, as far as the descriptor accepts them, and free
 * LOG.
 */
void
fleet_log_free(struct fleet_log *log)
{
    fleet_log_flush(log);
    g_string_free(log->buffer, TRUE);
    g_free(log);
}

/*
 * Return true if a line may be written.  Each priority but STATE has a token
 * bucket, so that many successful requests do not suppress the lines of failed
 * ones.  The last quarter of the buffer is reserved for changes of state.
 */
static bool
admit_line(struct fleet_log *log, enum fleet_log_priority priority,
           uint64_t now_us)
{
    struct log_bucket *bucket = &log->buckets[priority];
    double rate = (double)log->options.lines_per_s;
    double passed_s =
        (double)(now_us - MIN(now_us, bucket->refilled_us)) / 1e6;
    size_t capacity = log->options.buffer_bytes;

    if (priority == FLEET_LOG_STATE) {
        return log->buffer->len + LINE_BYTES_MAX <= capacity;
    }
    if (log->buffer->len + LINE_BYTES_MAX > capacity / 4 * 3) {
        return false;
    }
    bucket->tokens = MIN(bucket->tokens + passed_s * rate, rate * BURST_S);
    bucket->refilled_us = now_us;
    if (bucket->tokens < 1) {
        return false;
    }
    bucket->tokens--;
    return true;
}

/* Append a line with EVENT and MEMBERS to the buffer. */
static void
append_line(struct fleet_log *log, const char *event, const char *members)
{
    char *time = log_time_text();

    g_string_append_printf(
        log->buffer,
        "{\"time\":\"%s\",\"daemon\":\"%s\",\"event\":\"%s\"%s%s}\n", time,
        log->options.daemon, event, members[0] == '\0' ? "" : ",", members);
    g_free(time);
}

/*
 * Add one line to the buffer; fleet_log_flush() writes it.  EVENT names what
 * happened; FORMAT and the arguments after it give the members that explain
 * it.  Members that are too long are dropped as a whole, since a part of them
 * would not be valid JSON.
 */
void
fleet_log_line(struct fleet_log *log, enum fleet_log_priority priority,
               uint64_t now_us, const char *event, const char *format, ...)
{
    char *members;
    va_list list;

    if (!admit_line(log, priority, now_us)) {
        log->dropped_lines++;
        return;
    }
    va_start(list, format);
    members = g_strdup_vprintf(format, list);
    va_end(list);
    if (strlen(members) > MEMBERS_BYTES_MAX) {
        char *replacement =
            g_strdup_printf("\"bytes_left_out\":%zu", strlen(members));

        g_free(members);
        members = replacement;
    }
    append_line(log, event, members);
    g_free(members);
}

/*
 * Write the buffered lines; what the descriptor does not accept stays in the
 * buffer.
 */
void
fleet_log_flush(struct fleet_log *log)
{
    ssize_t written;

    if (log->dropped_lines > log->reported_lines &&
        log->buffer->len + LINE_BYTES_MAX <= log->options.buffer_bytes) {
        char members[64];

        g_snprintf(members, sizeof(members), "\"lines\":%" G_GUINT64_FORMAT,
                   log->dropped_lines - log->reported_lines);
        append_line(log, "log-lines-left-out", members);
        log->reported_lines = log->dropped_lines;
    }
    if (log->buffer->len == 0) {
        return;
    }
    written = write(log->options.fd, log->buffer->str, log->buffer->len);
    if (written > 0) {
        g_string_erase(log->buffer, 0, written);
    }
    else if (written < 0 && errno != EAGAIN && errno != EINTR) {
        log->dropped_lines++; /* the reader is gone, so the report may be
                               * lost, too */
        g_string_truncate(log->buffer, 0);
    }
}

/*
 * Log a structured message of GLib, from modules that do not know the fleet.
 */
static GLogWriterOutput
write_glib(GLogLevelFlags level, const GLogField *fields, gsize count,
           gpointer user)
{
    struct fleet_log *log = user;
    char *members = log_json_members(fields, count);

    (void)level;
    fleet_log_line(log, FLEET_LOG_STATE, log->now_us(), "message", "%s",
                   members);
    g_free(members);
    return G_LOG_WRITER_HANDLED;
}

/* Write all structured log messages of GLib to LOG, with times from NOW_US. */
void
fleet_log_redirect_glib(struct fleet_log *log, uint64_t (*now_us)(void))
{
    log->now_us = now_us;
    g_log_set_writer_func(write_glib, log, NULL);
}

/* Return the number of lines dropped so far. */
uint64_t
fleet_log_dropped_lines(const struct fleet_log *log)
{
    return log->dropped_lines;
}
