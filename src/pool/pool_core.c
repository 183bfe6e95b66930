/* The pool core: its rows, its events, and the probes that it asks for. */
#include "pool/pool_internal.h"

#include <stdarg.h>
#include <string.h>

#define POOL_REVIEW_US 250000 /* between reviews of health and ramps */

static const struct pool_options pool_defaults = {
    .announce_life_us = 10000000,
    .forget_us = 60000000,
    .slow_start_us = 30000000,
    .probe_every_us = 2000000,
    .hold_us = 30000000,
    .load_fresh_us = 3000000,
    .unhealthy_percent = 30,
    .targets_max = 4096,
    .seed = 1,
};

static void entry_free(void *);
static bool row_set(struct pool_core *, const struct pool_row *,
                    struct pool_actions *);
static void row_delete(struct pool_core *, struct pool_id,
                       struct pool_actions *);
static void probe_due(struct pool_core *, uint64_t, struct pool_actions *);
static void review(struct pool_core *, uint64_t, bool, struct pool_actions *);

#define TAKE_DEFAULT(member)                                                  \
    if (core->options.member == 0) {                                          \
        core->options.member = pool_defaults.member;                          \
    }

/* Make a core with OPTIONS, whose zero members take their defaults. */
struct pool_core *
pool_core_new(const struct pool_options *options)
{
    struct pool_core *core = g_new0(struct pool_core, 1);

    core->options = *options;
    TAKE_DEFAULT(announce_life_us)
    TAKE_DEFAULT(forget_us)
    TAKE_DEFAULT(slow_start_us)
    TAKE_DEFAULT(probe_every_us)
    TAKE_DEFAULT(hold_us)
    TAKE_DEFAULT(load_fresh_us)
    TAKE_DEFAULT(unhealthy_percent)
    TAKE_DEFAULT(targets_max)
    TAKE_DEFAULT(seed)
    core->entries = g_ptr_array_new_with_free_func(entry_free);
    core->targets = g_ptr_array_new_with_free_func(g_free);
    core->rand = g_rand_new_with_seed(core->options.seed);
    return core;
}

void
pool_core_free(struct pool_core *core)
{
    g_ptr_array_free(core->entries, TRUE);
    g_ptr_array_free(core->targets, TRUE);
    g_rand_free(core->rand);
    g_free(core);
}

static void
entry_free(void *data)
{
    struct pool_entry *entry = data;

    g_array_free(entry->overrides, TRUE);
    g_array_free(entry->draining, TRUE);
    g_array_free(entry->view, TRUE);
    g_array_free(entry->scratch, TRUE);
    g_free(entry);
}

const struct pool_counters *
pool_core_counters(const struct pool_core *core)
{
    return &core->counters;
}

/* The target at ADDRESS, or NULL. */
struct pool_target *
pool_target_find(const struct pool_core *core, uint32_t address)
{
    size_t low = 0;
    size_t high = core->targets->len;

    while (low < high) {
        size_t middle = (low + high) / 2;
        struct pool_target *target = core->targets->pdata[middle];

        if (target->said.key.address == address) {
            return target;
        }
        if (target->said.key.address < address) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return NULL;
}

/* The row of pool ID, or NULL. */
struct pool_entry *
pool_entry_find(const struct pool_core *core, struct pool_id id)
{
    for (size_t i = 0; i < core->entries->len; i++) {
        struct pool_entry *entry = core->entries->pdata[i];

        if (entry->id.value == id.value) {
            return entry;
        }
    }
    return NULL;
}

/* Append an empty action of KIND. */
struct pool_action *
pool_action_add(struct pool_actions *out, enum pool_action_kind kind)
{
    struct pool_action *action;

    if (out->count == out->capacity) {
        out->capacity = out->capacity == 0 ? 16 : out->capacity * 2;
        out->items = g_renew(struct pool_action, out->items, out->capacity);
    }
    action = &out->items[out->count++];
    memset(action, 0, sizeof(*action));
    action->kind = kind;
    return action;
}

/* Free the list's memory; the list itself is the caller's. */
void
pool_actions_clear(struct pool_actions *out)
{
    g_free(out->items);
    memset(out, 0, sizeof(*out));
}

/* Refuse the event with a typed error; the caller has changed nothing. */
void
pool_refuse(struct pool_actions *out, enum err_code code, const char *format,
            ...)
{
    struct pool_action *action = pool_action_add(out, POOL_ACT_REFUSE);
    va_list args;

    action->u.refuse.code = code;
    va_start(args, format);
    g_vsnprintf(action->u.refuse.message, POOL_MESSAGE_MAX, format, args);
    va_end(args);
}

static struct pool_entry *
entry_new(struct pool_core *core, struct pool_id id)
{
    struct pool_entry *entry = g_new0(struct pool_entry, 1);
    size_t place = 0;

    entry->id = id;
    entry->overrides = g_array_new(FALSE, TRUE, sizeof(struct pool_override));
    entry->draining = g_array_new(FALSE, TRUE, sizeof(uint32_t));
    entry->view = g_array_new(FALSE, TRUE, sizeof(struct target_view));
    entry->scratch = g_array_new(FALSE, TRUE, sizeof(struct target_view));
    while (place < core->entries->len &&
           ((struct pool_entry *)core->entries->pdata[place])->id.value <
               id.value) {
        place++;
    }
    g_ptr_array_insert(core->entries, (int)place, entry);
    return entry;
}

/* Why ROW cannot be taken, or NULL. */
static const char *
row_fault(const struct pool_row *row)
{
    if (row->id.value == 0 || row->name == NULL || row->name[0] == '\0') {
        return "a pool row without a name; give it one";
    }
    if ((unsigned)row->prefer >= POOL_PREFER__MAX) {
        return "prefer is neither flows nor balance; set one of them";
    }
    for (size_t i = 0; i < row->override_count; i++) {
        if (row->overrides[i].weight == 0 ||
            row->overrides[i].weight > POOL_WEIGHT_MAX) {
            return "a weight outside 1 to 1000; to empty a target name it as "
                   "draining";
        }
    }
    return NULL;
}

/* Take ROW in; false if it is refused. */
static bool
row_set(struct pool_core *core, const struct pool_row *row,
        struct pool_actions *out)
{
    const char *fault = row_fault(row);
    struct pool_entry *entry;

    if (fault != NULL) {
        pool_refuse(out, ERR_INPUT, "%s", fault);
        return false;
    }
    entry = pool_entry_find(core, row->id);
    if (entry != NULL && row->version < entry->version) {
        pool_refuse(out, ERR_CONFLICT,
                    "pool %s: version %" G_GUINT64_FORMAT
                    " is older than %" G_GUINT64_FORMAT
                    " in force; read the row again",
                    row->name, row->version, entry->version);
        return false;
    }
    if (entry == NULL) {
        entry = entry_new(core, row->id);
    }
    g_strlcpy(entry->name, row->name, sizeof(entry->name));
    entry->version = row->version;
    entry->prefer = row->prefer;
    entry->queue_limit = row->queue_limit;
    entry->slots_limit = row->slots_limit;
    g_array_set_size(entry->overrides, 0);
    g_array_set_size(entry->draining, 0);
    if (row->override_count > 0) {
        g_array_append_vals(entry->overrides, row->overrides,
                            (unsigned)row->override_count);
    }
    if (row->draining_count > 0) {
        g_array_append_vals(entry->draining, row->draining,
                            (unsigned)row->draining_count);
    }
    entry->row_changed = true;
    return true;
}

static void
row_delete(struct pool_core *core, struct pool_id id, struct pool_actions *out)
{
    struct pool_entry *entry = pool_entry_find(core, id);

    if (entry == NULL) {
        pool_refuse(out, ERR_NOT_FOUND,
                    "the pool to delete does not exist; list the pools");
        return;
    }
    g_ptr_array_remove(core->entries, entry);
    pool_action_add(out, POOL_ACT_GONE)->u.gone = id;
}

/* Ask for a probe of each target whose time has come. */
static void
probe_due(struct pool_core *core, uint64_t now_us, struct pool_actions *out)
{
    for (size_t i = 0; i < core->targets->len; i++) {
        struct pool_target *target = core->targets->pdata[i];
        struct pool_action *action;

        if (target->expired || now_us < target->next_probe_us) {
            continue;
        }
        target->next_probe_us = now_us + core->options.probe_every_us;
        action = pool_action_add(out, POOL_ACT_PROBE);
        action->u.probe.key = target->said.key;
        action->u.probe.pool = target->said.pool;
        action->u.probe.port = target->said.port;
        action->u.probe.zone = target->said.zone;
    }
}

/* Review health if it is due or FORCE, and give out the changed views. */
static void
review(struct pool_core *core, uint64_t now_us, bool force,
       struct pool_actions *out)
{
    bool due = force || now_us >= core->next_review_us;

    if (due) {
        core->next_review_us = now_us + POOL_REVIEW_US;
    }
    core->counters.gauge_held = 0;
    for (size_t i = 0; i < core->entries->len; i++) {
        struct pool_entry *entry = core->entries->pdata[i];

        if (due) {
            pool_review(core, now_us, entry);
        }
        pool_view_publish(core, now_us, entry, out);
    }
    core->counters.gauge_targets = core->targets->len;
}

/*
 * Take EVENT at NOW_US and append what follows from it to OUT.  A refused
 * event changes nothing and gives POOL_ACT_REFUSE alone.
 */
void
pool_core_step(struct pool_core *core, uint64_t now_us,
               const struct pool_event *event, struct pool_actions *out)
{
    bool expired;

    switch (event->kind) {
    case POOL_EV_ROW_SET:
        if (row_set(core, &event->u.row, out)) {
            review(core, now_us, true, out);
        }
        break;
    case POOL_EV_ROW_DELETE:
        row_delete(core, event->u.row_delete, out);
        break;
    case POOL_EV_ANNOUNCE:
        if (pool_announce(core, now_us, event, out)) {
            review(core, now_us, true, out);
        }
        break;
    case POOL_EV_HEALTH:
        pool_health_read(core, event);
        break;
    case POOL_EV_LOAD:
        pool_load_read(core, now_us, event, out);
        break;
    case POOL_EV_EVIDENCE:
        pool_evidence_take(core, now_us, &event->u.evidence);
        break;
    case POOL_EV_TICK:
        expired = pool_expire(core, now_us);
        probe_due(core, now_us, out);
        review(core, now_us, expired, out);
        break;
    case POOL_EV__MAX:
        break;
    }
}
