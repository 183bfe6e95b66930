/* The UDP side of the network between daemons, and its list of pairs. */
#include "lib_peer_proxy.h"

#include "lib_tcp_proxy.h"

struct pair {
    struct peer_proxy *proxy;
    struct peer_way way;
    struct net_udp *udp;
    struct tcp_proxy *tcp;
};

struct peer_proxy {
    struct path *path;
    uint16_t port;
    GPtrArray *pairs;
};

static struct pair *find(struct peer_proxy *, uint32_t from, uint32_t to);
static struct pair *pair_new(struct peer_proxy *, const struct peer_way *);
static void recv_cb(void *, struct net_udp *, struct net_address,
                    const uint8_t *, size_t);

/* A proxy for no daemons yet, whose peer port is PORT. */
struct peer_proxy *
peer_proxy_new(struct path *path, uint16_t port)
{
    struct peer_proxy *proxy = g_new0(struct peer_proxy, 1);

    proxy->path = path;
    proxy->port = port;
    proxy->pairs = g_ptr_array_new();
    return proxy;
}

static struct pair *
find(struct peer_proxy *proxy, uint32_t from, uint32_t to)
{
    for (guint i = 0; i < proxy->pairs->len; i++) {
        struct pair *pair = g_ptr_array_index(proxy->pairs, i);

        if (pair->way.from == from && pair->way.to == to) {
            return pair;
        }
    }
    return NULL;
}

static struct pair *
pair_new(struct peer_proxy *proxy, const struct peer_way *way)
{
    struct pair *pair = g_new0(struct pair, 1);
    struct net_address via = {way->via, proxy->port};

    pair->proxy = proxy;
    pair->way = *way;
    pair->udp = g_new0(struct net_udp, 1);
    net_udp_open(proxy->path->loop, pair->udp, via, recv_cb, pair);
    pair->tcp = tcp_proxy_new(proxy->path, way->from, way->to, via);
    g_ptr_array_add(proxy->pairs, pair);
    return pair;
}

/* Open the ways between two daemons, WAY and BACK. */
void
peer_proxy_add(struct peer_proxy *proxy, const struct peer_way *way,
               const struct peer_way *back)
{
    pair_new(proxy, way);
    pair_new(proxy, back);
}

/* Reset the TCP connections that FROM has opened to TO. */
void
peer_proxy_break(struct peer_proxy *proxy, uint32_t from, uint32_t to)
{
    struct pair *pair = find(proxy, from, to);

    if (pair != NULL) {
        tcp_proxy_break(pair->tcp);
    }
}

/*
 * A datagram for the pair's far daemon.  It leaves by the socket of the way
 * back, so that an answer to its source takes that way.
 */
static void
recv_cb(void *arg, struct net_udp *udp, struct net_address from,
        const uint8_t *data, size_t len)
{
    struct pair *pair = arg;
    struct peer_proxy *proxy = pair->proxy;
    struct pair *back = find(proxy, pair->way.to, pair->way.from);
    struct net_address to = {pair->way.to, proxy->port};

    (void)udp;
    (void)from;
    if (back != NULL) {
        path_send(proxy->path, back->udp, pair->way.from, pair->way.to, to,
                  data, len);
    }
}
