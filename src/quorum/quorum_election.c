/* Elections: pre-votes, votes, and who must not give one. */
#include "quorum/quorum_state.h"

static void ask(struct quorum_core *, bool pre, bool resigned);
static void count_votes(struct quorum_core *);
static bool may_grant(const struct quorum_core *,
                      const struct quorum_message *);
static void start_pre_vote(struct quorum_core *);

/* Wait for a leader between one and two election timeouts from now. */
void
quorum_election_reset(struct quorum_core *core)
{
    uint64_t shortest = core->options.election_timeout_us;
    uint64_t extra = (uint64_t)(g_rand_double(core->rand) * (double)shortest);

    core->election_due_us = core->now_us + shortest + extra;
}

/* Ask for votes if no leader was heard for too long. */
void
quorum_election_tick(struct quorum_core *core)
{
    if (core->now_us < core->election_due_us) {
        return;
    }
    quorum_election_reset(core);
    if (quorum_self_votes(core)) {
        start_pre_vote(core);
    }
}

/*
 * Send a vote request for a new round; a pre-vote changes no state.  RESIGNED:
 * the leader that was heard last has given its term up.
 */
static void
ask(struct quorum_core *core, bool pre, bool resigned)
{
    struct quorum_message message =
        quorum_message_of(core, QUORUM_MSG_VOTE_REQUEST);

    core->round =
        (uint64_t)g_rand_int(core->rand) << 32 | g_rand_int(core->rand);
    message.round = core->round;
    message.pre = pre;
    message.granted = resigned;
    message.term = core->hard.term + (pre ? 1 : 0);
    message.index = quorum_log_last(&core->log);
    message.index_term = quorum_log_last_term(&core->log);
    for (size_t i = 0; i < core->peer_count; i++) {
        core->peers[i].granted = false;
        quorum_send(core, core->peers[i].id, &message);
    }
}

static void
start_pre_vote(struct quorum_core *core)
{
    core->counters.pre_votes++;
    core->role = QUORUM_PRE_CANDIDATE;
    core->leader = (struct daemon_id){0};
    core->role_dirty = true;
    core->self_vote = true;
    ask(core, true, false);
    count_votes(core);
}

/* Ask for votes in a new term; one's own counts once it is stored. */
void
quorum_campaign(struct quorum_core *core, bool resigned)
{
    core->counters.elections++;
    core->role = QUORUM_CANDIDATE;
    core->role_dirty = true;
    core->hard.term++;
    core->hard.vote = core->options.self;
    core->hard_dirty = true;
    core->self_vote = false;
    core->self_vote_token = core->token + 1;
    quorum_election_reset(core);
    ask(core, false, resigned);
}

static void
count_votes(struct quorum_core *core)
{
    size_t votes = core->self_vote ? 1 : 0;

    for (size_t i = 0; i < core->peer_count; i++) {
        votes += core->peers[i].granted ? 1 : 0;
    }
    if (votes < quorum_majority(core)) {
        return;
    }
    if (core->role == QUORUM_PRE_CANDIDATE) {
        quorum_campaign(core, false);
    }
    else if (core->role == QUORUM_CANDIDATE && core->self_vote) {
        quorum_lead(core);
    }
}

/* Records were stored, perhaps the candidate's own vote among them. */
void
quorum_election_stored(struct quorum_core *core)
{
    if (core->role == QUORUM_CANDIDATE && !core->self_vote &&
        core->stored_token >= core->self_vote_token) {
        core->self_vote = true;
        count_votes(core);
    }
}

/* The sender's log holds at least what this one holds, and no other vote. */
static bool
may_grant(const struct quorum_core *core, const struct quorum_message *message)
{
    uint64_t last_term = quorum_log_last_term(&core->log);

    if (!quorum_self_votes(core)) {
        return false;
    }
    if (message->index_term < last_term ||
        (message->index_term == last_term &&
         message->index < quorum_log_last(&core->log))) {
        return false;
    }
    if (message->pre) {
        return message->term > core->hard.term;
    }
    return message->term == core->hard.term &&
           (core->hard.vote.value == 0 ||
            core->hard.vote.value == message->from.value);
}

/*
 * Answer a vote request.  One that comes while a leader is heard is passed
 * over, its term too: that is what a leader's lease stands on.  It is not if
 * that leader has resigned.
 */
void
quorum_on_vote_request(struct quorum_core *core,
                       const struct quorum_message *message)
{
    struct quorum_message answer;

    if (core->now_us < core->refuse_until_us && !message->granted) {
        return;
    }
    if (core->role == QUORUM_LEADER &&
        quorum_leader_lease(core, core->now_us)) {
        return;
    }
    if (!message->pre && message->term > core->hard.term) {
        quorum_follow(core, message->term, (struct daemon_id){0});
    }
    answer = quorum_message_of(core, QUORUM_MSG_VOTE);
    answer.pre = message->pre;
    answer.round = message->round;
    answer.granted = may_grant(core, message);
    if (answer.granted && !message->pre) {
        core->hard.vote = message->from;
        core->hard_dirty = true;
        quorum_election_reset(core);
    }
    quorum_send(core, message->from, &answer);
}

/* Count an answer to the current round; it is of this term or an older. */
void
quorum_on_vote(struct quorum_core *core, struct quorum_peer *peer,
               const struct quorum_message *message)
{
    enum quorum_role asked =
        message->pre ? QUORUM_PRE_CANDIDATE : QUORUM_CANDIDATE;

    if (core->role != asked || message->round != core->round) {
        return;
    }
    if (message->granted && quorum_sender_votes(core, message)) {
        peer->granted = true;
        count_votes(core);
    }
}
