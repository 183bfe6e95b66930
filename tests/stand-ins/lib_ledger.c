/* A ledger of JSON lines. */
#include "lib_ledger.h"

#include <glib.h>

#include "lib_net.h"

struct ledger {
    FILE *file;
};

/* Open the ledger at PATH, appending; NULL keeps none. */
struct ledger *
ledger_open(const char *path)
{
    struct ledger *ledger = g_new0(struct ledger, 1);

    if (path == NULL) {
        return ledger;
    }
    ledger->file = fopen(path, "a");
    if (ledger->file == NULL) {
        net_die("ledger %s: cannot be opened for writing", path);
    }
    setvbuf(ledger->file, NULL, _IOLBF, BUFSIZ);
    return ledger;
}

/* Write one line; FIELDS is taken over. */
void
ledger_write(struct ledger *ledger, const char *event, json_t *fields)
{
    json_object_set_new(fields, "ev", json_string(event));
    json_object_set_new(fields, "t", json_integer((json_int_t)net_now_ms()));
    if (ledger->file != NULL) {
        json_dumpf(fields, ledger->file, JSON_COMPACT);
        fputc('\n', ledger->file);
    }
    json_decref(fields);
}

void
ledger_close(struct ledger *ledger)
{
    if (ledger->file != NULL) {
        fclose(ledger->file);
    }
    g_free(ledger);
}
