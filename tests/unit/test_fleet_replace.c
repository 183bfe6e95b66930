/* Tests which standby replaces which voter. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "fleet/fleet_replace.h"

static const struct fleet_standby standbys[] = {{40, 2}, {50, 4}};

static void test_all_active(void **);
static void test_lost_voter(void **);
static void test_first_unassigned_number(void **);
static void test_no_standby(void **);

/* If all voters are active, none is replaced. */
static void
test_all_active(void **state)
{
    const struct fleet_voter_view voters[] = {
        {10, 1, true}, {20, 2, true}, {30, 3, true}};

    (void)state;
    assert_int_equal(
        fleet_replace_choose_standby(voters, 3, standbys, 2).address, 0);
}

/* A standby in a zone without a voter is preferred to the first one. */
static void
test_lost_voter(void **state)
{
    const struct fleet_voter_view voters[] = {
        {10, 1, true}, {20, 2, true}, {30, 3, false}};
    struct fleet_replacement replacement;

    (void)state;
    replacement = fleet_replace_choose_standby(voters, 3, standbys, 2);
    assert_int_equal(replacement.voter, 2);
    assert_int_equal(replacement.address, 50);
}

/* A standby is assigned to the first voter number without an assignee. */
static void
test_first_unassigned_number(void **state)
{
    const struct fleet_voter_view voters[] = {{10, 1, true},
                                              {20, 4, true},
                                              {30, 3, true},
                                              {0, 0, false},
                                              {0, 0, false}};
    struct fleet_replacement replacement;

    (void)state;
    replacement = fleet_replace_choose_standby(voters, 5, standbys, 2);
    assert_int_equal(replacement.voter, 3);
    assert_int_equal(replacement.address, 40);
}

/* Without a standby nothing is changed. */
static void
test_no_standby(void **state)
{
    const struct fleet_voter_view voters[] = {
        {10, 1, true}, {20, 2, false}, {30, 3, true}};

    (void)state;
    assert_int_equal(
        fleet_replace_choose_standby(voters, 3, standbys, 0).address, 0);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_all_active),
        cmocka_unit_test(test_lost_voter),
        cmocka_unit_test(test_first_unassigned_number),
        cmocka_unit_test(test_no_standby),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
