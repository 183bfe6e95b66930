/*
 * Geneve (RFC 8926) with an inner IPv4 packet of TCP or UDP, and the call
 * option.  Decoding never copies: the packet points into the caller's buffer.
 */
#ifndef PS_EDGE_GENEVE_H
#define PS_EDGE_GENEVE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define GENEVE_PORT            6081
#define GENEVE_PROTOCOL_IPV4   0x0800
#define GENEVE_OPTION_CLASS    0xff01 /* experimental range of RFC 8926 */
#define GENEVE_OPTION_CALL     0x01   /* type without the critical bit */
#define GENEVE_OPTION_CALL_MAX 124    /* bytes */
#define GENEVE_OPTIONS_MAX     252    /* bytes */
#define GENEVE_HEADER_MAX      (8 + GENEVE_OPTIONS_MAX)

#define GENEVE_TCP_FIN 0x01
#define GENEVE_TCP_SYN 0x02
#define GENEVE_TCP_RST 0x04
#define GENEVE_TCP_PSH 0x08
#define GENEVE_TCP_ACK 0x10

enum geneve_error {
    GENEVE_OK,
    GENEVE_SHORT,
    GENEVE_VERSION,
    GENEVE_OPTIONS_LENGTH,
    GENEVE_CRITICAL_OPTION,
    GENEVE_CONTROL,
    GENEVE_PROTOCOL,
    GENEVE_INNER_SHORT,
    GENEVE_INNER_VERSION,
    GENEVE_INNER_CHECKSUM,
    GENEVE_INNER_FRAGMENT,
    GENEVE_INNER_PROTOCOL,
    GENEVE_L4_SHORT,
    GENEVE_L4_CHECKSUM,
    GENEVE__MAX
};

struct geneve_packet {
    const uint8_t *inner; /* the inner IPv4 packet */
    size_t inner_len;
    const uint8_t *call; /* the call option's data, or NULL */
    size_t call_len;
    const uint8_t *payload; /* behind the inner TCP or UDP header */
    size_t payload_len;
    uint32_t src; /* inner addresses and ports, host order */
    uint32_t dst;
    uint16_t src_port;
    uint16_t dst_port;
    uint8_t protocol; /* IPPROTO_TCP or IPPROTO_UDP */
    uint8_t tcp_flags;
    uint32_t tcp_seq;
    uint32_t tcp_ack;
    uint32_t vni;
};

/* What geneve_build_udp() and geneve_build_tcp() put together. */
struct geneve_build {
    uint32_t vni;
    uint32_t src;
    uint32_t dst;
    uint16_t src_port;
    uint16_t dst_port;
    uint8_t tcp_flags;
    uint32_t tcp_seq;
    uint32_t tcp_ack;
    const uint8_t *call; /* the call option's data, or NULL for none */
    size_t call_len;
    const uint8_t *payload;
    size_t payload_len;
};

enum geneve_error geneve_decode(const uint8_t *, size_t,
                                struct geneve_packet *);
const char *geneve_error_name(enum geneve_error);

void geneve_set_vni(uint8_t *, uint32_t vni);
size_t geneve_header(uint8_t *, size_t, uint32_t vni, const uint8_t *call,
                     size_t call_len);
size_t geneve_build_udp(uint8_t *, size_t, const struct geneve_build *);
size_t geneve_build_unreachable(uint8_t *, size_t, const uint8_t *inner,
                                size_t inner_len);
size_t geneve_build_tcp(uint8_t *, size_t, const struct geneve_build *);

#endif
