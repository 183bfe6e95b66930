/*
 * A leader that is about to stop gives its term up and names a successor, so
 * that nobody waits for an election timeout (Ongaro 2014, 3.10).
 *
 * Other voters give the successor their votes although they have just heard a
 * leader.  That is safe for reads: the only lease of the term is that of its
 * leader, who has given it up before it says so, and the successor asks in the
 * term that follows, in which each voter votes once.
 */
#include "quorum/quorum_state.h"

static const struct quorum_peer *find_successor(const struct quorum_core *);

/* The voter that holds most of the log, or NULL without any that votes. */
static const struct quorum_peer *
find_successor(const struct quorum_core *core)
{
    const struct quorum_peer *best = NULL;

    for (size_t i = 0; i < core->peer_count; i++) {
        const struct quorum_peer *peer = &core->peers[i];

        if (peer->voter && (best == NULL || peer->match > best->match)) {
            best = peer;
        }
    }
    return best;
}

/* Give the lead up, if this voter has it; what waits is refused as unknown. */
void
quorum_resign(struct quorum_core *core)
{
    struct quorum_message message = quorum_message_of(core, QUORUM_MSG_RESIGN);
    const struct quorum_peer *successor = find_successor(core);

    if (core->role != QUORUM_LEADER) {
        return;
    }
    quorum_follow(core, core->hard.term, (struct daemon_id){0});
    if (successor != NULL) {
        quorum_send(core, successor->id, &message);
    }
}

/*
 * The leader of MESSAGE's term has given it up and names this voter.  One that
 * comes late, when there is a newer term, says nothing any more.
 */
void
quorum_on_resign(struct quorum_core *core,
                 const struct quorum_message *message)
{
    if (message->term == core->hard.term && quorum_self_votes(core) &&
        core->role == QUORUM_FOLLOWER) {
        quorum_campaign(core, true);
    }
}
