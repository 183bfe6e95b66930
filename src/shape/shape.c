/* Implements the shaper as two queues behind one token bucket. */
#include "shape/shape.h"

#include <string.h>

#include <glib.h>

#define BURST_DEFAULT_US 15000 /* timers fire some milliseconds late */
#define BURST_MIN_BYTES  2560  /* two full packets */
/* Callers retransmit long before this time. */
#define QUEUE_DEFAULT_US         500000
#define QUEUE_MIN_BYTES          32768
#define INTERACTIVE_LIMIT_FACTOR 2  /* times the bulk limit */
#define FRAME_BYTES_DEFAULT      28 /* IP and UDP headers */
#define US_PER_S                 1000000

struct queued_packet {
    struct shape_packet packet;
    uint64_t enqueued_us;
    uint8_t data[]; /* the packet's data member points here */
};

struct shape {
    struct shape_options options;
    GQueue queues[SHAPE_CLASS__MAX]; /* of struct queued_packet */
    size_t bytes[SHAPE_CLASS__MAX];  /* queued */
    double tokens;                   /* bytes that may leave as of filled_us */
    uint64_t filled_us;
    struct queued_packet *dequeued; /* returned last by shape_dequeue() */
    struct shape_counters counters;
};

static double packet_cost(const struct shape *, const struct shape_packet *);
static double tokens_at(const struct shape *, uint64_t now_us);
static bool is_queued(const struct shape *, enum shape_class,
                      const struct shape_packet *);
static size_t queue_limit(const struct shape *, enum shape_class);
static const struct queued_packet *peek_next(const struct shape *);

/* Return a new shaper with empty queues; shape_free() frees it. */
struct shape *
shape_new(const struct shape_options *options)
{
    struct shape *shape = g_new0(struct shape, 1);
    struct shape_options *own = &shape->options;
    uint64_t rate = options->bytes_per_s;

    *own = *options;
    if (own->burst_bytes == 0) {
        own->burst_bytes =
            (uint32_t)MAX(BURST_MIN_BYTES, rate * BURST_DEFAULT_US / US_PER_S);
    }
    if (own->queue_bytes == 0) {
        own->queue_bytes =
            (uint32_t)MAX(QUEUE_MIN_BYTES, rate * QUEUE_DEFAULT_US / US_PER_S);
    }
    if (own->frame_bytes == 0) {
        own->frame_bytes = FRAME_BYTES_DEFAULT;
    }
    shape->tokens = own->burst_bytes;
    return shape;
}

/* Free SHAPE and its queued packets; NULL is allowed. */
void
shape_free(struct shape *shape)
{
    if (shape == NULL) {
        return;
    }
    for (int i = 0; i < SHAPE_CLASS__MAX; i++) {
        g_queue_clear_full(&shape->queues[i], g_free);
    }
    g_free(shape->dequeued);
    g_free(shape);
}

/* Return the bytes of PACKET on the link. */
static double
packet_cost(const struct shape *shape, const struct shape_packet *packet)
{
    return (double)(packet->len + shape->options.frame_bytes);
}

/* Return the bytes that may leave at NOW_US. */
static double
tokens_at(const struct shape *shape, uint64_t now_us)
{
    double elapsed_us = (double)(now_us - MIN(now_us, shape->filled_us));
    double tokens = shape->tokens +
                    elapsed_us * (double)shape->options.bytes_per_s / US_PER_S;

    return MIN(tokens, (double)shape->options.burst_bytes);
}

/* Return true if a copy of PACKET is queued in CLASS. */
static bool
is_queued(const struct shape *shape, enum shape_class class,
          const struct shape_packet *packet)
{
    for (const GList *item = shape->queues[class].head; item != NULL;
         item = item->next) {
        const struct queued_packet *queued_packet = item->data;

        if (queued_packet->packet.key == packet->key &&
            queued_packet->packet.len == packet->len) {
            return true;
        }
    }
    return false;
}

/* Return the maximum of queued bytes, of both classes together, at which a
 * packet of CLASS is accepted. */
static size_t
queue_limit(const struct shape *shape, enum shape_class class)
{
    size_t bulk = shape->options.queue_bytes;

    return class == SHAPE_BULK ? bulk : bulk * INTERACTIVE_LIMIT_FACTOR;
}

/*
 * Add PACKET, whose data is copied, to its queue and return true.  Return
 * false if it is dropped because a copy is queued or the queues are full.
 */
bool
shape_enqueue(struct shape *shape, uint64_t now_us,
              const struct shape_packet *packet)
{
    enum shape_class class = packet->class;
    size_t queued_bytes =
        shape->bytes[SHAPE_INTERACTIVE] + shape->bytes[SHAPE_BULK];
    struct queued_packet *queued_packet;

    if (is_queued(shape, class, packet)) {
        shape->counters.duplicates++;
        return false;
    }
    if (queued_bytes + packet->len > queue_limit(shape, class)) {
        shape->counters.dropped[class]++;
        return false;
    }
    queued_packet = g_malloc(sizeof(*queued_packet) + packet->len);
    queued_packet->packet = *packet;
    queued_packet->packet.data = queued_packet->data;
    queued_packet->enqueued_us = now_us;
    memcpy(queued_packet->data, packet->data, packet->len);
    g_queue_push_tail(&shape->queues[class], queued_packet);
    shape->bytes[class] += packet->len;
    return true;
}

/* Return the packet that leaves next, or NULL if the queues are empty. */
static const struct queued_packet *
peek_next(const struct shape *shape)
{
    for (int i = 0; i < SHAPE_CLASS__MAX; i++) {
        if (shape->queues[i].head != NULL) {
            return shape->queues[i].head->data;
        }
    }
    return NULL;
}

/*
 * Remove and return the next packet if it may leave at NOW_US, else return
 * NULL.  The packet belongs to SHAPE and is valid until the next call of
 * shape_dequeue().
 */
const struct shape_packet *
shape_dequeue(struct shape *shape, uint64_t now_us)
{
    const struct queued_packet *next = peek_next(shape);
    double cost;
    uint64_t waited_us;

    if (next == NULL) {
        return NULL;
    }
    cost = packet_cost(shape, &next->packet);
    if (shape->options.bytes_per_s > 0) {
        shape->tokens = tokens_at(shape, now_us);
        shape->filled_us = MAX(shape->filled_us, now_us);
        if (shape->tokens < cost) {
            return NULL;
        }
        shape->tokens -= cost;
    }
    g_free(shape->dequeued);
    shape->dequeued = g_queue_pop_head(&shape->queues[next->packet.class]);
    shape->bytes[shape->dequeued->packet.class] -= shape->dequeued->packet.len;
    waited_us = now_us - MIN(now_us, shape->dequeued->enqueued_us);
    shape->counters.delayed += waited_us > 0 ? 1 : 0;
    shape->counters.max_wait_us = MAX(shape->counters.max_wait_us, waited_us);
    return &shape->dequeued->packet;
}

/* Return the microseconds until a packet may leave, at least 1; 0 if none is
 * queued or the rate is unlimited. */
uint64_t
shape_wait_us(const struct shape *shape, uint64_t now_us)
{
    const struct queued_packet *next = peek_next(shape);
    double missing_tokens;

    if (next == NULL || shape->options.bytes_per_s == 0) {
        return 0;
    }
    missing_tokens =
        packet_cost(shape, &next->packet) - tokens_at(shape, now_us);
    if (missing_tokens <= 0) {
        return 1;
    }
    return (uint64_t)(missing_tokens * US_PER_S /
                      (double)shape->options.bytes_per_s) +
           1;
}

/* Return the queued bytes of CLASS. */
size_t
shape_queued_bytes(const struct shape *shape, enum shape_class class)
{
    return shape->bytes[class];
}

/* Drop the queued bulk packets of FLOW, which has ended: nobody needs them. */
void
shape_drop_flow(struct shape *shape, uint64_t flow)
{
    GQueue *queue = &shape->queues[SHAPE_BULK];
    GList *item = queue->head;

    while (item != NULL) {
        struct queued_packet *queued_packet = item->data;
        GList *next = item->next;

        if (queued_packet->packet.flow == flow) {
            shape->bytes[SHAPE_BULK] -= queued_packet->packet.len;
            shape->counters.dropped_ended++;
            g_queue_delete_link(queue, item);
            g_free(queued_packet);
        }
        item = next;
    }
}

/* Return the counters, which belong to SHAPE. */
const struct shape_counters *
shape_counters(const struct shape *shape)
{
    return &shape->counters;
}
