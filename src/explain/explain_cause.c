/*
 * Why a flow went as it did: the reason of the decision, and what the deciding
 * daemon, and others, knew by then.
 */
#include <string.h>

#include "explain/explain_state.h"

/* Which further lines show the inputs of a decision. */
enum context {
    CONTEXT_NONE = 0,
    CONTEXT_DAEMON = 1, /* what the deciding daemon last said of itself */
    CONTEXT_TARGET = 2, /* what was last said of the target */
    CONTEXT_TABLES = 4, /* the newest version that was acknowledged by then */
    CONTEXT_OTHERS = 8  /* other flows at the same target */
};

struct cause_row {
    const char *reason;
    unsigned contexts; /* of enum context */
    const char *text;
};

static const struct cause_row causes[] = {
    {"placed", CONTEXT_NONE,
     "the flow was given to its target at the first attempt; what failed "
     "after "
     "that was the target or its answers"},
    {"repeated", CONTEXT_TARGET | CONTEXT_OTHERS,
     "the target did not answer the opening, or its answer was lost"},
    {"placed-anew", CONTEXT_TARGET | CONTEXT_OTHERS,
     "the first target did not answer several openings; the flow was given to "
     "another one"},
    {"second-target", CONTEXT_TARGET | CONTEXT_OTHERS,
     "the first target did not answer the opening; a copy of it was given to "
     "a second one, within the budget for second openings"},
    {"no-route", CONTEXT_DAEMON | CONTEXT_TABLES,
     "no route names this address in the tables that the daemon held"},
    {"no-target", CONTEXT_DAEMON,
     "no target of the route's pools was known as ready"},
    {"zone-emptied", CONTEXT_DAEMON,
     "all ready targets of the route's pools are in zones that an operator "
     "has emptied (zones in the status)"},
    {"cold-limit", CONTEXT_DAEMON,
     "all targets are cold, and each had as many new flows as it bears, or "
     "another entry daemon owns it"},
    {"overload", CONTEXT_NONE,
     "the pool answers later than the route's objective, and requests wait "
     "for every slot: a share of new flows is refused"},
    {"link-full", CONTEXT_NONE,
     "the link of the daemon's VM owes so much to large requests already "
     "(link_owed, bytes) that this one would not pass it in time"},
    {"target-gone", CONTEXT_TARGET,
     "the flow's target has ended, or its address belongs to another one"},
    {"target-silent", CONTEXT_TARGET,
     "the flow's target answered neither packets nor probes, while others of "
     "its zone did (target-silent)"},
    {"unknown-cookie", CONTEXT_DAEMON,
     "the daemon did not know the flow's target yet"},
    {"no-cookie", CONTEXT_NONE,
     "the packet opens nothing and belongs to no open flow"},
    {"not-synced", CONTEXT_DAEMON,
     "the daemon had no tables yet: it had just been started"},
    {"stale", CONTEXT_DAEMON,
     "the daemon had stood still; a copy of the opening had gone elsewhere"},
};

/* Whether the request of a flow that was reset may have run. */
struct effect_row {
    const char *reason;
    const char *kind; /* of the route; NULL for any */
    const char *text;
};

/* The first row that fits counts. */
static const struct effect_row effects[] = {
    {"no-route", NULL, "the request has not run"},
    {"no-target", NULL, "the request has not run; the caller may ask again"},
    {"zone-emptied", NULL,
     "the request has not run; the caller may ask again"},
    {"cold-limit", NULL, "the request has not run; the caller may ask again"},
    {"overload", NULL, "the request has not run; the caller may ask again"},
    {"link-full", NULL, "the request has not run; the caller may ask again"},
    {"target-gone", "idempotent",
     "the request may have run; it is idempotent, so the caller may ask "
     "again"},
    {"target-gone", "download",
     "the answer was cut off; it is idempotent, so the caller may ask again"},
    {"target-gone", "upload",
     "the request may have run; ask the service before it is sent again"},
    {"target-gone", "non-idempotent",
     "the request may have run; ask the service before it is sent again"},
    {"target-silent", "idempotent",
     "the request may have run; it is idempotent, so the caller may ask "
     "again"},
    {"target-silent", "download",
     "the answer was cut off; it is idempotent, so the caller may ask again"},
    {"target-silent", "upload",
     "the request may have run; ask the service before it is sent again"},
    {"target-silent", "non-idempotent",
     "a request in progress may have run; ask the service before it is sent "
     "again"},
};

static const char *const daemon_events[] = {
    "start",   "ready", "reload", "stop", "control-lost", "control-regained",
    "catalog",
};

static const struct explain_line *line_at(const struct explain *, guint);
static const struct cause_row *find_cause(const char *reason);
static void add_daemon(const struct explain *, guint at, GString *out);
static void add_target(const struct explain *, guint at, GString *out);
static void add_tables(const struct explain *, guint at, GString *out);
static void add_others(const struct explain *, guint at, GString *out);
static void add_effect(const struct explain_line *, GString *out);

static const struct explain_line *
line_at(const struct explain *explain, guint i)
{
    return &g_array_index(explain->lines, struct explain_line, i);
}

static const struct cause_row *
find_cause(const char *reason)
{
    for (size_t i = 0; i < G_N_ELEMENTS(causes); i++) {
        if (g_strcmp0(causes[i].reason, reason) == 0) {
            return &causes[i];
        }
    }
    return NULL;
}

/* The last line of each event that the deciding daemon said of itself. */
static void
add_daemon(const struct explain *explain, guint at, GString *out)
{
    const struct explain_line *decision = line_at(explain, at);

    for (size_t event = 0; event < G_N_ELEMENTS(daemon_events); event++) {
        for (guint i = at; i-- > 0;) {
            const struct explain_line *line = line_at(explain, i);

            if (strcmp(line->daemon, decision->daemon) == 0 &&
                explain_is(line, daemon_events[event])) {
                explain_print(line, out);
                break;
            }
        }
    }
}

/* What was said of the decision's target, apart from flows. */
static void
add_target(const struct explain *explain, guint at, GString *out)
{
    const char *target = explain_text(line_at(explain, at), "target");

    for (guint i = 0; i < explain->lines->len; i++) {
        const struct explain_line *line = line_at(explain, i);

        if (!explain_is(line, "flow") &&
            g_strcmp0(explain_text(line, "target"), target) == 0) {
            explain_print(line, out);
        }
    }
}

/* The newest version that an operator was told to be in force by then. */
static void
add_tables(const struct explain *explain, guint at, GString *out)
{
    uint64_t held = explain_number(line_at(explain, at), "version");
    const struct explain_line *newest = NULL;

    for (guint i = 0; i < at; i++) {
        const struct explain_line *line = line_at(explain, i);

        if (explain_is(line, "call-done") &&
            json_is_true(json_object_get(line->object, "ok")) &&
            explain_number(line, "sent_version") >
                (newest == NULL ? held
                                : explain_number(newest, "sent_version"))) {
            newest = line;
        }
    }
    if (newest == NULL) {
        g_string_append_printf(out,
                               "  no version above %" G_GUINT64_FORMAT
                               " was acknowledged by then\n",
                               held);
        return;
    }
    explain_print(newest, out);
}

/* Whether the target answered the openings of others. */
static void
add_others(const struct explain *explain, guint at, GString *out)
{
    const char *target = explain_text(line_at(explain, at), "target");
    guint placed = 0, repeated = 0;

    for (guint i = 0; i < explain->lines->len; i++) {
        const struct explain_line *line = line_at(explain, i);

        if (explain_is(line, "flow") &&
            g_strcmp0(explain_text(line, "target"), target) == 0) {
            const char *reason = explain_text(line, "reason");

            placed += g_strcmp0(reason, "placed") == 0 ? 1 : 0;
            repeated += g_strcmp0(reason, "repeated") == 0 ? 1 : 0;
        }
    }
    g_string_append_printf(
        out, "  target %s: %u flows placed, %u openings repeated\n",
        target == NULL ? "none" : target, placed, repeated);
}

/* What a reset means to the caller. */
static void
add_effect(const struct explain_line *decision, GString *out)
{
    const char *reason = explain_text(decision, "reason");
    const char *kind = explain_text(decision, "kind");

    if (g_strcmp0(explain_text(decision, "action"), "reset") != 0) {
        return;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(effects); i++) {
        const struct effect_row *row = &effects[i];

        if (g_strcmp0(row->reason, reason) == 0 &&
            (row->kind == NULL || g_strcmp0(row->kind, kind) == 0)) {
            g_string_append_printf(out, "effect: %s\n", row->text);
            return;
        }
    }
}

/* Append the inputs of the decision in line AT, and its cause in words. */
void
explain_cause(const struct explain *explain, guint at, GString *out)
{
    const char *reason = explain_text(line_at(explain, at), "reason");
    const struct cause_row *cause = find_cause(reason);
    unsigned contexts = cause == NULL ? CONTEXT_DAEMON : cause->contexts;

    if (contexts != CONTEXT_NONE) {
        g_string_append(out, "what was known\n");
    }
    if ((contexts & CONTEXT_DAEMON) != 0) {
        add_daemon(explain, at, out);
    }
    if ((contexts & CONTEXT_TARGET) != 0) {
        add_target(explain, at, out);
    }
    if ((contexts & CONTEXT_TABLES) != 0) {
        add_tables(explain, at, out);
    }
    if ((contexts & CONTEXT_OTHERS) != 0) {
        add_others(explain, at, out);
    }
    g_string_append_printf(out, "cause: %s: %s\n",
                           reason == NULL ? "unknown" : reason,
                           cause == NULL ? "no text for this reason; see the "
                                           "lines above"
                                         : cause->text);
    add_effect(line_at(explain, at), out);
}
