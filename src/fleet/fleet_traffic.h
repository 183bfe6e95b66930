/*
 * Counts messages to the fleet's other daemons by kind and by the receiver's
 * zone, because traffic between zones is expensive.
 */
#ifndef PS_FLEET_FLEET_TRAFFIC_H
#define PS_FLEET_FLEET_TRAFFIC_H

#include <glib.h>

#include "peer/fleet.pb-c.h"

enum fleet_traffic_kind {
    FLEET_TRAFFIC_HEARTBEAT,
    FLEET_TRAFFIC_ANSWER,
    FLEET_TRAFFIC_CONFIRMATION,
    FLEET_TRAFFIC_COMMAND,
    FLEET_TRAFFIC_READ,
    FLEET_TRAFFIC_PRESENCE,
    FLEET_TRAFFIC_LOG,
    FLEET_TRAFFIC_CATALOG,
    FLEET_TRAFFIC__MAX
};

enum fleet_traffic_zone {
    FLEET_TRAFFIC_OWN,
    FLEET_TRAFFIC_OTHER,
    FLEET_TRAFFIC_ZONE__MAX
};

struct fleet_traffic {
    uint64_t messages[FLEET_TRAFFIC__MAX][FLEET_TRAFFIC_ZONE__MAX];
    uint64_t bytes[FLEET_TRAFFIC__MAX][FLEET_TRAFFIC_ZONE__MAX];
};

void fleet_traffic_count_sent(struct fleet_traffic *,
                              const Parsleyspur__FleetMessage *,
                              enum fleet_traffic_zone, size_t bytes);
void fleet_traffic_write(const struct fleet_traffic *, GString *out);

#endif
