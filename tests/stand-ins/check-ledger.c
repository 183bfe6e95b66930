/*
 * Join the ledgers of callers and targets and count what broke a promise.
 *
 *     check-ledger [--dead TARGET ...] [--allow-unknown N]
 *                  [--allow-timeout N] [--allow-broken N]
 *                  [--min-streams N] [--min-answers N] FILE...
 *
 * One line a promise goes to standard output, "NAME: COUNT"; a count above
 * what is allowed ends the process with status 1.  Instances and totals go
 * to standard error.  Flows of a --dead target and silent flows may break.
 */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib_ledger.h"
#include "lib_net.h"

#define DRAIN_MS      3000  /* a draining target may get new work so long */
#define SILENT_MS     30000 /* a silent flow is reset within this */
#define INSTANCES_MAX 8     /* shown of each broken promise */

enum promise {
    FLOWS_BROKEN,
    FLOWS_REFUSED,
    SILENT_NOT_RESET,
    WRONG_SERVICE,
    PACKETS_DAMAGED,
    RUN_TWICE,
    NOT_RUN_BUT_RAN,
    WRONG_ANSWERS,
    EXTRA_ANSWERS,
    ANSWERED_NOT_RUN,
    NO_OUTCOME,
    OUTCOME_UNKNOWN,
    DRAINING_NEW_WORK,
    TOO_FEW_STREAMS,
    TOO_FEW_ANSWERS,
    PROMISE__MAX
};

static const char *const promise_names[PROMISE__MAX] = {
    [FLOWS_BROKEN] = "flows broken",
    [FLOWS_REFUSED] = "flows refused at opening",
    [SILENT_NOT_RESET] = "silent flows not reset in 30 s",
    [WRONG_SERVICE] = "packets at a wrong service",
    [PACKETS_DAMAGED] = "packets damaged",
    [RUN_TWICE] = "non-idempotent calls run twice",
    [NOT_RUN_BUT_RAN] = "calls refused as not run that ran",
    [WRONG_ANSWERS] = "answers wrong or to a wrong caller",
    [EXTRA_ANSWERS] = "answers given twice",
    [ANSWERED_NOT_RUN] = "answers to calls that never ran",
    [NO_OUTCOME] = "calls without answer or refusal",
    [OUTCOME_UNKNOWN] = "calls with outcome unknown",
    [DRAINING_NEW_WORK] = "new work at a draining target after 3 s",
    [TOO_FEW_STREAMS] = "streams missing",
    [TOO_FEW_ANSWERS] = "answers missing",
};

struct call {
    int runs;
    bool idempotent;
    bool settled;
    char outcome[12];
};

struct flow {
    char *target; /* that opened it last */
    bool forgotten;
    bool reset; /* the caller saw a reset in time */
};

struct check {
    GHashTable *calls; /* id as text to struct call */
    GHashTable *flows; /* caller's address to struct flow */
    GPtrArray *broken; /* json_t, looked at when all ledgers are read */
    char **dead;
    int allowed[PROMISE__MAX];
    int counts[PROMISE__MAX];
    int streams, answers, excused;
    int min_streams, min_answers;
    char *target; /* of the ledger being read */
    json_int_t drained_ms;
};

typedef void (*event_fn)(struct check *, const json_t *line);

struct event {
    const char *name;
    event_fn fn;
};

static void found(struct check *, enum promise, const json_t *);
static const char *text(const json_t *, const char *key);
static json_int_t number(const json_t *, const char *key);
static struct call *call_of(struct check *, const json_t *);
static struct flow *flow_of(struct check *, const json_t *);
static void on_state(struct check *, const json_t *);
static void on_open(struct check *, const json_t *);
static void on_forget(struct check *, const json_t *);
static void on_run(struct check *, const json_t *);
static void on_sent(struct check *, const json_t *);
static void on_outcome(struct check *, const json_t *);
static void on_opened(struct check *, const json_t *);
static void on_broken(struct check *, const json_t *);
static void on_refused(struct check *, const json_t *);
static void on_wrong_service(struct check *, const json_t *);
static void on_malformed(struct check *, const json_t *);
static void on_wrong_answer(struct check *, const json_t *);
static void on_extra_answer(struct check *, const json_t *);
static void on_answer_after_not_run(struct check *, const json_t *);
static void check_new_work(struct check *, const json_t *);
static void read_ledger(struct check *, const char *path);
static void judge_broken(struct check *, const json_t *);
static void judge_calls(struct check *);
static void judge_flows(struct check *);
static bool is_dead(const struct check *, const char *target);
static int print(const struct check *);
static void options_parse(int *, char ***, struct check *);

static const struct event events[] = {
    {"state", on_state},
    {"open", on_open},
    {"forget", on_forget},
    {"run", on_run},
    {"sent", on_sent},
    {"outcome", on_outcome},
    {"opened", on_opened},
    {"broken", on_broken},
    {"refused", on_refused},
    {"wrong_service", on_wrong_service},
    {"malformed", on_malformed},
    {"wrong_answer", on_wrong_answer},
    {"stray_answer", on_wrong_answer},
    {"extra_answer", on_extra_answer},
    {"not_run_after_answer", on_extra_answer},
    {"answer_after_not_run", on_answer_after_not_run},
};

/* Count one instance against PROMISE and show it. */
static void
found(struct check *check, enum promise promise, const json_t *line)
{
    if (check->counts[promise]++ < INSTANCES_MAX) {
        char *shown = line == NULL ? NULL : json_dumps(line, JSON_COMPACT);

        fprintf(stderr, "%s: %s\n", promise_names[promise],
                shown == NULL ? "" : shown);
        free(shown);
    }
}

static const char *
text(const json_t *line, const char *key)
{
    const char *value = json_string_value(json_object_get(line, key));

    return value == NULL ? "" : value;
}

static json_int_t
number(const json_t *line, const char *key)
{
    return json_integer_value(json_object_get(line, key));
}

static struct call *
call_of(struct check *check, const json_t *line)
{
    char *id = g_strdup_printf("%" JSON_INTEGER_FORMAT, number(line, "id"));
    struct call *call = g_hash_table_lookup(check->calls, id);

    if (call == NULL) {
        call = g_new0(struct call, 1);
        g_hash_table_insert(check->calls, id, call);
        return call;
    }
    g_free(id);
    return call;
}

static struct flow *
flow_of(struct check *check, const json_t *line)
{
    const char *key = text(line, "flow");
    struct flow *flow = g_hash_table_lookup(check->flows, key);

    if (flow == NULL) {
        flow = g_new0(struct flow, 1);
        g_hash_table_insert(check->flows, g_strdup(key), flow);
    }
    return flow;
}

static void
on_state(struct check *check, const json_t *line)
{
    g_free(check->target);
    check->target = g_strdup(text(line, "target"));
    check->drained_ms =
        strcmp(text(line, "state"), "draining") == 0 ? number(line, "t") : 0;
}

static void
check_new_work(struct check *check, const json_t *line)
{
    if (check->drained_ms != 0 &&
        number(line, "t") > check->drained_ms + DRAIN_MS) {
        found(check, DRAINING_NEW_WORK, line);
    }
}

static void
on_open(struct check *check, const json_t *line)
{
    struct flow *flow = flow_of(check, line);

    check_new_work(check, line);
    g_free(flow->target);
    flow->target = g_strdup(check->target);
}

static void
on_forget(struct check *check, const json_t *line)
{
    flow_of(check, line)->forgotten = true;
}

static void
on_run(struct check *check, const json_t *line)
{
    check_new_work(check, line);
    call_of(check, line)->runs++;
}

static void
on_sent(struct check *check, const json_t *line)
{
    call_of(check, line)->idempotent =
        json_is_true(json_object_get(line, "idempotent"));
}

static void
on_outcome(struct check *check, const json_t *line)
{
    struct call *call = call_of(check, line);

    call->settled = true;
    g_strlcpy(call->outcome, text(line, "outcome"), sizeof(call->outcome));
    if (strcmp(call->outcome, "answered") == 0) {
        check->answers++;
    }
    else if (strcmp(call->outcome, "unknown") == 0) {
        found(check, OUTCOME_UNKNOWN, line);
    }
    else if (strcmp(call->outcome, "timeout") == 0) {
        found(check, NO_OUTCOME, line);
    }
}

static void
on_opened(struct check *check, const json_t *line)
{
    (void)line;
    check->streams++;
}

static void
on_broken(struct check *check, const json_t *line)
{
    struct flow *flow = flow_of(check, line);

    flow->reset = strcmp(text(line, "why"), "reset") == 0 &&
                  number(line, "waited_ms") <= SILENT_MS;
    g_ptr_array_add(check->broken, json_deep_copy(line));
}

static void
on_refused(struct check *check, const json_t *line)
{
    found(check, FLOWS_REFUSED, line);
}

static void
on_wrong_service(struct check *check, const json_t *line)
{
    found(check, WRONG_SERVICE, line);
}

static void
on_malformed(struct check *check, const json_t *line)
{
    found(check, PACKETS_DAMAGED, line);
}

static void
on_wrong_answer(struct check *check, const json_t *line)
{
    found(check, WRONG_ANSWERS, line);
}

static void
on_extra_answer(struct check *check, const json_t *line)
{
    found(check, EXTRA_ANSWERS, line);
}

static void
on_answer_after_not_run(struct check *check, const json_t *line)
{
    found(check, NOT_RUN_BUT_RAN, line);
}

/* Read one ledger; a line that a killed process left half is passed over. */
static void
read_ledger(struct check *check, const char *path)
{
    char *contents, **lines;
    GError *error = NULL;

    if (!g_file_get_contents(path, &contents, NULL, &error)) {
        net_die("check-ledger: %s", error->message);
    }
    lines = g_strsplit(contents, "\n", 0);
    check->drained_ms = 0;
    for (size_t i = 0; lines[i] != NULL; i++) {
        json_t *line = json_loads(lines[i], 0, NULL);

        for (size_t j = 0; line != NULL && j < G_N_ELEMENTS(events); j++) {
            if (strcmp(text(line, "ev"), events[j].name) == 0) {
                events[j].fn(check, line);
            }
        }
        json_decref(line);
    }
    g_strfreev(lines);
    g_free(contents);
}

static bool
is_dead(const struct check *check, const char *target)
{
    return check->dead != NULL && target != NULL &&
           g_strv_contains((const char *const *)check->dead, target);
}

/* A broken flow is excused if its target died or forgot it. */
static void
judge_broken(struct check *check, const json_t *line)
{
    const struct flow *flow = flow_of(check, line);

    if (flow->forgotten || is_dead(check, flow->target)) {
        check->excused++;
        return;
    }
    found(check, FLOWS_BROKEN, line);
}

static void
judge_calls(struct check *check)
{
    GHashTableIter iter;
    gpointer key, value;

    g_hash_table_iter_init(&iter, check->calls);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const struct call *call = value;
        json_t *line = json_pack("{s:s,s:i,s:s,s:b}", "id", key, "runs",
                                 call->runs, "outcome", call->outcome,
                                 "idempotent", call->idempotent ? 1 : 0);

        if (!call->idempotent && call->runs > 1) {
            found(check, RUN_TWICE, line);
        }
        if (strcmp(call->outcome, "not_run") == 0 && call->runs > 0) {
            found(check, NOT_RUN_BUT_RAN, line);
        }
        if (strcmp(call->outcome, "answered") == 0 && call->runs == 0) {
            found(check, ANSWERED_NOT_RUN, line);
        }
        if (!call->settled) {
            found(check, NO_OUTCOME, line);
        }
        json_decref(line);
    }
}

static void
judge_flows(struct check *check)
{
    GHashTableIter iter;
    gpointer key, value;

    g_hash_table_iter_init(&iter, check->flows);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const struct flow *flow = value;
        json_t *line = json_pack("{s:s}", "flow", key);

        if (flow->forgotten && !flow->reset) {
            found(check, SILENT_NOT_RESET, line);
        }
        json_decref(line);
    }
    check->counts[TOO_FEW_STREAMS] =
        MAX(0, check->min_streams - check->streams);
    check->counts[TOO_FEW_ANSWERS] =
        MAX(0, check->min_answers - check->answers);
}

/* Print every count; 1 if one is above what is allowed. */
static int
print(const struct check *check)
{
    int status = 0;

    for (int i = 0; i < PROMISE__MAX; i++) {
        if (check->allowed[i] > 0 && check->counts[i] <= check->allowed[i]) {
            printf("%s: at most %d\n", promise_names[i], check->allowed[i]);
        }
        else {
            printf("%s: %d\n", promise_names[i], check->counts[i]);
            status |= check->counts[i] > 0;
        }
    }
    fprintf(stderr,
            "totals: streams=%d answers=%d broken_excused=%d broken=%d "
            "refused=%d unknown=%d no_outcome=%d\n",
            check->streams, check->answers, check->excused,
            check->counts[FLOWS_BROKEN], check->counts[FLOWS_REFUSED],
            check->counts[OUTCOME_UNKNOWN], check->counts[NO_OUTCOME]);
    return status;
}

static void
options_parse(int *argc, char ***argv, struct check *check)
{
    const GOptionEntry entries[] = {
        {"dead", 0, 0, G_OPTION_ARG_STRING_ARRAY, &check->dead, NULL, NULL},
        {"allow-unknown", 0, 0, G_OPTION_ARG_INT,
         &check->allowed[OUTCOME_UNKNOWN], NULL, NULL},
        {"allow-timeout", 0, 0, G_OPTION_ARG_INT, &check->allowed[NO_OUTCOME],
         NULL, NULL},
        {"allow-broken", 0, 0, G_OPTION_ARG_INT, &check->allowed[FLOWS_BROKEN],
         NULL, NULL},
        {"allow-refused", 0, 0, G_OPTION_ARG_INT,
         &check->allowed[FLOWS_REFUSED], NULL, NULL},
        {"min-streams", 0, 0, G_OPTION_ARG_INT, &check->min_streams, NULL,
         NULL},
        {"min-answers", 0, 0, G_OPTION_ARG_INT, &check->min_answers, NULL,
         NULL},
        G_OPTION_ENTRY_NULL,
    };
    GOptionContext *context = g_option_context_new("FILE...");
    GError *error = NULL;

    g_option_context_add_main_entries(context, entries, NULL);
    if (!g_option_context_parse(context, argc, argv, &error)) {
        net_die("check-ledger: %s", error->message);
    }
    g_option_context_free(context);
}

int
main(int argc, char **argv)
{
    struct check check;

    memset(&check, 0, sizeof(check));
    check.calls =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    check.flows =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    check.broken = g_ptr_array_new();
    options_parse(&argc, &argv, &check);
    for (int i = 1; i < argc; i++) {
        read_ledger(&check, argv[i]);
    }
    for (guint i = 0; i < check.broken->len; i++) {
        judge_broken(&check, g_ptr_array_index(check.broken, i));
    }
    judge_calls(&check);
    judge_flows(&check);
    return print(&check);
}
