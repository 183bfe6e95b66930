/*
 * Log lines through GLib's structured log, as text or JSON on standard
 * error.  A line stands for a change of state; all else is counted.
 */
#ifndef PS_BASE_LOG_H
#define PS_BASE_LOG_H

#include <glib.h>

enum log_format {
    LOG_FORMAT_TEXT,
    LOG_FORMAT_JSON,
    LOG_FORMAT__MAX
};

void log_init(enum log_format, const char *daemon_name);

/* Fields are pairs of upper-case key and text, ended by NULL. */
void log_state(GLogLevelFlags, const char *message,
               ...) G_GNUC_NULL_TERMINATED;

char *log_time_text(void);
char *log_json_text(const char *);
char *log_json_name(const char *);
char *log_json_members(const GLogField *, gsize count);

#endif
