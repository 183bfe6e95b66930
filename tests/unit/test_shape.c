/* Tests the traffic shaper. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "shape/shape.h"

#define RATE            237500 /* bytes a second: 95% of 2 Mbit/s */
#define FULL            1242U  /* bytes of a full packet, encapsulated */
#define INTERACTIVE_MAX 256U   /* longer packets are bulk */
#define SECOND          1000000
#define WINDOW          16U  /* packets that a caller sends at once */
#define LINK_MAX        8192 /* bytes that the link of this test can queue */

static void test_windows_leave_at_link_rate(void **);
static void test_interactive_first(void **);
static void test_copy_dropped(void **);
static void test_bulk_limit(void **);
static void test_interactive_limit(void **);
static void test_ended_flow(void **);
static void test_unlimited_rate(void **);

/* Add a packet of LEN bytes, with KEY as key and flow; return false if it is
 * dropped. */
static bool
enqueue(struct shape *shape, uint64_t now_us, uint64_t key, size_t len)
{
    static uint8_t data[FULL];
    struct shape_packet packet = {
        .address = 1,
        .port = 2,
        .class = len > INTERACTIVE_MAX ? SHAPE_BULK : SHAPE_INTERACTIVE,
        .flow = key,
        .key = key,
        .data = data,
        .len = len};

    data[0] = (uint8_t)key;
    return shape_enqueue(shape, now_us, &packet);
}

/*
 * The windows of two uploads come within a millisecond.  Unshaped, they exceed
 * the queue of the link, which drops packets.  Shaped, a link that queues
 * LINK_MAX bytes must drop nothing, and all must leave in the time that the
 * link's rate allows.
 */
static void
test_windows_leave_at_link_rate(void **state)
{
    struct shape_options options = {.bytes_per_s = RATE};
    struct shape *shape = shape_new(&options);
    uint64_t now_us = SECOND, start_us = now_us;
    double backlog = 0;
    unsigned remaining = 2 * WINDOW;

    (void)state;
    for (uint64_t key = 1; key <= UINT64_C(2) * WINDOW; key++) {
        assert_true(enqueue(shape, now_us, key, FULL));
    }
    while (remaining > 0) {
        const struct shape_packet *packet;
        uint64_t wait_us;

        while ((packet = shape_dequeue(shape, now_us)) != NULL) {
            remaining--;
            backlog += (double)packet->len;
            assert_true(backlog <= LINK_MAX);
        }
        wait_us = shape_wait_us(shape, now_us);
        wait_us = (wait_us + 999) / 1000 * 1000; /* a timer's resolution */
        now_us += wait_us;
        backlog -= (double)wait_us * RATE / SECOND;
        backlog = backlog < 0 ? 0 : backlog;
    }
    assert_true(now_us - start_us <
                2 * (uint64_t)WINDOW * (FULL + 28) * SECOND / RATE);
    assert_int_equal(shape_queued_bytes(shape, SHAPE_BULK), 0);
    assert_int_equal(shape_wait_us(shape, now_us), 0);
    shape_free(shape);
}

/* An interactive packet leaves before the queued bulk. */
static void
test_interactive_first(void **state)
{
    struct shape_options options = {.bytes_per_s = RATE};
    struct shape *shape = shape_new(&options);
    uint64_t now_us = SECOND;

    (void)state;
    for (uint64_t key = 1; key <= WINDOW; key++) {
        enqueue(shape, now_us, key, FULL);
    }
    while (shape_dequeue(shape, now_us) != NULL) {
    }
    assert_true(enqueue(shape, now_us, 100, 42));
    now_us += 1000;
    assert_int_equal(shape_dequeue(shape, now_us)->key, 100);
    shape_free(shape);
}

/* A copy is dropped while the first packet is queued. */
static void
test_copy_dropped(void **state)
{
    struct shape_options options = {.bytes_per_s = RATE};
    struct shape *shape = shape_new(&options);

    (void)state;
    assert_true(enqueue(shape, 1, 1, FULL));
    assert_false(enqueue(shape, 2, 1, FULL));
    assert_true(enqueue(shape, 3, 2, FULL));
    assert_int_equal(shape_dequeue(shape, 4)->key, 1);
    assert_true(enqueue(shape, 5, 1, FULL)); /* the first may have been lost */
    assert_int_equal(shape_counters(shape)->duplicates, 1);
    shape_free(shape);
}

/* Bulk above its limit is dropped, interactive packets are not. */
static void
test_bulk_limit(void **state)
{
    struct shape_options options = {.bytes_per_s = RATE,
                                    .queue_bytes = 4 * FULL};
    struct shape *shape = shape_new(&options);

    (void)state;
    for (uint64_t key = 1; key <= 4; key++) {
        assert_true(enqueue(shape, 1, key, FULL));
    }
    assert_false(enqueue(shape, 1, 5, FULL));
    assert_true(enqueue(shape, 1, 6, 42)); /* first packets are accepted */
    assert_int_equal(shape_counters(shape)->dropped[SHAPE_BULK], 1);
    shape_free(shape);
}

/* Interactive packets are accepted above the limit of bulk, up to their
 * own. */
static void
test_interactive_limit(void **state)
{
    struct shape_options options = {.bytes_per_s = RATE,
                                    .queue_bytes = 4 * FULL};
    struct shape *shape = shape_new(&options);

    (void)state;
    for (uint64_t key = 1; key <= 4; key++) {
        assert_true(enqueue(shape, 1, key, FULL));
    }
    for (uint64_t key = 100; key < 1100; key++) {
        enqueue(shape, 1, key, 42);
    }
    assert_true(shape_queued_bytes(shape, SHAPE_INTERACTIVE) +
                    shape_queued_bytes(shape, SHAPE_BULK) <=
                (size_t)2 * 4 * FULL);
    assert_true(shape_counters(shape)->dropped[SHAPE_INTERACTIVE] > 0);
    shape_free(shape);
}

/* The queued data of an upload is dropped when its caller has given up. */
static void
test_ended_flow(void **state)
{
    struct shape_options options = {.bytes_per_s = RATE};
    struct shape *shape = shape_new(&options);

    (void)state;
    for (uint64_t key = 1; key <= 4; key++) {
        assert_true(enqueue(shape, 1, key, FULL));
    }
    assert_int_equal(shape_queued_bytes(shape, SHAPE_BULK), 4 * FULL);
    shape_drop_flow(shape, 3);
    assert_int_equal(shape_queued_bytes(shape, SHAPE_BULK), 3 * FULL);
    assert_int_equal(shape_counters(shape)->dropped_ended, 1);
    assert_int_equal(shape_dequeue(shape, 2)->key, 1);
    assert_int_equal(shape_dequeue(shape, 3)->key, 2);
    assert_int_equal(shape_dequeue(shape, SECOND)->key, 4);
    shape_free(shape);
}

/* Without a rate every packet leaves at once. */
static void
test_unlimited_rate(void **state)
{
    struct shape_options options = {0};
    struct shape *shape = shape_new(&options);

    (void)state;
    for (uint64_t key = 1; key <= 20; key++) {
        assert_true(enqueue(shape, 1, key, FULL));
        assert_int_equal(shape_dequeue(shape, 1)->key, key);
    }
    assert_null(shape_dequeue(shape, 1));
    shape_free(shape);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_windows_leave_at_link_rate),
        cmocka_unit_test(test_interactive_first),
        cmocka_unit_test(test_copy_dropped),
        cmocka_unit_test(test_bulk_limit),
        cmocka_unit_test(test_interactive_limit),
        cmocka_unit_test(test_ended_flow),
        cmocka_unit_test(test_unlimited_rate),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
