/* `serve` and `settings check`: flags from the table of settings. */
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <argtable2.h>

#include "base/err.h"
#include "base/log.h"
#include "base/settings.h"
#include "cmd/cmd.h"
#include "daemon/daemon.h"

#define ROWS_MAX 64

/* The flags of one run; argtable owns the entries. */
struct flags {
    const struct setting_row *rows;
    size_t row_count;
    struct arg_str *values[ROWS_MAX];
    struct arg_lit *help;
    struct arg_end *end;
    void *table[ROWS_MAX + 2];
    char *glossaries[ROWS_MAX];
};

static void flags_init(struct flags *);
static void flags_clear(struct flags *);
static char *row_glossary(const struct setting_row *);
static void print_help(struct flags *, const char *name);
static bool take_flags(const struct flags *, struct settings *, GError **);
static enum cmd_status parse(const char *name, int argc, char **argv,
                             struct settings *);

/* The help of one row: its meaning, unit, range and default. */
static char *
row_glossary(const struct setting_row *row)
{
    GString *text = g_string_new(row->help);

    if (row->type == SETTING_NUMBER) {
        g_string_append_printf(
            text, " (%s, %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT ")",
            row->unit, row->min, row->max);
    }
    if (row->choices != NULL) {
        g_string_append_printf(text, " (%s)", row->choices);
    }
    if (row->fallback != NULL && row->fallback[0] != '\0') {
        g_string_append_printf(text, " [%s]", row->fallback);
    }
    return g_string_free(text, FALSE);
}

/* One optional flag for each row of the settings. */
static void
flags_init(struct flags *flags)
{
    size_t used = 0;

    flags->rows = settings_rows(&flags->row_count);
    for (size_t i = 0; i < flags->row_count; i++) {
        flags->glossaries[i] = row_glossary(&flags->rows[i]);
        flags->values[i] = arg_strn(NULL, flags->rows[i].flag, "VALUE", 0, 8,
                                    flags->glossaries[i]);
        flags->table[used++] = flags->values[i];
    }
    flags->help = arg_lit0(NULL, "help", "print this");
    flags->end = arg_end(4);
    flags->table[used++] = flags->help;
    flags->table[used] = flags->end;
}

static void
flags_clear(struct flags *flags)
{
    arg_freetable(flags->table, flags->row_count + 2);
    for (size_t i = 0; i < flags->row_count; i++) {
        g_free(flags->glossaries[i]);
    }
}

static void
print_help(struct flags *flags, const char *name)
{
    printf("usage: parsleyspur %s [FLAGS]\n\n", name);
    arg_print_glossary(stdout, flags->table, "  %-28s %s\n");
    printf("\nEach flag may be given as a variable %sNAME, with '_' for "
           "'-'; flags go first.\n",
           SETTINGS_ENV_PREFIX);
}

/* Flags first, then variables; both checked row by row. */
static bool
take_flags(const struct flags *flags, struct settings *settings,
           GError **error)
{
    bool from_flag[ROWS_MAX] = {false};

    for (size_t i = 0; i < flags->row_count; i++) {
        const struct arg_str *value = flags->values[i];
        char *origin;
        bool ok;

        if (value->count > 1) {
            g_set_error(error, ERR_DOMAIN, ERR_SETTING,
                        "--%s: given %d times; keep one", flags->rows[i].flag,
                        value->count);
            return false;
        }
        if (value->count == 0) {
            continue;
        }
        from_flag[i] = true;
        origin = g_strconcat("--", flags->rows[i].flag, NULL);
        ok = settings_set(settings, &flags->rows[i], value->sval[0], origin,
                          error);
        g_free(origin);
        if (!ok) {
            return false;
        }
    }
    return settings_from_env(settings, environ, from_flag, error) &&
           settings_finish(settings, error);
}

/*
 * Read the settings of the command NAME.  CMD_DONE with SETTINGS filled, or
 * CMD_USAGE with a message printed, or -1 if the help was printed.
 */
static enum cmd_status
parse(const char *name, int argc, char **argv, struct settings *settings)
{
    struct flags flags;
    enum cmd_status status = CMD_DONE;
    GError *error = NULL;
    int faults;

    flags_init(&flags);
    settings_init(settings);
    faults = arg_parse(argc, argv, flags.table);
    if (flags.help->count > 0) {
        print_help(&flags, name);
        status = CMD_FAILED;
    }
    else if (faults > 0) {
        arg_print_errors(stderr, flags.end, "parsleyspur");
        fprintf(stderr, "try: parsleyspur %s --help\n", name);
        status = CMD_USAGE;
    }
    else if (!take_flags(&flags, settings, &error)) {
        fprintf(stderr, "parsleyspur: %s\n", error->message);
        g_error_free(error);
        status = CMD_USAGE;
    }
    flags_clear(&flags);
    return status;
}

/* Run a daemon. */
enum cmd_status
cmd_serve(int argc, char **argv)
{
    struct settings settings;
    GError *error = NULL;
    enum cmd_status status = parse("serve", argc, argv, &settings);

    if (status != CMD_DONE) {
        settings_clear(&settings);
        return status == CMD_USAGE ? CMD_USAGE : CMD_DONE;
    }
    log_init(strcmp(settings.log_format, "json") == 0 ? LOG_FORMAT_JSON
                                                      : LOG_FORMAT_TEXT,
             settings.name);
    if (!daemon_run(&settings, &error)) {
        fprintf(stderr, "parsleyspur: %s\n", error->message);
        g_error_free(error);
        return CMD_FAILED;
    }
    settings_clear(&settings);
    return CMD_DONE;
}

/* Print what flags and variables amount to. */
enum cmd_status
cmd_settings(int argc, char **argv)
{
    struct settings settings;
    size_t count;
    const struct setting_row *rows = settings_rows(&count);
    enum cmd_status status;

    if (argc >= 2 && strcmp(argv[1], "--help") == 0) {
        puts("usage: parsleyspur settings check [FLAGS of serve]");
        return CMD_DONE;
    }
    if (argc < 2 || strcmp(argv[1], "check") != 0) {
        return cmd_usage_error("settings", "give the word check");
    }
    status = parse("settings check", argc - 1, argv + 1, &settings);
    for (size_t i = 0; i < count && status == CMD_DONE; i++) {
        char *value = settings_get(&settings, &rows[i]);

        printf("%-16s %s%s%s\n", rows[i].flag, value == NULL ? "-" : value,
               rows[i].unit == NULL ? "" : " ",
               rows[i].unit == NULL ? "" : rows[i].unit);
        g_free(value);
    }
    settings_clear(&settings);
    return status == CMD_USAGE ? CMD_USAGE : CMD_DONE;
}
