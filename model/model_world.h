/* What the files of the model share. */
#ifndef PS_MODEL_MODEL_WORLD_H
#define PS_MODEL_MODEL_WORLD_H

#include "model.h"
#include "model_queue.h"

#define SLOTS         2
#define MODEL_REFUSED UINT_MAX /* by the entry daemon, at once */
#define QUEUE_MAX     8        /* beyond it a target refuses */
#define WORK_US       24000    /* mean of a request */
#define WORK_MAX      6        /* times the mean */
#define COLD_US       2000000
#define COLD_TIMES    1.6
#define SLOW_TIMES    5.0
#define GOAL_US       130000
#define LIMIT_US      1300000 /* of a request, retries included */
#define COPY_US       200000  /* an opening without an answer is sent again */
#define GIVE_UP_US    1400000 /* an opening without an answer has failed */
#define RETRIES       2
#define TRIP_US       6500   /* caller, entry daemon, target and back */
#define REMOTE_US     2800   /* more for a target in another zone */
#define THINK_US      400000 /* between the requests of a flow that lasts */
#define REQUESTS      8      /* of a flow that lasts */
#define LASTING       0.78   /* share of requests on such flows */
#define STALE_US      500000

enum event_kind {
    EVENT_ARRIVE,  /* a caller asks for the first time */
    EVENT_OPEN,    /* an opening, or a copy of one, is sent */
    EVENT_REQUEST, /* a request reaches its target */
    EVENT_DONE,    /* a target has finished a request */
    EVENT_ANSWER,  /* the answer reaches the caller */
    EVENT_TICK,
    EVENT__MAX
};

struct flow {
    uint16_t port;
    unsigned zone;
    unsigned entry;
    unsigned target;
    bool lasting;
    bool open;
    unsigned copies;
    unsigned retries;
    unsigned requests;
    uint64_t asked_us; /* of the request under way */
    uint64_t opened_us;
    uint32_t acknowledged;
};

struct event {
    struct model_moment when;
    enum event_kind kind;
    struct flow *flow;
    unsigned target;
};

struct target {
    unsigned zone;
    unsigned busy;
    GQueue waiting; /* of struct flow */
    bool silent;
    uint64_t cold_until_us;
    bool slow;
    unsigned stale_load; /* as of the last digest */
};

struct world {
    struct model_options options;
    GRand *rand;
    struct model_queue events;
    uint64_t now_us;
    struct target targets[MODEL_TARGETS_MAX];
    unsigned target_count;
    unsigned entry_count;
    unsigned turn[MODEL_ENTRIES_MAX];
    struct affinity_core *cores[MODEL_ENTRIES_MAX];
    struct catalog *catalog;
    uint64_t index;
    uint64_t port;
    GArray *latencies; /* uint64_t */
    uint64_t zone_asked[MODEL_ZONES_MAX];
    uint64_t zone_in_goal[MODEL_ZONES_MAX];
    uint64_t window_asked[MODEL_WINDOWS_MAX];
    uint64_t window_in_goal[MODEL_WINDOWS_MAX];
    uint64_t flows;
    uint64_t remote;
    struct model_result *result;
};

/* model_place.c: the target for a flow's opening, by the way under test */
unsigned model_place(struct world *, struct flow *);
void model_tell_packet(struct world *, struct flow *, unsigned flags,
                       uint16_t payload);
void model_catalog(struct world *, unsigned target, uint32_t cold_ms);

#endif
