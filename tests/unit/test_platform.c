/* The platform's packets, calls and settings, right and wrong. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "platform.h"

#define MANY_POOLS 100

static void test_packet(void **);
static void test_packet_cut(void **);
static void test_reset(void **);
static void test_beat(void **);
static void test_bad_beats(void **);
static void test_leave(void **);
static void test_tables(void **);
static void test_bad_tables(void **);
static void test_route_to_many_pools(void **);
static void test_kinds(void **);
static void test_settings(void **);
static void test_zone_orders(void **);
static void test_cold_limits(void **);

/* An acknowledgement with three bytes of data, cookie 0x04030201. */
static const uint8_t packet_bytes[] = {
    1,   2,   3,  4,                /* cookie */
    3,   0,                         /* length of the data */
    9,   0,   64, 100,              /* source 100.64.0.9 */
    80,  0,                         /* destination port 80 */
    57,  48,                        /* source port 12345 */
    2,   0,   18, 198,              /* destination 198.18.0.2 */
    32,  0,   0,  0,                /* ACK, padding */
    7,   7,   7,  7,                /* sum */
    1,   0,   0,  0,   2, 0, 0, 16, /* sequence, acknowledged */
    'a', 'b', 'c'};

static struct fleet_call
decode(const char *method, const char *path, const char *body)
{
    struct http_request request = {
        .method = method,
        .path = path,
        .body = body,
        .body_len = strlen(body),
    };
    struct fleet_call call;

    platform_call_decode(&request, &call);
    return call;
}

static void
test_packet(void **state)
{
    struct affinity_packet packet;
    struct catalog_target target = {.host = 0x0102030405060708ULL,
                                    .cookie = 0xaabbccddU};
    uint8_t out[128];

    (void)state;
    assert_true(
        platform_packet_decode(packet_bytes, sizeof(packet_bytes), &packet));
    assert_int_equal(packet.cookie, 0x04030201);
    assert_int_equal(packet.source, 0x64400009);
    assert_int_equal(packet.destination, 0xc6120002);
    assert_int_equal(packet.source_port, 12345);
    assert_int_equal(packet.destination_port, 80);
    assert_int_equal(packet.flags, AFFINITY_ACK);
    assert_int_equal(packet.sequence, 1);
    assert_int_equal(packet.acknowledged, 0x10000002);
    assert_int_equal(packet.payload, 3);
    assert_int_equal(platform_packet_encode(packet_bytes, sizeof(packet_bytes),
                                            &target, out),
                     PLATFORM_ENVELOPE + sizeof(packet_bytes));
    assert_memory_equal(out, "\1\2\3\4\5\6\7\x8\xdd\xcc\xbb\xaa", 12);
    assert_memory_equal(out + 12, packet_bytes + 4, sizeof(packet_bytes) - 4);
}

static void
test_packet_cut(void **state)
{
    struct affinity_packet packet;
    uint8_t longer[PLATFORM_HEAD + PLATFORM_DATA_MAX + 1] = {0};

    (void)state;
    for (size_t len = 0; len < sizeof(packet_bytes); len++) {
        assert_false(platform_packet_decode(packet_bytes, len, &packet));
    }
    longer[4] = (PLATFORM_DATA_MAX + 1) & 255;
    longer[5] = (PLATFORM_DATA_MAX + 1) >> 8;
    assert_false(platform_packet_decode(longer, sizeof(longer), &packet));
}

/* From the route to the caller, within what the caller will accept. */
static void
test_reset(void **state)
{
    struct affinity_packet packet, back;
    uint8_t out[64];
    size_t len;

    (void)state;
    platform_packet_decode(packet_bytes, sizeof(packet_bytes), &packet);
    len = platform_packet_encode_reset(&packet, out);
    assert_true(platform_packet_decode(out, len, &back));
    assert_int_equal(back.source, packet.destination);
    assert_int_equal(back.source_port, packet.destination_port);
    assert_int_equal(back.destination, packet.source);
    assert_int_equal(back.destination_port, packet.source_port);
    assert_int_equal(back.flags, AFFINITY_RST);
    assert_int_equal(back.sequence, packet.acknowledged);
    assert_memory_equal(out + 22, "\0\0\0\0", 4);
}

static void
test_beat(void **state)
{
    struct fleet_call call =
        decode("POST", "/v1/Instances.Heartbeat/i-00ff",
               "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
               "\"version\":\"v1\","
               "\"slots\":2,\"state\":\"draining\",\"warmup_left_ms\":5,"
               "\"seq\":9,\"born\":77,\"unheard_of\":1}");

    (void)state;
    assert_int_equal(call.kind, FLEET_CALL_ANNOUNCE);
    assert_int_equal(call.u.target.host, 255);
    assert_int_equal(call.u.target.address, 0x0a000001);
    assert_int_equal(call.u.target.port, 80);
    assert_int_equal(call.u.target.state, CATALOG_DRAINING);
    assert_int_equal(call.u.target.cold_ms, 5);
    assert_int_equal(call.u.target.sequence, 9);
    assert_int_equal(call.u.target.incarnation, 77);
    assert_int_equal(call.u.target.pool.value, view_pool_id("s").value);
}

/* A body with one member missing, of another type, or out of its range. */
static void
test_bad_beats(void **state)
{
    static const char *const bodies[] = {
        "",
        "{",
        "[]",
        "{}",
        "{\"service\":1,\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
        "\"version\":\"v1\",\"slots\":"
        "2,\"state\":\"ready\",\"warmup_left_ms\":0,\"seq\":1}",
        "{\"service\":\"s\",\"address\":\"10.0.0.1\",\"zone\":\"z\","
        "\"version\":\"v1\",\"slots\":"
        "2,\"state\":\"ready\",\"warmup_left_ms\":0,\"seq\":1}",
        "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
        "\"version\":\"v1\","
        "\"slots\":\"2\",\"state\":\"ready\",\"warmup_left_ms\":0,\"seq\":1}",
        "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
        "\"version\":\"v1\","
        "\"slots\":2,\"state\":\"idle\",\"warmup_left_ms\":0,\"seq\":1}",
        "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
        "\"version\":\"v1\","
        "\"slots\":2,\"state\":\"ready\",\"warmup_left_ms\":0,\"seq\":1.5}",
        "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
        "\"version\":\"v1\","
        "\"slots\":2,\"state\":\"ready\",\"warmup_left_ms\":0,\"seq\":1,"
        "\"born\":\"now\"}",
        "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
        "\"slots\":2,\"state\":\"ready\",\"warmup_left_ms\":0,\"seq\":1}",
        "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
        "\"version\":3,\"slots\":2,\"state\":\"ready\","
        "\"warmup_left_ms\":0,\"seq\":1}",
        "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
        "\"version\":\"v1\",\"slots\":2,\"state\":\"ready\","
        "\"warmup_left_ms\":0,\"seq\":9223372036854775807}",
        "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"\","
        "\"version\":\"v1\",\"slots\":2,\"state\":\"ready\","
        "\"warmup_left_ms\":0,\"seq\":1}",
    };

    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(bodies); i++) {
        assert_int_equal(
            decode("POST", "/v1/Instances.Heartbeat/i-1", bodies[i]).kind,
            FLEET_CALL_BAD);
    }
    assert_int_equal(decode("POST", "/v1/Instances.Heartbeat/i-xyz", "").kind,
                     FLEET_CALL_BAD);
    assert_int_equal(decode("GET", "/v1/Instances.Heartbeat/i-1", "").kind,
                     FLEET_CALL_UNKNOWN);
}

static void
test_leave(void **state)
{
    struct fleet_call call =
        decode("POST", "/v1/Instances.Deregister/i-10", "");

    (void)state;
    assert_int_equal(call.kind, FLEET_CALL_LEAVE);
    assert_int_equal(call.u.target.host, 16);
    assert_int_equal(call.u.target.incarnation, 0);
    call = decode("POST", "/v1/Instances.Deregister/i-10", "{\"born\":5}");
    assert_int_equal(call.u.target.incarnation, 5);
    call = decode("POST", "/v1/Instances.Deregister/i-10", "nonsense");
    assert_int_equal(call.kind, FLEET_CALL_BAD);
}

#define ROUTE(name, port, more)                                               \
    "{\"name\":\"" name "\",\"host\":\"198.18.0.1\",\"path_prefix\":\"/" port \
    "/\",\"kind\":\"upload\",\"timeout_ms\":100," more "}"
#define TABLES(routes)                                                        \
    "{\"version\":3,\"routes\":[" routes "],\"services\":[{\"name\":\"a\"},"  \
    "{\"name\":\"b\"}],\"limits\":{\"idle_timeout_ms\":9000}}"

static void
test_tables(void **state)
{
    static const char body[] =
        TABLES(ROUTE("x", "80", "\"service\":\"a\"") "," ROUTE(
            "y", "81",
            "\"split\":[{\"service\":\"a\",\"weight\":1},{\"service\":\"b\","
            "\"weight\":3}]"));
    struct fleet_call call = decode("POST", "/v1/Config.Replace", body);
    const struct catalog_tables *tables = &call.u.tables;
    const struct catalog_route *route;

    (void)state;
    assert_int_equal(call.kind, FLEET_CALL_REPLACE);
    assert_int_equal(tables->version, 3);
    assert_int_equal(tables->idle_ms, 9000);
    assert_int_equal(tables->routes->len, 2);
    route = &g_array_index(tables->routes, struct catalog_route, 1);
    assert_int_equal(route->key, catalog_endpoint_key(0xc6120001, 81));
    assert_int_equal(route->kind, CATALOG_UPLOAD);
    assert_int_equal(route->split_count, 2);
    assert_int_equal(route->splits[1].weight, 3);
    assert_memory_equal(g_bytes_get_data(tables->document, NULL), body,
                        strlen(body));
    fleet_call_clear(&call);
}

/* Tables with a route to more than eight pools were refused, although nothing
 * limits how many a route may have. */
static void
test_route_to_many_pools(void **state)
{
    GString *body = g_string_new("{\"version\":3,\"services\":[");
    struct fleet_call call;

    (void)state;
    for (unsigned i = 0; i < MANY_POOLS; i++) {
        g_string_append_printf(body, "%s{\"name\":\"p%u\"}", i > 0 ? "," : "",
                               i);
    }
    g_string_append(body, "],\"routes\":[{\"name\":\"x\",\"host\":"
                          "\"198.18.0.1\",\"path_prefix\":\"/80/\","
                          "\"kind\":\"upload\",\"timeout_ms\":100,"
                          "\"split\":[");
    for (unsigned i = 0; i < MANY_POOLS; i++) {
        g_string_append_printf(body, "%s{\"service\":\"p%u\",\"weight\":1}",
                               i > 0 ? "," : "", i);
    }
    g_string_append(body, "]}]}");
    call = decode("POST", "/v1/Config.Replace", body->str);
    assert_int_equal(call.kind, FLEET_CALL_REPLACE);
    assert_int_equal(
        g_array_index(call.u.tables.routes, struct catalog_route, 0)
            .split_count,
        MANY_POOLS);
    fleet_call_clear(&call);
    g_string_free(body, TRUE);
}

static void
test_kinds(void **state)
{
#define KIND_ROUTE(port, kind)                                                \
    "{\"name\":\"r" port                                                      \
    "\",\"host\":\"198.18.0.1\",\"path_prefix\":\"/" port                     \
    "/\",\"kind\":\"" kind "\",\"timeout_ms\":5,\"service\":\"a\"}"
    static const char body[] =
        TABLES(KIND_ROUTE("80", "idempotent") "," KIND_ROUTE(
            "81",
            "non_idempotent") "," KIND_ROUTE("82",
                                             "upload") "," KIND_ROUTE("83",
                                                                      "downloa"
                                                                      "d"));
    static const char unknown[] =
        TABLES(KIND_ROUTE("80", "idempotent") "," KIND_ROUTE("81", "stream"));
    struct fleet_call call = decode("POST", "/v1/Config.Replace", body);

    (void)state;
    assert_int_equal(call.kind, FLEET_CALL_REPLACE);
    assert_int_equal(call.u.tables.routes->len, CATALOG_KIND__MAX);
    for (unsigned i = 0; i < CATALOG_KIND__MAX; i++) {
        assert_int_equal(
            g_array_index(call.u.tables.routes, struct catalog_route, i).kind,
            i);
    }
    fleet_call_clear(&call);
    call = decode("POST", "/v1/Config.Replace", unknown);
    assert_int_equal(call.kind, FLEET_CALL_BAD);
    assert_non_null(strstr(call.u.fault, "route r81"));
    assert_non_null(strstr(call.u.fault, "download"));
    fleet_call_clear(&call);
#undef KIND_ROUTE
}

/* A document that is invalid as a whole for one fault. */
static void
test_bad_tables(void **state)
{
    static const char *const bodies[] = {
        "{\"version\":3,\"routes\":[",
        "{\"version\":0,\"routes\":[],\"services\":[]}",
        "{\"version\":1,\"services\":[]}",
        TABLES(ROUTE("x", "80", "\"service\":\"c\"")),
        TABLES(ROUTE("x", "80", "\"split\":[]")),
        TABLES(
            ROUTE("x", "80", "\"split\":[{\"service\":\"a\",\"weight\":0}]")),
        TABLES(ROUTE("x", "80", "\"service\":\"a\"") "," ROUTE(
            "y", "80", "\"service\":\"b\"")),
        TABLES(ROUTE("x", "port", "\"service\":\"a\"")),
        TABLES("{\"name\":\"x\",\"host\":\"198.18.0.1\",\"path_prefix\":"
               "\"/80/\",\"kind\":\"upload\",\"timeout_ms\":0,\"service\":"
               "\"a\"}"),
        TABLES("{\"name\":\"x\",\"host\":\"198.18.0.1\",\"path_prefix\":"
               "\"/80/\",\"kind\":\"other\",\"timeout_ms\":5,\"service\":"
               "\"a\"}"),
    };

    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(bodies); i++) {
        struct fleet_call call =
            decode("POST", "/v1/Config.Replace", bodies[i]);

        assert_int_equal(call.kind, FLEET_CALL_BAD);
        assert_true(strlen(call.u.fault) > 0);
        fleet_call_clear(&call);
    }
}

static void
test_settings(void **state)
{
    static const char text[] =
        "{\"node_name\":\"n\",\"ip\":\"10.1.0.1\",\"zone\":\"z\","
        "\"listen\":{\"datagram_addr\":\"10.1.0.1:80\"},"
        "\"internal_ports\":[7000,7010],\"seeds\":[\"10.1.0.2:5\",\"bad\"],"
        "\"bootstrap\":true,\"limits\":{\"link_mbps\":2.0},"
        "\"fault_tolerance\":{\"machines\":2},\"bounds\":{\"grace_s\":6},"
        "\"heartbeat_ms\":1200}";
    char path[] = "/tmp/parsleyspur-settings-XXXXXX";
    int fd = mkstemp(path);
    struct platform_settings settings;
    struct fleet_seeds seeds;
    GError *error = NULL;

    (void)state;
    assert_int_equal(write(fd, text, strlen(text)), (ssize_t)strlen(text));
    assert_true(platform_settings_read(&settings, path, &error));
    assert_int_equal(settings.options.address, 0x0a010001);
    assert_int_equal(settings.options.peer_port, 7000);
    assert_int_equal(settings.options.packets.port, 80);
    assert_int_equal(settings.options.link_bytes_per_s, 250000);
    assert_int_equal(settings.options.losses_tolerated, 2);
    assert_int_equal(settings.options.grace_ms, 6000);
    assert_true(settings.options.first_start);
    assert_true(platform_seeds_read(path, &seeds, &error));
    assert_int_equal(seeds.count, 1);
    assert_int_equal(seeds.addresses[0], 0x0a010002);
    platform_settings_clear(&settings);
    assert_int_equal(ftruncate(fd, 20), 0);
    assert_false(platform_settings_read(&settings, path, &error));
    assert_non_null(strstr(error->message, path));
    platform_settings_clear(&settings);
    g_error_free(error);
    close(fd);
    unlink(path);
}

/* Orders for a zone name it at the end of the path. */
static void
test_zone_orders(void **state)
{
    struct fleet_call call = decode("POST", "/v1/Evacuation.Begin/suva", "");
    char *name = g_strnfill(200, 'z');
    char *path = g_strconcat("/v1/Evacuation.Begin/", name, NULL);

    (void)state;
    assert_int_equal(call.kind, FLEET_CALL_ZONE);
    assert_string_equal(call.u.zone.name, "suva");
    assert_true(call.u.zone.empty);
    fleet_call_clear(&call);
    call = decode("POST", path, "");
    assert_int_equal(call.kind, FLEET_CALL_ZONE);
    assert_string_equal(call.u.zone.name, name);
    fleet_call_clear(&call);
    g_free(path);
    g_free(name);
    call = decode("POST", "/v1/Evacuation.Finish/suva", "");
    assert_int_equal(call.kind, FLEET_CALL_ZONE);
    assert_false(call.u.zone.empty);
    fleet_call_clear(&call);
    call = decode("POST", "/v1/Evacuation.Begin/", "");
    assert_int_equal(call.kind, FLEET_CALL_BAD);
    call = decode("GET", "/v1/Evacuation.Begin/suva", "");
    assert_int_equal(call.kind, FLEET_CALL_UNKNOWN);
}

/* A service may name the rate of its cold hosts; the settings name the limit's
 * factor and extra, or there is no limit. */
static void
test_cold_limits(void **state)
{
    static const char body[] =
        "{\"version\":3,\"routes\":[],\"limits\":{},\"services\":[{\"name\":"
        "\"a\",\"warmup_s\":2.0,\"warmup_per_s\":2.5},{\"name\":\"b\"}]}";
    static const char text[] =
        "{\"node_name\":\"n\",\"ip\":\"10.1.0.1\",\"zone\":\"z\","
        "\"zones\":{\"z\":\"r\",\"y\":\"r\"},\"internal_ports\":[7000,7010],"
        "\"bounds\":{\"warmup_overage\":1.5,\"warmup_slack\":5}}";
    char path[] = "/tmp/parsleyspur-settings-XXXXXX";
    int fd = mkstemp(path);
    struct fleet_call call = decode("POST", "/v1/Config.Replace", body);
    uint64_t a = view_pool_id("a").value, b = view_pool_id("b").value;
    const struct catalog_pool *pool;
    struct platform_settings settings;

    (void)state;
    assert_int_equal(call.kind, FLEET_CALL_REPLACE);
    pool = g_hash_table_lookup(call.u.tables.pools, &a);
    assert_true(pool->cold_per_s == 2.5);
    pool = g_hash_table_lookup(call.u.tables.pools, &b);
    assert_true(pool->cold_per_s < 0);
    fleet_call_clear(&call);
    assert_int_equal(write(fd, text, strlen(text)), (ssize_t)strlen(text));
    assert_true(platform_settings_read(&settings, path, NULL));
    assert_true(settings.options.cold_limit.set);
    assert_true(settings.options.cold_limit.factor == 1.5);
    assert_true(settings.options.cold_limit.extra == 5);
    assert_true(g_strv_contains(settings.options.zones, "y"));
    platform_settings_clear(&settings);
    close(fd);
    unlink(path);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_packet),
        cmocka_unit_test(test_packet_cut),
        cmocka_unit_test(test_reset),
        cmocka_unit_test(test_beat),
        cmocka_unit_test(test_bad_beats),
        cmocka_unit_test(test_leave),
        cmocka_unit_test(test_tables),
        cmocka_unit_test(test_bad_tables),
        cmocka_unit_test(test_kinds),
        cmocka_unit_test(test_settings),
        cmocka_unit_test(test_route_to_many_pools),
        cmocka_unit_test(test_zone_orders),
        cmocka_unit_test(test_cold_limits),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
