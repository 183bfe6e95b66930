/* The packet being decided on, and the functions that decide. */
#ifndef PS_FLOW_FLOW_CONTEXT_H
#define PS_FLOW_FLOW_CONTEXT_H

#include "flow/flow_state.h"

#define TCP_FIN 0x01
#define TCP_SYN 0x02
#define TCP_RST 0x04
#define TCP_ACK 0x10

struct flow_context {
    struct flow_core *core;
    struct flow_route *route;
    const struct flow_packet *packet;
    uint64_t digest;
    bool udp;
    bool syn;     /* TCP: SYN of the caller, or SYN-ACK of the target */
    bool closing; /* TCP: FIN or RST */
};

/* flow_verdict.c */
struct flow_verdict flow_drop(struct flow_core *, enum flow_reason);
struct flow_verdict flow_deliver(struct flow_core *);
struct flow_verdict flow_reject(const struct flow_context *, enum flow_reason);
struct flow_verdict flow_relay_to_owner(const struct flow_context *,
                                        struct flow_pool *);
struct flow_verdict flow_relay(const struct flow_context *, struct pool_id,
                               struct daemon_id);
struct flow_verdict flow_forward(const struct flow_context *,
                                 struct flow_pool *, uint32_t endpoint_index);

/* flow_decide.c */
bool flow_learned_target(const struct flow_context *, uint32_t *endpoint);
struct flow_verdict flow_decide_as_owner(const struct flow_context *,
                                         struct flow_pool *);
struct flow_verdict flow_decide_by_map(const struct flow_context *,
                                       struct flow_pool *);
void flow_apply_tcp_flags(struct flow_core *, struct flow_pool *,
                          struct flow_entry *, uint8_t flags, bool caller);

/* flow_answer.c */
struct flow_verdict flow_answer_packet(const struct flow_context *);

#endif
