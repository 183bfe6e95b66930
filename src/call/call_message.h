/*
 * Messages between call cores, and epochs.  src/peer/call_wire.h turns them
 * into bytes.
 */
#ifndef PS_CALL_CALL_MESSAGE_H
#define PS_CALL_CALL_MESSAGE_H

#include "base/view.h"

#define CALL_GROUP_MAX           3 /* daemons that hold an epoch's records */
#define CALL_RECORDS_PER_MESSAGE 256

struct call_member {
    struct daemon_id daemon;
    uint64_t incarnation; /* of its process */
};

/* group[0] is the lead. */
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
    CALL_MSG_HELLO, /* asks for the process's incarnation */
    CALL_MSG_HELLO_ACK,
    CALL_MSG_RECORD,      /* lead to member: log entries from OFFSET on */
    CALL_MSG_RECORD_ACK,  /* OFFSET: entries held; EPOCH: highest promised */
    CALL_MSG_COLLECT,     /* new lead to member of the PREVIOUS epoch */
    CALL_MSG_COLLECT_ACK, /* entries from OFFSET on, of TOTAL */
    CALL_MSG_LOAD, /* slots in use: id holds the target, caller the count */
    CALL_MSG__MAX
};

/* One struct for all kinds; a member that a kind does not use is 0. */
struct call_message {
    enum call_message_kind kind;
    struct pool_id pool;
    uint64_t epoch;       /* the sender's, or the highest promised */
    uint64_t previous;    /* COLLECT: whose records are asked for */
    uint64_t incarnation; /* the member's: as listed, or its own in an ack */
    uint64_t first;       /* entries before it have expired */
    uint64_t offset;      /* of keys[0]; in RECORD_ACK the end of the log */
    uint64_t end;     /* of the sender's log; in RECORD_ACK of the message */
    uint64_t install; /* entries taken over from earlier epochs */
    bool held;        /* COLLECT_ACK: the log is of PREVIOUS */
    size_t key_count;
    struct call_key keys[CALL_RECORDS_PER_MESSAGE];
};

#endif
