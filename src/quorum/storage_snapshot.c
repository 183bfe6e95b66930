/*
 * Snapshot files.  The format is: magic (8 bytes), length of the description
 * (8), checksum of the description (8), the description, which is a packed
 * record, and the data.  The description holds the data's size and checksum.
 */
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base/err.h"
#include "base/hash.h"
#include "peer/quorum_wire.h"
#include "quorum/storage_file.h"

#define HEADER_BYTES   24
#define SNAPSHOT_MAGIC "PSQSNP1\n"
#define SNAPSHOT_TMP   "snapshot.tmp"

static void build_header(const struct quorum_snapshot *, GByteArray *);
static struct quorum_snapshot *parse_file(const GByteArray *);
static bool write_file(struct storage *, const struct quorum_snapshot *);

/* Set NAME, of STORAGE_NAME_MAX bytes, to the file name of a snapshot. */
void
storage_snapshot_name(uint64_t index, char *name)
{
    g_snprintf(name, STORAGE_NAME_MAX, "snapshot-%016" G_GINT64_MODIFIER "x",
               index);
}

/* Append all of SNAPSHOT's file but the data to OUT, which must be empty. */
static void
build_header(const struct quorum_snapshot *snapshot, GByteArray *out)
{
    struct quorum_record record = {
        .kind = QUORUM_RECORD_SNAPSHOT,
        .u.snapshot = (struct quorum_snapshot *)snapshot,
    };
    uint8_t header[HEADER_BYTES] = SNAPSHOT_MAGIC;
    uint64_t value;

    g_byte_array_append(out, header, sizeof(header));
    quorum_wire_pack_record(&record, out);
    value = GUINT64_TO_LE((uint64_t)out->len - HEADER_BYTES);
    memcpy(out->data + 8, &value, sizeof(value));
    value = GUINT64_TO_LE(
        hash_bytes(out->data + HEADER_BYTES, out->len - HEADER_BYTES, 0));
    memcpy(out->data + 16, &value, sizeof(value));
}

/*
 * Write SNAPSHOT to the temporary file and sync it.  Return false with errno
 * set if that fails.
 */
static bool
write_file(struct storage *storage, const struct quorum_snapshot *snapshot)
{
    int fd = openat(storage->folder, SNAPSHOT_TMP,
                    O_CREAT | O_TRUNC | O_WRONLY | O_CLOEXEC, 0600);
    GByteArray *header = g_byte_array_new();
    gsize len;
    const void *data = g_bytes_get_data(snapshot->data, &len);
    bool ok;

    build_header(snapshot, header);
    ok = fd >= 0 &&
         storage_write_all(storage, fd, header->data, header->len) &&
         storage_write_all(storage, fd, data, len) &&
         storage->io.sync(storage->io.data, fd) == 0;
    g_byte_array_unref(header);
    if (fd >= 0) {
        int saved_errno = errno;

        close(fd);
        errno = saved_errno;
    }
    return ok;
}

/*
 * Write SNAPSHOT to its file, and sync the file and the folder.  Return false
 * with ERROR set if that fails.
 */
bool
storage_snapshot_write(struct storage *storage,
                       const struct quorum_snapshot *snapshot, GError **error)
{
    char name[STORAGE_NAME_MAX];

    storage_snapshot_name(snapshot->index, name);
    if (!write_file(storage, snapshot)) {
        return storage_set_error(storage, error, "write", SNAPSHOT_TMP);
    }
    if (renameat(storage->folder, SNAPSHOT_TMP, storage->folder, name) != 0 ||
        !storage_sync_folder(storage)) {
        return storage_set_error(storage, error, "name", name);
    }
    return true;
}

/*
 * Return the snapshot in BYTES, the content of its file, or NULL if a checksum
 * or the format is wrong.  The caller owns the reference.
 */
static struct quorum_snapshot *
parse_file(const GByteArray *bytes)
{
    struct quorum_snapshot *snapshot;
    struct quorum_record record;
    uint64_t words[2];
    uint64_t size;
    GBytes *data;

    if (bytes->len < HEADER_BYTES ||
        memcmp(bytes->data, SNAPSHOT_MAGIC, 8) != 0) {
        return NULL;
    }
    memcpy(words, bytes->data + 8, sizeof(words));
    words[0] = GUINT64_FROM_LE(words[0]);
    words[1] = GUINT64_FROM_LE(words[1]);
    if (words[0] > bytes->len - HEADER_BYTES ||
        hash_bytes(bytes->data + HEADER_BYTES, words[0], 0) != words[1] ||
        !quorum_wire_unpack_record(bytes->data + HEADER_BYTES, words[0],
                                   &record, &size)) {
        return NULL;
    }
    if (record.kind != QUORUM_RECORD_SNAPSHOT ||
        size != bytes->len - HEADER_BYTES - words[0]) {
        quorum_record_clear(&record);
        return NULL;
    }
    data = g_bytes_new(bytes->data + HEADER_BYTES + words[0], size);
    snapshot = quorum_snapshot_new(record.u.snapshot->index,
                                   record.u.snapshot->term, data);
    g_bytes_unref(data);
    snapshot->admitted_count = record.u.snapshot->admitted_count;
    memcpy(snapshot->admitted, record.u.snapshot->admitted,
           sizeof(snapshot->admitted));
    if (snapshot->checksum != record.u.snapshot->checksum) {
        quorum_snapshot_unref(snapshot);
        snapshot = NULL;
    }
    quorum_record_clear(&record);
    return snapshot;
}

/*
 * Return the snapshot at INDEX, or NULL with ERROR set.  The caller owns the
 * reference.
 */
struct quorum_snapshot *
storage_snapshot_read(struct storage *storage, uint64_t index, GError **error)
{
    struct quorum_snapshot *snapshot = NULL;
    GByteArray *bytes = g_byte_array_new();
    char name[STORAGE_NAME_MAX];

    storage_snapshot_name(index, name);
    if (storage_read_file(storage, name, bytes, error)) {
        snapshot = parse_file(bytes);
        if (snapshot == NULL) {
            g_set_error(error, ERR_DOMAIN, ERR_CORRUPT,
                        "%s/%s is damaged: a checksum is wrong; move the "
                        "data folder away and start with an empty one: the "
                        "other voters will fill it",
                        storage->path, name);
        }
    }
    g_byte_array_unref(bytes);
    return snapshot;
}
