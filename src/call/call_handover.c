/*
 * Changes of owner: which calls a daemon releases to the new owner, and which
 * it completes itself.
 */
#include "call/call_internal.h"

static bool is_unsent(const struct call *);
static void release_unrecorded(struct call_step *, struct call_pool *);

/* Return true if CALL can be moved to another daemon without running twice. */
static bool
is_unsent(const struct call *call)
{
    switch (call->state) {
    case CALL_STATE_ASSEMBLING:
    case CALL_STATE_RECORDING:
    case CALL_STATE_QUEUED:
        return call->attempt_count == 0;
    case CALL_STATE_SENT:
    case CALL_STATE_REFUSING:
    case CALL_STATE_EARLIER_EPOCH:
    case CALL_STATE_ANSWERED:
    case CALL_STATE_REFUSED:
    case CALL_STATE_UNKNOWN:
        break;
    }
    return false;
}

/*
 * Release the calls that are neither sent nor recorded here to the owner.
 * Queued ones stay, except during a planned stop.
 */
static void
release_unrecorded(struct call_step *step, struct call_pool *pool)
{
    GList *link = pool->open.head;

    while (pool->view_owner.value != 0 && link != NULL) {
        struct call *call = link->data;

        link = link->next;
        if (is_unsent(call) && !call->record_held &&
            call->record_offset == CALL_OFFSET_NONE &&
            step->now_us < call->deadline_us &&
            (call->state != CALL_STATE_QUEUED || step->core->stop_us != 0)) {
            call_release(step, pool, call, pool->view_owner, 0);
        }
    }
}

/*
 * Store the owner of POOL by the view of the daemons, and act if it changed.
 */
void
call_owner_changed(struct call_step *step, struct call_pool *pool,
                   struct daemon_id owner)
{
    struct daemon_id before = pool->view_owner;
    uint64_t self = step->core->options.self.value;
    if (owner.value == before.value) {
        return;
    }
    pool->view_owner = owner;
    if (owner.value == self) {
        pool->ownership.without_epoch_since_us = step->now_us;
        pool->ownership.next_try_us = step->now_us;
        if (before.value != 0) {
            pool->former_owner = before;
        }
        return;
    }
    if (before.value != self || owner.value == 0) {
        return;
    }
    pool->successor = owner;
    release_unrecorded(step, pool);
}

/*
 * Release calls that were left here while the views of the daemons differed,
 * if this daemon is not the owner and holds no epoch.
 */
void
call_owner_tick(struct call_step *step, struct call_pool *pool)
{
    if (!call_is_owner(step->core, pool) &&
        pool->ownership.epoch.number == 0) {
        release_unrecorded(step, pool);
    }
}

/*
 * Release the unsent calls to the daemon TO, which was granted EPOCH.  It may
 * run those whose record was held, since no other daemon can have started
 * them.  NEXT means that EPOCH directly follows the one that ended, so that no
 * other daemon can have started any of them.  Sent calls are completed here.
 */
void
call_release_unsent(struct call_step *step, struct call_pool *pool,
                    uint64_t epoch, struct daemon_id to, bool next)
{
    GList *link = pool->open.head;
    bool can_release = to.value != step->core->options.self.value &&
                       call_daemon_can_receive(step->core, to);

    if (can_release) {
        pool->successor = to;
    }
    while (link != NULL) {
        struct call *call = link->data;

        link = link->next;
        call->record_offset = CALL_OFFSET_NONE;
        if (call->state == CALL_STATE_REFUSING) {
            call_end_unknown(step, pool, call, call->reason);
        }
        else if (is_unsent(call) && step->now_us >= call->deadline_us) {
            call_end_unknown(step, pool, call, CALL_REASON_DEADLINE);
        }
        else if (can_release && is_unsent(call)) {
            call_release(step, pool, call, to,
                         call->record_held || next ? epoch : 0);
        }
    }
}
