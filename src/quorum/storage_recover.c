/* Recovery: reads the files of the data folder into one state. */
#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/err.h"
#include "quorum/storage_file.h"

static gint compare_segments(gconstpointer, gconstpointer);
static bool check_complete(struct storage *, const struct quorum_stored *,
                           GError **);
static bool list_files(struct storage *, GError **);
static void add_file(struct storage *, const char *);
static void remove_old_snapshots(struct storage *);
static bool open_last_segment(struct storage *, GError **);
static bool parse_number(const char *, const char *prefix, uint64_t *);
static bool read_segments(struct storage *, struct quorum_stored *,
                          struct storage_report *, GError **);

/* Compare two segments by sequence number. */
static gint
compare_segments(gconstpointer a, gconstpointer b)
{
    const struct storage_segment *x = a;
    const struct storage_segment *y = b;

    return x->sequence < y->sequence ? -1 : x->sequence > y->sequence;
}

/*
 * Set NUMBER from NAME, which must be PREFIX and 16 hexadecimal digits.
 * Return false if it is not.
 */
static bool
parse_number(const char *name, const char *prefix, uint64_t *number)
{
    char *end;

    if (!g_str_has_prefix(name, prefix)) {
        return false;
    }
    name += strlen(prefix);
    *number = g_ascii_strtoull(name, &end, 16);
    return strlen(name) == 16 && *end == '\0';
}

/* If NAME is that of a segment or a snapshot, add it to STORAGE's list. */
static void
add_file(struct storage *storage, const char *name)
{
    struct storage_segment segment = {0};
    uint64_t index;

    if (parse_number(name, "log-", &segment.sequence)) {
        g_array_append_val(storage->segments, segment);
    }
    else if (parse_number(name, "snapshot-", &index)) {
        storage->snapshot = MAX(storage->snapshot, index);
        g_array_append_val(storage->snapshots, index);
    }
}

/* List the segments, in ascending order, and the snapshots of the folder. */
static bool
list_files(struct storage *storage, GError **error)
{
    int fd = openat(storage->folder, ".", O_RDONLY | O_CLOEXEC);
    DIR *folder = fd >= 0 ? fdopendir(fd) : NULL;
    const struct dirent *item;

    if (folder == NULL) {
        return storage_set_error(storage, error, "list", ".");
    }
    while ((item = readdir(folder)) != NULL) {
        add_file(storage, item->d_name);
    }
    closedir(folder);
    g_array_sort(storage->segments, compare_segments);
    return true;
}

/*
 * Read all segments into STORED.  A last segment without a record is removed:
 * a crash interrupted its creation.  If it stayed without a hard state, the
 * older segments could never be removed.
 */
static bool
read_segments(struct storage *storage, struct quorum_stored *stored,
              struct storage_report *report, GError **error)
{
    GArray *segments = storage->segments;
    char name[STORAGE_NAME_MAX];
    uint64_t previous_end = 0; /* end of the last segment but one */

    for (guint i = 0; i < segments->len; i++) {
        struct storage_segment *segment =
            &g_array_index(segments, struct storage_segment, i);
        bool is_last = i + 1 == segments->len;

        if (i > 0 && segment->sequence != segment[-1].sequence + 1) {
            storage_segment_name(segment[-1].sequence + 1, name);
            g_set_error(error, ERR_DOMAIN, ERR_CORRUPT,
                        "%s/%s is missing; put it back, or move the data "
                        "folder away and start with an empty one: the other "
                        "voters will fill it",
                        storage->path, name);
            return false;
        }
        previous_end = storage->offset;
        if (!storage_segment_read(storage, segment, is_last, stored, report,
                                  error)) {
            return false;
        }
        report->segments++;
    }
    if (segments->len > 0 && storage->offset <= STORAGE_SEGMENT_FIRST) {
        storage_segment_name(
            g_array_index(segments, struct storage_segment, segments->len - 1)
                .sequence,
            name);
        unlinkat(storage->folder, name, 0);
        g_array_set_size(segments, segments->len - 1);
        report->segments--;
        storage->offset = previous_end;
    }
    return true;
}

/*
 * Return true if no file is missing: the entries start after the snapshot, no
 * newer snapshot is recorded, and there is a hard state.  Otherwise return
 * false with ERROR set.
 */
static bool
check_complete(struct storage *storage, const struct quorum_stored *stored,
               GError **error)
{
    uint64_t base = stored->snapshot != NULL ? stored->snapshot->index : 0;
    const struct quorum_entry *first =
        stored->entries->len > 0 ? stored->entries->pdata[0] : NULL;

    if (base >= storage->recorded_snapshot &&
        (first == NULL || first->index == base + 1) &&
        (stored->hard_state.store != 0 || (base == 0 && first == NULL))) {
        return true;
    }
    g_set_error(error, ERR_DOMAIN, ERR_CORRUPT,
                "the log in %s does not go on from entry %" G_GUINT64_FORMAT
                ": a file is missing; move the data folder away and start "
                "with an empty one: the other voters will fill it",
                storage->path, base);
    return false;
}

/*
 * Open the last segment for appending and sync it, so that everything read
 * from it is on the disk.  If there is no segment, create the first one.
 */
static bool
open_last_segment(struct storage *storage, GError **error)
{
    const struct storage_segment *last;
    char name[STORAGE_NAME_MAX];
    uint64_t sequence = 1;

    if (storage->segments->len == 0) {
        return storage_segment_open(storage, sequence, error);
    }
    last = &g_array_index(storage->segments, struct storage_segment,
                          storage->segments->len - 1);
    storage_segment_name(last->sequence, name);
    storage->file =
        openat(storage->folder, name, O_WRONLY | O_APPEND | O_CLOEXEC);
    if (storage->file < 0 ||
        storage->io.sync(storage->io.data, storage->file) != 0) {
        return storage_set_error(storage, error, "go on with", name);
    }
    return true;
}

/* Remove the older snapshots that a crash has left. */
static void
remove_old_snapshots(struct storage *storage)
{
    char name[STORAGE_NAME_MAX];

    for (guint i = 0; i < storage->snapshots->len; i++) {
        uint64_t index = g_array_index(storage->snapshots, uint64_t, i);

        if (index != storage->snapshot) {
            storage_snapshot_name(index, name);
            unlinkat(storage->folder, name, 0);
        }
    }
}

/*
 * Read the data folder into STORED and open the last segment for writing.
 * Return false with ERROR set if that fails.
 */
bool
storage_recover(struct storage *storage, struct quorum_stored *stored,
                struct storage_report *report, GError **error)
{
    unlinkat(storage->folder, "snapshot.tmp", 0);
    if (!list_files(storage, error) ||
        !read_segments(storage, stored, report, error)) {
        return false;
    }
    if (storage->snapshot != 0) {
        stored->snapshot =
            storage_snapshot_read(storage, storage->snapshot, error);
        if (stored->snapshot == NULL) {
            return false;
        }
        quorum_stored_drop_covered(stored, stored->snapshot->index,
                                   stored->snapshot->term);
    }
    report->was_empty = stored->hard_state.store == 0;
    storage->hard_state = stored->hard_state;
    if (!check_complete(storage, stored, error) ||
        !open_last_segment(storage, error)) {
        return false;
    }
    remove_old_snapshots(storage);
    return true;
}
