/* The data folder: opening, writing, and clearing away what is covered. */
#include "quorum/storage.h"

#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <sys/statvfs.h>
#include <unistd.h>

#include "base/err.h"
#include "quorum/storage_file.h"

#define SEGMENT_BYTES (4U << 20)
#define RESERVE_BYTES (16U << 20)

static void add_frames(struct storage *, const struct quorum_record *, size_t,
                       GByteArray *);
static void clear_covered(struct storage *, uint64_t snapshot);
static bool give_up(struct storage *, GError **, const char *);
static struct storage_segment *last_segment(struct storage *);
static bool lock_folder(struct storage *, GError **);
static bool mark_snapshot(struct storage *, const struct quorum_stored *,
                          GError **);
static int system_sync(void *, int);
static ssize_t system_write(void *, int, const void *, size_t);
static bool write_frames(struct storage *, const struct quorum_record *,
                         size_t, GError **);
static bool write_run(struct storage *, const struct quorum_record *, size_t,
                      GError **);

static const struct storage_io system_io = {
    .write = system_write,
    .sync = system_sync,
};

static ssize_t
system_write(void *data, int fd, const void *bytes, size_t len)
{
    (void)data;
    return write(fd, bytes, len);
}

static int
system_sync(void *data, int fd)
{
    (void)data;
    return fdatasync(fd);
}

/* Open the folder and hold it against other processes. */
static bool
lock_folder(struct storage *storage, GError **error)
{
    if (mkdir(storage->path, 0700) != 0 && errno != EEXIST) {
        return storage_fail(storage, error, "make", "");
    }
    storage->folder = open(storage->path, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (storage->folder < 0) {
        return storage_fail(storage, error, "open", "");
    }
    storage->lock =
        openat(storage->folder, "LOCK", O_CREAT | O_RDWR | O_CLOEXEC, 0600);
    if (storage->lock < 0) {
        return storage_fail(storage, error, "open", "LOCK");
    }
    if (flock(storage->lock, LOCK_EX | LOCK_NB) == 0) {
        return true;
    }
    g_set_error(error, ERR_DOMAIN, ERR_STORAGE,
                "the data folder %s is held by another process; stop that "
                "one, or give each daemon a data folder of its own",
                storage->path);
    return false;
}

/*
 * Open the data folder and fill STORED, which the caller has not initialized
 * and clears in any case, with what it holds.  NULL with an error naming the
 * remedy if the folder cannot be used, is held by another process, or is
 * damaged other than by a write that was cut off.
 */
struct storage *
storage_open(const struct storage_options *options,
             struct quorum_stored *stored, struct storage_report *report,
             GError **error)
{
    struct storage *storage = g_new0(struct storage, 1);

    memset(report, 0, sizeof(*report));
    quorum_stored_init(stored);
    storage->folder = -1;
    storage->lock = -1;
    storage->file = -1;
    storage->path = g_strdup(options->folder);
    storage->segment_bytes =
        options->segment_bytes != 0 ? options->segment_bytes : SEGMENT_BYTES;
    storage->reserve_bytes =
        options->reserve_bytes != 0 ? options->reserve_bytes : RESERVE_BYTES;
    storage->io = options->io != NULL ? *options->io : system_io;
    storage->segments =
        g_array_new(FALSE, FALSE, sizeof(struct storage_segment));
    storage->snapshots = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    if (lock_folder(storage, error) &&
        storage_recover(storage, stored, report, error) &&
        mark_snapshot(storage, stored, error)) {
        return storage;
    }
    storage_close(storage);
    return NULL;
}

/* Let go of the data folder; NULL is allowed. */
void
storage_close(struct storage *storage)
{
    if (storage == NULL) {
        return;
    }
    if (storage->file >= 0) {
        close(storage->file);
    }
    if (storage->lock >= 0) {
        close(storage->lock);
    }
    if (storage->folder >= 0) {
        close(storage->folder);
    }
    g_array_unref(storage->segments);
    g_array_unref(storage->snapshots);
    g_free(storage->path);
    g_free(storage);
}

/* Append the frames of RECORDS, which will be written next, to BYTES. */
static void
add_frames(struct storage *storage, const struct quorum_record *records,
           size_t count, GByteArray *bytes)
{
    struct storage_segment *segment = last_segment(storage);

    for (size_t i = 0; i < count; i++) {
        const struct quorum_record *record = &records[i];

        switch (record->kind) {
        case QUORUM_RECORD_HARD:
            storage->hard = record->u.hard;
            break;
        case QUORUM_RECORD_ENTRY:
            segment->last_entry =
                MAX(segment->last_entry, record->u.entry->index);
            break;
        case QUORUM_RECORD_SNAPSHOT:
        case QUORUM_RECORD__MAX:
            break;
        }
        storage_frame_add(bytes, segment->sequence,
                          storage->offset + bytes->len, storage->offset,
                          record);
    }
}

/* The segment that is written to. */
static struct storage_segment *
last_segment(struct storage *storage)
{
    return &g_array_index(storage->segments, struct storage_segment,
                          storage->segments->len - 1);
}

/*
 * After an error nothing more is written.  What was not synced is cut off,
 * since the system may hold it in memory as if it were stored.
 */
static bool
give_up(struct storage *storage, GError **error, const char *what)
{
    char name[STORAGE_NAME_MAX];

    storage->failed = true;
    if (what != NULL) {
        storage_segment_name(g_array_index(storage->segments,
                                           struct storage_segment,
                                           storage->segments->len - 1)
                                 .sequence,
                             name);
        storage_fail(storage, error, what, name);
    }
    if (storage->file >= 0 &&
        ftruncate(storage->file, (off_t)storage->offset) != 0) {
        return false; /* opening again cuts it off as a torn tail */
    }
    return false;
}

/* Write the frames of RECORDS to the segment and sync it. */
static bool
write_frames(struct storage *storage, const struct quorum_record *records,
             size_t count, GError **error)
{
    GByteArray *bytes = g_byte_array_new();
    bool done = true;

    add_frames(storage, records, count, bytes);
    if (!storage_write_all(storage, storage->file, bytes->data, bytes->len)) {
        done = give_up(storage, error, "write");
    }
    else if (storage->io.sync(storage->io.data, storage->file) != 0) {
        done = give_up(storage, error, "sync");
    }
    else {
        storage->offset += bytes->len;
    }
    g_byte_array_unref(bytes);
    return done;
}

/* Store RECORDS; a snapshot may only be the first, and gets its file before. */
static bool
write_run(struct storage *storage, const struct quorum_record *records,
          size_t count, GError **error)
{
    const struct quorum_snapshot *snapshot =
        records[0].kind == QUORUM_RECORD_SNAPSHOT ? records[0].u.snapshot
                                                  : NULL;

    if (snapshot != NULL &&
        !storage_snapshot_write(storage, snapshot, error)) {
        return give_up(storage, error, NULL);
    }
    if (!write_frames(storage, records, count, error)) {
        return false;
    }
    if (snapshot != NULL) {
        clear_covered(storage, snapshot->index);
    }
    return true;
}

/*
 * A crash may have left a snapshot's file without its mark in the log.  Then
 * the mark is made up for, or entries behind it would later be taken for the
 * continuation of those that the snapshot replaced.
 */
static bool
mark_snapshot(struct storage *storage, const struct quorum_stored *stored,
              GError **error)
{
    struct quorum_record record = {
        .kind = QUORUM_RECORD_SNAPSHOT,
        .u.snapshot = stored->snapshot,
    };

    if (stored->snapshot == NULL ||
        storage->marked >= stored->snapshot->index) {
        return true;
    }
    return write_frames(storage, &record, 1, error);
}

/*
 * Store RECORDS in order.  True once all of them last; otherwise some first
 * part of them may.  After an error no call succeeds again: close, open
 * again, and go on from what that finds.
 */
bool
storage_write(struct storage *storage, const struct quorum_record *records,
              size_t count, GError **error)
{
    size_t start = 0;

    if (storage->failed) {
        g_set_error(error, ERR_DOMAIN, ERR_STORAGE,
                    "the log in %s had a write error; it must be opened "
                    "again",
                    storage->path);
        return false;
    }
    if (storage->offset >= storage->segment_bytes &&
        !storage_segment_open(storage, last_segment(storage)->sequence + 1,
                              error)) {
        storage->failed = true;
        return false;
    }
    for (size_t i = 1; i <= count; i++) {
        if (i < count && records[i].kind != QUORUM_RECORD_SNAPSHOT) {
            continue;
        }
        if (!write_run(storage, records + start, i - start, error)) {
            return false;
        }
        start = i;
    }
    return true;
}

/*
 * Remove the files that the stored SNAPSHOT makes needless.
 * That it fails is no error: opening passes over such files.
 */
static void
clear_covered(struct storage *storage, uint64_t snapshot)
{
    GArray *segments = storage->segments;
    char name[STORAGE_NAME_MAX];

    if (snapshot <= storage->snapshot) {
        return;
    }
    if (storage->snapshot != 0) {
        storage_snapshot_name(storage->snapshot, name);
        unlinkat(storage->folder, name, 0);
    }
    storage->snapshot = snapshot;
    while (segments->len > 1) {
        const struct storage_segment *first =
            &g_array_index(segments, struct storage_segment, 0);

        if (first->last_entry > snapshot) {
            break;
        }
        storage_segment_name(first->sequence, name);
        if (unlinkat(storage->folder, name, 0) != 0) {
            break;
        }
        g_array_remove_index(segments, 0);
    }
}

/* True if the folder's disk has less space left than the reserve. */
bool
storage_space_low(const struct storage *storage)
{
    struct statvfs space;

    if (fstatvfs(storage->folder, &space) != 0) {
        return false;
    }
    return (uint64_t)space.f_bavail * space.f_frsize < storage->reserve_bytes;
}

/* True after a write error: nothing more can be written. */
bool
storage_failed(const struct storage *storage)
{
    return storage->failed;
}
