/*
 * Writes JSON log lines for diagnosis to standard output: one for each
 * decision on a flow or call and each change of the daemon's state.  Never
 * blocks; lines above a rate are dropped and counted.
 */
#ifndef PS_FLEET_FLEET_LOG_H
#define PS_FLEET_FLEET_LOG_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

struct fleet_log;

enum fleet_log_priority {
    FLEET_LOG_STATE,   /* a change of state; has priority over other lines */
    FLEET_LOG_FAILURE, /* a request rejected, lost or repeated */
    FLEET_LOG_REQUEST, /* another decision on a single request */
    FLEET_LOG_PRIORITY__MAX
};

struct fleet_log_options {
    int fd;                /* made non-blocking */
    const char *daemon;    /* outlives the log */
    uint32_t lines_per_s;  /* of each priority but STATE; 0 for 100 */
    uint32_t buffer_bytes; /* of lines not yet written; 0 for 65,536 */
};

struct fleet_log *fleet_log_new(const struct fleet_log_options *);
void fleet_log_free(struct fleet_log *);
/*
 * FORMAT gives the members of a JSON object without its braces.  Texts from
 * outside the daemon must be escaped with log_json_text().
 */
void fleet_log_line(struct fleet_log *, enum fleet_log_priority,
                    uint64_t now_us, const char *event, const char *format,
                    ...) G_GNUC_PRINTF(5, 6);
void fleet_log_flush(struct fleet_log *);
/* Write what other modules log through GLib's structured log to this log. */
void fleet_log_redirect_glib(struct fleet_log *, uint64_t (*now_us)(void));
uint64_t fleet_log_dropped_lines(const struct fleet_log *);

#endif
