/*
 * Packets that came before the catalog.  When all daemons start again at once,
 * the fabric sends packets to an entry daemon that cannot place them yet.  A
 * caller sends a packet again only after 200 ms, 400 ms and so on, so a dropped
 * one costs far more than the wait for the catalog.  Such packets are held, up
 * to a limit in bytes and age, and decided on when the catalog is there.
 *
 * The module does no I/O and reads no clock.
 */
#ifndef PS_FLEET_FLEET_HOLD_H
#define PS_FLEET_FLEET_HOLD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct fleet_hold;

struct fleet_hold_packet {
    uint64_t key;             /* equal for copies of one packet */
    bool opens;               /* the first packet of a flow */
    uint32_t retransmissions; /* of a first packet: how often sent before */
    const uint8_t *data;
    size_t len;
};

struct fleet_hold_counters {
    uint64_t held;
    uint64_t copies;  /* of packets held already */
    uint64_t full;    /* not held, for lack of space */
    uint64_t expired; /* too old when they could be decided on */
};

struct fleet_hold *fleet_hold_new(size_t bytes_max);
void fleet_hold_free(struct fleet_hold *);
bool fleet_hold_add(struct fleet_hold *, uint64_t arrived_us,
                    const struct fleet_hold_packet *);
size_t fleet_hold_take(struct fleet_hold *, uint64_t now_us, uint8_t *out,
                       size_t max, uint64_t *arrived_us);
size_t fleet_hold_count(const struct fleet_hold *);
const struct fleet_hold_counters *
fleet_hold_counters(const struct fleet_hold *);

#endif
