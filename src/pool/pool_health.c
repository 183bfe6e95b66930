/*
 * Health: what endpoints say and what traffic shows, and which targets are
 * held unhealthy for it.  Traffic outweighs endpoints.
 */
#include "pool/pool_internal.h"

#include <math.h>

#define HALF_LIFE_US     10000000 /* of traffic's counts */
#define FAILS_TO_HOLD    3        /* health readings in a row */
#define OKS_TO_RELEASE   2
#define ANSWERED_MIN     3.0 /* counts that make evidence */
#define UNANSWERED_MIN   3.0
#define UNANSWERED_GOOD  0.2 /* share, at most */
#define UNANSWERED_BAD   0.5 /* share, at least */
#define OUTLIER_MIN      20.0
#define OUTLIER_OVER     0.1 /* share above that of the pool's others */
#define OUTLIER_TIMES    3.0
#define BACK_OFF_US      1000000 /* between changes of a back-off */
#define BACK_OFF_REFUSED 0.1     /* share of refusals that cuts the weight */
#define BACK_OFF_FLOOR   0.125
#define BACK_OFF_RISE    0.125
#define HOLD_TIMES_MAX   8        /* of the first hold's length */
#define TRIAL_US         15000000 /* after a hold, for traffic to tell */

static void decay(struct pool_history *, uint64_t);
static enum pool_hold verdict(const struct pool_core *,
                              const struct pool_entry *,
                              const struct pool_target *, uint64_t);
static void back_off(struct pool_target *, uint64_t);
static void hold_end(struct pool_target *, uint64_t);

static void
decay(struct pool_history *history, uint64_t now_us)
{
    double factor;

    if (now_us <= history->at_us) {
        return;
    }
    factor = exp2(-(double)(now_us - history->at_us) / HALF_LIFE_US);
    history->answered *= factor;
    history->refused *= factor;
    history->unanswered *= factor;
    history->at_us = now_us;
}

/* The target that KEY names, if that is its present incarnation. */
static struct pool_target *
find_key(const struct pool_core *core, struct target_key key)
{
    struct pool_target *target = pool_target_find(core, key.address);

    if (target == NULL || target->said.key.incarnation != key.incarnation) {
        return NULL;
    }
    return target;
}

/* Take a reading of a health endpoint; a timeout counts as a failure. */
void
pool_health_read(struct pool_core *core, const struct pool_event *event)
{
    struct pool_target *target = find_key(core, event->u.health.key);

    if (target == NULL) {
        return;
    }
    if (event->u.health.result == POOL_HEALTH_OK) {
        target->oks++;
        target->fails = 0;
        return;
    }
    target->fails++;
    target->oks = 0;
}

/* Take a reading of a load endpoint; outside 0 to 1 it is refused. */
void
pool_load_read(struct pool_core *core, uint64_t now_us,
               const struct pool_event *event, struct pool_actions *out)
{
    struct pool_target *target = find_key(core, event->u.load.key);
    double load = event->u.load.load;

    if (!(load >= 0 && load <= 1)) {
        pool_refuse(out, ERR_INPUT,
                    "load %g is outside 0 to 1; mend the load endpoint", load);
        return;
    }
    if (target == NULL || event->u.load.age_us >= now_us) {
        return;
    }
    target->load = load;
    target->load_at_us = now_us - event->u.load.age_us;
}

/* Add what traffic has shown since the last report. */
void
pool_evidence_take(struct pool_core *core, uint64_t now_us,
                   const struct pool_evidence *evidence)
{
    struct pool_target *target = find_key(core, evidence->key);

    if (target == NULL || target->said.pool.value != evidence->pool.value) {
        core->counters.evidence_unknown++;
        return;
    }
    decay(&target->history, now_us);
    target->history.answered += evidence->answered;
    target->history.refused += evidence->refused;
    target->history.unanswered += evidence->unanswered;
    target->second_answered += evidence->answered;
    target->second_refused += evidence->refused;
}

/* True if traffic shows that TARGET answers, whatever its endpoint says. */
bool
pool_traffic_good(const struct pool_target *target)
{
    const struct pool_history *history = &target->history;
    double both = history->answered + history->unanswered;

    return history->answered >= ANSWERED_MIN &&
           history->unanswered <= UNANSWERED_GOOD * both &&
           history->refused <= BACK_OFF_REFUSED * both;
}

/* The share of unanswered work over the pool's other targets. */
static double
others_share(const struct pool_core *core, const struct pool_target *target)
{
    double answered = 0;
    double unanswered = 0;

    for (size_t i = 0; i < core->targets->len; i++) {
        const struct pool_target *other = core->targets->pdata[i];

        if (other != target &&
            other->said.pool.value == target->said.pool.value) {
            answered += other->history.answered;
            unanswered += other->history.unanswered;
        }
    }
    return unanswered == 0 ? 0 : unanswered / (answered + unanswered);
}

static bool
traffic_bad(const struct pool_core *core, const struct pool_target *target)
{
    const struct pool_history *history = &target->history;
    double both = history->answered + history->unanswered;
    double others;

    if (history->unanswered < UNANSWERED_MIN) {
        return false;
    }
    if (history->unanswered >= UNANSWERED_BAD * both) {
        return true;
    }
    if (both < OUTLIER_MIN) {
        return false;
    }
    others = others_share(core, target);
    return history->unanswered >= (others + OUTLIER_OVER) * both &&
           history->unanswered >= OUTLIER_TIMES * others * both;
}

/* What TARGET is to be held for, the floor left out of account. */
static enum pool_hold
verdict(const struct pool_core *core, const struct pool_entry *entry,
        const struct pool_target *target, uint64_t now_us)
{
    if (target->expired || pool_target_drains(entry, target)) {
        return POOL_HOLD_NONE;
    }
    if (traffic_bad(core, target)) {
        return POOL_HOLD_TRAFFIC;
    }
    if (target->fails >= FAILS_TO_HOLD && !pool_traffic_good(target) &&
        now_us >= target->trial_until_us) {
        return POOL_HOLD_ENDPOINT;
    }
    return POOL_HOLD_NONE;
}

/* Halve the share of a target that refuses work; give it back in steps. */
static void
back_off(struct pool_target *target, uint64_t now_us)
{
    uint32_t both = target->second_answered + target->second_refused;

    if (now_us < target->next_back_off_us) {
        return;
    }
    if (target->second_refused > BACK_OFF_REFUSED * both) {
        target->back_off = MAX(BACK_OFF_FLOOR, target->back_off / 2);
    }
    else {
        target->back_off = MIN(1, target->back_off + BACK_OFF_RISE);
    }
    target->second_answered = 0;
    target->second_refused = 0;
    target->next_back_off_us = now_us + BACK_OFF_US;
}

/* End a hold: the target ramps up again and traffic tells of it anew. */
static void
hold_end(struct pool_target *target, uint64_t now_us)
{
    target->hold = POOL_HOLD_NONE;
    target->cold_since_us = now_us;
    target->trial_until_us = now_us + TRIAL_US;
    target->history = (struct pool_history){.at_us = now_us};
}

static void
hold_review(struct pool_target *target, uint64_t now_us)
{
    bool endpoint_fine =
        target->hold == POOL_HOLD_ENDPOINT &&
        (target->oks >= OKS_TO_RELEASE || pool_traffic_good(target));

    if (target->hold == POOL_HOLD_NONE) {
        return;
    }
    if (target->expired || endpoint_fine) {
        target->hold = POOL_HOLD_NONE;
        return;
    }
    if (now_us >= target->hold_until_us) {
        hold_end(target, now_us);
    }
}

static void
hold_begin(struct pool_core *core, struct pool_target *target,
           enum pool_hold hold, uint64_t now_us)
{
    unsigned times = MIN(1U << MIN(target->hold_count, 3U), HOLD_TIMES_MAX);

    target->hold = hold;
    target->hold_count++;
    target->hold_until_us = now_us + core->options.hold_us * times;
    core->counters.held_by_traffic += hold == POOL_HOLD_TRAFFIC;
    core->counters.held_by_endpoint += hold == POOL_HOLD_ENDPOINT;
}

/* Live targets that do not drain, and how many of them are held. */
static unsigned
count_live(const struct pool_core *core, const struct pool_entry *entry,
           unsigned *held)
{
    unsigned live = 0;

    *held = 0;
    for (size_t i = 0; i < core->targets->len; i++) {
        const struct pool_target *target = core->targets->pdata[i];

        if (target->said.pool.value == entry->id.value && !target->expired &&
            !pool_target_drains(entry, target)) {
            live++;
            *held += target->hold != POOL_HOLD_NONE;
        }
    }
    return live;
}

/*
 * The most targets of LIVE that may be held for HOLD.  Endpoints alone hold
 * at most the configured share; traffic may hold one of a small pool too.
 * One target is always left.
 */
static unsigned
hold_limit(const struct pool_core *core, unsigned live, enum pool_hold hold)
{
    unsigned limit = live * core->options.unhealthy_percent / 100;

    if (hold == POOL_HOLD_TRAFFIC && limit == 0) {
        limit = 1;
    }
    return live == 0 ? 0 : MIN(limit, live - 1);
}

/* Release one target held by its endpoint, to make room; false if none. */
static bool
release_endpoint(struct pool_core *core, const struct pool_entry *entry)
{
    for (size_t i = 0; i < core->targets->len; i++) {
        struct pool_target *target = core->targets->pdata[i];

        if (target->said.pool.value == entry->id.value &&
            target->hold == POOL_HOLD_ENDPOINT) {
            target->hold = POOL_HOLD_NONE;
            return true;
        }
    }
    return false;
}

/* The target with the worst verdict HOLD that is not held, or NULL. */
static struct pool_target *
worst(struct pool_core *core, const struct pool_entry *entry,
      enum pool_hold hold, uint64_t now_us)
{
    struct pool_target *found = NULL;
    double most = -1;

    for (size_t i = 0; i < core->targets->len; i++) {
        struct pool_target *target = core->targets->pdata[i];
        double badness =
            target->history.unanswered / (target->history.answered + 1);

        if (target->said.pool.value == entry->id.value &&
            target->hold == POOL_HOLD_NONE && badness > most &&
            verdict(core, entry, target, now_us) == hold) {
            found = target;
            most = badness;
        }
    }
    return found;
}

/* Hold targets for HOLD, worst first, down to the floor. */
static void
hold_worst(struct pool_core *core, const struct pool_entry *entry,
           enum pool_hold hold, uint64_t now_us)
{
    struct pool_target *target;

    while ((target = worst(core, entry, hold, now_us)) != NULL) {
        unsigned held;
        unsigned live = count_live(core, entry, &held);

        if (held >= hold_limit(core, live, hold) &&
            !(hold == POOL_HOLD_TRAFFIC && release_endpoint(core, entry))) {
            core->counters.held_back_by_floor++;
            return;
        }
        hold_begin(core, target, hold, now_us);
    }
}

/* The held target of ENTRY that has the best record, or NULL. */
static struct pool_target *
least_bad(struct pool_core *core, const struct pool_entry *entry)
{
    struct pool_target *found = NULL;

    for (size_t i = 0; i < core->targets->len; i++) {
        struct pool_target *target = core->targets->pdata[i];

        if (target->said.pool.value == entry->id.value &&
            target->hold == POOL_HOLD_TRAFFIC && !target->expired &&
            !pool_target_drains(entry, target) &&
            (found == NULL ||
             target->history.unanswered < found->history.unanswered)) {
            found = target;
        }
    }
    return found;
}

/* Release targets that the floor no longer allows to be held. */
static void
keep_floor(struct pool_core *core, const struct pool_entry *entry,
           uint64_t now_us)
{
    unsigned held;
    unsigned live = count_live(core, entry, &held);

    while (held > hold_limit(core, live, POOL_HOLD_ENDPOINT) &&
           release_endpoint(core, entry)) {
        live = count_live(core, entry, &held);
    }
    while (held > hold_limit(core, live, POOL_HOLD_TRAFFIC)) {
        hold_end(least_bad(core, entry), now_us);
        live = count_live(core, entry, &held);
    }
}

/* Review the targets of ENTRY: decay, back-off, holds that end or begin. */
void
pool_review(struct pool_core *core, uint64_t now_us, struct pool_entry *entry)
{
    for (size_t i = 0; i < core->targets->len; i++) {
        struct pool_target *target = core->targets->pdata[i];
        double before = target->back_off;
        bool overruled;

        if (target->said.pool.value != entry->id.value) {
            continue;
        }
        decay(&target->history, now_us);
        hold_review(target, now_us);
        back_off(target, now_us);
        core->counters.backed_off += target->back_off < before;
        overruled =
            target->fails >= FAILS_TO_HOLD && pool_traffic_good(target);
        core->counters.endpoint_overruled += overruled && !target->overruled;
        target->overruled = overruled;
    }
    keep_floor(core, entry, now_us);
    hold_worst(core, entry, POOL_HOLD_TRAFFIC, now_us);
    hold_worst(core, entry, POOL_HOLD_ENDPOINT, now_us);
}
