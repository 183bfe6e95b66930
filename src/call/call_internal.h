/* State and functions that the files of the call core share. */
#ifndef PS_CALL_CALL_INTERNAL_H
#define PS_CALL_CALL_INTERNAL_H

#include <glib.h>

#include "call/call.h"

#define CALL_ATTEMPTS_MAX 8 /* upper bound of the option attempts_max */
/* bits of the attempt's index + 1 in the wire number; the rest is a tag */
#define CALL_ATTEMPT_BITS 4
#define CALL_OFFSET_NONE  UINT64_MAX /* not recorded in the present log */

enum call_state {
    CALL_STATE_ASSEMBLING, /* parts of the request are missing */
    CALL_STATE_RECORDING,  /* waits for its record or for an epoch */
    CALL_STATE_QUEUED,
    CALL_STATE_SENT,          /* to a target */
    CALL_STATE_REFUSING,      /* to be refused once its record is held */
    CALL_STATE_EARLIER_EPOCH, /* recorded by a former owner */
    CALL_STATE_ANSWERED,      /* this and the following are kept for retries */
    CALL_STATE_REFUSED,
    CALL_STATE_UNKNOWN
};

struct call_attempt {
    struct target_key target;
    uint64_t sent_us;
    bool open;      /* uses a slot of the target */
    bool refused;   /* by the target */
    uint32_t parts; /* of the answer; 0 until one was received */
    uint32_t parts_held;
    GBytes *answer[CALL_PARTS_MAX];
};

struct call {
    struct call_key key;
    enum call_state state;
    bool idempotent;
    bool record_held; /* by enough members of the group */
    bool cancelled;
    bool caller_waits; /* EARLIER_EPOCH: a caller waits for the outcome */
    uint16_t caller_port;
    uint16_t service_port;
    uint32_t service;
    uint32_t parts;
    uint32_t parts_held;
    GBytes *request[CALL_PARTS_MAX];
    uint64_t arrived_us;
    uint64_t deadline_us;
    uint64_t record_offset;  /* in the log */
    uint64_t released_epoch; /* for which a former owner released it */
    uint64_t queue_tag;      /* order in the queue */
    uint64_t sequence;
    GSequenceIter *queue_place; /* NULL if it is not queued */
    struct daemon_id recorder;  /* EARLIER_EPOCH: owner that recorded it */
    enum call_reason reason;    /* of a refusal */
    unsigned attempt_count;
    unsigned answered_attempt; /* index of the attempt whose answer is kept */
    struct call_attempt *attempts[CALL_ATTEMPTS_MAX];
    GList link; /* in open or in one of the kept lists */
    GQueue *list;
};

/* A target and its load, as known to this daemon. */
struct call_target {
    struct target_view view;
    uint32_t slots_used;
    uint32_t former_slots_used; /* by the former owner, as it last reported */
    uint64_t former_slots_until_us;
    uint64_t backoff_until_us; /* no calls until then, after a refusal */
    uint64_t last_sequence;    /* sequence of its last call */
    struct call_evidence evidence;
};

/*
 * The records of one epoch, as its owner or a member of its group holds them.
 */
struct call_log {
    uint64_t epoch;
    uint64_t first;              /* offset of keys[0] */
    uint64_t carried_over_count; /* number of entries from earlier epochs */
    GArray *keys;                /* struct call_key */
    GArray *expires_us;          /* uint64_t, when each entry may be dropped */
};

enum call_phase {
    CALL_PHASE_NONE,
    CALL_PHASE_HELLO,      /* requests the incarnations of the next group */
    CALL_PHASE_REQUESTED,  /* has requested an epoch */
    CALL_PHASE_COLLECTING, /* the records of the previous epoch */
    CALL_PHASE_INSTALLING, /* those records at its own group */
    CALL_PHASE_ACTIVE
};

/*
 * Progress with a member of the owner's own, the previous or the next group.
 */
struct call_peer {
    struct call_member member;
    bool answered;  /* HELLO, RECORD, or all of COLLECT */
    bool restarted; /* it has another incarnation, so it lost its records */
    bool has_log;   /* COLLECT: a log of the epoch requested */
    uint64_t carried_over_count; /* COLLECT: of its log */
    uint64_t log_end;            /* COLLECT: of its log */
    uint64_t next_offset;  /* of the first entry not yet acknowledged, or not
                              yet collected */
    uint64_t sent_offset;  /* of the first entry not yet sent */
    uint64_t last_sent_us; /* when the last message was sent to it */
    GArray *keys; /* collected ones; NULL unless it was in a previous group */
};

/*
 * The epoch of a pool that this daemon itself holds or acquires.  It may also
 * hold one when it is not the owner by the view.
 */
struct call_ownership {
    enum call_phase phase;
    bool renewing; /* acquires an epoch with a new group while it holds one */
    uint64_t phase_since_us;
    uint64_t superseded_us; /* when an epoch of this daemon last ended */
    /* when this daemon became owner by the view, or lost its epoch;
       NO_EPOCH_WAIT_US counts from here */
    uint64_t without_epoch_since_us;
    uint64_t next_try_us; /* no epoch is requested before */
    unsigned requests;    /* requests in a row in this try */
    /* when an epoch or a confirmation was last requested */
    uint64_t requested_us;
    uint64_t confirmed_us; /* start of the lease */
    uint64_t granted_us;
    uint64_t not_run_exact_from_us; /* from then on "not run" is certain for
                                       idempotent calls */
    struct call_epoch epoch;        /* number 0: none is held */
    struct call_epoch previous;     /* as named in the last REQUEST_EPOCH */
    bool collected; /* the log has the records of the earlier epochs */
    unsigned peer_count;
    struct call_peer peers[CALL_GROUP_MAX]; /* peers[0] is this daemon */
    unsigned previous_count;
    struct call_peer previous_peers[CALL_GROUP_MAX];
    unsigned candidate_count;
    struct call_peer candidates[CALL_GROUP_MAX]; /* for the next group */
};

struct call_pool {
    struct pool_id id;
    bool has_view; /* a view of it was received */
    uint32_t queue_limit;
    uint64_t no_target_since_us; /* 0: there is one */
    GArray *targets;             /* struct call_target, sorted by address */
    GHashTable *calls;           /* struct call_key to struct call */
    GQueue open;
    GQueue kept_idempotent;
    GQueue kept_non_idempotent;
    GSequence *queue;
    GHashTable *caller_tags; /* caller to the queue tag of its next call */
    uint64_t virtual_time;
    uint32_t recording_count; /* calls that wait for their record */
    uint64_t retry_tokens;    /* hundredths of a retry */
    double latency_us;        /* moving average, of answers */
    double latency_deviation_us;
    struct daemon_id view_owner; /* according to the view of the daemons */
    struct daemon_id former_owner;
    struct daemon_id successor;      /* to which load is reported */
    uint32_t successor_slots;        /* slots in use, as last reported to it */
    struct call_epoch highest_epoch; /* that this daemon knows of */
    uint64_t promised_epoch;         /* records of lower epochs are refused */
    struct call_log log;
    struct call_ownership ownership;
};

struct call_core {
    struct call_options options;
    struct call_counters counters;
    GArray *pools; /* struct call_pool *, sorted by id */
    GArray *daemons;
    GPtrArray *deferred_bytes; /* freed at the next step: actions may still
                                  point to them */
    GPtrArray *messages;       /* of actions, freed at the next step */
    uint64_t sequence;
    uint32_t attempt_tag; /* distinguishes the attempts of this process */
    uint64_t next_evidence_us;
    uint64_t last_step_us;
    uint64_t stalled_until_us; /* the age of requests is unknown until then */
    bool daemon_missing;       /* an entry daemon is suspected or dead */
    uint64_t daemon_lost_us;   /* when one was last missing */
    uint64_t stop_us;          /* start of the planned stop; 0: none */
    /* when a peer last relayed a packet to this daemon */
    uint64_t last_relay_us;
    bool stopped;
};

/* The context of one step. */
struct call_step {
    struct call_core *core;
    uint64_t now_us;
    struct call_actions *out;
};

/* call_core.c */
struct call_action *call_action_add(struct call_step *, enum call_action_kind);
void call_drop(struct call_step *, const struct call_pool *, enum call_reason);
const struct daemon_view *call_daemon(const struct call_core *,
                                      struct daemon_id);
bool call_daemon_can_receive(const struct call_core *, struct daemon_id);
uint64_t call_retention_us(const struct call_core *);

/* call_pool.c */
struct call_pool *call_pool_new(struct pool_id);
void call_pool_free(struct call_core *, struct call_pool *);
void call_pool_update(struct call_step *, struct call_pool *,
                      const struct pool_view *);
struct call_target *call_target_find(const struct call_pool *,
                                     struct target_key);
struct call_target *call_target_choose(struct call_step *, struct call_pool *,
                                       const struct call *);
bool call_pool_has_target(const struct call_pool *);
void call_evidence_report(struct call_step *, struct call_pool *);

/* call_table.c */
struct call *call_find(const struct call_pool *, struct call_key);
struct call *call_add(struct call_step *, struct call_pool *, struct call_key,
                      enum call_state);
void call_set_state(struct call_pool *, struct call *, enum call_state);
void call_remove(struct call_core *, struct call_pool *, struct call *);
void call_bytes_set(struct call_core *, GBytes **place, const uint8_t *,
                    size_t);
void call_bytes_clear(struct call_core *, GBytes **place);
bool call_bytes_make_room(struct call_core *, struct call_pool *, size_t);
void call_remove_expired(struct call_step *, struct call_pool *);
void call_request_clear(struct call_core *, struct call *);

/* call_queue.c */
void call_queue_tag(struct call_pool *, struct call *);
void call_queue_add(struct call_pool *, struct call *);
void call_queue_remove(struct call *);
struct call *call_queue_last(const struct call_pool *);
uint32_t call_queue_length(const struct call_pool *);

/* call_packet.c */
void call_packet_receive(struct call_step *, struct call_pool *,
                         const struct call_packet *);

/* call_request.c */
void call_request_receive(struct call_step *, struct call_pool *,
                          const struct call_packet *);
void call_cancel_receive(struct call_step *, struct call_pool *,
                         const struct call_packet *);
void call_relay(struct call_step *, struct call_pool *, struct call_packet,
                struct daemon_id to);
struct call_packet call_request_part(const struct call_pool *,
                                     const struct call *, uint32_t part);
void call_release(struct call_step *, struct call_pool *, struct call *,
                  struct daemon_id to, uint64_t epoch);

/* call_refuse.c */
void call_refuse(struct call_step *, struct call_pool *, struct call *,
                 enum call_reason);
void call_end_unknown(struct call_step *, struct call_pool *, struct call *,
                      enum call_reason);
void call_outcome_send(struct call_step *, struct call_pool *,
                       const struct call *);
void call_answer_send(struct call_step *, struct call_pool *,
                      const struct call *);

/* call_send.c */
void call_dispatch(struct call_step *, struct call_pool *);
uint32_t call_attempt_number(const struct call_core *, const struct call *,
                             unsigned index);
void call_attempts_end(struct call_step *, struct call_pool *, struct call *,
                       bool cancel, bool unanswered);
void call_attempt_close(struct call_pool *, struct call_attempt *);
void call_attempt_cancel(struct call_step *, struct call_pool *,
                         const struct call *, unsigned index);
void call_retry(struct call_step *, struct call_pool *, struct call *,
                enum call_reason);
void call_check_timeouts(struct call_step *, struct call_pool *);

/* call_load.c */
void call_load_send(struct call_step *, struct call_pool *, bool again);
void call_load_receive(struct call_step *, struct call_pool *,
                       const struct call_message *);

/* call_answer.c */
void call_answer_receive(struct call_step *, struct call_pool *,
                         const struct call_packet *);

/* call_log.c */
void call_log_clear(struct call_log *);
uint64_t call_log_end(const struct call_log *);
void call_log_append(struct call_log *, struct call_key, uint64_t expire_us);
void call_log_expire(struct call_log *, uint64_t now_us);
size_t call_log_page(const struct call_log *, uint64_t offset,
                     struct call_key *, size_t);

/* call_member.c */
void call_message_receive(struct call_step *, struct call_pool *,
                          struct daemon_id, const struct call_message *);
struct call_message *call_message_add(struct call_step *,
                                      const struct call_pool *,
                                      struct daemon_id,
                                      enum call_message_kind);

/* call_record.c */
bool call_record_add(struct call_step *, struct call_pool *, struct call *);
bool call_record_held(const struct call_step *, const struct call_pool *,
                      const struct call *);
uint64_t call_record_replicated(const struct call_step *,
                                const struct call_pool *);
void call_record_flush(struct call_step *, struct call_pool *);
void call_record_ack(struct call_step *, struct call_pool *, struct daemon_id,
                     const struct call_message *);
void call_resume_recorded(struct call_step *, struct call_pool *);

/* call_epoch.c */
bool call_is_owner(const struct call_core *, const struct call_pool *);
bool call_epoch_is_own(const struct call_core *, const struct call_epoch *);
bool call_lease_held(const struct call_step *, const struct call_pool *);
void call_epoch_event(struct call_step *, struct call_pool *,
                      const struct call_epoch *, uint64_t requested_us);
void call_epoch_confirm(struct call_step *, struct call_pool *);
void call_epoch_tick(struct call_step *, struct call_pool *);
void call_epoch_superseded(struct call_step *, struct call_pool *,
                           uint64_t epoch, struct daemon_id by);

/* call_group.c */
void call_group_hello_ack(struct call_step *, struct call_pool *,
                          struct daemon_id, const struct call_message *);
void call_group_recheck(struct call_pool *);
void call_group_choose(struct call_step *, struct call_pool *);
bool call_group_incomplete(const struct call_step *, const struct call_pool *);

/* call_install.c */
void call_install(struct call_step *, struct call_pool *);

/* call_handover.c */
void call_owner_changed(struct call_step *, struct call_pool *,
                        struct daemon_id owner);
void call_owner_tick(struct call_step *, struct call_pool *);
void call_release_unsent(struct call_step *, struct call_pool *,
                         uint64_t epoch, struct daemon_id to, bool next);

/* call_collect.c */
void call_collect_begin(struct call_step *, struct call_pool *);
void call_collect_ack(struct call_step *, struct call_pool *, struct daemon_id,
                      const struct call_message *);
void call_collect_tick(struct call_step *, struct call_pool *);

#endif
