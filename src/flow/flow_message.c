/* Allocates and frees messages between flow cores. */
#include "flow/flow_message.h"

static void clear_array(GArray **);

/*
 * Return a message of KIND about POOL with all other members 0; freed by
 * flow_message_free().
 */
struct flow_message *
flow_message_new(enum flow_message_kind kind, struct pool_id pool)
{
    struct flow_message *message = g_new0(struct flow_message, 1);

    message->kind = kind;
    message->pool = pool;
    return message;
}

/* Free *ARRAY and set it to NULL. */
static void
clear_array(GArray **array)
{
    if (*array != NULL) {
        g_array_unref(*array);
        *array = NULL;
    }
}

/* Free the arrays of MESSAGE, but not the struct. */
void
flow_message_clear(struct flow_message *message)
{
    clear_array(&message->targets);
    clear_array(&message->changes);
    clear_array(&message->records);
}

/* Free MESSAGE, which may be NULL, and its arrays. */
void
flow_message_free(struct flow_message *message)
{
    if (message == NULL) {
        return;
    }
    flow_message_clear(message);
    g_free(message);
}
