/*
 * Lines for those who look for the cause of a failure: JSON on standard
 * output, one for each decision on a flow or call and each change of what the
 * daemon believes.  Never blocks; above a rate lines are left out and counted.
 */
#ifndef PS_FLEET_FLEET_LOG_H
#define PS_FLEET_FLEET_LOG_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

struct fleet_log;

enum fleet_log_weight {
    FLEET_LOG_STATE,   /* a change of state: goes before other lines */
    FLEET_LOG_FAILURE, /* a request refused, lost or repeated */
    FLEET_LOG_REQUEST, /* another decision on a single request */
    FLEET_LOG_WEIGHT__MAX
};

struct fleet_log_options {
    int fd;                /* made non-blocking */
    const char *daemon;    /* outlives the log */
    uint32_t lines_per_s;  /* of each weight but STATE; 0 for 100 */
    uint32_t buffer_bytes; /* unwritten; 0 for 65,536 */
};

struct fleet_log *fleet_log_new(const struct fleet_log_options *);
void fleet_log_free(struct fleet_log *);
/* FORMAT gives the members of a JSON object, without its braces; texts that
 * come from outside go through log_json_text(). */
void fleet_log_line(struct fleet_log *, enum fleet_log_weight, uint64_t now_us,
                    const char *event, const char *format, ...)
    G_GNUC_PRINTF(5, 6);
void fleet_log_flush(struct fleet_log *);
/* Take over what other modules write by GLib's structured log. */
void fleet_log_take_glib(struct fleet_log *, uint64_t (*now_us)(void));
uint64_t fleet_log_left_out(const struct fleet_log *);

#endif
