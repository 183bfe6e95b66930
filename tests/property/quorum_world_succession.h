/*
 * Successions in struct World: a replaced node keeps its log and its vote
 * until its successor votes, as fleet_tenure says; included by one program
 * only.
 */
#ifndef PS_TESTS_QUORUM_WORLD_SUCCESSION_H
#define PS_TESTS_QUORUM_WORLD_SUCCESSION_H

#include "quorum_world.h"

static const uint64_t VOTER_LOST_US = 1500000; /* as the fleet has it */

/* Addresses tell the holders of a number apart. */
uint32_t
World::address_of(int at) const
{
    return (uint32_t)(nodes[at].tenure * 16 + nodes[at].id.value);
}

/* The node with ADDRESS, or -1 if it has ended. */
int
World::node_at(uint32_t address) const
{
    for (size_t i = 0; i < 2 * count; i++) {
        bool stands = i < count || nodes[i].keeps;

        if (stands && address_of((int)i) == address) {
            return (int)i;
        }
    }
    return -1;
}

/* Every node knows the founders. */
void
World::begin_successions()
{
    successions = true;
    for (Node &node : nodes) {
        for (size_t i = 0; i < count; i++) {
            fleet_tenure_votes(&node.views[i], {address_of((int)i), 0});
        }
    }
}

/* True while the replaced holder of number A has its log and its vote. */
bool
World::is_unsettled(int a) const
{
    return successions && nodes[a + count].keeps;
}

/*
 * True if no store has the vote of number A: its holder's was lost, and there
 * is no replaced one.  From the moment when a log admits the successor until
 * that one knows, neither votes (docs/design/quorum.md).
 */
bool
World::has_lost_vote(int a) const
{
    return nodes[a].wiped && !(is_unsettled(a) && !nodes[a].admitted);
}

/* True if A is a successor without the vote, which its former has yet. */
bool
World::has_nothing_to_lose(int a) const
{
    return is_unsettled(a) && nodes[a].wiped && !nodes[a].admitted;
}

/* True if a successor may be admitted before a lost store is noticed. */
bool
World::admission_is_near() const
{
    for (size_t i = 0; i < count; i++) {
        if (is_unsettled((int)i) && nodes[i].core != nullptr) {
            return true;
        }
    }
    return false;
}

/*
 * The log has named an empty node the holder of number A; LEADER has applied
 * the entry.
 */
void
World::succeed(int a, int leader)
{
    uint64_t tenure = std::max(nodes[a].tenure, nodes[a + count].tenure) + 1;

    if (nodes[a].wiped) { /* it has no vote: nothing is kept of it */
        stop(a, false);
        quorum_stored_clear(&nodes[a].disk);
        quorum_stored_init(&nodes[a].disk);
        push(now + draw(500 * MS), a, Due::Restart);
    }
    else {
        replace(a);
        nodes[a].admitted = false;
        nodes[a + count].keeps = true;
        std::copy(nodes[a].views, nodes[a].views + count,
                  nodes[a + count].views);
    }
    nodes[a].tenure = tenure;
    fleet_tenure_name(&nodes[leader].views[a], {address_of(a), tenure});
    for (size_t i = 0; i < 2 * count; i++) {
        cut[a][i] = cut[i][a] = false;
    }
}

/* The log has named the replaced holder of number A again. */
void
World::take_back(int a)
{
    Node &former = nodes[a + count];
    uint64_t tenure = nodes[a].tenure + 1;

    stop(a, false);
    quorum_stored_clear(&nodes[a].disk);
    stop(a + (int)count, false);
    nodes[a].disk = former.disk;
    quorum_stored_init(&former.disk);
    std::copy(former.views, former.views + count, nodes[a].views);
    former.keeps = false;
    for (size_t i = 0; i < 2 * count; i++) {
        cut[a][i] = cut[a + count][i];
        cut[i][a] = cut[i][a + count];
    }
    nodes[a].tenure = tenure;
    nodes[a].lost_before = former.lost_before;
    nodes[a].rate = former.rate;
    nodes[a].offset = former.offset;
    nodes[a].wiped = false;
    nodes[a].admitted = false;
    seen.reverted++;
    push(now + draw(20 * MS), a, Due::Restart);
}

/* A leader names a replaced holder again that answers it. */
void
World::consider_former(int at)
{
    Node &node = nodes[at];

    if (node.core == nullptr || !quorum_core_read_ok(node.core, local(node))) {
        return;
    }
    for (size_t i = 0; i < count; i++) {
        bool self = node.id.value == i + 1;

        fleet_tenure_name(&node.views[i],
                          {address_of((int)i), nodes[i].tenure});
        if (is_unsettled((int)i)) {
            send_heartbeat(at, (int)(i + count));
        }
        if (is_unsettled((int)i) && !fleet_tenure_is_settled(&node.views[i]) &&
            (self ? at >= (int)count
                  : quorum_core_voter_acked(node.core, nodes[i].id,
                                            VOTER_LOST_US))) {
            take_back((int)i);
            return;
        }
    }
}

/* Node AT ends if its successor votes. */
void
World::follow(int at)
{
    int number = (int)nodes[at].id.value - 1;

    if (at >= (int)count && nodes[at].keeps &&
        fleet_tenure_is_over(&nodes[at].views[number],
                             {address_of(at), nodes[at].tenure})) {
        stop(at, false);
        quorum_stored_clear(&nodes[at].disk);
        quorum_stored_init(&nodes[at].disk);
        nodes[at].keeps = false;
    }
}

/* Node AT takes what is newer in VIEWS, another node's. */
void
World::learn(int at, const fleet_tenure *views)
{
    for (size_t i = 0; i < count; i++) {
        fleet_tenure_name(&nodes[at].views[i], views[i].current);
        fleet_tenure_votes(&nodes[at].views[i], views[i].voting);
    }
}

/* Daemons tell all others whom they know, holders of a number or not. */
void
World::send_heartbeat(int from, int to)
{
    if (to >= 0 && nodes[to].core != nullptr && !cut[from][to]) {
        learn(to, nodes[from].views);
        follow(to);
    }
}

/* Learn what the sender of EVENT knew; false if it does not hold its number. */
bool
World::heard_of(int at, const Event &event, const quorum_message &message)
{
    Node &node = nodes[at];
    fleet_holder sender = {event.sender, event.tenure};
    size_t from = message.from.value - 1;

    if (quorum_core_has_vote(node.core) && node.disk.hard_state.has_vote) {
        fleet_tenure_votes(&node.views[node.id.value - 1],
                           {address_of(at), node.tenure});
    }
    learn(at, event.views->data());
    fleet_tenure_name(&node.views[from], sender);
    if (message.has_vote) {
        fleet_tenure_votes(&node.views[from], sender);
    }
    send_heartbeat(at, node_at(event.sender));
    return message.from.value != node.id.value &&
           fleet_tenure_holds(&node.views[from], sender);
}

/* The replaced holder of number A loses its store, if a vote may be lost. */
void
World::wipe_former(int a)
{
    if (!may_lose(a)) {
        return;
    }
    stop(a + (int)count, false);
    quorum_stored_clear(&nodes[a + count].disk);
    quorum_stored_init(&nodes[a + count].disk);
    nodes[a + count].keeps = false;
    seen.wiped_between++;
}

/* Send MESSAGE to those that hold the number TO, as node FROM knows them. */
void
World::send_to_holders(int from, daemon_id to, const quorum_message &message)
{
    const fleet_tenure *view = &nodes[from].views[to.value - 1];
    bool feeds = message.kind == QUORUM_MSG_APPEND ||
                 message.kind == QUORUM_MSG_SNAPSHOT;
    int voting = node_at(view->voting.address);
    bool answers =
        voting >= 0 && nodes[voting].core != nullptr && !cut[voting][from] &&
        quorum_core_voter_in_contact(nodes[from].core, to, VOTER_LOST_US);
    uint32_t holders[FLEET_HOLDERS_MAX];
    size_t holder_count = fleet_tenure_route(
        view, feeds ? FLEET_TO_FEED : FLEET_TO_VOTE, answers, holders);

    for (size_t i = 0; i < holder_count; i++) {
        int at = node_at(holders[i]);

        if (at >= 0 && at != from) {
            transmit(from, at, message);
        }
    }
}

#endif
