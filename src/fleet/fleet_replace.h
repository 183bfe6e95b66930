/*
 * Which daemon should replace a voter.  Pure: the leader of the log asks
 * now and then, and proposes what comes out.
 */
#ifndef PS_FLEET_FLEET_REPLACE_H
#define PS_FLEET_FLEET_REPLACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A voter as the leader sees it. */
struct fleet_voter_view {
    uint32_t address; /* 0 if vacant */
    uint32_t zone;    /* of its holder; 0 if unknown */
    bool heard;       /* its holder votes and was heard lately */
};

/* A control daemon that does not vote. */
struct fleet_standby {
    uint32_t address;
    uint32_t zone;
};

/* A voter, and the daemon that is to be it. */
struct fleet_replacement {
    size_t voter;
    uint32_t address; /* 0: nothing is to be changed */
};

struct fleet_replacement fleet_replace_choose(const struct fleet_voter_view *,
                                              size_t voter_count,
                                              const struct fleet_standby *,
                                              size_t standby_count);

#endif
