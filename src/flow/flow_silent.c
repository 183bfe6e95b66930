/*
 * Detects silent flows and resets them at both ends.  In a silent flow the
 * caller retransmits without an answer while other flows get answers from the
 * same target: a device between the two ends has lost the flow's state.  A
 * daemon that sees a segment twice without an answer queries its peers, since
 * answers return through any daemon.
 */
#include "flow/flow_state.h"

/* A segment seen again after less than this time is not suspicious. */
#define RETRANSMIT_MIN_MS 1000
#define QUERY_INTERVAL_US 1000000 /* interval of the queries to peers */
/* A flow that was not reset is suspected no longer than this. */
#define SUSPECT_MAX_US 60000000
#define SUSPECTS_MAX   1024
#define REPLIES_MAX    64
#define QUERY_WORDS    3 /* digest, age in ms, sequence number */
#define REPLY_WORDS    2 /* digest, 1 if answered */
#define TCP_RST        0x04

struct flow_suspect {
    uint64_t digest;
    struct flow_pool *pool;
    uint32_t endpoint;
    struct flow_packet packet;     /* the caller's, which was seen twice */
    uint64_t first_seen_us;        /* when the packet was first seen */
    uint64_t query_us;             /* last queries to peers */
    uint64_t replies[REPLIES_MAX]; /* peers that saw no answer */
    guint reply_count;
};

static void query_peers(struct flow_core *, struct flow_suspect *);
static bool answered_since(const struct flow_core *, const uint64_t *words);
static bool all_replied(const struct flow_core *, const struct flow_suspect *);
static void end_flow(struct flow_core *, const struct flow_suspect *);
static bool step_suspect(struct flow_core *, struct flow_suspect *);

/*
 * Note a segment of a caller that ENDPOINT must answer.  CACHED is the flow's
 * cache entry.  The flow is suspected if the same segment was seen at least
 * RETRANSMIT_MIN_MS before without an answer since.
 */
void
flow_silent_note_segment(struct flow_core *core, struct flow_pool *pool,
                         struct flow_cached *cached, uint32_t endpoint,
                         const struct flow_packet *packet)
{
    uint32_t now_ms = flow_now_ms(core);
    struct flow_suspect *suspect;

    if (cached->pending_ms == 0 || cached->seq != packet->tcp_seq) {
        cached->pending_ms = now_ms;
        cached->seq = packet->tcp_seq;
        return;
    }
    if (now_ms - cached->pending_ms < RETRANSMIT_MIN_MS ||
        g_hash_table_size(core->suspects) >= SUSPECTS_MAX ||
        g_hash_table_contains(core->suspects, &cached->digest)) {
        return;
    }
    suspect = g_new0(struct flow_suspect, 1);
    suspect->digest = cached->digest;
    suspect->pool = pool;
    suspect->endpoint = endpoint;
    suspect->packet = *packet;
    suspect->first_seen_us =
        core->now_us - (uint64_t)(now_ms - cached->pending_ms) * 1000;
    g_hash_table_insert(core->suspects, &suspect->digest, suspect);
}

/* Stop suspecting the flow with DIGEST, of which an answer was seen. */
void
flow_silent_remove(struct flow_core *core, uint64_t digest)
{
    if (g_hash_table_size(core->suspects) != 0) {
        g_hash_table_remove(core->suspects, &digest);
    }
}

/* Ask all peers whether they saw an answer of the flow. */
static void
query_peers(struct flow_core *core, struct flow_suspect *suspect)
{
    uint64_t words[QUERY_WORDS] = {
        suspect->digest, (core->now_us - suspect->first_seen_us) / 1000,
        suspect->packet.tcp_seq};

    suspect->query_us = core->now_us;
    suspect->reply_count = 0;
    for (guint i = 0; i < core->peers->len; i++) {
        struct flow_message *message = flow_send(
            core, g_array_index(core->peers, struct flow_peer, i).view.id,
            FLOW_MSG_ACTIVITY_QUERY, suspect->pool->id);

        message->records = g_array_new(FALSE, FALSE, sizeof(uint64_t));
        g_array_append_vals(message->records, words, QUERY_WORDS);
    }
}

/*
 * Return true if this daemon saw an answer within the age, or a later sequence
 * number of the caller, as given in WORDS, which are digest, age in ms and
 * sequence number.
 */
static bool
answered_since(const struct flow_core *core, const uint64_t *words)
{
    const struct flow_cached *cached = flow_cache_find(&core->cache, words[0]);
    if (cached == NULL) {
        return false;
    }
    return (cached->endpoint != FLOW_ENDPOINT_NONE &&
            flow_now_ms(core) - cached->answered_ms < words[1]) ||
           (cached->pending_ms != 0 &&
            (int32_t)(cached->seq - (uint32_t)words[2]) > 0);
}

/* Reply to a peer whether this daemon saw an answer of a flow. */
void
flow_silent_receive_query(struct flow_core *core, struct daemon_id from,
                          const struct flow_message *message)
{
    uint64_t words[REPLY_WORDS];
    struct flow_message *reply;

    if (message->records == NULL || message->records->len < QUERY_WORDS) {
        return;
    }
    words[0] = g_array_index(message->records, uint64_t, 0);
    words[1] =
        answered_since(core, &g_array_index(message->records, uint64_t, 0));
    reply = flow_send(core, from, FLOW_MSG_ACTIVITY_REPLY, message->pool);
    reply->records = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    g_array_append_vals(reply->records, words, REPLY_WORDS);
}

/* Handle a peer's reply about a suspected flow. */
void
flow_silent_receive_reply(struct flow_core *core, struct daemon_id from,
                          const struct flow_message *message)
{
    struct flow_suspect *suspect;
    uint64_t digest;

    if (message->records == NULL || message->records->len < REPLY_WORDS) {
        return;
    }
    digest = g_array_index(message->records, uint64_t, 0);
    suspect = g_hash_table_lookup(core->suspects, &digest);
    if (suspect == NULL) {
        return;
    }
    if (g_array_index(message->records, uint64_t, 1) != 0) {
        g_hash_table_remove(core->suspects, &digest);
        return;
    }
    if (suspect->reply_count < REPLIES_MAX) {
        suspect->replies[suspect->reply_count++] = from.value;
    }
}

/* Return true if all peers have replied to the last queries. */
static bool
all_replied(const struct flow_core *core, const struct flow_suspect *suspect)
{
    for (guint i = 0; i < core->peers->len; i++) {
        uint64_t id =
            g_array_index(core->peers, struct flow_peer, i).view.id.value;
        bool found = false;

        for (guint j = 0; j < suspect->reply_count && !found; j++) {
            found = suspect->replies[j] == id;
        }
        if (!found) {
            return false;
        }
    }
    return true;
}

/* As owner, close a flow that was reset. */
void
flow_silent_receive_flow_ended(struct flow_core *core,
                               const struct flow_message *message)
{
    struct flow_pool *pool = flow_pool_get(core, message->pool);
    struct flow_entry *entry;

    if (message->records == NULL || message->records->len == 0 ||
        !pool->owned_here) {
        return;
    }
    entry = flow_table_find(&pool->table,
                            g_array_index(message->records, uint64_t, 0));
    if (entry != NULL) {
        flow_owner_close(core, pool, entry);
    }
}

/*
 * Reset both ends, with sequence numbers that each must accept, and notify the
 * owner.
 */
static void
end_flow(struct flow_core *core, const struct flow_suspect *suspect)
{
    const struct flow_endpoint *endpoint =
        flow_endpoint_at(core, suspect->endpoint);
    struct flow_action *action = flow_add_action(core, FLOW_ACT_RESET);
    struct flow_message *message;

    action->u.reset.packet = suspect->packet;
    action->u.reset.address = endpoint->key.address;
    action->u.reset.port = endpoint->view.port;
    action->u.reset.reset.caller_flags = TCP_RST;
    action->u.reset.reset.caller_seq = suspect->packet.tcp_ack;
    action->u.reset.reset.target_flags = TCP_RST;
    action->u.reset.reset.target_seq = suspect->packet.tcp_seq;
    core->counters.reset[FLOW_REASON_SILENT]++;
    message = flow_message_new(FLOW_MSG_FLOW_ENDED, suspect->pool->id);
    message->records = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    g_array_append_val(message->records, suspect->digest);
    if (suspect->pool->owned_here) {
        flow_silent_receive_flow_ended(core, message);
        flow_message_free(message);
        return;
    }
    action = flow_add_action(core, FLOW_ACT_SEND);
    action->u.send.to = suspect->pool->relay_to;
    action->u.send.message = message;
}

/*
 * Reset a suspected flow, or query the peers, if it is time.  Return true if
 * the flow is to be suspected no longer.
 */
static bool
step_suspect(struct flow_core *core, struct flow_suspect *suspect)
{
    const struct flow_endpoint *endpoint =
        flow_endpoint_at(core, suspect->endpoint);
    uint64_t silent_us = (uint64_t)core->options.silent_ms * 1000;

    if (core->now_us > suspect->first_seen_us + SUSPECT_MAX_US ||
        !endpoint->present) {
        return true;
    }
    if (core->now_us < suspect->first_seen_us + silent_us) {
        return false;
    }
    if (suspect->query_us != 0 && all_replied(core, suspect) &&
        endpoint->syn_ack_us > suspect->first_seen_us) {
        end_flow(core, suspect);
        return true;
    }
    if (core->now_us >= suspect->query_us + QUERY_INTERVAL_US) {
        query_peers(core, suspect);
    }
    return false;
}

/* Check all suspected flows. */
void
flow_silent_tick(struct flow_core *core)
{
    GHashTableIter iter;
    gpointer value;

    if (g_hash_table_size(core->suspects) == 0) {
        return;
    }
    g_hash_table_iter_init(&iter, core->suspects);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (step_suspect(core, value)) {
            g_hash_table_iter_remove(&iter);
        }
    }
}
