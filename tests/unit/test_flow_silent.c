/* Silent flows among several daemons: they are reset, and no others are. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "../../bench/flow_fleet.h"

#define SEED         20261204
#define FLOWS        200
#define SILENT       40
#define SECOND_US    UINT64_C(1000000)
#define RESET_MAX_US (30 * SECOND_US)
#define DAEMONS      8
#define TARGETS      4

static struct fleet *start_fleet(void);
static void run_with_new_flows(struct fleet *, uint32_t seconds);

/* Return a fleet with FLOWS flows that have been answered for 40 s. */
static struct fleet *
start_fleet(void)
{
    struct fleet_options options = {
        .seed = SEED,
        .delay_min_us = 1000,
        .delay_max_us = 3000,
        .view_delay_max_us = 100000,
        .flow = {.buckets = 64, .cache_entries = 32768},
    };
    struct fleet *fleet = fleet_new(&options);

    fleet->pools = 1;
    for (uint32_t i = 0; i < TARGETS; i++) {
        fleet_add_target(fleet, 0, 100);
    }
    fleet_add_route(fleet, 0);
    for (uint32_t i = 0; i < DAEMONS; i++) {
        fleet_start_daemon(fleet, i);
    }
    fleet_run(fleet, 2 * SECOND_US);
    for (uint32_t i = 0; i < FLOWS; i++) {
        fleet_add_flow(fleet, 0, fleet->now, 500000, 0);
    }
    fleet_run(fleet, 40 * SECOND_US);
    return fleet;
}

/* Run the fleet for SECONDS while new flows open at every target. */
static void
run_with_new_flows(struct fleet *fleet, uint32_t seconds)
{
    for (uint32_t i = 0; i < seconds * 4; i++) {
        for (uint32_t j = 0; j < 16; j++) {
            fleet_add_flow(fleet, 0, fleet->now, 500000,
                           fleet->now + 2 * SECOND_US);
        }
        fleet_run(fleet, SECOND_US / 4);
    }
}

/* Flows that get no answers any more are reset within 30 s. */
static void
test_silent_flows_are_reset(void **state)
{
    struct fleet *fleet = start_fleet();

    (void)state;
    for (uint32_t i = 0; i < SILENT; i++) {
        fleet_flow_at(fleet, i)->silent = true;
    }
    run_with_new_flows(fleet, 35);
    for (guint i = 0; i < fleet->flows->len; i++) {
        const struct fleet_flow *flow = fleet_flow_at(fleet, i);

        if (!flow->silent) {
            assert_int_equal(flow->reset_us, 0);
            continue;
        }
        assert_int_not_equal(flow->reset_us, 0);
        assert_true(flow->reset_us - flow->silent_us < RESET_MAX_US);
    }
    fleet_free(fleet);
}

/*
 * Without new flows that are answered, the target itself may be down: its
 * flows are not reset.
 */
static void
test_flows_of_silent_target_are_kept(void **state)
{
    struct fleet *fleet = start_fleet();

    (void)state;
    for (uint32_t i = 0; i < FLOWS; i++) {
        fleet_flow_at(fleet, i)->silent = true;
    }
    fleet_run(fleet, 35 * SECOND_US);
    for (uint32_t i = 0; i < FLOWS; i++) {
        assert_int_equal(fleet_flow_at(fleet, i)->reset_us, 0);
    }
    fleet_free(fleet);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_silent_flows_are_reset),
        cmocka_unit_test(test_flows_of_silent_target_are_kept),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
