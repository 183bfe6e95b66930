/* The catalog: versions, announcements in any order, differences. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "catalog_script.h"
#include "peer/catalog_wire.h"

static void test_highest_version(void **);
static void test_rows_that_change(void **);
static void test_late_announcements(void **);
static void test_address_passes_on(void **);
static void test_leave_and_start_again(void **);
static void test_presence(void **);
static void test_replica_never_goes_back(void **);
static void test_snapshot_keeps_removals(void **);
static void test_command_bytes(void **);
static void test_equal_cookies(void **);

static struct script
begin(void)
{
    struct script script = {.catalog = catalog_new()};

    replace(&script, 5, "desk", 3);
    return script;
}

static const struct catalog_route *
route(const struct catalog *catalog, uint16_t port)
{
    return catalog_find_route(catalog,
                              catalog_endpoint_key(ROUTE_ADDRESS, port));
}

static void
test_highest_version(void **state)
{
    struct script script = begin();

    (void)state;
    replace(&script, 4, "other", 1);
    assert_false(script.change.tables);
    replace(&script, 5, "other", 1);
    assert_false(script.change.tables);
    assert_int_equal(catalog_version(script.catalog), 5);
    assert_int_equal(catalog_route_count(script.catalog), 3);
    replace(&script, 9, "other", 1);
    assert_true(script.change.tables);
    assert_int_equal(catalog_version(script.catalog), 9);
    assert_int_equal(catalog_route_count(script.catalog), 1);
    assert_memory_equal(
        g_bytes_get_data(catalog_document(script.catalog), NULL), "version 9",
        9);
    catalog_free(script.catalog);
}

/* Only rows that a new version changes carry its revision. */
static void
test_rows_that_change(void **state)
{
    struct script script = begin();

    (void)state;
    replace(&script, 6, "desk", 4);
    assert_int_equal(route(script.catalog, 3)->revision, 1);
    assert_int_equal(route(script.catalog, 4)->revision, 2);
    replace(&script, 7, "desk", 2);
    assert_null(route(script.catalog, 3));
    assert_int_equal(route(script.catalog, 2)->revision, 1);
    catalog_free(script.catalog);
}

static void
test_late_announcements(void **state)
{
    struct script script = begin();
    struct catalog_target draining = target_of(1, 100, 7, "desk");

    (void)state;
    draining.state = CATALOG_DRAINING;
    announce(&script, 1, 100, 3, "desk");
    tell(&script, CATALOG_ANNOUNCE, &draining);
    announce(&script, 1, 100, 5, "desk"); /* sent before, came after */
    assert_int_equal(catalog_find_target(script.catalog, 1)->state,
                     CATALOG_DRAINING);
    announce(&script, 1, 90, 99, "desk"); /* of an earlier incarnation */
    assert_int_equal(catalog_find_target(script.catalog, 1)->incarnation, 100);
    catalog_free(script.catalog);
}

static void
test_address_passes_on(void **state)
{
    struct script script = begin();
    struct catalog_target later = target_of(1, 200, 1, "other");

    (void)state;
    announce(&script, 1, 100, 3, "desk");
    later.host = 77; /* same address */
    tell(&script, CATALOG_ANNOUNCE, &later);
    assert_int_equal(catalog_find_target(script.catalog, 1)->state,
                     CATALOG_GONE);
    announce(&script, 1, 100, 4, "desk"); /* held up by a partition */
    assert_int_equal(catalog_find_target(script.catalog, 77)->state,
                     CATALOG_READY);
    assert_int_equal(catalog_find_target(script.catalog, 1)->state,
                     CATALOG_GONE);
    catalog_free(script.catalog);
}

static void
test_leave_and_start_again(void **state)
{
    struct script script = begin();
    struct catalog_target leaving = target_of(1, 100, 0, "desk");

    (void)state;
    announce(&script, 1, 100, 3, "desk");
    tell(&script, CATALOG_LEAVE, &leaving);
    announce(&script, 1, 100, 9, "desk"); /* was on its way */
    assert_int_equal(catalog_find_target(script.catalog, 1)->state,
                     CATALOG_GONE);
    announce(&script, 1, 300, 1, "desk");
    assert_int_equal(catalog_find_target(script.catalog, 1)->state,
                     CATALOG_READY);
    tell(&script, CATALOG_LEAVE, &leaving); /* of the first incarnation */
    assert_int_equal(catalog_find_target(script.catalog, 1)->state,
                     CATALOG_READY);
    catalog_free(script.catalog);
}

static void
test_presence(void **state)
{
    struct script script = begin();
    struct catalog_target missing = target_of(1, 100, 0, "desk");
    struct catalog_target again = target_of(1, 100, 4, "desk");

    (void)state;
    missing.missing = true;
    announce(&script, 1, 100, 3, "desk");
    tell(&script, CATALOG_PRESENCE, &missing);
    assert_true(catalog_find_target(script.catalog, 1)->missing);
    assert_true(catalog_announce_is_new(script.catalog, &again));
    tell(&script, CATALOG_ANNOUNCE, &again);
    assert_false(catalog_find_target(script.catalog, 1)->missing);
    again.sequence = 5;
    assert_false(catalog_announce_is_new(script.catalog, &again));
    catalog_free(script.catalog);
}

static void
merge(struct catalog *replica, const GByteArray *bytes, bool expected)
{
    struct catalog_change change;

    assert_int_equal(catalog_merge(replica, bytes->data, bytes->len, &change),
                     expected);
}

/* Differences and wholes in any order leave the newest that was merged. */
static void
test_replica_never_goes_back(void **state)
{
    struct script script = begin();
    struct catalog *replica = catalog_new();
    GByteArray *whole = g_byte_array_new(), *next = g_byte_array_new(),
               *last = g_byte_array_new();
    uint64_t from;

    (void)state;
    catalog_pack_update(script.catalog, 0, CATALOG_FOR_ENTRY, whole);
    from = catalog_revision(script.catalog);
    announce(&script, 1, 100, 1, "desk");
    catalog_pack_update(script.catalog, from, CATALOG_FOR_ENTRY, next);
    from = catalog_revision(script.catalog);
    replace(&script, 8, "desk", 1);
    catalog_pack_update(script.catalog, from, CATALOG_FOR_ENTRY, last);
    merge(replica, last, false); /* begins beyond what is known */
    merge(replica, whole, true);
    merge(replica, next, true);
    merge(replica, last, true);
    merge(replica, whole, true);
    merge(replica, next, true);
    assert_int_equal(catalog_revision(replica),
                     catalog_revision(script.catalog));
    assert_int_equal(catalog_version(replica), 8);
    assert_int_equal(catalog_route_count(replica), 1);
    assert_int_equal(catalog_find_target(replica, 1)->incarnation, 100);
    assert_null(catalog_document(replica));
    assert_string_equal(catalog_pool_name(replica, view_pool_id("desk")),
                        "desk");
    merge(replica, last, true);
    g_byte_array_unref(whole);
    g_byte_array_unref(next);
    g_byte_array_unref(last);
    catalog_free(replica);
    catalog_free(script.catalog);
}

/*
 * A control daemon that took the catalog from a snapshot feeds an entry
 * daemon that is older: it must tell of routes removed before the snapshot.
 */
static void
test_snapshot_keeps_removals(void **state)
{
    struct script script = begin();
    struct catalog *entry = catalog_new(), *restored = catalog_new();
    GByteArray *old = g_byte_array_new(), *snapshot = g_byte_array_new(),
               *difference = g_byte_array_new();

    (void)state;
    catalog_pack_update(script.catalog, 0, CATALOG_FOR_ENTRY, old);
    merge(entry, old, true);
    replace(&script, 8, "desk", 1);
    catalog_pack_update(script.catalog, 0, CATALOG_COMPLETE, snapshot);
    merge(restored, snapshot, true);
    catalog_pack_update(restored, catalog_revision(entry), CATALOG_FOR_ENTRY,
                        difference);
    merge(entry, difference, true);
    assert_int_equal(catalog_version(entry), 8);
    assert_int_equal(catalog_route_count(entry), 1);
    g_byte_array_unref(old);
    g_byte_array_unref(snapshot);
    g_byte_array_unref(difference);
    catalog_free(entry);
    catalog_free(restored);
    catalog_free(script.catalog);
}

static void
test_command_bytes(void **state)
{
    struct catalog_command command = {.kind = CATALOG_ANNOUNCE}, back;
    GByteArray *bytes = g_byte_array_new();

    (void)state;
    command.u.target = target_of(9, 8, 7, "desk");
    catalog_wire_pack(&command, bytes);
    assert_true(catalog_wire_unpack(bytes->data, bytes->len, &back));
    assert_int_equal(back.kind, CATALOG_ANNOUNCE);
    assert_int_equal(back.u.target.host, 9);
    assert_int_equal(back.u.target.sequence, 7);
    catalog_command_clear(&back);
    assert_false(catalog_wire_unpack((const uint8_t *)"\xff\xff", 2, &back));
    assert_false(catalog_wire_unpack((const uint8_t *)"", 0, &back));
    g_byte_array_unref(bytes);
}

/* Of two living targets with one cookie the later gets no new flows. */
static void
test_equal_cookies(void **state)
{
    struct script script = begin();
    uint64_t first = 1, second = 0;
    GHashTable *seen = g_hash_table_new(NULL, NULL);

    (void)state;
    for (uint64_t host = 1; second == 0; host++) {
        gpointer key = GUINT_TO_POINTER(catalog_cookie(host));
        gpointer other = g_hash_table_lookup(seen, key);

        if (other != NULL) {
            first = GPOINTER_TO_SIZE(other);
            second = host;
        }
        g_hash_table_insert(seen, key, GSIZE_TO_POINTER(host));
    }
    announce(&script, second, 100, 1, "desk");
    announce(&script, first, 200, 1, "desk");
    assert_false(catalog_find_target(script.catalog, second)->cookie_clashes);
    assert_true(catalog_find_target(script.catalog, first)->cookie_clashes);
    assert_int_equal(
        catalog_find_cookie(script.catalog, catalog_cookie(first))->host,
        second);
    g_hash_table_destroy(seen);
    catalog_free(script.catalog);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_highest_version),
        cmocka_unit_test(test_rows_that_change),
        cmocka_unit_test(test_late_announcements),
        cmocka_unit_test(test_address_passes_on),
        cmocka_unit_test(test_leave_and_start_again),
        cmocka_unit_test(test_presence),
        cmocka_unit_test(test_replica_never_goes_back),
        cmocka_unit_test(test_snapshot_keeps_removals),
        cmocka_unit_test(test_command_bytes),
        cmocka_unit_test(test_equal_cookies),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
