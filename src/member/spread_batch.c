/* Changes of targets, gathered and sent through the tree; refreshes. */
#include "member/spread_priv.h"

static void send_targets(struct spread_core *, struct daemon_id,
                         const struct spread_range *, bool relay,
                         const struct spread_target *, size_t);
static void send_to_all(struct spread_core *, const struct spread_target *,
                        size_t);
static void send_pending(struct spread_core *);
static void send_refreshes(struct spread_core *);

/* HELD was changed here and has to be spread with the next batch. */
void
spread_pend(struct spread_core *core, struct spread_held *held)
{
    if (!held->pending) {
        held->pending = true;
        g_ptr_array_add(core->pending, held);
    }
}

static void
send_targets(struct spread_core *core, struct daemon_id to,
             const struct spread_range *range, bool relay,
             const struct spread_target *items, size_t count)
{
    struct spread_message message = spread_start(core, SPREAD_TARGETS);

    message.u.targets.range = *range;
    message.u.targets.relay = relay;
    message.u.targets.items = items;
    message.u.targets.count = count;
    spread_send(core, to, &message);
}

/*
 * Send ITEMS to all of RANGE but this daemon: to the head of each part, which
 * passes them on.  ITEMS has to last until the next step.
 */
void
spread_relay_targets(struct spread_core *core,
                     const struct spread_range *range,
                     const struct spread_target *items, size_t count)
{
    GArray *parts = g_array_new(FALSE, TRUE, sizeof(struct spread_range));

    items = spread_keep(core, items, count * sizeof(*items));
    spread_part(core, range, parts);
    for (guint i = 0; i < parts->len; i++) {
        const struct spread_range *part =
            &g_array_index(parts, struct spread_range, i);
        size_t live;

        spread_live(core, part, &live);
        send_targets(core, spread_head(core, part, 0), part, live > 1, items,
                     count);
    }
    g_array_free(parts, TRUE);
}

/* Send ITEMS to all live entry daemons. */
static void
send_to_all(struct spread_core *core, const struct spread_target *items,
            size_t count)
{
    GArray *zones = spread_zones(core);
    bool few = core->live->len <= core->options.fanout;

    for (guint i = 0; i < zones->len; i++) {
        const struct spread_range *zone =
            &g_array_index(zones, struct spread_range, i);

        if (few || zone->zone == core->zone) {
            spread_relay_targets(core, zone, items, count);
            continue;
        }
        send_targets(core, spread_head(core, zone, 0), zone, true,
                     spread_keep(core, items, count * sizeof(*items)), count);
    }
    g_array_free(zones, TRUE);
}

/* Send the targets that changed here since the last batch. */
static void
send_pending(struct spread_core *core)
{
    GArray *items = g_array_new(FALSE, TRUE, sizeof(struct spread_target));

    for (guint i = 0; i < core->pending->len; i++) {
        struct spread_held *held = g_ptr_array_index(core->pending, i);

        held->pending = false;
        g_array_append_val(items, held->target);
        if (items->len == SPREAD_TARGETS_MAX || i + 1 == core->pending->len) {
            send_to_all(core, (struct spread_target *)items->data, items->len);
            g_array_set_size(items, 0);
        }
    }
    g_ptr_array_set_size(core->pending, 0);
    g_array_free(items, TRUE);
}

/* Tell each holder of which of its targets announcements came here. */
static void
send_refreshes(struct spread_core *core)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, core->holders);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct spread_holder *holder = value;
        struct spread_message message = spread_start(core, SPREAD_REFRESH);
        guint count = holder->refreshes->len;

        if (count == 0) {
            continue;
        }
        message.u.refresh.count = count;
        message.u.refresh.addresses = spread_keep(
            core, holder->refreshes->data, count * sizeof(uint32_t));
        spread_send(core, holder->id, &message);
        g_array_set_size(holder->refreshes, 0);
    }
}

void
spread_batch_tick(struct spread_core *core)
{
    if (core->pending->len > 0 && core->now_us >= core->batch_us) {
        core->batch_us = core->now_us + core->options.batch_ms * US_PER_MS;
        send_pending(core);
    }
    if (core->now_us >= core->refresh_us) {
        core->refresh_us = core->now_us + core->options.refresh_ms * US_PER_MS;
        send_refreshes(core);
    }
}
