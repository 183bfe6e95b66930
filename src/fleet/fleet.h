/*
 * Runs a daemon of a fleet behind a fabric whose packets carry a cookie.
 * Control daemons keep the catalog in a replicated log and choose which of
 * them are its voters; entry daemons hold a replica of the catalog and forward
 * packets.  The formats of packets and of API calls are passed in as
 * functions.
 */
#ifndef PS_FLEET_FLEET_H
#define PS_FLEET_FLEET_H

#include "affinity/affinity.h"
#include "base/settings.h"
#include "catalog/catalog.h"
#include "edge/http.h"

#define FLEET_SEEDS_MAX    3
#define FLEET_PACKET_MAX   2048 /* bytes of a datagram with its envelope */
#define FLEET_ENVELOPE_MAX 64   /* bytes that an edge may add to a packet */

enum fleet_role {
    FLEET_ENTRY,
    FLEET_CONTROL,
    FLEET_ROLE__MAX
};

/* Control daemons from which a daemon learns the addresses of the others. */
struct fleet_seeds {
    size_t count;
    uint32_t addresses[FLEET_SEEDS_MAX];
};

/* The format of packets on the wire.  Each function is pure. */
struct fleet_edge {
    /* Return false if the bytes are not a packet. */
    bool (*decode)(const uint8_t *, size_t, struct affinity_packet *);
    /* Write the packet in the format that its target receives and return the
     * length. */
    size_t (*encode)(const uint8_t *packet, size_t len,
                     const struct catalog_target *, uint8_t *out);
    /* Write a reset that answers a packet and return the length. */
    size_t (*encode_reset)(const struct affinity_packet *, uint8_t *out);
};

enum fleet_call_kind {
    FLEET_CALL_READY,    /* whether the fabric may send packets here */
    FLEET_CALL_ANNOUNCE, /* from a target */
    FLEET_CALL_LEAVE,    /* from a target */
    FLEET_CALL_REPLACE,  /* of the tables */
    FLEET_CALL_READ,     /* of the tables */
    FLEET_CALL_ZONE,     /* an order to empty a zone, or to restore it */
    FLEET_CALL_BAD,      /* a known call whose content is not valid */
    FLEET_CALL_UNKNOWN,
    FLEET_CALL__MAX
};

/* A decoded API call.  Free its content with fleet_call_clear(). */
struct fleet_call {
    enum fleet_call_kind kind;
    union {
        struct catalog_target target; /* ANNOUNCE, LEAVE */
        struct catalog_tables tables; /* REPLACE */
        struct {
            char *name;
            bool empty;  /* else restore */
        } zone;          /* ZONE */
        char fault[256]; /* BAD: what is wrong, and the remedy */
    } u;
};

struct fleet_options {
    const char *name;
    const char *zone;
    const char *const *zones; /* names of all zones, ends with NULL; or NULL */
    enum fleet_role role;
    uint32_t address;
    uint16_t peer_port;
    uint16_t metrics_port;
    struct settings_endpoint packets;   /* entry: datagrams from callers */
    uint16_t caller_port;               /* entry: where resets are sent */
    struct settings_endpoint readiness; /* entry */
    struct settings_endpoint calls;     /* control */
    const char *data_dir;               /* control; NULL for none */
    const char *peer_map; /* address overrides as in --peer-map, or NULL */
    bool first_start;     /* the whole fleet starts for the first time */
    unsigned losses_tolerated; /* control daemons that may fail at once */
    uint32_t announce_ms;      /* between announcements of a target */
    uint32_t grace_ms; /* from the signal of a planned stop to the exit */
    size_t body_max;   /* bytes of a call */
    uint64_t link_bytes_per_s; /* entry: rate of the VM's link; 0 if unknown */
    struct affinity_cold_limit cold_limit;
    bool share_evidence; /* entry daemons report what they see of targets, and
                          * are told which ones fail */
    struct fleet_edge edge;
    void (*decode_call)(const struct http_request *, struct fleet_call *);
    /*
     * Read the present addresses of control daemons.  Return false if they
     * cannot be read.
     */
    bool (*read_seeds)(void *user, struct fleet_seeds *);
    void *user;
};

bool fleet_run(const struct fleet_options *, GError **);
void fleet_call_clear(struct fleet_call *);

#endif
