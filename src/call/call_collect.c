/*
 * Taking over: a new lead fences the previous group and collects its
 * records.  Where that is not possible it waits until all that could have
 * been started before is past its deadline.
 */
#include "call/call_internal.h"

#define COLLECT_AGAIN_US 200000

static void ask_page(struct call_step *, struct call_pool *,
                     struct call_peer *);
static void take(struct call_step *, struct call_pool *,
                 const struct call_peer *);
static void review(struct call_step *, struct call_pool *);

static void
ask_page(struct call_step *step, struct call_pool *pool,
         struct call_peer *peer)
{
    struct call_message *message =
        call_message_add(step, pool, peer->member.daemon, CALL_MSG_COLLECT);

    message->epoch = pool->lead.epoch.number;
    message->previous = pool->lead.previous.number;
    message->incarnation = peer->member.incarnation;
    message->offset = peer->next;
    peer->at_us = step->now_us;
}

/* What this daemon itself holds as a member of the previous group. */
static void
take_own(struct call_step *step, struct call_pool *pool,
         struct call_peer *peer)
{
    const struct call_log *log = &pool->log;

    if (peer->member.incarnation != step->core->options.incarnation) {
        peer->lost = true;
        return;
    }
    peer->answered = true;
    peer->held = log->epoch == pool->lead.previous.number;
    if (peer->held) {
        g_array_append_vals(peer->keys, log->keys->data, log->keys->len);
        peer->end = call_log_end(log);
        peer->install = log->install;
    }
}

/* Begin to collect the records of the epoch before the one just given. */
void
call_collect_begin(struct call_step *step, struct call_pool *pool)
{
    struct call_lead *lead = &pool->lead;

    lead->phase = CALL_PHASE_COLLECTING;
    lead->phase_us = step->now_us;
    lead->former_count =
        lead->previous.number == 0 ? 0 : lead->previous.group_count;
    for (unsigned i = 0; i < lead->former_count; i++) {
        struct call_peer *peer = &lead->formers[i];
        GArray *keys = peer->keys;

        if (keys == NULL) {
            keys = g_array_new(FALSE, FALSE, sizeof(struct call_key));
        }
        g_array_set_size(keys, 0);
        *peer = (struct call_peer){.member = lead->previous.group[i],
                                   .keys = keys};
        if (peer->member.daemon.value == step->core->options.self.value) {
            take_own(step, pool, peer);
        }
        else {
            ask_page(step, pool, peer);
        }
    }
    review(step, pool);
}

/* A member of the previous group has given a page of its records. */
void
call_collect_ack(struct call_step *step, struct call_pool *pool,
                 struct daemon_id from, const struct call_message *message)
{
    struct call_lead *lead = &pool->lead;
    struct call_peer *peer = NULL;

    for (unsigned i = 0; i < lead->former_count; i++) {
        if (lead->formers[i].member.daemon.value == from.value) {
            peer = &lead->formers[i];
        }
    }
    if (lead->phase != CALL_PHASE_COLLECTING || peer == NULL ||
        peer->answered || message->previous != lead->previous.number) {
        return;
    }
    if (message->epoch > lead->epoch.number) {
        call_epoch_confirm(step, pool);
        return;
    }
    if (message->epoch != lead->epoch.number) {
        return;
    }
    if (message->incarnation != peer->member.incarnation) {
        peer->lost = true;
    }
    else if (!message->held) {
        peer->answered = true;
    }
    else if (message->offset >= peer->next) {
        g_array_append_vals(peer->keys, message->keys,
                            (unsigned)message->key_count);
        peer->held = true;
        peer->install = message->install;
        peer->end = message->end;
        peer->next = message->offset + message->key_count;
        peer->answered = peer->next >= peer->end;
        if (!peer->answered) {
            ask_page(step, pool, peer);
        }
    }
    review(step, pool);
}

/* Take over the records that PEER holds; NULL is none. */
static void
take(struct call_step *step, struct call_pool *pool,
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

/* The longest log that was collected whole, or NULL. */
static const struct call_peer *
longest(const struct call_lead *lead)
{
    const struct call_peer *best = NULL;

    for (unsigned i = 0; i < lead->former_count; i++) {
        const struct call_peer *peer = &lead->formers[i];

        if (peer->answered && peer->held && !peer->lost &&
            (best == NULL || peer->end > best->end)) {
            best = peer;
        }
    }
    return best;
}

/* When all that an unfenced lead could have started is past its deadline. */
static uint64_t
wait_until(const struct call_step *step, const struct call_lead *lead)
{
    const struct call_options *options = &step->core->options;
    uint64_t lease = options->lease_extended_us;

    for (unsigned i = 0; i < lead->former_count; i++) {
        if (lead->formers[i].answered || lead->formers[i].lost ||
            lead->former_count == 1) {
            lease = options->lease_us;
        }
    }
    return lead->granted_us + lease + call_retention_us(step->core);
}

/* Go on if enough of the previous group has answered. */
static void
review(struct call_step *step, struct call_pool *pool)
{
    struct call_lead *lead = &pool->lead;
    const struct call_peer *best = longest(lead);
    unsigned answered = 0;

    for (unsigned i = 0; i < lead->former_count; i++) {
        answered += lead->formers[i].answered && !lead->formers[i].lost;
    }
    if (lead->former_count == 0 ||
        (answered > lead->former_count / 2 && best != NULL &&
         best->end >= best->install)) {
        take(step, pool, best);
    }
}

/* Ask again those that have not answered; go on when the wait is over. */
void
call_collect_tick(struct call_step *step, struct call_pool *pool)
{
    struct call_lead *lead = &pool->lead;

    if (step->now_us >= wait_until(step, lead)) {
        take(step, pool, longest(lead));
        return;
    }
    for (unsigned i = 0; i < lead->former_count; i++) {
        struct call_peer *peer = &lead->formers[i];

        if (!peer->answered && !peer->lost &&
            step->now_us >= peer->at_us + COLLECT_AGAIN_US) {
            ask_page(step, pool, peer);
        }
    }
}
