/* The group of an epoch: which daemons are to hold the records. */
#include "call/call_internal.h"

#include "base/hash.h"

static uint64_t rank(const struct call_core *, const struct call_pool *,
                     const struct daemon_view *, const uint32_t *, unsigned);

/* True if DAEMON may hold records for another one. */
static bool
may_hold(const struct call_core *core, const struct daemon_view *daemon)
{
    return daemon->entry && daemon->state == DAEMON_ALIVE &&
           daemon->id.value != core->options.self.value;
}

/*
 * How well DAEMON suits the group: best in a zone that is not among ZONES,
 * then in an order that differs from pool to pool.
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

static bool
is_chosen(const struct call_lead *lead, struct daemon_id id)
{
    for (unsigned i = 0; i < lead->hello_count; i++) {
        if (lead->hellos[i].member.daemon.value == id.value) {
            return true;
        }
    }
    return false;
}

/* Have the next tick review the group, since the daemons have changed. */
void
call_group_review(struct call_pool *pool)
{
    if (pool->lead.phase == CALL_PHASE_ACTIVE) {
        pool->lead.phase_us = 0;
    }
}

/* Choose the daemons for a new group and ask for their incarnations. */
void
call_group_seek(struct call_step *step, struct call_pool *pool)
{
    const struct call_core *core = step->core;
    const struct daemon_view *self = call_daemon(core, core->options.self);
    struct call_lead *lead = &pool->lead;
    uint32_t zones[CALL_GROUP_MAX] = {self == NULL ? 0 : self->zone};

    lead->hello_count = 0;
    while (lead->hello_count < CALL_GROUP_MAX - 1) {
        const struct daemon_view *best = NULL;
        uint64_t best_rank = 0;

        for (unsigned i = 0; i < core->daemons->len; i++) {
            const struct daemon_view *daemon =
                &g_array_index(core->daemons, struct daemon_view, i);
            uint64_t its =
                rank(core, pool, daemon, zones, lead->hello_count + 1);

            if (may_hold(core, daemon) && !is_chosen(lead, daemon->id) &&
                (best == NULL || its > best_rank)) {
                best = daemon;
                best_rank = its;
            }
        }
        if (best == NULL) {
            return;
        }
        lead->hellos[lead->hello_count++] =
            (struct call_peer){.member.daemon = best->id};
        zones[lead->hello_count] = best->zone;
        call_message_add(step, pool, best->id, CALL_MSG_HELLO);
    }
}

/* A daemon has told its incarnation. */
void
call_epoch_hello_ack(struct call_step *step, struct call_pool *pool,
                     struct daemon_id from, const struct call_message *message)
{
    struct call_lead *lead = &pool->lead;

    (void)step;
    if (lead->phase != CALL_PHASE_HELLO) {
        return;
    }
    for (unsigned i = 0; i < lead->hello_count; i++) {
        if (lead->hellos[i].member.daemon.value == from.value) {
            lead->hellos[i].member.incarnation = message->incarnation;
            lead->hellos[i].answered = true;
        }
    }
}

/* True if another group would hold more copies, or be free of lost members. */
bool
call_group_lacks(const struct call_step *step, const struct call_pool *pool)
{
    const struct call_core *core = step->core;
    const struct call_lead *lead = &pool->lead;
    unsigned useful = 1;
    unsigned possible = 1;

    for (unsigned i = 0; i < core->daemons->len; i++) {
        possible += may_hold(
            core, &g_array_index(core->daemons, struct daemon_view, i));
    }
    for (unsigned i = 1; i < lead->peer_count; i++) {
        const struct daemon_view *daemon =
            call_daemon(core, lead->peers[i].member.daemon);

        useful +=
            !lead->peers[i].lost && daemon != NULL &&
            (daemon->state == DAEMON_ALIVE || daemon->state == DAEMON_SUSPECT);
    }
    return useful < MIN(possible, CALL_GROUP_MAX) || useful < lead->peer_count;
}
