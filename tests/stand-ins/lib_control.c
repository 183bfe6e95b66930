/* Commands to a running stand-in. */
#include "lib_control.h"

#include <stdlib.h>
#include <string.h>

#define CONTROL_LINE_MAX 4096 /* bytes of a command */
#define CONTROL_BACKLOG  16   /* connections waiting */

struct control {
    uv_loop_t *loop;
    const struct control_command *commands;
    void *arg;
    uv_tcp_t listener;
};

struct client {
    uv_tcp_t handle;
    uv_write_t write;
    struct control *control;
    GString *reply;
    size_t len;
    char line[CONTROL_LINE_MAX];
};

struct timed_command {
    uv_timer_t timer;
    struct control *control;
    char *line;
};

static void connection_cb(uv_stream_t *, int);
static void alloc_cb(uv_handle_t *, size_t, uv_buf_t *);
static void read_cb(uv_stream_t *, ssize_t, const uv_buf_t *);
static void write_cb(uv_write_t *, int);
static void close_cb(uv_handle_t *);
static void timer_cb(uv_timer_t *);

/* A carrier of COMMANDS, which get ARG; it lives as long as the process. */
struct control *
control_new(uv_loop_t *loop, const struct control_command *commands, void *arg)
{
    struct control *control = g_new0(struct control, 1);

    control->loop = loop;
    control->commands = commands;
    control->arg = arg;
    return control;
}

/* Take commands on ADDRESS. */
void
control_listen(struct control *control, struct net_address address)
{
    struct sockaddr_in local = net_sockaddr(address);
    char text[NET_TEXT_MAX];
    int error;

    uv_tcp_init(control->loop, &control->listener);
    control->listener.data = control;
    error =
        uv_tcp_bind(&control->listener, (const struct sockaddr *)&local, 0);
    if (error == 0) {
        error = uv_listen((uv_stream_t *)&control->listener, CONTROL_BACKLOG,
                          connection_cb);
    }
    if (error != 0) {
        net_format(address, text, sizeof(text));
        net_die("control %s: %s", text, uv_strerror(error));
    }
}

/* Carry out LINE: the command's name, then what it takes. */
void
control_run(struct control *control, const char *line, GString *reply)
{
    size_t len = strcspn(line, " ");
    const char *rest = line + len + (line[len] == ' ' ? 1 : 0);

    for (size_t i = 0; control->commands[i].name != NULL; i++) {
        const struct control_command *command = &control->commands[i];

        if (strlen(command->name) == len &&
            strncmp(command->name, line, len) == 0) {
            command->fn(control->arg, rest, reply);
            return;
        }
    }
    g_string_append_printf(reply,
                           "error: unknown command \"%s\"; one of:", line);
    for (size_t i = 0; control->commands[i].name != NULL; i++) {
        g_string_append_printf(reply, " %s", control->commands[i].name);
    }
}

static void
connection_cb(uv_stream_t *listener, int status)
{
    struct control *control = listener->data;
    struct client *client;

    if (status != 0) {
        return;
    }
    client = g_new0(struct client, 1);
    client->control = control;
    client->reply = g_string_new(NULL);
    uv_tcp_init(control->loop, &client->handle);
    client->handle.data = client;
    uv_accept(listener, (uv_stream_t *)&client->handle);
    uv_read_start((uv_stream_t *)&client->handle, alloc_cb, read_cb);
}

static void
alloc_cb(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
    struct client *client = handle->data;

    (void)suggested;
    *buf = uv_buf_init(client->line + client->len,
                       (unsigned)(sizeof(client->line) - 1 - client->len));
}

static void
read_cb(uv_stream_t *stream, ssize_t len, const uv_buf_t *buf)
{
    struct client *client = stream->data;
    char *end;
    uv_buf_t out;

    (void)buf;
    if (len < 0) {
        uv_close((uv_handle_t *)stream, close_cb);
        return;
    }
    client->len += (size_t)len;
    client->line[client->len] = '\0';
    end = strchr(client->line, '\n');
    if (end == NULL) {
        return;
    }
    *end = '\0';
    uv_read_stop(stream);
    control_run(client->control, client->line, client->reply);
    g_string_append_c(client->reply, '\n');
    out = uv_buf_init(client->reply->str, (unsigned)client->reply->len);
    uv_write(&client->write, stream, &out, 1, write_cb);
}

static void
write_cb(uv_write_t *write, int status)
{
    (void)status;
    uv_close((uv_handle_t *)write->handle, close_cb);
}

static void
close_cb(uv_handle_t *handle)
{
    struct client *client = handle->data;

    g_string_free(client->reply, TRUE);
    g_free(client);
}

static void
timer_cb(uv_timer_t *timer)
{
    struct timed_command *timed = timer->data;
    GString *reply = g_string_new(NULL);

    control_run(timed->control, timed->line, reply);
    if (g_str_has_prefix(reply->str, "error")) {
        net_die("script: %s", reply->str);
    }
    g_string_free(reply, TRUE);
}

/* Carry out each line "MS COMMAND" of the file at PATH at its time. */
void
control_script(struct control *control, const char *path)
{
    char *text, **lines;
    GError *error = NULL;

    if (!g_file_get_contents(path, &text, NULL, &error)) {
        net_die("script: %s", error->message);
    }
    lines = g_strsplit(text, "\n", 0);
    for (size_t i = 0; lines[i] != NULL; i++) {
        struct timed_command *timed;
        char *command;
        uint64_t at_ms = strtoull(lines[i], &command, 10);

        if (lines[i][0] == '#' || lines[i][0] == '\0') {
            continue;
        }
        timed = g_new0(struct timed_command, 1);
        timed->control = control;
        timed->line = g_strdup(g_strchug(command));
        uv_timer_init(control->loop, &timed->timer);
        timed->timer.data = timed;
        uv_timer_start(&timed->timer, timer_cb, at_ms, 0);
    }
    g_strfreev(lines);
    g_free(text);
}
