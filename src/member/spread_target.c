/*
 * The targets that are known.  Each has one holder, the daemon that times its
 * announcements; all others rely on the holder being live.  A change counts
 * the stamp up, so that the later of two records is the same everywhere.
 */
#include "member/spread_priv.h"

#include "base/hash.h"

static void toggle_digest(struct spread_core *, const struct spread_held *);
static struct spread_held *add_held(struct spread_core *, uint32_t address);
static bool is_same(const struct spread_target *,
                    const struct spread_target *);
static void store(struct spread_core *, struct spread_held *,
                  const struct spread_target *);
static void refuse(struct spread_core *, const struct spread_target *,
                   enum spread_refusal);
static void add_refresh(struct spread_core *, struct spread_held *);
static bool is_wanted(struct spread_core *, const struct spread_target *);
static bool is_contradicted(struct spread_core *, const struct spread_held *,
                            const struct spread_target *);
static uint64_t expiry_us(const struct spread_core *,
                          const struct spread_target *);

/* The bucket of ADDRESS among two to BITS of them. */
unsigned
spread_bucket(uint32_t address, unsigned bits)
{
    uint64_t hash = hash_pair(address, 0);

    return bits == 0 ? 0 : (unsigned)(hash >> (64 - bits));
}

struct spread_stamp
spread_stamp_of(const struct spread_target *target)
{
    return (struct spread_stamp){
        .address = target->view.key.address,
        .incarnation = target->view.key.incarnation,
        .stamp = target->stamp,
        .holder = target->holder,
    };
}

/* Whether A is later than B; the same answer on every daemon. */
bool
spread_target_newer(const struct spread_stamp *a, const struct spread_stamp *b)
{
    if (a->stamp != b->stamp) {
        return a->stamp > b->stamp;
    }
    if (a->incarnation != b->incarnation) {
        return a->incarnation > b->incarnation;
    }
    return a->holder.value > b->holder.value;
}

/* Add HELD to the digests, or take it out again; expired ones do not count. */
static void
toggle_digest(struct spread_core *core, const struct spread_held *held)
{
    const struct spread_target *target = &held->target;
    uint64_t words[2] = {
        (uint64_t)target->view.key.address << 32 | target->stamp,
        target->holder.value ^ target->view.key.incarnation,
    };

    if (target->stamp == 0 || target->view.state == TARGET_DOWN) {
        return;
    }
    core->digests[spread_bucket(target->view.key.address, BUCKET_BITS)] ^=
        (uint32_t)hash_bytes(words, sizeof(words), 0);
}

/* HELD is about to be dropped: nothing may point at it any more. */
void
spread_uncount(struct spread_core *core, struct spread_held *held)
{
    toggle_digest(core, held);
    core->target_count -= held->target.view.state != TARGET_DOWN;
    g_hash_table_remove(core->mine, held);
    g_ptr_array_remove_fast(core->buckets[spread_bucket(
                                held->target.view.key.address, BUCKET_BITS)],
                            held);
}

/* The holder ID, made known if it was not. */
struct spread_holder *
spread_holder(struct spread_core *core, struct daemon_id id)
{
    struct spread_holder *holder =
        g_hash_table_lookup(core->holders, &id.value);

    if (holder == NULL) {
        holder = g_new0(struct spread_holder, 1);
        holder->id = id;
        holder->gone_us = core->now_us;
        holder->live =
            id.value == core->options.self.value || spread_is_live(core, id);
        holder->refreshes = g_array_new(FALSE, TRUE, sizeof(uint32_t));
        g_hash_table_insert(core->holders, &holder->id.value, holder);
    }
    return holder;
}

void
spread_holder_free(void *data)
{
    struct spread_holder *holder = data;

    g_array_free(holder->refreshes, TRUE);
    g_free(holder);
}

static struct spread_held *
add_held(struct spread_core *core, uint32_t address)
{
    struct spread_held *held = g_new0(struct spread_held, 1);

    held->target.view.key.address = address;
    g_hash_table_insert(core->targets, &held->target.view.key.address, held);
    g_ptr_array_add(core->buckets[spread_bucket(address, BUCKET_BITS)], held);
    return held;
}

/* Whether an announcement A says nothing that B does not say. */
static bool
is_same(const struct spread_target *a, const struct spread_target *b)
{
    return a->pool.value == b->pool.value && a->life_ms == b->life_ms &&
           a->view.key.incarnation == b->view.key.incarnation &&
           a->view.port == b->view.port && a->view.weight == b->view.weight &&
           a->view.slots == b->view.slots &&
           a->view.connections == b->view.connections &&
           a->view.zone == b->view.zone && a->view.state == b->view.state;
}

/* A refresh may be on its way to the holder for so long, besides life. */
static uint64_t
expiry_us(const struct spread_core *core, const struct spread_target *target)
{
    return core->now_us +
           (target->life_ms + 2 * core->options.refresh_ms) * US_PER_MS;
}

/* Let TARGET be what HELD says from now on, and tell who uses it. */
static void
store(struct spread_core *core, struct spread_held *held,
      const struct spread_target *target)
{
    bool counted =
        held->target.stamp != 0 && held->target.view.state != TARGET_DOWN;

    toggle_digest(core, held);
    held->target = *target;
    toggle_digest(core, held);
    core->target_count += target->view.state != TARGET_DOWN;
    core->target_count -= counted;
    held->down_us = target->view.state == TARGET_DOWN ? core->now_us : 0;
    g_hash_table_remove(core->mine, held);
    if (target->holder.value == core->options.self.value) {
        held->expires_us = expiry_us(core, target);
        g_hash_table_add(core->mine, held);
    }
    spread_holder(core, target->holder);
    core->counters.targets_changed++;
    spread_show(core, held);
}

/* This daemon is HELD's holder from now on, with what TARGET says. */
void
spread_change(struct spread_core *core, struct spread_held *held,
              const struct spread_target *target)
{
    struct spread_target changed = *target;

    changed.stamp = held->target.stamp + 1;
    changed.holder = core->options.self;
    store(core, held, &changed);
    spread_pend(core, held);
}

static void
refuse(struct spread_core *core, const struct spread_target *target,
       enum spread_refusal reason)
{
    struct spread_action *action = spread_act(core, SPREAD_ACT_REFUSED);

    action->u.refused.key = target->view.key;
    action->u.refused.reason = reason;
    core->counters.refused_announcements++;
}

/* HELD was announced here without a change: its holder is to know. */
static void
add_refresh(struct spread_core *core, struct spread_held *held)
{
    struct spread_holder *holder = spread_holder(core, held->target.holder);

    core->counters.refreshes++;
    if (holder->id.value == core->options.self.value) {
        held->expires_us = expiry_us(core, &held->target);
        return;
    }
    if (holder->live) {
        g_array_append_val(holder->refreshes, held->target.view.key.address);
        return;
    }
    core->counters.targets_taken_over++;
    spread_change(core, held, &held->target);
}

/* A target announced itself to this daemon as TARGET says. */
void
spread_on_announced(struct spread_core *core,
                    const struct spread_target *target)
{
    struct spread_held *held =
        g_hash_table_lookup(core->targets, &target->view.key.address);

    if (held == NULL) {
        if (g_hash_table_size(core->targets) >= core->options.targets_max) {
            refuse(core, target, SPREAD_TOO_MANY);
            return;
        }
        held = add_held(core, target->view.key.address);
    }
    else if (held->visible && target->view.key.incarnation <
                                  held->target.view.key.incarnation) {
        refuse(core, target, SPREAD_STALE_INCARNATION);
        return;
    }
    held->seen_us = core->now_us;
    if (held->target.stamp != 0 && is_same(target, &held->target)) {
        add_refresh(core, held);
        return;
    }
    spread_change(core, held, target);
}

/*
 * Whether a record of an address that is not known is worth taking in: not if
 * it has expired, nor if nobody vouches for it.
 */
static bool
is_wanted(struct spread_core *core, const struct spread_target *target)
{
    if (target->view.state == TARGET_DOWN ||
        g_hash_table_size(core->targets) >= core->options.targets_max) {
        return false;
    }
    return target->holder.value == core->options.self.value ||
           spread_is_live(core, target->holder);
}

/*
 * Whether the record just taken for HELD is to be overruled by the one
 * BEFORE, since the target announced itself here of late: the new one says
 * that it expired, or it took the target from this daemon for a holder that
 * is not live.
 */
static bool
is_contradicted(struct spread_core *core, const struct spread_held *held,
                const struct spread_target *before)
{
    bool is_orphan = before->holder.value == core->options.self.value &&
                     !spread_holder(core, held->target.holder)->live;

    if (before->view.state == TARGET_DOWN || held->seen_us == 0 ||
        core->now_us - held->seen_us >= before->life_ms * US_PER_MS / 2) {
        return false;
    }
    return is_orphan || held->target.view.state == TARGET_DOWN;
}

/*
 * Take TARGET in if it is later than what is known.  Its holder may have
 * started again just now, unknown to the view: a target in use stays so for
 * its life.  One that another daemon let expire, although it was announced
 * here of late, is announced again.
 */
bool
spread_take(struct spread_core *core, const struct spread_target *target)
{
    struct spread_held *held =
        g_hash_table_lookup(core->targets, &target->view.key.address);
    struct spread_stamp stamp = spread_stamp_of(target);
    struct spread_target before;
    struct spread_holder *holder;
    struct spread_stamp known;

    if (held == NULL) {
        if (!is_wanted(core, target)) {
            return false;
        }
        held = add_held(core, target->view.key.address);
        store(core, held, target);
        return true;
    }
    known = spread_stamp_of(&held->target);
    if (!spread_target_newer(&stamp, &known)) {
        return false;
    }
    before = held->target;
    holder = spread_holder(core, target->holder);
    if (held->visible && !holder->live) {
        holder->gone_us = core->now_us;
    }
    store(core, held, target);
    if (is_contradicted(core, held, &before)) {
        core->counters.targets_taken_over++;
        spread_change(core, held, &before);
    }
    return true;
}

/*
 * Targets that changed, or that were found to be lacking here.  What came late
 * is late for others as well: the next comparison follows soon.
 */
void
spread_on_targets(struct spread_core *core,
                  const struct spread_message *message)
{
    bool taken = false;

    if (core->options.entry) {
        for (size_t i = 0; i < message->u.targets.count; i++) {
            taken |= spread_take(core, &message->u.targets.items[i]);
        }
    }
    if (taken && message->u.targets.sync) {
        core->sync_us = MIN(core->sync_us,
                            core->now_us + core->options.batch_ms * US_PER_MS);
    }
    if (message->u.targets.relay) {
        spread_relay_targets(core, &message->u.targets.range,
                             message->u.targets.items,
                             message->u.targets.count);
    }
}

/* Another daemon saw announcements of targets that are held here. */
void
spread_on_refresh(struct spread_core *core,
                  const struct spread_message *message)
{
    for (size_t i = 0; i < message->u.refresh.count; i++) {
        struct spread_held *held = g_hash_table_lookup(
            core->targets, &message->u.refresh.addresses[i]);

        if (held != NULL &&
            held->target.holder.value == core->options.self.value) {
            held->expires_us = expiry_us(core, &held->target);
        }
    }
}
