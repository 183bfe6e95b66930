/*
 * Messages between the flow cores of entry daemons, as plain structs.
 * src/peer/flow_wire.h turns them into bytes.
 */
#ifndef PS_FLOW_FLOW_MESSAGE_H
#define PS_FLOW_FLOW_MESSAGE_H

#include <glib.h>

#include "base/view.h"

/*
 * A record of a copy: the flow's digest in the upper 48 bits, in the lower 16
 * its target's index in the map and a mark for UDP, or FLOW_RECORD_CLOSED.
 */
#define FLOW_RECORD_UDP    0x8000
#define FLOW_RECORD_CLOSED 0xffff

enum flow_message_kind {
    FLOW_MSG_MAP,      /* lead to all: changes of the map since from_seq */
    FLOW_MSG_MAP_ACK,  /* back: what the sender has in force */
    FLOW_MSG_QUERY,    /* to all: who has a map, and send it to me */
    FLOW_MSG_NO_MAP,   /* back: not I */
    FLOW_MSG_COPY,     /* lead to replica: records in order */
    FLOW_MSG_COPY_ACK, /* back: the next position expected */
    FLOW_MSG_COUNTS,   /* lead to replica: flows of each target */
    FLOW_MSG_GRANT,    /* old lead to new: decide from here on */
    FLOW_MSG_ROUTES,   /* to all: version of the routes in force here */
    FLOW_MSG_ASK,      /* to all: was this flow answered lately? */
    FLOW_MSG_ANSWERED, /* back: yes or no */
    FLOW_MSG_END,      /* to the lead: a silent flow was ended */
    FLOW_MSG__MAX
};

struct flow_map_target {
    struct target_key key;
    uint32_t avoid; /* buckets of this target are marked */
};

/* One message; members that a kind does not use are 0 or NULL. */
struct flow_message {
    enum flow_message_kind kind;
    struct pool_id pool;
    uint64_t epoch;      /* of the lead's term */
    uint64_t prev_epoch; /* MAP: from_seq is of this epoch */
    uint64_t from_seq;   /* MAP; GRANT: microseconds in which unknown UDP
                            flows may be old ones */
    uint64_t seq;        /* MAP, MAP_ACK; ROUTES: version */
    uint64_t stream;     /* COPY, COPY_ACK, GRANT: id of the copy */
    uint64_t position;   /* COPY, COPY_ACK, GRANT: in records */
    uint32_t buckets;    /* MAP: of the whole map */
    uint32_t share;      /* MAP: steered slices of 1024; GRANT: 1 if the copy
                            has every flow */
    GArray *targets;     /* MAP: struct flow_map_target, or NULL */
    GArray *changes;     /* MAP: uint32_t, bucket << 16 | target; see MARK */
    GArray *records;     /* COPY: uint64_t; COUNTS, ASK: plain words */
};

/* In a change: the target's index is 15 bits and this one marks the bucket. */
#define FLOW_CHANGE_MARK 0x8000u

struct flow_message *flow_message_new(enum flow_message_kind, struct pool_id);
void flow_message_clear(struct flow_message *);
void flow_message_free(struct flow_message *);

#endif
