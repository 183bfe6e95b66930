/*
 * Limits the new flows of cold targets.
 *
 * Load: after a release, an outage or an order to restore a zone, many targets
 * are cold at once and each bears only a few requests a second, while a hundred
 * entry daemons place flows.  Only the target's owner, the entry daemon that
 * the catalog names, opens flows to it while it is cold, and counts them.  A
 * target without an owner gets none until it is warm.
 */
#include <string.h>

#include "affinity/affinity_state.h"

/* Of the limit, left for flows of daemons that have not learned yet that the
 * target is cold. */
#define RESERVED_SHARE 0.2

#define SECOND_US 1000000U

/* If flows were placed on the target until it became cold, the owner waits until
 * none of them lies in the same second as its own: a second, and the time that a
 * catalog takes to reach all entry daemons. */
#define OWNER_WAIT_US (SECOND_US + 200000U)

/* A slot of the window; one more than a second's worth is counted, so that any
 * sliding second is covered. */
#define SLOT_US (SECOND_US / (AFFINITY_COLD_SLOTS - 1))

static uint32_t limit_of(const struct affinity_core *, const struct catalog *,
                         const struct catalog_target *);
static uint32_t count_recent(struct affinity_cold *, uint64_t now_us);

/* Return true if the settings and the tables limit what cold targets of POOL
 * get. */
bool
affinity_cold_is_limited(const struct affinity_core *core,
                         const struct catalog *catalog, struct pool_id pool)
{
    return core->options.cold_limit.set &&
           catalog_pool_cold_per_s(catalog, pool) >= 0;
}

/* Return how many flows a second TARGET bears while it is cold, of those that
 * this daemon may open. */
static uint32_t
limit_of(const struct affinity_core *core, const struct catalog *catalog,
         const struct catalog_target *target)
{
    double limit = catalog_pool_cold_per_s(catalog, target->pool) *
                       core->options.cold_limit.factor +
                   core->options.cold_limit.extra;

    return (uint32_t)(limit * (1 - RESERVED_SHARE));
}

/* Return the flows opened in the last second, and drop older slots. */
static uint32_t
count_recent(struct affinity_cold *cold, uint64_t now_us)
{
    uint64_t slot = now_us / SLOT_US;
    uint32_t count = 0;

    if (slot - cold->last_slot >= AFFINITY_COLD_SLOTS) {
        memset(cold->opened, 0, sizeof(cold->opened));
    }
    else {
        for (uint64_t at = cold->last_slot + 1; at <= slot; at++) {
            cold->opened[at % AFFINITY_COLD_SLOTS] = 0;
        }
    }
    cold->last_slot = slot;
    for (size_t i = 0; i < AFFINITY_COLD_SLOTS; i++) {
        count += cold->opened[i];
    }
    return count;
}

/*
 * Return true if this daemon may open a flow to TARGET, whose load is LOAD: it
 * is warm, or not limited, or this daemon owns it and the last second has room.
 */
bool
affinity_cold_may_open(struct affinity_core *core, uint64_t now_us,
                       const struct catalog *catalog,
                       const struct catalog_target *target,
                       struct affinity_load *load)
{
    uint32_t limit;

    if (now_us >= load->cold_until_us ||
        !affinity_cold_is_limited(core, catalog, target->pool)) {
        return true;
    }
    if (target->owner != core->options.address ||
        now_us < load->cold_wait_until_us) {
        return false;
    }
    limit = limit_of(core, catalog, target);
    return load->cold == NULL || count_recent(load->cold, now_us) < limit;
}

/* Record that a flow is opened to the target of LOAD, if it is cold. */
void
affinity_cold_record(struct affinity_load *load, uint64_t now_us)
{
    if (now_us >= load->cold_until_us) {
        return;
    }
    if (load->cold == NULL) {
        load->cold = g_new0(struct affinity_cold, 1);
        load->cold->last_slot = now_us / SLOT_US;
    }
    count_recent(load->cold, now_us);
    load->cold->opened[load->cold->last_slot % AFFINITY_COLD_SLOTS]++;
}

/*
 * Record from the row of TARGET until when it is cold.  USED: flows may have
 * been placed on it until now.  If it was cold already and has another owner,
 * the former one has placed some.
 */
void
affinity_cold_learn(struct affinity_load *load, uint64_t now_us,
                    const struct catalog_target *target, bool used)
{
    bool was_cold;

    if (load->cold_revision == target->revision) {
        return;
    }
    load->cold_revision = target->revision;
    was_cold = now_us < load->cold_until_us;
    if (target->cold_ms > 0 &&
        (was_cold ? load->cold_owner != target->owner : used)) {
        load->cold_wait_until_us = now_us + OWNER_WAIT_US;
    }
    load->cold_owner = target->owner;
    load->cold_until_us = now_us + (uint64_t)target->cold_ms * 1000;
    if (target->cold_ms == 0) {
        g_free(load->cold);
        load->cold = NULL;
    }
}
