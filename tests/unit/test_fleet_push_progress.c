/*
 * Tests which control daemon sends a catalog update, when, and when it is sent
 * again.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "fleet/fleet_push_progress.h"

#define MS               UINT64_C(1000)
#define SOURCES          3
#define STEP_US          (10 * MS)
#define LINK_BYTES_PER_S UINT64_C(250000) /* 2 Mbit/s */
#define CATALOG_BYTES    190000U          /* 3,000 targets and their routes */
#define ROW_BYTES        60U              /* an update of one target */
#define START_US         (100000 * MS)

/* One receiver, its link, and the control daemons that send to it. */
struct sources {
    struct fleet_push_progress progress[SOURCES];
    struct fleet_revision_times times;
    uint64_t now_us;
    uint64_t newest;          /* revision that the control daemons hold */
    uint64_t link_free_us;    /* when the link is free again */
    unsigned copies;          /* updates sent */
    uint64_t arrive_us;       /* when the first update in transit arrives; 0
                               * for none */
    uint64_t arrive_revision; /* revision after that update */
};

static void report_revision(struct sources *, uint64_t start_id,
                            uint64_t revision);
static bool due_after_catalog(uint64_t start_id, uint64_t revision,
                              uint64_t after_us, uint64_t newest,
                              size_t bytes);
static struct sources sources_new(uint64_t link_bytes_per_s, uint64_t revision,
                                  uint64_t newest);
static void run(struct sources *, uint64_t for_us, size_t bytes);
static void test_sent_once_at_once(void **);
static void test_second_sends_if_first_fails(void **);
static void test_lost_update_is_resent(void **);
static void test_one_copy_on_narrow_link(void **);
static void test_restarted_receiver_is_sent_at_once(void **);
static void test_next_update_after_confirmation(void **);
static void test_steady_changes_sent_by_first(void **);
static void test_steady_changes_sent_by_second(void **);

/* Report to all sources what the receiver holds. */
static void
report_revision(struct sources *sources, uint64_t start_id, uint64_t revision)
{
    for (uint32_t i = 0; i < SOURCES; i++) {
        struct fleet_push_receiver receiver = sources->progress[i].receiver;

        receiver.start_id = start_id;
        receiver.revision = revision;
        receiver.rank = i;
        fleet_push_progress_set_receiver(&sources->progress[i], &receiver);
    }
}

/*
 * Return sources with the revision NEWEST and a receiver that holds REVISION.
 */
static struct sources
sources_new(uint64_t link_bytes_per_s, uint64_t revision, uint64_t newest)
{
    struct sources sources = {.now_us = START_US, .newest = newest};

    for (uint32_t i = 0; i < SOURCES; i++) {
        sources.progress[i].receiver.link_bytes_per_s = link_bytes_per_s;
    }
    report_revision(&sources, 1, revision);
    return sources;
}

/*
 * After the first source has sent the first catalog and the receiver has
 * reported START_ID and REVISION, return true if an update of BYTES to the
 * revision NEWEST is due AFTER_US later.
 */
static bool
due_after_catalog(uint64_t start_id, uint64_t revision, uint64_t after_us,
                  uint64_t newest, size_t bytes)
{
    struct sources sources = sources_new(LINK_BYTES_PER_S, 0, 5000);
    struct fleet_push_progress *first = &sources.progress[0];
    uint64_t now_us = START_US + after_us;

    fleet_push_progress_update_behind_since(first, START_US, 5000,
                                            &sources.times);
    fleet_push_progress_record_sent(first, START_US, CATALOG_BYTES);
    report_revision(&sources, start_id, revision);
    fleet_push_progress_update_behind_since(first, now_us, newest,
                                            &sources.times);
    return fleet_push_progress_is_due(first, now_us, bytes);
}

/*
 * Let FOR_US pass.  Updates are of BYTES, pass the link in order, and are
 * confirmed when the first copy arrives.
 */
static void
run(struct sources *sources, uint64_t for_us, size_t bytes)
{
    uint64_t end_us = sources->now_us + for_us;

    for (; sources->now_us < end_us; sources->now_us += STEP_US) {
        uint64_t now_us = sources->now_us;

        fleet_revision_times_add(&sources->times, now_us, sources->newest);
        if (sources->arrive_us != 0 && now_us >= sources->arrive_us) {
            sources->arrive_us = 0;
            report_revision(sources, 1, sources->arrive_revision);
        }
        for (uint32_t i = 0; i < SOURCES; i++) {
            struct fleet_push_progress *progress = &sources->progress[i];

            fleet_push_progress_update_behind_since(
                progress, now_us, sources->newest, &sources->times);
            if (!fleet_push_progress_is_due(progress, now_us, 0) ||
                !fleet_push_progress_is_due(progress, now_us, bytes)) {
                continue;
            }
            fleet_push_progress_record_sent(progress, now_us, bytes);
            sources->copies++;
            sources->link_free_us =
                (sources->link_free_us > now_us ? sources->link_free_us
                                                : now_us) +
                (uint64_t)bytes * 1000 * MS / LINK_BYTES_PER_S;
            if (sources->arrive_us == 0) {
                sources->arrive_us = sources->link_free_us;
                sources->arrive_revision = sources->newest;
            }
        }
    }
}

/* The first source sends a change without delay, and only once. */
static void
test_sent_once_at_once(void **state)
{
    struct sources sources = sources_new(LINK_BYTES_PER_S, 10, 11);

    (void)state;
    run(&sources, STEP_US, ROW_BYTES);
    assert_int_equal(sources.copies, 1);
    run(&sources, 3000 * MS, ROW_BYTES);
    assert_int_equal(sources.copies, 1);
}

/* If the first source is gone, the second sends after 0.3 s. */
static void
test_second_sends_if_first_fails(void **state)
{
    struct sources sources = sources_new(0, 10, 11);

    (void)state;
    sources.progress[0].receiver.rank = UINT32_MAX;
    fleet_push_progress_update_behind_since(&sources.progress[1], START_US, 11,
                                            &sources.times);
    assert_false(fleet_push_progress_is_due(&sources.progress[1],
                                            START_US + 299 * MS, ROW_BYTES));
    assert_true(fleet_push_progress_is_due(&sources.progress[1],
                                           START_US + 300 * MS, ROW_BYTES));
}

/* An update that was lost is sent again after 0.3 s. */
static void
test_lost_update_is_resent(void **state)
{
    struct sources sources = sources_new(0, 10, 11);
    struct fleet_push_progress *first = &sources.progress[0];

    (void)state;
    fleet_push_progress_update_behind_since(first, START_US, 11,
                                            &sources.times);
    fleet_push_progress_record_sent(first, START_US, ROW_BYTES);
    assert_false(
        fleet_push_progress_is_due(first, START_US + 299 * MS, ROW_BYTES));
    assert_true(
        fleet_push_progress_is_due(first, START_US + 300 * MS, ROW_BYTES));
}

/*
 * Load pattern: all entry daemons start at once, and the first catalog takes
 * 0.8 s on the link of each.  Only one copy is sent.
 */
static void
test_one_copy_on_narrow_link(void **state)
{
    struct sources sources = sources_new(LINK_BYTES_PER_S, 0, 5000);

    (void)state;
    run(&sources, 5000 * MS, CATALOG_BYTES);
    assert_int_equal(sources.copies, 1);
    assert_int_equal(sources.progress[0].receiver.revision, 5000);
}

/*
 * A receiver that was killed while the first catalog was in transit is sent it
 * at once.
 */
static void
test_restarted_receiver_is_sent_at_once(void **state)
{
    (void)state;
    assert_true(due_after_catalog(2, 0, 200 * MS, 5000, CATALOG_BYTES));
}

/*
 * If the catalog has changed while it was in transit, the rest is sent soon
 * after the confirmation.
 */
static void
test_next_update_after_confirmation(void **state)
{
    (void)state;
    assert_true(due_after_catalog(1, 5000, 100 * MS, 5001, ROW_BYTES));
}

/*
 * Load pattern: targets join and leave for 5 s, one each 10 ms, so that the
 * receiver is always a little behind.  Only the first source sends, ten times
 * a second.
 */
static void
test_steady_changes_sent_by_first(void **state)
{
    struct sources sources = sources_new(LINK_BYTES_PER_S, 10, 10);

    (void)state;
    for (int i = 0; i < 500; i++) {
        sources.newest++;
        run(&sources, 10 * MS, ROW_BYTES);
    }
    for (int i = 1; i < SOURCES; i++) {
        assert_int_equal(sources.progress[i].last_sent_us, 0);
    }
    assert_in_range(sources.copies, 40, 55);
}

/* As above, but the first source is gone, so the second one sends. */
static void
test_steady_changes_sent_by_second(void **state)
{
    struct sources sources = sources_new(0, 10, 10);
    struct fleet_push_progress *second = &sources.progress[1];
    uint64_t now_us = START_US;

    (void)state;
    for (; second->last_sent_us == 0 && now_us < START_US + 1000 * MS;
         now_us += 50 * MS) {
        sources.newest++;
        fleet_revision_times_add(&sources.times, now_us, sources.newest);
        fleet_push_progress_update_behind_since(second, now_us, sources.newest,
                                                &sources.times);
        if (fleet_push_progress_is_due(second, now_us, ROW_BYTES)) {
            fleet_push_progress_record_sent(second, now_us, ROW_BYTES);
        }
    }
    assert_int_equal(second->last_sent_us, START_US + 300 * MS);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_sent_once_at_once),
        cmocka_unit_test(test_second_sends_if_first_fails),
        cmocka_unit_test(test_lost_update_is_resent),
        cmocka_unit_test(test_one_copy_on_narrow_link),
        cmocka_unit_test(test_restarted_receiver_is_sent_at_once),
        cmocka_unit_test(test_next_update_after_confirmation),
        cmocka_unit_test(test_steady_changes_sent_by_first),
        cmocka_unit_test(test_steady_changes_sent_by_second),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
