/*
 * Faults of a network path, by rules over source and destination addresses
 * and a seed.  A rule is one line:
 *
 *     SOURCE DESTINATION [loss=PERCENT] [double=PERCENT] [reorder=PERCENT]
 *                        [delay=MS] [jitter=MS] [cut=1]
 *
 * An address is four octets, each a number or "*"; "*" alone is any address.
 * The rule set last of those that match holds; a rule for the same two
 * addresses replaces the earlier one.
 */
#ifndef PS_STANDINS_LIB_FAULT_H
#define PS_STANDINS_LIB_FAULT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define FAULT_COPIES_MAX 2

struct fault_verdict {
    unsigned copies; /* 0 for a lost packet */
    uint32_t delay_ms[FAULT_COPIES_MAX];
};

struct fault_rules;

struct fault_rules *fault_rules_new(uint32_t seed);
void fault_rules_free(struct fault_rules *);
bool fault_rules_set(struct fault_rules *, const char *line, GString *error);
void fault_rules_clear(struct fault_rules *);

void fault_judge(struct fault_rules *, uint32_t src, uint32_t dst,
                 struct fault_verdict *);
bool fault_is_cut(const struct fault_rules *, uint32_t src, uint32_t dst);
uint32_t fault_delay_ms(struct fault_rules *, uint32_t src, uint32_t dst);
uint32_t fault_random(struct fault_rules *, uint32_t below);

#endif
