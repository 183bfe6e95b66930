/*
 * The tree over the live entry daemons.  A node is responsible for a range of
 * ids of one zone; it parts the range among the daemons in it, each of which
 * is responsible for its part.  Nobody has to agree on the tree: a daemon
 * that one view lacks lies in a range all the same.
 */
#include "member/spread_priv.h"

#include <string.h>

#include "base/hash.h"

static gint compare_live(gconstpointer, gconstpointer);
static guint lower_bound(const struct spread_core *, uint32_t, uint64_t);
static bool is_before(const struct daemon_view *, const struct daemon_view *);
static void part_run(const struct spread_range *, const struct daemon_view *,
                     size_t, size_t per_part, GArray *);

static gint
compare_live(gconstpointer a, gconstpointer b)
{
    const struct daemon_view *left = a;
    const struct daemon_view *right = b;

    if (left->zone != right->zone) {
        return left->zone < right->zone ? -1 : 1;
    }
    return left->id.value < right->id.value   ? -1
           : left->id.value > right->id.value ? 1
                                              : 0;
}

/* Take over the COUNT daemons at DAEMONS, which are sorted by id. */
void
spread_set_view(struct spread_core *core, const struct daemon_view *daemons,
                size_t count)
{
    g_array_set_size(core->view, 0);
    g_array_append_vals(core->view, daemons, (guint)count);
    g_array_set_size(core->live, 0);
    for (size_t i = 0; i < count; i++) {
        if (daemons[i].entry && daemons[i].state != DAEMON_DEAD) {
            g_array_append_vals(core->live, &daemons[i], 1);
        }
    }
    g_array_sort(core->live, compare_live);
}

/* The index of the first live daemon at or after ZONE and ID. */
static guint
lower_bound(const struct spread_core *core, uint32_t zone, uint64_t id)
{
    guint low = 0;
    guint high = core->live->len;

    while (low < high) {
        guint middle = (low + high) / 2;
        const struct daemon_view *daemon =
            &g_array_index(core->live, struct daemon_view, middle);

        if (daemon->zone < zone ||
            (daemon->zone == zone && daemon->id.value < id)) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

/* The live entry daemons of RANGE, sorted by id; their number to COUNT. */
const struct daemon_view *
spread_live(const struct spread_core *core, const struct spread_range *range,
            size_t *count)
{
    const struct daemon_view *all =
        (const struct daemon_view *)core->live->data;
    guint first = lower_bound(core, range->zone, range->first);
    guint last = lower_bound(core, range->zone, range->last);

    if (last < core->live->len &&
        spread_in_range(range, all[last].zone, all[last].id)) {
        last++;
    }
    *count = last - first;
    return *count == 0 ? NULL : &all[first];
}

bool
spread_in_range(const struct spread_range *range, uint32_t zone,
                struct daemon_id id)
{
    return zone == range->zone && id.value >= range->first &&
           id.value <= range->last;
}

/* Whether ID is a live entry daemon. */
bool
spread_is_live(const struct spread_core *core, struct daemon_id id)
{
    const struct daemon_view *all =
        (const struct daemon_view *)core->view->data;
    guint low = 0;
    guint high = core->view->len;

    while (low < high) {
        guint middle = (low + high) / 2;

        if (all[middle].id.value < id.value) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low < core->view->len && all[low].id.value == id.value &&
           all[low].entry && all[low].state != DAEMON_DEAD;
}

/* What a daemon adds to a digest: another after each restart. */
uint64_t
spread_mark(const struct daemon_view *daemon)
{
    return hash_pair(daemon->id.value, daemon->incarnation);
}

/*
 * Whether A heads its zone rather than B, which may be NULL: those suspected
 * or leaving come after all others, then the hash decides.
 */
static bool
is_before(const struct daemon_view *a, const struct daemon_view *b)
{
    bool a_steady = a->state == DAEMON_ALIVE;

    if (b == NULL) {
        return true;
    }
    if (a_steady != (b->state == DAEMON_ALIVE)) {
        return a_steady;
    }
    return hash_pair(a->zone, a->id.value) > hash_pair(b->zone, b->id.value);
}

/*
 * The daemon that heads RANGE, or the RANKth in its place.  0 if none is
 * live.
 */
struct daemon_id
spread_head(const struct spread_core *core, const struct spread_range *range,
            uint32_t rank)
{
    struct daemon_id none = {0};
    size_t count;
    const struct daemon_view *daemons = spread_live(core, range, &count);
    const struct daemon_view *head = NULL;

    if (count == 0) {
        return none;
    }
    for (uint32_t i = 0; i <= rank % count; i++) {
        const struct daemon_view *next = NULL;

        for (size_t j = 0; j < count; j++) {
            bool is_after = head == NULL || (&daemons[j] != head &&
                                             is_before(head, &daemons[j]));

            if (is_after && is_before(&daemons[j], next)) {
                next = &daemons[j];
            }
        }
        head = next;
    }
    return head->id;
}

/*
 * Part RANGE, in which COUNT daemons follow one another, so that each part
 * has PER_PART of them and the parts cover RANGE without gaps.
 */
static void
part_run(const struct spread_range *range, const struct daemon_view *daemons,
         size_t count, size_t per_part, GArray *ranges)
{
    struct spread_range part = *range;

    if (count == 0 || range->first > range->last) {
        return;
    }
    for (size_t i = 0; i < count; i += per_part) {
        bool is_last = i + per_part >= count;

        part.last = is_last ? range->last : daemons[i + per_part].id.value - 1;
        g_array_append_val(ranges, part);
        if (!is_last) {
            part.first = part.last + 1;
        }
    }
}

/*
 * Append the parts of RANGE, this daemon left out, to RANGES: one for each
 * daemon if these are few, else FANOUT of them, and one more for the gap.
 */
void
spread_part(const struct spread_core *core, const struct spread_range *range,
            GArray *ranges)
{
    uint64_t self = core->options.self.value;
    size_t fanout = core->options.fanout;
    size_t count;
    size_t before = 0;
    size_t per_part;
    const struct daemon_view *daemons = spread_live(core, range, &count);
    struct spread_range low = *range;
    struct spread_range high = *range;

    per_part = MAX((count + fanout - 1) / fanout, 1);
    while (before < count && daemons[before].id.value < self) {
        before++;
    }
    if (before == count || daemons[before].id.value != self) {
        part_run(range, daemons, count, per_part, ranges);
        return;
    }
    if (self > 0) {
        low.last = self - 1;
        part_run(&low, daemons, before, per_part, ranges);
    }
    if (self < UINT64_MAX) {
        high.first = self + 1;
        part_run(&high, daemons + before + 1, count - before - 1, per_part,
                 ranges);
    }
}

/* One range for each zone that has live entry daemons. */
GArray *
spread_zones(const struct spread_core *core)
{
    GArray *zones = g_array_new(FALSE, TRUE, sizeof(struct spread_range));

    for (guint i = 0; i < core->live->len; i++) {
        uint32_t zone = g_array_index(core->live, struct daemon_view, i).zone;
        struct spread_range range = {zone, 0, UINT64_MAX};

        if (zones->len == 0 ||
            g_array_index(zones, struct spread_range, zones->len - 1).zone !=
                zone) {
            g_array_append_val(zones, range);
        }
    }
    return zones;
}
