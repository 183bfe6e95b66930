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

#include "lib_control.h"

#define DRAIN_POLL_MS 50

static void options_parse(int, char **, struct target_options *);
static void signal_cb(uv_signal_t *, int);
static void drain_cb(uv_timer_t *);
static void command_state(void *, const char *, GString *);
static void command_mode(void *, const char *, GString *);
static void command_endpoint(void *, const char *, GString *);
static void command_forget(void *, const char *, GString *);
static void command_fault(void *, const char *, GString *);
static void command_clear(void *, const char *, GString *);
static void command_status(void *, const char *, GString *);

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

static void
signal_cb(uv_signal_t *handle, int number)
{
    struct target *target = handle->data;
    uv_timer_t *timer = g_new0(uv_timer_t, 1);

    (void)number;
    if (target->state == ANNOUNCED_DRAINING) {
        exit(0);
    }
    target_set_state(target, ANNOUNCED_DRAINING);
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
            target_set_state(arg, (enum announced_state)state);
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
                *(double *)(void *)((char *)&target->modes +
                                    mode_fields[j].offset) =
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

int
main(int argc, char **argv)
{
    struct target target;
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
    target_http_start(&target);
    uv_signal_init(target.loop, &term);
    term.data = &target;
    uv_signal_start(&term, signal_cb, SIGTERM);
    target_set_state(&target, ANNOUNCED_READY);
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
