/*
 * The bucket map: published by the lead as differences, followed by all other
 * daemons, acknowledged back.
 */
#include "flow/flow_state.h"

static void alloc_map(struct flow_pool *, uint32_t buckets);
static bool applies(const struct flow_pool *, const struct flow_message *);
static void apply(struct flow_core *, struct flow_pool *,
                  const struct flow_message *);
static void apply_targets(struct flow_core *, struct flow_pool *,
                          const GArray *);
static void send_map(struct flow_core *, struct flow_pool *,
                     struct daemon_id to, uint64_t from_seq);
static void send_ack(struct flow_core *, struct flow_pool *,
                     struct daemon_id to);
static struct flow_follower *find_follower(struct flow_pool *,
                                           struct daemon_id);
static void publish_to(struct flow_core *, struct flow_pool *,
                       struct flow_follower *);

static void
alloc_map(struct flow_pool *pool, uint32_t buckets)
{
    uint32_t bits = 0;

    while ((UINT32_C(1) << bits) < buckets) {
        bits++;
    }
    pool->bucket_count = UINT32_C(1) << bits;
    pool->bucket_shift = FLOW_DIGEST_BITS - bits;
    g_free(pool->buckets);
    pool->buckets = g_new0(struct flow_bucket, pool->bucket_count);
    for (uint32_t i = 0; i < pool->bucket_count; i++) {
        pool->buckets[i].base = FLOW_SLOT_NONE;
        pool->buckets[i].next = FLOW_SLOT_NONE;
    }
}

/* A map without targets, as the first lead of a pool starts from. */
void
flow_map_create(struct flow_core *core, struct flow_pool *pool)
{
    alloc_map(pool, core->options.buckets);
    pool->share = pool->share_wanted;
    pool->share_before = pool->share;
}

void
flow_map_free(struct flow_pool *pool)
{
    g_free(pool->buckets);
    pool->buckets = NULL;
}

/* Whether packets of a flow that this daemon does not know go to the lead. */
bool
flow_map_marked(const struct flow_pool *pool, uint64_t digest)
{
    const struct flow_bucket *bucket = flow_bucket_of(pool, digest);

    return digest % FLOW_SLICES < pool->share || bucket->mark ||
           bucket->base == FLOW_SLOT_NONE ||
           flow_slot_at(pool, bucket->base)->avoid;
}

/* The index of the target KEY in the map that this daemon leads. */
uint16_t
flow_map_slot(struct flow_core *core, struct flow_pool *pool,
              struct target_key key)
{
    struct flow_slot slot = {.key = key};

    for (guint i = 0; i < pool->slots->len; i++) {
        const struct flow_slot *known = flow_slot_at(pool, i);

        if (known->key.address == key.address &&
            known->key.incarnation == key.incarnation) {
            return (uint16_t)i;
        }
    }
    if (pool->slots->len >= FLOW_SLOTS_MAX) {
        return FLOW_SLOT_NONE;
    }
    slot.endpoint = flow_endpoint_get(core, pool->id, key);
    g_array_append_val(pool->slots, slot);
    pool->slots_seq = pool->seq + 1;
    pool->dirty = true;
    return (uint16_t)(pool->slots->len - 1);
}

/* Whether MESSAGE continues the map that this daemon has, or replaces it. */
static bool
applies(const struct flow_pool *pool, const struct flow_message *message)
{
    if (message->epoch < pool->epoch) {
        return false;
    }
    if (message->epoch == pool->epoch) {
        return pool->buckets != NULL && message->seq > pool->seq &&
               message->from_seq <= pool->seq;
    }
    if (message->from_seq == 0) {
        return message->buckets != 0;
    }
    return pool->buckets != NULL && message->prev_epoch == pool->epoch &&
           message->from_seq == pool->seq;
}

static void
apply_targets(struct flow_core *core, struct flow_pool *pool,
              const GArray *targets)
{
    for (guint i = 0; i < targets->len; i++) {
        const struct flow_map_target *target =
            &g_array_index(targets, struct flow_map_target, i);
        struct flow_slot slot = {
            .key = target->key,
            .avoid = target->avoid != 0,
            .endpoint = flow_endpoint_get(core, pool->id, target->key),
        };

        if (i < pool->slots->len) {
            const struct target_key *former = &flow_slot_at(pool, i)->key;

            if (former->address != slot.key.address ||
                former->incarnation != slot.key.incarnation) {
                flow_table_clear(&pool->table); /* of another first lead */
            }
            *flow_slot_at(pool, i) = slot;
        }
        else {
            g_array_append_val(pool->slots, slot);
        }
    }
}

static void
apply(struct flow_core *core, struct flow_pool *pool,
      const struct flow_message *message)
{
    if (pool->buckets == NULL ||
        (message->from_seq == 0 && message->buckets != pool->bucket_count)) {
        alloc_map(pool, message->buckets);
    }
    if (message->targets != NULL) {
        apply_targets(core, pool, message->targets);
    }
    for (guint i = 0; message->changes != NULL && i < message->changes->len;
         i++) {
        uint32_t change = g_array_index(message->changes, uint32_t, i);
        uint32_t index = change >> 16;
        uint16_t base = change & 0x7fff;

        if (index < pool->bucket_count &&
            (base < pool->slots->len || base == FLOW_SLOT_NONE)) {
            pool->buckets[index].base = base;
            pool->buckets[index].mark = (change & FLOW_CHANGE_MARK) != 0;
        }
    }
    pool->epoch = message->epoch;
    pool->seq = message->seq;
    pool->share = message->share;
    pool->lead.value = message->stream;
    pool->lead_lost = false;
}

/* A map from a lead, or from a daemon that answers for a lost one. */
void
flow_map_message(struct flow_core *core, struct daemon_id from,
                 const struct flow_message *message)
{
    struct flow_pool *pool = flow_pool_get(core, message->pool);

    if (message->stream == from.value && message->epoch >= pool->epoch) {
        pool->lead_heard_us = core->now_us;
    }
    if (applies(pool, message)) {
        bool deposed = pool->acting;

        if (deposed) {
            flow_term_depose(core, pool);
        }
        if (deposed || (pool->granted && message->epoch > pool->epoch)) {
            flow_table_clear(&pool->table);
        }
        apply(core, pool, message);
        pool->granted = false;
        if (deposed) {
            flow_copy_merge(core, pool, from);
        }
        flow_term_ask(core, pool);
    }
    send_ack(core, pool, from);
}

static void
send_ack(struct flow_core *core, struct flow_pool *pool, struct daemon_id to)
{
    struct flow_message *ack = flow_send(core, to, FLOW_MSG_MAP_ACK, pool->id);

    ack->epoch = pool->epoch;
    ack->seq = pool->seq;
}

static struct flow_follower *
find_follower(struct flow_pool *pool, struct daemon_id id)
{
    for (guint i = 0; i < pool->followers->len; i++) {
        struct flow_follower *follower =
            &g_array_index(pool->followers, struct flow_follower, i);

        if (follower->id.value == id.value) {
            return follower;
        }
    }
    return NULL;
}

/* A follower's state, or a hint that a peer has a map at all. */
void
flow_map_ack(struct flow_core *core, struct daemon_id from,
             const struct flow_message *message)
{
    struct flow_pool *pool = flow_pool_get(core, message->pool);
    struct flow_follower *follower;

    if (!pool->acting) {
        if (pool->buckets == NULL && message->epoch != 0) {
            pool->query_start_us = core->now_us;
            g_array_set_size(pool->no_map, 0);
        }
        return;
    }
    follower = find_follower(pool, from);
    if (follower == NULL) {
        return;
    }
    if (message->epoch == pool->epoch) {
        follower->acked = MAX(follower->acked, message->seq);
    }
    else if (message->epoch < pool->epoch && follower->acked == 0) {
        follower->whole = true;
        follower->sent = 0;
    }
}

/* Whether the daemon ID has all that is published. */
bool
flow_map_acked(struct flow_pool *pool, struct daemon_id id)
{
    const struct flow_follower *follower = find_follower(pool, id);

    return follower != NULL && follower->acked >= pool->seq;
}

/* Add ID to those that must acknowledge, as one without a map. */
void
flow_map_follow(struct flow_core *core, struct flow_pool *pool,
                struct daemon_id id)
{
    struct flow_follower *follower = find_follower(pool, id);
    struct flow_follower added = {.id = id, .present = true};

    if (follower == NULL) {
        g_array_append_val(pool->followers, added);
        follower = find_follower(pool, id);
    }
    follower->acked = 0;
    follower->sent = 0;
    follower->whole = true;
    follower->asked_us = core->now_us;
}

/* Bring the followers in line with the live daemons. */
void
flow_map_followers(struct flow_core *core, struct flow_pool *pool)
{
    pool->min_acked = UINT64_MAX;
    for (guint i = 0; i < core->peers->len; i++) {
        struct daemon_id id =
            g_array_index(core->peers, struct flow_peer, i).view.id;

        if (find_follower(pool, id) == NULL) {
            struct flow_follower added = {.id = id};

            g_array_append_val(pool->followers, added);
        }
    }
    for (guint i = 0; i < pool->followers->len; i++) {
        struct flow_follower *follower =
            &g_array_index(pool->followers, struct flow_follower, i);

        follower->present =
            flow_peer_alive(core, follower->id) ||
            (!flow_peer_known(core, follower->id) && follower->asked_us != 0 &&
             core->now_us < follower->asked_us + FLOW_HEARD_US);
        if (follower->present) {
            pool->min_acked = MIN(pool->min_acked, follower->acked);
        }
    }
}

/* Send TO what has changed since FROM_SEQ; 0 is the whole map. */
static void
send_map(struct flow_core *core, struct flow_pool *pool, struct daemon_id to,
         uint64_t from_seq)
{
    struct flow_message *message = flow_send(core, to, FLOW_MSG_MAP, pool->id);

    message->epoch = pool->epoch;
    message->from_seq = from_seq;
    message->seq = pool->seq;
    message->stream = pool->lead.value;
    message->buckets = pool->bucket_count;
    message->share = pool->share;
    message->changes = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    for (uint32_t i = 0; i < pool->bucket_count; i++) {
        const struct flow_bucket *bucket = &pool->buckets[i];
        uint32_t change =
            i << 16 | bucket->base | (bucket->mark ? FLOW_CHANGE_MARK : 0);

        if (from_seq == 0 || bucket->changed_seq > from_seq) {
            g_array_append_val(message->changes, change);
        }
    }
    if (from_seq != 0 && pool->slots_seq <= from_seq) {
        return;
    }
    message->targets =
        g_array_new(FALSE, FALSE, sizeof(struct flow_map_target));
    for (guint i = 0; i < pool->slots->len; i++) {
        const struct flow_slot *slot = flow_slot_at(pool, i);
        struct flow_map_target target = {.key = slot->key,
                                         .avoid = slot->avoid};

        g_array_append_val(message->targets, target);
    }
}

/* Send the whole map as it is known here, whoever published it. */
void
flow_map_send_whole(struct flow_core *core, struct flow_pool *pool,
                    struct daemon_id to)
{
    send_map(core, pool, to, 0);
}

static void
publish_to(struct flow_core *core, struct flow_pool *pool,
           struct flow_follower *follower)
{
    uint64_t from_seq = follower->acked;
    bool takeover = from_seq == 0 && !follower->whole && pool->prev_seq != 0;

    if (follower->acked >= pool->seq ||
        (follower->sent >= pool->seq &&
         core->now_us < follower->sent_us + FLOW_RESEND_US)) {
        return;
    }
    send_map(core, pool, follower->id, takeover ? pool->prev_seq : from_seq);
    if (takeover) {
        struct flow_action *action = &core->out->items[core->out->count - 1];

        action->u.send.message->prev_epoch = pool->prev_epoch;
    }
    follower->sent = pool->seq;
    follower->sent_us = core->now_us;
}

/* Publish changes, and what was not acknowledged once more. */
void
flow_map_publish(struct flow_core *core, struct flow_pool *pool)
{
    if (pool->dirty) {
        pool->seq++;
        pool->dirty = false;
    }
    for (guint i = 0; i < pool->followers->len; i++) {
        struct flow_follower *follower =
            &g_array_index(pool->followers, struct flow_follower, i);

        if (follower->present) {
            publish_to(core, pool, follower);
        }
    }
}
