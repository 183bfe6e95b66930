/*
 * Lists the targets that drain or leave, and the zones that are emptied,
 * according to log entries which are not known to be committed.  After a
 * restart of all control daemons such entries may have been committed and
 * answered, which is known only once there is a leader.  Until then new flows
 * avoid these targets and zones.
 */
#ifndef PS_FLEET_FLEET_PENDING_H
#define PS_FLEET_FLEET_PENDING_H

#include "quorum/quorum_core.h"

struct fleet_pending;

struct fleet_pending *fleet_pending_new(void);
void fleet_pending_free(struct fleet_pending *);
const GArray *fleet_pending_leaving(struct fleet_pending *,
                                    const struct quorum_core *);
const GArray *fleet_pending_emptied(struct fleet_pending *,
                                    const struct quorum_core *);

#endif
