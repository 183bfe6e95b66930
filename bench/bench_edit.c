/*
 * Edits over 3 control and 9 entry daemons: how long until they are committed
 * and in force, and whether any is lost or reverted while daemons are killed.
 */
#include "process_fleet.h"

#define BLOCK        201
#define EDITS        200
#define KILLS        200
#define POOLS        20
#define ENTRIES      9
#define CONTROLS     3
#define PAUSE_MAX_US 300000
#define ANSWER_S     60 /* an edit must be answered for within */
#define SEED_DEFAULT 1

/* An edit that was answered for, by its pool. */
struct accepted {
    json_int_t version;
    json_int_t queue_limit; /* the value written */
};

struct writer {
    struct process_fleet *fleet;
    GRand *rand;
    struct accepted last[POOLS];
    unsigned accepted;
    unsigned unanswered;
    unsigned contradicted; /* another answer to the same edit id */
    int stop;
    unsigned serial;
};

struct watcher {
    struct process_fleet *fleet;
    json_int_t highest[FLEET_MAX];
    unsigned reverted;
    int stop;
};

static void build_fleet(struct process_fleet *);
static json_int_t current_version(const struct process_daemon *);
static json_int_t write_pool(struct writer *, unsigned pool, json_int_t value);
static void measure_times(struct process_fleet *);
static void wait_in_force(const struct process_daemon *, const char *id);
static void *run_writer(void *);
static void *run_watcher(void *);
static unsigned count_lost(struct writer *);
static bool wait_settled(struct process_fleet *, json_int_t version);
static void kill_at_random(struct process_fleet *, GRand *);

static void
build_fleet(struct process_fleet *fleet)
{
    static const char *const zones[] = {"suva", "nadi", "lautoka"};

    fleet_init(fleet, BLOCK);
    for (unsigned i = 0; i < CONTROLS; i++) {
        fleet_add(fleet, zones[i], i + 1, "control");
    }
    for (unsigned i = 0; i < ENTRIES; i++) {
        fleet_add(fleet, zones[i % 3], i % 3 + 1, "entry");
    }
    for (size_t i = 0; i < fleet->count; i++) {
        fleet_start(fleet, i);
    }
    if (!fleet_wait_ready(fleet)) {
        fprintf(stderr, "the fleet does not come up; see %s\n", fleet->folder);
        exit(1);
    }
}

/* The tables' version by the word of DAEMON, or -1. */
static json_int_t
current_version(const struct process_daemon *daemon)
{
    struct fleet_answer answer =
        fleet_http(daemon, "GET", "/v1/pools", NULL, NULL);
    json_int_t version = -1;

    if (answer.status == 200) {
        version = json_integer_value(json_object_get(answer.body, "version"));
    }
    json_decref(answer.body);
    return version;
}

/*
 * Set a pool's queue limit through a random daemon, sending the same edit
 * again until it is answered for.  Returns the version, or -1 if refused.
 */
static json_int_t
write_pool(struct writer *writer, unsigned pool, json_int_t value)
{
    gint64 end = g_get_monotonic_time() + (gint64)ANSWER_S * G_USEC_PER_SEC;
    char *path = g_strdup_printf("/v1/pools/pool-%u", pool);
    char *id = g_strdup_printf("edit-%u", ++writer->serial);
    json_int_t version = -1;
    char *body = NULL;

    while (g_get_monotonic_time() < end) {
        const struct process_daemon *at =
            &writer->fleet->daemons[g_rand_int_range(
                writer->rand, 0, (gint32)writer->fleet->count)];
        struct fleet_answer answer;

        if (body == NULL) {
            json_int_t base = current_version(at);

            if (base < 0) {
                g_usleep(20000);
                continue;
            }
            body = g_strdup_printf(
                "{\"edit_id\":\"%s\",\"base_version\":%" JSON_INTEGER_FORMAT
                ",\"accept_without\":[\"suva\",\"nadi\",\"lautoka\"],"
                "\"row\":{\"queue_limit\":%" JSON_INTEGER_FORMAT "}}",
                id, base, value);
        }
        answer = fleet_http(at, "PUT", path, body, NULL);
        if (answer.status == 200) {
            version =
                json_integer_value(json_object_get(answer.body, "version"));
        }
        json_decref(answer.body);
        if (answer.status == 200 || answer.status == 409 ||
            answer.status == 422) {
            break;
        }
        g_usleep(20000);
    }
    if (g_get_monotonic_time() >= end) {
        writer->unanswered++;
    }
    g_free(body);
    g_free(id);
    g_free(path);
    return version;
}

/* Ask the leader until the edit ID is in force on every daemon. */
static void
wait_in_force(const struct process_daemon *daemon, const char *id)
{
    char *path = g_strdup_printf("/v1/edits/%s", id);
    bool in_force = false;

    while (!in_force) {
        struct fleet_answer answer =
            fleet_http(daemon, "GET", path, NULL, NULL);

        in_force = json_is_true(json_object_get(
            json_object_get(answer.body, "force"), "in_force"));
        json_decref(answer.body);
        if (!in_force) {
            g_usleep(2000);
        }
    }
    g_free(path);
}

static void
measure_times(struct process_fleet *fleet)
{
    struct writer writer = {.fleet = fleet,
                            .rand = g_rand_new_with_seed(SEED_DEFAULT)};
    double commit_ms[EDITS], in_force_ms[EDITS];

    for (unsigned i = 0; i < EDITS; i++) {
        gint64 start = g_get_monotonic_time();
        char *id;

        write_pool(&writer, i % POOLS, i);
        commit_ms[i] = (double)(g_get_monotonic_time() - start) / 1000;
        id = g_strdup_printf("edit-%u", writer.serial);
        wait_in_force(&fleet->daemons[0], id);
        in_force_ms[i] = (double)(g_get_monotonic_time() - start) / 1000;
        g_free(id);
    }
    printf("edit.commit_ms_p99 %.1f ms\n",
           fleet_percentile(commit_ms, EDITS, 99));
    printf("edit.in_force_ms_p99 %.1f ms\n",
           fleet_percentile(in_force_ms, EDITS, 99));
    printf("edit.in_force_ms_median %.1f ms\n",
           fleet_percentile(in_force_ms, EDITS, 50));
    g_rand_free(writer.rand);
}

/* Write one pool after another until told to stop. */
static void *
run_writer(void *data)
{
    struct writer *writer = data;

    writer->serial = EDITS;
    while (!__atomic_load_n(&writer->stop, __ATOMIC_RELAXED)) {
        unsigned pool = (unsigned)g_rand_int_range(writer->rand, 0, POOLS);
        json_int_t value = g_rand_int_range(writer->rand, 1, 1000000);
        json_int_t version = write_pool(writer, pool, value);

        if (version > writer->last[pool].version) {
            writer->last[pool].version = version;
            writer->last[pool].queue_limit = value;
            writer->accepted++;
        }
    }
    return NULL;
}

/* Look at each daemon's version in force; it must never fall. */
static void *
run_watcher(void *data)
{
    struct watcher *watcher = data;

    while (!__atomic_load_n(&watcher->stop, __ATOMIC_RELAXED)) {
        for (size_t i = CONTROLS; i < watcher->fleet->count; i++) {
            json_int_t version = fleet_in_force(&watcher->fleet->daemons[i]);

            if (version >= 0 && version < watcher->highest[i]) {
                watcher->reverted++;
            }
            watcher->highest[i] = MAX(watcher->highest[i], version);
        }
        g_usleep(10000);
    }
    return NULL;
}

/* Kill one daemon at a random moment, and start it again. */
static void
kill_at_random(struct process_fleet *fleet, GRand *rand)
{
    size_t index = (size_t)g_rand_int_range(rand, 0, (gint32)fleet->count);

    g_usleep((gulong)g_rand_int_range(rand, 0, PAUSE_MAX_US));
    fleet_end(fleet, index, SIGKILL);
    g_usleep((gulong)g_rand_int_range(rand, 0, PAUSE_MAX_US));
    fleet_start(fleet, index);
}

/* Wait until every entry daemon has VERSION or a later one in force. */
static bool
wait_settled(struct process_fleet *fleet, json_int_t version)
{
    gint64 end = g_get_monotonic_time() + (gint64)30 * G_USEC_PER_SEC;

    for (size_t i = CONTROLS; i < fleet->count; i++) {
        while (fleet_in_force(&fleet->daemons[i]) < version) {
            if (g_get_monotonic_time() > end) {
                fprintf(stderr,
                        "%s has version %" JSON_INTEGER_FORMAT
                        ", not %" JSON_INTEGER_FORMAT "\n",
                        fleet->daemons[i].name,
                        fleet_in_force(&fleet->daemons[i]), version);
                return false;
            }
            g_usleep(20000);
        }
    }
    return true;
}

/* Pools whose last accepted value is not what the tables hold. */
static unsigned
count_lost(struct writer *writer)
{
    unsigned lost = 0;

    for (unsigned i = 0; i < POOLS; i++) {
        char *path = g_strdup_printf("/v1/pools/pool-%u", i);
        struct fleet_answer answer =
            fleet_http(&writer->fleet->daemons[0], "GET", path, NULL, NULL);
        json_t *row = json_object_get(answer.body, "row");

        if (writer->last[i].version > 0 &&
            json_integer_value(json_object_get(row, "queue_limit")) !=
                writer->last[i].queue_limit) {
            lost++;
        }
        json_decref(answer.body);
        g_free(path);
    }
    return lost;
}

int
main(void)
{
    struct process_fleet fleet;
    struct writer writer = {.fleet = &fleet};
    struct watcher watcher = {.fleet = &fleet};
    GRand *rand = g_rand_new_with_seed(SEED_DEFAULT);
    GThread *threads[2];
    json_int_t last = 0;
    bool settled;

    build_fleet(&fleet);
    measure_times(&fleet);
    writer.rand = g_rand_new_with_seed(SEED_DEFAULT + 1);
    threads[0] = g_thread_new("writer", run_writer, &writer);
    threads[1] = g_thread_new("watcher", run_watcher, &watcher);
    for (unsigned i = 0; i < KILLS; i++) {
        kill_at_random(&fleet, rand);
    }
    __atomic_store_n(&writer.stop, 1, __ATOMIC_RELAXED);
    g_thread_join(threads[0]);
    for (unsigned i = 0; i < POOLS; i++) {
        last = MAX(last, writer.last[i].version);
    }
    settled = fleet_wait_ready(&fleet) && wait_settled(&fleet, last);
    __atomic_store_n(&watcher.stop, 1, __ATOMIC_RELAXED);
    g_thread_join(threads[1]);
    printf("edit.kills %d kills\n", KILLS);
    printf("edit.accepted %u edits\n", writer.accepted);
    printf("edit.unanswered %u edits\n", writer.unanswered);
    printf("edit.lost %u edits\n", count_lost(&writer));
    printf("edit.reverted %u times\n", watcher.reverted);
    printf("edit.settled %d bool\n", settled);
    if (settled) {
        fleet_clear(&fleet);
    }
    else {
        for (size_t i = 0; i < fleet.count; i++) {
            fleet_end(&fleet, i, SIGKILL);
        }
        fprintf(stderr, "logs stay in %s\n", fleet.folder);
    }
    g_rand_free(rand);
    g_rand_free(writer.rand);
    return settled ? 0 : 1;
}
