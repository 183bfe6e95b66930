/*
 * Voter assignments in struct World: a replaced node keeps its log and its
 * vote until its successor votes, by the rules of fleet_assignment.  A program
 * includes this file in one source file only.
 */
#ifndef PS_TESTS_QUORUM_WORLD_ASSIGNMENT_H
#define PS_TESTS_QUORUM_WORLD_ASSIGNMENT_H

#include "quorum_world.h"

static const uint64_t VOTER_LOST_US = 1500000; /* the same as in src/fleet */

/* Return the address of node AT; it differs between assignees of a number. */
uint32_t
World::address_of(int at) const
{
    return (uint32_t)(nodes[at].assignment * 16 + nodes[at].id.value);
}

/* Return the index of the node with ADDRESS, or -1 if there is none. */
int
World::node_at(uint32_t address) const
{
    for (size_t i = 0; i < 2 * count; i++) {
        bool exists = i < count || nodes[i].keeps_vote;

        if (exists && address_of((int)i) == address) {
            return (int)i;
        }
    }
    return -1;
}

/* Turn on the tracking of assignments; all nodes know the initial voters. */
void
World::track_assignments()
{
    tracks_assignments = true;
    for (Node &node : nodes) {
        for (size_t i = 0; i < count; i++) {
            fleet_assignment_set_voting(&node.views[i],
                                        {address_of((int)i), 0});
        }
    }
}

/* Return true while the former assignee of A keeps its log and its vote. */
bool
World::has_former_with_vote(int a) const
{
    return tracks_assignments && nodes[a + count].keeps_vote;
}

/*
 * Return true if no store has the vote of voter A: the assignee's store was
 * lost, and no former assignee has the vote.  Once a log admits the successor,
 * neither of them votes until the successor knows (docs/design/quorum.md).
 */
bool
World::has_lost_vote(int a) const
{
    return nodes[a].wiped_without_vote &&
           !(has_former_with_vote(a) && !nodes[a].store_admitted);
}

/*
 * Return true if A is a successor without the vote, which its former assignee
 * still has.
 */
bool
World::is_successor_without_vote(int a) const
{
    return has_former_with_vote(a) && nodes[a].wiped_without_vote &&
           !nodes[a].store_admitted;
}

/*
 * Return true if some successor may be admitted before the loss of a store is
 * noticed.
 */
bool
World::admission_is_possible() const
{
    for (size_t i = 0; i < count; i++) {
        if (has_former_with_vote((int)i) && nodes[i].core != nullptr) {
            return true;
        }
    }
    return false;
}

/*
 * Assign a node with an empty store to voter A.  The log has an entry for
 * this, which LEADER has applied.
 */
void
World::assign_successor(int a, int leader)
{
    uint64_t assignment =
        std::max(nodes[a].assignment, nodes[a + count].assignment) + 1;

    if (nodes[a].wiped_without_vote) { /* no vote, so nothing is kept */
        stop_node(a, false);
        quorum_stored_clear(&nodes[a].disk);
        quorum_stored_init(&nodes[a].disk);
        schedule(now + random_below(500 * MS), a, EventKind::Restart);
    }
    else {
        replace_node(a);
        nodes[a].store_admitted = false;
        nodes[a + count].keeps_vote = true;
        std::copy(nodes[a].views, nodes[a].views + count,
                  nodes[a + count].views);
    }
    nodes[a].assignment = assignment;
    fleet_assignment_set_assigned(&nodes[leader].views[a],
                                  {address_of(a), assignment});
    for (size_t i = 0; i < 2 * count; i++) {
        cut[a][i] = cut[i][a] = false;
    }
}

/* Assign the former assignee of A to its voter number again. */
void
World::restore_former(int a)
{
    Node &former = nodes[a + count];
    uint64_t assignment = nodes[a].assignment + 1;

    stop_node(a, false);
    quorum_stored_clear(&nodes[a].disk);
    stop_node(a + (int)count, false);
    nodes[a].disk = former.disk;
    quorum_stored_init(&former.disk);
    std::copy(former.views, former.views + count, nodes[a].views);
    former.keeps_vote = false;
    for (size_t i = 0; i < 2 * count; i++) {
        cut[a][i] = cut[a + count][i];
        cut[i][a] = cut[i][a + count];
    }
    nodes[a].assignment = assignment;
    nodes[a].store_lost_before = former.store_lost_before;
    nodes[a].clock_rate = former.clock_rate;
    nodes[a].clock_offset = former.clock_offset;
    nodes[a].wiped_without_vote = false;
    nodes[a].store_admitted = false;
    counts.restored++;
    schedule(now + random_below(20 * MS), a, EventKind::Restart);
}

/* If node AT leads, assign a former assignee again that answers it. */
void
World::try_restore_former(int at)
{
    Node &node = nodes[at];

    if (node.core == nullptr ||
        !quorum_core_read_ok(node.core, local_time(node))) {
        return;
    }
    for (size_t i = 0; i < count; i++) {
        bool self = node.id.value == i + 1;

        fleet_assignment_set_assigned(
            &node.views[i], {address_of((int)i), nodes[i].assignment});
        if (has_former_with_vote((int)i)) {
            send_heartbeat(at, (int)(i + count));
        }
        if (has_former_with_vote((int)i) &&
            !fleet_assignment_is_settled(&node.views[i]) &&
            (self ? at >= (int)count
                  : quorum_core_voter_acked(node.core, nodes[i].id,
                                            VOTER_LOST_US))) {
            restore_former((int)i);
            return;
        }
    }
}

/* Remove the node AT if it was replaced and its successor votes. */
void
World::stop_if_replaced(int at)
{
    int number = (int)nodes[at].id.value - 1;

    if (at >= (int)count && nodes[at].keeps_vote &&
        fleet_assignment_is_superseded(
            &nodes[at].views[number],
            {address_of(at), nodes[at].assignment})) {
        stop_node(at, false);
        quorum_stored_clear(&nodes[at].disk);
        quorum_stored_init(&nodes[at].disk);
        nodes[at].keeps_vote = false;
    }
}

/* Update the assignments known to node AT by newer ones in VIEWS. */
void
World::merge_views(int at, const fleet_assignment *views)
{
    for (size_t i = 0; i < count; i++) {
        fleet_assignment_set_assigned(&nodes[at].views[i], views[i].assigned);
        fleet_assignment_set_voting(&nodes[at].views[i], views[i].voting);
    }
}

/*
 * Report FROM's known assignments to node TO.  Daemons send heartbeats to all
 * daemons that they know, also to former assignees.
 */
void
World::send_heartbeat(int from, int to)
{
    if (to >= 0 && nodes[to].core != nullptr && !cut[from][to]) {
        merge_views(to, nodes[from].views);
        stop_if_replaced(to);
    }
}

/*
 * Update what node AT knows from MESSAGE and the sender of EVENT.  Return
 * false if the sender is not an assignee of its voter number.
 */
bool
World::accepts_assignee(int at, const Event &event,
                        const quorum_message &message)
{
    Node &node = nodes[at];
    fleet_assignee sender = {event.sender, event.assignment};
    size_t from = message.from.value - 1;

    if (quorum_core_has_vote(node.core) && node.disk.hard_state.has_vote) {
        fleet_assignment_set_voting(&node.views[node.id.value - 1],
                                    {address_of(at), node.assignment});
    }
    merge_views(at, event.views->data());
    fleet_assignment_set_assigned(&node.views[from], sender);
    if (message.has_vote) {
        fleet_assignment_set_voting(&node.views[from], sender);
    }
    send_heartbeat(at, node_at(event.sender));
    return message.from.value != node.id.value &&
           fleet_assignment_includes(&node.views[from], sender);
}

/* Let the former assignee of A lose its store, if a vote may be lost. */
void
World::wipe_former(int a)
{
    if (!may_lose_store(a)) {
        return;
    }
    stop_node(a + (int)count, false);
    quorum_stored_clear(&nodes[a + count].disk);
    quorum_stored_init(&nodes[a + count].disk);
    nodes[a + count].keeps_vote = false;
    counts.wiped_during_replacement++;
}

/* Send MESSAGE to the assignees of voter TO that node FROM knows. */
void
World::send_to_assignees(int from, daemon_id to, const quorum_message &message)
{
    const fleet_assignment *view = &nodes[from].views[to.value - 1];
    bool is_replication = message.kind == QUORUM_MSG_APPEND ||
                          message.kind == QUORUM_MSG_SNAPSHOT;
    int voting = node_at(view->voting.address);
    bool answers =
        voting >= 0 && nodes[voting].core != nullptr && !cut[voting][from] &&
        quorum_core_voter_in_contact(nodes[from].core, to, VOTER_LOST_US);
    uint32_t assignees[FLEET_ASSIGNEES_MAX];
    size_t assignee_count = fleet_assignment_recipients(
        view, is_replication ? FLEET_TO_ONE_ASSIGNEE : FLEET_TO_ALL_ASSIGNEES,
        answers, assignees);

    for (size_t i = 0; i < assignee_count; i++) {
        int at = node_at(assignees[i]);

        if (at >= 0 && at != from) {
            transmit(from, at, message);
        }
    }
}

#endif
