/*
 * Generated sequences of writes to the log's files, each cut off at some byte
 * and continued after opening the folder again.  Opening always finds the
 * state after a prefix of the records that includes all acknowledged ones.
 */
#include <cerrno>
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include <sys/stat.h>
#include <unistd.h>

#include <rapidcheck.h>

extern "C" {
#include "quorum/storage.h"
}

/* A description of the records of one batch. */
struct Batch {
    int hard_state; /* 1 for a hard state with the next term, otherwise 0 */
    int entries;    /* number of entries to append */
    int replaced;   /* number of entries at the log's end that they replace */
    /* 0 none; 1 within the log, or beyond its end if it has fewer than two
     * entries; 2 beyond its end; 3 at its end, of another term. */
    int snapshot;
    int later_entries; /* number of entries to append after the snapshot */
};

namespace rc {
/* Random batches; most have no snapshot and no hard state. */
template <> struct Arbitrary<Batch> {
    static Gen<Batch>
    arbitrary()
    {
        return gen::build<Batch>(
            gen::set(&Batch::hard_state,
                     gen::weightedElement<int>({{3, 0}, {1, 1}})),
            gen::set(&Batch::entries, gen::inRange(0, 5)),
            gen::set(&Batch::replaced,
                     gen::weightedElement<int>({{4, 0}, {1, 2}, {1, 4}})),
            gen::set(&Batch::snapshot, gen::weightedElement<int>(
                                           {{8, 0}, {3, 1}, {1, 2}, {1, 3}})),
            gen::set(&Batch::later_entries, gen::inRange(0, 3)));
    }
};
} // namespace rc

/* Print batch B in a counterexample. */
static std::ostream &
operator<<(std::ostream &out, const Batch &b)
{
    return out << "{hard " << b.hard_state << " entries " << b.entries
               << " replaced " << b.replaced << " snapshot " << b.snapshot
               << " more " << b.later_entries << "}";
}

static std::string folder; /* the data folder */

/* The number of bytes that may still be written. */
static int64_t bytes_left;

/* write() that fails, after a part is written, when no bytes are left. */
static ssize_t
limited_write(void *, int fd, const void *bytes, size_t len)
{
    size_t part = bytes_left < (int64_t)len ? (size_t)bytes_left : len;
    ssize_t done = part > 0 ? write(fd, bytes, part) : 0;

    bytes_left -= (int64_t)part;
    if (part == len) {
        return done;
    }
    errno = EIO;
    return -1;
}

/* Sync that does nothing. */
static int
no_sync(void *, int)
{
    return 0;
}

/* Return STORED as text for comparison. */
static std::string
describe_state(const quorum_stored &stored)
{
    std::string text = "term " + std::to_string(stored.hard_state.term);

    if (stored.snapshot != nullptr) {
        text += " snapshot " + std::to_string(stored.snapshot->index) + "/" +
                std::to_string(stored.snapshot->term);
    }
    for (guint i = 0; i < stored.entries->len; i++) {
        const quorum_entry *entry =
            (const quorum_entry *)stored.entries->pdata[i];

        text += " " + std::to_string(entry->index) + "/" +
                std::to_string(entry->term);
    }
    return text;
}

/*
 * The records of a batch and the states after each of them.  MODEL is the
 * expected state of the store, to which each record is applied.
 */
struct Records {
    std::vector<quorum_record> items;
    std::vector<std::string> states;

    /* Add RECORD and apply it to MODEL. */
    void
    add(quorum_stored &model, const quorum_record &record)
    {
        quorum_stored_apply(&model, &record);
        items.push_back(record);
        states.push_back(describe_state(model));
    }

    /* Return the index of the snapshot; 0 if there is none. */
    static uint64_t
    base(const quorum_stored &model)
    {
        return model.snapshot != nullptr ? model.snapshot->index : 0;
    }

    /* Return the last index of the log. */
    static uint64_t
    last(const quorum_stored &model)
    {
        return base(model) + model.entries->len;
    }

    /* Add an entry at INDEX. */
    void
    append(quorum_stored &model, uint64_t index)
    {
        quorum_record record = {};

        record.kind = QUORUM_RECORD_ENTRY;
        record.u.entry =
            quorum_entry_new(index, model.hard_state.term, QUORUM_ENTRY_NOOP);
        add(model, record);
    }

    /* Add a snapshot of KIND, as Batch::snapshot says. */
    void
    snapshot(quorum_stored &model, int kind)
    {
        quorum_record record = {};
        GBytes *data = g_bytes_new("state", 5);
        uint64_t index = last(model);
        uint64_t term = model.hard_state.term;

        if (kind == 1 && model.entries->len > 1) { /* within the log */
            const quorum_entry *at =
                (const quorum_entry *)
                    model.entries->pdata[model.entries->len / 2];

            index = at->index;
            term = at->term;
        }
        else if (kind == 1 || kind == 2) {
            index += 3;
        }
        else if (index > base(model)) {
            term += 100; /* no entry has this term */
        }
        if (index > base(model)) {
            record.kind = QUORUM_RECORD_SNAPSHOT;
            record.u.snapshot = quorum_snapshot_new(index, term, data);
            add(model, record);
        }
        g_bytes_unref(data);
    }

    /* Add the records of BATCH. */
    void
    build(quorum_stored &model, const Batch &batch)
    {
        uint64_t next;

        if (batch.hard_state != 0 || model.hard_state.store == 0) {
            quorum_record record = {};

            record.kind = QUORUM_RECORD_HARD_STATE;
            record.u.hard_state = model.hard_state;
            record.u.hard_state.store = 7;
            record.u.hard_state.term++;
            add(model, record);
        }
        next = last(model) + 1;
        for (int i = 0; i < batch.entries; i++) {
            if (i == 0) {
                next -= std::min<uint64_t>((uint64_t)batch.replaced,
                                           model.entries->len);
            }
            append(model, next++);
        }
        if (batch.snapshot != 0) {
            snapshot(model, batch.snapshot);
            for (int i = 0; i < batch.later_entries; i++) {
                append(model, last(model) + 1);
            }
        }
    }

    ~Records()
    {
        for (quorum_record &record : items) {
            quorum_record_clear(&record);
        }
    }
};

/* Remove all files from the data folder. */
static void
empty_folder()
{
    GDir *dir = g_dir_open(folder.c_str(), 0, nullptr);
    const char *name;

    while (dir != nullptr && (name = g_dir_read_name(dir)) != nullptr) {
        unlink((folder + "/" + name).c_str());
    }
    if (dir != nullptr) {
        g_dir_close(dir);
    }
}

/*
 * Open the folder, check that it holds one of STATES, and write BATCHES until
 * LIMIT bytes are written.  Set STATES to those that may be found the next
 * time.
 */
static void
reopen_and_write(const std::vector<Batch> &batches, uint64_t segment_bytes,
                 int64_t limit, std::vector<std::string> &states)
{
    storage_io io = {limited_write, no_sync, nullptr};
    storage_options options = {folder.c_str(), segment_bytes, 1, &io};
    storage_report report;
    quorum_stored model;
    GError *error = nullptr;
    storage *storage;
    bool found = false;

    bytes_left = INT64_MAX;
    storage = storage_open(&options, &model, &report, &error);
    if (storage == nullptr) {
        RC_FAIL(std::string(error->message));
    }
    for (const std::string &state : states) {
        found = found || state == describe_state(model);
    }
    if (!found) {
        RC_FAIL("found " + describe_state(model) + ", acknowledged " +
                states.front());
    }
    states.assign(1, describe_state(model));
    bytes_left = limit;
    for (const Batch &batch : batches) {
        Records records;

        records.build(model, batch);
        if (records.items.empty()) {
            continue;
        }
        if (!storage_write(storage, records.items.data(), records.items.size(),
                           nullptr)) {
            states.insert(states.end(), records.states.begin(),
                          records.states.end());
            break;
        }
        states.assign(1, describe_state(model));
    }
    quorum_stored_clear(&model);
    storage_close(storage);
}

int
main()
{
    char *temp_folder = g_dir_make_tmp("parsleyspur-prop-XXXXXX", nullptr);
    bool passed;

    folder = temp_folder;
    setenv("RC_PARAMS", "max_success=1500 max_size=40 seed=20261204", 0);
    passed = rc::check("a first part of the records is found", [] {
        const auto runs =
            *rc::gen::arbitrary<std::vector<std::vector<Batch>>>();
        const auto segment = *rc::gen::element<uint64_t>(64, 300, 1 << 20);
        std::vector<std::string> states = {"term 0"};

        empty_folder();
        for (size_t i = 0; i < runs.size() && i < 6; i++) {
            reopen_and_write(runs[i], segment,
                             *rc::gen::inRange<int64_t>(0, 3000), states);
        }
        reopen_and_write({}, segment, 0, states);
    });
    empty_folder();
    rmdir(temp_folder);
    g_free(temp_folder);
    return passed ? 0 : 1;
}
