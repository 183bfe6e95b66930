/*
 * What a daemon learned from passing packets: the target that answered a flow
 * and when.  A lost entry costs a hand-on, never a wrong decision.
 */
#ifndef PS_FLOW_FLOW_CACHE_H
#define PS_FLOW_FLOW_CACHE_H

#include <stddef.h>
#include <stdint.h>

#define FLOW_ENDPOINT_NONE UINT32_MAX

struct flow_cached {
    uint64_t digest;      /* 0 is empty */
    uint32_t endpoint;    /* that answered, or FLOW_ENDPOINT_NONE */
    uint32_t answered_ms; /* when it did last */
    uint32_t touched_s;   /* when the lead heard of the flow from here */
    uint32_t seq;         /* TCP: of the caller's packet seen at asked_ms;
                            UDP: second of the first packet */
    uint32_t asked_ms;    /* 0: nothing unanswered */
    uint32_t used_s;
};

struct flow_cache {
    struct flow_cached *entries;
    uint32_t sets;
};

void flow_cache_init(struct flow_cache *, uint32_t entries);
void flow_cache_clear(struct flow_cache *);
struct flow_cached *flow_cache_find(const struct flow_cache *, uint64_t);
struct flow_cached *flow_cache_add(struct flow_cache *, uint64_t,
                                   uint32_t now_s);

#endif
