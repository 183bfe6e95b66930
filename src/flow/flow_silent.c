/*
 * Flows whose caller sends the same again and again without an answer, while
 * others get answers from the same target: something between the two ends has
 * lost track of them.  They are ended visibly.  A daemon that sees a segment
 * twice without an answer asks its peers, since answers come through any.
 */
#include "flow/flow_state.h"

#define AGAIN_MS     1000     /* between two sights of one segment */
#define ASK_US       1000000  /* between two rounds of asking */
#define GIVE_UP_US   60000000 /* a suspicion that led to nothing */
#define SUSPECTS_MAX 1024
#define REPLIES_MAX  64
#define ASK_WORDS    3 /* digest, age in ms, sequence number */
#define REPLY_WORDS  2 /* digest, 1 for answered */
#define TCP_RST      0x04

struct flow_suspect {
    uint64_t digest;
    struct flow_pool *pool;
    uint32_t endpoint;
    struct flow_packet packet; /* the caller's, seen twice */
    uint64_t asked_us;         /* first sight */
    uint64_t round_us;
    uint64_t replies[REPLIES_MAX];
    guint reply_count;
};

static void ask_peers(struct flow_core *, struct flow_suspect *);
static bool answered_since(const struct flow_core *, const uint64_t *words);
static bool all_replied(const struct flow_core *, const struct flow_suspect *);
static void end_flow(struct flow_core *, const struct flow_suspect *);
static bool step_suspect(struct flow_core *, struct flow_suspect *);

/*
 * Note a segment of a caller that ENDPOINT must answer; CACHED is the flow's
 * entry here.
 */
void
flow_silent_watch(struct flow_core *core, struct flow_pool *pool,
                  struct flow_cached *cached, uint32_t endpoint,
                  const struct flow_packet *packet)
{
    uint32_t now_ms = flow_now_ms(core);
    struct flow_suspect *suspect;

    if (cached->asked_ms == 0 || cached->seq != packet->tcp_seq) {
        cached->asked_ms = now_ms;
        cached->seq = packet->tcp_seq;
        return;
    }
    if (now_ms - cached->asked_ms < AGAIN_MS ||
        g_hash_table_size(core->suspects) >= SUSPECTS_MAX ||
        g_hash_table_contains(core->suspects, &cached->digest)) {
        return;
    }
    suspect = g_new0(struct flow_suspect, 1);
    suspect->digest = cached->digest;
    suspect->pool = pool;
    suspect->endpoint = endpoint;
    suspect->packet = *packet;
    suspect->asked_us =
        core->now_us - (uint64_t)(now_ms - cached->asked_ms) * 1000;
    g_hash_table_insert(core->suspects, &suspect->digest, suspect);
}

/* An answer of the flow has passed: it is not silent. */
void
flow_silent_clear(struct flow_core *core, uint64_t digest)
{
    if (g_hash_table_size(core->suspects) != 0) {
        g_hash_table_remove(core->suspects, &digest);
    }
}

static void
ask_peers(struct flow_core *core, struct flow_suspect *suspect)
{
    uint64_t words[ASK_WORDS] = {suspect->digest,
                                 (core->now_us - suspect->asked_us) / 1000,
                                 suspect->packet.tcp_seq};

    suspect->round_us = core->now_us;
    suspect->reply_count = 0;
    for (guint i = 0; i < core->peers->len; i++) {
        struct flow_message *message = flow_send(
            core, g_array_index(core->peers, struct flow_peer, i).view.id,
            FLOW_MSG_ASK, suspect->pool->id);

        message->records = g_array_new(FALSE, FALSE, sizeof(uint64_t));
        g_array_append_vals(message->records, words, ASK_WORDS);
    }
}

/* Whether this daemon saw an answer, or the caller get on, since then. */
static bool
answered_since(const struct flow_core *core, const uint64_t *words)
{
    const struct flow_cached *cached = flow_cache_find(&core->cache, words[0]);
    if (cached == NULL) {
        return false;
    }
    return (cached->endpoint != FLOW_ENDPOINT_NONE &&
            flow_now_ms(core) - cached->answered_ms < words[1]) ||
           (cached->asked_ms != 0 &&
            (int32_t)(cached->seq - (uint32_t)words[2]) > 0);
}

/* A peer asks whether a flow was answered lately. */
void
flow_silent_ask(struct flow_core *core, struct daemon_id from,
                const struct flow_message *message)
{
    uint64_t words[REPLY_WORDS];
    struct flow_message *reply;

    if (message->records == NULL || message->records->len < ASK_WORDS) {
        return;
    }
    words[0] = g_array_index(message->records, uint64_t, 0);
    words[1] =
        answered_since(core, &g_array_index(message->records, uint64_t, 0));
    reply = flow_send(core, from, FLOW_MSG_ANSWERED, message->pool);
    reply->records = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    g_array_append_vals(reply->records, words, REPLY_WORDS);
}

/* A peer's reply about a suspected flow. */
void
flow_silent_answered(struct flow_core *core, struct daemon_id from,
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

/* The lead counts the flow no more. */
void
flow_silent_end(struct flow_core *core, const struct flow_message *message)
{
    struct flow_pool *pool = flow_pool_get(core, message->pool);
    struct flow_entry *entry;

    if (message->records == NULL || message->records->len == 0 ||
        !pool->acting) {
        return;
    }
    entry = flow_table_find(&pool->table,
                            g_array_index(message->records, uint64_t, 0));
    if (entry != NULL) {
        flow_lead_close(core, pool, entry);
    }
}

/* Reset both ends, with numbers that each must accept, and tell the lead. */
static void
end_flow(struct flow_core *core, const struct flow_suspect *suspect)
{
    const struct flow_endpoint *endpoint =
        flow_endpoint_at(core, suspect->endpoint);
    struct flow_action *action = flow_act(core, FLOW_ACT_RESET);
    struct flow_message *message;

    action->u.reset.packet = suspect->packet;
    action->u.reset.address = endpoint->key.address;
    action->u.reset.port = endpoint->view.port;
    action->u.reset.reset.caller_flags = TCP_RST;
    action->u.reset.reset.caller_seq = suspect->packet.tcp_ack;
    action->u.reset.reset.target_flags = TCP_RST;
    action->u.reset.reset.target_seq = suspect->packet.tcp_seq;
    core->counters.reset[FLOW_REASON_SILENT]++;
    message = flow_message_new(FLOW_MSG_END, suspect->pool->id);
    message->records = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    g_array_append_val(message->records, suspect->digest);
    if (suspect->pool->acting) {
        flow_silent_end(core, message);
        flow_message_free(message);
        return;
    }
    action = flow_act(core, FLOW_ACT_SEND);
    action->u.send.to = suspect->pool->ask;
    action->u.send.message = message;
}

/* Take a suspicion further; true when it is done with. */
static bool
step_suspect(struct flow_core *core, struct flow_suspect *suspect)
{
    const struct flow_endpoint *endpoint =
        flow_endpoint_at(core, suspect->endpoint);
    uint64_t silent_us = (uint64_t)core->options.silent_ms * 1000;

    if (core->now_us > suspect->asked_us + GIVE_UP_US || !endpoint->present) {
        return true;
    }
    if (core->now_us < suspect->asked_us + silent_us) {
        return false;
    }
    if (suspect->round_us != 0 && all_replied(core, suspect) &&
        endpoint->opened_us > suspect->asked_us) {
        end_flow(core, suspect);
        return true;
    }
    if (core->now_us >= suspect->round_us + ASK_US) {
        ask_peers(core, suspect);
    }
    return false;
}

/* Take all suspicions further. */
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
