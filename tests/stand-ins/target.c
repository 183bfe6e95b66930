/*
 * A target: announces itself, serves streams and calls of one service for
 * any number of inner addresses, and misbehaves on command.
 *
 *     target --pool NAME --address A.B.C.D --up ADDRESS:PORT
 *            [--announce-to ADDRESS:PORT ...] [--control ADDRESS:PORT]
 *            [--zone NAME] [--slots N] [--connections N] [--weight N]
 *            [--incarnation N] [--service-ms N] [--http-port N]
 *            [--flow-limit N] [--seed N] [--ledger FILE] [--script FILE]
 *
 * SIGTERM drains it and ends it once nothing is open; a second one ends it.
 */
#include "lib_target.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "lib_control.h"

#define DRAIN_POLL_MS 50

static void options_parse(int, char **, struct target_options *);
static void recv_cb(void *, struct net_udp *, struct net_address,
                    const uint8_t *, size_t);
static void set_state(struct target *, enum announced_state);
static void signal_cb(uv_signal_t *, int);
static void drain_cb(uv_timer_t *);
static void command_state(void *, const char *, GString *);
static void command_mode(void *, const char *, GString *);
static void command_endpoint(void *, const char *, GString *);
static void command_forget(void *, const char *, GString *);
static void command_fault(void *, const char *, GString *);
static void command_clear(void *, const char *, GString *);
static void command_status(void *, const char *, GString *);
static void target_init(struct target *);

static const struct control_command commands[] = {
    {"state", command_state},       /* ready, cold or draining */
    {"mode", command_mode},         /* NAME=VALUE... of struct target_modes */
    {"endpoint", command_endpoint}, /* health|load MODE */
    {"forget", command_forget},     /* COUNT streams go silent */
    {"fault", command_fault}, /* on what arrives: DAEMON * NAME=VALUE... */
    {"clear", command_clear},       {"status", command_status}, {NULL, NULL},
};

struct mode_field {
    const char *name;
    size_t offset;
};

static const struct mode_field mode_fields[] = {
    {"shed", offsetof(struct target_modes, shed)},
    {"late", offsetof(struct target_modes, late)},
    {"double", offsetof(struct target_modes, doubled)},
    {"cross", offsetof(struct target_modes, crossed)},
    {"service-ms", offsetof(struct target_modes, service_ms)},
    {"late-ms", offsetof(struct target_modes, late_ms)},
};

static void
options_parse(int argc, char **argv, struct target_options *options)
{
    const GOptionEntry entries[] = {
        {"pool", 0, 0, G_OPTION_ARG_STRING, &options->pool, NULL, NULL},
        {"address", 0, 0, G_OPTION_ARG_STRING, &options->address, NULL, NULL},
        {"up", 0, 0, G_OPTION_ARG_STRING, &options->up, NULL, NULL},
        {"control", 0, 0, G_OPTION_ARG_STRING, &options->control, NULL, NULL},
        {"ledger", 0, 0, G_OPTION_ARG_STRING, &options->ledger, NULL, NULL},
        {"zone", 0, 0, G_OPTION_ARG_STRING, &options->zone, NULL, NULL},
        {"script", 0, 0, G_OPTION_ARG_STRING, &options->script, NULL, NULL},
        {"announce-to", 0, 0, G_OPTION_ARG_STRING_ARRAY, &options->announce_to,
         NULL, NULL},
        {"slots", 0, 0, G_OPTION_ARG_INT, &options->slots, NULL, NULL},
        {"connections", 0, 0, G_OPTION_ARG_INT, &options->connections, NULL,
         NULL},
        {"weight", 0, 0, G_OPTION_ARG_INT, &options->weight, NULL, NULL},
        {"incarnation", 0, 0, G_OPTION_ARG_INT, &options->incarnation, NULL,
         NULL},
        {"service-ms", 0, 0, G_OPTION_ARG_INT, &options->service_ms, NULL,
         NULL},
        {"seed", 0, 0, G_OPTION_ARG_INT, &options->seed, NULL, NULL},
        {"http-port", 0, 0, G_OPTION_ARG_INT, &options->http_port, NULL, NULL},
        {"flow-limit", 0, 0, G_OPTION_ARG_INT, &options->flow_limit, NULL,
         NULL},
        G_OPTION_ENTRY_NULL,
    };
    GOptionContext *context = g_option_context_new(NULL);
    GError *error = NULL;

    g_option_context_add_main_entries(context, entries, NULL);
    if (!g_option_context_parse(context, &argc, &argv, &error)) {
        net_die("target: %s", error->message);
    }
    g_option_context_free(context);
    if (options->pool == NULL || options->address == NULL) {
        net_die("target: --pool and --address are needed");
    }
}

/* Read the payload's tag; record a packet of another service. */
bool
target_tag(struct target *target, const struct geneve_packet *packet,
           struct tag *tag)
{
    if (!tag_read(packet->payload, packet->payload_len, tag)) {
        target->malformed++;
        ledger_write(target->ledger, "malformed", target_flow_json(packet));
        return false;
    }
    if (tag->service != target->service) {
        target->wrong_service++;
        ledger_write(target->ledger, "wrong_service",
                     target_flow_json(packet));
        return false;
    }
    return true;
}

/* The caller's side of PACKET, for a ledger. */
json_t *
target_flow_json(const struct geneve_packet *packet)
{
    struct net_address src = {packet->src, packet->src_port};
    struct net_address dst = {packet->dst, packet->dst_port};
    char caller[NET_TEXT_MAX], service[NET_TEXT_MAX];

    net_format(src, caller, sizeof(caller));
    net_format(dst, service, sizeof(service));
    return json_pack("{s:s,s:s}", "flow", caller, "to", service);
}

void
target_send_tcp(struct target *target, struct geneve_build *build)
{
    uint8_t data[GENEVE_HEADER_MAX + TAG_LEN_MAX + 64];
    size_t len = geneve_build_tcp(data, sizeof(data), build);

    path_send(&target->out, target->udp, target->ip, target->up.ip, target->up,
              data, len);
}

void
target_send_udp(struct target *target, struct geneve_build *build)
{
    uint8_t data[GENEVE_HEADER_MAX + TAG_LEN_MAX + 64];
    size_t len = geneve_build_udp(data, sizeof(data), build);

    path_send(&target->out, target->udp, target->ip, target->up.ip, target->up,
              data, len);
}

bool
target_chance(struct target *target, double percent)
{
    return percent > 0 && g_rand_double(target->random) * 100 < percent;
}

static void
recv_cb(void *arg, struct net_udp *udp, struct net_address from,
        const uint8_t *data, size_t len)
{
    struct target *target = arg;
    struct fault_verdict verdict;
    struct geneve_packet packet;
    struct call_option option;

    (void)udp;
    fault_judge(target->in.rules, from.ip, target->ip, &verdict);
    if (verdict.copies == 0) {
        target->in.counters.lost++;
        return;
    }
    target->in.counters.passed++;
    if (geneve_decode(data, len, &packet) != GENEVE_OK) {
        target->malformed++;
    }
    else if (packet.call != NULL &&
             call_option_decode(packet.call, packet.call_len, &option)) {
        target_calls_packet(target->calls, from, &packet, &option);
    }
    else if (packet.protocol == IPPROTO_TCP) {
        target_streams_packet(target->streams, &packet);
    }
    else {
        target->malformed++;
    }
}

static void
set_state(struct target *target, enum announced_state state)
{
    target->state = state;
    ledger_write(target->ledger, "state",
                 json_pack("{s:s,s:s,s:s}", "state", target_state_name(state),
                           "target", target->options.address, "pool",
                           target->options.pool));
    target_announce_now(target);
}

static void
signal_cb(uv_signal_t *handle, int number)
{
    struct target *target = handle->data;
    uv_timer_t *timer = g_new0(uv_timer_t, 1);

    (void)number;
    if (target->state == ANNOUNCED_DRAINING) {
        exit(0);
    }
    set_state(target, ANNOUNCED_DRAINING);
    uv_timer_init(target->loop, timer);
    timer->data = target;
    uv_timer_start(timer, drain_cb, DRAIN_POLL_MS, DRAIN_POLL_MS);
}

static void
drain_cb(uv_timer_t *timer)
{
    struct target *target = timer->data;

    if (atomic_load(&target->flows) == 0 &&
        atomic_load(&target->running) == 0) {
        exit(0);
    }
}

static void
command_state(void *arg, const char *rest, GString *reply)
{
    for (int state = 0; state < ANNOUNCED__MAX; state++) {
        if (strcmp(rest, target_state_name((enum announced_state)state)) ==
            0) {
            set_state(arg, (enum announced_state)state);
            g_string_append(reply, "ok");
            return;
        }
    }
    g_string_append(reply, "error: expected ready, cold or draining");
}

static void
command_mode(void *arg, const char *rest, GString *reply)
{
    struct target *target = arg;
    char **words = g_strsplit(rest, " ", 0);
    bool valid = true;

    for (size_t i = 0; valid && words[i] != NULL; i++) {
        valid = false;
        for (size_t j = 0; j < G_N_ELEMENTS(mode_fields); j++) {
            size_t len = strlen(mode_fields[j].name);

            if (strncmp(words[i], mode_fields[j].name, len) == 0 &&
                words[i][len] == '=') {
                *(double *)((char *)&target->modes + mode_fields[j].offset) =
                    g_ascii_strtod(words[i] + len + 1, NULL);
                valid = true;
            }
        }
    }
    g_string_append(reply, valid ? "ok" : "error: expected NAME=VALUE...");
    g_strfreev(words);
}

static void
command_endpoint(void *arg, const char *rest, GString *reply)
{
    char **words = g_strsplit(rest, " ", 0);
    bool valid =
        g_strv_length(words) == 2 && target_http_mode(arg, words[0], words[1]);

    g_string_append(reply, valid ? "ok" : "error: expected health|load MODE");
    g_strfreev(words);
}

static void
command_forget(void *arg, const char *rest, GString *reply)
{
    struct target *target = arg;

    g_string_append_printf(
        reply, "%u",
        target_streams_forget(target->streams,
                              (unsigned)strtoul(rest, NULL, 10)));
}

static void
command_fault(void *arg, const char *rest, GString *reply)
{
    struct target *target = arg;

    if (fault_rules_set(target->in.rules, rest, reply)) {
        g_string_append(reply, "ok");
    }
    else {
        g_string_prepend(reply, "error: ");
    }
}

static void
command_clear(void *arg, const char *rest, GString *reply)
{
    struct target *target = arg;

    (void)rest;
    fault_rules_clear(target->in.rules);
    memset(&target->modes, 0, sizeof(target->modes));
    target->modes.service_ms = target->options.service_ms;
    g_string_append(reply, "ok");
}

static void
command_status(void *arg, const char *rest, GString *reply)
{
    struct target *target = arg;

    (void)rest;
    g_string_append_printf(
        reply,
        "state=%s flows=%d running=%d passed=%lu lost=%lu wrong_service=%lu "
        "malformed=%lu announced=%lu announce_failed=%lu",
        target_state_name(target->state), atomic_load(&target->flows),
        atomic_load(&target->running), target->in.counters.passed,
        target->in.counters.lost, target->wrong_service, target->malformed,
        target->announced, target->announce_failed);
}

/* Fill in what follows from the options. */
static void
target_init(struct target *target)
{
    struct target_options *options = &target->options;

    if (!net_parse_ip(options->address, &target->ip)) {
        net_die("--address: got \"%s\", expected A.B.C.D", options->address);
    }
    target->loop = uv_default_loop();
    target->up = net_parse_or_die("up", options->up);
    target->service = hash_string(options->pool);
    target->random = g_rand_new_with_seed((guint32)options->seed);
    target->in.loop = target->loop;
    target->in.rules = fault_rules_new((uint32_t)options->seed);
    target->out.loop = target->loop;
    target->out.rules = fault_rules_new((uint32_t)options->seed);
    target->modes.service_ms = options->service_ms;
    target->modes.late_ms = 1500;
    target->ledger = ledger_open(options->ledger);
    target->streams = target_streams_new(target);
    target->calls = target_calls_new(target);
    target->udp = g_new0(struct net_udp, 1);
}

int
main(int argc, char **argv)
{
    struct target target;
    struct net_address local;
    uv_signal_t term;

    memset(&target, 0, sizeof(target));
    target.options = (struct target_options){
        .zone = "",
        .slots = 2,
        .connections = 2000,
        .weight = 100,
        .incarnation = 1,
        .service_ms = 10,
        .seed = 1,
        .http_port = 8081,
        .flow_limit = 1000000,
    };
    options_parse(argc, argv, &target.options);
    target_init(&target);
    local.ip = target.ip;
    local.port = GENEVE_PORT;
    net_udp_open(target.loop, target.udp, local, recv_cb, &target);
    target_http_start(&target);
    uv_signal_init(target.loop, &term);
    term.data = &target;
    uv_signal_start(&term, signal_cb, SIGTERM);
    set_state(&target, ANNOUNCED_READY);
    target_announce_start(&target);
    if (target.options.control != NULL || target.options.script != NULL) {
        struct control *control = control_new(target.loop, commands, &target);

        if (target.options.control != NULL) {
            control_listen(
                control, net_parse_or_die("control", target.options.control));
        }
        if (target.options.script != NULL) {
            control_script(control, target.options.script);
        }
    }
    return uv_run(target.loop, UV_RUN_DEFAULT);
}
