/*
 * The bucket map: published by the owner as differences, followed and
 * acknowledged by all other daemons.
 */
#include "flow/flow_state.h"

static void alloc_map(struct flow_pool *, uint32_t buckets);
static bool can_apply(const struct flow_pool *, const struct flow_message *);
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

/*
 * Replace the map by one of BUCKETS buckets, rounded up to a power of two,
 * without targets.
 */
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

/*
 * Create a map without targets, from which the first owner of a pool starts.
 */
void
flow_map_create(struct flow_core *core, struct flow_pool *pool)
{
    alloc_map(pool, core->options.buckets);
    pool->steered_slices = pool->steered_wanted;
    pool->steered_before = pool->steered_slices;
}

/* Free the buckets of the map. */
void
flow_map_free(struct flow_pool *pool)
{
    g_free(pool->buckets);
    pool->buckets = NULL;
}

/*
 * Return true if packets of a flow that is unknown to this daemon are relayed
 * to the owner.
 */
bool
flow_map_relays_to_owner(const struct flow_pool *pool, uint64_t digest)
{
    const struct flow_bucket *bucket = flow_bucket_of(pool, digest);

    return digest % FLOW_SLICES < pool->steered_slices || bucket->via_owner ||
           bucket->base == FLOW_SLOT_NONE ||
           flow_slot_at(pool, bucket->base)->avoid;
}

/*
 * Return the index of the target KEY in the map, adding it if it is missing;
 * FLOW_SLOT_NONE if the map is full.  Only for the owner.
 */
uint16_t
flow_map_get_slot(struct flow_core *core, struct flow_pool *pool,
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

/* Return true if MESSAGE continues the map held here, or replaces it. */
static bool
can_apply(const struct flow_pool *pool, const struct flow_message *message)
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

/*
 * Replace the targets of the map.  Flows held are dropped if a known index now
 * means another target.
 */
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
                /* The flows are of a map by another first owner */
                flow_table_clear(&pool->table);
            }
            *flow_slot_at(pool, i) = slot;
        }
        else {
            g_array_append_val(pool->slots, slot);
        }
    }
}

/* Apply a map message to the map held here. */
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
            pool->buckets[index].via_owner =
                (change & FLOW_CHANGE_VIA_OWNER) != 0;
        }
    }
    pool->epoch = message->epoch;
    pool->seq = message->seq;
    pool->steered_slices = message->share;
    pool->owner.value = message->stream;
    pool->owner_restarted = false;
}

/*
 * Handle a map from an owner, or from a daemon that replies in place of an
 * unreachable one.  If another daemon owns the pool by a higher epoch, this
 * one stops owning the pool.
 */
void
flow_map_receive(struct flow_core *core, struct daemon_id from,
                 const struct flow_message *message)
{
    struct flow_pool *pool = flow_pool_get(core, message->pool);

    if (message->stream == from.value && message->epoch >= pool->epoch) {
        pool->owner_contact_us = core->now_us;
    }
    if (can_apply(pool, message)) {
        bool superseded = pool->owned_here;

        if (superseded) {
            flow_ownership_end(core, pool);
        }
        if (superseded ||
            (pool->handed_over && message->epoch > pool->epoch)) {
            flow_table_clear(&pool->table);
        }
        apply(core, pool, message);
        pool->handed_over = false;
        if (superseded) {
            flow_replica_send_merge(core, pool, from);
        }
        flow_ownership_update_relay(core, pool);
    }
    send_ack(core, pool, from);
}

/* Acknowledge the version of the map held here to TO. */
static void
send_ack(struct flow_core *core, struct flow_pool *pool, struct daemon_id to)
{
    struct flow_message *ack = flow_send(core, to, FLOW_MSG_MAP_ACK, pool->id);

    ack->epoch = pool->epoch;
    ack->seq = pool->seq;
}

/* Return the follower with ID, or NULL; valid until one is added. */
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

/*
 * Handle the version that a daemon holds.  To an owner it is a follower's
 * acknowledgement; a daemon without a map learns that one exists and waits
 * longer before it creates a new one.
 */
void
flow_map_receive_ack(struct flow_core *core, struct daemon_id from,
                     const struct flow_message *message)
{
    struct flow_pool *pool = flow_pool_get(core, message->pool);
    struct flow_follower *follower;

    if (!pool->owned_here) {
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
        follower->needs_full_map = true;
        follower->sent = 0;
    }
}

/* Return true if the daemon ID holds all that is published. */
bool
flow_map_acked(struct flow_pool *pool, struct daemon_id id)
{
    const struct flow_follower *follower = find_follower(pool, id);

    return follower != NULL && follower->acked >= pool->seq;
}

/* Add ID to the daemons that must acknowledge, as one without a map. */
void
flow_map_add_follower(struct flow_core *core, struct flow_pool *pool,
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
    follower->needs_full_map = true;
    follower->query_us = core->now_us;
}

/*
 * Add live daemons to the followers, note which ones are alive, and compute
 * the version that all of these hold.
 */
void
flow_map_update_followers(struct flow_core *core, struct flow_pool *pool)
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
            (!flow_peer_known(core, follower->id) && follower->query_us != 0 &&
             core->now_us < follower->query_us + FLOW_UNLISTED_ALIVE_US);
        if (follower->present) {
            pool->min_acked = MIN(pool->min_acked, follower->acked);
        }
    }
}

/* Send to TO the changes since FROM_SEQ, or the whole map if that is 0. */
static void
send_map(struct flow_core *core, struct flow_pool *pool, struct daemon_id to,
         uint64_t from_seq)
{
    struct flow_message *message = flow_send(core, to, FLOW_MSG_MAP, pool->id);

    message->epoch = pool->epoch;
    message->from_seq = from_seq;
    message->seq = pool->seq;
    message->stream = pool->owner.value;
    message->buckets = pool->bucket_count;
    message->share = pool->steered_slices;
    message->changes = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    for (uint32_t i = 0; i < pool->bucket_count; i++) {
        const struct flow_bucket *bucket = &pool->buckets[i];
        uint32_t change = i << 16 | bucket->base |
                          (bucket->via_owner ? FLOW_CHANGE_VIA_OWNER : 0);

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

/* Send the whole map as it is held here, whichever daemon published it. */
void
flow_map_send_full(struct flow_core *core, struct flow_pool *pool,
                   struct daemon_id to)
{
    send_map(core, pool, to, 0);
}

/*
 * Send a follower the changes that it has not acknowledged, unless they were
 * sent recently.  After a takeover the changes continue the former owner's
 * map.
 */
static void
publish_to(struct flow_core *core, struct flow_pool *pool,
           struct flow_follower *follower)
{
    uint64_t from_seq = follower->acked;
    bool takeover =
        from_seq == 0 && !follower->needs_full_map && pool->prev_seq != 0;

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

/* Publish new changes, and retransmit those not acknowledged. */
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
