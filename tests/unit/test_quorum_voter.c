/*
 * One voter of the replicated log that receives single messages from the test:
 * votes, commits, and damaged messages.
 */
#include "quorum_cluster.h"

/*
 * A voter gives one vote per term, also over a restart, and none to a
 * candidate with a shorter log.
 */
static void
test_one_vote_per_term(void **state)
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
    exchange(&cluster, &request, &answer);
    assert_int_equal(answer.term, 5);
    assert_false(answer.granted); /* the candidate's log is shorter */
    request.index = 3;
    exchange(&cluster, &request, &answer);
    assert_true(answer.granted);
    stop_voter(&cluster, 0, false);
    start_voter(&cluster, 0);
    exchange(&cluster, &request, &answer);
    /* No answer: it may have been in contact with a leader before. */
    assert_int_equal(answer.kind, 0);
    cluster.now_us += 2 * SECOND;
    request.from.value = 3;
    exchange(&cluster, &request, &answer);
    assert_int_equal(answer.kind, QUORUM_MSG_VOTE);
    assert_false(answer.granted);
    request.from.value = 2;
    exchange(&cluster, &request, &answer);
    assert_true(answer.granted);
    close_cluster(&cluster);
}

/*
 * A majority of copies of an entry of an earlier term does not commit it; only
 * an entry of the current term does.
 */
static void
test_no_commit_by_older_term(void **state)
{
    const struct quorum_event tick = {.kind = QUORUM_EV_TICK};
    struct quorum_message vote = {
        .kind = QUORUM_MSG_VOTE,
        .from = {2},
        .has_vote = true,
        .granted = true,
        .store = 8,
    };
    struct quorum_message append_answer = {
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
    step_voter(&cluster, 0, &tick);
    for (int pre = 1; pre >= 0; pre--) {
        struct queued_message *queued = g_queue_peek_tail(&cluster.messages);

        assert_true(quorum_wire_unpack(queued->bytes->data, queued->bytes->len,
                                       &answer));
        assert_int_equal(answer.kind, QUORUM_MSG_VOTE_REQUEST);
        vote.round = answer.round + 1; /* of another round: not counted */
        vote.pre_vote = pre == 1;
        vote.term = pre == 1 ? 4 : 5;
        step_voter(&cluster, 0,
                   &(struct quorum_event){.kind = QUORUM_EV_MESSAGE,
                                          .u.message = &vote});
        assert_ptr_equal(g_queue_peek_tail(&cluster.messages), queued);
        vote.round = answer.round;
        vote.has_vote = false; /* sender without a vote: not counted */
        step_voter(&cluster, 0,
                   &(struct quorum_event){.kind = QUORUM_EV_MESSAGE,
                                          .u.message = &vote});
        assert_ptr_equal(g_queue_peek_tail(&cluster.messages), queued);
        vote.has_vote = true;
        step_voter(&cluster, 0,
                   &(struct quorum_event){.kind = QUORUM_EV_MESSAGE,
                                          .u.message = &vote});
    }
    assert_int_equal(quorum_core_role(cluster.voters[0].core), QUORUM_LEADER);
    exchange(&cluster, &append_answer, &answer);
    assert_int_equal(quorum_core_commit_index(cluster.voters[0].core), 0);
    append_answer.index = 4;
    exchange(&cluster, &append_answer, &answer);
    assert_int_equal(quorum_core_commit_index(cluster.voters[0].core), 4);
    close_cluster(&cluster);
}

/*
 * Another leader's entry replaced this voter's entries.  When this voter then
 * leads, its next entry must not count as stored, although its store held a
 * replaced entry at the same index.
 */
static void
test_replaced_entry_not_stored(void **state)
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
    struct queued_message *queued;

    (void)state;
    open_single(&cluster, 4, 3);
    append.entries = quorum_entries_new();
    g_ptr_array_add(append.entries, quorum_entry_new(2, 4, QUORUM_ENTRY_NOOP));
    exchange(&cluster, &append, &answer);
    assert_true(answer.granted);
    assert_int_equal(quorum_core_last_index(cluster.voters[0].core), 2);
    cluster.now_us += 3 * SECOND;
    step_voter(&cluster, 0, &tick);
    queued = g_queue_peek_tail(&cluster.messages);
    assert_true(
        quorum_wire_unpack(queued->bytes->data, queued->bytes->len, &answer));
    message.pre_vote = true;
    message.term = 4;
    message.round = answer.round;
    exchange(&cluster, &message, &answer);
    cluster.voters[0].store_held = true; /* the no-op is not stored */
    message.pre_vote = false;
    message.term = 5;
    message.round = answer.round;
    exchange(&cluster, &message, &answer);
    assert_int_equal(quorum_core_role(cluster.voters[0].core), QUORUM_LEADER);
    message.kind = QUORUM_MSG_APPEND_ANSWER;
    message.index = 3;
    exchange(&cluster, &message, &answer);
    assert_int_equal(quorum_core_commit_index(cluster.voters[0].core), 0);
    step_voter(&cluster, 0,
               &(struct quorum_event){
                   .kind = QUORUM_EV_STORED,
                   .u.stored = {cluster.voters[0].held_token, true},
               });
    assert_int_equal(quorum_core_commit_index(cluster.voters[0].core), 3);
    quorum_message_clear(&append);
    close_cluster(&cluster);
}

/* A voter with an empty store gives neither a vote nor a pre-vote. */
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
    stop_voter(&cluster, 0, true);
    start_voter(&cluster, 0);
    cluster.now_us += 2 * SECOND;
    for (int pre = 1; pre >= 0; pre--) {
        request.pre_vote = pre == 1;
        exchange(&cluster, &request, &answer);
        assert_int_equal(answer.kind, QUORUM_MSG_VOTE);
        assert_false(answer.granted);
    }
    close_cluster(&cluster);
}

/*
 * A message that is damaged in one bit or cut off at any byte may be rejected
 * or decoded, but must not lead to an invalid memory access.
 */
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
        cmocka_unit_test(test_one_vote_per_term),
        cmocka_unit_test(test_no_commit_by_older_term),
        cmocka_unit_test(test_replaced_entry_not_stored),
        cmocka_unit_test(test_empty_store_gives_no_vote),
        cmocka_unit_test(test_damaged_messages),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
