/*
 * The replicated log's files in one data folder: segments of checksummed
 * records, snapshots, and a lock.  Plain blocking file calls; a daemon runs
 * it on a task of its own.  See docs/design/quorum.md for the formats.
 */
#ifndef PS_QUORUM_STORAGE_H
#define PS_QUORUM_STORAGE_H

#include <sys/types.h>

#include "quorum/quorum.h"

struct storage;

/* Stand-ins for the system's calls, to inject faults in tests. */
struct storage_io {
    ssize_t (*write)(void *data, int fd, const void *, size_t);
    int (*sync)(void *data, int fd); /* files as fdatasync(), and folders */
    void *data;
};

/* Members left 0 or NULL take the default. */
struct storage_options {
    const char *folder;          /* made if its parent exists */
    uint64_t segment_bytes;      /* a new segment after; default 4 MiB */
    uint64_t reserve_bytes;      /* space is low below; default 16 MiB */
    const struct storage_io *io; /* default: the system's */
};

/* What opening has found, for counters and one line of log. */
struct storage_report {
    bool was_empty;
    uint64_t segments;
    uint64_t records;
    uint64_t torn_bytes; /* cut off the end: never answered for */
    char torn_file[64];  /* "" if none was cut */
};

struct storage *storage_open(const struct storage_options *,
                             struct quorum_stored *, struct storage_report *,
                             GError **);
bool storage_write(struct storage *, const struct quorum_record *, size_t,
                   GError **);
bool storage_space_low(const struct storage *);
bool storage_failed(const struct storage *);
void storage_close(struct storage *);

#endif
