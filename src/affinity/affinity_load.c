/* Keeps the load of each target as observed from packets of callers. */
#include "affinity/affinity_state.h"

#define ANSWER_WEIGHT_DIVISOR 8 /* reciprocal of a new value's weight */

/* Return the load record of the target on HOST, created if missing. */
struct affinity_load *
affinity_load_get(struct affinity_core *core, uint64_t host)
{
    struct affinity_load *load = g_hash_table_lookup(core->loads, &host);

    if (load == NULL) {
        load = g_new0(struct affinity_load, 1);
        load->host = host;
        g_hash_table_insert(core->loads, &load->host, load);
    }
    return load;
}

/* Free LOAD, a struct affinity_load. */
void
affinity_load_free(gpointer load)
{
    g_free(((struct affinity_load *)load)->cold);
    g_free(load);
}

/* Update the mean answer time of LOAD: a request was answered after
 * TOOK_US. */
void
affinity_load_record_answer(struct affinity_load *load, uint64_t now_us,
                            uint64_t took_us)
{
    load->last_answer_us = now_us;
    if (load->mean_answer_us == 0) {
        load->mean_answer_us = took_us;
    }
    load->mean_answer_us += took_us / ANSWER_WEIGHT_DIVISOR -
                            load->mean_answer_us / ANSWER_WEIGHT_DIVISOR;
}

/* Return true while the target is suspect: it does not answer, and gets no new
 * flows while there are other targets. */
bool
affinity_load_is_suspect(const struct affinity_load *load, uint64_t now_us)
{
    return now_us < load->suspect_until_us;
}

/*
 * Record that the first packet of a flow was retransmitted: the target has not
 * answered in time, or its answer was lost.  After suspect_flows such flows in
 * a row the target gets no new flows for suspect_us while there are other
 * targets, then is tried again.  After this pause one unanswered flow is
 * enough to make the target suspect again.
 */
void
affinity_load_record_unanswered(struct affinity_core *core,
                                struct affinity_load *load, uint64_t now_us)
{
    load->unanswered++;
    if (load->unanswered >= core->options.suspect_flows) {
        core->counters.suspected +=
            affinity_load_is_suspect(load, now_us) ? 0 : 1;
        load->suspect_until_us = now_us + core->options.suspect_us;
    }
}

/* Remove the records of targets that are gone or not in CATALOG. */
void
affinity_load_sweep(struct affinity_core *core, const struct catalog *catalog)
{
    GHashTableIter iter;
    gpointer key, value;

    g_hash_table_iter_init(&iter, core->loads);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        struct affinity_load *load = value;
        const struct catalog_target *target =
            catalog_find_target(catalog, load->host);

        if (target == NULL || target->state == CATALOG_GONE) {
            affinity_silence_forget(core, load);
            g_hash_table_iter_remove(&iter);
        }
    }
}
