/* The sizes and the state of the model of the control traffic. */
#ifndef PS_BENCH_CONTROL_MODEL_H
#define PS_BENCH_CONTROL_MODEL_H

#include <glib.h>

#include "member/member.h"
#include "member/spread.h"

#define TICK_US      50000
#define DELAY_US     1500
#define SETTLE_S     20
#define MEASURE_S    30
#define UDP_HEADERS  28 /* bytes of IPv4 and UDP */
#define TCP_HEADERS  44 /* bytes of IPv4, TCP and the frame's length */
#define EDIT_BYTES   300
#define ANNOUNCE_S   3
#define LIFE_MS      10000
#define DETECTIONS   200
#define BASE_ADDRESS 0x0a000000u
#define ZONES        ((size_t)8)

/*
 * The size that is designed for: 10,000 daemons, 73,000 targets, 5,300 pools,
 * 12,000 edits, 330 failures and 17,000 restarts a day.  Sizes are per daemon;
 * rates are those of the whole system at any number of daemons.  A restart is
 * counted twice: as a daemon's, and as four changes of a target.
 */
#define DESIGN_TARGETS        7.3
#define DESIGN_POOLS          0.53
#define DESIGN_EDITS_PER_S    (12000.0 / 86400)
#define DESIGN_RESTARTS_PER_S (17330.0 / 86400)
#define DESIGN_CHANGES_PER_S  (4 * DESIGN_RESTARTS_PER_S)

/* One run: its sizes, and what it measured. */
struct run {
    size_t daemons, zones, targets, pools;
    double edits_per_s, changes_per_s, restarts_per_s;
    double bytes_per_s;     /* sent by a daemon, headers included */
    double max_bytes_per_s; /* by the busiest one */
    double core_percent;
    double kb; /* of memory for each daemon */
    double in_force_ms;
    double in_force_max_ms;
};

struct packet {
    uint32_t to, from;
    bool is_member;
    GByteArray *bytes;
};

struct node {
    char name[32], zone[32];
    struct member_core *member;
    struct spread_core *spread;
    uint64_t bytes;
    uint64_t incarnation;
};

struct model {
    struct run *run;
    struct node *nodes;
    GHashTable *by_id;
    GArray *now_packets, *next_packets;
    GRand *rand;
    uint64_t now_us;
    uint64_t committed, committed_us;
    bool leading;
    uint32_t *target_changes;
    GArray *in_force_ms;
    struct member_actions member_actions;
    struct spread_actions spread_actions;
};

#endif
