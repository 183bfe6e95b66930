/*
 * The other side of a fabric whose packets carry a cookie: a router, hosts and
 * callers, in one process.  What each of them sees is checked
 * against the promises; the counts are given on request.
 */
#ifndef PS_STANDINS_COOKIE_SIDE_H
#define PS_STANDINS_COOKIE_SIDE_H

#include <uv.h>

#include <glib.h>

#include "lib_net.h"
#include "platform.h"

#define SIDE_ENTRIES_MAX  16
#define SIDE_CONTROLS_MAX 8
#define SIDE_HOSTS_MAX    32
#define SIDE_NAME_MAX     256 /* bytes of a name in DNS with its NUL */

/* What was found broken, and how much was done. */
struct side_counts {
    uint64_t asked;
    uint64_t served;
    uint64_t failed;     /* requests given up */
    uint64_t reset_open; /* open flows reset by no host, host alive */
    uint64_t mixed;      /* answers of another host than the flow's */
    uint64_t wrong_pool; /* openings at a host of another service */
    uint64_t drained;    /* openings at a host that drains for too long */
    uint64_t ran_twice;  /* requests that two hosts ran, or one again */
    uint64_t downloads;  /* large answers that came whole */
    uint64_t torn;       /* large answers with a wrong or foreign part */
};

/* A large answer: so many parts, of which a few are in flight. */
#define SIDE_PARTS  34
#define SIDE_WINDOW 16

/* A route's port says what its flows carry. */
#define SIDE_PORT_FEEDS    81
#define SIDE_PORT_BOOKS    82
#define SIDE_PORT_DOWNLOAD 83

struct side_host {
    unsigned number;
    uint64_t id;
    uint64_t born;
    uint64_t sequence;
    char service[SIDE_NAME_MAX];
    char zone[SIDE_NAME_MAX];
    struct net_address address;
    struct net_udp udp;
    bool alive;
    bool draining;
    bool leaving;            /* says so at its next announcement */
    uint64_t drain_acked_ms; /* 0 if it was not acknowledged */
    bool calling;            /* an announcement is on its way */
    GHashTable *flows;       /* caller's port -> answers given */
    GHashTable *sent;        /* caller's port -> parts of a large answer */
    struct side *side;
};

struct side_flow {
    uint16_t port;
    uint16_t route_port;
    bool open;
    uint32_t cookie;
    uint64_t host;    /* 0 before it is open */
    uint32_t request; /* its number within the flow */
    uint32_t requests;
    bool waiting;
    unsigned tries;
    uint64_t sent_ms;
    uint64_t due_ms;
    unsigned copies; /* of the opening */
    unsigned parts;  /* of a large answer, that came in order */
};

struct side_entry {
    struct net_address packets;
    struct net_address readiness;
    bool ready;
    unsigned misses;
    bool probing;
};

struct side {
    uv_loop_t loop;
    uv_timer_t tick;
    struct net_udp callers;
    struct side_entry entries[SIDE_ENTRIES_MAX];
    size_t entry_count;
    struct net_address controls[SIDE_CONTROLS_MAX];
    size_t control_count;
    struct side_host hosts[SIDE_HOSTS_MAX];
    size_t host_count;
    GHashTable *flows; /* port -> struct side_flow */
    GHashTable *ran;   /* request's text -> host; each runs once */
    uint16_t next_port;
    unsigned flows_wanted;
    unsigned downloads_wanted; /* of the flows */
    uint32_t route_address;
    uint64_t drain_ms;
    uint64_t next_probe_ms;
    uint64_t next_beat_ms;
    uint64_t host_seed;
    struct side_counts counts;
};

/* cookie_http.c: calls, each on a thread of the loop's pool. */
void side_probe(struct side *, struct side_entry *);
void side_announce(struct side *, struct side_host *);
void side_leave(struct side *, struct side_host *);

/* cookie_download.c: both ends of large answers. */
struct affinity_packet;
void side_download_ask(struct side_host *, const struct affinity_packet *);
void side_download_acked(struct side_host *, const struct affinity_packet *);
bool side_download_take(struct side *, struct side_flow *,
                        const struct affinity_packet *, const char *text);

/* cookie_packet.c: hosts' and callers' ends of flows. */
void side_host_send(struct side_host *, const struct affinity_packet *to,
                    uint32_t sequence, unsigned flags, const char *data);
void side_caller_send(struct side *, struct side_flow *, unsigned flags,
                      const char *data);
void side_on_host(void *, struct net_udp *, struct net_address,
                  const uint8_t *, size_t);
void side_on_caller(void *, struct net_udp *, struct net_address,
                    const uint8_t *, size_t);
void side_flows_tick(struct side *, uint64_t now_ms);

#endif
