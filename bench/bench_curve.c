/*
 * The curve of broken flows against imbalance over the share of steered
 * slices: what steering costs when the lead dies, in hand-ons and in control
 * bytes, and what it gains in balance.  One pool of 14 targets.
 */
#include "flow_fleet.h"

#define DAEMONS   8
#define TARGETS   14
#define LONG      21000
#define NEW_PER_S 1500
#define LIFE_US   4500000
#define PERIOD_US 2000000
#define WARM_US   8000000
#define AFTER_US  6000000
#define DETECT_US 2000000
#define SEEDS     3

struct point {
    double max_mean;
    double broken; /* ppm of the flows held, by the lead's death */
    double bytes;  /* a second, of the lead */
    double handed_on;
    double off_map; /* flows a second */
};

static void feed(struct fleet *, uint64_t us);
static struct fleet *warm(uint32_t share, uint32_t budget, uint64_t seed);
static uint32_t lead_of(struct fleet *);
static void measure(struct point *, uint32_t share, uint32_t budget,
                    uint64_t seed);
static double balance(struct fleet *, uint64_t *held);
static void print_point(uint32_t share, uint32_t budget);

/* Let US pass while short flows come and go. */
static void
feed(struct fleet *fleet, uint64_t us)
{
    uint64_t count = NEW_PER_S * us / 1000000;

    for (uint64_t i = 0; i < count; i++) {
        uint64_t at = fleet->now + i * us / count;

        fleet_add_flow(fleet, 0, at, PERIOD_US, at + LIFE_US);
    }
    fleet_run(fleet, us);
}

static struct fleet *
warm(uint32_t share, uint32_t budget, uint64_t seed)
{
    struct fleet_options options = {
        .seed = seed,
        .delay_min_us = 1000,
        .delay_max_us = 3000,
        .view_delay_max_us = 300000,
        .flow = {.steered_balance = share, .replica_bytes_per_s = budget},
    };
    struct fleet *fleet = fleet_new(&options);

    fleet->pools = 1;
    fleet->prefer[0] = POOL_PREFER_BALANCE;
    for (uint32_t i = 0; i < TARGETS; i++) {
        fleet_add_target(fleet, 0, 100);
    }
    fleet_add_route(fleet, 0);
    for (uint32_t i = 0; i < DAEMONS; i++) {
        fleet_start_daemon(fleet, i);
    }
    fleet_run(fleet, 2000000);
    for (uint32_t i = 0; i < DAEMONS; i++) {
        fleet->daemons[i].bytes = 0;
        fleet->daemons[i].handed_on = 0;
    }
    for (uint32_t i = 0; i < LONG; i++) {
        fleet_add_flow(fleet, 0, fleet->now + fleet_random(fleet, 4000000),
                       PERIOD_US, 0);
    }
    feed(fleet, WARM_US);
    return fleet;
}

static uint32_t
lead_of(struct fleet *fleet)
{
    for (uint32_t i = 0; i < FLEET_DAEMONS; i++) {
        if (fleet->daemons[i].core != NULL &&
            flow_core_owns_pool(fleet->daemons[i].core, fleet_pool_id(0))) {
            return i;
        }
    }
    fprintf(stderr, "the pool has no lead\n");
    exit(1);
}

static double
balance(struct fleet *fleet, uint64_t *held)
{
    uint32_t counts[TARGETS] = {0};
    uint32_t max = 0;

    *held = 0;
    for (guint i = 0; i < fleet->flows->len; i++) {
        const struct fleet_flow *flow = fleet_flow_at(fleet, i);

        if (flow->state == FLEET_FLOW_OPEN && flow->target < TARGETS) {
            counts[flow->target]++;
            max = MAX(max, counts[flow->target]);
            *held += 1;
        }
    }
    return (double)max * TARGETS / (double)*held;
}

static void
measure(struct point *point, uint32_t share, uint32_t budget, uint64_t seed)
{
    struct fleet *fleet = warm(share, budget, seed);
    uint32_t lead = lead_of(fleet);
    double seconds = (double)WARM_US / 1000000;
    uint64_t held;

    point->max_mean += balance(fleet, &held) / SEEDS;
    point->bytes += (double)fleet->daemons[lead].bytes / seconds / SEEDS;
    point->off_map += (double)flow_core_counters(fleet->daemons[lead].core)
                          ->exceptions_opened /
                      seconds / SEEDS;
    for (uint32_t i = 0; i < DAEMONS; i++) {
        point->handed_on +=
            (double)fleet->daemons[i].handed_on / seconds / DAEMONS / SEEDS;
    }
    fleet_kill_daemon(fleet, lead);
    feed(fleet, DETECT_US);
    fleet_push_daemons(fleet);
    feed(fleet, AFTER_US);
    point->broken += (double)fleet->broken * 1000000 / (double)held / SEEDS;
    fleet_free(fleet);
}

static void
print_point(uint32_t share, uint32_t budget)
{
    struct point point = {0};

    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        measure(&point, share, budget, seed);
    }
    printf("curve.share_%u.budget_%u.max_mean %.4f ratio\n", share, budget,
           point.max_mean);
    printf("curve.share_%u.budget_%u.entry_death %.1f ppm\n", share, budget,
           point.broken);
    printf("curve.share_%u.budget_%u.off_map %.1f flows/s\n", share, budget,
           point.off_map);
    printf("curve.share_%u.budget_%u.control %.0f bytes/s\n", share, budget,
           point.bytes);
    printf("curve.share_%u.budget_%u.handon %.0f packets/s\n", share, budget,
           point.handed_on);
    fflush(stdout);
}

int
main(void)
{
    const uint32_t shares[] = {1, 16, 64, 128, 256, 512};
    const uint32_t budgets[] = {500, 8000};

    for (size_t i = 0; i < G_N_ELEMENTS(shares); i++) {
        print_point(shares[i], 2000);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(budgets); i++) {
        print_point(512, budgets[i]);
    }
    return 0;
}
