/* Reading and writing frames; no sockets here. */
#include "peer/frame.h"

/* Append one frame to OUT.  LEN is at most FRAME_PAYLOAD_MAX. */
void
frame_append(GByteArray *out, enum peer_channel channel,
             const uint8_t *payload, size_t len)
{
    uint8_t header[FRAME_HEADER_LEN] = {
        (uint8_t)(len >> 24), (uint8_t)(len >> 16), (uint8_t)(len >> 8),
        (uint8_t)len, (uint8_t)channel};

    g_byte_array_append(out, header, sizeof(header));
    if (len > 0) {
        g_byte_array_append(out, payload, (guint)len);
    }
}

/*
 * Find the first frame in LEN bytes at DATA.  On FRAME_READY the frame points
 * into DATA and USED is the number of bytes that it took.
 */
enum frame_result
frame_next(const uint8_t *data, size_t len, struct frame *frame, size_t *used)
{
    size_t payload_len;

    if (len < FRAME_HEADER_LEN) {
        return FRAME_PARTIAL;
    }
    payload_len = (size_t)data[0] << 24 | (size_t)data[1] << 16 |
                  (size_t)data[2] << 8 | data[3];
    if (payload_len > FRAME_PAYLOAD_MAX || data[4] >= PEER_CHANNEL__MAX) {
        return FRAME_BAD;
    }
    if (len < FRAME_HEADER_LEN + payload_len) {
        return FRAME_PARTIAL;
    }
    frame->channel = (enum peer_channel)data[4];
    frame->payload = data + FRAME_HEADER_LEN;
    frame->len = payload_len;
    *used = FRAME_HEADER_LEN + payload_len;
    return FRAME_READY;
}
