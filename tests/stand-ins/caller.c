/*
 * Callers of one service, thousands in a process: streams with a message
 * every period, uploads, and calls with retries.
 *
 *     caller --service POOL --to ADDRESS:PORT --fabric ADDRESS:PORT
 *            --listen ADDRESS:PORT --inner A.B.C.D [--callers N]
 *            [--streams N] [--open-per-s N] [--period-ms N] [--messages N]
 *            [--message-len N] [--stall-ms N] [--calls-per-s N]
 *            [--idempotent-percent N] [--deadline-ms N] [--resend-ms N]
 *            [--parts-max N] [--retries N] [--seed N] [--ledger FILE]
 *            [--control ADDRESS:PORT] [--script FILE]
 *
 * "stop" or SIGTERM closes the streams, waits for the calls, and ends.
 */
#include "lib_caller.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "lib_control.h"

static void options_parse(int, char **, struct caller_options *);
static void signal_cb(uv_signal_t *, int);
static void command_stop(void *, const char *, GString *);
static void command_status(void *, const char *, GString *);
static void command_streams(void *, const char *, GString *);
static void command_calls(void *, const char *, GString *);

static const struct control_command commands[] = {
    {"stop", command_stop},
    {"status", command_status},
    {"streams", command_streams}, /* N open at once */
    {"calls", command_calls},     /* N a second */
    {NULL, NULL},
};

static void
options_parse(int argc, char **argv, struct caller_options *options)
{
    const struct {
        const char *name;
        char **value;
    } texts[] = {
        {"listen", &options->listen},   {"fabric", &options->fabric},
        {"control", &options->control}, {"ledger", &options->ledger},
        {"script", &options->script},   {"service", &options->service},
        {"to", &options->to},           {"inner", &options->inner},
    };
    const struct {
        const char *name;
        int *value;
    } numbers[] = {
        {"callers", &options->callers},
        {"streams", &options->streams},
        {"open-per-s", &options->open_per_s},
        {"period-ms", &options->period_ms},
        {"message-len", &options->message_len},
        {"messages", &options->messages},
        {"stall-ms", &options->stall_ms},
        {"calls-per-s", &options->calls_per_s},
        {"idempotent-percent", &options->idempotent_percent},
        {"deadline-ms", &options->deadline_ms},
        {"resend-ms", &options->resend_ms},
        {"parts-max", &options->parts_max},
        {"retries", &options->retries},
        {"seed", &options->seed},
    };
    GOptionEntry entries[G_N_ELEMENTS(texts) + G_N_ELEMENTS(numbers) + 1];
    GOptionContext *context = g_option_context_new(NULL);
    GError *error = NULL;
    size_t count = 0;

    memset(entries, 0, sizeof(entries));
    for (size_t i = 0; i < G_N_ELEMENTS(texts); i++, count++) {
        entries[count].long_name = texts[i].name;
        entries[count].arg = G_OPTION_ARG_STRING;
        entries[count].arg_data = texts[i].value;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(numbers); i++, count++) {
        entries[count].long_name = numbers[i].name;
        entries[count].arg = G_OPTION_ARG_INT;
        entries[count].arg_data = numbers[i].value;
    }
    g_option_context_add_main_entries(context, entries, NULL);
    if (!g_option_context_parse(context, &argc, &argv, &error)) {
        net_die("caller: %s", error->message);
    }
    g_option_context_free(context);
    if (options->callers < 1 || options->parts_max < 1 ||
        options->parts_max > CALL_PARTS_MAX ||
        options->message_len < TAG_LEN || options->message_len > TAG_LEN_MAX) {
        net_die("caller: --callers from 1, --parts-max 1 to %d, "
                "--message-len %d to %d",
                CALL_PARTS_MAX, TAG_LEN, TAG_LEN_MAX);
    }
}

static void
signal_cb(uv_signal_t *handle, int number)
{
    struct caller *caller = handle->data;

    (void)number;
    caller->stopping = true;
}

static void
command_stop(void *arg, const char *rest, GString *reply)
{
    struct caller *caller = arg;

    (void)rest;
    caller->stopping = true;
    g_string_append(reply, "ok");
}

static void
command_status(void *arg, const char *rest, GString *reply)
{
    const struct caller *caller = arg;

    (void)rest;
    caller_streams_status(caller->streams, reply);
    caller_calls_status(caller->calls, reply);
    g_string_append_printf(reply, " malformed=%lu unsent=%lu",
                           caller->malformed, caller->udp->unsent);
}

static void
command_streams(void *arg, const char *rest, GString *reply)
{
    struct caller *caller = arg;

    caller->options.streams = (int)strtol(rest, NULL, 10);
    g_string_append(reply, "ok");
}

static void
command_calls(void *arg, const char *rest, GString *reply)
{
    struct caller *caller = arg;

    caller->options.calls_per_s = (int)strtol(rest, NULL, 10);
    g_string_append(reply, "ok");
}

int
main(int argc, char **argv)
{
    struct caller caller;
    struct control *control;
    uv_signal_t term;

    memset(&caller, 0, sizeof(caller));
    caller.options = (struct caller_options){
        .callers = 100,
        .open_per_s = 1000,
        .period_ms = 500,
        .message_len = 64,
        .stall_ms = 10000,
        .idempotent_percent = 50,
        .deadline_ms = 3000,
        .resend_ms = 400,
        .parts_max = 1,
        .retries = 3,
        .seed = 1,
    };
    options_parse(argc, argv, &caller.options);
    caller_init(&caller);
    uv_signal_init(caller.loop, &term);
    term.data = &caller;
    uv_signal_start(&term, signal_cb, SIGTERM);
    control = control_new(caller.loop, commands, &caller);
    if (caller.options.control != NULL) {
        control_listen(control,
                       net_parse_or_die("control", caller.options.control));
    }
    if (caller.options.script != NULL) {
        control_script(control, caller.options.script);
    }
    return uv_run(caller.loop, UV_RUN_DEFAULT);
}
