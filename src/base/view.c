/* Identifiers and rendezvous hashing over the live daemons. */
#include "base/view.h"

#include <glib.h>

#include "base/hash.h"

#define VNI_MAX 0xffffffU /* of 24 bits */

static const char *const daemon_state_names[DAEMON__MAX] = {
    [DAEMON_ALIVE] = "alive",
    [DAEMON_SUSPECT] = "suspect",
    [DAEMON_LEAVING] = "passive",
    [DAEMON_DEAD] = "dead",
};

/* The id of the daemon called NAME. */
struct daemon_id
view_daemon_id(const char *name)
{
    return (struct daemon_id){hash_string(name)};
}

/* The id of the pool called NAME. */
struct pool_id
view_pool_id(const char *name)
{
    return (struct pool_id){hash_string(name)};
}

/* The id of the zone called NAME. */
uint32_t
view_zone_id(const char *name)
{
    return (uint32_t)hash_string(name);
}

const char *
view_daemon_state_name(enum daemon_state state)
{
    return state < DAEMON__MAX ? daemon_state_names[state] : "unknown";
}

char *
view_address_text(uint32_t address)
{
    return g_strdup_printf("%u.%u.%u.%u", address >> 24, address >> 16 & 255,
                           address >> 8 & 255, address & 255);
}

uint32_t
view_pool_vni(struct pool_id pool)
{
    uint32_t vni = (uint32_t)(pool.value % VNI_MAX);

    return vni + 1;
}

/*
 * The entry daemon with the highest rendezvous weight for POOL, EXCEPT left
 * out.  A suspected daemon keeps its leads until it is declared dead.
 */
static struct daemon_id
highest(struct pool_id pool, const struct daemon_view *daemons, size_t count,
        uint64_t except)
{
    struct daemon_id best = {0};
    uint64_t best_weight = 0;

    for (size_t i = 0; i < count; i++) {
        const struct daemon_view *daemon = &daemons[i];
        uint64_t weight;

        if (!daemon->entry || daemon->id.value == except) {
            continue;
        }
        if (daemon->state == DAEMON_DEAD || daemon->state == DAEMON_LEAVING) {
            continue;
        }
        weight = hash_pair(pool.value, daemon->id.value);
        if (best.value == 0 || weight > best_weight) {
            best = daemon->id;
            best_weight = weight;
        }
    }
    return best;
}

struct daemon_id
view_lead(struct pool_id pool, const struct daemon_view *daemons, size_t count)
{
    return highest(pool, daemons, count, 0);
}

struct daemon_id
view_second(struct pool_id pool, const struct daemon_view *daemons,
            size_t count)
{
    struct daemon_id lead = view_lead(pool, daemons, count);

    if (lead.value == 0) {
        return lead;
    }
    return highest(pool, daemons, count, lead.value);
}
