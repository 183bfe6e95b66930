/*
 * Unit tests of the tables: edit rules, versions, answers to resent edits,
 * call epochs and updates.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "peer/table_wire.h"
#include "table/table_core.h"

#define ADDRESS 0x0a000001U

static uint64_t next_index;

static struct table_result apply(struct table_core *,
                                 const struct table_command *);
static struct table_result set_pool(struct table_core *, const char *id,
                                    uint64_t base, const char *name);
static struct table_result set_route(struct table_core *, const char *id,
                                     uint64_t base, const char *name,
                                     const char *pool, uint16_t port);
static struct table_result remove_row(struct table_core *, const char *id,
                                      uint64_t base, enum table_kind,
                                      const char *name);
static struct table_result set_epoch(struct table_core *, const char *pool,
                                     uint64_t previous, uint64_t owner);
static void assert_same_tables(const struct table_core *,
                               const struct table_core *);
static enum table_merge_result merge_difference(struct table_core *,
                                                const struct table_core *,
                                                struct table_position,
                                                uint64_t);

/* Apply COMMAND to CORE at the next log index and return the result. */
static struct table_result
apply(struct table_core *core, const struct table_command *command)
{
    GByteArray *bytes = g_byte_array_new();
    struct table_result result;

    table_wire_pack_command(command, bytes);
    assert_true(table_core_apply(core, ++next_index, bytes->data, bytes->len,
                                 &result));
    g_byte_array_unref(bytes);
    return result;
}

/* Set the pool NAME by an edit ID based on version BASE; return the result. */
static struct table_result
set_pool(struct table_core *core, const char *id, uint64_t base,
         const char *name)
{
    uint32_t drain[2] = {ADDRESS + 8, ADDRESS + 9};
    struct table_weight weights[1] = {{ADDRESS + 8, 50}};
    struct table_command command = {.kind = TABLE_COMMAND_EDIT};
    struct table_edit *edit = &command.u.edit;

    g_strlcpy(edit->id, id, sizeof(edit->id));
    edit->base_version = base;
    edit->row.kind = TABLE_POOL;
    g_strlcpy(edit->row.u.pool.name, name, TABLE_NAME_MAX);
    edit->row.u.pool.prefer = POOL_PREFER_BALANCE;
    edit->row.u.pool.drain = drain;
    edit->row.u.pool.drain_count = 2;
    edit->row.u.pool.weights = weights;
    edit->row.u.pool.weight_count = 1;
    return apply(core, &command);
}

/*
 * Set the route NAME from ADDRESS and PORT to POOL by an edit ID based on
 * version BASE; return the result.
 */
static struct table_result
set_route(struct table_core *core, const char *id, uint64_t base,
          const char *name, const char *pool, uint16_t port)
{
    struct table_command command = {.kind = TABLE_COMMAND_EDIT};
    struct table_edit *edit = &command.u.edit;

    g_strlcpy(edit->id, id, sizeof(edit->id));
    edit->base_version = base;
    edit->row.kind = TABLE_ROUTE;
    g_strlcpy(edit->row.u.route.name, name, TABLE_NAME_MAX);
    g_strlcpy(edit->row.u.route.pool, pool, TABLE_NAME_MAX);
    edit->row.u.route.address = ADDRESS;
    edit->row.u.route.port = port;
    edit->row.u.route.kind = ROUTE_CALL;
    return apply(core, &command);
}

/*
 * Delete the row of KIND called NAME by an edit ID based on version BASE;
 * return the result.
 */
static struct table_result
remove_row(struct table_core *core, const char *id, uint64_t base,
           enum table_kind kind, const char *name)
{
    struct table_command command = {.kind = TABLE_COMMAND_EDIT};
    struct table_edit *edit = &command.u.edit;

    g_strlcpy(edit->id, id, sizeof(edit->id));
    edit->base_version = base;
    edit->operation = TABLE_DELETE;
    edit->row.kind = kind;
    g_strlcpy(kind == TABLE_POOL ? edit->row.u.pool.name
                                 : edit->row.u.route.name,
              name, TABLE_NAME_MAX);
    return apply(core, &command);
}

/*
 * Request a call epoch of POOL for OWNER that follows the epoch PREVIOUS;
 * return the result.
 */
static struct table_result
set_epoch(struct table_core *core, const char *pool, uint64_t previous,
          uint64_t owner)
{
    struct table_command command = {.kind = TABLE_COMMAND_CALL_EPOCH};
    struct table_epoch *epoch = &command.u.call_epoch;

    epoch->pool = view_pool_id(pool);
    epoch->previous = previous;
    epoch->owner.value = owner;
    epoch->group_count = 2;
    epoch->group[0].value = owner;
    epoch->group[1].value = owner + 1;
    epoch->incarnations[1] = 42;
    return apply(core, &command);
}

/* Assert that A and B have the same rows, call epochs and position. */
static void
assert_same_tables(const struct table_core *a, const struct table_core *b)
{
    GByteArray *x = g_byte_array_new();
    GByteArray *y = g_byte_array_new();
    struct table_update update;

    /* Differences do not carry the log index, so it may differ. */
    table_core_pack_snapshot(a, TABLE_ROWS, x);
    assert_true(table_wire_unpack_update(x->data, x->len, &update));
    update.applied = table_core_applied(b);
    g_byte_array_set_size(x, 0);
    table_wire_pack_update(&update, x);
    table_update_clear(&update);
    table_core_pack_snapshot(b, TABLE_ROWS, y);
    assert_int_equal(x->len, y->len);
    assert_memory_equal(x->data, y->data, x->len);
    g_byte_array_unref(x);
    g_byte_array_unref(y);
}

/* Merge into TO the difference of FROM from POSITION to VERSION. */
static enum table_merge_result
merge_difference(struct table_core *to, const struct table_core *from,
                 struct table_position position, uint64_t version)
{
    GByteArray *bytes = g_byte_array_new();
    enum table_merge_result merge;

    assert_true(table_core_pack_difference(from, position, version, bytes));
    merge = table_core_merge(to, bytes->data, bytes->len);
    g_byte_array_unref(bytes);
    return merge;
}

/*
 * An edit that breaks a rule, and bytes that do not decode to a command, are
 * refused with the reason and change nothing; valid edits are accepted.
 */
static void
test_edit_rules(void **state)
{
    struct table_core *core = table_core_new(NULL);
    struct table_result result;

    (void)state;
    next_index = 0;
    result = set_route(core, "e1", 0, "bookings", "fieldline", 80);
    assert_int_equal(result.reason, TABLE_POOL_MISSING);
    assert_int_equal(set_pool(core, "e2", 0, "fieldline").version, 1);
    result = set_route(core, "e3", 1, "bookings", "fieldlime", 80);
    assert_int_equal(result.reason, TABLE_POOL_MISSING);
    assert_string_equal(result.message,
                        "route bookings: pool \"fieldlime\" does not exist; "
                        "create it first or name one of: fieldline");
    result = set_route(core, "e4", 1, "bookings", "fieldline", 80);
    assert_int_equal(result.reason, TABLE_ACCEPTED);
    assert_int_equal(result.version, 2);
    result = set_route(core, "e5", 2, "intake", "fieldline", 80);
    assert_int_equal(result.reason, TABLE_ADDRESS_TAKEN);
    result = set_route(core, "e6", 2, "intake", "fieldline", 0);
    assert_int_equal(result.reason, TABLE_ADDRESS_TAKEN);
    result = set_route(core, "e7", 2, "intake", "fieldline", 81);
    assert_int_equal(result.reason, TABLE_ACCEPTED);
    result = remove_row(core, "e8", 3, TABLE_POOL, "fieldline");
    assert_int_equal(result.reason, TABLE_POOL_IN_USE);
    result = remove_row(core, "e9", 3, TABLE_ROUTE, "nowhere");
    assert_int_equal(result.reason, TABLE_NO_SUCH_ROW);
    result = set_pool(core, "e10", 3, "Field Line");
    assert_int_equal(result.reason, TABLE_BAD_NAME);
    result = set_pool(core, "", 3, "plansdesk");
    assert_int_equal(result.reason, TABLE_BAD_VALUE);
    assert_true(table_core_apply(core, ++next_index, (const uint8_t *)"xyz", 3,
                                 &result));
    assert_int_equal(result.reason, TABLE_MALFORMED);
    assert_int_equal(table_core_position(core).version, 3);
    assert_int_equal(table_core_count(core, TABLE_ROUTE), 2);
    table_core_free(core);
}

/*
 * An edit based on an old version conflicts, and a resent edit gets its first
 * answer, also from a copy made from a snapshot.
 */
static void
test_conflict_and_resend(void **state)
{
    struct table_core *core = table_core_new(NULL);
    struct table_core *copy = table_core_new(NULL);
    GByteArray *bytes = g_byte_array_new();
    struct table_result result;

    (void)state;
    next_index = 0;
    set_pool(core, "e1", 0, "fieldline");
    result = set_pool(core, "e2", 0, "plansdesk");
    assert_int_equal(result.reason, TABLE_CONFLICT);
    assert_int_equal(result.version, 1);
    set_pool(core, "e3", 1, "plansdesk");
    table_core_pack_snapshot(core, TABLE_ROWS_AND_ANSWERS, bytes);
    assert_int_equal(table_core_merge(copy, bytes->data, bytes->len),
                     TABLE_MERGED);
    for (int i = 0; i < 2; i++) {
        struct table_core *tables = i == 0 ? core : copy;

        result = set_pool(tables, "e1", 0, "fieldline");
        assert_true(result.repeated);
        assert_int_equal(result.reason, TABLE_ACCEPTED);
        assert_int_equal(result.version, 1);
        result = set_pool(tables, "e2", 0, "plansdesk");
        assert_true(result.repeated);
        assert_int_equal(result.reason, TABLE_CONFLICT);
        assert_int_equal(result.version, 1);
        assert_int_equal(table_core_position(tables).version, 2);
    }
    assert_false(table_core_apply(core, 1, bytes->data, 0, &result));
    g_byte_array_unref(bytes);
    table_core_free(core);
    table_core_free(copy);
}

/*
 * A resent edit whose answer was discarded is refused as too old, and not
 * applied twice.
 */
static void
test_answer_limit(void **state)
{
    struct table_core_options options = {.answers_max = 4};
    struct table_core *core = table_core_new(&options);
    struct table_result result;
    char id[16];

    (void)state;
    next_index = 0;
    for (uint64_t i = 0; i < 10; i++) {
        g_snprintf(id, sizeof(id), "e%d", (int)i);
        assert_int_equal(set_pool(core, id, i, "fieldline").version, i + 1);
    }
    result = set_pool(core, "e0", 0, "fieldline");
    assert_int_equal(result.reason, TABLE_TOO_OLD);
    assert_false(table_core_answer(core, "e0", &result));
    result = set_pool(core, "e9", 9, "fieldline");
    assert_int_equal(result.reason, TABLE_ACCEPTED);
    assert_int_equal(result.version, 10);
    assert_int_equal(table_core_position(core).version, 10);
    table_core_free(core);
}

/*
 * Call epochs are compared and set: a resent request is accepted again, one
 * based on another epoch than the current is refused.
 */
static void
test_call_epochs(void **state)
{
    struct table_core *core = table_core_new(NULL);
    struct table_epoch epoch;
    struct table_result result;

    (void)state;
    next_index = 0;
    result = set_epoch(core, "fieldline", 0, 7);
    assert_int_equal(result.reason, TABLE_POOL_MISSING);
    set_pool(core, "e1", 0, "fieldline");
    assert_int_equal(set_epoch(core, "fieldline", 0, 7).epoch, 1);
    result = set_epoch(core, "fieldline", 0, 7);
    assert_true(result.repeated);
    assert_int_equal(result.epoch, 1);
    result = set_epoch(core, "fieldline", 0, 9);
    assert_int_equal(result.reason, TABLE_EPOCH_CHANGED);
    assert_int_equal(result.epoch, 1);
    assert_int_equal(set_epoch(core, "fieldline", 1, 9).epoch, 2);
    assert_true(table_core_epoch(core, view_pool_id("fieldline"), &epoch));
    assert_int_equal(epoch.owner.value, 9);
    assert_int_equal(epoch.group[1].value, 10);
    assert_int_equal(epoch.incarnations[1], 42);
    assert_int_equal(table_core_position(core).version, 1);
    /* A pool deleted and created again never reuses an earlier epoch. */
    remove_row(core, "e2", 1, TABLE_POOL, "fieldline");
    assert_int_equal(set_epoch(core, "fieldline", 2, 7).reason,
                     TABLE_POOL_MISSING);
    set_pool(core, "e3", 2, "fieldline");
    assert_int_equal(set_epoch(core, "fieldline", 0, 7).reason,
                     TABLE_EPOCH_CHANGED);
    assert_int_equal(set_epoch(core, "fieldline", 2, 7).epoch, 3);
    /* Epochs are numbered per pool: an owner expects the next number. */
    set_pool(core, "e4", 3, "plansdesk");
    assert_int_equal(set_epoch(core, "plansdesk", 0, 7).epoch, 1);
    table_core_free(core);
}

/*
 * A replica built from differences equals its source, and never returns to an
 * earlier state.
 */
static void
test_replica_updates(void **state)
{
    struct table_core *core = table_core_new(NULL);
    struct table_core *replica = table_core_new(NULL);
    struct table_position start = {0};
    struct table_position middle;

    (void)state;
    next_index = 0;
    set_pool(core, "e1", 0, "fieldline");
    set_route(core, "e2", 1, "bookings", "fieldline", 80);
    set_epoch(core, "fieldline", 0, 7);
    middle = table_core_position(core);
    assert_int_equal(merge_difference(replica, core, start, 0), TABLE_MERGED);
    assert_same_tables(core, replica);
    remove_row(core, "e3", 2, TABLE_ROUTE, "bookings");
    set_route(core, "e4", 3, "feeds", "fieldline", 80);
    set_epoch(core, "fieldline", 1, 8);
    assert_int_equal(merge_difference(replica, core, middle, 3), TABLE_MERGED);
    assert_int_equal(table_core_position(replica).version, 3);
    assert_int_equal(merge_difference(replica, core, middle, 3), TABLE_STALE);
    assert_int_equal(merge_difference(replica, core, middle, 0), TABLE_MERGED);
    assert_same_tables(core, replica);
    assert_int_equal(merge_difference(replica, core, start, 2), TABLE_STALE);
    assert_same_tables(core, replica);
    table_core_free(replica);
    replica = table_core_new(NULL);
    assert_int_equal(merge_difference(replica, core, middle, 0), TABLE_GAP);
    assert_int_equal(table_core_position(replica).version, 0);
    assert_int_equal(table_core_merge(replica, (const uint8_t *)"\xff", 1),
                     TABLE_DAMAGED);
    table_core_free(core);
    table_core_free(replica);
}

/*
 * Merge into REPLICA an update of CORE's rows alone from version FROM to TO,
 * and assert that the merge returns EXPECTED.  Return the start version of the
 * update.
 */
static uint64_t
merge_rows(struct table_core *replica, const struct table_core *core,
           uint64_t from, uint64_t to, enum table_merge_result expected)
{
    GByteArray *bytes = g_byte_array_new();
    uint64_t reached;
    uint64_t base = table_core_pack_rows(core, from, to, bytes, &reached);

    assert_int_equal(table_core_merge(replica, bytes->data, bytes->len),
                     expected);
    g_byte_array_unref(bytes);
    return base;
}

/*
 * Updates with rows alone, as sent to entry daemons, merge independent of the
 * call epochs granted between them and of the replica that sent them.
 */
static void
test_rows_for_entry_daemons(void **state)
{
    struct table_core *core = table_core_new(NULL);
    struct table_core *entry_a = table_core_new(NULL);
    struct table_core *entry_b = table_core_new(NULL);

    (void)state;
    next_index = 0;
    set_pool(core, "e1", 0, "fieldline");
    set_epoch(core, "fieldline", 0, 7);
    assert_int_equal(merge_rows(entry_a, core, 0, 1, TABLE_MERGED), 0);
    set_epoch(core, "fieldline", 1, 8);
    set_route(core, "e2", 1, "bookings", "fieldline", 80);
    set_epoch(core, "fieldline", 2, 9);
    set_route(core, "e3", 2, "feeds", "fieldline", 81);
    assert_int_equal(merge_rows(entry_a, core, 1, 2, TABLE_MERGED), 1);
    assert_int_equal(table_core_position(entry_a).version, 2);
    assert_int_equal(merge_rows(entry_a, core, 1, 2, TABLE_STALE), 1);
    assert_int_equal(merge_rows(entry_b, entry_a, 0, 2, TABLE_MERGED), 0);
    assert_int_equal(merge_rows(entry_b, core, 2, 3, TABLE_MERGED), 2);
    assert_int_equal(merge_rows(entry_b, entry_a, 0, 2, TABLE_STALE), 0);
    assert_int_equal(merge_rows(entry_a, core, 0, 3, TABLE_MERGED), 0);
    assert_same_tables(entry_a, entry_b);
    assert_int_equal(table_core_position(entry_b).version, 3);
    table_core_free(core);
    table_core_free(entry_a);
    table_core_free(entry_b);
}

/* Two pools whose names give the same VNI cannot both exist. */
static void
test_network_identifiers(void **state)
{
    struct table_core *core = table_core_new(NULL);
    GHashTable *seen = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    char *name = NULL;
    const char *other = NULL;
    struct table_result result;

    (void)state;
    next_index = 0;
    for (unsigned i = 0; other == NULL; i++) {
        uint32_t vni;

        name = g_strdup_printf("pool-%u", i);
        vni = view_pool_vni(view_pool_id(name));
        assert_in_range(vni, 1, 0xffffff);
        other = g_hash_table_lookup(seen, GUINT_TO_POINTER(vni));
        if (other == NULL) {
            g_hash_table_insert(seen, GUINT_TO_POINTER(vni), name);
        }
    }
    assert_int_equal(set_pool(core, "e1", 0, other).reason, TABLE_ACCEPTED);
    result = set_pool(core, "e2", 1, name);
    assert_int_equal(result.reason, TABLE_BAD_NAME);
    assert_non_null(strstr(result.message, other));
    g_free(name);
    g_hash_table_destroy(seen);
    table_core_free(core);
}

/*
 * With the oldest changes discarded, no difference can start before them; a
 * snapshot is sent instead.  A full table refuses a new row.
 */
static void
test_change_limit(void **state)
{
    struct table_core_options options = {.changes_max = 3, .pools_max = 5};
    struct table_core *core = table_core_new(&options);
    struct table_core *replica = table_core_new(NULL);
    struct table_position at = {3, 0};
    GByteArray *bytes = g_byte_array_new();
    struct table_result result;
    char name[16];

    (void)state;
    next_index = 0;
    for (uint64_t i = 0; i < 6; i++) {
        g_snprintf(name, sizeof(name), "p%d", (int)i);
        result = set_pool(core, name, i, name);
    }
    assert_int_equal(result.reason, TABLE_FULL);
    assert_false(table_core_pack_difference(
        core, (struct table_position){1, 0}, 0, bytes));
    assert_true(table_core_pack_difference(core, at, 0, bytes));
    g_byte_array_set_size(bytes, 0);
    table_core_pack_snapshot(core, TABLE_ROWS, bytes);
    assert_int_equal(table_core_merge(replica, bytes->data, bytes->len),
                     TABLE_MERGED);
    assert_same_tables(core, replica);
    assert_int_equal(table_core_merge(replica, bytes->data, bytes->len),
                     TABLE_STALE);
    g_byte_array_unref(bytes);
    table_core_free(core);
    table_core_free(replica);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_edit_rules),
        cmocka_unit_test(test_conflict_and_resend),
        cmocka_unit_test(test_answer_limit),
        cmocka_unit_test(test_call_epochs),
        cmocka_unit_test(test_replica_updates),
        cmocka_unit_test(test_rows_for_entry_daemons),
        cmocka_unit_test(test_network_identifiers),
        cmocka_unit_test(test_change_limit),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
