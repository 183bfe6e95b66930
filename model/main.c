/*
 * model PATTERN|all [--seed N] [--load SHARE] [--size small|grown]
 *       [--plot FOLDER] [--sweep]
 *
 * Prints a row for each way of placing flows under a load pattern; a sweep
 * goes over loads instead, with the product's way.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "model.h"

#define SECONDS 20

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

int
main(int argc, char **argv)
{
    struct model_options options = {
        .seed = 1, .load = 0.55, .seconds = SECONDS};
    const struct size_row *size = &sizes[0];
    const char *wanted = argc > 1 ? argv[1] : "all";
    const char *folder = NULL;
    bool swept = false, found = false;

    for (int i = 2; i < argc; i++) {
        const char *value = i + 1 < argc ? argv[i + 1] : "";

        if (strcmp(argv[i], "--seed") == 0) {
            options.seed = strtoull(value, NULL, 10);
        }
        else if (strcmp(argv[i], "--load") == 0) {
            options.load = strtod(value, NULL);
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
        fprintf(stderr, "\n");
        return 2;
    }
    return 0;
}
