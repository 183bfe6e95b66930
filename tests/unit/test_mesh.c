/*
 * Connections between daemons: messages arrive once the hello is answered; a
 * wrong cluster is refused; a peer that is not there, or comes back, does no
 * harm, whatever is sent meanwhile.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "peer/mesh_private.h"

#define RUN_LIMIT_MS 5000
#define BLOCK        "127.203.0."

/* One daemon's mesh and what it has received. */
struct node {
    struct settings settings;
    struct counters counters;
    struct mesh *mesh;
    unsigned messages;
    unsigned datagrams;
    char last[32];
    struct daemon_id from;
    uint64_t age_us;
};

static uv_loop_t loop;

static void on_message(void *, const struct mesh_sender *, enum peer_channel,
                       const uint8_t *, size_t);
static void on_datagram(void *, const struct mesh_sender *, enum peer_channel,
                        const uint8_t *, size_t);
static void node_start(struct node *, const char *name, const char *cluster,
                       const char *address);
static void node_stop(struct node *);
static void set(struct settings *, const char *flag, const char *value);
static bool send_text(struct node *, const struct node *to, const char *);
static void run_until(const unsigned *counter, unsigned wanted);
static void on_check(uv_check_t *);
static void test_messages(void **);
static void test_wrong_cluster(void **);
static void test_absent_peer(void **);
static void test_age(void **);
static void test_stamp(void **);

static void
on_message(void *user, const struct mesh_sender *from,
           enum peer_channel channel, const uint8_t *data, size_t len)
{
    struct node *node = user;

    assert_true(channel == PEER_FLOW || channel == PEER_HANDON_CALL);
    assert_true(len < sizeof(node->last));
    memcpy(node->last, data, len);
    node->last[len] = '\0';
    node->from = from->id;
    node->age_us = from->age_us;
    node->messages++;
}

static void
on_datagram(void *user, const struct mesh_sender *from,
            enum peer_channel channel, const uint8_t *data, size_t len)
{
    struct node *node = user;

    (void)data;
    assert_int_equal(channel, PEER_MEMBER);
    assert_int_equal(len, 6);
    node->from = from->id;
    node->datagrams++;
}

static void
set(struct settings *settings, const char *flag, const char *value)
{
    size_t count;
    const struct setting_row *rows = settings_rows(&count);

    for (size_t i = 0; i < count; i++) {
        if (strcmp(rows[i].flag, flag) == 0) {
            assert_true(settings_set(settings, &rows[i], value, flag, NULL));
        }
    }
}

static void
node_start(struct node *node, const char *name, const char *cluster,
           const char *address)
{
    struct mesh_options options = {
        .loop = &loop,
        .settings = &node->settings,
        .counters = &node->counters,
        .handlers = {on_message, on_datagram, node},
    };

    memset(node, 0, sizeof(*node));
    settings_init(&node->settings);
    set(&node->settings, "name", name);
    set(&node->settings, "cluster", cluster);
    set(&node->settings, "address", address);
    node->mesh = mesh_new(&options, NULL);
    assert_non_null(node->mesh);
}

static void
node_stop(struct node *node)
{
    mesh_close(node->mesh);
    while (uv_run(&loop, UV_RUN_NOWAIT) != 0 && uv_loop_alive(&loop) != 0) {
        break;
    }
    for (int i = 0; i < 10; i++) {
        uv_run(&loop, UV_RUN_NOWAIT);
    }
    mesh_free(node->mesh);
    settings_clear(&node->settings);
}

static bool
send_text(struct node *node, const struct node *to, const char *text)
{
    struct daemon_id id = view_daemon_id(to->settings.name);

    mesh_set_peer(node->mesh, id, to->settings.address.address);
    return mesh_send(node->mesh, id, PEER_FLOW, (const uint8_t *)text,
                     strlen(text));
}

/* Run the loop until COUNTER has reached WANTED. */
static void
run_until(const unsigned *counter, unsigned wanted)
{
    uint64_t end = uv_hrtime() / 1000000 + RUN_LIMIT_MS;

    while (*counter < wanted && uv_hrtime() / 1000000 < end) {
        uv_run(&loop, UV_RUN_NOWAIT);
    }
    assert_true(*counter >= wanted);
}

static void
test_messages(void **state)
{
    struct node a, b;

    (void)state;
    node_start(&a, "a", "one", BLOCK "1");
    node_start(&b, "b", "one", BLOCK "2");
    assert_true(send_text(&a, &b, "first"));
    assert_true(send_text(&a, &b, "second"));
    run_until(&b.messages, 2);
    assert_string_equal(b.last, "second");
    assert_int_equal(b.from.value, view_daemon_id("a").value);
    assert_true(send_text(&b, &a, "back"));
    run_until(&a.messages, 1);
    assert_true(mesh_send_datagram(a.mesh, b.settings.address.address,
                                   PEER_MEMBER, (const uint8_t *)"abc", 3,
                                   (const uint8_t *)"def", 3));
    run_until(&b.datagrams, 1);
    node_stop(&a);
    node_stop(&b);
}

static void
test_wrong_cluster(void **state)
{
    struct node a, b;
    unsigned refused = 0;

    (void)state;
    node_start(&a, "a", "one", BLOCK "1");
    node_start(&b, "b", "two", BLOCK "2");
    assert_true(send_text(&a, &b, "lost"));
    mesh_send_datagram(a.mesh, b.settings.address.address, PEER_MEMBER,
                       (const uint8_t *)"abc", 3, (const uint8_t *)"def", 3);
    for (uint64_t end = uv_hrtime() + 1000000000;
         refused < 2 && uv_hrtime() < end;) {
        uv_run(&loop, UV_RUN_NOWAIT);
        refused = (unsigned)b.counters.value[COUNTER_PEER_REFUSED];
    }
    assert_int_equal(refused, 2);
    assert_int_equal(b.messages, 0);
    assert_int_equal(b.datagrams, 0);
    node_stop(&a);
    node_stop(&b);
}

/* Runs after the loop's reads and before its close callbacks. */
static void
on_check(uv_check_t *check)
{
    struct node *node = check->data;

    mesh_send(node->mesh, view_daemon_id("b"), PEER_FLOW, (const uint8_t *)"x",
              1);
}

/* Sending at every turn of the loop, also while a connection is closing. */
static void
test_absent_peer(void **state)
{
    struct node a, b;
    uv_check_t check;

    (void)state;
    node_start(&a, "a", "one", BLOCK "1");
    node_start(&b, "b", "one", BLOCK "2");
    uv_check_init(&loop, &check);
    check.data = &a;
    uv_check_start(&check, on_check);
    for (int round = 0; round < 3; round++) {
        uint64_t end = uv_hrtime() + 300000000;

        b.messages = 0;
        assert_true(send_text(&a, &b, "there"));
        run_until(&b.messages, 1);
        node_stop(&b);
        while (uv_hrtime() < end) {
            uv_run(&loop, UV_RUN_NOWAIT);
        }
        node_start(&b, "b", "one", BLOCK "2");
    }
    uv_close((uv_handle_t *)&check, NULL);
    node_stop(&a);
    node_stop(&b);
}

/* A message of a channel with stamps has an age, queued or sent at once. */
static void
test_age(void **state)
{
    struct node a, b;
    struct daemon_id to = view_daemon_id("b");

    (void)state;
    node_start(&a, "a", "one", BLOCK "1");
    node_start(&b, "b", "one", BLOCK "2");
    mesh_set_peer(a.mesh, to, b.settings.address.address);
    for (unsigned sent = 1; sent <= 2; sent++) {
        assert_true(mesh_send(a.mesh, to, PEER_HANDON_CALL,
                              (const uint8_t *)"call", 4));
        run_until(&b.messages, sent);
        assert_string_equal(b.last, "call");
        assert_true(b.age_us < UINT64_C(1000) * RUN_LIMIT_MS);
    }
    assert_true(send_text(&a, &b, "flow"));
    run_until(&b.messages, 3);
    assert_true(b.age_us == MESH_AGE_UNKNOWN);
    node_stop(&a);
    node_stop(&b);
}

/* A bound on the age follows from the stamp alone, or there is none. */
static void
test_stamp(void **state)
{
    uint8_t stamp[MESH_STAMP_LEN];

    (void)state;
    mesh_put_stamp(stamp, 1000);
    assert_int_equal(mesh_stamp_age_us(stamp, 42001000), 42000000);
    assert_int_equal(mesh_stamp_age_us(stamp, 1000), 0);
    assert_true(mesh_stamp_age_us(stamp, 999) == MESH_AGE_UNKNOWN);
    mesh_put_stamp(stamp, MESH_STAMP_NONE);
    assert_true(mesh_stamp_age_us(stamp, 1000) == MESH_AGE_UNKNOWN);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_messages),
        cmocka_unit_test(test_wrong_cluster),
        cmocka_unit_test(test_absent_peer),
        cmocka_unit_test(test_age),
        cmocka_unit_test(test_stamp),
    };

    uv_loop_init(&loop);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
