/* The data folder: opening, writing records, and removing covered files. */
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

#define SEGMENT_BYTES (4U << 20)  /* default of `segment_bytes` */
#define RESERVE_BYTES (16U << 20) /* default of `reserve_bytes` */

static void append_frames(struct storage *, const struct quorum_record *,
                          size_t, GByteArray *);
static void remove_covered_files(struct storage *, uint64_t snapshot);
static bool mark_failed(struct storage *, GError **, const char *);
static struct storage_segment *open_segment(struct storage *);
static bool open_and_lock_folder(struct storage *, GError **);
static bool add_missing_snapshot_record(struct storage *,
                                        const struct quorum_stored *,
                                        GError **);
static int system_sync(void *, int);
static ssize_t system_write(void *, int, const void *, size_t);
static bool write_frames(struct storage *, const struct quorum_record *,
                         size_t, GError **);
static bool write_batch(struct storage *, const struct quorum_record *, size_t,
                        GError **);

static const struct storage_io system_io = {
    .write = system_write,
    .sync = system_sync,
};

/* write() as struct storage_io needs it. */
static ssize_t
system_write(void *data, int fd, const void *bytes, size_t len)
{
    (void)data;
    return write(fd, bytes, len);
}

/* fdatasync() as struct storage_io needs it. */
static int
system_sync(void *data, int fd)
{
    (void)data;
    return fdatasync(fd);
}

/*
 * Create the folder if it is missing, open it, and lock it against use by
 * another process.  Return false with ERROR set if that fails.
 */
static bool
open_and_lock_folder(struct storage *storage, GError **error)
{
    if (mkdir(storage->path, 0700) != 0 && errno != EEXIST) {
        return storage_set_error(storage, error, "make", "");
    }
    storage->folder = open(storage->path, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (storage->folder < 0) {
        return storage_set_error(storage, error, "open", "");
    }
    storage->lock =
        openat(storage->folder, "LOCK", O_CREAT | O_RDWR | O_CLOEXEC, 0600);
    if (storage->lock < 0) {
        return storage_set_error(storage, error, "open", "LOCK");
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
 * Open the data folder and read it into STORED, which need not be initialized
 * and which the caller clears also after an error.  Return the storage, which
 * storage_close() frees.  Return NULL with an ERROR that names a remedy if the
 * folder cannot be used, is locked by another process, or has damage that an
 * incomplete last write does not explain.
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
    if (open_and_lock_folder(storage, error) &&
        storage_recover(storage, stored, report, error) &&
        add_missing_snapshot_record(storage, stored, error)) {
        return storage;
    }
    storage_close(storage);
    return NULL;
}

/* Unlock the data folder and free STORAGE; NULL is allowed. */
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

/*
 * Append the frames of RECORDS to BYTES, which will be written to the open
 * segment next.
 */
static void
append_frames(struct storage *storage, const struct quorum_record *records,
              size_t count, GByteArray *bytes)
{
    struct storage_segment *segment = open_segment(storage);

    for (size_t i = 0; i < count; i++) {
        const struct quorum_record *record = &records[i];

        switch (record->kind) {
        case QUORUM_RECORD_HARD_STATE:
            storage->hard_state = record->u.hard_state;
            break;
        case QUORUM_RECORD_ENTRY:
            segment->last_entry =
                MAX(segment->last_entry, record->u.entry->index);
            break;
        case QUORUM_RECORD_SNAPSHOT:
        case QUORUM_RECORD__MAX:
            break;
        }
        storage_frame_append(bytes, segment->sequence,
                             storage->offset + bytes->len, storage->offset,
                             record);
    }
}

/* Return the open segment, which records are appended to. */
static struct storage_segment *
open_segment(struct storage *storage)
{
    return &g_array_index(storage->segments, struct storage_segment,
                          storage->segments->len - 1);
}

/*
 * Note a failed write; nothing more is written after it.  Unsynced bytes are
 * cut off, because the kernel may return them from its cache as if they were
 * on the disk.  If WHAT is not NULL, set ERROR from errno.  Always return
 * false.
 */
static bool
mark_failed(struct storage *storage, GError **error, const char *what)
{
    char name[STORAGE_NAME_MAX];

    storage->failed = true;
    if (what != NULL) {
        storage_segment_name(g_array_index(storage->segments,
                                           struct storage_segment,
                                           storage->segments->len - 1)
                                 .sequence,
                             name);
        storage_set_error(storage, error, what, name);
    }
    if (storage->file >= 0 &&
        ftruncate(storage->file, (off_t)storage->offset) != 0) {
        return false; /* the next storage_open() cuts it off as a torn tail */
    }
    return false;
}

/* Write the frames of RECORDS to the open segment and sync it. */
static bool
write_frames(struct storage *storage, const struct quorum_record *records,
             size_t count, GError **error)
{
    GByteArray *bytes = g_byte_array_new();
    bool ok = true;

    append_frames(storage, records, count, bytes);
    if (!storage_write_all(storage, storage->file, bytes->data, bytes->len)) {
        ok = mark_failed(storage, error, "write");
    }
    else if (storage->io.sync(storage->io.data, storage->file) != 0) {
        ok = mark_failed(storage, error, "sync");
    }
    else {
        storage->offset += bytes->len;
    }
    g_byte_array_unref(bytes);
    return ok;
}

/*
 * Store RECORDS, of which only the first may be a snapshot.  The snapshot's
 * file is written before the record that names it.
 */
static bool
write_batch(struct storage *storage, const struct quorum_record *records,
            size_t count, GError **error)
{
    const struct quorum_snapshot *snapshot =
        records[0].kind == QUORUM_RECORD_SNAPSHOT ? records[0].u.snapshot
                                                  : NULL;

    if (snapshot != NULL &&
        !storage_snapshot_write(storage, snapshot, error)) {
        return mark_failed(storage, error, NULL);
    }
    if (!write_frames(storage, records, count, error)) {
        return false;
    }
    if (snapshot != NULL) {
        remove_covered_files(storage, snapshot->index);
    }
    return true;
}

/*
 * Write the record of the newest snapshot if the log lacks it.  A crash may
 * leave a snapshot file without its record.  Without the record, entries
 * written later would be read as the continuation of those that the snapshot
 * replaced.
 */
static bool
add_missing_snapshot_record(struct storage *storage,
                            const struct quorum_stored *stored, GError **error)
{
    struct quorum_record record = {
        .kind = QUORUM_RECORD_SNAPSHOT,
        .u.snapshot = stored->snapshot,
    };

    if (stored->snapshot == NULL ||
        storage->recorded_snapshot >= stored->snapshot->index) {
        return true;
    }
    return write_frames(storage, &record, 1, error);
}

/*
 * Store RECORDS in order.  Return true once all of them are on the disk.  On
 * error, return false with ERROR set; any prefix of them may be on the disk
 * then.  After an error no call succeeds any more: close STORAGE, open it
 * again, and continue from the state that is read.
 */
bool
storage_write(struct storage *storage, const struct quorum_record *records,
              size_t count, GError **error)
{
    size_t start = 0;

    if (storage->failed) {
        g_set_error(error, ERR_DOMAIN, ERR_STORAGE,
                    "the log in %s had a write error and must be opened "
                    "again",
                    storage->path);
        return false;
    }
    if (storage->offset >= storage->segment_bytes &&
        !storage_segment_open(storage, open_segment(storage)->sequence + 1,
                              error)) {
        storage->failed = true;
        return false;
    }
    for (size_t i = 1; i <= count; i++) {
        if (i < count && records[i].kind != QUORUM_RECORD_SNAPSHOT) {
            continue;
        }
        if (!write_batch(storage, records + start, i - start, error)) {
            return false;
        }
        start = i;
    }
    return true;
}

/*
 * Remove the older snapshot and the segments that the stored SNAPSHOT covers.
 * Each removal of a segment is synced before the next one: after a power loss
 * any of the removals that were not synced may be undone, and a segment that
 * came back before a gap would look like damage.  A failure is not an error,
 * because storage_open() ignores such files.
 */
static void
remove_covered_files(struct storage *storage, uint64_t snapshot)
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
        if (storage->removal_failed ||
            unlinkat(storage->folder, name, 0) != 0) {
            break;
        }
        g_array_remove_index(segments, 0);
        storage->removal_failed = !storage_sync_folder(storage);
    }
}

/* Return true if the folder's disk has less free space than the reserve. */
bool
storage_space_low(const struct storage *storage)
{
    struct statvfs space;

    if (fstatvfs(storage->folder, &space) != 0) {
        return false;
    }
    return (uint64_t)space.f_bavail * space.f_frsize < storage->reserve_bytes;
}

/* Return true after a write error; nothing more can be written. */
bool
storage_failed(const struct storage *storage)
{
    return storage->failed;
}
