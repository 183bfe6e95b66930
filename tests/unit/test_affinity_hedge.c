/*
 * Tests second openings: which copies go to a second target, which target has
 * the flow then, the budget, and what it changes for callers while targets are
 * dead.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "affinity_fixture.h"

static void test_off_by_default(void **);
static void test_second_target_answers(void **);
static void test_first_target_answers(void **);
static void test_one_second_target(void **);
static void test_not_repeatable(void **);
static void test_no_other_target(void **);
static void test_zone_emptied(void **);
static void test_lossy_network(void **);
static void test_budget(void **);
static void test_dead_targets(void **);
static bool call_once(struct affinity_fixture *, uint16_t caller, bool dead);

#define COPY_US UINT64_C(200000) /* until a caller sends its opening again */

/* Return a fixture with COUNT targets, and SHARE second openings a flow. */
static struct affinity_fixture
hedging_fixture(unsigned count, double share)
{
    return new_fixture_with((struct affinity_options){.hedge_share = share},
                            count);
}

/* Open a flow of CALLER and send a copy after COPY_US. */
static void
open_unanswered(struct affinity_fixture *fixture, uint16_t caller,
                const struct catalog_target **first)
{
    send_packet(fixture, caller, AFFINITY_SYN, 0, 0, 0);
    *first = fixture->verdict.target;
    fixture->now_us += COPY_US;
    send_packet(fixture, caller, AFFINITY_SYN, 0, 1, 0);
}

/* Without the setting a copy goes to the first target. */
static void
test_off_by_default(void **state)
{
    struct affinity_fixture fixture = hedging_fixture(3, 0);
    const struct catalog_target *first;

    (void)state;
    open_unanswered(&fixture, 1, &first);
    assert_int_equal(fixture.verdict.reason, AFFINITY_REPEATED);
    assert_ptr_equal(fixture.verdict.target, first);
    free_fixture(&fixture);
}

/* The caller takes the second target's answer.  The first one answers late, so
 * that the next packet names it: it still goes to the second. */
static void
test_second_target_answers(void **state)
{
    struct affinity_fixture fixture = hedging_fixture(3, 1);
    const struct catalog_target *first, *second;

    (void)state;
    open_unanswered(&fixture, 1, &first);
    assert_int_equal(fixture.verdict.reason, AFFINITY_HEDGED);
    second = fixture.verdict.target;
    assert_ptr_not_equal(second, first);
    send_packet(&fixture, 1, AFFINITY_ACK, second->cookie, 7, 100);
    assert_ptr_equal(fixture.verdict.target, second);
    send_packet(&fixture, 1, AFFINITY_ACK, first->cookie, 9, 0);
    assert_int_equal(fixture.verdict.action, AFFINITY_FORWARD);
    assert_ptr_equal(fixture.verdict.target, second);
    assert_int_equal(affinity_core_counters(fixture.core)->hedges_lost, 0);
    free_fixture(&fixture);
}

/* The caller takes the first target's answer after all: the flow is there, also
 * for a packet that names the second. */
static void
test_first_target_answers(void **state)
{
    struct affinity_fixture fixture = hedging_fixture(3, 1);
    const struct catalog_target *first, *second;

    (void)state;
    open_unanswered(&fixture, 1, &first);
    second = fixture.verdict.target;
    send_packet(&fixture, 1, AFFINITY_ACK, first->cookie, 7, 100);
    assert_ptr_equal(fixture.verdict.target, first);
    send_packet(&fixture, 1, AFFINITY_ACK, second->cookie, 9, 0);
    assert_ptr_equal(fixture.verdict.target, first);
    assert_int_equal(affinity_core_counters(fixture.core)->hedges_lost, 1);
    free_fixture(&fixture);
}

/* A further copy goes to the second target, not to a third. */
static void
test_one_second_target(void **state)
{
    struct affinity_fixture fixture = hedging_fixture(5, 1);
    const struct catalog_target *first, *second;

    (void)state;
    open_unanswered(&fixture, 1, &first);
    second = fixture.verdict.target;
    fixture.now_us += 2 * COPY_US;
    send_packet(&fixture, 1, AFFINITY_SYN, 0, 2, 0);
    assert_int_equal(fixture.verdict.reason, AFFINITY_REPEATED);
    assert_ptr_equal(fixture.verdict.target, second);
    free_fixture(&fixture);
}

/* Requests that may not be repeated get no second target. */
static void
test_not_repeatable(void **state)
{
    struct affinity_fixture fixture = hedging_fixture(3, 1);
    struct catalog_command command = make_tables(2, "desk", 1);
    const struct catalog_target *first;

    (void)state;
    g_array_index(command.u.tables.routes, struct catalog_route, 0).kind =
        CATALOG_NON_IDEMPOTENT;
    apply(&fixture.catalog_fixture, &command);
    catalog_command_clear(&command);
    open_unanswered(&fixture, 1, &first);
    assert_int_equal(fixture.verdict.reason, AFFINITY_REPEATED);
    free_fixture(&fixture);
}

/* With one target there is no second one. */
static void
test_no_other_target(void **state)
{
    struct affinity_fixture fixture = hedging_fixture(1, 1);
    const struct catalog_target *first;

    (void)state;
    open_unanswered(&fixture, 1, &first);
    assert_int_equal(fixture.verdict.reason, AFFINITY_REPEATED);
    assert_int_equal(affinity_core_counters(fixture.core)->hedged, 0);
    free_fixture(&fixture);
}

/* A target of a zone that has been emptied is no second target. */
static void
test_zone_emptied(void **state)
{
    struct affinity_fixture fixture = hedging_fixture(2, 1);
    struct catalog_command command = {.kind = CATALOG_ZONE};
    const struct catalog_target *first;

    (void)state;
    send_packet(&fixture, 1, AFFINITY_SYN, 0, 0, 0);
    first = fixture.verdict.target;
    command.u.zone.zone.zone = ZONE;
    command.u.zone.zone.emptied = true;
    apply(&fixture.catalog_fixture, &command);
    fixture.now_us += COPY_US;
    send_packet(&fixture, 1, AFFINITY_SYN, 0, 1, 0);
    assert_int_equal(fixture.verdict.reason, AFFINITY_REPEATED);
    assert_ptr_equal(fixture.verdict.target, first);
    free_fixture(&fixture);
}

/* While the network loses packets of living targets, a late opening says
 * nothing of its target. */
static void
test_lossy_network(void **state)
{
    struct affinity_fixture fixture = hedging_fixture(20, 1);
    uint64_t hedged;

    (void)state;
    for (uint16_t caller = 1; caller <= 200; caller++) {
        const struct catalog_target *target;

        send_packet(&fixture, caller, AFFINITY_SYN, 0, 0, 0);
        target = fixture.verdict.target;
        send_packet(&fixture, caller, AFFINITY_ACK, target->cookie, 7, 100);
        fixture.now_us += 10000;
        if (caller % 3 == 0) {
            /* The request is sent again, then answered. */
            send_packet(&fixture, caller, AFFINITY_ACK, target->cookie, 7,
                        100);
        }
        send_packet(&fixture, caller, AFFINITY_ACK, target->cookie, 9, 0);
    }
    hedged = affinity_core_counters(fixture.core)->hedged;
    send_packet(&fixture, 900, AFFINITY_SYN, 0, 0, 0);
    send_packet(&fixture, 900, AFFINITY_SYN, 0, 1, 0);
    assert_int_equal(fixture.verdict.reason, AFFINITY_REPEATED);
    assert_int_equal(affinity_core_counters(fixture.core)->hedged, hedged);
    free_fixture(&fixture);
}

/* Load: every twelfth opening is answered late, by the first target.  Second
 * openings stay within the share of the flows. */
static void
test_budget(void **state)
{
    static const double shares[] = {0.01, 0.05, 0.5};

    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(shares); i++) {
        struct affinity_fixture fixture = hedging_fixture(50, shares[i]);
        const struct catalog_target *first;

        for (uint16_t caller = 1; caller <= 2000; caller++) {
            if (caller % 12 != 0) {
                call_once(&fixture, caller, false);
                continue;
            }
            open_unanswered(&fixture, caller, &first);
            send_packet(&fixture, caller, AFFINITY_ACK, first->cookie, 7, 100);
            assert_true((double)affinity_core_counters(fixture.core)->hedged <=
                        shares[i] * caller + 1);
        }
        assert_true(affinity_core_counters(fixture.core)->hedged > 0);
        free_fixture(&fixture);
    }
}

/* Send an opening of CALLER, a copy of it if its target is one of those that
 * are DEAD, and a request with its end if one has answered.  Return true if
 * neither has. */
static bool
call_once(struct affinity_fixture *fixture, uint16_t caller, bool dead)
{
    const struct catalog_target *target;

    affinity_core_tick(fixture->core, fixture->now_us,
                       fixture->catalog_fixture.catalog);
    send_packet(fixture, caller, AFFINITY_SYN, 0, 0, 0);
    target = fixture->verdict.target;
    if (dead && target->host % 10 == 0) {
        fixture->now_us += COPY_US;
        send_packet(fixture, caller, AFFINITY_SYN, 0, 1, 0);
        target = fixture->verdict.target;
    }
    if (dead && target->host % 10 == 0) {
        return true;
    }
    send_packet(fixture, caller, AFFINITY_ACK, target->cookie, 7, 100);
    fixture->now_us += 10000;
    send_packet(fixture, caller, AFFINITY_ACK | AFFINITY_FIN, target->cookie,
                9, 0);
    return false;
}

/* Return how many of the first 1,000 callers have no answer to their opening
 * after 0.25 s when a tenth of the 100 targets die, at 20 entry daemons of which
 * each finds that out for itself. */
static unsigned
late_callers(double share)
{
    unsigned late = 0;

    for (unsigned daemon = 0; daemon < 20; daemon++) {
        struct affinity_fixture fixture = hedging_fixture(100, share);

        fixture.now_us += daemon * UINT64_C(1000);
        for (uint16_t caller = 1; caller <= 100; caller++) {
            fixture.now_us += 50000;
            late += call_once(&fixture, caller, caller > 50) ? 1 : 0;
        }
        free_fixture(&fixture);
    }
    return late;
}

/* Load: a tenth of the targets die, and no daemon knows it.  With a budget a
 * quarter as many callers, or fewer, wait for longer than the second opening. */
static void
test_dead_targets(void **state)
{
    unsigned without = late_callers(0), with = late_callers(0.2);

    (void)state;
    print_message("late: %u, with second openings %u\n", without, with);
    assert_true(without >= 50);
    assert_true(with * 4 <= without);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_off_by_default),
        cmocka_unit_test(test_second_target_answers),
        cmocka_unit_test(test_first_target_answers),
        cmocka_unit_test(test_one_second_target),
        cmocka_unit_test(test_not_repeatable),
        cmocka_unit_test(test_no_other_target),
        cmocka_unit_test(test_zone_emptied),
        cmocka_unit_test(test_lossy_network),
        cmocka_unit_test(test_budget),
        cmocka_unit_test(test_dead_targets),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
