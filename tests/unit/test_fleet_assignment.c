/* Tests the assignees of a voter number while one daemon replaces another. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "fleet/fleet_assignment.h"

static const struct fleet_assignee initial = {10, 0};
static const struct fleet_assignee successor = {20, 7};
static const struct fleet_assignee second_successor = {30, 9};

static struct fleet_assignment replaced(void);
static void test_initial_voter(void **);
static void test_replaced_voter_keeps_vote(void **);
static void test_successor_votes(void **);
static void test_successor_lost(void **);
static void test_replaced_voter_assigned_again(void **);
static void test_earlier_assignees_ignored(void **);
static void test_unassigned(void **);

/*
 * Return an assignment whose initial voter was replaced by a successor that
 * does not vote yet.
 */
static struct fleet_assignment
replaced(void)
{
    struct fleet_assignment assignment = {0};

    fleet_assignment_set_voting(&assignment, initial);
    assert_true(fleet_assignment_set_assigned(&assignment, successor));
    return assignment;
}

/* An initial voter has the vote and is the only recipient. */
static void
test_initial_voter(void **state)
{
    struct fleet_assignment assignment = {0};
    uint32_t out[FLEET_ASSIGNEES_MAX];

    (void)state;
    assert_true(fleet_assignment_set_voting(&assignment, initial));
    assert_true(fleet_assignment_is_settled(&assignment));
    assert_int_equal(fleet_assignment_recipients(
                         &assignment, FLEET_TO_ALL_ASSIGNEES, false, out),
                     1);
    assert_int_equal(out[0], 10);
}

/*
 * Until the successor votes, both assignees are asked for votes, and messages
 * from both are accepted.
 */
static void
test_replaced_voter_keeps_vote(void **state)
{
    struct fleet_assignment assignment = replaced();
    uint32_t out[FLEET_ASSIGNEES_MAX];

    (void)state;
    assert_false(fleet_assignment_is_settled(&assignment));
    assert_false(fleet_assignment_is_superseded(&assignment, initial));
    assert_true(fleet_assignment_includes(&assignment, initial));
    assert_true(fleet_assignment_includes(&assignment, successor));
    assert_int_equal(fleet_assignment_recipients(
                         &assignment, FLEET_TO_ALL_ASSIGNEES, false, out),
                     2);
    assert_int_equal(out[0], 10);
    assert_int_equal(out[1], 20);
    assert_int_equal(fleet_assignment_recipients(
                         &assignment, FLEET_TO_ONE_ASSIGNEE, true, out),
                     1);
    assert_int_equal(out[0], 10);
    assert_int_equal(fleet_assignment_recipients(
                         &assignment, FLEET_TO_ONE_ASSIGNEE, false, out),
                     1);
    assert_int_equal(out[0], 20);
}

/* Once the successor votes, the initial voter is superseded. */
static void
test_successor_votes(void **state)
{
    struct fleet_assignment assignment = replaced();
    uint32_t out[FLEET_ASSIGNEES_MAX];

    (void)state;
    assert_true(fleet_assignment_set_voting(&assignment, successor));
    assert_true(fleet_assignment_is_settled(&assignment));
    assert_true(fleet_assignment_is_superseded(&assignment, initial));
    assert_false(fleet_assignment_is_superseded(&assignment, successor));
    assert_false(fleet_assignment_includes(&assignment, initial));
    assert_int_equal(fleet_assignment_recipients(
                         &assignment, FLEET_TO_ALL_ASSIGNEES, true, out),
                     1);
    assert_int_equal(out[0], 20);
}

/*
 * A successor is replaced before it voted: the initial voter still has the
 * vote.
 */
static void
test_successor_lost(void **state)
{
    struct fleet_assignment assignment = replaced();

    (void)state;
    assert_true(fleet_assignment_set_assigned(&assignment, second_successor));
    assert_false(fleet_assignment_is_superseded(&assignment, initial));
    assert_false(fleet_assignment_includes(&assignment, successor));
    assert_true(fleet_assignment_includes(&assignment, initial));
    assert_false(fleet_assignment_set_voting(&assignment, initial));
    assert_true(fleet_assignment_set_voting(&assignment, second_successor));
    assert_true(fleet_assignment_is_superseded(&assignment, initial));
}

/*
 * The initial voter is back before its successor voted, and is assigned again.
 */
static void
test_replaced_voter_assigned_again(void **state)
{
    struct fleet_assignment assignment = replaced();
    struct fleet_assignee again = {10, 11};

    (void)state;
    assert_true(fleet_assignment_set_assigned(&assignment, again));
    assert_false(fleet_assignment_includes(&assignment, successor));
    assert_true(fleet_assignment_set_voting(&assignment, again));
    assert_true(fleet_assignment_is_settled(&assignment));
    assert_false(fleet_assignment_is_superseded(&assignment, again));
}

/* An earlier assignee is not recorded again. */
static void
test_earlier_assignees_ignored(void **state)
{
    struct fleet_assignment assignment = replaced();

    (void)state;
    fleet_assignment_set_voting(&assignment, successor);
    assert_false(fleet_assignment_set_assigned(&assignment, initial));
    assert_false(fleet_assignment_set_voting(&assignment, initial));
    assert_true(fleet_assignment_is_settled(&assignment));
}

/* A voter number without an assignee, until the first one is assigned. */
static void
test_unassigned(void **state)
{
    struct fleet_assignment assignment = {0};
    uint32_t out[FLEET_ASSIGNEES_MAX];

    (void)state;
    assert_int_equal(fleet_assignment_recipients(
                         &assignment, FLEET_TO_ALL_ASSIGNEES, false, out),
                     0);
    assert_true(fleet_assignment_set_assigned(&assignment, successor));
    assert_true(fleet_assignment_is_settled(&assignment));
    assert_int_equal(fleet_assignment_recipients(
                         &assignment, FLEET_TO_ONE_ASSIGNEE, false, out),
                     1);
    assert_int_equal(out[0], 20);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_initial_voter),
        cmocka_unit_test(test_replaced_voter_keeps_vote),
        cmocka_unit_test(test_successor_votes),
        cmocka_unit_test(test_successor_lost),
        cmocka_unit_test(test_replaced_voter_assigned_again),
        cmocka_unit_test(test_earlier_assignees_ignored),
        cmocka_unit_test(test_unassigned),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
