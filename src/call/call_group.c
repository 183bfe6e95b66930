/* The group of an epoch: the daemons that hold its records. */
#include "call/call_internal.h"

#include "base/hash.h"

static uint64_t rank(const struct call_core *, const struct call_pool *,
                     const struct daemon_view *, const uint32_t *, unsigned);

/* Return true if DAEMON may hold records of this daemon. */
static bool
may_hold(const struct call_core *core, const struct daemon_view *daemon)
{
    return daemon->entry && daemon->state == DAEMON_ALIVE &&
           daemon->id.value != core->options.self.value;
}

/*
 * Return the rank of DAEMON as a member of the group; the highest is chosen.
 * A zone that is not among the COUNT in ZONES ranks first; the order within
 * that differs from pool to pool.
 */
static uint64_t
rank(const struct call_core *core, const struct call_pool *pool,
     const struct daemon_view *daemon, const uint32_t *zones, unsigned count)
{
    uint64_t hash = hash_pair(pool->id.value, daemon->id.value) >> 1;

    (void)core;
    for (unsigned i = 0; i < count; i++) {
        if (zones[i] == daemon->zone) {
            return hash;
        }
    }
    return hash | UINT64_C(1) << 63;
}

/* Return true if daemon ID is already a candidate for the next group. */
static bool
is_chosen(const struct call_ownership *ownership, struct daemon_id id)
{
    for (unsigned i = 0; i < ownership->candidate_count; i++) {
        if (ownership->candidates[i].member.daemon.value == id.value) {
            return true;
        }
    }
    return false;
}

/* Let the next tick check the group, since the daemons have changed. */
void
call_group_recheck(struct call_pool *pool)
{
    if (pool->ownership.phase == CALL_PHASE_ACTIVE) {
        pool->ownership.phase_since_us = 0;
    }
}

/* Choose the daemons of the next group and request their incarnations. */
void
call_group_choose(struct call_step *step, struct call_pool *pool)
{
    const struct call_core *core = step->core;
    const struct daemon_view *self = call_daemon(core, core->options.self);
    struct call_ownership *ownership = &pool->ownership;
    uint32_t zones[CALL_GROUP_MAX] = {self == NULL ? 0 : self->zone};

    ownership->candidate_count = 0;
    while (ownership->candidate_count < CALL_GROUP_MAX - 1) {
        const struct daemon_view *best = NULL;
        uint64_t best_rank = 0;

        for (unsigned i = 0; i < core->daemons->len; i++) {
            const struct daemon_view *daemon =
                &g_array_index(core->daemons, struct daemon_view, i);
            uint64_t its_rank = rank(core, pool, daemon, zones,
                                     ownership->candidate_count + 1);

            if (may_hold(core, daemon) && !is_chosen(ownership, daemon->id) &&
                (best == NULL || its_rank > best_rank)) {
                best = daemon;
                best_rank = its_rank;
            }
        }
        if (best == NULL) {
            return;
        }
        ownership->candidates[ownership->candidate_count++] =
            (struct call_peer){.member.daemon = best->id};
        zones[ownership->candidate_count] = best->zone;
        call_message_add(step, pool, best->id, CALL_MSG_HELLO);
    }
}

/* Store the incarnation that a candidate for the next group has sent. */
void
call_group_hello_ack(struct call_step *step, struct call_pool *pool,
                     struct daemon_id from, const struct call_message *message)
{
    struct call_ownership *ownership = &pool->ownership;

    (void)step;
    if (ownership->phase != CALL_PHASE_HELLO) {
        return;
    }
    for (unsigned i = 0; i < ownership->candidate_count; i++) {
        if (ownership->candidates[i].member.daemon.value == from.value) {
            ownership->candidates[i].member.incarnation = message->incarnation;
            ownership->candidates[i].answered = true;
        }
    }
}

/*
 * Return true if another group would hold more copies of the records, or would
 * have no unreachable or restarted members.
 */
bool
call_group_incomplete(const struct call_step *step,
                      const struct call_pool *pool)
{
    const struct call_core *core = step->core;
    const struct call_ownership *ownership = &pool->ownership;
    unsigned usable = 1;
    unsigned possible = 1;

    for (unsigned i = 0; i < core->daemons->len; i++) {
        possible += may_hold(
            core, &g_array_index(core->daemons, struct daemon_view, i));
    }
    for (unsigned i = 1; i < ownership->peer_count; i++) {
        const struct daemon_view *daemon =
            call_daemon(core, ownership->peers[i].member.daemon);

        usable +=
            !ownership->peers[i].restarted && daemon != NULL &&
            (daemon->state == DAEMON_ALIVE || daemon->state == DAEMON_SUSPECT);
    }
    return usable < MIN(possible, CALL_GROUP_MAX) ||
           usable < ownership->peer_count;
}
