/*
 * Which daemon should hold a voter's seat.  Pure: the leader of the log asks
 * now and then, and proposes what comes out.
 */
#ifndef PS_FLEET_FLEET_SEATS_H
#define PS_FLEET_FLEET_SEATS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A seat as the leader sees it. */
struct fleet_seat_view {
    uint32_t address; /* 0 if vacant */
    uint32_t zone;    /* of its holder; 0 if unknown */
    bool heard;       /* its holder votes and was heard lately */
};

/* A control daemon without a seat. */
struct fleet_standby {
    uint32_t address;
    uint32_t zone;
};

/* A seat to be given to another daemon. */
struct fleet_seat_change {
    size_t seat;
    uint32_t address; /* 0: nothing is to be changed */
};

struct fleet_seat_change fleet_seats_decide(const struct fleet_seat_view *,
                                            size_t seat_count,
                                            const struct fleet_standby *,
                                            size_t standby_count);

#endif
