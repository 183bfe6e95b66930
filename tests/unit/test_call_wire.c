/* Tests the encoding of call messages and packets, also of damaged bytes. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "peer/call_wire.h"

/* A decoded message equals the encoded one; one out of range is rejected. */
static void
test_message(void **state)
{
    struct call_message sent = {.kind = CALL_MSG_RECORD,
                                .pool = {77},
                                .epoch = 9,
                                .previous = 8,
                                .incarnation = UINT64_MAX,
                                .first = 3,
                                .offset = 5,
                                .end = 7,
                                .carried_over_count = 4,
                                .has_log = true,
                                .key_count = CALL_RECORDS_PER_MESSAGE};
    struct call_message got;
    GByteArray *bytes = g_byte_array_new();

    (void)state;
    for (unsigned i = 0; i < CALL_RECORDS_PER_MESSAGE; i++) {
        sent.keys[i] = (struct call_key){i * 1000000007ULL, i};
    }
    call_wire_pack(&sent, bytes);
    assert_true(call_wire_unpack(bytes->data, bytes->len, &got));
    assert_int_equal(got.kind, CALL_MSG_RECORD);
    assert_int_equal(got.epoch, 9);
    assert_int_equal(got.previous, 8);
    assert_true(got.incarnation == UINT64_MAX);
    assert_int_equal(got.first, 3);
    assert_int_equal(got.offset, 5);
    assert_int_equal(got.end, 7);
    assert_int_equal(got.carried_over_count, 4);
    assert_true(got.has_log);
    assert_int_equal(got.key_count, CALL_RECORDS_PER_MESSAGE);
    for (unsigned i = 0; i < CALL_RECORDS_PER_MESSAGE; i++) {
        assert_true(got.keys[i].id == sent.keys[i].id);
        assert_int_equal(got.keys[i].caller, i);
    }
    call_message_clear(&got);
    sent.first = 8; /* after the end */
    g_byte_array_set_size(bytes, 0);
    call_wire_pack(&sent, bytes);
    assert_false(call_wire_unpack(bytes->data, bytes->len, &got));
    g_byte_array_free(bytes, TRUE);
}

/* A decoded packet equals the encoded one; truncated ones do no harm. */
static void
test_packet(void **state)
{
    struct call_packet sent = {
        .pool = {5},
        .caller = 0x0a000001,
        .service = 0x0b000001,
        .caller_port = 65535,
        .service_port = 80,
        .target = 0x0c000001,
        .option = {.id = 6,
                   .attempt = 2,
                   .deadline_ms = 100,
                   .kind = CALL_ANSWER,
                   .idempotent = true,
                   .part = 1,
                   .parts = 2},
        .payload = (const uint8_t *)"payload",
        .payload_len = 7,
        .hops = 2,
        .to_former_owner = true,
        .released_epoch = 12,
        .age_us = 4321000,
    };
    struct call_packet got;
    GByteArray *bytes = g_byte_array_new();

    (void)state;
    call_wire_pack_packet(&sent, bytes);
    assert_true(call_wire_unpack_packet(bytes->data, bytes->len, &got));
    assert_int_equal(got.caller, sent.caller);
    assert_int_equal(got.caller_port, 65535);
    assert_int_equal(got.target, sent.target);
    assert_int_equal(got.option.id, 6);
    assert_int_equal(got.option.kind, CALL_ANSWER);
    assert_int_equal(got.option.part, 1);
    assert_int_equal(got.hops, 2);
    assert_true(got.to_former_owner);
    assert_int_equal(got.released_epoch, 12);
    assert_int_equal(got.age_us, 4321000);
    assert_int_equal(got.payload_len, 7);
    assert_memory_equal(got.payload, "payload", 7);
    call_wire_packet_clear(&got);
    for (unsigned len = 0; len < bytes->len; len++) { /* truncated */
        if (call_wire_unpack_packet(bytes->data, len, &got)) {
            call_wire_packet_clear(&got);
        }
    }
    g_byte_array_free(bytes, TRUE);
}

/* Damaged bytes are rejected, or decoded to values in range. */
static void
test_damage(void **state)
{
    struct call_message sent = {
        .kind = CALL_MSG_RECORD, .pool = {77}, .end = 9, .key_count = 9};
    GByteArray *bytes = g_byte_array_new();
    GRand *rand = g_rand_new_with_seed(20261204);

    (void)state;
    call_wire_pack(&sent, bytes);
    for (unsigned i = 0; i < 20000; i++) {
        unsigned place = (unsigned)g_rand_int_range(rand, 0, (int)bytes->len);
        uint8_t kept = bytes->data[place];
        struct call_message got;

        bytes->data[place] = (uint8_t)g_rand_int(rand);
        if (call_wire_unpack(bytes->data, bytes->len, &got)) {
            assert_in_range(got.kind, 0, CALL_MSG__MAX - 1);
            assert_in_range(got.key_count, 0, CALL_RECORDS_PER_MESSAGE);
            assert_true(got.first <= got.end);
        }
        bytes->data[place] = kept;
    }
    g_rand_free(rand);
    g_byte_array_free(bytes, TRUE);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_message),
        cmocka_unit_test(test_packet),
        cmocka_unit_test(test_damage),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
