/* Visible ends of flows: TCP resets and ICMP port unreachables. */
#include "daemon/daemon_private.h"

#include <netinet/in.h>

/* Refuse a UDP flow visibly. */
void
daemon_refuse_udp(struct daemon *daemon, const uint8_t *inner,
                  size_t inner_len)
{
    uint8_t data[GENEVE_HEADER_MAX + 128];
    size_t len =
        geneve_build_unreachable(data, sizeof(data), inner, inner_len);

    if (len > 0) {
        daemon_packet_to_fabric(daemon, data, len);
        counter_add(&daemon->counters, COUNTER_RESETS_SENT, 1);
    }
}

/* End a flow visibly: a TCP reset to each end that RESET names. */
void
daemon_refuse_tcp(struct daemon *daemon, const struct flow_packet *flow,
                  uint32_t target, uint16_t port,
                  const struct flow_reset *reset)
{
    uint8_t data[GENEVE_HEADER_MAX + 64];
    struct geneve_build build = {0};
    size_t len;

    if (flow->protocol != IPPROTO_TCP) {
        return;
    }
    if (reset->caller_flags != 0) {
        build.src = flow->dst;
        build.dst = flow->src;
        build.src_port = flow->dst_port;
        build.dst_port = flow->src_port;
        build.tcp_flags = reset->caller_flags;
        build.tcp_seq = reset->caller_seq;
        build.tcp_ack = reset->caller_ack;
        len = geneve_build_tcp(data, sizeof(data), &build);
        daemon_packet_to_fabric(daemon, data, len);
        counter_add(&daemon->counters, COUNTER_RESETS_SENT, 1);
    }
    if (reset->target_flags != 0 && target != 0) {
        const struct daemon_route *route =
            daemon_table_route(daemon, flow->dst, flow->dst_port);

        build.vni = route == NULL ? 0 : view_pool_vni(route->pool);
        build.src = flow->src;
        build.dst = flow->dst;
        build.src_port = flow->src_port;
        build.dst_port = flow->dst_port;
        build.tcp_flags = reset->target_flags;
        build.tcp_seq = reset->target_seq;
        build.tcp_ack = reset->target_ack;
        len = geneve_build_tcp(data, sizeof(data), &build);
        daemon_packet_send(daemon, target, port, data, len);
        counter_add(&daemon->counters, COUNTER_RESETS_SENT, 1);
    }
}
