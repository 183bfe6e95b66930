/* Cost of a packet and of a flow at a lead that holds 500,000 flows. */
#include <time.h>

#include "flow_fleet.h"

#define FLOWS   500000
#define LOOKUPS 4000000
#define ROUNDS  5
#define TARGETS 14

static uint64_t clock_ns(void);
static struct flow_packet packet_of(uint32_t flow, uint8_t flags);
static struct flow_core *make_core(enum pool_prefer);
static void tick(struct flow_core *, uint64_t *now);
static double open_all(struct flow_core *, uint64_t *now);
static double lookup_all(struct flow_core *, uint64_t now);
static int compare(const void *, const void *);
static double median(double *, size_t);

static uint64_t
clock_ns(void)
{
    struct timespec time;

    clock_gettime(CLOCK_MONOTONIC, &time);
    return (uint64_t)time.tv_sec * 1000000000 + (uint64_t)time.tv_nsec;
}

static struct flow_packet
packet_of(uint32_t flow, uint8_t flags)
{
    return (struct flow_packet){
        .src = 0x64000000u + flow * 7,
        .src_port = (uint16_t)(1024 + flow % 50000),
        .dst = 0xc0a80001u,
        .dst_port = 443,
        .protocol = IPPROTO_TCP,
        .tcp_flags = flags,
        .payload_len = 100,
    };
}

static void
tick(struct flow_core *core, uint64_t *now)
{
    struct flow_event event = {.kind = FLOW_EV_TICK};
    struct flow_actions actions = {0};

    *now += FLEET_TICK_US;
    flow_core_step(core, *now, &event, &actions);
    flow_actions_free(&actions);
}

/* A core that leads one pool of 14 targets, alone. */
static struct flow_core *
make_core(enum pool_prefer prefer)
{
    struct flow_options options = {.self = {1}, .seed = 1};
    struct flow_core *core = flow_core_new(&options);
    struct target_view targets[TARGETS] = {0};
    struct pool_view pool = {.id = {1},
                             .prefer = prefer,
                             .target_count = TARGETS,
                             .targets = targets};
    struct route_view route = {
        .address = 0xc0a80001u, .kind = ROUTE_STREAM, .pool = {1}};
    struct daemon_view daemon = {
        .id = {1}, .incarnation = 1, .state = DAEMON_ALIVE, .entry = true};
    struct flow_event events[3] = {{.kind = FLOW_EV_ROUTES},
                                   {.kind = FLOW_EV_POOL},
                                   {.kind = FLOW_EV_DAEMONS}};
    struct flow_actions actions = {0};
    uint64_t now = 1000000;

    for (uint32_t i = 0; i < TARGETS; i++) {
        targets[i].key.address = FLEET_ADDRESS + i;
        targets[i].key.incarnation = 1;
        targets[i].weight = 100;
        targets[i].connections = FLOWS;
    }
    events[0].u.routes.items = &route;
    events[0].u.routes.count = 1;
    events[0].u.routes.version = 1;
    events[1].u.pool = &pool;
    events[2].u.daemons.items = &daemon;
    events[2].u.daemons.count = 1;
    for (int i = 0; i < 3; i++) {
        flow_core_step(core, now, &events[i], &actions);
    }
    flow_actions_free(&actions);
    for (int i = 0; i < 4; i++) {
        tick(core, &now);
    }
    return core;
}

/* Open all flows, with a tick every thousand; nanoseconds for each. */
static double
open_all(struct flow_core *core, uint64_t *now)
{
    uint64_t start = clock_ns();

    for (uint32_t i = 0; i < FLOWS; i++) {
        struct flow_packet packet = packet_of(i, FLEET_SYN);
        struct flow_verdict verdict = flow_core_packet(core, *now, &packet);

        if (verdict.kind != FLOW_FORWARD) {
            fprintf(stderr, "flow %u was not opened: %s\n", i,
                    flow_reason_name(verdict.reason));
            exit(1);
        }
        if (i % 1000 == 0) {
            tick(core, now);
        }
    }
    return (double)(clock_ns() - start) / FLOWS;
}

/* Packets of flows taken in a scattered order; nanoseconds for each. */
static double
lookup_all(struct flow_core *core, uint64_t now)
{
    uint64_t start = clock_ns();
    uint32_t flow = 1;

    for (uint32_t i = 0; i < LOOKUPS; i++) {
        struct flow_packet packet = packet_of(flow, FLEET_ACK);
        struct flow_verdict verdict = flow_core_packet(core, now, &packet);

        if (verdict.kind != FLOW_FORWARD) {
            fprintf(stderr, "flow %u was not found: %s\n", flow,
                    flow_reason_name(verdict.reason));
            exit(1);
        }
        flow = (flow * 48271u + 11) % FLOWS;
    }
    return (double)(clock_ns() - start) / LOOKUPS;
}

static int
compare(const void *a, const void *b)
{
    double x = *(const double *)a;
    double y = *(const double *)b;

    return x < y ? -1 : x > y;
}

static double
median(double *values, size_t count)
{
    qsort(values, count, sizeof(*values), compare);
    return values[count / 2];
}

int
main(void)
{
    double opens[ROUNDS];
    double lookups[ROUNDS];
    double bytes = 0;

    for (int round = 0; round < ROUNDS; round++) {
        struct flow_core *core = make_core(POOL_PREFER_BALANCE);
        uint64_t now = 2000000;

        opens[round] = open_all(core, &now);
        tick(core, &now);
        lookups[round] = lookup_all(core, now);
        bytes = (double)flow_core_counters(core)->table_bytes / FLOWS;
        flow_core_free(core);
    }
    printf("flow.lookup_ns %.1f ns\n", median(lookups, ROUNDS));
    printf("flow.open_ns %.1f ns\n", median(opens, ROUNDS));
    printf("flow.bytes_per_flow %.1f bytes\n", bytes);
    return 0;
}
