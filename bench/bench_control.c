/*
 * Control traffic, processor time and memory of real daemons at today's size:
 * two pools, 18 targets that announce themselves, an edit every 7 seconds;
 * and the slopes of bytes against the number of daemons.
 */
#include "process_fleet.h"

#define BLOCK        202
#define TARGETS      18
#define ANNOUNCE_US  2000000
#define SETTLE_S     5
#define MEASURE_S    15
#define EDIT_EVERY_S 7
#define SIZES        4

/* What one size of fleet costs, the worst daemon and the mean. */
struct cost {
    double bytes_max;
    double bytes_mean;
    double core_max; /* percent of a core */
    double rss_mb_max;
};

struct reading {
    double bytes;
    double ticks;
    double rss_mb;
};

static void build_fleet(struct process_fleet *, unsigned daemons);
static void announce_all(struct process_fleet *);
static void put(struct process_fleet *, const char *path, const char *row,
                unsigned serial);
static struct reading read_daemon(const struct process_daemon *);
static struct cost measure(unsigned daemons);

static void
build_fleet(struct process_fleet *fleet, unsigned daemons)
{
    static const char *const zones[] = {"suva", "nadi", "lautoka"};

    fleet_init(fleet, BLOCK);
    for (unsigned i = 0; i < daemons; i++) {
        fleet_add(fleet, zones[i % 3], i % 3 + 1,
                  i < 3 ? "entry,control" : "entry");
    }
    for (size_t i = 0; i < fleet->count; i++) {
        fleet_start(fleet, i);
    }
    if (!fleet_wait_ready(fleet)) {
        fprintf(stderr, "the fleet does not come up; see %s\n", fleet->folder);
        exit(1);
    }
}

/* Every target announces itself to a daemon of its zone. */
static void
announce_all(struct process_fleet *fleet)
{
    static unsigned round;

    round++;
    for (unsigned i = 0; i < TARGETS; i++) {
        size_t at = (i % 3 + round % (fleet->count / 3) * 3) % fleet->count;
        char *body = g_strdup_printf(
            "{\"pool\":\"%s\",\"address\":\"127.%u.20.%u\",\"slots\":2,"
            "\"connections\":2000,\"zone\":\"%s\",\"incarnation\":1}",
            i < 14 ? "fieldline" : "plansdesk", BLOCK, i + 1,
            fleet->daemons[at].zone);
        struct fleet_answer answer = fleet_http(&fleet->daemons[at], "POST",
                                                "/v1/announce", body, NULL);

        json_decref(answer.body);
        g_free(body);
    }
}

/* Set a row, built on the present version. */
static void
put(struct process_fleet *fleet, const char *path, const char *row,
    unsigned serial)
{
    struct fleet_answer list =
        fleet_http(&fleet->daemons[0], "GET", "/v1/pools", NULL, NULL);
    char *body = g_strdup_printf(
        "{\"edit_id\":\"control-%u\",\"base_version\":%" JSON_INTEGER_FORMAT
        ",\"row\":%s}",
        serial, json_integer_value(json_object_get(list.body, "version")),
        row);
    struct fleet_answer answer =
        fleet_http(&fleet->daemons[0], "PUT", path, body, NULL);

    if (answer.status != 200) {
        fprintf(stderr, "PUT %s: status %ld\n", path, answer.status);
    }
    json_decref(answer.body);
    json_decref(list.body);
    g_free(body);
}

/* Control bytes both ways, processor time and memory of a daemon. */
static struct reading
read_daemon(const struct process_daemon *daemon)
{
    struct reading reading = {0, 0, 0};
    GString *text = g_string_new(NULL);
    struct fleet_answer answer =
        fleet_http(daemon, "GET", "/metrics", NULL, text);
    char **lines = g_strsplit(text->str, "\n", -1), *stat, *path;

    json_decref(answer.body);
    for (char **line = lines; *line != NULL; line++) {
        if (g_str_has_prefix(*line, "parsleyspur_peer_bytes_total")) {
            reading.bytes += g_ascii_strtod(strrchr(*line, ' '), NULL);
        }
    }
    path = g_strdup_printf("/proc/%d/stat", (int)daemon->pid);
    if (g_file_get_contents(path, &stat, NULL, NULL)) {
        char **fields = g_strsplit(strrchr(stat, ')') + 2, " ", -1);

        reading.ticks = g_ascii_strtod(fields[11], NULL) +
                        g_ascii_strtod(fields[12], NULL);
        reading.rss_mb = g_ascii_strtod(fields[21], NULL) *
                         (double)sysconf(_SC_PAGESIZE) / (1 << 20);
        g_strfreev(fields);
        g_free(stat);
    }
    g_free(path);
    g_strfreev(lines);
    g_string_free(text, TRUE);
    return reading;
}

static struct cost
measure(unsigned daemons)
{
    struct process_fleet fleet;
    struct reading before[FLEET_MAX] = {{0}};
    struct cost cost = {0, 0, 0, 0};
    double ticks_per_s = (double)sysconf(_SC_CLK_TCK), seconds;
    gint64 start;
    unsigned serial = 0;

    build_fleet(&fleet, daemons);
    put(&fleet, "/v1/pools/fieldline", "{}", ++serial);
    put(&fleet, "/v1/pools/plansdesk", "{\"prefer\":\"balance\"}", ++serial);
    put(&fleet, "/v1/routes/alerts",
        "{\"address\":\"10.0.0.1\",\"pool\":\"fieldline\"}", ++serial);
    put(&fleet, "/v1/routes/uploads",
        "{\"address\":\"10.0.0.2\",\"pool\":\"plansdesk\"}", ++serial);
    for (int i = 0; i * ANNOUNCE_US < SETTLE_S * G_USEC_PER_SEC; i++) {
        announce_all(&fleet);
        g_usleep(ANNOUNCE_US);
    }
    for (size_t i = 0; i < fleet.count; i++) {
        before[i] = read_daemon(&fleet.daemons[i]);
    }
    start = g_get_monotonic_time();
    for (int i = 0; i * ANNOUNCE_US < MEASURE_S * G_USEC_PER_SEC; i++) {
        announce_all(&fleet);
        if (i * (ANNOUNCE_US / G_USEC_PER_SEC) % EDIT_EVERY_S < 2) {
            put(&fleet, "/v1/pools/fieldline", "{\"queue_limit\":9}",
                ++serial);
        }
        g_usleep(ANNOUNCE_US);
    }
    seconds =
        (double)(g_get_monotonic_time() - start) / (double)G_USEC_PER_SEC;
    for (size_t i = 0; i < fleet.count; i++) {
        struct reading after = read_daemon(&fleet.daemons[i]);
        double bytes = (after.bytes - before[i].bytes) / seconds;
        double core =
            (after.ticks - before[i].ticks) / ticks_per_s / seconds * 100;

        cost.bytes_mean += bytes / (double)fleet.count;
        cost.bytes_max = MAX(cost.bytes_max, bytes);
        cost.core_max = MAX(cost.core_max, core);
        cost.rss_mb_max = MAX(cost.rss_mb_max, after.rss_mb);
    }
    fleet_clear(&fleet);
    return cost;
}

int
main(void)
{
    static const unsigned sizes[SIZES] = {3, 6, 9, 12};
    double n = SIZES, sx = 0, sy = 0, sxx = 0, sxy = 0;

    for (size_t i = 0; i < SIZES; i++) {
        struct cost cost = measure(sizes[i]);

        printf("control.bytes_per_s.daemons_%u %.0f bytes/s\n", sizes[i],
               cost.bytes_max);
        printf("control.bytes_per_s_mean.daemons_%u %.0f bytes/s\n", sizes[i],
               cost.bytes_mean);
        printf("control.core_percent.daemons_%u %.2f percent\n", sizes[i],
               cost.core_max);
        sx += sizes[i];
        sy += cost.bytes_mean;
        sxx += (double)sizes[i] * sizes[i];
        sxy += sizes[i] * cost.bytes_mean;
        if (sizes[i] == 9) {
            printf("control.bytes_per_s %.0f bytes/s\n", cost.bytes_max);
            printf("control.core_percent %.2f percent\n", cost.core_max);
            printf("control.rss_mb %.1f MB\n", cost.rss_mb_max);
        }
    }
    printf("control.bytes_per_s.slope_daemons %.1f bytes/s\n",
           (n * sxy - sx * sy) / (n * sxx - sx * sx));
    return 0;
}
