/*
 * The member's side of the records: it holds the log of the highest epoch
 * that it has promised, and refuses every lower one.
 */
#include "call/call_internal.h"

#include <string.h>

static void hold(struct call_step *, struct call_pool *, struct daemon_id,
                 const struct call_message *);
static void give(struct call_step *, struct call_pool *, struct daemon_id,
                 const struct call_message *);

/* Make a message to the daemon TO, empty but for its kind and pool. */
struct call_message *
call_message_add(struct call_step *step, const struct call_pool *pool,
                 struct daemon_id to, enum call_message_kind kind)
{
    struct call_message *message = g_new0(struct call_message, 1);
    struct call_action *action = call_action_add(step, CALL_ACT_MESSAGE);

    g_ptr_array_add(step->core->messages, message);
    message->kind = kind;
    message->pool = pool->id;
    action->u.message.to = to;
    action->u.message.message = message;
    return message;
}

/* Hold the records of a lead's message and tell how far the log goes. */
static void
hold(struct call_step *step, struct call_pool *pool, struct daemon_id from,
     const struct call_message *message)
{
    uint64_t expire = step->now_us + call_retention_us(step->core);
    struct call_log *log = &pool->log;
    struct call_message *ack =
        call_message_add(step, pool, from, CALL_MSG_RECORD_ACK);

    ack->incarnation = step->core->options.incarnation;
    if (message->incarnation != step->core->options.incarnation ||
        message->epoch < pool->promised) {
        ack->epoch = MAX(pool->promised, message->epoch);
        return;
    }
    if (pool->lead.epoch.number != 0 &&
        pool->lead.epoch.number < message->epoch) {
        call_superseded(step, pool, message->epoch, from);
    }
    pool->promised = message->epoch;
    if (log->epoch != message->epoch) {
        call_log_clear(log);
        log->epoch = message->epoch;
    }
    log->install = message->install;
    if (message->first > call_log_end(log)) {
        call_log_clear(log);
        log->first = message->first;
        log->install = message->install;
    }
    for (size_t i = 0; i < message->key_count; i++) {
        if (message->offset + i == call_log_end(log)) {
            call_log_append(log, message->keys[i], expire);
        }
    }
    ack->epoch = log->epoch;
    ack->offset = call_log_end(log);
    ack->end = message->offset + message->key_count;
}

/* Promise the new lead's epoch and give it the records of the last one. */
static void
give(struct call_step *step, struct call_pool *pool, struct daemon_id from,
     const struct call_message *message)
{
    const struct call_log *log = &pool->log;
    struct call_message *ack =
        call_message_add(step, pool, from, CALL_MSG_COLLECT_ACK);

    ack->incarnation = step->core->options.incarnation;
    ack->epoch = message->epoch;
    ack->previous = message->previous;
    if (message->epoch < pool->promised) {
        ack->epoch = pool->promised;
        return;
    }
    if (pool->lead.epoch.number != 0 &&
        pool->lead.epoch.number < message->epoch) {
        call_superseded(step, pool, message->epoch, from);
    }
    pool->promised = message->epoch;
    ack->held = log->epoch == message->previous;
    if (!ack->held) {
        return;
    }
    ack->first = log->first;
    ack->end = call_log_end(log);
    ack->install = log->install;
    ack->offset = CLAMP(message->offset, log->first, ack->end);
    ack->key_count =
        call_log_page(log, ack->offset, ack->keys, CALL_RECORDS_PER_MESSAGE);
}

/* Take a message of another daemon's core. */
void
call_member_message(struct call_step *step, struct call_pool *pool,
                    struct daemon_id from, const struct call_message *message)
{
    switch (message->kind) {
    case CALL_MSG_HELLO:
        call_message_add(step, pool, from, CALL_MSG_HELLO_ACK)->incarnation =
            step->core->options.incarnation;
        break;
    case CALL_MSG_HELLO_ACK:
        call_epoch_hello_ack(step, pool, from, message);
        break;
    case CALL_MSG_RECORD:
        hold(step, pool, from, message);
        break;
    case CALL_MSG_RECORD_ACK:
        call_record_ack(step, pool, from, message);
        break;
    case CALL_MSG_COLLECT:
        give(step, pool, from, message);
        break;
    case CALL_MSG_COLLECT_ACK:
        call_collect_ack(step, pool, from, message);
        break;
    case CALL_MSG_LOAD:
        call_load_told(step, pool, message);
        break;
    case CALL_MSG__MAX:
        break;
    }
}
