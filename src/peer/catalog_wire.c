/* Packs and unpacks the catalog's rows and commands. */
#include "peer/catalog_wire.h"

#include <stdlib.h>
#include <string.h>

#include "base/deflate.h"

#define ROW_GROWTH 16 /* rows by which an array grows */
/* Bytes of a packed command from which on it is compressed. */
#define DEFLATE_MIN (256U << 10)
/* Bytes of a command before it was compressed; limits what a damaged entry
 * allocates. */
#define INFLATED_MAX (64U << 20)

static void *add_row(size_t *count, void ***rows, size_t size);
static void fill_target(Parsleyspur__CatalogTarget *,
                        const struct catalog_target *);
static void fill_voter(Parsleyspur__CatalogVoter *, size_t index,
                       const struct catalog_voter *);
static Parsleyspur__CatalogTarget *
new_target_row(const struct catalog_target *);
static void fill_zone(Parsleyspur__CatalogZone *, const struct catalog_zone *);
static Parsleyspur__CatalogZoneOrder *
new_zone_order(const struct catalog_zone_order *);
static bool read_zone_order(const Parsleyspur__CatalogZoneOrder *,
                            struct catalog_zone_order *);
static Parsleyspur__CatalogUpdate *
new_tables_message(const struct catalog_tables *);
static bool read_tables(const Parsleyspur__CatalogUpdate *,
                        struct catalog_tables *);
static void pack_command(const struct catalog_command *, GByteArray *);
static bool read_deflated(const Parsleyspur__CatalogCommand *,
                          struct catalog_command *);
static bool read_command(const Parsleyspur__CatalogCommand *,
                         struct catalog_command *);
static bool read_target_command(const Parsleyspur__CatalogTarget *,
                                enum catalog_command_kind,
                                struct catalog_command *);

/* Append the packed MESSAGE to BYTES. */
void
catalog_wire_append(const ProtobufCMessage *message, GByteArray *bytes)
{
    size_t len = protobuf_c_message_get_packed_size(message);
    guint at = bytes->len;

    g_byte_array_set_size(bytes, at + (guint)len);
    protobuf_c_message_pack(message, bytes->data + at);
}

/* Append a zeroed row of SIZE bytes to the array ROWS of COUNT elements, which
 * grows as needed, and return it. */
static void *
add_row(size_t *count, void ***rows, size_t size)
{
    if (*count % ROW_GROWTH == 0) {
        *rows = g_realloc_n(*rows, *count + ROW_GROWTH, sizeof(**rows));
    }
    (*rows)[*count] = g_malloc0(size);
    return (*rows)[(*count)++];
}

/* Add ROUTE to UPDATE; a removed one without its contents. */
void
catalog_wire_add_route(Parsleyspur__CatalogUpdate *update,
                       const struct catalog_route *route)
{
    Parsleyspur__CatalogRoute *row =
        add_row(&update->n_routes, (void ***)&update->routes, sizeof(*row));

    parsleyspur__catalog_route__init(row);
    row->address = (uint32_t)(route->key >> 16);
    row->port = (uint16_t)route->key;
    row->revision = route->revision;
    row->removed = route->removed;
    if (route->removed) {
        return;
    }
    row->kind = route->kind;
    row->priority = route->priority;
    row->timeout_ms = route->timeout_ms;
    row->goal_ms = route->goal_ms;
    for (size_t i = 0; i < route->split_count; i++) {
        Parsleyspur__CatalogSplit *split =
            add_row(&row->n_splits, (void ***)&row->splits, sizeof(*split));

        parsleyspur__catalog_split__init(split);
        split->pool = route->splits[i].pool.value;
        split->weight = route->splits[i].weight;
    }
}

/* Set ROUTE from ROW; return false if ROW is invalid.  The caller clears ROUTE
 * with catalog_route_clear() in both cases. */
bool
catalog_wire_read_route(const Parsleyspur__CatalogRoute *row,
                        struct catalog_route *route)
{
    memset(route, 0, sizeof(*route));
    if (row->port > UINT16_MAX || row->kind >= CATALOG_KIND__MAX) {
        return false;
    }
    route->key = catalog_endpoint_key(row->address, (uint16_t)row->port);
    route->kind = (enum catalog_kind)row->kind;
    route->priority = row->priority;
    route->timeout_ms = row->timeout_ms;
    route->goal_ms = row->goal_ms;
    route->revision = row->revision;
    route->removed = row->removed;
    for (size_t i = 0; i < row->n_splits; i++) {
        struct pool_id pool = {row->splits[i]->pool};

        catalog_route_add_split(route, pool, row->splits[i]->weight);
    }
    return true;
}

/* Initialize ROW from TARGET. */
static void
fill_target(Parsleyspur__CatalogTarget *row,
            const struct catalog_target *target)
{
    parsleyspur__catalog_target__init(row);
    row->host = target->host;
    row->incarnation = target->incarnation;
    row->sequence = target->sequence;
    row->address = target->address;
    row->port = target->port;
    row->pool = target->pool.value;
    row->zone = target->zone;
    row->slots = target->slots;
    row->state = target->state;
    row->cold_ms = target->cold_ms;
    row->missing = target->missing;
    row->revision = target->revision;
    row->owner = target->owner;
}

/* Return a new row of TARGET, which the caller adds to a message. */
static Parsleyspur__CatalogTarget *
new_target_row(const struct catalog_target *target)
{
    Parsleyspur__CatalogTarget *row = g_malloc0(sizeof(*row));

    fill_target(row, target);
    return row;
}

/* Add TARGET to UPDATE. */
void
catalog_wire_add_target(Parsleyspur__CatalogUpdate *update,
                        const struct catalog_target *target)
{
    Parsleyspur__CatalogTarget *row =
        add_row(&update->n_targets, (void ***)&update->targets, sizeof(*row));

    fill_target(row, target);
}

/* Set TARGET from ROW; return false if ROW is invalid. */
bool
catalog_wire_read_target(const Parsleyspur__CatalogTarget *row,
                         struct catalog_target *target)
{
    memset(target, 0, sizeof(*target));
    if (row->port > UINT16_MAX || row->state >= CATALOG_TARGET_STATE__MAX) {
        return false;
    }
    target->host = row->host;
    target->incarnation = row->incarnation;
    target->sequence = row->sequence;
    target->address = row->address;
    target->port = (uint16_t)row->port;
    target->pool.value = row->pool;
    target->zone = row->zone;
    target->slots = row->slots;
    target->state = (enum catalog_target_state)row->state;
    target->cold_ms = row->cold_ms;
    target->missing = row->missing;
    target->revision = row->revision;
    target->owner = row->owner;
    return true;
}

/* Add POOL with ID to UPDATE. */
void
catalog_wire_add_pool(Parsleyspur__CatalogUpdate *update, uint64_t id,
                      const struct catalog_pool *pool)
{
    Parsleyspur__CatalogPool *row =
        add_row(&update->n_pools, (void ***)&update->pools, sizeof(*row));

    parsleyspur__catalog_pool__init(row);
    row->id = id;
    row->name = g_strdup(pool->name);
    row->cold_limited = pool->cold_per_s >= 0;
    row->cold_per_s = row->cold_limited ? pool->cold_per_s : 0;
}

/* Set POOL from ROW, which keeps the name. */
void
catalog_wire_read_pool(const Parsleyspur__CatalogPool *row,
                       struct catalog_pool *pool)
{
    memset(pool, 0, sizeof(*pool));
    pool->name = row->name;
    pool->cold_per_s = row->cold_limited ? row->cold_per_s : -1;
}

/* Initialize ROW from ZONE. */
static void
fill_zone(Parsleyspur__CatalogZone *row, const struct catalog_zone *zone)
{
    parsleyspur__catalog_zone__init(row);
    row->name = g_strdup(zone->name);
    row->emptied = zone->emptied;
    row->ordered_ms = zone->ordered_ms;
    row->revision = zone->revision;
}

/* Set ZONE from ROW, which keeps the name. */
void
catalog_wire_read_zone(const Parsleyspur__CatalogZone *row,
                       struct catalog_zone *zone)
{
    memset(zone, 0, sizeof(*zone));
    zone->zone = view_zone_id(row->name);
    zone->name = row->name;
    zone->emptied = row->emptied;
    zone->ordered_ms = row->ordered_ms;
    zone->revision = row->revision;
}

/* Add ZONE to UPDATE. */
void
catalog_wire_add_zone(Parsleyspur__CatalogUpdate *update,
                      const struct catalog_zone *zone)
{
    Parsleyspur__CatalogZone *row =
        add_row(&update->n_zones, (void ***)&update->zones, sizeof(*row));

    fill_zone(row, zone);
}

/* Return a new message with ORDER, which the caller adds to a command. */
static Parsleyspur__CatalogZoneOrder *
new_zone_order(const struct catalog_zone_order *order)
{
    Parsleyspur__CatalogZoneOrder *message = g_malloc0(sizeof(*message));

    parsleyspur__catalog_zone_order__init(message);
    message->zone = g_malloc0(sizeof(*message->zone));
    fill_zone(message->zone, &order->zone);
    message->row_revision = order->base;
    message->cold_ms = order->cold_ms;
    message->n_owners = order->owner_count;
    message->owners =
        g_memdup2(order->owners, order->owner_count * sizeof(*order->owners));
    return message;
}

/* Set ORDER from MESSAGE; return false if it is invalid. */
static bool
read_zone_order(const Parsleyspur__CatalogZoneOrder *message,
                struct catalog_zone_order *order)
{
    memset(order, 0, sizeof(*order));
    if (message->zone == NULL || message->n_owners > CATALOG_OWNERS_MAX) {
        return false;
    }
    catalog_wire_read_zone(message->zone, &order->zone);
    order->zone.name = g_strdup(message->zone->name);
    order->base = message->row_revision;
    order->cold_ms = message->cold_ms;
    order->owner_count = message->n_owners;
    for (size_t i = 0; i < message->n_owners; i++) {
        order->owners[i] = message->owners[i];
    }
    return true;
}

/* Initialize ROW from VOTER, whose voter number is INDEX. */
static void
fill_voter(Parsleyspur__CatalogVoter *row, size_t index,
           const struct catalog_voter *voter)
{
    parsleyspur__catalog_voter__init(row);
    row->voter = (uint32_t)index;
    row->address = voter->address;
    row->revision = voter->revision;
}

/* Return a new row of VOTER, which the caller adds to a message. */
Parsleyspur__CatalogVoter *
catalog_wire_new_voter(size_t index, const struct catalog_voter *voter)
{
    Parsleyspur__CatalogVoter *row = g_malloc0(sizeof(*row));

    fill_voter(row, index, voter);
    return row;
}

/* Add VOTER, whose voter number is INDEX, to UPDATE. */
void
catalog_wire_add_voter(Parsleyspur__CatalogUpdate *update, size_t index,
                       const struct catalog_voter *voter)
{
    Parsleyspur__CatalogVoter *row =
        add_row(&update->n_voters, (void ***)&update->voters, sizeof(*row));

    fill_voter(row, index, voter);
}

/* Return a new message with TABLES; the caller frees it. */
static Parsleyspur__CatalogUpdate *
new_tables_message(const struct catalog_tables *tables)
{
    Parsleyspur__CatalogUpdate *update = g_malloc0(sizeof(*update));
    GHashTableIter iter;
    gpointer key, value;
    gsize len;
    const uint8_t *document = g_bytes_get_data(tables->document, &len);

    parsleyspur__catalog_update__init(update);
    update->version = tables->version;
    update->idle_ms = tables->idle_ms;
    update->document.data = g_memdup2(document, len);
    update->document.len = len;
    for (guint i = 0; i < tables->routes->len; i++) {
        catalog_wire_add_route(
            update, &g_array_index(tables->routes, struct catalog_route, i));
    }
    g_hash_table_iter_init(&iter, tables->pools);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        catalog_wire_add_pool(update, *(uint64_t *)key, value);
    }
    return update;
}

/* Append COMMAND to BYTES, packed but not compressed. */
static void
pack_command(const struct catalog_command *command, GByteArray *bytes)
{
    Parsleyspur__CatalogCommand *message = g_malloc0(sizeof(*message));
    struct catalog_voter voter = {0};

    parsleyspur__catalog_command__init(message);
    switch (command->kind) {
    case CATALOG_REPLACE:
        message->replace = new_tables_message(&command->u.tables);
        break;
    case CATALOG_ANNOUNCE:
        message->announce = new_target_row(&command->u.target);
        break;
    case CATALOG_LEAVE:
        message->leave = new_target_row(&command->u.target);
        break;
    case CATALOG_PRESENCE:
        message->presence = new_target_row(&command->u.target);
        break;
    case CATALOG_VOTER:
        voter.address = command->u.voter.address;
        message->voter =
            catalog_wire_new_voter(command->u.voter.index, &voter);
        break;
    case CATALOG_ZONE:
        message->zone = new_zone_order(&command->u.zone);
        break;
    case CATALOG_COMMAND__MAX:
        break;
    }
    catalog_wire_append(&message->base, bytes);
    parsleyspur__catalog_command__free_unpacked(message, NULL);
}

/*
 * Append COMMAND to BYTES in the form of a log entry.  A large one, which can
 * only be tables, is compressed: their text repeats the same words in each row,
 * and an entry is sent and stored as a whole.
 */
void
catalog_wire_pack(const struct catalog_command *command, GByteArray *bytes)
{
    Parsleyspur__CatalogCommand message = PARSLEYSPUR__CATALOG_COMMAND__INIT;
    GByteArray *packed = g_byte_array_new();
    GByteArray *deflated;

    pack_command(command, packed);
    if (packed->len < DEFLATE_MIN) {
        g_byte_array_append(bytes, packed->data, packed->len);
        g_byte_array_unref(packed);
        return;
    }
    deflated = deflate_bytes(packed->data, packed->len);
    message.deflated.data = deflated->data;
    message.deflated.len = deflated->len;
    message.size = packed->len;
    catalog_wire_append(&message.base, bytes);
    g_byte_array_unref(deflated);
    g_byte_array_unref(packed);
}

/* Set TABLES from UPDATE; return false if a route is invalid.  The caller
 * clears TABLES in both cases. */
static bool
read_tables(const Parsleyspur__CatalogUpdate *update,
            struct catalog_tables *tables)
{
    catalog_tables_init(tables);
    tables->version = update->version;
    tables->idle_ms = update->idle_ms;
    tables->document =
        g_bytes_new(update->document.data, update->document.len);
    for (size_t i = 0; i < update->n_routes; i++) {
        struct catalog_route route;

        if (!catalog_wire_read_route(update->routes[i], &route)) {
            return false;
        }
        g_array_append_val(tables->routes, route);
    }
    for (size_t i = 0; i < update->n_pools; i++) {
        struct pool_id id = {update->pools[i]->id};
        struct catalog_pool pool;

        catalog_wire_read_pool(update->pools[i], &pool);
        catalog_tables_put_pool(tables, id, &pool);
    }
    return true;
}

/* Set COMMAND of KIND, with its target, from ROW; return false if ROW is
 * invalid. */
static bool
read_target_command(const Parsleyspur__CatalogTarget *row,
                    enum catalog_command_kind kind,
                    struct catalog_command *command)
{
    command->kind = kind;
    return catalog_wire_read_target(row, &command->u.target);
}

/* Set COMMAND from the compressed one in MESSAGE; return false if that is
 * damaged, larger than INFLATED_MAX, or compressed once more. */
static bool
read_deflated(const Parsleyspur__CatalogCommand *message,
              struct catalog_command *command)
{
    GByteArray *packed;
    Parsleyspur__CatalogCommand *inner;
    bool ok;

    if (message->size > INFLATED_MAX) {
        return false;
    }
    packed = deflate_inflate(message->deflated.data, message->deflated.len,
                             message->size);
    if (packed == NULL) {
        return false;
    }
    inner =
        parsleyspur__catalog_command__unpack(NULL, packed->len, packed->data);
    g_byte_array_unref(packed);
    if (inner == NULL) {
        return false;
    }
    ok = inner->deflated.len == 0 && read_command(inner, command);
    parsleyspur__catalog_command__free_unpacked(inner, NULL);
    return ok;
}

/* Set COMMAND from MESSAGE; return false if that is not valid. */
static bool
read_command(const Parsleyspur__CatalogCommand *message,
             struct catalog_command *command)
{
    bool ok = false;

    if (message->deflated.len > 0) {
        return read_deflated(message, command);
    }
    if (message->replace != NULL) {
        command->kind = CATALOG_REPLACE;
        ok = read_tables(message->replace, &command->u.tables);
    }
    else if (message->announce != NULL) {
        ok = read_target_command(message->announce, CATALOG_ANNOUNCE, command);
    }
    else if (message->leave != NULL) {
        ok = read_target_command(message->leave, CATALOG_LEAVE, command);
    }
    else if (message->presence != NULL) {
        ok = read_target_command(message->presence, CATALOG_PRESENCE, command);
    }
    else if (message->voter != NULL) {
        command->kind = CATALOG_VOTER;
        command->u.voter.index = message->voter->voter;
        command->u.voter.address = message->voter->address;
        ok = true;
    }
    else if (message->zone != NULL) {
        command->kind = CATALOG_ZONE;
        ok = read_zone_order(message->zone, &command->u.zone);
    }
    return ok;
}

/*
 * Unpack COMMAND from LEN bytes.  Return false if they are not a valid
 * command; else the caller frees its members with catalog_command_clear().
 */
bool
catalog_wire_unpack(const uint8_t *data, size_t len,
                    struct catalog_command *command)
{
    Parsleyspur__CatalogCommand *message =
        parsleyspur__catalog_command__unpack(NULL, len, data);
    bool ok;

    memset(command, 0, sizeof(*command));
    if (message == NULL) {
        return false;
    }
    ok = read_command(message, command);
    if (!ok) {
        catalog_command_clear(command);
    }
    parsleyspur__catalog_command__free_unpacked(message, NULL);
    return ok;
}
