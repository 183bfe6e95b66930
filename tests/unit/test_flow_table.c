/*
 * The flow table compared with a hash table of GLib, and messages encoded and
 * decoded.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "flow/flow_table.h"
#include "peer/flow_wire.h"

#define FLOWS 20000
#define SEED  20261204

/*
 * Return a random digest; the digests are clustered in few places, so that
 * probing is exercised.
 */
static uint64_t
clustered_digest(GRand *rand)
{
    uint64_t high = (uint64_t)g_rand_int_range(rand, 0, 64) << 42;

    return high | (uint64_t)g_rand_int_range(rand, 1, 1 << 20);
}

/*
 * After random insertions and removals the table holds the same flows as the
 * hash table.
 */
static void
test_table_matches_model(void **state)
{
    GRand *rand = g_rand_new_with_seed(SEED);
    GHashTable *model =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    struct flow_table table;
    GHashTableIter iter;
    gpointer key;
    gpointer value;

    (void)state;
    flow_table_init(&table);
    for (int i = 0; i < FLOWS; i++) {
        uint64_t digest = clustered_digest(rand);
        struct flow_entry *entry = flow_table_find(&table, digest);

        assert_int_equal(entry != NULL, g_hash_table_contains(model, &digest));
        if (entry != NULL) {
            flow_table_remove(&table, entry);
            g_hash_table_remove(model, &digest);
            continue;
        }
        flow_table_insert(&table, digest, (uint16_t)(i % 1000 + 1));
        g_hash_table_insert(model, g_memdup2(&digest, sizeof(digest)),
                            GINT_TO_POINTER(i % 1000 + 1));
    }
    assert_int_equal(table.used, g_hash_table_size(model));
    g_hash_table_iter_init(&iter, model);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        struct flow_entry *entry =
            flow_table_find(&table, *(const uint64_t *)key);

        assert_non_null(entry);
        assert_int_equal(flow_entry_target(entry), GPOINTER_TO_INT(value));
    }
    flow_table_clear(&table);
    g_hash_table_unref(model);
    g_rand_free(rand);
}

/*
 * A message is decoded as it was encoded; truncated messages cause no fault
 * and an unknown kind is rejected.
 */
static void
test_wire_round_trip(void **state)
{
    struct flow_message *message =
        flow_message_new(FLOW_MSG_MAP, (struct pool_id){7});
    struct flow_map_target target = {
        .key = {.address = 0x0a000001, .incarnation = 3}, .avoid = 1};
    uint32_t change = 5u << 16 | FLOW_CHANGE_VIA_OWNER | 9;
    uint64_t record = UINT64_C(0x123456789abc0005);
    GByteArray *bytes = g_byte_array_new();
    struct flow_message back;

    (void)state;
    message->epoch = 1;
    message->seq = 300;
    message->targets = g_array_new(FALSE, FALSE, sizeof(target));
    g_array_append_val(message->targets, target);
    message->changes = g_array_new(FALSE, FALSE, sizeof(change));
    g_array_append_val(message->changes, change);
    message->records = g_array_new(FALSE, FALSE, sizeof(record));
    g_array_append_val(message->records, record);
    flow_wire_pack(message, bytes);
    assert_true(flow_wire_unpack(bytes->data, bytes->len, &back));
    assert_int_equal(back.kind, FLOW_MSG_MAP);
    assert_int_equal(back.pool.value, 7);
    assert_int_equal(back.seq, 300);
    assert_int_equal(
        g_array_index(back.targets, struct flow_map_target, 0).avoid, 1);
    assert_int_equal(g_array_index(back.changes, uint32_t, 0), change);
    assert_int_equal(g_array_index(back.records, uint64_t, 0), record);
    flow_message_clear(&back);
    for (guint len = 0; len < bytes->len; len++) {
        if (flow_wire_unpack(bytes->data, len, &back)) {
            flow_message_clear(&back);
        }
    }
    message->kind = FLOW_MSG__MAX;
    g_byte_array_set_size(bytes, 0);
    flow_wire_pack(message, bytes);
    assert_false(flow_wire_unpack(bytes->data, bytes->len, &back));
    g_byte_array_unref(bytes);
    flow_message_free(message);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_table_matches_model),
        cmocka_unit_test(test_wire_round_trip),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
