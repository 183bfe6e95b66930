/* zlib behind two functions. */
#include "base/deflate.h"

#include <zlib.h>

/* Return LEN bytes of DATA compressed, fast rather than small.  The caller
 * frees them. */
GByteArray *
deflate_bytes(const uint8_t *data, size_t len)
{
    uLongf out_len = compressBound((uLong)len);
    GByteArray *out = g_byte_array_new();

    g_byte_array_set_size(out, (guint)out_len);
    if (compress2(out->data, &out_len, data, (uLong)len, Z_BEST_SPEED) !=
        Z_OK) {
        g_error("deflate: no memory for %zu bytes; give the daemon more", len);
    }
    g_byte_array_set_size(out, (guint)out_len);
    return out;
}

/*
 * Return the SIZE bytes that the LEN compressed ones of DATA stand for; NULL if
 * they are damaged or of another size.  The caller frees them.
 */
GByteArray *
deflate_inflate(const uint8_t *data, size_t len, size_t size)
{
    uLongf out_len = (uLongf)size;
    GByteArray *out = g_byte_array_new();

    g_byte_array_set_size(out, (guint)size);
    if (uncompress(out->data, &out_len, data, (uLong)len) != Z_OK ||
        out_len != size) {
        g_byte_array_unref(out);
        return NULL;
    }
    return out;
}
