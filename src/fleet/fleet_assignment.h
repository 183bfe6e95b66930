/*
 * Tracks which daemon is assigned to a voter number.  A replaced voter keeps
 * its log and its vote until its successor votes: before that, losing one more
 * disk must not leave the others without a majority.  A number therefore has
 * two assignees for a while, and messages to it go to one or both of them.
 *
 * Pure.  Assignees are ordered by revision; an earlier one never replaces a
 * later one.
 */
#ifndef PS_FLEET_FLEET_ASSIGNMENT_H
#define PS_FLEET_FLEET_ASSIGNMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define FLEET_ASSIGNEES_MAX 2

/* A daemon, and the revision of the log entry that assigned it to the voter
 * number; 0 for an initial voter. */
struct fleet_assignee {
    uint32_t address; /* 0 for none */
    uint64_t revision;
};

struct fleet_assignment {
    struct fleet_assignee assigned; /* assigned last, according to the log */
    struct fleet_assignee voting;   /* last known to have the vote */
};

/* Which assignees of a voter number receive a message. */
enum fleet_recipients {
    FLEET_TO_ALL_ASSIGNEES, /* all that may vote or expect an answer */
    FLEET_TO_ONE_ASSIGNEE,  /* the only store that the leader replicates to */
    FLEET_RECIPIENTS__MAX
};

bool fleet_assignment_set_assigned(struct fleet_assignment *,
                                   struct fleet_assignee);
bool fleet_assignment_set_voting(struct fleet_assignment *,
                                 struct fleet_assignee);
uint32_t fleet_assignment_voting_address(const struct fleet_assignment *);
bool fleet_assignment_is_settled(const struct fleet_assignment *);
bool fleet_assignment_includes(const struct fleet_assignment *,
                               struct fleet_assignee);
bool fleet_assignment_is_superseded(const struct fleet_assignment *,
                                    struct fleet_assignee);
size_t fleet_assignment_recipients(const struct fleet_assignment *,
                                   enum fleet_recipients, bool voting_answers,
                                   uint32_t out[]);

#endif
