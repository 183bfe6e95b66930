/*
 * The story of one flow, target or version of the tables, told from the log
 * lines of all daemons: what was decided on it, what the deciding daemon
 * believed by then, and the cause.
 *
 * Pure: lines go in, text comes out.
 */
#ifndef PS_EXPLAIN_EXPLAIN_H
#define PS_EXPLAIN_EXPLAIN_H

#include <stdbool.h>
#include <stddef.h>

#include <glib.h>

struct explain;

/*
 * ID is a caller's "ADDRESS:PORT", a target's hexadecimal identity, or "vN"
 * for version N of the tables.  NULL with ERR_USAGE if it is none of these.
 */
struct explain *explain_new(const char *id, GError **);
void explain_free(struct explain *);

/* Lines of one file keep their order, whatever their clock says. */
void explain_begin_file(struct explain *);
void explain_line(struct explain *, const char *line, size_t len);

/* Append the story to OUT.  False if no line is about the id. */
bool explain_tell(struct explain *, GString *out);

#endif
