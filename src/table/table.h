/*
 * The rows of the two tables, the commands that change them and the results.
 * Plain data: every part of the system that speaks of rows uses these.
 */
#ifndef PS_TABLE_TABLE_H
#define PS_TABLE_TABLE_H

#include <glib.h>

#include "base/err.h"
#include "base/view.h"

#define TABLE_NAME_MAX    VIEW_NAME_MAX /* bytes of a name with its NUL */
#define TABLE_EDIT_ID_MAX 65            /* bytes of an edit id with its NUL */
#define TABLE_TARGETS_MAX 1024          /* drained or weighted in one pool */
#define TABLE_WEIGHT_MAX  1000          /* share of new work; 100 is usual */
#define TABLE_GROUP_MAX   16            /* daemons in a call epoch's group */
#define TABLE_MESSAGE_MAX 256           /* bytes of a refusal with its NUL */

enum table_kind {
    TABLE_POOL,
    TABLE_ROUTE,
    TABLE_KIND__MAX
};

struct table_route {
    char name[TABLE_NAME_MAX];
    char pool[TABLE_NAME_MAX];
    char team[TABLE_NAME_MAX]; /* "" for none */
    uint32_t address;          /* IPv4 that callers send to, host order */
    uint16_t port;             /* 0 for every port */
    enum route_kind kind;
    uint32_t new_flows_per_s; /* 0 for no limit */
};

struct table_weight {
    uint32_t address; /* IPv4 of a target, host order */
    uint16_t weight;  /* 1 to TABLE_WEIGHT_MAX */
};

struct table_pool {
    char name[TABLE_NAME_MAX];
    char team[TABLE_NAME_MAX]; /* "" for none */
    enum pool_prefer prefer;
    uint32_t queue_limit; /* calls that may wait; 0 for the default */
    size_t drain_count;
    uint32_t *drain; /* IPv4 of targets to empty, host order */
    size_t weight_count;
    struct table_weight *weights; /* targets not named here weigh 100 */
};

/* A row of either table; the owner clears it with table_row_clear(). */
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

/* An operator's change of one row.  TABLE_DELETE reads only kind and name. */
struct table_edit {
    char id[TABLE_EDIT_ID_MAX]; /* chosen by the caller, unique */
    uint64_t base_version;      /* version that the caller has seen */
    enum table_operation operation;
    struct table_row row;
};

/* Who leads the calls of a pool, as the daemons have agreed. */
struct table_epoch {
    struct pool_id pool;
    uint64_t epoch;    /* counts by one for each pool; 0 for none */
    uint64_t stamp;    /* counts by one over all pools, for updates */
    uint64_t previous; /* the pool's epoch that this one took over from */
    struct daemon_id lead;
    size_t group_count;
    struct daemon_id group[TABLE_GROUP_MAX];
    uint64_t incarnations[TABLE_GROUP_MAX]; /* of the group's processes */
};

enum table_command_kind {
    TABLE_COMMAND_EDIT,
    TABLE_COMMAND_CALL_EPOCH,
    TABLE_COMMAND__MAX
};

/*
 * What the replicated log carries.  In a call epoch `previous` is compared
 * with the pool's epoch, and `epoch` is not read.
 */
struct table_command {
    enum table_command_kind kind;
    union {
        struct table_edit edit;
        struct table_epoch call_epoch;
    } u;
};

/* Why a command was refused. */
enum table_reason {
    TABLE_ACCEPTED,
    TABLE_CONFLICT,      /* built on another version */
    TABLE_TOO_OLD,       /* so old that its first answer is no longer kept */
    TABLE_POOL_MISSING,  /* a route to a pool that does not exist */
    TABLE_POOL_IN_USE,   /* a pool that routes still name */
    TABLE_ADDRESS_TAKEN, /* another route has the address and port */
    TABLE_BAD_NAME,
    TABLE_BAD_VALUE,
    TABLE_NO_SUCH_ROW,
    TABLE_FULL,          /* a limit of rows is reached */
    TABLE_MALFORMED,     /* bytes that are no command */
    TABLE_EPOCH_CHANGED, /* another call epoch than the one named is current */
    TABLE_REASON__MAX
};

struct table_result {
    enum table_reason reason;
    uint64_t version; /* accepted: the version made; refused: the current */
    uint64_t epoch;   /* call epoch: the pool's epoch after the command */
    bool repeated;    /* the first answer to an edit id seen before */
    char message[TABLE_MESSAGE_MAX]; /* names the remedy; "" if accepted */
};

/* What a replica has: rows and call epochs come from one history. */
struct table_position {
    uint64_t version;
    uint64_t epoch; /* the last call epoch given to any pool */
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
