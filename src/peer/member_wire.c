/* Membership messages as protobuf-c packs them. */
#include "peer/member_wire.h"

#include <string.h>

#include "peer/member.pb-c.h"

#define FLAG_LEAVING 1u
#define FLAG_ENTRY   2u
#define FLAG_CONTROL 4u

static void fill_record(const struct member_record *,
                        Parsleyspur__MemberRecord *);
static bool read_record(const Parsleyspur__MemberRecord *,
                        struct member_record *);
static bool read_message(const Parsleyspur__MemberMessage *,
                         struct member_message *);

static void
fill_record(const struct member_record *record, Parsleyspur__MemberRecord *out)
{
    parsleyspur__member_record__init(out);
    out->name = (char *)record->name;
    out->zone = (char *)record->zone;
    out->address = record->address;
    out->incarnation = record->incarnation;
    out->status = record->status;
    out->age_s = record->age_s;
    out->flags = (record->leaving ? FLAG_LEAVING : 0) |
                 (record->entry ? FLAG_ENTRY : 0) |
                 (record->control ? FLAG_CONTROL : 0);
}

/* Append MESSAGE's bytes to OUT: at most MEMBER_DATAGRAM_MAX of them. */
void
member_wire_pack(const struct member_message *message, GByteArray *out)
{
    Parsleyspur__MemberMessage wire = PARSLEYSPUR__MEMBER_MESSAGE__INIT;
    Parsleyspur__MemberRecord records[MEMBER_RECORDS_MAX];
    Parsleyspur__MemberRecord *record_list[MEMBER_RECORDS_MAX];
    Parsleyspur__MemberStamp stamps[MEMBER_STAMPS_MAX];
    Parsleyspur__MemberStamp *stamp_list[MEMBER_STAMPS_MAX];
    size_t start = out->len;

    wire.kind = message->kind;
    wire.cluster = message->cluster;
    wire.seq = message->seq;
    wire.from = message->from.value;
    wire.target = message->target.value;
    wire.target_address = message->target_address;
    wire.digest = message->digest;
    wire.buckets = message->buckets;
    wire.first = message->first;
    wire.last = message->last;
    for (size_t i = 0; i < message->record_count; i++) {
        fill_record(&message->records[i], &records[i]);
        record_list[i] = &records[i];
    }
    wire.n_records = message->record_count;
    wire.records = record_list;
    for (size_t i = 0; i < message->stamp_count; i++) {
        parsleyspur__member_stamp__init(&stamps[i]);
        stamps[i].id = message->stamps[i].id.value;
        stamps[i].incarnation = message->stamps[i].incarnation;
        stamps[i].status = message->stamps[i].status;
        stamp_list[i] = &stamps[i];
    }
    wire.n_stamps = message->stamp_count;
    wire.stamps = stamp_list;
    if (message->kind == MEMBER_DIGESTS) {
        wire.n_digests = MEMBER_BUCKETS;
        wire.digests = (uint64_t *)message->digests;
    }
    g_byte_array_set_size(
        out,
        (guint)(start + parsleyspur__member_message__get_packed_size(&wire)));
    parsleyspur__member_message__pack(&wire, out->data + start);
}

static bool
read_record(const Parsleyspur__MemberRecord *wire, struct member_record *out)
{
    if (wire->name[0] == '\0' || strlen(wire->name) >= VIEW_NAME_MAX ||
        strlen(wire->zone) >= VIEW_NAME_MAX ||
        wire->status >= MEMBER_STATUS__MAX) {
        return false;
    }
    g_strlcpy(out->name, wire->name, VIEW_NAME_MAX);
    g_strlcpy(out->zone, wire->zone, VIEW_NAME_MAX);
    out->address = wire->address;
    out->incarnation = wire->incarnation;
    out->status = (enum member_status)wire->status;
    out->age_s = wire->age_s;
    out->leaving = (wire->flags & FLAG_LEAVING) != 0;
    out->entry = (wire->flags & FLAG_ENTRY) != 0;
    out->control = (wire->flags & FLAG_CONTROL) != 0;
    return true;
}

static bool
read_message(const Parsleyspur__MemberMessage *wire,
             struct member_message *out)
{
    if (wire->kind >= MEMBER_MESSAGE__MAX ||
        wire->n_records > MEMBER_RECORDS_MAX ||
        wire->n_stamps > MEMBER_STAMPS_MAX ||
        (wire->kind == MEMBER_DIGESTS && wire->n_digests != MEMBER_BUCKETS)) {
        return false;
    }
    out->kind = (enum member_message_kind)wire->kind;
    out->cluster = wire->cluster;
    out->seq = wire->seq;
    out->from.value = wire->from;
    out->target.value = wire->target;
    out->target_address = wire->target_address;
    out->digest = wire->digest;
    out->buckets = wire->buckets;
    out->first = wire->first;
    out->last = wire->last;
    out->record_count = wire->n_records;
    for (size_t i = 0; i < wire->n_records; i++) {
        if (!read_record(wire->records[i], &out->records[i])) {
            return false;
        }
    }
    out->stamp_count = wire->n_stamps;
    for (size_t i = 0; i < wire->n_stamps; i++) {
        if (wire->stamps[i]->status >= MEMBER_STATUS__MAX) {
            return false;
        }
        out->stamps[i].id.value = wire->stamps[i]->id;
        out->stamps[i].incarnation = wire->stamps[i]->incarnation;
        out->stamps[i].status = (enum member_status)wire->stamps[i]->status;
    }
    if (wire->kind == MEMBER_DIGESTS) {
        memcpy(out->digests, wire->digests, sizeof(out->digests));
    }
    return true;
}

/* Read LEN bytes into OUT; false if they are malformed or out of range. */
bool
member_wire_unpack(const uint8_t *data, size_t len, struct member_message *out)
{
    Parsleyspur__MemberMessage *wire;
    bool valid;

    if (len > MEMBER_DATAGRAM_MAX) {
        return false;
    }
    wire = parsleyspur__member_message__unpack(NULL, len, data);
    if (wire == NULL) {
        return false;
    }
    memset(out, 0, sizeof(*out));
    valid = read_message(wire, out);
    parsleyspur__member_message__free_unpacked(wire, NULL);
    return valid;
}
