/* Faults of a network path, by rules and a seed. */
#include "lib_fault.h"

#include <stdlib.h>
#include <string.h>

#define FAULT_REORDER_MS 20 /* how far a reordered packet falls behind */

struct pattern {
    uint32_t value;
    uint32_t mask;
};

struct fault_rule {
    struct pattern src;
    struct pattern dst;
    double loss; /* percent */
    double doubled;
    double reorder;
    double delay_ms;
    double jitter_ms;
    double cut; /* 0 or 1 */
};

struct fault_rules {
    GArray *rules;
    GRand *random;
};

struct field {
    const char *name;
    size_t offset;
};

static const struct field fields[] = {
    {"loss", offsetof(struct fault_rule, loss)},
    {"double", offsetof(struct fault_rule, doubled)},
    {"reorder", offsetof(struct fault_rule, reorder)},
    {"delay", offsetof(struct fault_rule, delay_ms)},
    {"jitter", offsetof(struct fault_rule, jitter_ms)},
    {"cut", offsetof(struct fault_rule, cut)},
};

static bool pattern_parse(const char *, struct pattern *);
static bool pattern_matches(struct pattern, uint32_t ip);
static bool pattern_same(struct pattern, struct pattern);
static bool rule_field(struct fault_rule *, const char *);
static const struct fault_rule *find(const struct fault_rules *, uint32_t,
                                     uint32_t);
static bool chance(struct fault_rules *, double percent);

/* Rules that fault nothing, drawing from SEED. */
struct fault_rules *
fault_rules_new(uint32_t seed)
{
    struct fault_rules *rules = g_new0(struct fault_rules, 1);

    rules->rules = g_array_new(FALSE, TRUE, sizeof(struct fault_rule));
    rules->random = g_rand_new_with_seed(seed);
    return rules;
}

void
fault_rules_free(struct fault_rules *rules)
{
    g_array_free(rules->rules, TRUE);
    g_rand_free(rules->random);
    g_free(rules);
}

static bool
pattern_parse(const char *text, struct pattern *pattern)
{
    char **octets = g_strsplit(text, ".", 0);
    bool valid = g_strv_length(octets) == 4;

    pattern->value = 0;
    pattern->mask = 0;
    for (unsigned i = 0; valid && i < 4; i++) {
        guint64 octet = 0;

        pattern->value <<= 8;
        pattern->mask <<= 8;
        if (strcmp(octets[i], "*") == 0) {
            continue;
        }
        valid =
            g_ascii_string_to_unsigned(octets[i], 10, 0, 255, &octet, NULL);
        pattern->value |= (uint32_t)octet;
        pattern->mask |= 0xff;
    }
    g_strfreev(octets);
    return valid || strcmp(text, "*") == 0;
}

static bool
pattern_matches(struct pattern pattern, uint32_t ip)
{
    return (ip & pattern.mask) == pattern.value;
}

static bool
pattern_same(struct pattern left, struct pattern right)
{
    return left.value == right.value && left.mask == right.mask;
}

/* Read one "name=number" into RULE. */
static bool
rule_field(struct fault_rule *rule, const char *text)
{
    for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
        size_t len = strlen(fields[i].name);
        char *end;

        if (strncmp(text, fields[i].name, len) != 0 || text[len] != '=') {
            continue;
        }
        *(double *)(void *)((char *)rule + fields[i].offset) =
            g_ascii_strtod(text + len + 1, &end);
        return end != text + len + 1 && *end == '\0';
    }
    return false;
}

/* Add the rule that LINE spells; on false ERROR says what was wrong. */
bool
fault_rules_set(struct fault_rules *rules, const char *line, GString *error)
{
    char **words = g_strsplit_set(line, " ", 0);
    struct fault_rule rule;
    bool valid;

    memset(&rule, 0, sizeof(rule));
    valid = g_strv_length(words) >= 3 && pattern_parse(words[0], &rule.src) &&
            pattern_parse(words[1], &rule.dst);
    for (size_t i = 2; valid && words[i] != NULL; i++) {
        valid = words[i][0] == '\0' || rule_field(&rule, words[i]);
    }
    g_strfreev(words);
    if (!valid) {
        g_string_append_printf(
            error, "got \"%s\", expected SOURCE DESTINATION NAME=VALUE...",
            line);
        return false;
    }
    for (guint i = 0; i < rules->rules->len; i++) {
        struct fault_rule *old =
            &g_array_index(rules->rules, struct fault_rule, i);

        if (pattern_same(old->src, rule.src) &&
            pattern_same(old->dst, rule.dst)) {
            g_array_remove_index(rules->rules, i);
            break;
        }
    }
    g_array_append_val(rules->rules, rule);
    return true;
}

void
fault_rules_clear(struct fault_rules *rules)
{
    g_array_set_size(rules->rules, 0);
}

static const struct fault_rule *
find(const struct fault_rules *rules, uint32_t src, uint32_t dst)
{
    for (guint i = rules->rules->len; i > 0; i--) {
        const struct fault_rule *rule =
            &g_array_index(rules->rules, struct fault_rule, i - 1);

        if (pattern_matches(rule->src, src) &&
            pattern_matches(rule->dst, dst)) {
            return rule;
        }
    }
    return NULL;
}

static bool
chance(struct fault_rules *rules, double percent)
{
    return percent > 0 && g_rand_double(rules->random) * 100 < percent;
}

/* Decide on one packet from SRC to DST. */
void
fault_judge(struct fault_rules *rules, uint32_t src, uint32_t dst,
            struct fault_verdict *verdict)
{
    const struct fault_rule *rule = find(rules, src, dst);

    memset(verdict, 0, sizeof(*verdict));
    verdict->copies = 1;
    if (rule == NULL) {
        return;
    }
    if (rule->cut != 0 || chance(rules, rule->loss)) {
        verdict->copies = 0;
        return;
    }
    if (chance(rules, rule->doubled)) {
        verdict->copies = 2;
    }
    for (unsigned i = 0; i < verdict->copies; i++) {
        verdict->delay_ms[i] = fault_delay_ms(rules, src, dst);
        if (chance(rules, rule->reorder)) {
            verdict->delay_ms[i] += FAULT_REORDER_MS;
        }
    }
}

/* Whether nothing passes from SRC to DST. */
bool
fault_is_cut(const struct fault_rules *rules, uint32_t src, uint32_t dst)
{
    const struct fault_rule *rule = find(rules, src, dst);

    return rule != NULL && rule->cut != 0;
}

/*
 * The delay of the next packet or piece of a stream from SRC to DST; parts
 * of a millisecond are rounded up as often as they weigh.
 */
uint32_t
fault_delay_ms(struct fault_rules *rules, uint32_t src, uint32_t dst)
{
    const struct fault_rule *rule = find(rules, src, dst);

    if (rule == NULL) {
        return 0;
    }
    if (rule->delay_ms == 0 && rule->jitter_ms == 0) {
        return 0;
    }
    return (uint32_t)(rule->delay_ms +
                      rule->jitter_ms * g_rand_double(rules->random) +
                      g_rand_double(rules->random));
}

/* A number below BELOW from the seed. */
uint32_t
fault_random(struct fault_rules *rules, uint32_t below)
{
    return (uint32_t)g_rand_int_range(rules->random, 0, (gint32)below);
}
