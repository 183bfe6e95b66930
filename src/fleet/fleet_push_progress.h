/*
 * Decides when a control daemon sends a catalog update to a receiver.  An
 * entry daemon ranks several control daemons: the first sends without delay,
 * the others only if its update does not arrive.  No I/O.
 */
#ifndef PS_FLEET_FLEET_PUSH_PROGRESS_H
#define PS_FLEET_FLEET_PUSH_PROGRESS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "fleet/fleet_revision_times.h"

/* What a receiver of catalog updates reported last. */
struct fleet_push_receiver {
    uint64_t start_id; /* new at each of its starts; 0 if not reported */
    uint64_t revision; /* that it holds */
    uint64_t link_bytes_per_s; /* of its link; 0 if unknown or not a limit */
    uint32_t rank; /* how many other control daemons send before this one */
};

struct fleet_push_progress {
    struct fleet_push_receiver receiver;
    uint64_t behind_since_us; /* 0 if the receiver lacks nothing */
    uint64_t
        last_sent_us;   /* 0 if nothing was sent since the receiver started */
    uint64_t sent_from; /* revision at which the last update began */
    uint64_t sent_bytes;
};

void fleet_push_progress_set_receiver(struct fleet_push_progress *,
                                      const struct fleet_push_receiver *);
void
fleet_push_progress_update_behind_since(struct fleet_push_progress *,
                                        uint64_t now_us, uint64_t changed,
                                        const struct fleet_revision_times *);
bool fleet_push_progress_is_due(const struct fleet_push_progress *,
                                uint64_t now_us, size_t bytes);
void fleet_push_progress_record_sent(struct fleet_push_progress *,
                                     uint64_t now_us, size_t bytes);

#endif
