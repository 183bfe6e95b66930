/*
 * A hash table of flows with open addressing, ordered by digest, so that the
 * flows of a bucket (the uppermost bits of the digest) are adjacent.
 */
#ifndef PS_FLOW_FLOW_TABLE_H
#define PS_FLOW_FLOW_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define FLOW_DIGEST_BITS 48
#define FLOW_DIGEST_MAX  ((UINT64_C(1) << FLOW_DIGEST_BITS) - 1)

enum flow_entry_flag {
    /* Has a record, which goes to every replica holder */
    FLOW_ENTRY_RECORDED = 0x01,
    FLOW_ENTRY_UDP = 0x02,
    FLOW_ENTRY_ACCEPTED = 0x04, /* its target accepted it */
    FLOW_ENTRY_FIN_CALLER = 0x08,
    FLOW_ENTRY_FIN_TARGET = 0x10,
    /* Opened while its route had a former pool */
    FLOW_ENTRY_ROUTE_MOVED = 0x40,
    FLOW_ENTRY_CLOSED = 0x20, /* not counted any more, kept for late packets */
};

struct flow_entry {
    /* Digest << 16 | index of the target; 0: the entry is empty */
    uint64_t record;
    uint32_t seen_s;   /* time of the last packet seen */
    uint16_t opened_s; /* lower 16 bits of the time */
    uint8_t unused;
    uint8_t flags; /* enum flow_entry_flag */
};

struct flow_table {
    struct flow_entry *slots;
    uint32_t capacity; /* home slots, which overflow slots follow */
    uint32_t used;
};

void flow_table_init(struct flow_table *);
void flow_table_clear(struct flow_table *);
struct flow_entry *flow_table_find(const struct flow_table *, uint64_t);
struct flow_entry *flow_table_insert(struct flow_table *, uint64_t,
                                     uint16_t target);
void flow_table_remove(struct flow_table *, struct flow_entry *);
size_t flow_table_bytes(const struct flow_table *);
uint32_t flow_table_home(const struct flow_table *, uint64_t digest);
uint32_t flow_table_end(const struct flow_table *);
struct flow_entry *flow_table_next(const struct flow_table *, uint64_t first,
                                   uint64_t last, uint32_t *at);

/* Prefetch the slot where the search for DIGEST starts. */
static inline void
flow_table_prefetch(const struct flow_table *table, uint64_t digest)
{
    if (table->slots != NULL) {
        __builtin_prefetch(
            &table->slots[((digest >> 16) * table->capacity) >> 32]);
    }
}

/* Return the digest of the flow of ENTRY. */
static inline uint64_t
flow_entry_digest(const struct flow_entry *entry)
{
    return entry->record >> 16;
}

/* Return the index in the pool's map of the target of ENTRY. */
static inline uint16_t
flow_entry_target(const struct flow_entry *entry)
{
    return (uint16_t)entry->record;
}

#endif
