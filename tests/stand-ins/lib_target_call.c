/*
 * Calls of a target.  A request with an attempt number already seen from the
 * same daemon is a datagram that the network doubled; any other is a run.
 */
#include "lib_target.h"

#include <string.h>

#define ANSWER_LEN   300 /* bytes of each part of an answer */
#define RECENT_CALLS 8   /* callers that a crossed answer may go to */

struct run_key {
    uint64_t id;
    uint32_t caller;
    uint32_t attempt;
    uint32_t daemon;
};

struct run {
    struct run_key key;
    struct target_calls *calls;
    uint16_t caller_port;
    uint32_t service_ip; /* what the caller sent to */
    uint16_t service_port;
    struct call_option option;
    uint32_t parts_seen; /* one bit a part */
    bool running;
    bool cancelled;
    uv_timer_t timer;
};

struct target_calls {
    struct target *target;
    GHashTable *runs; /* struct run, which is its own key */
    struct run *recent[RECENT_CALLS];
    unsigned recent_count;
};

static guint key_hash(gconstpointer);
static gboolean key_equal(gconstpointer, gconstpointer);
static json_t *run_json(const struct run *);
static struct run *run_new(struct target_calls *, struct run_key,
                           const struct geneve_packet *,
                           const struct call_option *);
static void start(struct run *);
static void done_cb(uv_timer_t *);
static void late_cb(uv_timer_t *);
static void answer(struct run *);
static void send_part(struct run *, const struct run *to, enum call_kind,
                      uint32_t part);
static void cancel(struct target_calls *, struct run_key);

static guint
key_hash(gconstpointer data)
{
    const struct run_key *key = data;

    return (guint)(key->id ^ key->id >> 32) * 2654435761U ^ key->caller ^
           key->attempt;
}

static gboolean
key_equal(gconstpointer left, gconstpointer right)
{
    const struct run_key *a = left, *b = right;

    return a->id == b->id && a->caller == b->caller &&
           a->attempt == b->attempt && a->daemon == b->daemon;
}

struct target_calls *
target_calls_new(struct target *target)
{
    struct target_calls *calls = g_new0(struct target_calls, 1);

    calls->target = target;
    calls->runs = g_hash_table_new_full(key_hash, key_equal, NULL, NULL);
    return calls;
}

static json_t *
run_json(const struct run *run)
{
    char caller[NET_TEXT_MAX], daemon[NET_TEXT_MAX];

    net_format_ip(run->key.caller, caller, sizeof(caller));
    net_format_ip(run->key.daemon, daemon, sizeof(daemon));
    return json_pack("{s:I,s:s,s:i,s:b,s:s,s:s,s:i}", "id",
                     (json_int_t)run->key.id, "caller", caller, "attempt",
                     (int)run->key.attempt, "idempotent",
                     run->option.idempotent ? 1 : 0, "daemon", daemon, "state",
                     target_state_name(run->calls->target->state),
                     "deadline_ms", (int)run->option.deadline_ms);
}

static struct run *
run_new(struct target_calls *calls, struct run_key key,
        const struct geneve_packet *packet, const struct call_option *option)
{
    struct run *run = g_new0(struct run, 1);

    run->key = key;
    run->calls = calls;
    run->caller_port = packet->src_port;
    run->service_ip = packet->dst;
    run->service_port = packet->dst_port;
    run->option = *option;
    uv_timer_init(calls->target->loop, &run->timer);
    run->timer.data = run;
    g_hash_table_insert(calls->runs, run, run);
    calls->recent[calls->recent_count++ % RECENT_CALLS] = run;
    return run;
}

/* Take a packet with a call option that was checked for this service. */
void
target_calls_packet(struct target_calls *calls, struct net_address from,
                    const struct geneve_packet *packet,
                    const struct call_option *option)
{
    struct run_key key = {option->id, packet->src, option->attempt, from.ip};
    uint32_t whole = (uint32_t)((1ULL << option->parts) - 1);
    struct tag tag;
    struct run *run;

    if (option->kind == CALL_CANCEL) {
        cancel(calls, key);
        return;
    }
    if (option->kind != CALL_REQUEST ||
        !target_tag(calls->target, packet, &tag)) {
        return;
    }
    run = g_hash_table_lookup(calls->runs, &key);
    if (run == NULL) {
        run = run_new(calls, key, packet, option);
    }
    else if (run->parts_seen == whole) {
        return;
    }
    run->parts_seen |= 1U << option->part;
    if (run->parts_seen == whole) {
        start(run);
    }
}

/* Run the whole request, or refuse it before anything runs. */
static void
start(struct run *run)
{
    struct target *target = run->calls->target;
    double service_ms = target->modes.service_ms;

    if (atomic_load(&target->running) >= target->options.slots ||
        target_chance(target, target->modes.shed)) {
        ledger_write(target->ledger, "shed", run_json(run));
        send_part(run, run, CALL_NOT_RUN, 0);
        return;
    }
    run->running = true;
    atomic_fetch_add(&target->running, 1);
    ledger_write(target->ledger, "run", run_json(run));
    service_ms *= 0.5 + g_rand_double(target->random);
    uv_timer_start(&run->timer, done_cb, (uint64_t)service_ms, 0);
}

static void
done_cb(uv_timer_t *timer)
{
    struct run *run = timer->data;
    struct target_calls *calls = run->calls;
    struct target *target = calls->target;

    run->running = false;
    atomic_fetch_sub(&target->running, 1);
    ledger_write(target->ledger, "done", run_json(run));
    if (target_chance(target, target->modes.crossed)) {
        unsigned count = MIN(calls->recent_count, RECENT_CALLS);

        send_part(run, calls->recent[g_rand_int(target->random) % count],
                  CALL_ANSWER, 0);
    }
    if (target_chance(target, target->modes.late)) {
        uv_timer_start(&run->timer, late_cb, (uint64_t)target->modes.late_ms,
                       0);
        return;
    }
    answer(run);
}

static void
late_cb(uv_timer_t *timer)
{
    answer(timer->data);
}

static void
answer(struct run *run)
{
    struct target *target = run->calls->target;
    unsigned copies = target_chance(target, target->modes.doubled) ? 2 : 1;

    for (unsigned i = 0; i < copies; i++) {
        for (uint32_t part = 0; part < run->option.parts; part++) {
            send_part(run, run, CALL_ANSWER, part);
        }
    }
}

/* Send a part of the answer of RUN to the caller of TO. */
static void
send_part(struct run *run, const struct run *to, enum call_kind kind,
          uint32_t part)
{
    struct target *target = run->calls->target;
    uint8_t data[GENEVE_OPTION_CALL_MAX], payload[TAG_LEN_MAX];
    struct call_option option = {
        .id = run->key.id,
        .attempt = run->key.attempt,
        .kind = kind,
        .idempotent = run->option.idempotent,
        .part = part,
        .parts = kind == CALL_ANSWER ? run->option.parts : 1,
    };
    struct tag tag = {target->service, run->key.id, target->ip, part,
                      ANSWER_LEN};
    struct geneve_build build = {
        .src = run->service_ip,
        .dst = to->key.caller,
        .src_port = run->service_port,
        .dst_port = to->caller_port,
        .call = data,
        .payload = payload,
    };

    build.call_len = call_option_encode(&option, data, sizeof(data));
    build.payload_len = tag_write(&tag, payload, sizeof(payload));
    target_send_udp(target, &build);
}

/* End the run without an answer, if it has not ended. */
static void
cancel(struct target_calls *calls, struct run_key key)
{
    struct run *run = g_hash_table_lookup(calls->runs, &key);

    if (run == NULL || !run->running) {
        return;
    }
    uv_timer_stop(&run->timer);
    run->running = false;
    run->cancelled = true;
    atomic_fetch_sub(&calls->target->running, 1);
    ledger_write(calls->target->ledger, "cancelled", run_json(run));
}
