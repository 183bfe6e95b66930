/* The model's events: callers that ask, targets that work. */
#include <math.h>
#include <string.h>

#include "model_world.h"

#define TICK_US 100000

static void push(struct world *, uint64_t at_us, enum event_kind,
                 struct flow *, unsigned target);
static void arrive(struct world *);
static void open_flow(struct world *, struct flow *);
static void request(struct world *, struct flow *);
static void begin_work(struct world *, unsigned target, struct flow *);
static void done(struct world *, unsigned target, struct flow *);
static void answer(struct world *, struct flow *);
static void finish(struct world *, struct flow *, bool served);
static void retry(struct world *, struct flow *);
static void tick(struct world *);
static void disturb(struct world *);
static uint64_t draw_exponential(struct world *, double mean_us);
static void sum_up(struct world *);
static bool step(struct world *, uint64_t end_us);

const struct model_pattern model_patterns[] = {
    {.name = "calm", .what = "nothing happens"},
    {.name = "burst", .what = "many callers at once", .burst = 1.8},
    {.name = "overload", .what = "more than the targets do", .overload = 2.0},
    {.name = "shift", .what = "callers change zone", .shift = 0.5},
    {.name = "lost", .what = "targets fall silent", .lost = 0.15},
    {.name = "release", .what = "targets start anew, cold", .replaced = 0.45},
    {.name = "slow", .what = "targets turn slow", .slow = 0.16},
    {.name = "entries", .what = "entry daemons are lost", .entries_lost = 0.5},
    {.name = NULL},
};

static const char *const way_names[MODEL_WAY__MAX] = {
    [MODEL_PRODUCT] = "product",         [MODEL_HASH] = "hash",
    [MODEL_ROUND_ROBIN] = "round-robin", [MODEL_TWO_STALE] = "two-stale",
    [MODEL_ALL_KNOWING] = "all-knowing",
};

const char *
model_way_name(enum model_way way)
{
    return way < MODEL_WAY__MAX ? way_names[way] : "none";
}

static void
push(struct world *world, uint64_t at_us, enum event_kind kind,
     struct flow *flow, unsigned target)
{
    struct event *event = g_new0(struct event, 1);

    event->kind = kind;
    event->flow = flow;
    event->target = target;
    model_queue_push(&world->events, at_us, event);
}

static uint64_t
draw_exponential(struct world *world, double mean_us)
{
    return (uint64_t)(-log(1.0 - g_rand_double(world->rand)) * mean_us) + 1;
}

/* New flows come at a rate that keeps the slots at the wanted load. */
static void
arrive(struct world *world)
{
    const struct model_pattern *pattern = world->options.pattern;
    double requests_per_us =
        world->options.load * world->target_count * SLOTS / WORK_US;
    double flows_per_us = requests_per_us * (1.0 - LASTING) +
                          requests_per_us * LASTING / REQUESTS;
    struct flow *flow = g_new0(struct flow, 1);

    if (pattern->burst > 0 && world->now_us >= 6000000 &&
        world->now_us < 9000000) {
        flows_per_us *= pattern->burst;
    }
    if (pattern->overload > 0 && world->now_us >= 6000000) {
        flows_per_us *= pattern->overload;
    }
    push(world, world->now_us + draw_exponential(world, 1.0 / flows_per_us),
         EVENT_ARRIVE, NULL, 0);
    flow->port = (uint16_t)(1024 + world->port++ % 64000);
    flow->zone = (unsigned)g_rand_int_range(world->rand, 0,
                                            (gint32)world->options.zones);
    if (flow->zone == 0 && world->now_us >= 6000000 &&
        g_rand_double(world->rand) < pattern->shift) {
        flow->zone = 1 % world->options.zones;
    }
    flow->lasting = g_rand_double(world->rand) * flows_per_us <
                    requests_per_us * LASTING / REQUESTS;
    flow->asked_us = world->now_us;
    push(world, world->now_us, EVENT_OPEN, flow, 0);
}

/* The fabric hashes over the entry daemons of the zone that are left. */
static void
open_flow(struct world *world, struct flow *flow)
{
    unsigned per_zone = world->options.entries;
    unsigned left = per_zone;
    const struct target *target;
    uint64_t trip_us = TRIP_US;

    if (flow->open) {
        return;
    }
    if (world->now_us > 6000000) {
        left -= (unsigned)(per_zone * world->options.pattern->entries_lost);
    }
    flow->entry = flow->zone * per_zone + flow->port % left;
    if (flow->copies == 0) {
        flow->opened_us = world->now_us;
        world->flows++;
    }
    flow->copies++;
    flow->target = model_place(world, flow);
    if (flow->target == MODEL_REFUSED) {
        flow->target = 0;
        world->result->refused++;
        retry(world, flow);
        return;
    }
    target = &world->targets[flow->target];
    world->remote += target->zone != flow->zone && flow->copies == 1 ? 1 : 0;
    if (target->silent) {
        if (world->now_us + (uint64_t)COPY_US * flow->copies >
            flow->opened_us + GIVE_UP_US) {
            retry(world, flow);
        }
        else {
            push(world, world->now_us + (uint64_t)COPY_US * flow->copies,
                 EVENT_OPEN, flow, 0);
        }
        return;
    }
    flow->open = true;
    trip_us += target->zone != flow->zone ? REMOTE_US : 0;
    push(world, world->now_us + trip_us, EVENT_REQUEST, flow, 0);
}

/* A request reaches the target, or finds it silent or full. */
static void
request(struct world *world, struct flow *flow)
{
    struct target *target = &world->targets[flow->target];

    model_tell_packet(world, flow, AFFINITY_ACK, 0);
    model_tell_packet(world, flow, AFFINITY_ACK, 900);
    if (target->silent || target->waiting.length >= QUEUE_MAX) {
        model_tell_packet(world, flow, AFFINITY_RST, 0);
        flow->open = false;
        retry(world, flow);
        return;
    }
    if (target->busy < SLOTS) {
        begin_work(world, flow->target, flow);
    }
    else {
        g_queue_push_tail(&target->waiting, flow);
    }
}

static void
begin_work(struct world *world, unsigned at, struct flow *flow)
{
    struct target *target = &world->targets[at];
    double times = 1.0;
    uint64_t work_us = draw_exponential(world, WORK_US / 2.0) + WORK_US / 2;

    times *= world->now_us < target->cold_until_us ? COLD_TIMES : 1.0;
    times *= target->slow ? SLOW_TIMES : 1.0;
    target->busy++;
    work_us = MIN(work_us, (uint64_t)WORK_US * WORK_MAX);
    push(world, world->now_us + (uint64_t)((double)work_us * times),
         EVENT_DONE, flow, at);
}

static void
done(struct world *world, unsigned at, struct flow *flow)
{
    struct target *target = &world->targets[at];

    target->busy--;
    if (!target->silent) {
        push(world, world->now_us + TRIP_US / 2, EVENT_ANSWER, flow, at);
    }
    else {
        push(world, world->now_us + LIMIT_US, EVENT_ANSWER, flow, at);
    }
    if (target->waiting.length > 0) {
        begin_work(world, at, g_queue_pop_head(&target->waiting));
    }
}

static void
answer(struct world *world, struct flow *flow)
{
    flow->acknowledged += 1000;
    model_tell_packet(world, flow, AFFINITY_ACK, 0);
    flow->requests++;
    finish(world, flow, true);
    if (!flow->lasting || flow->requests >= REQUESTS ||
        world->targets[flow->target].silent) {
        model_tell_packet(world, flow, AFFINITY_FIN, 0);
        g_free(flow);
        return;
    }
    flow->retries = 0;
    flow->asked_us = world->now_us + draw_exponential(world, THINK_US);
    push(world, flow->asked_us + TRIP_US, EVENT_REQUEST, flow, 0);
}

/* Count the outcome of the request that FLOW carries. */
static void
finish(struct world *world, struct flow *flow, bool served)
{
    uint64_t took_us = world->now_us - flow->asked_us;
    size_t window =
        MIN(flow->asked_us / MODEL_WINDOW_US, (uint64_t)MODEL_WINDOWS_MAX - 1);
    bool in_goal = served && took_us <= GOAL_US;

    world->result->asked++;
    world->result->in_goal += in_goal ? 1 : 0;
    world->result->late += served && !in_goal && took_us <= LIMIT_US ? 1 : 0;
    world->result->failed += !served || took_us > LIMIT_US ? 1 : 0;
    world->zone_asked[flow->zone]++;
    world->zone_in_goal[flow->zone] += in_goal ? 1 : 0;
    world->window_asked[window]++;
    world->window_in_goal[window] += in_goal ? 1 : 0;
    if (served) {
        g_array_append_val(world->latencies, took_us);
    }
}

/* The caller tries again on a new flow, if it has tries and time left. */
static void
retry(struct world *world, struct flow *flow)
{
    if (flow->retries >= RETRIES ||
        world->now_us - flow->asked_us > LIMIT_US) {
        finish(world, flow, false);
        g_free(flow);
        return;
    }
    flow->retries++;
    flow->copies = 0;
    flow->port = (uint16_t)(1024 + world->port++ % 64000);
    push(world, world->now_us + TRIP_US, EVENT_OPEN, flow, 0);
}

/* What the pattern does to targets. */
static void
disturb(struct world *world)
{
    const struct model_pattern *pattern = world->options.pattern;
    unsigned per_zone = world->target_count / world->options.zones;
    uint64_t step = world->now_us / TICK_US;

    for (unsigned i = 0; i < world->target_count; i++) {
        struct target *target = &world->targets[i];
        double place = ((double)(i % per_zone) + 0.5) / per_zone;

        target->slow = place < pattern->slow && world->now_us >= 6000000 &&
                       world->now_us < 12000000;
        target->silent = target->silent ||
                         (place < pattern->lost && world->now_us >= 6000000);
        if (place < pattern->replaced &&
            step == 40 + 5 * (uint64_t)(i % per_zone)) {
            target->cold_until_us = world->now_us + COLD_US;
            model_catalog(world, i, COLD_US / 1000);
        }
        if (step * TICK_US % STALE_US == 0) {
            target->stale_load = target->busy + target->waiting.length;
        }
    }
}

static void
tick(struct world *world)
{
    disturb(world);
    for (unsigned i = 0; i < world->entry_count; i++) {
        affinity_core_tick(world->cores[i], world->now_us, world->catalog);
    }
    push(world, world->now_us + TICK_US, EVENT_TICK, NULL, 0);
}

static gint
compare_latencies(gconstpointer a, gconstpointer b)
{
    uint64_t x = *(const uint64_t *)a, y = *(const uint64_t *)b;

    return x < y ? -1 : x > y;
}

/* The latency, in ms, that PERCENT of the sorted LATENCIES are within. */
static double
percentile_ms(const GArray *latencies, guint64 percent)
{
    guint at = (guint)(latencies->len * percent / 100);

    if (latencies->len == 0) {
        return 0;
    }
    return (double)g_array_index(latencies, uint64_t, at) / 1000;
}

static void
sum_up(struct world *world)
{
    struct model_result *result = world->result;
    GArray *latencies = world->latencies;

    g_array_sort(latencies, compare_latencies);
    result->p50_ms = percentile_ms(latencies, 50);
    result->p99_ms = percentile_ms(latencies, 99);
    result->worst_window = 1;
    result->worst_zone = 1;
    result->window_count = world->options.seconds / 2;
    for (size_t i = 0; i < result->window_count; i++) {
        result->windows[i] = (double)world->window_in_goal[i] /
                             (double)MAX(world->window_asked[i], 1);
        result->worst_window = MIN(result->worst_window, result->windows[i]);
    }
    for (unsigned i = 0; i < world->options.zones; i++) {
        result->worst_zone =
            MIN(result->worst_zone, (double)world->zone_in_goal[i] /
                                        (double)MAX(world->zone_asked[i], 1));
    }
    result->remote = (double)world->remote / (double)MAX(world->flows, 1);
}

static void
set_up(struct world *world, const struct model_options *options)
{
    struct catalog_command command = {.kind = CATALOG_REPLACE};
    struct catalog_route route = {.key =
                                      catalog_endpoint_key(0xc6120001U, 443),
                                  .goal_ms = GOAL_US / 1000,
                                  .priority = 1};
    struct catalog_change change;

    world->options = *options;
    world->rand = g_rand_new_with_seed((guint32)options->seed);
    model_queue_init(&world->events);
    world->latencies = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    world->entry_count = options->zones * options->entries;
    world->target_count = options->zones * options->targets;
    world->catalog = catalog_new();
    catalog_tables_init(&command.u.tables);
    command.u.tables.version = 1;
    command.u.tables.document = g_bytes_new_static("", 0);
    catalog_route_add_split(&route, view_pool_id("desk"), 1);
    g_array_append_val(command.u.tables.routes, route);
    catalog_apply(world->catalog, ++world->index, &command, &change);
    catalog_command_clear(&command);
    for (unsigned i = 0; i < world->entry_count; i++) {
        struct affinity_options affinity = {
            .zone = i / options->entries + 1,
            .seed = options->seed * 1000 + i,
        };

        world->cores[i] = affinity_core_new(&affinity);
        affinity_core_set_zone_daemons(world->cores[i], options->entries);
    }
    for (unsigned i = 0; i < world->target_count; i++) {
        world->targets[i].zone = i / options->targets;
        g_queue_init(&world->targets[i].waiting);
        model_catalog(world, i, 0);
    }
}

static void
clear(struct world *world)
{
    for (unsigned i = 0; i < world->entry_count; i++) {
        affinity_core_free(world->cores[i]);
    }
    for (unsigned i = 0; i < world->target_count; i++) {
        g_queue_clear(&world->targets[i].waiting);
    }
    model_queue_clear(&world->events);
    g_array_unref(world->latencies);
    catalog_free(world->catalog);
    g_rand_free(world->rand);
    g_free(world);
}

/* Play the next event; false when there is none before END_US. */
static bool
step(struct world *world, uint64_t end_us)
{
    struct event *event = model_queue_pop(&world->events);

    if (event == NULL) {
        return false;
    }
    world->now_us = event->when.at_us;
    switch (event->kind) {
    case EVENT_ARRIVE:
        arrive(world);
        break;
    case EVENT_OPEN:
        open_flow(world, event->flow);
        break;
    case EVENT_REQUEST:
        request(world, event->flow);
        break;
    case EVENT_DONE:
        done(world, event->target, event->flow);
        break;
    case EVENT_ANSWER:
        answer(world, event->flow);
        break;
    case EVENT_TICK:
        tick(world);
        break;
    case EVENT__MAX:
        break;
    }
    g_free(event);
    return world->now_us <= end_us;
}

/* Run one experiment and fill RESULT. */
void
model_run(const struct model_options *options, struct model_result *result)
{
    struct world *world = g_new0(struct world, 1);
    uint64_t end_us = (uint64_t)options->seconds * 1000000;

    memset(result, 0, sizeof(*result));
    world->result = result;
    set_up(world, options);
    push(world, 1, EVENT_ARRIVE, NULL, 0);
    push(world, 1, EVENT_TICK, NULL, 0);
    while (step(world, end_us)) {
    }
    sum_up(world);
    clear(world);
}
