/*
 * Reports of load from a former owner: it reports to its successor which slots
 * it still uses, so that no target gets more calls than it has slots.
 */
#include "call/call_internal.h"

#define LOAD_VALID_US 200000 /* validity of a report of a former owner */
#define ADDRESS_SHIFT 32

static uint32_t total_slots_used(const struct call_pool *);

/* Return the number of slots that this daemon uses at all targets of POOL. */
static uint32_t
total_slots_used(const struct call_pool *pool)
{
    uint32_t used = 0;

    for (unsigned i = 0; i < pool->targets->len; i++) {
        used += g_array_index(pool->targets, struct call_target, i).slots_used;
    }
    return used;
}

/*
 * Report to the successor which slots this daemon uses, if their number has
 * changed, or in any case with AGAIN.  The last report says that none is used.
 */
void
call_load_send(struct call_step *step, struct call_pool *pool, bool again)
{
    uint32_t used = total_slots_used(pool);
    struct call_message *message;

    if (pool->successor.value == 0 || call_is_owner(step->core, pool) ||
        (used == pool->successor_slots && !again)) {
        return;
    }
    message = call_message_add(step, pool, pool->successor, CALL_MSG_LOAD);
    for (unsigned i = 0; i < pool->targets->len &&
                         message->key_count < CALL_RECORDS_PER_MESSAGE;
         i++) {
        const struct call_target *target =
            &g_array_index(pool->targets, struct call_target, i);

        if (target->slots_used > 0) {
            struct target_key key = target->view.key;

            message->keys[message->key_count++] = (struct call_key){
                .id = (uint64_t)key.address << ADDRESS_SHIFT | key.incarnation,
                .caller = target->slots_used,
            };
        }
    }
    pool->successor_slots = used;
    if (used == 0 && step->core->stop_us == 0) {
        pool->successor.value = 0;
    }
}

/* Store a former owner's report of the slots that it uses. */
void
call_load_receive(struct call_step *step, struct call_pool *pool,
                  const struct call_message *message)
{
    for (unsigned i = 0; i < pool->targets->len; i++) {
        g_array_index(pool->targets, struct call_target, i).former_slots_used =
            0;
    }
    for (size_t i = 0; i < message->key_count; i++) {
        struct target_key key = {
            .address = (uint32_t)(message->keys[i].id >> ADDRESS_SHIFT),
            .incarnation = (uint32_t)message->keys[i].id,
        };
        struct call_target *target = call_target_find(pool, key);

        if (target != NULL) {
            target->former_slots_used = message->keys[i].caller;
            target->former_slots_until_us = step->now_us + LOAD_VALID_US;
        }
    }
}
