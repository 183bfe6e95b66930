/*
 * Takeover: a new owner fences the previous group and collects its records.
 * Where that is not possible, it waits until all calls that could have been
 * started before are past their deadline.
 */
#include "call/call_internal.h"

#define COLLECT_RETRY_US 200000

static void request_page(struct call_step *, struct call_pool *,
                         struct call_peer *);
static void adopt_records(struct call_step *, struct call_pool *,
                          const struct call_peer *);
static void check_collected(struct call_step *, struct call_pool *);

/* Request the next page of records of the previous epoch from PEER. */
static void
request_page(struct call_step *step, struct call_pool *pool,
             struct call_peer *peer)
{
    struct call_message *message =
        call_message_add(step, pool, peer->member.daemon, CALL_MSG_COLLECT);

    message->epoch = pool->ownership.epoch.number;
    message->previous = pool->ownership.previous.number;
    message->incarnation = peer->member.incarnation;
    message->offset = peer->next_offset;
    peer->last_sent_us = step->now_us;
}

/*
 * Collect the records that this daemon holds itself as a member PEER of the
 * previous group.
 */
static void
collect_own(struct call_step *step, struct call_pool *pool,
            struct call_peer *peer)
{
    const struct call_log *log = &pool->log;

    if (peer->member.incarnation != step->core->options.incarnation) {
        peer->restarted = true;
        return;
    }
    peer->answered = true;
    peer->has_log = log->epoch == pool->ownership.previous.number;
    if (peer->has_log) {
        g_array_append_vals(peer->keys, log->keys->data, log->keys->len);
        peer->log_end = call_log_end(log);
        peer->carried_over_count = log->carried_over_count;
    }
}

/* Start to collect the records of the epoch before the one just granted. */
void
call_collect_begin(struct call_step *step, struct call_pool *pool)
{
    struct call_ownership *ownership = &pool->ownership;

    ownership->phase = CALL_PHASE_COLLECTING;
    ownership->phase_since_us = step->now_us;
    ownership->previous_count =
        ownership->previous.number == 0 ? 0 : ownership->previous.group_count;
    for (unsigned i = 0; i < ownership->previous_count; i++) {
        struct call_peer *peer = &ownership->previous_peers[i];
        GArray *keys = peer->keys;

        if (keys == NULL) {
            keys = g_array_new(FALSE, FALSE, sizeof(struct call_key));
        }
        g_array_set_size(keys, 0);
        *peer = (struct call_peer){.member = ownership->previous.group[i],
                                   .keys = keys};
        if (peer->member.daemon.value == step->core->options.self.value) {
            collect_own(step, pool, peer);
        }
        else {
            request_page(step, pool, peer);
        }
    }
    check_collected(step, pool);
}

/* Store a page of records that a member of the previous group has sent. */
void
call_collect_ack(struct call_step *step, struct call_pool *pool,
                 struct daemon_id from, const struct call_message *message)
{
    struct call_ownership *ownership = &pool->ownership;
    struct call_peer *peer = NULL;

    for (unsigned i = 0; i < ownership->previous_count; i++) {
        if (ownership->previous_peers[i].member.daemon.value == from.value) {
            peer = &ownership->previous_peers[i];
        }
    }
    if (ownership->phase != CALL_PHASE_COLLECTING || peer == NULL ||
        peer->answered || message->previous != ownership->previous.number) {
        return;
    }
    if (message->epoch > ownership->epoch.number) {
        call_epoch_confirm(step, pool);
        return;
    }
    if (message->epoch != ownership->epoch.number) {
        return;
    }
    if (message->incarnation != peer->member.incarnation) {
        peer->restarted = true;
    }
    else if (!message->has_log) {
        peer->answered = true;
    }
    else if (message->offset >= peer->next_offset) {
        g_array_append_vals(peer->keys, message->keys,
                            (unsigned)message->key_count);
        peer->has_log = true;
        peer->carried_over_count = message->carried_over_count;
        peer->log_end = message->end;
        peer->next_offset = message->offset + message->key_count;
        peer->answered = peer->next_offset >= peer->log_end;
        if (!peer->answered) {
            request_page(step, pool, peer);
        }
    }
    check_collected(step, pool);
}

/* Make the records collected from PEER, or none if it is NULL, the log. */
static void
adopt_records(struct call_step *step, struct call_pool *pool,
              const struct call_peer *peer)
{
    uint64_t expire = step->now_us + call_retention_us(step->core);

    call_log_clear(&pool->log);
    for (unsigned i = 0; peer != NULL && i < peer->keys->len; i++) {
        call_log_append(&pool->log,
                        g_array_index(peer->keys, struct call_key, i), expire);
    }
    call_install(step, pool);
}

/* Return the member with the longest completely collected log, or NULL. */
static const struct call_peer *
longest_log(const struct call_ownership *ownership)
{
    const struct call_peer *best = NULL;

    for (unsigned i = 0; i < ownership->previous_count; i++) {
        const struct call_peer *peer = &ownership->previous_peers[i];

        if (peer->answered && peer->has_log && !peer->restarted &&
            (best == NULL || peer->log_end > best->log_end)) {
            best = peer;
        }
    }
    return best;
}

/*
 * Return when all calls that an owner which was not fenced could have started
 * are past their deadline, in us.  The extended lease needs the
 * acknowledgements of a whole group of at least two, so lease_us is
 * used instead for a group of one, or once a member has answered or restarted.
 */
static uint64_t
wait_end_us(const struct call_step *step,
            const struct call_ownership *ownership)
{
    const struct call_options *options = &step->core->options;
    uint64_t lease = options->lease_extended_us;

    for (unsigned i = 0; i < ownership->previous_count; i++) {
        if (ownership->previous_peers[i].answered ||
            ownership->previous_peers[i].restarted ||
            ownership->previous_count == 1) {
            lease = options->lease_us;
        }
    }
    return ownership->granted_us + lease + call_retention_us(step->core);
}

/* Install the records if enough of the previous group has answered. */
static void
check_collected(struct call_step *step, struct call_pool *pool)
{
    struct call_ownership *ownership = &pool->ownership;
    const struct call_peer *best = longest_log(ownership);
    unsigned answered = 0;

    for (unsigned i = 0; i < ownership->previous_count; i++) {
        answered += ownership->previous_peers[i].answered &&
                    !ownership->previous_peers[i].restarted;
    }
    if (ownership->previous_count == 0 ||
        (answered > ownership->previous_count / 2 && best != NULL &&
         best->log_end >= best->carried_over_count)) {
        adopt_records(step, pool, best);
    }
}

/*
 * Repeat the request to members that have not answered; install what was
 * collected when the wait is over.
 */
void
call_collect_tick(struct call_step *step, struct call_pool *pool)
{
    struct call_ownership *ownership = &pool->ownership;

    if (step->now_us >= wait_end_us(step, ownership)) {
        adopt_records(step, pool, longest_log(ownership));
        return;
    }
    for (unsigned i = 0; i < ownership->previous_count; i++) {
        struct call_peer *peer = &ownership->previous_peers[i];

        if (!peer->answered && !peer->restarted &&
            step->now_us >= peer->last_sent_us + COLLECT_RETRY_US) {
            request_page(step, pool, peer);
        }
    }
}
