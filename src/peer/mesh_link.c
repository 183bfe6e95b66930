/* Connections that this daemon opens: hello, queue, retry with backoff. */
#include <string.h>

#include "base/log.h"
#include "peer/hello.pb-c.h"
#include "peer/mesh_private.h"

static void dial(struct mesh_link *);
static void on_connect(uv_connect_t *, int);
static void on_closed(uv_handle_t *);
static void on_retry(uv_timer_t *);
static void on_read(uv_stream_t *, ssize_t, const uv_buf_t *);
static void drop(struct mesh_link *);
static void count(struct mesh *, enum peer_channel, size_t);
static void send_hello(struct mesh_link *);
static bool take_answer(struct mesh_link *, const struct frame *);
static bool take_pong(struct mesh_link *, const struct frame *);
static bool take_frames(struct mesh_link *);
static void append(struct mesh_link *, GByteArray *, enum peer_channel,
                   const uint8_t *, size_t);
static void flush(struct mesh_link *);
static void send_ping(struct mesh_link *);
static unsigned longer(unsigned ms, unsigned max_ms);
static unsigned jittered(unsigned ms);

/* A link without a connection; the first message opens it. */
struct mesh_link *
mesh_link_new(struct mesh *mesh, struct daemon_id id)
{
    struct mesh_link *link = g_new0(struct mesh_link, 1);

    link->mesh = mesh;
    link->id = id;
    link->retry_ms = MESH_RETRY_MIN_MS;
    link->open_ms = MESH_OPEN_MIN_MS;
    link->queue = g_byte_array_new();
    link->unstamped = g_array_new(FALSE, FALSE, sizeof(struct mesh_unstamped));
    link->input = g_byte_array_new();
    uv_timer_init(mesh->loop, &link->retry);
    link->retry.data = link;
    link->connect.data = link;
    return link;
}

/* Begin to close the link's handles; the mesh frees it later. */
void
mesh_link_close(struct mesh_link *link)
{
    link->ended = true;
    drop(link);
    uv_close((uv_handle_t *)&link->retry, NULL);
}

/* Give the connection up, as the peer has moved to another address. */
void
mesh_link_reset(struct mesh_link *link)
{
    drop(link);
}

static void
dial(struct mesh_link *link)
{
    struct sockaddr_in to;

    if (link->ended || link->state != MESH_LINK_IDLE ||
        uv_is_active((uv_handle_t *)&link->retry)) {
        return;
    }
    uv_tcp_init(link->mesh->loop, &link->tcp);
    uv_tcp_nodelay(&link->tcp, 1);
    link->tcp.data = link;
    link->state = MESH_LINK_OPENING;
    link->unanswered = 0;
    g_byte_array_set_size(link->input, 0);
    uv_timer_start(&link->retry, on_retry, link->open_ms, 0);
    link->open_ms = longer(link->open_ms, MESH_OPEN_MAX_MS);
    mesh_sockaddr(mesh_way_to(link->mesh, link->address), &to);
    if (uv_tcp_connect(&link->connect, &link->tcp, (struct sockaddr *)&to,
                       on_connect) != 0) {
        drop(link);
    }
}

/* Close the connection; what waits is lost and its senders repeat it. */
static void
drop(struct mesh_link *link)
{
    if (link->state == MESH_LINK_IDLE || link->state == MESH_LINK_CLOSING) {
        return;
    }
    link->state = MESH_LINK_CLOSING;
    uv_timer_stop(&link->retry);
    g_byte_array_set_size(link->queue, 0);
    g_array_set_size(link->unstamped, 0);
    uv_close((uv_handle_t *)&link->tcp, on_closed);
}

static void
on_closed(uv_handle_t *handle)
{
    struct mesh_link *link = handle->data;

    link->state = MESH_LINK_IDLE;
    if (link->ended) {
        return;
    }
    uv_timer_start(&link->retry, on_retry, jittered(link->retry_ms), 0);
    link->retry_ms = longer(link->retry_ms, MESH_RETRY_MAX_MS);
}

/* The wait after one of MS was in vain, at most MAX_MS. */
static unsigned
longer(unsigned ms, unsigned max_ms)
{
    return MIN((unsigned)(ms * MESH_BACKOFF) + 1, max_ms);
}

/* Between three quarters and all of MS, so that peers do not retry at once. */
static unsigned
jittered(unsigned ms)
{
    return ms - (unsigned)g_random_int_range(0, (gint32)(ms / 4) + 1);
}

/* Ask whether the connection still works; give it up without an answer. */
static void
send_ping(struct mesh_link *link)
{
    GByteArray *frames;

    if (link->unanswered * MESH_PING_MS >= MESH_PONG_MS) {
        log_state(G_LOG_LEVEL_MESSAGE, "a connection to a peer is silent",
                  "cause", "no answer to pings", NULL);
        drop(link);
        return;
    }
    link->unanswered++;
    frames = g_byte_array_new();
    frame_append(frames, PEER_PING, NULL, 0);
    mesh_write(link->mesh, &link->tcp, frames);
}

static void
on_retry(uv_timer_t *timer)
{
    struct mesh_link *link = timer->data;

    switch (link->state) {
    case MESH_LINK_OPENING:
        drop(link);
        break;
    case MESH_LINK_READY:
        send_ping(link);
        break;
    case MESH_LINK_IDLE:
        if (link->queue->len > 0) {
            dial(link);
        }
        break;
    case MESH_LINK_CLOSING:
    case MESH_LINK__MAX:
        break;
    }
}

static void
send_hello(struct mesh_link *link)
{
    struct mesh *mesh = link->mesh;
    Parsleyspur__Hello hello = PARSLEYSPUR__HELLO__INIT;
    GByteArray *frames = g_byte_array_new();
    uint8_t packed[512];
    size_t len;

    hello.version = MESH_VERSION;
    hello.cluster = mesh->settings->cluster;
    hello.name = mesh->settings->name;
    hello.zone = mesh->settings->zone;
    hello.address = mesh->settings->address.address;
    hello.incarnation = mesh->incarnation;
    len = parsleyspur__hello__pack(&hello, packed);
    frame_append(frames, PEER_HELLO, packed, len);
    mesh_write(mesh, &link->tcp, frames);
}

static void
on_connect(uv_connect_t *connect, int status)
{
    struct mesh_link *link = connect->data;

    if (status == UV_ECANCELED) {
        return;
    }
    if (status != 0) {
        drop(link);
        return;
    }
    send_hello(link);
    uv_read_start((uv_stream_t *)&link->tcp, mesh_alloc, on_read);
}

/* Read the hello's answer; false if the connection must be dropped. */
static bool
take_answer(struct mesh_link *link, const struct frame *frame)
{
    Parsleyspur__HelloAnswer *answer;
    bool accepted;

    if (frame->channel != PEER_HELLO_ANSWER) {
        return false;
    }
    answer =
        parsleyspur__hello_answer__unpack(NULL, frame->len, frame->payload);
    if (answer == NULL) {
        return false;
    }
    accepted = answer->accepted;
    link->stamp = answer->stamp;
    if (!accepted) {
        counter_add(link->mesh->counters, COUNTER_PEER_REFUSED, 1);
        log_state(G_LOG_LEVEL_WARNING, "peer refused the connection", "reason",
                  answer->reason, NULL);
    }
    parsleyspur__hello_answer__free_unpacked(answer, NULL);
    if (accepted) {
        link->state = MESH_LINK_READY;
        link->retry_ms = MESH_RETRY_MIN_MS;
        link->open_ms = MESH_OPEN_MIN_MS;
        uv_timer_start(&link->retry, on_retry, MESH_PING_MS, MESH_PING_MS);
    }
    return accepted;
}

/* Read the answer to a ping; false if it is none. */
static bool
take_pong(struct mesh_link *link, const struct frame *frame)
{
    if (frame->channel != PEER_PONG || frame->len != MESH_STAMP_LEN) {
        return false;
    }
    link->unanswered = 0;
    link->stamp = mesh_get_stamp(frame->payload);
    return true;
}

/* Handle whole frames of the input; false if the link must be dropped. */
static bool
take_frames(struct mesh_link *link)
{
    struct frame frame;
    size_t used, done = 0;
    bool ok = true;

    while (ok) {
        enum frame_result result = frame_next(
            link->input->data + done, link->input->len - done, &frame, &used);

        if (result == FRAME_PARTIAL) {
            break;
        }
        ok = result == FRAME_READY;
        if (ok && link->state == MESH_LINK_OPENING) {
            ok = take_answer(link, &frame);
        }
        else if (ok) {
            ok = take_pong(link, &frame);
        }
        done += ok ? used : 0;
    }
    if (done > 0) {
        g_byte_array_remove_range(link->input, 0, (guint)done);
    }
    return ok;
}

static void
on_read(uv_stream_t *stream, ssize_t len, const uv_buf_t *buffer)
{
    struct mesh_link *link = stream->data;

    if (len > 0) {
        g_byte_array_append(link->input, (const guint8 *)buffer->base,
                            (guint)len);
    }
    g_free(buffer->base);
    if (len < 0 || (len > 0 && !take_frames(link))) {
        drop(link);
        return;
    }
    if (link->state == MESH_LINK_READY && link->queue->len > 0) {
        flush(link);
    }
}

/* Append a message to FRAMES, with the last stamp if it is to carry one. */
static void
append(struct mesh_link *link, GByteArray *frames, enum peer_channel channel,
       const uint8_t *payload, size_t len)
{
    GByteArray *stamped;

    if (!mesh_carries_stamp(channel)) {
        frame_append(frames, channel, payload, len);
        return;
    }
    stamped = g_byte_array_sized_new((guint)(MESH_STAMP_LEN + len));
    g_byte_array_set_size(stamped, MESH_STAMP_LEN);
    mesh_put_stamp(stamped->data, link->stamp);
    g_byte_array_append(stamped, payload, (guint)len);
    frame_append(frames, channel, stamped->data, stamped->len);
    g_byte_array_unref(stamped);
}

/*
 * Write what has waited for the connection.  The stamp of a message that has
 * waited here for long would not tell its age, so that it gets none.
 */
static void
flush(struct mesh_link *link)
{
    GByteArray *waiting = link->queue;
    uint64_t now_us = clock_boottime_us();

    for (guint i = 0; i < link->unstamped->len; i++) {
        const struct mesh_unstamped *frame =
            &g_array_index(link->unstamped, struct mesh_unstamped, i);
        bool waited = now_us - frame->queued_us > MESH_QUEUED_MAX_US;

        mesh_put_stamp(waiting->data + frame->offset,
                       waited ? MESH_STAMP_NONE : link->stamp);
    }
    g_array_set_size(link->unstamped, 0);
    link->queue = g_byte_array_new();
    mesh_write(link->mesh, &link->tcp, waiting);
}

/* Packets that are handed on are no control traffic. */
static void
count(struct mesh *mesh, enum peer_channel channel, size_t len)
{
    counter_add(mesh->counters,
                channel == PEER_HANDON_CALL ? COUNTER_PEER_HANDON_BYTES_OUT
                                            : COUNTER_PEER_BYTES_OUT,
                len);
}

/* Send, or queue until the hello is answered.  False if too much waits. */
bool
mesh_link_send(struct mesh_link *link, enum peer_channel channel,
               const uint8_t *payload, size_t len)
{
    if (link->ended) {
        return false;
    }
    if (link->state == MESH_LINK_READY) {
        GByteArray *frames =
            g_byte_array_sized_new((guint)(FRAME_HEADER_LEN + len));

        append(link, frames, channel, payload, len);
        count(link->mesh, channel, frames->len);
        return mesh_write(link->mesh, &link->tcp, frames);
    }
    if (link->queue->len + len > MESH_QUEUE_MAX) {
        counter_add(link->mesh->counters, COUNTER_PEER_QUEUE_FULL, 1);
        return false;
    }
    if (mesh_carries_stamp(channel)) {
        struct mesh_unstamped frame = {link->queue->len + FRAME_HEADER_LEN,
                                       clock_boottime_us()};

        g_array_append_val(link->unstamped, frame);
    }
    append(link, link->queue, channel, payload, len);
    count(link->mesh, channel, FRAME_HEADER_LEN + len);
    dial(link);
    return true;
}
