/*
 * The network between daemons.  For daemon A to reach daemon B, it is given
 * an address of the proxy that stands for that pair alone; B sees A's
 * packets come from the address that stands for the way back.
 */
#ifndef PS_STANDINS_LIB_PEER_PROXY_H
#define PS_STANDINS_LIB_PEER_PROXY_H

#include "lib_path.h"

struct peer_proxy;

/* One way from daemon FROM to daemon TO, by way of the address VIA. */
struct peer_way {
    uint32_t from;
    uint32_t to;
    uint32_t via;
};

struct peer_proxy *peer_proxy_new(struct path *, uint16_t port);
void peer_proxy_add(struct peer_proxy *, const struct peer_way *,
                    const struct peer_way *back);
void peer_proxy_break(struct peer_proxy *, uint32_t from, uint32_t to);

#endif
