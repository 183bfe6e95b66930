/*
 * Converts the catalog's rows and commands between structs and bytes.  Rows
 * made for packing are protobuf-c messages of the default allocator; they are
 * freed with the message to which they are added.
 */
#ifndef PS_PEER_CATALOG_WIRE_H
#define PS_PEER_CATALOG_WIRE_H

#include "catalog/catalog.h"
#include "peer/catalog.pb-c.h"

void catalog_wire_pack(const struct catalog_command *, GByteArray *);
bool catalog_wire_unpack(const uint8_t *, size_t, struct catalog_command *);

void catalog_wire_append(const ProtobufCMessage *, GByteArray *);

/* Append a row to an update. */
void catalog_wire_add_route(Parsleyspur__CatalogUpdate *,
                            const struct catalog_route *);
void catalog_wire_add_target(Parsleyspur__CatalogUpdate *,
                             const struct catalog_target *);
void catalog_wire_add_pool(Parsleyspur__CatalogUpdate *, uint64_t id,
                           const struct catalog_pool *);
void catalog_wire_add_zone(Parsleyspur__CatalogUpdate *,
                           const struct catalog_zone *);
Parsleyspur__CatalogVoter *
catalog_wire_new_voter(size_t index, const struct catalog_voter *);
void catalog_wire_add_voter(Parsleyspur__CatalogUpdate *, size_t index,
                            const struct catalog_voter *);

bool catalog_wire_read_route(const Parsleyspur__CatalogRoute *,
                             struct catalog_route *);
void catalog_wire_read_pool(const Parsleyspur__CatalogPool *,
                            struct catalog_pool *);
void catalog_wire_read_zone(const Parsleyspur__CatalogZone *,
                            struct catalog_zone *);
bool catalog_wire_read_target(const Parsleyspur__CatalogTarget *,
                              struct catalog_target *);

#endif
