/* Frames: whole, cut at every byte, too large, of an unknown channel. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "peer/frame.h"

static void test_cut_everywhere(void **);
static void test_bad_heads(void **);

static void
test_cut_everywhere(void **state)
{
    GByteArray *bytes = g_byte_array_new();
    struct frame frame;
    size_t used;

    (void)state;
    frame_append(bytes, PEER_FLOW, (const uint8_t *)"hello", 5);
    frame_append(bytes, PEER_CALL, NULL, 0);
    for (size_t len = 0; len < FRAME_HEADER_LEN + 5; len++) {
        assert_int_equal(frame_next(bytes->data, len, &frame, &used),
                         FRAME_PARTIAL);
    }
    assert_int_equal(frame_next(bytes->data, bytes->len, &frame, &used),
                     FRAME_READY);
    assert_int_equal(frame.channel, PEER_FLOW);
    assert_int_equal(frame.len, 5);
    assert_memory_equal(frame.payload, "hello", 5);
    assert_int_equal(
        frame_next(bytes->data + used, bytes->len - used, &frame, &used),
        FRAME_READY);
    assert_int_equal(frame.channel, PEER_CALL);
    assert_int_equal(frame.len, 0);
    g_byte_array_unref(bytes);
}

static void
test_bad_heads(void **state)
{
    const uint8_t unknown[] = {0, 0, 0, 0, PEER_CHANNEL__MAX};
    const uint8_t large[] = {0xff, 0, 0, 0, PEER_FLOW};
    struct frame frame;
    size_t used;

    (void)state;
    assert_int_equal(frame_next(unknown, sizeof(unknown), &frame, &used),
                     FRAME_BAD);
    assert_int_equal(frame_next(large, sizeof(large), &frame, &used),
                     FRAME_BAD);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_cut_everywhere),
        cmocka_unit_test(test_bad_heads),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
