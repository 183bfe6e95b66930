/* The spreading core's outside: options, steps and accessors. */
#include "member/spread_priv.h"

#include <string.h>

static void set_defaults(struct spread_options *);
static void on_tick(struct spread_core *);
static void on_message(struct spread_core *, struct daemon_id,
                       const struct spread_message *);
static void take_header(struct spread_core *, struct daemon_id,
                        const struct spread_message *);
static void on_event(struct spread_core *, const struct spread_event *);
static void on_difference(struct spread_core *, struct daemon_id,
                          const struct spread_bytes *);

/* Replace each member that is 0 by its documented default. */
static void
set_defaults(struct spread_options *options)
{
    const struct {
        uint32_t *value;
        uint32_t fallback;
    } rows[] = {
        {&options->fanout, 16},          {&options->jobs_max, 64},
        {&options->targets_max, 131072}, {&options->retry_ms, 250},
        {&options->batch_ms, 100},       {&options->sync_interval_ms, 2000},
        {&options->refresh_ms, 1000},    {&options->forget_ms, 600000},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        if (*rows[i].value == 0) {
            *rows[i].value = rows[i].fallback;
        }
    }
}

/*
 * A new core as OPTIONS say; nothing of them is kept by reference.  The
 * owner frees it with spread_core_free().
 */
struct spread_core *
spread_core_new(const struct spread_options *options)
{
    struct spread_core *core = g_new0(struct spread_core, 1);

    core->options = *options;
    set_defaults(&core->options);
    core->zone = view_zone_id(options->zone);
    core->options.zone = NULL;
    core->rand = g_rand_new_with_seed((guint32)options->seed ^
                                      (guint32)(options->seed >> 32));
    core->view = g_array_new(FALSE, TRUE, sizeof(struct daemon_view));
    core->live = g_array_new(FALSE, TRUE, sizeof(struct daemon_view));
    core->boundaries = g_array_new(FALSE, TRUE, sizeof(uint64_t));
    core->jobs = g_ptr_array_new_with_free_func(spread_job_free);
    core->targets =
        g_hash_table_new_full(g_int_hash, g_int_equal, NULL, g_free);
    core->holders = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
                                          spread_holder_free);
    for (size_t i = 0; i < SPREAD_BUCKETS; i++) {
        core->buckets[i] = g_ptr_array_new();
    }
    core->mine = g_hash_table_new(g_direct_hash, g_direct_equal);
    core->pending = g_ptr_array_new();
    core->expired = g_ptr_array_new();
    core->scratch =
        g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
    core->loop = g_array_new(FALSE, TRUE, sizeof(struct spread_message));
    core->staged = options->version;
    core->active = options->version;
    core->in_force = options->version;
    return core;
}

void
spread_core_free(struct spread_core *core)
{
    if (core == NULL) {
        return;
    }
    g_array_free(core->loop, TRUE);
    g_ptr_array_free(core->scratch, TRUE);
    g_ptr_array_free(core->expired, TRUE);
    g_ptr_array_free(core->pending, TRUE);
    g_hash_table_destroy(core->mine);
    for (size_t i = 0; i < SPREAD_BUCKETS; i++) {
        g_ptr_array_free(core->buckets[i], TRUE);
    }
    g_hash_table_destroy(core->holders);
    g_hash_table_destroy(core->targets);
    g_ptr_array_free(core->jobs, TRUE);
    g_array_free(core->boundaries, TRUE);
    g_array_free(core->live, TRUE);
    g_array_free(core->view, TRUE);
    g_rand_free(core->rand);
    g_free(core);
}

/* The next free action, zeroed; valid until one more is added. */
struct spread_action *
spread_act(struct spread_core *core, enum spread_action_kind kind)
{
    struct spread_actions *out = core->out;
    struct spread_action *action;

    if (out->count == out->capacity) {
        out->capacity = out->capacity == 0 ? 8 : out->capacity * 2;
        out->items = g_renew(struct spread_action, out->items, out->capacity);
    }
    action = &out->items[out->count++];
    memset(action, 0, sizeof(*action));
    action->kind = kind;
    return action;
}

/* A message of KIND with the header that all of them carry. */
struct spread_message
spread_start(const struct spread_core *core, enum spread_message_kind kind)
{
    return (struct spread_message){
        .kind = kind,
        .term = core->term,
        .staged = spread_have_staged(core),
        .active = spread_have_active(core),
    };
}

/*
 * Send MESSAGE to TO.  What it points at has to last until the next step; a
 * message to this daemon itself is handled at the end of the present one.
 */
void
spread_send(struct spread_core *core, struct daemon_id to,
            const struct spread_message *message)
{
    struct spread_action *action;

    if (to.value == core->options.self.value) {
        g_array_append_vals(core->loop, message, 1);
        return;
    }
    action = spread_act(core, SPREAD_ACT_SEND);
    action->u.send.to = to;
    action->u.send.message = *message;
}

/* A copy of LEN bytes at DATA that lasts until the next step. */
const void *
spread_keep(struct spread_core *core, const void *data, size_t len)
{
    GBytes *bytes = g_bytes_new(data, len);

    g_ptr_array_add(core->scratch, bytes);
    return g_bytes_get_data(bytes, NULL);
}

static void
on_tick(struct spread_core *core)
{
    spread_jobs_tick(core);
    spread_lead_check(core);
    spread_expire(core);
    spread_batch_tick(core);
    spread_sync_tick(core);
}

/* The versions that every message carries. */
static void
take_header(struct spread_core *core, struct daemon_id from,
            const struct spread_message *message)
{
    if (from.value == core->options.self.value) {
        return;
    }
    core->peer_heard = true;
    if (!core->options.entry) {
        return;
    }
    spread_learn_force(core, message->active);
    if (core->staged < message->active) {
        spread_fetch(core, from);
    }
}

static void
on_message(struct spread_core *core, struct daemon_id from,
           const struct spread_message *message)
{
    if (message->term > core->term) {
        spread_on_lead(core, message->term, false);
    }
    switch (message->kind) {
    case SPREAD_ORDER:
        spread_on_order(core, from, message);
        break;
    case SPREAD_REPORT:
        spread_on_report(core, message);
        break;
    case SPREAD_FETCH:
        spread_on_fetch(core, from, message->staged);
        break;
    case SPREAD_DIFFERENCE:
        spread_on_difference(core, &message->u.difference);
        break;
    case SPREAD_TARGETS:
        spread_on_targets(core, message);
        break;
    case SPREAD_REFRESH:
        spread_on_refresh(core, message);
        break;
    case SPREAD_DIGEST:
        spread_on_digest(core, from, message);
        break;
    case SPREAD_DIGESTS:
        spread_on_digests(core, from, message);
        break;
    case SPREAD_STAMPS:
        spread_on_stamps(core, from, message);
        break;
    case SPREAD_MESSAGE__MAX:
        break;
    }
    take_header(core, from, message);
}

static void
on_difference(struct spread_core *core, struct daemon_id to,
              const struct spread_bytes *bytes)
{
    struct spread_message message = spread_start(core, SPREAD_DIFFERENCE);

    if (to.value == core->options.self.value) {
        if (bytes->to > core->ordered) {
            spread_lead_stage(core, bytes);
        }
        else {
            spread_on_difference(core, bytes);
        }
        return;
    }
    message.u.difference = *bytes;
    message.u.difference.data = spread_keep(core, bytes->data, bytes->len);
    core->counters.served++;
    spread_send(core, to, &message);
}

static void
on_event(struct spread_core *core, const struct spread_event *event)
{
    struct spread_target target = {.stamp = 0};

    switch (event->kind) {
    case SPREAD_EV_TICK:
        on_tick(core);
        break;
    case SPREAD_EV_MESSAGE:
        on_message(core, event->u.message.from, event->u.message.message);
        break;
    case SPREAD_EV_VIEW:
        spread_set_view(core, event->u.view.daemons, event->u.view.count);
        spread_holders_changed(core);
        core->view_changed = true;
        break;
    case SPREAD_EV_LEAD:
        spread_on_lead(core, event->u.lead.term, event->u.lead.leading);
        break;
    case SPREAD_EV_COMMITTED:
        spread_on_committed(core, &event->u.committed);
        break;
    case SPREAD_EV_DIFFERENCE:
        on_difference(core, event->u.difference.to,
                      &event->u.difference.bytes);
        break;
    case SPREAD_EV_ANNOUNCED:
        target.pool = event->u.announced.pool;
        target.view = event->u.announced.view;
        target.life_ms = event->u.announced.life_ms;
        spread_on_announced(core, &target);
        break;
    case SPREAD_EVENT__MAX:
        break;
    }
}

/*
 * Take EVENT in at NOW_US, a monotonic clock.  Appends what is to be done to
 * OUT, which the caller empties before the next step.
 */
void
spread_core_step(struct spread_core *core, uint64_t now_us,
                 const struct spread_event *event, struct spread_actions *out)
{
    core->out = out;
    core->now_us = MAX(core->now_us, now_us);
    g_ptr_array_set_size(core->scratch, 0);
    on_event(core, event);
    for (guint i = 0; i < core->loop->len; i++) {
        struct spread_message looped =
            g_array_index(core->loop, struct spread_message, i);

        on_message(core, core->options.self, &looped);
    }
    g_array_set_size(core->loop, 0);
    core->counters.gauge_staged = core->staged;
    core->counters.gauge_active = core->active;
    core->counters.gauge_targets = core->target_count;
    core->out = NULL;
}

void
spread_actions_clear(struct spread_actions *actions)
{
    g_free(actions->items);
    memset(actions, 0, sizeof(*actions));
}

uint64_t
spread_core_staged(const struct spread_core *core)
{
    return core->staged;
}

uint64_t
spread_core_active(const struct spread_core *core)
{
    return core->active;
}

/*
 * Whether this daemon has heard from a peer and has in force what that peer
 * knew to be.  A daemon that starts should not serve before, unless nobody
 * can be reached.
 */
bool
spread_core_caught_up(const struct spread_core *core)
{
    return core->peer_heard && core->active >= core->in_force;
}

const struct spread_counters *
spread_core_counters(const struct spread_core *core)
{
    return &core->counters;
}

/* Call FUNC with DATA for each target that may be used now, in no order. */
void
spread_core_targets(const struct spread_core *core,
                    void (*func)(const struct spread_target *, void *),
                    void *data)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, core->targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct spread_held *held = value;

        if (held->visible) {
            func(&held->target, data);
        }
    }
}
