/*
 * Tests which targets may be leaving, from the entries of a log that are not
 * known to be committed.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "catalog_fixture.h"
#include "fleet/fleet_pending.h"
#include "peer/catalog_wire.h"

static void store_entry(struct quorum_stored *, uint64_t index, uint64_t term,
                        const struct catalog_command *);
static struct quorum_core *restarted_voter(uint64_t commit, uint64_t last_term,
                                           uint64_t last_host);
static void test_only_entries_after_commit(void **);
static void test_all_committed(void **);
static void test_overwritten_entry(void **);
static void test_zone_that_may_be_emptied(void **);

/* Add an entry with COMMAND to STORED. */
static void
store_entry(struct quorum_stored *stored, uint64_t index, uint64_t term,
            const struct catalog_command *command)
{
    struct quorum_record record = {.kind = QUORUM_RECORD_ENTRY};
    GByteArray *bytes = g_byte_array_new();
    struct quorum_entry *entry =
        quorum_entry_new(index, term, QUORUM_ENTRY_COMMAND);

    catalog_wire_pack(command, bytes);
    entry->command = g_byte_array_free_to_bytes(bytes);
    record.u.entry = entry;
    quorum_stored_apply(stored, &record);
    quorum_entry_unref(entry);
}

/*
 * Return a voter whose log holds a drain of host 1, host 2 ready, host 3
 * leaving and a drain of LAST_HOST in LAST_TERM, with the entries up to COMMIT
 * known as committed.  The caller frees it.
 */
static struct quorum_core *
restarted_voter(uint64_t commit, uint64_t last_term, uint64_t last_host)
{
    struct quorum_options options = {
        .self = {1}, .voters = {{1}, {2}, {3}}, .voter_count = 3, .seed = 1};
    struct quorum_record hard = {.kind = QUORUM_RECORD_HARD_STATE};
    struct catalog_command command = {.kind = CATALOG_ANNOUNCE};
    struct quorum_event tick = {.kind = QUORUM_EV_TICK};
    struct quorum_actions actions = {0};
    struct quorum_stored stored;
    struct quorum_core *core;

    quorum_stored_init(&stored);
    for (uint64_t index = 1; index <= 4; index++) {
        uint64_t host = index == 4 ? last_host : index;

        command.kind = index == 3 ? CATALOG_LEAVE : CATALOG_ANNOUNCE;
        command.u.target = make_target(host, 5, 6, "desk");
        command.u.target.state = index == 2 ? CATALOG_READY : CATALOG_DRAINING;
        store_entry(&stored, index, index == 4 ? last_term : 1, &command);
    }
    hard.u.hard_state.term = last_term;
    hard.u.hard_state.store = 9;
    hard.u.hard_state.has_vote = true;
    hard.u.hard_state.commit_index = commit;
    quorum_stored_apply(&stored, &hard);
    core = quorum_core_new(&options, &stored, 1000000);
    quorum_stored_clear(&stored);
    quorum_core_step(core, 1000000, &tick, &actions);
    quorum_actions_clear(&actions);
    g_free(actions.items);
    return core;
}

/* Only the entries after the commit index count. */
static void
test_only_entries_after_commit(void **state)
{
    struct quorum_core *core = restarted_voter(1, 1, 4);
    struct fleet_pending *pending = fleet_pending_new();
    const GArray *hosts = fleet_pending_leaving(pending, core);

    (void)state;
    assert_int_equal(hosts->len, 2);
    assert_int_equal(g_array_index(hosts, uint64_t, 0), 3);
    assert_int_equal(g_array_index(hosts, uint64_t, 1), 4);
    fleet_pending_free(pending);
    quorum_core_free(core);
}

/* If all entries are known to be committed, there are no such targets. */
static void
test_all_committed(void **state)
{
    struct quorum_core *core = restarted_voter(4, 1, 4);
    struct fleet_pending *pending = fleet_pending_new();

    (void)state;
    assert_int_equal(fleet_pending_leaving(pending, core)->len, 0);
    fleet_pending_free(pending);
    quorum_core_free(core);
}

/*
 * A new leader overwrites the last entry.  The log has the same length but
 * names other targets, so the result must not be reused.
 */
static void
test_overwritten_entry(void **state)
{
    struct quorum_core *before = restarted_voter(3, 1, 4);
    struct quorum_core *after = restarted_voter(3, 2, 5);
    struct fleet_pending *pending = fleet_pending_new();
    const GArray *hosts;

    (void)state;
    hosts = fleet_pending_leaving(pending, before);
    assert_int_equal(g_array_index(hosts, uint64_t, 0), 4);
    hosts = fleet_pending_leaving(pending, after);
    assert_int_equal(hosts->len, 1);
    assert_int_equal(g_array_index(hosts, uint64_t, 0), 5);
    fleet_pending_free(pending);
    quorum_core_free(before);
    quorum_core_free(after);
}

/* A stored order to empty a zone counts until it is known to be committed. */
static void
test_zone_that_may_be_emptied(void **state)
{
    struct quorum_options options = {
        .self = {1}, .voters = {{1}, {2}, {3}}, .voter_count = 3, .seed = 1};
    struct catalog_command command = {.kind = CATALOG_ZONE};
    struct fleet_pending *pending = fleet_pending_new();
    struct quorum_stored stored;
    struct quorum_core *core;
    const GArray *zones;

    (void)state;
    quorum_stored_init(&stored);
    command.u.zone.zone.name = (char *)"suva";
    command.u.zone.zone.emptied = true;
    store_entry(&stored, 1, 1, &command);
    command.u.zone.zone.name = (char *)"nadi";
    command.u.zone.zone.emptied = false;
    store_entry(&stored, 2, 1, &command);
    core = quorum_core_new(&options, &stored, 1000000);
    quorum_stored_clear(&stored);
    zones = fleet_pending_emptied(pending, core);
    assert_int_equal(zones->len, 1);
    assert_int_equal(g_array_index(zones, uint32_t, 0), view_zone_id("suva"));
    assert_int_equal(fleet_pending_leaving(pending, core)->len, 0);
    fleet_pending_free(pending);
    quorum_core_free(core);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_only_entries_after_commit),
        cmocka_unit_test(test_all_committed),
        cmocka_unit_test(test_overwritten_entry),
        cmocka_unit_test(test_zone_that_may_be_emptied),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
