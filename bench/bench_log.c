/*
 * The replicated log: how long one edit takes to be stored, what processor
 * time three voters spend on committing it, and its bytes between them.
 * PARSLEYSPUR_BENCH_FOLDER names the folder to write in; default: build.
 */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>
#include <unistd.h>

#include "peer/quorum_wire.h"
#include "peer/table_wire.h"
#include "quorum/quorum_core.h"
#include "quorum/storage.h"
#include "table/table_core.h"

#define VOTERS  3
#define APPENDS 2000
#define EDITS   50000
#define POOLS   100
#define TICK_US 50000

struct voter {
    struct quorum_core *core;
    struct table_core *table;
};

struct letter {
    struct daemon_id to;
    GByteArray *bytes;
};

struct cluster {
    struct voter voters[VOTERS];
    uint64_t now_us;
    GQueue letters; /* struct letter */
    uint64_t sent_bytes;
    uint64_t applied;
};

static void bench_append(void);
static void bench_commit(size_t batch);
static int compare_doubles(const void *, const void *);
static void deliver(struct cluster *);
static GBytes *make_edit(uint64_t);
static double processor_us(void);
static void step(struct cluster *, size_t, const struct quorum_event *);
static double wall_ms(void);

static double
wall_ms(void)
{
    struct timespec now;

    clock_gettime(CLOCK_MONOTONIC, &now);
    return (double)now.tv_sec * 1e3 + (double)now.tv_nsec / 1e6;
}

static double
processor_us(void)
{
    struct timespec now;

    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

static int
compare_doubles(const void *a, const void *b)
{
    double x = *(const double *)a;
    double y = *(const double *)b;

    return x < y ? -1 : x > y;
}

/* The edit that makes version BASE + 1: a pool with 14 weighted targets. */
static GBytes *
make_edit(uint64_t base)
{
    struct table_weight weights[14];
    struct table_command command = {.kind = TABLE_COMMAND_EDIT};
    struct table_edit *edit = &command.u.edit;
    GByteArray *bytes = g_byte_array_new();

    for (uint32_t i = 0; i < G_N_ELEMENTS(weights); i++) {
        weights[i] = (struct table_weight){0x0a000001U + i, 100};
    }
    g_snprintf(edit->id, sizeof(edit->id), "operator-%012d", (int)base);
    edit->base_version = base;
    edit->row.kind = TABLE_POOL;
    g_snprintf(edit->row.u.pool.name, TABLE_NAME_MAX, "fieldline-%d",
               (int)(base % POOLS));
    edit->row.u.pool.weights = weights;
    edit->row.u.pool.weight_count = G_N_ELEMENTS(weights);
    table_wire_pack_command(&command, bytes);
    return g_byte_array_free_to_bytes(bytes);
}

static void
bench_append(void)
{
    const char *parent = g_getenv("PARSLEYSPUR_BENCH_FOLDER");
    char *folder = g_strdup_printf(
        "%s/bench-log-%d", parent != NULL ? parent : "build", (int)getpid());
    struct storage_options options = {.folder = folder};
    struct storage_report report;
    struct quorum_stored stored;
    GError *error = NULL;
    struct storage *storage;
    double *times = g_new(double, APPENDS);
    char *name;

    storage = storage_open(&options, &stored, &report, &error);
    quorum_stored_clear(&stored);
    if (storage == NULL) {
        g_error("%s", error->message);
    }
    for (uint64_t i = 0; i < APPENDS; i++) {
        struct quorum_record record = {.kind = QUORUM_RECORD_ENTRY};
        double start;

        record.u.entry = quorum_entry_new(i + 1, 1, QUORUM_ENTRY_COMMAND);
        record.u.entry->command = make_edit(i);
        start = wall_ms();
        if (!storage_write(storage, &record, 1, &error)) {
            g_error("%s", error->message);
        }
        times[i] = wall_ms() - start;
        quorum_record_clear(&record);
    }
    qsort(times, APPENDS, sizeof(*times), compare_doubles);
    printf("log.append_ms_p50 %.3f ms\n", times[APPENDS / 2]);
    printf("log.append_ms_p99 %.3f ms\n", times[APPENDS * 99 / 100]);
    storage_close(storage);
    name = g_strdup_printf("%s/log-%016x", folder, 1);
    unlink(name);
    g_free(name);
    name = g_strdup_printf("%s/LOCK", folder);
    unlink(name);
    g_free(name);
    rmdir(folder);
    g_free(folder);
    g_free(times);
}

static void
step(struct cluster *cluster, size_t at, const struct quorum_event *event)
{
    struct voter *voter = &cluster->voters[at];
    struct quorum_actions actions = {0};
    struct table_result result;
    struct letter *letter;
    gsize len;

    quorum_core_step(voter->core, cluster->now_us, event, &actions);
    for (size_t i = 0; i < actions.count; i++) {
        struct quorum_action *action = &actions.items[i];
        struct quorum_event next = {0};

        switch (action->kind) {
        case QUORUM_ACT_STORE:
            next.kind = QUORUM_EV_STORED;
            next.u.stored.token = action->u.store.token;
            next.u.stored.ok = true;
            step(cluster, at, &next);
            break;
        case QUORUM_ACT_SEND:
            letter = g_new(struct letter, 1);
            letter->to = action->u.send.to;
            letter->bytes = g_byte_array_new();
            quorum_wire_pack(&action->u.send.message, letter->bytes);
            cluster->sent_bytes += letter->bytes->len;
            g_queue_push_tail(&cluster->letters, letter);
            break;
        case QUORUM_ACT_APPLY:
            table_core_apply(voter->table, action->u.apply->index,
                             g_bytes_get_data(action->u.apply->command, &len),
                             g_bytes_get_size(action->u.apply->command),
                             &result);
            cluster->applied += result.reason == TABLE_ACCEPTED ? 1 : 0;
            break;
        case QUORUM_ACT_TAKE_SNAPSHOT:
        case QUORUM_ACT_INSTALL_SNAPSHOT:
        case QUORUM_ACT_ROLE:
        case QUORUM_ACT_REFUSE:
        case QUORUM_ACT__MAX:
            break;
        }
    }
    quorum_actions_clear(&actions);
    g_free(actions.items);
}

static void
deliver(struct cluster *cluster)
{
    struct letter *letter;

    while ((letter = g_queue_pop_head(&cluster->letters)) != NULL) {
        struct quorum_event event = {.kind = QUORUM_EV_MESSAGE};
        struct quorum_message message;

        if (!quorum_wire_unpack(letter->bytes->data, letter->bytes->len,
                                &message)) {
            g_error("a message cannot be read back");
        }
        event.u.message = &message;
        step(cluster, letter->to.value - 1, &event);
        quorum_message_clear(&message);
        g_byte_array_unref(letter->bytes);
        g_free(letter);
    }
}

/* Commit EDITS edits in batches of BATCH, without waiting for any disk. */
static void
bench_commit(size_t batch)
{
    struct quorum_event tick = {.kind = QUORUM_EV_TICK};
    struct cluster cluster = {.now_us = 1000000};
    struct quorum_proposal *items = g_new0(struct quorum_proposal, batch);
    size_t leader = VOTERS;
    double start;
    double spent;

    for (size_t i = 0; i < VOTERS; i++) {
        struct quorum_options options = {
            .self = {i + 1},
            .voters = {{1}, {2}, {3}},
            .voter_count = VOTERS,
            .seed = i + 1,
        };
        struct quorum_stored empty;

        quorum_stored_init(&empty);
        cluster.voters[i].core =
            quorum_core_new(&options, &empty, cluster.now_us);
        cluster.voters[i].table = table_core_new(NULL);
        quorum_stored_clear(&empty);
    }
    while (leader == VOTERS) {
        cluster.now_us += TICK_US;
        for (size_t i = 0; i < VOTERS; i++) {
            step(&cluster, i, &tick);
            deliver(&cluster);
            if (quorum_core_read_ok(cluster.voters[i].core, cluster.now_us)) {
                leader = i;
            }
        }
    }
    cluster.sent_bytes = 0;
    start = processor_us();
    for (uint64_t i = 0; i < EDITS; i += batch) {
        struct quorum_event event = {.kind = QUORUM_EV_PROPOSE};

        for (size_t j = 0; j < batch; j++) {
            items[j].request = i + j + 1;
            items[j].command = make_edit(i + j);
        }
        event.u.propose.items = items;
        event.u.propose.count = batch;
        step(&cluster, leader, &event);
        deliver(&cluster);
        for (size_t j = 0; j < batch; j++) {
            g_bytes_unref(items[j].command);
        }
    }
    spent = processor_us() - start;
    if (cluster.applied < EDITS) {
        g_error("%d edits were applied, not %d", (int)cluster.applied, EDITS);
    }
    printf("log.commit_core_us%s %.2f us\n", batch > 1 ? "_batch" : "",
           spent / EDITS);
    printf("log.bytes_per_edit%s %.0f bytes\n", batch > 1 ? "_batch" : "",
           (double)cluster.sent_bytes / EDITS);
    for (size_t i = 0; i < VOTERS; i++) {
        quorum_core_free(cluster.voters[i].core);
        table_core_free(cluster.voters[i].table);
    }
    g_free(items);
}

int
main(void)
{
    bench_append();
    bench_commit(1);
    bench_commit(16);
    return 0;
}
