/* One TCP way between two daemons. */
#include "lib_tcp_proxy.h"

#include <string.h>

#define TCP_BACKLOG     64     /* connections waiting */
#define TCP_PIECE_MAX   65536  /* bytes read at once */
#define TCP_QUEUE_MAX   262144 /* bytes held back before reading stops */
#define TCP_RETRY_MS    200    /* what a lost piece costs */
#define TCP_CUT_POLL_MS 20     /* how often a cut is looked at */
#define TCP_FLUSH_MS    4      /* how often held pieces are looked at */

struct tcp_proxy {
    struct path *path;
    uint32_t from;
    uint32_t to;
    struct net_address target;
    uv_tcp_t listener;
    GPtrArray *links;
};

struct piece {
    uint64_t due_ms;
    size_t len;
    char data[];
};

/* One direction of a proxied connection. */
struct half {
    struct link *link;
    uv_tcp_t in;
    struct half *other; /* the pieces leave by its socket */
    uint32_t src;
    uint32_t dst;
    GQueue *pieces;
    size_t queued;
    uint64_t last_due_ms;
    bool reading;
    bool ended;
};

struct link {
    struct tcp_proxy *proxy;
    struct half near; /* towards the daemon that connected */
    struct half far;
    uv_connect_t connect;
    uv_timer_t timer;
    unsigned open; /* handles not yet closed */
    bool connected;
    bool closing;
};

struct write {
    uv_write_t request;
    struct piece *piece;
};

static void connection_cb(uv_stream_t *, int);
static void connect_cb(uv_connect_t *, int);
static void half_open(struct link *, struct half *, struct half *,
                      uint32_t src, uint32_t dst);
static void half_read(struct half *);
static void alloc_cb(uv_handle_t *, size_t, uv_buf_t *);
static void read_cb(uv_stream_t *, ssize_t, const uv_buf_t *);
static void timer_cb(uv_timer_t *);
static void half_flush(struct half *, uint64_t now_ms);
static void write_cb(uv_write_t *, int);
static void link_close(struct link *);
static void close_cb(uv_handle_t *);

/* Proxy what connects to VIA on to the same port of the daemon TO. */
struct tcp_proxy *
tcp_proxy_new(struct path *path, uint32_t from, uint32_t to,
              struct net_address via)
{
    struct tcp_proxy *proxy = g_new0(struct tcp_proxy, 1);
    struct sockaddr_in local = net_sockaddr(via);
    int error;

    proxy->path = path;
    proxy->from = from;
    proxy->to = to;
    proxy->target.ip = to;
    proxy->target.port = via.port;
    proxy->links = g_ptr_array_new();
    uv_tcp_init(path->loop, &proxy->listener);
    proxy->listener.data = proxy;
    error = uv_tcp_bind(&proxy->listener, (const struct sockaddr *)&local, 0);
    if (error == 0) {
        error = uv_listen((uv_stream_t *)&proxy->listener, TCP_BACKLOG,
                          connection_cb);
    }
    if (error != 0) {
        net_die("peer proxy: %s", uv_strerror(error));
    }
    return proxy;
}

/* Reset every connection of PROXY. */
void
tcp_proxy_break(struct tcp_proxy *proxy)
{
    for (guint i = 0; i < proxy->links->len; i++) {
        link_close(g_ptr_array_index(proxy->links, i));
    }
}

static void
connection_cb(uv_stream_t *listener, int status)
{
    struct tcp_proxy *proxy = listener->data;
    struct sockaddr_in target = net_sockaddr(proxy->target);
    struct link *link;

    if (status != 0) {
        return;
    }
    link = g_new0(struct link, 1);
    link->proxy = proxy;
    link->open = 3;
    half_open(link, &link->near, &link->far, proxy->from, proxy->to);
    half_open(link, &link->far, &link->near, proxy->to, proxy->from);
    uv_timer_init(proxy->path->loop, &link->timer);
    link->timer.data = link;
    uv_timer_start(&link->timer, timer_cb, TCP_FLUSH_MS, TCP_FLUSH_MS);
    g_ptr_array_add(proxy->links, link);
    uv_accept(listener, (uv_stream_t *)&link->near.in);
    link->connect.data = link;
    uv_tcp_connect(&link->connect, &link->far.in,
                   (const struct sockaddr *)&target, connect_cb);
}

static void
half_open(struct link *link, struct half *half, struct half *other,
          uint32_t src, uint32_t dst)
{
    half->link = link;
    half->other = other;
    half->src = src;
    half->dst = dst;
    half->pieces = g_queue_new();
    uv_tcp_init(link->proxy->path->loop, &half->in);
    half->in.data = half;
    uv_tcp_nodelay(&half->in, 1);
}

static void
connect_cb(uv_connect_t *connect, int status)
{
    struct link *link = connect->data;

    if (status != 0) {
        link_close(link);
        return;
    }
    link->connected = true;
    half_read(&link->near);
    half_read(&link->far);
}

static void
half_read(struct half *half)
{
    if (!half->reading && !half->ended && !half->link->closing) {
        half->reading = true;
        uv_read_start((uv_stream_t *)&half->in, alloc_cb, read_cb);
    }
}

static void
alloc_cb(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
    struct piece *piece = g_malloc(sizeof(*piece) + TCP_PIECE_MAX);

    (void)handle;
    (void)suggested;
    *buf = uv_buf_init(piece->data, TCP_PIECE_MAX);
}

static void
read_cb(uv_stream_t *stream, ssize_t len, const uv_buf_t *buf)
{
    struct half *half = stream->data;
    struct path *path = half->link->proxy->path;
    struct piece *piece =
        (struct piece *)(void *)(buf->base - offsetof(struct piece, data));
    struct fault_verdict verdict;
    uint64_t due_ms;

    if (len <= 0) {
        half->ended = half->ended || len < 0;
        if (buf->base != NULL) {
            g_free(piece);
        }
        return;
    }
    fault_judge(path->rules, half->src, half->dst, &verdict);
    due_ms = net_now_ms() + verdict.delay_ms[0];
    if (verdict.copies == 0) {
        due_ms += TCP_RETRY_MS;
    }
    half->last_due_ms = MAX(half->last_due_ms, due_ms);
    piece->due_ms = half->last_due_ms;
    piece->len = (size_t)len;
    g_queue_push_tail(half->pieces, piece);
    half->queued += piece->len;
    if (half->queued > TCP_QUEUE_MAX) {
        half->reading = false;
        uv_read_stop(stream);
    }
    half_flush(half, net_now_ms());
}

static void
timer_cb(uv_timer_t *timer)
{
    struct link *link = timer->data;
    uint64_t now_ms = net_now_ms();

    half_flush(&link->near, now_ms);
    half_flush(&link->far, now_ms);
    if ((link->near.ended && link->near.queued == 0) ||
        (link->far.ended && link->far.queued == 0)) {
        link_close(link);
    }
}

/* Pass on the pieces that are due, unless the way is cut. */
static void
half_flush(struct half *half, uint64_t now_ms)
{
    struct path *path = half->link->proxy->path;
    struct piece *piece;

    if (!half->link->connected || half->link->closing) {
        return;
    }
    if (fault_is_cut(path->rules, half->src, half->dst)) {
        half->last_due_ms = MAX(half->last_due_ms, now_ms + TCP_CUT_POLL_MS);
        return;
    }
    while ((piece = g_queue_peek_head(half->pieces)) != NULL &&
           piece->due_ms <= now_ms) {
        struct write *write = g_new0(struct write, 1);
        uv_buf_t buf = uv_buf_init(piece->data, (unsigned)piece->len);

        g_queue_pop_head(half->pieces);
        half->queued -= piece->len;
        write->piece = piece;
        write->request.data = write;
        uv_write(&write->request, (uv_stream_t *)&half->other->in, &buf, 1,
                 write_cb);
    }
    if (half->queued <= TCP_QUEUE_MAX) {
        half_read(half);
    }
}

static void
write_cb(uv_write_t *request, int status)
{
    struct write *write = request->data;

    (void)status;
    g_free(write->piece);
    g_free(write);
}

static void
link_close(struct link *link)
{
    if (link->closing) {
        return;
    }
    link->closing = true;
    uv_close((uv_handle_t *)&link->near.in, close_cb);
    uv_close((uv_handle_t *)&link->far.in, close_cb);
    uv_close((uv_handle_t *)&link->timer, close_cb);
}

static void
close_cb(uv_handle_t *handle)
{
    struct link *link = handle->type == UV_TIMER
                            ? (struct link *)handle->data
                            : ((struct half *)handle->data)->link;

    link->open--;
    if (link->open > 0) {
        return;
    }
    g_ptr_array_remove_fast(link->proxy->links, link);
    g_queue_free_full(link->near.pieces, g_free);
    g_queue_free_full(link->far.pieces, g_free);
    g_free(link);
}
