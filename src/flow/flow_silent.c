/* Flows whose caller gets no answers any more while others do. */
#include "flow/flow_state.h"

void
flow_silent_suspect(struct flow_core *core, struct flow_pool *pool,
                    const struct flow_packet *packet, uint64_t digest)
{
    (void)core;
    (void)pool;
    (void)packet;
    (void)digest;
}

void
flow_silent_ask(struct flow_core *core, struct daemon_id from,
                const struct flow_message *message)
{
    (void)core;
    (void)from;
    (void)message;
}

void
flow_silent_answered(struct flow_core *core, struct daemon_id from,
                     const struct flow_message *message)
{
    (void)core;
    (void)from;
    (void)message;
}

void
flow_silent_tick(struct flow_core *core)
{
    (void)core;
}
