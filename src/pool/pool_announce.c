/* Announcements: who says that he serves which pool, and for how long. */
#include "pool/pool_internal.h"

#include <string.h>

/*
 * A peer's word of the same incarnation may be older than what is known;
 * it ends draining only if it is fresher by more than messages are delayed.
 */
#define POOL_FRESHER_US 1000000

static const char *announcement_fault(const struct pool_announcement *);
static void target_insert(struct pool_core *, struct pool_target *);
static void target_restart(struct pool_core *, struct pool_target *,
                           const struct pool_announcement *, uint64_t);

/* Why SAID cannot be taken, or NULL. */
static const char *
announcement_fault(const struct pool_announcement *said)
{
    if (said->pool.value == 0) {
        return "no pool is named; name the pool that the target serves";
    }
    if (said->key.address == 0 || said->port == 0) {
        return "address or port is 0; give the target's Geneve endpoint";
    }
    if (said->weight > POOL_WEIGHT_MAX) {
        return "weight is over 1000; give 1 to 1000, or 0 for the usual 100";
    }
    if (said->slots == 0 && said->connections == 0) {
        return "neither slots nor connections; give at least one of them";
    }
    if (said->state != TARGET_READY && said->state != TARGET_COLD &&
        said->state != TARGET_DRAINING) {
        return "unknown state; give ready, cold or draining";
    }
    return NULL;
}

static void
target_insert(struct pool_core *core, struct pool_target *target)
{
    size_t place = 0;

    while (
        place < core->targets->len &&
        ((struct pool_target *)core->targets->pdata[place])->said.key.address <
            target->said.key.address) {
        place++;
    }
    g_ptr_array_insert(core->targets, (int)place, target);
}

/* Start anew with what SAID tells; nothing of an earlier life counts. */
static void
target_restart(struct pool_core *core, struct pool_target *target,
               const struct pool_announcement *said, uint64_t now_us)
{
    uint64_t spread = core->options.probe_every_us;

    memset(target, 0, sizeof(*target));
    target->said = *said;
    target->back_off = 1;
    target->history.at_us = now_us;
    target->next_back_off_us = now_us;
    target->next_probe_us =
        now_us + (uint64_t)(g_rand_double(core->rand) * (double)spread);
    if (said->state == TARGET_COLD) {
        target->cold_since_us = now_us;
    }
}

/*
 * True if SAID, of the same pool and incarnation, is older than what TARGET
 * is known by.  Direct announcements are never older.
 */
static bool
is_stale(const struct pool_target *target,
         const struct pool_announcement *said, bool direct, uint64_t expire_us)
{
    bool ends_draining = target->said.state == TARGET_DRAINING &&
                         said->state != TARGET_DRAINING;

    if (direct) {
        return false;
    }
    if (ends_draining) {
        return expire_us < target->expire_us + POOL_FRESHER_US;
    }
    return expire_us <= target->expire_us;
}

static void
target_refresh(struct pool_target *target,
               const struct pool_announcement *said, uint64_t now_us,
               uint64_t expire_us)
{
    if (said->state == TARGET_COLD && target->said.state != TARGET_COLD) {
        target->cold_since_us = now_us;
    }
    target->said = *said;
    target->expire_us = MAX(target->expire_us, expire_us);
    target->expired = false;
}

/*
 * Refuse SAID beside what is known of its address, if a rule says so.  News
 * of an older incarnation from a peer is left out without a refusal.
 */
static bool
is_refused(struct pool_core *core, const struct pool_target *target,
           const struct pool_announcement *said, bool direct,
           struct pool_actions *out)
{
    uint32_t known = target->said.key.incarnation;

    if (said->key.incarnation < known) {
        core->counters.announcements_old++;
        if (direct) {
            pool_refuse(out, ERR_CONFLICT,
                        "incarnation %u is older than %u, which was seen "
                        "before; announce with %u or higher",
                        said->key.incarnation, known, known);
        }
        return true;
    }
    if (said->key.incarnation == known &&
        said->pool.value != target->said.pool.value) {
        core->counters.announcements_refused++;
        pool_refuse(out, ERR_INPUT,
                    "the address serves another pool with incarnation %u; "
                    "to change its pool announce with %u or higher",
                    known, known + 1);
        return true;
    }
    return false;
}

/*
 * Take an announcement, a target's own or one that a peer spreads.  Returns
 * false if it changed nothing.
 */
bool
pool_announce(struct pool_core *core, uint64_t now_us,
              const struct pool_event *event, struct pool_actions *out)
{
    struct pool_announcement said = event->u.announce.announcement;
    bool direct = event->u.announce.life_us == 0;
    uint64_t life = direct ? core->options.announce_life_us
                           : MIN(event->u.announce.life_us,
                                 core->options.announce_life_us);
    const char *fault = announcement_fault(&said);
    struct pool_target *target;

    if (fault != NULL) {
        core->counters.announcements_refused++;
        pool_refuse(out, ERR_INPUT, "announcement: %s", fault);
        return false;
    }
    said.weight = said.weight == 0 ? POOL_WEIGHT_USUAL : said.weight;
    target = pool_target_find(core, said.key.address);
    if (target == NULL && core->targets->len >= core->options.targets_max) {
        core->counters.announcements_refused++;
        pool_refuse(out, ERR_LIMIT,
                    "%u targets are known already; raise the limit",
                    core->options.targets_max);
        return false;
    }
    if (target != NULL && is_refused(core, target, &said, direct, out)) {
        return false;
    }
    core->counters.announcements++;
    if (target == NULL) {
        target = g_new0(struct pool_target, 1);
        target_restart(core, target, &said, now_us);
        target_insert(core, target);
    }
    else if (said.key.incarnation > target->said.key.incarnation) {
        core->counters.moved += said.pool.value != target->said.pool.value;
        target_restart(core, target, &said, now_us);
    }
    else if (is_stale(target, &said, direct, now_us + life)) {
        return false;
    }
    target_refresh(target, &said, now_us, now_us + life);
    return true;
}

/*
 * Mark targets whose announcement has expired; forget those long gone.
 * Returns true if any has expired now.
 */
bool
pool_expire(struct pool_core *core, uint64_t now_us)
{
    bool expired = false;
    size_t i = 0;

    while (i < core->targets->len) {
        struct pool_target *target = core->targets->pdata[i];

        if (!target->expired && now_us >= target->expire_us) {
            expired = true;
            target->expired = true;
            core->counters.expired++;
        }
        if (now_us >= target->expire_us + core->options.forget_us) {
            g_ptr_array_remove_index(core->targets, (unsigned)i);
            continue;
        }
        i++;
    }
    return expired;
}

bool
pool_core_announcement(const struct pool_core *core, uint32_t address,
                       uint64_t now_us, struct pool_announcement *said,
                       uint64_t *life_us)
{
    const struct pool_target *target = pool_target_find(core, address);

    if (target == NULL || now_us >= target->expire_us) {
        return false;
    }
    *said = target->said;
    *life_us = target->expire_us - now_us;
    return true;
}
