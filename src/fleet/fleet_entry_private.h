/* Declarations shared by the files of the entry role. */
#ifndef PS_FLEET_FLEET_ENTRY_PRIVATE_H
#define PS_FLEET_FLEET_ENTRY_PRIVATE_H

#include "daemon/packet_batch.h"
#include "fleet/fleet_hold.h"
#include "fleet/fleet_private.h"
#include "shape/shape.h"

#define FLEET_PROBES_MAX 64 /* connections to targets, open at once */

struct fleet_entry {
    struct affinity_core *affinity;
    uint64_t start_id;           /* random at each start, never 0 */
    bool synced;                 /* has a catalog to place flows by */
    uint64_t search_interval_us; /* between heartbeats while not synced */
    uint64_t first_contact_us;   /* with a control daemon; 0 for never */
    /* Last contact with a current control daemon. */
    uint64_t current_contact_us;
    uint64_t next_heartbeat_us;
    uint64_t next_report_us;             /* of failures of targets */
    uint32_t sources[FLEET_SOURCES_MAX]; /* addresses; the first pushes updates
                                          * without delay */
    size_t source_count;
    bool connected; /* to a current control daemon, as last logged */

    uv_udp_t udp;
    int fd;
    uint8_t *input; /* of one recvmmsg */
    struct packet_batch batch;
    uint8_t output[PACKET_BATCH_MAX][FLEET_PACKET_MAX];
    uint8_t encoded[FLEET_PACKET_MAX];
    struct fleet_hold *hold;  /* packets that came before the catalog */
    struct shape *shape;      /* packets queued for the link */
    uv_timer_t send_timer;    /* runs while packets are queued */
    uint64_t last_packet_us;  /* when the last packet was received */
    uint64_t stop_started_us; /* when a planned stop began */
    uint64_t packets_in;
    uint64_t packets_out;
    uint64_t malformed;
    uint64_t resets;
    GQueue probes;           /* struct fleet_probe, oldest first */
    uv_timer_t probe_timer;  /* runs while there are probes */
    uint64_t probe_failures; /* connections that could not be begun */
    uint64_t send_failures;  /* datagrams that the socket did not accept */
};

/* fleet_entry.c */
bool fleet_entry_is_ready(const struct fleet *);

/* fleet_source.c: the control daemons that push the catalog to this daemon */
bool fleet_source_is_current(const struct fleet_peer *, uint64_t now_us);
void fleet_source_select(struct fleet *, uint64_t now_us);
void fleet_source_confirm(struct fleet *);
void fleet_source_report_failures(struct fleet *, uint64_t now_us);
uint32_t fleet_source_entry_count(const struct fleet *, uint64_t now_us);
uint64_t fleet_source_heartbeat_interval_us(struct fleet_entry *);

/* fleet_packet.c */
bool fleet_packet_start(struct fleet *, GError **);
void fleet_packet_close(struct fleet *);
void fleet_packet_free(struct fleet *);
void fleet_packet_end_flow(struct fleet *, uint64_t now_us,
                           const struct affinity_packet *);
void fleet_packet_send_queued(struct fleet *);
void fleet_packet_resume_held(struct fleet *);

/* fleet_probe.c: probes of targets that are suspected to be down */
void fleet_probe_start(struct fleet *);
void fleet_probe_close(struct fleet *);
void fleet_probe_run(struct fleet *, uint64_t now_us);

#endif
