/* Pool rows, dispatch of events and probe requests of the pool core. */
#include "pool/pool_internal.h"

#include <stdarg.h>
#include <string.h>

#define POOL_REVIEW_US 250000 /* interval of health and slow start reviews */

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
static void request_due_probes(struct pool_core *, uint64_t,
                               struct pool_actions *);
static void review_and_publish(struct pool_core *, uint64_t, bool,
                               struct pool_actions *);

#define SET_DEFAULT(member)                                                   \
    if (core->options.member == 0) {                                          \
        core->options.member = pool_defaults.member;                          \
    }

/*
 * Return a new core, to be freed by pool_core_free().  Members of OPTIONS
 * that are 0 take their defaults.
 */
struct pool_core *
pool_core_new(const struct pool_options *options)
{
    struct pool_core *core = g_new0(struct pool_core, 1);

    core->options = *options;
    SET_DEFAULT(announce_life_us)
    SET_DEFAULT(forget_us)
    SET_DEFAULT(slow_start_us)
    SET_DEFAULT(probe_every_us)
    SET_DEFAULT(hold_us)
    SET_DEFAULT(load_fresh_us)
    SET_DEFAULT(unhealthy_percent)
    SET_DEFAULT(targets_max)
    SET_DEFAULT(seed)
    core->entries = g_ptr_array_new_with_free_func(entry_free);
    core->targets = g_ptr_array_new_with_free_func(g_free);
    core->rand = g_rand_new_with_seed(core->options.seed);
    return core;
}

/* Free CORE with its rows and targets. */
void
pool_core_free(struct pool_core *core)
{
    g_ptr_array_free(core->entries, TRUE);
    g_ptr_array_free(core->targets, TRUE);
    g_rand_free(core->rand);
    g_free(core);
}

/* Free DATA, a struct pool_entry. */
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

/* Return the counters of CORE, which owns them. */
const struct pool_counters *
pool_core_counters(const struct pool_core *core)
{
    return &core->counters;
}

/* Return the target at ADDRESS (IPv4, host order), or NULL. */
struct pool_target *
pool_target_find(const struct pool_core *core, uint32_t address)
{
    size_t low = 0;
    size_t high = core->targets->len;

    while (low < high) {
        size_t middle = (low + high) / 2;
        struct pool_target *target = core->targets->pdata[middle];

        if (target->announcement.key.address == address) {
            return target;
        }
        if (target->announcement.key.address < address) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return NULL;
}

/* Return the entry of pool ID, or NULL if it has no row. */
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

/*
 * Append an empty action of KIND to OUT and return it.  The pointer is valid
 * until the next action is added.
 */
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

/* Free the items of OUT and empty it; the caller owns OUT itself. */
void
pool_actions_clear(struct pool_actions *out)
{
    g_free(out->items);
    memset(out, 0, sizeof(*out));
}

/*
 * Add a refusal of the event with CODE and a formatted message to OUT.  The
 * caller must not have changed anything.
 */
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

/* Add an empty entry of pool ID to CORE, which owns it, and return it. */
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

/* Return why ROW is invalid (a static string), or NULL if it is valid. */
static const char *
row_error(const struct pool_row *row)
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

/*
 * Create or update the pool of ROW and return true.  Returns false and adds
 * a refusal to OUT if ROW is invalid or older than the row in force.
 */
static bool
row_set(struct pool_core *core, const struct pool_row *row,
        struct pool_actions *out)
{
    const char *error = row_error(row);
    struct pool_entry *entry;

    if (error != NULL) {
        pool_refuse(out, ERR_INPUT, "%s", error);
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

/* Delete pool ID and report it in OUT, or refuse if it does not exist. */
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
    pool_action_add(out, POOL_ACT_DELETED)->u.deleted = id;
}

/* Request a probe of each live target whose probe is due. */
static void
request_due_probes(struct pool_core *core, uint64_t now_us,
                   struct pool_actions *out)
{
    for (size_t i = 0; i < core->targets->len; i++) {
        struct pool_target *target = core->targets->pdata[i];
        struct pool_action *action;

        if (target->expired || now_us < target->next_probe_us) {
            continue;
        }
        target->next_probe_us = now_us + core->options.probe_every_us;
        action = pool_action_add(out, POOL_ACT_PROBE);
        action->u.probe.key = target->announcement.key;
        action->u.probe.pool = target->announcement.pool;
        action->u.probe.port = target->announcement.port;
        action->u.probe.zone = target->announcement.zone;
    }
}

/*
 * Review the health of all pools if that is due or FORCE is set, and publish
 * the views that changed.
 */
static void
review_and_publish(struct pool_core *core, uint64_t now_us, bool force,
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
 * Process EVENT at time NOW_US and append the resulting actions to OUT.  A
 * refused event changes nothing and adds only POOL_ACT_REFUSE.
 */
void
pool_core_step(struct pool_core *core, uint64_t now_us,
               const struct pool_event *event, struct pool_actions *out)
{
    bool expired;

    switch (event->kind) {
    case POOL_EV_ROW_SET:
        if (row_set(core, &event->u.row, out)) {
            review_and_publish(core, now_us, true, out);
        }
        break;
    case POOL_EV_ROW_DELETE:
        row_delete(core, event->u.row_delete, out);
        break;
    case POOL_EV_ANNOUNCE:
        if (pool_announce(core, now_us, event, out)) {
            review_and_publish(core, now_us, true, out);
        }
        break;
    case POOL_EV_HEALTH:
        pool_health_record(core, event);
        break;
    case POOL_EV_LOAD:
        pool_load_record(core, now_us, event, out);
        break;
    case POOL_EV_EVIDENCE:
        pool_evidence_add(core, now_us, &event->u.evidence);
        break;
    case POOL_EV_TICK:
        expired = pool_expire_targets(core, now_us);
        request_due_probes(core, now_us, out);
        review_and_publish(core, now_us, expired, out);
        break;
    case POOL_EV__MAX:
        break;
    }
}
