/*
 * Segments: a header, then records.  A frame is 24 bytes, little-endian:
 * payload length (4), zero (4), offset up to which the segment was synced
 * when it was written (8), checksum (8); then the payload, padded to 8.
 */
#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#include "base/err.h"
#include "base/hash.h"
#include "peer/quorum_wire.h"
#include "quorum/storage_file.h"

#define FRAME_BYTES   24
#define FRAME_ALIGN   8
#define SEGMENT_MAGIC "PSQLOG1\n"

static uint64_t checksum(uint64_t sequence, uint64_t offset, uint64_t synced,
                         const uint8_t *, size_t);
static bool corrupt(struct storage *, GError **, const char *, size_t);
static bool cut_tail(struct storage *, const char *, size_t, size_t,
                     struct storage_report *, GError **);
static bool follows_synced(const uint8_t *, size_t, uint64_t, size_t);
static uint64_t read_u64(const uint8_t *);
static bool take_frame(struct storage *, const struct storage_frame *,
                       struct storage_segment *, struct quorum_stored *);
static void write_u64(uint8_t *, uint64_t);

static uint64_t
read_u64(const uint8_t *at)
{
    uint64_t value;

    memcpy(&value, at, sizeof(value));
    return GUINT64_FROM_LE(value);
}

static void
write_u64(uint8_t *at, uint64_t value)
{
    value = GUINT64_TO_LE(value);
    memcpy(at, &value, sizeof(value));
}

/* Fill NAME, of STORAGE_NAME_MAX bytes, with the file name of a segment. */
void
storage_segment_name(uint64_t sequence, char *name)
{
    g_snprintf(name, STORAGE_NAME_MAX, "log-%016" G_GINT64_MODIFIER "x",
               sequence);
}

/* Append the header of a segment to OUT. */
void
storage_segment_header(uint64_t sequence, GByteArray *out)
{
    uint8_t header[STORAGE_SEGMENT_FIRST] = SEGMENT_MAGIC;

    write_u64(header + 8, sequence);
    write_u64(header + 24, hash_bytes(header, 24, 0));
    g_byte_array_append(out, header, sizeof(header));
}

/* The place is part of the sum, so that an old block is no record. */
static uint64_t
checksum(uint64_t sequence, uint64_t offset, uint64_t synced,
         const uint8_t *payload, size_t len)
{
    uint64_t place = hash_pair(sequence, offset);

    return hash_bytes(payload, len, hash_pair(place, hash_pair(synced, len)));
}

/*
 * Append the frame of RECORD, which will stand at OFFSET of segment SEQUENCE;
 * the segment is synced up to SYNCED.
 */
void
storage_frame_add(GByteArray *out, uint64_t sequence, uint64_t offset,
                  uint64_t synced, const struct quorum_record *record)
{
    static const uint8_t zeros[FRAME_BYTES];
    guint start = out->len;
    uint8_t *frame;
    guint len;

    g_byte_array_append(out, zeros, FRAME_BYTES);
    quorum_wire_pack_record(record, out);
    len = out->len - start - FRAME_BYTES;
    frame = out->data + start;
    write_u64(frame, len);
    write_u64(frame + 8, synced);
    write_u64(frame + 16,
              checksum(sequence, offset, synced, frame + FRAME_BYTES, len));
    g_byte_array_append(out, zeros,
                        (FRAME_ALIGN - len % FRAME_ALIGN) % FRAME_ALIGN);
}

/* Fill FRAME with the record at AT; false if there is no whole valid one. */
bool
storage_frame_at(const uint8_t *data, size_t size, uint64_t sequence,
                 size_t at, struct storage_frame *frame)
{
    uint64_t len;

    if (size < FRAME_BYTES || at > size - FRAME_BYTES) {
        return false;
    }
    len = read_u64(data + at);
    if (len == 0 || len > STORAGE_FRAME_MAX || len > size - at - FRAME_BYTES) {
        return false;
    }
    frame->payload = data + at + FRAME_BYTES;
    frame->len = (size_t)len;
    frame->synced = read_u64(data + at + 8);
    frame->end =
        at + FRAME_BYTES + (len + FRAME_ALIGN - 1) / FRAME_ALIGN * FRAME_ALIGN;
    return frame->end <= size &&
           checksum(sequence, at, frame->synced, frame->payload, frame->len) ==
               read_u64(data + at + 16);
}

/*
 * Make segment SEQUENCE, with the hard state as its first record, and write
 * to it from now on.  Older segments can then be removed without loss.
 */
bool
storage_segment_open(struct storage *storage, uint64_t sequence,
                     GError **error)
{
    struct quorum_record hard = {
        .kind = QUORUM_RECORD_HARD,
        .u.hard = storage->hard,
    };
    struct storage_segment segment = {.sequence = sequence};
    GByteArray *bytes = g_byte_array_new();
    char name[STORAGE_NAME_MAX];
    bool done;

    storage_segment_name(sequence, name);
    storage_segment_header(sequence, bytes);
    if (storage->hard.store != 0) {
        storage_frame_add(bytes, sequence, bytes->len, 0, &hard);
    }
    if (storage->file >= 0) {
        close(storage->file);
    }
    storage->file = openat(storage->folder, name,
                           O_CREAT | O_TRUNC | O_WRONLY | O_CLOEXEC, 0600);
    done =
        storage->file >= 0 &&
        storage_write_all(storage, storage->file, bytes->data, bytes->len) &&
        storage->io.sync(storage->io.data, storage->file) == 0 &&
        storage_sync_folder(storage);
    if (done) {
        storage->offset = bytes->len;
        g_array_append_val(storage->segments, segment);
    }
    else {
        storage_fail(storage, error, "make", name);
    }
    g_byte_array_unref(bytes);
    return done;
}

static bool
corrupt(struct storage *storage, GError **error, const char *name, size_t at)
{
    g_set_error(error, ERR_DOMAIN, ERR_CORRUPT,
                "%s/%s is damaged at byte %zu, before records that were "
                "answered for; move the data folder away and start with an "
                "empty one: the other voters will fill it",
                storage->path, name, at);
    return false;
}

/*
 * True if a valid record behind the damage says that the segment had been
 * synced past it: then it is no write that was cut off.
 */
static bool
follows_synced(const uint8_t *data, size_t size, uint64_t sequence,
               size_t damage)
{
    struct storage_frame frame;
    size_t at = damage;

    for (; at + FRAME_BYTES <= size; at += FRAME_ALIGN) {
        if (storage_frame_at(data, size, sequence, at, &frame) &&
            frame.synced > damage) {
            return true;
        }
    }
    return false;
}

/* Cut the segment called NAME off at AT, where a write was cut off. */
static bool
cut_tail(struct storage *storage, const char *name, size_t at, size_t size,
         struct storage_report *report, GError **error)
{
    int fd = openat(storage->folder, name, O_WRONLY | O_CLOEXEC);
    bool done = fd >= 0 && ftruncate(fd, (off_t)at) == 0 &&
                storage->io.sync(storage->io.data, fd) == 0;

    if (!done) {
        storage_fail(storage, error, "shorten", name);
    }
    if (fd >= 0) {
        close(fd);
    }
    report->torn_bytes += size - at;
    g_strlcpy(report->torn_file, name, sizeof(report->torn_file));
    return done;
}

static bool
take_frame(struct storage *storage, const struct storage_frame *frame,
           struct storage_segment *segment, struct quorum_stored *stored)
{
    struct quorum_record record;
    uint64_t size;

    if (!quorum_wire_unpack_record(frame->payload, frame->len, &record,
                                   &size)) {
        return false;
    }
    switch (record.kind) {
    case QUORUM_RECORD_HARD:
        stored->hard = record.u.hard;
        break;
    case QUORUM_RECORD_ENTRY:
        segment->last_entry = MAX(segment->last_entry, record.u.entry->index);
        quorum_stored_take(stored, &record);
        break;
    case QUORUM_RECORD_SNAPSHOT:
        storage->marked = MAX(storage->marked, record.u.snapshot->index);
        quorum_stored_settle(stored, record.u.snapshot->index,
                             record.u.snapshot->term);
        break;
    case QUORUM_RECORD__MAX:
        break;
    }
    quorum_record_clear(&record);
    return true;
}

/*
 * Read SEGMENT's records into STORED.  In the last segment a torn tail is
 * cut off and told; any other damage is an error.
 */
bool
storage_segment_read(struct storage *storage, struct storage_segment *segment,
                     bool is_last, struct quorum_stored *stored,
                     struct storage_report *report, GError **error)
{
    GByteArray *bytes = g_byte_array_new();
    GByteArray *header = g_byte_array_new();
    struct storage_frame frame;
    char name[STORAGE_NAME_MAX];
    size_t at = 0;
    bool unknown = false; /* a record of another release */
    bool done;

    storage_segment_name(segment->sequence, name);
    storage_segment_header(segment->sequence, header);
    done = storage_read_file(storage, name, bytes, error);
    if (done && bytes->len >= header->len &&
        memcmp(bytes->data, header->data, header->len) == 0) {
        at = header->len;
        while (storage_frame_at(bytes->data, bytes->len, segment->sequence, at,
                                &frame)) {
            if (!take_frame(storage, &frame, segment, stored)) {
                unknown = true;
                break;
            }
            report->records++;
            at = frame.end;
        }
    }
    if (done && at < bytes->len) {
        if (!is_last || unknown ||
            follows_synced(bytes->data, bytes->len, segment->sequence, at)) {
            done = corrupt(storage, error, name, at);
        }
        else {
            done = cut_tail(storage, name, at, bytes->len, report, error);
        }
    }
    storage->offset = at;
    g_byte_array_unref(header);
    g_byte_array_unref(bytes);
    return done;
}
