/* Events of a model in the order of their times, then of their making. */
#ifndef PS_MODEL_MODEL_QUEUE_H
#define PS_MODEL_MODEL_QUEUE_H

#include <stdint.h>

#include <glib.h>

/* The first member of every event. */
struct model_moment {
    uint64_t at_us;
    uint64_t order;
};

struct model_queue {
    GSequence *events;
    uint64_t order;
};

void model_queue_init(struct model_queue *);
void model_queue_clear(struct model_queue *);
void model_queue_push(struct model_queue *, uint64_t at_us, void *event);
void *model_queue_pop(struct model_queue *);

#endif
