/* The queue of events. */
#include "model_queue.h"

static gint by_time(gconstpointer, gconstpointer, gpointer);

static gint
by_time(gconstpointer a, gconstpointer b, gpointer data)
{
    const struct model_moment *x = a, *y = b;

    (void)data;
    if (x->at_us != y->at_us) {
        return x->at_us < y->at_us ? -1 : 1;
    }
    return x->order < y->order ? -1 : x->order > y->order;
}

void
model_queue_init(struct model_queue *queue)
{
    queue->events = g_sequence_new(NULL);
    queue->order = 0;
}

/* Free the queue's events too. */
void
model_queue_clear(struct model_queue *queue)
{
    void *event;

    while ((event = model_queue_pop(queue)) != NULL) {
        g_free(event);
    }
    g_sequence_free(queue->events);
}

/* Add EVENT, which was allocated and begins with a moment; it is taken over. */
void
model_queue_push(struct model_queue *queue, uint64_t at_us, void *event)
{
    struct model_moment *moment = event;

    moment->at_us = at_us;
    moment->order = ++queue->order;
    g_sequence_insert_sorted(queue->events, event, by_time, NULL);
}

/* The first event, to be freed by the caller; NULL if there is none. */
void *
model_queue_pop(struct model_queue *queue)
{
    GSequenceIter *first = g_sequence_get_begin_iter(queue->events);
    void *event;

    if (g_sequence_iter_is_end(first)) {
        return NULL;
    }
    event = g_sequence_get(first);
    g_sequence_remove(first);
    return event;
}
