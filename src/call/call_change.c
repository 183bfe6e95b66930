/* Changes of lead: what a daemon passes on, and what it finishes itself. */
#include "call/call_internal.h"

static bool is_unsent(const struct call *);
static void pass_on(struct call_step *, struct call_pool *);

/* True if CALL can go to another daemon without anything being run twice. */
static bool
is_unsent(const struct call *call)
{
    switch (call->state) {
    case CALL_GATHERING:
    case CALL_RECORDING:
    case CALL_WAITING:
        return call->attempt_count == 0;
    case CALL_SENT:
    case CALL_DENYING:
    case CALL_FORMER:
    case CALL_ANSWERED:
    case CALL_REFUSED:
    case CALL_UNKNOWN:
        break;
    }
    return false;
}

/* Hand on to the lead what is neither sent nor recorded here. */
static void
pass_on(struct call_step *step, struct call_pool *pool)
{
    GList *link = pool->open.head;

    while (pool->view_lead.value != 0 && link != NULL) {
        struct call *call = link->data;

        link = link->next;
        if (is_unsent(call) && !call->held &&
            call->offset == CALL_OFFSET_NONE &&
            step->now_us < call->deadline_us &&
            (call->state != CALL_WAITING || step->core->stop_us != 0)) {
            call_release(step, pool, call, pool->view_lead, 0);
        }
    }
}

/* The daemons' view names another lead than before. */
void
call_lead_changed(struct call_step *step, struct call_pool *pool,
                  struct daemon_id lead)
{
    struct daemon_id before = pool->view_lead;
    uint64_t self = step->core->options.self.value;
    if (lead.value == before.value) {
        return;
    }
    pool->view_lead = lead;
    if (lead.value == self) {
        pool->lead.since_us = step->now_us;
        pool->lead.not_before_us = step->now_us;
        if (before.value != 0) {
            pool->former = before;
        }
        return;
    }
    if (before.value != self || lead.value == 0) {
        return;
    }
    pool->heir = lead;
    pass_on(step, pool);
}

/* Hand the calls on that the daemons' views left here for a while. */
void
call_lead_tick(struct call_step *step, struct call_pool *pool)
{
    if (!call_is_lead(step->core, pool) && pool->lead.epoch.number == 0) {
        pass_on(step, pool);
    }
}

/*
 * EPOCH was given to TO: it gets the calls that are not sent yet, and may
  * run those whose record was held, since nobody else can have begun them;
 * NEXT says that EPOCH follows at once, so that nobody else can have begun
 * any of them.  Sent ones are finished here.
 */
void
call_superseded_release(struct call_step *step, struct call_pool *pool,
                        uint64_t epoch, struct daemon_id to, bool next)
{
    GList *link = pool->open.head;
    bool passes = to.value != step->core->options.self.value &&
                  call_daemon_serves(step->core, to);

    if (passes) {
        pool->heir = to;
    }
    while (link != NULL) {
        struct call *call = link->data;

        link = link->next;
        call->offset = CALL_OFFSET_NONE;
        if (call->state == CALL_DENYING) {
            call_unknown(step, pool, call, call->reason);
        }
        else if (is_unsent(call) && step->now_us >= call->deadline_us) {
            call_unknown(step, pool, call, CALL_REASON_DEADLINE);
        }
        else if (passes && is_unsent(call)) {
            call_release(step, pool, call, to, call->held || next ? epoch : 0);
        }
    }
}
