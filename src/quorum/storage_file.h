/* Segment and snapshot files; private to src/quorum/storage*.c. */
#ifndef PS_QUORUM_STORAGE_FILE_H
#define PS_QUORUM_STORAGE_FILE_H

#include "quorum/storage.h"

#define STORAGE_NAME_MAX      64
#define STORAGE_FRAME_MAX     (QUORUM_COMMAND_MAX + 4096) /* bytes */
#define STORAGE_SEGMENT_FIRST 32 /* offset of a segment's first record */

struct storage_segment {
    uint64_t sequence;
    uint64_t last_entry; /* highest entry index in it; 0 if it has none */
};

struct storage {
    int folder; /* file descriptor */
    int lock;
    int file; /* the open segment, which is appended to; -1 if none */
    char *path;
    uint64_t segment_bytes;
    uint64_t reserve_bytes;
    struct storage_io io;
    GArray *segments; /* struct storage_segment, ascending; the last is open */
    GArray *snapshots; /* uint64_t, indexes of the snapshot files found */
    uint64_t offset;   /* end of the open segment, which is synced up to it */
    uint64_t snapshot; /* index of the newest snapshot file; 0 if none */
    uint64_t recorded_snapshot; /* highest index of a snapshot record */
    struct quorum_hard_state hard_state;
    bool removal_failed; /* a removal was not synced: remove no more */
    bool failed;
};

/* A record found in a segment. */
struct storage_frame {
    const uint8_t *payload; /* points into the bytes of the segment */
    size_t len;
    uint64_t synced; /* bytes of the segment synced before this write */
    size_t end;      /* offset of the next record */
};

/* storage_file.c */
bool storage_set_error(struct storage *, GError **, const char *what,
                       const char *file);
bool storage_write_all(struct storage *, int fd, const void *, size_t);
bool storage_read_file(struct storage *, const char *, GByteArray *,
                       GError **);
bool storage_sync_folder(struct storage *);

/* storage_segment.c */
void storage_segment_name(uint64_t sequence, char *);
void storage_segment_add_header(uint64_t sequence, GByteArray *);
void storage_frame_append(GByteArray *, uint64_t sequence, uint64_t offset,
                          uint64_t synced, const struct quorum_record *);
bool storage_frame_at(const uint8_t *, size_t, uint64_t sequence, size_t at,
                      struct storage_frame *);
bool storage_segment_open(struct storage *, uint64_t sequence, GError **);
bool storage_segment_read(struct storage *, struct storage_segment *,
                          bool is_last, struct quorum_stored *,
                          struct storage_report *, GError **);

/* storage_snapshot.c */
bool storage_snapshot_write(struct storage *, const struct quorum_snapshot *,
                            GError **);
struct quorum_snapshot *storage_snapshot_read(struct storage *, uint64_t index,
                                              GError **);
void storage_snapshot_name(uint64_t index, char *);

/* storage_recover.c */
bool storage_recover(struct storage *, struct quorum_stored *,
                     struct storage_report *, GError **);

#endif
