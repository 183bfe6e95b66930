/* What the parts of the target stand-in share. */
#include "lib_target.h"

#include "base/view.h"

#include <netinet/in.h>
#include <string.h>

#include "base/hash.h"

static void recv_cb(void *, struct net_udp *, struct net_address,
                    const uint8_t *, size_t);

/* Read the payload's tag; record a packet of another service. */
bool
target_tag(struct target *target, const struct geneve_packet *packet,
           struct tag *tag)
{
    if (!tag_read(packet->payload, packet->payload_len, tag)) {
        target->malformed++;
        ledger_write(target->ledger, "malformed", target_flow_json(packet));
        return false;
    }
    if (tag->service != target->service) {
        target->wrong_service++;
        ledger_write(target->ledger, "wrong_service",
                     target_flow_json(packet));
        return false;
    }
    return true;
}

/* The caller's side of PACKET, for a ledger. */
json_t *
target_flow_json(const struct geneve_packet *packet)
{
    struct net_address src = {packet->src, packet->src_port};
    struct net_address dst = {packet->dst, packet->dst_port};
    char caller[NET_TEXT_MAX], service[NET_TEXT_MAX];

    net_format(src, caller, sizeof(caller));
    net_format(dst, service, sizeof(service));
    return json_pack("{s:s,s:s}", "flow", caller, "to", service);
}

void
target_send_tcp(struct target *target, struct geneve_build *build)
{
    uint8_t data[GENEVE_HEADER_MAX + TAG_LEN_MAX + 64];
    size_t len = geneve_build_tcp(data, sizeof(data), build);

    path_send(&target->out, target->udp, target->ip, target->up.ip, target->up,
              data, len);
}

void
target_send_udp(struct target *target, struct geneve_build *build)
{
    uint8_t data[GENEVE_HEADER_MAX + TAG_LEN_MAX + 64];
    size_t len = geneve_build_udp(data, sizeof(data), build);

    path_send(&target->out, target->udp, target->ip, target->up.ip, target->up,
              data, len);
}

bool
target_chance(struct target *target, double percent)
{
    return percent > 0 && g_rand_double(target->random) * 100 < percent;
}

static void
recv_cb(void *arg, struct net_udp *udp, struct net_address from,
        const uint8_t *data, size_t len)
{
    struct target *target = arg;
    struct fault_verdict verdict;
    struct geneve_packet packet;
    struct call_option option;

    (void)udp;
    fault_judge(target->in.rules, from.ip, target->ip, &verdict);
    if (verdict.copies == 0) {
        target->in.counters.lost++;
        return;
    }
    target->in.counters.passed++;
    if (geneve_decode(data, len, &packet) != GENEVE_OK ||
        (packet.call == NULL && packet.protocol != IPPROTO_TCP)) {
        target->malformed++;
        return;
    }
    /* Its host's Geneve interface takes off only its pool's identifier. */
    if (target->options.announce_to != NULL &&
        packet.vni != view_pool_vni(view_pool_id(target->options.pool))) {
        target->other_vni++;
        return;
    }
    if (packet.call == NULL) {
        target_streams_packet(target->streams, &packet);
    }
    else if (call_option_decode(packet.call, packet.call_len, &option)) {
        target_calls_packet(target->calls, from, &packet, &option);
    }
}

/* Take on STATE and announce it at once. */
void
target_set_state(struct target *target, enum announced_state state)
{
    target->state = state;
    ledger_write(target->ledger, "state",
                 json_pack("{s:s,s:s,s:s}", "state", target_state_name(state),
                           "target", target->options.address, "pool",
                           target->options.pool));
    target_announce_now(target);
}

/* Fill in what follows from the options. */
void
target_init(struct target *target)
{
    struct target_options *options = &target->options;
    struct net_address local;

    if (!net_parse_ip(options->address, &target->ip)) {
        net_die("--address: got \"%s\", expected A.B.C.D", options->address);
    }
    target->loop = uv_default_loop();
    target->up = net_parse_or_die("up", options->up);
    target->service = hash_string(options->pool);
    target->random = g_rand_new_with_seed((guint32)options->seed);
    target->in.loop = target->loop;
    target->in.rules = fault_rules_new((uint32_t)options->seed);
    target->out.loop = target->loop;
    target->out.rules = fault_rules_new((uint32_t)options->seed);
    target->modes.service_ms = options->service_ms;
    target->modes.late_ms = 1500;
    target->ledger = ledger_open(options->ledger);
    target->streams = target_streams_new(target);
    target->calls = target_calls_new(target);
    target->udp = g_new0(struct net_udp, 1);
    local.ip = target->ip;
    local.port = GENEVE_PORT;
    net_udp_open(target->loop, target->udp, local, recv_cb, target);
}
