/*
 * Counters and gauges of a daemon: one table of rows, served as Prometheus
 * text.  A task owns its own set; sets are added up when they are read.
 */
#ifndef PS_BASE_COUNTER_H
#define PS_BASE_COUNTER_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

enum counter_id {
    COUNTER_PACKETS_FABRIC,
    COUNTER_PACKETS_TARGET,
    COUNTER_PACKETS_FORWARDED,
    COUNTER_PACKETS_ANSWERED,
    COUNTER_PACKETS_HANDED_ON,
    COUNTER_PACKETS_HANDED_IN,
    COUNTER_DROP_MALFORMED,
    COUNTER_DROP_NO_ROUTE,
    COUNTER_DROP_NO_TARGET,
    COUNTER_DROP_WRONG_SOURCE,
    COUNTER_DROP_CALL_OPTION,
    COUNTER_DROP_SEND,
    COUNTER_RESETS_SENT,
    COUNTER_REFUSED_NOT_RUN,
    COUNTER_REFUSED_UNKNOWN,
    COUNTER_ANNOUNCEMENTS,
    COUNTER_ANNOUNCEMENTS_BAD,
    COUNTER_PROBES_OK,
    COUNTER_PROBES_FAILED,
    COUNTER_API_REQUESTS,
    COUNTER_API_REFUSED,
    COUNTER_PEER_BYTES_IN,
    COUNTER_PEER_BYTES_OUT,
    COUNTER_PEER_HANDON_BYTES_OUT,
    COUNTER_PEER_REFUSED,
    COUNTER_PEER_BAD_FRAMES,
    COUNTER_PEER_QUEUE_FULL,
    COUNTER_EDITS_ACCEPTED,
    COUNTER_EDITS_REFUSED,
    COUNTER_SPANS_WRITTEN,
    COUNTER_SPANS_LOST,
    COUNTER__MAX
};

struct counters {
    uint64_t value[COUNTER__MAX];
};

/* A value of another module, added to the text under its own name. */
struct counter_extra {
    const char *name; /* with labels, if any */
    const char *help;
    const char *type; /* "counter" or "gauge" */
    double value;
};

/* Latencies by powers of two: bucket N counts those below 2^N ms. */
#define COUNTER_BUCKETS 16

void counter_add(struct counters *, enum counter_id, uint64_t);
void counter_latency(uint64_t buckets[COUNTER_BUCKETS], uint64_t took_us);
void counter_write_latency(const char *name, const char *help,
                           const uint64_t buckets[COUNTER_BUCKETS],
                           GString *out);
void counter_write(const struct counters *, GString *out);
void counter_write_extra(const struct counter_extra *, size_t, GString *out);

#endif
