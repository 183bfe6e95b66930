/* Handles announcements: which pool a target serves, and for how long. */
#include "pool/pool_internal.h"

#include <string.h>

/*
 * Upper limit of the delay of messages between peers.  An announcement that
 * a peer passes on may be older than the known one of the same incarnation,
 * so it ends draining only if it expires at least this much later.
 */
#define MESSAGE_DELAY_MAX_US 1000000

static const char *announcement_error(const struct pool_announcement *);
static void target_insert(struct pool_core *, struct pool_target *);
static void target_reset(struct pool_core *, struct pool_target *,
                         const struct pool_announcement *, uint64_t);

/* Return why ANNOUNCEMENT is invalid (a static string), or NULL if valid. */
static const char *
announcement_error(const struct pool_announcement *announcement)
{
    if (announcement->pool.value == 0) {
        return "no pool is named; name the pool that the target serves";
    }
    if (announcement->key.address == 0 || announcement->port == 0) {
        return "address or port is 0; give the target's Geneve endpoint";
    }
    if (announcement->weight > POOL_WEIGHT_MAX) {
        return "weight is over 1000; give 1 to 1000, or 0 for the default of "
               "100";
    }
    if (announcement->slots == 0 && announcement->connections == 0) {
        return "neither slots nor connections; give at least one of them";
    }
    if (announcement->state != TARGET_READY &&
        announcement->state != TARGET_COLD &&
        announcement->state != TARGET_DRAINING) {
        return "unknown state; give ready, cold or draining";
    }
    return NULL;
}

/* Insert TARGET into CORE in order of address; CORE takes ownership. */
static void
target_insert(struct pool_core *core, struct pool_target *target)
{
    size_t place = 0;

    while (place < core->targets->len &&
           ((struct pool_target *)core->targets->pdata[place])
                   ->announcement.key.address <
               target->announcement.key.address) {
        place++;
    }
    g_ptr_array_insert(core->targets, (int)place, target);
}

/*
 * Reset TARGET to the state of a new target with ANNOUNCEMENT.  Nothing
 * recorded about an earlier incarnation is kept.  The first probe is due at a
 * random time within the probe interval.
 */
static void
target_reset(struct pool_core *core, struct pool_target *target,
             const struct pool_announcement *announcement, uint64_t now_us)
{
    uint64_t spread = core->options.probe_every_us;

    memset(target, 0, sizeof(*target));
    target->announcement = *announcement;
    target->back_off_factor = 1;
    target->traffic.at_us = now_us;
    target->next_back_off_us = now_us;
    target->next_probe_us =
        now_us + (uint64_t)(g_rand_double(core->rand) * (double)spread);
    if (announcement->state == TARGET_COLD) {
        target->cold_since_us = now_us;
    }
}

/*
 * Return true if ANNOUNCEMENT is older than the known one of TARGET, which
 * has the same pool and incarnation.  Direct announcements are never older.
 */
static bool
is_stale(const struct pool_target *target,
         const struct pool_announcement *announcement, bool direct,
         uint64_t expire_us)
{
    bool ends_draining = target->announcement.state == TARGET_DRAINING &&
                         announcement->state != TARGET_DRAINING;

    if (direct) {
        return false;
    }
    if (ends_draining) {
        return expire_us < target->expire_us + MESSAGE_DELAY_MAX_US;
    }
    return expire_us <= target->expire_us;
}

/*
 * Store ANNOUNCEMENT in TARGET and extend its expiry to EXPIRE_US, never
 * shortening it.  A target that turns cold starts its slow start.
 */
static void
target_refresh(struct pool_target *target,
               const struct pool_announcement *announcement, uint64_t now_us,
               uint64_t expire_us)
{
    if (announcement->state == TARGET_COLD &&
        target->announcement.state != TARGET_COLD) {
        target->cold_since_us = now_us;
    }
    target->announcement = *announcement;
    target->expire_us = MAX(target->expire_us, expire_us);
    target->expired = false;
}

/*
 * Return true if ANNOUNCEMENT conflicts with the known TARGET of its address:
 * it has an older incarnation, or another pool with the same incarnation.
 * Adds a refusal to OUT, except for an older incarnation reported by a peer,
 * which is ignored.
 */
static bool
refuse_conflicting(struct pool_core *core, const struct pool_target *target,
                   const struct pool_announcement *announcement, bool direct,
                   struct pool_actions *out)
{
    uint32_t known = target->announcement.key.incarnation;

    if (announcement->key.incarnation < known) {
        core->counters.announcements_old++;
        if (direct) {
            pool_refuse(out, ERR_CONFLICT,
                        "incarnation %u is older than %u, which was seen "
                        "before; announce with %u or higher",
                        announcement->key.incarnation, known, known);
        }
        return true;
    }
    if (announcement->key.incarnation == known &&
        announcement->pool.value != target->announcement.pool.value) {
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
 * Process an announcement, sent by a target itself or passed on by a peer.
 * Returns false if it changed nothing; a refusal is added to OUT.
 */
bool
pool_announce(struct pool_core *core, uint64_t now_us,
              const struct pool_event *event, struct pool_actions *out)
{
    struct pool_announcement announcement = event->u.announce.announcement;
    bool direct = event->u.announce.life_us == 0;
    uint64_t life = direct ? core->options.announce_life_us
                           : MIN(event->u.announce.life_us,
                                 core->options.announce_life_us);
    const char *error = announcement_error(&announcement);
    struct pool_target *target;

    if (error != NULL) {
        core->counters.announcements_refused++;
        pool_refuse(out, ERR_INPUT, "announcement: %s", error);
        return false;
    }
    announcement.weight =
        announcement.weight == 0 ? POOL_WEIGHT_DEFAULT : announcement.weight;
    target = pool_target_find(core, announcement.key.address);
    if (target == NULL && core->targets->len >= core->options.targets_max) {
        core->counters.announcements_refused++;
        pool_refuse(out, ERR_LIMIT,
                    "%u targets are known already; raise the limit",
                    core->options.targets_max);
        return false;
    }
    if (target != NULL &&
        refuse_conflicting(core, target, &announcement, direct, out)) {
        return false;
    }
    core->counters.announcements++;
    if (target == NULL) {
        target = g_new0(struct pool_target, 1);
        target_reset(core, target, &announcement, now_us);
        target_insert(core, target);
    }
    else if (announcement.key.incarnation >
             target->announcement.key.incarnation) {
        core->counters.moved +=
            announcement.pool.value != target->announcement.pool.value;
        target_reset(core, target, &announcement, now_us);
    }
    else if (is_stale(target, &announcement, direct, now_us + life)) {
        return false;
    }
    target_refresh(target, &announcement, now_us, now_us + life);
    return true;
}

/*
 * Mark targets whose announcement has expired, and remove those that expired
 * forget_us ago.  Returns true if any target expired in this call.
 */
bool
pool_expire_targets(struct pool_core *core, uint64_t now_us)
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

/*
 * Copy the live announcement of ADDRESS and its remaining lifetime and return
 * true, or return false if there is none.
 */
bool
pool_core_announcement(const struct pool_core *core, uint32_t address,
                       uint64_t now_us, struct pool_announcement *announcement,
                       uint64_t *life_us)
{
    const struct pool_target *target = pool_target_find(core, address);

    if (target == NULL || now_us >= target->expire_us) {
        return false;
    }
    *announcement = target->announcement;
    *life_us = target->expire_us - now_us;
    return true;
}
