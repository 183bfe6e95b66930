/*
 * A few flow cores in one process, joined by a deterministic carrier with
 * delays, loss, doubling and reordering, and callers and targets that keep
 * the truth about every flow.  For benches and property tests, C and C++.
 */
#ifndef PS_BENCH_FLOW_FLEET_H
#define PS_BENCH_FLOW_FLEET_H

#include <stdio.h>
#include <string.h>
#include <netinet/in.h>

#include "base/hash.h"
#include "flow/flow_core.h"
#include "peer/flow_wire.h"

#define FLEET_DAEMONS 16
#define FLEET_POOLS   4
#define FLEET_TARGETS 24
#define FLEET_ROUTES  4
#define FLEET_TICK_US 50000
#define FLEET_SYN     0x02
#define FLEET_ACK     0x10
#define FLEET_FIN     0x01
#define FLEET_RST     0x04
#define FLEET_SYN_TRY 1000000 /* before an opening is sent again */
#define FLEET_CALLERS 0x64000000u
#define FLEET_ADDRESS 0x0a000001u

enum fleet_kind {
    FLEET_TICK,
    FLEET_MESSAGE,
    FLEET_PACKET, /* at a daemon */
    FLEET_ANSWER, /* a target answers by any daemon */
    FLEET_CALLER, /* the next packet of a flow */
    FLEET_DAEMONS_VIEW,
    FLEET_POOL_VIEW,
    FLEET_ROUTES_VIEW,
};

enum fleet_flow_state {
    FLEET_FLOW_OPENING,
    FLEET_FLOW_OPEN,
    FLEET_FLOW_ENDED,
};

struct fleet_event {
    uint64_t at;
    uint64_t order;
    enum fleet_kind kind;
    uint32_t daemon;
    uint32_t life; /* of the daemon, or the route's version */
    uint32_t from;
    uint32_t flow;
    uint8_t flags;
    uint32_t target;
    struct flow_packet packet;
    GByteArray *bytes; /* a message, or a copy of a view */
};

struct fleet_target {
    struct target_view view;
    uint32_t pool;
    bool alive;
    uint64_t drained_us; /* 0: not draining */
    uint64_t changed_us; /* another incarnation or pool since */
};

struct fleet_daemon {
    struct flow_core *core; /* NULL: dead */
    uint32_t life;
    bool leaving;
    bool stopped;
    uint64_t bytes;
    uint64_t messages;
    uint64_t handed_on;
    uint64_t view_at; /* when its last view comes; they come in order */
};

struct fleet_flow {
    uint32_t src;
    uint16_t port;
    uint8_t protocol;
    uint8_t route;
    enum fleet_flow_state state;
    uint32_t target; /* index; UINT32_MAX before the first */
    uint32_t incarnation;
    uint32_t pool; /* that it opened in */
    uint64_t opened_us;
    uint64_t period_us;
    uint64_t end_us; /* 0: stays */
    bool broken;
    uint64_t silent_us;  /* first unanswered packet of a silent flow */
    uint64_t reset_us;   /* ended by its daemons as silent */
    bool silent;         /* its target has lost track of it */
    uint32_t unanswered; /* packets since the last answer */
    uint32_t seq;
};

struct fleet_options {
    uint64_t seed;
    uint32_t daemons;
    uint32_t delay_min_us;
    uint32_t delay_max_us;
    uint32_t loss_percent; /* of messages, never more than 3 in a row */
    uint32_t double_percent;
    uint32_t view_delay_max_us;
    uint32_t packet_loss_percent; /* of packets handed on */
    struct flow_options flow;
};

struct fleet {
    struct fleet_options options;
    GRand *rand;
    uint64_t now;
    uint64_t order;
    GArray *heap; /* struct fleet_event* */
    struct fleet_daemon daemons[FLEET_DAEMONS];
    uint32_t losses[FLEET_DAEMONS][FLEET_DAEMONS];
    struct fleet_target targets[FLEET_TARGETS];
    uint32_t target_count;
    enum pool_prefer prefer[FLEET_POOLS];
    uint32_t pools;
    struct route_view routes[FLEET_ROUTES];
    uint32_t route_count;
    uint64_t version;
    GArray *flows; /* struct fleet_flow */
    struct flow_actions actions;
    uint64_t broken;
    uint64_t wrong_service;
    uint64_t stale;         /* packets to a dead incarnation's address */
    uint64_t late_new_work; /* flows opened at a target drained 3 s ago */
    uint64_t refused;
    uint64_t lost;
    bool edited;
};

static inline struct pool_id
fleet_pool_id(uint32_t pool)
{
    struct pool_id id = {pool + 100};

    return id;
}

static inline struct daemon_id
fleet_daemon_id(uint32_t daemon)
{
    struct daemon_id id = {hash_pair(daemon + 1, 77)};

    return id;
}

static inline bool
fleet_before(const struct fleet_event *a, const struct fleet_event *b)
{
    return a->at < b->at || (a->at == b->at && a->order < b->order);
}

static inline struct fleet_event **
fleet_heap(struct fleet *fleet)
{
    return (struct fleet_event **)(void *)fleet->heap->data;
}

static inline struct fleet_flow *
fleet_flow_at(struct fleet *fleet, uint32_t flow)
{
    return &g_array_index(fleet->flows, struct fleet_flow, flow);
}

/* Add an event at AT, to be filled by the caller. */
static inline struct fleet_event *
fleet_at(struct fleet *fleet, uint64_t at, enum fleet_kind kind)
{
    struct fleet_event *event = g_new0(struct fleet_event, 1);
    struct fleet_event **heap;
    guint i = fleet->heap->len;

    event->at = at;
    event->order = fleet->order++;
    event->kind = kind;
    g_array_append_val(fleet->heap, event);
    heap = fleet_heap(fleet);
    while (i > 0 && fleet_before(event, heap[(i - 1) / 2])) {
        heap[i] = heap[(i - 1) / 2];
        i = (i - 1) / 2;
    }
    heap[i] = event;
    return event;
}

static inline struct fleet_event *
fleet_pop(struct fleet *fleet)
{
    struct fleet_event **heap = fleet_heap(fleet);
    struct fleet_event *top = heap[0];
    struct fleet_event *last = heap[fleet->heap->len - 1];
    guint len = fleet->heap->len - 1;
    guint i = 0;

    g_array_set_size(fleet->heap, len);
    while (2 * i + 1 < len) {
        guint child = 2 * i + 1;

        if (child + 1 < len && fleet_before(heap[child + 1], heap[child])) {
            child++;
        }
        if (!fleet_before(heap[child], last)) {
            break;
        }
        heap[i] = heap[child];
        i = child;
    }
    if (len > 0) {
        heap[i] = last;
    }
    return top;
}

static inline uint32_t
fleet_random(struct fleet *fleet, uint32_t below)
{
    return below < 2
               ? 0
               : (uint32_t)g_rand_int_range(fleet->rand, 0, (gint32)below);
}

static inline uint64_t
fleet_delay(struct fleet *fleet)
{
    return fleet->options.delay_min_us +
           fleet_random(fleet, fleet->options.delay_max_us -
                                   fleet->options.delay_min_us + 1);
}

/* A daemon that may get packets from the fabric, or UINT32_MAX. */
static inline uint32_t
fleet_any_daemon(struct fleet *fleet)
{
    uint32_t alive[FLEET_DAEMONS] = {0};
    uint32_t count = 0;

    for (uint32_t i = 0; i < FLEET_DAEMONS; i++) {
        if (fleet->daemons[i].core != NULL) {
            alive[count++] = i;
        }
    }
    return count == 0 ? UINT32_MAX : alive[fleet_random(fleet, count)];
}

static inline uint32_t
fleet_daemon_of(struct fleet *fleet, struct daemon_id id)
{
    (void)fleet;
    for (uint32_t i = 0; i < FLEET_DAEMONS; i++) {
        if (fleet_daemon_id(i).value == id.value) {
            return i;
        }
    }
    return UINT32_MAX;
}

/* Carry a message, or lose, double or delay it. */
static inline void
fleet_carry(struct fleet *fleet, uint32_t from, uint32_t to,
            const struct flow_message *message)
{
    uint32_t copies = 1;
    GByteArray *bytes = g_byte_array_new();

    flow_wire_pack(message, bytes);
    fleet->daemons[from].bytes += bytes->len;
    fleet->daemons[from].messages++;
    if (fleet_random(fleet, 100) < fleet->options.loss_percent &&
        fleet->losses[from][to] < 3) {
        fleet->losses[from][to]++;
        copies = 0;
    }
    else {
        fleet->losses[from][to] = 0;
        copies += fleet_random(fleet, 100) < fleet->options.double_percent;
    }
    for (uint32_t i = 0; i < copies; i++) {
        struct fleet_event *event =
            fleet_at(fleet, fleet->now + fleet_delay(fleet), FLEET_MESSAGE);

        event->daemon = to;
        event->from = from;
        event->life = fleet->daemons[to].life;
        event->bytes = g_byte_array_ref(bytes);
    }
    g_byte_array_unref(bytes);
}

/* Step the daemon's core and carry what it sends. */
static inline void
fleet_step(struct fleet *fleet, uint32_t daemon,
           const struct flow_event *event)
{
    struct fleet_daemon *self = &fleet->daemons[daemon];

    flow_core_step(self->core, fleet->now, event, &fleet->actions);
    for (size_t i = 0; i < fleet->actions.count; i++) {
        const struct flow_action *action = &fleet->actions.items[i];
        uint32_t to;

        if (action->kind == FLOW_ACT_STOPPED) {
            self->stopped = true;
        }
        if (action->kind == FLOW_ACT_RESET) {
            struct fleet_flow *flow = fleet_flow_at(
                fleet, action->u.reset.packet.src - FLEET_CALLERS);

            flow->reset_us = flow->reset_us == 0 ? fleet->now : flow->reset_us;
            flow->state = FLEET_FLOW_ENDED;
        }
        if (action->kind != FLOW_ACT_SEND) {
            continue;
        }
        to = fleet_daemon_of(fleet, action->u.send.to);
        if (to < FLEET_DAEMONS && fleet->daemons[to].core != NULL) {
            fleet_carry(fleet, daemon, to, action->u.send.message);
        }
    }
    flow_actions_clear(&fleet->actions);
}

/* When a view that is sent now reaches the daemon. */
static inline uint64_t
fleet_view_at(struct fleet *fleet, uint32_t daemon, bool at_once)
{
    uint64_t at = fleet->now;

    if (!at_once) {
        at += fleet_random(fleet, fleet->options.view_delay_max_us);
    }
    fleet->daemons[daemon].view_at = MAX(at, fleet->daemons[daemon].view_at);
    return fleet->daemons[daemon].view_at;
}

/* Give the newest daemon views to all, each after a delay of its own. */
static inline void
fleet_push_daemons(struct fleet *fleet)
{
    GByteArray *bytes = g_byte_array_new();

    for (uint32_t i = 0; i < FLEET_DAEMONS; i++) {
        const struct fleet_daemon *daemon = &fleet->daemons[i];
        struct daemon_view view;

        memset(&view, 0, sizeof(view));
        view.id = fleet_daemon_id(i);
        view.incarnation = daemon->life;
        view.entry = true;
        view.state = daemon->core == NULL ? DAEMON_DEAD
                     : daemon->leaving    ? DAEMON_LEAVING
                                          : DAEMON_ALIVE;
        if (daemon->life != 0) {
            g_byte_array_append(bytes, (const guint8 *)&view, sizeof(view));
        }
    }
    for (uint32_t i = 0; i < FLEET_DAEMONS; i++) {
        if (fleet->daemons[i].core != NULL) {
            struct fleet_event *event = fleet_at(
                fleet, fleet_view_at(fleet, i, false), FLEET_DAEMONS_VIEW);

            event->daemon = i;
            event->life = fleet->daemons[i].life;
            event->bytes = g_byte_array_ref(bytes);
        }
    }
    g_byte_array_unref(bytes);
}

/* Give a pool's newest view to one daemon at AT. */
static inline void
fleet_push_pool_to(struct fleet *fleet, uint32_t pool, uint32_t daemon,
                   uint64_t at)
{
    GByteArray *bytes = g_byte_array_new();
    struct fleet_event *event;

    for (uint32_t i = 0; i < fleet->target_count; i++) {
        const struct fleet_target *target = &fleet->targets[i];

        if (target->alive && target->pool == pool) {
            g_byte_array_append(bytes, (const guint8 *)&target->view,
                                sizeof(target->view));
        }
    }
    event = fleet_at(fleet, at, FLEET_POOL_VIEW);
    event->daemon = daemon;
    event->life = fleet->daemons[daemon].life;
    event->target = pool;
    event->bytes = bytes;
}

static inline void
fleet_push_pool(struct fleet *fleet, uint32_t pool)
{
    for (uint32_t i = 0; i < FLEET_DAEMONS; i++) {
        if (fleet->daemons[i].core != NULL) {
            fleet_push_pool_to(fleet, pool, i, fleet_view_at(fleet, i, false));
        }
    }
}

static inline void
fleet_push_routes_to(struct fleet *fleet, uint32_t daemon, uint64_t at)
{
    struct fleet_event *event = fleet_at(fleet, at, FLEET_ROUTES_VIEW);

    event->daemon = daemon;
    event->life = fleet->daemons[daemon].life;
    event->target = (uint32_t)fleet->version;
    event->bytes = g_byte_array_new();
    g_byte_array_append(
        event->bytes, (const guint8 *)fleet->routes,
        (guint)(fleet->route_count * sizeof(struct route_view)));
}

static inline void
fleet_push_routes(struct fleet *fleet)
{
    fleet->version++;
    for (uint32_t i = 0; i < FLEET_DAEMONS; i++) {
        if (fleet->daemons[i].core != NULL) {
            fleet_push_routes_to(fleet, i, fleet_view_at(fleet, i, false));
        }
    }
}

/* Start the daemon, new or again after its death. */
static inline void
fleet_start_daemon(struct fleet *fleet, uint32_t daemon)
{
    struct fleet_daemon *self = &fleet->daemons[daemon];
    struct flow_options options = fleet->options.flow;
    struct fleet_event *event;

    options.self = fleet_daemon_id(daemon);
    options.seed = fleet->options.seed + daemon;
    self->core = flow_core_new(&options);
    self->life++;
    self->leaving = false;
    self->stopped = false;
    self->view_at = 0;
    event = fleet_at(fleet, fleet->now + fleet_random(fleet, FLEET_TICK_US),
                     FLEET_TICK);
    event->daemon = daemon;
    event->life = self->life;
    for (uint32_t pool = 0; pool < fleet->pools; pool++) {
        fleet_push_pool_to(fleet, pool, daemon,
                           fleet_view_at(fleet, daemon, true));
    }
    fleet_push_routes_to(fleet, daemon, fleet_view_at(fleet, daemon, true));
    fleet_push_daemons(fleet);
}

/* End the daemon at once; SEEN_US later the others know. */
static inline void
fleet_kill_daemon(struct fleet *fleet, uint32_t daemon)
{
    flow_core_free(fleet->daemons[daemon].core);
    fleet->daemons[daemon].core = NULL;
}

static inline void
fleet_stop_daemon(struct fleet *fleet, uint32_t daemon)
{
    struct flow_event event;

    memset(&event, 0, sizeof(event));
    event.kind = FLOW_EV_STOP;
    fleet->daemons[daemon].leaving = true;
    fleet_step(fleet, daemon, &event);
    fleet_push_daemons(fleet);
}

/* A target of POOL; returns its index. */
static inline uint32_t
fleet_add_target(struct fleet *fleet, uint32_t pool, uint16_t weight)
{
    uint32_t index = fleet->target_count++;
    struct fleet_target *target = &fleet->targets[index];

    memset(target, 0, sizeof(*target));
    target->pool = pool;
    target->alive = true;
    target->view.key.address = FLEET_ADDRESS + index;
    target->view.key.incarnation = 1;
    target->view.port = 6081;
    target->view.weight = weight;
    target->view.connections = 1000000;
    target->view.state = TARGET_READY;
    return index;
}

static inline uint32_t
fleet_add_route(struct fleet *fleet, uint32_t pool)
{
    struct route_view *route = &fleet->routes[fleet->route_count];

    memset(route, 0, sizeof(*route));
    route->address = 0xc0a80001u + fleet->route_count;
    route->kind = ROUTE_STREAM;
    route->pool = fleet_pool_id(pool);
    return fleet->route_count++;
}

static inline struct fleet *
fleet_new(const struct fleet_options *options)
{
    struct fleet *fleet = g_new0(struct fleet, 1);

    fleet->options = *options;
    fleet->rand = g_rand_new_with_seed((guint32)options->seed);
    fleet->heap = g_array_new(FALSE, FALSE, sizeof(struct fleet_event *));
    fleet->flows = g_array_new(FALSE, TRUE, sizeof(struct fleet_flow));
    fleet->now = 1000000;
    fleet->version = 1;
    return fleet;
}

static inline void
fleet_free(struct fleet *fleet)
{
    for (guint i = 0; i < fleet->heap->len; i++) {
        struct fleet_event *event = fleet_heap(fleet)[i];

        if (event->bytes != NULL) {
            g_byte_array_unref(event->bytes);
        }
        g_free(event);
    }
    for (uint32_t i = 0; i < FLEET_DAEMONS; i++) {
        flow_core_free(fleet->daemons[i].core);
    }
    flow_actions_free(&fleet->actions);
    g_array_unref(fleet->heap);
    g_array_unref(fleet->flows);
    g_rand_free(fleet->rand);
    g_free(fleet);
}

/* A flow on ROUTE that sends every PERIOD_US; END_US 0 stays open. */
static inline uint32_t
fleet_add_flow(struct fleet *fleet, uint32_t route, uint64_t at,
               uint64_t period_us, uint64_t end_us)
{
    struct fleet_flow flow;
    struct fleet_event *event;

    memset(&flow, 0, sizeof(flow));
    flow.src = FLEET_CALLERS + fleet->flows->len;
    flow.port = (uint16_t)(1024 + fleet_random(fleet, 60000));
    flow.protocol = IPPROTO_TCP;
    flow.route = (uint8_t)route;
    flow.target = UINT32_MAX;
    flow.period_us = period_us;
    flow.end_us = end_us;
    flow.seq = 1000;
    g_array_append_val(fleet->flows, flow);
    event = fleet_at(fleet, at, FLEET_CALLER);
    event->flow = fleet->flows->len - 1;
    return event->flow;
}

/* Put a packet of FLOW before any daemon. */
static inline void
fleet_caller_packet(struct fleet *fleet, uint32_t index, uint8_t flags)
{
    struct fleet_flow *flow = fleet_flow_at(fleet, index);
    uint32_t daemon = fleet_any_daemon(fleet);
    struct fleet_event *event;

    if (daemon == UINT32_MAX) {
        return;
    }
    event = fleet_at(fleet, fleet->now, FLEET_PACKET);
    event->daemon = daemon;
    event->life = fleet->daemons[daemon].life;
    event->flow = index;
    event->flags = flags;
    event->packet.src = flow->src;
    event->packet.src_port = flow->port;
    event->packet.dst = fleet->routes[flow->route].address;
    event->packet.dst_port = 443;
    event->packet.protocol = flow->protocol;
    event->packet.tcp_flags = flags;
    event->packet.tcp_seq = flow->seq;
    event->packet.payload_len = 100;
    event->packet.outer_src = 1;
}

#include "flow_fleet_run.h"

#endif
