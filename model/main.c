/*
 * model PATTERN|all [--seed N] [--load SHARE] [--size small|grown]
 *       [--plot FOLDER] [--sweep]
 *
 * Prints a row for each way of placing flows under a load pattern; a sweep
 * goes over loads instead, with the product's way.
 *
 * model link-overload|overload-then-calm [--seed N] [--times X]
 *
 * Prints a row for each way of taking in flows at an entry VM's link, X times
 * the usual load; 5 by default.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "model.h"
#include "model_link.h"

#define SECONDS 20

/* An entry VM of a grown deployment, and what comes to it. */
#define LINK_BYTES_PER_S 250000
#define LINK_UPLOADS     1.6 /* a second */
#define LINK_SMALL       10.0
#define LINK_BEGIN_S     5
#define LINK_SECONDS     34
#define LINK_CALM_S      17 /* of overload-then-calm */

struct size_row {
    const char *name;
    unsigned zones, entries, targets;
};

static const struct size_row sizes[] = {
    {"small", 3, 3, 5},
    {"grown", 3, 24, 40},
};

static void run_pattern(const struct model_pattern *,
                        const struct model_options *, const char *folder);
static void sweep(const struct model_pattern *, struct model_options);
static void print_row(const char *, const char *, const struct model_result *);
static bool run_link(const char *pattern, uint64_t seed, double times);

static void
print_row(const char *pattern, const char *label,
          const struct model_result *result)
{
    double asked = (double)(result->asked == 0 ? 1 : result->asked);

    printf("%-8s %-12s %7" G_GUINT64_FORMAT
           " %6.3f %6.3f %6.3f %7.3f %7.1f %7.1f %6.3f %6.3f %6.3f\n",
           pattern, label, result->asked, (double)result->in_goal / asked,
           (double)result->late / asked, (double)result->failed / asked,
           (double)result->refused / asked, result->p50_ms, result->p99_ms,
           result->worst_window, result->worst_zone, result->remote);
}

static void
run_pattern(const struct model_pattern *pattern,
            const struct model_options *base, const char *folder)
{
    struct model_result results[MODEL_WAY__MAX];
    enum model_way ways[MODEL_WAY__MAX];

    for (int way = 0; way < MODEL_WAY__MAX; way++) {
        struct model_options options = *base;

        options.way = way;
        options.pattern = pattern;
        ways[way] = way;
        model_run(&options, &results[way]);
        print_row(pattern->name, model_way_name(way), &results[way]);
    }
    if (folder != NULL) {
        char *path = g_strdup_printf("%s/%s.svg", folder, pattern->name);

        model_plot(path, pattern->what, results, ways, MODEL_WAY__MAX);
        g_free(path);
    }
}

static void
sweep(const struct model_pattern *pattern, struct model_options options)
{
    for (int tenth = 3; tenth <= 10; tenth++) {
        struct model_result result;
        char label[16];

        options.load = tenth / 10.0;
        options.pattern = pattern;
        options.way = MODEL_PRODUCT;
        g_snprintf(label, sizeof(label), "load %.1f", options.load);
        model_run(&options, &result);
        print_row(pattern->name, label, &result);
    }
}

/* The share of ASKED that COUNT is. */
static double
share(uint64_t count, uint64_t asked)
{
    return (double)count / (double)(asked == 0 ? 1 : asked);
}

/* Both ways at the link; false if PATTERN is none of the link's. */
static bool
run_link(const char *pattern, uint64_t seed, double times)
{
    bool calms = strcmp(pattern, "overload-then-calm") == 0;
    struct model_link_options options = {
        .seed = seed,
        .bytes_per_s = LINK_BYTES_PER_S,
        .uploads_per_s = LINK_UPLOADS,
        .small_per_s = LINK_SMALL,
        .times = times,
        .begin_s = LINK_BEGIN_S,
        .end_s = calms ? LINK_CALM_S : LINK_SECONDS,
        .seconds = LINK_SECONDS,
    };

    if (!calms && strcmp(pattern, "link-overload") != 0) {
        return false;
    }
    printf("%-10s %8s %8s %8s %8s %8s %8s %8s %8s %6s\n", "way", "small",
           "failed", "upload", "failed", "bound", "refused", "copies", "lost",
           "back_s");
    for (int way = 0; way < MODEL_LINK_WAY__MAX; way++) {
        struct model_link_result result;

        options.way = (enum model_link_way)way;
        model_link_run(&options, &result);
        printf("%-10s %8.3f %8.3f %8.3f %8.3f %8.3f %8" G_GUINT64_FORMAT
               " %8" G_GUINT64_FORMAT " %8" G_GUINT64_FORMAT " %6u\n",
               model_link_way_name(options.way),
               share(result.small.in_goal, result.small.asked),
               share(result.small.failed, result.small.asked),
               share(result.upload.in_goal, result.upload.asked),
               share(result.upload.failed, result.upload.asked), result.bound,
               result.refused, result.copies, result.lost, result.back_s);
    }
    return true;
}

int
main(int argc, char **argv)
{
    struct model_options options = {
        .seed = 1, .load = 0.55, .seconds = SECONDS};
    const struct size_row *size = &sizes[0];
    const char *wanted = argc > 1 ? argv[1] : "all";
    const char *folder = NULL;
    double times = 5;
    bool swept = false, found = false;

    for (int i = 2; i < argc; i++) {
        const char *value = i + 1 < argc ? argv[i + 1] : "";

        if (strcmp(argv[i], "--seed") == 0) {
            options.seed = strtoull(value, NULL, 10);
        }
        else if (strcmp(argv[i], "--load") == 0) {
            options.load = strtod(value, NULL);
        }
        else if (strcmp(argv[i], "--times") == 0) {
            times = strtod(value, NULL);
        }
        else if (strcmp(argv[i], "--plot") == 0) {
            folder = value;
        }
        else if (strcmp(argv[i], "--size") == 0) {
            size = &sizes[strcmp(value, "grown") == 0 ? 1 : 0];
        }
        else if (strcmp(argv[i], "--sweep") == 0) {
            swept = true;
        }
    }
    if (run_link(wanted, options.seed, times)) {
        return 0;
    }
    options.zones = size->zones;
    options.entries = size->entries;
    options.targets = size->targets;
    printf("%-8s %-12s %7s %6s %6s %6s %7s %7s %7s %6s %6s %6s\n", "pattern",
           "way", "asked", "goal", "late", "failed", "refused", "p50ms",
           "p99ms", "window", "zone", "remote");
    for (const struct model_pattern *pattern = model_patterns;
         pattern->name != NULL; pattern++) {
        if (strcmp(wanted, "all") == 0 || strcmp(wanted, pattern->name) == 0) {
            found = true;
            if (swept) {
                sweep(pattern, options);
            }
            else {
                run_pattern(pattern, &options, folder);
            }
        }
    }
    if (!found) {
        fprintf(stderr, "model: no pattern \"%s\"; name one of:", wanted);
        for (const struct model_pattern *pattern = model_patterns;
             pattern->name != NULL; pattern++) {
            fprintf(stderr, " %s", pattern->name);
        }
        fprintf(stderr, " link-overload overload-then-calm\n");
        return 2;
    }
    return 0;
}
