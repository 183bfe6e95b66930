/*
 * Stamps, by which a receiver bounds the age of a message without a common
 * clock: they are readings of its own clock that come back to it.
 */
#include <string.h>

#include "peer/mesh_private.h"

/*
 * Channels whose messages do harm when they come late.  A call that is handed
 * on may run once more after its record has expired.
 */
static const bool stamped[PEER_CHANNEL__MAX] = {
    [PEER_HANDON_CALL] = true,
};

/* True if messages of CHANNEL begin with MESH_STAMP_LEN bytes of a stamp. */
bool
mesh_carries_stamp(enum peer_channel channel)
{
    return channel < PEER_CHANNEL__MAX && stamped[channel];
}

/* Write STAMP to the MESH_STAMP_LEN bytes at OUT. */
void
mesh_put_stamp(uint8_t *out, uint64_t stamp)
{
    uint64_t wire = GUINT64_TO_LE(stamp);

    memcpy(out, &wire, MESH_STAMP_LEN);
}

/* Read a stamp from the MESH_STAMP_LEN bytes at DATA. */
uint64_t
mesh_get_stamp(const uint8_t *data)
{
    uint64_t wire;

    memcpy(&wire, data, MESH_STAMP_LEN);
    return GUINT64_FROM_LE(wire);
}

/*
 * The most that a message can be old at NOW_US whose stamp is at DATA.  A
 * stamp of the future is one of before this machine was booted anew.
 */
uint64_t
mesh_stamp_age_us(const uint8_t *data, uint64_t now_us)
{
    uint64_t stamp = mesh_get_stamp(data);

    return stamp == MESH_STAMP_NONE || stamp > now_us ? MESH_AGE_UNKNOWN
                                                      : now_us - stamp;
}
