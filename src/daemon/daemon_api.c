/*
 * The administration API: requests are answered here on the control leader,
 * and are passed on to it by every other daemon.
 */
#include "daemon/daemon_private.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "base/err.h"
#include "base/log.h"
#include "daemon/api_handlers.h"

#define FORWARD_LIMIT_US 5000000 /* wait for the leader's answer */
#define API_PREFIX       "/v1/"

/* A request that waits for the answer of the control leader. */
struct daemon_forward {
    uint64_t id;
    struct http_handle http;
    uint64_t since_us;
};

static bool read_token(struct daemon *, GError **);
static bool authorized(const struct daemon *, const struct http_request *);
static void forward(struct daemon *, const struct http_request *);
static bool pass_on(struct daemon *, struct control_message *);
static struct daemon_id next_control(struct daemon *);
static void take_request(struct daemon *, struct control_message *);
static void take_answer(struct daemon *, const struct control_message *);
static void serve_metrics(struct daemon *, const struct http_request *);

/* Read the operators' token; without a file there is no administration. */
static bool
read_token(struct daemon *daemon, GError **error)
{
    const char *path = daemon->settings->token_file;
    char *text;
    GError *cause = NULL;

    daemon->token[0] = '\0';
    if (path == NULL) {
        return true;
    }
    if (!g_file_get_contents(path, &text, NULL, &cause)) {
        g_set_error(error, ERR_DOMAIN, ERR_SETTING,
                    "--token-file: %s; name a readable file", cause->message);
        g_error_free(cause);
        return false;
    }
    g_strstrip(text);
    if (text[0] == '\0' || strlen(text) >= sizeof(daemon->token)) {
        g_set_error(error, ERR_DOMAIN, ERR_SETTING,
                    "--token-file: \"%s\" holds %zu bytes; put a token of 1 "
                    "to %zu bytes into it",
                    path, strlen(text), sizeof(daemon->token) - 1);
        g_free(text);
        return false;
    }
    g_strlcpy(daemon->token, text, sizeof(daemon->token));
    g_free(text);
    return true;
}

bool
daemon_api_start(struct daemon *daemon, GError **error)
{
    struct http_options options = {
        .loop = &daemon->loop,
        .listen = daemon->settings->admin,
        .handler = daemon_api_request,
        .user = daemon,
    };

    daemon->forwarded =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    if (!read_token(daemon, error)) {
        return false;
    }
    daemon->http = http_server_new(&options, error);
    return daemon->http != NULL;
}

void
daemon_api_stop(struct daemon *daemon)
{
    if (daemon->http != NULL) {
        http_server_free(daemon->http);
    }
    g_hash_table_destroy(daemon->forwarded);
}

/* Compare the token in a time that does not tell where it differs. */
static bool
authorized(const struct daemon *daemon, const struct http_request *request)
{
    size_t len = strlen(daemon->token);
    unsigned char differs = 0;

    if (len == 0 || request->token == NULL || strlen(request->token) != len) {
        return false;
    }
    for (size_t i = 0; i < len; i++) {
        differs |= (unsigned char)(daemon->token[i] ^ request->token[i]);
    }
    return differs == 0;
}

static void
serve_metrics(struct daemon *daemon, const struct http_request *request)
{
    GString *text = g_string_new(NULL);

    daemon_metrics_write(daemon, text);
    http_answer(daemon->http, request->handle, 200,
                "text/plain; version=0.0.4", text->str, text->len);
    g_string_free(text, TRUE);
}

/* The handler of every HTTP request. */
void
daemon_api_request(void *user, const struct http_request *request)
{
    struct daemon *daemon = user;
    struct api_caller caller = {.kind = API_CALLER_HTTP};

    caller.u.http = request->handle;
    counter_add(&daemon->counters, COUNTER_API_REQUESTS, 1);
    if (strcmp(request->path, "/metrics") == 0) {
        serve_metrics(daemon, request);
        return;
    }
    if (strcmp(request->path, API_PREFIX "announce") == 0 &&
        strcmp(request->method, "POST") == 0) {
        daemon_target_announce(daemon, request);
        return;
    }
    if (!authorized(daemon, request)) {
        api_refuse(daemon, &caller, ERR_AUTH,
                   daemon->token[0] == '\0'
                       ? "this daemon has no --token-file; set one"
                       : "the operators' token is missing or wrong; send "
                         "\"Authorization: Bearer TOKEN\"");
        return;
    }
    if (api_is_local(request->path) || control_is_current(daemon)) {
        api_handle(daemon, &caller, request->method, request->path,
                   request->body, request->body_len);
        return;
    }
    forward(daemon, request);
}

/* The daemon to pass a control request on to; 0 if none is known. */
static struct daemon_id
next_control(struct daemon *daemon)
{
    struct daemon_id leader = control_leader(daemon);
    struct daemon_id found[SETTINGS_PEERS_MAX] = {{0}};
    size_t count, matches = 0;
    const struct daemon_view *views =
        member_core_daemons(daemon->member, &count);

    if (leader.value != 0 && leader.value != daemon->self.value) {
        return leader;
    }
    for (size_t i = 0; i < count && matches < SETTINGS_PEERS_MAX; i++) {
        if (views[i].control && views[i].id.value != daemon->self.value &&
            views[i].state != DAEMON_DEAD) {
            found[matches++] = views[i].id;
        }
    }
    if (matches == 0) {
        return (struct daemon_id){0};
    }
    return found[daemon->next_control++ % matches];
}

/* Send a control request on; false if no control daemon can be reached. */
static bool
pass_on(struct daemon *daemon, struct control_message *message)
{
    struct daemon_id to = next_control(daemon);
    GByteArray *bytes;
    bool sent;

    if (to.value == 0) {
        return false;
    }
    bytes = g_byte_array_new();
    control_wire_pack(message, bytes);
    sent = mesh_send(daemon->mesh, to, PEER_CONTROL, bytes->data, bytes->len);
    g_byte_array_unref(bytes);
    return sent;
}

/* Pass an HTTP request on to the control leader. */
static void
forward(struct daemon *daemon, const struct http_request *request)
{
    struct daemon_forward *waiting = g_new0(struct daemon_forward, 1);
    struct control_message message = {.kind = CONTROL_API_REQUEST};

    waiting->id = ++daemon->next_request;
    waiting->http = request->handle;
    waiting->since_us = daemon_now_us();
    message.u.api_request.id = waiting->id;
    message.u.api_request.method = (char *)(uintptr_t)request->method;
    message.u.api_request.path = (char *)(uintptr_t)request->path;
    message.u.api_request.body = (uint8_t *)(uintptr_t)request->body;
    message.u.api_request.body_len = request->body_len;
    message.u.api_request.origin = daemon->self;
    g_hash_table_insert(daemon->forwarded, &waiting->id, waiting);
    if (!pass_on(daemon, &message)) {
        struct api_caller caller = {.kind = API_CALLER_HTTP};

        caller.u.http = request->handle;
        g_hash_table_remove(daemon->forwarded, &waiting->id);
        api_refuse(daemon, &caller, ERR_UNAVAILABLE,
                   "no control daemon is known; check --peers and --voters, "
                   "or ask again in a second");
    }
}

/* A request that a peer passed on. */
static void
take_request(struct daemon *daemon, struct control_message *message)
{
    struct api_caller caller = {.kind = API_CALLER_PEER};

    caller.u.peer.daemon = message->u.api_request.origin;
    caller.u.peer.id = message->u.api_request.id;
    if (control_is_current(daemon)) {
        api_handle(daemon, &caller, message->u.api_request.method,
                   message->u.api_request.path,
                   (const char *)message->u.api_request.body,
                   message->u.api_request.body_len);
        return;
    }
    message->u.api_request.hops++;
    if (message->u.api_request.hops > CONTROL_HOPS_MAX ||
        !pass_on(daemon, message)) {
        api_refuse(daemon, &caller, ERR_UNAVAILABLE,
                   "no control daemon leads at the moment; ask again in a "
                   "second");
    }
}

static void
take_answer(struct daemon *daemon, const struct control_message *message)
{
    uint64_t id = message->u.api_answer.id;
    struct daemon_forward *waiting =
        g_hash_table_lookup(daemon->forwarded, &id);

    if (waiting == NULL) {
        return;
    }
    http_answer(daemon->http, waiting->http, message->u.api_answer.status,
                "application/json", (const char *)message->u.api_answer.body,
                message->u.api_answer.body_len);
    g_hash_table_remove(daemon->forwarded, &id);
}

/* Take in a control message of a peer. */
void
daemon_api_message(struct daemon *daemon, struct daemon_id from,
                   const uint8_t *data, size_t len)
{
    struct control_message message;
    struct call_event event = {.kind = CALL_EV_EPOCH};

    (void)from;
    if (!control_wire_unpack(data, len, &message)) {
        counter_add(&daemon->counters, COUNTER_PEER_BAD_FRAMES, 1);
        return;
    }
    switch (message.kind) {
    case CONTROL_API_REQUEST:
        take_request(daemon, &message);
        break;
    case CONTROL_API_ANSWER:
        take_answer(daemon, &message);
        break;
    case CONTROL_EPOCH_WANT:
        control_epoch_request(daemon, &message);
        break;
    case CONTROL_EPOCH_TELL:
        event.u.epoch.epoch = message.u.epoch_tell.epoch;
        event.u.epoch.requested_us = message.u.epoch_tell.asked_us;
        daemon_call_event(daemon, &event);
        break;
    case CONTROL_MESSAGE__MAX:
        break;
    }
    control_message_clear(&message);
}

/* Pass on a call core's wish for an epoch, from here or from a peer. */
bool
daemon_api_pass_want(struct daemon *daemon, struct control_message *message)
{
    return ++message->u.epoch_want.hops <= CONTROL_HOPS_MAX + 1 &&
           pass_on(daemon, message);
}

/* Refuse forwarded requests that wait too long. */
void
daemon_api_tick(struct daemon *daemon, uint64_t now_us)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, daemon->forwarded);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct daemon_forward *waiting = value;
        struct api_caller caller = {.kind = API_CALLER_HTTP};

        if (now_us - waiting->since_us < FORWARD_LIMIT_US) {
            continue;
        }
        caller.u.http = waiting->http;
        api_refuse(daemon, &caller, ERR_UNAVAILABLE,
                   "the control leader did not answer within 5 s; send the "
                   "same edit id again");
        g_hash_table_iter_remove(&iter);
    }
}
