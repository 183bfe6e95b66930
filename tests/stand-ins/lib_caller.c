/* What the parts of the caller stand-in share. */
#include "lib_caller.h"

#include <netinet/in.h>

#include "base/hash.h"

static void recv_cb(void *, struct net_udp *, struct net_address,
                    const uint8_t *, size_t);
static void tick_cb(uv_timer_t *);

/* Fill in what follows from the options, and start. */
void
caller_init(struct caller *caller)
{
    struct caller_options *options = &caller->options;
    uv_timer_t *timer = g_new0(uv_timer_t, 1);

    if (options->service == NULL || options->inner == NULL ||
        !net_parse_ip(options->inner, &caller->inner)) {
        net_die("caller: --service NAME and --inner A.B.C.D are needed");
    }
    caller->loop = uv_default_loop();
    caller->fabric = net_parse_or_die("fabric", options->fabric);
    caller->service = net_parse_or_die("to", options->to);
    caller->service_tag = hash_string(options->service);
    caller->random = g_rand_new_with_seed((guint32)options->seed);
    caller->ledger = ledger_open(options->ledger);
    caller->udp = g_new0(struct net_udp, 1);
    net_udp_open(caller->loop, caller->udp,
                 net_parse_or_die("listen", options->listen), recv_cb, caller);
    caller->streams = caller_streams_new(caller);
    caller->calls = caller_calls_new(caller);
    uv_timer_init(caller->loop, timer);
    timer->data = caller;
    uv_timer_start(timer, tick_cb, CALLER_TICK_MS, CALLER_TICK_MS);
}

void
caller_send_tcp(struct caller *caller, const struct geneve_build *build)
{
    uint8_t data[GENEVE_HEADER_MAX + TAG_LEN_MAX + 64];
    size_t len = geneve_build_tcp(data, sizeof(data), build);

    net_udp_send(caller->udp, caller->fabric, data, len);
}

void
caller_send_udp(struct caller *caller, const struct geneve_build *build)
{
    uint8_t data[GENEVE_HEADER_MAX + TAG_LEN_MAX + 64];
    size_t len = geneve_build_udp(data, sizeof(data), build);

    net_udp_send(caller->udp, caller->fabric, data, len);
}

static void
recv_cb(void *arg, struct net_udp *udp, struct net_address from,
        const uint8_t *data, size_t len)
{
    struct caller *caller = arg;
    struct geneve_packet packet;
    struct call_option option;

    (void)udp;
    (void)from;
    if (geneve_decode(data, len, &packet) != GENEVE_OK ||
        (packet.call == NULL && packet.protocol != IPPROTO_TCP)) {
        caller->malformed++;
        return;
    }
    if (packet.call == NULL) {
        caller_streams_packet(caller->streams, &packet);
    }
    else if (call_option_decode(packet.call, packet.call_len, &option)) {
        caller_calls_packet(caller->calls, &packet, &option);
    }
}

/* Send what is due; once asked to stop, end when nothing is open. */
static void
tick_cb(uv_timer_t *timer)
{
    struct caller *caller = timer->data;
    uint64_t now_ms = net_now_ms();

    caller_streams_tick(caller->streams, now_ms);
    caller_calls_tick(caller->calls, now_ms);
    if (caller->stopping && caller_streams_idle(caller->streams) &&
        caller_calls_idle(caller->calls)) {
        caller_streams_finish(caller->streams);
        ledger_close(caller->ledger);
        uv_stop(caller->loop);
    }
}
