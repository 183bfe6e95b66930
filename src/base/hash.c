/* XXH64 behind three small functions. */
#include "base/hash.h"

#include <string.h>

#include <xxhash.h>

/* Hash LEN bytes at DATA with SEED. */
uint64_t
hash_bytes(const void *data, size_t len, uint64_t seed)
{
    return XXH64(data, len, seed);
}

/* Hash a NUL-terminated name; the ids of daemons and pools are made so. */
uint64_t
hash_string(const char *name)
{
    return XXH64(name, strlen(name), 0);
}

/* Hash two words into one, as rendezvous hashing needs. */
uint64_t
hash_pair(uint64_t a, uint64_t b)
{
    uint64_t words[2] = {a, b};

    return XXH64(words, sizeof(words), 0);
}
