/*
 * Segment files: a header, then one frame per record.  A frame begins with 24
 * bytes, little-endian: payload length (4), zero (4), offset up to which the
 * segment was synced when the frame was written (8), checksum (8).  The
 * payload follows, padded to a multiple of 8 bytes.
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
static bool set_corrupt_error(struct storage *, GError **, const char *,
                              size_t);
static bool truncate_tail(struct storage *, const char *, size_t, size_t,
                          struct storage_report *, GError **);
static bool has_synced_record_after(const uint8_t *, size_t, uint64_t, size_t);
static uint64_t read_u64(const uint8_t *);
static bool apply_frame(struct storage *, const struct storage_frame *,
                        struct storage_segment *, struct quorum_stored *);
static void write_u64(uint8_t *, uint64_t);

/* Return the little-endian number at AT. */
static uint64_t
read_u64(const uint8_t *at)
{
    uint64_t value;

    memcpy(&value, at, sizeof(value));
    return GUINT64_FROM_LE(value);
}

/* Write VALUE to AT in little-endian order. */
static void
write_u64(uint8_t *at, uint64_t value)
{
    value = GUINT64_TO_LE(value);
    memcpy(at, &value, sizeof(value));
}

/* Set NAME, of STORAGE_NAME_MAX bytes, to the file name of a segment. */
void
storage_segment_name(uint64_t sequence, char *name)
{
    g_snprintf(name, STORAGE_NAME_MAX, "log-%016" G_GINT64_MODIFIER "x",
               sequence);
}

/* Append the header of segment SEQUENCE to OUT. */
void
storage_segment_add_header(uint64_t sequence, GByteArray *out)
{
    uint8_t header[STORAGE_SEGMENT_FIRST] = SEGMENT_MAGIC;

    write_u64(header + 8, sequence);
    write_u64(header + 24, hash_bytes(header, 24, 0));
    g_byte_array_append(out, header, sizeof(header));
}

/*
 * Return the checksum of a frame.  It includes the segment and the offset, so
 * that an old disk block at another position is not taken for a record.
 */
static uint64_t
checksum(uint64_t sequence, uint64_t offset, uint64_t synced,
         const uint8_t *payload, size_t len)
{
    uint64_t position = hash_pair(sequence, offset);

    return hash_bytes(payload, len,
                      hash_pair(position, hash_pair(synced, len)));
}

/*
 * Append the frame of RECORD to OUT.  It will be written at OFFSET of segment
 * SEQUENCE, which is synced up to SYNCED.
 */
void
storage_frame_append(GByteArray *out, uint64_t sequence, uint64_t offset,
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

/*
 * Set FRAME to the frame at offset AT of the SIZE bytes at DATA.  Return false
 * if there is no complete frame with a valid checksum.
 */
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
 * Create segment SEQUENCE and make it the open one.  Its first record is the
 * hard state, if there is one yet, so that older segments can be removed
 * without losing it.  Return false with ERROR set if that fails.
 */
bool
storage_segment_open(struct storage *storage, uint64_t sequence,
                     GError **error)
{
    struct quorum_record hard = {
        .kind = QUORUM_RECORD_HARD_STATE,
        .u.hard_state = storage->hard_state,
    };
    struct storage_segment segment = {.sequence = sequence};
    GByteArray *bytes = g_byte_array_new();
    char name[STORAGE_NAME_MAX];
    bool ok;

    storage_segment_name(sequence, name);
    storage_segment_add_header(sequence, bytes);
    if (storage->hard_state.store != 0) {
        storage_frame_append(bytes, sequence, bytes->len, 0, &hard);
    }
    if (storage->file >= 0) {
        close(storage->file);
    }
    storage->file = openat(storage->folder, name,
                           O_CREAT | O_TRUNC | O_WRONLY | O_CLOEXEC, 0600);
    ok = storage->file >= 0 &&
         storage_write_all(storage, storage->file, bytes->data, bytes->len) &&
         storage->io.sync(storage->io.data, storage->file) == 0 &&
         storage_sync_folder(storage);
    if (ok) {
        storage->offset = bytes->len;
        g_array_append_val(storage->segments, segment);
    }
    else {
        storage_set_error(storage, error, "make", name);
    }
    g_byte_array_unref(bytes);
    return ok;
}

/* Set ERROR for damage at offset AT of the segment NAME.  Return false. */
static bool
set_corrupt_error(struct storage *storage, GError **error, const char *name,
                  size_t at)
{
    g_set_error(error, ERR_DOMAIN, ERR_CORRUPT,
                "%s/%s is damaged at byte %zu, before records that were "
                "acknowledged; move the data folder away and start with an "
                "empty one: the other voters will fill it",
                storage->path, name, at);
    return false;
}

/*
 * Return true if a valid frame after offset DAMAGE states that the segment was
 * synced beyond it.  The damage is then not an incomplete write.
 */
static bool
has_synced_record_after(const uint8_t *data, size_t size, uint64_t sequence,
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

/*
 * Truncate the segment NAME at offset AT, where an incomplete write begins,
 * and add the removed bytes to REPORT.
 */
static bool
truncate_tail(struct storage *storage, const char *name, size_t at,
              size_t size, struct storage_report *report, GError **error)
{
    int fd = openat(storage->folder, name, O_WRONLY | O_CLOEXEC);
    bool ok = fd >= 0 && ftruncate(fd, (off_t)at) == 0 &&
              storage->io.sync(storage->io.data, fd) == 0;

    if (!ok) {
        storage_set_error(storage, error, "shorten", name);
    }
    if (fd >= 0) {
        close(fd);
    }
    report->torn_bytes += size - at;
    g_strlcpy(report->torn_file, name, sizeof(report->torn_file));
    return ok;
}

/*
 * Apply the record in FRAME to STORED.  Return false if it cannot be decoded.
 * A snapshot's data is in its own file, so only its position is used here.
 */
static bool
apply_frame(struct storage *storage, const struct storage_frame *frame,
            struct storage_segment *segment, struct quorum_stored *stored)
{
    struct quorum_record record;
    uint64_t size;

    if (!quorum_wire_unpack_record(frame->payload, frame->len, &record,
                                   &size)) {
        return false;
    }
    switch (record.kind) {
    case QUORUM_RECORD_HARD_STATE:
        stored->hard_state = record.u.hard_state;
        break;
    case QUORUM_RECORD_ENTRY:
        segment->last_entry = MAX(segment->last_entry, record.u.entry->index);
        quorum_stored_apply(stored, &record);
        break;
    case QUORUM_RECORD_SNAPSHOT:
        storage->recorded_snapshot =
            MAX(storage->recorded_snapshot, record.u.snapshot->index);
        quorum_stored_drop_covered(stored, record.u.snapshot->index,
                                   record.u.snapshot->term);
        break;
    case QUORUM_RECORD__MAX:
        break;
    }
    quorum_record_clear(&record);
    return true;
}

/*
 * Read the records of SEGMENT into STORED.  In the last segment an incomplete
 * write at the end is removed and added to REPORT.  Any other damage is an
 * error: return false with ERROR set.
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
    bool unreadable = false; /* valid, but written by another release */
    bool ok;

    storage_segment_name(segment->sequence, name);
    storage_segment_add_header(segment->sequence, header);
    ok = storage_read_file(storage, name, bytes, error);
    if (ok && bytes->len >= header->len &&
        memcmp(bytes->data, header->data, header->len) == 0) {
        at = header->len;
        while (storage_frame_at(bytes->data, bytes->len, segment->sequence, at,
                                &frame)) {
            if (!apply_frame(storage, &frame, segment, stored)) {
                unreadable = true;
                break;
            }
            report->records++;
            at = frame.end;
        }
    }
    if (ok && at < bytes->len) {
        if (!is_last || unreadable ||
            has_synced_record_after(bytes->data, bytes->len, segment->sequence,
                                    at)) {
            ok = set_corrupt_error(storage, error, name, at);
        }
        else {
            ok = truncate_tail(storage, name, at, bytes->len, report, error);
        }
    }
    storage->offset = at;
    g_byte_array_unref(header);
    g_byte_array_unref(bytes);
    return ok;
}
