/*
 * Tests when a target is taken for dead, on a network that loses up to 60% of
 * all packets in each direction.
 *
 * A living target is never taken for dead, and none of its flows is reset:
 * neither one that only queues what it gets, nor one whose VM stands still for
 * a fifth of a second now and then.  A dead target of which the others in
 * its zone are alive is found within two seconds of the first request to
 * it, while 5% of the packets are lost and other targets pause.
 */
#include <cstdlib>
#include <vector>

#include <rapidcheck.h>

#include "silence_world.h"

static const uint64_t END_US = 8000 * MS;
static const uint64_t FOUND_US = 2000 * MS;

/* Return eight targets that the numbers KINDS select, none of them dead. */
static std::vector<Target>
living_targets(uint32_t kinds)
{
    std::vector<Target> targets;

    for (int i = 0; i < 8; i++) {
        targets.push_back(static_cast<Target>(kinds >> (2 * i) & 3));
        if (targets.back() == Target::Dead) {
            targets.back() = Target::Prompt;
        }
    }
    return targets;
}

int
main()
{
    setenv("RC_PARAMS", "seed=20261204 max_success=1500 max_size=100", 0);
    bool living = rc::check("a living target is never taken for dead",
                            [](uint32_t kinds, uint32_t seed) {
                                double loss = *rc::gen::inRange(0, 61) / 100.0;
                                unsigned callers = *rc::gen::inRange(10, 80);
                                SilenceWorld world(living_targets(kinds), loss,
                                                   callers, seed);

                                world.run(END_US);
                                RC_ASSERT(world.silent.empty());
                                RC_ASSERT(world.resets == 0U);
                            });
    bool dead =
        rc::check("a dead target is found", [](uint32_t kinds, uint32_t seed) {
            double loss = *rc::gen::inRange(0, 6) / 100.0;
            std::vector<Target> targets = living_targets(kinds);

            targets[0] = Target::Prompt;
            targets[1] = Target::Prompt;
            targets[2] = Target::Dead;
            targets[3] = Target::Dead;
            SilenceWorld world(targets, loss, 80, seed);
            world.run(END_US);
            for (auto request : world.unanswered) {
                RC_ASSERT(world.silent.count(request.first) == 1U);
                RC_ASSERT(world.silent[request.first] <=
                          request.second + FOUND_US);
            }
        });
    return living && dead ? 0 : 1;
}
