/*
 * Decides which daemon owns a pool: the first owner, takeover, handover and
 * planned stop.
 */
#include "flow/flow_state.h"

#define CREATE_WAIT_US 1000000 /* wait for peers that may have a map */
/*
 * Delay from when the owner becomes unreachable to the takeover by a daemon
 * that holds a replica but is not the backup.
 */
#define REPLICA_WAIT_US 300000
/*
 * Delay from when the owner becomes unreachable to the takeover by a daemon
 * without a replica.
 */
#define NO_REPLICA_WAIT_US 600000
/*
 * Packets are forwarded for this time between the last handover and the stop.
 */
#define STOP_FORWARD_US 1000000
/* A handover that is not accepted in this time is cancelled. */
#define HANDOVER_LIMIT_US 2000000
#define STOP_LIMIT_US     20000000 /* longest time that a stop takes */

static void become_owner(struct flow_core *, struct flow_pool *,
                         uint64_t epoch, uint64_t via_owner_seq);
static void take_over(struct flow_core *, struct flow_pool *);
static void count_flows(struct flow_core *, struct flow_pool *);
static uint64_t next_epoch(const struct flow_pool *, struct daemon_id);
static bool owner_unreachable(const struct flow_core *,
                              const struct flow_pool *);
static void owner_tick(struct flow_core *, struct flow_pool *);
static void handover_tick(struct flow_core *, struct flow_pool *);
static void no_map_tick(struct flow_core *, struct flow_pool *);
static void follower_tick(struct flow_core *, struct flow_pool *);
static void send_handover(struct flow_core *, struct flow_pool *);
static bool all_without_map(const struct flow_core *,
                            const struct flow_pool *);

/*
 * Return an epoch above the pool's that no other daemon uses: its lower 16
 * bits are from the id of DAEMON.
 */
static uint64_t
next_epoch(const struct flow_pool *pool, struct daemon_id daemon)
{
    uint64_t highest = MAX(pool->epoch, pool->handover_epoch);

    return ((highest >> 16) + 1) << 16 | (daemon.value & 0xffff);
}

/*
 * Count the flows in the table, and by the last counts received those that are
 * not in it.
 */
static void
count_flows(struct flow_core *core, struct flow_pool *pool)
{
    for (guint i = 0; i < pool->slots->len; i++) {
        flow_slot_at(pool, i)->count = 0;
        flow_slot_at(pool, i)->unidentified = 0;
    }
    for (uint32_t i = 0; i < flow_table_end(&pool->table); i++) {
        struct flow_entry *entry = &pool->table.slots[i];

        if (entry->record != 0 && (entry->flags & FLOW_ENTRY_CLOSED) == 0) {
            flow_slot_at(pool, flow_entry_target(entry))->count++;
            core->counters.flows++;
        }
    }
    for (guint i = 0; i < pool->inbound_counts->len && i < pool->slots->len;
         i++) {
        struct flow_slot *slot = flow_slot_at(pool, i);
        uint64_t total = g_array_index(pool->inbound_counts, uint64_t, i);

        if (total > slot->count) {
            slot->unidentified = (uint32_t)(total - slot->count);
        }
    }
}

/*
 * Make this daemon the owner, with the map and records held here.  Flags of
 * the buckets and slots are in force once VIA_OWNER_SEQ is acknowledged in the
 * new epoch, or at once if it is 0.
 */
static void
become_owner(struct flow_core *core, struct flow_pool *pool, uint64_t epoch,
             uint64_t via_owner_seq)
{
    pool->prev_epoch = pool->epoch;
    pool->prev_seq = pool->seq;
    pool->epoch = epoch;
    pool->owner = core->options.self;
    pool->owner_restarted = false;
    pool->owned_here = true;
    pool->handed_over = false;
    pool->successor.value = 0;
    pool->udp_known_from_us = 0;
    pool->dirty = true;
    pool->redistribute = true;
    pool->tokens = core->options.replica_bytes_per_s;
    pool->tokens_us = core->now_us;
    pool->steered_before = pool->steered_slices;
    pool->steered_seq = via_owner_seq;
    pool->all_known_from_us =
        pool->prev_epoch == 0
            ? 0
            : core->now_us + (uint64_t)core->options.tcp_idle_s * US_PER_S;
    g_array_set_size(pool->followers, 0);
    for (uint32_t i = 0; i < pool->bucket_count; i++) {
        struct flow_bucket *bucket = &pool->buckets[i];

        bucket->phase = FLOW_PHASE_STABLE;
        bucket->all_recorded = false;
        bucket->via_owner_seq = via_owner_seq;
        bucket->changed_seq = 0;
    }
    for (guint i = 0; i < pool->slots->len; i++) {
        flow_slot_at(pool, i)->avoid_seq = via_owner_seq;
        flow_slot_at(pool, i)->avoid_us = core->now_us;
    }
    pool->slots_seq = pool->seq + 1;
    flow_replica_detach(pool, FLOW_REPLICA_BACKUP);
    flow_replica_detach(pool, FLOW_REPLICA_SUCCESSOR);
    count_flows(core, pool);
    flow_map_update_followers(core, pool);
    flow_ownership_update_relay(core, pool);
}

/* Stop owning the pool: another daemon does, with a higher epoch. */
void
flow_ownership_end(struct flow_core *core, struct flow_pool *pool)
{
    for (guint i = 0; i < pool->slots->len; i++) {
        core->counters.flows -=
            MIN(core->counters.flows, flow_slot_at(pool, i)->count);
    }
    pool->owned_here = false;
}

/*
 * Return true if the owner restarted, died or was not in contact for too long.
 */
static bool
owner_unreachable(const struct flow_core *core, const struct flow_pool *pool)
{
    if (pool->owner_restarted) {
        return true;
    }
    return !flow_peer_alive(core, pool->owner) &&
           (pool->owner_contact_us == 0 ||
            core->now_us > pool->owner_contact_us + FLOW_UNLISTED_ALIVE_US ||
            flow_peer_known(core, pool->owner));
}

/* Update the daemon to which packets for the owner are relayed. */
void
flow_ownership_update_relay(struct flow_core *core, struct flow_pool *pool)
{
    if (pool->owned_here) {
        pool->relay_to = core->options.self;
    }
    else if (pool->handed_over) {
        pool->relay_to = pool->handover_to;
    }
    else if (pool->owner.value != 0 &&
             pool->owner.value != core->options.self.value &&
             !owner_unreachable(core, pool)) {
        pool->relay_to = pool->owner;
    }
    else {
        pool->relay_to = flow_view_owner(core, pool->id, pool->owner);
    }
}

/* Send the handover to the next owner. */
static void
send_handover(struct flow_core *core, struct flow_pool *pool)
{
    struct flow_message *handover =
        flow_send(core, pool->handover_to, FLOW_MSG_HANDOVER, pool->id);

    handover->epoch = pool->handover_epoch;
    handover->prev_epoch = pool->epoch;
    handover->seq = pool->seq;
    if (pool->udp_known_from_us > core->now_us) {
        handover->from_seq = pool->udp_known_from_us - core->now_us;
    }
    handover->stream = pool->handover_stream;
    handover->share = pool->handover_complete;
    handover->position = pool->handover_position;
    pool->handover_sent_us = core->now_us;
}

/*
 * As owner, keep a replica at the backup.  If the views name another owner,
 * hand the pool over to it as soon as all live followers have acknowledged the
 * map, and the next owner nearly all records and the routes.  The remaining
 * records are flushed.
 */
static void
owner_tick(struct flow_core *core, struct flow_pool *pool)
{
    struct daemon_id self = core->options.self;
    struct daemon_id successor =
        flow_view_owner(core, pool->id, (struct daemon_id){0});
    struct flow_replica *replica = &pool->replicas[FLOW_REPLICA_SUCCESSOR];

    flow_replica_attach(core, pool, FLOW_REPLICA_BACKUP,
                        flow_view_backup(core, pool->id, self));
    if (successor.value == 0 || successor.value == self.value) {
        flow_replica_detach(pool, FLOW_REPLICA_SUCCESSOR);
        pool->successor.value = 0;
        return;
    }
    if (pool->successor.value != successor.value) {
        pool->successor = successor;
        pool->successor_cursor = 0;
    }
    if (successor.value == pool->replicas[FLOW_REPLICA_BACKUP].to.value) {
        replica = &pool->replicas[FLOW_REPLICA_BACKUP];
        flow_replica_detach(pool, FLOW_REPLICA_SUCCESSOR);
    }
    else {
        flow_replica_attach(core, pool, FLOW_REPLICA_SUCCESSOR, successor);
    }
    flow_map_update_followers(core, pool);
    if (!flow_replica_prepare_handover(core, pool) || pool->dirty ||
        pool->min_acked < pool->seq ||
        !flow_replica_nearly_current(pool, replica) ||
        !flow_map_acked(pool, successor) ||
        !flow_route_peer_up_to_date(core, successor)) {
        return;
    }
    pool->handover_to = successor;
    pool->handover_epoch = next_epoch(pool, successor);
    pool->handover_stream = replica->stream;
    pool->handover_complete = core->now_us >= pool->all_known_from_us &&
                              flow_replica_all_recorded(pool);
    pool->handover_position = flow_replica_end(replica);
    flow_replica_flush(core, pool);
    flow_replica_send_counts(core, pool);
    flow_ownership_end(core, pool);
    pool->handed_over = true;
    pool->handover_us = core->now_us;
    core->counters.handovers++;
    send_handover(core, pool);
}

/*
 * Repeat the handover until the new owner's map confirms it.  If it is not
 * accepted in time, own the pool again.
 */
static void
handover_tick(struct flow_core *core, struct flow_pool *pool)
{
    if (!flow_peer_alive(core, pool->handover_to) ||
        core->now_us > pool->handover_us + HANDOVER_LIMIT_US) {
        become_owner(core, pool, next_epoch(pool, core->options.self),
                     pool->seq + 1);
        return;
    }
    flow_replica_flush(core, pool);
    if (core->now_us > pool->handover_sent_us + FLOW_RESEND_US) {
        send_handover(core, pool);
    }
}

/*
 * Handle the handover of an owner whose replica is held here.  It is ignored
 * unless map and records held here are exactly those it names.
 */
void
flow_ownership_receive_handover(struct flow_core *core, struct daemon_id from,
                                const struct flow_message *message)
{
    struct flow_pool *pool = flow_pool_get(core, message->pool);

    if (!core->synced || pool->owned_here || message->epoch <= pool->epoch ||
        message->prev_epoch != pool->epoch || message->seq != pool->seq ||
        pool->inbound_from.value != from.value ||
        pool->inbound_epoch != pool->epoch ||
        pool->inbound_stream != message->stream ||
        pool->inbound_position != message->position) {
        return;
    }
    become_owner(core, pool, message->epoch, 0);
    pool->udp_known_from_us = core->now_us + message->from_seq;
    if (message->share != 0) {
        pool->all_known_from_us = 0;
    }
}

/* Return true if all peers have replied that they have no map. */
static bool
all_without_map(const struct flow_core *core, const struct flow_pool *pool)
{
    for (guint i = 0; i < core->peers->len; i++) {
        uint64_t id =
            g_array_index(core->peers, struct flow_peer, i).view.id.value;
        bool found = false;

        for (guint j = 0; j < pool->no_map->len && !found; j++) {
            found = g_array_index(pool->no_map, uint64_t, j) == id;
        }
        if (!found) {
            return false;
        }
    }
    return true;
}

/*
 * Without a map, request one from the peers.  The first owner creates it if no
 * peer has one.
 */
static void
no_map_tick(struct flow_core *core, struct flow_pool *pool)
{
    struct daemon_id owner =
        flow_view_owner(core, pool->id, (struct daemon_id){0});

    if (pool->query_start_us == 0) {
        pool->query_start_us = core->now_us;
    }
    if (owner.value == core->options.self.value && pool->has_view &&
        (all_without_map(core, pool) ||
         core->now_us > pool->query_start_us + CREATE_WAIT_US)) {
        flow_map_create(core, pool);
        become_owner(core, pool, next_epoch(pool, core->options.self), 1);
        return;
    }
    if (core->now_us < pool->query_us + FLOW_RESEND_US) {
        return;
    }
    pool->query_us = core->now_us;
    for (guint i = 0; i < core->peers->len; i++) {
        flow_send(core,
                  g_array_index(core->peers, struct flow_peer, i).view.id,
                  FLOW_MSG_MAP_QUERY, pool->id);
    }
}

/*
 * Handle the request of a peer without a map.  If it published the map held
 * here, it has lost its state.
 */
void
flow_ownership_receive_query(struct flow_core *core, struct daemon_id from,
                             const struct flow_message *message)
{
    struct flow_pool *pool = flow_pool_get(core, message->pool);
    struct flow_message *ack;

    if (pool->owned_here) {
        flow_map_add_follower(core, pool, from);
        return;
    }
    if (pool->buckets == NULL) {
        if (!flow_peer_alive(core, from)) {
            pool->query_start_us = core->now_us; /* views are incomplete */
            g_array_set_size(pool->no_map, 0);
        }
        flow_send(core, from, FLOW_MSG_NO_MAP, pool->id);
        return;
    }
    if (pool->owner.value == from.value) {
        pool->owner_restarted = true;
    }
    if (pool->owner.value != from.value && owner_unreachable(core, pool)) {
        flow_map_send_full(core, pool, from);
        return;
    }
    ack = flow_send(core, from, FLOW_MSG_MAP_ACK, pool->id);
    ack->epoch = pool->epoch;
    ack->seq = pool->seq;
}

/* Note that a peer has no map. */
void
flow_ownership_receive_no_map(struct flow_core *core, struct daemon_id from,
                              const struct flow_message *message)
{
    struct flow_pool *pool = flow_pool_get(core, message->pool);

    g_array_append_val(pool->no_map, from.value);
}

/*
 * Take the pool over as its owner is unreachable.  The pool's UDP flows become
 * known only as their packets arrive.
 */
static void
take_over(struct flow_core *core, struct flow_pool *pool)
{
    pool->unreachable_since_us = 0;
    core->counters.takeovers++;
    become_owner(core, pool, next_epoch(pool, core->options.self),
                 pool->seq + 1);
    pool->udp_known_from_us =
        core->now_us + (uint64_t)core->options.udp_idle_s * US_PER_S;
}

/*
 * With a map of another owner, take the pool over when that owner is
 * unreachable: the backup at once if it holds the replica, another holder of
 * it after REPLICA_WAIT_US, and the next owner by the views without it after
 * NO_REPLICA_WAIT_US.
 */
static void
follower_tick(struct flow_core *core, struct flow_pool *pool)
{
    struct daemon_id self = core->options.self;
    bool holds_replica = pool->inbound_epoch == pool->epoch &&
                         pool->inbound_from.value == pool->owner.value;
    uint64_t wait = NO_REPLICA_WAIT_US;

    if (!owner_unreachable(core, pool)) {
        pool->unreachable_since_us = 0;
        return;
    }
    if (pool->unreachable_since_us == 0) {
        pool->unreachable_since_us = core->now_us;
    }
    if (holds_replica) {
        struct daemon_id backup =
            flow_view_backup(core, pool->id, pool->owner);

        wait = backup.value == self.value ? 0 : REPLICA_WAIT_US;
    }
    else if (flow_view_owner(core, pool->id, pool->owner).value !=
             self.value) {
        return;
    }
    if (core->now_us >= pool->unreachable_since_us + wait && !core->stopping) {
        if (!holds_replica) {
            flow_table_clear(&pool->table);
        }
        take_over(core, pool);
    }
}

/* Take the pool over, keep it, or hand it over, as the views require. */
void
flow_ownership_tick(struct flow_core *core, struct flow_pool *pool)
{
    if (!core->views_known) {
        return;
    }
    if (pool->owned_here) {
        owner_tick(core, pool);
    }
    else if (pool->handed_over) {
        handover_tick(core, pool);
    }
    else if (pool->buckets == NULL) {
        no_map_tick(core, pool);
    }
    else {
        follower_tick(core, pool);
    }
}

/*
 * At a planned stop, report once that all pools are handed over and packets
 * were forwarded for STOP_FORWARD_US since, or that STOP_LIMIT_US has passed,
 * even if pools are still held.
 */
void
flow_ownership_stop_tick(struct flow_core *core)
{
    bool busy = false;

    if (!core->stopping || core->stopped) {
        return;
    }
    for (guint i = 0; i < core->pools->len; i++) {
        const struct flow_pool *pool = core->pools->pdata[i];

        busy = busy || pool->handed_over ||
               (pool->owned_here && core->peers->len != 0);
    }
    if (busy) {
        core->idle_since_us = 0;
    }
    else if (core->idle_since_us == 0) {
        core->idle_since_us = core->now_us;
    }
    if ((!busy && core->now_us >= core->idle_since_us + STOP_FORWARD_US) ||
        core->now_us >= core->stop_us + STOP_LIMIT_US) {
        core->stopped = true;
        flow_add_action(core, FLOW_ACT_STOPPED);
    }
}
