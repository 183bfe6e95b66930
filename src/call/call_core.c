/* The call core: creates its state and passes each event to its handler. */
#include "call/call_internal.h"

#include "base/hash.h"

#include <string.h>

#define ATTEMPT_TAG_MASK 0xffffU

#define EVIDENCE_INTERVAL_US 1000000
#define STOP_OWNER_WAIT_US   5000000 /* for a new owner to take over */
#define STOP_RELAY_WAIT_US   1000000 /* while peers may still relay packets */
#define STALL_DRAIN_US       100000 /* to read the packets queued in sockets */

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
    [CALL_REASON_NO_OWNER] = "no-lead",
    [CALL_REASON_AGED] = "aged",
};

static const char *const uncertainty_names[CALL_UNCERTAIN__MAX] = {
    [CALL_UNCERTAIN_NONE] = "none",
    [CALL_UNCERTAIN_NO_EPOCH] = "no-epoch",
    [CALL_UNCERTAIN_LEASE] = "lease",
    [CALL_UNCERTAIN_YOUNG_EPOCH] = "young-epoch",
    [CALL_UNCERTAIN_DAEMON_MISSING] = "daemon-missing",
    [CALL_UNCERTAIN_DAEMON_WAS_MISSING] = "daemon-was-missing",
};

static struct call_pool *find_or_add_pool(struct call_core *, struct pool_id);
static void update_daemons(struct call_step *, const struct daemon_view *,
                           size_t);
static void continue_work(struct call_step *, struct call_pool *);
static void tick(struct call_step *);
static void check_stopped(struct call_step *);

#define SET_DEFAULT(member)                                                   \
    if (core->options.member == 0) {                                          \
        core->options.member = call_defaults.member;                          \
    }

/*
 * Return a new core with OPTIONS, whose zero fields take their defaults.  Free
 * it with call_core_free().
 */
struct call_core *
call_core_new(const struct call_options *options)
{
    struct call_core *core = g_new0(struct call_core, 1);

    core->options = *options;
    SET_DEFAULT(incarnation)
    SET_DEFAULT(deadline_max_us)
    SET_DEFAULT(retry_window_us)
    SET_DEFAULT(lease_us)
    SET_DEFAULT(lease_extended_us)
    SET_DEFAULT(retry_after_us)
    SET_DEFAULT(retry_percent)
    SET_DEFAULT(attempts_max)
    SET_DEFAULT(queue_limit)
    SET_DEFAULT(bytes_max)
    SET_DEFAULT(records_max)
    SET_DEFAULT(calls_max)
    SET_DEFAULT(seed)
    core->options.attempts_max =
        MIN(core->options.attempts_max, CALL_ATTEMPTS_MAX);
    core->attempt_tag = (uint32_t)hash_pair(core->options.self.value,
                                            core->options.incarnation) &
                        ATTEMPT_TAG_MASK;
    core->pools = g_array_new(FALSE, FALSE, sizeof(struct call_pool *));
    core->daemons = g_array_new(FALSE, FALSE, sizeof(struct daemon_view));
    core->deferred_bytes =
        g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
    core->messages = g_ptr_array_new_with_free_func(g_free);
    return core;
}

/* Free CORE with its pools, calls and the bytes of its last actions. */
void
call_core_free(struct call_core *core)
{
    for (unsigned i = 0; i < core->pools->len; i++) {
        call_pool_free(core,
                       g_array_index(core->pools, struct call_pool *, i));
    }
    g_array_free(core->pools, TRUE);
    g_array_free(core->daemons, TRUE);
    g_ptr_array_free(core->deferred_bytes, TRUE);
    g_ptr_array_free(core->messages, TRUE);
    g_free(core);
}

/*
 * Return the counters of CORE, which owns them.  Gauges are set at each tick,
 * except for gauge_bytes, which is updated at once.
 */
const struct call_counters *
call_core_counters(const struct call_core *core)
{
    return &core->counters;
}

/* Return the name of REASON as used in metrics and in reports of refusals. */
const char *
call_reason_name(enum call_reason reason)
{
    return reason < CALL_REASON__MAX ? reason_names[reason] : "unknown";
}

/* Return the name of UNCERTAINTY as metrics give it. */
const char *
call_uncertainty_name(enum call_uncertainty uncertainty)
{
    return uncertainty < CALL_UNCERTAIN__MAX ? uncertainty_names[uncertainty]
                                             : "unknown";
}

/* Free the items of OUT and empty it; OUT itself belongs to the caller. */
void
call_actions_clear(struct call_actions *out)
{
    g_free(out->items);
    memset(out, 0, sizeof(*out));
}

/*
 * Append an empty action of KIND and return it; it is valid until the next one
 * is appended.
 */
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

/* Report and count a dropped packet. */
void
call_drop(struct call_step *step, const struct call_pool *pool,
          enum call_reason reason)
{
    struct call_action *action = call_action_add(step, CALL_ACT_DROP);

    action->u.drop.pool = pool->id;
    action->u.drop.reason = reason;
    step->core->counters.dropped[reason]++;
}

/* Return how long an id is remembered after it was first received, in us. */
uint64_t
call_retention_us(const struct call_core *core)
{
    return core->options.deadline_max_us + core->options.retry_window_us;
}

/* Return the view of the daemon ID, or NULL if it is not known. */
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

/* Return true if packets can be relayed to the daemon ID. */
bool
call_daemon_can_receive(const struct call_core *core, struct daemon_id id)
{
    const struct daemon_view *daemon = call_daemon(core, id);

    return daemon != NULL && daemon->state != DAEMON_DEAD &&
           id.value != core->options.self.value;
}

/*
 * Return the owner of pool ID according to the view of the daemons; 0 if none.
 */
static struct daemon_id
view_owner_of(const struct call_core *core, struct pool_id id)
{
    return view_owner(id, (const struct daemon_view *)core->daemons->data,
                      core->daemons->len);
}

/* Return the state of pool ID, which is created on first use. */
static struct call_pool *
find_or_add_pool(struct call_core *core, struct pool_id id)
{
    struct call_pool *pool;
    unsigned position = 0;

    for (; position < core->pools->len; position++) {
        pool = g_array_index(core->pools, struct call_pool *, position);
        if (pool->id.value == id.value) {
            return pool;
        }
        if (pool->id.value > id.value) {
            break;
        }
    }
    pool = call_pool_new(id);
    pool->view_owner = view_owner_of(core, id);
    pool->retry_tokens = (uint64_t)core->options.retry_percent * 100;
    g_array_insert_val(core->pools, position, pool);
    return pool;
}

/*
 * Store a new view of the daemons and update each pool for it.  During a
 * planned stop this daemon treats itself as leaving.
 */
static void
update_daemons(struct call_step *step, const struct daemon_view *items,
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

        call_owner_changed(step, pool, view_owner_of(core, pool->id));
        call_group_recheck(pool);
        continue_work(step, pool);
    }
}

/*
 * Continue the calls of POOL after an event: queue those whose records are now
 * held, and send queued ones to targets that now have a free slot.
 */
static void
continue_work(struct call_step *step, struct call_pool *pool)
{
    if (pool->recording_count > 0) {
        call_resume_recorded(step, pool);
    }
    if (pool->ownership.phase == CALL_PHASE_INSTALLING ||
        pool->ownership.phase == CALL_PHASE_HELLO) {
        call_epoch_tick(step, pool);
    }
    call_dispatch(step, pool);
    call_record_flush(step, pool);
    call_load_send(step, pool, false);
}

/* Compute the gauges from the calls of all pools. */
static void
update_gauges(struct call_core *core)
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
            pool->kept_idempotent.length + pool->kept_non_idempotent.length;
    }
}

/*
 * Report once, after a planned stop, that no call is left to finish or that
 * the time of retention has passed.
 */
static void
check_stopped(struct call_step *step)
{
    struct call_core *core = step->core;
    uint64_t limit = core->stop_us + call_retention_us(core);
    bool busy = step->now_us <
                MAX(core->stop_us, core->last_relay_us) + STOP_RELAY_WAIT_US;

    if (core->stop_us == 0 || core->stopped) {
        return;
    }
    for (unsigned i = 0; i < core->pools->len; i++) {
        struct call_pool *pool =
            g_array_index(core->pools, struct call_pool *, i);
        bool still_owner = pool->ownership.epoch.number != 0 &&
                           pool->view_owner.value != 0 &&
                           step->now_us < core->stop_us + STOP_OWNER_WAIT_US;

        busy = busy || pool->open.length > 0 || still_owner;
    }
    if (!busy || step->now_us >= limit) {
        core->stopped = true;
        call_action_add(step, CALL_ACT_STOPPED);
    }
}

/* Run the periodic work of all pools and of the core. */
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
        call_load_send(step, pool, true);
        call_owner_tick(step, pool);
        call_check_timeouts(step, pool);
        continue_work(step, pool);
        if (report) {
            call_evidence_report(step, pool);
        }
    }
    if (report) {
        core->next_evidence_us = step->now_us + EVIDENCE_INTERVAL_US;
    }
    update_gauges(core);
    check_stopped(step);
}

/*
 * Refuse the unsent calls of POOL, which was deleted from the catalog; calls
 * that were sent to a target are completed.
 */
static void
deactivate_pool(struct call_step *step, struct call_pool *pool)
{
    GList *link = pool->open.head;

    g_array_set_size(pool->targets, 0);
    pool->has_view = false;
    while (link != NULL) {
        struct call *call = link->data;

        link = link->next;
        if (call->state == CALL_STATE_ASSEMBLING ||
            call->state == CALL_STATE_RECORDING ||
            call->state == CALL_STATE_QUEUED) {
            call_refuse(step, pool, call, CALL_REASON_NO_POOL);
        }
    }
}

/* Begin a planned stop: from now on this daemon treats itself as leaving. */
static void
begin_stop(struct call_step *step)
{
    struct call_core *core = step->core;
    GArray *daemons = g_array_copy(core->daemons);

    if (core->stop_us == 0) {
        core->stop_us = step->now_us;
        update_daemons(step, (const struct daemon_view *)daemons->data,
                       daemons->len);
    }
    g_array_free(daemons, TRUE);
}

/*
 * Drop packets of callers for a while after a pause of the process: packets
 * that it reads then may be older than the time that ids are remembered
 * beyond their deadline.
 */
static void
detect_stall(struct call_core *core, uint64_t now_us)
{
    if (core->last_step_us != 0 &&
        now_us >= core->last_step_us + core->options.retry_window_us / 4) {
        core->stalled_until_us = now_us + STALL_DRAIN_US;
    }
    core->last_step_us = now_us;
}

/*
 * Process EVENT at NOW_US and append the resulting actions to OUT.  What they
 * point to is valid until the next step.
 */
void
call_core_step(struct call_core *core, uint64_t now_us,
               const struct call_event *event, struct call_actions *out)
{
    struct call_step step = {core, now_us, out};
    struct call_pool *pool = NULL;

    detect_stall(core, now_us);
    g_ptr_array_set_size(core->deferred_bytes, 0);
    g_ptr_array_set_size(core->messages, 0);
    switch (event->kind) {
    case CALL_EV_PACKET:
        pool = find_or_add_pool(core, event->u.packet.pool);
        call_packet_receive(&step, pool, &event->u.packet);
        break;
    case CALL_EV_MESSAGE:
        pool = find_or_add_pool(core, event->u.message.message->pool);
        call_message_receive(&step, pool, event->u.message.from,
                             event->u.message.message);
        break;
    case CALL_EV_EPOCH:
        pool = find_or_add_pool(core, event->u.epoch.epoch.pool);
        call_epoch_event(&step, pool, &event->u.epoch.epoch,
                         event->u.epoch.requested_us);
        break;
    case CALL_EV_POOL:
        pool = find_or_add_pool(core, event->u.pool.id);
        call_pool_update(&step, pool, &event->u.pool);
        break;
    case CALL_EV_POOL_GONE:
        pool = find_or_add_pool(core, event->u.pool_gone);
        deactivate_pool(&step, pool);
        break;
    case CALL_EV_DAEMONS:
        update_daemons(&step, event->u.daemons.items, event->u.daemons.count);
        break;
    case CALL_EV_STOP:
        begin_stop(&step);
        break;
    case CALL_EV_TICK:
        tick(&step);
        break;
    case CALL_EV__MAX:
        break;
    }
    if (pool != NULL) {
        continue_work(&step, pool);
    }
}

/*
 * Return true if this daemon may start non-idempotent calls of the pool ID at
 * NOW_US with a majority and under a valid lease: it holds the epoch and its
 * lease, and a majority of the group holds the records of the earlier epochs.
 * Return false during the extended lease, when calls may still start if all
 * members hold the records.
 */
bool
call_core_has_active_lease(const struct call_core *core, struct pool_id id,
                           uint64_t now_us)
{
    struct call_step step = {(struct call_core *)core, now_us, NULL};

    for (unsigned i = 0; i < core->pools->len; i++) {
        const struct call_pool *pool =
            g_array_index(core->pools, struct call_pool *, i);

        if (pool->id.value == id.value) {
            return pool->ownership.epoch.number != 0 &&
                   pool->ownership.collected && call_lease_held(&step, pool) &&
                   call_record_replicated(&step, pool) >=
                       pool->log.carried_over_count;
        }
    }
    return false;
}
