/* Holds packets that came before the catalog. */
#include "fleet/fleet_hold.h"

#include <string.h>

#include <glib.h>

/*
 * The first packet of a flow is held for less time than its caller waits before
 * it sends a copy, 200 ms and then twice as long each time: the copy may go to
 * another daemon, which would open the flow at another target.
 */
#define OPENING_AGE_MAX_US  150000U
#define OPENING_DOUBLED_MAX 2
/* A packet of an open flow can only go to the flow's target, so it is held for
 * as long as its caller may still wait. */
#define OPEN_AGE_MAX_US 1500000U

struct held {
    uint64_t key;
    uint64_t arrived_us;
    uint64_t expires_us;
    size_t len;
    uint8_t *data;
};

struct fleet_hold {
    size_t bytes_max;
    size_t bytes;
    GQueue packets;   /* struct held, oldest first */
    GHashTable *keys; /* of the packets, to struct held */
    struct fleet_hold_counters counters;
};

static void free_held(gpointer);
static uint64_t longest_age_us(const struct fleet_hold_packet *);

/* Free PACKET, a struct held. */
static void
free_held(gpointer packet)
{
    struct held *held = packet;

    g_free(held->data);
    g_free(held);
}

/* Return an empty hold for up to BYTES_MAX bytes; fleet_hold_free() frees
 * it. */
struct fleet_hold *
fleet_hold_new(size_t bytes_max)
{
    struct fleet_hold *hold = g_new0(struct fleet_hold, 1);

    hold->bytes_max = bytes_max;
    g_queue_init(&hold->packets);
    hold->keys = g_hash_table_new(g_int64_hash, g_int64_equal);
    return hold;
}

/* Free HOLD and its packets; NULL is allowed. */
void
fleet_hold_free(struct fleet_hold *hold)
{
    if (hold == NULL) {
        return;
    }
    g_hash_table_destroy(hold->keys);
    g_queue_clear_full(&hold->packets, free_held);
    g_free(hold);
}

/* Return the time for which PACKET may be held. */
static uint64_t
longest_age_us(const struct fleet_hold_packet *packet)
{
    uint32_t doubled = MIN(packet->retransmissions, OPENING_DOUBLED_MAX);

    return packet->opens ? (uint64_t)OPENING_AGE_MAX_US << doubled
                         : OPEN_AGE_MAX_US;
}

/*
 * Hold a copy of PACKET, which arrived at ARRIVED_US: now, or before it was
 * held already.  Return false if there is no space.  A copy of a packet that is
 * held is left out.
 */
bool
fleet_hold_add(struct fleet_hold *hold, uint64_t arrived_us,
               const struct fleet_hold_packet *packet)
{
    struct held *held = g_hash_table_lookup(hold->keys, &packet->key);
    uint64_t age_max_us = longest_age_us(packet);

    if (held != NULL) {
        hold->counters.copies++;
        held->arrived_us = arrived_us;
        held->expires_us = arrived_us + age_max_us;
        return true;
    }
    if (hold->bytes + packet->len > hold->bytes_max) {
        hold->counters.full++;
        return false;
    }
    held = g_new0(struct held, 1);
    held->key = packet->key;
    held->arrived_us = arrived_us;
    held->expires_us = arrived_us + age_max_us;
    held->len = packet->len;
    held->data = g_memdup2(packet->data, packet->len);
    g_queue_push_tail(&hold->packets, held);
    g_hash_table_insert(hold->keys, &held->key, held);
    hold->bytes += held->len;
    hold->counters.held++;
    return true;
}

/*
 * Move the oldest packet that is not too old to OUT, which has space for MAX
 * bytes, and set ARRIVED_US to its arrival.  Return its length, 0 if there is
 * none.
 */
size_t
fleet_hold_take(struct fleet_hold *hold, uint64_t now_us, uint8_t *out,
                size_t max, uint64_t *arrived_us)
{
    struct held *held;
    size_t len = 0;

    while (len == 0 && (held = g_queue_pop_head(&hold->packets)) != NULL) {
        g_hash_table_remove(hold->keys, &held->key);
        hold->bytes -= held->len;
        if (now_us >= held->expires_us || held->len > max) {
            hold->counters.expired++;
        }
        else {
            len = held->len;
            memcpy(out, held->data, len);
            *arrived_us = held->arrived_us;
        }
        free_held(held);
    }
    return len;
}

/* Return the number of packets held. */
size_t
fleet_hold_count(const struct fleet_hold *hold)
{
    return hold->packets.length;
}

/* Return the counters, which belong to HOLD. */
const struct fleet_hold_counters *
fleet_hold_counters(const struct fleet_hold *hold)
{
    return &hold->counters;
}
