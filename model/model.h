/*
 * A model of the systems behind a fleet, to weigh ways of placing flows:
 * targets with slots, a bounded queue and a cold start; callers with a goal,
 * a time limit and retries; entry daemons that see their own share of the
 * packets and run the product's own placement.  Seeded, in simulated time.
 */
#ifndef PS_MODEL_MODEL_H
#define PS_MODEL_MODEL_H

#include <glib.h>

#include "affinity/affinity.h"

#define MODEL_ZONES_MAX   4
#define MODEL_ENTRIES_MAX 96
#define MODEL_TARGETS_MAX 256
#define MODEL_WINDOW_US   2000000 /* of the series */
#define MODEL_WINDOWS_MAX 64

/* How a new flow's target is chosen. */
enum model_way {
    MODEL_PRODUCT,     /* src/affinity, one core for each entry daemon */
    MODEL_HASH,        /* by a hash of the flow, over the own zone */
    MODEL_ROUND_ROBIN, /* each entry daemon for itself, over the own zone */
    MODEL_TWO_STALE,   /* the better of two, on loads that are 0.5 s old */
    MODEL_ALL_KNOWING, /* the shortest queue at this moment, any zone */
    MODEL_WAY__MAX
};

/* A load pattern; shares and factors are 0 where they do not apply. */
struct model_pattern {
    const char *name;
    const char *what;
    double burst;        /* times the usual rate, from 6 to 9 s */
    double overload;     /* times the usual rate, from 6 s on */
    double shift;        /* share of zone 0's callers that use zone 1's */
    double lost;         /* share of targets silent from 6 s on */
    double replaced;     /* share of targets cold, one each 0.5 s from 4 s */
    double slow;         /* share of targets five times as slow, 6 to 12 s */
    double entries_lost; /* share of entry daemons gone from 6 s on */
};

struct model_options {
    enum model_way way;
    const struct model_pattern *pattern;
    uint64_t seed;
    unsigned zones;
    unsigned entries; /* for each zone */
    unsigned targets; /* for each zone */
    double load;      /* share of all slots that is in use on average */
    unsigned seconds;
};

struct model_result {
    uint64_t asked;
    uint64_t in_goal;
    uint64_t late;
    uint64_t failed;
    uint64_t refused; /* openings turned away, retries among them */
    double p50_ms;
    double p99_ms;
    double worst_window; /* share in goal */
    double worst_zone;
    double remote; /* share of flows placed in another zone */
    size_t window_count;
    double windows[MODEL_WINDOWS_MAX]; /* share in goal, by time of asking */
};

extern const struct model_pattern model_patterns[];

const char *model_way_name(enum model_way);
void model_run(const struct model_options *, struct model_result *);
void model_plot(const char *path, const char *title,
                const struct model_result *, const enum model_way *,
                size_t count);

#endif
