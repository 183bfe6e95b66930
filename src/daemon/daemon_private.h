/*
 * What the files of the daemon share.  Each file carries one concern's core:
 * it brings events to the core and carries its actions out.
 */
#ifndef PS_DAEMON_DAEMON_PRIVATE_H
#define PS_DAEMON_DAEMON_PRIVATE_H

#include <uv.h>

#include "base/counter.h"
#include "base/span.h"
#include "call/call.h"
#include "daemon/daemon.h"
#include "daemon/packet_batch.h"
#include "edge/geneve.h"
#include "edge/http.h"
#include "edge/probe.h"
#include "flow/flow_core.h"
#include "member/member.h"
#include "member/spread.h"
#include "peer/mesh.h"
#include "pool/pool.h"
#include "table/table_core.h"

#define DAEMON_TICK_MS       50
#define DAEMON_TOKEN_MAX     256     /* bytes of the operators' token */
#define DAEMON_PACKET_MAX    65536   /* bytes of a datagram */
#define DAEMON_SOCKET_BUFFER 4194304 /* bytes asked for; the kernel may cut */
#define DAEMON_BATCH         20 /* datagrams that one recvmmsg may bring */

struct control;

/* A route as the packet path looks it up. */
struct daemon_route {
    uint64_t key; /* address << 16 | port */
    enum route_kind kind;
    struct pool_id pool;
};

/* URLs of a target's endpoints, as it announced them here. */
struct daemon_endpoint {
    struct target_key key;
    struct pool_id pool;
    char *health_url;
    char *load_url;
};

enum daemon_phase {
    DAEMON_SERVING,
    DAEMON_HANDING_OVER, /* planned stop: leads go to peers */
    DAEMON_FORWARDING,   /* handed over, forwards what still comes */
    DAEMON_ENDED,
    DAEMON_PHASE__MAX
};

struct daemon {
    const struct settings *settings;
    struct daemon_id self;
    uint64_t incarnation; /* start time, ms of the wall clock */
    uint64_t seed;
    uint32_t zone;
    uv_loop_t loop;
    uv_timer_t tick;
    uv_signal_t sigterm;
    uv_signal_t sigint;
    enum daemon_phase phase;
    uint64_t phase_since_us;
    uint64_t started_us;
    bool joined; /* knows what a lead must know; packets are its own */
    bool flows_handed_over;
    bool calls_handed_over;

    struct counters counters;
    uint64_t geneve_drops[GENEVE__MAX];
    struct span_writer *spans;
    struct mesh *mesh;
    struct http_server *http;
    struct probe_client *probes;
    char token[DAEMON_TOKEN_MAX];

    uv_udp_t geneve;
    int geneve_fd;
    uint8_t *geneve_buffer;
    struct packet_batch batch; /* of the packets of one recvmmsg */

    struct member_core *member;
    struct spread_core *spread;
    struct pool_core *pool;
    struct flow_core *flow;
    struct call_core *call;
    struct table_core *in_force;
    GByteArray *staged;        /* updates that are not in force yet, framed */
    GHashTable *pools;         /* set of the ids of pools in force */
    bool save_failed;          /* the last save of the tables failed */
    GHashTable *routes;        /* key -> struct daemon_route */
    GHashTable *endpoints;     /* address -> struct daemon_endpoint */
    GHashTable *member_states; /* id -> pair of id and state last logged */
    struct control *control;   /* NULL without the role */

    /* Requests forwarded to the control leader. */
    GHashTable *forwarded; /* id -> struct daemon_forward */
    uint64_t next_request;
    uint64_t next_control; /* control daemon to ask next */
};

uint64_t daemon_now_us(void);

/* member: daemons known, and what follows from a change. */
void daemon_member_start(struct daemon *);
void daemon_member_tick(struct daemon *, uint64_t now_us);
void daemon_member_datagram(struct daemon *, const uint8_t *, size_t);
void daemon_member_joined(struct daemon *);
void daemon_member_leave(struct daemon *, bool last);
void daemon_member_stop(struct daemon *);

/* spread: versions and targets' announcements between daemons. */
void daemon_spread_start(struct daemon *);
void daemon_spread_event(struct daemon *, const struct spread_event *);
void daemon_spread_message(struct daemon *, struct daemon_id from,
                           const uint8_t *, size_t);
void daemon_spread_stop(struct daemon *);

/* table: the version in force on this daemon. */
bool daemon_table_start(struct daemon *, GError **);
void daemon_table_publish(struct daemon *);
void daemon_table_stage(struct daemon *, const struct spread_bytes *);
void daemon_table_activate(struct daemon *, uint64_t version);
const struct daemon_route *daemon_table_route(const struct daemon *,
                                              uint32_t address, uint16_t port);
void daemon_table_stop(struct daemon *);

/* target: announcements, health and load of targets. */
void daemon_target_start(struct daemon *);
void daemon_target_tick(struct daemon *, uint64_t now_us);
void daemon_target_event(struct daemon *, const struct pool_event *);
void daemon_target_announce(struct daemon *, const struct http_request *);
void daemon_target_spread(struct daemon *, const struct spread_target *);
void daemon_target_stop(struct daemon *);

/* packet: Geneve packets and flows. */
bool daemon_packet_start(struct daemon *, GError **);
void daemon_packet_tick(struct daemon *, uint64_t now_us);
void daemon_packet_event(struct daemon *, const struct flow_event *);
void daemon_packet_hand_in(struct daemon *, const uint8_t *, size_t);
void daemon_packet_relayed(struct daemon *, const uint8_t *, size_t);
void daemon_packet_message(struct daemon *, struct daemon_id from,
                           const uint8_t *, size_t);
bool daemon_packet_send(struct daemon *, uint32_t address, uint16_t port,
                        const uint8_t *, size_t);
bool daemon_packet_to_fabric(struct daemon *, const uint8_t *, size_t);
void daemon_packet_stop(struct daemon *);

/* refuse: visible ends of flows. */
void daemon_refuse_udp(struct daemon *, const uint8_t *inner, size_t);
void daemon_refuse_tcp(struct daemon *, const struct flow_packet *,
                       uint32_t target, uint16_t port,
                       const struct flow_reset *);

/* call: calls and their answers. */
void daemon_call_start(struct daemon *);
void daemon_call_event(struct daemon *, const struct call_event *);
void daemon_call_packet(struct daemon *, const struct geneve_packet *,
                        const struct daemon_route *, uint32_t outer_src,
                        bool from_target);
void daemon_call_hand_in(struct daemon *, uint64_t age_us, const uint8_t *,
                         size_t);
void daemon_call_message(struct daemon *, struct daemon_id from,
                         const uint8_t *, size_t);
void daemon_call_stop(struct daemon *);

/* api: the administration API and what it forwards. */
bool daemon_api_start(struct daemon *, GError **);
void daemon_api_request(void *, const struct http_request *);
void daemon_api_message(struct daemon *, struct daemon_id from,
                        const uint8_t *, size_t);
void daemon_api_tick(struct daemon *, uint64_t now_us);
void daemon_api_stop(struct daemon *);
void daemon_metrics_write(struct daemon *, GString *);

/* spans of a sampled flow or call */
void daemon_span(struct daemon *, uint64_t key, enum span_hop,
                 int64_t start_us, uint32_t peer);

#endif
