/*
 * The files of the replicated log in one data folder: segments of checksummed
 * records, snapshots, and a lock file.  All functions block; a daemon writes
 * records on a separate thread.  docs/design/quorum.md describes the formats.
 */
#ifndef PS_QUORUM_STORAGE_H
#define PS_QUORUM_STORAGE_H

#include <sys/types.h>

#include "quorum/quorum.h"

struct storage;

/* The system calls in use; tests replace them to inject faults. */
struct storage_io {
    ssize_t (*write)(void *data, int fd, const void *, size_t);
    int (*sync)(void *data, int fd); /* fdatasync() of a file or a folder */
    void *data;
};

/* A member that is 0 or NULL takes its default. */
struct storage_options {
    const char *folder; /* created if it is missing and its parent exists */
    /* Once a segment reaches this size a new one begins; default 4 MiB. */
    uint64_t segment_bytes;
    uint64_t reserve_bytes;      /* less free space is low; default 16 MiB */
    const struct storage_io *io; /* default: the system calls */
};

/* What storage_open() found, for counters and a log line. */
struct storage_report {
    bool was_empty;
    uint64_t segments;
    uint64_t records;
    /* Bytes of an incomplete write removed from the end of the log; they were
     * never acknowledged. */
    uint64_t torn_bytes;
    char torn_file[64]; /* the file they were removed from, "" if none */
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
