/*
 * The replicated log case by case: what is refused and why, what waits for
 * the store, a leader cut off, stores lost one after the other, snapshots.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "peer/quorum_wire.h"
#include "quorum/quorum_core.h"

#define VOTERS  3
#define TICK_US 50000
#define SECOND  UINT64_C(1000000)

/* A voter whose store is either quick, or held back by the test. */
struct voter {
    struct quorum_core *core;
    struct quorum_stored disk;
    bool held; /* stores do not come back */
    uint64_t held_token;
    bool cut; /* messages neither come nor go */
    uint64_t applied;
    uint64_t installed;
    uint64_t refused[QUORUM_REFUSAL__MAX];
    uint64_t sent[QUORUM_MSG__MAX];
};

struct letter {
    struct daemon_id to;
    GByteArray *bytes;
};

struct cluster {
    struct voter voters[VOTERS];
    uint64_t now_us;
    GQueue letters;
    uint32_t snapshot_entries;
    int spoil; /* snapshot pieces to change on their way */
    uint64_t request;
};

static void carry_out(struct cluster *, size_t, struct quorum_action *);
static void close_cluster(struct cluster *);
static void deliver(struct cluster *);
static size_t leader_of(const struct cluster *);
static void open_cluster(struct cluster *, uint32_t snapshot_entries);
static void pass(struct cluster *, uint64_t time_us);
static void post(struct cluster *, struct quorum_action *);
static void propose(struct cluster *, size_t, size_t len);
static void start(struct cluster *, size_t);
static void step(struct cluster *, size_t, const struct quorum_event *);
static void stop(struct cluster *, size_t, bool wipe);
static size_t wait_for_leader(struct cluster *);

static void
start(struct cluster *cluster, size_t at)
{
    struct quorum_options options = {
        .self = {at + 1},
        .voters = {{1}, {2}, {3}},
        .voter_count = VOTERS,
        .seed = cluster->now_us + at,
        .snapshot_entries = cluster->snapshot_entries,
        .trailing_entries = 2,
        .piece_bytes = 16,
        .uncommitted_max = 50,
    };
    struct voter *voter = &cluster->voters[at];

    voter->core = quorum_core_new(&options, &voter->disk, cluster->now_us);
    voter->applied = 0;
}

static void
stop(struct cluster *cluster, size_t at, bool wipe)
{
    struct voter *voter = &cluster->voters[at];

    quorum_core_free(voter->core);
    voter->core = NULL;
    voter->held = false;
    if (wipe) {
        quorum_stored_clear(&voter->disk);
        quorum_stored_init(&voter->disk);
    }
}

static void
open_cluster(struct cluster *cluster, uint32_t snapshot_entries)
{
    memset(cluster, 0, sizeof(*cluster));
    cluster->now_us = SECOND;
    cluster->snapshot_entries = snapshot_entries;
    for (size_t i = 0; i < VOTERS; i++) {
        quorum_stored_init(&cluster->voters[i].disk);
        start(cluster, i);
    }
}

static void
close_cluster(struct cluster *cluster)
{
    struct letter *letter;

    for (size_t i = 0; i < VOTERS; i++) {
        quorum_core_free(cluster->voters[i].core);
        quorum_stored_clear(&cluster->voters[i].disk);
    }
    while ((letter = g_queue_pop_head(&cluster->letters)) != NULL) {
        g_byte_array_unref(letter->bytes);
        g_free(letter);
    }
}

static void
post(struct cluster *cluster, struct quorum_action *action)
{
    struct quorum_message *message = &action->u.send.message;
    struct letter *letter = g_new(struct letter, 1);

    if (message->kind == QUORUM_MSG_SNAPSHOT && cluster->spoil > 0) {
        gsize len;
        const char *data = g_bytes_get_data(message->piece, &len);
        char *copy = g_memdup2(data, len);

        copy[0] ^= 1;
        g_bytes_unref(message->piece);
        message->piece = g_bytes_new_take(copy, len);
        cluster->spoil--;
    }
    letter->to = action->u.send.to;
    letter->bytes = g_byte_array_new();
    quorum_wire_pack(message, letter->bytes);
    g_queue_push_tail(&cluster->letters, letter);
}

static void
carry_out(struct cluster *cluster, size_t at, struct quorum_action *action)
{
    struct voter *voter = &cluster->voters[at];
    struct quorum_event event = {0};

    switch (action->kind) {
    case QUORUM_ACT_STORE:
        if (voter->held) {
            voter->held_token = action->u.store.token;
            break;
        }
        for (size_t i = 0; i < action->u.store.count; i++) {
            quorum_stored_take(&voter->disk, &action->u.store.records[i]);
        }
        event.kind = QUORUM_EV_STORED;
        event.u.stored.token = action->u.store.token;
        event.u.stored.ok = true;
        step(cluster, at, &event);
        break;
    case QUORUM_ACT_SEND:
        voter->sent[action->u.send.message.kind]++;
        if (!voter->cut) {
            post(cluster, action);
        }
        break;
    case QUORUM_ACT_APPLY:
        voter->applied = action->u.apply->index;
        break;
    case QUORUM_ACT_TAKE_SNAPSHOT:
        event.kind = QUORUM_EV_SNAPSHOT;
        event.u.snapshot.index = action->u.take_snapshot;
        event.u.snapshot.data =
            g_bytes_new_static("a state machine's state, in pieces", 34);
        step(cluster, at, &event);
        g_bytes_unref(event.u.snapshot.data);
        break;
    case QUORUM_ACT_INSTALL_SNAPSHOT:
        voter->installed = action->u.install->index;
        assert_int_equal(g_bytes_get_size(action->u.install->data), 34);
        break;
    case QUORUM_ACT_ROLE:
        break;
    case QUORUM_ACT_REFUSE:
        voter->refused[action->u.refuse.reason]++;
        break;
    case QUORUM_ACT__MAX:
        break;
    }
}

static void
step(struct cluster *cluster, size_t at, const struct quorum_event *event)
{
    struct quorum_actions actions = {0};

    quorum_core_step(cluster->voters[at].core, cluster->now_us, event,
                     &actions);
    for (size_t i = 0; i < actions.count; i++) {
        carry_out(cluster, at, &actions.items[i]);
    }
    quorum_actions_clear(&actions);
    g_free(actions.items);
}

static void
deliver(struct cluster *cluster)
{
    struct letter *letter;

    while ((letter = g_queue_pop_head(&cluster->letters)) != NULL) {
        struct voter *voter = &cluster->voters[letter->to.value - 1];
        struct quorum_event event = {.kind = QUORUM_EV_MESSAGE};
        struct quorum_message message;

        assert_true(quorum_wire_unpack(letter->bytes->data, letter->bytes->len,
                                       &message));
        event.u.message = &message;
        if (voter->core != NULL && !voter->cut) {
            step(cluster, letter->to.value - 1, &event);
        }
        quorum_message_clear(&message);
        g_byte_array_unref(letter->bytes);
        g_free(letter);
    }
}

static void
pass(struct cluster *cluster, uint64_t time_us)
{
    const struct quorum_event tick = {.kind = QUORUM_EV_TICK};
    uint64_t end = cluster->now_us + time_us;

    while (cluster->now_us < end) {
        cluster->now_us += TICK_US;
        for (size_t i = 0; i < VOTERS; i++) {
            if (cluster->voters[i].core != NULL) {
                step(cluster, i, &tick);
                deliver(cluster);
            }
        }
    }
}

/* The voter that may serve reads as current; VOTERS if there is none. */
static size_t
leader_of(const struct cluster *cluster)
{
    size_t found = VOTERS;

    for (size_t i = 0; i < VOTERS; i++) {
        const struct voter *voter = &cluster->voters[i];

        if (voter->core != NULL &&
            quorum_core_read_ok(voter->core, cluster->now_us)) {
            assert_int_equal(found, VOTERS);
            found = i;
        }
    }
    return found;
}

static size_t
wait_for_leader(struct cluster *cluster)
{
    for (int i = 0; i < 200 && leader_of(cluster) == VOTERS; i++) {
        pass(cluster, TICK_US);
    }
    assert_int_not_equal(leader_of(cluster), VOTERS);
    return leader_of(cluster);
}

static void
propose(struct cluster *cluster, size_t at, size_t len)
{
    char *bytes = g_malloc0(len);
    struct quorum_proposal proposal = {
        .request = ++cluster->request,
        .command = g_bytes_new_take(bytes, len),
    };
    struct quorum_event event = {
        .kind = QUORUM_EV_PROPOSE,
        .u.propose = {&proposal, 1},
    };

    step(cluster, at, &event);
    g_bytes_unref(proposal.command);
}

static void
test_refusals(void **state)
{
    struct cluster cluster;
    struct quorum_event space = {.kind = QUORUM_EV_SPACE};
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
    assert_int_equal(voter->applied, quorum_core_last(voter->core));
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
    assert_int_equal(old->refused[QUORUM_UNKNOWN], 1);
    assert_int_equal(quorum_core_role(old->core) == QUORUM_LEADER, 0);
    old->cut = false;
    pass(&cluster, 3 * SECOND);
    assert_int_equal(
        quorum_core_commit(old->core),
        quorum_core_commit(cluster.voters[leader_of(&cluster)].core));
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
    commit = quorum_core_commit(cluster.voters[leader].core);
    propose(&cluster, leader, 8);
    deliver(&cluster);
    assert_int_equal(held->sent[QUORUM_MSG_APPEND_ANSWER], before);
    assert_int_equal(quorum_core_commit(cluster.voters[leader].core), commit);
    held->held = false;
    step(&cluster, (leader + 1) % VOTERS,
         &(struct quorum_event){
             .kind = QUORUM_EV_STORED,
             .u.stored = {.token = held->held_token, .ok = true},
         });
    deliver(&cluster);
    assert_int_equal(held->sent[QUORUM_MSG_APPEND_ANSWER], before + 1);
    assert_int_equal(quorum_core_commit(cluster.voters[leader].core),
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
    assert_int_equal(quorum_core_commit(failed->core),
                     quorum_core_commit(cluster.voters[leader].core));
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
    assert_false(quorum_core_votes(cluster.voters[first].core));
    pass(&cluster, SECOND);
    assert_true(quorum_core_votes(cluster.voters[first].core));
    assert_true(cluster.voters[first].disk.hard.voter);
    commit = quorum_core_commit(cluster.voters[leader].core);
    stop(&cluster, leader, true);
    pass(&cluster, 6 * SECOND);
    assert_int_not_equal(leader_of(&cluster), VOTERS);
    assert_true(quorum_core_commit(cluster.voters[leader_of(&cluster)].core) >
                commit);
    start(&cluster, leader);
    pass(&cluster, SECOND);
    assert_true(quorum_core_votes(cluster.voters[leader].core));
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
        quorum_core_votes(cluster.voters[(leader + 1) % VOTERS].core));
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
    assert_int_equal(quorum_core_commit(cluster.voters[behind].core),
                     quorum_core_commit(cluster.voters[leader].core));
    assert_true(cluster.voters[behind].disk.snapshot != NULL);
    close_cluster(&cluster);
}

static void
test_damaged_messages(void **state)
{
    struct quorum_message message = {
        .kind = QUORUM_MSG_APPEND,
        .from = {2},
        .term = 3,
        .index = 7,
    };
    struct quorum_entry *entry = quorum_entry_new(8, 3, QUORUM_ENTRY_COMMAND);
    GByteArray *bytes = g_byte_array_new();

    (void)state;
    entry->command = g_bytes_new("edit", 4);
    message.entries = quorum_entries_new();
    g_ptr_array_add(message.entries, entry);
    quorum_wire_pack(&message, bytes);
    quorum_message_clear(&message);
    for (guint i = 0; i < bytes->len; i++) {
        for (int bit = 0; bit < 8; bit++) {
            bytes->data[i] ^= (uint8_t)(1 << bit);
            if (quorum_wire_unpack(bytes->data, bytes->len, &message)) {
                quorum_message_clear(&message);
            }
            if (quorum_wire_unpack(bytes->data, i, &message)) {
                quorum_message_clear(&message);
            }
            bytes->data[i] ^= (uint8_t)(1 << bit);
        }
    }
    assert_true(quorum_wire_unpack(bytes->data, bytes->len, &message));
    entry = message.entries->pdata[0];
    assert_int_equal(entry->index, 8);
    assert_int_equal(g_bytes_get_size(entry->command), 4);
    quorum_message_clear(&message);
    g_byte_array_unref(bytes);
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
        cmocka_unit_test(test_damaged_messages),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
