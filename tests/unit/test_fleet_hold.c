/*
 * Tests the packets held until an entry daemon has its first catalog, as after
 * a loss of all power: callers go on sending, and copies come 200, 400 and
 * 800 ms after the packet before.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "fleet/fleet_hold.h"

#define MS        UINT64_C(1000)
#define BYTES_MAX 1000

static void test_packets_come_back_in_order(void **);
static void test_copies_are_held_once(void **);
static void test_opening_expires_before_its_next_copy(void **);
static void test_request_is_held_until_caller_gives_up(void **);
static void test_opening_held_again_keeps_its_age(void **);
static void test_space_is_limited(void **);

/* Hold a packet of 10 bytes that are equal to KEY. */
static bool
add(struct fleet_hold *hold, uint64_t now_us, uint8_t key, bool opens,
    uint32_t retransmissions)
{
    uint8_t data[10];
    struct fleet_hold_packet packet = {
        .key = key,
        .opens = opens,
        .retransmissions = retransmissions,
        .data = data,
        .len = sizeof(data),
    };

    memset(data, key, sizeof(data));
    return fleet_hold_add(hold, now_us, &packet);
}

/* Return the key of the next packet, 0 if there is none. */
static uint8_t
take(struct fleet_hold *hold, uint64_t now_us)
{
    uint8_t data[10];
    uint64_t arrived_us;
    size_t len =
        fleet_hold_take(hold, now_us, data, sizeof(data), &arrived_us);

    if (len == 0) {
        return 0;
    }
    assert_int_equal(len, sizeof(data));
    return data[9];
}

static void
test_packets_come_back_in_order(void **state)
{
    struct fleet_hold *hold = fleet_hold_new(BYTES_MAX);

    (void)state;
    for (uint8_t key = 1; key <= 5; key++) {
        assert_true(add(hold, (uint64_t)key * 10 * MS, key, key == 3, 0));
    }
    assert_int_equal(fleet_hold_count(hold), 5);
    for (uint8_t key = 1; key <= 5; key++) {
        assert_int_equal(take(hold, 100 * MS), key);
    }
    assert_int_equal(take(hold, 100 * MS), 0);
    fleet_hold_free(hold);
}

/* The target gets a request once, however often the caller has sent it. */
static void
test_copies_are_held_once(void **state)
{
    struct fleet_hold *hold = fleet_hold_new(BYTES_MAX);

    (void)state;
    assert_true(add(hold, 0, 1, false, 0));
    assert_true(add(hold, 200 * MS, 1, false, 0));
    assert_int_equal(fleet_hold_count(hold), 1);
    assert_int_equal(fleet_hold_counters(hold)->copies, 1);
    assert_int_equal(take(hold, 450 * MS), 1);
    assert_int_equal(take(hold, 450 * MS), 0);
    fleet_hold_free(hold);
}

/* The next copy of an opening may reach another daemon, which opens the flow
 * at another target. */
static void
test_opening_expires_before_its_next_copy(void **state)
{
    struct fleet_hold *hold = fleet_hold_new(BYTES_MAX);

    (void)state;
    assert_true(add(hold, 0, 1, true, 0));
    assert_true(add(hold, 0, 2, true, 1));
    assert_true(add(hold, 0, 3, true, 2));
    assert_int_equal(take(hold, 199 * MS), 2);
    assert_int_equal(take(hold, 199 * MS), 3);
    assert_int_equal(fleet_hold_counters(hold)->expired, 1);
    assert_true(add(hold, 0, 4, true, 2));
    assert_int_equal(take(hold, 799 * MS), 0);
    fleet_hold_free(hold);
}

/*
 * An opening that cannot be decided on by the first catalog either was held
 * anew for its whole time, past its copy, which another daemon had opened at
 * another target: the flow had two.
 */
static void
test_opening_held_again_keeps_its_age(void **state)
{
    struct fleet_hold *hold = fleet_hold_new(BYTES_MAX);
    uint8_t data[10];
    struct fleet_hold_packet packet = {
        .key = 1, .opens = true, .data = data, .len = sizeof(data)};
    uint64_t arrived_us;

    (void)state;
    assert_true(add(hold, 5 * MS, 1, true, 0));
    assert_int_equal(
        fleet_hold_take(hold, 81 * MS, data, sizeof(data), &arrived_us),
        sizeof(data));
    assert_int_equal(arrived_us, 5 * MS);
    assert_true(fleet_hold_add(hold, arrived_us, &packet));
    assert_int_equal(take(hold, 230 * MS), 0);
    assert_int_equal(fleet_hold_counters(hold)->expired, 1);
    fleet_hold_free(hold);
}

static void
test_request_is_held_until_caller_gives_up(void **state)
{
    struct fleet_hold *hold = fleet_hold_new(BYTES_MAX);

    (void)state;
    assert_true(add(hold, 0, 1, false, 0));
    assert_true(add(hold, 0, 2, false, 0));
    assert_int_equal(take(hold, 1400 * MS), 1);
    assert_int_equal(take(hold, 1600 * MS), 0);
    assert_int_equal(fleet_hold_counters(hold)->expired, 1);
    fleet_hold_free(hold);
}

static void
test_space_is_limited(void **state)
{
    struct fleet_hold *hold = fleet_hold_new(BYTES_MAX);

    (void)state;
    for (uint8_t key = 1; key <= 100; key++) {
        assert_true(add(hold, 0, key, false, 0));
    }
    assert_false(add(hold, 0, 101, false, 0));
    assert_int_equal(fleet_hold_counters(hold)->full, 1);
    assert_int_equal(take(hold, 0), 1);
    assert_true(add(hold, 0, 101, false, 0));
    fleet_hold_free(hold);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_packets_come_back_in_order),
        cmocka_unit_test(test_copies_are_held_once),
        cmocka_unit_test(test_opening_expires_before_its_next_copy),
        cmocka_unit_test(test_request_is_held_until_caller_gives_up),
        cmocka_unit_test(test_opening_held_again_keeps_its_age),
        cmocka_unit_test(test_space_is_limited),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
