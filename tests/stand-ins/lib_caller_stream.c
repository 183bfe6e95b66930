/*
 * Streams of the callers.  Each has one message in flight, sent again until
 * its echo comes; a reset, a wrong echo or no echo for the stall time breaks
 * it, and the caller then opens another in its place.
 */
#include "lib_caller.h"

#include <string.h>

#define FIRST_PORT     1024
#define RETRY_FIRST_MS 200
#define RETRY_MAX_MS   1600

enum stream_state {
    STREAM_OPENING,
    STREAM_OPEN,    /* nothing in flight */
    STREAM_SENT,    /* a message in flight */
    STREAM_CLOSING, /* a FIN in flight */
    STREAM_FREE     /* to be opened again */
};

struct stream {
    uint32_t src;
    uint16_t src_port;
    enum stream_state state;
    uint64_t id;
    uint32_t seq; /* of the message in flight or the next one */
    uint32_t ack;
    uint32_t part;
    uint32_t target; /* whose echo came first */
    uint64_t first_sent_ms;
    uint64_t resend_ms;
    uint32_t retry_ms;
    uint64_t due_ms; /* next message, or next opening */
    bool answered;   /* by anything at all */
};

struct caller_streams {
    struct caller *caller;
    GArray *streams;
    GHashTable *by_flow; /* inner address and port to index + 1 */
    uint64_t opened, closed, broken, echoed, resent, wrong;
    uint64_t last_open_ms;
    double open_credit;
    uint32_t next;
};

static gpointer flow_id(uint32_t src, uint16_t src_port);
static struct stream *lookup(struct caller_streams *,
                             const struct geneve_packet *);
static json_t *stream_json(const struct stream *);
static void stream_open(struct caller_streams *, guint index, uint64_t);
static void stream_send(struct caller_streams *, struct stream *);
static void stream_start(struct caller_streams *, struct stream *,
                         uint64_t now_ms);
static void stream_break(struct caller_streams *, struct stream *,
                         const char *why);
static void stream_closed(struct caller_streams *, struct stream *);
static void on_opened(struct caller_streams *, struct stream *,
                      const struct geneve_packet *);
static void on_echo(struct caller_streams *, struct stream *,
                    const struct geneve_packet *);
static void stream_tick(struct caller_streams *, guint index, uint64_t);

struct caller_streams *
caller_streams_new(struct caller *caller)
{
    struct caller_streams *streams = g_new0(struct caller_streams, 1);

    streams->caller = caller;
    streams->streams = g_array_new(FALSE, TRUE, sizeof(struct stream));
    streams->by_flow = g_hash_table_new(NULL, NULL);
    streams->last_open_ms = net_now_ms();
    return streams;
}

static gpointer
flow_id(uint32_t src, uint16_t src_port)
{
    return (gpointer)(uintptr_t)((uint64_t)src << 16 | src_port);
}

/* The stream of PACKET, or NULL; the place of an ended one may be reused. */
static struct stream *
lookup(struct caller_streams *streams, const struct geneve_packet *packet)
{
    gpointer found = g_hash_table_lookup(
        streams->by_flow, flow_id(packet->dst, packet->dst_port));
    struct stream *stream;

    if (found == NULL) {
        return NULL;
    }
    stream = &g_array_index(streams->streams, struct stream,
                            GPOINTER_TO_UINT(found) - 1);
    return stream->src == packet->dst && stream->src_port == packet->dst_port
               ? stream
               : NULL;
}

static json_t *
stream_json(const struct stream *stream)
{
    struct net_address src = {stream->src, stream->src_port};
    char flow[NET_TEXT_MAX], target[NET_TEXT_MAX];

    net_format(src, flow, sizeof(flow));
    net_format_ip(stream->target, target, sizeof(target));
    return json_pack("{s:s,s:s,s:i}", "flow", flow, "target", target, "sent",
                     (int)stream->part);
}

/* Open the stream at INDEX anew, from an address and port not yet used. */
static void
stream_open(struct caller_streams *streams, guint index, uint64_t now_ms)
{
    struct caller *caller = streams->caller;
    struct stream *stream =
        &g_array_index(streams->streams, struct stream, index);
    uint32_t number = streams->next++;
    uint32_t callers = (uint32_t)caller->options.callers;

    memset(stream, 0, sizeof(*stream));
    stream->src = caller->inner + number % callers;
    stream->src_port = (uint16_t)(FIRST_PORT + number / callers);
    stream->id = (uint64_t)stream->src << 32 | number;
    stream->seq = g_rand_int(caller->random);
    stream->state = STREAM_OPENING;
    g_hash_table_insert(streams->by_flow,
                        flow_id(stream->src, stream->src_port),
                        GUINT_TO_POINTER(index + 1));
    streams->opened++;
    stream_start(streams, stream, now_ms);
}

/* Send what is in flight, the first time. */
static void
stream_start(struct caller_streams *streams, struct stream *stream,
             uint64_t now_ms)
{
    stream->first_sent_ms = now_ms;
    stream->retry_ms = RETRY_FIRST_MS;
    stream->resend_ms = now_ms + stream->retry_ms;
    stream_send(streams, stream);
}

static void
stream_send(struct caller_streams *streams, struct stream *stream)
{
    struct caller *caller = streams->caller;
    uint8_t payload[TAG_LEN_MAX];
    struct tag tag = {caller->service_tag, stream->id, 0, stream->part,
                      TAG_LEN};
    struct geneve_build build = {
        .src = stream->src,
        .dst = caller->service.ip,
        .src_port = stream->src_port,
        .dst_port = caller->service.port,
        .tcp_seq = stream->seq,
        .tcp_ack = stream->ack,
        .payload = payload,
    };

    switch (stream->state) {
    case STREAM_OPENING:
        build.tcp_flags = GENEVE_TCP_SYN;
        break;
    case STREAM_SENT:
        build.tcp_flags = GENEVE_TCP_PSH | GENEVE_TCP_ACK;
        tag.length = (uint32_t)caller->options.message_len;
        break;
    case STREAM_CLOSING:
        build.tcp_flags = GENEVE_TCP_FIN | GENEVE_TCP_ACK;
        break;
    case STREAM_OPEN:
    case STREAM_FREE:
        return;
    }
    build.payload_len = tag_write(&tag, payload, sizeof(payload));
    caller_send_tcp(caller, &build);
}

static void
stream_break(struct caller_streams *streams, struct stream *stream,
             const char *why)
{
    struct caller *caller = streams->caller;
    json_t *fields = stream_json(stream);
    uint64_t now_ms = net_now_ms();

    json_object_set_new(fields, "why", json_string(why));
    json_object_set_new(fields, "opening",
                        json_boolean(stream->state == STREAM_OPENING));
    json_object_set_new(
        fields, "waited_ms",
        json_integer((json_int_t)(now_ms - stream->first_sent_ms)));
    ledger_write(caller->ledger,
                 stream->state == STREAM_OPENING ? "refused" : "broken",
                 fields);
    streams->broken += stream->state != STREAM_OPENING;
    stream->state = STREAM_FREE;
    stream->due_ms = now_ms;
}

static void
stream_closed(struct caller_streams *streams, struct stream *stream)
{
    ledger_write(streams->caller->ledger, "closed", stream_json(stream));
    streams->closed++;
    stream->state = STREAM_FREE;
    stream->due_ms = net_now_ms();
}

static void
on_opened(struct caller_streams *streams, struct stream *stream,
          const struct geneve_packet *packet)
{
    struct caller *caller = streams->caller;
    int period_ms = caller->options.period_ms;

    if (stream->state != STREAM_OPENING ||
        packet->tcp_ack != stream->seq + 1) {
        return;
    }
    stream->seq++;
    stream->ack = packet->tcp_seq + 1;
    stream->state = STREAM_OPEN;
    stream->due_ms = net_now_ms();
    if (period_ms > 0) {
        stream->due_ms += g_rand_int(caller->random) % (guint32)period_ms;
    }
    ledger_write(caller->ledger, "opened", stream_json(stream));
}

static void
on_echo(struct caller_streams *streams, struct stream *stream,
        const struct geneve_packet *packet)
{
    uint32_t len = (uint32_t)streams->caller->options.message_len;
    struct tag tag;

    if (stream->state != STREAM_SENT || packet->tcp_ack != stream->seq + len) {
        return;
    }
    if (!tag_read(packet->payload, packet->payload_len, &tag) ||
        tag.service != streams->caller->service_tag || tag.id != stream->id ||
        tag.part != stream->part || tag.length != len ||
        packet->tcp_seq != stream->ack ||
        (stream->target != 0 && stream->target != tag.from)) {
        streams->wrong++;
        stream_break(streams, stream, "wrong echo");
        return;
    }
    stream->target = tag.from;
    stream->seq += len;
    stream->ack = packet->tcp_seq + len;
    stream->part++;
    streams->echoed++;
    stream->state = STREAM_OPEN;
    stream->due_ms =
        stream->first_sent_ms + (uint64_t)streams->caller->options.period_ms;
}

/* Take a TCP packet that the fabric gave us. */
void
caller_streams_packet(struct caller_streams *streams,
                      const struct geneve_packet *packet)
{
    struct stream *stream = lookup(streams, packet);

    if (stream == NULL || stream->state == STREAM_FREE) {
        return;
    }
    if (packet->src != streams->caller->service.ip ||
        packet->src_port != streams->caller->service.port) {
        streams->wrong++;
        stream_break(streams, stream, "wrong source");
    }
    else if ((packet->tcp_flags & GENEVE_TCP_RST) != 0) {
        if (stream->state == STREAM_CLOSING) {
            stream_closed(streams, stream);
        }
        else {
            stream_break(streams, stream, "reset");
        }
    }
    else if ((packet->tcp_flags & GENEVE_TCP_SYN) != 0) {
        on_opened(streams, stream, packet);
    }
    else if ((packet->tcp_flags & GENEVE_TCP_FIN) != 0) {
        if (stream->state == STREAM_CLOSING) {
            stream_closed(streams, stream);
        }
    }
    else {
        on_echo(streams, stream, packet);
    }
}

/* Send again, send the next message, close, or count as broken. */
static void
stream_tick(struct caller_streams *streams, guint index, uint64_t now_ms)
{
    const struct caller_options *options = &streams->caller->options;
    struct stream *stream =
        &g_array_index(streams->streams, struct stream, index);

    if (stream->state == STREAM_FREE) {
        if (!streams->caller->stopping && streams->open_credit >= 1) {
            streams->open_credit--;
            stream_open(streams, index, now_ms);
        }
    }
    else if (stream->state == STREAM_OPEN) {
        if (streams->caller->stopping ||
            (options->messages > 0 &&
             stream->part >= (uint32_t)options->messages)) {
            stream->state = STREAM_CLOSING;
            stream_start(streams, stream, now_ms);
        }
        else if (now_ms >= stream->due_ms) {
            stream->state = STREAM_SENT;
            stream_start(streams, stream, now_ms);
        }
    }
    else if (now_ms - stream->first_sent_ms >= (uint64_t)options->stall_ms) {
        stream_break(streams, stream, "stall");
    }
    else if (now_ms >= stream->resend_ms) {
        stream->retry_ms = MIN(stream->retry_ms * 2, RETRY_MAX_MS);
        stream->resend_ms = now_ms + stream->retry_ms;
        streams->resent++;
        stream_send(streams, stream);
    }
}

void
caller_streams_tick(struct caller_streams *streams, uint64_t now_ms)
{
    const struct caller_options *options = &streams->caller->options;
    struct stream fresh = {.state = STREAM_FREE};

    streams->open_credit +=
        (double)(now_ms - streams->last_open_ms) * options->open_per_s / 1000;
    streams->open_credit = MIN(streams->open_credit, options->open_per_s);
    streams->last_open_ms = now_ms;
    while (streams->streams->len < (guint)options->streams) {
        g_array_append_val(streams->streams, fresh);
    }
    for (guint i = 0; i < streams->streams->len; i++) {
        stream_tick(streams, i, now_ms);
    }
}

bool
caller_streams_idle(const struct caller_streams *streams)
{
    for (guint i = 0; i < streams->streams->len; i++) {
        if (g_array_index(streams->streams, struct stream, i).state !=
            STREAM_FREE) {
            return false;
        }
    }
    return true;
}

void
caller_streams_status(const struct caller_streams *streams, GString *reply)
{
    guint open = 0;

    for (guint i = 0; i < streams->streams->len; i++) {
        enum stream_state state =
            g_array_index(streams->streams, struct stream, i).state;

        open += state == STREAM_OPEN || state == STREAM_SENT;
    }
    g_string_append_printf(
        reply,
        "streams_open=%u opened=%lu closed=%lu broken=%lu echoed=%lu "
        "resent=%lu wrong=%lu",
        open, streams->opened, streams->closed, streams->broken,
        streams->echoed, streams->resent, streams->wrong);
}

/* Write the totals into the ledger. */
void
caller_streams_finish(struct caller_streams *streams)
{
    ledger_write(streams->caller->ledger, "streams",
                 json_pack("{s:I,s:I,s:I,s:I,s:I}", "opened",
                           (json_int_t)streams->opened, "closed",
                           (json_int_t)streams->closed, "broken",
                           (json_int_t)streams->broken, "echoed",
                           (json_int_t)streams->echoed, "resent",
                           (json_int_t)streams->resent));
}
