/* The ways of placing flows that are weighed against each other. */
#include <string.h>

#include "base/hash.h"
#include "model_world.h"

#define ROUTE_ADDRESS 0xc6120001U
#define ROUTE_PORT    443

static unsigned load_of(const struct target *);
static unsigned in_zone(const struct world *, unsigned zone, unsigned at);
static unsigned per_zone(const struct world *);
static struct affinity_packet packet_of(const struct flow *, unsigned flags);
static unsigned by_product(struct world *, struct flow *);
static unsigned by_two_stale(struct world *, const struct flow *);
static unsigned by_all_knowing(struct world *, const struct flow *);

static unsigned
load_of(const struct target *target)
{
    return target->busy + target->waiting.length;
}

static unsigned
per_zone(const struct world *world)
{
    return world->target_count / world->options.zones;
}

/* Targets are numbered zone by zone. */
static unsigned
in_zone(const struct world *world, unsigned zone, unsigned at)
{
    return zone * per_zone(world) + at % per_zone(world);
}

static struct affinity_packet
packet_of(const struct flow *flow, unsigned flags)
{
    struct affinity_packet packet = {
        .source = 0x64400000U + flow->zone,
        .destination = ROUTE_ADDRESS,
        .source_port = flow->port,
        .destination_port = ROUTE_PORT,
        .flags = flags,
        .cookie =
            (flags & AFFINITY_SYN) != 0 ? 0 : catalog_cookie(flow->target + 1),
        .acknowledged = flow->acknowledged,
    };

    return packet;
}

/* Let the product's catalog know of a target, cold for COLD_MS. */
void
model_catalog(struct world *world, unsigned target, uint32_t cold_ms)
{
    struct catalog_command command = {.kind = CATALOG_ANNOUNCE};
    struct catalog_change change;

    memset(&command.u.target, 0, sizeof(command.u.target));
    command.u.target.host = target + 1;
    command.u.target.incarnation = world->now_us + 1;
    command.u.target.sequence = world->index + 1;
    command.u.target.address = 0x0a000001U + target;
    command.u.target.port = 80;
    command.u.target.pool = view_pool_id("desk");
    command.u.target.zone = world->targets[target].zone + 1;
    command.u.target.slots = SLOTS;
    command.u.target.cold_ms = cold_ms;
    catalog_apply(world->catalog, ++world->index, &command, &change);
    for (unsigned i = 0; i < world->entry_count; i++) {
        affinity_core_catalog_changed(world->cores[i], world->now_us,
                                      world->catalog);
    }
}

/* A packet of FLOW passes its entry daemon. */
void
model_tell_packet(struct world *world, struct flow *flow, unsigned flags,
                  uint16_t payload)
{
    struct affinity_packet packet = packet_of(flow, flags);
    struct affinity_verdict verdict;

    packet.payload = payload;
    if (world->options.way == MODEL_PRODUCT) {
        affinity_core_handle_packet(world->cores[flow->entry], world->now_us,
                                    world->catalog, &packet, &verdict);
    }
}

static unsigned
by_product(struct world *world, struct flow *flow)
{
    struct affinity_packet packet = packet_of(flow, AFFINITY_SYN);
    struct affinity_verdict verdict;

    affinity_core_handle_packet(world->cores[flow->entry], world->now_us,
                                world->catalog, &packet, &verdict);
    return verdict.target == NULL ? MODEL_REFUSED
                                  : (unsigned)verdict.target->host - 1;
}

static unsigned
by_two_stale(struct world *world, const struct flow *flow)
{
    unsigned one =
        in_zone(world, flow->zone, g_rand_int_range(world->rand, 0, 10000));
    unsigned other =
        in_zone(world, flow->zone, g_rand_int_range(world->rand, 0, 10000));

    return world->targets[one].stale_load <= world->targets[other].stale_load
               ? one
               : other;
}

/* The shortest queue; own zone first among equals, silent ones never. */
static unsigned
by_all_knowing(struct world *world, const struct flow *flow)
{
    unsigned best = 0, best_cost = UINT_MAX;
    unsigned first = g_rand_int(world->rand) % world->target_count;

    for (unsigned n = 0; n < world->target_count; n++) {
        unsigned i = (first + n) % world->target_count;
        const struct target *target = &world->targets[i];
        unsigned cost = load_of(target) * (target->slow ? 10 : 2) +
                        (target->zone != flow->zone ? 1 : 0);

        if (!target->silent && cost < best_cost) {
            best = i;
            best_cost = cost;
        }
    }
    return best;
}

unsigned
model_place(struct world *world, struct flow *flow)
{
    switch (world->options.way) {
    case MODEL_PRODUCT:
        return by_product(world, flow);
    case MODEL_HASH:
        return in_zone(world, flow->zone,
                       (unsigned)(hash_pair(flow->port, flow->zone) % 10007));
    case MODEL_ROUND_ROBIN:
        return in_zone(world, flow->zone, world->turn[flow->entry]++);
    case MODEL_TWO_STALE:
        return by_two_stale(world, flow);
    case MODEL_ALL_KNOWING:
        return by_all_knowing(world, flow);
    case MODEL_WAY__MAX:
        break;
    }
    return 0;
}
