/*
 * The lead's flows: open addressing ordered by digest, so that the flows of a
 * bucket, the uppermost bits of the digest, lie side by side.
 */
#ifndef PS_FLOW_FLOW_TABLE_H
#define PS_FLOW_FLOW_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define FLOW_DIGEST_BITS 48
#define FLOW_DIGEST_MAX  ((UINT64_C(1) << FLOW_DIGEST_BITS) - 1)

enum flow_entry_flag {
    FLOW_ENTRY_EXPLICIT = 0x01, /* has a record at the replica */
    FLOW_ENTRY_UDP = 0x02,
    FLOW_ENTRY_ANSWERED = 0x04, /* its target accepted it */
    FLOW_ENTRY_FIN_CALLER = 0x08,
    FLOW_ENTRY_FIN_TARGET = 0x10,
    FLOW_ENTRY_TRANSIT = 0x40, /* its route has a former pool */
    FLOW_ENTRY_CLOSED = 0x20,  /* no more counted, kept for stragglers */
};

struct flow_entry {
    uint64_t record; /* digest << 16 | index of the target; 0 is empty */
    uint32_t seen_s;
    uint16_t opened_s; /* lower bits */
    uint8_t spare;
    uint8_t flags; /* enum flow_entry_flag */
};

struct flow_table {
    struct flow_entry *slots;
    uint32_t capacity; /* home slots; overflow slots follow */
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

/* Begin to fetch the slot where the search for DIGEST starts. */
static inline void
flow_table_prefetch(const struct flow_table *table, uint64_t digest)
{
    if (table->slots != NULL) {
        __builtin_prefetch(
            &table->slots[((digest >> 16) * table->capacity) >> 32]);
    }
}

/* The flow's digest and the index of its target. */
static inline uint64_t
flow_entry_digest(const struct flow_entry *entry)
{
    return entry->record >> 16;
}

static inline uint16_t
flow_entry_target(const struct flow_entry *entry)
{
    return (uint16_t)entry->record;
}

#endif
