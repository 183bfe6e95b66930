/*
 * Generated schedules of faults with 1, 3 and 5 voters.  Checks election
 * safety, log matching, state machine safety, that no acknowledged edit is
 * lost, that no read is stale, and that an edit id always has the same answer.
 */
#include <cstdlib>
#include <iostream>

#include <rapidcheck.h>

#include "quorum_step.h"
#include "quorum_world.h"
#include "quorum_world_check.h"
#include "quorum_world_impl.h"
#include "quorum_world_assignment.h"

namespace rc {
/* Steps with all operations. */
template <> struct Arbitrary<Step> {
    static Gen<Step>
    arbitrary()
    {
        return generate_step({{8, Op::Propose},
                              {3, Op::Resend},
                              {3, Op::Crash},
                              {2, Op::Wipe},
                              {4, Op::Restart},
                              {2, Op::Cut},
                              {2, Op::Isolate},
                              {1, Op::IsolateIn},
                              {1, Op::IsolateOut},
                              {3, Op::Heal},
                              {1, Op::Loss},
                              {1, Op::Delay},
                              {1, Op::Slow},
                              {1, Op::FailDisk},
                              {2, Op::Replace},
                              {2, Op::Resign}});
    }
};
} // namespace rc

static Counts total; /* over all schedules */

/* Add COUNTS to the total over all schedules. */
static void
add_counts(const Counts &counts)
{
    total.answers += counts.answers;
    total.leaders += counts.leaders;
    total.admissions += counts.admissions;
    total.installs += counts.installs;
    total.reads += counts.reads;
    total.lease_lost += counts.lease_lost;
    total.wipes += counts.wipes;
    total.resigned += counts.resigned;
    total.replaced += counts.replaced;
    total.unknown_outcomes += counts.unknown_outcomes;
    total.events += counts.events;
}

int
main()
{
    bool passed;

    setenv("RC_PARAMS", "max_success=10000 max_size=120 seed=20261204", 0);
    passed = rc::check("all promises hold under generated schedules", [] {
        const auto count =
            *rc::gen::weightedElement<size_t>({{1, 1}, {6, 3}, {3, 5}});
        const auto seed = *rc::gen::arbitrary<uint32_t>();
        const auto steps = *rc::gen::arbitrary<std::vector<Step>>();
        World world(count, seed);

        world.run(steps);
        world.finish();
        add_counts(world.counts);
        if (!world.violation.empty()) {
            RC_FAIL(world.violation);
        }
    });
    std::cout << "answers " << total.answers << ", leaders " << total.leaders
              << ", admissions " << total.admissions << ", installs "
              << total.installs << ", reads checked " << total.reads
              << ", leases lost " << total.lease_lost << ", wipes "
              << total.wipes << ", replaced " << total.replaced
              << ", unknown outcomes " << total.unknown_outcomes << ", events "
              << total.events << "\n";
    return passed ? 0 : 1;
}
