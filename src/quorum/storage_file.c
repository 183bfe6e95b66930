/* File calls shared by segments and snapshots, and their error messages. */
#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "base/err.h"
#include "quorum/storage_file.h"

/* A snapshot file: the largest data, and 1 MiB for its header. */
#define FILE_BYTES_MAX ((size_t)QUORUM_SNAPSHOT_MAX + (1U << 20))

static const char *remedy_for(int);

/* Return what an operator can do about ERROR_NUMBER, a value of errno. */
static const char *
remedy_for(int error_number)
{
    switch (error_number) {
    case ENOSPC:
    case EDQUOT:
        return "free space there; nothing was lost, edits are refused until "
               "then";
    case EACCES:
    case EPERM:
    case EROFS:
        return "make the data folder writable for this user, or name "
               "another one";
    case ENOENT:
    case ENOTDIR:
        return "make its parent folder, or name another data folder";
    default:
        return "check the disk; if it is lost, start with an empty data "
               "folder, and the other voters will fill it";
    }
}

/*
 * Set ERROR from errno.  WHAT is the verb for the failed operation on FILE,
 * which is in the data folder.  Always return false.
 */
bool
storage_set_error(struct storage *storage, GError **error, const char *what,
                  const char *file)
{
    int error_number = errno;

    g_set_error(error, ERR_DOMAIN, ERR_STORAGE, "cannot %s %s/%s: %s; %s",
                what, storage->path, file, g_strerror(error_number),
                remedy_for(error_number));
    return false;
}

/*
 * Write all LEN bytes of DATA.  Return false with errno set if that fails; a
 * write of 0 bytes counts as ENOSPC.
 */
bool
storage_write_all(struct storage *storage, int fd, const void *data,
                  size_t len)
{
    const uint8_t *at = data;

    while (len > 0) {
        ssize_t written = storage->io.write(storage->io.data, fd, at, len);

        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written <= 0) {
            errno = written == 0 ? ENOSPC : errno;
            return false;
        }
        at += written;
        len -= (size_t)written;
    }
    return true;
}

/*
 * Append the whole content of the file NAME in the data folder to OUT.  Return
 * false with ERROR set if it cannot be read or is larger than FILE_BYTES_MAX.
 */
bool
storage_read_file(struct storage *storage, const char *name, GByteArray *out,
                  GError **error)
{
    int fd = openat(storage->folder, name, O_RDONLY | O_CLOEXEC);
    uint8_t buffer[65536];
    ssize_t len;

    if (fd < 0) {
        return storage_set_error(storage, error, "open", name);
    }
    while ((len = read(fd, buffer, sizeof(buffer))) > 0) {
        g_byte_array_append(out, buffer, (guint)len);
        if (out->len > FILE_BYTES_MAX) {
            errno = EFBIG;
            len = -1;
            break;
        }
    }
    if (len < 0) {
        storage_set_error(storage, error, "read", name);
    }
    close(fd);
    return len == 0;
}

/*
 * Sync the folder, so that created, renamed and removed names persist.  Return
 * false with errno set if that fails.
 */
bool
storage_sync_folder(struct storage *storage)
{
    return storage->io.sync(storage->io.data, storage->folder) == 0;
}
