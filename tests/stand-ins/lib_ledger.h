/*
 * A ledger: one JSON object a line, written through at once, so that a
 * killed process leaves a whole one.  Each line gets "ev" and "t", the
 * milliseconds of net_now_ms().
 */
#ifndef PS_STANDINS_LIB_LEDGER_H
#define PS_STANDINS_LIB_LEDGER_H

#include <jansson.h>
#include <stdio.h>

struct ledger;

struct ledger *ledger_open(const char *path);
void ledger_write(struct ledger *, const char *event, json_t *fields);
void ledger_close(struct ledger *);

#endif
