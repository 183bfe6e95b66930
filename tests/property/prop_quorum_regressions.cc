/* Schedules of the replicated log that once violated an invariant. */
#include <iostream>

#include "quorum_world.h"
#include "quorum_world_check.h"
#include "quorum_world_impl.h"
#include "quorum_world_assignment.h"

/* A schedule and the failure that it led to. */
struct Regression {
    const char *failure;
    size_t count;
    uint32_t seed;
    std::vector<Step> steps;
};

static const std::vector<Regression> regressions = {
    {"two voters replaced, one after its store was lost",
     3,
     3880052432,
     {{Op::Propose, 1, 0, 3462}, {Op::Propose, 1, 0, 843},
      {Op::Delay, 3, 0, 9},      {Op::IsolateIn, 0, 0, 707},
      {Op::Restart, 0, 0, 30},   {Op::Delay, 2, 0, 3591},
      {Op::Delay, 1, 0, 613},    {Op::Propose, 0, 0, 3061},
      {Op::Heal, 0, 0, 962},     {Op::Isolate, 1, 0, 841},
      {Op::Restart, 0, 0, 8},    {Op::Resend, 0, 0, 34},
      {Op::Propose, 0, 0, 2656}, {Op::Replace, 4, 0, 33},
      {Op::Heal, 0, 0, 25},      {Op::Wipe, 0, 0, 555},
      {Op::Slow, 2, 3, 546},     {Op::Propose, 0, 0, 1072},
      {Op::Replace, 0, 0, 452},  {Op::IsolateIn, 2, 0, 615},
      {Op::Propose, 0, 0, 17},   {Op::Delay, 3, 0, 10},
      {Op::Heal, 0, 0, 0},       {Op::Cut, 1, 0, 899},
      {Op::Propose, 0, 0, 1796}}},
    {"an index gave two results",
     5,
     25670,
     {{Op::Delay, 2, 0, 11},     {Op::Isolate, 0, 0, 12},
      {Op::Isolate, 1, 0, 6},    {Op::Resend, 0, 0, 20},
      {Op::Propose, 2, 0, 0},    {Op::Restart, 0, 0, 105},
      {Op::Restart, 0, 0, 15},   {Op::Isolate, 2, 0, 211},
      {Op::Resend, 0, 0, 112},   {Op::Resend, 0, 0, 21},
      {Op::Resign, 0, 0, 469},   {Op::Loss, 2, 0, 10},
      {Op::Restart, 0, 0, 1972}, {Op::Crash, 2, 0, 14},
      {Op::Propose, 0, 0, 6},    {Op::Heal, 0, 0, 16},
      {Op::Propose, 0, 0, 8},    {Op::Isolate, 0, 0, 1722},
      {Op::Heal, 0, 0, 22},      {Op::Delay, 1, 0, 1},
      {Op::Crash, 0, 0, 17},     {Op::Propose, 0, 0, 1851},
      {Op::Heal, 0, 0, 26},      {Op::Propose, 0, 0, 1469},
      {Op::Resend, 0, 0, 12},    {Op::Restart, 2, 0, 232},
      {Op::Resend, 0, 0, 0},     {Op::FailDisk, 2, 0, 20},
      {Op::Propose, 0, 0, 4}}},
};

int
main()
{
    bool passed = true;

    for (const Regression &regression : regressions) {
        World world(regression.count, regression.seed);

        world.run(regression.steps);
        world.finish();
        if (!world.violation.empty()) {
            std::cout << regression.failure << ": " << world.violation << "\n";
            passed = false;
        }
    }
    return passed ? 0 : 1;
}
