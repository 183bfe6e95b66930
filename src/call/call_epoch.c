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
    const struct call_ownership *ownership = &pool->ownership;

    return ownership->epoch.number != 0 &&
           step->now_us <
               ownership->confirmed_us + step->core->options.lease_us;
}

/*
 * Request the next epoch with the daemons that have answered as its group, or,
 * with CONFIRM, only a confirmation that the present epoch is still valid.
 */
static void
request_epoch(struct call_step *step, struct call_pool *pool, bool confirm)
{
    struct call_ownership *ownership = &pool->ownership;
    struct call_action *action = call_action_add(step, CALL_ACT_REQUEST_EPOCH);
    struct call_epoch_request *request = &action->u.epoch_request;

    ownership->requested_us = step->now_us;
    request->pool = pool->id;
    request->requested_us = step->now_us;
    request->confirm = confirm;
    if (confirm) {
        request->previous = ownership->epoch.number;
        return;
    }
    ownership->phase = CALL_PHASE_REQUESTED;
    ownership->previous = pool->highest_epoch;
    request->previous = pool->highest_epoch.number;
    request->group[0].daemon = step->core->options.self;
    request->group[0].incarnation = step->core->options.incarnation;
    request->group_count = 1;
    for (unsigned i = 0; i < ownership->candidate_count; i++) {
        if (ownership->candidates[i].answered) {
            request->group[request->group_count++] =
                ownership->candidates[i].member;
        }
    }
}

/*
 * Request a confirmation of the epoch at once, unless a request was sent
 * within HELLO_TIMEOUT_US.
 */
void
call_epoch_confirm(struct call_step *step, struct call_pool *pool)
{
    if (step->now_us >= pool->ownership.requested_us + HELLO_TIMEOUT_US) {
        request_epoch(step, pool, true);
    }
}

/*
 * Start to acquire an epoch; the present one, if any, stays valid meanwhile.
 */
static void
begin_acquiring(struct call_step *step, struct call_pool *pool)
{
    struct call_ownership *ownership = &pool->ownership;

    ownership->renewing = ownership->phase == CALL_PHASE_ACTIVE;
    ownership->phase = CALL_PHASE_HELLO;
    ownership->phase_since_us = step->now_us;
    ownership->requests = 0;
    call_group_choose(step, pool);
    if (ownership->candidate_count == 0) {
        request_epoch(step, pool, false);
    }
}

/* End the present epoch, since EPOCH was granted to the daemon BY. */
void
call_epoch_superseded(struct call_step *step, struct call_pool *pool,
                      uint64_t epoch, struct daemon_id by)
{
    struct call_ownership *ownership = &pool->ownership;
    bool next = epoch == ownership->epoch.number + 1;

    if (ownership->epoch.number == 0 || epoch <= ownership->epoch.number) {
        return;
    }
    pool->promised_epoch = MAX(pool->promised_epoch, epoch);
    ownership->phase = CALL_PHASE_NONE;
    ownership->renewing = false;
    ownership->collected = false;
    ownership->epoch.number = 0;
    ownership->without_epoch_since_us = step->now_us;
    ownership->superseded_us = step->now_us;
    ownership->next_try_us = step->now_us + EPOCH_BACKOFF_US;
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
    struct call_ownership *ownership = &pool->ownership;
    bool renewed =
        ownership->collected && ownership->epoch.number == epoch->number - 1;
    struct daemon_id before = ownership->previous.group[0].daemon;

    ownership->epoch = *epoch;
    ownership->granted_us = step->now_us;
    ownership->confirmed_us = requested_us;
    ownership->requested_us = requested_us;
    ownership->renewing = false;
    ownership->peer_count = epoch->group_count;
    pool->promised_epoch = epoch->number;
    step->core->counters.epochs++;
    for (unsigned i = 0; i < epoch->group_count; i++) {
        ownership->peers[i] = (struct call_peer){.member = epoch->group[i]};
    }
    if (ownership->previous.number != 0 &&
        before.value != step->core->options.self.value) {
        pool->former_owner = before;
    }
    if (renewed) {
        call_install(step, pool);
        return;
    }
    ownership->collected = false;
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
    struct call_ownership *ownership = &pool->ownership;
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
    else if (epoch->number == ownership->epoch.number && answers_request) {
        ownership->confirmed_us = MAX(ownership->confirmed_us, requested_us);
    }
    if (own && epoch->number > ownership->epoch.number &&
        epoch->number == ownership->previous.number + 1 &&
        epoch->number >= pool->promised_epoch) {
        begin_epoch(step, pool, epoch, answers_request ? requested_us : 0);
        return;
    }
    if (ownership->phase != CALL_PHASE_REQUESTED || !answers_request ||
        epoch->number == ownership->previous.number) {
        return;
    }
    ownership->requests++;
    if (ownership->requests < REQUESTS_IN_A_ROW_MAX) {
        request_epoch(step, pool, false);
        return;
    }
    ownership->phase = CALL_PHASE_NONE;
    ownership->next_try_us = step->now_us + EPOCH_BACKOFF_US;
}

/* Request a confirmation of the epoch four times per lease. */
static void
renew_lease(struct call_step *step, struct call_pool *pool)
{
    uint64_t interval_us = step->core->options.lease_us / 4;

    if (step->now_us >= pool->ownership.requested_us + interval_us) {
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
    struct call_ownership *ownership = &pool->ownership;

    renew_lease(step, pool);
    if (call_is_owner(step->core, pool) &&
        step->now_us >= ownership->phase_since_us + GROUP_REVIEW_INTERVAL_US) {
        ownership->phase_since_us = step->now_us;
        if (call_group_incomplete(step, pool)) {
            begin_acquiring(step, pool);
        }
    }
}

/* Return true if all candidates for the next group have answered. */
static bool
all_answered(const struct call_ownership *ownership)
{
    for (unsigned i = 0; i < ownership->candidate_count; i++) {
        if (!ownership->candidates[i].answered) {
            return false;
        }
    }
    return true;
}

/* Continue to acquire an epoch or to keep it. */
void
call_epoch_tick(struct call_step *step, struct call_pool *pool)
{
    struct call_ownership *ownership = &pool->ownership;
    bool may_own = call_is_owner(step->core, pool) && pool->has_view;

    switch (ownership->phase) {
    case CALL_PHASE_NONE:
        if (may_own && step->now_us >= ownership->next_try_us) {
            begin_acquiring(step, pool);
        }
        break;
    case CALL_PHASE_HELLO:
        if (all_answered(ownership) ||
            step->now_us >= ownership->phase_since_us + HELLO_TIMEOUT_US) {
            request_epoch(step, pool, false);
        }
        break;
    case CALL_PHASE_REQUESTED:
        if (!may_own && ownership->epoch.number == 0) {
            ownership->phase = CALL_PHASE_NONE;
        }
        else if (step->now_us >= ownership->requested_us + REQUEST_RETRY_US) {
            request_epoch(step, pool, false);
        }
        break;
    case CALL_PHASE_COLLECTING:
        call_collect_tick(step, pool);
        break;
    case CALL_PHASE_INSTALLING:
        if (call_record_replicated(step, pool) >=
            pool->log.carried_over_count) {
            ownership->phase = CALL_PHASE_ACTIVE;
            ownership->phase_since_us = step->now_us;
        }
        else if (may_own && step->now_us >= ownership->phase_since_us +
                                                INSTALL_TIMEOUT_US) {
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
