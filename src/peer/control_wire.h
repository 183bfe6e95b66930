/* Requests to the control leader and their answers, to bytes and back. */
#ifndef PS_PEER_CONTROL_WIRE_H
#define PS_PEER_CONTROL_WIRE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "base/view.h"
#include "call/call.h"

#define CONTROL_HOPS_MAX 2 /* times that a request is passed on */

enum control_message_kind {
    CONTROL_API_REQUEST,
    CONTROL_API_ANSWER,
    CONTROL_EPOCH_WANT,
    CONTROL_EPOCH_TELL,
    CONTROL_MESSAGE__MAX
};

struct control_message {
    enum control_message_kind kind;
    union {
        struct {
            uint64_t id;
            char *method;
            char *path;
            uint8_t *body;
            size_t body_len;
            uint32_t hops;
            struct daemon_id origin;
        } api_request;
        struct {
            uint64_t id;
            unsigned status;
            uint8_t *body;
            size_t body_len;
        } api_answer;
        struct {
            struct call_epoch_request want;
            uint32_t hops;
            struct daemon_id origin;
        } epoch_want;
        struct {
            struct call_epoch epoch;
            uint64_t asked_us;
        } epoch_tell;
    } u;
};

void control_wire_pack(const struct control_message *, GByteArray *);
bool control_wire_unpack(const uint8_t *, size_t, struct control_message *);
void control_message_clear(struct control_message *);

#endif
