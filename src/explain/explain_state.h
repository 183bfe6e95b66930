/* What the files of src/explain share. */
#ifndef PS_EXPLAIN_EXPLAIN_STATE_H
#define PS_EXPLAIN_EXPLAIN_STATE_H

#include <stdint.h>

#include <jansson.h>

#include "explain/explain.h"

enum explain_subject {
    EXPLAIN_FLOW,
    EXPLAIN_TARGET,
    EXPLAIN_VERSION,
    EXPLAIN_SUBJECT__MAX
};

/* A log line; its texts are borrowed from OBJECT. */
struct explain_line {
    json_t *object;
    const char *time; /* ISO 8601, so that texts sort as times do */
    const char *daemon;
    const char *event;
};

struct explain {
    enum explain_subject subject;
    char *id;         /* FLOW, TARGET */
    uint64_t version; /* VERSION */
    GPtrArray *files; /* of GArray of struct explain_line */
    GArray *lines;    /* of all files, by time; made by explain_merge() */
    uint64_t unread;  /* lines that are no JSON object with these members */
};

/* explain_line.c: reading, sorting and printing lines */
void explain_merge(struct explain *);
const char *explain_text(const struct explain_line *, const char *member);
uint64_t explain_number(const struct explain_line *, const char *member);
bool explain_is(const struct explain_line *, const char *event);
void explain_print(const struct explain_line *, GString *out);

/* explain_cause.c: why a flow went as it did */
void explain_cause(const struct explain *, guint at, GString *out);

#endif
