/* `explain ID FILE...`: the story of an id from the logs of all daemons. */
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <argtable2.h>

#include "base/err.h"
#include "cmd/cmd.h"
#include "explain/explain.h"

#define FILES_MAX 1024 /* of one command line */

static bool read_file(struct explain *, const char *path, GError **);
static enum cmd_status tell(const char *id, const char **paths, int count);

/* Take in a log file, or standard input for "-". */
static bool
read_file(struct explain *explain, const char *path, GError **error)
{
    FILE *file = strcmp(path, "-") == 0 ? stdin : fopen(path, "r");
    char *line = NULL;
    size_t size = 0;
    ssize_t len;

    if (file == NULL) {
        g_set_error(error, ERR_DOMAIN, ERR_INPUT,
                    "cannot read \"%s\": %s; name log files of the daemons",
                    path, g_strerror(errno));
        return false;
    }
    explain_begin_file(explain);
    while ((len = getline(&line, &size, file)) > 0) {
        explain_line(explain, line, (size_t)len);
    }
    free(line);
    if (file != stdin) {
        fclose(file);
    }
    return true;
}

static enum cmd_status
tell(const char *id, const char **paths, int count)
{
    GError *error = NULL;
    struct explain *explain = explain_new(id, &error);
    GString *story = g_string_new(NULL);
    enum cmd_status status = CMD_DONE;

    for (int i = 0; i < count && error == NULL; i++) {
        read_file(explain, paths[i], &error);
    }
    if (error != NULL) {
        fprintf(stderr, "parsleyspur explain: %s\n", error->message);
        status = error->code == ERR_USAGE ? CMD_USAGE : CMD_FAILED;
        g_error_free(error);
    }
    else if (!explain_tell(explain, story)) {
        fprintf(stderr,
                "parsleyspur explain: no line is about \"%s\"; name the logs "
                "of all daemons, and see log-lines-left-out in them\n",
                id);
        status = CMD_FAILED;
    }
    fputs(story->str, stdout);
    g_string_free(story, TRUE);
    explain_free(explain);
    return status;
}

enum cmd_status
cmd_explain(int argc, char **argv)
{
    struct arg_str *id = arg_str1(NULL, NULL, "ID",
                                  "ADDRESS:PORT of a caller, a target, or vN");
    struct arg_file *files =
        arg_filen(NULL, NULL, "FILE", 1, FILES_MAX, "logs of the daemons");
    struct arg_lit *help = arg_lit0(NULL, "help", "print this");
    struct arg_end *end = arg_end(4);
    void *table[] = {id, files, help, end};
    enum cmd_status status = CMD_DONE;
    int faults = arg_parse(argc, argv, table);

    if (help->count > 0) {
        puts("usage: parsleyspur explain ID FILE...\n\n"
             "  ID    ADDRESS:PORT of a caller, a target's hexadecimal\n"
             "        identity, or vN for version N of the tables\n"
             "  FILE  a daemon's log, or - for standard input");
    }
    else if (faults > 0) {
        arg_print_errors(stderr, end, "parsleyspur");
        status = cmd_usage_error("explain", "wrong arguments");
    }
    else {
        status = tell(id->sval[0], files->filename, files->count);
    }
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return status;
}
