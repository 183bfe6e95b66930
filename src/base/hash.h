/*
 * Hashing that every daemon computes alike: XXH64 over bytes in network or
 * little-endian order, never over structs with padding.
 */
#ifndef PS_BASE_HASH_H
#define PS_BASE_HASH_H

#include <stddef.h>
#include <stdint.h>

uint64_t hash_bytes(const void *, size_t, uint64_t seed);
uint64_t hash_string(const char *);
uint64_t hash_pair(uint64_t, uint64_t);

#endif
