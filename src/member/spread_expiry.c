/*
 * Targets that are no longer announced.  A holder lets its own expire and
 * says so; the targets of a dead holder are used on for their life, in which
 * they announce themselves to another daemon.
 */
#include "member/spread_priv.h"

static bool is_usable(struct spread_core *, const struct spread_held *);
static void tell(struct spread_core *, const struct spread_target *);
static void expire_mine(struct spread_core *);
static bool look_at_all(struct spread_core *);
static bool is_forgotten(struct spread_core *, const struct spread_held *);
static bool is_told_same(const struct spread_target *,
                         const struct spread_target *);

static bool
is_usable(struct spread_core *core, const struct spread_held *held)
{
    const struct spread_target *target = &held->target;
    const struct spread_holder *holder = spread_holder(core, target->holder);

    if (target->view.state == TARGET_DOWN) {
        return false;
    }
    return holder->live ||
           core->now_us - holder->gone_us < target->life_ms * US_PER_MS;
}

static void
tell(struct spread_core *core, const struct spread_target *target)
{
    spread_act(core, SPREAD_ACT_TARGET)->u.target = *target;
}

/* Whether A and B differ in nothing that those who use targets see. */
static bool
is_told_same(const struct spread_target *a, const struct spread_target *b)
{
    return a->pool.value == b->pool.value &&
           a->view.key.incarnation == b->view.key.incarnation &&
           a->view.port == b->view.port && a->view.weight == b->view.weight &&
           a->view.slots == b->view.slots &&
           a->view.connections == b->view.connections &&
           a->view.zone == b->view.zone && a->view.state == b->view.state;
}

/*
 * Tell those who use targets what has changed about HELD.  An address that
 * changed hands goes down in its old pool first.
 */
void
spread_show(struct spread_core *core, struct spread_held *held)
{
    struct spread_target down = held->shown;
    bool usable = is_usable(core, held);

    down.view.state = TARGET_DOWN;
    if (held->visible &&
        (!usable || held->shown.pool.value != held->target.pool.value)) {
        tell(core, &down);
        held->visible = false;
    }
    if (!usable ||
        (held->visible && is_told_same(&held->target, &held->shown))) {
        return;
    }
    held->visible = true;
    held->shown = held->target;
    tell(core, &held->target);
}

/* Let the targets held here expire that were not announced in time. */
static void
expire_mine(struct spread_core *core)
{
    GHashTableIter iter;
    gpointer key;

    g_hash_table_iter_init(&iter, core->mine);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        struct spread_held *held = key;

        if (held->target.view.state == TARGET_DOWN ||
            core->now_us < held->expires_us) {
            continue;
        }
        core->counters.targets_expired++;
        g_ptr_array_add(core->expired, held);
    }
    for (guint i = 0; i < core->expired->len; i++) {
        struct spread_held *held = g_ptr_array_index(core->expired, i);
        struct spread_target down = held->target;

        down.view.state = TARGET_DOWN;
        spread_change(core, held, &down);
    }
    g_ptr_array_set_size(core->expired, 0);
}

/* Whether HELD was of no use for so long that it may be dropped. */
static bool
is_forgotten(struct spread_core *core, const struct spread_held *held)
{
    const struct spread_holder *holder =
        spread_holder(core, held->target.holder);
    uint64_t kept_us = (held->target.life_ms + GONE_KEPT_MS) * US_PER_MS;

    if (held->pending) {
        return false;
    }
    if (held->target.view.state == TARGET_DOWN) {
        return core->now_us - held->down_us >
               core->options.forget_ms * US_PER_MS;
    }
    return !holder->live && core->now_us - holder->gone_us > kept_us;
}

/*
 * Look at every target: its holder may be gone, or it may be forgotten.  True
 * if some holder is gone, and a look is due again soon.
 */
static bool
look_at_all(struct spread_core *core)
{
    GHashTableIter iter;
    gpointer value;
    bool orphans = false;

    g_hash_table_iter_init(&iter, core->targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct spread_held *held = value;

        spread_show(core, held);
        orphans |= held->target.view.state != TARGET_DOWN &&
                   !spread_holder(core, held->target.holder)->live;
        if (is_forgotten(core, held)) {
            spread_uncount(core, held);
            g_hash_table_iter_remove(&iter);
        }
    }
    return orphans;
}

/* The view has changed: note which holders are gone and which are back. */
void
spread_holders_changed(struct spread_core *core)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, core->holders);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct spread_holder *holder = value;
        bool live = holder->id.value == core->options.self.value ||
                    spread_is_live(core, holder->id);

        if (live == holder->live) {
            continue;
        }
        holder->live = live;
        holder->gone_us = core->now_us;
        core->look_us = core->now_us;
        if (!live) {
            g_array_set_size(holder->refreshes, 0);
        }
    }
}

/* Look for what has expired, from time to time. */
void
spread_expire(struct spread_core *core)
{
    if (core->now_us < core->expiry_us) {
        return;
    }
    core->expiry_us = core->now_us + EXPIRY_MS * US_PER_MS;
    expire_mine(core);
    if (core->now_us >= core->look_us) {
        bool soon = look_at_all(core);

        core->look_us =
            core->now_us + (soon ? LOOK_MS : LOOK_RARELY_MS) * US_PER_MS;
    }
}
