/*
 * Membership under generated schedules of loss, delay, doubling, cuts,
 * crashes and restarts: views converge, leads agree, and no running daemon
 * is declared dead for lost probes alone.
 */
#include <cstdlib>
#include <iostream>

#include <rapidcheck.h>

#include "prop_member_net.h"

using namespace member_net;

namespace {

constexpr uint64_t SETTLE_LIMIT_US = 20 * SECOND_US;
constexpr uint64_t DETECT_LIMIT_US = 6 * SECOND_US;

enum FaultKind {
    CRASH,
    RESTART,
    CUT,
    CUT_ONE_WAY,
    PAUSE,
    LOSSY,
    FAULT_MAX
};

struct Fault {
    int kind;
    unsigned first, second; /* daemons, modulo their number */
    unsigned hold_ms;       /* until the next fault */
};

std::ostream &
operator<<(std::ostream &out, const Fault &fault)
{
    return out << "{" << fault.kind << " " << fault.first << " "
               << fault.second << " " << fault.hold_ms << "}";
}

rc::Gen<Fault>
any_fault()
{
    return rc::gen::build<Fault>(
        rc::gen::set(&Fault::kind, rc::gen::inRange<int>(0, FAULT_MAX)),
        rc::gen::set(&Fault::first, rc::gen::inRange<unsigned>(0, 64)),
        rc::gen::set(&Fault::second, rc::gen::inRange<unsigned>(0, 64)),
        rc::gen::set(&Fault::hold_ms, rc::gen::inRange<unsigned>(50, 4000)));
}

void
start_all(Net &net)
{
    for (size_t i = 0; i < net.nodes.size(); i++) {
        net.start(i);
    }
}

/* Cut the first FIRST + 1 daemons off from the others. */
void
cut(Net &net, size_t first, bool both_ways)
{
    for (size_t i = 0; i <= first; i++) {
        for (size_t j = first + 1; j < net.nodes.size(); j++) {
            net.cuts.insert({i, j});
            if (both_ways) {
                net.cuts.insert({j, i});
            }
        }
    }
}

void
apply(Net &net, const Fault &fault)
{
    size_t first = fault.first % net.nodes.size();

    switch (fault.kind) {
    case CRASH:
        if (net.up(first)) {
            net.crash(first);
        }
        break;
    case RESTART:
        if (net.up(first)) {
            net.crash(first);
        }
        net.start(first);
        break;
    case CUT:
    case CUT_ONE_WAY:
        cut(net, first, fault.kind == CUT);
        break;
    case PAUSE:
        net.nodes[first].paused_until = net.now + fault.second * 50'000ULL;
        break;
    default:
        net.loss = (fault.second % 4) * 0.1;
        break;
    }
    net.run(fault.hold_ms * 1000ULL);
}

void
heal(Net &net)
{
    net.cuts.clear();
    net.loss = 0;
    for (auto &node : net.nodes) {
        node.paused_until = 0;
    }
}

/* Every running daemon names the same lead for some pools. */
bool
leads_agree(const Net &net)
{
    for (uint64_t pool = 1; pool <= 8; pool++) {
        std::set<uint64_t> leads;

        for (size_t i = 0; i < net.nodes.size(); i++) {
            size_t count;
            const daemon_view *view;

            if (!net.up(i)) {
                continue;
            }
            view = member_core_daemons(net.nodes[i].core, &count);
            leads.insert(view_owner({pool}, view, count).value);
        }
        if (leads.size() > 1) {
            return false;
        }
    }
    return true;
}

bool
converges(unsigned seed, const std::vector<Fault> &faults)
{
    Net net(4 + seed % 6, 3, seed);

    net.doubling = 0.05;
    net.through_wire = seed % 8 == 0;
    start_all(net);
    net.run(2 * SECOND_US);
    for (size_t i = 0; i < faults.size() && i < 6; i++) {
        apply(net, faults[i]);
    }
    heal(net);
    net.settle(SETTLE_LIMIT_US);
    return net.converged() && leads_agree(net) &&
           net.largest <= MEMBER_DATAGRAM_MAX;
}

/* A fifth of all datagrams lost, for 15 s: nobody is declared dead. */
bool
survives_loss(unsigned seed)
{
    Net net(4 + seed % 6, 3, seed);

    start_all(net);
    net.settle(SETTLE_LIMIT_US);
    net.loss = 0.2;
    net.run(15 * SECOND_US);
    return net.false_deaths() == 0;
}

/* A crash is seen by all within the bound, also with some loss. */
bool
detects(unsigned seed)
{
    Net net(8, 3, seed);
    size_t victim = seed % 8;
    uint64_t taken;

    start_all(net);
    net.settle(SETTLE_LIMIT_US);
    net.loss = seed % 2 * 0.05;
    net.crash(victim);
    taken = net.settle(DETECT_LIMIT_US);
    return taken < DETECT_LIMIT_US && net.false_deaths() == 0;
}

/* A paused daemon accuses nobody when it goes on, also after some loss. */
bool
pause_accuses_nobody(unsigned seed)
{
    Net net(5, 2, seed);
    size_t paused = seed % 5;

    net.pause_drops = seed % 4 < 2;
    start_all(net);
    net.settle(SETTLE_LIMIT_US);
    net.loss = seed % 2 * 0.3;
    net.run(2 * SECOND_US);
    net.nodes[paused].paused_until = net.now + (500 + seed % 9500) * 1000ULL;
    net.run(15 * SECOND_US);
    net.loss = 0;
    net.settle(SETTLE_LIMIT_US);
    return net.nodes[paused].false_deaths == 0 && net.converged();
}

/* Two daemons that cannot reach each other are reached through others. */
bool
pair_cut_kills_nobody(unsigned seed)
{
    Net net(6, 2, seed);
    size_t first = seed % 6;
    size_t second = (first + 1 + seed / 6 % 5) % 6;

    start_all(net);
    net.settle(SETTLE_LIMIT_US);
    net.cuts.insert({first, second});
    if (seed % 2 == 0) {
        net.cuts.insert({second, first});
    }
    net.run(15 * SECOND_US);
    return net.false_deaths() == 0;
}

/*
 * When a cut ends, each side hears from the other that its own daemons are
 * dead: none of them is taken for dead therefore.
 */
bool
healing_kills_nobody(unsigned seed)
{
    Net net(6, 2, seed);
    uint64_t before;

    start_all(net);
    net.settle(SETTLE_LIMIT_US);
    cut(net, seed % 5, true);
    net.run(8 * SECOND_US);
    before = net.false_deaths();
    heal(net);
    net.settle(SETTLE_LIMIT_US);
    return net.converged() && net.false_deaths() == before;
}

/* A daemon that is cut off from all others knows so within the bound. */
bool
isolation_is_noticed(unsigned seed)
{
    Net net(4 + seed % 6, 3, seed);
    size_t alone = net.nodes.size() - 1;

    start_all(net);
    net.settle(SETTLE_LIMIT_US);
    cut(net, alone - 1, true);
    net.run(8 * SECOND_US);
    for (size_t i = 0; i < alone; i++) {
        if (net.state(alone, i) != DAEMON_DEAD) {
            return false;
        }
    }
    return true;
}

/*
 * A cut between zones that goes one way only, with loss inside: each side
 * settles on one view of the other and does not change its mind.
 */
bool
one_way_cut_is_steady(unsigned seed)
{
    Net net(6, 2, seed);
    uint64_t before = 0;
    uint64_t after = 0;

    start_all(net);
    net.settle(SETTLE_LIMIT_US);
    cut(net, 2, false);
    net.loss = 0.02;
    net.run(10 * SECOND_US);
    for (auto &node : net.nodes) {
        for (auto &seen : node.seen) {
            before += seen.second == DAEMON_DEAD;
        }
    }
    net.run(15 * SECOND_US);
    for (auto &node : net.nodes) {
        for (auto &seen : node.seen) {
            after += seen.second == DAEMON_DEAD;
        }
    }
    if (before != after || after != 18) {
        return false;
    }
    heal(net);
    net.settle(SETTLE_LIMIT_US);
    return net.converged();
}

} // namespace

int
main()
{
    bool passed = true;

    setenv("RC_PARAMS", "seed=20261204 max_success=900", 0);
    passed &= rc::check("views and leads agree after all faults end", []() {
        auto seed = *rc::gen::arbitrary<unsigned>();
        auto faults = *rc::gen::container<std::vector<Fault>>(any_fault());

        RC_ASSERT(converges(seed, faults));
    });
    passed &= rc::check("no false death at 20% loss", []() {
        RC_ASSERT(survives_loss(*rc::gen::arbitrary<unsigned>()));
    });
    passed &= rc::check("a crash is detected in time", []() {
        RC_ASSERT(detects(*rc::gen::arbitrary<unsigned>()));
    });
    passed &= rc::check("a paused daemon accuses nobody", []() {
        RC_ASSERT(pause_accuses_nobody(*rc::gen::arbitrary<unsigned>()));
    });
    passed &= rc::check("a cut between two daemons kills nobody", []() {
        RC_ASSERT(pair_cut_kills_nobody(*rc::gen::arbitrary<unsigned>()));
    });
    passed &= rc::check("the end of a cut kills nobody", []() {
        RC_ASSERT(healing_kills_nobody(*rc::gen::arbitrary<unsigned>()));
    });
    passed &= rc::check("a daemon notices that it is alone", []() {
        RC_ASSERT(isolation_is_noticed(*rc::gen::arbitrary<unsigned>()));
    });
    passed &= rc::check("a one-way cut is steady", []() {
        RC_ASSERT(one_way_cut_is_steady(*rc::gen::arbitrary<unsigned>()));
    });
    return passed ? 0 : 1;
}
