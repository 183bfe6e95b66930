/* Identifiers, and rendezvous hashing over the live daemons. */
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

/* Return the identifier of the daemon called NAME. */
struct daemon_id
view_daemon_id(const char *name)
{
    return (struct daemon_id){hash_string(name)};
}

/* Return the identifier of the pool called NAME. */
struct pool_id
view_pool_id(const char *name)
{
    return (struct pool_id){hash_string(name)};
}

/* Return the identifier of the zone called NAME. */
uint32_t
view_zone_id(const char *name)
{
    return (uint32_t)hash_string(name);
}

/*
 * Return "alive", "suspect", "passive" (joining or leaving) or "dead";
 * "unknown" for any other value.
 */
const char *
view_daemon_state_name(enum daemon_state state)
{
    return state < DAEMON__MAX ? daemon_state_names[state] : "unknown";
}

/* Return ADDRESS in dotted form, to be freed by the caller. */
char *
view_address_text(uint32_t address)
{
    return g_strdup_printf("%u.%u.%u.%u", address >> 24, address >> 16 & 255,
                           address >> 8 & 255, address & 255);
}

/* Return the Geneve network identifier of POOL: 24 bits, never 0. */
uint32_t
view_pool_vni(struct pool_id pool)
{
    uint32_t vni = (uint32_t)(pool.value % VNI_MAX);

    return vni + 1;
}

/*
 * Return the entry daemon with the highest rendezvous weight for POOL, other
 * than EXCEPT; 0 if there is none.  A suspected daemon keeps its pools until
 * it is declared dead.
 */
static struct daemon_id
highest_weight(struct pool_id pool, const struct daemon_view *daemons,
               size_t count, uint64_t except)
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

/* Return the owner of POOL among the daemons; 0 if no daemon may own it. */
struct daemon_id
view_owner(struct pool_id pool, const struct daemon_view *daemons,
           size_t count)
{
    return highest_weight(pool, daemons, count, 0);
}

/*
 * Return the owner's backup, which holds a replica of its state; 0 if there is
 * none.
 */
struct daemon_id
view_backup(struct pool_id pool, const struct daemon_view *daemons,
            size_t count)
{
    struct daemon_id owner = view_owner(pool, daemons, count);

    if (owner.value == 0) {
        return owner;
    }
    return highest_weight(pool, daemons, count, owner.value);
}
