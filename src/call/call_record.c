/*
 * The owner's side of the records: a majority of the epoch's group holds the
 * id of a non-idempotent call before the call is first sent or refused.
 */
#include "call/call_internal.h"

#define RESEND_US  100000 /* until unacknowledged records are sent again */
#define WINDOW_MAX 4096   /* unacknowledged records sent to one member */

static void send_records(struct call_step *, struct call_pool *,
                         struct call_peer *);

/*
 * Record the id of CALL in the log of the present epoch.  Return false if this
 * daemon holds no epoch, if it has not collected the earlier records, if it
 * has promised a higher epoch, or if the log is full.
 */
bool
call_record_add(struct call_step *step, struct call_pool *pool,
                struct call *call)
{
    struct call_log *log = &pool->log;

    if (!pool->ownership.collected ||
        log->epoch != pool->ownership.epoch.number ||
        pool->promised_epoch > log->epoch) {
        return false;
    }
    if (log->keys->len >= step->core->options.records_max) {
        return false;
    }
    call->record_offset = call_log_end(log);
    call_log_append(log, call->key,
                    step->now_us + call_retention_us(step->core));
    step->core->counters.records++;
    return true;
}

/*
 * Return the offset up to which enough members hold the log: a majority under
 * a valid lease, all members during the extended lease, else 0.
 */
uint64_t
call_record_replicated(const struct call_step *step,
                       const struct call_pool *pool)
{
    const struct call_ownership *ownership = &pool->ownership;
    const struct call_options *options = &step->core->options;
    uint64_t ends[CALL_GROUP_MAX];
    unsigned needed = ownership->peer_count / 2 + 1;

    if (ownership->epoch.number == 0 || !ownership->collected) {
        return 0;
    }
    if (!call_lease_held(step, pool)) {
        needed = ownership->peer_count;
        if (needed < 2 || step->now_us >= ownership->confirmed_us +
                                              options->lease_extended_us) {
            return 0;
        }
    }
    ends[0] = call_log_end(&pool->log);
    for (unsigned i = 1; i < ownership->peer_count; i++) {
        unsigned place = i;

        while (place > 0 &&
               ends[place - 1] < ownership->peers[i].next_offset) {
            ends[place] = ends[place - 1];
            place--;
        }
        ends[place] = ownership->peers[i].next_offset;
    }
    return ends[needed - 1];
}

/* Return true if enough members of the group hold the record of CALL. */
bool
call_record_held(const struct call_step *step, const struct call_pool *pool,
                 const struct call *call)
{
    uint64_t replicated;

    if (call->record_held || call->record_offset == CALL_OFFSET_NONE) {
        return call->record_held;
    }
    replicated = call_record_replicated(step, pool);
    return call->record_offset < replicated &&
           replicated >= pool->log.carried_over_count;
}

/* Queue or refuse the calls whose records are held by now. */
void
call_resume_recorded(struct call_step *step, struct call_pool *pool)
{
    GList *link = pool->open.head;

    while (link != NULL) {
        struct call *call = link->data;

        link = link->next;
        if ((call->state != CALL_STATE_RECORDING &&
             call->state != CALL_STATE_REFUSING) ||
            !call_record_held(step, pool, call)) {
            continue;
        }
        call->record_held = true;
        if (call->state == CALL_STATE_REFUSING) {
            call_refuse(step, pool, call, call->reason);
            continue;
        }
        call_queue_add(pool, call);
    }
}

/* Send PEER one message with the records from PEER->sent_offset on. */
static void
send_records(struct call_step *step, struct call_pool *pool,
             struct call_peer *peer)
{
    const struct call_log *log = &pool->log;
    struct call_message *message =
        call_message_add(step, pool, peer->member.daemon, CALL_MSG_RECORD);

    peer->sent_offset = MAX(peer->sent_offset, log->first);
    message->epoch = log->epoch;
    message->incarnation = peer->member.incarnation;
    message->first = log->first;
    message->offset = peer->sent_offset;
    message->end = call_log_end(log);
    message->carried_over_count = log->carried_over_count;
    message->key_count = call_log_page(log, peer->sent_offset, message->keys,
                                       CALL_RECORDS_PER_MESSAGE);
    peer->sent_offset += message->key_count;
    peer->last_sent_us = step->now_us;
    step->core->counters.record_messages++;
    step->core->counters.record_bytes +=
        message->key_count * (sizeof(uint64_t) + sizeof(uint32_t));
}

/* Send new records to the group, and unacknowledged ones again. */
void
call_record_flush(struct call_step *step, struct call_pool *pool)
{
    struct call_ownership *ownership = &pool->ownership;
    uint64_t end = call_log_end(&pool->log);

    if (ownership->epoch.number == 0 || !ownership->collected ||
        pool->promised_epoch > ownership->epoch.number) {
        return;
    }
    for (unsigned i = 1; i < ownership->peer_count; i++) {
        struct call_peer *peer = &ownership->peers[i];
        bool unacknowledged =
            peer->sent_offset > peer->next_offset || !peer->answered;

        if (peer->restarted) {
            continue;
        }
        if (unacknowledged && step->now_us >= peer->last_sent_us + RESEND_US) {
            peer->sent_offset = peer->next_offset;
            send_records(step, pool, peer);
        }
        while (peer->sent_offset < end &&
               peer->sent_offset < peer->next_offset + WINDOW_MAX) {
            send_records(step, pool, peer);
        }
    }
}

/*
 * Process a member's acknowledgement of the end of its log, or its refusal,
 * since it has promised a higher epoch or has another incarnation.  A member
 * that lacks records sent before the message acknowledged gets them again.
 */
void
call_record_ack(struct call_step *step, struct call_pool *pool,
                struct daemon_id from, const struct call_message *message)
{
    struct call_ownership *ownership = &pool->ownership;

    if (ownership->epoch.number == 0 ||
        message->epoch < ownership->epoch.number) {
        return;
    }
    for (unsigned i = 1; i < ownership->peer_count; i++) {
        struct call_peer *peer = &ownership->peers[i];

        if (peer->member.daemon.value != from.value) {
            continue;
        }
        if (message->incarnation != peer->member.incarnation) {
            peer->restarted = true;
            return;
        }
        if (message->epoch == ownership->epoch.number) {
            bool gap = message->offset < message->end &&
                       message->end > peer->next_offset;

            peer->answered = true;
            peer->next_offset = MAX(peer->next_offset, message->offset);
            peer->sent_offset =
                gap ? peer->next_offset
                    : MAX(peer->sent_offset, peer->next_offset);
        }
    }
    if (message->epoch > ownership->epoch.number) {
        call_epoch_confirm(step, pool);
        return;
    }
    call_resume_recorded(step, pool);
}
