/* The call core: its state, and the way of each event to its handler. */
#include "call/call_internal.h"

#include "base/hash.h"

#include <string.h>

#define ATTEMPT_TAG_MASK 0xffffU

#define EVIDENCE_EVERY_US 1000000
#define STOP_LEAD_US      5000000 /* for a new lead to take over */
#define STOP_LINGER_US    1000000 /* while peers may still hand packets on */
#define STALL_DRAIN_US    100000  /* to read what has piled up in sockets */

static const struct call_options call_defaults = {
    .incarnation = 1,
    .deadline_max_us = 30000000,
    .retry_window_us = 5000000,
    .lease_us = 10000000,
    .lease_extended_us = 600000000,
    .retry_after_us = 1000000,
    .retry_percent = 10,
    .attempts_max = 3,
    .queue_limit = 1000,
    .bytes_max = 64 << 20,
    .records_max = 65536,
    .calls_max = 65536,
    .seed = 1,
};

static const char *const reason_names[CALL_REASON__MAX] = {
    [CALL_REASON_QUEUE_FULL] = "queue-full",
    [CALL_REASON_BYTES_FULL] = "bytes-full",
    [CALL_REASON_RECORDS_FULL] = "records-full",
    [CALL_REASON_DEADLINE] = "deadline",
    [CALL_REASON_NO_TARGET] = "no-target",
    [CALL_REASON_NO_POOL] = "no-pool",
    [CALL_REASON_CANCELLED] = "cancelled",
    [CALL_REASON_TARGET_REFUSED] = "target-refused",
    [CALL_REASON_STOPPING] = "stopping",
    [CALL_REASON_EARLIER_EPOCH] = "earlier-epoch",
    [CALL_REASON_NO_EPOCH] = "no-epoch",
    [CALL_REASON_DUPLICATE] = "duplicate",
    [CALL_REASON_LATE] = "late",
    [CALL_REASON_UNKNOWN_ID] = "unknown-id",
    [CALL_REASON_WRONG_ATTEMPT] = "wrong-attempt",
    [CALL_REASON_WRONG_TARGET] = "wrong-target",
    [CALL_REASON_WRONG_KIND] = "wrong-kind",
    [CALL_REASON_WRONG_PARTS] = "wrong-parts",
    [CALL_REASON_HOPS] = "hops",
    [CALL_REASON_STALLED] = "stalled",
    [CALL_REASON_NO_LEAD] = "no-lead",
    [CALL_REASON_AGED] = "aged",
};

static const char *const doubt_names[CALL_DOUBT__MAX] = {
    [CALL_DOUBT_NONE] = "none",
    [CALL_DOUBT_NO_EPOCH] = "no-epoch",
    [CALL_DOUBT_LEASE] = "lease",
    [CALL_DOUBT_YOUNG_EPOCH] = "young-epoch",
    [CALL_DOUBT_DAEMON_MISSING] = "daemon-missing",
    [CALL_DOUBT_DAEMON_WAS_MISSING] = "daemon-was-missing",
};

static struct call_pool *pool_of(struct call_core *, struct pool_id);
static void daemons_event(struct call_step *, const struct daemon_view *,
                          size_t);
static void finish(struct call_step *, struct call_pool *);
static void tick(struct call_step *);
static void stop_review(struct call_step *);

#define TAKE_DEFAULT(member)                                                  \
    if (core->options.member == 0) {                                          \
        core->options.member = call_defaults.member;                          \
    }

/* Make a core with OPTIONS, whose zero members take their defaults. */
struct call_core *
call_core_new(const struct call_options *options)
{
    struct call_core *core = g_new0(struct call_core, 1);

    core->options = *options;
    TAKE_DEFAULT(incarnation)
    TAKE_DEFAULT(deadline_max_us)
    TAKE_DEFAULT(retry_window_us)
    TAKE_DEFAULT(lease_us)
    TAKE_DEFAULT(lease_extended_us)
    TAKE_DEFAULT(retry_after_us)
    TAKE_DEFAULT(retry_percent)
    TAKE_DEFAULT(attempts_max)
    TAKE_DEFAULT(queue_limit)
    TAKE_DEFAULT(bytes_max)
    TAKE_DEFAULT(records_max)
    TAKE_DEFAULT(calls_max)
    TAKE_DEFAULT(seed)
    core->options.attempts_max =
        MIN(core->options.attempts_max, CALL_ATTEMPTS_MAX);
    core->attempt_tag = (uint32_t)hash_pair(core->options.self.value,
                                            core->options.incarnation) &
                        ATTEMPT_TAG_MASK;
    core->pools = g_array_new(FALSE, FALSE, sizeof(struct call_pool *));
    core->daemons = g_array_new(FALSE, FALSE, sizeof(struct daemon_view));
    core->trash =
        g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
    core->messages = g_ptr_array_new_with_free_func(g_free);
    return core;
}

void
call_core_free(struct call_core *core)
{
    for (unsigned i = 0; i < core->pools->len; i++) {
        call_pool_free(core,
                       g_array_index(core->pools, struct call_pool *, i));
    }
    g_array_free(core->pools, TRUE);
    g_array_free(core->daemons, TRUE);
    g_ptr_array_free(core->trash, TRUE);
    g_ptr_array_free(core->messages, TRUE);
    g_free(core);
}

const struct call_counters *
call_core_counters(const struct call_core *core)
{
    return &core->counters;
}

const char *
call_reason_name(enum call_reason reason)
{
    return reason < CALL_REASON__MAX ? reason_names[reason] : "unknown";
}

const char *
call_doubt_name(enum call_doubt doubt)
{
    return doubt < CALL_DOUBT__MAX ? doubt_names[doubt] : "unknown";
}

/* Free the list's memory; the list itself is the caller's. */
void
call_actions_clear(struct call_actions *out)
{
    g_free(out->items);
    memset(out, 0, sizeof(*out));
}

/* Append an empty action of KIND. */
struct call_action *
call_action_add(struct call_step *step, enum call_action_kind kind)
{
    struct call_actions *out = step->out;
    struct call_action *action;

    if (out->count == out->capacity) {
        out->capacity = out->capacity == 0 ? 16 : out->capacity * 2;
        out->items = g_renew(struct call_action, out->items, out->capacity);
    }
    action = &out->items[out->count++];
    memset(action, 0, sizeof(*action));
    action->kind = kind;
    return action;
}

/* Count and tell a packet that goes no further. */
void
call_drop(struct call_step *step, const struct call_pool *pool,
          enum call_reason reason)
{
    struct call_action *action = call_action_add(step, CALL_ACT_DROP);

    action->u.drop.pool = pool->id;
    action->u.drop.reason = reason;
    step->core->counters.dropped[reason]++;
}

/* How long an id is remembered after it was first seen. */
uint64_t
call_retention_us(const struct call_core *core)
{
    return core->options.deadline_max_us + core->options.retry_window_us;
}

const struct daemon_view *
call_daemon(const struct call_core *core, struct daemon_id id)
{
    for (unsigned i = 0; i < core->daemons->len; i++) {
        const struct daemon_view *daemon =
            &g_array_index(core->daemons, struct daemon_view, i);

        if (daemon->id.value == id.value) {
            return daemon;
        }
    }
    return NULL;
}

/* True if the daemon ID still takes what is handed on to it. */
bool
call_daemon_serves(const struct call_core *core, struct daemon_id id)
{
    const struct daemon_view *daemon = call_daemon(core, id);

    return daemon != NULL && daemon->state != DAEMON_DEAD &&
           id.value != core->options.self.value;
}

static struct daemon_id
view_lead_of(const struct call_core *core, struct pool_id id)
{
    return view_owner(id, (const struct daemon_view *)core->daemons->data,
                      core->daemons->len);
}

/* The state of pool ID, made on first use. */
static struct call_pool *
pool_of(struct call_core *core, struct pool_id id)
{
    struct call_pool *pool;
    unsigned place = 0;

    for (; place < core->pools->len; place++) {
        pool = g_array_index(core->pools, struct call_pool *, place);
        if (pool->id.value == id.value) {
            return pool;
        }
        if (pool->id.value > id.value) {
            break;
        }
    }
    pool = call_pool_new(id);
    pool->view_lead = view_lead_of(core, id);
    pool->tokens = (uint64_t)core->options.retry_percent * 100;
    g_array_insert_val(core->pools, place, pool);
    return pool;
}

/* Take in a new view of the daemons; a stopping one leaves itself out. */
static void
daemons_event(struct call_step *step, const struct daemon_view *items,
              size_t count)
{
    struct call_core *core = step->core;
    GArray *next = g_array_new(FALSE, FALSE, sizeof(struct daemon_view));

    core->daemon_missing = false;
    for (size_t i = 0; i < count; i++) {
        struct daemon_view daemon = items[i];

        if (daemon.id.value == core->options.self.value &&
            core->stop_us != 0) {
            daemon.state = DAEMON_LEAVING;
        }
        core->daemon_missing =
            core->daemon_missing ||
            (daemon.entry &&
             (daemon.state == DAEMON_DEAD || daemon.state == DAEMON_SUSPECT));
        g_array_append_val(next, daemon);
    }
    if (core->daemon_missing || next->len < core->daemons->len) {
        core->daemon_lost_us = step->now_us;
    }
    g_array_free(core->daemons, TRUE);
    core->daemons = next;
    for (unsigned i = 0; i < core->pools->len; i++) {
        struct call_pool *pool =
            g_array_index(core->pools, struct call_pool *, i);

        call_lead_changed(step, pool, view_lead_of(core, pool->id));
        call_group_review(pool);
        finish(step, pool);
    }
}

/* What any event may make possible: records held, slots free. */
static void
finish(struct call_step *step, struct call_pool *pool)
{
    if (pool->pending > 0) {
        call_record_settle(step, pool);
    }
    if (pool->lead.phase == CALL_PHASE_INSTALLING ||
        pool->lead.phase == CALL_PHASE_HELLO) {
        call_epoch_tick(step, pool);
    }
    call_dispatch(step, pool);
    call_record_flush(step, pool);
    call_load_tell(step, pool, false);
}

static void
gauges(struct call_core *core)
{
    core->counters.gauge_queued = 0;
    core->counters.gauge_open = 0;
    core->counters.gauge_kept = 0;
    for (unsigned i = 0; i < core->pools->len; i++) {
        struct call_pool *pool =
            g_array_index(core->pools, struct call_pool *, i);

        core->counters.gauge_queued += call_queue_length(pool);
        core->counters.gauge_open += pool->open.length;
        core->counters.gauge_kept +=
            pool->kept_idempotent.length + pool->kept_once.length;
    }
}

/* Say once that nothing is left to finish after a planned stop. */
static void
stop_review(struct call_step *step)
{
    struct call_core *core = step->core;
    uint64_t limit = core->stop_us + call_retention_us(core);
    bool waits =
        step->now_us < MAX(core->stop_us, core->handed_us) + STOP_LINGER_US;

    if (core->stop_us == 0 || core->stopped) {
        return;
    }
    for (unsigned i = 0; i < core->pools->len; i++) {
        struct call_pool *pool =
            g_array_index(core->pools, struct call_pool *, i);
        bool leads = pool->lead.epoch.number != 0 &&
                     pool->view_lead.value != 0 &&
                     step->now_us < core->stop_us + STOP_LEAD_US;

        waits = waits || pool->open.length > 0 || leads;
    }
    if (!waits || step->now_us >= limit) {
        core->stopped = true;
        call_action_add(step, CALL_ACT_STOPPED);
    }
}

static void
tick(struct call_step *step)
{
    struct call_core *core = step->core;
    bool report = step->now_us >= core->next_evidence_us;

    for (unsigned i = 0; i < core->pools->len; i++) {
        struct call_pool *pool =
            g_array_index(core->pools, struct call_pool *, i);

        call_log_expire(&pool->log, step->now_us);
        call_epoch_tick(step, pool);
        call_load_tell(step, pool, true);
        call_lead_tick(step, pool);
        call_tick(step, pool);
        finish(step, pool);
        if (report) {
            call_evidence_give(step, pool);
        }
    }
    if (report) {
        core->next_evidence_us = step->now_us + EVIDENCE_EVERY_US;
    }
    gauges(core);
    stop_review(step);
}

/* The pool's row is gone: what waits is refused, what runs is finished. */
static void
pool_gone(struct call_step *step, struct call_pool *pool)
{
    GList *link = pool->open.head;

    g_array_set_size(pool->slots, 0);
    pool->known = false;
    while (link != NULL) {
        struct call *call = link->data;

        link = link->next;
        if (call->state == CALL_GATHERING || call->state == CALL_RECORDING ||
            call->state == CALL_WAITING) {
            call_refuse(step, pool, call, CALL_REASON_NO_POOL);
        }
    }
}

static void
stop_event(struct call_step *step)
{
    struct call_core *core = step->core;
    GArray *daemons = g_array_copy(core->daemons);

    if (core->stop_us == 0) {
        core->stop_us = step->now_us;
        daemons_event(step, (const struct daemon_view *)daemons->data,
                      daemons->len);
    }
    g_array_free(daemons, TRUE);
}

/*
 * After a pause of the process, packets that it reads may be older than the
 * time that ids are remembered beyond their deadline: they are not taken.
 */
static void
watch_stall(struct call_core *core, uint64_t now_us)
{
    if (core->last_step_us != 0 &&
        now_us >= core->last_step_us + core->options.retry_window_us / 4) {
        core->stalled_until_us = now_us + STALL_DRAIN_US;
    }
    core->last_step_us = now_us;
}

/* Take EVENT at NOW_US and append what follows from it to OUT. */
void
call_core_step(struct call_core *core, uint64_t now_us,
               const struct call_event *event, struct call_actions *out)
{
    struct call_step step = {core, now_us, out};
    struct call_pool *pool = NULL;

    watch_stall(core, now_us);
    g_ptr_array_set_size(core->trash, 0);
    g_ptr_array_set_size(core->messages, 0);
    switch (event->kind) {
    case CALL_EV_PACKET:
        pool = pool_of(core, event->u.packet.pool);
        call_packet(&step, pool, &event->u.packet);
        break;
    case CALL_EV_MESSAGE:
        pool = pool_of(core, event->u.message.message->pool);
        call_member_message(&step, pool, event->u.message.from,
                            event->u.message.message);
        break;
    case CALL_EV_EPOCH:
        pool = pool_of(core, event->u.epoch.epoch.pool);
        call_epoch_event(&step, pool, &event->u.epoch.epoch,
                         event->u.epoch.asked_us);
        break;
    case CALL_EV_POOL:
        pool = pool_of(core, event->u.pool.id);
        call_pool_view(&step, pool, &event->u.pool);
        break;
    case CALL_EV_POOL_GONE:
        pool = pool_of(core, event->u.pool_gone);
        pool_gone(&step, pool);
        break;
    case CALL_EV_DAEMONS:
        daemons_event(&step, event->u.daemons.items, event->u.daemons.count);
        break;
    case CALL_EV_STOP:
        stop_event(&step);
        break;
    case CALL_EV_TICK:
        tick(&step);
        break;
    case CALL_EV__MAX:
        break;
    }
    if (pool != NULL) {
        finish(&step, pool);
    }
}

bool
call_core_leads(const struct call_core *core, struct pool_id id,
                uint64_t now_us)
{
    struct call_step step = {(struct call_core *)core, now_us, NULL};

    for (unsigned i = 0; i < core->pools->len; i++) {
        const struct call_pool *pool =
            g_array_index(core->pools, struct call_pool *, i);

        if (pool->id.value == id.value) {
            return pool->lead.epoch.number != 0 && pool->lead.collected &&
                   call_lease_held(&step, pool) &&
                   call_record_reach(&step, pool) >= pool->log.install;
        }
    }
    return false;
}
