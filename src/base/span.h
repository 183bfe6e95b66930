/*
 * Spans of sampled flows and calls, written as OTLP JSON lines to a file of
 * bounded size.  Trace ids are hashes of the flow or call, so that every
 * daemon on the way samples alike and writes into the same trace without a
 * context being carried.
 */
#ifndef PS_BASE_SPAN_H
#define PS_BASE_SPAN_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

enum span_hop {
    SPAN_FABRIC_IN,
    SPAN_HAND_ON,
    SPAN_LEAD,
    SPAN_TARGET,
    SPAN_ANSWER,
    SPAN_REFUSE,
    SPAN_HOP__MAX
};

struct span_writer;

struct span_options {
    const char *path;   /* NULL switches spans off */
    const char *daemon; /* becomes service.instance.id */
    const char *zone;
    uint64_t sample;    /* one trace in this many; 1 for all */
    uint64_t max_bytes; /* the file is started anew above it */
};

struct span {
    uint64_t key; /* hash of the flow, or of the call's caller and id */
    enum span_hop hop;
    int64_t start_us; /* wall clock */
    int64_t end_us;
    const char *route; /* NULL if not known */
    const char *peer;  /* the other end: a target's or daemon's address */
};

struct span_writer *span_writer_new(const struct span_options *, GError **);
void span_writer_free(struct span_writer *);
bool span_sampled(const struct span_writer *, uint64_t key);
bool span_write(struct span_writer *, const struct span *);

#endif
