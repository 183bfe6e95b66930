/*
 * Tests the fleet's log: lines are always valid JSON and limited in number,
 * and writing never blocks.
 */
#include <fcntl.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>
#include <jansson.h>

#include "base/log.h"
#include "fleet/fleet_log.h"

#define READ_BYTES 262144
#define NOW_US     1000000
/* Lines; more than the buffer and the rate allow. */
#define LINES_ABOVE_LIMITS 10000

/* A log that writes into a pipe. */
struct piped {
    int ends[2];
    struct fleet_log *log;
    char read[READ_BYTES];
};

static void test_texts_are_escaped(void **);
static void test_long_line_stays_json(void **);
static void test_lines_of_other_modules(void **);
static void test_full_pipe(void **);
static void test_closed_pipe(void **);
static void test_states_before_requests(void **);
static void test_failures_before_requests(void **);

/* Return a log on a pipe, freed by piped_free(). */
static struct piped *
piped_new(void)
{
    struct piped *piped = g_new0(struct piped, 1);
    struct fleet_log_options options = {.daemon = "edge-1"};

    assert_int_equal(pipe(piped->ends), 0);
    fcntl(piped->ends[0], F_SETFL, O_NONBLOCK);
    options.fd = piped->ends[1];
    piped->log = fleet_log_new(&options);
    return piped;
}

/* Free the log and the pipe. */
static void
piped_free(struct piped *piped)
{
    fleet_log_free(piped->log);
    close(piped->ends[0]);
    close(piped->ends[1]);
    g_free(piped);
}

/*
 * Return the first line written so far as JSON, NULL if it is not valid.  The
 * caller owns it.
 */
static json_t *
first_line(struct piped *piped)
{
    ssize_t len;

    fleet_log_flush(piped->log);
    len = read(piped->ends[0], piped->read, sizeof(piped->read) - 1);
    assert_true(len > 0);
    piped->read[len] = '\0';
    *strchr(piped->read, '\n') = '\0';
    return json_loads(piped->read, JSON_REJECT_DUPLICATES, NULL);
}

/*
 * Texts with quotes, backslashes, control and multi-byte characters are read
 * back unchanged.
 */
static void
test_texts_are_escaped(void **state)
{
    static const char *const texts[] = {
        "plain",       "a \"quoted\" name", "back\\slash",
        "caf\303\251", "two\nlines\t\001",  "",
    };

    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
        struct piped *piped = piped_new();
        char *text = log_json_text(texts[i]);
        json_t *line;

        fleet_log_line(piped->log, FLEET_LOG_STATE, NOW_US, "event",
                       "\"pool\":%s", text);
        line = first_line(piped);
        assert_non_null(line);
        assert_string_equal(json_string_value(json_object_get(line, "pool")),
                            texts[i]);
        json_decref(line);
        g_free(text);
        piped_free(piped);
    }
}

/* A text that is too long for a line is dropped, and the line says so. */
static void
test_long_line_stays_json(void **state)
{
    struct piped *piped = piped_new();
    char *text = g_strnfill(2000, 'x');
    json_t *line;

    (void)state;
    fleet_log_line(piped->log, FLEET_LOG_STATE, NOW_US, "event",
                   "\"fault\":\"%s\"", text);
    line = first_line(piped);
    assert_non_null(line);
    assert_string_equal(json_string_value(json_object_get(line, "event")),
                        "event");
    assert_int_equal(
        json_integer_value(json_object_get(line, "bytes_left_out")),
        (int)strlen("\"fault\":\"\"") + 2000);
    json_decref(line);
    g_free(text);
    piped_free(piped);
}

/* Return a constant time. */
static uint64_t
now_us(void)
{
    return NOW_US;
}

/* Each member of another module's line becomes a member of the line here. */
static void
test_lines_of_other_modules(void **state)
{
    struct piped *piped = piped_new();
    json_t *line;

    (void)state;
    fleet_log_redirect_glib(piped->log, now_us);
    log_state(G_LOG_LEVEL_WARNING, "a write failed", "CAUSE",
              "no space on \"disk\"", NULL);
    line = first_line(piped);
    assert_non_null(line);
    assert_string_equal(json_string_value(json_object_get(line, "message")),
                        "a write failed");
    assert_string_equal(json_string_value(json_object_get(line, "cause")),
                        "no space on \"disk\"");
    json_decref(line);
    piped_free(piped);
}

/*
 * If the pipe is not read, lines are dropped and counted, and nothing blocks.
 */
static void
test_full_pipe(void **state)
{
    struct piped *piped = piped_new();

    (void)state;
    for (uint64_t i = 0; i < LINES_ABOVE_LIMITS; i++) {
        fleet_log_line(piped->log, FLEET_LOG_STATE, NOW_US, "event",
                       "\"number\":%" G_GUINT64_FORMAT, i);
        fleet_log_flush(piped->log);
    }
    assert_true(fleet_log_dropped_lines(piped->log) > 0);
    piped_free(piped);
}

/*
 * A line that cannot be written, because the pipe is closed, is counted as
 * dropped.
 */
static void
test_closed_pipe(void **state)
{
    struct piped *piped = piped_new();

    (void)state;
    signal(SIGPIPE, SIG_IGN);
    close(piped->ends[0]);
    fleet_log_line(piped->log, FLEET_LOG_STATE, NOW_US, "event", "\"n\":1");
    fleet_log_flush(piped->log);
    assert_int_equal(fleet_log_dropped_lines(piped->log), 1);
    piped->ends[0] = open("/dev/null", O_RDONLY | O_CLOEXEC);
    piped_free(piped);
}

/*
 * Write more lines than the rate allows.  Return the number of lines dropped
 * so far.
 */
static uint64_t
write_many(struct piped *piped, enum fleet_log_priority priority)
{
    for (int i = 0; i < LINES_ABOVE_LIMITS; i++) {
        fleet_log_line(piped->log, priority, NOW_US, "flow", "\"n\":1");
    }
    return fleet_log_dropped_lines(piped->log);
}

/* Above the rate, changes of state are written and requests are dropped. */
static void
test_states_before_requests(void **state)
{
    struct piped *piped = piped_new();
    uint64_t before;

    (void)state;
    before = write_many(piped, FLEET_LOG_REQUEST);
    assert_true(before > 0);
    fleet_log_line(piped->log, FLEET_LOG_STATE, NOW_US, "role", "\"n\":1");
    assert_int_equal(fleet_log_dropped_lines(piped->log), before);
    piped_free(piped);
}

/*
 * Successful requests do not suppress the lines of failed ones, which have a
 * limit of their own.
 */
static void
test_failures_before_requests(void **state)
{
    struct piped *piped = piped_new();
    uint64_t before;

    (void)state;
    before = write_many(piped, FLEET_LOG_REQUEST);
    fleet_log_line(piped->log, FLEET_LOG_FAILURE, NOW_US, "flow", "\"n\":2");
    assert_int_equal(fleet_log_dropped_lines(piped->log), before);
    assert_true(write_many(piped, FLEET_LOG_FAILURE) > before);
    piped_free(piped);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_texts_are_escaped),
        cmocka_unit_test(test_long_line_stays_json),
        cmocka_unit_test(test_lines_of_other_modules),
        cmocka_unit_test(test_full_pipe),
        cmocka_unit_test(test_closed_pipe),
        cmocka_unit_test(test_states_before_requests),
        cmocka_unit_test(test_failures_before_requests),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
