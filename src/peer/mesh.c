/* The mesh's sockets and its table of peers. */
#include "peer/mesh.h"

#include <string.h>

#include "base/err.h"
#include "base/hash.h"
#include "peer/mesh_private.h"

#define DATAGRAM_MAX   65536
#define SOCKET_BUFFER  4194304 /* bytes asked for; the kernel may cut */
#define DATAGRAM_BATCH 20      /* messages that one recvmmsg may bring */

struct mesh_request {
    uv_write_t write;
    GByteArray *bytes;
};

static void on_write(uv_write_t *, int);
static void alloc_datagrams(uv_handle_t *, size_t, uv_buf_t *);
static void on_datagram(uv_udp_t *, ssize_t, const uv_buf_t *,
                        const struct sockaddr *, unsigned);
static bool open_sockets(struct mesh *, GError **);

/* Where to send for a peer at ADDRESS: the peer map goes first. */
struct settings_endpoint
mesh_way_to(const struct mesh *mesh, uint32_t address)
{
    const struct settings *settings = mesh->settings;
    struct settings_endpoint endpoint = {address,
                                         (uint16_t)settings->peer_port};

    for (size_t i = 0; i < settings->peer_map_count; i++) {
        if (settings->peer_map[i].address == address) {
            return settings->peer_map[i].via;
        }
    }
    return endpoint;
}

void
mesh_sockaddr(struct settings_endpoint endpoint, struct sockaddr_in *out)
{
    memset(out, 0, sizeof(*out));
    out->sin_family = AF_INET;
    out->sin_addr.s_addr = htonl(endpoint.address);
    out->sin_port = htons(endpoint.port);
}

/* A buffer of libuv's suggested size, freed by the read callback. */
void
mesh_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    (void)handle;
    *buffer = uv_buf_init(g_malloc(suggested), (unsigned)suggested);
}

static void
on_write(uv_write_t *write, int status)
{
    struct mesh_request *request = (struct mesh_request *)write;

    (void)status;
    g_byte_array_unref(request->bytes);
    g_free(request);
}

/* Write FRAMES, whose bytes are taken over; false if the queue is full. */
bool
mesh_write(struct mesh *mesh, uv_tcp_t *tcp, GByteArray *frames)
{
    struct mesh_request *request;
    uv_buf_t buffer;

    if (uv_stream_get_write_queue_size((uv_stream_t *)tcp) > MESH_QUEUE_MAX) {
        counter_add(mesh->counters, COUNTER_PEER_QUEUE_FULL, 1);
        g_byte_array_unref(frames);
        return false;
    }
    request = g_new0(struct mesh_request, 1);
    request->bytes = frames;
    buffer = uv_buf_init((char *)frames->data, frames->len);
    if (uv_write(&request->write, (uv_stream_t *)tcp, &buffer, 1, on_write) !=
        0) {
        on_write(&request->write, 0);
        return false;
    }
    return true;
}

static void
alloc_datagrams(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    struct mesh *mesh = handle->data;

    (void)suggested;
    *buffer =
        uv_buf_init((char *)mesh->udp_buffer, DATAGRAM_MAX * DATAGRAM_BATCH);
}

/* Check the datagram's head and give the rest to its channel. */
static void
on_datagram(uv_udp_t *udp, ssize_t len, const uv_buf_t *buffer,
            const struct sockaddr *from, unsigned flags)
{
    struct mesh *mesh = udp->data;
    const uint8_t *data = (const uint8_t *)buffer->base;
    struct mesh_sender sender = {.age_us = MESH_AGE_UNKNOWN};
    uint32_t cluster;

    (void)flags;
    if (len <= 0 || from == NULL) {
        return;
    }
    if (len < MESH_DATAGRAM_HEAD || data[0] != MESH_VERSION ||
        data[1] >= PEER_CHANNEL__MAX) {
        counter_add(mesh->counters, COUNTER_PEER_BAD_FRAMES, 1);
        return;
    }
    memcpy(&cluster, data + 2, sizeof(cluster));
    memcpy(&sender.id.value, data + 6, sizeof(sender.id.value));
    if (GUINT32_FROM_LE(cluster) != mesh->cluster) {
        counter_add(mesh->counters, COUNTER_PEER_REFUSED, 1);
        return;
    }
    sender.id.value = GUINT64_FROM_LE(sender.id.value);
    if (data[1] == PEER_MEMBER) {
        counter_add(mesh->counters, COUNTER_PEER_BYTES_IN, (uint64_t)len);
    }
    mesh->handlers.datagram(
        mesh->handlers.user, &sender, (enum peer_channel)data[1],
        data + MESH_DATAGRAM_HEAD, (size_t)len - MESH_DATAGRAM_HEAD);
}

static bool
open_sockets(struct mesh *mesh, GError **error)
{
    struct settings_endpoint self = {mesh->settings->address.address,
                                     (uint16_t)mesh->settings->peer_port};
    struct sockaddr_in address;
    int failed, buffer_size = SOCKET_BUFFER;

    mesh_sockaddr(self, &address);
    uv_tcp_init(mesh->loop, &mesh->listener);
    uv_udp_init_ex(mesh->loop, &mesh->udp, AF_INET | UV_UDP_RECVMMSG);
    mesh->listener.data = mesh;
    mesh->udp.data = mesh;
    failed = uv_tcp_bind(&mesh->listener, (struct sockaddr *)&address, 0);
    if (failed == 0) {
        failed =
            uv_listen((uv_stream_t *)&mesh->listener, 128, mesh_on_accept);
    }
    if (failed == 0) {
        failed = uv_udp_bind(&mesh->udp, (struct sockaddr *)&address, 0);
    }
    uv_recv_buffer_size((uv_handle_t *)&mesh->udp, &buffer_size);
    if (failed == 0) {
        failed = uv_udp_recv_start(&mesh->udp, alloc_datagrams, on_datagram);
    }
    if (failed != 0) {
        g_set_error(error, ERR_DOMAIN, ERR_NETWORK,
                    "--peer-port %u on the daemon's address: %s; stop what "
                    "holds it, or give another --address or --peer-port",
                    self.port, uv_strerror(failed));
        return false;
    }
    return true;
}

/*
 * Open the mesh's sockets.  Returns NULL with ERR_NETWORK if a port is taken.
 * End with mesh_close(), run the loop until it is idle, then mesh_free().
 */
struct mesh *
mesh_new(const struct mesh_options *options, GError **error)
{
    struct mesh *mesh = g_new0(struct mesh, 1);

    mesh->loop = options->loop;
    mesh->settings = options->settings;
    mesh->incarnation = options->incarnation;
    mesh->counters = options->counters;
    mesh->handlers = options->handlers;
    mesh->cluster = (uint32_t)hash_string(options->settings->cluster);
    mesh->self = view_daemon_id(options->settings->name);
    mesh->links = g_hash_table_new(g_int64_hash, g_int64_equal);
    mesh->accepted = g_hash_table_new(NULL, NULL);
    mesh->udp_buffer = g_malloc((size_t)DATAGRAM_MAX * DATAGRAM_BATCH);
    if (!open_sockets(mesh, error)) {
        mesh_close(mesh);
        uv_run(mesh->loop, UV_RUN_NOWAIT);
        mesh_free(mesh);
        return NULL;
    }
    return mesh;
}

/* Begin to close every handle of the mesh. */
void
mesh_close(struct mesh *mesh)
{
    GHashTableIter iter;
    gpointer key, value;

    uv_close((uv_handle_t *)&mesh->listener, NULL);
    uv_close((uv_handle_t *)&mesh->udp, NULL);
    g_hash_table_iter_init(&iter, mesh->links);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        mesh_link_close(value);
    }
    g_hash_table_iter_init(&iter, mesh->accepted);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        mesh_accepted_close(value);
    }
}

/* Free the mesh, after the loop has run the close callbacks. */
void
mesh_free(struct mesh *mesh)
{
    GHashTableIter iter;
    gpointer key, value;

    g_hash_table_iter_init(&iter, mesh->links);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        struct mesh_link *link = value;

        g_byte_array_unref(link->queue);
        g_array_unref(link->unstamped);
        g_byte_array_unref(link->input);
        g_free(link);
    }
    g_hash_table_destroy(mesh->links);
    g_hash_table_destroy(mesh->accepted);
    g_free(mesh->udp_buffer);
    g_free(mesh);
}

/* Make known, or change, the address of the peer ID. */
void
mesh_set_peer(struct mesh *mesh, struct daemon_id id, uint32_t address)
{
    struct mesh_link *link = g_hash_table_lookup(mesh->links, &id.value);

    if (id.value == 0 || id.value == mesh->self.value) {
        return;
    }
    if (link == NULL) {
        link = mesh_link_new(mesh, id);
        g_hash_table_insert(mesh->links, &link->id.value, link);
    }
    if (link->address != 0 && link->address != address) {
        mesh_link_reset(link);
    }
    link->address = address;
}

/* The address of the peer ID, or 0 if it is not known. */
uint32_t
mesh_peer_address(const struct mesh *mesh, struct daemon_id id)
{
    const struct mesh_link *link = g_hash_table_lookup(mesh->links, &id.value);

    return link == NULL ? 0 : link->address;
}

/*
 * Send one message to the peer TO, opening the connection if need be.  False
 * if the peer is not known or too much waits for it.
 */
bool
mesh_send(struct mesh *mesh, struct daemon_id to, enum peer_channel channel,
          const uint8_t *payload, size_t len)
{
    struct mesh_link *link = g_hash_table_lookup(mesh->links, &to.value);

    if (link == NULL || len > FRAME_PAYLOAD_MAX) {
        return false;
    }
    return mesh_link_send(link, channel, payload, len);
}

/*
 * Send one datagram of two parts to the peer at ADDRESS.  False if the socket
 * does not take it; datagrams are never queued.
 */
bool
mesh_send_datagram(struct mesh *mesh, uint32_t address,
                   enum peer_channel channel, const uint8_t *head,
                   size_t head_len, const uint8_t *body, size_t body_len)
{
    uint8_t start[MESH_DATAGRAM_HEAD] = {MESH_VERSION, (uint8_t)channel};
    uint32_t cluster = GUINT32_TO_LE(mesh->cluster);
    uint64_t self = GUINT64_TO_LE(mesh->self.value);
    uv_buf_t buffers[3] = {
        uv_buf_init((char *)start, sizeof(start)),
        uv_buf_init((char *)(uintptr_t)head, (unsigned)head_len),
        uv_buf_init((char *)(uintptr_t)body, (unsigned)body_len)};
    struct sockaddr_in to;

    memcpy(start + 2, &cluster, sizeof(cluster));
    memcpy(start + 6, &self, sizeof(self));
    mesh_sockaddr(mesh_way_to(mesh, address), &to);
    if (channel == PEER_HANDON_FLOW || channel == PEER_HANDON_CALL ||
        channel == PEER_RELAY) {
        counter_add(mesh->counters, COUNTER_PEER_HANDON_BYTES_OUT,
                    sizeof(start) + head_len + body_len);
    }
    else {
        counter_add(mesh->counters, COUNTER_PEER_BYTES_OUT,
                    sizeof(start) + head_len + body_len);
    }
    return uv_udp_try_send(&mesh->udp, buffers, 3,
                           (const struct sockaddr *)&to) >= 0;
}
