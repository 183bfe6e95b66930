/*
 * Streams of a target: enough of TCP's outside to tell a whole flow from a
 * broken one.  One segment of a caller is in flight at a time; each is
 * echoed, and a repeated one gets the same echo again.
 */
#include "lib_target.h"

#include <netinet/in.h>
#include <string.h>

#define STREAM_FIRST_SEQUENCE 1000

struct flow_key {
    uint32_t src;
    uint32_t dst;
    uint16_t src_port;
    uint16_t dst_port;
};

struct stream {
    struct flow_key key;
    uint32_t first; /* sequence number of the opening */
    uint32_t receive_next;
    uint32_t send_next;
    uint32_t echoed; /* bytes of the last echo */
    bool forgotten;
    bool closed; /* kept to answer a repeated FIN */
};

struct target_streams {
    struct target *target;
    GHashTable *flows; /* struct stream, which is its own key */
};

static guint key_hash(gconstpointer);
static gboolean key_equal(gconstpointer, gconstpointer);
static struct flow_key key_of(const struct geneve_packet *);
static void reply(struct target_streams *, const struct geneve_packet *,
                  const struct stream *, uint8_t flags, uint32_t seq);
static void refuse(struct target_streams *, const struct geneve_packet *);
static void open_stream(struct target_streams *, const struct geneve_packet *);
static void on_reset(struct target_streams *, struct stream *,
                     const struct geneve_packet *);
static void on_fin(struct target_streams *, struct stream *,
                   const struct geneve_packet *);
static void on_data(struct target_streams *, struct stream *,
                    const struct geneve_packet *, const struct tag *);

static guint
key_hash(gconstpointer data)
{
    const struct flow_key *key = data;

    return key->src * 2654435761U ^ key->src_port * 40503U ^ key->dst ^
           key->dst_port;
}

static gboolean
key_equal(gconstpointer left, gconstpointer right)
{
    const struct flow_key *a = left, *b = right;

    return a->src == b->src && a->dst == b->dst &&
           a->src_port == b->src_port && a->dst_port == b->dst_port;
}

static struct flow_key
key_of(const struct geneve_packet *packet)
{
    struct flow_key key = {packet->src, packet->dst, packet->src_port,
                           packet->dst_port};

    return key;
}

struct target_streams *
target_streams_new(struct target *target)
{
    struct target_streams *streams = g_new0(struct target_streams, 1);

    streams->target = target;
    streams->flows = g_hash_table_new_full(key_hash, key_equal, NULL, g_free);
    return streams;
}

/* Answer PACKET without a payload. */
static void
reply(struct target_streams *streams, const struct geneve_packet *packet,
      const struct stream *stream, uint8_t flags, uint32_t seq)
{
    struct geneve_build build = {
        .src = packet->dst,
        .dst = packet->src,
        .src_port = packet->dst_port,
        .dst_port = packet->src_port,
        .tcp_flags = flags,
        .tcp_seq = seq,
        .tcp_ack = stream == NULL ? packet->tcp_seq : stream->receive_next,
    };

    target_send_tcp(streams->target, &build);
}

static void
refuse(struct target_streams *streams, const struct geneve_packet *packet)
{
    if ((packet->tcp_flags & GENEVE_TCP_RST) == 0) {
        reply(streams, packet, NULL, GENEVE_TCP_RST | GENEVE_TCP_ACK,
              packet->tcp_ack);
    }
}

static void
open_stream(struct target_streams *streams, const struct geneve_packet *packet)
{
    struct target *target = streams->target;
    struct stream *stream;
    json_t *fields = target_flow_json(packet);

    if (atomic_load(&target->flows) >= target->options.flow_limit) {
        ledger_write(target->ledger, "full", fields);
        refuse(streams, packet);
        return;
    }
    json_object_set_new(fields, "state",
                        json_string(target_state_name(target->state)));
    ledger_write(target->ledger, "open", fields);
    stream = g_new0(struct stream, 1);
    stream->key = key_of(packet);
    stream->first = packet->tcp_seq;
    stream->receive_next = packet->tcp_seq + 1;
    stream->send_next = STREAM_FIRST_SEQUENCE + 1;
    g_hash_table_replace(streams->flows, stream, stream);
    atomic_fetch_add(&target->flows, 1);
    reply(streams, packet, stream, GENEVE_TCP_SYN | GENEVE_TCP_ACK,
          STREAM_FIRST_SEQUENCE);
}

static void
on_reset(struct target_streams *streams, struct stream *stream,
         const struct geneve_packet *packet)
{
    json_t *fields = target_flow_json(packet);

    json_object_set_new(fields, "forgotten", json_boolean(stream->forgotten));
    ledger_write(streams->target->ledger, "reset", fields);
    if (!stream->closed && !stream->forgotten) {
        atomic_fetch_sub(&streams->target->flows, 1);
    }
    g_hash_table_remove(streams->flows, stream);
}

static void
on_fin(struct target_streams *streams, struct stream *stream,
       const struct geneve_packet *packet)
{
    if (!stream->closed) {
        stream->closed = true;
        stream->receive_next = packet->tcp_seq + 1;
        atomic_fetch_sub(&streams->target->flows, 1);
        ledger_write(streams->target->ledger, "close",
                     target_flow_json(packet));
    }
    reply(streams, packet, stream, GENEVE_TCP_FIN | GENEVE_TCP_ACK,
          stream->send_next);
}

/* Echo a new segment, or a repeated one again. */
static void
on_data(struct target_streams *streams, struct stream *stream,
        const struct geneve_packet *packet, const struct tag *tag)
{
    uint32_t len = (uint32_t)packet->payload_len;
    struct tag echo = *tag;
    uint8_t payload[TAG_LEN_MAX];
    struct geneve_build build = {
        .src = packet->dst,
        .dst = packet->src,
        .src_port = packet->dst_port,
        .dst_port = packet->src_port,
        .tcp_flags = GENEVE_TCP_PSH | GENEVE_TCP_ACK,
        .payload = payload,
    };

    if (packet->tcp_seq == stream->receive_next) {
        stream->receive_next += len;
        stream->send_next += len;
        stream->echoed = len;
    }
    else if (packet->tcp_seq + len != stream->receive_next ||
             len != stream->echoed) {
        return;
    }
    echo.from = streams->target->ip;
    echo.service = streams->target->service;
    build.payload_len = tag_write(&echo, payload, sizeof(payload));
    build.tcp_seq = stream->send_next - len;
    build.tcp_ack = stream->receive_next;
    target_send_tcp(streams->target, &build);
}

/* Take a TCP packet that was checked to be for this service. */
void
target_streams_packet(struct target_streams *streams,
                      const struct geneve_packet *packet)
{
    struct flow_key key = key_of(packet);
    struct stream *stream = g_hash_table_lookup(streams->flows, &key);
    uint8_t flags = packet->tcp_flags;
    struct tag tag;

    if (packet->payload_len > 0 &&
        !target_tag(streams->target, packet, &tag)) {
        return;
    }
    if ((flags & GENEVE_TCP_SYN) != 0) {
        if (stream == NULL || stream->first != packet->tcp_seq) {
            open_stream(streams, packet);
        }
        else if (!stream->forgotten) {
            reply(streams, packet, stream, GENEVE_TCP_SYN | GENEVE_TCP_ACK,
                  STREAM_FIRST_SEQUENCE);
        }
        return;
    }
    if (stream == NULL) {
        refuse(streams, packet);
        return;
    }
    if ((flags & GENEVE_TCP_RST) != 0) {
        on_reset(streams, stream, packet);
    }
    else if (stream->forgotten) {
        return;
    }
    else if ((flags & GENEVE_TCP_FIN) != 0) {
        on_fin(streams, stream, packet);
    }
    else if (packet->payload_len > 0) {
        on_data(streams, stream, packet, &tag);
    }
}

/*
 * Go silent on up to COUNT open streams: their packets get no answer, not
 * even a reset.  Returns how many.
 */
unsigned
target_streams_forget(struct target_streams *streams, unsigned count)
{
    GHashTableIter iter;
    gpointer value;
    unsigned forgotten = 0;

    g_hash_table_iter_init(&iter, streams->flows);
    while (forgotten < count && g_hash_table_iter_next(&iter, NULL, &value)) {
        struct stream *stream = value;
        struct geneve_packet packet = {.src = stream->key.src,
                                       .dst = stream->key.dst,
                                       .src_port = stream->key.src_port,
                                       .dst_port = stream->key.dst_port};

        if (stream->closed || stream->forgotten) {
            continue;
        }
        stream->forgotten = true;
        forgotten++;
        atomic_fetch_sub(&streams->target->flows, 1);
        ledger_write(streams->target->ledger, "forget",
                     target_flow_json(&packet));
    }
    return forgotten;
}
