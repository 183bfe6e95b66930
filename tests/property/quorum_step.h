/* Generates and prints the steps of schedules for struct World. */
#ifndef PS_TESTS_QUORUM_STEP_H
#define PS_TESTS_QUORUM_STEP_H

#include <initializer_list>
#include <iostream>
#include <utility>

#include <rapidcheck.h>

#include "quorum_world.h"

/*
 * Return a generator of steps.  WEIGHTS gives the weight of each operation.
 * Half of the waits are below 60 ms and a sixth are a second or longer.
 */
static inline rc::Gen<Step>
generate_step(std::initializer_list<std::pair<std::size_t, Op>> weights)
{
    namespace gen = rc::gen;

    return gen::build<Step>(
        gen::set(&Step::op, gen::weightedElement<Op>(weights)),
        gen::set(&Step::a, gen::inRange(0, 5)),
        gen::set(&Step::b, gen::inRange(0, 8)),
        gen::set(&Step::wait_ms,
                 gen::weightedOneOf<int>({{3, gen::inRange(0, 60)},
                                          {2, gen::inRange(60, 1000)},
                                          {1, gen::inRange(1000, 4000)}})));
}

/* Print STEP with the name of its operation. */
static inline std::ostream &
operator<<(std::ostream &out, const Step &step)
{
    static const char *const names[] = {
        "Propose", "Resend",    "Crash",      "Wipe",  "Restart", "Cut",
        "Isolate", "IsolateIn", "IsolateOut", "Heal",  "Loss",    "Delay",
        "Slow",    "FailDisk",  "Replace",    "Resign"};

    return out << "{" << names[static_cast<int>(step.op)] << " " << step.a
               << " " << step.b << " " << step.wait_ms << "ms}";
}

#endif
