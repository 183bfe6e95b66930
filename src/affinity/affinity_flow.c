/* Tracks flows from the packets that pass through this daemon: first packets,
 * requests, answers and ends. */
#include <string.h>

#include "affinity/affinity_state.h"

/* Above this number of flows the counts are halved, so that older flows count
 * less. */
#define STATS_FLOWS_MAX 64

/* A request of a flow silent for longer is no longer counted. */
#define REQUEST_SILENCE_MAX_US 5000000

/* A request without an answer counts as recent for this multiple of its
 * target's mean answer time.  After that its flow has most likely moved to
 * another daemon, as all flows do when the fabric's hash changes. */
#define RECENT_ANSWER_TIMES 4
#define RECENT_MIN_US       300000U
#define RECENT_MAX_US       5000000U
#define RECENT_UNKNOWN_US   1000000U /* for a target without an answer yet */

static struct affinity_key packet_key(const struct affinity_packet *);
static void begin_request(struct affinity_core *, uint64_t now_us,
                          struct affinity_flow *);
static void end_request(struct affinity_core *, struct affinity_flow *);
static void remove_recent(struct affinity_core *, struct affinity_flow *);
static uint64_t recent_limit_us(struct affinity_core *,
                                const struct affinity_flow *);
static void record_request(struct affinity_core *, uint64_t,
                           struct affinity_flow *);
static void record_data(struct affinity_core *, uint64_t now_us,
                        struct affinity_flow *,
                        const struct affinity_packet *);
static void record_answer(struct affinity_core *, uint64_t,
                          struct affinity_flow *);

/* Return the key of the flow of PACKET; padding bytes are 0. */
static struct affinity_key
packet_key(const struct affinity_packet *packet)
{
    struct affinity_key key;

    memset(&key, 0, sizeof(key));
    key.source = packet->source;
    key.destination = packet->destination;
    key.source_port = packet->source_port;
    key.destination_port = packet->destination_port;
    return key;
}

/* Return the statistics of the route with the key ROUTE, created if
 * missing. */
struct affinity_route_stats *
affinity_route_stats_get(struct affinity_core *core, uint64_t route)
{
    struct affinity_route_stats *stats =
        g_hash_table_lookup(core->route_stats, &route);

    if (stats == NULL) {
        stats = g_new0(struct affinity_route_stats, 1);
        stats->route = route;
        g_hash_table_insert(core->route_stats, &stats->route, stats);
    }
    return stats;
}

/* Return true if most flows of ROUTE carry several requests. */
bool
affinity_route_has_long_lived_flows(struct affinity_core *core, uint64_t route)
{
    const struct affinity_route_stats *stats =
        affinity_route_stats_get(core, route);

    return stats->multi_request_flows * 2 > stats->flows;
}

/* Return the flow of PACKET, or NULL if it is not tracked here. */
struct affinity_flow *
affinity_flow_find(struct affinity_core *core,
                   const struct affinity_packet *packet)
{
    struct affinity_key key = packet_key(packet);

    return g_hash_table_lookup(core->flows, &key);
}

/*
 * Track the flow of ROUTE to which PACKET belongs and whose target is on HOST.
 * Return the flow, in its handshake, or NULL if flows_max flows are tracked.
 */
static struct affinity_flow *
track_flow(struct affinity_core *core, uint64_t now_us,
           const struct affinity_packet *packet,
           const struct catalog_route *route, uint64_t host)
{
    struct affinity_flow *flow;
    struct affinity_route_stats *stats =
        affinity_route_stats_get(core, route->key);

    if (g_hash_table_size(core->flows) >= core->options.flows_max) {
        core->counters.untracked++;
        return NULL;
    }
    flow = g_new0(struct affinity_flow, 1);
    flow->key = packet_key(packet);
    flow->host = host;
    flow->route = route->key;
    flow->goal_us = (uint64_t)route->goal_ms * 1000;
    flow->first_sequence = packet->sequence;
    flow->opened_us = now_us;
    flow->seen_us = now_us;
    flow->long_lived = affinity_route_has_long_lived_flows(core, route->key);
    if (++stats->flows > STATS_FLOWS_MAX) {
        stats->flows /= 2;
        stats->multi_request_flows /= 2;
    }
    g_hash_table_insert(core->flows, &flow->key, flow);
    if (flow->long_lived) {
        affinity_load_get(core, host)->long_lived_flows++;
    }
    return flow;
}

/*
 * Track the new flow of ROUTE whose first packet is PACKET and whose target is
 * on HOST, if there is space.
 */
void
affinity_flow_add(struct affinity_core *core, uint64_t now_us,
                  const struct affinity_packet *packet,
                  const struct catalog_route *route, uint64_t host)
{
    struct affinity_flow *flow = track_flow(core, now_us, packet, route, host);

    if (flow == NULL) {
        return;
    }
    affinity_link_add_flow(core, flow, route);
    affinity_silence_sent(core, now_us, affinity_load_get(core, host), false);
    begin_request(core, now_us, flow);
}

/*
 * Track the open flow of ROUTE whose request PACKET comes through this daemon
 * for the first time, as all flows do when the fabric's hash changes.  Return
 * it, or NULL if there is no space.  Uploads are left out: what they still
 * have to send is not known.
 */
struct affinity_flow *
affinity_flow_adopt(struct affinity_core *core, uint64_t now_us,
                    const struct affinity_packet *packet,
                    const struct catalog_route *route, uint64_t host)
{
    struct affinity_flow *flow;

    if (catalog_kind_traits(route->kind)->large_request) {
        return NULL;
    }
    flow = track_flow(core, now_us, packet, route, host);
    if (flow != NULL) {
        flow->phase = AFFINITY_ESTABLISHED;
        flow->acknowledged = packet->acknowledged;
        flow->answer_start = packet->acknowledged;
        flow->next_sequence = packet->sequence;
    }
    return flow;
}

/* Record that a request of FLOW has started, or that more of it has come. */
static void
begin_request(struct affinity_core *core, uint64_t now_us,
              struct affinity_flow *flow)
{
    struct affinity_load *load = affinity_load_get(core, flow->host);

    load->requests_in_progress += flow->request_in_progress ? 0 : 1;
    flow->request_in_progress = true;
    remove_recent(core, flow);
    load->recent++;
    flow->recent = true;
    flow->recent_since_us = now_us;
    flow->recent_link.data = flow;
    g_queue_push_tail_link(&core->recent_flows, &flow->recent_link);
}

/* Stop counting the request of FLOW as recent. */
static void
remove_recent(struct affinity_core *core, struct affinity_flow *flow)
{
    struct affinity_load *load = affinity_load_get(core, flow->host);

    if (!flow->recent) {
        return;
    }
    flow->recent = false;
    g_queue_unlink(&core->recent_flows, &flow->recent_link);
    if (load->recent > 0) {
        load->recent--;
    }
}

/* Record that no request of FLOW is in progress. */
static void
end_request(struct affinity_core *core, struct affinity_flow *flow)
{
    struct affinity_load *load = affinity_load_get(core, flow->host);

    remove_recent(core, flow);
    if (flow->request_in_progress && load->requests_in_progress > 0) {
        load->requests_in_progress--;
    }
    flow->request_in_progress = false;
}

/* Return the time for which the request of FLOW counts as recent. */
static uint64_t
recent_limit_us(struct affinity_core *core, const struct affinity_flow *flow)
{
    uint64_t mean_answer_us =
        affinity_load_get(core, flow->host)->mean_answer_us;

    return mean_answer_us == 0 ? RECENT_UNKNOWN_US
                               : CLAMP(mean_answer_us * RECENT_ANSWER_TIMES,
                                       RECENT_MIN_US, RECENT_MAX_US);
}

/* Stop counting requests as recent that started too long ago to show the
 * present load. */
void
affinity_flow_expire_recent(struct affinity_core *core, uint64_t now_us)
{
    struct affinity_flow *flow;

    while ((flow = g_queue_peek_head(&core->recent_flows)) != NULL &&
           now_us > flow->recent_since_us + recent_limit_us(core, flow)) {
        remove_recent(core, flow);
    }
}

/* Remove FLOW and free it. */
void
affinity_flow_remove(struct affinity_core *core, struct affinity_flow *flow)
{
    struct affinity_load *load = affinity_load_get(core, flow->host);

    affinity_link_remove_flow(core, flow, false);
    end_request(core, flow);
    if (flow->long_lived && load->long_lived_flows > 0) {
        load->long_lived_flows--;
    }
    g_hash_table_remove(core->flows, &flow->key);
}

/* Move FLOW, which is in its handshake, to the target on HOST. */
void
affinity_flow_move(struct affinity_core *core, struct affinity_flow *flow,
                   uint64_t host)
{
    bool in_progress = flow->request_in_progress;
    uint64_t since_us = flow->recent_since_us;

    end_request(core, flow);
    if (flow->long_lived) {
        struct affinity_load *load = affinity_load_get(core, flow->host);

        load->long_lived_flows -= load->long_lived_flows > 0 ? 1 : 0;
        affinity_load_get(core, host)->long_lived_flows++;
    }
    flow->host = host;
    if (in_progress) {
        begin_request(core, since_us, flow);
    }
}

/* Record data of the caller on FLOW: a request starts or continues. */
static void
record_request(struct affinity_core *core, uint64_t now_us,
               struct affinity_flow *flow)
{
    if (!flow->request_in_progress || flow->requests == 0) {
        affinity_evidence_request_over(core, flow, flow->acknowledged);
        flow->requests++;
        if (flow->requests == 2) {
            affinity_route_stats_get(core, flow->route)->multi_request_flows++;
        }
    }
    flow->last_data_us = now_us;
    begin_request(core, now_us, flow);
}

/* Record that PACKET, which holds data, is sent to the target of FLOW. */
static void
record_data(struct affinity_core *core, uint64_t now_us,
            struct affinity_flow *flow, const struct affinity_packet *packet)
{
    bool retransmitted = (int32_t)(packet->sequence - flow->next_sequence) < 0;

    affinity_silence_sent(core, now_us, affinity_load_get(core, flow->host),
                          retransmitted);
    if (!retransmitted) {
        flow->next_sequence = packet->sequence + packet->payload;
    }
}

/* Record that the target has answered the request of FLOW, if there is one,
 * and measure its answer time. */
static void
record_answer(struct affinity_core *core, uint64_t now_us,
              struct affinity_flow *flow)
{
    if (flow->request_in_progress && flow->requests > 0) {
        counter_latency(core->counters.answer_latency,
                        now_us - flow->last_data_us);
        affinity_load_record_answer(affinity_load_get(core, flow->host),
                                    now_us, now_us - flow->last_data_us);
        end_request(core, flow);
    }
}

/*
 * Update FLOW from PACKET of its caller; a FIN or RST removes and frees it.
 * Data is a request or a part of one.  An acknowledgement that advances shows
 * that the target has answered.
 */
void
affinity_flow_handle_packet(struct affinity_core *core, uint64_t now_us,
                            struct affinity_flow *flow,
                            const struct affinity_packet *packet)
{
    struct affinity_load *load = affinity_load_get(core, flow->host);
    uint64_t previous_us = flow->seen_us;
    bool opens = flow->phase == AFFINITY_HANDSHAKE;
    bool answered =
        opens || (int32_t)(packet->acknowledged - flow->acknowledged) > 0;

    flow->seen_us = now_us;
    if (answered && (packet->flags & AFFINITY_RST) == 0) {
        affinity_silence_heard(core, now_us, load, previous_us);
    }
    if ((packet->flags & (AFFINITY_FIN | AFFINITY_RST)) != 0) {
        affinity_evidence_request_over(core, flow, packet->acknowledged);
        record_answer(core, now_us, flow);
        affinity_link_remove_flow(core, flow,
                                  (packet->flags & AFFINITY_FIN) != 0);
        affinity_flow_remove(core, flow);
        return;
    }
    if (opens) {
        flow->phase = AFFINITY_ESTABLISHED;
        flow->acknowledged = packet->acknowledged;
        flow->answer_start = packet->acknowledged;
        flow->next_sequence = packet->sequence;
        load->unanswered = 0;
        load->suspect_until_us = 0;
    }
    else if (answered) {
        flow->acknowledged = packet->acknowledged;
        record_answer(core, now_us, flow);
    }
    if (packet->payload > 0) {
        affinity_link_count_data(core, flow, packet);
        record_data(core, now_us, flow, packet);
        record_request(core, now_us, flow);
    }
}

/*
 * Remove flows that were silent for longer than IDLE_US, and flows still in
 * the handshake that were silent for longer than new_flow_timeout_us.  Stop
 * counting the requests of flows that were silent for longer than
 * REQUEST_SILENCE_MAX_US.
 */
void
affinity_flow_sweep(struct affinity_core *core, uint64_t now_us,
                    uint64_t idle_us)
{
    GList *flows = g_hash_table_get_values(core->flows);

    for (GList *item = flows; item != NULL; item = item->next) {
        struct affinity_flow *flow = item->data;
        uint64_t silent_us = now_us - MIN(now_us, flow->seen_us);

        affinity_link_expire_flow(core, flow, silent_us);
        affinity_evidence_waiting(core, flow, silent_us);
        if (silent_us > idle_us ||
            (flow->phase == AFFINITY_HANDSHAKE &&
             silent_us > core->options.new_flow_timeout_us)) {
            affinity_flow_remove(core, flow);
        }
        else if (silent_us > REQUEST_SILENCE_MAX_US) {
            end_request(core, flow);
        }
    }
    g_list_free(flows);
}
