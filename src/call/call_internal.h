/* What the files of the call core share. */
#ifndef PS_CALL_CALL_INTERNAL_H
#define PS_CALL_CALL_INTERNAL_H

#include <glib.h>

#include "call/call.h"

#define CALL_ATTEMPTS_MAX 8 /* of one call, whatever is set */
#define CALL_ATTEMPT_BITS 4 /* of an attempt's number; the rest is a tag */
#define CALL_OFFSET_NONE  UINT64_MAX /* not recorded in the present log */

enum call_state {
    CALL_GATHERING, /* parts of the request are missing */
    CALL_RECORDING, /* waits for its record or for an epoch */
    CALL_WAITING,   /* in the queue */
    CALL_SENT,      /* at a target */
    CALL_DENYING,   /* to be refused once its record is held */
    CALL_FORMER,    /* recorded under an earlier lead */
    CALL_ANSWERED,  /* kept for retries from here on */
    CALL_REFUSED,
    CALL_UNKNOWN
};

struct call_attempt {
    struct target_key target;
    uint64_t sent_us;
    bool open; /* holds a slot */
    bool refused;
    uint32_t parts; /* of the answer; 0 until one came */
    uint32_t parts_held;
    GBytes *answer[CALL_PARTS_MAX];
};

struct call {
    struct call_key key;
    enum call_state state;
    bool idempotent;
    bool held; /* its record is, by enough of the group */
    bool cancelled;
    bool asked; /* FORMER: a caller waits for a word of it */
    uint16_t caller_port;
    uint16_t service_port;
    uint32_t service;
    uint32_t parts;
    uint32_t parts_held;
    GBytes *request[CALL_PARTS_MAX];
    uint64_t arrived_us;
    uint64_t deadline_us;
    uint64_t offset;   /* of its record */
    uint64_t released; /* epoch for which an earlier lead gave it up */
    uint64_t tag;      /* order in the queue */
    uint64_t sequence;
    GSequenceIter *place; /* in the queue, or NULL */
    struct daemon_id former;
    enum call_reason reason; /* of a refusal */
    unsigned attempt_count;
    unsigned answered_by; /* attempt whose answer is kept */
    struct call_attempt *attempts[CALL_ATTEMPTS_MAX];
    GList link; /* in open or in one of the kept lists */
    GQueue *list;
};

/* A target with what this lead knows of its load. */
struct call_slot {
    struct target_view view;
    uint32_t used;
    uint32_t foreign; /* used by the lead before, as it tells */
    uint64_t foreign_until_us;
    uint64_t rest_until_us; /* it has just refused */
    uint64_t last_used;     /* sequence of its last call */
    struct call_evidence evidence;
};

/* The records of one epoch, as its lead or a member holds them. */
struct call_log {
    uint64_t epoch;
    uint64_t first;   /* offset of keys[0] */
    uint64_t install; /* entries taken over from earlier epochs */
    GArray *keys;     /* struct call_key */
    GArray *expire;   /* uint64_t, when each may be forgotten */
};

enum call_phase {
    CALL_PHASE_NONE,
    CALL_PHASE_HELLO,      /* learns incarnations of the group to be */
    CALL_PHASE_ASKED,      /* has asked for an epoch */
    CALL_PHASE_COLLECTING, /* the records of the previous epoch */
    CALL_PHASE_INSTALLING, /* them at its own group */
    CALL_PHASE_ACTIVE
};

/* A member as its lead knows it: of the own or the previous group. */
struct call_peer {
    struct call_member member;
    bool answered;    /* HELLO, or all of COLLECT */
    bool lost;        /* it has another incarnation: its memory is gone */
    bool held;        /* COLLECT: a log of the epoch asked for */
    uint64_t install; /* COLLECT: of its log */
    uint64_t end;
    uint64_t next;  /* acknowledged so far */
    uint64_t sent;  /* sent so far */
    uint64_t at_us; /* of the last message to it */
    GArray *keys;   /* collected; NULL but for COLLECT */
};

struct call_lead {
    enum call_phase phase;
    bool renewing; /* active, while a new group is being set up */
    uint64_t phase_us;
    uint64_t superseded_us; /* when an epoch was last given up */
    uint64_t since_us;      /* when this daemon began to seek the lead */
    uint64_t not_before_us; /* of the next try */
    unsigned asks;          /* in this try */
    uint64_t asked_us;      /* last WANT_EPOCH */
    uint64_t confirmed_us;  /* start of the lease */
    uint64_t granted_us;
    uint64_t exact_from_us;     /* idempotent calls: "not run" is exact */
    struct call_epoch epoch;    /* number 0: none is held */
    struct call_epoch previous; /* as named in the last WANT_EPOCH */
    bool collected; /* the records of earlier epochs are in the log */
    unsigned peer_count;
    struct call_peer peers[CALL_GROUP_MAX]; /* peers[0] is this daemon */
    unsigned former_count;
    struct call_peer formers[CALL_GROUP_MAX];
    unsigned hello_count;
    struct call_peer hellos[CALL_GROUP_MAX];
};

struct call_pool {
    struct pool_id id;
    bool known; /* a view was given */
    uint32_t queue_limit;
    uint64_t no_target_since_us; /* 0: there is one */
    GArray *slots;               /* struct call_slot, in order of address */
    GHashTable *calls;           /* struct call_key to struct call */
    GQueue open;
    GQueue kept_idempotent;
    GQueue kept_once;
    GSequence *queue;
    GHashTable *tags; /* caller to the tag of its next call */
    uint64_t virtual_time;
    uint32_t pending;  /* calls that wait for their record */
    uint64_t tokens;   /* hundredths of a retry */
    double latency_us; /* smoothed, of answers */
    double latency_deviation_us;
    struct daemon_id view_lead;
    struct daemon_id former;
    struct daemon_id heir; /* lead after this one, told of the slots in use */
    uint32_t heir_told;    /* slots, when last told */
    struct call_epoch current; /* highest epoch heard of */
    uint64_t promised;         /* records of lower epochs are refused */
    struct call_log log;
    struct call_lead lead;
};

struct call_core {
    struct call_options options;
    struct call_counters counters;
    GArray *pools; /* struct call_pool *, in order of id */
    GArray *daemons;
    GPtrArray *trash; /* bytes that actions may still point to */
    GPtrArray *messages;
    uint64_t sequence;
    uint32_t attempt_tag; /* tells this process's attempts from others' */
    uint64_t next_evidence_us;
    uint64_t last_step_us;
    uint64_t stalled_until_us; /* requests till then are of unknown age */
    bool daemon_missing;       /* an entry daemon is suspected or dead */
    uint64_t daemon_lost_us;   /* when one was last missed */
    uint64_t stop_us;          /* 0: not stopping */
    uint64_t handed_us;        /* a peer last handed a packet on to here */
    bool stopped;
};

/* One step in the making. */
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
bool call_daemon_serves(const struct call_core *, struct daemon_id);
uint64_t call_retention_us(const struct call_core *);

/* call_pool.c */
struct call_pool *call_pool_new(struct pool_id);
void call_pool_free(struct call_core *, struct call_pool *);
void call_pool_view(struct call_step *, struct call_pool *,
                    const struct pool_view *);
struct call_slot *call_slot_find(const struct call_pool *, struct target_key);
struct call_slot *call_slot_choose(struct call_step *, struct call_pool *,
                                   const struct call *);
bool call_pool_has_target(const struct call_pool *);
void call_evidence_give(struct call_step *, struct call_pool *);

/* call_table.c */
struct call *call_find(const struct call_pool *, struct call_key);
struct call *call_add(struct call_step *, struct call_pool *, struct call_key,
                      enum call_state);
void call_move(struct call_pool *, struct call *, enum call_state);
void call_remove(struct call_core *, struct call_pool *, struct call *);
void call_bytes_set(struct call_core *, GBytes **place, const uint8_t *,
                    size_t);
void call_bytes_clear(struct call_core *, GBytes **place);
bool call_bytes_room(struct call_core *, struct call_pool *, size_t);
void call_forget_old(struct call_step *, struct call_pool *);
void call_request_clear(struct call_core *, struct call *);

/* call_queue.c */
void call_queue_tag(struct call_pool *, struct call *);
void call_queue_add(struct call_pool *, struct call *);
void call_queue_remove(struct call *);
struct call *call_queue_last(const struct call_pool *);
uint32_t call_queue_length(const struct call_pool *);

/* call_packet.c */
void call_packet(struct call_step *, struct call_pool *,
                 const struct call_packet *);

/* call_request.c */
void call_request(struct call_step *, struct call_pool *,
                  const struct call_packet *);
void call_cancel(struct call_step *, struct call_pool *,
                 const struct call_packet *);
void call_hand_on(struct call_step *, struct call_pool *, struct call_packet,
                  struct daemon_id to);
struct call_packet call_part(const struct call_pool *, const struct call *,
                             uint32_t part);
void call_release(struct call_step *, struct call_pool *, struct call *,
                  struct daemon_id to, uint64_t epoch);

/* call_refuse.c */
void call_refuse(struct call_step *, struct call_pool *, struct call *,
                 enum call_reason);
void call_unknown(struct call_step *, struct call_pool *, struct call *,
                  enum call_reason);
void call_tell(struct call_step *, struct call_pool *, const struct call *);
void call_answer_give(struct call_step *, struct call_pool *,
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
void call_tick(struct call_step *, struct call_pool *);

/* call_load.c */
void call_load_tell(struct call_step *, struct call_pool *, bool again);
void call_load_told(struct call_step *, struct call_pool *,
                    const struct call_message *);

/* call_answer.c */
void call_answer(struct call_step *, struct call_pool *,
                 const struct call_packet *);

/* call_log.c */
void call_log_clear(struct call_log *);
uint64_t call_log_end(const struct call_log *);
void call_log_append(struct call_log *, struct call_key, uint64_t expire_us);
void call_log_expire(struct call_log *, uint64_t now_us);
size_t call_log_page(const struct call_log *, uint64_t offset,
                     struct call_key *, size_t);

/* call_member.c */
void call_member_message(struct call_step *, struct call_pool *,
                         struct daemon_id, const struct call_message *);
struct call_message *call_message_add(struct call_step *,
                                      const struct call_pool *,
                                      struct daemon_id,
                                      enum call_message_kind);

/* call_record.c */
bool call_record(struct call_step *, struct call_pool *, struct call *);
bool call_record_held(const struct call_step *, const struct call_pool *,
                      const struct call *);
uint64_t call_record_reach(const struct call_step *, const struct call_pool *);
void call_record_flush(struct call_step *, struct call_pool *);
void call_record_ack(struct call_step *, struct call_pool *, struct daemon_id,
                     const struct call_message *);
void call_record_settle(struct call_step *, struct call_pool *);

/* call_epoch.c */
bool call_is_lead(const struct call_core *, const struct call_pool *);
bool call_epoch_is_mine(const struct call_core *, const struct call_epoch *);
bool call_lease_held(const struct call_step *, const struct call_pool *);
void call_epoch_event(struct call_step *, struct call_pool *,
                      const struct call_epoch *, uint64_t asked_us);
void call_epoch_confirm(struct call_step *, struct call_pool *);
void call_epoch_tick(struct call_step *, struct call_pool *);
void call_epoch_hello_ack(struct call_step *, struct call_pool *,
                          struct daemon_id, const struct call_message *);
void call_superseded(struct call_step *, struct call_pool *, uint64_t epoch,
                     struct daemon_id by);
void call_group_review(struct call_pool *);
void call_group_seek(struct call_step *, struct call_pool *);
bool call_group_lacks(const struct call_step *, const struct call_pool *);

/* call_install.c */
void call_install(struct call_step *, struct call_pool *);

/* call_change.c */
void call_lead_changed(struct call_step *, struct call_pool *,
                       struct daemon_id lead);
void call_lead_tick(struct call_step *, struct call_pool *);
void call_superseded_release(struct call_step *, struct call_pool *,
                             uint64_t epoch, struct daemon_id to, bool next);

/* call_collect.c */
void call_collect_begin(struct call_step *, struct call_pool *);
void call_collect_ack(struct call_step *, struct call_pool *, struct daemon_id,
                      const struct call_message *);
void call_collect_tick(struct call_step *, struct call_pool *);

#endif
