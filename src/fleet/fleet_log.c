/* A bounded buffer of lines in front of a descriptor that may not take them.
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
#define LINE_MAX_BYTES       1152
#define MEMBERS_MAX_BYTES    1024 /* of a line; the rest names daemon and event */
#define BURST_S              2 /* lines of this many seconds may come at once */

/* Lines that may be written now, and when some were last added. */
struct log_bucket {
    double tokens;
    uint64_t filled_us;
};

struct fleet_log {
    struct fleet_log_options options;
    GString *buffer;
    struct log_bucket buckets[FLEET_LOG_WEIGHT__MAX]; /* not of STATE */
    uint64_t left_out;
    uint64_t told;            /* of left_out, in a line */
    uint64_t (*now_us)(void); /* for lines of other modules */
};

static bool may_write(struct fleet_log *, enum fleet_log_weight, uint64_t);
static void append(struct fleet_log *, const char *event, const char *members);
static GLogWriterOutput write_glib(GLogLevelFlags, const GLogField *, gsize,
                                   gpointer);

/* A log on OPTIONS->fd, which stays open when the log is freed. */
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
    for (int i = 0; i < FLEET_LOG_WEIGHT__MAX; i++) {
        log->buckets[i].tokens = (double)log->options.lines_per_s * BURST_S;
    }
    return log;
}

/* Write what the descriptor takes and free LOG. */
void
fleet_log_free(struct fleet_log *log)
{
    fleet_log_flush(log);
    g_string_free(log->buffer, TRUE);
    g_free(log);
}

/*
 * Whether a line may be written: a token bucket for each weight, so that many
 * requests that go well do not keep out the ones that fail, and room in the
 * buffer, the last quarter of which is kept for changes of state.
 */
static bool
may_write(struct fleet_log *log, enum fleet_log_weight weight, uint64_t now_us)
{
    struct log_bucket *bucket = &log->buckets[weight];
    double rate = (double)log->options.lines_per_s;
    double passed_s = (double)(now_us - MIN(now_us, bucket->filled_us)) / 1e6;
    size_t room = log->options.buffer_bytes;

    if (weight == FLEET_LOG_STATE) {
        return log->buffer->len + LINE_MAX_BYTES <= room;
    }
    if (log->buffer->len + LINE_MAX_BYTES > room / 4 * 3) {
        return false;
    }
    bucket->tokens = MIN(bucket->tokens + passed_s * rate, rate * BURST_S);
    bucket->filled_us = now_us;
    if (bucket->tokens < 1) {
        return false;
    }
    bucket->tokens--;
    return true;
}

static void
append(struct fleet_log *log, const char *event, const char *members)
{
    char *when = log_time_text();

    g_string_append_printf(
        log->buffer,
        "{\"time\":\"%s\",\"daemon\":\"%s\",\"event\":\"%s\"%s%s}\n", when,
        log->options.daemon, event, members[0] == '\0' ? "" : ",", members);
    g_free(when);
}

/*
 * Add one line.  EVENT names what happened; FORMAT and what follows give the
 * members that say why.  Members that are too long are left out, since a part
 * of them would not be JSON.  Lines wait for fleet_log_flush().
 */
void
fleet_log_line(struct fleet_log *log, enum fleet_log_weight weight,
               uint64_t now_us, const char *event, const char *format, ...)
{
    char *members;
    va_list list;

    if (!may_write(log, weight, now_us)) {
        log->left_out++;
        return;
    }
    va_start(list, format);
    members = g_strdup_vprintf(format, list);
    va_end(list);
    if (strlen(members) > MEMBERS_MAX_BYTES) {
        char *instead =
            g_strdup_printf("\"bytes_left_out\":%zu", strlen(members));

        g_free(members);
        members = instead;
    }
    append(log, event, members);
    g_free(members);
}

/* Hand the lines to the descriptor; what it does not take stays. */
void
fleet_log_flush(struct fleet_log *log)
{
    ssize_t written;

    if (log->left_out > log->told &&
        log->buffer->len + LINE_MAX_BYTES <= log->options.buffer_bytes) {
        char members[64];

        g_snprintf(members, sizeof(members), "\"lines\":%" G_GUINT64_FORMAT,
                   log->left_out - log->told);
        append(log, "log-lines-left-out", members);
        log->told = log->left_out;
    }
    if (log->buffer->len == 0) {
        return;
    }
    written = write(log->options.fd, log->buffer->str, log->buffer->len);
    if (written > 0) {
        g_string_erase(log->buffer, 0, written);
    }
    else if (written < 0 && errno != EAGAIN && errno != EINTR) {
        log->left_out++; /* nobody reads: there is no one to tell */
        g_string_truncate(log->buffer, 0);
    }
}

/* GLib's writer: the lines of modules that know no fleet. */
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

void
fleet_log_take_glib(struct fleet_log *log, uint64_t (*now_us)(void))
{
    log->now_us = now_us;
    g_log_set_writer_func(write_glib, log, NULL);
}

/* Lines that were left out so far. */
uint64_t
fleet_log_left_out(const struct fleet_log *log)
{
    return log->left_out;
}
