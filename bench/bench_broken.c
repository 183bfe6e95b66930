/*
 * Flows broken by one change, in parts per million of the flows held, beside
 * what hashing alone breaks; balance; and the control traffic.  8 daemons,
 * 14 and 4 targets of 2,000 flows each, 2,000 new flows a second, packets of
 * every flow sprayed over all daemons.
 */
#include <inttypes.h>

#include "flow_fleet.h"

#define DAEMONS   8
#define BIG       14   /* targets of the first pool */
#define SMALL     4    /* of the second */
#define LONG_PER  1500 /* long flows for each target */
#define NEW_PER_S 2000
#define LIFE_US   4500000 /* of a short flow */
#define PERIOD_US 2000000 /* between two packets of a flow */
#define WARM_US   8000000
#define AFTER_US  12000000
#define DETECT_US 2000000 /* before the others know of a death */
#define PPM       1000000.0
#define CUSTOMERS 2

enum change {
    TARGET_JOIN,
    TARGET_DRAIN,
    TARGET_DEATH,
    ENTRY_DEATH,
    ENTRY_JOIN,
    ROUTE_EDIT,
    ENTRY_STOP,
    TARGET_WEIGHT,
    JOIN_AND_DRAIN,
    TWO_DEATHS,
    CHANGE__MAX
};

static const char *const names[CHANGE__MAX] = {
    "target_join",    "target_drain",    "target_death_other", "entry_death",
    "entry_join",     "route_edit",      "entry_stop",         "target_weight",
    "join_and_drain", "two_entry_deaths"};

/* Hashing without state: the index of a flow's target among COUNT. */
struct baseline {
    const char *name;
    uint32_t (*choose)(uint64_t hash, const uint32_t *targets, uint32_t count);
};

struct result {
    double broken; /* ppm */
    double baseline[2];
    double local_state;
    double max_mean;
    double hash_max_mean;
    double bytes_max; /* per second and daemon */
    double bytes_mean;
    double event_bytes_max;
    double handed_on; /* packets per second and daemon */
    uint64_t late;
    uint64_t wrong;
    uint64_t missing;
};

static uint32_t choose_modulo(uint64_t, const uint32_t *, uint32_t);
static uint32_t choose_consistent(uint64_t, const uint32_t *, uint32_t);
static struct fleet *warm(uint32_t customer);
static void feed(struct fleet *, uint64_t us);
static uint32_t lead_of(struct fleet *, uint32_t pool);
static uint32_t ready(struct fleet *, uint32_t pool, uint32_t *out);
static void apply_change(struct fleet *, enum change);
static void target_change(struct fleet *, enum change);
static uint32_t future_lead(void);
static void entry_change(struct fleet *, enum change);
static void note_before(struct fleet *, struct result *);
static double broken_by(struct fleet *, enum change, const struct baseline *,
                        uint64_t held);
static double held_by_dead(struct fleet *, uint64_t held);
static struct result measure(uint32_t customer, enum change);
static double max_mean(const uint32_t *, uint32_t);
static void print_change(enum change, const struct result *);

static const struct baseline baselines[2] = {
    {"modulo", choose_modulo}, {"consistent", choose_consistent}};

static uint32_t
choose_modulo(uint64_t hash, const uint32_t *targets, uint32_t count)
{
    return targets[hash % count];
}

static uint32_t
choose_consistent(uint64_t hash, const uint32_t *targets, uint32_t count)
{
    uint32_t best = targets[0];
    uint64_t best_weight = 0;

    for (uint32_t i = 0; i < count; i++) {
        uint64_t weight = hash_pair(hash, targets[i]);

        if (weight >= best_weight) {
            best_weight = weight;
            best = targets[i];
        }
    }
    return best;
}

/* The targets of POOL that take new flows. */
static uint32_t
ready(struct fleet *fleet, uint32_t pool, uint32_t *out)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < fleet->target_count; i++) {
        const struct fleet_target *target = &fleet->targets[i];

        if (target->alive && target->pool == pool &&
            target->view.state == TARGET_READY) {
            out[count++] = i;
        }
    }
    return count;
}

/* Let US pass while short flows come and go. */
static void
feed(struct fleet *fleet, uint64_t us)
{
    uint64_t count = NEW_PER_S * us / 1000000;

    for (uint64_t i = 0; i < count; i++) {
        uint64_t at = fleet->now + i * us / count;
        uint32_t route = i % (BIG + SMALL) < BIG ? 0 : 1;

        fleet_add_flow(fleet, route, at, PERIOD_US, at + LIFE_US);
    }
    fleet_run(fleet, us);
}

/* A fleet that holds its long flows; Fiji prefers flows, Ghana balance. */
static struct fleet *
warm(uint32_t customer)
{
    struct fleet_options options = {
        .seed = 20261204 + customer,
        .delay_min_us = 1000,
        .delay_max_us = 3000,
        .view_delay_max_us = 300000,
    };
    struct fleet *fleet = fleet_new(&options);

    fleet->pools = 2;
    for (uint32_t pool = 0; pool < 2; pool++) {
        fleet->prefer[pool] =
            customer == 0 ? POOL_PREFER_FLOWS : POOL_PREFER_BALANCE;
    }
    for (uint32_t i = 0; i < BIG + SMALL; i++) {
        fleet_add_target(fleet, i < BIG ? 0 : 1, 100);
    }
    fleet_add_route(fleet, 0);
    fleet_add_route(fleet, 1);
    for (uint32_t i = 0; i < DAEMONS; i++) {
        fleet_start_daemon(fleet, i);
    }
    fleet_run(fleet, 2000000);
    for (uint32_t i = 0; i < LONG_PER * (BIG + SMALL); i++) {
        fleet_add_flow(fleet, i % (BIG + SMALL) < BIG ? 0 : 1,
                       fleet->now + fleet_random(fleet, 4000000), PERIOD_US,
                       0);
    }
    for (uint32_t i = 0; i < DAEMONS; i++) {
        fleet->daemons[i].bytes = 0;
        fleet->daemons[i].handed_on = 0;
    }
    feed(fleet, WARM_US);
    return fleet;
}

static uint32_t
lead_of(struct fleet *fleet, uint32_t pool)
{
    for (uint32_t i = 0; i < FLEET_DAEMONS; i++) {
        if (fleet->daemons[i].core != NULL &&
            flow_core_owns_pool(fleet->daemons[i].core, fleet_pool_id(pool))) {
            return i;
        }
    }
    fprintf(stderr, "pool %u has no lead\n", pool);
    exit(1);
}

static void
target_change(struct fleet *fleet, enum change change)
{
    struct fleet_target *third = &fleet->targets[2];

    if (change == TARGET_JOIN || change == JOIN_AND_DRAIN) {
        fleet_add_target(fleet, 0, 100);
    }
    if (change == TARGET_DRAIN || change == JOIN_AND_DRAIN) {
        third->view.state = TARGET_DRAINING;
        third->drained_us = fleet->now;
    }
    if (change == TARGET_WEIGHT) {
        third->view.weight = 50;
    }
    if (change == TARGET_DEATH) {
        third->alive = false;
        fleet_run(fleet, DETECT_US);
    }
    fleet_push_pool(fleet, 0);
}

/* A daemon not started yet that will lead the first pool. */
static uint32_t
future_lead(void)
{
    struct daemon_view views[FLEET_DAEMONS] = {0};
    struct daemon_id lead;

    for (uint32_t i = 0; i < FLEET_DAEMONS; i++) {
        views[i].id = fleet_daemon_id(i);
        views[i].entry = true;
    }
    lead = view_owner(fleet_pool_id(0), views, FLEET_DAEMONS);
    for (uint32_t i = DAEMONS; i < FLEET_DAEMONS; i++) {
        if (views[i].id.value == lead.value) {
            return i;
        }
    }
    return DAEMONS;
}

static void
entry_change(struct fleet *fleet, enum change change)
{
    uint32_t lead = lead_of(fleet, 0);

    if (change == ENTRY_JOIN) {
        fleet_start_daemon(fleet, future_lead());
        return;
    }
    if (change == ENTRY_STOP) {
        fleet_stop_daemon(fleet, lead);
        feed(fleet, AFTER_US);
        if (!fleet->daemons[lead].stopped) {
            fprintf(stderr, "the planned stop took more than 12 s\n");
            exit(1);
        }
        fleet_kill_daemon(fleet, lead);
        fleet_push_daemons(fleet);
        return;
    }
    fleet_kill_daemon(fleet, lead);
    feed(fleet, DETECT_US);
    fleet_push_daemons(fleet);
    if (change == TWO_DEATHS) {
        feed(fleet, AFTER_US);
        fleet_kill_daemon(fleet, lead_of(fleet, 0));
        feed(fleet, DETECT_US);
        fleet_push_daemons(fleet);
    }
}

static void
apply_change(struct fleet *fleet, enum change change)
{
    switch (change) {
    case TARGET_JOIN:
    case TARGET_DRAIN:
    case TARGET_DEATH:
    case TARGET_WEIGHT:
    case JOIN_AND_DRAIN:
        target_change(fleet, change);
        break;
    case ENTRY_DEATH:
    case ENTRY_JOIN:
    case ENTRY_STOP:
    case TWO_DEATHS:
        entry_change(fleet, change);
        break;
    case ROUTE_EDIT:
        fleet->edited = true;
        fleet->routes[0].pool = fleet_pool_id(1);
        fleet_push_routes(fleet);
        break;
    case CHANGE__MAX:
        break;
    }
}

static double
max_mean(const uint32_t *counts, uint32_t count)
{
    double sum = 0;
    double max = 0;

    for (uint32_t i = 0; i < count; i++) {
        sum += counts[i];
        max = MAX(max, counts[i]);
    }
    return max * count / sum;
}

/* Balance over the first pool, ours and a plain hash's, and traffic. */
static void
note_before(struct fleet *fleet, struct result *result)
{
    uint32_t ours[BIG] = {0};
    uint32_t hashed[BIG] = {0};
    double seconds = (double)WARM_US / 1000000;

    for (guint i = 0; i < fleet->flows->len; i++) {
        const struct fleet_flow *flow = fleet_flow_at(fleet, i);

        if (flow->state == FLEET_FLOW_OPEN && flow->target < BIG) {
            ours[flow->target]++;
            hashed[hash_pair(flow->src, flow->port) % BIG]++;
        }
    }
    result->max_mean = max_mean(ours, BIG);
    result->hash_max_mean = max_mean(hashed, BIG);
    for (uint32_t i = 0; i < DAEMONS; i++) {
        const struct fleet_daemon *daemon = &fleet->daemons[i];
        double rate = (double)daemon->bytes / seconds;

        result->bytes_max = MAX(result->bytes_max, rate);
        result->bytes_mean += rate / DAEMONS;
        result->handed_on += (double)daemon->handed_on / seconds / DAEMONS;
    }
}

/* What BASELINE breaks of the flows held, by hashing before and after. */
static double
broken_by(struct fleet *fleet, enum change change,
          const struct baseline *baseline, uint64_t held)
{
    uint32_t before[FLEET_TARGETS];
    uint32_t after[FLEET_TARGETS];
    uint32_t before_count = BIG;
    uint32_t after_count = ready(fleet, change == ROUTE_EDIT ? 1 : 0, after);
    uint64_t broken = 0;

    for (uint32_t i = 0; i < BIG; i++) {
        before[i] = i;
    }
    for (guint i = 0; i < fleet->flows->len; i++) {
        const struct fleet_flow *flow = fleet_flow_at(fleet, i);
        uint64_t hash = hash_pair(flow->src, flow->port);
        uint32_t was = baseline->choose(hash, before, before_count);

        if (flow->route != 0 || flow->end_us != 0 ||
            !fleet->targets[was].alive) {
            continue;
        }
        broken += was != baseline->choose(hash, after, after_count);
    }
    return (double)broken * PPM / (double)held;
}

/* What is lost with a daemon where each alone knows the flows it opened. */
static double
held_by_dead(struct fleet *fleet, uint64_t held)
{
    uint64_t broken = 0;

    for (guint i = 0; i < fleet->flows->len; i++) {
        const struct fleet_flow *flow = fleet_flow_at(fleet, i);
        uint64_t opener = hash_pair(flow->port, flow->src) % DAEMONS;

        broken += flow->end_us == 0 && fleet->daemons[opener].core == NULL;
    }
    return (double)broken * PPM / (double)held;
}

static struct result
measure(uint32_t customer, enum change change)
{
    struct fleet *fleet = warm(customer);
    struct result result = {0};
    uint64_t held = 0;
    uint64_t start = fleet->now;
    uint64_t bytes[FLEET_DAEMONS];

    note_before(fleet, &result);
    for (guint i = 0; i < fleet->flows->len; i++) {
        held += fleet_flow_at(fleet, i)->state == FLEET_FLOW_OPEN;
    }
    for (uint32_t i = 0; i < FLEET_DAEMONS; i++) {
        bytes[i] = fleet->daemons[i].bytes;
    }
    apply_change(fleet, change);
    feed(fleet, AFTER_US);
    for (uint32_t i = 0; i < FLEET_DAEMONS; i++) {
        double rate = (double)(fleet->daemons[i].bytes - bytes[i]) * 1000000 /
                      (double)(fleet->now - start);

        result.event_bytes_max = MAX(result.event_bytes_max, rate);
    }
    for (guint i = 0; i < fleet->flows->len; i++) {
        const struct fleet_flow *flow = fleet_flow_at(fleet, i);

        result.missing += flow->state == FLEET_FLOW_OPEN && !flow->broken &&
                          fleet_target_holds(fleet, flow) &&
                          flow->unanswered > 2;
    }
    result.broken =
        (double)(fleet->broken + result.missing) * PPM / (double)held;
    for (int i = 0; i < 2; i++) {
        result.baseline[i] = broken_by(fleet, change, &baselines[i], held);
    }
    result.local_state = held_by_dead(fleet, held);
    result.late = fleet->late_new_work;
    result.wrong = fleet->wrong_service;
    fleet_free(fleet);
    return result;
}

static void
print_change(enum change change, const struct result *results)
{
    const struct result *worse =
        results[0].broken >= results[1].broken ? &results[0] : &results[1];

    printf("broken.%s %.1f ppm\n", names[change], worse->broken);
    for (int i = 0; i < 2; i++) {
        printf("broken.%s.%s %.1f ppm\n", names[change], baselines[i].name,
               worse->baseline[i]);
    }
    if (worse->local_state > 0) {
        printf("broken.%s.local_state %.1f ppm\n", names[change],
               worse->local_state);
    }
    printf("broken.%s.control_bytes_per_s %.0f bytes/s\n", names[change],
           MAX(results[0].event_bytes_max, results[1].event_bytes_max));
    if (results[0].late + results[1].late + results[0].wrong +
            results[1].wrong !=
        0) {
        printf("broken.%s.new_work_after_3s %" PRIu64 " flows\n",
               names[change], results[0].late + results[1].late);
        printf("broken.%s.wrong_service %" PRIu64 " packets\n", names[change],
               results[0].wrong + results[1].wrong);
    }
    fflush(stdout);
}

int
main(void)
{
    struct result results[CUSTOMERS] = {{0}};

    for (int change = 0; change < CHANGE__MAX; change++) {
        for (uint32_t customer = 0; customer < CUSTOMERS; customer++) {
            results[customer] = measure(customer, (enum change)change);
        }
        print_change((enum change)change, results);
    }
    printf("balance.flows_max_mean %.4f ratio\n", results[1].max_mean);
    printf("balance.flows_max_mean.hash %.4f ratio\n",
           results[1].hash_max_mean);
    printf("balance.flows_max_mean_prefer_flows %.4f ratio\n",
           results[0].max_mean);
    printf("balance.flows_max_mean_prefer_flows.hash %.4f ratio\n",
           results[0].hash_max_mean);
    for (int i = 0; i < CUSTOMERS; i++) {
        const char *suffix = i == 0 ? ".prefer_flows" : "";

        printf("flow.control_bytes_per_s%s %.0f bytes/s\n", suffix,
               results[i].bytes_max);
        printf("flow.control_bytes_per_s_mean%s %.0f bytes/s\n", suffix,
               results[i].bytes_mean);
        printf("flow.handon_packets_per_s%s %.0f packets/s\n", suffix,
               results[i].handed_on);
    }
    return 0;
}
