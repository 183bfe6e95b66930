/*
 * Tracks the assignees of a voter number: the last one assigned, the one with
 * the vote, and the recipients of messages.
 */
#include "fleet/fleet_assignment.h"

static bool is_newer(struct fleet_assignee, struct fleet_assignee);
static bool is_same(struct fleet_assignee, struct fleet_assignee);

/* Return true if A was assigned after B, or if B is none. */
static bool
is_newer(struct fleet_assignee a, struct fleet_assignee b)
{
    return a.address != 0 && (b.address == 0 || a.revision > b.revision);
}

/* Return true if A and B have the same address and revision. */
static bool
is_same(struct fleet_assignee a, struct fleet_assignee b)
{
    return a.address == b.address && a.revision == b.revision;
}

/*
 * Record that ASSIGNEE was assigned to the number.  Return false if that is
 * not newer than what is known.
 */
bool
fleet_assignment_set_assigned(struct fleet_assignment *assignment,
                              struct fleet_assignee assignee)
{
    if (!is_newer(assignee, assignment->assigned)) {
        return false;
    }
    assignment->assigned = assignee;
    return true;
}

/*
 * Record that ASSIGNEE has the vote.  Return false if that is not newer than
 * what is known.
 */
bool
fleet_assignment_set_voting(struct fleet_assignment *assignment,
                            struct fleet_assignee assignee)
{
    fleet_assignment_set_assigned(assignment, assignee);
    if (!is_newer(assignee, assignment->voting)) {
        return false;
    }
    assignment->voting = assignee;
    return true;
}

/*
 * Return the address of the assignee that has the vote; of the one assigned
 * last if none is known to have it; 0 if there is neither.
 */
uint32_t
fleet_assignment_voting_address(const struct fleet_assignment *assignment)
{
    return assignment->voting.address != 0 ? assignment->voting.address
                                           : assignment->assigned.address;
}

/*
 * Return true if the assignee that was assigned last has the vote, or no
 * assignee ever had it.
 */
bool
fleet_assignment_is_settled(const struct fleet_assignment *assignment)
{
    return assignment->voting.address == 0 ||
           is_same(assignment->voting, assignment->assigned);
}

/* Return true if messages from ASSIGNEE under the number are accepted. */
bool
fleet_assignment_includes(const struct fleet_assignment *assignment,
                          struct fleet_assignee assignee)
{
    return assignee.address != 0 && (is_same(assignee, assignment->assigned) ||
                                     is_same(assignee, assignment->voting));
}

/*
 * Return true if a successor of ASSIGNEE votes, so that ASSIGNEE's log may be
 * removed.
 */
bool
fleet_assignment_is_superseded(const struct fleet_assignment *assignment,
                               struct fleet_assignee assignee)
{
    return is_newer(assignment->voting, assignee);
}

/*
 * Fill OUT with the addresses of the assignees that a message is for, at most
 * FLEET_ASSIGNEES_MAX, and return how many.  A leader replicates to one store
 * only, because it counts the entries in that store: to the voting assignee
 * while that one answers (VOTING_ANSWERS), because without its copies nothing
 * is committed if another voter is lost; else to the one that was assigned
 * last.
 */
size_t
fleet_assignment_recipients(const struct fleet_assignment *assignment,
                            enum fleet_recipients recipients,
                            bool voting_answers, uint32_t out[])
{
    size_t count = 0;

    if (fleet_assignment_is_settled(assignment)) {
        out[0] = assignment->assigned.address;
        return assignment->assigned.address != 0 ? 1 : 0;
    }
    switch (recipients) {
    case FLEET_TO_ALL_ASSIGNEES:
        out[count++] = assignment->voting.address;
        out[count++] = assignment->assigned.address;
        break;
    case FLEET_TO_ONE_ASSIGNEE:
        out[count++] = voting_answers ? assignment->voting.address
                                      : assignment->assigned.address;
        break;
    case FLEET_RECIPIENTS__MAX:
        break;
    }
    return count;
}
