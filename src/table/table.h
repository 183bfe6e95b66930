/*
 * Plain structs for the rows of the pools table and the routes table, for the
 * commands that change them and for the results of the commands.  All modules
 * that use rows share them.
 */
#ifndef PS_TABLE_TABLE_H
#define PS_TABLE_TABLE_H

#include <glib.h>

#include "base/err.h"
#include "base/view.h"

#define TABLE_NAME_MAX    VIEW_NAME_MAX /* bytes of a name with its NUL */
#define TABLE_EDIT_ID_MAX 65            /* bytes of an edit id with its NUL */
#define TABLE_TARGETS_MAX 1024 /* drained or weighted targets of a pool */
#define TABLE_WEIGHT_MAX  1000 /* share of new flows and calls; default 100 */
#define TABLE_GROUP_MAX   16   /* daemons in the group of a call epoch */
#define TABLE_MESSAGE_MAX 256  /* bytes of an error message with its NUL */

enum table_kind {
    TABLE_POOL,
    TABLE_ROUTE,
    TABLE_KIND__MAX
};

struct table_route {
    char name[TABLE_NAME_MAX];
    char pool[TABLE_NAME_MAX];
    char team[TABLE_NAME_MAX]; /* "" for none */
    uint32_t address;          /* IPv4 that callers send to, host byte order */
    uint16_t port;             /* 0 for all ports */
    enum route_kind kind;
    uint32_t new_flows_per_s; /* 0 for no limit */
};

struct table_weight {
    uint32_t address; /* IPv4 of a target, host byte order */
    uint16_t weight;  /* 1 to TABLE_WEIGHT_MAX */
};

struct table_pool {
    char name[TABLE_NAME_MAX];
    char team[TABLE_NAME_MAX]; /* "" for none */
    enum pool_prefer prefer;
    uint32_t queue_limit; /* maximum of queued calls; 0 for the default */
    size_t drain_count;
    uint32_t *drain; /* IPv4 of targets to drain, host byte order */
    size_t weight_count;
    struct table_weight *weights; /* targets not listed have weight 100 */
};

/* A row of either table.  Its owner frees it with table_row_clear(). */
struct table_row {
    enum table_kind kind;
    uint64_t version; /* table version that last changed the row */
    union {
        struct table_route route;
        struct table_pool pool;
    } u;
};

enum table_operation {
    TABLE_SET,
    TABLE_DELETE,
    TABLE_OPERATION__MAX
};

/*
 * An operator's change of one row.  With TABLE_DELETE, only the row's kind and
 * name are used.
 */
struct table_edit {
    char id[TABLE_EDIT_ID_MAX]; /* chosen by the caller, unique */
    uint64_t base_version; /* version that the caller read before the edit */
    enum table_operation operation;
    struct table_row row;
};

/* The owner of a pool's calls, as agreed through the replicated log. */
struct table_epoch {
    struct pool_id pool;
    uint64_t epoch;    /* incremented per pool, from 1; 0 for none */
    uint64_t sequence; /* incremented over all pools; orders updates */
    uint64_t previous; /* the pool's epoch before this one */
    struct daemon_id owner;
    size_t group_count;
    struct daemon_id group[TABLE_GROUP_MAX];
    uint64_t incarnations[TABLE_GROUP_MAX]; /* of the processes in group */
};

enum table_command_kind {
    TABLE_COMMAND_EDIT,
    TABLE_COMMAND_CALL_EPOCH,
    TABLE_COMMAND__MAX
};

/*
 * A command of the replicated log.  In a call epoch, `previous` is compared
 * with the pool's current epoch, and `epoch` is ignored.
 */
struct table_command {
    enum table_command_kind kind;
    union {
        struct table_edit edit;
        struct table_epoch call_epoch;
    } u;
};

/* TABLE_ACCEPTED, or the reason for refusing a command. */
enum table_reason {
    TABLE_ACCEPTED,
    TABLE_CONFLICT,      /* based on another version than the current */
    TABLE_TOO_OLD,       /* its first answer may have been discarded */
    TABLE_POOL_MISSING,  /* a route or call epoch for an unknown pool */
    TABLE_POOL_IN_USE,   /* a pool that routes refer to */
    TABLE_ADDRESS_TAKEN, /* another route uses the address and port */
    TABLE_BAD_NAME,
    TABLE_BAD_VALUE,
    TABLE_NO_SUCH_ROW,
    TABLE_FULL,          /* the maximum number of rows is reached */
    TABLE_MALFORMED,     /* the bytes do not decode to a command */
    TABLE_EPOCH_CHANGED, /* the pool's current call epoch is another */
    TABLE_REASON__MAX
};

struct table_result {
    enum table_reason reason;
    uint64_t version; /* accepted: the new version; refused: the current */
    uint64_t epoch;   /* call epoch commands: the pool's resulting epoch */
    bool repeated;    /* the first answer to an edit id seen before, or a call
                         epoch that is current already */
    char message[TABLE_MESSAGE_MAX]; /* cause and remedy; "" if accepted */
};

/*
 * How far a replica has applied the history, which rows and call epochs share.
 */
struct table_position {
    uint64_t version;
    uint64_t epoch_sequence; /* of the latest call epoch of any pool */
};

const char *table_reason_name(enum table_reason);
enum err_code table_reason_code(enum table_reason);
const char *table_kind_name(enum table_kind);

const char *table_row_name(const struct table_row *);
void table_row_copy(struct table_row *, const struct table_row *);
void table_row_clear(struct table_row *);
void table_command_clear(struct table_command *);

bool table_name_valid(const char *);
bool table_row_check(const struct table_row *, struct table_result *);
bool table_edit_check(const struct table_edit *, struct table_result *);
void table_result_refuse(struct table_result *, enum table_reason,
                         const char *, ...) G_GNUC_PRINTF(3, 4);

void table_route_view(const struct table_row *, struct route_view *);
void table_pool_view(const struct table_row *, struct pool_view *);
bool table_pool_drains(const struct table_pool *, uint32_t address);
uint16_t table_pool_weight(const struct table_pool *, uint32_t address);

#endif
