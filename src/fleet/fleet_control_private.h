/* Declarations shared by the files of the control role. */
#ifndef PS_FLEET_FLEET_CONTROL_PRIVATE_H
#define PS_FLEET_FLEET_CONTROL_PRIVATE_H

#include "daemon/store.h"
#include "evidence/evidence.h"
#include "fleet/fleet_private.h"
#include "fleet/fleet_assignment.h"
#include "quorum/quorum_core.h"

#define FLEET_QUORUM_HEARTBEAT_US 100000U /* of the leader of the log */

/* What made a request, and so how its outcome is reported. */
enum fleet_requester_kind {
    FLEET_REQUESTER_NONE, /* this daemon: it gets no answer, and repeats the
                           * request if its state still requires it */
    FLEET_REQUESTER_CALL, /* an API call: answered with 200 or 503 */
    FLEET_REQUESTER_READ, /* an API read: answered with the document */
    FLEET_REQUESTER_PEER, /* another control daemon that relays a command */
    FLEET_REQUESTER__MAX
};

struct fleet_requester {
    enum fleet_requester_kind kind;
    const char *what; /* for the log */
    uint64_t target;  /* host that the call is about, for the log; or 0 */
    uint64_t version; /* of the tables that were sent, for the log; or 0 */
    union {
        struct http_handle http; /* CALL, READ */
        struct {
            uint32_t address;
            uint64_t id;
        } peer;
    } u;
};

/* A command or read whose outcome is not known yet. */
struct fleet_request {
    uint64_t id;
    struct fleet_requester requester;
    uint64_t started_us;
    uint64_t deadline_us;
    /* READ: catalog revision required for the answer; 0 if unknown */
    uint64_t revision;
};

struct fleet_control {
    struct quorum_core *quorum; /* NULL if this daemon is no voter */
    struct store *store;
    size_t voter; /* voter number of this daemon, from 1; 0 for none */
    size_t voter_count;
    uint64_t assigned_revision; /* of the entry that made it the voter */
    /* By index; as last known. */
    struct fleet_assignment voters[CATALOG_VOTERS_MAX];
    bool fleet_formed; /* the voters belong to a fleet that has formed */
    /* This daemon is the leader and has applied all earlier entries. */
    bool leading;
    uint64_t next_check_us; /* of disk space and failed writes */
    uint64_t last_replacement_us;
    size_t last_replaced_voter; /* its index */
    uint32_t log_number;        /* in the name of the log's folder */
    bool voters_stored;         /* the voter file has what is known here */
    uint64_t next_voters_retry_us;

    GHashTable *requests; /* id -> struct fleet_request */
    uint64_t next_request;

    GHashTable *last_announced_us; /* leader: host -> uint64_t */
    GArray *unreported_hosts;      /* announced here, for the next report */
    uint64_t next_report_us;

    struct fleet_pending *pending;
    struct evidence_core *evidence; /* of targets, by entry daemons */
    uint64_t next_evidence_us;
    uint64_t targets_failing; /* times that one was found failing */
    uint64_t last_tick_us;
    uint64_t stale_calls_until_us;  /* calls read before may be old */
    uint64_t restore_hold_until_us; /* after a zone was restored */
    struct fleet_revision_times revision_times; /* of the catalog held here */

    GHashTable *packed_updates; /* from revision and scope -> packed update */
    uint64_t packed_revision;   /* of the catalog they were packed from */

    uint64_t calls[FLEET_CALL__MAX];
    uint64_t unavailable;              /* calls that got no majority in time */
    uint64_t latency[COUNTER_BUCKETS]; /* of answered calls */
};

/* fleet_heartbeat.c: heartbeats between daemons */
uint32_t fleet_heartbeat_leader(const struct fleet *);
uint64_t fleet_heartbeat_lag_us(const struct fleet *, uint64_t now_us);
bool fleet_heartbeat_has_leader_contact(const struct fleet *);
void fleet_heartbeat_send_due(struct fleet *, uint64_t now_us);
void fleet_heartbeat_send_to_entries(struct fleet *, uint64_t now_us);
void fleet_heartbeat_receive(struct fleet *, struct fleet_peer *,
                             const Parsleyspur__FleetHeartbeat *);

/*
 * fleet_voter.c: which daemons are the voters.  INDEX is the voter number
 * minus 1.
 */
void fleet_voter_assign_initial(struct fleet *);
void fleet_voter_become_initial(struct fleet *, const struct fleet_assignee[],
                                size_t count);
void fleet_voter_update_role(struct fleet *);
void fleet_voter_set_assigned(struct fleet *, size_t index,
                              struct fleet_assignee);
void fleet_voter_set_voting(struct fleet *, size_t index,
                            struct fleet_assignee);
struct fleet_assignee fleet_voter_self(const struct fleet *);
bool fleet_voter_answers(const struct fleet *, size_t index);
void fleet_voter_replace_lost(struct fleet *, uint64_t now_us);

/* fleet_quorum.c: the replicated log */
bool fleet_quorum_open(struct fleet *, GError **);
void fleet_quorum_try_open(struct fleet *);
void fleet_quorum_close(struct fleet *);
void fleet_quorum_tick(struct fleet *, uint64_t now_us);
void fleet_quorum_resign(struct fleet *);
void fleet_quorum_message(struct fleet *, struct fleet_peer *,
                          const Parsleyspur__FleetQuorum *);
void fleet_quorum_propose(struct fleet *, uint64_t request, const uint8_t *,
                          size_t);

/* fleet_voter_file.c: the voters, kept on disk */
bool fleet_voter_file_read(struct fleet *);
void fleet_voter_file_write(struct fleet *);
void fleet_voter_file_tick(struct fleet *, uint64_t now_us);
char *fleet_voter_file_log_folder(const struct fleet *);
void fleet_voter_file_pack_voters(const struct fleet_control *,
                                  Parsleyspur__FleetHeartbeat *);
void fleet_voter_file_remove_logs(struct fleet *);

/* fleet_request.c: commands and reads in progress */
void fleet_request_command(struct fleet *, const struct catalog_command *,
                           const struct fleet_requester *);
void fleet_request_packed_command(struct fleet *, const uint8_t *, size_t,
                                  const struct fleet_requester *);
void fleet_request_already_applied(struct fleet *,
                                   const struct fleet_requester *);
void fleet_request_read(struct fleet *, const struct fleet_requester *);
void fleet_request_finish(struct fleet *, uint64_t id, bool ok);
void fleet_request_confirmed(struct fleet *, uint64_t id, bool ok,
                             uint64_t revision);
void fleet_request_tick(struct fleet *, uint64_t now_us);
void fleet_request_fail_all(struct fleet *);

/* fleet_calls.c: API calls of operators and targets */
void fleet_calls_handle(void *, const struct http_request *);

/* fleet_announcement.c: targets whose announcements stop */
void fleet_announcement_received(struct fleet *, uint64_t host);
void fleet_announcement_merge_report(struct fleet *,
                                     const Parsleyspur__FleetHeard *);
void fleet_announcement_tick(struct fleet *, uint64_t now_us);
void fleet_announcement_restart(struct fleet *, uint64_t now_us);

/* fleet_evidence.c: what entry daemons see of targets */
void fleet_evidence_receive(struct fleet *, const struct fleet_peer *,
                            const Parsleyspur__FleetHeartbeat *);
void fleet_evidence_fill(const struct fleet *, uint32_t address,
                         Parsleyspur__FleetHeartbeat *);
void fleet_evidence_tick(struct fleet *, uint64_t now_us);

/* fleet_zone.c: orders for zones, owners of cold targets */
void fleet_zone_tick(struct fleet *, uint64_t now_us);
void fleet_zone_handle_order(struct fleet *, const struct http_request *,
                             const char *name, bool empty);
void fleet_zone_applied(struct fleet *, const struct catalog_zone_order *);
uint32_t fleet_zone_choose_owner(const struct fleet *,
                                 const struct catalog_target *);
bool fleet_zone_announcement_is_early(const struct fleet *,
                                      const struct catalog_target *);

/* fleet_push.c: pushes catalog updates to other daemons */
void fleet_push_all(struct fleet *, uint64_t now_us);
void fleet_push_if_due(struct fleet *, struct fleet_peer *, uint64_t now_us);

#endif
