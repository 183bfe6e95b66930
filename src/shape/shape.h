/*
 * A traffic shaper: a queue in front of a link that is slower than the
 * incoming traffic.  The link itself would drop what exceeds its own short
 * queue.
 *
 * Packets leave at the link's rate.  Interactive packets leave first, since
 * new flows and requests must not wait behind the data of uploads.  A copy of
 * a packet that is still queued is dropped, and so are the queued bulk packets
 * of a flow that has ended.  Bulk packets are dropped above a limit of queued
 * bytes, all packets above twice that limit.
 *
 * The module does no I/O and reads no clock: packets and the time are passed
 * in, packets that may leave are returned.
 */
#ifndef PS_SHAPE_SHAPE_H
#define PS_SHAPE_SHAPE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct shape;

enum shape_class {
    SHAPE_INTERACTIVE, /* first packets, small requests, acknowledgements */
    SHAPE_BULK,        /* data of uploads */
    SHAPE_CLASS__MAX
};

/* A member that is 0 takes the default in its comment, if there is one. */
struct shape_options {
    uint64_t bytes_per_s; /* rate of the link; 0: unlimited */
    uint32_t burst_bytes; /* sent at once: 15 ms at the rate, at least 2,560 */
    uint32_t queue_bytes; /* bulk limit: 500 ms at the rate, at least 32,768 */
    uint32_t frame_bytes; /* added by the link to each packet; 28 */
};

struct shape_packet {
    uint32_t address; /* destination */
    uint16_t port;
    enum shape_class class;
    uint64_t flow; /* equal for all packets of a flow */
    uint64_t key;  /* equal for copies of one packet */
    const uint8_t *data;
    size_t len;
};

struct shape_counters {
    uint64_t delayed;                   /* packets that had to wait */
    uint64_t duplicates;                /* copies of queued packets, dropped */
    uint64_t dropped[SHAPE_CLASS__MAX]; /* above the limit */
    uint64_t dropped_ended;             /* packets of flows that had ended */
    uint64_t max_wait_us;               /* longest wait of a packet */
};

struct shape *shape_new(const struct shape_options *);
void shape_free(struct shape *);
bool shape_enqueue(struct shape *, uint64_t now_us,
                   const struct shape_packet *);
const struct shape_packet *shape_dequeue(struct shape *, uint64_t now_us);
uint64_t shape_wait_us(const struct shape *, uint64_t now_us);
size_t shape_queued_bytes(const struct shape *, enum shape_class);
void shape_drop_flow(struct shape *, uint64_t flow);
const struct shape_counters *shape_counters(const struct shape *);

#endif
