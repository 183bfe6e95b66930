/* Connections that peers open: hello, then messages for the channels. */
#include <string.h>

#include "base/log.h"
#include "peer/hello.pb-c.h"
#include "peer/mesh_private.h"

static void on_limit(uv_timer_t *);
static void on_closed(uv_handle_t *);
static void on_read(uv_stream_t *, ssize_t, const uv_buf_t *);
static bool take_frames(struct mesh_accepted *);
static bool take_frame(struct mesh_accepted *, const struct frame *);
static bool take_hello(struct mesh_accepted *, const struct frame *);
static char *hello_fault(const struct mesh *, const Parsleyspur__Hello *);
static void send_answer(struct mesh_accepted *, const char *fault);
static void send_pong(struct mesh_accepted *);
static bool give(struct mesh_accepted *, const struct frame *);

/* Take one connection, unless too many are open. */
void
mesh_on_accept(uv_stream_t *listener, int status)
{
    struct mesh *mesh = listener->data;
    struct mesh_accepted *accepted;

    if (status != 0) {
        return;
    }
    accepted = g_new0(struct mesh_accepted, 1);
    accepted->mesh = mesh;
    accepted->input = g_byte_array_new();
    accepted->open_handles = 2;
    uv_tcp_init(mesh->loop, &accepted->tcp);
    uv_timer_init(mesh->loop, &accepted->limit);
    accepted->tcp.data = accepted;
    accepted->limit.data = accepted;
    g_hash_table_add(mesh->accepted, accepted);
    if (uv_accept(listener, (uv_stream_t *)&accepted->tcp) != 0 ||
        g_hash_table_size(mesh->accepted) > MESH_ACCEPTED_MAX) {
        counter_add(mesh->counters, COUNTER_PEER_REFUSED, 1);
        mesh_accepted_close(accepted);
        return;
    }
    uv_timer_start(&accepted->limit, on_limit, MESH_HELLO_MS, 0);
    uv_read_start((uv_stream_t *)&accepted->tcp, mesh_alloc, on_read);
}

/* Begin to close the connection; it frees itself. */
void
mesh_accepted_close(struct mesh_accepted *accepted)
{
    if (uv_is_closing((uv_handle_t *)&accepted->tcp)) {
        return;
    }
    uv_close((uv_handle_t *)&accepted->tcp, on_closed);
    uv_close((uv_handle_t *)&accepted->limit, on_closed);
}

static void
on_closed(uv_handle_t *handle)
{
    struct mesh_accepted *accepted = handle->data;

    if (--accepted->open_handles > 0) {
        return;
    }
    g_hash_table_remove(accepted->mesh->accepted, accepted);
    g_byte_array_unref(accepted->input);
    g_free(accepted);
}

static void
on_limit(uv_timer_t *timer)
{
    mesh_accepted_close(timer->data);
}

/* What is wrong with HELLO, as a text that the caller frees; else NULL. */
static char *
hello_fault(const struct mesh *mesh, const Parsleyspur__Hello *hello)
{
    if (hello->version != MESH_VERSION) {
        return g_strdup_printf("protocol version %u, expected %u; run the "
                               "same release on both",
                               hello->version, MESH_VERSION);
    }
    if (strcmp(hello->cluster, mesh->settings->cluster) != 0) {
        return g_strdup_printf("cluster \"%s\", expected \"%s\"; set "
                               "--cluster alike",
                               hello->cluster, mesh->settings->cluster);
    }
    if (view_daemon_id(hello->name).value == mesh->self.value) {
        return g_strdup_printf("daemon name \"%s\" is this daemon's own; give "
                               "each daemon its own --name",
                               hello->name);
    }
    return NULL;
}

static void
send_answer(struct mesh_accepted *accepted, const char *fault)
{
    Parsleyspur__HelloAnswer answer = PARSLEYSPUR__HELLO_ANSWER__INIT;
    GByteArray *frames = g_byte_array_new();
    uint8_t packed[1024];
    size_t len;

    answer.accepted = fault == NULL;
    answer.reason = (char *)(uintptr_t)(fault == NULL ? "" : fault);
    answer.name = accepted->mesh->settings->name;
    answer.stamp = clock_boottime_us();
    if (parsleyspur__hello_answer__get_packed_size(&answer) > sizeof(packed)) {
        answer.reason = (char *)(uintptr_t) "refused";
    }
    len = parsleyspur__hello_answer__pack(&answer, packed);
    frame_append(frames, PEER_HELLO_ANSWER, packed, len);
    mesh_write(accepted->mesh, &accepted->tcp, frames);
}

static bool
take_hello(struct mesh_accepted *accepted, const struct frame *frame)
{
    struct mesh *mesh = accepted->mesh;
    Parsleyspur__Hello *hello;
    char *fault;

    if (frame->channel != PEER_HELLO) {
        return false;
    }
    hello = parsleyspur__hello__unpack(NULL, frame->len, frame->payload);
    if (hello == NULL) {
        return false;
    }
    fault = hello_fault(mesh, hello);
    send_answer(accepted, fault);
    if (fault == NULL) {
        accepted->greeted = true;
        accepted->sender.id = view_daemon_id(hello->name);
        accepted->sender.address = hello->address;
        uv_timer_start(&accepted->limit, on_limit, MESH_SILENCE_MS, 0);
        mesh_set_peer(mesh, accepted->sender.id, hello->address);
    }
    else {
        counter_add(mesh->counters, COUNTER_PEER_REFUSED, 1);
        log_state(G_LOG_LEVEL_WARNING, "refused a peer", "peer", hello->name,
                  "reason", fault, NULL);
        g_free(fault);
    }
    parsleyspur__hello__free_unpacked(hello, NULL);
    return true;
}

/* Answer a ping; without pings the connection is closed before long. */
static void
send_pong(struct mesh_accepted *accepted)
{
    GByteArray *frames = g_byte_array_new();
    uint8_t stamp[MESH_STAMP_LEN];

    uv_timer_start(&accepted->limit, on_limit, MESH_SILENCE_MS, 0);
    mesh_put_stamp(stamp, clock_boottime_us());
    frame_append(frames, PEER_PONG, stamp, sizeof(stamp));
    mesh_write(accepted->mesh, &accepted->tcp, frames);
}

/* Handle one frame; false if the connection must be closed. */
static bool
take_frame(struct mesh_accepted *accepted, const struct frame *frame)
{
    struct mesh *mesh = accepted->mesh;

    if (!accepted->greeted) {
        return take_hello(accepted, frame);
    }
    if (frame->channel == PEER_HELLO || frame->channel == PEER_HELLO_ANSWER) {
        return false;
    }
    if (frame->channel == PEER_PING) {
        send_pong(accepted);
        return true;
    }
    if (frame->channel != PEER_HANDON_CALL) {
        counter_add(mesh->counters, COUNTER_PEER_BYTES_IN,
                    FRAME_HEADER_LEN + frame->len);
    }
    return give(accepted, frame);
}

/*
 * Give a message to its channel, with a bound on its age if it carries a
 * stamp.  False if the stamp is missing.
 */
static bool
give(struct mesh_accepted *accepted, const struct frame *frame)
{
    const struct mesh_handlers *handlers = &accepted->mesh->handlers;
    const uint8_t *payload = frame->payload;
    size_t len = frame->len;

    accepted->sender.age_us = MESH_AGE_UNKNOWN;
    if (mesh_carries_stamp(frame->channel)) {
        if (len < MESH_STAMP_LEN) {
            return false;
        }
        accepted->sender.age_us =
            mesh_stamp_age_us(payload, clock_boottime_us());
        payload += MESH_STAMP_LEN;
        len -= MESH_STAMP_LEN;
    }
    handlers->message(handlers->user, &accepted->sender, frame->channel,
                      payload, len);
    return true;
}

static bool
take_frames(struct mesh_accepted *accepted)
{
    GByteArray *input = accepted->input;
    size_t done = 0;
    bool ok = true;

    while (ok) {
        struct frame frame;
        size_t used;
        enum frame_result result =
            frame_next(input->data + done, input->len - done, &frame, &used);

        if (result == FRAME_PARTIAL) {
            break;
        }
        ok = result == FRAME_READY && take_frame(accepted, &frame);
        if (ok) {
            done += used;
        }
    }
    if (done > 0) {
        g_byte_array_remove_range(input, 0, (guint)done);
    }
    return ok;
}

static void
on_read(uv_stream_t *stream, ssize_t len, const uv_buf_t *buffer)
{
    struct mesh_accepted *accepted = stream->data;

    if (len > 0) {
        g_byte_array_append(accepted->input, (const guint8 *)buffer->base,
                            (guint)len);
    }
    g_free(buffer->base);
    if (len < 0) {
        mesh_accepted_close(accepted);
    }
    else if (len > 0 && !take_frames(accepted)) {
        counter_add(accepted->mesh->counters, COUNTER_PEER_BAD_FRAMES, 1);
        mesh_accepted_close(accepted);
    }
}
