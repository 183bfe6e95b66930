/* Declarations shared by the files of src/fleet. */
#ifndef PS_FLEET_FLEET_PRIVATE_H
#define PS_FLEET_FLEET_PRIVATE_H

#include <uv.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/span.h"
#include "fleet/fleet.h"
#include "fleet/fleet_log.h"
#include "fleet/fleet_push_progress.h"
#include "fleet/fleet_traffic.h"
#include "peer/catalog_wire.h"
#include "peer/fleet.pb-c.h"
#include "peer/mesh.h"

#define FLEET_HEARTBEAT_US 500000U /* between heartbeats of control daemons */
/* Between heartbeats without contact with the leader or a source. */
#define FLEET_HEARTBEAT_FAST_US 200000U
/* A peer without contact for this time is unreachable. */
#define FLEET_CONTACT_TIMEOUT_US 2000000U
/* Control daemons that push the catalog to an entry daemon. */
#define FLEET_SOURCES_MAX 3U

struct fleet_control;
struct fleet_entry;

/* Another daemon, as its last heartbeat described it. */
struct fleet_peer {
    uint32_t address;
    struct daemon_id id;
    bool control;
    uint64_t last_contact_us; /* 0 for never */
    uint32_t zone;
    uint32_t voter; /* its voter number, from 1; 0 for none */
    bool can_become_voter;
    uint32_t leader;
    uint64_t lag_us;      /* since it last received from the leader */
    uint64_t revision;    /* of its catalog */
    uint32_t entry_count; /* entry daemons it reaches in this zone */
    struct fleet_push_progress push; /* of this daemon's updates to it */
};

struct fleet {
    const struct fleet_options *options;
    struct settings settings;
    uint32_t zone;
    uv_loop_t loop;
    uv_timer_t tick;
    uv_signal_t sigterm;
    uv_signal_t sigint;
    uv_signal_t sighup;
    struct mesh *mesh;
    struct http_server *http;    /* API calls, or readiness */
    struct http_server *metrics; /* NULL without a port for it */
    struct counters counters;
    struct fleet_traffic traffic;
    struct fleet_log *log;
    struct span_writer *spans;
    struct fleet_seeds seeds;
    GHashTable *peers; /* address -> struct fleet_peer */
    struct catalog *catalog;
    uint64_t next_heartbeat_us;
    uint64_t next_seeds_us; /* when to read the seeds again */
    bool stopping;
    uint64_t stop_us;              /* when a planned stop ends */
    struct fleet_control *control; /* NULL in the entry role */
    struct fleet_entry *entry;     /* NULL in the control role */
};

/* fleet.c */
uint64_t fleet_elapsed_us(uint64_t now_us, uint64_t since_us);
void fleet_end(struct fleet *);

/* fleet_peer.c: known daemons, and messages to them */
struct fleet_peer *fleet_peer_get_or_add(struct fleet *, uint32_t address);
void fleet_peer_add_control(struct fleet *, uint32_t address);
bool fleet_peer_is_reachable(const struct fleet_peer *, uint64_t now_us);
void fleet_peer_record_heartbeat(struct fleet *, struct fleet_peer *,
                                 const Parsleyspur__FleetHeartbeat *);
void fleet_peer_expire(struct fleet *, uint64_t now_us);
void fleet_send(struct fleet *, uint32_t address,
                const Parsleyspur__FleetMessage *);
void fleet_read_seeds(struct fleet *);

/* fleet_answer.c: answers to HTTP requests */
void fleet_answer(struct fleet *, struct http_handle, unsigned status,
                  const char *message);
void fleet_answer_json(struct fleet *, struct http_handle, unsigned status,
                       const char *body, size_t len);
bool fleet_metrics_start(struct fleet *, GError **);

/* fleet_status.c: the daemon's state for operators */
char *fleet_status_text(const struct fleet *);

/* fleet_where.c: where a new flow would go, for operators */
char *fleet_where_text(struct fleet *, const char *text, unsigned *status);

/* fleet_span.c: spans of sampled flows */
bool fleet_span_start(struct fleet *, GError **);
void fleet_span_free(struct fleet *);
void fleet_span(struct fleet *, uint64_t key, enum span_hop, int64_t start_us,
                uint32_t peer);

/* fleet_entry.c */
bool fleet_entry_start(struct fleet *, GError **);
void fleet_entry_tick(struct fleet *, uint64_t now_us);
void fleet_entry_message(struct fleet *, struct fleet_peer *,
                         const Parsleyspur__FleetMessage *);
void fleet_entry_begin_stop(struct fleet *);
void fleet_entry_close(struct fleet *);
void fleet_entry_free(struct fleet *);
void fleet_entry_metrics(struct fleet *, GString *);

/* fleet_control.c */
bool fleet_control_start(struct fleet *, GError **);
void fleet_control_tick(struct fleet *, uint64_t now_us);
void fleet_control_message(struct fleet *, struct fleet_peer *,
                           const Parsleyspur__FleetMessage *);
void fleet_control_begin_stop(struct fleet *);
void fleet_control_close(struct fleet *);
void fleet_control_free(struct fleet *);
void fleet_control_metrics(struct fleet *, GString *);

#endif
