/*
 * The table of records: which of two is newer, what follows from a newer
 * one, the digests of the table, and the view that other concerns read.
 */
#include "member/member_priv.h"

#include "base/hash.h"

#define FORGET_MARGIN 10 /* a tenth of the time kept: not taken in again */

static void take_about_self(struct member_core *,
                            const struct member_record *);
static void add_unknown(struct member_core *, const struct member_record *);
static void take_newer(struct member_core *, struct member *,
                       const struct member_record *);
static guint insert_position(const struct member_core *, struct daemon_id);
static void toggle_digest(struct member_core *, const struct member *);
static uint64_t age_limit_s(const struct member_core *);
static enum daemon_state view_state(const struct member *);
static bool is_young(const struct member_core *);

struct member *
member_find(const struct member_core *core, struct daemon_id id)
{
    return g_hash_table_lookup(core->members, &id.value);
}

/* The bucket of ID: its highest bits, so that a bucket is a range of ids. */
unsigned
member_bucket(struct daemon_id id)
{
    return (unsigned)(id.value / (UINT64_MAX / MEMBER_BUCKETS + 1));
}

/* MEMBER reduced; a suspicion is local and does not count as a change. */
struct member_stamp
member_stamp_of(const struct member *member)
{
    enum member_status status = member->record.status;

    return (struct member_stamp){
        .id = member->id,
        .incarnation = member->record.incarnation,
        .status = status == MEMBER_SUSPECT ? MEMBER_OK : status,
    };
}

/* Add MEMBER to the digest of its bucket, or take it out again. */
static void
toggle_digest(struct member_core *core, const struct member *member)
{
    struct member_stamp stamp = member_stamp_of(member);
    uint64_t words[3] = {stamp.id.value, stamp.incarnation, stamp.status};

    core->digests[member_bucket(member->id)] ^=
        hash_bytes(words, sizeof(words), 0);
}

/* One digest of the whole table. */
uint64_t
member_digest(const struct member_core *core)
{
    return hash_bytes(core->digests, sizeof(core->digests), 0);
}

static bool
is_young(const struct member_core *core)
{
    return core->now_us < core->start_us + YOUNG_MS * US_PER_MS;
}

static uint64_t
age_limit_s(const struct member_core *core)
{
    uint64_t kept_s = core->options.forget_ms / 1000;

    return kept_s - kept_s / FORGET_MARGIN;
}

/* The index in the sorted order where ID belongs. */
static guint
insert_position(const struct member_core *core, struct daemon_id id)
{
    guint low = 0;
    guint high = core->order->len;

    while (low < high) {
        guint middle = (low + high) / 2;
        const struct member *member = g_ptr_array_index(core->order, middle);

        if (member->id.value < id.value) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

static void
add_unknown(struct member_core *core, const struct member_record *record)
{
    struct member *member;

    if (record->age_s > age_limit_s(core)) {
        return;
    }
    if (core->order->len >= core->options.daemons_max) {
        core->counters.refused_full++;
        return;
    }
    member = g_new0(struct member, 1);
    member->id = view_daemon_id(record->name);
    member->record = *record;
    member->since_us =
        core->now_us - MIN(core->now_us, record->age_s * US_PER_S);
    g_hash_table_insert(core->members, &member->id.value, member);
    g_ptr_array_insert(core->order, (gint)insert_position(core, member->id),
                       member);
    toggle_digest(core, member);
    core->changed = true;
    if (!is_young(core) || core->self == NULL) {
        member_announce(core, member);
    }
    if (record->status == MEMBER_SUSPECT) {
        member->record.status = MEMBER_OK;
        member_suspect(core, member, false);
    }
}

/*
 * Take RECORD over for MEMBER, whose status becomes that of RECORD at once.
 * A daemon that was dead has to answer before it counts as alive again.
 */
void
member_set(struct member_core *core, struct member *member,
           const struct member_record *record)
{
    bool was_dead = member->record.status == MEMBER_DEAD;

    toggle_digest(core, member);
    member->record = *record;
    toggle_digest(core, member);
    member->since_us =
        core->now_us - MIN(core->now_us, record->age_s * US_PER_S);
    member->first_hand = false;
    member->confirmed = false;
    member->death_heard = false;
    core->changed = true;
    member_announce(core, member);
    if (was_dead && record->status == MEMBER_OK) {
        member->unproved = true;
        member_ping(core, member);
    }
}

/* Give MEMBER another STATUS from now on, at its present incarnation. */
void
member_set_status(struct member_core *core, struct member *member,
                  enum member_status status)
{
    struct member_record record = member->record;

    record.status = status;
    record.age_s = 0;
    member_set(core, member, &record);
}

/* Raise this daemon's own incarnation above ABOVE and tell the others. */
void
member_raise_incarnation(struct member_core *core, uint64_t above)
{
    struct member_record record = core->self->record;

    record.incarnation = above + 1;
    member_set(core, core->self, &record);
}

/* What others say of this daemon: refute what is not so. */
static void
take_about_self(struct member_core *core, const struct member_record *record)
{
    const struct member_record *own = &core->self->record;

    if (own->status == MEMBER_LEFT || record->incarnation < own->incarnation) {
        return;
    }
    if (record->incarnation == own->incarnation &&
        record->status == MEMBER_OK && record->address == own->address) {
        return;
    }
    if (record->status == MEMBER_SUSPECT) {
        core->health = MIN(core->health + 1, HEALTH_MAX);
    }
    core->counters.refuted++;
    member_raise_incarnation(core, record->incarnation);
}

static void
take_newer(struct member_core *core, struct member *member,
           const struct member_record *record)
{
    struct member_record alive = *record;

    alive.status = MEMBER_OK;
    alive.age_s = 0;
    switch (record->status) {
    case MEMBER_OK:
    case MEMBER_LEFT:
        member_set(core, member, record);
        break;
    case MEMBER_SUSPECT:
        if (record->incarnation > member->record.incarnation) {
            member_set(core, member, &alive);
        }
        member_suspect(core, member, false);
        break;
    case MEMBER_DEAD:
        if (member->record.status == MEMBER_DEAD) {
            member_set(core, member, record);
            break;
        }
        if (record->incarnation > member->record.incarnation) {
            member_set(core, member, &alive);
        }
        member_hear_death(core, member);
        break;
    case MEMBER_STATUS__MAX:
        break;
    }
}

/*
 * Take in what another daemon says of one daemon.  The higher incarnation is
 * newer; at the same one the later status is.
 */
void
member_merge(struct member_core *core, const struct member_record *record)
{
    struct member *member = member_find(core, view_daemon_id(record->name));

    if (member == NULL) {
        add_unknown(core, record);
        return;
    }
    if (member == core->self) {
        take_about_self(core, record);
        return;
    }
    if (record->incarnation < member->record.incarnation) {
        return;
    }
    if (record->incarnation == member->record.incarnation &&
        record->status <= member->record.status) {
        return;
    }
    take_newer(core, member, record);
}

/* Drop the dead and the left that were kept long enough. */
void
member_forget(struct member_core *core)
{
    uint64_t kept_us = core->options.forget_ms * US_PER_MS;

    for (guint i = core->order->len; i-- > 0;) {
        struct member *member = g_ptr_array_index(core->order, i);

        if (member->record.status < MEMBER_DEAD || member == core->self ||
            core->now_us - member->since_us < kept_us) {
            continue;
        }
        toggle_digest(core, member);
        g_queue_remove(core->gossip, member);
        g_ptr_array_remove(core->suspects, member);
        g_ptr_array_remove_index(core->order, i);
        g_hash_table_remove(core->members, &member->id.value);
        core->changed = true;
    }
}

/* Whether MEMBER is another daemon that takes part. */
bool
member_is_peer(const struct member_core *core, const struct member *member)
{
    return member != core->self && member->record.status <= MEMBER_SUSPECT;
}

size_t
member_peer_count(const struct member_core *core)
{
    return core->counters.gauge_alive + core->counters.gauge_suspect;
}

/* A peer by chance, or NULL if there is none. */
struct member *
member_random_peer(struct member_core *core)
{
    guint count = core->order->len;
    guint start = (guint)g_rand_int_range(core->rand, 0, (gint32)count);

    for (guint i = 0; i < count; i++) {
        struct member *member =
            g_ptr_array_index(core->order, (start + i) % count);

        if (member_is_peer(core, member)) {
            return member;
        }
    }
    return NULL;
}

static enum daemon_state
view_state(const struct member *member)
{
    if (member->unproved || member->record.status >= MEMBER_DEAD) {
        return DAEMON_DEAD;
    }
    if (member->record.leaving) {
        return DAEMON_LEAVING;
    }
    return member->record.status == MEMBER_SUSPECT ? DAEMON_SUSPECT
                                                   : DAEMON_ALIVE;
}

/* Make the view anew from the table; daemons that left are not in it. */
void
member_rebuild_view(struct member_core *core)
{
    uint64_t states[DAEMON__MAX] = {0};

    g_array_set_size(core->view, 0);
    for (guint i = 0; i < core->order->len; i++) {
        const struct member *member = g_ptr_array_index(core->order, i);
        struct daemon_view daemon = {
            .id = member->id,
            .address = member->record.address,
            .zone = view_zone_id(member->record.zone),
            .incarnation = member->record.incarnation,
            .state = view_state(member),
            .entry = member->record.entry,
            .control = member->record.control,
        };

        if (member->record.status == MEMBER_LEFT && member != core->self) {
            continue;
        }
        if (member != core->self) {
            states[daemon.state]++;
        }
        g_array_append_val(core->view, daemon);
    }
    core->counters.gauge_alive = states[DAEMON_ALIVE] + states[DAEMON_LEAVING];
    core->counters.gauge_suspect = states[DAEMON_SUSPECT];
    core->counters.gauge_dead = states[DAEMON_DEAD];
    core->changed = false;
}
