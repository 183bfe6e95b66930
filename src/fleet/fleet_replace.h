/*
 * Chooses which standby replaces which voter.  Pure: the leader of the log
 * calls it at intervals and proposes the result.
 */
#ifndef PS_FLEET_FLEET_REPLACE_H
#define PS_FLEET_FLEET_REPLACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A voter as the leader sees it. */
struct fleet_voter_view {
    uint32_t address; /* 0 if no daemon is assigned */
    uint32_t zone;    /* of its assignee; 0 if unknown */
    bool active;      /* its assignee votes and answered lately */
};

/* A control daemon that does not vote. */
struct fleet_standby {
    uint32_t address;
    uint32_t zone;
};

/* A voter, and the daemon to assign to it. */
struct fleet_replacement {
    size_t voter;     /* its index */
    uint32_t address; /* 0: nothing is to be changed */
};

struct fleet_replacement
fleet_replace_choose_standby(const struct fleet_voter_view *,
                             size_t voter_count, const struct fleet_standby *,
                             size_t standby_count);

#endif
