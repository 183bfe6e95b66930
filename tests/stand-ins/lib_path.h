/*
 * The faulted network between two sockets: a datagram sent through here is
 * lost, doubled or late as the rules say.
 */
#ifndef PS_STANDINS_LIB_PATH_H
#define PS_STANDINS_LIB_PATH_H

#include "lib_fault.h"
#include "lib_net.h"

struct path_counters {
    uint64_t passed;
    uint64_t lost;
    uint64_t doubled;
    uint64_t delayed;
};

struct path {
    uv_loop_t *loop;
    struct fault_rules *rules;
    struct path_counters counters;
};

void path_send(struct path *, struct net_udp *, uint32_t src, uint32_t dst,
               struct net_address to, const uint8_t *, size_t);

#endif
