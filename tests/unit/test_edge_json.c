/* Announcements and edits: each wrong member is named with its remedy. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "base/err.h"
#include "edge/announce.h"
#include "edge/row_json.h"

#define TARGET                                                                \
    "\"address\":\"127.2.0.1\",\"slots\":2,\"connections\":2000,"             \
    "\"zone\":\"suva\",\"incarnation\":7"

/* A body, and what the message must hold; NULL where it is right. */
struct json_case {
    const char *body;
    const char *expected;
};

static const struct json_case announcements[] = {
    {"{\"pool\":\"p\"," TARGET "}", NULL},
    {"{\"pool\":\"p\",\"state\":\"draining\"," TARGET "}", NULL},
    {"{" TARGET "}", "\"pool\" is missing"},
    {"{\"pool\":\"p\",\"state\":\"ill\"," TARGET "}", "\"state\" is \"ill\""},
    {"{\"pool\":\"p\",\"port\":70000," TARGET "}", "\"port\" is missing or"},
    {"{\"pool\":\"p\",\"weight\":0," TARGET "}", "\"weight\""},
    {"{\"pool\":\"p\",\"weight\":\"1\"," TARGET "}", "\"weight\""},
    {"{\"pool\":\"p\",\"pool\":\"q\"," TARGET "}", "not a JSON object"},
    {"[]", "not a JSON object"},
    {"{\"pool\":", "not a JSON object"},
    {"", "not a JSON object"},
};

static const struct json_case routes[] = {
    {"{\"edit_id\":\"e\",\"base_version\":0,\"row\":{\"address\":"
     "\"10.0.0.1\",\"pool\":\"p\"}}",
     NULL},
    {"{\"base_version\":0,\"row\":{\"address\":\"10.0.0.1\"}}", "\"edit_id\""},
    {"{\"edit_id\":\"e\",\"row\":{\"address\":\"10.0.0.1\"}}",
     "\"base_version\""},
    {"{\"edit_id\":\"e\",\"base_version\":0,\"row\":{\"adress\":1}}",
     "\"adress\" is not known"},
    {"{\"edit_id\":\"e\",\"base_version\":0,\"row\":{\"address\":1}}",
     "\"address\" is wrong"},
    {"{\"edit_id\":\"e\",\"base_version\":0,\"row\":{\"address\":"
     "\"10.0.0.1\",\"kind\":\"tcp\"}}",
     "give stream or call"},
    {"{\"edit_id\":\"e\",\"base_version\":0,\"row\":{\"address\":"
     "\"10.0.0.1\",\"port\":-1}}",
     "\"port\" is wrong"},
    {"{\"edit_id\":\"e\",\"base_version\":0}", "not a JSON object"},
    {"{\"edit_id\":\"e\",\"base_version\":0,\"accept_without\":[1],\"row\":"
     "{\"address\":\"10.0.0.1\"}}",
     "\"accept_without\" is wrong"},
};

static const struct json_case pools[] = {
    {"{\"edit_id\":\"e\",\"base_version\":3,\"row\":{\"prefer\":\"balance\","
     "\"drain\":[\"127.2.0.1\"],\"weights\":{\"127.2.0.2\":50}}}",
     NULL},
    {"{\"edit_id\":\"e\",\"base_version\":3,\"row\":{\"drain\":[1]}}",
     "\"drain\" is wrong"},
    {"{\"edit_id\":\"e\",\"base_version\":3,\"row\":{\"weights\":"
     "{\"127.2.0.2\":0}}}",
     "\"weights\" is wrong"},
    {"{\"edit_id\":\"e\",\"base_version\":3,\"row\":{\"prefer\":\"both\"}}",
     "give flows or balance"},
};

static void check(const struct json_case *, bool ok, GError *);
static void check_edits(const struct json_case *, size_t, enum table_kind);
static void test_announcements(void **);
static void test_edits(void **);
static void test_row_round_trip(void **);

static void
check(const struct json_case *one, bool ok, GError *error)
{
    if (one->expected == NULL) {
        assert_true(ok);
        return;
    }
    assert_false(ok);
    assert_int_equal(error->code, ERR_INPUT);
    if (strstr(error->message, one->expected) == NULL) {
        assert_string_equal(error->message, one->expected);
    }
    g_error_free(error);
}

static void
test_announcements(void **state)
{
    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(announcements); i++) {
        struct announcement out;
        GError *error = NULL;
        bool ok = announce_parse(announcements[i].body,
                                 strlen(announcements[i].body), &out, &error);

        check(&announcements[i], ok, error);
    }
}

static void
check_edits(const struct json_case *cases, size_t count, enum table_kind kind)
{
    for (size_t i = 0; i < count; i++) {
        struct row_json_edit out;
        GError *error = NULL;
        bool ok = row_json_read_edit(cases[i].body, strlen(cases[i].body),
                                     kind, "row", TABLE_SET, &out, &error);

        check(&cases[i], ok, error);
        if (ok) {
            table_row_clear(&out.edit.row);
        }
    }
}

static void
test_edits(void **state)
{
    (void)state;
    check_edits(routes, G_N_ELEMENTS(routes), TABLE_ROUTE);
    check_edits(pools, G_N_ELEMENTS(pools), TABLE_POOL);
}

static void
test_row_round_trip(void **state)
{
    struct row_json_edit out;
    json_t *object;

    (void)state;
    assert_true(row_json_read_edit(pools[0].body, strlen(pools[0].body),
                                   TABLE_POOL, "row", TABLE_SET, &out, NULL));
    object = row_json_from(&out.edit.row);
    assert_string_equal(json_string_value(json_object_get(object, "prefer")),
                        "balance");
    assert_int_equal(json_integer_value(json_object_get(
                         json_object_get(object, "weights"), "127.2.0.2")),
                     50);
    json_decref(object);
    table_row_clear(&out.edit.row);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_announcements),
        cmocka_unit_test(test_edits),
        cmocka_unit_test(test_row_round_trip),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
