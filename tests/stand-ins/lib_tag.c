/* The payload of every packet of the stand-ins. */
#include "lib_tag.h"

#include <string.h>

#define TAG_MAGIC 0x50537431 /* "PSt1" */

static uint8_t filler(const struct tag *, size_t);

static uint8_t
filler(const struct tag *tag, size_t at)
{
    return (uint8_t)(tag->id * 31 + tag->part * 7ULL + tag->from + at);
}

/* Write TAG with its filler; returns its length, or 0 if it does not fit. */
size_t
tag_write(const struct tag *tag, uint8_t *out, size_t size)
{
    uint32_t magic = TAG_MAGIC;

    if (tag->length < TAG_LEN || tag->length > size) {
        return 0;
    }
    memcpy(out, &magic, 4);
    memcpy(out + 4, &tag->from, 4);
    memcpy(out + 8, &tag->service, 8);
    memcpy(out + 16, &tag->id, 8);
    memcpy(out + 24, &tag->part, 4);
    memcpy(out + 28, &tag->length, 4);
    for (size_t i = TAG_LEN; i < tag->length; i++) {
        out[i] = filler(tag, i);
    }
    return tag->length;
}

/* Read a tag; false if it is cut, too long or its bytes are not its own. */
bool
tag_read(const uint8_t *data, size_t len, struct tag *tag)
{
    uint32_t magic;

    memset(tag, 0, sizeof(*tag));
    if (len < TAG_LEN) {
        return false;
    }
    memcpy(&magic, data, 4);
    memcpy(&tag->from, data + 4, 4);
    memcpy(&tag->service, data + 8, 8);
    memcpy(&tag->id, data + 16, 8);
    memcpy(&tag->part, data + 24, 4);
    memcpy(&tag->length, data + 28, 4);
    if (magic != TAG_MAGIC || tag->length != len) {
        return false;
    }
    for (size_t i = TAG_LEN; i < len; i++) {
        if (data[i] != filler(tag, i)) {
            return false;
        }
    }
    return true;
}
