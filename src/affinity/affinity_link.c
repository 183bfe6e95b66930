/*
 * Admission of new flows by this VM's link.
 *
 * It protects the link from uploads that come faster than it can send them.
 * If all were admitted, their data would fill the link, none would complete in
 * time, and the packets of other flows would wait behind them.  A flow with an
 * upload is therefore admitted only if the pending bytes of all admitted
 * uploads and its own data pass the link within a share of its latency
 * objective.  A rejected caller sends no data.
 *
 * Congestion windows are the worse case.  A caller sends a window of packets
 * at once and waits for the acknowledgements.  If the windows of all admitted
 * flows exceed what the link can send before callers retransmit, each packet
 * is sent twice or more.  The copies load the path before this daemon, where
 * they cannot be dropped.
 */
#include "affinity/affinity_state.h"

/* Share of the latency objective in which the data of an upload has to pass
 * the link.  The rest is for the path to the target, the processing there
 * and one retransmission. */
#define BULK_SHARE 0.7
/* Share of the latency objective that interactive packets may wait for the
 * link. */
#define INTERACTIVE_SHARE 0.5
/* Minimum share of the link's rate for bulk.  Interactive packets go first,
 * and their rate may have risen since it was measured. */
#define BULK_RATE_MIN 0.2

#define REQUEST_BYTES_UNKNOWN  32768 /* of an upload not yet seen */
#define REQUEST_WEIGHT_DIVISOR 8     /* reciprocal of a new size's weight */
#define PACKET_DATA            1200  /* bytes of data in a full packet */
#define PACKET_HEADERS         70 /* bytes of headers per packet on the link */
#define WINDOW_BYTES           (16 * PACKET_DATA) /* in flight per flow */

/* Maximum time for all windows to pass the link.  Callers retransmit a packet
 * that is not acknowledged within 200 ms; the round trip to the target takes
 * the rest. */
#define WINDOWS_MAX_US 170000.0

/* A flow that is silent for longer has most likely moved to another daemon, or
 * its caller has given up. */
#define SILENT_FLOW_US 1000000U

/* Interval of counting interactive bytes; each new rate has a weight of one
 * half in the moving average. */
#define INTERACTIVE_INTERVAL_US 250000U

static double bytes_on_link(double payload);
static double bulk_rate(const struct affinity_core *);
static double transmission_us(const struct affinity_core *, double bytes);
static double expected_bytes(const struct affinity_route_stats *);
static void set_pending_bytes(struct affinity_core *, struct affinity_flow *,
                              uint32_t pending);

/* Return the bytes that PAYLOAD bytes of data take on the link, if sent in
 * full packets. */
static double
bytes_on_link(double payload)
{
    return payload * (PACKET_DATA + PACKET_HEADERS) / PACKET_DATA;
}

/* Return the rate of the link that is left for bulk, in bytes a second. */
static double
bulk_rate(const struct affinity_core *core)
{
    double rate = (double)core->options.link_bytes_per_s;

    return MAX(rate - core->link.interactive_rate, rate * BULK_RATE_MIN);
}

/* Return the microseconds that BYTES of bulk take to pass the link. */
static double
transmission_us(const struct affinity_core *core, double bytes)
{
    return bytes * 1000000.0 / bulk_rate(core);
}

/* Set the pending bytes of FLOW and adjust the sums of the link. */
static void
set_pending_bytes(struct affinity_core *core, struct affinity_flow *flow,
                  uint32_t pending)
{
    core->link.pending_bytes += pending;
    core->link.pending_bytes -= flow->pending_bytes;
    core->link.window_bytes += MIN(pending, (uint32_t)WINDOW_BYTES);
    core->link.window_bytes -=
        MIN(flow->pending_bytes, (uint32_t)WINDOW_BYTES);
    flow->pending_bytes = pending;
}

/* Count an interactive packet with PAYLOAD bytes of data in the average
 * rate. */
void
affinity_link_count_interactive(struct affinity_core *core, uint64_t now_us,
                                uint32_t payload)
{
    struct affinity_link *link = &core->link;
    uint64_t elapsed_us = now_us - MIN(now_us, link->interval_start_us);

    if (elapsed_us >= INTERACTIVE_INTERVAL_US) {
        double rate = link->interactive_bytes * 1000000.0 / (double)elapsed_us;

        link->interactive_rate = (link->interactive_rate + rate) / 2;
        link->interactive_bytes = 0;
        link->interval_start_us = now_us;
    }
    link->interactive_bytes += payload + PACKET_HEADERS;
}

/* Set the bytes of interactive and bulk packets now queued for the link. */
void
affinity_core_set_queued(struct affinity_core *core, size_t interactive_bytes,
                         size_t bulk_bytes)
{
    core->link.interactive_queued_bytes = (double)interactive_bytes;
    core->link.bulk_queued_bytes = (double)bulk_bytes;
}

/* Return the microseconds that an interactive packet waits for the link now;
 * 0 if the link's rate is unknown. */
double
affinity_link_interactive_wait_us(const struct affinity_core *core)
{
    double rate = (double)core->options.link_bytes_per_s;

    return rate <= 0 ? 0
                     : core->link.interactive_queued_bytes * 1000000.0 / rate;
}

/* Return true if the link's queue is so long that packets of callers or of
 * this daemon are late. */
bool
affinity_link_is_busy(const struct affinity_core *core)
{
    double rate = (double)core->options.link_bytes_per_s;
    double queued =
        core->link.interactive_queued_bytes + core->link.bulk_queued_bytes;

    return rate > 0 && queued * 1000000.0 / rate > AFFINITY_LINK_BUSY_US;
}

/* Return the expected bytes of the next upload on the route of STATS. */
static double
expected_bytes(const struct affinity_route_stats *stats)
{
    return stats->request_bytes > 0 ? stats->request_bytes
                                    : REQUEST_BYTES_UNKNOWN;
}

/*
 * Return true if a new flow of ROUTE would pass the link in time.  An upload
 * is judged by the pending bytes of admitted uploads, the callers' congestion
 * windows and the bulk queue, any other flow by the queued interactive
 * packets.  All flows are admitted if the link's rate is unknown or ROUTE has
 * no latency objective, and an upload if no others are pending.
 */
bool
affinity_link_admits(struct affinity_core *core,
                     const struct catalog_route *route)
{
    double goal_us = (double)route->goal_ms * 1000;
    double pending, windows, expected;

    if (core->options.link_bytes_per_s == 0 || goal_us <= 0) {
        return true;
    }
    if (!catalog_kind_traits(route->kind)->large_request) {
        return affinity_link_interactive_wait_us(core) <
               goal_us * INTERACTIVE_SHARE;
    }
    expected = expected_bytes(affinity_route_stats_get(core, route->key));
    pending = MAX(bytes_on_link((double)core->link.pending_bytes + expected),
                  core->link.bulk_queued_bytes);
    windows = bytes_on_link((double)core->link.window_bytes +
                            MIN(expected, (double)WINDOW_BYTES)) +
              core->link.bulk_queued_bytes;
    return core->link.pending_bytes == 0 ||
           (transmission_us(core, pending) < goal_us * BULK_SHARE &&
            transmission_us(core, windows) < WINDOWS_MAX_US);
}

/* Record that FLOW of ROUTE was admitted: an upload becomes pending. */
void
affinity_link_add_flow(struct affinity_core *core, struct affinity_flow *flow,
                       const struct catalog_route *route)
{
    if (catalog_kind_traits(route->kind)->large_request) {
        flow->large_request = true;
        set_pending_bytes(core, flow,
                          (uint32_t)expected_bytes(
                              affinity_route_stats_get(core, route->key)));
    }
}

/* Subtract new data of PACKET from the pending bytes of FLOW; copies do not
 * count. */
void
affinity_link_count_data(struct affinity_core *core,
                         struct affinity_flow *flow,
                         const struct affinity_packet *packet)
{
    uint32_t end =
        packet->sequence + packet->payload - flow->first_sequence - 1;
    uint32_t expected;

    if (!flow->large_request || packet->payload == 0) {
        return;
    }
    flow->received_bytes = MAX(flow->received_bytes, end);
    expected =
        (uint32_t)expected_bytes(affinity_route_stats_get(core, flow->route));
    set_pending_bytes(
        core, flow,
        expected > flow->received_bytes ? expected - flow->received_bytes : 0);
}

/* Clear the pending bytes of FLOW.  ENDED: its upload is complete, so its size
 * goes into the route's average. */
void
affinity_link_remove_flow(struct affinity_core *core,
                          struct affinity_flow *flow, bool ended)
{
    struct affinity_route_stats *stats;

    set_pending_bytes(core, flow, 0);
    if (!flow->large_request || !ended || flow->received_bytes == 0) {
        return;
    }
    stats = affinity_route_stats_get(core, flow->route);
    stats->request_bytes =
        stats->request_bytes == 0
            ? flow->received_bytes
            : stats->request_bytes +
                  ((double)flow->received_bytes - stats->request_bytes) /
                      REQUEST_WEIGHT_DIVISOR;
}

/* Clear the pending bytes of FLOW if SILENT_US, the time since its last
 * packet, exceeds SILENT_FLOW_US. */
void
affinity_link_expire_flow(struct affinity_core *core,
                          struct affinity_flow *flow, uint64_t silent_us)
{
    if (silent_us > SILENT_FLOW_US) {
        set_pending_bytes(core, flow, 0);
    }
}
