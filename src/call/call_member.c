/*
 * The member's side of the records: a member holds the log of the highest
 * epoch that it has promised, and refuses records of every lower one.
 */
#include "call/call_internal.h"

#include <string.h>

static void store_records(struct call_step *, struct call_pool *,
                          struct daemon_id, const struct call_message *);
static void send_collected(struct call_step *, struct call_pool *,
                           struct daemon_id, const struct call_message *);

/*
 * Append a message to the daemon TO, with only its kind and pool set, and
 * return it.  It belongs to the core, which frees it at the next step.
 */
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

/*
 * Store the records of an owner's message and acknowledge the end of the log.
 */
static void
store_records(struct call_step *step, struct call_pool *pool,
              struct daemon_id from, const struct call_message *message)
{
    uint64_t expire = step->now_us + call_retention_us(step->core);
    struct call_log *log = &pool->log;
    struct call_message *ack =
        call_message_add(step, pool, from, CALL_MSG_RECORD_ACK);

    ack->incarnation = step->core->options.incarnation;
    if (message->incarnation != step->core->options.incarnation ||
        message->epoch < pool->promised_epoch) {
        ack->epoch = MAX(pool->promised_epoch, message->epoch);
        return;
    }
    if (pool->ownership.epoch.number != 0 &&
        pool->ownership.epoch.number < message->epoch) {
        call_epoch_superseded(step, pool, message->epoch, from);
    }
    pool->promised_epoch = message->epoch;
    if (log->epoch != message->epoch) {
        call_log_clear(log);
        log->epoch = message->epoch;
    }
    log->carried_over_count = message->carried_over_count;
    if (message->first > call_log_end(log)) {
        call_log_clear(log);
        log->first = message->first;
        log->carried_over_count = message->carried_over_count;
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

/*
 * Promise the epoch of a new owner and send it a page of the records of the
 * epoch that it requests.
 */
static void
send_collected(struct call_step *step, struct call_pool *pool,
               struct daemon_id from, const struct call_message *message)
{
    const struct call_log *log = &pool->log;
    struct call_message *ack =
        call_message_add(step, pool, from, CALL_MSG_COLLECT_ACK);

    ack->incarnation = step->core->options.incarnation;
    ack->epoch = message->epoch;
    ack->previous = message->previous;
    if (message->epoch < pool->promised_epoch) {
        ack->epoch = pool->promised_epoch;
        return;
    }
    if (pool->ownership.epoch.number != 0 &&
        pool->ownership.epoch.number < message->epoch) {
        call_epoch_superseded(step, pool, message->epoch, from);
    }
    pool->promised_epoch = message->epoch;
    ack->has_log = log->epoch == message->previous;
    if (!ack->has_log) {
        return;
    }
    ack->first = log->first;
    ack->end = call_log_end(log);
    ack->carried_over_count = log->carried_over_count;
    ack->offset = CLAMP(message->offset, log->first, ack->end);
    ack->key_count =
        call_log_page(log, ack->offset, ack->keys, CALL_RECORDS_PER_MESSAGE);
}

/* Process a message from the call core of the daemon FROM. */
void
call_message_receive(struct call_step *step, struct call_pool *pool,
                     struct daemon_id from, const struct call_message *message)
{
    switch (message->kind) {
    case CALL_MSG_HELLO:
        call_message_add(step, pool, from, CALL_MSG_HELLO_ACK)->incarnation =
            step->core->options.incarnation;
        break;
    case CALL_MSG_HELLO_ACK:
        call_group_hello_ack(step, pool, from, message);
        break;
    case CALL_MSG_RECORD:
        store_records(step, pool, from, message);
        break;
    case CALL_MSG_RECORD_ACK:
        call_record_ack(step, pool, from, message);
        break;
    case CALL_MSG_COLLECT:
        send_collected(step, pool, from, message);
        break;
    case CALL_MSG_COLLECT_ACK:
        call_collect_ack(step, pool, from, message);
        break;
    case CALL_MSG_LOAD:
        call_load_receive(step, pool, message);
        break;
    case CALL_MSG__MAX:
        break;
    }
}
