/* What the parts of the caller stand-in share. */
#ifndef PS_STANDINS_LIB_CALLER_H
#define PS_STANDINS_LIB_CALLER_H

#include <glib.h>

#include "edge/call_option.h"
#include "edge/geneve.h"
#include "lib_ledger.h"
#include "lib_path.h"
#include "lib_tag.h"

#define CALLER_TICK_MS 10

struct caller_options {
    char *listen, *fabric, *control, *ledger, *script, *service, *to, *name;
    char *inner; /* the first of the callers' own addresses */
    int callers; /* addresses that the callers are spread over */
    int streams; /* open at once */
    int open_per_s;
    int period_ms; /* between the messages of a stream; 0 for an upload */
    int message_len;
    int messages; /* of a stream before it is closed; 0 for no end */
    int stall_ms; /* without an echo before a stream counts as broken */
    int calls_per_s;
    int idempotent_percent;
    int deadline_ms;
    int resend_ms; /* a request without an answer is sent again; 0: never */
    int parts_max;
    int retries; /* new calls for one that was refused as not run */
    int seed;
};

struct caller_streams;
struct caller_calls;

struct caller {
    uv_loop_t *loop;
    struct caller_options options;
    struct net_udp *udp;
    struct net_address fabric;
    struct net_address service; /* inner address and port of the route */
    uint64_t service_tag;
    uint32_t inner; /* host order */
    struct ledger *ledger;
    GRand *random;
    struct caller_streams *streams;
    struct caller_calls *calls;
    bool stopping;
    uint64_t malformed;
};

void caller_init(struct caller *);
void caller_send_tcp(struct caller *, const struct geneve_build *);
void caller_send_udp(struct caller *, const struct geneve_build *);

struct caller_streams *caller_streams_new(struct caller *);
void caller_streams_packet(struct caller_streams *,
                           const struct geneve_packet *);
void caller_streams_tick(struct caller_streams *, uint64_t now_ms);
void caller_streams_status(const struct caller_streams *, GString *);
void caller_streams_finish(struct caller_streams *);
bool caller_streams_idle(const struct caller_streams *);

struct caller_calls *caller_calls_new(struct caller *);
void caller_calls_packet(struct caller_calls *, const struct geneve_packet *,
                         const struct call_option *);
void caller_calls_tick(struct caller_calls *, uint64_t now_ms);
void caller_calls_status(const struct caller_calls *, GString *);
bool caller_calls_idle(const struct caller_calls *);

#endif
