/*
 * Any bytes from the fabric: the decoder refuses them or yields a packet
 * whose parts lie within them, and a call option that is in range.
 */
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "edge/call_option.h"
#include "edge/geneve.h"

/* The build links only the Geneve codec to fuzzers. */
#include "edge/call_option.c"
#include "edge/call_option.pb-c.c"

int LLVMFuzzerTestOneInput(const uint8_t *, size_t);
static void check_within(const uint8_t *, size_t, const uint8_t *, size_t);
static void check_call(const uint8_t *, size_t);
static void check_packet(const uint8_t *, size_t);
static void repair_checksum(uint8_t *, size_t);

static void
check_within(const uint8_t *data, size_t len, const uint8_t *part,
             size_t part_len)
{
    if (part < data || part_len > len ||
        (size_t)(part - data) > len - part_len) {
        abort();
    }
}

/* What decodes must encode, and decode to the same again. */
static void
check_call(const uint8_t *call, size_t call_len)
{
    struct call_option option, again;
    uint8_t data[GENEVE_OPTION_CALL_MAX];
    size_t len;

    if (!call_option_decode(call, call_len, &option)) {
        return;
    }
    if (option.kind >= CALL_KIND__MAX || option.parts == 0 ||
        option.parts > CALL_PARTS_MAX || option.part >= option.parts) {
        abort();
    }
    len = call_option_encode(&option, data, sizeof(data));
    if (len == 0 || !call_option_decode(data, len, &again) ||
        again.id != option.id || again.attempt != option.attempt ||
        again.deadline_ms != option.deadline_ms || again.kind != option.kind ||
        again.part != option.part || again.parts != option.parts ||
        again.idempotent != option.idempotent) {
        abort();
    }
}

static void
check_packet(const uint8_t *data, size_t len)
{
    struct geneve_packet packet;

    if (geneve_decode(data, len, &packet) != GENEVE_OK) {
        return;
    }
    check_within(data, len, packet.inner, packet.inner_len);
    check_within(data, len, packet.payload, packet.payload_len);
    if (packet.call != NULL) {
        check_within(data, len, packet.call, packet.call_len);
        check_call(packet.call, packet.call_len);
    }
}

/* Make the inner IPv4 header's checksum right, so that more is reached. */
static void
repair_checksum(uint8_t *data, size_t len)
{
    size_t at = 8 + (len > 0 ? (size_t)(data[0] & 0x3f) * 4 : 0);
    size_t header_len;
    uint32_t sum = 0;

    if (len < at + 20) {
        return;
    }
    header_len = (size_t)(data[at] & 0x0f) * 4;
    if (header_len < 20 || at + header_len > len) {
        return;
    }
    data[at + 10] = 0;
    data[at + 11] = 0;
    for (size_t i = 0; i < header_len; i += 2) {
        sum += (uint32_t)data[at + i] << 8 | data[at + i + 1];
    }
    while (sum >> 16 != 0) {
        sum = (sum & 0xffff) + (sum >> 16);
    }
    data[at + 10] = (uint8_t)(~sum >> 8);
    data[at + 11] = (uint8_t)~sum;
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
    uint8_t *copy = malloc(len + 1);

    check_packet(data, len);
    check_call(data, len);
    memcpy(copy, data, len);
    repair_checksum(copy, len);
    check_packet(copy, len);
    free(copy);
    return 0;
}
