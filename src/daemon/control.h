/*
 * The control role: the tables with their replicated log, edits and call
 * epochs.  Every function may be called on a daemon without the role.
 */
#ifndef PS_DAEMON_CONTROL_H
#define PS_DAEMON_CONTROL_H

#include "daemon/daemon_private.h"
#include "peer/control_wire.h"

/* Who waits for an answer: an HTTP request here, or one of a peer. */
enum api_caller_kind {
    API_CALLER_HTTP,
    API_CALLER_PEER,
    API_CALLER__MAX
};

struct api_caller {
    enum api_caller_kind kind;
    union {
        struct http_handle http;
        struct {
            struct daemon_id daemon;
            uint64_t id;
        } peer;
    } u;
};

/* How an edit came out; EDIT is answered by daemon_api_edit_done(). */
struct control_outcome {
    struct table_result result;
    bool available; /* false: no quorum took it; it may be sent again */
    char message[TABLE_MESSAGE_MAX]; /* if not available */
};

bool control_start(struct daemon *, GError **);
void control_tick(struct daemon *, uint64_t now_us);
void control_message(struct daemon *, struct daemon_id from, const uint8_t *,
                     size_t);
void control_close(struct daemon *);
void control_stop(struct daemon *);

/* The leader as this daemon knows it; 0 if none. */
struct daemon_id control_leader(const struct daemon *);
/* Whether this daemon leads and may serve what it has as current. */
bool control_is_current(const struct daemon *);
const struct table_core *control_tables(const struct daemon *);

void control_edit(struct daemon *, const struct table_edit *,
                  const struct api_caller *);
void control_want_epoch(struct daemon *, const struct call_epoch_request *);
void control_epoch_request(struct daemon *, struct control_message *);
void control_need(struct daemon *, struct daemon_id to, uint64_t from,
                  uint64_t version);
void control_in_force(struct daemon *, uint64_t version);
void control_metrics(const struct daemon *, GString *);

/* In daemon_api.c: answer an edit that is over. */
void daemon_api_edit_done(struct daemon *, const struct api_caller *,
                          const char *edit_id, const struct control_outcome *);

#endif
