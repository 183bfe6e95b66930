/* Messages out, and the news that each of them carries along. */
#include "member/member_priv.h"

#include <string.h>

#include "base/hash.h"

/* Bounds of packed sizes, in bytes. */
#define HEADER_SIZE  80
#define RECORD_SIZE  48 /* without its two names */
#define STAMP_SIZE   26
#define DIGESTS_SIZE (MEMBER_BUCKETS * 8 + 4)

static size_t record_size(const struct member_record *);
static size_t message_size(const struct member_message *);
static unsigned log2_ceil(size_t);
static void attach_news(struct member_core *, struct member_message *);

static size_t
record_size(const struct member_record *record)
{
    return RECORD_SIZE + strlen(record->name) + strlen(record->zone);
}

/* No less than what MESSAGE takes when packed. */
static size_t
message_size(const struct member_message *message)
{
    size_t size = HEADER_SIZE + message->stamp_count * STAMP_SIZE;

    if (message->kind == MEMBER_DIGESTS) {
        size += DIGESTS_SIZE;
    }
    for (size_t i = 0; i < message->record_count; i++) {
        size += record_size(&message->records[i]);
    }
    return size;
}

static unsigned
log2_ceil(size_t count)
{
    unsigned bits = 0;

    while (((size_t)1 << bits) < count) {
        bits++;
    }
    return bits;
}

/* MEMBER's record is news: send it along a few times. */
void
member_announce(struct member_core *core, struct member *member)
{
    member->gossip_left =
        GOSSIP_FACTOR * MAX(log2_ceil(core->order->len + 1), 1);
    if (!member->queued) {
        member->queued = true;
        g_queue_push_head(core->gossip, member);
    }
}

/* Add MEMBER's record if there is room and it is not yet in MESSAGE. */
bool
member_attach(struct member_core *core, struct member_message *message,
              const struct member *member)
{
    struct member_record *record;

    for (size_t i = 0; i < message->record_count; i++) {
        if (strcmp(message->records[i].name, member->record.name) == 0) {
            return true;
        }
    }
    if (message->record_count == MEMBER_RECORDS_MAX ||
        message_size(message) + record_size(&member->record) >
            MEMBER_DATAGRAM_MAX) {
        return false;
    }
    record = &message->records[message->record_count++];
    *record = member->record;
    if (member->record.status >= MEMBER_DEAD) {
        record->age_s =
            (uint32_t)((core->now_us - member->since_us) / US_PER_S);
    }
    return true;
}

/* Fill MESSAGE up with news, those sent least often first. */
static void
attach_news(struct member_core *core, struct member_message *message)
{
    guint count = MIN(core->gossip->length, MEMBER_RECORDS_MAX);

    for (guint i = 0; i < count; i++) {
        struct member *member = g_queue_peek_head(core->gossip);

        if (!member_attach(core, message, member)) {
            return;
        }
        g_queue_pop_head(core->gossip);
        member->gossip_left--;
        if (member->gossip_left == 0) {
            member->queued = false;
            continue;
        }
        g_queue_push_tail(core->gossip, member);
    }
}

/*
 * Begin a message of KIND, to be filled in and given to member_send() before
 * the next is begun.
 */
struct member_message *
member_start(struct member_core *core, enum member_message_kind kind)
{
    struct member_action *action = member_actions_add(core->out);

    action->kind = MEMBER_ACT_SEND;
    action->u.send.message.kind = kind;
    action->u.send.message.cluster = core->cluster;
    action->u.send.message.from = core->self->id;
    return &action->u.send.message;
}

/*
 * Send the MESSAGE last begun to ADDRESS, with news.  A receiver TO that is
 * known as other than well is told so, that it can refute it.
 */
void
member_send(struct member_core *core, uint32_t address,
            struct member_message *message, const struct member *to)
{
    core->out->items[core->out->count - 1].u.send.address = address;
    message->digest = member_digest(core);
    if (to != NULL && to->record.status != MEMBER_OK) {
        member_attach(core, message, to);
    }
    attach_news(core, message);
}

/* While there is news, send it to a few peers by chance. */
void
member_gossip(struct member_core *core)
{
    if (core->now_us < core->gossip_us || core->gossip->length == 0) {
        return;
    }
    core->gossip_us =
        core->now_us + core->options.gossip_interval_ms * US_PER_MS;
    for (int i = 0; i < GOSSIP_FANOUT; i++) {
        struct member *peer = member_random_peer(core);

        if (peer == NULL || core->gossip->length == 0) {
            return;
        }
        member_send(core, peer->record.address,
                    member_start(core, MEMBER_RECORDS), peer);
    }
}

/* Tell some peers at once what this daemon says of itself. */
void
member_burst(struct member_core *core)
{
    size_t sent = 0;
    guint count = core->order->len;
    guint start = (guint)g_rand_int_range(core->rand, 0, (gint32)count);

    for (guint i = 0; i < count && sent < BURST_MAX; i++) {
        struct member *peer =
            g_ptr_array_index(core->order, (start + i) % count);
        struct member_message *message;

        if (!member_is_peer(core, peer)) {
            continue;
        }
        message = member_start(core, MEMBER_RECORDS);
        member_attach(core, message, core->self);
        member_send(core, peer->record.address, message, peer);
        sent++;
    }
}
