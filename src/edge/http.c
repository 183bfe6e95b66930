/* libmicrohttpd driven by its epoll descriptor on a libuv loop. */
#include "edge/http.h"

#include <arpa/inet.h>
#include <string.h>

#include <microhttpd.h>

#include "base/err.h"

#define BODY_MAX_DEFAULT        (1U << 20) /* bytes */
#define CONNECTIONS_MAX_DEFAULT 256
#define ADDRESS_SHARE           8 /* of connections_max, for one address */
#define TIMEOUT_S_DEFAULT       5
#define MEMORY_PER_CONNECTION   (32U << 10) /* bytes */
#define BEARER                  "Bearer "

/* One request from its first header to the end of its answer. */
struct http_pending {
    struct http_server *server;
    struct MHD_Connection *connection;
    struct http_handle handle;
    GByteArray *body;
    bool too_large;
    bool handed_over;
    bool suspended;
    struct MHD_Response *response;
    unsigned status;
};

struct http_server {
    struct http_options options;
    struct MHD_Daemon *daemon;
    uv_poll_t poll;
    uv_timer_t timer;
    uv_async_t resume;
    GPtrArray *slots; /* of struct http_pending, or NULL where free */
    uint32_t generation;
};

static enum MHD_Result on_request(void *, struct MHD_Connection *,
                                  const char *, const char *, const char *,
                                  const char *, size_t *, void **);
static void on_completed(void *, struct MHD_Connection *, void **,
                         enum MHD_RequestTerminationCode);
static struct http_pending *pending_new(struct http_server *,
                                        struct MHD_Connection *);
static struct http_pending *pending_find(struct http_server *,
                                         struct http_handle);
static void hand_over(struct http_pending *, const char *method,
                      const char *path);
static enum MHD_Result queue_response(struct http_pending *);
static void run(struct http_server *);
static void on_poll(uv_poll_t *, int, int);
static void on_timer(uv_timer_t *);
static void on_resume(uv_async_t *);
static struct MHD_Daemon *start(struct http_server *,
                                const struct sockaddr_in *);

static struct http_pending *
pending_new(struct http_server *server, struct MHD_Connection *connection)
{
    struct http_pending *pending = g_new0(struct http_pending, 1);
    guint index = 0;

    while (index < server->slots->len &&
           g_ptr_array_index(server->slots, index) != NULL) {
        index++;
    }
    if (index == server->slots->len) {
        g_ptr_array_add(server->slots, NULL);
    }
    server->slots->pdata[index] = pending;
    pending->server = server;
    pending->connection = connection;
    pending->handle.index = index;
    pending->handle.generation = ++server->generation;
    pending->body = g_byte_array_new();
    return pending;
}

/* The request behind HANDLE, or NULL if it has ended. */
static struct http_pending *
pending_find(struct http_server *server, struct http_handle handle)
{
    struct http_pending *pending;

    if (handle.index >= server->slots->len) {
        return NULL;
    }
    pending = g_ptr_array_index(server->slots, handle.index);
    if (pending == NULL || pending->handle.generation != handle.generation) {
        return NULL;
    }
    return pending;
}

/* Give the whole request to the handler. */
static void
hand_over(struct http_pending *pending, const char *method, const char *path)
{
    struct http_server *server = pending->server;
    const char *authorization = MHD_lookup_connection_value(
        pending->connection, MHD_HEADER_KIND, "Authorization");
    struct http_request request = {
        .handle = pending->handle,
        .method = method,
        .path = path,
        .body_len = pending->body->len,
    };

    if (authorization != NULL && g_str_has_prefix(authorization, BEARER)) {
        request.token = authorization + strlen(BEARER);
    }
    g_byte_array_append(pending->body, (const guint8 *)"", 1);
    request.body = (const char *)pending->body->data;
    pending->handed_over = true;
    server->options.handler(server->options.user, &request);
}

static enum MHD_Result
queue_response(struct http_pending *pending)
{
    enum MHD_Result result = MHD_queue_response(
        pending->connection, pending->status, pending->response);

    MHD_destroy_response(pending->response);
    pending->response = NULL;
    return result;
}

static enum MHD_Result
on_request(void *user, struct MHD_Connection *connection, const char *path,
           const char *method, const char *version, const char *data,
           size_t *data_len, void **state)
{
    struct http_server *server = user;
    struct http_pending *pending = *state;

    (void)version;
    if (pending == NULL) {
        *state = pending_new(server, connection);
        return MHD_YES;
    }
    if (*data_len > 0) {
        if (pending->body->len + *data_len > server->options.body_max) {
            pending->too_large = true;
        }
        else {
            g_byte_array_append(pending->body, (const guint8 *)data,
                                (guint)*data_len);
        }
        *data_len = 0;
        return MHD_YES;
    }
    if (!pending->handed_over && pending->too_large) {
        static const char text[] = "{\"error\":\"limit\",\"message\":\"the "
                                   "body is too large; send less\"}\n";

        pending->handed_over = true;
        http_answer(server, pending->handle, MHD_HTTP_CONTENT_TOO_LARGE,
                    "application/json", text, strlen(text));
    }
    if (!pending->handed_over) {
        hand_over(pending, method, path);
    }
    if (pending->response != NULL) {
        return queue_response(pending);
    }
    pending->suspended = true;
    MHD_suspend_connection(connection);
    return MHD_YES;
}

static void
on_completed(void *user, struct MHD_Connection *connection, void **state,
             enum MHD_RequestTerminationCode code)
{
    struct http_server *server = user;
    struct http_pending *pending = *state;

    (void)connection;
    (void)code;
    if (pending == NULL) {
        return;
    }
    server->slots->pdata[pending->handle.index] = NULL;
    if (pending->response != NULL) {
        MHD_destroy_response(pending->response);
    }
    g_byte_array_unref(pending->body);
    g_free(pending);
    *state = NULL;
}

/* Let libmicrohttpd work, and wake again when it next wants to. */
static void
run(struct http_server *server)
{
    MHD_UNSIGNED_LONG_LONG timeout;

    MHD_run(server->daemon);
    if (MHD_get_timeout(server->daemon, &timeout) == MHD_YES) {
        uv_timer_start(&server->timer, on_timer, timeout, 0);
    }
    else {
        uv_timer_stop(&server->timer);
    }
}

static void
on_poll(uv_poll_t *poll, int status, int events)
{
    (void)status;
    (void)events;
    run(poll->data);
}

static void
on_timer(uv_timer_t *timer)
{
    run(timer->data);
}

static void
on_resume(uv_async_t *async)
{
    run(async->data);
}

static struct MHD_Daemon *
start(struct http_server *server, const struct sockaddr_in *address)
{
    return MHD_start_daemon(
        MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, on_request,
        server, MHD_OPTION_SOCK_ADDR, address, MHD_OPTION_NOTIFY_COMPLETED,
        on_completed, server, MHD_OPTION_CONNECTION_LIMIT,
        server->options.connections_max, MHD_OPTION_PER_IP_CONNECTION_LIMIT,
        server->options.address_max, MHD_OPTION_CONNECTION_TIMEOUT,
        server->options.timeout_s, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
        (size_t)MEMORY_PER_CONNECTION, MHD_OPTION_END);
}

/*
 * Listen.  Returns NULL with ERR_NETWORK if the address cannot be taken.  End
 * with http_server_close(), run the loop, then http_server_free().
 */
struct http_server *
http_server_new(const struct http_options *options, GError **error)
{
    struct http_server *server = g_new0(struct http_server, 1);
    struct sockaddr_in address = {
        .sin_family = AF_INET,
        .sin_port = htons(options->listen.port),
        .sin_addr.s_addr = htonl(options->listen.address),
    };
    const union MHD_DaemonInfo *info;

    server->options = *options;
    server->options.body_max =
        options->body_max != 0 ? options->body_max : BODY_MAX_DEFAULT;
    server->options.connections_max = options->connections_max != 0
                                          ? options->connections_max
                                          : CONNECTIONS_MAX_DEFAULT;
    server->options.address_max =
        options->address_max != 0
            ? options->address_max
            : MAX(server->options.connections_max / ADDRESS_SHARE, 1);
    server->options.timeout_s =
        options->timeout_s != 0 ? options->timeout_s : TIMEOUT_S_DEFAULT;
    server->slots = g_ptr_array_new();
    server->daemon = start(server, &address);
    if (server->daemon == NULL) {
        g_set_error(error, ERR_DOMAIN, ERR_NETWORK,
                    "--admin: cannot listen on port %u; stop what holds it, "
                    "or give another address:port",
                    options->listen.port);
        g_ptr_array_unref(server->slots);
        g_free(server);
        return NULL;
    }
    info = MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_EPOLL_FD);
    uv_poll_init(options->loop, &server->poll, info->epoll_fd);
    uv_timer_init(options->loop, &server->timer);
    uv_async_init(options->loop, &server->resume, on_resume);
    server->poll.data = server;
    server->timer.data = server;
    server->resume.data = server;
    uv_poll_start(&server->poll, UV_READABLE, on_poll);
    return server;
}

/* Stop listening and begin to close the loop's handles. */
void
http_server_close(struct http_server *server)
{
    for (guint i = 0; i < server->slots->len; i++) {
        struct http_pending *pending = g_ptr_array_index(server->slots, i);

        if (pending != NULL && pending->suspended) {
            http_answer(server, pending->handle, MHD_HTTP_SERVICE_UNAVAILABLE,
                        "text/plain", "", 0);
        }
    }
    uv_poll_stop(&server->poll);
    uv_close((uv_handle_t *)&server->poll, NULL);
    uv_close((uv_handle_t *)&server->timer, NULL);
    uv_close((uv_handle_t *)&server->resume, NULL);
    MHD_run(server->daemon);
    MHD_stop_daemon(server->daemon);
}

/* Free SERVER after the loop has run the close callbacks. */
void
http_server_free(struct http_server *server)
{
    g_ptr_array_unref(server->slots);
    g_free(server);
}

/*
 * Answer the request HANDLE with LEN bytes of BODY, which are copied.  A
 * request that has ended, or was answered, is left alone.
 */
void
http_answer(struct http_server *server, struct http_handle handle,
            unsigned status, const char *content_type, const char *body,
            size_t len)
{
    struct http_pending *pending = pending_find(server, handle);

    if (pending == NULL || pending->response != NULL) {
        return;
    }
    pending->status = status;
    pending->response = MHD_create_response_from_buffer(
        len, (void *)(uintptr_t)body, MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(pending->response, "Content-Type", content_type);
    if (server->options.one_call) {
        MHD_add_response_header(pending->response, "Connection", "close");
    }
    if (pending->suspended) {
        pending->suspended = false;
        MHD_resume_connection(pending->connection);
        uv_async_send(&server->resume);
    }
}
