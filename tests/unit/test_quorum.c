/*
 * The replicated log over three voters: what is refused and why, what waits
 * for the store, a leader cut off, stores lost one after the other, snapshots.
 */
#include "quorum_cluster.h"

static void
test_refusals(void **state)
{
    struct cluster cluster;
    struct quorum_event space = {.kind = QUORUM_EV_DISK_SPACE};
    struct voter *voter;
    size_t leader;

    (void)state;
    open_cluster(&cluster, 0);
    propose(&cluster, 0, 8);
    assert_int_equal(cluster.voters[0].refused[QUORUM_NOT_LEADER], 1);
    leader = wait_for_leader(&cluster);
    voter = &cluster.voters[leader];
    propose(&cluster, leader, QUORUM_COMMAND_MAX + 1);
    assert_int_equal(voter->refused[QUORUM_TOO_LARGE], 1);
    space.u.space_low = true;
    step(&cluster, leader, &space);
    propose(&cluster, leader, 8);
    assert_int_equal(voter->refused[QUORUM_NO_SPACE], 1);
    assert_true(quorum_core_read_ok(voter->core, cluster.now_us));
    space.u.space_low = false;
    step(&cluster, leader, &space);
    for (int i = 0; i < 51; i++) {
        propose(&cluster, leader, 8);
    }
    assert_int_equal(voter->refused[QUORUM_BUSY], 1);
    deliver(&cluster);
    assert_int_equal(voter->applied, quorum_core_last_index(voter->core));
    close_cluster(&cluster);
}

/* A leader cut off stops before another is elected; its edit is unknown. */
static void
test_leader_cut_off(void **state)
{
    struct cluster cluster;
    struct voter *old;
    size_t leader;

    (void)state;
    open_cluster(&cluster, 0);
    leader = wait_for_leader(&cluster);
    pass(&cluster, SECOND);
    old = &cluster.voters[leader];
    old->cut = true;
    propose(&cluster, leader, 8);
    while (leader_of(&cluster) == leader) { /* asserts that it is the only */
        pass(&cluster, TICK_US);
    }
    assert_int_equal(leader_of(&cluster), VOTERS);
    propose(&cluster, leader, 8);
    assert_int_equal(old->refused[QUORUM_NO_QUORUM], 1);
    assert_int_not_equal(wait_for_leader(&cluster), leader);
    assert_int_equal(old->refused[QUORUM_OUTCOME_UNKNOWN], 1);
    assert_int_equal(quorum_core_role(old->core) == QUORUM_LEADER, 0);
    old->cut = false;
    pass(&cluster, 3 * SECOND);
    assert_int_equal(
        quorum_core_commit_index(old->core),
        quorum_core_commit_index(cluster.voters[leader_of(&cluster)].core));
    close_cluster(&cluster);
}

/* While its store is held back a voter neither votes nor acknowledges. */
static void
test_waits_for_store(void **state)
{
    struct cluster cluster;
    struct voter *held;
    size_t leader;
    uint64_t before;
    uint64_t commit;

    (void)state;
    open_cluster(&cluster, 0);
    leader = wait_for_leader(&cluster);
    held = &cluster.voters[(leader + 1) % VOTERS];
    cluster.voters[(leader + 2) % VOTERS].cut = true;
    held->held = true;
    before = held->sent[QUORUM_MSG_APPEND_ANSWER];
    commit = quorum_core_commit_index(cluster.voters[leader].core);
    propose(&cluster, leader, 8);
    deliver(&cluster);
    assert_int_equal(held->sent[QUORUM_MSG_APPEND_ANSWER], before);
    assert_int_equal(quorum_core_commit_index(cluster.voters[leader].core),
                     commit);
    held->held = false;
    step(&cluster, (leader + 1) % VOTERS,
         &(struct quorum_event){
             .kind = QUORUM_EV_STORED,
             .u.stored = {.token = held->held_token, .ok = true},
         });
    deliver(&cluster);
    assert_int_equal(held->sent[QUORUM_MSG_APPEND_ANSWER], before + 1);
    assert_int_equal(quorum_core_commit_index(cluster.voters[leader].core),
                     commit + 1);
    close_cluster(&cluster);
}

static void
test_failed_store(void **state)
{
    struct cluster cluster;
    struct quorum_event event = {.kind = QUORUM_EV_STORED};
    struct voter *failed;
    size_t leader;
    uint64_t before;

    (void)state;
    open_cluster(&cluster, 0);
    leader = wait_for_leader(&cluster);
    failed = &cluster.voters[(leader + 1) % VOTERS];
    failed->held = true;
    propose(&cluster, leader, 8);
    deliver(&cluster);
    event.u.stored.token = failed->held_token;
    before = failed->sent[QUORUM_MSG_APPEND_ANSWER];
    step(&cluster, (leader + 1) % VOTERS, &event);
    assert_true(quorum_core_failed(failed->core));
    pass(&cluster, 5 * SECOND);
    assert_int_equal(failed->sent[QUORUM_MSG_APPEND_ANSWER], before);
    assert_int_equal(leader_of(&cluster), leader);
    /* Read again from what is stored, it takes part as before. */
    stop(&cluster, (leader + 1) % VOTERS, false);
    start(&cluster, (leader + 1) % VOTERS);
    pass(&cluster, SECOND);
    assert_int_equal(quorum_core_commit_index(failed->core),
                     quorum_core_commit_index(cluster.voters[leader].core));
    close_cluster(&cluster);
}

/* A store is lost and its voter comes back; then a second one is lost. */
static void
test_repaired_then_second_lost(void **state)
{
    struct cluster cluster;
    size_t leader;
    size_t first;
    uint64_t commit;

    (void)state;
    open_cluster(&cluster, 0);
    leader = wait_for_leader(&cluster);
    for (int i = 0; i < 20; i++) {
        propose(&cluster, leader, 8);
        deliver(&cluster);
    }
    first = (leader + 1) % VOTERS;
    stop(&cluster, first, true);
    start(&cluster, first);
    assert_false(quorum_core_has_vote(cluster.voters[first].core));
    pass(&cluster, SECOND);
    assert_true(quorum_core_has_vote(cluster.voters[first].core));
    assert_true(cluster.voters[first].disk.hard_state.has_vote);
    commit = quorum_core_commit_index(cluster.voters[leader].core);
    stop(&cluster, leader, true);
    pass(&cluster, 6 * SECOND);
    assert_int_not_equal(leader_of(&cluster), VOTERS);
    assert_true(quorum_core_commit_index(
                    cluster.voters[leader_of(&cluster)].core) > commit);
    start(&cluster, leader);
    pass(&cluster, SECOND);
    assert_true(quorum_core_has_vote(cluster.voters[leader].core));
    close_cluster(&cluster);
}

/* Two of three stores lost at once: nobody may go on, nothing is made up. */
static void
test_majority_lost(void **state)
{
    struct cluster cluster;
    size_t leader;

    (void)state;
    open_cluster(&cluster, 0);
    leader = wait_for_leader(&cluster);
    propose(&cluster, leader, 8);
    deliver(&cluster);
    for (size_t i = 1; i < VOTERS; i++) {
        stop(&cluster, (leader + i) % VOTERS, true);
        start(&cluster, (leader + i) % VOTERS);
    }
    pass(&cluster, 10 * SECOND);
    assert_int_equal(leader_of(&cluster), VOTERS);
    assert_false(
        quorum_core_has_vote(cluster.voters[(leader + 1) % VOTERS].core));
    close_cluster(&cluster);
}

/* A damaged piece is found by the checksum and the snapshot sent again. */
static void
test_snapshot_pieces(void **state)
{
    struct cluster cluster;
    const struct quorum_counters *counters;
    size_t leader;
    size_t behind;

    (void)state;
    open_cluster(&cluster, 10);
    leader = wait_for_leader(&cluster);
    behind = (leader + 1) % VOTERS;
    cluster.voters[behind].cut = true;
    for (int i = 0; i < 35; i++) {
        propose(&cluster, leader, 8);
        deliver(&cluster);
    }
    cluster.voters[behind].cut = false;
    cluster.spoil = 1;
    pass(&cluster, SECOND);
    counters = quorum_core_counters(cluster.voters[behind].core);
    assert_int_equal(counters->snapshots_damaged, 1);
    assert_int_equal(counters->snapshots_received, 1);
    assert_true(cluster.voters[behind].installed >= 30);
    assert_int_equal(quorum_core_commit_index(cluster.voters[behind].core),
                     quorum_core_commit_index(cluster.voters[leader].core));
    assert_true(cluster.voters[behind].disk.snapshot != NULL);
    close_cluster(&cluster);
}

/*
 * All were stopped: each knows at its start what was committed, but for what
 * was committed last, before any leader is heard.
 */
static void
test_committed_is_known_at_the_start(void **state)
{
    struct cluster cluster;
    size_t leader;
    uint64_t before;

    (void)state;
    open_cluster(&cluster, 0);
    leader = wait_for_leader(&cluster);
    pass(&cluster, SECOND);
    for (int i = 0; i < 5; i++) {
        propose(&cluster, leader, 8);
        pass(&cluster, SECOND);
    }
    before = cluster.voters[leader].applied;
    for (size_t i = 0; i < VOTERS; i++) {
        stop(&cluster, i, false);
    }
    for (size_t i = 0; i < VOTERS; i++) {
        start(&cluster, i);
    }
    pass(&cluster, TICK_US);
    for (size_t i = 0; i < VOTERS; i++) {
        const struct voter *voter = &cluster.voters[i];

        assert_int_equal(quorum_core_leader(voter->core).value, 0);
        assert_in_range(voter->applied, before - 1, before);
    }
    close_cluster(&cluster);
}

/*
 * The first event after a start commits more than was known at the start, in
 * one step: a snapshot that falls due must name the last index applied.
 */
static void
test_snapshot_at_the_start(void **state)
{
    struct quorum_options options = {
        .self = {1},
        .voters = {{1}, {2}, {3}},
        .voter_count = 3,
        .seed = 1,
        .snapshot_entries = 4,
    };
    struct quorum_message append = {.kind = QUORUM_MSG_APPEND,
                                    .from = {2},
                                    .term = 1,
                                    .index = 10,
                                    .index_term = 1,
                                    .commit_index = 10};
    struct quorum_event event = {.kind = QUORUM_EV_MESSAGE};
    struct quorum_actions actions = {0};
    struct quorum_stored stored;
    struct quorum_core *core;
    uint64_t applied = 0, taken = 0;

    (void)state;
    quorum_stored_init(&stored);
    stored.hard_state = (struct quorum_hard_state){1, {0}, 7, true, 8};
    for (uint64_t i = 1; i <= 10; i++) {
        struct quorum_entry *entry =
            quorum_entry_new(i, 1, QUORUM_ENTRY_COMMAND);

        entry->command = g_bytes_new_static("x", 1);
        g_ptr_array_add(stored.entries, entry);
    }
    append.entries = quorum_entries_new();
    event.u.message = &append;
    core = quorum_core_new(&options, &stored, SECOND);
    quorum_core_step(core, SECOND, &event, &actions);
    for (size_t i = 0; i < actions.count; i++) {
        if (actions.items[i].kind == QUORUM_ACT_APPLY) {
            applied = actions.items[i].u.apply->index;
        }
        if (actions.items[i].kind == QUORUM_ACT_TAKE_SNAPSHOT) {
            taken = actions.items[i].u.take_snapshot;
        }
    }
    assert_int_equal(applied, 10);
    assert_int_equal(taken, 10);
    quorum_actions_clear(&actions);
    g_free(actions.items);
    quorum_message_clear(&append);
    quorum_core_free(core);
    quorum_stored_clear(&stored);
}

/* A leader that resigns is replaced without an election timeout. */
static void
test_resigned_leader(void **state)
{
    struct cluster cluster;
    struct quorum_event event = {.kind = QUORUM_EV_RESIGN};
    size_t first, second;

    (void)state;
    open_cluster(&cluster, 100);
    first = wait_for_leader(&cluster);
    pass(&cluster, SECOND);
    step(&cluster, first, &event);
    assert_false(
        quorum_core_read_ok(cluster.voters[first].core, cluster.now_us));
    pass(&cluster, UINT64_C(2) * TICK_US);
    second = leader_of(&cluster);
    assert_in_range(second, 0, VOTERS - 1);
    assert_int_not_equal(second, first);
    pass(&cluster, UINT64_C(2) * TICK_US);
    assert_true(
        quorum_core_read_ok(cluster.voters[second].core, cluster.now_us));
    close_cluster(&cluster);
}

/* One that resigned long ago does not start an election now. */
static void
test_late_resignation(void **state)
{
    struct cluster cluster;
    struct quorum_message late = {.kind = QUORUM_MSG_RESIGN};
    struct quorum_event event = {.kind = QUORUM_EV_MESSAGE};
    size_t leader, other;
    uint64_t term;

    (void)state;
    open_cluster(&cluster, 100);
    leader = wait_for_leader(&cluster);
    pass(&cluster, SECOND);
    other = (leader + 1) % VOTERS;
    term = quorum_core_term(cluster.voters[leader].core);
    late.from.value = (leader + 2) % VOTERS + 1;
    late.term = term - 1;
    event.u.message = &late;
    step(&cluster, other, &event);
    pass(&cluster, SECOND);
    assert_int_equal(leader_of(&cluster), leader);
    assert_int_equal(quorum_core_term(cluster.voters[leader].core), term);
    close_cluster(&cluster);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_refusals),
        cmocka_unit_test(test_leader_cut_off),
        cmocka_unit_test(test_waits_for_store),
        cmocka_unit_test(test_failed_store),
        cmocka_unit_test(test_repaired_then_second_lost),
        cmocka_unit_test(test_majority_lost),
        cmocka_unit_test(test_snapshot_pieces),
        cmocka_unit_test(test_committed_is_known_at_the_start),
        cmocka_unit_test(test_snapshot_at_the_start),
        cmocka_unit_test(test_resigned_leader),
        cmocka_unit_test(test_late_resignation),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
