/* Receives packets from callers, decides on them and sends them to targets. */
#include <arpa/inet.h>
#include <string.h>

#include "base/err.h"
#include "base/hash.h"
#include "fleet/fleet_entry_private.h"

/* Bytes that libuv reserves for a datagram. */
#define DATAGRAM_MAX 65536
#define READ_BATCH   PACKET_BATCH_MAX
/* Bytes requested; the kernel may grant fewer. */
#define SOCKET_BUFFER_BYTES 1048576
/* Share of the link's rate for packets; the rest is for control traffic. */
#define LINK_RATE_SHARE 0.95
/* Of packets held until the catalog is there. */
#define HOLD_BYTES_MAX 1048576

static void alloc_input(uv_handle_t *, size_t, uv_buf_t *);
static void on_packet(uv_udp_t *, ssize_t, const uv_buf_t *,
                      const struct sockaddr *, unsigned);
static void process_packet(struct fleet *, uint64_t arrived_us,
                           const uint8_t *, size_t);
static void flush_batch(struct fleet_entry *);
static void on_send_timer(uv_timer_t *);
static uint64_t flow_key(const struct affinity_packet *);
static uint64_t copy_key(const struct affinity_packet *);
static void write_spans(struct fleet *, int64_t start_us,
                        const struct affinity_packet *,
                        const struct affinity_verdict *);
static void send_reset(struct fleet *, uint64_t now_us,
                       const struct affinity_packet *);
static bool awaits_catalog(const struct fleet_entry *,
                           const struct affinity_verdict *);
static void hold_packet(struct fleet_entry *, uint64_t arrived_us,
                        const struct affinity_packet *, const uint8_t *,
                        size_t);
static void log_verdict(struct fleet *, uint64_t now_us,
                        const struct affinity_packet *,
                        const struct affinity_verdict *);

/* Give libuv the buffer for a batch of datagrams. */
static void
alloc_input(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    struct fleet *fleet = handle->data;

    (void)suggested;
    *buffer =
        uv_buf_init((char *)fleet->entry->input, DATAGRAM_MAX * READ_BATCH);
}

/*
 * Open the socket that the fabric sends to, and the queue for the link.
 * Return false and set ERROR if the port cannot be opened.
 */
bool
fleet_packet_start(struct fleet *fleet, GError **error)
{
    struct fleet_entry *entry = fleet->entry;
    struct settings_endpoint listen = fleet->options->packets;
    struct sockaddr_in address = {
        .sin_family = AF_INET,
        .sin_port = htons(listen.port),
        .sin_addr.s_addr = htonl(listen.address),
    };
    struct shape_options shape = {
        .bytes_per_s = (uint64_t)((double)fleet->options->link_bytes_per_s *
                                  LINK_RATE_SHARE),
    };
    int size = SOCKET_BUFFER_BYTES;
    int failed;

    entry->shape = shape_new(&shape);
    entry->hold = fleet_hold_new(HOLD_BYTES_MAX);
    uv_timer_init(&fleet->loop, &entry->send_timer);
    entry->send_timer.data = fleet;
    packet_batch_init(&entry->batch);
    entry->input = g_malloc((size_t)DATAGRAM_MAX * READ_BATCH);
    uv_udp_init_ex(&fleet->loop, &entry->udp, AF_INET | UV_UDP_RECVMMSG);
    entry->udp.data = fleet;
    failed = uv_udp_bind(&entry->udp, (struct sockaddr *)&address, 0);
    if (failed == 0) {
        uv_recv_buffer_size((uv_handle_t *)&entry->udp, &size);
        uv_fileno((uv_handle_t *)&entry->udp, &entry->fd);
        failed = uv_udp_recv_start(&entry->udp, alloc_input, on_packet);
    }
    if (failed != 0) {
        g_set_error(error, ERR_DOMAIN, ERR_NETWORK,
                    "cannot receive packets on port %u: %s; stop what uses "
                    "the port, or change the settings",
                    listen.port, uv_strerror(failed));
        return false;
    }
    return true;
}

/* Begin to close the socket and the timer. */
void
fleet_packet_close(struct fleet *fleet)
{
    if (!uv_is_closing((uv_handle_t *)&fleet->entry->udp)) {
        uv_close((uv_handle_t *)&fleet->entry->udp, NULL);
        uv_close((uv_handle_t *)&fleet->entry->send_timer, NULL);
    }
}

/* Free the queue and the input buffer. */
void
fleet_packet_free(struct fleet *fleet)
{
    shape_free(fleet->entry->shape);
    fleet_hold_free(fleet->entry->hold);
    g_free(fleet->entry->input);
}

/*
 * Handle one datagram.  Libuv ends a batch with a call that carries no packet;
 * then the queued packets are sent.
 */
static void
on_packet(uv_udp_t *udp, ssize_t len, const uv_buf_t *buffer,
          const struct sockaddr *from, unsigned flags)
{
    struct fleet *fleet = udp->data;

    if (len > 0 && from != NULL) {
        process_packet(fleet, clock_boottime_us(),
                       (const uint8_t *)buffer->base, (size_t)len);
    }
    if ((flags & UV_UDP_MMSG_CHUNK) == 0) {
        fleet_packet_send_queued(fleet);
    }
}

/*
 * Send the packets of the batch and count those that the socket does not
 * accept.
 */
static void
flush_batch(struct fleet_entry *entry)
{
    if (entry->batch.count > 0) {
        entry->send_failures += packet_batch_flush(&entry->batch, entry->fd);
    }
}

/* Send the queued packets that may leave now; the timer sends the rest. */
void
fleet_packet_send_queued(struct fleet *fleet)
{
    struct fleet_entry *entry = fleet->entry;
    uint64_t now_us = clock_boottime_us();
    const struct shape_packet *packet;
    uint64_t wait_us;

    while ((packet = shape_dequeue(entry->shape, now_us)) != NULL) {
        uint8_t *out = entry->output[entry->batch.count];
        struct sockaddr_in to = {
            .sin_family = AF_INET,
            .sin_port = htons(packet->port),
            .sin_addr.s_addr = htonl(packet->address),
        };

        memcpy(out, packet->data, packet->len);
        entry->packets_out++;
        packet_batch_add(&entry->batch, entry->fd, &to, out, packet->len);
        if (entry->batch.count == PACKET_BATCH_MAX) {
            flush_batch(entry);
        }
    }
    flush_batch(entry);
    wait_us = shape_wait_us(entry->shape, now_us);
    if (wait_us > 0 && !uv_is_active((uv_handle_t *)&entry->send_timer) &&
        !uv_is_closing((uv_handle_t *)&entry->send_timer)) {
        uv_timer_start(&entry->send_timer, on_send_timer,
                       (wait_us + 999) / 1000, 0);
    }
}

/* Send queued packets when the timer fires. */
static void
on_send_timer(uv_timer_t *timer)
{
    fleet_packet_send_queued(timer->data);
}

/*
 * Log the decision on the first packet of a flow, on a reset, or on a dropped
 * packet.
 */
static void
log_verdict(struct fleet *fleet, uint64_t now_us,
            const struct affinity_packet *packet,
            const struct affinity_verdict *verdict)
{
    static const char *const actions[AFFINITY_ACTION__MAX] = {
        [AFFINITY_FORWARD] = "forward",
        [AFFINITY_RESET] = "reset",
        [AFFINITY_DROP] = "drop",
    };
    struct in_addr from = {htonl(packet->source)};
    char source[INET_ADDRSTRLEN];

    inet_ntop(AF_INET, &from, source, sizeof(source));
    fleet_log_line(
        fleet->log,
        verdict->reason == AFFINITY_PLACED ? FLEET_LOG_REQUEST
                                           : FLEET_LOG_FAILURE,
        now_us, "flow",
        "\"caller\":\"%s:%u\",\"to\":\"%u.%u.%u.%u:%u\",\"action\":\"%s\","
        "\"reason\":\"%s\",\"kind\":\"%s\",\"target\":\"%" G_GINT64_MODIFIER
        "x\",\"busy\":%u,\"candidates\":%u,\"answer_ms\":%" G_GUINT64_FORMAT
        ",\"crowding\":%.1f,\"link_owed\":%" G_GUINT64_FORMAT
        ",\"version\":%" G_GUINT64_FORMAT ",\"revision\":%" G_GUINT64_FORMAT
        ",\"age_ms\":%" G_GUINT64_FORMAT,
        source, packet->source_port, packet->destination >> 24,
        packet->destination >> 16 & 255, packet->destination >> 8 & 255,
        packet->destination & 255, packet->destination_port,
        actions[verdict->action], affinity_reason_name(verdict->reason),
        verdict->route == NULL
            ? "none"
            : catalog_kind_traits(verdict->route->kind)->name,
        verdict->target == NULL ? 0 : verdict->target->host,
        verdict->requests_in_progress, verdict->candidates,
        verdict->pool_mean_answer_us / 1000, verdict->utilization,
        verdict->pending_upload_bytes, catalog_version(fleet->catalog),
        catalog_revision(fleet->catalog),
        fleet_elapsed_us(now_us, fleet->entry->current_contact_us) / 1000);
}

/* Return a key that is equal for all packets of a flow from its caller. */
static uint64_t
flow_key(const struct affinity_packet *packet)
{
    return hash_pair((uint64_t)packet->source << 16 | packet->source_port,
                     (uint64_t)packet->destination << 16 |
                         packet->destination_port);
}

/* Return a key that is equal for copies of one packet. */
static uint64_t
copy_key(const struct affinity_packet *packet)
{
    uint64_t part =
        hash_pair((uint64_t)packet->sequence << 32 | packet->acknowledged,
                  packet->flags);

    return hash_pair(flow_key(packet), part);
}

/*
 * Write the spans of PACKET, which was read at the wall-clock time START_US,
 * if its flow is sampled and it is a first packet, carries data, or was
 * rejected.
 */
static void
write_spans(struct fleet *fleet, int64_t start_us,
            const struct affinity_packet *packet,
            const struct affinity_verdict *verdict)
{
    uint64_t key = flow_key(packet);

    if (verdict->reason == AFFINITY_COOKIE && packet->payload == 0) {
        return;
    }
    fleet_span(fleet, key, SPAN_FABRIC_IN, start_us, packet->source);
    switch (verdict->action) {
    case AFFINITY_FORWARD:
        fleet_span(fleet, key, SPAN_TARGET, start_us,
                   verdict->target->address);
        break;
    case AFFINITY_RESET:
        fleet_span(fleet, key, SPAN_REFUSE, start_us, packet->source);
        break;
    case AFFINITY_DROP:
    case AFFINITY_ACTION__MAX:
        break;
    }
}

/* Queue a reset that answers PACKET to its caller. */
static void
send_reset(struct fleet *fleet, uint64_t now_us,
           const struct affinity_packet *packet)
{
    struct fleet_entry *entry = fleet->entry;
    struct shape_packet out = {
        .data = entry->encoded,
        .flow = flow_key(packet),
        .key = copy_key(packet),
        .class = SHAPE_INTERACTIVE,
        .address = packet->source,
        .port = fleet->options->caller_port,
    };

    entry->resets++;
    out.len = fleet->options->edge.encode_reset(packet, entry->encoded);
    shape_enqueue(entry->shape, now_us, &out);
}

/* Reset the flow whose last packet was PACKET: its target is silent. */
void
fleet_packet_end_flow(struct fleet *fleet, uint64_t now_us,
                      const struct affinity_packet *packet)
{
    struct affinity_verdict verdict = {
        .action = AFFINITY_RESET,
        .reason = AFFINITY_TARGET_SILENT,
        .target = catalog_find_cookie(fleet->catalog, packet->cookie),
        .route = catalog_find_route(
            fleet->catalog, catalog_endpoint_key(packet->destination,
                                                 packet->destination_port)),
    };

    log_verdict(fleet, now_us, packet, &verdict);
    send_reset(fleet, now_us, packet);
}

/* Return true if the packet of VERDICT was dropped because this daemon has no
 * catalog yet, or an older one than callers have seen. */
static bool
awaits_catalog(const struct fleet_entry *entry,
               const struct affinity_verdict *verdict)
{
    return !entry->synced && (verdict->reason == AFFINITY_NOT_SYNCED ||
                              verdict->reason == AFFINITY_UNKNOWN_COOKIE);
}

/* Keep PACKET, which arrived at ARRIVED_US as the LEN bytes at DATA, until the
 * catalog is there. */
static void
hold_packet(struct fleet_entry *entry, uint64_t arrived_us,
            const struct affinity_packet *packet, const uint8_t *data,
            size_t len)
{
    const struct fleet_hold_packet held = {
        .key = copy_key(packet),
        .opens = (packet->flags & AFFINITY_SYN) != 0,
        .retransmissions = packet->retransmissions,
        .data = data,
        .len = len,
    };

    fleet_hold_add(entry->hold, arrived_us, &held);
}

/* Decide on the packets that were held, now that there is a newer catalog. */
void
fleet_packet_resume_held(struct fleet *fleet)
{
    struct fleet_entry *entry = fleet->entry;
    size_t count = fleet_hold_count(entry->hold);
    uint64_t now_us = clock_boottime_us(), arrived_us;
    uint8_t data[FLEET_PACKET_MAX];
    size_t len;

    if (count == 0) {
        return;
    }
    while (count-- > 0 &&
           (len = fleet_hold_take(entry->hold, now_us, data, sizeof(data),
                                  &arrived_us)) > 0) {
        process_packet(fleet, arrived_us, data, len);
    }
    fleet_packet_send_queued(fleet);
    fleet_log_line(
        fleet->log, FLEET_LOG_STATE, now_us, "held-resumed",
        "\"held\":%" G_GUINT64_FORMAT ",\"copies\":%" G_GUINT64_FORMAT
        ",\"full\":%" G_GUINT64_FORMAT ",\"expired\":%" G_GUINT64_FORMAT
        ",\"left\":%zu,\"revision\":%" G_GUINT64_FORMAT,
        fleet_hold_counters(entry->hold)->held,
        fleet_hold_counters(entry->hold)->copies,
        fleet_hold_counters(entry->hold)->full,
        fleet_hold_counters(entry->hold)->expired,
        fleet_hold_count(entry->hold), catalog_revision(fleet->catalog));
}

/* Decide on one packet, which arrived at ARRIVED_US, and carry out the
 * decision. */
static void
process_packet(struct fleet *fleet, uint64_t arrived_us, const uint8_t *data,
               size_t len)
{
    struct fleet_entry *entry = fleet->entry;
    const struct fleet_edge *edge = &fleet->options->edge;
    struct affinity_packet packet;
    struct affinity_verdict verdict;
    struct shape_packet out = {.data = entry->encoded};
    uint64_t now_us = clock_boottime_us();
    int64_t read_us;

    entry->packets_in++;
    entry->last_packet_us = now_us;
    if (len > FLEET_PACKET_MAX - FLEET_ENVELOPE_MAX ||
        !edge->decode(data, len, &packet)) {
        entry->malformed++;
        return;
    }
    read_us =
        span_sampled(fleet->spans, flow_key(&packet)) ? g_get_real_time() : 0;
    affinity_core_set_queued(
        entry->affinity, shape_queued_bytes(entry->shape, SHAPE_INTERACTIVE),
        shape_queued_bytes(entry->shape, SHAPE_BULK));
    affinity_core_handle_packet(entry->affinity, now_us, fleet->catalog,
                                &packet, &verdict);
    if (verdict.reason != AFFINITY_COOKIE) {
        log_verdict(fleet, now_us, &packet, &verdict);
    }
    out.flow = flow_key(&packet);
    out.key = copy_key(&packet);
    out.class = verdict.bulk ? SHAPE_BULK : SHAPE_INTERACTIVE;
    switch (verdict.action) {
    case AFFINITY_FORWARD:
        out.address = verdict.target->address;
        out.port = verdict.target->port;
        out.len = edge->encode(data, len, verdict.target, entry->encoded);
        if (verdict.ended) {
            shape_drop_flow(entry->shape, out.flow);
        }
        shape_enqueue(entry->shape, now_us, &out);
        break;
    case AFFINITY_RESET:
        send_reset(fleet, now_us, &packet);
        break;
    case AFFINITY_DROP:
        if (awaits_catalog(entry, &verdict)) {
            hold_packet(entry, arrived_us, &packet, data, len);
        }
        break;
    case AFFINITY_ACTION__MAX:
        break;
    }
    write_spans(fleet, read_us, &packet, &verdict);
}
