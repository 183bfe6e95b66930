/*
 * Leadership transfer (Ongaro 2014, 3.10): a leader that is about to stop
 * resigns and names a successor, so that no election timeout passes.
 *
 * The other voters vote for the successor although they were in contact with
 * a leader just before.  Reads stay safe: the resigning leader held the only
 * lease of its term and gives it up before it sends the message, and the
 * successor campaigns in the next term, in which each voter votes once.
 */
#include "quorum/quorum_state.h"

static const struct quorum_peer *find_successor(const struct quorum_core *);

/*
 * Return the peer with a vote that has stored most of the log, or NULL if no
 * peer is known to have a vote.
 */
static const struct quorum_peer *
find_successor(const struct quorum_core *core)
{
    const struct quorum_peer *best = NULL;

    for (size_t i = 0; i < core->peer_count; i++) {
        const struct quorum_peer *peer = &core->peers[i];

        if (peer->has_vote &&
            (best == NULL || peer->match_index > best->match_index)) {
            best = peer;
        }
    }
    return best;
}

/*
 * If this voter is the leader, become a follower and tell the successor to
 * campaign.  Uncommitted proposals are refused with an unknown outcome.
 */
void
quorum_resign(struct quorum_core *core)
{
    struct quorum_message message =
        quorum_make_message(core, QUORUM_MSG_RESIGN);
    const struct quorum_peer *successor = find_successor(core);

    if (core->role != QUORUM_LEADER) {
        return;
    }
    quorum_become_follower(core, core->hard_state.term, (struct daemon_id){0});
    if (successor != NULL) {
        quorum_send_after_store(core, successor->id, &message);
    }
}

/*
 * Campaign, because the leader of MESSAGE's term has resigned and named this
 * voter its successor.  A message of an earlier term is ignored.
 */
void
quorum_on_resign(struct quorum_core *core,
                 const struct quorum_message *message)
{
    if (message->term == core->hard_state.term && quorum_self_may_vote(core) &&
        core->role == QUORUM_FOLLOWER) {
        quorum_campaign(core, true);
    }
}
