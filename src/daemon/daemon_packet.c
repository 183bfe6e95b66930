/* Geneve packets: from the fabric, from peers, to targets and callers. */
#include "daemon/daemon_private.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>

#include "base/err.h"
#include "base/hash.h"
#include "peer/flow_wire.h"

#define HANDON_HEAD 13 /* bytes: hops, pool, outer source */

/* A packet on its way through this daemon. */
struct passage {
    struct geneve_packet packet;
    uint8_t *data; /* the whole Geneve datagram, in a buffer of ours */
    size_t len;
    struct flow_packet flow;
    bool batched; /* DATA stays until the batch is flushed */
};

static struct sockaddr_in sockaddr_of(uint32_t address, uint16_t port);
static void alloc_packets(uv_handle_t *, size_t, uv_buf_t *);
static void on_packet(uv_udp_t *, ssize_t, const uv_buf_t *,
                      const struct sockaddr *, unsigned);
static bool relay(struct daemon *, const uint8_t *, size_t,
                  const struct sockaddr_in *);
static bool decode(struct daemon *, const uint8_t *, size_t, struct passage *);
static void flush(struct daemon *);
static void send_on(struct daemon *, const struct passage *, uint32_t address,
                    uint16_t port);
static void pass(struct daemon *, const struct passage *);
static void hand_on(struct daemon *, const struct passage *,
                    const struct flow_verdict *);
static void drop(struct daemon *, const struct passage *,
                 const struct flow_verdict *);
static bool try_call(struct daemon *, const struct passage *);
static void step(struct daemon *, const struct flow_event *);
static uint64_t span_key(const struct geneve_packet *);
static void trace(struct daemon *, const struct passage *, enum span_hop,
                  uint32_t peer);

static struct sockaddr_in
sockaddr_of(uint32_t address, uint16_t port)
{
    struct sockaddr_in out = {
        .sin_family = AF_INET,
        .sin_addr.s_addr = htonl(address),
        .sin_port = htons(port),
    };

    return out;
}

/* Open the Geneve socket and the flow core. */
bool
daemon_packet_start(struct daemon *daemon, GError **error)
{
    const struct settings *settings = daemon->settings;
    struct flow_options options = {
        .self = daemon->self,
        .seed = daemon->seed + 2,
        .flows_max = (uint32_t)settings->max_flows,
        .replica_bytes_per_s = (uint32_t)settings->control_bytes_per_s / 2,
    };
    struct sockaddr_in address;
    int failed, buffer_size = DAEMON_SOCKET_BUFFER;

    daemon->flow = flow_core_new(&options);
    daemon->geneve_buffer = g_malloc((size_t)DAEMON_PACKET_MAX * DAEMON_BATCH);
    uv_udp_init_ex(&daemon->loop, &daemon->geneve, AF_INET | UV_UDP_RECVMMSG);
    daemon->geneve.data = daemon;
    address = sockaddr_of(settings->address.address,
                          (uint16_t)settings->geneve_port);
    if (!settings->entry) {
        return true;
    }
    failed = uv_udp_bind(&daemon->geneve, (struct sockaddr *)&address, 0);
    if (failed == 0) {
        failed = uv_udp_recv_start(&daemon->geneve, alloc_packets, on_packet);
    }
    if (failed != 0) {
        g_set_error(error, ERR_DOMAIN, ERR_NETWORK,
                    "--geneve-port %d on the daemon's address: %s; stop what "
                    "holds it, or give another --address or --geneve-port",
                    (int)settings->geneve_port, uv_strerror(failed));
        return false;
    }
    uv_recv_buffer_size((uv_handle_t *)&daemon->geneve, &buffer_size);
    uv_fileno((const uv_handle_t *)&daemon->geneve, &daemon->geneve_fd);
    packet_batch_init(&daemon->batch);
    return true;
}

void
daemon_packet_stop(struct daemon *daemon)
{
    flow_core_free(daemon->flow);
    g_free(daemon->geneve_buffer);
}

static void
alloc_packets(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    struct daemon *daemon = handle->data;

    (void)suggested;
    *buffer = uv_buf_init((char *)daemon->geneve_buffer,
                          DAEMON_PACKET_MAX * DAEMON_BATCH);
}

/* Decode a datagram; one that is malformed is counted by its reason. */
static bool
decode(struct daemon *daemon, const uint8_t *data, size_t len,
       struct passage *passage)
{
    const struct geneve_packet *packet = &passage->packet;
    enum geneve_error error = geneve_decode(data, len, &passage->packet);

    if (error != GENEVE_OK) {
        daemon->geneve_drops[error]++;
        counter_add(&daemon->counters, COUNTER_DROP_MALFORMED, 1);
        return false;
    }
    passage->batched = false;
    passage->data = (uint8_t *)(uintptr_t)data;
    passage->len = len;
    passage->flow = (struct flow_packet){
        .src = packet->src,
        .dst = packet->dst,
        .src_port = packet->src_port,
        .dst_port = packet->dst_port,
        .protocol = packet->protocol,
        .tcp_flags = packet->tcp_flags,
        .tcp_seq = packet->tcp_seq,
        .tcp_ack = packet->tcp_ack,
        .payload_len = (uint32_t)packet->payload_len,
    };
    return true;
}

/*
 * While this daemon is joining it does not know the pools' targets: give the
 * packet to a peer that has joined, as if the fabric had sent it there.
 * False if there is none.
 */
static bool
relay(struct daemon *daemon, const uint8_t *data, size_t len,
      const struct sockaddr_in *outer)
{
    uint32_t source = outer->sin_addr.s_addr, address = 0;
    size_t count;
    const struct daemon_view *views =
        member_core_daemons(daemon->member, &count);

    for (size_t i = 0; i < count && address == 0; i++) {
        if (views[i].entry && views[i].state == DAEMON_ALIVE &&
            views[i].id.value != daemon->self.value) {
            address = views[i].address;
        }
    }
    if (address == 0) {
        return false;
    }
    counter_add(&daemon->counters, COUNTER_PACKETS_HANDED_ON, 1);
    return mesh_send_datagram(daemon->mesh, address, PEER_RELAY,
                              (const uint8_t *)&source, sizeof(source), data,
                              len);
}

/* Take in a packet that a joining peer got from the fabric. */
void
daemon_packet_relayed(struct daemon *daemon, const uint8_t *data, size_t len)
{
    struct passage passage;
    uint32_t source;

    if (len < sizeof(source)) {
        counter_add(&daemon->counters, COUNTER_PEER_BAD_FRAMES, 1);
        return;
    }
    memcpy(&source, data, sizeof(source));
    if (decode(daemon, data + sizeof(source), len - sizeof(source),
               &passage)) {
        passage.flow.outer_src = ntohl(source);
        pass(daemon, &passage);
    }
}

static void
on_packet(uv_udp_t *udp, ssize_t len, const uv_buf_t *buffer,
          const struct sockaddr *from, unsigned flags)
{
    struct daemon *daemon = udp->data;
    const struct sockaddr_in *outer = (const struct sockaddr_in *)from;
    struct passage passage;

    if ((flags & UV_UDP_MMSG_FREE) != 0) {
        flush(daemon);
    }
    if (len <= 0 || from == NULL) {
        return;
    }
    if (!daemon->joined &&
        relay(daemon, (const uint8_t *)buffer->base, (size_t)len, outer)) {
        return;
    }
    if (!decode(daemon, (const uint8_t *)buffer->base, (size_t)len,
                &passage)) {
        return;
    }
    passage.flow.outer_src = ntohl(outer->sin_addr.s_addr);
    passage.batched = (flags & UV_UDP_MMSG_CHUNK) != 0;
    trace(daemon, &passage, SPAN_FABRIC_IN, passage.flow.outer_src);
    pass(daemon, &passage);
}

/* Take in a packet that a peer handed on. */
void
daemon_packet_hand_in(struct daemon *daemon, const uint8_t *data, size_t len)
{
    struct passage passage;
    uint64_t pool;
    uint32_t outer;

    if (len < HANDON_HEAD) {
        counter_add(&daemon->counters, COUNTER_PEER_BAD_FRAMES, 1);
        return;
    }
    counter_add(&daemon->counters, COUNTER_PACKETS_HANDED_IN, 1);
    if (!decode(daemon, data + HANDON_HEAD, len - HANDON_HEAD, &passage)) {
        return;
    }
    memcpy(&pool, data + 1, sizeof(pool));
    memcpy(&outer, data + 9, sizeof(outer));
    passage.flow.hops = data[0];
    passage.flow.pool.value = GUINT64_FROM_LE(pool);
    passage.flow.outer_src = GUINT32_FROM_LE(outer);
    trace(daemon, &passage, SPAN_LEAD, passage.flow.outer_src);
    pass(daemon, &passage);
}

/* A key that both directions of a flow share, for its spans. */
static uint64_t
span_key(const struct geneve_packet *packet)
{
    uint64_t one = (uint64_t)packet->src << 16 | packet->src_port;
    uint64_t other = (uint64_t)packet->dst << 16 | packet->dst_port;

    return hash_pair(MIN(one, other), MAX(one, other));
}

/* Write the span of one hop, if the flow is sampled. */
static void
trace(struct daemon *daemon, const struct passage *passage, enum span_hop hop,
      uint32_t peer)
{
    if (daemon->settings->span_file != NULL) {
        daemon_span(daemon, span_key(&passage->packet), hop, g_get_real_time(),
                    peer);
    }
}

/* Send what waits; what the socket does not take is counted. */
static void
flush(struct daemon *daemon)
{
    counter_add(&daemon->counters, COUNTER_DROP_SEND,
                packet_batch_flush(&daemon->batch, daemon->geneve_fd));
}

/* Send a packet on, with those of the same turn if its bytes stay. */
static void
send_on(struct daemon *daemon, const struct passage *passage, uint32_t address,
        uint16_t port)
{
    struct sockaddr_in to = sockaddr_of(address, port);

    if (!passage->batched) {
        daemon_packet_send(daemon, address, port, passage->data, passage->len);
        return;
    }
    counter_add(&daemon->counters, COUNTER_DROP_SEND,
                packet_batch_add(&daemon->batch, daemon->geneve_fd, &to,
                                 passage->data, passage->len));
}

/* Ask the flow core about a packet and do as it says. */
static void
pass(struct daemon *daemon, const struct passage *passage)
{
    struct flow_verdict verdict =
        flow_core_packet(daemon->flow, daemon_now_us(), &passage->flow);

    switch (verdict.kind) {
    case FLOW_FORWARD:
        if (passage->flow.hops == 0) {
            counter_add(&daemon->counters, COUNTER_PACKETS_FABRIC, 1);
        }
        counter_add(&daemon->counters, COUNTER_PACKETS_FORWARDED, 1);
        geneve_set_vni(passage->data, view_pool_vni(verdict.pool));
        send_on(daemon, passage, verdict.address, verdict.port);
        trace(daemon, passage, SPAN_TARGET, verdict.address);
        break;
    case FLOW_DELIVER:
        if (passage->flow.hops == 0) {
            counter_add(&daemon->counters, COUNTER_PACKETS_TARGET, 1);
        }
        counter_add(&daemon->counters, COUNTER_PACKETS_ANSWERED, 1);
        send_on(daemon, passage, daemon->settings->fabric.address,
                daemon->settings->fabric.port);
        trace(daemon, passage, SPAN_ANSWER, passage->flow.outer_src);
        break;
    case FLOW_RELAY:
        hand_on(daemon, passage, &verdict);
        break;
    case FLOW_RESET:
        counter_add(&daemon->counters, COUNTER_PACKETS_FABRIC, 1);
        if (passage->packet.protocol == IPPROTO_UDP) {
            daemon_refuse_udp(daemon, passage->packet.inner,
                              passage->packet.inner_len);
        }
        daemon_refuse_tcp(daemon, &passage->flow, verdict.address,
                          verdict.port, &verdict.reset);
        trace(daemon, passage, SPAN_REFUSE, passage->flow.outer_src);
        break;
    case FLOW_DROP:
        drop(daemon, passage, &verdict);
        break;
    case FLOW_VERDICT__MAX:
        break;
    }
}

/* Hand a packet on to the daemon that the flow core named. */
static void
hand_on(struct daemon *daemon, const struct passage *passage,
        const struct flow_verdict *verdict)
{
    uint32_t address = mesh_peer_address(daemon->mesh, verdict->peer);
    uint64_t pool = GUINT64_TO_LE(verdict->pool.value);
    uint32_t outer = GUINT32_TO_LE(passage->flow.outer_src);
    uint8_t head[HANDON_HEAD] = {verdict->hops};

    memcpy(head + 1, &pool, sizeof(pool));
    memcpy(head + 9, &outer, sizeof(outer));
    if (passage->flow.hops == 0) {
        counter_add(&daemon->counters, COUNTER_PACKETS_FABRIC, 1);
    }
    counter_add(&daemon->counters, COUNTER_PACKETS_HANDED_ON, 1);
    if (address == 0 ||
        !mesh_send_datagram(daemon->mesh, address, PEER_HANDON_FLOW, head,
                            sizeof(head), passage->data, passage->len)) {
        counter_add(&daemon->counters, COUNTER_DROP_SEND, 1);
    }
    trace(daemon, passage, SPAN_HAND_ON, address);
}

/* Give a call's packet to the call path; false if it is no call. */
static bool
try_call(struct daemon *daemon, const struct passage *passage)
{
    const struct geneve_packet *packet = &passage->packet;
    const struct daemon_route *route =
        daemon_table_route(daemon, packet->dst, packet->dst_port);
    bool from_target = false;

    if (route == NULL) {
        route = daemon_table_route(daemon, packet->src, packet->src_port);
        from_target = true;
    }
    if (route == NULL || route->kind != ROUTE_CALL) {
        return false;
    }
    counter_add(&daemon->counters,
                from_target ? COUNTER_PACKETS_TARGET : COUNTER_PACKETS_FABRIC,
                1);
    daemon_call_packet(daemon, packet, route, passage->flow.outer_src,
                       from_target);
    return true;
}

static void
drop(struct daemon *daemon, const struct passage *passage,
     const struct flow_verdict *verdict)
{
    enum counter_id counter = COUNTER_DROP_NO_TARGET;

    if (verdict->reason == FLOW_REASON_NOT_STREAM &&
        try_call(daemon, passage)) {
        return;
    }
    counter_add(&daemon->counters, COUNTER_PACKETS_FABRIC, 1);
    if (verdict->reason == FLOW_REASON_NO_ROUTE) {
        counter = COUNTER_DROP_NO_ROUTE;
    }
    else if (verdict->reason == FLOW_REASON_FOREIGN_ANSWER) {
        counter = COUNTER_DROP_WRONG_SOURCE;
    }
    counter_add(&daemon->counters, counter, 1);
}

/*
 * Send LEN bytes to a target.  False, and counted, if the socket does not
 * take them.
 */
bool
daemon_packet_send(struct daemon *daemon, uint32_t address, uint16_t port,
                   const uint8_t *data, size_t len)
{
    struct sockaddr_in to = sockaddr_of(address, port);
    uv_buf_t buffer = uv_buf_init((char *)(uintptr_t)data, (unsigned)len);

    if (uv_udp_try_send(&daemon->geneve, &buffer, 1,
                        (const struct sockaddr *)&to) >= 0) {
        return true;
    }
    counter_add(&daemon->counters, COUNTER_DROP_SEND, 1);
    return false;
}

/* Send LEN bytes to the fabric, which takes them to the caller. */
bool
daemon_packet_to_fabric(struct daemon *daemon, const uint8_t *data, size_t len)
{
    const struct settings_endpoint *fabric = &daemon->settings->fabric;

    return daemon_packet_send(daemon, fabric->address, fabric->port, data,
                              len);
}

static void
step(struct daemon *daemon, const struct flow_event *event)
{
    struct flow_actions actions = {0};

    flow_core_step(daemon->flow, daemon_now_us(), event, &actions);
    for (size_t i = 0; i < actions.count; i++) {
        const struct flow_action *action = &actions.items[i];
        GByteArray *bytes;

        switch (action->kind) {
        case FLOW_ACT_SEND:
            bytes = g_byte_array_new();
            flow_wire_pack(action->u.send.message, bytes);
            mesh_send(daemon->mesh, action->u.send.to, PEER_FLOW, bytes->data,
                      bytes->len);
            g_byte_array_unref(bytes);
            break;
        case FLOW_ACT_RESET:
            daemon_refuse_tcp(daemon, &action->u.reset.packet,
                              action->u.reset.address, action->u.reset.port,
                              &action->u.reset.reset);
            break;
        case FLOW_ACT_STOPPED:
            daemon->flows_handed_over = true;
            break;
        case FLOW_ACT__MAX:
            break;
        }
    }
    flow_actions_free(&actions);
}

void
daemon_packet_event(struct daemon *daemon, const struct flow_event *event)
{
    step(daemon, event);
}

void
daemon_packet_tick(struct daemon *daemon, uint64_t now_us)
{
    struct flow_event event = {.kind = FLOW_EV_TICK};

    (void)now_us;
    step(daemon, &event);
}

/* Take in a message of another daemon's flow core. */
void
daemon_packet_message(struct daemon *daemon, struct daemon_id from,
                      const uint8_t *data, size_t len)
{
    struct flow_message message;
    struct flow_event event = {.kind = FLOW_EV_MESSAGE};

    if (!flow_wire_unpack(data, len, &message)) {
        counter_add(&daemon->counters, COUNTER_PEER_BAD_FRAMES, 1);
        return;
    }
    event.u.message.from = from;
    event.u.message.message = &message;
    step(daemon, &event);
    flow_message_clear(&message);
}
