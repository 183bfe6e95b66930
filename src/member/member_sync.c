/*
 * Anti-entropy: each probe carries a digest of the sender's table.  Where it
 * differs from one's own, the two compare digests of buckets, then stamps,
 * and send each other what is newer.
 */
#include "member/member_priv.h"

#include <string.h>

static struct member_message *start_stamps(struct member_core *,
                                           uint32_t buckets);
static void send_newer(struct member_core *, uint32_t to, GPtrArray *);
static const struct member_stamp *find_stamp(const struct member_message *,
                                             struct daemon_id);
static bool is_newer(struct member_stamp, const struct member_stamp *);
static void collect_missing(struct member_core *,
                            const struct member_message *, GPtrArray *);
static void request_newer(struct member_core *, uint32_t to,
                          const struct member_message *);

/* Begin to compare tables with FROM if its digest is another. */
void
member_sync_if_differs(struct member_core *core, uint32_t from,
                       const struct member_message *message)
{
    uint64_t crowd = core->order->len / RETRY_OTHER_DAEMONS;
    struct member_message *digests;

    if (message->digest == member_digest(core) ||
        core->now_us < core->sync_us) {
        return;
    }
    core->sync_us = core->now_us +
                    core->options.sync_interval_ms * US_PER_MS * MAX(crowd, 1);
    core->counters.syncs++;
    digests = member_start(core, MEMBER_DIGESTS);
    memcpy(digests->digests, core->digests, sizeof(core->digests));
    member_send(core, from, digests, NULL);
}

static struct member_message *
start_stamps(struct member_core *core, uint32_t buckets)
{
    struct member_message *message = member_start(core, MEMBER_STAMPS);

    message->buckets = buckets;
    return message;
}

/* Answer with the stamps of all buckets that differ, a part at a time. */
void
member_on_digests(struct member_core *core, uint32_t from,
                  const struct member_message *digests)
{
    struct member_message *message;
    uint32_t buckets = 0;

    for (unsigned i = 0; i < MEMBER_BUCKETS; i++) {
        if (digests->digests[i] != core->digests[i]) {
            buckets |= 1u << i;
        }
    }
    if (buckets == 0) {
        return;
    }
    message = start_stamps(core, buckets);
    for (guint i = 0; i < core->order->len; i++) {
        const struct member *member = g_ptr_array_index(core->order, i);

        if ((buckets & 1u << member_bucket(member->id)) == 0) {
            continue;
        }
        if (message->stamp_count == MEMBER_STAMPS_MAX) {
            uint64_t next = member->id.value;

            message->last = next - 1;
            member_send(core, from, message, NULL);
            message = start_stamps(core, buckets);
            message->first = next;
        }
        message->stamps[message->stamp_count++] = member_stamp_of(member);
    }
    message->last = UINT64_MAX;
    member_send(core, from, message, NULL);
}

static const struct member_stamp *
find_stamp(const struct member_message *message, struct daemon_id id)
{
    for (size_t i = 0; i < message->stamp_count; i++) {
        if (message->stamps[i].id.value == id.value) {
            return &message->stamps[i];
        }
    }
    return NULL;
}

/* Whether OWN is newer than THEIRS, which is NULL if they have none. */
static bool
is_newer(struct member_stamp own, const struct member_stamp *theirs)
{
    return theirs == NULL || own.incarnation > theirs->incarnation ||
           (own.incarnation == theirs->incarnation &&
            own.status > theirs->status);
}

/* The members of which the sender of STAMPS knows less. */
static void
collect_missing(struct member_core *core, const struct member_message *stamps,
                GPtrArray *missing)
{
    for (guint i = 0; i < core->order->len; i++) {
        struct member *member = g_ptr_array_index(core->order, i);
        const struct member_stamp *theirs = find_stamp(stamps, member->id);
        bool covered = member->id.value >= stamps->first &&
                       member->id.value <= stamps->last &&
                       (stamps->buckets & 1u << member_bucket(member->id));

        if ((theirs != NULL || covered) &&
            is_newer(member_stamp_of(member), theirs)) {
            g_ptr_array_add(missing, member);
        }
    }
}

/* Send the records of MEMBERS, in as many messages as it takes. */
static void
send_newer(struct member_core *core, uint32_t to, GPtrArray *members)
{
    struct member_message *message = NULL;

    for (guint i = 0; i < members->len; i++) {
        const struct member *member = g_ptr_array_index(members, i);

        if (message == NULL) {
            message = member_start(core, MEMBER_RECORDS);
        }
        if (member_attach(core, message, member)) {
            continue;
        }
        member_send(core, to, message, NULL);
        message = member_start(core, MEMBER_RECORDS);
        member_attach(core, message, member);
    }
    if (message != NULL) {
        member_send(core, to, message, NULL);
    }
}

/*
 * Ask for what is newer in STAMPS by sending the own, older stamps, which
 * cover no range.
 */
static void
request_newer(struct member_core *core, uint32_t to,
              const struct member_message *stamps)
{
    struct member_message *request = NULL;

    for (size_t i = 0; i < stamps->stamp_count; i++) {
        const struct member_stamp *theirs = &stamps->stamps[i];
        const struct member *member = member_find(core, theirs->id);
        struct member_stamp own = {.id = theirs->id};

        if (member != NULL) {
            own = member_stamp_of(member);
            if (!is_newer(*theirs, &own)) {
                continue;
            }
        }
        if (request == NULL) {
            request = start_stamps(core, 0);
            request->first = 1;
        }
        request->stamps[request->stamp_count++] = own;
    }
    if (request != NULL) {
        member_send(core, to, request, NULL);
    }
}

/* Send what the sender of STAMPS lacks, and ask for what is lacking here. */
void
member_on_stamps(struct member_core *core, uint32_t from,
                 const struct member_message *stamps)
{
    GPtrArray *missing = g_ptr_array_new();

    collect_missing(core, stamps, missing);
    send_newer(core, from, missing);
    g_ptr_array_free(missing, TRUE);
    if (stamps->first <= stamps->last) {
        request_newer(core, from, stamps);
    }
}
