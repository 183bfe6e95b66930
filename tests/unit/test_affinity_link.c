/* Tests which new flows this VM's link admits. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "affinity_fixture.h"

#define RATE         250000 /* bytes a second */
#define UPLOAD_PORT  1
#define SMALL_PORT   2
#define GOAL_MS      1200
#define PART_BYTES   1200
#define UPLOAD_PARTS 34

static struct affinity_fixture new_link_fixture(uint64_t bytes_per_s);
static void send_part(struct affinity_fixture *, uint16_t caller,
                      uint16_t port, unsigned flags, unsigned part,
                      uint16_t payload);
static enum affinity_reason open_flow(struct affinity_fixture *,
                                      uint16_t caller, uint16_t port);
static void send_upload(struct affinity_fixture *, uint16_t caller,
                        unsigned parts);
static void test_congestion_windows(void **);
static void test_small_requests_continue(void **);
static void test_completed_upload_frees_link(void **);
static void test_silent_flows_are_not_pending(void **);
static void test_interactive_queue(void **);
static void test_bulk_queue(void **);
static void test_rate_unknown(void **);

/* Return a core whose link passes BYTES_PER_S, with a route for uploads at
 * port 1 and one for small requests at port 2. */
static struct affinity_fixture
new_link_fixture(uint64_t bytes_per_s)
{
    struct affinity_options options = {
        .zone = 1, .seed = 3, .link_bytes_per_s = bytes_per_s};
    struct catalog_command command = {.kind = CATALOG_REPLACE};
    struct affinity_fixture fixture = {.now_us = SECOND};

    fixture.catalog_fixture.catalog = catalog_new();
    fixture.core = affinity_core_new(&options);
    catalog_tables_init(&command.u.tables);
    command.u.tables.version = 1;
    command.u.tables.document = g_bytes_new_static("", 0);
    for (uint16_t port = UPLOAD_PORT; port <= SMALL_PORT; port++) {
        struct catalog_route route = {
            .key = catalog_endpoint_key(ROUTE_ADDRESS, port),
            .kind = port == UPLOAD_PORT ? CATALOG_UPLOAD : CATALOG_IDEMPOTENT,
            .goal_ms = GOAL_MS,
        };

        catalog_route_add_split(&route, view_pool_id("desk"), 1);
        g_array_append_val(command.u.tables.routes, route);
    }
    apply(&fixture.catalog_fixture, &command);
    catalog_command_clear(&command);
    for (unsigned i = 1; i <= 8; i++) {
        announce(&fixture.catalog_fixture, i, 100, 1, "desk");
    }
    return fixture;
}

/* Send one packet of a flow from port CALLER to PORT; PART counts from 1 and
 * determines the sequence number; 0 gives the sequence number of the first
 * packet. */
static void
send_part(struct affinity_fixture *fixture, uint16_t caller, uint16_t port,
          unsigned flags, unsigned part, uint16_t payload)
{
    struct affinity_packet sent = {
        .source = 0x64400001,
        .source_port = caller,
        .destination = ROUTE_ADDRESS,
        .destination_port = port,
        .flags = flags,
        .cookie =
            (flags & AFFINITY_SYN) != 0 ? 0 : fixture->verdict.target->cookie,
        .sequence = 1000 + (part == 0 ? 0 : 1 + (part - 1) * PART_BYTES),
        .acknowledged = 1,
        .payload = payload,
    };

    affinity_core_handle_packet(fixture->core, fixture->now_us,
                                fixture->catalog_fixture.catalog, &sent,
                                &fixture->verdict);
}

/* Open a flow from port CALLER to PORT and return the verdict's reason. */
static enum affinity_reason
open_flow(struct affinity_fixture *fixture, uint16_t caller, uint16_t port)
{
    send_part(fixture, caller, port, AFFINITY_SYN, 0, 0);
    return fixture->verdict.reason;
}

/* Send the first PARTS of the upload of CALLER, whose flow was opened last. */
static void
send_upload(struct affinity_fixture *fixture, uint16_t caller, unsigned parts)
{
    send_part(fixture, caller, UPLOAD_PORT, AFFINITY_ACK, 0, 0);
    for (unsigned part = 1; part <= parts; part++) {
        send_part(fixture, caller, UPLOAD_PORT, AFFINITY_ACK, part,
                  PART_BYTES);
        assert_true(fixture->verdict.bulk);
    }
}

/* Two windows pass the link before callers retransmit, a third does not. */
static void
test_congestion_windows(void **state)
{
    struct affinity_fixture fixture = new_link_fixture(RATE);

    (void)state;
    assert_int_equal(open_flow(&fixture, 1, UPLOAD_PORT), AFFINITY_PLACED);
    assert_int_equal(open_flow(&fixture, 2, UPLOAD_PORT), AFFINITY_PLACED);
    assert_int_equal(open_flow(&fixture, 3, UPLOAD_PORT), AFFINITY_LINK_FULL);
    assert_int_equal(fixture.verdict.action, AFFINITY_RESET);
    assert_true(fixture.verdict.pending_upload_bytes > 0);
    free_fixture(&fixture);
}

/* Rejected uploads do not affect small requests. */
static void
test_small_requests_continue(void **state)
{
    struct affinity_fixture fixture = new_link_fixture(RATE);

    (void)state;
    for (uint16_t caller = 1; caller <= 50; caller++) {
        open_flow(&fixture, caller, UPLOAD_PORT);
        assert_int_equal(open_flow(&fixture, 100 + caller, SMALL_PORT),
                         AFFINITY_PLACED);
    }
    free_fixture(&fixture);
}

/* A completed upload is not pending any more, and its size is the estimate for
 * the next. */
static void
test_completed_upload_frees_link(void **state)
{
    struct affinity_fixture fixture = new_link_fixture(RATE);

    (void)state;
    open_flow(&fixture, 1, UPLOAD_PORT);
    send_upload(&fixture, 1, UPLOAD_PARTS);
    send_part(&fixture, 1, UPLOAD_PORT, AFFINITY_FIN | AFFINITY_ACK, 0, 0);
    assert_true(fixture.verdict.ended);
    assert_int_equal(affinity_core_pending_upload_bytes(fixture.core), 0);
    open_flow(&fixture, 2, UPLOAD_PORT);
    assert_int_equal(affinity_core_pending_upload_bytes(fixture.core),
                     UPLOAD_PARTS * PART_BYTES);
    send_upload(&fixture, 2, UPLOAD_PARTS / 2);
    assert_int_equal(affinity_core_pending_upload_bytes(fixture.core),
                     UPLOAD_PARTS / 2 * PART_BYTES);
    send_upload(&fixture, 2, UPLOAD_PARTS / 2); /* copies do not count */
    assert_int_equal(affinity_core_pending_upload_bytes(fixture.core),
                     UPLOAD_PARTS / 2 * PART_BYTES);
    free_fixture(&fixture);
}

/* Uploads that moved to another daemon or were given up are not pending. */
static void
test_silent_flows_are_not_pending(void **state)
{
    struct affinity_fixture fixture = new_link_fixture(RATE);

    (void)state;
    open_flow(&fixture, 1, UPLOAD_PORT);
    open_flow(&fixture, 2, UPLOAD_PORT);
    for (int tenths = 0; tenths < 20; tenths++) {
        fixture.now_us += SECOND / 10;
        affinity_core_tick(fixture.core, fixture.now_us,
                           fixture.catalog_fixture.catalog);
    }
    assert_int_equal(affinity_core_pending_upload_bytes(fixture.core), 0);
    assert_int_equal(open_flow(&fixture, 3, UPLOAD_PORT), AFFINITY_PLACED);
    free_fixture(&fixture);
}

/* Small requests are rejected, too, if they would wait too long. */
static void
test_interactive_queue(void **state)
{
    struct affinity_fixture fixture = new_link_fixture(RATE);

    (void)state;
    affinity_core_set_queued(fixture.core, RATE / 2, 0);
    assert_int_equal(open_flow(&fixture, 1, SMALL_PORT), AFFINITY_PLACED);
    affinity_core_set_queued(fixture.core, RATE * GOAL_MS * 6 / 10 / 1000, 0);
    assert_int_equal(open_flow(&fixture, 2, SMALL_PORT), AFFINITY_LINK_FULL);
    affinity_core_set_queued(fixture.core, 0, 0);
    assert_int_equal(open_flow(&fixture, 3, SMALL_PORT), AFFINITY_PLACED);
    free_fixture(&fixture);
}

/* No further upload is admitted while so much bulk is queued that callers
 * would retransmit it. */
static void
test_bulk_queue(void **state)
{
    struct affinity_fixture fixture = new_link_fixture(RATE);

    (void)state;
    open_flow(&fixture, 1, UPLOAD_PORT);
    affinity_core_set_queued(fixture.core, 0, RATE / 5);
    assert_int_equal(open_flow(&fixture, 2, UPLOAD_PORT), AFFINITY_LINK_FULL);
    free_fixture(&fixture);
}

/* All uploads are admitted if the rate of the link is unknown. */
static void
test_rate_unknown(void **state)
{
    struct affinity_fixture fixture = new_link_fixture(0);

    (void)state;
    for (uint16_t caller = 1; caller <= 50; caller++) {
        assert_int_equal(open_flow(&fixture, caller, UPLOAD_PORT),
                         AFFINITY_PLACED);
    }
    free_fixture(&fixture);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_congestion_windows),
        cmocka_unit_test(test_small_requests_continue),
        cmocka_unit_test(test_completed_upload_frees_link),
        cmocka_unit_test(test_silent_flows_are_not_pending),
        cmocka_unit_test(test_interactive_queue),
        cmocka_unit_test(test_bulk_queue),
        cmocka_unit_test(test_rate_unknown),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
