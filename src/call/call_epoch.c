/*
 * The epoch of a pool's owner: requested from the replicated log by compare
 * and set, confirmed as a lease, and ended when a higher one is known.
 */
#include "call/call_internal.h"

#include "base/hash.h"

#define HELLO_TIMEOUT_US         100000  /* for incarnations to arrive */
#define REQUEST_RETRY_US         300000  /* between unanswered requests */
#define EPOCH_BACKOFF_US         500000  /* until the next try after a loss */
#define INSTALL_TIMEOUT_US       2000000 /* before another group is tried */
#define GROUP_REVIEW_INTERVAL_US 1000000 /* between reviews of the group */
#define REQUESTS_IN_A_ROW_MAX    3       /* each after another daemon won */

static void request_epoch(struct call_step *, struct call_pool *,
                          bool confirm);
static void begin_epoch(struct call_step *, struct call_pool *,
                        const struct call_epoch *, uint64_t);
static void begin_acquiring(struct call_step *, struct call_pool *);

/*
 * Return true if this daemon is the pool's owner by the view of the daemons.
 */
bool
call_is_owner(const struct call_core *core, const struct call_pool *pool)
{
    return pool->view_owner.value == core->options.self.value;
}

/* Return true if EPOCH was granted to this process. */
bool
call_epoch_is_own(const struct call_core *core, const struct call_epoch *epoch)
{
    return epoch->number != 0 && epoch->group_count > 0 &&
           epoch->group[0].daemon.value == core->options.self.value &&
           epoch->group[0].incarnation == core->options.incarnation;
}

/*
 * Return true if the replicated log has confirmed the epoch within the lease.
 */
bool
call_lease_held(const struct call_step *step, const struct call_pool *pool)
{
    const struct call_owner *owner = &pool->owner;

    return owner->epoch.number != 0 &&
           step->now_us < owner->confirmed_us + step->core->options.lease_us;
}

/*
 * Request the next epoch with the daemons that have answered as its group, or,
 * with CONFIRM, only a confirmation that the present epoch is still valid.
 */
static void
request_epoch(struct call_step *step, struct call_pool *pool, bool confirm)
{
    struct call_owner *owner = &pool->owner;
    struct call_action *action = call_action_add(step, CALL_ACT_REQUEST_EPOCH);
    struct call_epoch_request *request = &action->u.epoch_request;

    owner->requested_us = step->now_us;
    request->pool = pool->id;
    request->requested_us = step->now_us;
    request->confirm = confirm;
    if (confirm) {
        request->previous = owner->epoch.number;
        return;
    }
    owner->phase = CALL_PHASE_REQUESTED;
    owner->previous = pool->highest_epoch;
    request->previous = pool->highest_epoch.number;
    request->group[0].daemon = step->core->options.self;
    request->group[0].incarnation = step->core->options.incarnation;
    request->group_count = 1;
    for (unsigned i = 0; i < owner->candidate_count; i++) {
        if (owner->candidates[i].answered) {
            request->group[request->group_count++] =
                owner->candidates[i].member;
        }
    }
}

/*
 * Request a confirmation of the epoch at once, unless a request was sent a
 * moment ago.
 */
void
call_epoch_confirm(struct call_step *step, struct call_pool *pool)
{
    if (step->now_us >= pool->owner.requested_us + HELLO_TIMEOUT_US) {
        request_epoch(step, pool, true);
    }
}

/*
 * Start to acquire an epoch; the present one, if any, stays valid meanwhile.
 */
static void
begin_acquiring(struct call_step *step, struct call_pool *pool)
{
    struct call_owner *owner = &pool->owner;

    owner->renewing = owner->phase == CALL_PHASE_ACTIVE;
    owner->phase = CALL_PHASE_HELLO;
    owner->phase_since_us = step->now_us;
    owner->requests = 0;
    call_group_choose(step, pool);
    if (owner->candidate_count == 0) {
        request_epoch(step, pool, false);
    }
}

/* End the present epoch, since EPOCH was granted to the daemon BY. */
void
call_epoch_superseded(struct call_step *step, struct call_pool *pool,
                      uint64_t epoch, struct daemon_id by)
{
    struct call_owner *owner = &pool->owner;
    bool next = epoch == owner->epoch.number + 1;

    if (owner->epoch.number == 0 || epoch <= owner->epoch.number) {
        return;
    }
    pool->promised_epoch = MAX(pool->promised_epoch, epoch);
    owner->phase = CALL_PHASE_NONE;
    owner->renewing = false;
    owner->collected = false;
    owner->epoch.number = 0;
    owner->acquiring_since_us = step->now_us;
    owner->superseded_us = step->now_us;
    owner->next_try_us = step->now_us + EPOCH_BACKOFF_US;
    call_release_unsent(step, pool, epoch, by, next);
}

/*
 * Start EPOCH, which was granted to this process: collect the records of the
 * earlier epochs, unless this process held the one before it.
 */
static void
begin_epoch(struct call_step *step, struct call_pool *pool,
            const struct call_epoch *epoch, uint64_t requested_us)
{
    struct call_owner *owner = &pool->owner;
    bool renewed =
        owner->collected && owner->epoch.number == epoch->number - 1;
    struct daemon_id before = owner->previous.group[0].daemon;

    owner->epoch = *epoch;
    owner->granted_us = step->now_us;
    owner->confirmed_us = requested_us;
    owner->requested_us = requested_us;
    owner->renewing = false;
    owner->peer_count = epoch->group_count;
    pool->promised_epoch = epoch->number;
    step->core->counters.epochs++;
    for (unsigned i = 0; i < epoch->group_count; i++) {
        owner->peers[i] = (struct call_peer){.member = epoch->group[i]};
    }
    if (owner->previous.number != 0 &&
        before.value != step->core->options.self.value) {
        pool->former_owner = before;
    }
    if (renewed) {
        call_install(step, pool);
        return;
    }
    owner->collected = false;
    call_collect_begin(step, pool);
}

/*
 * Store the current epoch of POOL, as the replicated log or a peer reported
 * it, and act on it.  REQUESTED_US is the echoed timestamp of the request that
 * it answers, or 0.
 */
void
call_epoch_event(struct call_step *step, struct call_pool *pool,
                 const struct call_epoch *epoch, uint64_t requested_us)
{
    struct call_owner *owner = &pool->owner;
    bool own = call_epoch_is_own(step->core, epoch);
    bool answers_request = requested_us != 0 && requested_us <= step->now_us;

    if (epoch->number < pool->highest_epoch.number) {
        return;
    }
    pool->highest_epoch = *epoch;
    if (!own) {
        call_epoch_superseded(step, pool, epoch->number,
                              epoch->group[0].daemon);
    }
    else if (epoch->number == owner->epoch.number && answers_request) {
        owner->confirmed_us = MAX(owner->confirmed_us, requested_us);
    }
    if (own && epoch->number > owner->epoch.number &&
        epoch->number == owner->previous.number + 1 &&
        epoch->number >= pool->promised_epoch) {
        begin_epoch(step, pool, epoch, answers_request ? requested_us : 0);
        return;
    }
    if (owner->phase != CALL_PHASE_REQUESTED || !answers_request ||
        epoch->number == owner->previous.number) {
        return;
    }
    owner->requests++;
    if (owner->requests < REQUESTS_IN_A_ROW_MAX) {
        request_epoch(step, pool, false);
        return;
    }
    owner->phase = CALL_PHASE_NONE;
    owner->next_try_us = step->now_us + EPOCH_BACKOFF_US;
}

/* Request a confirmation of the epoch four times per lease. */
static void
renew_lease(struct call_step *step, struct call_pool *pool)
{
    uint64_t interval_us = step->core->options.lease_us / 4;

    if (step->now_us >= pool->owner.requested_us + interval_us) {
        request_epoch(step, pool, true);
    }
}

/*
 * Renew the lease, and acquire an epoch with another group if the present
 * group is incomplete.
 */
static void
active_tick(struct call_step *step, struct call_pool *pool)
{
    struct call_owner *owner = &pool->owner;

    renew_lease(step, pool);
    if (call_is_owner(step->core, pool) &&
        step->now_us >= owner->phase_since_us + GROUP_REVIEW_INTERVAL_US) {
        owner->phase_since_us = step->now_us;
        if (call_group_incomplete(step, pool)) {
            begin_acquiring(step, pool);
        }
    }
}

/* Return true if all candidates for the next group have answered. */
static bool
all_answered(const struct call_owner *owner)
{
    for (unsigned i = 0; i < owner->candidate_count; i++) {
        if (!owner->candidates[i].answered) {
            return false;
        }
    }
    return true;
}

/* Continue to acquire an epoch or to keep it. */
void
call_epoch_tick(struct call_step *step, struct call_pool *pool)
{
    struct call_owner *owner = &pool->owner;
    bool may_own = call_is_owner(step->core, pool) && pool->known;

    switch (owner->phase) {
    case CALL_PHASE_NONE:
        if (may_own && step->now_us >= owner->next_try_us) {
            begin_acquiring(step, pool);
        }
        break;
    case CALL_PHASE_HELLO:
        if (all_answered(owner) ||
            step->now_us >= owner->phase_since_us + HELLO_TIMEOUT_US) {
            request_epoch(step, pool, false);
        }
        break;
    case CALL_PHASE_REQUESTED:
        if (!may_own && owner->epoch.number == 0) {
            owner->phase = CALL_PHASE_NONE;
        }
        else if (step->now_us >= owner->requested_us + REQUEST_RETRY_US) {
            request_epoch(step, pool, false);
        }
        break;
    case CALL_PHASE_COLLECTING:
        call_collect_tick(step, pool);
        break;
    case CALL_PHASE_INSTALLING:
        if (call_record_replicated(step, pool) >= pool->log.carried_over) {
            owner->phase = CALL_PHASE_ACTIVE;
            owner->phase_since_us = step->now_us;
        }
        else if (may_own &&
                 step->now_us >= owner->phase_since_us + INSTALL_TIMEOUT_US) {
            begin_acquiring(step, pool);
        }
        else {
            renew_lease(step, pool);
        }
        break;
    case CALL_PHASE_ACTIVE:
        active_tick(step, pool);
        break;
    }
}
