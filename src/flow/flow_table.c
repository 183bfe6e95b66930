/*
 * Linear probing without wrapping: overflow slots follow the last home slot.
 */
#include "flow/flow_table.h"

#include <string.h>

#include <glib.h>

#define CAPACITY_MIN 64
#define OVERFLOW     256 /* slots after the last home slot */
#define LOAD_PERCENT 80  /* above it the table grows */
#define GROW_PERCENT 150

static void grow(struct flow_table *);
static struct flow_entry *insert_entry(struct flow_table *,
                                       const struct flow_entry *);

/* Initialize an empty table; memory is allocated with the first flow. */
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

/*
 * Return the slot at which the search for DIGEST starts; it increases with
 * DIGEST.
 */
uint32_t
flow_table_home(const struct flow_table *table, uint64_t digest)
{
    return (uint32_t)(((digest >> 16) * table->capacity) >> 32);
}

/* Return the number of slots, overflow slots included. */
uint32_t
flow_table_end(const struct flow_table *table)
{
    return table->slots == NULL ? 0 : table->capacity + OVERFLOW;
}

/*
 * Return the next flow whose digest is from FIRST to LAST; NULL after the last
 * one.  *AT, 0 before the first call, keeps the position between calls; the
 * table must not change meanwhile.
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

/* Return the flow with DIGEST, or NULL; valid until the next change. */
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

/* Copy ENTRY into the first free slot and return it; NULL if there is none. */
static struct flow_entry *
insert_entry(struct flow_table *table, const struct flow_entry *entry)
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

/* Enlarge the table until every flow has a slot. */
static void
grow(struct flow_table *table)
{
    struct flow_table old = *table;
    uint32_t end = flow_table_end(&old);
    bool inserted = false;
    uint64_t capacity = old.capacity;

    while (!inserted) {
        capacity = MAX(CAPACITY_MIN, capacity * GROW_PERCENT / 100);
        table->capacity = (uint32_t)capacity;
        table->slots = g_new0(struct flow_entry, capacity + OVERFLOW);
        inserted = true;
        for (uint32_t i = 0; i < end && inserted; i++) {
            if (old.slots[i].record != 0) {
                inserted = insert_entry(table, &old.slots[i]) != NULL;
            }
        }
        if (!inserted) {
            g_free(table->slots);
        }
    }
    g_free(old.slots);
}

/*
 * Add a flow that is not in the table and return it; valid until the next
 * change.
 */
struct flow_entry *
flow_table_insert(struct flow_table *table, uint64_t digest, uint16_t target)
{
    struct flow_entry entry = {.record = digest << 16 | target};
    struct flow_entry *slot;

    if ((uint64_t)(table->used + 1) * 100 >
        (uint64_t)table->capacity * LOAD_PERCENT) {
        grow(table);
    }
    slot = insert_entry(table, &entry);
    while (slot == NULL) {
        grow(table);
        slot = insert_entry(table, &entry);
    }
    table->used++;
    return slot;
}

/*
 * Remove ENTRY and move the entries after it that were displaced from their
 * home slots back.
 */
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

/* Return the bytes of memory allocated. */
size_t
flow_table_bytes(const struct flow_table *table)
{
    return (size_t)flow_table_end(table) * sizeof(struct flow_entry);
}
