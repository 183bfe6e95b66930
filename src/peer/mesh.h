/*
 * Connections between daemons.  Each daemon opens one TCP connection to a
 * peer when it first has a message for it, and uses it to send only; what it
 * receives comes in on connections that peers opened.  Datagrams go over one
 * UDP socket.  Messages may be lost when a connection breaks: every user of
 * the mesh repeats what matters.
 *
 * A connection can hold a message back for as long as a partition lasts, and
 * the two ends share no clock.  So the receiver of a message hands out a stamp
 * of its own clock with each answer, and messages of some channels carry the
 * last stamp back: the message is not older than its stamp.
 */
#ifndef PS_PEER_MESH_H
#define PS_PEER_MESH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <uv.h>

#include "base/counter.h"
#include "base/settings.h"
#include "base/view.h"
#include "peer/frame.h"

#define MESH_AGE_UNKNOWN UINT64_MAX

struct mesh;

/* The far end of a message or datagram. */
struct mesh_sender {
    struct daemon_id id;
    uint32_t address; /* as the sender states it; 0 on datagrams */
    /* The message was sent at most so long ago; MESH_AGE_UNKNOWN on datagrams
     * and on channels whose messages carry no stamp. */
    uint64_t age_us;
};

struct mesh_handlers {
    void (*message)(void *user, const struct mesh_sender *, enum peer_channel,
                    const uint8_t *, size_t);
    void (*datagram)(void *user, const struct mesh_sender *, enum peer_channel,
                     const uint8_t *, size_t);
    void *user;
};

struct mesh_options {
    uv_loop_t *loop;
    const struct settings *settings; /* outlives the mesh */
    uint64_t incarnation;
    struct counters *counters;
    struct mesh_handlers handlers;
};

struct mesh *mesh_new(const struct mesh_options *, GError **);
void mesh_close(struct mesh *);
void mesh_free(struct mesh *);

/* Make known, or change, the address of a peer. */
void mesh_set_peer(struct mesh *, struct daemon_id, uint32_t address);
uint32_t mesh_peer_address(const struct mesh *, struct daemon_id);

/* False if the peer is not known or its queue is full. */
bool mesh_send(struct mesh *, struct daemon_id to, enum peer_channel,
               const uint8_t *, size_t);
bool mesh_send_datagram(struct mesh *, uint32_t address, enum peer_channel,
                        const uint8_t *head, size_t head_len,
                        const uint8_t *body, size_t body_len);

#endif
