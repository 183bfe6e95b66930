/*
 * How long calls wait: the call core on eight daemons against an all-knowing
 * queue, in simulated time.  Wait is the time from the caller's request to
 * its answer, less the service time.  The all-knowing queue stands where the
 * lead does, knows at once when a slot falls free, and its messages pay the
 * same network delays.  All policies of a seed see the same arrivals, service
 * times and choices of the fabric.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "call/call.h"
#include "peer/call_wire.h"

#include "balance_sim.h"

struct sim {
    const struct layout *layout;
    const struct workload *work;
    enum policy policy;
    struct event_heap heap;
    uint64_t now;
    struct call_core *cores[DAEMONS];
    struct daemon_view daemons[DAEMONS];
    unsigned lead;
    struct call_epoch epoch;
    uint64_t wait[CALLS];
    bool ended[CALLS];
    uint16_t running[CALLS]; /* bit by attempt */
    unsigned done;
    unsigned refused;
    bool stopped;           /* the lead has said so */
    uint64_t record_bytes;  /* of messages between cores */
    uint64_t hand_on_bytes; /* but for the payload */
    unsigned in_service[TARGETS_MAX];
    unsigned stale[TARGETS_MAX];
    GQueue queues[TARGETS_MAX]; /* at the targets; [0] is the ideal's */
};

/* For each call, averaged over a run of the core. */
struct bytes {
    double record; /* of messages between cores, for a non-idempotent call */
    double hand_on;
    unsigned refused; /* calls of the last run that were not answered */
};

static void act(struct sim *, unsigned, const struct call_action *);
static void count_bytes(struct sim *, const struct call_action *);

static uint64_t
delay(const struct sim *sim, unsigned a, unsigned b)
{
    unsigned zones = sim->layout->zones;

    return a % zones == b % zones ? SAME_ZONE_US : sim->layout->zone_us;
}

/* CALL ends at AT, when its answer reaches the caller, or 0 without one. */
static void
end(struct sim *sim, unsigned call, uint64_t at)
{
    if (sim->ended[call]) {
        return;
    }
    sim->ended[call] = true;
    sim->done++;
    if (at == 0) {
        sim->refused++;
        return;
    }
    sim->wait[call] = at - sim->work->sent[call] - sim->work->service[call];
}

static void
step(struct sim *sim, unsigned daemon, const struct call_event *event)
{
    struct call_actions out = {0};

    call_core_step(sim->cores[daemon], sim->now, event, &out);
    for (size_t i = 0; i < out.count; i++) {
        count_bytes(sim, &out.items[i]);
        act(sim, daemon, &out.items[i]);
    }
    call_actions_clear(&out);
}

/* Count what the daemons say to each other, as it goes over the wire. */
static void
count_bytes(struct sim *sim, const struct call_action *action)
{
    GByteArray *bytes = g_byte_array_new();

    if (action->kind == CALL_ACT_MESSAGE) {
        call_wire_pack(action->u.message.message, bytes);
        sim->record_bytes += bytes->len;
    }
    else if (action->kind == CALL_ACT_RELAY) {
        call_wire_pack_packet(&action->u.relay.packet, bytes);
        sim->hand_on_bytes += bytes->len - action->u.relay.packet.payload_len;
    }
    g_byte_array_free(bytes, TRUE);
}

/* The authority answers after the time of a message there and back. */
static void
grant(struct sim *sim, unsigned daemon, const struct call_epoch_request *want)
{
    struct event *event = event_push(
        &sim->heap, sim->now + 2 * sim->layout->zone_us, EVENT_EPOCH, daemon);

    if (!want->confirm && sim->epoch.number == want->previous) {
        sim->epoch.pool = want->pool;
        sim->epoch.number++;
        sim->epoch.group_count = want->group_count;
        memcpy(sim->epoch.group, want->group, sizeof(want->group));
    }
    event->epoch = sim->epoch;
    event->epoch.pool = want->pool;
    event->asked_us = want->requested_us;
}

static void
act(struct sim *sim, unsigned daemon, const struct call_action *action)
{
    struct event *event;
    unsigned to;

    switch (action->kind) {
    case CALL_ACT_SEND:
        to = action->u.datagram.target.address - TARGET_ADDRESS;
        event = event_push(&sim->heap, sim->now + delay(sim, daemon, to),
                           EVENT_START, to);
        event->call = (unsigned)action->u.datagram.option.id;
        event->attempt = action->u.datagram.option.attempt;
        break;
    case CALL_ACT_ANSWER:
        end(sim, (unsigned)action->u.datagram.option.id, sim->now + CALLER_US);
        break;
    case CALL_ACT_REFUSE:
        end(sim, (unsigned)action->u.datagram.option.id, 0);
        break;
    case CALL_ACT_RELAY:
        to = (unsigned)action->u.relay.to.value - 1;
        event = event_push(&sim->heap, sim->now + delay(sim, daemon, to),
                           EVENT_PACKET, to);
        event->packet = action->u.relay.packet;
        event->packet.payload = (const uint8_t *)"x";
        break;
    case CALL_ACT_MESSAGE:
        to = (unsigned)action->u.message.to.value - 1;
        event = event_push(&sim->heap, sim->now + delay(sim, daemon, to),
                           EVENT_MESSAGE, to);
        event->message =
            g_memdup2(action->u.message.message, sizeof(struct call_message));
        event->from = sim->daemons[daemon].id;
        break;
    case CALL_ACT_REQUEST_EPOCH:
        grant(sim, daemon, &action->u.epoch_request);
        break;
    case CALL_ACT_STOPPED:
        sim->stopped = true;
        break;
    case CALL_ACT_CANCEL:
        to = action->u.datagram.target.address - TARGET_ADDRESS;
        event = event_push(&sim->heap, sim->now + delay(sim, daemon, to),
                           EVENT_CANCEL, to);
        event->call = (unsigned)action->u.datagram.option.id;
        event->attempt = action->u.datagram.option.attempt;
        break;
    case CALL_ACT_DROP:
    case CALL_ACT_EVIDENCE:
    case CALL_ACT__MAX:
        break;
    }
}

/* The bit of an attempt, whose number ends in four bits of count. */
static uint16_t
attempt_bit(unsigned attempt)
{
    return (uint16_t)(1U << (attempt & 15));
}

static void
begin_service(struct sim *sim, unsigned target, unsigned call,
              unsigned attempt)
{
    struct event *event = event_push(
        &sim->heap, sim->now + sim->work->service[call], EVENT_FINISH, target);

    sim->in_service[target]++;
    sim->running[call] |= attempt_bit(attempt);
    event->call = call;
    event->attempt = attempt;
}

/* The all-knowing queue sends while it knows of a free slot. */
static void
ideal_dispatch(struct sim *sim)
{
    while (!g_queue_is_empty(&sim->queues[0])) {
        unsigned best = TARGETS_MAX;
        struct event *event;

        for (unsigned i = 0; i < sim->layout->targets; i++) {
            if (sim->stale[i] < SLOTS &&
                (best == TARGETS_MAX ||
                 delay(sim, sim->lead, i) < delay(sim, sim->lead, best))) {
                best = i;
            }
        }
        if (best == TARGETS_MAX) {
            return;
        }
        sim->stale[best]++; /* here: slots that are taken or spoken for */
        event = event_push(&sim->heap, sim->now + delay(sim, sim->lead, best),
                           EVENT_START, best);
        event->call = GPOINTER_TO_UINT(g_queue_pop_head(&sim->queues[0])) - 1;
    }
}

/* The target that a policy without a queue of its own takes for CALL. */
static unsigned
pick(const struct sim *sim, unsigned call)
{
    unsigned count = sim->layout->targets;
    unsigned one = sim->work->pick[call] % count;
    unsigned two = sim->work->other[call] % (count - 1);

    if (sim->policy == POLICY_RANDOM) {
        return one;
    }
    if (sim->policy == POLICY_MODULO) {
        return (unsigned)(call * 2654435761U >> 8) % count;
    }
    two += two >= one;
    return sim->stale[two] < sim->stale[one] ? two : one;
}

static void
arrive(struct sim *sim, const struct event *event)
{
    unsigned daemon = event->where;
    struct call_event arrival = {.kind = CALL_EV_PACKET};
    unsigned target;

    if (sim->policy <= POLICY_STOP) {
        if (sim->stopped && daemon == sim->lead) {
            daemon = (daemon + 1) % DAEMONS;
        }
        arrival.u.packet = event->packet;
        step(sim, daemon, &arrival);
        return;
    }
    if (sim->policy == POLICY_IDEAL) {
        g_queue_push_tail(&sim->queues[0], GUINT_TO_POINTER(event->call + 1));
        ideal_dispatch(sim);
        return;
    }
    target = pick(sim, event->call);
    event_push(&sim->heap, sim->now + delay(sim, daemon, target), EVENT_START,
               target)
        ->call = event->call;
}

/* A target's packet on its way to the daemon that the fabric chooses. */
static void
reply(struct sim *sim, const struct event *event, enum call_kind kind)
{
    unsigned back = sim->work->back[event->call];
    struct event *packet;

    if (sim->stopped && back == sim->lead) {
        back = (back + 1) % DAEMONS;
    }
    packet = event_push(&sim->heap, sim->now + delay(sim, back, event->where),
                        EVENT_PACKET, back);
    packet->packet = (struct call_packet){
        .pool = {POOL},
        .caller = 1 + event->call % CALLERS,
        .target = TARGET_ADDRESS + event->where,
        .payload = (const uint8_t *)"x",
        .payload_len = 1,
        .option = {.id = event->call,
                   .attempt = event->attempt,
                   .kind = kind,
                   .parts = 1},
    };
}

static void
finish(struct sim *sim, const struct event *event)
{
    unsigned target = event->where;
    unsigned back = sim->work->back[event->call];

    if ((sim->running[event->call] & attempt_bit(event->attempt)) == 0) {
        return; /* it was cancelled */
    }
    sim->running[event->call] &= (uint16_t)~attempt_bit(event->attempt);
    sim->in_service[target]--;
    if (sim->policy <= POLICY_STOP) {
        reply(sim, event, CALL_ANSWER);
        return;
    }
    end(sim, event->call, sim->now + delay(sim, back, target) + CALLER_US);
    if (sim->policy == POLICY_IDEAL) {
        sim->stale[target]--;
        ideal_dispatch(sim);
        return;
    }
    if (!g_queue_is_empty(&sim->queues[target])) {
        begin_service(
            sim, target,
            GPOINTER_TO_UINT(g_queue_pop_head(&sim->queues[target])) - 1, 0);
    }
}

/* A full target refuses the core's calls, and queues those of the others. */
static void
start(struct sim *sim, const struct event *event)
{
    bool full = sim->in_service[event->where] >= SLOTS;

    if (full && sim->policy <= POLICY_STOP) {
        reply(sim, event, CALL_NOT_RUN);
    }
    else if (full && sim->policy != POLICY_IDEAL) {
        g_queue_push_tail(&sim->queues[event->where],
                          GUINT_TO_POINTER(event->call + 1));
    }
    else {
        begin_service(sim, event->where, event->call, event->attempt);
    }
}

/* The lead stops; its peers learn of it one after the other. */
static void
stop(struct sim *sim)
{
    struct call_event event = {.kind = CALL_EV_STOP};

    sim->daemons[sim->lead].state = DAEMON_LEAVING;
    step(sim, sim->lead, &event);
    for (unsigned i = 0; i < DAEMONS; i++) {
        event_push(&sim->heap, sim->now + (uint64_t)i * VIEW_EVERY_US,
                   EVENT_VIEW, i);
    }
}

static void
handle(struct sim *sim, const struct event *event)
{
    struct call_event core = {0};

    switch (event->kind) {
    case EVENT_TICK:
        core.kind = CALL_EV_TICK;
        step(sim, event->where, &core);
        event_push(&sim->heap, sim->now + TICK_US, EVENT_TICK, event->where);
        break;
    case EVENT_ARRIVE:
        arrive(sim, event);
        break;
    case EVENT_PACKET:
        core.kind = CALL_EV_PACKET;
        core.u.packet = event->packet;
        step(sim, event->where, &core);
        break;
    case EVENT_MESSAGE:
        core.kind = CALL_EV_MESSAGE;
        core.u.message.from = event->from;
        core.u.message.message = event->message;
        step(sim, event->where, &core);
        break;
    case EVENT_EPOCH:
        core.kind = CALL_EV_EPOCH;
        core.u.epoch.epoch = event->epoch;
        core.u.epoch.requested_us = event->asked_us;
        step(sim, event->where, &core);
        break;
    case EVENT_START:
        start(sim, event);
        break;
    case EVENT_FINISH:
        finish(sim, event);
        break;
    case EVENT_CANCEL:
        if (sim->running[event->call] & attempt_bit(event->attempt)) {
            sim->running[event->call] &=
                (uint16_t)~attempt_bit(event->attempt);
            sim->in_service[event->where]--;
        }
        break;
    case EVENT_REFRESH:
        for (unsigned i = 0; i < sim->layout->targets; i++) {
            sim->stale[i] = sim->in_service[i] + sim->queues[i].length;
        }
        event_push(&sim->heap, sim->now + STALE_US, EVENT_REFRESH, 0);
        break;
    case EVENT_STOP:
        stop(sim);
        break;
    case EVENT_VIEW:
        core.kind = CALL_EV_DAEMONS;
        core.u.daemons.items = sim->daemons;
        core.u.daemons.count = DAEMONS;
        step(sim, event->where, &core);
        break;
    }
}

static void
make_cores(struct sim *sim)
{
    struct target_view targets[TARGETS_MAX] = {0};
    struct call_event pool = {.kind = CALL_EV_POOL};
    struct call_event daemons = {.kind = CALL_EV_DAEMONS};

    for (unsigned i = 0; i < sim->layout->targets; i++) {
        targets[i].key = (struct target_key){TARGET_ADDRESS + i, 1};
        targets[i].port = 1;
        targets[i].weight = 100;
        targets[i].slots = SLOTS;
    }
    pool.u.pool.id.value = POOL;
    pool.u.pool.target_count = sim->layout->targets;
    pool.u.pool.targets = targets;
    daemons.u.daemons.items = sim->daemons;
    daemons.u.daemons.count = DAEMONS;
    for (unsigned i = 0; i < DAEMONS; i++) {
        struct call_options options = {.self = sim->daemons[i].id,
                                       .incarnation = i + 1,
                                       .queue_limit = CALLS};

        sim->cores[i] = call_core_new(&options);
        step(sim, i, &pool);
        step(sim, i, &daemons);
        event_push(&sim->heap, sim->now, EVENT_TICK, i);
    }
}

/* Put all requests on their way; every other call is non-idempotent. */
static void
push_requests(struct sim *sim)
{
    for (unsigned i = 0; i < CALLS; i++) {
        unsigned entry = sim->work->entry[i];
        uint64_t at = sim->work->sent[i] + CALLER_US;
        struct event *event;

        if (sim->policy == POLICY_IDEAL) {
            at += entry == sim->lead ? 0 : delay(sim, entry, sim->lead);
        }
        event = event_push(&sim->heap, at, EVENT_ARRIVE, entry);
        event->call = i;
        event->packet = (struct call_packet){
            .pool = {POOL},
            .caller = 1 + i % CALLERS,
            .payload = (const uint8_t *)"x",
            .payload_len = 1,
            .option = {.id = i, .parts = 1, .idempotent = i % 2 == 0},
        };
    }
}

static int
compare(const void *a, const void *b)
{
    uint64_t left = *(const uint64_t *)a;
    uint64_t right = *(const uint64_t *)b;

    return (left > right) - (left < right);
}

/* Run POLICY on WORK.  Returns the 99th percentile of the waits, in us. */
static double
run(const struct layout *layout, const struct workload *work,
    enum policy policy, struct bytes *bytes)
{
    struct sim *sim = g_new0(struct sim, 1);
    const size_t rank = WARM_UP + (CALLS - WARM_UP) * 99 / 100;
    double p99;

    sim->layout = layout;
    sim->work = work;
    sim->policy = policy;
    sim->now = START_US;
    sim->heap.events = g_ptr_array_new_with_free_func(NULL);
    for (unsigned i = 0; i < DAEMONS; i++) {
        sim->daemons[i] = (struct daemon_view){
            .id = {i + 1}, .zone = i % layout->zones, .entry = true};
    }
    sim->lead =
        (unsigned)view_owner((struct pool_id){POOL}, sim->daemons, DAEMONS)
            .value -
        1;
    if (policy <= POLICY_STOP) {
        make_cores(sim);
    }
    if (policy == POLICY_TWO_CHOICES) {
        event_push(&sim->heap, sim->now, EVENT_REFRESH, 0);
    }
    if (policy == POLICY_STOP) {
        event_push(&sim->heap, work->sent[CALLS / 2], EVENT_STOP, 0);
    }
    push_requests(sim);
    while (sim->done < CALLS && sim->now < work->sent[CALLS - 1] + DRAIN_US) {
        struct event *event = event_pop(&sim->heap);

        sim->now = event->at;
        handle(sim, event);
        g_free(event->message);
        g_free(event);
    }
    for (unsigned i = 0; i < sim->heap.events->len; i++) {
        g_free(((struct event *)sim->heap.events->pdata[i])->message);
        g_free(sim->heap.events->pdata[i]);
    }
    qsort(sim->wait + WARM_UP, CALLS - WARM_UP, sizeof(uint64_t), compare);
    p99 = (double)sim->wait[rank];
    for (unsigned i = 0; policy <= POLICY_STOP && i < DAEMONS; i++) {
        call_core_free(sim->cores[i]);
    }
    bytes->refused = sim->refused + CALLS - sim->done;
    if (policy == POLICY_CORE) {
        bytes->record = (double)sim->record_bytes * 2 / CALLS;
        bytes->hand_on = (double)sim->hand_on_bytes / CALLS;
    }
    g_ptr_array_free(sim->heap.events, TRUE);
    g_free(sim);
    return p99;
}

static int
compare_doubles(const void *a, const void *b)
{
    double left = *(const double *)a;
    double right = *(const double *)b;

    return (left > right) - (left < right);
}

int
main(int argc, char **argv)
{
    double service_us = argc > 1 ? atof(argv[1]) * 1000 : SERVICE_US;
    struct workload *work = g_new(struct workload, 1);
    double worst[POLICY__MAX] = {0};
    struct bytes bytes = {0};
    unsigned cut[POLICY__MAX] = {0};

    for (size_t i = 0; i < sizeof(layouts) / sizeof(layouts[0]); i++) {
        double ratios[POLICY__MAX][SEEDS];
        double ideals[SEEDS];

        for (uint32_t seed = 0; seed < SEEDS; seed++) {
            make_work(work, &layouts[i], seed + 1, service_us);
            ideals[seed] = run(&layouts[i], work, POLICY_IDEAL, &bytes);
            for (int policy = 0; policy < POLICY__MAX; policy++) {
                ratios[policy][seed] =
                    run(&layouts[i], work, (enum policy)policy, &bytes) /
                    ideals[seed];
                cut[policy] += bytes.refused;
            }
        }
        qsort(ideals, SEEDS, sizeof(double), compare_doubles);
        printf("balance.calls_p99_ideal_%s %.2f ms\n", layouts[i].name,
               ideals[SEEDS / 2] / 1000);
        for (int policy = 0; policy < POLICY__MAX; policy++) {
            qsort(ratios[policy], SEEDS, sizeof(double), compare_doubles);
            worst[policy] = MAX(worst[policy], ratios[policy][SEEDS / 2]);
            if (policy != POLICY_IDEAL) {
                printf("balance.calls_p99_ratio%s_%s %.3f ratio\n",
                       policy_names[policy], layouts[i].name,
                       ratios[policy][SEEDS / 2]);
            }
        }
    }
    for (int policy = 0; policy < POLICY__MAX; policy++) {
        if (policy != POLICY_IDEAL) {
            printf("balance.calls_p99_ratio%s %.3f ratio\n",
                   policy_names[policy], worst[policy]);
        }
    }
    printf("balance.calls_unanswered %u calls\n", cut[POLICY_CORE]);
    printf("balance.calls_unanswered_planned_stop %u calls\n",
           cut[POLICY_STOP]);
    printf("balance.record_bytes_per_call %.1f bytes\n", bytes.record);
    printf("balance.hand_on_bytes_per_call %.1f bytes\n", bytes.hand_on);
    g_free(work);
    return 0;
}
