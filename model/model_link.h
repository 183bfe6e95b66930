/*
 * A model of one entry VM's link, in both directions: callers send uploads a
 * window at a time and small requests, send again what is not acknowledged,
 * and try again what is refused; targets answer callers directly and are not
 * short.  What is weighed is which openings are taken in and what goes first.
 * Seeded, in simulated time.
 */
#ifndef PS_MODEL_MODEL_LINK_H
#define PS_MODEL_MODEL_LINK_H

#include <stddef.h>
#include <stdint.h>

#define MODEL_LINK_WINDOWS_MAX 64

enum model_link_way {
    MODEL_LINK_ALL,     /* all openings; packets up to 256 bytes go first */
    MODEL_LINK_PRODUCT, /* src/affinity and src/shape */
    MODEL_LINK_WAY__MAX
};

struct model_link_options {
    enum model_link_way way;
    uint64_t seed;
    uint64_t bytes_per_s;
    double uploads_per_s; /* usual; of 40,000 bytes, within 1.2 s */
    double small_per_s;   /* usual; of 900 bytes, within 0.4 s */
    double times;         /* the usual rates, between begin and end */
    unsigned begin_s;
    unsigned end_s;
    unsigned seconds;
};

struct model_link_class {
    uint64_t asked;
    uint64_t in_goal;
    uint64_t late;
    uint64_t failed;
    double windows[MODEL_LINK_WINDOWS_MAX]; /* share in goal, each second */
};

struct model_link_result {
    struct model_link_class small;
    struct model_link_class upload;
    uint64_t refused; /* openings, retries among them */
    uint64_t copies;  /* data packets sent again */
    uint64_t lost;    /* packets that the link's queue towards us dropped */
    unsigned back_s;  /* after the end until small ones are in goal again */
    double bound;     /* share of uploads that the link can pass, at most */
};

const char *model_link_way_name(enum model_link_way);
void model_link_run(const struct model_link_options *,
                    struct model_link_result *);

#endif
