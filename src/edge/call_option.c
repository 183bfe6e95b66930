/* Encodes and decodes the call option. */
#include "edge/call_option.h"

#include "edge/call_option.pb-c.h"

#define CALL_OPTION_SIZE_MAX 64 /* bytes of a packed message */

/* Encode OPTION into OUT.  Return the length, or 0 if SIZE is too small. */
size_t
call_option_encode(const struct call_option *option, uint8_t *out, size_t size)
{
    Parsleyspur__CallOption message = PARSLEYSPUR__CALL_OPTION__INIT;
    size_t len;

    message.id = option->id;
    message.attempt = option->attempt;
    message.deadline_ms = option->deadline_ms;
    message.kind = (Parsleyspur__CallOption__Kind)option->kind;
    message.idempotent = option->idempotent;
    message.part = option->part;
    message.parts = option->parts;
    len = parsleyspur__call_option__get_packed_size(&message);
    if (len > CALL_OPTION_SIZE_MAX || len + 1 > size) {
        return 0;
    }
    out[0] = (uint8_t)len;
    parsleyspur__call_option__pack(&message, out + 1);
    return len + 1;
}

/*
 * Decode LEN bytes at DATA into OPTION.  Return false if they are malformed or
 * out of range.
 */
bool
call_option_decode(const uint8_t *data, size_t len, struct call_option *option)
{
    Parsleyspur__CallOption *message;
    bool valid;

    if (len < 1 || data[0] > len - 1 || data[0] > CALL_OPTION_SIZE_MAX) {
        return false;
    }
    message = parsleyspur__call_option__unpack(NULL, data[0], data + 1);
    if (message == NULL) {
        return false;
    }
    option->id = message->id;
    option->attempt = message->attempt;
    option->deadline_ms = message->deadline_ms;
    option->kind = (enum call_kind)message->kind;
    option->idempotent = message->idempotent;
    option->part = message->part;
    option->parts = message->parts == 0 ? 1 : message->parts;
    valid = (unsigned)message->kind < CALL_KIND__MAX &&
            option->parts <= CALL_PARTS_MAX && option->part < option->parts;
    parsleyspur__call_option__free_unpacked(message, NULL);
    return valid;
}
