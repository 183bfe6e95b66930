/* Tests the catalog: versions, announcements in any order, updates. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "catalog_fixture.h"
#include "peer/catalog_wire.h"
#include "quorum/quorum.h"

static void test_highest_version(void **);
static void test_revision_of_changed_rows(void **);
static void test_outdated_announcements(void **);
static void test_contradicting_announcement(void **);
static void test_address_reused(void **);
static void test_leave_and_restart(void **);
static void test_presence(void **);
static void test_replica_moves_only_forward(void **);
static void test_snapshot_keeps_removed_rows(void **);
static void test_command_round_trip(void **);
static void test_equal_cookies(void **);
static void test_long_pool_names_keep_their_ids(void **);
static void test_pool_of_no_tables_takes_no_address(void **);
static void test_addresses_settled_by_first_tables(void **);
static void test_replica_learns_pools_after_targets(void **);
static void test_large_tables_fit_into_a_command(void **);

/* Return a catalog with tables of version 5: three routes to the pool "desk",
 * and the pool "other" without a route. */
static struct catalog_fixture
new_fixture(void)
{
    struct catalog_fixture fixture = {.catalog = catalog_new()};
    struct catalog_command command = make_tables(5, "desk", 3);

    catalog_tables_add_pool(&command.u.tables, "other", -1);
    apply(&fixture, &command);
    catalog_command_clear(&command);
    return fixture;
}

/* Return the route at PORT, or NULL. */
static const struct catalog_route *
find_route(const struct catalog *catalog, uint16_t port)
{
    return catalog_find_route(catalog,
                              catalog_endpoint_key(ROUTE_ADDRESS, port));
}

/* The highest version is in force; others change nothing. */
static void
test_highest_version(void **state)
{
    struct catalog_fixture fixture = new_fixture();

    (void)state;
    replace(&fixture, 4, "other", 1);
    assert_false(fixture.change.tables);
    replace(&fixture, 5, "other", 1);
    assert_false(fixture.change.tables);
    assert_int_equal(catalog_version(fixture.catalog), 5);
    assert_int_equal(catalog_route_count(fixture.catalog), 3);
    replace(&fixture, 9, "other", 1);
    assert_true(fixture.change.tables);
    assert_int_equal(catalog_version(fixture.catalog), 9);
    assert_int_equal(catalog_route_count(fixture.catalog), 1);
    assert_memory_equal(
        g_bytes_get_data(catalog_document(fixture.catalog), NULL), "version 9",
        9);
    catalog_free(fixture.catalog);
}

/* Only rows that a new version changes carry its revision. */
static void
test_revision_of_changed_rows(void **state)
{
    struct catalog_fixture fixture = new_fixture();

    (void)state;
    replace(&fixture, 6, "desk", 4);
    assert_int_equal(find_route(fixture.catalog, 3)->revision, 1);
    assert_int_equal(find_route(fixture.catalog, 4)->revision, 2);
    replace(&fixture, 7, "desk", 2);
    assert_null(find_route(fixture.catalog, 3));
    assert_int_equal(find_route(fixture.catalog, 2)->revision, 1);
    catalog_free(fixture.catalog);
}

/* Announcements out of order or of an earlier incarnation change nothing. */
static void
test_outdated_announcements(void **state)
{
    struct catalog_fixture fixture = new_fixture();
    struct catalog_target draining = make_target(1, 100, 7, "desk");

    (void)state;
    draining.state = CATALOG_DRAINING;
    announce(&fixture, 1, 100, 3, "desk");
    apply_target_command(&fixture, CATALOG_ANNOUNCE, &draining);
    announce(&fixture, 1, 100, 5, "desk"); /* sent before, received after */
    assert_int_equal(catalog_find_target(fixture.catalog, 1)->state,
                     CATALOG_DRAINING);
    announce(&fixture, 1, 90, 99, "desk"); /* of an earlier incarnation */
    assert_int_equal(catalog_find_target(fixture.catalog, 1)->incarnation,
                     100);
    catalog_free(fixture.catalog);
}

/* A target does not change its pool or address without a restart: such an
 * announcement is another writer's, and changes nothing. */
static void
test_contradicting_announcement(void **state)
{
    struct catalog_fixture fixture = new_fixture();
    struct catalog_target target = make_target(1, 100, 2, "other");

    (void)state;
    announce(&fixture, 1, 100, 1, "desk");
    apply_target_command(&fixture, CATALOG_ANNOUNCE, &target);
    assert_false(fixture.change.targets);
    target = make_target(1, 100, 3, "desk");
    target.address++;
    apply_target_command(&fixture, CATALOG_ANNOUNCE, &target);
    assert_false(fixture.change.targets);
    target = make_target(1, 101, 1, "other");
    apply_target_command(&fixture, CATALOG_ANNOUNCE, &target);
    assert_true(fixture.change.targets);
    catalog_free(fixture.catalog);
}

/* A target is gone once a host that started later has announced its
 * address. */
static void
test_address_reused(void **state)
{
    struct catalog_fixture fixture = new_fixture();
    struct catalog_target later = make_target(1, 200, 1, "other");

    (void)state;
    announce(&fixture, 1, 100, 3, "desk");
    later.host = 77; /* same address */
    apply_target_command(&fixture, CATALOG_ANNOUNCE, &later);
    assert_int_equal(catalog_find_target(fixture.catalog, 1)->state,
                     CATALOG_GONE);
    announce(&fixture, 1, 100, 4, "desk"); /* delayed by a partition */
    assert_int_equal(catalog_find_target(fixture.catalog, 77)->state,
                     CATALOG_READY);
    assert_int_equal(catalog_find_target(fixture.catalog, 1)->state,
                     CATALOG_GONE);
    catalog_free(fixture.catalog);
}

/* A target that has left returns only with a later incarnation. */
static void
test_leave_and_restart(void **state)
{
    struct catalog_fixture fixture = new_fixture();
    struct catalog_target leaving = make_target(1, 100, 0, "desk");

    (void)state;
    announce(&fixture, 1, 100, 3, "desk");
    apply_target_command(&fixture, CATALOG_LEAVE, &leaving);
    announce(&fixture, 1, 100, 9, "desk"); /* was in transit */
    assert_int_equal(catalog_find_target(fixture.catalog, 1)->state,
                     CATALOG_GONE);
    announce(&fixture, 1, 300, 1, "desk");
    assert_int_equal(catalog_find_target(fixture.catalog, 1)->state,
                     CATALOG_READY);
    apply_target_command(&fixture, CATALOG_LEAVE,
                         &leaving); /* of the first incarnation */
    assert_int_equal(catalog_find_target(fixture.catalog, 1)->state,
                     CATALOG_READY);
    catalog_free(fixture.catalog);
}

/* A missing target is present again after its next announcement. */
static void
test_presence(void **state)
{
    struct catalog_fixture fixture = new_fixture();
    struct catalog_target missing = make_target(1, 100, 0, "desk");
    struct catalog_target again = make_target(1, 100, 4, "desk");

    (void)state;
    missing.missing = true;
    announce(&fixture, 1, 100, 3, "desk");
    apply_target_command(&fixture, CATALOG_PRESENCE, &missing);
    assert_true(catalog_find_target(fixture.catalog, 1)->missing);
    assert_true(catalog_announce_is_new(fixture.catalog, &again));
    apply_target_command(&fixture, CATALOG_ANNOUNCE, &again);
    assert_false(catalog_find_target(fixture.catalog, 1)->missing);
    again.sequence = 5;
    assert_false(catalog_announce_is_new(fixture.catalog, &again));
    catalog_free(fixture.catalog);
}

/* Merge an update into REPLICA; EXPECTED is the expected result. */
static void
merge(struct catalog *replica, const GByteArray *bytes, bool expected)
{
    struct catalog_change change;

    assert_int_equal(catalog_merge(replica, bytes->data, bytes->len, &change),
                     expected);
}

/* Updates and whole catalogs merged in any order leave the newest state. */
static void
test_replica_moves_only_forward(void **state)
{
    struct catalog_fixture fixture = new_fixture();
    struct catalog *replica = catalog_new();
    GByteArray *whole = g_byte_array_new(), *next = g_byte_array_new(),
               *last = g_byte_array_new();
    uint64_t from;

    (void)state;
    catalog_pack_update(fixture.catalog, 0, CATALOG_FOR_ENTRY, whole);
    from = catalog_revision(fixture.catalog);
    announce(&fixture, 1, 100, 1, "desk");
    catalog_pack_update(fixture.catalog, from, CATALOG_FOR_ENTRY, next);
    from = catalog_revision(fixture.catalog);
    replace(&fixture, 8, "desk", 1);
    catalog_pack_update(fixture.catalog, from, CATALOG_FOR_ENTRY, last);
    merge(replica, last,
          false); /* starts at a later revision than the replica's */
    merge(replica, whole, true);
    merge(replica, next, true);
    merge(replica, last, true);
    merge(replica, whole, true);
    merge(replica, next, true);
    assert_int_equal(catalog_revision(replica),
                     catalog_revision(fixture.catalog));
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
    catalog_free(fixture.catalog);
}

/*
 * A control daemon that restored its catalog from a snapshot sends an update
 * to an entry daemon that is older.  The update must contain the routes
 * removed before the snapshot.
 */
static void
test_snapshot_keeps_removed_rows(void **state)
{
    struct catalog_fixture fixture = new_fixture();
    struct catalog *entry = catalog_new(), *restored = catalog_new();
    GByteArray *old = g_byte_array_new(), *snapshot = g_byte_array_new(),
               *update = g_byte_array_new();

    (void)state;
    catalog_pack_update(fixture.catalog, 0, CATALOG_FOR_ENTRY, old);
    merge(entry, old, true);
    replace(&fixture, 8, "desk", 1);
    catalog_pack_update(fixture.catalog, 0, CATALOG_COMPLETE, snapshot);
    merge(restored, snapshot, true);
    catalog_pack_update(restored, catalog_revision(entry), CATALOG_FOR_ENTRY,
                        update);
    merge(entry, update, true);
    assert_int_equal(catalog_version(entry), 8);
    assert_int_equal(catalog_route_count(entry), 1);
    g_byte_array_unref(old);
    g_byte_array_unref(snapshot);
    g_byte_array_unref(update);
    catalog_free(entry);
    catalog_free(restored);
    catalog_free(fixture.catalog);
}

/* A packed command keeps its kind, host and sequence; other bytes are
 * rejected. */
static void
test_command_round_trip(void **state)
{
    struct catalog_command command = {.kind = CATALOG_ANNOUNCE}, unpacked;
    GByteArray *bytes = g_byte_array_new();

    (void)state;
    command.u.target = make_target(9, 8, 7, "desk");
    catalog_wire_pack(&command, bytes);
    assert_true(catalog_wire_unpack(bytes->data, bytes->len, &unpacked));
    assert_int_equal(unpacked.kind, CATALOG_ANNOUNCE);
    assert_int_equal(unpacked.u.target.host, 9);
    assert_int_equal(unpacked.u.target.sequence, 7);
    catalog_command_clear(&unpacked);
    assert_false(
        catalog_wire_unpack((const uint8_t *)"\xff\xff", 2, &unpacked));
    assert_false(catalog_wire_unpack((const uint8_t *)"", 0, &unpacked));
    g_byte_array_unref(bytes);
}

/* Of two live targets with one cookie the later one is marked as clashing, so
 * that it gets no new flows. */
static void
test_equal_cookies(void **state)
{
    struct catalog_fixture fixture = new_fixture();
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
    announce(&fixture, second, 100, 1, "desk");
    announce(&fixture, first, 200, 1, "desk");
    assert_false(catalog_find_target(fixture.catalog, second)->cookie_clashes);
    assert_true(catalog_find_target(fixture.catalog, first)->cookie_clashes);
    assert_int_equal(
        catalog_find_cookie(fixture.catalog, catalog_cookie(first))->host,
        second);
    g_hash_table_destroy(seen);
    catalog_free(fixture.catalog);
}

/* Assert that CATALOG has POOL under its id and by its whole name. */
static void
assert_has_pool(const struct catalog *catalog, const char *pool)
{
    assert_true(catalog_has_pool(catalog, view_pool_id(pool)));
    assert_string_equal(catalog_pool_name(catalog, view_pool_id(pool)), pool);
    assert_int_equal(catalog_routes_without_pool(catalog), 0);
}

/*
 * The targets of a pool with a long name were refused: the pool's id was
 * computed again from a cut name when the tables were read from the log.
 */
static void
test_long_pool_names_keep_their_ids(void **state)
{
    static const char *const pools[] = {
        "permit-desk.gh-south.volta-shedline-permits-franchise-office.example",
        "permit-desk.gh-south.volta-shedline-permits-franchise-office."
        "exampl2"};
    struct catalog_fixture fixture = {.catalog = catalog_new()};
    struct catalog *replica = catalog_new();
    GByteArray *update = g_byte_array_new();

    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(pools); i++) {
        struct catalog_command sent = make_tables(i + 1, pools[i], 1), stored;
        GByteArray *bytes = g_byte_array_new();

        catalog_wire_pack(&sent, bytes);
        assert_true(catalog_wire_unpack(bytes->data, bytes->len, &stored));
        apply(&fixture, &stored);
        assert_has_pool(fixture.catalog, pools[i]);
        catalog_command_clear(&sent);
        catalog_command_clear(&stored);
        g_byte_array_unref(bytes);
    }
    catalog_pack_update(fixture.catalog, 0, CATALOG_COMPLETE, update);
    merge(replica, update, true);
    assert_has_pool(replica, pools[0]);
    assert_has_pool(replica, pools[1]);
    g_byte_array_unref(update);
    catalog_free(replica);
    catalog_free(fixture.catalog);
}

/* Announce a target of POOL on HOST at the address of host 1. */
static void
announce_at_first(struct catalog_fixture *fixture, uint64_t host,
                  uint64_t incarnation, const char *pool)
{
    struct catalog_target target = make_target(host, incarnation, 1, pool);

    target.address = make_target(1, 1, 1, pool).address;
    apply_target_command(fixture, CATALOG_ANNOUNCE, &target);
}

/* Return the state of HOST. */
static enum catalog_target_state
state_of(const struct catalog_fixture *fixture, uint64_t host)
{
    return catalog_find_target(fixture->catalog, host)->state;
}

/*
 * An announcement of another writer, whose pool no tables name, ended the
 * living target at its address: its flows were reset, and its own
 * announcements were outdated for good.  Likewise under the target's own id.
 */
static void
test_pool_of_no_tables_takes_no_address(void **state)
{
    struct catalog_fixture fixture = new_fixture();
    struct catalog_target target = make_target(1, 300, 9, "unheard-of");

    (void)state;
    announce(&fixture, 1, 100, 1, "desk");
    announce_at_first(&fixture, 77, 200, "unheard-of");
    assert_int_equal(state_of(&fixture, 1), CATALOG_READY);
    apply_target_command(&fixture, CATALOG_ANNOUNCE, &target);
    assert_false(fixture.change.targets);
    target = make_target(1, 100, 2, "desk");
    target.state = CATALOG_DRAINING;
    apply_target_command(&fixture, CATALOG_ANNOUNCE, &target);
    assert_int_equal(state_of(&fixture, 1), CATALOG_DRAINING);
    catalog_free(fixture.catalog);
}

/*
 * Before the first tables no pool is known.  What was announced then stays;
 * the tables settle which target an address belongs to: of those whose pool
 * they name, the one that started last.
 */
static void
test_addresses_settled_by_first_tables(void **state)
{
    struct catalog_fixture fixture = {.catalog = catalog_new()};

    (void)state;
    announce(&fixture, 1, 100, 1, "desk");
    announce_at_first(&fixture, 77, 200, "unheard-of");
    announce_at_first(&fixture, 78, 50, "desk");
    announce(&fixture, 2, 100, 1, "desk");
    replace(&fixture, 5, "desk", 1);
    assert_true(fixture.change.targets);
    assert_int_equal(state_of(&fixture, 1), CATALOG_READY);
    assert_int_equal(state_of(&fixture, 2), CATALOG_READY);
    assert_int_equal(state_of(&fixture, 78), CATALOG_GONE);
    announce_at_first(&fixture, 79, 300, "desk");
    assert_int_equal(state_of(&fixture, 1), CATALOG_GONE);
    assert_int_equal(state_of(&fixture, 79), CATALOG_READY);
    replace(&fixture, 6, "unheard-of", 1);
    assert_int_equal(state_of(&fixture, 77), CATALOG_GONE);
    assert_int_equal(state_of(&fixture, 79), CATALOG_READY);
    catalog_free(fixture.catalog);
}

/* A replica, or a snapshot, in which the targets come before their pools has
 * the same owner of an address as the catalog that it comes from. */
static void
test_replica_learns_pools_after_targets(void **state)
{
    struct catalog_fixture fixture = {.catalog = catalog_new()};
    struct catalog_fixture replica = {.catalog = catalog_new()};
    GByteArray *early = g_byte_array_new(), *late = g_byte_array_new();
    struct catalog_target reused = make_target(79, 300, 1, "desk");

    (void)state;
    announce(&fixture, 1, 100, 1, "desk");
    catalog_pack_update(fixture.catalog, 0, CATALOG_COMPLETE, early);
    merge(replica.catalog, early, true);
    replace(&fixture, 5, "desk", 1);
    catalog_pack_update(fixture.catalog, 1, CATALOG_COMPLETE, late);
    merge(replica.catalog, late, true);
    replica.index = fixture.index;
    reused.address = make_target(1, 1, 1, "desk").address;
    apply_target_command(&replica, CATALOG_ANNOUNCE, &reused);
    assert_int_equal(state_of(&replica, 1), CATALOG_GONE);
    g_byte_array_unref(early);
    g_byte_array_unref(late);
    catalog_free(replica.catalog);
    catalog_free(fixture.catalog);
}

/*
 * Tables of some 5,000 routes and more were above the largest command of the
 * log, and refused for good.  Compressed, tables of 10,000 routes fit; damaged
 * bytes are no command.
 */
static void
test_large_tables_fit_into_a_command(void **state)
{
    struct catalog_command sent = make_tables(7, "desk", 10000), stored;
    GString *document = g_string_new(NULL);
    GByteArray *bytes = g_byte_array_new();

    (void)state;
    for (unsigned i = 0; i < 10000; i++) {
        g_string_append_printf(
            document,
            "{\"name\":\"r-%08x\",\"host\":\"198.18.%u.%u\",\"path_prefix\":"
            "\"/%u/\",\"kind\":\"non_idempotent\",\"timeout_ms\":1500,"
            "\"target_latency_ms\":150,\"priority\":1,\"service\":\"desk\"}",
            i * 2654435761U, i / 256, i % 256, i % 50000 + 1);
    }
    g_bytes_unref(sent.u.tables.document);
    sent.u.tables.document = g_string_free_to_bytes(document);
    catalog_wire_pack(&sent, bytes);
    assert_true(bytes->len <= QUORUM_COMMAND_MAX);
    assert_true(catalog_wire_unpack(bytes->data, bytes->len, &stored));
    assert_int_equal(stored.kind, CATALOG_REPLACE);
    assert_int_equal(stored.u.tables.routes->len, 10000);
    assert_true(
        g_bytes_equal(stored.u.tables.document, sent.u.tables.document));
    catalog_command_clear(&stored);
    bytes->data[bytes->len / 2] ^= 1;
    assert_false(catalog_wire_unpack(bytes->data, bytes->len, &stored));
    g_byte_array_unref(bytes);
    catalog_command_clear(&sent);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_highest_version),
        cmocka_unit_test(test_revision_of_changed_rows),
        cmocka_unit_test(test_outdated_announcements),
        cmocka_unit_test(test_contradicting_announcement),
        cmocka_unit_test(test_address_reused),
        cmocka_unit_test(test_leave_and_restart),
        cmocka_unit_test(test_presence),
        cmocka_unit_test(test_replica_moves_only_forward),
        cmocka_unit_test(test_snapshot_keeps_removed_rows),
        cmocka_unit_test(test_command_round_trip),
        cmocka_unit_test(test_equal_cookies),
        cmocka_unit_test(test_long_pool_names_keep_their_ids),
        cmocka_unit_test(test_pool_of_no_tables_takes_no_address),
        cmocka_unit_test(test_addresses_settled_by_first_tables),
        cmocka_unit_test(test_replica_learns_pools_after_targets),
        cmocka_unit_test(test_large_tables_fit_into_a_command),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
