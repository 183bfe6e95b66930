/* Bytes in the zlib format (RFC 1950). */
#ifndef PS_BASE_DEFLATE_H
#define PS_BASE_DEFLATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

GByteArray *deflate_bytes(const uint8_t *, size_t);
GByteArray *deflate_inflate(const uint8_t *, size_t, size_t size);

#endif
