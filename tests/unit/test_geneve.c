/* Geneve packets: what is built decodes to the same, and damage is named. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <netinet/in.h>

#include <cmocka.h>

#include "edge/geneve.h"

static size_t build(uint8_t *, size_t);
static void test_round_trip(void **);
static void test_unreachable(void **);
static void test_damage(void **);

static size_t
build(uint8_t *out, size_t size)
{
    struct geneve_build packet = {
        .src = 0x0a000001,
        .dst = 0x0a000002,
        .src_port = 4000,
        .dst_port = 80,
        .tcp_flags = GENEVE_TCP_SYN,
        .tcp_seq = 77,
        .call = (const uint8_t *)"abc",
        .call_len = 3,
        .payload = (const uint8_t *)"hello",
        .payload_len = 5,
    };

    return geneve_build_tcp(out, size, &packet);
}

static void
test_round_trip(void **state)
{
    uint8_t data[256];
    size_t len = build(data, sizeof(data));
    struct geneve_packet packet;

    (void)state;
    assert_int_equal(geneve_decode(data, len, &packet), GENEVE_OK);
    geneve_set_vni(data, 0xabcdef);
    assert_int_equal(geneve_decode(data, len, &packet), GENEVE_OK);
    assert_int_equal(packet.vni, 0xabcdef);
    assert_int_equal(packet.src, 0x0a000001);
    assert_int_equal(packet.dst_port, 80);
    assert_int_equal(packet.protocol, IPPROTO_TCP);
    assert_int_equal(packet.tcp_flags, GENEVE_TCP_SYN);
    assert_int_equal(packet.tcp_seq, 77);
    assert_int_equal(packet.call_len, 4);
    assert_memory_equal(packet.call, "abc", 4);
    assert_int_equal(packet.payload_len, 5);
    assert_memory_equal(packet.payload, "hello", 5);
}

/* A refused UDP datagram comes back quoted, from its destination. */
static void
test_unreachable(void **state)
{
    struct geneve_build build = {.src = 0x0a000001,
                                 .dst = 0x0a000002,
                                 .src_port = 4000,
                                 .dst_port = 53};
    uint8_t data[256], refusal[256];
    size_t len = geneve_build_udp(data, sizeof(data), &build), refusal_len;
    struct geneve_packet packet;
    const uint8_t *ip = refusal + 8, *icmp = ip + 20;

    (void)state;
    assert_int_equal(geneve_decode(data, len, &packet), GENEVE_OK);
    refusal_len = geneve_build_unreachable(refusal, sizeof(refusal),
                                           packet.inner, packet.inner_len);
    assert_int_equal(refusal_len, 8 + 20 + 8 + 28);
    /* The header is sound: only the protocol is not one of a flow. */
    assert_int_equal(geneve_decode(refusal, refusal_len, &packet),
                     GENEVE_INNER_PROTOCOL);
    assert_int_equal(packet.src, 0x0a000002);
    assert_int_equal(packet.dst, 0x0a000001);
    assert_int_equal(icmp[0], 3);
    assert_int_equal(icmp[1], 3);
    assert_memory_equal(icmp + 8, data + 8, 28);
    assert_int_equal(geneve_build_unreachable(refusal, 40, data + 8, len - 8),
                     0);
}

struct damage {
    size_t offset; /* byte to change */
    uint8_t value;
    size_t len; /* bytes to keep; 0 for all */
    enum geneve_error expected;
};

static const struct damage damages[] = {
    {0, 0x42, 0, GENEVE_VERSION},
    {0, 0x02, 5, GENEVE_SHORT},
    {0, 0x3f, 0, GENEVE_OPTIONS_LENGTH},
    {1, 0x80, 0, GENEVE_CONTROL},
    {2, 0x65, 0, GENEVE_PROTOCOL},
    {10, 0x81, 0, GENEVE_CRITICAL_OPTION},
    {11, 0x1f, 0, GENEVE_OPTIONS_LENGTH},
    {16, 0x65, 0, GENEVE_INNER_VERSION},
    {22, 0x20, 0, GENEVE_INNER_CHECKSUM},
    {60, 'x', 0, GENEVE_L4_CHECKSUM},
    {0, 0x02, 30, GENEVE_INNER_SHORT},
};

static void
test_damage(void **state)
{
    (void)state;
    for (size_t i = 0; i < sizeof(damages) / sizeof(damages[0]); i++) {
        uint8_t data[256];
        size_t len = build(data, sizeof(data));
        struct geneve_packet packet;

        data[damages[i].offset] = damages[i].value;
        if (damages[i].len != 0) {
            len = damages[i].len;
        }
        assert_string_equal(
            geneve_error_name(geneve_decode(data, len, &packet)),
            geneve_error_name(damages[i].expected));
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_round_trip),
        cmocka_unit_test(test_unreachable),
        cmocka_unit_test(test_damage),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
