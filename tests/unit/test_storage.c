/*
 * The log's files: what was stored is read back, writes cut off at every byte
 * leave a prefix that holds all that was answered for, damage is named.
 */
#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cmocka.h>

#include "base/err.h"
#include "quorum/storage.h"

#define SEGMENT_BYTES 400 /* so that a few batches fill one */
#define BATCHES       24
#define STATES_MAX    200

/* The batches of one run and the state after each of their records. */
struct script {
    struct quorum_record records[BATCHES][4];
    size_t counts[BATCHES];
    char *states[STATES_MAX];
    size_t state_count;
};

/* Lets LEFT bytes through, then fails; at that moment copies the folder. */
struct faults {
    int64_t left;      /* bytes; negative for no limit */
    int64_t syncs;     /* calls that succeed; negative for no limit */
    int number;        /* errno of the failure */
    const char *from;  /* folder copied to `crash` at the failure, or NULL */
    const char *crash; /* the folder as a crash would leave it */
    uint64_t written;
    uint64_t synced;
};

static char *root;

static void assert_goes_on(const char *);
static void copy_file(const char *, const char *);
static void copy_folder(const char *, const char *);
static char *describe(const struct quorum_stored *);
static int faulty_sync(void *, int);
static ssize_t faulty_write(void *, int, const void *, size_t);
static char *folder(const char *);
static char *open_state(const char *, GError **);
static void remove_folder(const char *);
static size_t run_script(const struct script *, const char *, struct faults *);
static void script_clear(struct script *);
static void script_init(struct script *);
static bool state_between(const struct script *, const char *, size_t, size_t);

static char *
folder(const char *name)
{
    char *path = g_build_filename(root, name, NULL);

    remove_folder(path);
    return path;
}

static void
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

static void
copy_file(const char *from, const char *to)
{
    char *data;
    gsize len;

    assert_true(g_file_get_contents(from, &data, &len, NULL));
    assert_true(g_file_set_contents_full(
        to, data, (gssize)len, G_FILE_SET_CONTENTS_NONE, 0600, NULL));
    g_free(data);
}

static void
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

static ssize_t
faulty_write(void *data, int fd, const void *bytes, size_t len)
{
    struct faults *faults = data;
    size_t part = len;
    ssize_t done;

    if (faults->left >= 0 && (uint64_t)faults->left < len) {
        part = (size_t)faults->left;
    }
    done = part > 0 ? write(fd, bytes, part) : 0;
    faults->written += part;
    if (faults->left >= 0) {
        faults->left -= (int64_t)part;
    }
    if (part == len) {
        return done;
    }
    if (faults->from != NULL) {
        copy_folder(faults->from, faults->crash);
        faults->from = NULL;
    }
    errno = faults->number;
    return -1;
}

static int
faulty_sync(void *data, int fd)
{
    struct faults *faults = data;

    faults->synced++;
    if (faults->syncs >= 0 && (uint64_t)faults->syncs < faults->synced) {
        if (faults->from != NULL) {
            copy_folder(faults->from, faults->crash);
            faults->from = NULL;
        }
        errno = faults->number;
        return -1;
    }
    return fcntl(fd, F_GETFD) < 0 ? -1 : 0; /* a copy stands for a crash */
}

/* The state as text, for comparing. */
static char *
describe(const struct quorum_stored *stored)
{
    GString *text = g_string_new(NULL);

    g_string_append_printf(text, "term %d vote %d store %d voter %d",
                           (int)stored->hard.term,
                           (int)stored->hard.vote.value,
                           (int)stored->hard.store, stored->hard.voter);
    if (stored->snapshot != NULL) {
        g_string_append_printf(text, " snapshot %d/%d of %d",
                               (int)stored->snapshot->index,
                               (int)stored->snapshot->term,
                               (int)g_bytes_get_size(stored->snapshot->data));
    }
    for (guint i = 0; i < stored->entries->len; i++) {
        const struct quorum_entry *entry = stored->entries->pdata[i];
        gsize len = 0;

        if (entry->command != NULL) {
            g_bytes_get_data(entry->command, &len);
        }
        g_string_append_printf(text, " %d/%d:%d", (int)entry->index,
                               (int)entry->term, (int)len);
    }
    return g_string_free(text, FALSE);
}

/*
 * Twenty-four batches: hard states, entries, some replaced by those of a
 * later term, and three snapshots: one that the log goes on from, one of
 * another term than the log, and one past its end.
 */
static void
script_init(struct script *script)
{
    struct quorum_stored model;
    uint64_t index = 0;
    uint64_t terms[128] = {0};

    memset(script, 0, sizeof(*script));
    quorum_stored_init(&model);
    script->states[script->state_count++] = describe(&model);
    for (size_t i = 0; i < BATCHES; i++) {
        struct quorum_record *records = script->records[i];
        size_t count = 0;
        GBytes *data = g_bytes_new("0123456789abcdefghijklmnopqr", 5 + i);

        if (i % 8 == 7) {
            /* The first leaves two entries, the others none. */
            uint64_t at = i == 7 ? index - 2 : index + (i == 23 ? 5 : -1);
            uint64_t term = i == 7 ? terms[at] : 9;

            records[0].kind = QUORUM_RECORD_SNAPSHOT;
            records[0].u.snapshot = quorum_snapshot_new(at, term, data);
            index = i == 7 ? index : at;
            count = 1;
        }
        else {
            if (i % 6 == 0) {
                records[count].kind = QUORUM_RECORD_HARD;
                records[count].u.hard =
                    (struct quorum_hard){1 + i / 6, {i % 3}, 77, i > 6};
                count++;
                index -= i == 12 ? 2 : 0; /* the new term's come instead */
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
            quorum_stored_take(&model, &records[j]);
            script->states[script->state_count++] = describe(&model);
        }
    }
    quorum_stored_clear(&model);
}

static void
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

/* Write the script until a failure; returns the records answered for. */
static size_t
run_script(const struct script *script, const char *path,
           struct faults *faults)
{
    struct storage_io io = {faulty_write, faulty_sync, faults};
    struct storage_options options = {
        .folder = path,
        .segment_bytes = SEGMENT_BYTES,
        .io = &io,
    };
    struct quorum_stored stored;
    struct storage_report report;
    struct storage *storage;
    GError *error = NULL;
    size_t answered = 0;

    storage = storage_open(&options, &stored, &report, &error);
    quorum_stored_clear(&stored);
    for (size_t i = 0; storage != NULL && i < BATCHES; i++) {
        if (!storage_write(storage, script->records[i], script->counts[i],
                           &error)) {
            break;
        }
        answered += script->counts[i];
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
    return answered;
}

/* What opening the folder finds, or NULL with an error. */
static char *
open_state(const char *path, GError **error)
{
    struct faults faults = {.left = -1, .syncs = -1};
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
        state = describe(&stored);
    }
    quorum_stored_clear(&stored);
    storage_close(storage);
    return state;
}

/* True if STATE is that after some number of records, FROM to TO. */
static bool
state_between(const struct script *script, const char *state, size_t from,
              size_t to)
{
    for (size_t i = from; i <= to && i < script->state_count; i++) {
        if (strcmp(script->states[i], state) == 0) {
            return true;
        }
    }
    return false;
}

/* What is written after a recovery is found behind what was recovered. */
static void
assert_goes_on(const char *path)
{
    struct faults faults = {.left = -1, .syncs = -1};
    struct storage_io io = {faulty_write, faulty_sync, &faults};
    struct storage_options options = {
        .folder = path,
        .segment_bytes = SEGMENT_BYTES,
        .io = &io,
    };
    struct quorum_record record = {
        .kind = QUORUM_RECORD_HARD,
        .u.hard = {99, {3}, 78, true},
    };
    struct quorum_stored stored;
    struct storage_report report;
    struct storage *storage;

    storage = storage_open(&options, &stored, &report, NULL);
    assert_non_null(storage);
    quorum_stored_clear(&stored);
    assert_true(storage_write(storage, &record, 1, NULL));
    storage_close(storage);
    storage = storage_open(&options, &stored, &report, NULL);
    assert_non_null(storage);
    assert_int_equal(stored.hard.term, 99);
    assert_int_equal(report.torn_bytes, 0);
    quorum_stored_clear(&stored);
    storage_close(storage);
}

static void
test_round_trip(void **state)
{
    struct faults faults = {.left = -1, .syncs = -1};
    struct script script;
    char *path = folder("round");
    char *found;

    (void)state;
    script_init(&script);
    assert_int_equal(run_script(&script, path, &faults),
                     script.state_count - 1);
    for (int i = 0; i < 2; i++) {
        found = open_state(path, NULL);
        assert_string_equal(found, script.states[script.state_count - 1]);
        g_free(found);
    }
    script_clear(&script);
    g_free(path);
}

/* At every byte: the folder of a crash, and the one after an error. */
static void
test_cut_at_every_byte(void **state)
{
    struct script script;
    char *path = folder("cut");
    char *crash = folder("crash");
    struct faults all = {.left = -1, .syncs = -1};
    uint64_t total;

    (void)state;
    script_init(&script);
    run_script(&script, path, &all);
    total = all.written;
    for (uint64_t cut = 0; cut < total; cut++) {
        struct faults faults = {
            .left = (int64_t)cut,
            .syncs = -1,
            .number = cut % 2 == 0 ? EIO : ENOSPC,
            .from = path,
            .crash = crash,
        };
        size_t answered;
        const char *paths[2] = {path, crash};

        remove_folder(path);
        answered = run_script(&script, path, &faults);
        assert_null(faults.from);
        for (int i = 0; i < 2; i++) {
            GError *error = NULL;
            char *found = open_state(paths[i], &error);

            if (found == NULL ||
                !state_between(&script, found, answered, answered + 4)) {
                fail_msg("cut at byte %d of %d, %s: %d records answered for, "
                         "found: %s",
                         (int)cut, (int)total, i == 0 ? "error" : "crash",
                         (int)answered, found ? found : error->message);
            }
            g_free(found);
            assert_goes_on(paths[i]);
        }
    }
    script_clear(&script);
    g_free(path);
    g_free(crash);
}

static void
test_failed_sync(void **state)
{
    struct script script;
    char *path = folder("sync");
    struct faults all = {.left = -1, .syncs = -1};

    (void)state;
    script_init(&script);
    run_script(&script, path, &all);
    for (uint64_t syncs = 0; syncs < all.synced; syncs++) {
        struct faults faults = {
            .left = -1, .syncs = (int64_t)syncs, .number = EIO};
        size_t answered;
        char *found;

        remove_folder(path);
        answered = run_script(&script, path, &faults);
        found = open_state(path, NULL);
        assert_non_null(found);
        /* Nothing counts that the failed sync should have stored, but for a
         * snapshot that has its file already. */
        if (!state_between(&script, found, answered, answered) &&
            !(strstr(script.states[answered + 1], "snapshot") != NULL &&
              state_between(&script, found, answered + 1, answered + 1))) {
            fail_msg("sync %d failed, %d records answered for, found: %s",
                     (int)syncs, (int)answered, found);
        }
        g_free(found);
    }
    script_clear(&script);
    g_free(path);
}

/* Any changed byte: refused, or the last write cut off, never another state.
 */
static void
test_damage(void **state)
{
    struct faults faults = {.left = -1, .syncs = -1};
    struct script script;
    char *path = folder("damage");
    char *copy = folder("damaged");
    GDir *dir;
    const char *name;
    size_t refused = 0;
    size_t last;

    (void)state;
    script_init(&script);
    run_script(&script, path, &faults);
    last = script.state_count - 1;
    dir = g_dir_open(path, 0, NULL);
    while ((name = g_dir_read_name(dir)) != NULL) {
        char *file = g_build_filename(copy, name, NULL);
        char *data = NULL;
        gsize len = 0;

        copy_folder(path, copy);
        g_file_get_contents(file, &data, &len, NULL);
        for (gsize i = 0; i < len; i++) {
            GError *error = NULL;
            char *found;

            copy_folder(path, copy);
            data[i] ^= 0x10;
            g_file_set_contents(file, data, (gssize)len, NULL);
            data[i] ^= 0x10;
            found = open_state(copy, &error);
            if (found == NULL) {
                assert_int_equal(error->code, ERR_CORRUPT);
                assert_non_null(strstr(error->message, "data folder"));
                g_error_free(error);
                refused++;
            }
            else if (!state_between(&script, found, last - 1, last)) {
                fail_msg("byte %d of %s changed, found: %s", (int)i, name,
                         found);
            }
            g_free(found);
        }
        g_free(data);
        g_free(file);
    }
    assert_true(refused > 100);
    g_dir_close(dir);
    script_clear(&script);
    g_free(path);
    g_free(copy);
}

static void
test_missing_files(void **state)
{
    struct faults faults = {.left = -1, .syncs = -1};
    struct script script;
    char *path = folder("missing");
    char *copy = folder("missed");
    GDir *dir;
    const char *name;

    (void)state;
    script_init(&script);
    /* The third snapshot is left out, so that entries stand behind one. */
    script.counts[23] = 0;
    run_script(&script, path, &faults);
    script.counts[23] = 1;
    dir = g_dir_open(path, 0, NULL);
    while ((name = g_dir_read_name(dir)) != NULL) {
        char *file = g_build_filename(copy, name, NULL);
        GError *error = NULL;
        char *found;

        copy_folder(path, copy);
        unlink(file);
        found = open_state(copy, &error);
        if (strcmp(name, "LOCK") == 0) {
            assert_non_null(found);
        }
        else if (found != NULL) {
            /* Only the newest segment can be missed without a trace. */
            assert_true(
                state_between(&script, found, 1, script.state_count - 2));
        }
        else {
            assert_int_equal(error->code, ERR_CORRUPT);
            g_error_free(error);
        }
        g_free(found);
        g_free(file);
    }
    g_dir_close(dir);
    script_clear(&script);
    g_free(path);
    g_free(copy);
}

/*
 * A snapshot that lags far behind the log: its mark stands behind entries
 * whose forerunners were cleared away later.
 */
static void
test_lagging_snapshot(void **state)
{
    static const uint64_t snapshots[] = {5, 30};
    struct storage_options options = {
        .folder = folder("lagging"),
        .segment_bytes = SEGMENT_BYTES,
    };
    struct storage_report report;
    struct quorum_stored stored;
    struct quorum_record record = {
        .kind = QUORUM_RECORD_HARD,
        .u.hard = {1, {1}, 77, true},
    };
    struct storage *storage;
    GBytes *data = g_bytes_new("data", 4);

    (void)state;
    storage = storage_open(&options, &stored, &report, NULL);
    quorum_stored_clear(&stored);
    assert_true(storage_write(storage, &record, 1, NULL));
    for (uint64_t i = 1; i <= 40; i++) {
        record.kind = QUORUM_RECORD_ENTRY;
        record.u.entry = quorum_entry_new(i, 1, QUORUM_ENTRY_NOOP);
        assert_true(storage_write(storage, &record, 1, NULL));
        quorum_record_clear(&record);
    }
    for (size_t i = 0; i < 2; i++) {
        record.kind = QUORUM_RECORD_SNAPSHOT;
        record.u.snapshot = quorum_snapshot_new(snapshots[i], 1, data);
        assert_true(storage_write(storage, &record, 1, NULL));
        quorum_record_clear(&record);
    }
    storage_close(storage);
    storage = storage_open(&options, &stored, &report, NULL);
    assert_non_null(storage);
    assert_true(report.segments > 1);
    assert_int_equal(stored.snapshot->index, 30);
    assert_int_equal(stored.entries->len, 10);
    quorum_stored_clear(&stored);
    storage_close(storage);
    g_bytes_unref(data);
    g_free((char *)options.folder);
}

static void
test_folder_errors(void **state)
{
    char *path = folder("held");
    char *nowhere = g_build_filename(root, "no", "such", NULL);
    struct storage_options options = {.folder = path};
    struct quorum_stored stored;
    struct storage_report report;
    struct storage *storage;
    GError *error = NULL;

    (void)state;
    storage = storage_open(&options, &stored, &report, NULL);
    assert_non_null(storage);
    assert_true(report.was_empty);
    assert_false(storage_space_low(storage) && report.segments != 0);
    quorum_stored_clear(&stored);
    assert_null(open_state(path, &error));
    assert_int_equal(error->code, ERR_STORAGE);
    assert_non_null(strstr(error->message, "held by another process"));
    g_clear_error(&error);
    storage_close(storage);
    assert_null(open_state(nowhere, &error));
    assert_non_null(strstr(error->message, "name another data folder"));
    g_clear_error(&error);
    /* A folder in which not even root can make a file. */
    assert_null(open_state("/proc/self", &error));
    assert_int_equal(error->code, ERR_STORAGE);
    g_clear_error(&error);
    g_free(nowhere);
    g_free(path);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_round_trip),
        cmocka_unit_test(test_cut_at_every_byte),
        cmocka_unit_test(test_failed_sync),
        cmocka_unit_test(test_damage),
        cmocka_unit_test(test_missing_files),
        cmocka_unit_test(test_lagging_snapshot),
        cmocka_unit_test(test_folder_errors),
    };
    static const char *const names[] = {
        "round",   "cut",     "crash",  "sync", "damage",
        "damaged", "missing", "missed", "held", "lagging"};
    int failed;

    root = g_dir_make_tmp("parsleyspur-storage-XXXXXX", NULL);
    failed = cmocka_run_group_tests(tests, NULL, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        g_free(folder(names[i]));
    }
    rmdir(root);
    return failed;
}
