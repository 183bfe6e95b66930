/*
 * A fixed sequence of writes to the log's files with injected faults, and the
 * state after each record; for the tests of the storage.
 */
#ifndef PS_TESTS_STORAGE_SCRIPT_H
#define PS_TESTS_STORAGE_SCRIPT_H

#include <errno.h>
#include <fcntl.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cmocka.h>

#include "base/err.h"
#include "quorum/storage.h"

#define SEGMENT_BYTES 400 /* a few batches fill a segment */
#define BATCHES       24
#define STATES_MAX    200

/* The batches to write, and the state as text after each of their records. */
struct script {
    struct quorum_record records[BATCHES][4];
    size_t counts[BATCHES];
    char *states[STATES_MAX];
    size_t state_count;
};

/*
 * Faults of the write and sync calls.  The first one that fails copies the
 * data folder as a crash at that moment would leave it.
 */
struct faults {
    int64_t bytes_left; /* until a write fails; negative for no limit */
    int64_t sync_limit; /* sync calls that succeed; negative for no limit */
    int error_number;   /* errno of the failure */
    const char *crash_source; /* folder copied at the failure, or NULL */
    const char *crash_copy;   /* where the copy is put */
    uint64_t bytes_written;
    uint64_t sync_calls;
    uint64_t segment_bytes; /* 0 for SEGMENT_BYTES */
};

static char *root_folder; /* contains all folders of the test */

static inline void copy_file(const char *, const char *);
static inline void copy_folder(const char *, const char *);
static inline char *describe_state(const struct quorum_stored *);
static inline int faulty_sync(void *, int);
static inline ssize_t faulty_write(void *, int, const void *, size_t);
static inline char *new_folder(const char *);
static inline char *read_state(const char *, GError **);
static inline void remove_folder(const char *);
static inline size_t run_script(const struct script *, const char *,
                                struct faults *);
static inline void script_clear(struct script *);
static inline void script_init(struct script *);
static inline bool is_state_in_range(const struct script *, const char *,
                                     size_t, size_t);

/*
 * Return the path of the test's folder NAME after removing it from an earlier
 * run.  The caller frees the path.
 */
static inline char *
new_folder(const char *name)
{
    char *path = g_build_filename(root_folder, name, NULL);

    remove_folder(path);
    return path;
}

/* Remove the folder at PATH and the files in it, if it exists. */
static inline void
remove_folder(const char *path)
{
    GDir *dir = g_dir_open(path, 0, NULL);
    const char *name;

    if (dir == NULL) {
        return;
    }
    while ((name = g_dir_read_name(dir)) != NULL) {
        char *file = g_build_filename(path, name, NULL);

        unlink(file);
        g_free(file);
    }
    g_dir_close(dir);
    rmdir(path);
}

/* Copy one file. */
static inline void
copy_file(const char *from, const char *to)
{
    char *data;
    gsize len;

    assert_true(g_file_get_contents(from, &data, &len, NULL));
    assert_true(g_file_set_contents_full(
        to, data, (gssize)len, G_FILE_SET_CONTENTS_NONE, 0600, NULL));
    g_free(data);
}

/* Replace the folder TO by a copy of FROM. */
static inline void
copy_folder(const char *from, const char *to)
{
    GDir *dir = g_dir_open(from, 0, NULL);
    const char *name;

    remove_folder(to);
    mkdir(to, 0700);
    while ((name = g_dir_read_name(dir)) != NULL) {
        char *source = g_build_filename(from, name, NULL);
        char *target = g_build_filename(to, name, NULL);

        copy_file(source, target);
        g_free(source);
        g_free(target);
    }
    g_dir_close(dir);
}

/* write() that fails, after a part is written, when no bytes are left. */
static inline ssize_t
faulty_write(void *data, int fd, const void *bytes, size_t len)
{
    struct faults *faults = data;
    size_t part = len;
    ssize_t done;

    if (faults->bytes_left >= 0 && (uint64_t)faults->bytes_left < len) {
        part = (size_t)faults->bytes_left;
    }
    done = part > 0 ? write(fd, bytes, part) : 0;
    faults->bytes_written += part;
    if (faults->bytes_left >= 0) {
        faults->bytes_left -= (int64_t)part;
    }
    if (part == len) {
        return done;
    }
    if (faults->crash_source != NULL) {
        copy_folder(faults->crash_source, faults->crash_copy);
        faults->crash_source = NULL;
    }
    errno = faults->error_number;
    return -1;
}

/* Sync that fails after sync_limit calls. */
static inline int
faulty_sync(void *data, int fd)
{
    struct faults *faults = data;

    faults->sync_calls++;
    if (faults->sync_limit >= 0 &&
        (uint64_t)faults->sync_limit < faults->sync_calls) {
        if (faults->crash_source != NULL) {
            copy_folder(faults->crash_source, faults->crash_copy);
            faults->crash_source = NULL;
        }
        errno = faults->error_number;
        return -1;
    }
    return fcntl(fd, F_GETFD) < 0 ? -1 : 0; /* the copy simulates a crash */
}

/* Return STORED as text for comparison.  The caller frees it. */
static inline char *
describe_state(const struct quorum_stored *stored)
{
    GString *text = g_string_new(NULL);

    g_string_append_printf(
        text, "term %d vote %d store %d voter %d",
        (int)stored->hard_state.term, (int)stored->hard_state.vote.value,
        (int)stored->hard_state.store, stored->hard_state.has_vote);
    if (stored->snapshot != NULL) {
        g_string_append_printf(
            text, " snapshot %d/%d of %x", (int)stored->snapshot->index,
            (int)stored->snapshot->term, g_bytes_hash(stored->snapshot->data));
    }
    for (guint i = 0; i < stored->entries->len; i++) {
        const struct quorum_entry *entry = stored->entries->pdata[i];
        guint hash = entry->command != NULL ? g_bytes_hash(entry->command) : 0;

        g_string_append_printf(text, " %d/%d:%x", (int)entry->index,
                               (int)entry->term, hash);
    }
    return g_string_free(text, FALSE);
}

/*
 * Fill SCRIPT with 24 batches: hard states, entries, some of them replaced by
 * entries of a later term, and three snapshots.  The first snapshot is within
 * the log, the second has another term than the log's entry, and the third is
 * beyond the log's end.
 */
static inline void
script_init(struct script *script)
{
    struct quorum_stored model;
    uint64_t index = 0;
    uint64_t terms[128] = {0};

    memset(script, 0, sizeof(*script));
    quorum_stored_init(&model);
    script->states[script->state_count++] = describe_state(&model);
    for (size_t i = 0; i < BATCHES; i++) {
        struct quorum_record *records = script->records[i];
        size_t count = 0;
        GBytes *data = g_bytes_new("0123456789abcdefghijklmnopqr", 5 + i);

        if (i % 8 == 7) {
            /* After the first snapshot two entries remain, else none. */
            uint64_t at = i == 7 ? index - 2 : index + (i == 23 ? 5 : -1);
            uint64_t term = i == 7 ? terms[at] : 9;

            records[0].kind = QUORUM_RECORD_SNAPSHOT;
            records[0].u.snapshot = quorum_snapshot_new(at, term, data);
            index = i == 7 ? index : at;
            count = 1;
        }
        else {
            if (i % 6 == 0) {
                records[count].kind = QUORUM_RECORD_HARD_STATE;
                records[count].u.hard_state = (struct quorum_hard_state){
                    1 + i / 6, {i % 3}, 77, i > 6, 0};
                count++;
                /* Two entries are replaced by entries of the new term. */
                index -= i == 12 ? 2 : 0;
            }
            for (size_t j = 0; j < 1 + i % 3; j++) {
                terms[index + 1] = 1 + i / 6;
                records[count].kind = QUORUM_RECORD_ENTRY;
                records[count].u.entry =
                    quorum_entry_new(++index, 1 + i / 6, QUORUM_ENTRY_COMMAND);
                records[count].u.entry->command = g_bytes_ref(data);
                count++;
            }
        }
        g_bytes_unref(data);
        script->counts[i] = count;
        for (size_t j = 0; j < count; j++) {
            quorum_stored_apply(&model, &records[j]);
            script->states[script->state_count++] = describe_state(&model);
        }
    }
    quorum_stored_clear(&model);
}

/* Free the records and states of SCRIPT. */
static inline void
script_clear(struct script *script)
{
    for (size_t i = 0; i < BATCHES; i++) {
        for (size_t j = 0; j < script->counts[i]; j++) {
            quorum_record_clear(&script->records[i][j]);
        }
    }
    for (size_t i = 0; i < script->state_count; i++) {
        g_free(script->states[i]);
    }
}

/*
 * Write the batches of SCRIPT to the folder PATH until a call fails.  Assert
 * that no write succeeds after that.  Return the number of acknowledged
 * records.
 */
static inline size_t
run_script(const struct script *script, const char *path,
           struct faults *faults)
{
    struct storage_io io = {faulty_write, faulty_sync, faults};
    struct storage_options options = {
        .folder = path,
        .segment_bytes =
            faults->segment_bytes != 0 ? faults->segment_bytes : SEGMENT_BYTES,
        .io = &io,
    };
    struct quorum_stored stored;
    struct storage_report report;
    struct storage *storage;
    GError *error = NULL;
    size_t acknowledged = 0;

    storage = storage_open(&options, &stored, &report, &error);
    quorum_stored_clear(&stored);
    for (size_t i = 0; storage != NULL && i < BATCHES; i++) {
        if (!storage_write(storage, script->records[i], script->counts[i],
                           &error)) {
            break;
        }
        acknowledged += script->counts[i];
    }
    if (storage != NULL && error != NULL) {
        assert_true(storage_failed(storage));
        assert_false(storage_write(storage, script->records[0],
                                   script->counts[0], NULL));
    }
    if (error != NULL) {
        assert_int_equal(error->code, ERR_STORAGE);
        g_error_free(error);
    }
    storage_close(storage);
    return acknowledged;
}

/*
 * Return the state that the folder PATH holds, as text, which the caller
 * frees; NULL with ERROR set if it cannot be opened.
 */
static inline char *
read_state(const char *path, GError **error)
{
    struct faults faults = {.bytes_left = -1, .sync_limit = -1};
    struct storage_io io = {faulty_write, faulty_sync, &faults};
    struct storage_options options = {
        .folder = path,
        .segment_bytes = SEGMENT_BYTES,
        .io = &io,
    };
    struct quorum_stored stored;
    struct storage_report report;
    struct storage *storage;
    char *state = NULL;

    storage = storage_open(&options, &stored, &report, error);
    if (storage != NULL) {
        state = describe_state(&stored);
    }
    quorum_stored_clear(&stored);
    storage_close(storage);
    return state;
}

/* Return true if STATE is the state after FROM to TO records. */
static inline bool
is_state_in_range(const struct script *script, const char *state, size_t from,
                  size_t to)
{
    for (size_t i = from; i <= to && i < script->state_count; i++) {
        if (strcmp(script->states[i], state) == 0) {
            return true;
        }
    }
    return false;
}

#endif
