/* Encodes and decodes messages and records of the replicated log. */
#ifndef PS_PEER_QUORUM_WIRE_H
#define PS_PEER_QUORUM_WIRE_H

#include "quorum/quorum.h"

void quorum_wire_pack(const struct quorum_message *, GByteArray *);
bool quorum_wire_unpack(const uint8_t *, size_t, struct quorum_message *);

void quorum_wire_pack_record(const struct quorum_record *, GByteArray *);
bool quorum_wire_unpack_record(const uint8_t *, size_t, struct quorum_record *,
                               uint64_t *size);

#endif
