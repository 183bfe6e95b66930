/* The fleet's events: packets, callers, targets, and the truth they keep. */
#ifndef PS_BENCH_FLOW_FLEET_RUN_H
#define PS_BENCH_FLOW_FLEET_RUN_H

#define FLEET_RETRY_US UINT64_C(100000) /* of a segment, doubled each time */

/* Note FLOW as broken, once. */
static inline void
fleet_break(struct fleet *fleet, struct fleet_flow *flow)
{
    if (!flow->broken) {
        flow->broken = true;
        fleet->broken++;
    }
}

/* Whether the flow's target still lives as it did when the flow opened. */
static inline bool
fleet_target_holds(struct fleet *fleet, const struct fleet_flow *flow)
{
    const struct fleet_target *target;

    if (flow->target == UINT32_MAX) {
        return false;
    }
    target = &fleet->targets[flow->target];
    return target->alive && target->view.key.incarnation == flow->incarnation;
}

static inline void
fleet_answer(struct fleet *fleet, uint32_t index, uint32_t target,
             uint8_t flags)
{
    struct fleet_event *event =
        fleet_at(fleet, fleet->now + fleet_delay(fleet), FLEET_ANSWER);

    event->flow = index;
    event->target = target;
    event->flags = flags;
    event->life = fleet->targets[target].view.key.incarnation;
}

/* The flow is, or may become, one of the target TO. */
static inline void
fleet_set_target(struct fleet *fleet, struct fleet_flow *flow, uint32_t to)
{
    flow->target = to;
    flow->incarnation = fleet->targets[to].view.key.incarnation;
    flow->pool = fleet->targets[to].pool;
}

/* The opening of a flow reaches a target; the first answer will decide. */
static inline void
fleet_opens(struct fleet *fleet, uint32_t index, uint32_t to)
{
    struct fleet_flow *flow = fleet_flow_at(fleet, index);
    struct fleet_target *target = &fleet->targets[to];

    if (flow->target != to && target->drained_us != 0 &&
        fleet->now > target->drained_us + 3000000) {
        fleet->late_new_work++;
    }
    fleet_set_target(fleet, flow, to);
    fleet_answer(fleet, index, to, FLEET_SYN | FLEET_ACK);
}

/* Whether TARGET is of the service that the flow's packets are meant for. */
static inline bool
fleet_serves(struct fleet *fleet, const struct fleet_flow *flow,
             const struct fleet_target *target)
{
    bool routed = fleet_pool_id(target->pool).value ==
                      fleet->routes[flow->route].pool.value ||
                  (fleet->edited && flow->route == 0 && target->pool == 0);

    return routed &&
           (flow->state == FLEET_FLOW_OPENING ||
            !fleet_target_holds(fleet, flow) || target->pool == flow->pool);
}

/* A packet was forwarded as VERDICT says. */
static inline void
fleet_arrives(struct fleet *fleet, const struct fleet_event *event,
              const struct flow_verdict *verdict)
{
    uint32_t to = verdict->address - FLEET_ADDRESS;
    struct fleet_flow *flow = fleet_flow_at(fleet, event->flow);
    const struct fleet_target *target = &fleet->targets[to];

    if (!target->alive ||
        fleet->now < target->changed_us + fleet->options.view_delay_max_us) {
        return; /* the daemons could not know yet */
    }
    if (verdict->incarnation != target->view.key.incarnation) {
        fleet->stale++;
    }
    if (!fleet_serves(fleet, flow, target)) {
        fleet->wrong_service++;
    }
    if (flow->state == FLEET_FLOW_OPENING) {
        fleet_opens(fleet, event->flow, to);
        return;
    }
    if ((event->flags & FLEET_SYN) != 0) {
        return; /* overtaken by its own answer */
    }
    if (to != flow->target || !fleet_target_holds(fleet, flow)) {
        if (fleet_target_holds(fleet, flow)) {
            fleet_break(fleet, flow);
        }
        return;
    }
    if (flow->silent) {
        return;
    }
    fleet_answer(fleet, event->flow, to,
                 (event->flags & FLEET_FIN) != 0 ? FLEET_FIN | FLEET_ACK
                                                 : FLEET_ACK);
}

/* The caller gets an answer. */
static inline void
fleet_caller_gets(struct fleet *fleet, const struct fleet_event *event)
{
    struct fleet_flow *flow = fleet_flow_at(fleet, event->flow);

    uint32_t from = event->packet.outer_src - FLEET_ADDRESS;

    if (fleet->targets[from].view.key.incarnation != event->target) {
        return; /* from before the target's restart */
    }
    flow->unanswered = 0;
    if (flow->state == FLEET_FLOW_OPENING) {
        fleet_set_target(fleet, flow, from);
        flow->state = FLEET_FLOW_OPEN;
        flow->opened_us = fleet->now;
        flow->unanswered++;
        fleet_caller_packet(fleet, event->flow,
                            flow->protocol == IPPROTO_TCP ? FLEET_ACK : 0);
    }
}

/* A daemon decides about a packet. */
static inline void
fleet_decide(struct fleet *fleet, const struct fleet_event *event)
{
    struct fleet_daemon *daemon = &fleet->daemons[event->daemon];
    struct fleet_flow *flow = fleet_flow_at(fleet, event->flow);
    struct flow_verdict verdict =
        flow_core_packet(daemon->core, fleet->now, &event->packet);
    struct fleet_event *next;
    uint32_t peer;

    switch (verdict.kind) {
    case FLOW_FORWARD:
        fleet_arrives(fleet, event, &verdict);
        break;
    case FLOW_RELAY:
        daemon->handed_on++;
        peer = fleet_daemon_of(fleet, verdict.peer);
        if (peer >= FLEET_DAEMONS || fleet->daemons[peer].core == NULL ||
            fleet_random(fleet, 100) < fleet->options.packet_loss_percent) {
            fleet->lost++;
            break;
        }
        next = fleet_at(fleet, fleet->now + fleet_delay(fleet), FLEET_PACKET);
        next->daemon = peer;
        next->life = fleet->daemons[peer].life;
        next->flow = event->flow;
        next->flags = event->flags;
        next->target = event->target;
        next->packet = event->packet;
        next->packet.hops = verdict.hops;
        next->packet.pool = verdict.pool;
        break;
    case FLOW_DELIVER:
        fleet_caller_gets(fleet, event);
        break;
    case FLOW_RESET:
        fleet->refused++;
        if (flow->state == FLEET_FLOW_OPEN &&
            fleet_target_holds(fleet, flow)) {
            fleet_break(fleet, flow);
        }
        break;
    case FLOW_DROP:
        fleet->lost++;
        break;
    case FLOW_VERDICT__MAX:
        break;
    }
}

/* A target's answer enters the fabric. */
static inline void
fleet_target_sends(struct fleet *fleet, const struct fleet_event *event)
{
    const struct fleet_flow *flow = fleet_flow_at(fleet, event->flow);
    uint32_t daemon = fleet_any_daemon(fleet);
    struct fleet_event *next;

    if (daemon == UINT32_MAX || !fleet->targets[event->target].alive ||
        fleet->targets[event->target].view.key.incarnation != event->life) {
        return;
    }
    next = fleet_at(fleet, fleet->now, FLEET_PACKET);
    next->daemon = daemon;
    next->life = fleet->daemons[daemon].life;
    next->flow = event->flow;
    next->flags = event->flags;
    next->packet.src = fleet->routes[flow->route].address;
    next->packet.src_port = 443;
    next->packet.dst = flow->src;
    next->packet.dst_port = flow->port;
    next->packet.protocol = flow->protocol;
    next->packet.tcp_flags = event->flags;
    next->target = event->life;
    next->packet.outer_src = fleet->targets[event->target].view.key.address;
}

/* The caller's next packet of a flow. */
static inline void
fleet_caller(struct fleet *fleet, const struct fleet_event *event)
{
    struct fleet_flow *flow = fleet_flow_at(fleet, event->flow);
    uint64_t wait = flow->period_us;
    bool tcp = flow->protocol == IPPROTO_TCP;

    if (flow->broken || flow->state == FLEET_FLOW_ENDED) {
        return;
    }
    if (flow->state == FLEET_FLOW_OPENING) {
        wait = FLEET_SYN_TRY;
        fleet_caller_packet(fleet, event->flow, tcp ? FLEET_SYN : 0);
    }
    else if (flow->end_us != 0 && fleet->now >= flow->end_us) {
        flow->state = FLEET_FLOW_ENDED;
        fleet_caller_packet(fleet, event->flow,
                            tcp ? FLEET_FIN | FLEET_ACK : 0);
        return;
    }
    else {
        flow->unanswered++;
        if (flow->silent && flow->silent_us != 0) {
            wait = FLEET_RETRY_US << flow->unanswered;
        }
        else {
            flow->seq += 100;
            flow->unanswered = flow->silent ? 1 : flow->unanswered;
            flow->silent_us = flow->silent ? fleet->now : 0;
            wait = flow->silent ? FLEET_RETRY_US * 2 : wait;
        }
        fleet_caller_packet(fleet, event->flow, tcp ? FLEET_ACK : 0);
    }
    fleet_at(fleet, fleet->now + wait, FLEET_CALLER)->flow = event->flow;
}

/* Give the daemon an event of a view or a message. */
static inline void
fleet_tell(struct fleet *fleet, const struct fleet_event *event)
{
    struct flow_event told;
    struct flow_message message;
    struct pool_view pool;

    memset(&told, 0, sizeof(told));
    memset(&pool, 0, sizeof(pool));
    if (event->kind == FLEET_MESSAGE) {
        told.kind = FLOW_EV_MESSAGE;
        told.u.message.from = fleet_daemon_id(event->from);
        told.u.message.message = &message;
        if (flow_wire_unpack(event->bytes->data, event->bytes->len,
                             &message)) {
            fleet_step(fleet, event->daemon, &told);
            flow_message_clear(&message);
        }
        return;
    }
    if (event->kind == FLEET_DAEMONS_VIEW) {
        told.kind = FLOW_EV_DAEMONS;
        told.u.daemons.items =
            (const struct daemon_view *)(void *)event->bytes->data;
        told.u.daemons.count = event->bytes->len / sizeof(struct daemon_view);
    }
    if (event->kind == FLEET_POOL_VIEW) {
        told.kind = FLOW_EV_POOL;
        pool.id = fleet_pool_id(event->target);
        pool.prefer = fleet->prefer[event->target];
        pool.targets = (const struct target_view *)(void *)event->bytes->data;
        pool.target_count = event->bytes->len / sizeof(struct target_view);
        told.u.pool = &pool;
    }
    if (event->kind == FLEET_ROUTES_VIEW) {
        told.kind = FLOW_EV_ROUTES;
        told.u.routes.items =
            (const struct route_view *)(void *)event->bytes->data;
        told.u.routes.count = event->bytes->len / sizeof(struct route_view);
        told.u.routes.version = event->target;
    }
    if (event->kind == FLEET_TICK) {
        told.kind = FLOW_EV_TICK;
    }
    fleet_step(fleet, event->daemon, &told);
}

/* Handle one event; those for a daemon that has ended are dropped. */
static inline void
fleet_handle(struct fleet *fleet, const struct fleet_event *event)
{
    bool lives = fleet->daemons[event->daemon].core != NULL &&
                 fleet->daemons[event->daemon].life == event->life;

    switch (event->kind) {
    case FLEET_CALLER:
        fleet_caller(fleet, event);
        break;
    case FLEET_ANSWER:
        fleet_target_sends(fleet, event);
        break;
    case FLEET_PACKET:
        if (lives) {
            fleet_decide(fleet, event);
        }
        break;
    case FLEET_TICK:
        if (lives) {
            struct fleet_event *next =
                fleet_at(fleet, fleet->now + FLEET_TICK_US, FLEET_TICK);

            next->daemon = event->daemon;
            next->life = event->life;
            fleet_tell(fleet, event);
        }
        break;
    case FLEET_MESSAGE:
    case FLEET_DAEMONS_VIEW:
    case FLEET_POOL_VIEW:
    case FLEET_ROUTES_VIEW:
        if (lives) {
            fleet_tell(fleet, event);
        }
        break;
    }
}

/* Let US of time pass. */
static inline void
fleet_run(struct fleet *fleet, uint64_t us)
{
    uint64_t until = fleet->now + us;

    while (fleet->heap->len > 0 && fleet_heap(fleet)[0]->at <= until) {
        struct fleet_event *event = fleet_pop(fleet);

        fleet->now = event->at;
        fleet_handle(fleet, event);
        if (event->bytes != NULL) {
            g_byte_array_unref(event->bytes);
        }
        g_free(event);
    }
    fleet->now = until;
}

#endif
