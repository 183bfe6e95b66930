/* One packet on its way to a decision, and the decisions there are. */
#ifndef PS_FLOW_FLOW_LOOK_H
#define PS_FLOW_FLOW_LOOK_H

#include "flow/flow_state.h"

#define TCP_FIN 0x01
#define TCP_SYN 0x02
#define TCP_RST 0x04
#define TCP_ACK 0x10

struct flow_look {
    struct flow_core *core;
    struct flow_route *route;
    const struct flow_packet *packet;
    uint64_t digest;
    bool udp;
    bool opening;
    bool closing;
};

/* flow_verdict.c */
struct flow_verdict flow_drop(struct flow_core *, enum flow_reason);
struct flow_verdict flow_deliver(struct flow_core *);
struct flow_verdict flow_refuse(const struct flow_look *, enum flow_reason);
struct flow_verdict flow_hand_on(const struct flow_look *, struct flow_pool *);
struct flow_verdict flow_hand_on_to(const struct flow_look *, struct pool_id,
                                    struct daemon_id);
struct flow_verdict flow_forward(const struct flow_look *, struct flow_pool *,
                                 uint32_t endpoint);

/* flow_decide.c */
bool flow_learned(const struct flow_look *, uint32_t *endpoint);
struct flow_verdict flow_at_lead(const struct flow_look *, struct flow_pool *);
struct flow_verdict flow_by_map(const struct flow_look *, struct flow_pool *);
void flow_note_flags(struct flow_core *, struct flow_pool *,
                     struct flow_entry *, uint8_t flags, bool caller);

/* flow_answer.c */
struct flow_verdict flow_target_packet(const struct flow_look *);

#endif
