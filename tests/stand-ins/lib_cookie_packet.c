/* The two ends of flows: hosts that answer, callers that ask and check. */
#include <string.h>

#include "base/hash.h"
#include "cookie_side.h"

#define RESEND_MS  200 /* first copy of what was not answered */
#define TRIES_MAX  8
#define PAUSE_MS   100 /* between two requests of a flow */
#define REQUESTS   40  /* of a flow that lasts */
#define OPEN_LIMIT 3   /* copies of an opening */
#define ID_MAX     48
#define HOST_SUM   1 /* any sum but the system's own 0 */

/* Offsets and bits of the platform's packet that the codec does not tell. */
enum {
    AT_FLAGS = 18,
    AT_SUM = 22
};

static size_t build(uint8_t *out, const struct affinity_packet *,
                    const char *data);
static void host_request(struct side_host *, const struct affinity_packet *,
                         const uint8_t *data, size_t len);
static struct side_entry *route(struct side *, uint16_t port);
static void send_request(struct side *, struct side_flow *);
static void end_flow(struct side *, struct side_flow *, bool failed);
static uint16_t port_for(const struct side *, uint16_t port);
static void open_flow(struct side *, uint64_t now_ms);
static struct side_host *host_with(struct side *, uint64_t id);
static void take_answer(struct side *, struct side_flow *,
                        const struct affinity_packet *, const uint8_t *,
                        size_t);

/* A packet as its sender writes it; returns the length. */
static size_t
build(uint8_t *out, const struct affinity_packet *packet, const char *data)
{
    static const uint8_t bits[] = {
        [AFFINITY_SYN] = 1, [AFFINITY_ACK] = 32, [AFFINITY_FIN] = 16};
    struct affinity_packet turned = {
        .source = packet->destination,
        .destination = packet->source,
        .source_port = packet->destination_port,
        .destination_port = packet->source_port,
        .acknowledged = packet->sequence,
    };
    size_t len = strlen(data);
    uint32_t values[] = {GUINT32_TO_LE(packet->cookie),
                         GUINT32_TO_LE(packet->acknowledged)};
    uint16_t wire_len = GUINT16_TO_LE((uint16_t)len);

    platform_packet_encode_reset(&turned, out); /* addresses and sequence */
    memcpy(out, &values[0], 4);
    memcpy(out + 4, &wire_len, 2);
    memcpy(out + 30, &values[1], 4);
    if ((packet->flags & AFFINITY_RST) == 0) {
        out[AT_FLAGS] = 0;
        for (unsigned flag = AFFINITY_SYN; flag <= AFFINITY_FIN; flag *= 2) {
            out[AT_FLAGS] |= (packet->flags & flag) != 0 ? bits[flag] : 0;
        }
    }
    out[AT_SUM] = HOST_SUM;
    memcpy(out + PLATFORM_HEAD, data, len);
    return PLATFORM_HEAD + len;
}

/* Answer the packet TO with DATA, by the host's address. */
void
side_host_send(struct side_host *host, const struct affinity_packet *to,
               uint32_t sequence, unsigned flags, const char *data)
{
    struct affinity_packet packet = {
        .source = to->destination,
        .destination = to->source,
        .source_port = to->destination_port,
        .destination_port = to->source_port,
        .flags = flags,
        .cookie = to->cookie,
        .sequence = sequence,
        .acknowledged = to->sequence + 1,
    };
    uint8_t out[PLATFORM_HEAD + 256];
    size_t len = build(out, &packet, data);

    net_udp_send(&host->udp, host->side->callers.local, out, len);
}

/* Run a request once, and answer it as often as it comes. */
static void
host_request(struct side_host *host, const struct affinity_packet *packet,
             const uint8_t *data, size_t len)
{
    struct side *side = host->side;
    char *id = g_strndup((const char *)data, MIN(len, ID_MAX));
    char answer[128];
    const uint64_t *runner = g_hash_table_lookup(side->ran, id);

    if (runner == NULL) {
        g_hash_table_insert(side->ran, g_strdup(id),
                            g_memdup2(&host->born, sizeof(host->born)));
    }
    else if (*runner != host->born) {
        side->counts.ran_twice++;
    }
    g_snprintf(answer, sizeof(answer), "%s@%" G_GINT64_MODIFIER "x", id,
               host->id);
    side_host_send(host, packet, 1,
                   AFFINITY_ACK | (host->draining ? AFFINITY_FIN : 0), answer);
    g_free(id);
}

/* A datagram at a host: eight bytes that name it, then the packet. */
void
side_on_host(void *arg, struct net_udp *udp, struct net_address from,
             const uint8_t *data, size_t len)
{
    struct side_host *host = arg;
    struct side *side = host->side;
    struct affinity_packet packet;
    uint64_t meant;
    gpointer key;

    (void)udp;
    (void)from;
    if (!host->alive || len < PLATFORM_ENVELOPE) {
        return;
    }
    memcpy(&meant, data, sizeof(meant));
    meant = GUINT64_FROM_BE(meant);
    if ((meant != 0 && meant != host->id) ||
        !platform_packet_decode(data + PLATFORM_ENVELOPE,
                                len - PLATFORM_ENVELOPE, &packet)) {
        return;
    }
    key = GUINT_TO_POINTER(packet.source_port);
    if ((packet.flags & AFFINITY_SYN) != 0) {
        bool books = packet.destination_port % 2 == 0;

        side->counts.wrong_pool +=
            books != g_str_has_suffix(host->service, "books") ? 1 : 0;
        side->counts.drained +=
            host->drain_acked_ms != 0 &&
                    net_now_ms() - host->drain_acked_ms > side->drain_ms
                ? 1
                : 0;
        g_hash_table_add(host->flows, key);
        side_host_send(host, &packet, 1, AFFINITY_SYN | AFFINITY_ACK, "");
    }
    else if (!g_hash_table_contains(host->flows, key)) {
        side_host_send(host, &packet, 1, AFFINITY_RST, "");
    }
    else if (packet.destination_port == SIDE_PORT_DOWNLOAD) {
        if (packet.payload > 0) {
            side_download_ask(host, &packet);
        }
        else {
            side_download_acked(host, &packet);
        }
    }
    else if (packet.payload > 0) {
        host_request(host, &packet, data + PLATFORM_ENVELOPE + PLATFORM_HEAD,
                     packet.payload);
    }
}

/* The entry daemon for a flow: by hash over those in rotation. */
static struct side_entry *
route(struct side *side, uint16_t port)
{
    size_t ready = 0, at;

    for (size_t i = 0; i < side->entry_count; i++) {
        ready += side->entries[i].ready ? 1 : 0;
    }
    at = hash_pair(port, 7) % (ready == 0 ? side->entry_count : ready);
    for (size_t i = 0; i < side->entry_count; i++) {
        if ((ready == 0 || side->entries[i].ready) && at-- == 0) {
            return &side->entries[i];
        }
    }
    return &side->entries[0];
}

/* Send a packet of FLOW through the entry daemon that its hash names. */
void
side_caller_send(struct side *side, struct side_flow *flow, unsigned flags,
                 const char *data)
{
    struct affinity_packet packet = {
        .source = side->callers.local.ip,
        .destination = side->route_address,
        .source_port = flow->port,
        .destination_port = flow->route_port,
        .flags = flags,
        .cookie = flow->cookie,
        .sequence = 1000 + flow->request,
        .acknowledged = flow->open ? 2 + flow->request + flow->parts : 0,
    };
    uint8_t out[PLATFORM_HEAD + 256];
    size_t len = build(out, &packet, data);

    flow->sent_ms = net_now_ms();
    net_udp_send(&side->callers, route(side, flow->port)->packets, out, len);
}

static void
send_request(struct side *side, struct side_flow *flow)
{
    char id[ID_MAX];

    g_snprintf(id, sizeof(id), "r%u.%u", flow->port, flow->request);
    side_caller_send(side, flow, AFFINITY_ACK, id);
}

static void
end_flow(struct side *side, struct side_flow *flow, bool failed)
{
    if (failed && flow->waiting) {
        side->counts.failed++;
    }
    if (flow->open) {
        side_caller_send(side, flow, AFFINITY_FIN | AFFINITY_ACK, "");
    }
    g_hash_table_remove(side->flows, GUINT_TO_POINTER(flow->port));
}

static struct side_host *
host_with(struct side *side, uint64_t id)
{
    for (size_t i = 0; i < side->host_count; i++) {
        if (side->hosts[i].id == id) {
            return &side->hosts[i];
        }
    }
    return NULL;
}

static void
take_answer(struct side *side, struct side_flow *flow,
            const struct affinity_packet *packet, const uint8_t *data,
            size_t len)
{
    char *text = g_strndup((const char *)data, len);
    char *expected = g_strdup_printf("r%u.%u@%" G_GINT64_MODIFIER "x",
                                     flow->port, flow->request, flow->host);
    char *at = strchr(text, '@');

    if (at != NULL && strtoull(at + 1, NULL, 16) != flow->host) {
        side->counts.mixed++;
    }
    else if (flow->route_port == SIDE_PORT_DOWNLOAD) {
        flow->tries = 0;
        flow->due_ms = net_now_ms() + RESEND_MS;
        if (flow->waiting && side_download_take(side, flow, packet, text)) {
            flow->waiting = false;
            side->counts.served++;
            end_flow(side, flow, false);
        }
    }
    else if (flow->waiting && strcmp(text, expected) == 0) {
        side->counts.served++;
        flow->waiting = false;
        flow->tries = 0;
        flow->due_ms = net_now_ms() + PAUSE_MS;
        if (++flow->request >= flow->requests ||
            (packet->flags & AFFINITY_FIN) != 0) {
            end_flow(side, flow, false);
        }
    }
    g_free(text);
    g_free(expected);
}

/* A packet of a host, or a reset of the system. */
void
side_on_caller(void *arg, struct net_udp *udp, struct net_address from,
               const uint8_t *data, size_t len)
{
    struct side *side = arg;
    struct affinity_packet packet;
    struct side_flow *flow;

    (void)udp;
    (void)from;
    if (!platform_packet_decode(data, len, &packet)) {
        return;
    }
    flow = g_hash_table_lookup(side->flows,
                               GUINT_TO_POINTER(packet.destination_port));
    if (flow == NULL) {
        return;
    }
    if ((packet.flags & AFFINITY_RST) != 0) {
        const struct side_host *host = host_with(side, flow->host);

        side->counts.reset_open +=
            flow->open && data[AT_SUM] == 0 && host != NULL && host->alive ? 1
                                                                           : 0;
        end_flow(side, flow, flow->open);
        return;
    }
    flow->cookie = packet.cookie;
    if ((packet.flags & AFFINITY_SYN) != 0 && !flow->open) {
        for (size_t i = 0; i < side->host_count; i++) {
            if (side->hosts[i].udp.local.ip == from.ip &&
                side->hosts[i].alive) {
                flow->host = side->hosts[i].id;
            }
        }
        flow->open = true;
        flow->tries = 0;
        flow->due_ms = 0;
        side_caller_send(side, flow, AFFINITY_ACK, "");
    }
    else if (packet.payload > 0) {
        take_answer(side, flow, &packet, data + PLATFORM_HEAD, packet.payload);
    }
}

/* Every fourth flow is a single request to the other service; of the others
 * so many are downloads as are wanted. */
static uint16_t
port_for(const struct side *side, uint16_t port)
{
    if (port % 4 == 0) {
        return SIDE_PORT_BOOKS;
    }
    return port % 4 == 1 && side->downloads_wanted > 0 ? SIDE_PORT_DOWNLOAD
                                                       : SIDE_PORT_FEEDS;
}

static void
open_flow(struct side *side, uint64_t now_ms)
{
    struct side_flow *flow = g_new0(struct side_flow, 1);

    do {
        side->next_port = side->next_port < 1024 ? 1024 : side->next_port + 1;
    } while (
        g_hash_table_contains(side->flows, GUINT_TO_POINTER(side->next_port)));
    flow->port = side->next_port;
    flow->route_port = port_for(side, flow->port);
    flow->requests = flow->route_port == SIDE_PORT_FEEDS ? REQUESTS : 1;
    flow->due_ms = now_ms + RESEND_MS;
    g_hash_table_insert(side->flows, GUINT_TO_POINTER(flow->port), flow);
    side_caller_send(side, flow, AFFINITY_SYN, "");
}

/* Send what is due, again or for the first time; open new flows. */
void
side_flows_tick(struct side *side, uint64_t now_ms)
{
    GList *flows = g_hash_table_get_values(side->flows);

    for (GList *item = flows; item != NULL; item = item->next) {
        struct side_flow *flow = item->data;

        if (now_ms < flow->due_ms) {
            continue;
        }
        if (!flow->open && ++flow->copies >= OPEN_LIMIT) {
            end_flow(side, flow, false);
        }
        else if (!flow->open) {
            side_caller_send(side, flow, AFFINITY_SYN, "");
            flow->due_ms = now_ms + UINT64_C(2) * RESEND_MS;
        }
        else if (!flow->waiting) {
            side->counts.asked++;
            flow->waiting = true;
            send_request(side, flow);
            flow->due_ms = now_ms + RESEND_MS;
        }
        else if (++flow->tries >= TRIES_MAX) {
            end_flow(side, flow, true);
        }
        else {
            send_request(side, flow);
            flow->due_ms = now_ms + (RESEND_MS << MIN(flow->tries, 3));
        }
    }
    g_list_free(flows);
    if (g_hash_table_size(side->flows) < side->flows_wanted) {
        open_flow(side, now_ms);
    }
}
