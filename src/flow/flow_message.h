/*
 * Messages between the flow cores of entry daemons, as plain structs.
 * src/peer/flow_wire.h encodes and decodes them.
 */
#ifndef PS_FLOW_FLOW_MESSAGE_H
#define PS_FLOW_FLOW_MESSAGE_H

#include <glib.h>

#include "base/view.h"

/*
 * A record of a flow in a replica: the upper 48 bits are the flow's digest;
 * the lower 16 are its target's index in the map and a flag for UDP, or
 * FLOW_RECORD_CLOSED.
 */
#define FLOW_RECORD_UDP    0x8000
#define FLOW_RECORD_CLOSED 0xffff

enum flow_message_kind {
    FLOW_MSG_MAP,         /* owner to all: changes of the map since from_seq */
    FLOW_MSG_MAP_ACK,     /* reply: the version that the sender holds */
    FLOW_MSG_MAP_QUERY,   /* to all: request for the map of a pool */
    FLOW_MSG_NO_MAP,      /* reply: the sender has no map */
    FLOW_MSG_RECORDS,     /* owner to replica holder: records in order */
    FLOW_MSG_RECORDS_ACK, /* reply: the next position expected */
    FLOW_MSG_COUNTS,      /* owner to replica holder: flows of each target */
    FLOW_MSG_HANDOVER,    /* former owner to new: take the pool over */
    /* To all: version of the routes that the sender applies */
    FLOW_MSG_ROUTES,
    FLOW_MSG_ACTIVITY_QUERY, /* to all: was this flow answered recently? */
    FLOW_MSG_ACTIVITY_REPLY, /* reply: yes or no */
    FLOW_MSG_FLOW_ENDED,     /* to the owner: a silent flow was reset */
    FLOW_MSG__MAX
};

struct flow_map_target {
    struct target_key key;
    /*
     * 1: packets of unknown flows in the target's buckets are relayed to the
     * owner
     */
    uint32_t avoid;
};

/* One message; members that a kind does not use are 0 or NULL. */
struct flow_message {
    enum flow_message_kind kind;
    struct pool_id pool;
    uint64_t epoch; /* of the owner */
    /*
     * MAP: epoch that from_seq counts in; HANDOVER: epoch of the map that the
     * receiver must hold
     */
    uint64_t prev_epoch;
    /*
     * MAP: version the changes start from, 0: whole map; HANDOVER: for how
     * many microseconds an unknown UDP flow may be an older one
     */
    uint64_t from_seq;
    /*
     * MAP, MAP_ACK: version of the map; HANDOVER: version of the map that the
     * receiver must hold; ROUTES: version of the routes
     */
    uint64_t seq;
    /*
     * RECORDS, RECORDS_ACK, HANDOVER: id of the replica, in RECORDS 0 for a
     * merge; MAP: id of the owner
     */
    uint64_t stream;
    /*
     * RECORDS, RECORDS_ACK, HANDOVER: in records; ROUTES: the receiver's
     * version known here
     */
    uint64_t position;
    uint32_t buckets; /* MAP: number in the whole map */
    /*
     * MAP: steered slices of 1024; HANDOVER: 1 if the replica has every flow
     */
    uint32_t share;
    GArray *targets; /* MAP: struct flow_map_target, or NULL */
    /* MAP: uint32_t, bucket << 16 | target, see FLOW_CHANGE_VIA_OWNER */
    GArray *changes;
    /*
     * RECORDS: uint64_t records; COUNTS, ROUTES, ACTIVITY_QUERY,
     * ACTIVITY_REPLY, FLOW_ENDED: plain words
     */
    GArray *records;
};

/*
 * Bit of a change, above the 15 bits of the target's index: packets of
 * unknown flows in the bucket are relayed to the owner.
 */
#define FLOW_CHANGE_VIA_OWNER 0x8000u

struct flow_message *flow_message_new(enum flow_message_kind, struct pool_id);
void flow_message_clear(struct flow_message *);
void flow_message_free(struct flow_message *);

#endif
