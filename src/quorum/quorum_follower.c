/* The follower: entries from the leader. */
#include "quorum/quorum_state.h"

static bool matches(const struct quorum_core *, const struct quorum_message *,
                    uint64_t *);
static bool take_entries(struct quorum_core *, const struct quorum_message *);

/*
 * True if the log holds what goes before the message's entries.  Otherwise
 * HINT is where the leader may try: all of a term that does not match is
 * passed over in one step.
 */
static bool
matches(const struct quorum_core *core, const struct quorum_message *message,
        uint64_t *hint)
{
    uint64_t last = quorum_log_last(&core->log);
    uint64_t term;
    uint64_t at_term;

    if (message->index < core->log.base || message->index <= core->commit) {
        return true; /* committed here, so the same there */
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
    while (*hint > core->commit &&
           quorum_log_term(&core->log, *hint, &at_term) && at_term == term) {
        (*hint)--;
    }
    return false;
}

/* Append what is new; false if it contradicts what is committed here. */
static bool
take_entries(struct quorum_core *core, const struct quorum_message *message)
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
        if (entry->index <= core->commit) {
            return false;
        }
        if (entry->index <= quorum_log_last(&core->log)) {
            quorum_truncate(core, entry->index);
        }
        quorum_log_append(&core->log, entry);
        quorum_record_entry(core, entry);
    }
    return true;
}

/* Take entries, or a mere heartbeat, from the leader of a term. */
void
quorum_on_append(struct quorum_core *core,
                 const struct quorum_message *message)
{
    struct quorum_message answer;
    uint64_t end = message->index + message->entries->len;
    uint64_t hint = 0;

    if (message->term >= core->hard.term) {
        quorum_follow(core, message->term, message->from);
        core->heard_us = core->now_us;
        core->refuse_until_us =
            core->now_us + core->options.election_timeout_us;
    }
    answer = quorum_message_of(core, QUORUM_MSG_APPEND_ANSWER);
    answer.round = message->round;
    if (message->term == core->hard.term) {
        if (!matches(core, message, &hint)) {
            answer.index = hint;
        }
        else if (take_entries(core, message)) {
            answer.granted = true;
            answer.index = end;
            quorum_commit_to(core, MIN(message->commit, end));
        }
        else {
            core->counters.stray_messages++;
            return;
        }
    }
    answer.voter = core->hard.voter;
    quorum_send(core, message->from, &answer);
}
