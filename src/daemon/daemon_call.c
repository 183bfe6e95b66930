/* Calls: packets to the call core, and its datagrams out. */
#include "daemon/daemon_private.h"

#include <netinet/in.h>
#include <string.h>

#include "base/hash.h"
#include "daemon/control.h"
#include "peer/call_wire.h"

#define OPTION_BUFFER 128 /* bytes of an encoded call option */

static void step(struct daemon *, const struct call_event *);
static void act(struct daemon *, const struct call_action *);
static size_t build(const struct call_datagram *, bool to_caller, uint8_t *,
                    size_t);
static void send_datagram(struct daemon *, const struct call_action *);
static void hand_on(struct daemon *, const struct call_action *);
static void report(struct daemon *, const struct call_evidence *);
static void refuse_count(struct daemon *, const struct call_datagram *);

void
daemon_call_start(struct daemon *daemon)
{
    struct call_options options = {
        .self = daemon->self,
        .incarnation = daemon->incarnation,
        .seed = (uint32_t)daemon->seed + 3,
    };

    daemon->call = call_core_new(&options);
}

void
daemon_call_stop(struct daemon *daemon)
{
    call_core_free(daemon->call);
}

/* Take in a packet of a call route from the fabric. */
void
daemon_call_packet(struct daemon *daemon, const struct geneve_packet *packet,
                   const struct daemon_route *route, uint32_t outer_src,
                   bool from_target)
{
    struct call_event event = {.kind = CALL_EV_PACKET};
    struct call_packet *out = &event.u.packet;

    if (packet->protocol != IPPROTO_UDP || packet->call == NULL ||
        !call_option_decode(packet->call, packet->call_len, &out->option)) {
        counter_add(&daemon->counters, COUNTER_DROP_CALL_OPTION, 1);
        return;
    }
    out->pool = route->pool;
    out->caller = from_target ? packet->dst : packet->src;
    out->caller_port = from_target ? packet->dst_port : packet->src_port;
    out->service = from_target ? packet->src : packet->dst;
    out->service_port = from_target ? packet->src_port : packet->dst_port;
    out->target = from_target ? outer_src : 0;
    out->payload = packet->payload;
    out->payload_len = packet->payload_len;
    daemon_span(daemon, hash_pair(out->option.id, out->caller),
                from_target ? SPAN_ANSWER : SPAN_FABRIC_IN, g_get_real_time(),
                outer_src);
    step(daemon, &event);
}

/* Build the Geneve packet of a datagram; its length. */
static size_t
build(const struct call_datagram *datagram, bool to_caller, uint8_t *out,
      size_t size)
{
    uint8_t option[OPTION_BUFFER];
    struct geneve_build packet = {
        .src = to_caller ? datagram->service : datagram->caller,
        .dst = to_caller ? datagram->caller : datagram->service,
        .src_port = to_caller ? datagram->service_port : datagram->caller_port,
        .dst_port = to_caller ? datagram->caller_port : datagram->service_port,
        .vni = to_caller ? 0 : view_pool_vni(datagram->pool),
        .call = option,
        .payload = datagram->payload,
        .payload_len = datagram->payload_len,
    };

    packet.call_len =
        call_option_encode(&datagram->option, option, sizeof(option));
    return geneve_build_udp(out, size, &packet);
}

static void
refuse_count(struct daemon *daemon, const struct call_datagram *datagram)
{
    counter_add(&daemon->counters,
                datagram->option.kind == CALL_NOT_RUN
                    ? COUNTER_REFUSED_NOT_RUN
                    : COUNTER_REFUSED_UNKNOWN,
                1);
}

/* Send a request or cancel to its target, or an answer to its caller. */
static void
send_datagram(struct daemon *daemon, const struct call_action *action)
{
    static uint8_t data[DAEMON_PACKET_MAX];
    struct call_datagram datagram = action->u.datagram;
    bool to_caller =
        action->kind == CALL_ACT_ANSWER || action->kind == CALL_ACT_REFUSE;
    uint64_t key = hash_pair(datagram.option.id, datagram.caller);
    size_t len;

    if (action->kind == CALL_ACT_REFUSE && datagram.payload == NULL) {
        const char *reason = call_reason_name(datagram.reason);

        datagram.payload = (const uint8_t *)reason;
        datagram.payload_len = strlen(reason);
        refuse_count(daemon, &datagram);
    }
    len = build(&datagram, to_caller, data, sizeof(data));
    if (len == 0) {
        counter_add(&daemon->counters, COUNTER_DROP_SEND, 1);
        return;
    }
    if (to_caller) {
        counter_add(&daemon->counters, COUNTER_PACKETS_ANSWERED, 1);
        daemon_packet_to_fabric(daemon, data, len);
        daemon_span(daemon, key,
                    action->kind == CALL_ACT_REFUSE ? SPAN_REFUSE : SPAN_LEAD,
                    g_get_real_time(), datagram.caller);
        return;
    }
    counter_add(&daemon->counters, COUNTER_PACKETS_FORWARDED, 1);
    daemon_packet_send(daemon, datagram.target.address, datagram.target_port,
                       data, len);
    daemon_span(daemon, key, SPAN_TARGET, g_get_real_time(),
                datagram.target.address);
}

/* Hand a call's packet on to the call lead. */
static void
hand_on(struct daemon *daemon, const struct call_action *action)
{
    const struct call_packet *packet = &action->u.relay.packet;
    uint32_t address = mesh_peer_address(daemon->mesh, action->u.relay.to);
    GByteArray *bytes = g_byte_array_new();

    call_wire_pack_packet(packet, bytes);
    counter_add(&daemon->counters, COUNTER_PACKETS_HANDED_ON, 1);
    if (!mesh_send(daemon->mesh, action->u.relay.to, PEER_HANDON_CALL,
                   bytes->data, bytes->len)) {
        counter_add(&daemon->counters, COUNTER_DROP_SEND, 1);
    }
    g_byte_array_unref(bytes);
    daemon_span(daemon, hash_pair(packet->option.id, packet->caller),
                SPAN_HAND_ON, g_get_real_time(), address);
}

/* Take in a call's packet that a peer handed on at most AGE_US ago. */
void
daemon_call_hand_in(struct daemon *daemon, uint64_t age_us,
                    const uint8_t *data, size_t len)
{
    struct call_event event = {.kind = CALL_EV_PACKET};

    if (!call_wire_unpack_packet(data, len, &event.u.packet)) {
        counter_add(&daemon->counters, COUNTER_PEER_BAD_FRAMES, 1);
        return;
    }
    counter_add(&daemon->counters, COUNTER_PACKETS_HANDED_IN, 1);
    event.u.packet.age_us = age_us > UINT64_MAX - event.u.packet.age_us
                                ? UINT64_MAX
                                : event.u.packet.age_us + age_us;
    step(daemon, &event);
    call_wire_packet_clear(&event.u.packet);
}

/* Tell the pool core what traffic showed of a target. */
static void
report(struct daemon *daemon, const struct call_evidence *evidence)
{
    struct pool_event event = {.kind = POOL_EV_EVIDENCE};

    event.u.evidence.pool = evidence->pool;
    event.u.evidence.key = evidence->target;
    event.u.evidence.opened = evidence->opened;
    event.u.evidence.answered = evidence->answered;
    event.u.evidence.refused = evidence->refused;
    event.u.evidence.unanswered = evidence->unanswered;
    daemon_target_event(daemon, &event);
}

static void
act(struct daemon *daemon, const struct call_action *action)
{
    GByteArray *bytes;

    switch (action->kind) {
    case CALL_ACT_SEND:
    case CALL_ACT_CANCEL:
    case CALL_ACT_ANSWER:
    case CALL_ACT_REFUSE:
        send_datagram(daemon, action);
        break;
    case CALL_ACT_RELAY:
        hand_on(daemon, action);
        break;
    case CALL_ACT_MESSAGE:
        bytes = g_byte_array_new();
        call_wire_pack(action->u.message.message, bytes);
        mesh_send(daemon->mesh, action->u.message.to, PEER_CALL, bytes->data,
                  bytes->len);
        g_byte_array_unref(bytes);
        break;
    case CALL_ACT_STOPPED:
        daemon->calls_handed_over = true;
        break;
    case CALL_ACT_DROP:
    case CALL_ACT_REQUEST_EPOCH:
    case CALL_ACT_EVIDENCE:
    case CALL_ACT__MAX:
        break;
    }
}

/*
 * Step the call core and carry out its actions.  Wishes and evidence go last:
 * their answers come back here as a further step, which ends the life of the
 * bytes that the other actions borrow.
 */
static void
step(struct daemon *daemon, const struct call_event *event)
{
    struct call_actions actions = {0};

    call_core_step(daemon->call, daemon_now_us(), event, &actions);
    for (size_t i = 0; i < actions.count; i++) {
        act(daemon, &actions.items[i]);
    }
    for (size_t i = 0; i < actions.count; i++) {
        const struct call_action *action = &actions.items[i];

        if (action->kind == CALL_ACT_EVIDENCE) {
            report(daemon, &action->u.evidence);
        }
        else if (action->kind == CALL_ACT_REQUEST_EPOCH) {
            control_want_epoch(daemon, &action->u.epoch_request);
        }
    }
    call_actions_clear(&actions);
}

void
daemon_call_event(struct daemon *daemon, const struct call_event *event)
{
    step(daemon, event);
}

/* Take in a message of another daemon's call core. */
void
daemon_call_message(struct daemon *daemon, struct daemon_id from,
                    const uint8_t *data, size_t len)
{
    struct call_message *message = g_new(struct call_message, 1);
    struct call_event event = {.kind = CALL_EV_MESSAGE};

    if (call_wire_unpack(data, len, message)) {
        event.u.message.from = from;
        event.u.message.message = message;
        step(daemon, &event);
        call_message_clear(message);
    }
    else {
        counter_add(&daemon->counters, COUNTER_PEER_BAD_FRAMES, 1);
    }
    g_free(message);
}
