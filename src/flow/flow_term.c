/* Who decides for a pool: first lead, takeover, hand-over, planned stop. */
#include "flow/flow_state.h"

#define CREATE_WAIT_US 1000000  /* for peers that may have a map */
#define SECOND_WAIT_US 300000   /* before the holder of an older copy acts */
#define OTHERS_WAIT_US 600000   /* before a daemon without a copy acts */
#define FORWARD_ON_US  1000000  /* after the hand-over, before the stop */
#define GRANT_LIMIT_US 2000000  /* a grant not taken up is taken back */
#define STOP_LIMIT_US  20000000 /* a stop does not wait longer */

static void begin(struct flow_core *, struct flow_pool *, uint64_t epoch,
                  uint64_t mark_seq);
static void take_over(struct flow_core *, struct flow_pool *);
static void count_flows(struct flow_core *, struct flow_pool *);
static uint64_t next_epoch(const struct flow_pool *, struct daemon_id);
static bool lead_missed(const struct flow_core *, const struct flow_pool *);
static void lead_tick(struct flow_core *, struct flow_pool *);
static void granted_tick(struct flow_core *, struct flow_pool *);
static void mapless_tick(struct flow_core *, struct flow_pool *);
static void follower_tick(struct flow_core *, struct flow_pool *);
static void send_grant(struct flow_core *, struct flow_pool *);
static bool all_without_map(const struct flow_core *,
                            const struct flow_pool *);

/* An epoch above the pool's, unlike that of any other daemon. */
static uint64_t
next_epoch(const struct flow_pool *pool, struct daemon_id daemon)
{
    uint64_t highest = MAX(pool->epoch, pool->grant_epoch);

    return ((highest >> 16) + 1) << 16 | (daemon.value & 0xffff);
}

/* Count the table's flows, and by the last counts those not in it. */
static void
count_flows(struct flow_core *core, struct flow_pool *pool)
{
    for (guint i = 0; i < pool->slots->len; i++) {
        flow_slot_at(pool, i)->count = 0;
        flow_slot_at(pool, i)->inherited = 0;
    }
    for (uint32_t i = 0; i < flow_table_end(&pool->table); i++) {
        struct flow_entry *entry = &pool->table.slots[i];

        if (entry->record != 0 && (entry->flags & FLOW_ENTRY_CLOSED) == 0) {
            flow_slot_at(pool, flow_entry_target(entry))->count++;
            core->counters.flows++;
        }
    }
    for (guint i = 0; i < pool->in_counts->len && i < pool->slots->len; i++) {
        struct flow_slot *slot = flow_slot_at(pool, i);
        uint64_t total = g_array_index(pool->in_counts, uint64_t, i);

        if (total > slot->count) {
            slot->inherited = (uint32_t)(total - slot->count);
        }
    }
}

/*
 * Decide for the pool from here on, with the map and records held.  Marks
 * are in force once MARK_SEQ is acknowledged in the new epoch, 0 for at once.
 */
static void
begin(struct flow_core *core, struct flow_pool *pool, uint64_t epoch,
      uint64_t mark_seq)
{
    pool->prev_epoch = pool->epoch;
    pool->prev_seq = pool->seq;
    pool->epoch = epoch;
    pool->lead = core->options.self;
    pool->lead_lost = false;
    pool->acting = true;
    pool->granted = false;
    pool->heir.value = 0;
    pool->udp_known_us = 0;
    pool->dirty = true;
    pool->deal = true;
    pool->tokens = core->options.copy_bytes_per_s;
    pool->tokens_us = core->now_us;
    pool->share_before = pool->share;
    pool->share_seq = mark_seq;
    pool->complete_us =
        pool->prev_epoch == 0
            ? 0
            : core->now_us + (uint64_t)core->options.tcp_idle_s * US_PER_S;
    g_array_set_size(pool->followers, 0);
    for (uint32_t i = 0; i < pool->bucket_count; i++) {
        struct flow_bucket *bucket = &pool->buckets[i];

        bucket->phase = FLOW_PHASE_STABLE;
        bucket->converted = false;
        bucket->mark_seq = mark_seq;
        bucket->changed_seq = 0;
    }
    for (guint i = 0; i < pool->slots->len; i++) {
        flow_slot_at(pool, i)->avoid_seq = mark_seq;
        flow_slot_at(pool, i)->avoid_us = core->now_us;
    }
    pool->slots_seq = pool->seq + 1;
    flow_copy_detach(pool, FLOW_REPLICA_SECOND);
    flow_copy_detach(pool, FLOW_REPLICA_HEIR);
    count_flows(core, pool);
    flow_map_followers(core, pool);
    flow_term_ask(core, pool);
}

/* Stop deciding: another daemon does, with a higher epoch. */
void
flow_term_depose(struct flow_core *core, struct flow_pool *pool)
{
    for (guint i = 0; i < pool->slots->len; i++) {
        core->counters.flows -=
            MIN(core->counters.flows, flow_slot_at(pool, i)->count);
    }
    pool->acting = false;
}

static bool
lead_missed(const struct flow_core *core, const struct flow_pool *pool)
{
    if (pool->lead_lost) {
        return true;
    }
    return !flow_peer_alive(core, pool->lead) &&
           (pool->lead_heard_us == 0 ||
            core->now_us > pool->lead_heard_us + FLOW_HEARD_US ||
            flow_peer_known(core, pool->lead));
}

/* Where packets that the lead must decide about are handed on. */
void
flow_term_ask(struct flow_core *core, struct flow_pool *pool)
{
    if (pool->acting) {
        pool->ask = core->options.self;
    }
    else if (pool->granted) {
        pool->ask = pool->grant_to;
    }
    else if (pool->lead.value != 0 &&
             pool->lead.value != core->options.self.value &&
             !lead_missed(core, pool)) {
        pool->ask = pool->lead;
    }
    else {
        pool->ask = flow_view_lead(core, pool->id, pool->lead);
    }
}

static void
send_grant(struct flow_core *core, struct flow_pool *pool)
{
    struct flow_message *grant =
        flow_send(core, pool->grant_to, FLOW_MSG_GRANT, pool->id);

    grant->epoch = pool->grant_epoch;
    grant->prev_epoch = pool->epoch;
    grant->seq = pool->seq;
    if (pool->udp_known_us > core->now_us) {
        grant->from_seq = pool->udp_known_us - core->now_us;
    }
    grant->stream = pool->grant_stream;
    grant->share = pool->grant_complete;
    grant->position = pool->grant_position;
    pool->grant_us = core->now_us;
}

/* As lead: keep a second, and hand over to whom the views name. */
static void
lead_tick(struct flow_core *core, struct flow_pool *pool)
{
    struct daemon_id self = core->options.self;
    struct daemon_id heir =
        flow_view_lead(core, pool->id, (struct daemon_id){0});
    struct flow_replica *copy = &pool->replicas[FLOW_REPLICA_HEIR];

    flow_copy_attach(core, pool, FLOW_REPLICA_SECOND,
                     flow_view_second(core, pool->id, self));
    if (heir.value == 0 || heir.value == self.value) {
        flow_copy_detach(pool, FLOW_REPLICA_HEIR);
        pool->heir.value = 0;
        return;
    }
    if (pool->heir.value != heir.value) {
        pool->heir = heir;
        pool->heir_cursor = 0;
    }
    if (heir.value == pool->replicas[FLOW_REPLICA_SECOND].to.value) {
        copy = &pool->replicas[FLOW_REPLICA_SECOND];
        flow_copy_detach(pool, FLOW_REPLICA_HEIR);
    }
    else {
        flow_copy_attach(core, pool, FLOW_REPLICA_HEIR, heir);
    }
    flow_map_followers(core, pool);
    if (!flow_copy_prepare(core, pool) || pool->dirty ||
        pool->min_acked < pool->seq || !flow_copy_near(pool, copy) ||
        !flow_map_acked(pool, heir) || !flow_route_current(core, heir)) {
        return;
    }
    pool->grant_to = heir;
    pool->grant_epoch = next_epoch(pool, heir);
    pool->grant_stream = copy->stream;
    pool->grant_complete =
        core->now_us >= pool->complete_us && flow_copy_whole(pool);
    pool->grant_position = flow_copy_end(copy);
    flow_copy_flush(core, pool);
    flow_copy_counts(core, pool);
    flow_term_depose(core, pool);
    pool->granted = true;
    pool->granted_us = core->now_us;
    core->counters.handovers++;
    send_grant(core, pool);
}

/* Repeat a grant until the new lead's map shows that it decides. */
static void
granted_tick(struct flow_core *core, struct flow_pool *pool)
{
    if (!flow_peer_alive(core, pool->grant_to) ||
        core->now_us > pool->granted_us + GRANT_LIMIT_US) {
        begin(core, pool, next_epoch(pool, core->options.self), pool->seq + 1);
        return;
    }
    flow_copy_flush(core, pool);
    if (core->now_us > pool->grant_us + FLOW_RESEND_US) {
        send_grant(core, pool);
    }
}

/* The grant of the lead that we hold a copy of. */
void
flow_term_grant(struct flow_core *core, struct daemon_id from,
                const struct flow_message *message)
{
    struct flow_pool *pool = flow_pool_get(core, message->pool);

    if (!core->synced || pool->acting || message->epoch <= pool->epoch ||
        message->prev_epoch != pool->epoch || message->seq != pool->seq ||
        pool->in_from.value != from.value || pool->in_epoch != pool->epoch ||
        pool->in_stream != message->stream ||
        pool->in_position != message->position) {
        return;
    }
    begin(core, pool, message->epoch, 0);
    pool->udp_known_us = core->now_us + message->from_seq;
    if (message->share != 0) {
        pool->complete_us = 0;
    }
}

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

/* Without a map: ask for one; the first lead makes it if nobody has one. */
static void
mapless_tick(struct flow_core *core, struct flow_pool *pool)
{
    struct daemon_id lead =
        flow_view_lead(core, pool->id, (struct daemon_id){0});

    if (pool->query_start_us == 0) {
        pool->query_start_us = core->now_us;
    }
    if (lead.value == core->options.self.value && pool->viewed &&
        (all_without_map(core, pool) ||
         core->now_us > pool->query_start_us + CREATE_WAIT_US)) {
        flow_map_create(core, pool);
        begin(core, pool, next_epoch(pool, core->options.self), 1);
        return;
    }
    if (core->now_us < pool->query_us + FLOW_RESEND_US) {
        return;
    }
    pool->query_us = core->now_us;
    for (guint i = 0; i < core->peers->len; i++) {
        flow_send(core,
                  g_array_index(core->peers, struct flow_peer, i).view.id,
                  FLOW_MSG_QUERY, pool->id);
    }
}

/* A peer without a map asks for it. */
void
flow_term_query(struct flow_core *core, struct daemon_id from,
                const struct flow_message *message)
{
    struct flow_pool *pool = flow_pool_get(core, message->pool);
    struct flow_message *ack;

    if (pool->acting) {
        flow_map_follow(core, pool, from);
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
    if (pool->lead.value == from.value) {
        pool->lead_lost = true;
    }
    if (pool->lead.value != from.value && lead_missed(core, pool)) {
        flow_map_send_whole(core, pool, from);
        return;
    }
    ack = flow_send(core, from, FLOW_MSG_MAP_ACK, pool->id);
    ack->epoch = pool->epoch;
    ack->seq = pool->seq;
}

void
flow_term_no_map(struct flow_core *core, struct daemon_id from,
                 const struct flow_message *message)
{
    struct flow_pool *pool = flow_pool_get(core, message->pool);

    g_array_append_val(pool->no_map, from.value);
}

/* Decide after a lead was lost: its UDP flows are known by and by. */
static void
take_over(struct flow_core *core, struct flow_pool *pool)
{
    pool->lost_us = 0;
    core->counters.takeovers++;
    begin(core, pool, next_epoch(pool, core->options.self), pool->seq + 1);
    pool->udp_known_us =
        core->now_us + (uint64_t)core->options.udp_idle_s * US_PER_S;
}

/* With a map and another lead: take over when that one is lost. */
static void
follower_tick(struct flow_core *core, struct flow_pool *pool)
{
    struct daemon_id self = core->options.self;
    bool holds = pool->in_epoch == pool->epoch &&
                 pool->in_from.value == pool->lead.value;
    uint64_t wait = OTHERS_WAIT_US;

    if (!lead_missed(core, pool)) {
        pool->lost_us = 0;
        return;
    }
    if (pool->lost_us == 0) {
        pool->lost_us = core->now_us;
    }
    if (holds) {
        struct daemon_id second = flow_view_second(core, pool->id, pool->lead);

        wait = second.value == self.value ? 0 : SECOND_WAIT_US;
    }
    else if (flow_view_lead(core, pool->id, pool->lead).value != self.value) {
        return;
    }
    if (core->now_us >= pool->lost_us + wait && !core->stopping) {
        if (!holds) {
            flow_table_clear(&pool->table);
        }
        take_over(core, pool);
    }
}

/* Take the pool's lead, keep it, or give it away, as the views have it. */
void
flow_term_tick(struct flow_core *core, struct flow_pool *pool)
{
    if (!core->views_known) {
        return;
    }
    if (pool->acting) {
        lead_tick(core, pool);
    }
    else if (pool->granted) {
        granted_tick(core, pool);
    }
    else if (pool->buckets == NULL) {
        mapless_tick(core, pool);
    }
    else {
        follower_tick(core, pool);
    }
}

/* Say once that all is handed over, having forwarded on for a while. */
void
flow_term_stop(struct flow_core *core)
{
    bool busy = false;

    if (!core->stopping || core->stopped) {
        return;
    }
    for (guint i = 0; i < core->pools->len; i++) {
        const struct flow_pool *pool = core->pools->pdata[i];

        busy =
            busy || pool->granted || (pool->acting && core->peers->len != 0);
    }
    if (busy) {
        core->idle_since_us = 0;
    }
    else if (core->idle_since_us == 0) {
        core->idle_since_us = core->now_us;
    }
    if ((!busy && core->now_us >= core->idle_since_us + FORWARD_ON_US) ||
        core->now_us >= core->stop_us + STOP_LIMIT_US) {
        core->stopped = true;
        flow_act(core, FLOW_ACT_STOPPED);
    }
}
