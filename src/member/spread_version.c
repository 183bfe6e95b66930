/*
 * The versions that this daemon holds.  Staged is what it could put in force,
 * active is what it has in force; neither ever goes down.
 */
#include "member/spread_priv.h"

static void activate(struct spread_core *);

/* The versions that this daemon can serve to others. */
uint64_t
spread_have_staged(const struct spread_core *core)
{
    return core->leading ? MAX(core->committed, core->staged) : core->staged;
}

uint64_t
spread_have_active(const struct spread_core *core)
{
    return core->leading ? MAX(core->in_force, core->active) : core->active;
}

/* Put in force the highest staged version that is known to be. */
static void
activate(struct spread_core *core)
{
    uint64_t version = core->active;

    while (core->boundaries->len > 0 &&
           g_array_index(core->boundaries, uint64_t, 0) <= core->in_force) {
        version = g_array_index(core->boundaries, uint64_t, 0);
        g_array_remove_index(core->boundaries, 0);
    }
    if (version <= core->active) {
        return;
    }
    core->active = version;
    core->counters.activated++;
    spread_act(core, SPREAD_ACT_ACTIVATE)->u.activate = version;
}

/*
 * Stage BYTES if they follow on what is staged, or are a snapshot of a later
 * version.  False if they do not apply; nothing is changed then.
 */
bool
spread_stage(struct spread_core *core, const struct spread_bytes *bytes)
{
    struct spread_action *action;

    if (!core->options.entry || bytes->to <= core->staged ||
        (bytes->from != core->staged && bytes->from != 0)) {
        return false;
    }
    action = spread_act(core, SPREAD_ACT_STAGE);
    action->u.stage = *bytes;
    action->u.stage.data = spread_keep(core, bytes->data, bytes->len);
    core->staged = bytes->to;
    g_array_append_val(core->boundaries, core->staged);
    core->counters.staged++;
    activate(core);
    return true;
}

/* VERSION is in force somewhere, hence staged on all that were live. */
void
spread_learn_force(struct spread_core *core, uint64_t version)
{
    if (version > core->in_force) {
        core->in_force = version;
        activate(core);
    }
}

/*
 * Ask FROM for what follows on the staged version, not too often.  The leader
 * has all versions at hand, whatever it has staged as an entry daemon.
 */
void
spread_fetch(struct spread_core *core, struct daemon_id from)
{
    struct spread_message message = spread_start(core, SPREAD_FETCH);

    if (core->now_us < core->fetch_us || !core->options.entry) {
        return;
    }
    core->fetch_us = core->now_us + core->options.retry_ms * US_PER_MS;
    core->counters.fetched++;
    if (core->leading) {
        spread_on_fetch(core, core->options.self, core->staged);
        return;
    }
    if (from.value == core->options.self.value) {
        return;
    }
    message.staged = core->staged;
    spread_send(core, from, &message);
}

/*
 * A daemon that has STAGED asks for more.  One that lags behind what is in
 * force gets just that, so that it can put it in force at once.
 */
void
spread_on_fetch(struct spread_core *core, struct daemon_id from,
                uint64_t staged)
{
    uint64_t active = spread_have_active(core);
    uint64_t version = staged < active ? active : spread_have_staged(core);
    struct spread_action *action;

    if (version <= staged) {
        return;
    }
    action = spread_act(core, SPREAD_ACT_NEED);
    action->u.need.to = from;
    action->u.need.from = staged;
    action->u.need.version = version;
}

void
spread_on_difference(struct spread_core *core,
                     const struct spread_bytes *bytes)
{
    if (spread_stage(core, bytes)) {
        core->fetch_us = core->now_us;
        spread_jobs_staged(core);
        return;
    }
    core->counters.refused_version++;
}
