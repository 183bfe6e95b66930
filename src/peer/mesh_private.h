/* What the files of the mesh share. */
#ifndef PS_PEER_MESH_PRIVATE_H
#define PS_PEER_MESH_PRIVATE_H

#include "base/clock.h"
#include "peer/mesh.h"

#define MESH_VERSION      2
#define MESH_QUEUE_MAX    (16U << 20) /* bytes waiting for one peer */
#define MESH_RETRY_MIN_MS 50
#define MESH_RETRY_MAX_MS 1000
/* Until a connection is open and greeted: short at first, since a peer that
 * was restarted does not answer what was sent before. */
#define MESH_OPEN_MIN_MS   100
#define MESH_OPEN_MAX_MS   1200
#define MESH_BACKOFF       1.3  /* growth of both waits after a failure */
#define MESH_HELLO_MS      3000 /* a peer's connection without a hello */
#define MESH_PING_MS       1000 /* between looks at an open connection */
#define MESH_PONG_MS       2500 /* without any answer: the connection is dead */
#define MESH_SILENCE_MS    6000 /* without a ping: a peer's one is dead */
#define MESH_ACCEPTED_MAX  1024 /* connections of peers at once */
#define MESH_DATAGRAM_HEAD 14   /* bytes: version, channel, cluster, id */
#define MESH_STAMP_LEN     8    /* bytes in front of a message with a stamp */
#define MESH_STAMP_NONE    0    /* the peer has handed out none yet */
/* Longer than any attempt to connect; the process has stood still. */
#define MESH_QUEUED_MAX_US 2000000U

/* A link's connection; a closing one keeps its handle until libuv is done. */
enum mesh_link_state {
    MESH_LINK_IDLE,
    MESH_LINK_OPENING, /* until the hello is answered */
    MESH_LINK_READY,
    MESH_LINK_CLOSING,
    MESH_LINK__MAX
};

/* A connection that this daemon opened to a peer. */
struct mesh_link {
    struct mesh *mesh;
    struct daemon_id id;
    uint32_t address;
    uv_tcp_t tcp;
    uv_connect_t connect;
    uv_timer_t retry;
    enum mesh_link_state state;
    bool ended; /* the mesh is being closed */
    unsigned retry_ms;
    unsigned open_ms;    /* time limit of the next attempt */
    unsigned unanswered; /* pings since the last pong */
    GByteArray *queue;   /* frames that wait for the hello's answer */
    GArray *unstamped;   /* struct mesh_unstamped: frames of the queue */
    uint64_t stamp;      /* the last that the peer has handed out */
    GByteArray *input;
};

/* A queued frame that gets its stamp when the connection is open. */
struct mesh_unstamped {
    guint offset; /* of the stamp in the queue */
    uint64_t queued_us;
};

/* A connection that a peer opened to this daemon. */
struct mesh_accepted {
    struct mesh *mesh;
    uv_tcp_t tcp;
    uv_timer_t limit;
    bool greeted;
    unsigned open_handles;
    struct mesh_sender sender;
    GByteArray *input;
};

struct mesh {
    uv_loop_t *loop;
    const struct settings *settings;
    uint64_t incarnation;
    struct counters *counters;
    struct mesh_handlers handlers;
    uint32_t cluster;
    struct daemon_id self;
    uv_tcp_t listener;
    uv_udp_t udp;
    uint8_t *udp_buffer;
    GHashTable *links;    /* id -> struct mesh_link */
    GHashTable *accepted; /* set of struct mesh_accepted */
};

struct settings_endpoint mesh_way_to(const struct mesh *, uint32_t address);
void mesh_sockaddr(struct settings_endpoint, struct sockaddr_in *);
bool mesh_write(struct mesh *, uv_tcp_t *, GByteArray *frames);
void mesh_alloc(uv_handle_t *, size_t, uv_buf_t *);

bool mesh_carries_stamp(enum peer_channel);
void mesh_put_stamp(uint8_t *, uint64_t stamp);
uint64_t mesh_get_stamp(const uint8_t *);
uint64_t mesh_stamp_age_us(const uint8_t *, uint64_t now_us);

void mesh_on_accept(uv_stream_t *, int status);
void mesh_accepted_close(struct mesh_accepted *);
struct mesh_link *mesh_link_new(struct mesh *, struct daemon_id);
void mesh_link_close(struct mesh_link *);
void mesh_link_reset(struct mesh_link *);
bool mesh_link_send(struct mesh_link *, enum peer_channel, const uint8_t *,
                    size_t);

#endif
