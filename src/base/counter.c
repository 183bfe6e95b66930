/* The rows of the counters and their Prometheus text (format 0.0.4). */
#include "base/counter.h"

#include <stdbool.h>
#include <string.h>

struct counter_row {
    const char *name;
    const char *labels; /* inside the braces, or NULL */
    const char *help;
};

static const struct counter_row rows[COUNTER__MAX] = {
    [COUNTER_PACKETS_FABRIC] = {"packets_in_total", "from=\"fabric\"",
                                "Packets received from the fabric."},
    [COUNTER_PACKETS_TARGET] = {"packets_in_total", "from=\"target\"",
                                "Packets received from the fabric."},
    [COUNTER_PACKETS_FORWARDED] = {"packets_out_total", "to=\"target\"",
                                   "Packets sent on."},
    [COUNTER_PACKETS_ANSWERED] = {"packets_out_total", "to=\"caller\"",
                                  "Packets sent on."},
    [COUNTER_PACKETS_HANDED_ON] = {"packets_out_total", "to=\"daemon\"",
                                   "Packets sent on."},
    [COUNTER_PACKETS_HANDED_IN] = {"packets_in_total", "from=\"daemon\"",
                                   "Packets received from the fabric."},
    [COUNTER_DROP_MALFORMED] = {"packets_dropped_total",
                                "reason=\"malformed\"", "Packets dropped."},
    [COUNTER_DROP_NO_ROUTE] = {"packets_dropped_total", "reason=\"no_route\"",
                               "Packets dropped."},
    [COUNTER_DROP_NO_TARGET] = {"packets_dropped_total",
                                "reason=\"no_target\"", "Packets dropped."},
    [COUNTER_DROP_WRONG_SOURCE] = {"packets_dropped_total",
                                   "reason=\"wrong_source\"",
                                   "Packets dropped."},
    [COUNTER_DROP_CALL_OPTION] = {"packets_dropped_total",
                                  "reason=\"call_option\"",
                                  "Packets dropped."},
    [COUNTER_DROP_SEND] = {"packets_dropped_total", "reason=\"send\"",
                           "Packets dropped."},
    [COUNTER_RESETS_SENT] = {"resets_total", NULL,
                             "TCP resets and ICMP port unreachables sent."},
    [COUNTER_REFUSED_NOT_RUN] = {"calls_refused_total", "answer=\"not_run\"",
                                 "Calls refused."},
    [COUNTER_REFUSED_UNKNOWN] = {"calls_refused_total",
                                 "answer=\"outcome_unknown\"",
                                 "Calls refused."},
    [COUNTER_ANNOUNCEMENTS] = {"announcements_total", "result=\"taken\"",
                               "Announcements of targets."},
    [COUNTER_ANNOUNCEMENTS_BAD] = {"announcements_total", "result=\"refused\"",
                                   "Announcements of targets."},
    [COUNTER_PROBES_OK] = {"health_probes_total", "result=\"ok\"",
                           "Health probes of targets."},
    [COUNTER_PROBES_FAILED] = {"health_probes_total", "result=\"failed\"",
                               "Health probes of targets."},
    [COUNTER_API_REQUESTS] = {"api_requests_total", NULL,
                              "Requests to the administration API."},
    [COUNTER_API_REFUSED] = {"api_requests_refused_total", NULL,
                             "Requests refused by the administration API."},
    [COUNTER_PEER_BYTES_IN] = {"peer_bytes_total", "direction=\"in\"",
                               "Bytes of control traffic between daemons."},
    [COUNTER_PEER_BYTES_OUT] = {"peer_bytes_total", "direction=\"out\"",
                                "Bytes of control traffic between daemons."},
    [COUNTER_PEER_HANDON_BYTES_OUT] = {"peer_handon_bytes_total", NULL,
                                       "Bytes of packets handed on."},
    [COUNTER_PEER_REFUSED] = {"peer_connections_refused_total", NULL,
                              "Connections of other versions or clusters."},
    [COUNTER_PEER_BAD_FRAMES] = {"peer_bad_frames_total", NULL,
                                 "Messages of peers that do not decode."},
    [COUNTER_PEER_QUEUE_FULL] = {"peer_messages_dropped_total", NULL,
                                 "Messages to peers over the queue limit."},
    [COUNTER_EDITS_ACCEPTED] = {"edits_total", "result=\"accepted\"",
                                "Edits answered for."},
    [COUNTER_EDITS_REFUSED] = {"edits_total", "result=\"refused\"",
                               "Edits answered for."},
    [COUNTER_SPANS_WRITTEN] = {"spans_total", "result=\"written\"",
                               "Spans of sampled packets and calls."},
    [COUNTER_SPANS_LOST] = {"spans_total", "result=\"lost\"",
                            "Spans of sampled packets and calls."},
};

/* Add AMOUNT to the counter ID. */
void
counter_add(struct counters *counters, enum counter_id id, uint64_t amount)
{
    counters->value[id] += amount;
}

/*
 * Append the rows in Prometheus text format.  Rows that share a name stand
 * under one HELP and TYPE line.
 */
void
counter_write(const struct counters *counters, GString *out)
{
    bool written[COUNTER__MAX] = {false};

    for (size_t i = 0; i < COUNTER__MAX; i++) {
        if (written[i]) {
            continue;
        }
        g_string_append_printf(out,
                               "# HELP parsleyspur_%s %s\n"
                               "# TYPE parsleyspur_%s counter\n",
                               rows[i].name, rows[i].help, rows[i].name);
        for (size_t j = i; j < COUNTER__MAX; j++) {
            if (strcmp(rows[i].name, rows[j].name) != 0) {
                continue;
            }
            written[j] = true;
            g_string_append_printf(
                out, "parsleyspur_%s%s%s%s %" G_GUINT64_FORMAT "\n",
                rows[j].name, rows[j].labels == NULL ? "" : "{",
                rows[j].labels == NULL ? "" : rows[j].labels,
                rows[j].labels == NULL ? "" : "}", counters->value[j]);
        }
    }
}

/* Append COUNT values of other modules, each name once. */
void
counter_write_extra(const struct counter_extra *extra, size_t count,
                    GString *out)
{
    for (size_t i = 0; i < count; i++) {
        size_t bare = strcspn(extra[i].name, "{");

        if (i == 0 || strncmp(extra[i - 1].name, extra[i].name, bare) != 0 ||
            strcspn(extra[i - 1].name, "{") != bare) {
            g_string_append_printf(out,
                                   "# HELP parsleyspur_%.*s %s\n"
                                   "# TYPE parsleyspur_%.*s %s\n",
                                   (int)bare, extra[i].name, extra[i].help,
                                   (int)bare, extra[i].name, extra[i].type);
        }
        g_string_append_printf(out, "parsleyspur_%s %.17g\n", extra[i].name,
                               extra[i].value);
    }
}

/* Count a latency of TOOK_US; the last bucket holds all that are longer. */
void
counter_latency(uint64_t buckets[COUNTER_BUCKETS], uint64_t took_us)
{
    uint64_t ms = took_us / 1000;
    size_t bucket = 0;

    while (ms > 0 && bucket + 1 < COUNTER_BUCKETS) {
        ms /= 2;
        bucket++;
    }
    buckets[bucket]++;
}

/* Append a histogram as Prometheus has it: counts up to each bound. */
void
counter_write_latency(const char *name, const char *help,
                      const uint64_t buckets[COUNTER_BUCKETS], GString *out)
{
    uint64_t total = 0;

    g_string_append_printf(out,
                           "# HELP parsleyspur_%s %s\n"
                           "# TYPE parsleyspur_%s histogram\n",
                           name, help, name);
    for (size_t i = 0; i < COUNTER_BUCKETS; i++) {
        total += buckets[i];
        if (i + 1 < COUNTER_BUCKETS) {
            g_string_append_printf(
                out,
                "parsleyspur_%s_bucket{le=\"%u\"} %" G_GUINT64_FORMAT "\n",
                name, 1U << i, total);
        }
    }
    g_string_append_printf(
        out,
        "parsleyspur_%s_bucket{le=\"+Inf\"} %" G_GUINT64_FORMAT
        "\nparsleyspur_%s_count %" G_GUINT64_FORMAT "\n",
        name, total, name, total);
}
