/* Settings: each kind of wrong value names the setting and the remedy. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "base/err.h"
#include "base/settings.h"

/* Variables, and what the message must hold; NULL where they are right. */
struct settings_case {
    char *variables[6];
    const char *expected;
};

static const struct settings_case cases[] = {
    {{"PARSLEYSPUR_DATA_DIR=/x", NULL}, NULL},
    {{"HOME=/root", "PARSLEYSPUR_DATA_DIR=/x", NULL}, NULL},
    {{"PARSLEYSPUR_ROLES=entry", "PARSLEYSPUR_PEERS=127.0.0.2", NULL}, NULL},
    {{"PARSLEYSPUR_DATADIR=/x", NULL}, "PARSLEYSPUR_DATADIR: no such setting"},
    {{"PARSLEYSPUR_DATA_DIR=/x", "PARSLEYSPUR_DATA_DIR=/y", NULL},
     "PARSLEYSPUR_DATA_DIR: set twice; keep one"},
    {{"PARSLEYSPUR_PEER_PORT=0", NULL},
     "PARSLEYSPUR_PEER_PORT: got \"0\"; give a whole number of port from 1 to "
     "65535"},
    {{"PARSLEYSPUR_PEER_PORT=12x", NULL}, "PARSLEYSPUR_PEER_PORT: got"},
    {{"PARSLEYSPUR_ADDRESS=127.0.0", NULL}, "give an IPv4 address"},
    {{"PARSLEYSPUR_ADMIN=127.0.0.1", NULL}, "give an IPv4 address:port"},
    {{"PARSLEYSPUR_NAME=a b", NULL}, "PARSLEYSPUR_NAME: got \"a b\""},
    {{"PARSLEYSPUR_ROLES=leader", NULL}, "give one of entry|control"},
    {{"PARSLEYSPUR_ROLES=control", NULL}, "--data-dir: not set"},
    {{"PARSLEYSPUR_DATA_DIR=/x", "PARSLEYSPUR_VOTERS=a=127.0.0.1,b=127.0.0.2",
      NULL},
     "--voters: got 2; name 1, 3 or 5"},
    {{"PARSLEYSPUR_DATA_DIR=/x", "PARSLEYSPUR_VOTERS=a=127.0.0.1", NULL},
     "\"daemon\" is not among them"},
    {{"PARSLEYSPUR_ROLES=entry", NULL}, "--peers: empty"},
    {{"PARSLEYSPUR_DATA_DIR=/x", "PARSLEYSPUR_PEER_MAP=x=127.0.0.1:1", NULL},
     "--peer-map: got \"x\""},
};

static char *read_settings(char *const *variables);
static void test_cases(void **);
static void test_values(void **);

/* The error's message, or NULL; the caller frees it. */
static char *
read_settings(char *const *variables)
{
    bool from_flag[64] = {false};
    struct settings settings;
    GError *error = NULL;
    char *message = NULL;

    settings_init(&settings);
    if (!settings_from_env(&settings, (char **)(uintptr_t)variables, from_flag,
                           &error) ||
        !settings_finish(&settings, &error)) {
        assert_int_equal(error->code, ERR_SETTING);
        message = g_strdup(error->message);
        g_error_free(error);
    }
    settings_clear(&settings);
    return message;
}

static void
test_cases(void **state)
{
    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        char *message = read_settings(cases[i].variables);

        if (cases[i].expected == NULL) {
            assert_null(message);
        }
        else {
            assert_non_null(message);
            if (strstr(message, cases[i].expected) == NULL) {
                assert_string_equal(message, cases[i].expected);
            }
        }
        g_free(message);
    }
}

static void
test_values(void **state)
{
    char *variables[] = {
        "PARSLEYSPUR_DATA_DIR=/x",
        "PARSLEYSPUR_FABRIC=127.0.0.9:99",
        "PARSLEYSPUR_PEERS=127.0.0.2, 127.0.0.3",
        "PARSLEYSPUR_VOTERS=daemon=127.0.0.1,b=127.0.0.2,c=127.0.0.3",
        "PARSLEYSPUR_PEER_MAP=127.0.0.2=127.0.1.2:70",
        NULL,
    };
    bool from_flag[64] = {false};
    struct settings settings;

    (void)state;
    settings_init(&settings);
    assert_true(settings_from_env(&settings, variables, from_flag, NULL));
    assert_true(settings_finish(&settings, NULL));
    assert_int_equal(settings.fabric.address, 0x7f000009);
    assert_int_equal(settings.fabric.port, 99);
    assert_int_equal(settings.peer_count, 2);
    assert_int_equal(settings.peers[1].address, 0x7f000003);
    assert_int_equal(settings.voter_count, 3);
    assert_string_equal(settings.voters[1].name, "b");
    assert_int_equal(settings.peer_map[0].address, 0x7f000002);
    assert_int_equal(settings.peer_map[0].via.port, 70);
    assert_true(settings.entry && settings.control);
    settings_clear(&settings);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_cases),
        cmocka_unit_test(test_values),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
