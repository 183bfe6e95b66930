/*
 * One TCP way between two daemons: delay holds pieces back in order, loss
 * holds them longer (as a retransmission would), a cut stops them without
 * closing anything.
 */
#ifndef PS_STANDINS_LIB_TCP_PROXY_H
#define PS_STANDINS_LIB_TCP_PROXY_H

#include "lib_path.h"

struct tcp_proxy;

struct tcp_proxy *tcp_proxy_new(struct path *, uint32_t from, uint32_t to,
                                struct net_address via);
void tcp_proxy_break(struct tcp_proxy *);

#endif
