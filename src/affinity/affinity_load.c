/* What packets of callers tell of a target. */
#include "affinity/affinity_state.h"

#define AVERAGE_SHARE 8 /* a new measurement counts for one in this many */

/* The record of the target on HOST, made if need be. */
struct affinity_load *
affinity_load_of(struct affinity_core *core, uint64_t host)
{
    struct affinity_load *load = g_hash_table_lookup(core->loads, &host);

    if (load == NULL) {
        load = g_new0(struct affinity_load, 1);
        load->host = host;
        g_hash_table_insert(core->loads, &load->host, load);
    }
    return load;
}

/* A request was answered after TOOK_US. */
void
affinity_load_answered(struct affinity_load *load, uint64_t now_us,
                       uint64_t took_us)
{
    load->answered_us = now_us;
    if (load->answer_us == 0) {
        load->answer_us = took_us;
    }
    load->answer_us +=
        took_us / AVERAGE_SHARE - load->answer_us / AVERAGE_SHARE;
}

/* True while the target is passed over, since it does not answer. */
bool
affinity_load_suspect(const struct affinity_load *load, uint64_t now_us)
{
    return now_us < load->suspect_until_us;
}

/*
 * A flow's opening was repeated, so the target has not answered in time, or
 * the answer was lost.  After several flows in a row new ones pass the target
 * over for a while, then one tries again.
 */
void
affinity_load_unanswered(struct affinity_core *core,
                         struct affinity_load *load, uint64_t now_us)
{
    load->unanswered++;
    if (load->unanswered >= core->options.suspect_openings) {
        core->counters.suspected +=
            affinity_load_suspect(load, now_us) ? 0 : 1;
        load->suspect_until_us = now_us + core->options.suspect_us;
    }
}

/* Forget targets that have ended, or that the catalog does not know. */
void
affinity_load_sweep(struct affinity_core *core, const struct catalog *catalog)
{
    GHashTableIter iter;
    gpointer key, value;

    g_hash_table_iter_init(&iter, core->loads);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const struct affinity_load *load = value;
        const struct catalog_target *target =
            catalog_find_target(catalog, load->host);

        if (target == NULL || target->state == CATALOG_GONE) {
            g_hash_table_iter_remove(&iter);
        }
    }
}
