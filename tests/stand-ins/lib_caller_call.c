/*
 * Calls of the callers.  A request without an answer is sent again under its
 * id; one that was refused as not run is made anew under another id, while
 * its deadline and its retries last.  Each sending may be answered once; one
 * answer more than that is an extra one.
 */
#include "lib_caller.h"

#include <string.h>

#define FIRST_PORT  20000
#define PORTS       20000
#define REQUEST_LEN 200   /* bytes of each part */
#define GRACE_MS    1000  /* behind the deadline, for an answer on its way */
#define KEPT_MS     20000 /* a settled call is known, to see late answers */

enum outcome {
    OUTCOME_OPEN,
    OUTCOME_ANSWERED,
    OUTCOME_NOT_RUN,
    OUTCOME_UNKNOWN,
    OUTCOME_TIMEOUT,
    OUTCOME__MAX
};

static const char *const outcome_names[OUTCOME__MAX] = {
    [OUTCOME_OPEN] = "open",       [OUTCOME_ANSWERED] = "answered",
    [OUTCOME_NOT_RUN] = "not_run", [OUTCOME_UNKNOWN] = "unknown",
    [OUTCOME_TIMEOUT] = "timeout",
};

struct call {
    uint64_t id;
    uint32_t src;
    uint16_t src_port;
    bool idempotent;
    uint32_t parts;
    uint32_t answer_parts; /* one bit for each that came */
    unsigned sendings;     /* of the request, by ourselves */
    unsigned answers[CALL_PARTS_MAX];
    uint32_t target;
    uint64_t sent_ms;
    uint64_t deadline_ms;
    uint64_t resend_ms;
    uint64_t settled_ms;
    unsigned retries;
    enum outcome outcome;
};

struct caller_calls {
    struct caller *caller;
    GHashTable *by_id;
    GQueue *open;    /* struct call, oldest first */
    GQueue *settled; /* struct call, oldest first */
    uint64_t counts[OUTCOME__MAX];
    uint64_t sent, extra, wrong, retried;
    uint64_t last_ms;
    double credit;
    uint64_t next_id;
    uint64_t wait_total_ms, wait_max_ms;
};

static void call_new(struct caller_calls *, uint64_t now_ms,
                     uint64_t deadline_ms, unsigned retries);
static void send_request(struct caller_calls *, struct call *,
                         uint64_t now_ms);
static void settle(struct caller_calls *, struct call *, enum outcome,
                   const char *reason);
static void on_answer(struct caller_calls *, struct call *,
                      const struct geneve_packet *,
                      const struct call_option *);
static void report(struct caller_calls *, const char *event, uint64_t id,
                   const struct geneve_packet *);
static void call_tick(struct caller_calls *, struct call *, uint64_t now_ms);

struct caller_calls *
caller_calls_new(struct caller *caller)
{
    struct caller_calls *calls = g_new0(struct caller_calls, 1);

    calls->caller = caller;
    calls->by_id =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    calls->open = g_queue_new();
    calls->settled = g_queue_new();
    calls->last_ms = net_now_ms();
    calls->next_id = (uint64_t)caller->inner << 24 & 0x7fffffffffffffff;
    return calls;
}

static void
call_new(struct caller_calls *calls, uint64_t now_ms, uint64_t deadline_ms,
         unsigned retries)
{
    struct caller *caller = calls->caller;
    const struct caller_options *options = &caller->options;
    struct call *call = g_new0(struct call, 1);

    call->id = ++calls->next_id;
    call->src = caller->inner + (uint32_t)(call->id % options->callers);
    call->src_port =
        (uint16_t)(FIRST_PORT + call->id / options->callers % PORTS);
    call->idempotent =
        g_rand_int_range(caller->random, 0, 100) < options->idempotent_percent;
    call->parts =
        (uint32_t)g_rand_int_range(caller->random, 1, options->parts_max + 1);
    call->sent_ms = now_ms;
    call->deadline_ms = deadline_ms;
    call->retries = retries;
    call->resend_ms = options->resend_ms == 0
                          ? UINT64_MAX
                          : now_ms + (uint64_t)options->resend_ms;
    g_hash_table_insert(calls->by_id, &call->id, call);
    g_queue_push_tail(calls->open, call);
    calls->sent++;
    ledger_write(caller->ledger, "sent",
                 json_pack("{s:I,s:b,s:i}", "id", (json_int_t)call->id,
                           "idempotent", call->idempotent ? 1 : 0, "parts",
                           (int)call->parts));
    send_request(calls, call, now_ms);
}

static void
send_request(struct caller_calls *calls, struct call *call, uint64_t now_ms)
{
    struct caller *caller = calls->caller;
    uint8_t data[GENEVE_OPTION_CALL_MAX], payload[TAG_LEN_MAX];

    call->sendings++;
    for (uint32_t part = 0; part < call->parts; part++) {
        struct call_option option = {
            .id = call->id,
            .attempt = 1,
            .deadline_ms = (uint32_t)(call->deadline_ms - now_ms),
            .kind = CALL_REQUEST,
            .idempotent = call->idempotent,
            .part = part,
            .parts = call->parts,
        };
        struct tag tag = {caller->service_tag, call->id, 0, part, REQUEST_LEN};
        struct geneve_build build = {
            .src = call->src,
            .dst = caller->service.ip,
            .src_port = call->src_port,
            .dst_port = caller->service.port,
            .call = data,
            .payload = payload,
        };

        build.call_len = call_option_encode(&option, data, sizeof(data));
        build.payload_len = tag_write(&tag, payload, sizeof(payload));
        caller_send_udp(caller, &build);
    }
}

/* CALL has ended as OUTCOME. */
static void
settle(struct caller_calls *calls, struct call *call, enum outcome outcome,
       const char *reason)
{
    uint64_t now_ms = net_now_ms();
    uint64_t waited_ms = now_ms - call->sent_ms;
    char target[NET_TEXT_MAX];

    net_format_ip(call->target, target, sizeof(target));
    call->outcome = outcome;
    call->settled_ms = now_ms;
    calls->counts[outcome]++;
    g_queue_remove(calls->open, call);
    g_queue_push_tail(calls->settled, call);
    if (outcome == OUTCOME_ANSWERED) {
        calls->wait_total_ms += waited_ms;
        calls->wait_max_ms = MAX(calls->wait_max_ms, waited_ms);
    }
    ledger_write(calls->caller->ledger, "outcome",
                 json_pack("{s:I,s:s,s:s,s:I,s:b,s:s}", "id",
                           (json_int_t)call->id, "outcome",
                           outcome_names[outcome], "target", target,
                           "waited_ms", (json_int_t)waited_ms, "idempotent",
                           call->idempotent ? 1 : 0, "reason", reason));
    if (outcome == OUTCOME_NOT_RUN && call->retries > 0 &&
        now_ms < call->deadline_ms && !calls->caller->stopping) {
        calls->retried++;
        call_new(calls, now_ms, call->deadline_ms, call->retries - 1);
    }
}

/* Record an answer that should not have come here. */
static void
report(struct caller_calls *calls, const char *event, uint64_t id,
       const struct geneve_packet *packet)
{
    char to[NET_TEXT_MAX];

    net_format_ip(packet->dst, to, sizeof(to));
    ledger_write(calls->caller->ledger, event,
                 json_pack("{s:I,s:s}", "id", (json_int_t)id, "to", to));
}

static void
on_answer(struct caller_calls *calls, struct call *call,
          const struct geneve_packet *packet, const struct call_option *option)
{
    uint32_t bit = 1U << option->part;
    struct tag tag;

    if (!tag_read(packet->payload, packet->payload_len, &tag) ||
        tag.service != calls->caller->service_tag || tag.id != call->id ||
        tag.part != option->part || option->parts != call->parts ||
        packet->src != calls->caller->service.ip) {
        calls->wrong++;
        report(calls, "wrong_answer", call->id, packet);
        return;
    }
    if (call->outcome == OUTCOME_NOT_RUN) {
        calls->extra++;
        report(calls, "answer_after_not_run", call->id, packet);
        return;
    }
    if (++call->answers[option->part] > call->sendings) {
        calls->extra++;
        report(calls, "extra_answer", call->id, packet);
    }
    if ((call->answer_parts & bit) != 0 || call->outcome != OUTCOME_OPEN) {
        return;
    }
    call->target = tag.from;
    call->answer_parts |= bit;
    if (call->answer_parts == (1U << call->parts) - 1) {
        settle(calls, call, OUTCOME_ANSWERED, "");
    }
}

/* Take a packet with a call option that the fabric gave us. */
void
caller_calls_packet(struct caller_calls *calls,
                    const struct geneve_packet *packet,
                    const struct call_option *option)
{
    struct call *call = g_hash_table_lookup(calls->by_id, &option->id);
    char reason[64] = "";

    if (call == NULL || packet->dst != call->src ||
        packet->dst_port != call->src_port) {
        calls->wrong++;
        report(calls, "stray_answer", option->id, packet);
        return;
    }
    if (option->kind == CALL_ANSWER) {
        on_answer(calls, call, packet, option);
        return;
    }
    if (call->outcome != OUTCOME_OPEN) {
        if (option->kind == CALL_NOT_RUN &&
            call->outcome == OUTCOME_ANSWERED) {
            report(calls, "not_run_after_answer", call->id, packet);
        }
        return;
    }
    for (size_t i = 0; i < packet->payload_len && i < sizeof(reason) - 1;
         i++) {
        reason[i] = g_ascii_isprint(packet->payload[i])
                        ? (char)packet->payload[i]
                        : '.';
    }
    if (option->kind == CALL_NOT_RUN) {
        settle(calls, call, OUTCOME_NOT_RUN, reason);
    }
    else if (option->kind == CALL_OUTCOME_UNKNOWN) {
        settle(calls, call, OUTCOME_UNKNOWN, reason);
    }
}

static void
call_tick(struct caller_calls *calls, struct call *call, uint64_t now_ms)
{
    if (now_ms >= call->deadline_ms + GRACE_MS) {
        settle(calls, call, OUTCOME_TIMEOUT, "");
    }
    else if (now_ms >= call->resend_ms && now_ms < call->deadline_ms) {
        call->resend_ms = now_ms + (uint64_t)calls->caller->options.resend_ms;
        send_request(calls, call, now_ms);
    }
}

void
caller_calls_tick(struct caller_calls *calls, uint64_t now_ms)
{
    const struct caller_options *options = &calls->caller->options;
    GList *next;
    struct call *old;

    calls->credit +=
        (double)(now_ms - calls->last_ms) * options->calls_per_s / 1000;
    calls->last_ms = now_ms;
    for (GList *at = calls->open->head; at != NULL; at = next) {
        next = at->next;
        call_tick(calls, at->data, now_ms);
    }
    while ((old = g_queue_peek_head(calls->settled)) != NULL &&
           now_ms - old->settled_ms > KEPT_MS) {
        g_queue_pop_head(calls->settled);
        g_hash_table_remove(calls->by_id, &old->id);
    }
    for (; calls->credit >= 1; calls->credit--) {
        if (!calls->caller->stopping) {
            call_new(calls, now_ms, now_ms + (uint64_t)options->deadline_ms,
                     (unsigned)options->retries);
        }
    }
}

bool
caller_calls_idle(const struct caller_calls *calls)
{
    return g_queue_is_empty(calls->open);
}

void
caller_calls_status(const struct caller_calls *calls, GString *reply)
{
    uint64_t answered = calls->counts[OUTCOME_ANSWERED];

    g_string_append_printf(
        reply,
        " calls_open=%u sent=%lu answered=%lu not_run=%lu unknown=%lu "
        "timeout=%lu extra=%lu wrong_answers=%lu retried=%lu wait_mean_ms=%lu "
        "wait_max_ms=%lu",
        g_queue_get_length(calls->open), calls->sent, answered,
        calls->counts[OUTCOME_NOT_RUN], calls->counts[OUTCOME_UNKNOWN],
        calls->counts[OUTCOME_TIMEOUT], calls->extra, calls->wrong,
        calls->retried, answered == 0 ? 0 : calls->wait_total_ms / answered,
        calls->wait_max_ms);
}
