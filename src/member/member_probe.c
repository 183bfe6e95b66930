/* Probes: each daemon in turn, directly and through helpers. */
#include "member/member_priv.h"

static uint64_t timeout_us(const struct member_core *, const struct member *);
static struct probe *add_probe(struct member_core *, struct daemon_id);
static void send_ping(struct member_core *, uint32_t address, uint32_t seq,
                      const struct member *);
static void ask_helpers(struct member_core *, const struct member *,
                        uint32_t seq);
static void check_relayed(struct member_core *, struct probe *);
static void check_own(struct member_core *, struct probe *);
static void fail(struct member_core *, struct probe *);
static void refill_rotation(struct member_core *);
static struct member *next_in_rotation(struct member_core *);
static struct probe *find_probe(struct member_core *, uint32_t seq);
static void relay_answer(struct member_core *, const struct probe *,
                         enum member_message_kind);
static uint32_t next_lost_address(struct member_core *);

/* How long a direct answer from MEMBER may take. */
static uint64_t
timeout_us(const struct member_core *core, const struct member *member)
{
    uint64_t limit = core->options.probe_timeout_ms * US_PER_MS;
    uint64_t slow = MIN(3 * member->rtt_us, RTT_TIMEOUT_MAX_MS * US_PER_MS);

    return MAX(limit, slow) * (core->health + 1);
}

static struct probe *
add_probe(struct member_core *core, struct daemon_id target)
{
    struct probe probe = {.target = target, .sent_us = core->now_us};

    probe.seq = ++core->seq;
    g_array_append_val(core->probes, probe);
    return &g_array_index(core->probes, struct probe, core->probes->len - 1);
}

/* Send a PING; TO is NULL if only an address is known. */
static void
send_ping(struct member_core *core, uint32_t address, uint32_t seq,
          const struct member *to)
{
    struct member_message *message = member_start(core, MEMBER_PING);

    message->seq = seq;
    if (to == NULL) {
        member_attach(core, message, core->self);
    }
    member_send(core, address, message, to);
}

/* Ask a few peers to probe MEMBER for this daemon. */
static void
ask_helpers(struct member_core *core, const struct member *member,
            uint32_t seq)
{
    for (int i = 0; i < HELPERS; i++) {
        struct member *helper = member_random_peer(core);
        struct member_message *message;

        if (helper == NULL || helper == member) {
            continue;
        }
        message = member_start(core, MEMBER_PING_REQ);
        message->seq = seq;
        message->target = member->id;
        message->target_address = member->record.address;
        if (member->record.status != MEMBER_OK) {
            member_attach(core, message, member);
        }
        member_send(core, helper->record.address, message, helper);
        core->counters.probes_indirect++;
    }
}

/* Probe MEMBER once, out of turn; its failure alone tells nothing. */
void
member_ping(struct member_core *core, struct member *member)
{
    struct probe *probe;

    if (core->out == NULL || member == core->self) {
        return;
    }
    probe = add_probe(core, member->id);
    probe->retry = true;
    send_ping(core, member->record.address, probe->seq, member);
}

/* Probe a suspect directly and through helpers at once. */
void
member_probe_suspect(struct member_core *core, struct member *member)
{
    struct probe *probe = add_probe(core, member->id);
    uint32_t seq = probe->seq;

    probe->retry = true;
    send_ping(core, member->record.address, seq, member);
    ask_helpers(core, member, seq);
}

/* A probe for another daemon: tell it if there was no answer in time. */
static void
check_relayed(struct member_core *core, struct probe *probe)
{
    if (!probe->answered && !probe->nacked &&
        core->now_us >= probe->timeout_us) {
        probe->nacked = true;
        relay_answer(core, probe, MEMBER_NACK);
    }
}

/* An own probe in turn: first helpers, then suspicion. */
static void
check_own(struct member_core *core, struct probe *probe)
{
    struct member *member = member_find(core, probe->target);

    if (probe->answered || probe->failed || probe->retry || member == NULL) {
        return;
    }
    if (!probe->indirect && core->now_us >= probe->timeout_us) {
        probe->indirect = true;
        send_ping(core, member->record.address, probe->seq, member);
        ask_helpers(core, member, probe->seq);
        return;
    }
    if (core->now_us >= probe->deadline_us) {
        fail(core, probe);
    }
}

/*
 * PROBE was not answered.  Where not even a helper said anything, this daemon
 * may itself be cut off or slow: its health gets worse.
 */
static void
fail(struct member_core *core, struct probe *probe)
{
    struct member *member = member_find(core, probe->target);

    probe->failed = true;
    core->counters.probes_failed++;
    if (!probe->nacked && member_peer_count(core) > 1) {
        core->health = MIN(core->health + 1, HEALTH_MAX);
    }
    member_suspect(core, member, true);
    member->confirmed |= probe->nacked;
}

/* Shuffle the peers into a new round. */
static void
refill_rotation(struct member_core *core)
{
    g_array_set_size(core->rotation, 0);
    core->rotation_next = 0;
    for (guint i = 0; i < core->order->len; i++) {
        const struct member *member = g_ptr_array_index(core->order, i);

        if (member_is_peer(core, member)) {
            g_array_append_val(core->rotation, member->id);
        }
    }
    for (guint i = core->rotation->len; i > 1; i--) {
        struct daemon_id *ids = (struct daemon_id *)core->rotation->data;
        guint other = (guint)g_rand_int_range(core->rand, 0, (gint32)i);
        struct daemon_id swap = ids[i - 1];

        ids[i - 1] = ids[other];
        ids[other] = swap;
    }
}

static struct member *
next_in_rotation(struct member_core *core)
{
    guint tries = core->rotation->len + 1;

    for (guint i = 0; i < tries; i++) {
        struct member *member;

        if (core->rotation_next >= core->rotation->len) {
            refill_rotation(core);
            if (core->rotation->len == 0) {
                return NULL;
            }
        }
        member =
            member_find(core, g_array_index(core->rotation, struct daemon_id,
                                            core->rotation_next++));
        if (member != NULL && member_is_peer(core, member) &&
            !(member->record.status == MEMBER_SUSPECT && member->first_hand)) {
            return member;
        }
    }
    return NULL;
}

/* Follow up the probes under way and begin the next in turn. */
void
member_probe_tick(struct member_core *core)
{
    uint64_t kept_us = PROBE_KEPT_MS * US_PER_MS * (core->health + 1);
    uint64_t interval_us = core->options.probe_interval_ms * US_PER_MS *
                           member_health_factor(core);
    struct member *member;
    struct probe *probe;

    for (guint i = core->probes->len; i-- > 0;) {
        probe = &g_array_index(core->probes, struct probe, i);
        if (probe->answered || core->now_us - probe->sent_us > kept_us) {
            g_array_remove_index_fast(core->probes, i);
        }
        else if (probe->origin_seq != 0) {
            check_relayed(core, probe);
        }
        else {
            check_own(core, probe);
        }
    }
    core->counters.gauge_health = core->health;
    if (core->now_us < core->probe_us) {
        return;
    }
    core->probe_us = core->now_us + interval_us;
    member = next_in_rotation(core);
    if (member == NULL) {
        return;
    }
    core->counters.probes++;
    probe = add_probe(core, member->id);
    probe->timeout_us = core->now_us + timeout_us(core, member);
    probe->deadline_us =
        core->now_us + MAX(interval_us, 3 * timeout_us(core, member));
    send_ping(core, member->record.address, probe->seq, member);
}

/* The address of a dead daemon or an unknown seed, in turn; 0 if none. */
static uint32_t
next_lost_address(struct member_core *core)
{
    guint known = core->order->len;
    guint total = known + (guint)core->options.seed_count;

    for (guint i = 0; i < total; i++) {
        guint index = core->reconnect_next++ % total;
        const struct member *member;
        bool live = false;
        uint32_t address;

        if (index < known) {
            member = g_ptr_array_index(core->order, index);
            if (member->record.status == MEMBER_DEAD || member->unproved) {
                return member->record.address;
            }
            continue;
        }
        address = core->seeds[index - known];
        for (guint j = 0; j < known && !live; j++) {
            member = g_ptr_array_index(core->order, j);
            live = member->record.address == address &&
                   member->record.status != MEMBER_LEFT;
        }
        if (!live) {
            return address;
        }
    }
    return 0;
}

/* Try one dead daemon or unknown seed from time to time. */
void
member_reconnect(struct member_core *core)
{
    struct member *dead = NULL;
    uint32_t address;

    if (core->now_us < core->reconnect_us) {
        return;
    }
    core->reconnect_us = core->now_us + RECONNECT_MS * US_PER_MS;
    address = next_lost_address(core);
    if (address == 0) {
        return;
    }
    for (guint i = 0; i < core->order->len && dead == NULL; i++) {
        struct member *member = g_ptr_array_index(core->order, i);

        if (member->record.address == address &&
            (member->record.status == MEMBER_DEAD || member->unproved)) {
            dead = member;
        }
    }
    if (dead != NULL) {
        member_ping(core, dead);
        return;
    }
    send_ping(core, address, add_probe(core, (struct daemon_id){0})->seq,
              NULL);
}

static struct probe *
find_probe(struct member_core *core, uint32_t seq)
{
    for (guint i = 0; i < core->probes->len; i++) {
        struct probe *probe = &g_array_index(core->probes, struct probe, i);

        if (probe->seq == seq) {
            return probe;
        }
    }
    return NULL;
}

/* Answer FROM; tell it this daemon's record if it knew an older one. */
void
member_on_ping(struct member_core *core, uint32_t from,
               const struct member_message *ping)
{
    struct member_message *message = member_start(core, MEMBER_ACK);
    bool named = false;

    for (size_t i = 0; i < ping->record_count; i++) {
        named |= view_daemon_id(ping->records[i].name).value ==
                 core->self->id.value;
    }
    message->seq = ping->seq;
    message->target = core->self->id;
    if (named || member_find(core, ping->from) == NULL) {
        member_attach(core, message, core->self);
    }
    member_send(core, from, message, member_find(core, ping->from));
}

/* Probe the target for FROM. */
void
member_on_ping_req(struct member_core *core, uint32_t from,
                   const struct member_message *request)
{
    uint64_t limit_us = core->options.probe_timeout_ms * US_PER_MS;
    struct member *member = member_find(core, request->target);
    struct probe *probe = add_probe(core, request->target);

    probe->origin_seq = request->seq;
    probe->origin_address = from;
    probe->timeout_us =
        core->now_us + (member == NULL ? limit_us : timeout_us(core, member));
    send_ping(core, request->target_address, probe->seq, member);
}

/* Tell the daemon that asked how the probe for it went. */
static void
relay_answer(struct member_core *core, const struct probe *probe,
             enum member_message_kind kind)
{
    struct member_message *message = member_start(core, kind);
    const struct member *target = member_find(core, probe->target);

    message->seq = probe->origin_seq;
    message->target = probe->target;
    if (target != NULL) {
        member_attach(core, message, target);
    }
    member_send(core, probe->origin_address, message, NULL);
}

/* An ACK or NACK: of an own probe, or of one for another daemon. */
void
member_on_answer(struct member_core *core, const struct member_message *answer)
{
    struct probe *probe = find_probe(core, answer->seq);
    struct member *member;

    if (probe == NULL || probe->answered) {
        return;
    }
    if (probe->target.value == 0) {
        probe->target = answer->target;
    }
    member = member_find(core, probe->target);
    if (probe->target.value != answer->target.value || member == NULL) {
        return;
    }
    if (answer->kind == MEMBER_NACK) {
        probe->nacked = true;
        member->confirmed |= member->first_hand;
        return;
    }
    probe->answered = true;
    if (probe->origin_seq == 0 && !probe->retry && !probe->indirect) {
        uint64_t sample = core->now_us - probe->sent_us;

        member->rtt_us =
            member->rtt_us == 0 ? sample : (7 * member->rtt_us + sample) / 8;
    }
    if (probe->origin_seq == 0 && !probe->retry && core->health > 0) {
        core->health--;
    }
    if (probe->origin_seq != 0) {
        struct probe copy = *probe;

        relay_answer(core, &copy, MEMBER_ACK);
    }
    member_answered(core, member);
}
