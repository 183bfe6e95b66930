/*
 * The payload of every packet of the stand-ins: whom it is meant for and
 * bytes that can be checked, so that a packet gone astray or an answer cut
 * or mixed up shows by its content alone.
 */
#ifndef PS_STANDINS_LIB_TAG_H
#define PS_STANDINS_LIB_TAG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define TAG_LEN     32   /* bytes of the header; the least length */
#define TAG_LEN_MAX 1200 /* bytes with the filler */

struct tag {
    uint64_t service; /* hash_string() of the pool that is meant */
    uint64_t id;      /* the call, or the stream */
    uint32_t from;    /* address of the target that answered; 0 of a caller */
    uint32_t part;    /* of a call, or the message of a stream */
    uint32_t length;  /* bytes in all */
};

size_t tag_write(const struct tag *, uint8_t *, size_t);
bool tag_read(const uint8_t *, size_t, struct tag *);

#endif
