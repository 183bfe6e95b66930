/*
 * Calls over several daemons: nothing runs twice, "not run" is true, answers
 * are whole and go to their own caller, and each call ends by its deadline.
 */
#include <cstdlib>
#include <iostream>

#include <rapidcheck.h>

#include "prop_call_world.h"

using namespace call_world;

static uint64_t answers, not_run, unknown, calls;

static std::string
history(uint32_t seed, const std::vector<uint32_t> &words, Options options)
{
    World world(seed, options);

    world.run(words);
    answers += world.answers;
    not_run += world.not_run;
    unknown += world.unknown;
    calls += world.calls.size();
    return world.fault;
}

static bool
check(const char *name, Options options)
{
    bool passed = rc::check(
        name, [=](uint32_t seed, const std::vector<uint32_t> &words) {
            RC_ASSERT(history(seed, words, options) == "");
        });

    std::cout << "calls " << calls << ", answer parts " << answers
              << ", not run " << not_run << ", outcome unknown " << unknown
              << std::endl;
    return passed;
}

int
main()
{
    bool passed;

    setenv("RC_PARAMS", "seed=20261204 max_success=6000 max_size=60", 0);
    passed =
        check("faults of daemons, network and targets", Options{true, true});
    passed = check("each call ends by its deadline", Options{false, true}) &&
             passed;
    passed = check("planned stops cut off no call", Options{false, false}) &&
             passed;
    return passed ? 0 : 1;
}
