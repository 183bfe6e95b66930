/*
 * Anti-entropy: from time to time each daemon tells one other its versions
 * and a digest of its targets; where they differ, buckets and then stamps are
 * compared, and each sends what is newer.
 */
#include "member/spread_priv.h"

#include <string.h>

#include "base/hash.h"

#define JOIN_SYNC_MS       250 /* between comparisons until one is alike */
#define TARGETS_PER_BUCKET 8u  /* how fine the digests are that are sent */

static uint64_t whole_digest(const struct spread_core *);
static unsigned bucket_bits(const struct spread_core *);
static uint32_t folded_digest(const struct spread_core *, unsigned bits,
                              unsigned bucket);
static struct daemon_id random_peer(struct spread_core *);
static void send_digest(struct spread_core *, struct daemon_id, bool echo);
static void send_stamps(struct spread_core *, struct daemon_id, unsigned bits,
                        unsigned bucket, GArray *stamps, bool request);
static void send_newer(struct spread_core *, struct daemon_id,
                       const struct spread_message *, GHashTable *theirs);
static void request_newer(struct spread_core *, struct daemon_id,
                          const struct spread_message *);
static void flush_targets(struct spread_core *, struct daemon_id, GArray *);

static uint64_t
whole_digest(const struct spread_core *core)
{
    return hash_bytes(core->digests, sizeof(core->digests), 0);
}

/* How finely to compare, for as many targets as are known here. */
static unsigned
bucket_bits(const struct spread_core *core)
{
    unsigned bits = 0;

    while (bits < BUCKET_BITS &&
           (TARGETS_PER_BUCKET << bits) < core->target_count) {
        bits++;
    }
    return bits;
}

/* The digest of BUCKET among two to BITS, from the finest ones. */
static uint32_t
folded_digest(const struct spread_core *core, unsigned bits, unsigned bucket)
{
    unsigned width = 1u << (BUCKET_BITS - bits);
    uint32_t digest = 0;

    for (unsigned i = bucket * width; i < (bucket + 1) * width; i++) {
        digest ^= core->digests[i];
    }
    return digest;
}

/* A live entry daemon by chance: of the own zone every other time. */
static struct daemon_id
random_peer(struct spread_core *core)
{
    struct spread_range own = {core->zone, 0, UINT64_MAX};
    const struct daemon_view *daemons =
        (const struct daemon_view *)core->live->data;
    size_t count = core->live->len;
    size_t start;

    if (g_rand_boolean(core->rand)) {
        daemons = spread_live(core, &own, &count);
    }
    if (count == 0) {
        return (struct daemon_id){0};
    }
    start = (size_t)g_rand_int_range(core->rand, 0, (gint32)count);
    if (daemons[start].id.value == core->options.self.value) {
        start = (start + 1) % count;
    }
    return daemons[start].id;
}

static void
send_digest(struct spread_core *core, struct daemon_id to, bool echo)
{
    struct spread_message message = spread_start(core, SPREAD_DIGEST);

    message.u.digest.count = core->target_count;
    message.u.digest.digest = whole_digest(core);
    message.u.digest.echo = echo;
    message.u.digest.synced = core->synced;
    spread_send(core, to, &message);
}

bool
spread_core_synced(const struct spread_core *core)
{
    return core->synced;
}

void
spread_core_set_synced(struct spread_core *core)
{
    core->synced = true;
}

void
spread_sync_tick(struct spread_core *core)
{
    struct daemon_id peer;

    if (core->now_us < core->sync_us || !core->options.entry) {
        return;
    }
    core->sync_us = core->now_us +
                    US_PER_MS * (core->synced ? core->options.sync_interval_ms
                                              : JOIN_SYNC_MS);
    peer = random_peer(core);
    if (peer.value != 0 && peer.value != core->options.self.value) {
        core->counters.syncs++;
        send_digest(core, peer, !core->synced);
    }
}

/* Compare with FROM: it may lag behind in versions, or differ in targets. */
void
spread_on_digest(struct spread_core *core, struct daemon_id from,
                 const struct spread_message *message)
{
    struct spread_message reply = spread_start(core, SPREAD_DIGESTS);
    bool differs = message->u.digest.digest != whole_digest(core);

    if (!differs && message->u.digest.synced &&
        message->active <= reply.active) {
        core->synced = true;
    }
    if (!differs && !message->u.digest.echo &&
        message->active >= reply.active && message->term >= core->term) {
        return;
    }
    if (!differs) {
        send_digest(core, from, false);
        return;
    }
    reply.u.digests.bits = bucket_bits(core);
    for (unsigned i = 0; i < 1u << reply.u.digests.bits; i++) {
        reply.u.digests.digests[i] =
            folded_digest(core, reply.u.digests.bits, i);
    }
    spread_send(core, from, &reply);
}

static void
send_stamps(struct spread_core *core, struct daemon_id to, unsigned bits,
            unsigned bucket, GArray *stamps, bool request)
{
    struct spread_message message = spread_start(core, SPREAD_STAMPS);

    message.u.stamps.bits = bits;
    message.u.stamps.bucket = bucket;
    message.u.stamps.request = request;
    message.u.stamps.count = stamps->len;
    message.u.stamps.items = spread_keep(
        core, stamps->data, stamps->len * sizeof(struct spread_stamp));
    spread_send(core, to, &message);
}

/* Answer with the stamps of the buckets that differ, up to a bound. */
void
spread_on_digests(struct spread_core *core, struct daemon_id from,
                  const struct spread_message *message)
{
    unsigned bits = message->u.digests.bits;
    GArray *stamps[SPREAD_BUCKETS] = {NULL};
    unsigned differing = 0;
    GHashTableIter iter;
    gpointer value;

    for (unsigned i = 0; i < 1u << bits; i++) {
        if (message->u.digests.digests[i] != folded_digest(core, bits, i) &&
            differing < SYNC_BUCKETS_MAX) {
            stamps[i] = g_array_new(FALSE, TRUE, sizeof(struct spread_stamp));
            differing++;
        }
    }
    g_hash_table_iter_init(&iter, core->targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct spread_target *target =
            &((struct spread_held *)value)->target;
        unsigned bucket = spread_bucket(target->view.key.address, bits);

        if (stamps[bucket] != NULL && target->view.state != TARGET_DOWN) {
            struct spread_stamp stamp = spread_stamp_of(target);

            g_array_append_val(stamps[bucket], stamp);
        }
    }
    for (unsigned i = 0; i < 1u << bits; i++) {
        if (stamps[i] != NULL) {
            send_stamps(core, from, bits, i, stamps[i], false);
            g_array_free(stamps[i], TRUE);
        }
    }
}

static void
flush_targets(struct spread_core *core, struct daemon_id to, GArray *items)
{
    struct spread_message message = spread_start(core, SPREAD_TARGETS);

    if (items->len == 0) {
        return;
    }
    message.u.targets.sync = true;
    message.u.targets.count = items->len;
    message.u.targets.items = spread_keep(
        core, items->data, items->len * sizeof(struct spread_target));
    spread_send(core, to, &message);
    g_array_set_size(items, 0);
}

/*
 * Send FROM what it lacks in the bucket, or has older.  THEIRS holds its
 * stamps by address; a request is about these alone.
 */
static void
send_newer(struct spread_core *core, struct daemon_id from,
           const struct spread_message *message, GHashTable *theirs)
{
    GArray *items = g_array_new(FALSE, TRUE, sizeof(struct spread_target));
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, core->targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct spread_target *target =
            &((struct spread_held *)value)->target;
        uint32_t address = target->view.key.address;
        const struct spread_stamp *their =
            g_hash_table_lookup(theirs, &address);
        struct spread_stamp own = spread_stamp_of(target);

        if (spread_bucket(address, message->u.stamps.bits) !=
            message->u.stamps.bucket) {
            continue;
        }
        if (their == NULL ? message->u.stamps.request ||
                                target->view.state == TARGET_DOWN
                          : !spread_target_newer(&own, their)) {
            continue;
        }
        g_array_append_val(items, *target);
        if (items->len == SPREAD_TARGETS_MAX) {
            flush_targets(core, from, items);
        }
    }
    flush_targets(core, from, items);
    g_array_free(items, TRUE);
}

/* Ask FROM for what is newer there. */
static void
request_newer(struct spread_core *core, struct daemon_id from,
              const struct spread_message *message)
{
    GArray *wanted = g_array_new(FALSE, TRUE, sizeof(struct spread_stamp));

    for (size_t i = 0; i < message->u.stamps.count; i++) {
        const struct spread_stamp *their = &message->u.stamps.items[i];
        const struct spread_held *held =
            g_hash_table_lookup(core->targets, &their->address);
        struct spread_stamp own = {.address = their->address};

        if (held != NULL) {
            own = spread_stamp_of(&held->target);
        }
        else if (!spread_is_live(core, their->holder)) {
            continue;
        }
        if (spread_target_newer(their, &own)) {
            g_array_append_val(wanted, own);
        }
    }
    if (wanted->len > 0) {
        send_stamps(core, from, message->u.stamps.bits,
                    message->u.stamps.bucket, wanted, true);
    }
    g_array_free(wanted, TRUE);
}

/* Stamps of a bucket, or a request for what is newer than those named. */
void
spread_on_stamps(struct spread_core *core, struct daemon_id from,
                 const struct spread_message *message)
{
    GHashTable *theirs = g_hash_table_new(g_int_hash, g_int_equal);

    for (size_t i = 0; i < message->u.stamps.count; i++) {
        const struct spread_stamp *stamp = &message->u.stamps.items[i];

        g_hash_table_insert(theirs, (gpointer)&stamp->address,
                            (gpointer)stamp);
    }
    send_newer(core, from, message, theirs);
    g_hash_table_destroy(theirs);
    if (!message->u.stamps.request) {
        request_newer(core, from, message);
    }
}
