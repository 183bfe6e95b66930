/*
 * A cache of the targets that answered flows through this daemon, and when.
 * A lost entry costs relaying a packet, never a wrong decision.
 */
#ifndef PS_FLOW_FLOW_CACHE_H
#define PS_FLOW_FLOW_CACHE_H

#include <stddef.h>
#include <stdint.h>

#define FLOW_ENDPOINT_NONE UINT32_MAX

struct flow_cached {
    uint64_t digest; /* 0: the entry is empty */
    /* Index of the target that answered, or FLOW_ENDPOINT_NONE */
    uint32_t endpoint;
    uint32_t answered_ms; /* time of its last answer */
    /* Time of this daemon's last notice of the flow to the pool owner */
    uint32_t owner_notified_s;
    /*
     * TCP: sequence number of the caller's packet seen at pending_ms; UDP:
     * time in s of the first packet
     */
    uint32_t seq;
    /*
     * Time when the segment with seq was first seen; 0: none is unanswered
     */
    uint32_t pending_ms;
    uint32_t used_s; /* time of the last use */
};

struct flow_cache {
    struct flow_cached *entries;
    uint32_t sets; /* a power of two */
};

void flow_cache_init(struct flow_cache *, uint32_t entries);
void flow_cache_clear(struct flow_cache *);
struct flow_cached *flow_cache_find(const struct flow_cache *, uint64_t);
struct flow_cached *flow_cache_add(struct flow_cache *, uint64_t,
                                   uint32_t now_s);

#endif
