/* The membership core's outside: options, steps and accessors. */
#include "member/member_priv.h"

#include <string.h>

#include "base/hash.h"

#define DEFAULT_CLUSTER "parsleyspur"

static void set_defaults(struct member_options *);
static void add_self(struct member_core *);
static void advance_clock(struct member_core *, uint64_t);
static void on_tick(struct member_core *);
static void on_message(struct member_core *, uint32_t,
                       const struct member_message *);
static void on_joined(struct member_core *);
static void on_leave(struct member_core *, bool left);

/* Replace each member that is 0 by its documented default. */
static void
set_defaults(struct member_options *options)
{
    const struct {
        uint32_t *value;
        uint32_t fallback;
    } rows[] = {
        {&options->probe_interval_ms, 500},
        {&options->probe_timeout_ms, 150},
        {&options->suspicion_ms, 1000},
        {&options->suspicion_max_ms, 3000},
        {&options->sync_interval_ms, 1000},
        {&options->gossip_interval_ms, 200},
        {&options->forget_ms, 24 * 3600 * 1000},
        {&options->daemons_max, 16384},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        if (*rows[i].value == 0) {
            *rows[i].value = rows[i].fallback;
        }
    }
    if (options->cluster == NULL) {
        options->cluster = DEFAULT_CLUSTER;
    }
}

static void
add_self(struct member_core *core)
{
    struct member_record record = {
        .address = core->options.address,
        .incarnation = core->options.incarnation,
        .entry = core->options.entry,
        .control = core->options.control,
    };

    g_strlcpy(record.name, core->options.name, VIEW_NAME_MAX);
    g_strlcpy(record.zone, core->options.zone, VIEW_NAME_MAX);
    member_merge(core, &record);
    core->self = member_find(core, view_daemon_id(record.name));
}

/*
 * A new membership of one daemon, as OPTIONS say; strings and seeds are
 * copied where they are kept.  The owner frees it with member_core_free().
 */
struct member_core *
member_core_new(const struct member_options *options)
{
    struct member_core *core = g_new0(struct member_core, 1);

    core->options = *options;
    set_defaults(&core->options);
    core->cluster = (uint32_t)hash_string(core->options.cluster);
    core->seeds =
        g_memdup2(options->seeds, options->seed_count * sizeof(uint32_t));
    core->rand = g_rand_new_with_seed((guint32)options->seed ^
                                      (guint32)(options->seed >> 32));
    core->members =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    core->order = g_ptr_array_new();
    core->gossip = g_queue_new();
    core->suspects = g_ptr_array_new();
    core->probes = g_array_new(FALSE, TRUE, sizeof(struct probe));
    core->rotation = g_array_new(FALSE, TRUE, sizeof(struct daemon_id));
    core->view = g_array_new(FALSE, TRUE, sizeof(struct daemon_view));
    core->seq = g_rand_int(core->rand) >> 1;
    add_self(core);
    core->self->record.leaving = options->joining;
    core->options.name = core->self->record.name;
    core->options.zone = core->self->record.zone;
    core->options.cluster = NULL;
    member_rebuild_view(core);
    return core;
}

void
member_core_free(struct member_core *core)
{
    if (core == NULL) {
        return;
    }
    g_array_free(core->view, TRUE);
    g_array_free(core->rotation, TRUE);
    g_array_free(core->probes, TRUE);
    g_ptr_array_free(core->suspects, TRUE);
    g_queue_free(core->gossip);
    g_ptr_array_free(core->order, TRUE);
    g_hash_table_destroy(core->members);
    g_rand_free(core->rand);
    g_free(core->seeds);
    g_free(core);
}

/*
 * Move the awake clock on.  A process that was paused or starved finds its
 * answers late; the gap is left out, so that it accuses nobody for it.
 */
static void
advance_clock(struct member_core *core, uint64_t now_us)
{
    uint64_t gap;

    if (!core->started) {
        core->clock_us = now_us;
        core->now_us = now_us;
        core->start_us = now_us;
        core->heard_us = now_us;
        core->started = true;
    }
    gap = now_us > core->clock_us ? now_us - core->clock_us : 0;
    core->now_us += MIN(gap, AWAKE_STEP_MAX_US);
    core->clock_us += gap;
}

static void
on_tick(struct member_core *core)
{
    member_probe_tick(core);
    member_check_suspects(core);
    member_check_isolation(core);
    member_reconnect(core);
    member_gossip(core);
    if (core->now_us >= core->forget_us) {
        member_forget(core);
        core->forget_us = core->now_us + US_PER_S;
    }
}

static void
on_message(struct member_core *core, uint32_t from,
           const struct member_message *message)
{
    if (message->cluster != core->cluster) {
        core->counters.foreign++;
        return;
    }
    if (message->from.value == core->self->id.value &&
        from != core->options.address) {
        core->counters.name_conflicts++;
    }
    core->heard_us = core->now_us;
    for (size_t i = 0; i < message->record_count; i++) {
        member_merge(core, &message->records[i]);
    }
    switch (message->kind) {
    case MEMBER_PING:
        member_on_ping(core, from, message);
        break;
    case MEMBER_ACK:
    case MEMBER_NACK:
        member_on_answer(core, message);
        break;
    case MEMBER_PING_REQ:
        member_on_ping_req(core, from, message);
        break;
    case MEMBER_DIGESTS:
        member_on_digests(core, from, message);
        break;
    case MEMBER_STAMPS:
        member_on_stamps(core, from, message);
        break;
    case MEMBER_RECORDS:
    case MEMBER_MESSAGE__MAX:
        break;
    }
    if (message->kind == MEMBER_PING || message->kind == MEMBER_ACK) {
        member_sync_if_differs(core, from, message);
    }
}

/* Say that this daemon takes no leads any more, or that it ends now. */
static void
on_leave(struct member_core *core, bool left)
{
    core->self->record.leaving = true;
    if (left) {
        core->self->record.status = MEMBER_LEFT;
    }
    member_raise_incarnation(core, core->self->record.incarnation);
    member_burst(core);
}

/* Say that this daemon may take leads. */
static void
on_joined(struct member_core *core)
{
    if (!core->self->record.leaving ||
        core->self->record.status == MEMBER_LEFT) {
        return;
    }
    core->self->record.leaving = false;
    member_raise_incarnation(core, core->self->record.incarnation);
    member_burst(core);
}

/*
 * Take EVENT in at NOW_US, a monotonic clock.  Appends what is to be done to
 * OUT, which the caller empties.
 */
void
member_core_step(struct member_core *core, uint64_t now_us,
                 const struct member_event *event, struct member_actions *out)
{
    struct member_action *action;

    core->out = out;
    advance_clock(core, now_us);
    switch (event->kind) {
    case MEMBER_EV_TICK:
        on_tick(core);
        break;
    case MEMBER_EV_MESSAGE:
        on_message(core, event->u.message.from_address,
                   event->u.message.message);
        break;
    case MEMBER_EV_JOINED:
        on_joined(core);
        break;
    case MEMBER_EV_LEAVE:
    case MEMBER_EV_LEFT:
        on_leave(core, event->kind == MEMBER_EV_LEFT);
        break;
    case MEMBER_EVENT__MAX:
        break;
    }
    if (core->changed) {
        member_rebuild_view(core);
        action = member_actions_add(out);
        action->kind = MEMBER_ACT_CHANGED;
    }
    core->out = NULL;
}

/* The next free action of OUT, zeroed; valid until one more is added. */
struct member_action *
member_actions_add(struct member_actions *out)
{
    if (out->count == out->capacity) {
        out->capacity = out->capacity == 0 ? 8 : out->capacity * 2;
        out->items = g_renew(struct member_action, out->items, out->capacity);
    }
    memset(&out->items[out->count], 0, sizeof(out->items[0]));
    return &out->items[out->count++];
}

void
member_actions_clear(struct member_actions *actions)
{
    g_free(actions->items);
    memset(actions, 0, sizeof(*actions));
}

const struct daemon_view *
member_core_daemons(const struct member_core *core, size_t *count)
{
    *count = core->view->len;
    return (const struct daemon_view *)core->view->data;
}

/* The name of the daemon ID, or NULL if it is not known. */
const char *
member_core_name(const struct member_core *core, struct daemon_id id)
{
    const struct member *member = member_find(core, id);

    return member == NULL ? NULL : member->record.name;
}

/* The name of ZONE, or NULL if no known daemon is in it. */
const char *
member_core_zone_name(const struct member_core *core, uint32_t zone)
{
    for (guint i = 0; i < core->order->len; i++) {
        const struct member *member = g_ptr_array_index(core->order, i);

        if (view_zone_id(member->record.zone) == zone) {
            return member->record.zone;
        }
    }
    return NULL;
}

const struct member_counters *
member_core_counters(const struct member_core *core)
{
    return &core->counters;
}
