/*
 * Encodes and decodes the call option: a protobuf-c message after one byte
 * with its length, since Geneve pads option data to a multiple of four bytes.
 */
#ifndef PS_EDGE_CALL_OPTION_H
#define PS_EDGE_CALL_OPTION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define CALL_PARTS_MAX 16 /* datagrams of one request or answer */

enum call_kind {
    CALL_REQUEST,
    CALL_CANCEL,
    CALL_ANSWER,
    CALL_NOT_RUN,
    CALL_OUTCOME_UNKNOWN,
    CALL_KIND__MAX
};

struct call_option {
    uint64_t id;
    uint32_t attempt;
    uint32_t deadline_ms; /* time left when sent; 0 for no deadline */
    enum call_kind kind;
    bool idempotent;
    uint32_t part;
    uint32_t parts; /* at least 1 after decoding */
};

size_t call_option_encode(const struct call_option *, uint8_t *, size_t);
bool call_option_decode(const uint8_t *, size_t, struct call_option *);

#endif
