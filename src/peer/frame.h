/*
 * Frames of the inner protocol: a length in four bytes, a channel in one, and
 * a protobuf-c message of that channel.
 */
#ifndef PS_PEER_FRAME_H
#define PS_PEER_FRAME_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#define FRAME_HEADER_LEN 5
/* Bytes; a catalog with the largest tables that are taken fits. */
#define FRAME_PAYLOAD_MAX (8U << 20)

enum peer_channel {
    PEER_HELLO,
    PEER_HELLO_ANSWER,
    PEER_MEMBER,
    PEER_SPREAD,
    PEER_QUORUM,
    PEER_CONTROL,
    PEER_FLOW,
    PEER_CALL,
    PEER_HANDON_FLOW,
    PEER_HANDON_CALL,
    PEER_RELAY, /* a packet that came to a daemon which is still joining */
    PEER_PING,  /* asks whether the connection still carries bytes */
    PEER_PONG,  /* the answer, on the same connection */
    PEER_FLEET, /* between the control and entry daemons of a fleet */
    PEER_CHANNEL__MAX
};

struct frame {
    enum peer_channel channel;
    const uint8_t *payload;
    size_t len;
};

enum frame_result {
    FRAME_READY,
    FRAME_PARTIAL,
    FRAME_BAD, /* unknown channel, or over FRAME_PAYLOAD_MAX */
    FRAME__MAX
};

void frame_append(GByteArray *, enum peer_channel, const uint8_t *, size_t);
enum frame_result frame_next(const uint8_t *, size_t, struct frame *,
                             size_t *used);

#endif
