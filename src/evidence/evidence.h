/*
 * Decides which targets fail, from the counts of answered and failed requests
 * that entry daemons report (docs/design/failing-targets.md).
 *
 * Load: some targets answer errors at once, hang or are dead, and each of many
 * entry daemons sees only a few requests to each of them.
 *
 * The module does no I/O and reads no clock.
 */
#ifndef PS_EVIDENCE_EVIDENCE_H
#define PS_EVIDENCE_EVIDENCE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "base/view.h"

/* What one entry daemon saw of a target since its last report. */
struct evidence_report {
    uint64_t host;
    struct pool_id pool;
    uint32_t answered;
    uint32_t failed;
};

enum evidence_state {
    EVIDENCE_WELL,
    EVIDENCE_FAILING, /* gets no new flows */
    EVIDENCE_TRIAL,   /* gets some, from an eighth of the entry daemons */
    EVIDENCE_STATE__MAX
};

/* A change of what is known of a target, with its inputs. */
struct evidence_change {
    uint64_t host;
    enum evidence_state state;
    double certainty; /* log-likelihood ratio, natural */
    double pool_failed_share;
};

struct evidence_core;

struct evidence_core *evidence_core_new(void);
void evidence_core_free(struct evidence_core *);
void evidence_core_set_pool_size(struct evidence_core *, struct pool_id,
                                 size_t targets);
void evidence_core_add(struct evidence_core *, uint64_t now_us,
                       uint32_t reporter, const struct evidence_report *);
void evidence_core_tick(struct evidence_core *, uint64_t now_us);
void evidence_core_list_failing(const struct evidence_core *,
                                uint32_t reporter, GArray *hosts);
bool evidence_core_has_changes(const struct evidence_core *);
bool evidence_core_next_change(struct evidence_core *,
                               struct evidence_change *);
const char *evidence_state_name(enum evidence_state);

#endif
