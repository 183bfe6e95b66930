/*
 * Copies of the lead's records: an ordered stream to the second, and to an
 * heir before a hand-over, each acknowledged by position.
 */
#include "flow/flow_state.h"

#define QUEUE_MAX     256 /* records of a snapshot that may wait */
#define MESSAGE_BYTES 64  /* of a message besides its records */
#define RECORD_BYTES  8
#define COUNTS_US     1000000 /* between two copies of the counts */

static void snapshot(struct flow_pool *, struct flow_replica *);
static void snapshot_bucket(struct flow_pool *, struct flow_replica *);
static void send_records(struct flow_core *, struct flow_pool *,
                         struct flow_replica *);
static guint take_records(struct flow_pool *, const GArray *, guint from,
                          uint32_t now_s, bool merge);
static void take_merge(struct flow_core *, struct flow_pool *,
                       const struct flow_message *);

/* One behind the last record of the copy. */
uint64_t
flow_copy_end(const struct flow_replica *replica)
{
    return replica->acked + replica->queue->len;
}

/* Whether the copy is held up to POSITION, or no copy can be had. */
bool
flow_copy_reached(const struct flow_replica *replica, uint64_t position)
{
    return replica->to.value == 0 || replica->acked >= position;
}

/* Append RECORD to every copy. */
void
flow_copy_record(struct flow_pool *pool, uint64_t record)
{
    for (int role = 0; role < FLOW_REPLICA__MAX; role++) {
        if (pool->replicas[role].to.value != 0) {
            g_array_append_val(pool->replicas[role].queue, record);
        }
    }
}

void
flow_copy_detach(struct flow_pool *pool, enum flow_replica_role role)
{
    struct flow_replica *replica = &pool->replicas[role];
    GArray *queue = replica->queue;

    g_array_set_size(queue, 0);
    *replica = (struct flow_replica){.queue = queue};
}

/* Begin a copy at TO, unless it is there already. */
void
flow_copy_attach(struct flow_core *core, struct flow_pool *pool,
                 enum flow_replica_role role, struct daemon_id to)
{
    struct flow_replica *replica = &pool->replicas[role];

    if (replica->to.value == to.value) {
        return;
    }
    flow_copy_detach(pool, role);
    replica->to = to;
    replica->stream = ++pool->streams;
    if (role != FLOW_REPLICA_SECOND) {
        return;
    }
    for (uint32_t i = 0; i < pool->bucket_count; i++) {
        if (pool->buckets[i].converted) {
            pool->buckets[i].ready = UINT64_MAX;
        }
    }
    (void)core;
}

/* Append the recorded flows of the next bucket. */
static void
snapshot_bucket(struct flow_pool *pool, struct flow_replica *replica)
{
    const struct flow_entry *entry;
    uint32_t at = 0;

    while ((entry = flow_bucket_next(pool, replica->cursor, &at)) != NULL) {
        if ((entry->flags & FLOW_ENTRY_EXPLICIT) != 0) {
            uint64_t record = flow_entry_record(entry);

            g_array_append_val(replica->queue, record);
        }
    }
    replica->cursor++;
}

/* Go on with the snapshot as far as the byte budget lets. */
static void
snapshot(struct flow_pool *pool, struct flow_replica *replica)
{
    while (replica->cursor < pool->bucket_count && pool->tokens >= 0 &&
           replica->queue->len < QUEUE_MAX) {
        snapshot_bucket(pool, replica);
        if (replica->cursor < pool->bucket_count ||
            replica != &pool->replicas[FLOW_REPLICA_SECOND]) {
            continue;
        }
        for (uint32_t i = 0; i < pool->bucket_count; i++) {
            if (pool->buckets[i].ready == UINT64_MAX) {
                pool->buckets[i].ready = flow_copy_end(replica);
            }
        }
    }
}

/* Send what is new, or again from the last position acknowledged. */
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
    message = flow_send(core, replica->to, FLOW_MSG_COPY, pool->id);
    message->epoch = pool->epoch;
    message->stream = replica->stream;
    message->position = replica->sent;
    message->records = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    g_array_append_vals(message->records,
                        &g_array_index(replica->queue, uint64_t, from), count);
    pool->tokens -= MESSAGE_BYTES + (int64_t)count * RECORD_BYTES;
    core->counters.copied += count;
    replica->sent += count;
    replica->sent_us = core->now_us;
    replica->started = true;
}

/* Send the flows of each target to all copies. */
void
flow_copy_counts(struct flow_core *core, struct flow_pool *pool)
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
            uint64_t count = (uint64_t)slot->count + slot->inherited;

            g_array_append_val(message->records, count);
        }
    }
}

/* Send all copies what they lack, within the byte budget. */
void
flow_copy_tick(struct flow_core *core, struct flow_pool *pool)
{
    int64_t rate = core->options.copy_bytes_per_s;

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
        flow_copy_counts(core, pool);
    }
}

/*
 * Record the flows of the bucket that have no record yet: those with one of
 * FLAGS, or all if that is 0.
 */
void
flow_copy_bucket(struct flow_pool *pool, uint32_t index, uint8_t flags)
{
    struct flow_entry *entry;
    uint32_t at = 0;

    while ((entry = flow_bucket_next(pool, index, &at)) != NULL) {
        if ((entry->flags & FLOW_ENTRY_EXPLICIT) == 0 &&
            (flags == 0 || (entry->flags & flags) != 0)) {
            entry->flags |= FLOW_ENTRY_EXPLICIT;
            flow_copy_record(pool, flow_entry_record(entry));
        }
    }
}

/* Whether every flow in the table has a record. */
bool
flow_copy_whole(const struct flow_pool *pool)
{
    for (uint32_t i = 0; i < flow_table_end(&pool->table); i++) {
        const struct flow_entry *entry = &pool->table.slots[i];

        if (entry->record != 0 &&
            (entry->flags & (FLOW_ENTRY_EXPLICIT | FLOW_ENTRY_CLOSED)) == 0) {
            return false;
        }
    }
    return true;
}

/*
 * Before a hand-over: record flows without visible openings, and those of
 * routes that changed their pool.  True when none is left to be recorded.
 */
bool
flow_copy_prepare(struct flow_core *core, struct flow_pool *pool)
{
    const GArray *queue = pool->replicas[FLOW_REPLICA_SECOND].queue;

    while (pool->heir_cursor < pool->bucket_count &&
           (core->stopping || (pool->tokens >= 0 && queue->len < QUEUE_MAX))) {
        flow_copy_bucket(pool, pool->heir_cursor,
                         FLOW_ENTRY_UDP | FLOW_ENTRY_TRANSIT);
        pool->heir_cursor++;
    }
    return pool->heir_cursor == pool->bucket_count;
}

/* Whether the copy lacks no more than what is on its way. */
bool
flow_copy_near(const struct flow_pool *pool,
               const struct flow_replica *replica)
{
    return replica->to.value != 0 && replica->cursor == pool->bucket_count &&
           replica->confirmed && replica->queue->len < QUEUE_MAX;
}

/* Send what the copies lack, without regard to the budget. */
void
flow_copy_flush(struct flow_core *core, struct flow_pool *pool)
{
    for (int role = 0; role < FLOW_REPLICA__MAX; role++) {
        struct flow_replica *replica = &pool->replicas[role];

        if (replica->to.value != 0) {
            send_records(core, pool, replica);
        }
    }
}

/* The copy's holder has all records before the position. */
void
flow_copy_ack(struct flow_core *core, struct daemon_id from,
              const struct flow_message *message)
{
    struct flow_pool *pool = flow_pool_get(core, message->pool);

    for (int role = 0; role < FLOW_REPLICA__MAX; role++) {
        struct flow_replica *replica = &pool->replicas[role];

        if (replica->to.value != from.value || message->epoch != pool->epoch ||
            message->stream != replica->stream ||
            message->position < replica->acked ||
            message->position > flow_copy_end(replica)) {
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
 * Take records from index FROM on; a merge adds only unknown flows.  Returns
 * the index of the first one that was not taken, since the map that has come
 * here does not know its target yet: it is not acknowledged and comes again.
 */
static guint
take_records(struct flow_pool *pool, const GArray *records, guint from,
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
        entry->flags = FLOW_ENTRY_EXPLICIT | FLOW_ENTRY_ANSWERED;
        if ((record & FLOW_RECORD_UDP) != 0) {
            entry->flags |= FLOW_ENTRY_UDP;
        }
    }
    return records == NULL ? from : records->len;
}

/* What a deposed lead opened and had not copied. */
static void
take_merge(struct flow_core *core, struct flow_pool *pool,
           const struct flow_message *message)
{
    if (!pool->acting) {
        return;
    }
    take_records(pool, message->records, 0, flow_now_s(core), true);
}

/* Records or counts from the lead. */
void
flow_copy_message(struct flow_core *core, struct daemon_id from,
                  const struct flow_message *message)
{
    struct flow_pool *pool = flow_pool_get(core, message->pool);
    guint count = message->records == NULL ? 0 : message->records->len;
    struct flow_message *ack;

    if (message->kind == FLOW_MSG_COPY && message->stream == 0) {
        take_merge(core, pool, message);
        return;
    }
    if (pool->acting || message->epoch != pool->epoch) {
        return;
    }
    if (message->kind == FLOW_MSG_COUNTS) {
        g_array_set_size(pool->in_counts, 0);
        g_array_append_vals(pool->in_counts,
                            count == 0 ? NULL : message->records->data, count);
        return;
    }
    if (message->epoch > pool->in_epoch ||
        (message->epoch == pool->in_epoch &&
         message->stream > pool->in_stream)) {
        flow_table_clear(&pool->table);
        pool->in_epoch = message->epoch;
        pool->in_stream = message->stream;
        pool->in_position = 0;
        pool->in_from = from;
    }
    if (message->epoch != pool->in_epoch ||
        message->stream != pool->in_stream) {
        return;
    }
    if (message->position <= pool->in_position &&
        message->position + count > pool->in_position) {
        pool->in_position =
            message->position +
            take_records(pool, message->records,
                         (guint)(pool->in_position - message->position),
                         flow_now_s(core), false);
    }
    ack = flow_send(core, from, FLOW_MSG_COPY_ACK, pool->id);
    ack->epoch = message->epoch;
    ack->stream = message->stream;
    ack->position = pool->in_position;
}

/* After being deposed: give the new lead what the second may lack. */
void
flow_copy_merge(struct flow_core *core, struct flow_pool *pool,
                struct daemon_id to)
{
    GArray *queue = pool->replicas[FLOW_REPLICA_SECOND].queue;
    struct flow_message *message;

    if (queue->len != 0) {
        message = flow_send(core, to, FLOW_MSG_COPY, pool->id);
        message->records = g_array_new(FALSE, FALSE, sizeof(uint64_t));
        g_array_append_vals(message->records, queue->data, queue->len);
    }
    flow_copy_detach(pool, FLOW_REPLICA_SECOND);
    flow_copy_detach(pool, FLOW_REPLICA_HEIR);
}
