/*
 * Three voters in one process with quick stores and a network that the test
 * delivers; for the tests of the replicated log.
 */
#ifndef PS_TESTS_QUORUM_CLUSTER_H
#define PS_TESTS_QUORUM_CLUSTER_H

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
static inline void ask(struct cluster *, const struct quorum_message *,
                       struct quorum_message *);
static inline void close_cluster(struct cluster *);
static inline void deliver(struct cluster *);
static inline size_t leader_of(const struct cluster *);
static inline void open_cluster(struct cluster *, uint32_t snapshot_entries);
static inline void open_single(struct cluster *, uint64_t term,
                               uint64_t entries);
static inline void pass(struct cluster *, uint64_t time_us);
static inline void post(struct cluster *, struct quorum_action *);
static inline void propose(struct cluster *, size_t, size_t len);
static inline void start(struct cluster *, size_t);
static inline void step(struct cluster *, size_t, const struct quorum_event *);
static inline void stop(struct cluster *, size_t, bool wipe);
static inline size_t wait_for_leader(struct cluster *);

static inline void
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

static inline void
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

static inline void
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

static inline void
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

static inline void
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

static inline void
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
            quorum_stored_apply(&voter->disk, &action->u.store.records[i]);
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

static inline void
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

static inline void
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

static inline void
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
static inline size_t
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

static inline size_t
wait_for_leader(struct cluster *cluster)
{
    for (int i = 0; i < 200 && leader_of(cluster) == VOTERS; i++) {
        pass(cluster, TICK_US);
    }
    assert_int_not_equal(leader_of(cluster), VOTERS);
    return leader_of(cluster);
}

static inline void
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

/* One voter alone, whose store says TERM, and ENTRIES no-ops of term 1. */
static inline void
open_single(struct cluster *cluster, uint64_t term, uint64_t entries)
{
    struct quorum_stored *disk;

    open_cluster(cluster, 0);
    disk = &cluster->voters[0].disk;
    for (size_t i = 0; i < VOTERS; i++) {
        stop(cluster, i, true);
    }
    disk->hard_state = (struct quorum_hard_state){term, {0}, 7, true, 0};
    for (uint64_t i = 1; i <= entries; i++) {
        g_ptr_array_add(disk->entries,
                        quorum_entry_new(i, 1, QUORUM_ENTRY_NOOP));
    }
    start(cluster, 0);
    cluster->now_us += 2 * SECOND; /* no leader was heard for long */
}

/* Give voter 1 a message of another; its last answer is in ANSWER. */
static inline void
ask(struct cluster *cluster, const struct quorum_message *message,
    struct quorum_message *answer)
{
    struct quorum_event event = {
        .kind = QUORUM_EV_MESSAGE,
        .u.message = message,
    };
    struct letter *letter;

    memset(answer, 0, sizeof(*answer));
    step(cluster, 0, &event);
    while ((letter = g_queue_pop_head(&cluster->letters)) != NULL) {
        quorum_message_clear(answer);
        assert_true(quorum_wire_unpack(letter->bytes->data, letter->bytes->len,
                                       answer));
        g_byte_array_unref(letter->bytes);
        g_free(letter);
    }
    if (answer->entries != NULL) {
        g_ptr_array_unref(answer->entries);
        answer->entries = NULL;
    }
}

#endif
