/*
 * Tests that call options survive encoding and that damaged ones are rejected.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "edge/call_option.h"

static const struct call_option options[] = {
    {.id = 1, .attempt = 1, .kind = CALL_REQUEST, .parts = 1},
    {.id = UINT64_MAX,
     .attempt = UINT32_MAX,
     .deadline_ms = UINT32_MAX,
     .kind = CALL_OUTCOME_UNKNOWN,
     .idempotent = true,
     .part = CALL_PARTS_MAX - 1,
     .parts = CALL_PARTS_MAX},
    {.id = 7, .kind = CALL_CANCEL, .parts = 1},
    {.id = 7, .attempt = 3, .kind = CALL_ANSWER, .part = 1, .parts = 2},
    {.id = 7, .attempt = 3, .kind = CALL_NOT_RUN, .parts = 1},
};

static void test_round_trip(void **);
static void test_padding(void **);
static void test_range(void **);
static void test_damage(void **);
static void test_short_buffer(void **);

/* A decoded option equals the encoded one. */
static void
test_round_trip(void **state)
{
    (void)state;
    for (size_t i = 0; i < sizeof(options) / sizeof(options[0]); i++) {
        uint8_t data[64];
        struct call_option out;
        size_t len = call_option_encode(&options[i], data, sizeof(data));

        assert_true(len > 0);
        assert_true(call_option_decode(data, len, &out));
        assert_true(out.id == options[i].id);
        assert_int_equal(out.attempt, options[i].attempt);
        assert_int_equal(out.deadline_ms, options[i].deadline_ms);
        assert_int_equal(out.kind, options[i].kind);
        assert_int_equal(out.idempotent, options[i].idempotent);
        assert_int_equal(out.part, options[i].part);
        assert_int_equal(out.parts, options[i].parts);
    }
}

/* Geneve pads options to a multiple of four bytes; padding is ignored. */
static void
test_padding(void **state)
{
    uint8_t data[64];
    struct call_option out;
    size_t len = call_option_encode(&options[0], data, sizeof(data));

    (void)state;
    memset(data + len, 0, 3);
    assert_true(call_option_decode(data, len + 3, &out));
    assert_true(out.id == options[0].id);
}

/* Options with values out of range are rejected. */
static void
test_range(void **state)
{
    static const struct call_option wrong[] = {
        {.id = 1, .parts = CALL_PARTS_MAX + 1},
        {.id = 1, .part = 2, .parts = 2},
        {.id = 1, .part = 1, .parts = 0},
        {.id = 1, .kind = CALL_KIND__MAX, .parts = 1},
    };

    (void)state;
    for (size_t i = 0; i < sizeof(wrong) / sizeof(wrong[0]); i++) {
        uint8_t data[64];
        struct call_option out;
        size_t len = call_option_encode(&wrong[i], data, sizeof(data));

        assert_true(len > 0);
        assert_false(call_option_decode(data, len, &out));
    }
}

/* Truncated options and wrong lengths are rejected. */
static void
test_damage(void **state)
{
    uint8_t data[64];
    struct call_option out;
    size_t len = call_option_encode(&options[1], data, sizeof(data));

    (void)state;
    assert_false(call_option_decode(data, 0, &out));
    for (size_t cut = 1; cut < len; cut++) {
        assert_false(call_option_decode(data, cut, &out));
    }
    data[0] = 0xff;
    assert_false(call_option_decode(data, sizeof(data), &out));
}

/* An option is not encoded into a buffer that is too small. */
static void
test_short_buffer(void **state)
{
    uint8_t data[64];
    size_t len = call_option_encode(&options[1], data, sizeof(data));

    (void)state;
    for (size_t size = 0; size < len; size++) {
        assert_int_equal(call_option_encode(&options[1], data, size), 0);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_round_trip),   cmocka_unit_test(test_padding),
        cmocka_unit_test(test_range),        cmocka_unit_test(test_damage),
        cmocka_unit_test(test_short_buffer),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
