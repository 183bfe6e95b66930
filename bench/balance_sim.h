/*
 * The parts of the balance bench that every policy shares: layouts, the
 * workload of a seed, and the events of simulated time.
 */
#ifndef PS_BENCH_BALANCE_SIM_H
#define PS_BENCH_BALANCE_SIM_H

#include <math.h>
#include <stdint.h>

#include <glib.h>

#include "call/call.h"

#define DAEMONS        8
#define TARGETS_MAX    14
#define SLOTS          2
#define LOAD           0.85
#define CALLS          12000
#define WARM_UP        2000
#define CALLERS        400
#define SEEDS          7
#define CALLER_US      3000
#define SAME_ZONE_US   100
#define STALE_US       1000000 /* age of the load that two choices see */
#define TICK_US        50000
#define SERVICE_US     100000.0
#define VIEW_EVERY_US  25000    /* between daemons that learn of a stop */
#define DRAIN_US       40000000 /* after the last request */
#define START_US       1000000
#define TARGET_ADDRESS 0x0a000001
#define POOL           77

struct layout {
    const char *name;
    unsigned targets;
    unsigned zones;
    uint64_t zone_us; /* one way between zones */
};

static const struct layout layouts[] = {
    {"fieldline", 14, 3, 1000},
    {"plansdesk", 4, 3, 1000},
    {"permit-desk", 14, 4, 1500},
    {"doc-intake", 4, 4, 1500},
};

enum policy {
    POLICY_CORE,
    POLICY_STOP, /* the core, and its lead stops in the middle */
    POLICY_IDEAL,
    POLICY_RANDOM,
    POLICY_TWO_CHOICES,
    POLICY_MODULO,
    POLICY__MAX
};

static const char *const policy_names[POLICY__MAX] = {
    [POLICY_CORE] = "",
    [POLICY_STOP] = "_planned_stop",
    [POLICY_IDEAL] = "_ideal",
    [POLICY_RANDOM] = "_random",
    [POLICY_TWO_CHOICES] = "_two_choices",
    [POLICY_MODULO] = "_modulo",
};

enum event_kind {
    EVENT_TICK,    /* of a daemon */
    EVENT_ARRIVE,  /* a request at a daemon */
    EVENT_PACKET,  /* a handed-on packet at a daemon */
    EVENT_MESSAGE, /* a message at a daemon */
    EVENT_EPOCH,   /* the authority's word at a daemon */
    EVENT_START,   /* a request at its target */
    EVENT_FINISH,  /* the service ends */
    EVENT_CANCEL,  /* a cancel at its target, which accepts it */
    EVENT_REFRESH, /* of the load that two choices see */
    EVENT_STOP,    /* the lead stops by plan */
    EVENT_VIEW,    /* a daemon learns of it */
};

struct event {
    uint64_t at;
    uint64_t sequence;
    enum event_kind kind;
    unsigned where; /* daemon or target */
    unsigned call;
    unsigned attempt;
    struct call_packet packet;
    struct call_message *message;
    struct daemon_id from;
    struct call_epoch epoch;
    uint64_t asked_us;
};

/* What all policies of a seed share. */
struct workload {
    uint64_t sent[CALLS];
    uint64_t service[CALLS];
    uint8_t entry[CALLS];
    uint8_t back[CALLS];
    uint32_t pick[CALLS];
    uint32_t other[CALLS];
};

/* A binary heap, earliest event first. */
struct event_heap {
    GPtrArray *events;
    uint64_t sequence;
};

static inline struct event *
event_push(struct event_heap *heap, uint64_t at, enum event_kind kind,
           unsigned where)
{
    struct event *event = g_new0(struct event, 1);
    size_t place = heap->events->len;

    event->at = at;
    event->sequence = heap->sequence++;
    event->kind = kind;
    event->where = where;
    g_ptr_array_add(heap->events, event);
    while (place > 0) {
        size_t parent = (place - 1) / 2;
        struct event *above = heap->events->pdata[parent];

        if (above->at <= at) {
            break;
        }
        heap->events->pdata[place] = above;
        heap->events->pdata[parent] = event;
        place = parent;
    }
    return event;
}

static inline bool
event_before(const struct event *a, const struct event *b)
{
    return a->at != b->at ? a->at < b->at : a->sequence < b->sequence;
}

static inline struct event *
event_pop(struct event_heap *heap)
{
    struct event *top = heap->events->pdata[0];
    struct event *last = heap->events->pdata[heap->events->len - 1];
    size_t place = 0;

    g_ptr_array_set_size(heap->events, (int)heap->events->len - 1);
    while (heap->events->len > 0) {
        size_t child = 2 * place + 1;

        if (child < heap->events->len && child + 1 < heap->events->len &&
            event_before(heap->events->pdata[child + 1],
                         heap->events->pdata[child])) {
            child++;
        }
        if (child >= heap->events->len ||
            event_before(last, heap->events->pdata[child])) {
            heap->events->pdata[place] = last;
            break;
        }
        heap->events->pdata[place] = heap->events->pdata[child];
        place = child;
    }
    return top;
}

static inline void
make_work(struct workload *work, const struct layout *layout, uint32_t seed,
          double service_us)
{
    GRand *rand = g_rand_new_with_seed(seed);
    double every = service_us / (LOAD * layout->targets * SLOTS);
    double at = START_US + 1000000;

    for (unsigned i = 0; i < CALLS; i++) {
        at += -log(1 - g_rand_double(rand)) * every;
        work->sent[i] = (uint64_t)at;
        work->service[i] =
            (uint64_t)(-log(1 - g_rand_double(rand)) * service_us) + 1;
        work->entry[i] = (uint8_t)g_rand_int_range(rand, 0, DAEMONS);
        work->back[i] = (uint8_t)g_rand_int_range(rand, 0, DAEMONS);
        work->pick[i] = g_rand_int(rand);
        work->other[i] = g_rand_int(rand);
    }
    g_rand_free(rand);
}

#endif
