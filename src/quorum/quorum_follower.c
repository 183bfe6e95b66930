/* The follower's side of replication: entries from the leader. */
#include "quorum/quorum_state.h"

static bool log_matches(const struct quorum_core *,
                        const struct quorum_message *, uint64_t *);
static bool append_entries(struct quorum_core *,
                           const struct quorum_message *);
static void answer_before_store(struct quorum_core *, struct daemon_id to,
                                const struct quorum_message *answer);

/*
 * Return true if the log holds the entry that precedes those of MESSAGE.
 * Otherwise set HINT to the index that the leader is to try next.  The hint
 * skips all entries of a conflicting term at once.
 */
static bool
log_matches(const struct quorum_core *core,
            const struct quorum_message *message, uint64_t *hint)
{
    uint64_t last = quorum_log_last_index(&core->log);
    uint64_t term;
    uint64_t hint_term;

    if (message->index < core->log.base ||
        message->index <= core->commit_index) {
        return true; /* a committed entry is the same in the leader's log */
    }
    if (message->index > last) {
        *hint = last;
        return false;
    }
    quorum_log_term(&core->log, message->index, &term);
    if (term == message->index_term) {
        return true;
    }
    *hint = message->index - 1;
    while (*hint > core->commit_index &&
           quorum_log_term(&core->log, *hint, &hint_term) &&
           hint_term == term) {
        (*hint)--;
    }
    return false;
}

/*
 * Append the entries of MESSAGE that the log does not hold yet.  Return false
 * if they contradict a committed entry or their indexes have a gap.
 */
static bool
append_entries(struct quorum_core *core, const struct quorum_message *message)
{
    for (guint i = 0; i < message->entries->len; i++) {
        struct quorum_entry *entry = message->entries->pdata[i];
        uint64_t term = 0;

        if (entry->index != message->index + 1 + i) {
            return false;
        }
        if (entry->index <= core->log.base) {
            continue;
        }
        if (quorum_log_term(&core->log, entry->index, &term) &&
            term == entry->term) {
            continue;
        }
        if (entry->index <= core->commit_index) {
            return false;
        }
        if (entry->index <= quorum_log_last_index(&core->log)) {
            quorum_truncate_log(core, entry->index);
        }
        quorum_log_append(&core->log, entry);
        quorum_store_entry(core, entry);
    }
    return true;
}

/*
 * Send TO a copy of ANSWER, which accepts an append message, without waiting
 * for the store action that runs, if that already takes longer than a
 * heartbeat interval.  Otherwise a leader whose followers' disks are slow
 * loses its lease although they hear it.  The copy states only what is stored:
 * nothing is sent if the term or the vote is not, and entries count as far as
 * they are.
 */
static void
answer_before_store(struct quorum_core *core, struct daemon_id to,
                    const struct quorum_message *answer)
{
    const struct quorum_hard_state *stored = &core->stored_hard_state;
    struct quorum_message early = *answer;

    if (core->pending_stores->len == 0 ||
        core->now_us - g_array_index(core->pending_stores,
                                     struct quorum_pending_store, 0)
                           .issued_us <
            core->options.heartbeat_us ||
        stored->term != core->hard_state.term ||
        stored->store != core->hard_state.store ||
        stored->has_vote != core->hard_state.has_vote) {
        return;
    }
    early.index = MIN(answer->index, core->stored_index);
    quorum_send_now(core, to, &early);
}

/*
 * Handle an append message, with entries or as a heartbeat, and answer it.  A
 * message that contradicts committed entries is not answered.
 */
void
quorum_on_append(struct quorum_core *core,
                 const struct quorum_message *message)
{
    struct quorum_message answer;
    uint64_t last_index = message->index + message->entries->len;
    uint64_t hint = 0;

    if (message->term >= core->hard_state.term) {
        quorum_become_follower(core, message->term, message->from);
        core->leader_contact_us = core->now_us;
        core->no_vote_until_us =
            core->now_us + core->options.election_timeout_us;
    }
    answer = quorum_make_message(core, QUORUM_MSG_APPEND_ANSWER);
    answer.round = message->round;
    if (message->term == core->hard_state.term) {
        if (!log_matches(core, message, &hint)) {
            answer.index = hint;
        }
        else if (append_entries(core, message)) {
            answer.granted = true;
            answer.index = last_index;
            quorum_commit_to(core, MIN(message->commit_index, last_index));
        }
        else {
            core->counters.invalid_messages++;
            return;
        }
    }
    answer.has_vote = core->hard_state.has_vote;
    if (answer.granted) {
        answer_before_store(core, message->from, &answer);
    }
    quorum_send_after_store(core, message->from, &answer);
}
