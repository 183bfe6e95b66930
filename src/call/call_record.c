/*
 * The lead's side of the records: each id of a non-idempotent call is held by
 * a majority of the epoch's group before the call is first sent or denied.
 */
#include "call/call_internal.h"

#define RESEND_US  100000 /* unacknowledged records are sent again */
#define WINDOW_MAX 4096   /* records on their way to one member */

static void send_records(struct call_step *, struct call_pool *,
                         struct call_peer *);

/*
 * Record the id of CALL in the present epoch.  False if none is held whose
 * earlier records are known, or if the log is full.
 */
bool
call_record(struct call_step *step, struct call_pool *pool, struct call *call)
{
    struct call_log *log = &pool->log;

    if (!pool->lead.collected || log->epoch != pool->lead.epoch.number ||
        pool->promised > log->epoch) {
        return false;
    }
    if (log->keys->len >= step->core->options.records_max) {
        return false;
    }
    call->offset = call_log_end(log);
    call_log_append(log, call->key,
                    step->now_us + call_retention_us(step->core));
    step->core->counters.records++;
    return true;
}

/*
 * The offset up to which enough members hold the log: a majority under a
 * valid lease, all of them for a longer time without one, else none.
 */
uint64_t
call_record_reach(const struct call_step *step, const struct call_pool *pool)
{
    const struct call_lead *lead = &pool->lead;
    const struct call_options *options = &step->core->options;
    uint64_t ends[CALL_GROUP_MAX];
    unsigned needed = lead->peer_count / 2 + 1;

    if (lead->epoch.number == 0 || !lead->collected) {
        return 0;
    }
    if (!call_lease_held(step, pool)) {
        needed = lead->peer_count;
        if (needed < 2 ||
            step->now_us >= lead->confirmed_us + options->lease_extended_us) {
            return 0;
        }
    }
    ends[0] = call_log_end(&pool->log);
    for (unsigned i = 1; i < lead->peer_count; i++) {
        unsigned place = i;

        while (place > 0 && ends[place - 1] < lead->peers[i].next) {
            ends[place] = ends[place - 1];
            place--;
        }
        ends[place] = lead->peers[i].next;
    }
    return ends[needed - 1];
}

/* True if the record of CALL is held by enough of the group. */
bool
call_record_held(const struct call_step *step, const struct call_pool *pool,
                 const struct call *call)
{
    uint64_t reach;

    if (call->held || call->offset == CALL_OFFSET_NONE) {
        return call->held;
    }
    reach = call_record_reach(step, pool);
    return call->offset < reach && reach >= pool->log.install;
}

/* Let calls go on whose records are held by now. */
void
call_record_settle(struct call_step *step, struct call_pool *pool)
{
    GList *link = pool->open.head;

    while (link != NULL) {
        struct call *call = link->data;

        link = link->next;
        if ((call->state != CALL_RECORDING && call->state != CALL_DENYING) ||
            !call_record_held(step, pool, call)) {
            continue;
        }
        call->held = true;
        if (call->state == CALL_DENYING) {
            call_refuse(step, pool, call, call->reason);
            continue;
        }
        call_queue_add(pool, call);
    }
}

/* Send PEER one message with what follows PEER->sent. */
static void
send_records(struct call_step *step, struct call_pool *pool,
             struct call_peer *peer)
{
    const struct call_log *log = &pool->log;
    struct call_message *message =
        call_message_add(step, pool, peer->member.daemon, CALL_MSG_RECORD);

    peer->sent = MAX(peer->sent, log->first);
    message->epoch = log->epoch;
    message->incarnation = peer->member.incarnation;
    message->first = log->first;
    message->offset = peer->sent;
    message->end = call_log_end(log);
    message->install = log->install;
    message->key_count = call_log_page(log, peer->sent, message->keys,
                                       CALL_RECORDS_PER_MESSAGE);
    peer->sent += message->key_count;
    peer->at_us = step->now_us;
    step->core->counters.record_messages++;
    step->core->counters.record_bytes +=
        message->key_count * (sizeof(uint64_t) + sizeof(uint32_t));
}

/* Send new records to the group, and lost ones again. */
void
call_record_flush(struct call_step *step, struct call_pool *pool)
{
    struct call_lead *lead = &pool->lead;
    uint64_t end = call_log_end(&pool->log);

    if (lead->epoch.number == 0 || !lead->collected ||
        pool->promised > lead->epoch.number) {
        return;
    }
    for (unsigned i = 1; i < lead->peer_count; i++) {
        struct call_peer *peer = &lead->peers[i];
        bool waits = peer->sent > peer->next || !peer->answered;

        if (peer->lost) {
            continue;
        }
        if (waits && step->now_us >= peer->at_us + RESEND_US) {
            peer->sent = peer->next;
            send_records(step, pool, peer);
        }
        while (peer->sent < end && peer->sent < peer->next + WINDOW_MAX) {
            send_records(step, pool, peer);
        }
    }
}

/*
 * A member has told how far it holds the log, or that it may hold no more.
  * One that lacks what was sent before its last message is sent it again.
 */
void
call_record_ack(struct call_step *step, struct call_pool *pool,
                struct daemon_id from, const struct call_message *message)
{
    struct call_lead *lead = &pool->lead;

    if (lead->epoch.number == 0 || message->epoch < lead->epoch.number) {
        return;
    }
    for (unsigned i = 1; i < lead->peer_count; i++) {
        struct call_peer *peer = &lead->peers[i];

        if (peer->member.daemon.value != from.value) {
            continue;
        }
        if (message->incarnation != peer->member.incarnation) {
            peer->lost = true;
            return;
        }
        if (message->epoch == lead->epoch.number) {
            bool gap =
                message->offset < message->end && message->end > peer->next;

            peer->answered = true;
            peer->next = MAX(peer->next, message->offset);
            peer->sent = gap ? peer->next : MAX(peer->sent, peer->next);
        }
    }
    if (message->epoch > lead->epoch.number) {
        call_epoch_confirm(step, pool);
        return;
    }
    call_record_settle(step, pool);
}
