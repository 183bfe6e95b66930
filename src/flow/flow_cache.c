/* A cache of two ways; the one used longer ago makes room. */
#include "flow/flow_cache.h"

#include <glib.h>

#define WAYS       2
#define CACHE_LINE 64 /* bytes; holds one set */

static struct flow_cached *set_of(const struct flow_cache *, uint64_t);

/* A cache of at least ENTRIES entries, a power of two. */
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

void
flow_cache_clear(struct flow_cache *cache)
{
    g_aligned_free(cache->entries);
    cache->entries = NULL;
}

static struct flow_cached *
set_of(const struct flow_cache *cache, uint64_t digest)
{
    return &cache->entries[(digest & (cache->sets - 1)) * WAYS];
}

/* The entry of the flow with DIGEST, or NULL. */
struct flow_cached *
flow_cache_find(const struct flow_cache *cache, uint64_t digest)
{
    struct flow_cached *set = set_of(cache, digest);

    for (int way = 0; way < WAYS; way++) {
        if (set[way].digest == digest) {
            return &set[way];
        }
    }
    return NULL;
}

/* The entry of the flow with DIGEST, made if there is none. */
struct flow_cached *
flow_cache_add(struct flow_cache *cache, uint64_t digest, uint32_t now_s)
{
    struct flow_cached *entry = flow_cache_find(cache, digest);

    if (entry == NULL) {
        struct flow_cached *set = set_of(cache, digest);

        entry = &set[0];
        for (int way = 1; way < WAYS; way++) {
            if (set[way].used_s < entry->used_s) {
                entry = &set[way];
            }
        }
        *entry = (struct flow_cached){
            .digest = digest,
            .endpoint = FLOW_ENDPOINT_NONE,
            .touched_s = now_s,
        };
    }
    entry->used_s = now_s;
    return entry;
}
