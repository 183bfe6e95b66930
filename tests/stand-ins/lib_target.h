/* What the parts of the target stand-in share. */
#ifndef PS_STANDINS_LIB_TARGET_H
#define PS_STANDINS_LIB_TARGET_H

#include <glib.h>
#include <stdatomic.h>

#include "edge/call_option.h"
#include "edge/geneve.h"
#include "lib_ledger.h"
#include "lib_path.h"
#include "lib_tag.h"

enum announced_state {
    ANNOUNCED_READY,
    ANNOUNCED_COLD,
    ANNOUNCED_DRAINING,
    ANNOUNCED__MAX
};

enum endpoint_mode {
    ENDPOINT_TRUE,   /* what is so */
    ENDPOINT_FINE,   /* always healthy and idle */
    ENDPOINT_FULL,   /* always unhealthy and full */
    ENDPOINT_FROZEN, /* what was so when the mode was set */
    ENDPOINT_HANG,   /* no answer */
    ENDPOINT__MAX
};

/* All are strings and numbers as given; see target.c for the defaults. */
struct target_options {
    char *pool, *address, *up, *control, *ledger, *zone, *script;
    char **announce_to;
    int slots, connections, weight, incarnation, service_ms, seed, http_port,
        flow_limit;
};

/* Faults of the target itself; percentages of calls unless said. */
struct target_modes {
    double shed;
    double late;
    double doubled;
    double crossed;
    double service_ms;
    double late_ms;
};

struct target_streams;
struct target_calls;

struct target {
    uv_loop_t *loop;
    struct target_options options;
    struct target_modes modes;
    struct path in; /* faults of what arrives */
    struct path out;
    struct net_udp *udp;
    struct net_address up;
    struct ledger *ledger;
    GRand *random;
    uint32_t ip;
    uint64_t service; /* hash_string() of the pool */
    enum announced_state state;
    struct target_streams *streams;
    struct target_calls *calls;
    uint64_t wrong_service;
    uint64_t malformed;
    uint64_t other_vni; /* for another pool: dropped by the interface */
    uint64_t announced;
    uint64_t announce_failed;
    atomic_int flows; /* read by the endpoints' threads */
    atomic_int running;
    atomic_int health_mode;
    atomic_int load_mode;
};

void target_init(struct target *);
void target_set_state(struct target *, enum announced_state);

/* Check the tag of a packet; a packet of another service is recorded. */
bool target_tag(struct target *, const struct geneve_packet *, struct tag *);
void target_send_tcp(struct target *, struct geneve_build *);
void target_send_udp(struct target *, struct geneve_build *);
bool target_chance(struct target *, double percent);
json_t *target_flow_json(const struct geneve_packet *);

struct target_streams *target_streams_new(struct target *);
void target_streams_packet(struct target_streams *,
                           const struct geneve_packet *);
unsigned target_streams_forget(struct target_streams *, unsigned count);

struct target_calls *target_calls_new(struct target *);
void target_calls_packet(struct target_calls *, struct net_address from,
                         const struct geneve_packet *,
                         const struct call_option *);

void target_announce_start(struct target *);
void target_announce_now(struct target *);
const char *target_state_name(enum announced_state);

void target_http_start(struct target *);
bool target_http_mode(struct target *, const char *endpoint, const char *mode);

#endif
