/*
 * Tests orders to empty and restore zones: repeated, delayed, kept in
 * snapshots, sent to replicas; and the owners of cold targets.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "catalog_fixture.h"
#include "peer/catalog_wire.h"

static void test_repeated_order(void **);
static void test_delayed_order(void **);
static void test_two_zones(void **);
static void test_update_and_snapshot(void **);
static void test_restored_targets_are_cold(void **);
static void test_command_round_trip(void **);
static void test_long_zone_names_stay_apart(void **);

/* Return an order for NAME given on the row that FIXTURE holds.  The caller
 * clears it. */
static struct catalog_command
make_order(const struct catalog_fixture *fixture, const char *name, bool empty)
{
    struct catalog_command command = {.kind = CATALOG_ZONE};
    const struct catalog_zone *row =
        catalog_find_zone(fixture->catalog, view_zone_id(name));

    command.u.zone.zone.zone = view_zone_id(name);
    command.u.zone.zone.name = g_strdup(name);
    command.u.zone.zone.emptied = empty;
    command.u.zone.zone.ordered_ms = 1234;
    command.u.zone.base = row == NULL ? 0 : row->revision;
    return command;
}

/* Order that NAME is emptied, or restored. */
static void
order(struct catalog_fixture *fixture, const char *name, bool empty)
{
    struct catalog_command command = make_order(fixture, name, empty);

    apply(fixture, &command);
    catalog_command_clear(&command);
}

/* Return true if NAME is emptied. */
static bool
is_emptied(const struct catalog_fixture *fixture, const char *name)
{
    return catalog_zone_is_emptied(fixture->catalog, view_zone_id(name));
}

/* An operator repeats an order whose acknowledgement was lost: it succeeds and
 * changes nothing. */
static void
test_repeated_order(void **state)
{
    struct catalog_fixture fixture = {.catalog = catalog_new()};
    struct catalog_command first = make_order(&fixture, "suva", true);

    (void)state;
    apply(&fixture, &first);
    assert_true(fixture.change.zones);
    assert_int_equal(catalog_changed_revision(fixture.catalog), 1);
    apply(&fixture, &first);
    assert_false(fixture.change.zones);
    assert_false(fixture.change.outdated);
    assert_int_equal(catalog_changed_revision(fixture.catalog), 1);
    assert_true(is_emptied(&fixture, "suva"));
    catalog_command_clear(&first);
    catalog_free(fixture.catalog);
}

/* A copy of an order to empty arrives after the zone was restored: it was given
 * on an older row, and has no effect. */
static void
test_delayed_order(void **state)
{
    struct catalog_fixture fixture = {.catalog = catalog_new()};
    struct catalog_command late = make_order(&fixture, "suva", true);

    (void)state;
    order(&fixture, "suva", true);
    order(&fixture, "suva", false);
    apply(&fixture, &late);
    assert_true(fixture.change.outdated);
    assert_false(fixture.change.zones);
    assert_false(is_emptied(&fixture, "suva"));
    order(&fixture, "suva", true);
    assert_true(is_emptied(&fixture, "suva"));
    catalog_command_clear(&late);
    catalog_free(fixture.catalog);
}

/* Orders for two zones do not touch each other. */
static void
test_two_zones(void **state)
{
    struct catalog_fixture fixture = {.catalog = catalog_new()};

    (void)state;
    order(&fixture, "suva", true);
    order(&fixture, "nadi", true);
    assert_int_equal(catalog_emptied_count(fixture.catalog), 2);
    order(&fixture, "suva", false);
    assert_false(is_emptied(&fixture, "suva"));
    assert_true(is_emptied(&fixture, "nadi"));
    assert_false(is_emptied(&fixture, "lautoka"));
    catalog_free(fixture.catalog);
}

/* A replica learns orders by differences, and from a snapshot. */
static void
test_update_and_snapshot(void **state)
{
    struct catalog_fixture fixture = {.catalog = catalog_new()};
    struct catalog *replica = catalog_new(), *restored = catalog_new();
    struct catalog_change change;
    GByteArray *bytes = g_byte_array_new();

    (void)state;
    replace(&fixture, 5, "desk", 1);
    catalog_pack_update(fixture.catalog, 0, CATALOG_FOR_ENTRY, bytes);
    assert_true(catalog_merge(replica, bytes->data, bytes->len, &change));
    order(&fixture, "suva", true);
    g_byte_array_set_size(bytes, 0);
    catalog_pack_update(fixture.catalog, 1, CATALOG_FOR_ENTRY, bytes);
    assert_true(catalog_merge(replica, bytes->data, bytes->len, &change));
    assert_true(change.zones);
    assert_true(catalog_zone_is_emptied(replica, view_zone_id("suva")));
    g_byte_array_set_size(bytes, 0);
    catalog_pack_update(fixture.catalog, 0, CATALOG_COMPLETE, bytes);
    assert_true(catalog_merge(restored, bytes->data, bytes->len, &change));
    assert_true(catalog_zone_is_emptied(restored, view_zone_id("suva")));
    assert_string_equal(
        catalog_find_zone(restored, view_zone_id("suva"))->name, "suva");
    g_byte_array_unref(bytes);
    catalog_free(replica);
    catalog_free(restored);
    catalog_free(fixture.catalog);
}

/* The targets of a restored zone are cold and have owners; those of another
 * zone, or that are gone, stay as they are.  A later announcement without time
 * left makes a target warm again. */
static void
test_restored_targets_are_cold(void **state)
{
    struct catalog_fixture fixture = {.catalog = catalog_new()};
    struct catalog_target target = make_target(1, 100, 1, "desk");
    struct catalog_command restore;

    (void)state;
    target.zone = view_zone_id("suva");
    apply_target_command(&fixture, CATALOG_ANNOUNCE, &target);
    announce(&fixture, 2, 100, 1, "desk");
    order(&fixture, "suva", true);
    restore = make_order(&fixture, "suva", false);
    restore.u.zone.cold_ms = 3000;
    restore.u.zone.owner_count = 1;
    restore.u.zone.owners[0] = 77;
    apply(&fixture, &restore);
    assert_true(fixture.change.targets);
    assert_int_equal(catalog_find_target(fixture.catalog, 1)->cold_ms, 3000);
    assert_int_equal(catalog_find_target(fixture.catalog, 1)->owner, 77);
    assert_int_equal(catalog_find_target(fixture.catalog, 2)->cold_ms, 0);
    target.sequence = 2;
    apply_target_command(&fixture, CATALOG_ANNOUNCE, &target);
    assert_true(fixture.change.targets);
    assert_int_equal(catalog_find_target(fixture.catalog, 1)->cold_ms, 0);
    catalog_command_clear(&restore);
    catalog_free(fixture.catalog);
}

/* An order survives the log's form of a command; one without a zone, or with
 * too many owners, is no command. */
static void
test_command_round_trip(void **state)
{
    struct catalog_fixture fixture = {.catalog = catalog_new()};
    struct catalog_command sent = make_order(&fixture, "suva", true), read;
    GByteArray *bytes = g_byte_array_new();

    (void)state;
    sent.u.zone.base = 9;
    sent.u.zone.cold_ms = 10;
    sent.u.zone.owner_count = 2;
    sent.u.zone.owners[0] = 5;
    sent.u.zone.owners[1] = 6;
    catalog_wire_pack(&sent, bytes);
    assert_true(catalog_wire_unpack(bytes->data, bytes->len, &read));
    assert_int_equal(read.kind, CATALOG_ZONE);
    assert_string_equal(read.u.zone.zone.name, "suva");
    assert_int_equal(read.u.zone.zone.zone, view_zone_id("suva"));
    assert_true(read.u.zone.zone.emptied);
    assert_int_equal(read.u.zone.zone.ordered_ms, 1234);
    assert_int_equal(read.u.zone.base, 9);
    assert_int_equal(read.u.zone.cold_ms, 10);
    assert_int_equal(read.u.zone.owner_count, 2);
    assert_int_equal(read.u.zone.owners[1], 6);
    catalog_command_clear(&read);
    catalog_command_clear(&sent);
    g_byte_array_unref(bytes);
    catalog_free(fixture.catalog);
}

/*
 * Orders had room for 63 bytes of a zone's name: one for a zone with a longer
 * name was refused, and names equal in these bytes could not be told apart.
 */
static void
test_long_zone_names_stay_apart(void **state)
{
    char *prefix = g_strnfill(100, 'z');
    char *first = g_strconcat(prefix, "1", NULL);
    char *second = g_strconcat(prefix, "2", NULL);
    struct catalog_fixture fixture = {.catalog = catalog_new()};
    struct catalog_command sent = make_order(&fixture, first, true), read;
    GByteArray *bytes = g_byte_array_new();

    (void)state;
    catalog_wire_pack(&sent, bytes);
    assert_true(catalog_wire_unpack(bytes->data, bytes->len, &read));
    apply(&fixture, &read);
    assert_true(is_emptied(&fixture, first));
    assert_false(is_emptied(&fixture, second));
    assert_string_equal(
        catalog_find_zone(fixture.catalog, view_zone_id(first))->name, first);
    catalog_command_clear(&sent);
    catalog_command_clear(&read);
    g_byte_array_unref(bytes);
    catalog_free(fixture.catalog);
    g_free(first);
    g_free(second);
    g_free(prefix);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_repeated_order),
        cmocka_unit_test(test_delayed_order),
        cmocka_unit_test(test_two_zones),
        cmocka_unit_test(test_update_and_snapshot),
        cmocka_unit_test(test_restored_targets_are_cold),
        cmocka_unit_test(test_command_round_trip),
        cmocka_unit_test(test_long_zone_names_stay_apart),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
