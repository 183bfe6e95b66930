/*
 * Checks properties of calls over several daemons: no non-idempotent call runs
 * twice, "not run" is true, answers are complete and go to their own caller,
 * and each call ends by its deadline.
 */
#include <cstdlib>
#include <iostream>

#include <rapidcheck.h>

#include "prop_call_world.h"

using namespace call_world;

static uint64_t answers, not_run, unknown, calls;

/* Run one history and add up its outcomes; return the violation, or "". */
static std::string
run_history(uint32_t seed, const std::vector<uint32_t> &words, Options options)
{
    World world(seed, options);

    world.run(words);
    answers += world.answers;
    not_run += world.not_run;
    unknown += world.unknown;
    calls += world.calls.size();
    return world.violation;
}

/* Check the properties over random histories; return true if they hold. */
static bool
check(const char *name, Options options)
{
    bool passed = rc::check(
        name, [=](uint32_t seed, const std::vector<uint32_t> &words) {
            RC_ASSERT(run_history(seed, words, options) == "");
        });

    std::cout << "calls " << calls << ", answer parts " << answers
              << ", not run " << not_run << ", outcome unknown " << unknown
              << std::endl;
    return passed;
}

/* A history that violated a property before; it is replayed at the start. */
struct KnownHistory {
    Options options;
    uint32_t seed;
    std::vector<uint32_t> words;
};

static const std::vector<KnownHistory> known_histories = {
    {{false, false},
     4806276,
     {7525173, 5399658, 2050293, 4331960, 2912078, 7391979, 4086099}},
    {{false, false}, 77099, {191984, 561365, 1742401}},
    {{false, false},
     121020,
     {75268, 65937, 386210, 243775, 211093, 51075, 490371, 233146, 23653,
      21556, 378522, 147044, 108078}},
    {{false, false},
     121020,
     {56451, 64876, 384679, 243716, 211093, 51075, 233134, 23653, 21556,
      328620, 147044, 273368, 5516, 11589, 80135, 391, 91249, 450898, 108078}},
    {{false, false},
     2881911,
     {2502526, 4093486, 2041680, 832446, 438117, 2066206, 2619466, 2372354,
      2823353}},
    {{false, false},
     11579018,
     {11450677, 13571298, 15097163, 4663339, 12256600, 4875238, 3042064,
      5836949, 12053836, 14480433, 12496118, 4891247, 7928793, 4682201,
      6283116, 11516364}},
};

/* Replay the known histories; return true if the properties hold. */
static bool
replay()
{
    bool passed = true;

    for (const KnownHistory &known : known_histories) {
        std::string violation =
            run_history(known.seed, known.words, known.options);

        if (!violation.empty()) {
            std::cout << "seed " << known.seed << ": " << violation
                      << std::endl;
            passed = false;
        }
    }
    return passed;
}

int
main()
{
    bool passed = replay();

    setenv("RC_PARAMS", "seed=20261204 max_success=6000 max_size=60", 0);
    passed =
        check("faults of daemons, network and targets", Options{true, true}) &&
        passed;
    passed = check("each call ends by its deadline", Options{false, true}) &&
             passed;
    passed = check("no call is refused because of a planned stop",
                   Options{false, false}) &&
             passed;
    return passed ? 0 : 1;
}
