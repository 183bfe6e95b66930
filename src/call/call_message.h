/*
 * Epochs, and the messages between the call cores of different daemons.
 * src/peer/call_wire.h converts the messages to bytes.
 */
#ifndef PS_CALL_CALL_MESSAGE_H
#define PS_CALL_CALL_MESSAGE_H

#include "base/view.h"

#define CALL_GROUP_MAX           3 /* daemons that hold an epoch's records */
#define CALL_RECORDS_PER_MESSAGE 256

struct call_member {
    struct daemon_id daemon;
    uint64_t incarnation; /* of the daemon's process */
};

/* One term of ownership of a pool; group[0] is the pool's owner. */
struct call_epoch {
    struct pool_id pool;
    uint64_t number; /* 0 for none */
    uint32_t group_count;
    struct call_member group[CALL_GROUP_MAX];
};

/* The identity of a call within its pool. */
struct call_key {
    uint64_t id;
    uint32_t caller;
};

enum call_message_kind {
    CALL_MSG_HELLO, /* requests the incarnation of the receiver's process */
    CALL_MSG_HELLO_ACK,
    CALL_MSG_RECORD,      /* owner to member: log entries from OFFSET on */
    CALL_MSG_RECORD_ACK,  /* OFFSET: end of the member's log; EPOCH: highest
                             epoch that it has promised */
    CALL_MSG_COLLECT,     /* new owner to a member of the PREVIOUS epoch */
    CALL_MSG_COLLECT_ACK, /* entries from OFFSET on, of a log up to END */
    CALL_MSG_LOAD, /* slots in use: a key's id holds the target, its caller
                      the count */
    CALL_MSG__MAX
};

/* One struct for all kinds; a field that a kind does not use is 0. */
struct call_message {
    enum call_message_kind kind;
    struct pool_id pool;
    uint64_t epoch;    /* the sender's, or the highest that it has promised */
    uint64_t previous; /* COLLECT: the epoch whose records are requested */
    uint64_t incarnation; /* of the member: as listed in the epoch's group, or
                             in an acknowledgement its present one */
    uint64_t first;       /* entries before this offset have expired */
    uint64_t offset;      /* of keys[0]; in RECORD_ACK the end of the log */
    uint64_t end; /* of the sender's log; in RECORD_ACK the end of the entries
                     in the message acknowledged */
    uint64_t carried_over_count; /* number of entries from earlier epochs */
    bool has_log; /* COLLECT_ACK: the sender's log is of PREVIOUS */
    size_t key_count;
    struct call_key keys[CALL_RECORDS_PER_MESSAGE];
};

#endif
