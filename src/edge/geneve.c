/* Decoding and building of Geneve packets with inner IPv4. */
#include "edge/geneve.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/ip.h>
#include <netinet/ip_icmp.h>
#include <netinet/tcp.h>
#include <netinet/udp.h>
#include <string.h>

#define GENEVE_BASE_LEN   8
#define GENEVE_OPTION_LEN 4 /* bytes of an option's own header */
#define IPV4_FRAGMENT     0x3fff
#define IPV4_TTL          64
#define ICMP_QUOTED_LEN   8 /* bytes quoted behind the IP header */

static const char *const geneve_error_names[GENEVE__MAX] = {
    [GENEVE_OK] = "ok",
    [GENEVE_SHORT] = "short",
    [GENEVE_VERSION] = "version",
    [GENEVE_OPTIONS_LENGTH] = "options_length",
    [GENEVE_CRITICAL_OPTION] = "critical_option",
    [GENEVE_CONTROL] = "control",
    [GENEVE_PROTOCOL] = "protocol",
    [GENEVE_INNER_SHORT] = "inner_short",
    [GENEVE_INNER_VERSION] = "inner_version",
    [GENEVE_INNER_CHECKSUM] = "inner_checksum",
    [GENEVE_INNER_FRAGMENT] = "inner_fragment",
    [GENEVE_INNER_PROTOCOL] = "inner_protocol",
    [GENEVE_L4_SHORT] = "l4_short",
    [GENEVE_L4_CHECKSUM] = "l4_checksum",
};

static uint16_t load16(const uint8_t *);
static uint32_t load32(const uint8_t *);
static void store16(uint8_t *, uint16_t);
static void store32(uint8_t *, uint32_t);
static uint32_t checksum_add(uint32_t, const uint8_t *, size_t);
static uint16_t checksum_fold(uint32_t);
static uint16_t l4_checksum(const uint8_t *, size_t, uint32_t src,
                            uint32_t dst, uint8_t protocol);
static enum geneve_error decode_options(const uint8_t *, size_t,
                                        struct geneve_packet *);
static enum geneve_error decode_inner(struct geneve_packet *);
static enum geneve_error decode_udp(struct geneve_packet *, const uint8_t *,
                                    size_t);
static enum geneve_error decode_tcp(struct geneve_packet *, const uint8_t *,
                                    size_t);
static void build_ipv4(uint8_t *, const struct geneve_build *,
                       uint8_t protocol, size_t total);

static uint16_t
load16(const uint8_t *at)
{
    return (uint16_t)(at[0] << 8 | at[1]);
}

static uint32_t
load32(const uint8_t *at)
{
    return (uint32_t)load16(at) << 16 | load16(at + 2);
}

static void
store16(uint8_t *at, uint16_t value)
{
    at[0] = (uint8_t)(value >> 8);
    at[1] = (uint8_t)value;
}

static void
store32(uint8_t *at, uint32_t value)
{
    store16(at, (uint16_t)(value >> 16));
    store16(at + 2, (uint16_t)value);
}

/* Add LEN bytes in network order to a ones' complement SUM. */
static uint32_t
checksum_add(uint32_t sum, const uint8_t *at, size_t len)
{
    uint64_t wide = sum;

    for (; len >= 4; at += 4, len -= 4) {
        wide += load32(at);
    }
    for (; len >= 2; at += 2, len -= 2) {
        wide += load16(at);
    }
    if (len == 1) {
        wide += (uint32_t)at[0] << 8;
    }
    while (wide >> 32 != 0) {
        wide = (wide & 0xffffffff) + (wide >> 32);
    }
    return (uint32_t)wide;
}

/* Fold a 32-bit ones' complement sum and invert it. */
static uint16_t
checksum_fold(uint32_t sum)
{
    while (sum >> 16 != 0) {
        sum = (sum & 0xffff) + (sum >> 16);
    }
    return (uint16_t)~sum;
}

/* The TCP or UDP checksum over the pseudo-header and LEN bytes. */
static uint16_t
l4_checksum(const uint8_t *at, size_t len, uint32_t src, uint32_t dst,
            uint8_t protocol)
{
    uint8_t pseudo[12];
    uint32_t sum;

    store32(pseudo, src);
    store32(pseudo + 4, dst);
    pseudo[8] = 0;
    pseudo[9] = protocol;
    store16(pseudo + 10, (uint16_t)len);
    sum = checksum_add(0, pseudo, sizeof(pseudo));
    return checksum_fold(checksum_add(sum, at, len));
}

/* The name of ERROR, as it stands in the counters. */
const char *
geneve_error_name(enum geneve_error error)
{
    return error < GENEVE__MAX ? geneve_error_names[error] : "unknown";
}

/*
 * Walk the options between the base header and the inner packet.  An unknown
 * option with the critical bit set refuses the packet, as RFC 8926 asks of an
 * endpoint; other unknown options are passed over.
 */
static enum geneve_error
decode_options(const uint8_t *at, size_t len, struct geneve_packet *packet)
{
    while (len > 0) {
        uint16_t class;
        uint8_t type;
        size_t data_len;

        if (len < GENEVE_OPTION_LEN) {
            return GENEVE_OPTIONS_LENGTH;
        }
        class = load16(at);
        type = at[2];
        data_len = (size_t)(at[3] & 0x1f) * 4;
        if (GENEVE_OPTION_LEN + data_len > len) {
            return GENEVE_OPTIONS_LENGTH;
        }
        if (class == GENEVE_OPTION_CLASS && type == GENEVE_OPTION_CALL) {
            packet->call = at + GENEVE_OPTION_LEN;
            packet->call_len = data_len;
        }
        else if ((type & 0x80) != 0) {
            return GENEVE_CRITICAL_OPTION;
        }
        at += GENEVE_OPTION_LEN + data_len;
        len -= GENEVE_OPTION_LEN + data_len;
    }
    return GENEVE_OK;
}

static enum geneve_error
decode_udp(struct geneve_packet *packet, const uint8_t *at, size_t len)
{
    size_t udp_len;

    if (len < sizeof(struct udphdr)) {
        return GENEVE_L4_SHORT;
    }
    udp_len = load16(at + 4);
    if (udp_len < sizeof(struct udphdr) || udp_len > len) {
        return GENEVE_L4_SHORT;
    }
    if (load16(at + 6) != 0 &&
        l4_checksum(at, udp_len, packet->src, packet->dst, IPPROTO_UDP) != 0) {
        return GENEVE_L4_CHECKSUM;
    }
    packet->src_port = load16(at);
    packet->dst_port = load16(at + 2);
    packet->payload = at + sizeof(struct udphdr);
    packet->payload_len = udp_len - sizeof(struct udphdr);
    return GENEVE_OK;
}

static enum geneve_error
decode_tcp(struct geneve_packet *packet, const uint8_t *at, size_t len)
{
    size_t header_len;

    if (len < sizeof(struct tcphdr)) {
        return GENEVE_L4_SHORT;
    }
    header_len = (size_t)(at[12] >> 4) * 4;
    if (header_len < sizeof(struct tcphdr) || header_len > len) {
        return GENEVE_L4_SHORT;
    }
    if (l4_checksum(at, len, packet->src, packet->dst, IPPROTO_TCP) != 0) {
        return GENEVE_L4_CHECKSUM;
    }
    packet->src_port = load16(at);
    packet->dst_port = load16(at + 2);
    packet->tcp_seq = load32(at + 4);
    packet->tcp_ack = load32(at + 8);
    packet->tcp_flags = at[13];
    packet->payload = at + header_len;
    packet->payload_len = len - header_len;
    return GENEVE_OK;
}

/* Check the inner IPv4 packet and read its addresses and ports. */
static enum geneve_error
decode_inner(struct geneve_packet *packet)
{
    const uint8_t *at = packet->inner;
    size_t header_len, total;

    if (packet->inner_len < sizeof(struct iphdr)) {
        return GENEVE_INNER_SHORT;
    }
    if (at[0] >> 4 != 4) {
        return GENEVE_INNER_VERSION;
    }
    header_len = (size_t)(at[0] & 0x0f) * 4;
    total = load16(at + 2);
    if (header_len < sizeof(struct iphdr) || total < header_len ||
        total > packet->inner_len) {
        return GENEVE_INNER_SHORT;
    }
    if (checksum_fold(checksum_add(0, at, header_len)) != 0) {
        return GENEVE_INNER_CHECKSUM;
    }
    if ((load16(at + 6) & IPV4_FRAGMENT) != 0) {
        return GENEVE_INNER_FRAGMENT;
    }
    packet->inner_len = total;
    packet->protocol = at[9];
    packet->src = load32(at + 12);
    packet->dst = load32(at + 16);
    switch (packet->protocol) {
    case IPPROTO_UDP:
        return decode_udp(packet, at + header_len, total - header_len);
    case IPPROTO_TCP:
        return decode_tcp(packet, at + header_len, total - header_len);
    default:
        return GENEVE_INNER_PROTOCOL;
    }
}

/*
 * Decode the LEN bytes of one UDP datagram into PACKET, which then points
 * into DATA.  On any other result than GENEVE_OK the packet must be dropped.
 */
enum geneve_error
geneve_decode(const uint8_t *data, size_t len, struct geneve_packet *packet)
{
    size_t options_len;
    enum geneve_error error;

    memset(packet, 0, sizeof(*packet));
    if (len < GENEVE_BASE_LEN) {
        return GENEVE_SHORT;
    }
    if (data[0] >> 6 != 0) {
        return GENEVE_VERSION;
    }
    if ((data[1] & 0x80) != 0) {
        return GENEVE_CONTROL;
    }
    if (load16(data + 2) != GENEVE_PROTOCOL_IPV4) {
        return GENEVE_PROTOCOL;
    }
    options_len = (size_t)(data[0] & 0x3f) * 4;
    if (GENEVE_BASE_LEN + options_len > len) {
        return GENEVE_OPTIONS_LENGTH;
    }
    packet->vni = load32(data + 4) >> 8;
    error = decode_options(data + GENEVE_BASE_LEN, options_len, packet);
    if (error != GENEVE_OK) {
        return error;
    }
    packet->inner = data + GENEVE_BASE_LEN + options_len;
    packet->inner_len = len - GENEVE_BASE_LEN - options_len;
    return decode_inner(packet);
}

/* Set the network identifier of a packet that geneve_decode() has taken. */
void
geneve_set_vni(uint8_t *data, uint32_t vni)
{
    store32(data + 4, vni << 8 | data[7]);
}

/*
 * Write a Geneve header with an optional call option, whose data is padded
 * to four bytes with zeros.  Returns its length, or 0 if it does not fit.
 */
size_t
geneve_header(uint8_t *out, size_t size, uint32_t vni, const uint8_t *call,
              size_t call_len)
{
    size_t padded = (call_len + 3) / 4 * 4;
    size_t options_len = call == NULL ? 0 : GENEVE_OPTION_LEN + padded;

    if (GENEVE_BASE_LEN + options_len > size ||
        padded > GENEVE_OPTION_CALL_MAX) {
        return 0;
    }
    out[0] = (uint8_t)(options_len / 4);
    out[1] = 0;
    store16(out + 2, GENEVE_PROTOCOL_IPV4);
    store32(out + 4, vni << 8);
    if (call != NULL) {
        uint8_t *option = out + GENEVE_BASE_LEN;

        store16(option, GENEVE_OPTION_CLASS);
        option[2] = GENEVE_OPTION_CALL;
        option[3] = (uint8_t)(padded / 4);
        memset(option + GENEVE_OPTION_LEN, 0, padded);
        memcpy(option + GENEVE_OPTION_LEN, call, call_len);
    }
    return GENEVE_BASE_LEN + options_len;
}

/* Write an IPv4 header without options for a packet of TOTAL bytes. */
static void
build_ipv4(uint8_t *at, const struct geneve_build *build, uint8_t protocol,
           size_t total)
{
    memset(at, 0, sizeof(struct iphdr));
    at[0] = 0x45;
    store16(at + 2, (uint16_t)total);
    store16(at + 6, 0x4000);
    at[8] = IPV4_TTL;
    at[9] = protocol;
    store32(at + 12, build->src);
    store32(at + 16, build->dst);
    store16(at + 10, checksum_fold(checksum_add(0, at, sizeof(struct iphdr))));
}

/*
 * Build a Geneve packet with an inner UDP datagram.  Returns its length, or 0
 * if SIZE is too small.
 */
size_t
geneve_build_udp(uint8_t *out, size_t size, const struct geneve_build *build)
{
    size_t head =
        geneve_header(out, size, build->vni, build->call, build->call_len);
    size_t l4_len = sizeof(struct udphdr) + build->payload_len;
    size_t total = sizeof(struct iphdr) + l4_len;
    uint8_t *at = out + head, *udp = at + sizeof(struct iphdr);
    uint16_t sum;

    if (head == 0 || head + total > size || total > UINT16_MAX) {
        return 0;
    }
    build_ipv4(at, build, IPPROTO_UDP, total);
    store16(udp, build->src_port);
    store16(udp + 2, build->dst_port);
    store16(udp + 4, (uint16_t)l4_len);
    store16(udp + 6, 0);
    if (build->payload_len > 0) {
        memcpy(udp + sizeof(struct udphdr), build->payload,
               build->payload_len);
    }
    sum = l4_checksum(udp, l4_len, build->src, build->dst, IPPROTO_UDP);
    store16(udp + 6, sum == 0 ? 0xffff : sum);
    return head + total;
}

/*
 * Build a Geneve packet with an inner TCP segment.  Returns its length, or 0
 * if SIZE is too small.
 */
size_t
geneve_build_tcp(uint8_t *out, size_t size, const struct geneve_build *build)
{
    size_t head =
        geneve_header(out, size, build->vni, build->call, build->call_len);
    size_t l4_len = sizeof(struct tcphdr) + build->payload_len;
    size_t total = sizeof(struct iphdr) + l4_len;
    uint8_t *at = out + head, *tcp = at + sizeof(struct iphdr);

    if (head == 0 || head + total > size || total > UINT16_MAX) {
        return 0;
    }
    build_ipv4(at, build, IPPROTO_TCP, total);
    memset(tcp, 0, sizeof(struct tcphdr));
    store16(tcp, build->src_port);
    store16(tcp + 2, build->dst_port);
    store32(tcp + 4, build->tcp_seq);
    store32(tcp + 8, build->tcp_ack);
    tcp[12] = (uint8_t)(sizeof(struct tcphdr) / 4 << 4);
    tcp[13] = build->tcp_flags;
    store16(tcp + 14, UINT16_MAX);
    if (build->payload_len > 0) {
        memcpy(tcp + sizeof(struct tcphdr), build->payload,
               build->payload_len);
    }
    store16(tcp + 16,
            l4_checksum(tcp, l4_len, build->src, build->dst, IPPROTO_TCP));
    return head + total;
}

/*
 * Build the refusal of an inner UDP datagram: an ICMP port unreachable (RFC
 * 792) from its destination to its source, with its IP header and the first 8
 * bytes behind.  INNER has been decoded.  Returns the length, or 0 if SIZE is
 * too small.
 */
size_t
geneve_build_unreachable(uint8_t *out, size_t size, const uint8_t *inner,
                         size_t inner_len)
{
    size_t head = geneve_header(out, size, 0, NULL, 0);
    size_t quoted = (size_t)(inner[0] & 0x0f) * 4 + ICMP_QUOTED_LEN;
    size_t total;
    uint8_t *at = out + head, *icmp = at + sizeof(struct iphdr);
    struct geneve_build build = {.src = load32(inner + 16),
                                 .dst = load32(inner + 12)};

    quoted = quoted < inner_len ? quoted : inner_len;
    total = sizeof(struct iphdr) + ICMP_MINLEN + quoted;
    if (head == 0 || head + total > size) {
        return 0;
    }
    build_ipv4(at, &build, IPPROTO_ICMP, total);
    memset(icmp, 0, ICMP_MINLEN);
    icmp[0] = ICMP_DEST_UNREACH;
    icmp[1] = ICMP_PORT_UNREACH;
    memcpy(icmp + ICMP_MINLEN, inner, quoted);
    store16(icmp + 2,
            checksum_fold(checksum_add(0, icmp, ICMP_MINLEN + quoted)));
    return head + total;
}
