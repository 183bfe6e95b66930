/* Elections: pre-votes, votes, and the conditions for giving a vote. */
#include "quorum/quorum_state.h"

static void reset_timer(struct quorum_core *, uint64_t timeout_us);
static void request_votes(struct quorum_core *, bool pre_vote, bool resigned);
static void count_votes(struct quorum_core *);
static bool may_give_vote(const struct quorum_core *,
                          const struct quorum_message *);
static void start_pre_vote(struct quorum_core *);

/*
 * Restart the election timer, with a random time between one and two election
 * timeouts.
 */
void
quorum_election_reset(struct quorum_core *core)
{
    reset_timer(core, core->options.election_timeout_us);
}

/* Restart the election timer, with a random time between TIMEOUT_US and twice
 * that. */
static void
reset_timer(struct quorum_core *core, uint64_t timeout_us)
{
    uint64_t random_us =
        (uint64_t)(g_rand_double(core->rand) * (double)timeout_us);

    core->election_due_us = core->now_us + timeout_us + random_us;
}

/*
 * If the election timer has expired, restart it and begin a pre-vote.  While a
 * store action is pending the timer only restarts: neither a request nor a
 * vote of this voter can leave before the action is complete, and one it has
 * given may just be deciding an election.
 */
void
quorum_election_tick(struct quorum_core *core)
{
    if (core->now_us < core->election_due_us) {
        return;
    }
    quorum_election_reset(core);
    if (quorum_self_may_vote(core) && core->pending_stores->len == 0) {
        start_pre_vote(core);
    }
}

/*
 * Send a vote request with a new round number to all other voters.  With
 * PRE_VOTE it is for the next term and changes no voter's stored state.  With
 * RESIGNED it states that the leader of the previous term has resigned.
 */
static void
request_votes(struct quorum_core *core, bool pre_vote, bool resigned)
{
    struct quorum_message message =
        quorum_make_message(core, QUORUM_MSG_VOTE_REQUEST);

    core->round =
        (uint64_t)g_rand_int(core->rand) << 32 | g_rand_int(core->rand);
    message.round = core->round;
    message.pre_vote = pre_vote;
    message.granted = resigned;
    message.term = core->hard_state.term + (pre_vote ? 1 : 0);
    message.index = quorum_log_last_index(&core->log);
    message.index_term = quorum_log_last_term(&core->log);
    for (size_t i = 0; i < core->peer_count; i++) {
        core->peers[i].vote_granted = false;
        quorum_send_after_store(core, core->peers[i].id, &message);
    }
}

/* Become a pre-candidate and request pre-votes; its own one counts at once. */
static void
start_pre_vote(struct quorum_core *core)
{
    core->counters.pre_votes++;
    core->role = QUORUM_PRE_CANDIDATE;
    core->leader = (struct daemon_id){0};
    core->role_dirty = true;
    core->self_vote_counts = true;
    request_votes(core, true, false);
    count_votes(core);
}

/*
 * Become a candidate in a new term and request votes.  The candidate's own
 * vote counts once it is stored.
 */
void
quorum_campaign(struct quorum_core *core, bool resigned)
{
    core->counters.elections++;
    core->role = QUORUM_CANDIDATE;
    core->role_dirty = true;
    core->hard_state.term++;
    core->hard_state.vote = core->options.self;
    core->hard_state_dirty = true;
    core->self_vote_counts = false;
    core->self_vote_token = core->last_token + 1;
    quorum_election_reset(core);
    request_votes(core, false, resigned);
}

/*
 * With the votes of a majority, a pre-candidate campaigns and a candidate
 * becomes the leader.
 */
static void
count_votes(struct quorum_core *core)
{
    size_t votes = core->self_vote_counts ? 1 : 0;

    for (size_t i = 0; i < core->peer_count; i++) {
        votes += core->peers[i].vote_granted ? 1 : 0;
    }
    if (votes < quorum_majority(core)) {
        return;
    }
    if (core->role == QUORUM_PRE_CANDIDATE) {
        quorum_campaign(core, false);
    }
    else if (core->role == QUORUM_CANDIDATE && core->self_vote_counts) {
        quorum_become_leader(core);
    }
}

/*
 * Called after a store action is complete: count the candidate's own vote if
 * that action contained it.  The vote requests leave now, and the other voters
 * must store their votes too, so the candidate waits for as long as its own
 * store has recently taken, in addition to the election timeout.
 */
void
quorum_election_on_stored(struct quorum_core *core)
{
    if (core->role == QUORUM_CANDIDATE && !core->self_vote_counts &&
        core->stored_token >= core->self_vote_token) {
        core->self_vote_counts = true;
        reset_timer(core,
                    core->options.election_timeout_us + core->store_time_us);
        count_votes(core);
    }
}

/*
 * Return true if this voter may vote for the sender of MESSAGE.  The sender's
 * log must be at least as up to date as this one.  For a pre-vote the term
 * must be later than the current one; for a vote it must be the current one,
 * and no other vote was given in it.
 */
static bool
may_give_vote(const struct quorum_core *core,
              const struct quorum_message *message)
{
    uint64_t last_term = quorum_log_last_term(&core->log);

    if (!quorum_self_may_vote(core)) {
        return false;
    }
    if (message->index_term < last_term ||
        (message->index_term == last_term &&
         message->index < quorum_log_last_index(&core->log))) {
        return false;
    }
    if (message->pre_vote) {
        return message->term > core->hard_state.term;
    }
    return message->term == core->hard_state.term &&
           (core->hard_state.vote.value == 0 ||
            core->hard_state.vote.value == message->from.value);
}

/*
 * Answer a vote request.  While this voter is in contact with a leader, the
 * request and its term are ignored; the leader lease depends on this.  A
 * request which states that the leader has resigned is answered nevertheless,
 * except by a leader with a lease.
 */
void
quorum_on_vote_request(struct quorum_core *core,
                       const struct quorum_message *message)
{
    struct quorum_message answer;

    if (core->now_us < core->no_vote_until_us && !message->granted) {
        return;
    }
    if (core->role == QUORUM_LEADER &&
        quorum_leader_has_lease(core, core->now_us)) {
        return;
    }
    if (!message->pre_vote && message->term > core->hard_state.term) {
        quorum_become_follower(core, message->term, (struct daemon_id){0});
    }
    answer = quorum_make_message(core, QUORUM_MSG_VOTE);
    answer.pre_vote = message->pre_vote;
    answer.round = message->round;
    answer.granted = may_give_vote(core, message);
    if (answer.granted && !message->pre_vote) {
        core->hard_state.vote = message->from;
        core->hard_state_dirty = true;
        quorum_election_reset(core);
    }
    quorum_send_after_store(core, message->from, &answer);
}

/*
 * Count the vote in MESSAGE if it answers the current round.  Its term must
 * not be later than the current one.
 */
void
quorum_on_vote(struct quorum_core *core, struct quorum_peer *peer,
               const struct quorum_message *message)
{
    enum quorum_role requesting_role =
        message->pre_vote ? QUORUM_PRE_CANDIDATE : QUORUM_CANDIDATE;

    if (core->role != requesting_role || message->round != core->round) {
        return;
    }
    if (message->granted && quorum_sender_may_vote(core, message)) {
        peer->vote_granted = true;
        count_votes(core);
    }
}
