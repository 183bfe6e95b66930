/*
 * Load patterns replayed in the model: what placement and admission gain must
 * not be lost again.  Bounds leave room for other seeds, not for other ways.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "model.h"

static void test_calm(void **);
static void test_targets_fall_silent(void **);
static void test_callers_change_zone(void **);
static void test_targets_start_cold(void **);
static void test_targets_turn_slow(void **);
static void test_many_small_views(void **);
static void test_more_than_the_targets_do(void **);

static struct model_result
play(const char *pattern, enum model_way way, double load, unsigned entries,
     unsigned targets)
{
    struct model_options options = {
        .way = way,
        .seed = 1,
        .zones = 3,
        .entries = entries,
        .targets = targets,
        .load = load,
        .seconds = 20,
        .pattern = model_patterns,
    };
    struct model_result result;

    while (strcmp(options.pattern->name, pattern) != 0) {
        options.pattern++;
    }
    model_run(&options, &result);
    return result;
}

static double
goal(const struct model_result *result)
{
    return (double)result->in_goal / (double)result->asked;
}

/* The product's way serves MORE of the requests in time than a plain hash. */
static void
better_than_hash(const char *pattern, double more)
{
    struct model_result product = play(pattern, MODEL_PRODUCT, 0.6, 3, 5);
    struct model_result hash = play(pattern, MODEL_HASH, 0.6, 3, 5);

    assert_true(goal(&product) >= goal(&hash) + more);
}

static void
test_calm(void **state)
{
    struct model_result result = play("calm", MODEL_PRODUCT, 0.6, 3, 5);

    (void)state;
    assert_true(goal(&result) > 0.995);
    assert_int_equal(result.failed, 0);
    assert_int_equal(result.refused, 0);
    assert_true(result.remote < 0.01);
}

static void
test_targets_fall_silent(void **state)
{
    struct model_result result = play("lost", MODEL_PRODUCT, 0.6, 3, 5);

    (void)state;
    better_than_hash("lost", 0.02);
    assert_true(result.p99_ms < 250);
}

static void
test_callers_change_zone(void **state)
{
    (void)state;
    better_than_hash("shift", 0.01);
}

static void
test_targets_start_cold(void **state)
{
    (void)state;
    better_than_hash("release", 0.005);
}

static void
test_targets_turn_slow(void **state)
{
    (void)state;
    better_than_hash("slow", 0.01);
}

/* With 24 entry daemons a zone, each sees a small part of the load. */
static void
test_many_small_views(void **state)
{
    struct model_result product = play("lost", MODEL_PRODUCT, 0.6, 24, 40);
    struct model_result turn = play("lost", MODEL_ROUND_ROBIN, 0.6, 24, 40);

    (void)state;
    assert_true(goal(&product) > goal(&turn) + 0.01);
}

/*
 * Twice the usual load, more than all slots: refusing some openings at once
 * answers more requests in time than the best placement of all of them.
 */
static void
test_more_than_the_targets_do(void **state)
{
    struct model_result product = play("overload", MODEL_PRODUCT, 0.9, 3, 5);
    struct model_result best = play("overload", MODEL_ALL_KNOWING, 0.9, 3, 5);

    (void)state;
    assert_true(goal(&product) >= goal(&best) + 0.05);
    assert_true(product.p99_ms < 200);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_calm),
        cmocka_unit_test(test_targets_fall_silent),
        cmocka_unit_test(test_callers_change_zone),
        cmocka_unit_test(test_targets_start_cold),
        cmocka_unit_test(test_targets_turn_slow),
        cmocka_unit_test(test_many_small_views),
        cmocka_unit_test(test_more_than_the_targets_do),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
