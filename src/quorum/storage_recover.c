/* Opening: which files there are, and what they say together. */
#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/err.h"
#include "quorum/storage_file.h"

static gint compare_segments(gconstpointer, gconstpointer);
static bool check_whole(struct storage *, const struct quorum_stored *,
                        GError **);
static bool list_files(struct storage *, GError **);
static void note_file(struct storage *, const char *);
static void remove_older(struct storage *);
static bool open_last(struct storage *, GError **);
static bool parse_number(const char *, const char *prefix, uint64_t *);
static bool read_segments(struct storage *, struct quorum_stored *,
                          struct storage_report *, GError **);

static gint
compare_segments(gconstpointer a, gconstpointer b)
{
    const struct storage_segment *x = a;
    const struct storage_segment *y = b;

    return x->sequence < y->sequence ? -1 : x->sequence > y->sequence;
}

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

static void
note_file(struct storage *storage, const char *name)
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

static bool
list_files(struct storage *storage, GError **error)
{
    int fd = openat(storage->folder, ".", O_RDONLY | O_CLOEXEC);
    DIR *folder = fd >= 0 ? fdopendir(fd) : NULL;
    const struct dirent *item;

    if (folder == NULL) {
        return storage_fail(storage, error, "list", ".");
    }
    while ((item = readdir(folder)) != NULL) {
        note_file(storage, item->d_name);
    }
    closedir(folder);
    g_array_sort(storage->segments, compare_segments);
    return true;
}

/*
 * Read all segments.  A last one without a record is removed: its making was
 * cut off, and without the hard state the older ones could not go.
 */
static bool
read_segments(struct storage *storage, struct quorum_stored *stored,
              struct storage_report *report, GError **error)
{
    GArray *segments = storage->segments;
    char name[STORAGE_NAME_MAX];
    uint64_t end_before = 0; /* of the segment before the last */

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
        end_before = storage->offset;
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
        storage->offset = end_before;
    }
    return true;
}

/* The entries go on from the snapshot, and there is a hard state. */
static bool
check_whole(struct storage *storage, const struct quorum_stored *stored,
            GError **error)
{
    uint64_t base = stored->snapshot != NULL ? stored->snapshot->index : 0;
    const struct quorum_entry *first =
        stored->entries->len > 0 ? stored->entries->pdata[0] : NULL;

    if (base >= storage->marked &&
        (first == NULL || first->index == base + 1) &&
        (stored->hard.store != 0 || (base == 0 && first == NULL))) {
        return true;
    }
    g_set_error(error, ERR_DOMAIN, ERR_CORRUPT,
                "the log in %s does not go on from entry %" G_GUINT64_FORMAT
                ": a file is missing; move the data folder away and start "
                "with an empty one: the other voters will fill it",
                storage->path, base);
    return false;
}

/* Go on writing where the last segment ends, once it surely lasts. */
static bool
open_last(struct storage *storage, GError **error)
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
        return storage_fail(storage, error, "go on with", name);
    }
    return true;
}

/* Remove the snapshots that a crash has left beside the newest. */
static void
remove_older(struct storage *storage)
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

/* Read what the data folder holds into STORED, and make ready to write. */
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
        quorum_stored_settle(stored, stored->snapshot->index,
                             stored->snapshot->term);
    }
    report->was_empty = stored->hard.store == 0;
    storage->hard = stored->hard;
    if (!check_whole(storage, stored, error) || !open_last(storage, error)) {
        return false;
    }
    remove_older(storage);
    return true;
}
