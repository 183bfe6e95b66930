/* File calls that the log's files share, and their errors. */
#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "base/err.h"
#include "quorum/storage_file.h"

#define FILE_BYTES_MAX ((size_t)QUORUM_SNAPSHOT_MAX + (1U << 20))

static const char *remedy(int);

/* What an operator can do about the system's error NUMBER. */
static const char *
remedy(int number)
{
    switch (number) {
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
 * Set ERROR from errno: WHAT was done with FILE in the data folder.  Always
 * false, for the caller to return.
 */
bool
storage_fail(struct storage *storage, GError **error, const char *what,
             const char *file)
{
    int number = errno;

    g_set_error(error, ERR_DOMAIN, ERR_STORAGE, "cannot %s %s/%s: %s; %s",
                what, storage->path, file, g_strerror(number), remedy(number));
    return false;
}

/* Write all LEN bytes; false with errno set if that fails. */
bool
storage_write_all(struct storage *storage, int fd, const void *data,
                  size_t len)
{
    const uint8_t *at = data;

    while (len > 0) {
        ssize_t done = storage->io.write(storage->io.data, fd, at, len);

        if (done < 0 && errno == EINTR) {
            continue;
        }
        if (done <= 0) {
            errno = done == 0 ? ENOSPC : errno;
            return false;
        }
        at += done;
        len -= (size_t)done;
    }
    return true;
}

/* Append the whole content of the file called NAME to OUT. */
bool
storage_read_file(struct storage *storage, const char *name, GByteArray *out,
                  GError **error)
{
    int fd = openat(storage->folder, name, O_RDONLY | O_CLOEXEC);
    uint8_t buffer[65536];
    ssize_t len;

    if (fd < 0) {
        return storage_fail(storage, error, "open", name);
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
        storage_fail(storage, error, "read", name);
    }
    close(fd);
    return len == 0;
}

/* Make new, renamed and removed names last. */
bool
storage_sync_folder(struct storage *storage)
{
    return storage->io.sync(storage->io.data, storage->folder) == 0;
}
