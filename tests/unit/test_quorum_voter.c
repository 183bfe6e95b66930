/*
 * One voter of the replicated log, spoken to by hand: votes, what counts for a
 * commit, and damaged messages.
 */
#include "quorum_cluster.h"

static void
test_one_vote_in_a_term(void **state)
{
    struct quorum_message request = {
        .kind = QUORUM_MSG_VOTE_REQUEST,
        .from = {2},
        .term = 5,
        .index = 3,
        .index_term = 1,
    };
    struct quorum_message answer;
    struct cluster cluster;

    (void)state;
    open_single(&cluster, 4, 3);
    request.index = 2;
    ask(&cluster, &request, &answer);
    assert_int_equal(answer.term, 5);
    assert_false(answer.granted); /* the log asked with is shorter */
    request.index = 3;
    ask(&cluster, &request, &answer);
    assert_true(answer.granted);
    stop(&cluster, 0, false);
    start(&cluster, 0);
    ask(&cluster, &request, &answer);
    assert_int_equal(answer.kind, 0); /* it may have heard a leader before */
    cluster.now_us += 2 * SECOND;
    request.from.value = 3;
    ask(&cluster, &request, &answer);
    assert_int_equal(answer.kind, QUORUM_MSG_VOTE);
    assert_false(answer.granted);
    request.from.value = 2;
    ask(&cluster, &request, &answer);
    assert_true(answer.granted);
    close_cluster(&cluster);
}

/* Copies of an older term's entry commit nothing before one of this term. */
static void
test_older_term_is_not_counted(void **state)
{
    const struct quorum_event tick = {.kind = QUORUM_EV_TICK};
    struct quorum_message vote = {
        .kind = QUORUM_MSG_VOTE,
        .from = {2},
        .has_vote = true,
        .granted = true,
        .store = 8,
    };
    struct quorum_message copied = {
        .kind = QUORUM_MSG_APPEND_ANSWER,
        .from = {2},
        .term = 5,
        .index = 3,
        .has_vote = true,
        .granted = true,
        .store = 8,
    };
    struct quorum_message answer;
    struct cluster cluster;

    (void)state;
    open_single(&cluster, 4, 3);
    cluster.now_us += SECOND;
    step(&cluster, 0, &tick);
    for (int pre = 1; pre >= 0; pre--) {
        struct letter *letter = g_queue_peek_tail(&cluster.letters);

        assert_true(quorum_wire_unpack(letter->bytes->data, letter->bytes->len,
                                       &answer));
        assert_int_equal(answer.kind, QUORUM_MSG_VOTE_REQUEST);
        vote.round = answer.round + 1; /* of no round: does not count */
        vote.pre_vote = pre == 1;
        vote.term = pre == 1 ? 4 : 5;
        step(&cluster, 0,
             &(struct quorum_event){.kind = QUORUM_EV_MESSAGE,
                                    .u.message = &vote});
        assert_ptr_equal(g_queue_peek_tail(&cluster.letters), letter);
        vote.round = answer.round;
        vote.has_vote = false; /* not from one without a vote */
        step(&cluster, 0,
             &(struct quorum_event){.kind = QUORUM_EV_MESSAGE,
                                    .u.message = &vote});
        assert_ptr_equal(g_queue_peek_tail(&cluster.letters), letter);
        vote.has_vote = true;
        step(&cluster, 0,
             &(struct quorum_event){.kind = QUORUM_EV_MESSAGE,
                                    .u.message = &vote});
    }
    assert_int_equal(quorum_core_role(cluster.voters[0].core), QUORUM_LEADER);
    ask(&cluster, &copied, &answer);
    assert_int_equal(quorum_core_commit_index(cluster.voters[0].core), 0);
    copied.index = 4;
    ask(&cluster, &copied, &answer);
    assert_int_equal(quorum_core_commit_index(cluster.voters[0].core), 4);
    close_cluster(&cluster);
}

/* An entry that was replaced does not count as the stored one behind it. */
static void
test_replaced_is_not_stored(void **state)
{
    const struct quorum_event tick = {.kind = QUORUM_EV_TICK};
    struct quorum_message append = {
        .kind = QUORUM_MSG_APPEND,
        .from = {2},
        .term = 4,
        .index = 1,
        .index_term = 1,
    };
    struct quorum_message message = {
        .kind = QUORUM_MSG_VOTE,
        .from = {2},
        .has_vote = true,
        .granted = true,
        .store = 8,
    };
    struct quorum_message answer;
    struct cluster cluster;
    struct letter *letter;

    (void)state;
    open_single(&cluster, 4, 3);
    append.entries = quorum_entries_new();
    g_ptr_array_add(append.entries, quorum_entry_new(2, 4, QUORUM_ENTRY_NOOP));
    ask(&cluster, &append, &answer);
    assert_true(answer.granted);
    assert_int_equal(quorum_core_last_index(cluster.voters[0].core), 2);
    cluster.now_us += 3 * SECOND;
    step(&cluster, 0, &tick);
    letter = g_queue_peek_tail(&cluster.letters);
    assert_true(
        quorum_wire_unpack(letter->bytes->data, letter->bytes->len, &answer));
    message.pre_vote = true;
    message.term = 4;
    message.round = answer.round;
    ask(&cluster, &message, &answer);
    cluster.voters[0].held = true; /* the no-op is not stored */
    message.pre_vote = false;
    message.term = 5;
    message.round = answer.round;
    ask(&cluster, &message, &answer);
    assert_int_equal(quorum_core_role(cluster.voters[0].core), QUORUM_LEADER);
    message.kind = QUORUM_MSG_APPEND_ANSWER;
    message.index = 3;
    ask(&cluster, &message, &answer);
    assert_int_equal(quorum_core_commit_index(cluster.voters[0].core), 0);
    step(&cluster, 0,
         &(struct quorum_event){
             .kind = QUORUM_EV_STORED,
             .u.stored = {cluster.voters[0].held_token, true},
         });
    assert_int_equal(quorum_core_commit_index(cluster.voters[0].core), 3);
    quorum_message_clear(&append);
    close_cluster(&cluster);
}

/* From an empty store no vote is given, whoever asks. */
static void
test_empty_store_gives_no_vote(void **state)
{
    struct quorum_message request = {
        .kind = QUORUM_MSG_VOTE_REQUEST,
        .from = {2},
        .term = 5,
        .index = 3,
        .index_term = 4,
    };
    struct quorum_message answer;
    struct cluster cluster;

    (void)state;
    open_single(&cluster, 0, 0);
    stop(&cluster, 0, true);
    start(&cluster, 0);
    cluster.now_us += 2 * SECOND;
    for (int pre = 1; pre >= 0; pre--) {
        request.pre_vote = pre == 1;
        ask(&cluster, &request, &answer);
        assert_int_equal(answer.kind, QUORUM_MSG_VOTE);
        assert_false(answer.granted);
    }
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
        cmocka_unit_test(test_one_vote_in_a_term),
        cmocka_unit_test(test_older_term_is_not_counted),
        cmocka_unit_test(test_replaced_is_not_stored),
        cmocka_unit_test(test_empty_store_gives_no_vote),
        cmocka_unit_test(test_damaged_messages),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
