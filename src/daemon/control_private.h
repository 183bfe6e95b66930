/* What the files of the control role share. */
#ifndef PS_DAEMON_CONTROL_PRIVATE_H
#define PS_DAEMON_CONTROL_PRIVATE_H

#include "daemon/control.h"
#include "daemon/store.h"
#include "quorum/quorum_core.h"

/* What a proposal of this daemon was made for. */
enum control_wait_kind {
    CONTROL_WAIT_EDIT,
    CONTROL_WAIT_EPOCH,
    CONTROL_WAIT__MAX
};

struct control_wait {
    uint64_t request;
    enum control_wait_kind kind;
    struct api_caller caller;
    char edit_id[TABLE_EDIT_ID_MAX];
    struct control_message epoch;
};

struct control {
    struct quorum_core *quorum;
    struct store *store;
    struct table_core *tables;
    GHashTable *waiting; /* request -> struct control_wait */
    uint64_t next_request;
    uint64_t look_us; /* when to look at space and failures next */
    bool leading; /* leads, and has applied all that was committed before */
};

/* In control.c: step the quorum core and carry out its actions. */
void control_step(struct daemon *, const struct quorum_event *);

/* In control_command.c: what is committed, and what waits for it. */
void control_apply(struct daemon *, const struct quorum_entry *);
void control_refuse_waiting(struct daemon *);
void control_refused(struct daemon *, enum quorum_refusal, uint64_t request);

#endif
