/*
 * Spreading under generated schedules of loss, doubling, delay, cuts, crashes
 * and restarts, with edits, changes of leader and targets that come and go:
 * no version reverts, none is in force before all live daemons have it, and
 * all agree once the faults end.
 */
#include <cstdlib>
#include <iostream>

#include <rapidcheck.h>

#include "prop_spread_net.h"

using namespace spread_net;

namespace {

constexpr uint64_t SETTLE_LIMIT_US = 30 * SECOND_US;

enum StepKind {
    CRASH,
    RESTART,
    CUT,
    CUT_ONE_WAY,
    HEAL,
    LOSSY,
    COMMIT,
    COMMIT_MANY,
    LEAD,
    TARGET_STOP,
    TARGET_START,
    TARGET_DRAIN,
    TARGET_MOVE,
    STEP_MAX
};

struct Step {
    int kind;
    unsigned which, amount;
    unsigned hold_ms; /* until the next step */
};

std::ostream &
operator<<(std::ostream &out, const Step &step)
{
    return out << "{" << step.kind << " " << step.which << " " << step.amount
               << " " << step.hold_ms << "}";
}

rc::Gen<Step>
any_step()
{
    return rc::gen::build<Step>(
        rc::gen::set(&Step::kind, rc::gen::inRange<int>(0, STEP_MAX)),
        rc::gen::set(&Step::which, rc::gen::inRange<unsigned>(0, 64)),
        rc::gen::set(&Step::amount, rc::gen::inRange<unsigned>(0, 10)),
        rc::gen::set(&Step::hold_ms, rc::gen::inRange<unsigned>(0, 1500)));
}

void
start_all(Net &net, size_t targets)
{
    for (size_t i = 0; i < net.nodes.size(); i++) {
        net.start(i);
    }
    for (size_t i = 0; i < targets; i++) {
        Target target;

        target.address = 0x0a000001 + (uint32_t)i;
        target.zone = i % net.zones;
        target.pool = 1 + i % 2;
        net.targets.push_back(target);
    }
    net.run(SECOND_US);
    net.lead(0);
}

void
apply_to_target(Net &net, const Step &step)
{
    Target &target = net.targets[step.which % net.targets.size()];

    switch (step.kind) {
    case TARGET_STOP:
        target.up = false;
        break;
    case TARGET_START:
        target.up = true;
        target.incarnation++;
        target.state = TARGET_READY;
        break;
    case TARGET_DRAIN:
        target.state = TARGET_DRAINING;
        break;
    default:
        target.pool = 3 - target.pool;
        target.incarnation++;
        break;
    }
}

void
apply(Net &net, const Step &step)
{
    size_t which = step.which % net.nodes.size();

    switch (step.kind) {
    case CRASH:
        if (net.up(which) && which != net.leader) {
            net.crash(which);
        }
        break;
    case RESTART:
        if (which == net.leader) {
            break;
        }
        if (net.up(which)) {
            net.crash(which);
        }
        net.start(which);
        break;
    case CUT:
    case CUT_ONE_WAY:
        net.cut(which, step.kind == CUT);
        break;
    case HEAL:
        net.heal();
        break;
    case LOSSY:
        net.loss = step.amount * 0.05;
        break;
    case COMMIT:
        net.commit();
        break;
    case COMMIT_MANY:
        for (unsigned i = 0; i <= step.amount * 10; i++) {
            net.commit();
        }
        break;
    case LEAD:
        if (net.up(which)) {
            net.lead(which);
        }
        break;
    default:
        apply_to_target(net, step);
        break;
    }
    net.run(step.hold_ms * 1000ULL);
}

/* Empty if the promises held, else the one that was broken. */
std::string
history(unsigned seed, const std::vector<Step> &steps)
{
    Net net(3 + seed % 7, 1 + seed % 3, seed);

    net.doubling = 0.1;
    net.keeps_disk = seed % 2 == 0;
    net.fanout = 2 + seed % 5;
    net.nodes[seed % net.nodes.size()].entry = seed % 5 != 0;
    start_all(net, 5);
    for (size_t i = 0; i < steps.size() && i < 25 && net.broken.empty(); i++) {
        apply(net, steps[i]);
    }
    net.heal();
    net.commit();
    if (!net.settle(SETTLE_LIMIT_US) && net.broken.empty()) {
        net.broken = net.versions_converged() ? "targets did not converge"
                                              : "versions did not converge";
    }
    return net.broken;
}

/*
 * Once all agree on the holders, the daemon that holds a target dies, or is replaced, while the target goes
 * on announcing itself to others: nobody sees the target down.
 */
bool
holder_dies_unseen(unsigned seed)
{
    Net net(6, 2, seed);
    uint64_t downs = 0;

    net.view_lag_us = 2 * SECOND_US;
    start_all(net, 4);
    for (int i = 0; i < 600 && !net.holders_agree(); i++) {
        net.run(TICK_US);
    }
    for (auto &node : net.nodes) {
        node.downs = 0;
    }
    net.crash(seed % 6);
    net.run(8 * SECOND_US);
    net.start(seed % 6);
    net.run(8 * SECOND_US);
    for (auto &node : net.nodes) {
        downs += node.downs;
    }
    return downs == 0 && net.targets_converged() && net.holders_agree();
}

/* A daemon that dies before it acknowledges holds no edit up for ever. */
bool
death_does_not_block(unsigned seed)
{
    Net net(6, 3, seed);
    size_t victim = 1 + seed % 5;

    start_all(net, 1);
    net.run(5 * SECOND_US);
    net.cuts.insert({0, victim});
    net.commit();
    net.crash(victim);
    net.run(6 * SECOND_US);
    return net.versions_converged() && net.broken.empty();
}

/* 500 edits while a daemon is down: it never serves an older version. */
bool
catches_up(unsigned seed)
{
    Net net(5, 2, seed);
    size_t victim = 1 + seed % 4;
    uint64_t before;

    start_all(net, 1);
    net.run(5 * SECOND_US);
    net.commit();
    net.run(5 * SECOND_US);
    before = net.nodes[victim].active;
    net.crash(victim);
    for (int i = 0; i < 50; i++) {
        for (int j = 0; j < 10; j++) {
            net.commit();
        }
        net.run(100'000);
    }
    net.run(3 * SECOND_US);
    net.start(victim);
    if (spread_core_active(net.nodes[victim].core) != before) {
        return false;
    }
    net.run(8 * SECOND_US);
    return before == 1 && net.versions_converged() && net.broken.empty();
}

} // namespace

int
main()
{
    bool passed = true;

    setenv("RC_PARAMS", "seed=20261204 max_success=800", 0);
    passed &= rc::check("no version reverts, and all converge", []() {
        auto seed = *rc::gen::arbitrary<unsigned>();
        auto steps = *rc::gen::container<std::vector<Step>>(any_step());

        RC_ASSERT(history(seed, steps) == "");
    });
    passed &= rc::check("the death of a holder is not seen", []() {
        RC_ASSERT(holder_dies_unseen(*rc::gen::arbitrary<unsigned>()));
    });
    passed &= rc::check("a death does not hold an edit up", []() {
        RC_ASSERT(death_does_not_block(*rc::gen::arbitrary<unsigned>()));
    });
    passed &= rc::check("a daemon catches up after 500 edits", []() {
        RC_ASSERT(catches_up(*rc::gen::arbitrary<unsigned>()));
    });
    return passed ? 0 : 1;
}
