/*
 * Decides from health endpoint readings and traffic outcomes which targets
 * are held unhealthy.  Traffic takes precedence over endpoints.
 */
#include "pool/pool_internal.h"

#include <math.h>

#define HALF_LIFE_US               10000000 /* of the traffic counts */
#define FAILURES_TO_HOLD           3        /* consecutive health readings */
#define SUCCESSES_TO_RELEASE       2
#define ANSWERED_COUNT_MIN         3.0 /* fewer are no evidence */
#define UNANSWERED_COUNT_MIN       3.0
#define UNANSWERED_SHARE_HEALTHY   0.2 /* at most this share */
#define UNANSWERED_SHARE_UNHEALTHY 0.5 /* at least this share */
#define OUTLIER_COUNT_MIN          20.0
#define OUTLIER_SHARE_MARGIN       0.1 /* above the pool's other targets */
#define OUTLIER_SHARE_FACTOR       3.0
#define BACK_OFF_PERIOD_US         1000000 /* between changes of the factor */
#define BACK_OFF_REFUSED_SHARE     0.1     /* above this, weight is cut */
#define BACK_OFF_FACTOR_MIN        0.125
#define BACK_OFF_STEP              0.125
#define HOLD_FACTOR_MAX            8 /* times the length of the first hold */
#define TRIAL_US                   15000000 /* after a hold, for evidence */

static void decay(struct pool_traffic *, uint64_t);
static enum pool_hold hold_reason(const struct pool_core *,
                                  const struct pool_entry *,
                                  const struct pool_target *, uint64_t);
static void update_back_off(struct pool_target *, uint64_t);
static void hold_end(struct pool_target *, uint64_t);

/* Decay the counts of TRAFFIC from their last update to NOW_US. */
static void
decay(struct pool_traffic *traffic, uint64_t now_us)
{
    double factor;

    if (now_us <= traffic->at_us) {
        return;
    }
    factor = exp2(-(double)(now_us - traffic->at_us) / HALF_LIFE_US);
    traffic->answered *= factor;
    traffic->refused *= factor;
    traffic->unanswered *= factor;
    traffic->at_us = now_us;
}

/* Return the target of KEY, or NULL if no such incarnation is known. */
static struct pool_target *
target_by_key(const struct pool_core *core, struct target_key key)
{
    struct pool_target *target = pool_target_find(core, key.address);

    if (target == NULL ||
        target->announcement.key.incarnation != key.incarnation) {
        return NULL;
    }
    return target;
}

/* Record a reading of a health endpoint; a timeout counts as a failure. */
void
pool_health_record(struct pool_core *core, const struct pool_event *event)
{
    struct pool_target *target = target_by_key(core, event->u.health.key);

    if (target == NULL) {
        return;
    }
    if (event->u.health.result == POOL_HEALTH_OK) {
        target->successes++;
        target->failures = 0;
        return;
    }
    target->failures++;
    target->successes = 0;
}

/* Record a reading of a load endpoint; refuse a load outside 0 to 1. */
void
pool_load_record(struct pool_core *core, uint64_t now_us,
                 const struct pool_event *event, struct pool_actions *out)
{
    struct pool_target *target = target_by_key(core, event->u.load.key);
    double load = event->u.load.load;

    if (!(load >= 0 && load <= 1)) {
        pool_refuse(out, ERR_INPUT,
                    "load %g is outside 0 to 1; fix the load endpoint", load);
        return;
    }
    if (target == NULL || event->u.load.age_us >= now_us) {
        return;
    }
    target->load = load;
    target->load_at_us = now_us - event->u.load.age_us;
}

/* Add the traffic outcomes since the last report to the target's counts. */
void
pool_evidence_add(struct pool_core *core, uint64_t now_us,
                  const struct pool_evidence *evidence)
{
    struct pool_target *target = target_by_key(core, evidence->key);

    if (target == NULL ||
        target->announcement.pool.value != evidence->pool.value) {
        core->counters.evidence_unknown++;
        return;
    }
    decay(&target->traffic, now_us);
    target->traffic.answered += evidence->answered;
    target->traffic.refused += evidence->refused;
    target->traffic.unanswered += evidence->unanswered;
    target->interval_answered += evidence->answered;
    target->interval_refused += evidence->refused;
}

/* Return true if traffic proves TARGET healthy, whatever its endpoint says. */
bool
pool_traffic_healthy(const struct pool_target *target)
{
    const struct pool_traffic *traffic = &target->traffic;
    double total = traffic->answered + traffic->unanswered;

    return traffic->answered >= ANSWERED_COUNT_MIN &&
           traffic->unanswered <= UNANSWERED_SHARE_HEALTHY * total &&
           traffic->refused <= BACK_OFF_REFUSED_SHARE * total;
}

/* Return the share of unanswered work over the pool's other targets. */
static double
others_unanswered_share(const struct pool_core *core,
                        const struct pool_target *target)
{
    double answered = 0;
    double unanswered = 0;

    for (size_t i = 0; i < core->targets->len; i++) {
        const struct pool_target *other = core->targets->pdata[i];

        if (other != target && other->announcement.pool.value ==
                                   target->announcement.pool.value) {
            answered += other->traffic.answered;
            unanswered += other->traffic.unanswered;
        }
    }
    return unanswered == 0 ? 0 : unanswered / (answered + unanswered);
}

/*
 * Return true if traffic shows that TARGET is unhealthy: much of its work is
 * unanswered, or clearly more than at the pool's other targets.
 */
static bool
traffic_unhealthy(const struct pool_core *core,
                  const struct pool_target *target)
{
    const struct pool_traffic *traffic = &target->traffic;
    double total = traffic->answered + traffic->unanswered;
    double others_share;

    if (traffic->unanswered < UNANSWERED_COUNT_MIN) {
        return false;
    }
    if (traffic->unanswered >= UNANSWERED_SHARE_UNHEALTHY * total) {
        return true;
    }
    if (total < OUTLIER_COUNT_MIN) {
        return false;
    }
    others_share = others_unanswered_share(core, target);
    return traffic->unanswered >=
               (others_share + OUTLIER_SHARE_MARGIN) * total &&
           traffic->unanswered >= OUTLIER_SHARE_FACTOR * others_share * total;
}

/*
 * Return the reason to hold TARGET unhealthy, or POOL_HOLD_NONE.  The limit
 * on held targets is not considered here.
 */
static enum pool_hold
hold_reason(const struct pool_core *core, const struct pool_entry *entry,
            const struct pool_target *target, uint64_t now_us)
{
    if (target->expired || pool_target_is_draining(entry, target)) {
        return POOL_HOLD_NONE;
    }
    if (traffic_unhealthy(core, target)) {
        return POOL_HOLD_TRAFFIC;
    }
    if (target->failures >= FAILURES_TO_HOLD &&
        !pool_traffic_healthy(target) && now_us >= target->trial_until_us) {
        return POOL_HOLD_ENDPOINT;
    }
    return POOL_HOLD_NONE;
}

/*
 * Halve the back-off factor of a target that refuses work, and raise it again
 * in steps once it does not.
 */
static void
update_back_off(struct pool_target *target, uint64_t now_us)
{
    uint32_t total = target->interval_answered + target->interval_refused;

    if (now_us < target->next_back_off_us) {
        return;
    }
    if (target->interval_refused > BACK_OFF_REFUSED_SHARE * total) {
        target->back_off_factor =
            MAX(BACK_OFF_FACTOR_MIN, target->back_off_factor / 2);
    }
    else {
        target->back_off_factor =
            MIN(1, target->back_off_factor + BACK_OFF_STEP);
    }
    target->interval_answered = 0;
    target->interval_refused = 0;
    target->next_back_off_us = now_us + BACK_OFF_PERIOD_US;
}

/*
 * End a hold: TARGET goes through slow start again, and traffic counts start
 * from 0.
 */
static void
hold_end(struct pool_target *target, uint64_t now_us)
{
    target->hold = POOL_HOLD_NONE;
    target->cold_since_us = now_us;
    target->trial_until_us = now_us + TRIAL_US;
    target->traffic = (struct pool_traffic){.at_us = now_us};
}

/*
 * End the hold of TARGET if the target expired, its endpoint recovered or the
 * hold's time is over.  Only the end of the time starts a slow start and a
 * trial here.
 */
static void
hold_review(struct pool_target *target, uint64_t now_us)
{
    bool endpoint_recovered = target->hold == POOL_HOLD_ENDPOINT &&
                              (target->successes >= SUCCESSES_TO_RELEASE ||
                               pool_traffic_healthy(target));

    if (target->hold == POOL_HOLD_NONE) {
        return;
    }
    if (target->expired || endpoint_recovered) {
        target->hold = POOL_HOLD_NONE;
        return;
    }
    if (now_us >= target->hold_until_us) {
        hold_end(target, now_us);
    }
}

/*
 * Hold TARGET unhealthy.  Each repeated hold lasts twice as long as the one
 * before, up to HOLD_FACTOR_MAX times the first.
 */
static void
hold_begin(struct pool_core *core, struct pool_target *target,
           enum pool_hold hold, uint64_t now_us)
{
    unsigned factor = MIN(1U << MIN(target->hold_count, 3U), HOLD_FACTOR_MAX);

    target->hold = hold;
    target->hold_count++;
    target->hold_until_us = now_us + core->options.hold_us * factor;
    core->counters.held_by_traffic += hold == POOL_HOLD_TRAFFIC;
    core->counters.held_by_endpoint += hold == POOL_HOLD_ENDPOINT;
}

/*
 * Return the number of live targets of ENTRY that are not draining, and store
 * in HELD how many of them are held.
 */
static unsigned
count_live(const struct pool_core *core, const struct pool_entry *entry,
           unsigned *held)
{
    unsigned live = 0;

    *held = 0;
    for (size_t i = 0; i < core->targets->len; i++) {
        const struct pool_target *target = core->targets->pdata[i];

        if (target->announcement.pool.value == entry->id.value &&
            !target->expired && !pool_target_is_draining(entry, target)) {
            live++;
            *held += target->hold != POOL_HOLD_NONE;
        }
    }
    return live;
}

/*
 * Return how many of LIVE targets may be held for the reason HOLD.  Endpoints
 * alone hold at most the configured share of a pool; traffic may also hold one
 * target of a pool too small for that share.  At least one target is never
 * held.
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

/*
 * Release one target held by its endpoint, to allow another hold.  Returns
 * false if there is none.
 */
static bool
release_endpoint_hold(struct pool_core *core, const struct pool_entry *entry)
{
    for (size_t i = 0; i < core->targets->len; i++) {
        struct pool_target *target = core->targets->pdata[i];

        if (target->announcement.pool.value == entry->id.value &&
            target->hold == POOL_HOLD_ENDPOINT) {
            target->hold = POOL_HOLD_NONE;
            return true;
        }
    }
    return false;
}

/*
 * Return the target with the highest ratio of unanswered to answered work
 * among those that are not held but should be for the reason HOLD, or NULL.
 */
static struct pool_target *
worst_target(struct pool_core *core, const struct pool_entry *entry,
             enum pool_hold hold, uint64_t now_us)
{
    struct pool_target *found = NULL;
    double highest = -1;

    for (size_t i = 0; i < core->targets->len; i++) {
        struct pool_target *target = core->targets->pdata[i];
        double unanswered_ratio =
            target->traffic.unanswered / (target->traffic.answered + 1);

        if (target->announcement.pool.value == entry->id.value &&
            target->hold == POOL_HOLD_NONE && unanswered_ratio > highest &&
            hold_reason(core, entry, target, now_us) == hold) {
            found = target;
            highest = unanswered_ratio;
        }
    }
    return found;
}

/*
 * Hold targets for the reason HOLD, worst first, up to the limit of held
 * targets.  At the limit a hold by traffic replaces one by an endpoint.
 */
static void
hold_worst(struct pool_core *core, const struct pool_entry *entry,
           enum pool_hold hold, uint64_t now_us)
{
    struct pool_target *target;

    while ((target = worst_target(core, entry, hold, now_us)) != NULL) {
        unsigned held;
        unsigned live = count_live(core, entry, &held);

        if (held >= hold_limit(core, live, hold) &&
            !(hold == POOL_HOLD_TRAFFIC &&
              release_endpoint_hold(core, entry))) {
            core->counters.holds_denied++;
            return;
        }
        hold_begin(core, target, hold, now_us);
    }
}

/*
 * Return the target of ENTRY held by traffic that has the least unanswered
 * work, or NULL.
 */
static struct pool_target *
best_held_target(struct pool_core *core, const struct pool_entry *entry)
{
    struct pool_target *found = NULL;

    for (size_t i = 0; i < core->targets->len; i++) {
        struct pool_target *target = core->targets->pdata[i];

        if (target->announcement.pool.value == entry->id.value &&
            target->hold == POOL_HOLD_TRAFFIC && !target->expired &&
            !pool_target_is_draining(entry, target) &&
            (found == NULL ||
             target->traffic.unanswered < found->traffic.unanswered)) {
            found = target;
        }
    }
    return found;
}

/* Release targets while more are held than the limit allows. */
static void
enforce_hold_limit(struct pool_core *core, const struct pool_entry *entry,
                   uint64_t now_us)
{
    unsigned held;
    unsigned live = count_live(core, entry, &held);

    while (held > hold_limit(core, live, POOL_HOLD_ENDPOINT) &&
           release_endpoint_hold(core, entry)) {
        live = count_live(core, entry, &held);
    }
    while (held > hold_limit(core, live, POOL_HOLD_TRAFFIC)) {
        hold_end(best_held_target(core, entry), now_us);
        live = count_live(core, entry, &held);
    }
}

/*
 * Review the targets of ENTRY: decay the traffic counts, update back-off, and
 * end and begin holds.
 */
void
pool_review(struct pool_core *core, uint64_t now_us, struct pool_entry *entry)
{
    for (size_t i = 0; i < core->targets->len; i++) {
        struct pool_target *target = core->targets->pdata[i];
        double before = target->back_off_factor;
        bool endpoint_ignored;

        if (target->announcement.pool.value != entry->id.value) {
            continue;
        }
        decay(&target->traffic, now_us);
        hold_review(target, now_us);
        update_back_off(target, now_us);
        core->counters.backed_off += target->back_off_factor < before;
        endpoint_ignored = target->failures >= FAILURES_TO_HOLD &&
                           pool_traffic_healthy(target);
        core->counters.endpoint_ignored +=
            endpoint_ignored && !target->endpoint_ignored;
        target->endpoint_ignored = endpoint_ignored;
    }
    enforce_hold_limit(core, entry, now_us);
    hold_worst(core, entry, POOL_HOLD_TRAFFIC, now_us);
    hold_worst(core, entry, POOL_HOLD_ENDPOINT, now_us);
}
