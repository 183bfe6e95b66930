/* libcurl's multi interface on a libuv loop. */
#include "edge/probe.h"

#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>

#define BODY_MAX   64   /* bytes of a load endpoint's answer that are read */
#define PROBES_MAX 1024 /* at once */

/* A socket that libcurl wants watched. */
struct probe_socket {
    uv_poll_t poll;
    struct probe_client *client;
    curl_socket_t fd;
};

struct probe {
    uint64_t token;
    char body[BODY_MAX + 1];
    size_t body_len;
};

struct probe_client {
    uv_loop_t *loop;
    uv_timer_t timer;
    CURLM *multi;
    struct probe_handler handler;
    unsigned running;
    bool closing;
};

static int on_socket(CURL *, curl_socket_t, int, void *, void *);
static int on_timeout(CURLM *, long, void *);
static void on_poll(uv_poll_t *, int, int);
static void on_timer(uv_timer_t *);
static void on_poll_closed(uv_handle_t *);
static size_t on_body(char *, size_t, size_t, void *);
static void finish(struct probe_client *, CURL *, CURLcode);
static void reap(struct probe_client *);

/* A client on LOOP.  Close, run the loop, then free. */
struct probe_client *
probe_client_new(uv_loop_t *loop, struct probe_handler handler)
{
    struct probe_client *client = g_new0(struct probe_client, 1);

    curl_global_init(CURL_GLOBAL_DEFAULT);
    client->loop = loop;
    client->handler = handler;
    uv_timer_init(loop, &client->timer);
    client->timer.data = client;
    client->multi = curl_multi_init();
    curl_multi_setopt(client->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
    curl_multi_setopt(client->multi, CURLMOPT_SOCKETDATA, client);
    curl_multi_setopt(client->multi, CURLMOPT_TIMERFUNCTION, on_timeout);
    curl_multi_setopt(client->multi, CURLMOPT_TIMERDATA, client);
    return client;
}

/* Stop calling the handler and begin to close the loop's handles. */
void
probe_client_close(struct probe_client *client)
{
    client->closing = true;
    uv_close((uv_handle_t *)&client->timer, NULL);
    curl_multi_cleanup(client->multi);
}

/* Free CLIENT after the loop has run the close callbacks. */
void
probe_client_free(struct probe_client *client)
{
    g_free(client);
}

static void
on_poll_closed(uv_handle_t *handle)
{
    g_free(handle->data);
}

static int
on_socket(CURL *easy, curl_socket_t fd, int what, void *user, void *state)
{
    struct probe_client *client = user;
    struct probe_socket *watched = state;
    int events = 0;

    (void)easy;
    if (what == CURL_POLL_REMOVE) {
        if (watched != NULL) {
            uv_poll_stop(&watched->poll);
            uv_close((uv_handle_t *)&watched->poll, on_poll_closed);
            if (!client->closing) {
                curl_multi_assign(client->multi, fd, NULL);
            }
        }
        return 0;
    }
    if (watched == NULL) {
        watched = g_new0(struct probe_socket, 1);
        watched->client = client;
        watched->fd = fd;
        uv_poll_init_socket(client->loop, &watched->poll, fd);
        watched->poll.data = watched;
        curl_multi_assign(client->multi, fd, watched);
    }
    events |= (what & CURL_POLL_IN) != 0 ? UV_READABLE : 0;
    events |= (what & CURL_POLL_OUT) != 0 ? UV_WRITABLE : 0;
    uv_poll_start(&watched->poll, events, on_poll);
    return 0;
}

static int
on_timeout(CURLM *multi, long timeout_ms, void *user)
{
    struct probe_client *client = user;

    (void)multi;
    if (client->closing) {
        return 0;
    }
    if (timeout_ms < 0) {
        uv_timer_stop(&client->timer);
    }
    else {
        uv_timer_start(&client->timer, on_timer, (uint64_t)timeout_ms, 0);
    }
    return 0;
}

static void
on_poll(uv_poll_t *poll, int status, int events)
{
    struct probe_socket *watched = poll->data;
    struct probe_client *client = watched->client;
    int flags = 0, running;

    flags |= (events & UV_READABLE) != 0 ? CURL_CSELECT_IN : 0;
    flags |= (events & UV_WRITABLE) != 0 ? CURL_CSELECT_OUT : 0;
    flags |= status < 0 ? CURL_CSELECT_ERR : 0;
    curl_multi_socket_action(client->multi, watched->fd, flags, &running);
    reap(client);
}

static void
on_timer(uv_timer_t *timer)
{
    struct probe_client *client = timer->data;
    int running;

    curl_multi_socket_action(client->multi, CURL_SOCKET_TIMEOUT, 0, &running);
    reap(client);
}

/* Keep the first bytes of the body; the rest is read and dropped. */
static size_t
on_body(char *data, size_t size, size_t count, void *user)
{
    struct probe *probe = user;
    size_t len = size * count, room = BODY_MAX - probe->body_len;
    size_t kept = len < room ? len : room;

    memcpy(probe->body + probe->body_len, data, kept);
    probe->body_len += kept;
    return len;
}

static void
finish(struct probe_client *client, CURL *easy, CURLcode code)
{
    struct probe_result result = {.answered = code == CURLE_OK};
    struct probe *probe;
    char *end;

    curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&probe);
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &result.status);
    probe->body[probe->body_len] = '\0';
    result.load = g_ascii_strtod(probe->body, &end);
    result.has_load = result.answered && end != probe->body &&
                      result.load >= 0.0 && result.load <= 1.0;
    curl_multi_remove_handle(client->multi, easy);
    curl_easy_cleanup(easy);
    client->running--;
    client->handler.done(client->handler.user, probe->token, &result);
    g_free(probe);
}

static void
reap(struct probe_client *client)
{
    CURLMsg *message;
    int left;

    while ((message = curl_multi_info_read(client->multi, &left)) != NULL) {
        if (message->msg == CURLMSG_DONE) {
            finish(client, message->easy_handle, message->data.result);
        }
    }
}

/*
 * Start one GET of URL.  The handler gets TOKEN back with the result.  False
 * if too many are running.
 */
bool
probe_start(struct probe_client *client, const char *url, long timeout_ms,
            uint64_t token)
{
    struct probe *probe;
    CURL *easy;

    if (client->running >= PROBES_MAX || (easy = curl_easy_init()) == NULL) {
        return false;
    }
    probe = g_new0(struct probe, 1);
    probe->token = token;
    curl_easy_setopt(easy, CURLOPT_URL, url);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, probe);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, probe);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, timeout_ms);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
    curl_multi_add_handle(client->multi, easy);
    client->running++;
    return true;
}
