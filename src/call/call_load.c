/*
 * The slots that a former lead still uses: it tells the lead after it, so
 * that targets are not given more calls than they have slots.
 */
#include "call/call_internal.h"

#define LOAD_LIFE_US  200000 /* of what a former lead has told */
#define ADDRESS_SHIFT 32

static uint32_t slots_used(const struct call_pool *);

static uint32_t
slots_used(const struct call_pool *pool)
{
    uint32_t used = 0;

    for (unsigned i = 0; i < pool->slots->len; i++) {
        used += g_array_index(pool->slots, struct call_slot, i).used;
    }
    return used;
}

/*
 * Tell the lead after this one which slots are in use, if that has changed
 * or is to be told AGAIN; the last message says that none is.
 */
void
call_load_tell(struct call_step *step, struct call_pool *pool, bool again)
{
    uint32_t used = slots_used(pool);
    struct call_message *message;

    if (pool->heir.value == 0 || call_is_lead(step->core, pool) ||
        (used == pool->heir_told && !again)) {
        return;
    }
    message = call_message_add(step, pool, pool->heir, CALL_MSG_LOAD);
    for (unsigned i = 0;
         i < pool->slots->len && message->key_count < CALL_RECORDS_PER_MESSAGE;
         i++) {
        const struct call_slot *slot =
            &g_array_index(pool->slots, struct call_slot, i);

        if (slot->used > 0) {
            struct target_key target = slot->view.key;

            message->keys[message->key_count++] = (struct call_key){
                .id = (uint64_t)target.address << ADDRESS_SHIFT |
                      target.incarnation,
                .caller = slot->used,
            };
        }
    }
    pool->heir_told = used;
    if (used == 0 && step->core->stop_us == 0) {
        pool->heir.value = 0;
    }
}

/* A former lead has told which slots it uses. */
void
call_load_told(struct call_step *step, struct call_pool *pool,
               const struct call_message *message)
{
    for (unsigned i = 0; i < pool->slots->len; i++) {
        g_array_index(pool->slots, struct call_slot, i).foreign = 0;
    }
    for (size_t i = 0; i < message->key_count; i++) {
        struct target_key key = {
            .address = (uint32_t)(message->keys[i].id >> ADDRESS_SHIFT),
            .incarnation = (uint32_t)message->keys[i].id,
        };
        struct call_slot *slot = call_slot_find(pool, key);

        if (slot != NULL) {
            slot->foreign = message->keys[i].caller;
            slot->foreign_until_us = step->now_us + LOAD_LIFE_US;
        }
    }
}
