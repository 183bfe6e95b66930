/* Linear probing without wrapping: overflow slots stand behind the last. */
#include "flow/flow_table.h"

#include <string.h>

#include <glib.h>

#define CAPACITY_MIN 64
#define OVERFLOW     256 /* slots behind the last home slot */
#define LOAD_PERCENT 80  /* above it the table grows */
#define GROW_PERCENT 150

static void grow(struct flow_table *);
static struct flow_entry *place(struct flow_table *,
                                const struct flow_entry *);

/* An empty table; it takes memory with the first flow. */
void
flow_table_init(struct flow_table *table)
{
    *table = (struct flow_table){0};
}

/* Remove all flows and free the memory. */
void
flow_table_clear(struct flow_table *table)
{
    g_free(table->slots);
    *table = (struct flow_table){0};
}

/* The slot at which the search for DIGEST starts; grows with DIGEST. */
uint32_t
flow_table_home(const struct flow_table *table, uint64_t digest)
{
    return (uint32_t)(((digest >> 16) * table->capacity) >> 32);
}

/* One behind the last slot. */
uint32_t
flow_table_end(const struct flow_table *table)
{
    return table->slots == NULL ? 0 : table->capacity + OVERFLOW;
}

/*
 * The next flow whose digest is from FIRST to LAST; NULL after the last one.
 * AT, 0 before the first call, keeps the place between calls; the table must
 * not change meanwhile.
 */
struct flow_entry *
flow_table_next(const struct flow_table *table, uint64_t first, uint64_t last,
                uint32_t *at)
{
    uint32_t end = flow_table_end(table);

    if (end == 0) {
        return NULL;
    }
    for (*at = MAX(*at, flow_table_home(table, first)); *at < end; (*at)++) {
        struct flow_entry *entry = &table->slots[*at];
        uint64_t digest = flow_entry_digest(entry);

        if (entry->record == 0 && *at > flow_table_home(table, last)) {
            return NULL;
        }
        if (entry->record != 0 && digest >= first && digest <= last) {
            (*at)++;
            return entry;
        }
    }
    return NULL;
}

/* The flow with DIGEST, or NULL; valid until the next change. */
struct flow_entry *
flow_table_find(const struct flow_table *table, uint64_t digest)
{
    struct flow_entry *slot;

    if (table->slots == NULL) {
        return NULL;
    }
    slot = &table->slots[flow_table_home(table, digest)];
    while (slot->record != 0) {
        if (flow_entry_digest(slot) == digest) {
            return slot;
        }
        slot++;
    }
    return NULL;
}

/* Put ENTRY into the first free slot; NULL if there is none. */
static struct flow_entry *
place(struct flow_table *table, const struct flow_entry *entry)
{
    uint32_t home = flow_table_home(table, flow_entry_digest(entry));
    uint32_t last = flow_table_end(table) - 1;

    while (table->slots[home].record != 0) {
        home++;
    }
    if (home >= last) {
        return NULL; /* the last slot stays empty and ends every search */
    }
    table->slots[home] = *entry;
    return &table->slots[home];
}

/* Enlarge the table until every flow has its place. */
static void
grow(struct flow_table *table)
{
    struct flow_table old = *table;
    uint32_t end = flow_table_end(&old);
    bool placed = false;
    uint64_t capacity = old.capacity;

    while (!placed) {
        capacity = MAX(CAPACITY_MIN, capacity * GROW_PERCENT / 100);
        table->capacity = (uint32_t)capacity;
        table->slots = g_new0(struct flow_entry, capacity + OVERFLOW);
        placed = true;
        for (uint32_t i = 0; i < end && placed; i++) {
            if (old.slots[i].record != 0) {
                placed = place(table, &old.slots[i]) != NULL;
            }
        }
        if (!placed) {
            g_free(table->slots);
        }
    }
    g_free(old.slots);
}

/* Add a flow that is not in the table; valid until the next change. */
struct flow_entry *
flow_table_insert(struct flow_table *table, uint64_t digest, uint16_t target)
{
    struct flow_entry entry = {.record = digest << 16 | target};
    struct flow_entry *slot;

    if ((uint64_t)(table->used + 1) * 100 >
        (uint64_t)table->capacity * LOAD_PERCENT) {
        grow(table);
    }
    slot = place(table, &entry);
    while (slot == NULL) {
        grow(table);
        slot = place(table, &entry);
    }
    table->used++;
    return slot;
}

/* Remove ENTRY, moving back those behind it that it kept from home. */
void
flow_table_remove(struct flow_table *table, struct flow_entry *entry)
{
    uint32_t hole = (uint32_t)(entry - table->slots);

    for (uint32_t i = hole + 1; table->slots[i].record != 0; i++) {
        uint64_t digest = flow_entry_digest(&table->slots[i]);

        if (flow_table_home(table, digest) <= hole) {
            table->slots[hole] = table->slots[i];
            hole = i;
        }
    }
    table->slots[hole] = (struct flow_entry){0};
    table->used--;
}

/* Bytes of memory taken. */
size_t
flow_table_bytes(const struct flow_table *table)
{
    return (size_t)flow_table_end(table) * sizeof(struct flow_entry);
}
