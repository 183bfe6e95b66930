/*
 * Replicates the owner's records: an ordered stream to the backup, and to the
 * successor before a handover, each acknowledged by position.
 */
#include "flow/flow_state.h"

/* Queued records up to which a snapshot proceeds. */
#define SNAPSHOT_QUEUE_MAX 256
#define MESSAGE_BYTES      64 /* size of a message without its records */
#define RECORD_BYTES       8
#define COUNTS_US          1000000 /* interval of the COUNTS messages */

static void snapshot(struct flow_pool *, struct flow_replica *);
static void snapshot_bucket(struct flow_pool *, struct flow_replica *);
static void send_records(struct flow_core *, struct flow_pool *,
                         struct flow_replica *);
static guint apply_records(struct flow_pool *, const GArray *, guint from,
                           uint32_t now_s, bool merge);
static void apply_merge(struct flow_core *, struct flow_pool *,
                        const struct flow_message *);

/* Return the position after the last record of the replica. */
uint64_t
flow_replica_end(const struct flow_replica *replica)
{
    return replica->acked + replica->queue->len;
}

/*
 * Return true if the replica holds all records before POSITION, or if there is
 * no daemon to hold it.
 */
bool
flow_replica_reached(const struct flow_replica *replica, uint64_t position)
{
    return replica->to.value == 0 || replica->acked >= position;
}

/* Append RECORD to the queue of every replica. */
void
flow_replica_append(struct flow_pool *pool, uint64_t record)
{
    for (int role = 0; role < FLOW_REPLICA__MAX; role++) {
        if (pool->replicas[role].to.value != 0) {
            g_array_append_val(pool->replicas[role].queue, record);
        }
    }
}

/* Stop the replica in ROLE and drop its queue. */
void
flow_replica_detach(struct flow_pool *pool, enum flow_replica_role role)
{
    struct flow_replica *replica = &pool->replicas[role];
    GArray *queue = replica->queue;

    g_array_set_size(queue, 0);
    *replica = (struct flow_replica){.queue = queue};
}

/*
 * Start a replica at TO, unless there is one.  A new backup has no records
 * yet: recorded buckets are held back until its snapshot is complete.
 */
void
flow_replica_attach(struct flow_core *core, struct flow_pool *pool,
                    enum flow_replica_role role, struct daemon_id to)
{
    struct flow_replica *replica = &pool->replicas[role];

    if (replica->to.value == to.value) {
        return;
    }
    flow_replica_detach(pool, role);
    replica->to = to;
    replica->stream = ++pool->last_stream;
    if (role != FLOW_REPLICA_BACKUP) {
        return;
    }
    for (uint32_t i = 0; i < pool->bucket_count; i++) {
        if (pool->buckets[i].all_recorded) {
            pool->buckets[i].recorded_position = UINT64_MAX;
        }
    }
    (void)core;
}

/* Append the recorded flows of the next bucket to the queue of REPLICA. */
static void
snapshot_bucket(struct flow_pool *pool, struct flow_replica *replica)
{
    const struct flow_entry *entry;
    uint32_t at = 0;

    while ((entry = flow_bucket_next(pool, replica->cursor, &at)) != NULL) {
        if ((entry->flags & FLOW_ENTRY_RECORDED) != 0) {
            uint64_t record = flow_entry_record(entry);

            g_array_append_val(replica->queue, record);
        }
    }
    replica->cursor++;
}

/*
 * Continue the snapshot as far as the byte budget and the queue allow.  At its
 * end, the recorded buckets get the position that the backup must reach.
 */
static void
snapshot(struct flow_pool *pool, struct flow_replica *replica)
{
    while (replica->cursor < pool->bucket_count && pool->tokens >= 0 &&
           replica->queue->len < SNAPSHOT_QUEUE_MAX) {
        snapshot_bucket(pool, replica);
        if (replica->cursor < pool->bucket_count ||
            replica != &pool->replicas[FLOW_REPLICA_BACKUP]) {
            continue;
        }
        for (uint32_t i = 0; i < pool->bucket_count; i++) {
            if (pool->buckets[i].recorded_position == UINT64_MAX) {
                pool->buckets[i].recorded_position = flow_replica_end(replica);
            }
        }
    }
}

/*
 * Send the records not sent yet.  If an acknowledgement is overdue, send all
 * again from the last position acknowledged.
 */
static void
send_records(struct flow_core *core, struct flow_pool *pool,
             struct flow_replica *replica)
{
    struct flow_message *message;
    guint from;
    guint count;

    if ((replica->sent > replica->acked || !replica->confirmed) &&
        core->now_us > replica->sent_us + FLOW_RESEND_US) {
        replica->sent = replica->acked;
        replica->started = false;
    }
    replica->sent = MAX(replica->sent, replica->acked);
    from = (guint)(replica->sent - replica->acked);
    count = replica->queue->len - from;
    if (count == 0 && replica->started) {
        return;
    }
    message = flow_send(core, replica->to, FLOW_MSG_RECORDS, pool->id);
    message->epoch = pool->epoch;
    message->stream = replica->stream;
    message->position = replica->sent;
    message->records = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    g_array_append_vals(message->records,
                        &g_array_index(replica->queue, uint64_t, from), count);
    pool->tokens -= MESSAGE_BYTES + (int64_t)count * RECORD_BYTES;
    core->counters.records_sent += count;
    replica->sent += count;
    replica->sent_us = core->now_us;
    replica->started = true;
}

/* Send the number of flows of each target to all replica holders. */
void
flow_replica_send_counts(struct flow_core *core, struct flow_pool *pool)
{
    pool->counts_us = core->now_us;
    for (int role = 0; role < FLOW_REPLICA__MAX; role++) {
        struct flow_message *message;

        if (pool->replicas[role].to.value == 0) {
            continue;
        }
        message = flow_send(core, pool->replicas[role].to, FLOW_MSG_COUNTS,
                            pool->id);
        message->epoch = pool->epoch;
        message->records = g_array_new(FALSE, FALSE, sizeof(uint64_t));
        for (guint i = 0; i < pool->slots->len; i++) {
            const struct flow_slot *slot = flow_slot_at(pool, i);
            uint64_t count = (uint64_t)slot->count + slot->unidentified;

            g_array_append_val(message->records, count);
        }
    }
}

/*
 * Send outstanding records to all replica holders, within the byte budget, and
 * the counts every second.
 */
void
flow_replica_tick(struct flow_core *core, struct flow_pool *pool)
{
    int64_t rate = core->options.replica_bytes_per_s;

    pool->tokens +=
        (int64_t)(core->now_us - pool->tokens_us) * rate / US_PER_S;
    pool->tokens = MIN(pool->tokens, rate);
    pool->tokens_us = core->now_us;
    for (int role = 0; role < FLOW_REPLICA__MAX; role++) {
        struct flow_replica *replica = &pool->replicas[role];

        if (replica->to.value != 0) {
            snapshot(pool, replica);
            send_records(core, pool, replica);
        }
    }
    if (core->now_us >= pool->counts_us + COUNTS_US) {
        flow_replica_send_counts(core, pool);
    }
}

/*
 * Record the flows of the bucket INDEX that have no record yet: those with one
 * of FLAGS of enum flow_entry_flag, or all if FLAGS is 0.
 */
void
flow_replica_record_bucket(struct flow_pool *pool, uint32_t index,
                           uint8_t flags)
{
    struct flow_entry *entry;
    uint32_t at = 0;

    while ((entry = flow_bucket_next(pool, index, &at)) != NULL) {
        if ((entry->flags & FLOW_ENTRY_RECORDED) == 0 &&
            (flags == 0 || (entry->flags & flags) != 0)) {
            entry->flags |= FLOW_ENTRY_RECORDED;
            flow_replica_append(pool, flow_entry_record(entry));
        }
    }
}

/* Return true if every open flow in the table has a record. */
bool
flow_replica_all_recorded(const struct flow_pool *pool)
{
    for (uint32_t i = 0; i < flow_table_end(&pool->table); i++) {
        const struct flow_entry *entry = &pool->table.slots[i];

        if (entry->record != 0 &&
            (entry->flags & (FLOW_ENTRY_RECORDED | FLOW_ENTRY_CLOSED)) == 0) {
            return false;
        }
    }
    return true;
}

/*
 * Before a handover, record UDP flows, which have no visible start, and flows
 * of routes that changed their pool.  Return true when none is left to be
 * recorded.
 */
bool
flow_replica_prepare_handover(struct flow_core *core, struct flow_pool *pool)
{
    const GArray *queue = pool->replicas[FLOW_REPLICA_BACKUP].queue;

    while (pool->successor_cursor < pool->bucket_count &&
           (core->stopping ||
            (pool->tokens >= 0 && queue->len < SNAPSHOT_QUEUE_MAX))) {
        flow_replica_record_bucket(pool, pool->successor_cursor,
                                   FLOW_ENTRY_UDP | FLOW_ENTRY_ROUTE_MOVED);
        pool->successor_cursor++;
    }
    return pool->successor_cursor == pool->bucket_count;
}

/*
 * Return true if the snapshot is complete and fewer than SNAPSHOT_QUEUE_MAX
 * (256) records are not acknowledged yet.
 */
bool
flow_replica_nearly_current(const struct flow_pool *pool,
                            const struct flow_replica *replica)
{
    return replica->to.value != 0 && replica->cursor == pool->bucket_count &&
           replica->confirmed && replica->queue->len < SNAPSHOT_QUEUE_MAX;
}

/*
 * Send all outstanding records to all replica holders, regardless of the byte
 * budget.
 */
void
flow_replica_flush(struct flow_core *core, struct flow_pool *pool)
{
    for (int role = 0; role < FLOW_REPLICA__MAX; role++) {
        struct flow_replica *replica = &pool->replicas[role];

        if (replica->to.value != 0) {
            send_records(core, pool, replica);
        }
    }
}

/* Handle the acknowledgement of all records before a position. */
void
flow_replica_receive_ack(struct flow_core *core, struct daemon_id from,
                         const struct flow_message *message)
{
    struct flow_pool *pool = flow_pool_get(core, message->pool);

    for (int role = 0; role < FLOW_REPLICA__MAX; role++) {
        struct flow_replica *replica = &pool->replicas[role];

        if (replica->to.value != from.value || message->epoch != pool->epoch ||
            message->stream != replica->stream ||
            message->position < replica->acked ||
            message->position > flow_replica_end(replica)) {
            continue;
        }
        g_array_remove_range(replica->queue, 0,
                             (guint)(message->position - replica->acked));
        replica->acked = message->position;
        replica->confirmed = true;
        replica->sent_us = core->now_us;
    }
}

/*
 * Apply the records from index FROM on to the table; a merge adds only unknown
 * flows.  Return the index of the first record that was not applied because
 * the map held here does not know its target yet: it is not acknowledged and
 * will be retransmitted.
 */
static guint
apply_records(struct flow_pool *pool, const GArray *records, guint from,
              uint32_t now_s, bool merge)
{
    for (guint i = from; records != NULL && i < records->len; i++) {
        uint64_t record = g_array_index(records, uint64_t, i);
        uint16_t target = (uint16_t)record;
        struct flow_entry *entry;

        if (record >> 16 == 0) {
            continue;
        }
        entry = flow_table_find(&pool->table, record >> 16);
        if (target == FLOW_RECORD_CLOSED) {
            if (entry != NULL && !merge) {
                flow_table_remove(&pool->table, entry);
            }
            continue;
        }
        target &= (uint16_t)~FLOW_RECORD_UDP;
        if (target >= pool->slots->len) {
            return i;
        }
        if (merge && entry != NULL) {
            continue;
        }
        if (entry == NULL) {
            entry = flow_table_insert(&pool->table, record >> 16, target);
        }
        entry->record = record >> 16 << 16 | target;
        entry->seen_s = now_s;
        entry->flags = FLOW_ENTRY_RECORDED | FLOW_ENTRY_ACCEPTED;
        if ((record & FLOW_RECORD_UDP) != 0) {
            entry->flags |= FLOW_ENTRY_UDP;
        }
    }
    return records == NULL ? from : records->len;
}

/*
 * As owner, add the flows that a former owner opened and had not replicated.
 */
static void
apply_merge(struct flow_core *core, struct flow_pool *pool,
            const struct flow_message *message)
{
    if (!pool->owned_here) {
        return;
    }
    apply_records(pool, message->records, 0, flow_now_s(core), true);
}

/*
 * Handle records or counts from the owner, and acknowledge records.  A new
 * stream replaces all records held; a stream of 0 is a merge from a former
 * owner.
 */
void
flow_replica_receive(struct flow_core *core, struct daemon_id from,
                     const struct flow_message *message)
{
    struct flow_pool *pool = flow_pool_get(core, message->pool);
    guint count = message->records == NULL ? 0 : message->records->len;
    struct flow_message *ack;

    if (message->kind == FLOW_MSG_RECORDS && message->stream == 0) {
        apply_merge(core, pool, message);
        return;
    }
    if (pool->owned_here || message->epoch != pool->epoch) {
        return;
    }
    if (message->kind == FLOW_MSG_COUNTS) {
        g_array_set_size(pool->inbound_counts, 0);
        g_array_append_vals(pool->inbound_counts,
                            count == 0 ? NULL : message->records->data, count);
        return;
    }
    if (message->epoch > pool->inbound_epoch ||
        (message->epoch == pool->inbound_epoch &&
         message->stream > pool->inbound_stream)) {
        flow_table_clear(&pool->table);
        pool->inbound_epoch = message->epoch;
        pool->inbound_stream = message->stream;
        pool->inbound_position = 0;
        pool->inbound_from = from;
    }
    if (message->epoch != pool->inbound_epoch ||
        message->stream != pool->inbound_stream) {
        return;
    }
    if (message->position <= pool->inbound_position &&
        message->position + count > pool->inbound_position) {
        pool->inbound_position =
            message->position +
            apply_records(pool, message->records,
                          (guint)(pool->inbound_position - message->position),
                          flow_now_s(core), false);
    }
    ack = flow_send(core, from, FLOW_MSG_RECORDS_ACK, pool->id);
    ack->epoch = message->epoch;
    ack->stream = message->stream;
    ack->position = pool->inbound_position;
}

/*
 * After another daemon took the pool over: send it, at TO, the records that
 * the backup may lack.
 */
void
flow_replica_send_merge(struct flow_core *core, struct flow_pool *pool,
                        struct daemon_id to)
{
    GArray *queue = pool->replicas[FLOW_REPLICA_BACKUP].queue;
    struct flow_message *message;

    if (queue->len != 0) {
        message = flow_send(core, to, FLOW_MSG_RECORDS, pool->id);
        message->records = g_array_new(FALSE, FALSE, sizeof(uint64_t));
        g_array_append_vals(message->records, queue->data, queue->len);
    }
    flow_replica_detach(pool, FLOW_REPLICA_BACKUP);
    flow_replica_detach(pool, FLOW_REPLICA_SUCCESSOR);
}
