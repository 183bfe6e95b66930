/* Which lines are about an id, and the story that they make. */
#include "explain/explain.h"

#include <string.h>

#include "base/err.h"
#include "explain/explain_state.h"

static bool is_hexadecimal(const char *);
static bool is_about(const struct explain *, const struct explain_line *);
static bool is_about_version(const struct explain *,
                             const struct explain_line *);
static void tell_flow(const struct explain *, GString *out);
static void tell_lines(const struct explain *, GString *out);

static bool
is_hexadecimal(const char *text)
{
    return text[0] != '\0' && text[strspn(text, "0123456789abcdef")] == '\0';
}

struct explain *
explain_new(const char *id, GError **error)
{
    struct explain *explain;
    enum explain_subject subject;

    if (strchr(id, ':') != NULL) {
        subject = EXPLAIN_FLOW;
    }
    else if (id[0] == 'v' && id[1] != '\0' &&
             id[1 + strspn(id + 1, "0123456789")] == '\0') {
        subject = EXPLAIN_VERSION;
    }
    else if (is_hexadecimal(id)) {
        subject = EXPLAIN_TARGET;
    }
    else {
        g_set_error(error, ERR_DOMAIN, ERR_USAGE,
                    "\"%s\" names nothing; give a caller's ADDRESS:PORT, a "
                    "target's hexadecimal identity, or vN for a version",
                    id);
        return NULL;
    }
    explain = g_new0(struct explain, 1);
    explain->subject = subject;
    explain->id = g_strdup(id);
    explain->version =
        subject == EXPLAIN_VERSION ? g_ascii_strtoull(id + 1, NULL, 10) : 0;
    explain->files =
        g_ptr_array_new_with_free_func((GDestroyNotify)g_array_unref);
    explain->lines = g_array_new(FALSE, FALSE, sizeof(struct explain_line));
    return explain;
}

/* Free EXPLAIN; NULL is allowed. */
void
explain_free(struct explain *explain)
{
    if (explain == NULL) {
        return;
    }
    g_array_unref(explain->lines);
    g_ptr_array_unref(explain->files);
    g_free(explain->id);
    g_free(explain);
}

/* What was sent, how that came out, and where the version came into force. */
static bool
is_about_version(const struct explain *explain,
                 const struct explain_line *line)
{
    if (explain_is(line, "tables") || explain_is(line, "catalog")) {
        return explain_number(line, "version") == explain->version;
    }
    return explain_is(line, "call-done") &&
           explain_number(line, "sent_version") == explain->version;
}

static bool
is_about(const struct explain *explain, const struct explain_line *line)
{
    bool is_flow = explain_is(line, "flow");

    switch (explain->subject) {
    case EXPLAIN_FLOW:
        return is_flow &&
               g_strcmp0(explain_text(line, "caller"), explain->id) == 0;
    case EXPLAIN_TARGET:
        return !is_flow &&
               g_strcmp0(explain_text(line, "target"), explain->id) == 0;
    case EXPLAIN_VERSION:
        return is_about_version(explain, line);
    case EXPLAIN_SUBJECT__MAX:
        break;
    }
    return false;
}

/* A flow's decisions, and the cause of the one that its caller felt. */
static void
tell_flow(const struct explain *explain, GString *out)
{
    guint last = 0, failed = G_MAXUINT;

    g_string_append_printf(out, "flow %s\n", explain->id);
    for (guint i = 0; i < explain->lines->len; i++) {
        const struct explain_line *line =
            &g_array_index(explain->lines, struct explain_line, i);

        if (!is_about(explain, line)) {
            continue;
        }
        explain_print(line, out);
        last = i;
        if (g_strcmp0(explain_text(line, "reason"), "placed") != 0) {
            failed = i;
        }
    }
    explain_cause(explain, failed == G_MAXUINT ? last : failed, out);
}

/* The lines about a target or version; a catalog's version once a daemon. */
static void
tell_lines(const struct explain *explain, GString *out)
{
    GHashTable *told = g_hash_table_new(g_str_hash, g_str_equal);

    g_string_append_printf(
        out, "%s %s\n",
        explain->subject == EXPLAIN_TARGET ? "target" : "tables", explain->id);
    for (guint i = 0; i < explain->lines->len; i++) {
        const struct explain_line *line =
            &g_array_index(explain->lines, struct explain_line, i);

        if (is_about(explain, line) &&
            (!explain_is(line, "catalog") ||
             g_hash_table_add(told, (gpointer)line->daemon))) {
            explain_print(line, out);
        }
    }
    g_hash_table_destroy(told);
}

bool
explain_tell(struct explain *explain, GString *out)
{
    bool found = false;

    explain_merge(explain);
    for (guint i = 0; i < explain->lines->len && !found; i++) {
        found = is_about(
            explain, &g_array_index(explain->lines, struct explain_line, i));
    }
    if (found && explain->subject == EXPLAIN_FLOW) {
        tell_flow(explain, out);
    }
    else if (found) {
        tell_lines(explain, out);
    }
    if (explain->unread > 0) {
        g_string_append_printf(
            out, "%" G_GUINT64_FORMAT " lines are no log lines\n",
            explain->unread);
    }
    return found;
}
