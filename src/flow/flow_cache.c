/* A two-way set-associative cache that evicts the less recently used entry. */
#include "flow/flow_cache.h"

#include <glib.h>

#define WAYS       2
#define CACHE_LINE 64 /* bytes; holds one set */

static struct flow_cached *first_in_set(const struct flow_cache *, uint64_t);

/*
 * Allocate an empty cache of at least ENTRIES entries, a power of two; freed
 * by flow_cache_clear().
 */
void
flow_cache_init(struct flow_cache *cache, uint32_t entries)
{
    cache->sets = 1;
    while (cache->sets * WAYS < entries) {
        cache->sets *= 2;
    }
    cache->entries = g_aligned_alloc0((gsize)cache->sets * WAYS,
                                      sizeof(struct flow_cached), CACHE_LINE);
}

/* Free the memory of the cache. */
void
flow_cache_clear(struct flow_cache *cache)
{
    g_aligned_free(cache->entries);
    cache->entries = NULL;
}

/* Return the first entry of the set that DIGEST belongs to. */
static struct flow_cached *
first_in_set(const struct flow_cache *cache, uint64_t digest)
{
    return &cache->entries[(digest & (cache->sets - 1)) * WAYS];
}

/*
 * Return the entry of the flow with DIGEST, or NULL.  It is valid until the
 * next flow_cache_add().
 */
struct flow_cached *
flow_cache_find(const struct flow_cache *cache, uint64_t digest)
{
    struct flow_cached *set = first_in_set(cache, digest);

    for (int way = 0; way < WAYS; way++) {
        if (set[way].digest == digest) {
            return &set[way];
        }
    }
    return NULL;
}

/*
 * Return the entry of the flow with DIGEST and set its time of last use to
 * NOW_S, in seconds.  A new entry replaces the less recently used one of its
 * set.
 */
struct flow_cached *
flow_cache_add(struct flow_cache *cache, uint64_t digest, uint32_t now_s)
{
    struct flow_cached *entry = flow_cache_find(cache, digest);

    if (entry == NULL) {
        struct flow_cached *set = first_in_set(cache, digest);

        entry = &set[0];
        for (int way = 1; way < WAYS; way++) {
            if (set[way].used_s < entry->used_s) {
                entry = &set[way];
            }
        }
        *entry = (struct flow_cached){
            .digest = digest,
            .endpoint = FLOW_ENDPOINT_NONE,
            .owner_notified_s = now_s,
        };
    }
    entry->used_s = now_s;
    return entry;
}
