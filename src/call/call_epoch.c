/*
 * The epoch of a pool's lead: sought at the authority by compare and set,
 * confirmed as a lease, given up when a higher one is known.
 */
#include "call/call_internal.h"

#include "base/hash.h"

#define HELLO_WAIT_US   100000  /* for members to tell their incarnation */
#define ASK_AGAIN_US    300000  /* between questions to the authority */
#define BACK_OFF_US     500000  /* before a lost epoch is sought again */
#define INSTALL_WAIT_US 2000000 /* before another group is tried */
#define RENEW_EVERY_US  1000000 /* between reviews of the group */
#define ASKS_AT_ONCE    3       /* questions in a row, as news comes in */

static void ask(struct call_step *, struct call_pool *, bool confirm);
static void granted(struct call_step *, struct call_pool *,
                    const struct call_epoch *, uint64_t);
static void seek(struct call_step *, struct call_pool *);

/* True if this daemon is the pool's lead by the daemons' view. */
bool
call_is_lead(const struct call_core *core, const struct call_pool *pool)
{
    return pool->view_lead.value == core->options.self.value;
}

/* True if EPOCH was given to this process. */
bool
call_epoch_is_mine(const struct call_core *core,
                   const struct call_epoch *epoch)
{
    return epoch->number != 0 && epoch->group_count > 0 &&
           epoch->group[0].daemon.value == core->options.self.value &&
           epoch->group[0].incarnation == core->options.incarnation;
}

/* True if the authority has confirmed the epoch lately enough. */
bool
call_lease_held(const struct call_step *step, const struct call_pool *pool)
{
    const struct call_lead *lead = &pool->lead;

    return lead->epoch.number != 0 &&
           step->now_us < lead->confirmed_us + step->core->options.lease_us;
}

/* Ask for the next epoch, or only whether the present one still stands. */
static void
ask(struct call_step *step, struct call_pool *pool, bool confirm)
{
    struct call_lead *lead = &pool->lead;
    struct call_action *action = call_action_add(step, CALL_ACT_WANT_EPOCH);
    struct call_want *want = &action->u.want;

    lead->asked_us = step->now_us;
    want->pool = pool->id;
    want->asked_us = step->now_us;
    want->confirm = confirm;
    if (confirm) {
        want->previous = lead->epoch.number;
        return;
    }
    lead->phase = CALL_PHASE_ASKED;
    lead->previous = pool->current;
    want->previous = pool->current.number;
    want->group[0].daemon = step->core->options.self;
    want->group[0].incarnation = step->core->options.incarnation;
    want->group_count = 1;
    for (unsigned i = 0; i < lead->hello_count; i++) {
        if (lead->hellos[i].answered) {
            want->group[want->group_count++] = lead->hellos[i].member;
        }
    }
}

/* Ask the authority at once whether the epoch still stands. */
void
call_epoch_confirm(struct call_step *step, struct call_pool *pool)
{
    if (step->now_us >= pool->lead.asked_us + HELLO_WAIT_US) {
        ask(step, pool, true);
    }
}

/* Begin to seek an epoch; the present one, if any, goes on meanwhile. */
static void
seek(struct call_step *step, struct call_pool *pool)
{
    struct call_lead *lead = &pool->lead;

    lead->renewing = lead->phase == CALL_PHASE_ACTIVE;
    lead->phase = CALL_PHASE_HELLO;
    lead->phase_us = step->now_us;
    lead->asks = 0;
    call_group_seek(step, pool);
    if (lead->hello_count == 0) {
        ask(step, pool, false);
    }
}

/* Give the present epoch up, since EPOCH was given to the daemon BY. */
void
call_superseded(struct call_step *step, struct call_pool *pool, uint64_t epoch,
                struct daemon_id by)
{
    struct call_lead *lead = &pool->lead;
    bool next = epoch == lead->epoch.number + 1;

    if (lead->epoch.number == 0 || epoch <= lead->epoch.number) {
        return;
    }
    pool->promised = MAX(pool->promised, epoch);
    lead->phase = CALL_PHASE_NONE;
    lead->renewing = false;
    lead->collected = false;
    lead->epoch.number = 0;
    lead->since_us = step->now_us;
    lead->superseded_us = step->now_us;
    lead->not_before_us = step->now_us + BACK_OFF_US;
    call_superseded_release(step, pool, epoch, by, next);
}

/* EPOCH is this process's: collect what was recorded before it. */
static void
granted(struct call_step *step, struct call_pool *pool,
        const struct call_epoch *epoch, uint64_t asked_us)
{
    struct call_lead *lead = &pool->lead;
    bool renewed = lead->collected && lead->epoch.number == epoch->number - 1;
    struct daemon_id before = lead->previous.group[0].daemon;

    lead->epoch = *epoch;
    lead->granted_us = step->now_us;
    lead->confirmed_us = asked_us;
    lead->asked_us = asked_us;
    lead->renewing = false;
    lead->peer_count = epoch->group_count;
    pool->promised = epoch->number;
    step->core->counters.epochs++;
    for (unsigned i = 0; i < epoch->group_count; i++) {
        lead->peers[i] = (struct call_peer){.member = epoch->group[i]};
    }
    if (lead->previous.number != 0 &&
        before.value != step->core->options.self.value) {
        pool->former = before;
    }
    if (renewed) {
        call_install(step, pool);
        return;
    }
    lead->collected = false;
    call_collect_begin(step, pool);
}

/* The authority, or a peer, has told the pool's present epoch. */
void
call_epoch_event(struct call_step *step, struct call_pool *pool,
                 const struct call_epoch *epoch, uint64_t asked_us)
{
    struct call_lead *lead = &pool->lead;
    bool mine = call_epoch_is_mine(step->core, epoch);
    bool asked = asked_us != 0 && asked_us <= step->now_us;

    if (epoch->number < pool->current.number) {
        return;
    }
    pool->current = *epoch;
    if (!mine) {
        call_superseded(step, pool, epoch->number, epoch->group[0].daemon);
    }
    else if (epoch->number == lead->epoch.number && asked) {
        lead->confirmed_us = MAX(lead->confirmed_us, asked_us);
    }
    if (mine && epoch->number > lead->epoch.number &&
        epoch->number == lead->previous.number + 1 &&
        epoch->number >= pool->promised) {
        granted(step, pool, epoch, asked ? asked_us : 0);
        return;
    }
    if (lead->phase != CALL_PHASE_ASKED || !asked ||
        epoch->number == lead->previous.number) {
        return;
    }
    lead->asks++;
    if (lead->asks < ASKS_AT_ONCE) {
        ask(step, pool, false);
        return;
    }
    lead->phase = CALL_PHASE_NONE;
    lead->not_before_us = step->now_us + BACK_OFF_US;
}

static void
keep_lease(struct call_step *step, struct call_pool *pool)
{
    uint64_t every = step->core->options.lease_us / 4;

    if (step->now_us >= pool->lead.asked_us + every) {
        ask(step, pool, true);
    }
}

/* Keep the lease, and see to a group that lacks members. */
static void
active_tick(struct call_step *step, struct call_pool *pool)
{
    struct call_lead *lead = &pool->lead;

    keep_lease(step, pool);
    if (call_is_lead(step->core, pool) &&
        step->now_us >= lead->phase_us + RENEW_EVERY_US) {
        lead->phase_us = step->now_us;
        if (call_group_lacks(step, pool)) {
            seek(step, pool);
        }
    }
}

static bool
all_answered(const struct call_lead *lead)
{
    for (unsigned i = 0; i < lead->hello_count; i++) {
        if (!lead->hellos[i].answered) {
            return false;
        }
    }
    return true;
}

/* Take the next step towards an epoch, or in keeping it. */
void
call_epoch_tick(struct call_step *step, struct call_pool *pool)
{
    struct call_lead *lead = &pool->lead;
    bool leads = call_is_lead(step->core, pool) && pool->known;

    switch (lead->phase) {
    case CALL_PHASE_NONE:
        if (leads && step->now_us >= lead->not_before_us) {
            seek(step, pool);
        }
        break;
    case CALL_PHASE_HELLO:
        if (all_answered(lead) ||
            step->now_us >= lead->phase_us + HELLO_WAIT_US) {
            ask(step, pool, false);
        }
        break;
    case CALL_PHASE_ASKED:
        if (!leads && lead->epoch.number == 0) {
            lead->phase = CALL_PHASE_NONE;
        }
        else if (step->now_us >= lead->asked_us + ASK_AGAIN_US) {
            ask(step, pool, false);
        }
        break;
    case CALL_PHASE_COLLECTING:
        call_collect_tick(step, pool);
        break;
    case CALL_PHASE_INSTALLING:
        if (call_record_reach(step, pool) >= pool->log.install) {
            lead->phase = CALL_PHASE_ACTIVE;
            lead->phase_us = step->now_us;
        }
        else if (leads && step->now_us >= lead->phase_us + INSTALL_WAIT_US) {
            seek(step, pool);
        }
        else {
            keep_lease(step, pool);
        }
        break;
    case CALL_PHASE_ACTIVE:
        active_tick(step, pool);
        break;
    }
}
