/*
 * Probes of targets that are suspected to be down.  A probe is a TCP
 * connection, which a living target accepts even if its slots are busy or it
 * is slow.  The first one is single, since most suspects answer it; then
 * rounds follow in which targets of the same zone are probed as references.
 */
#include "affinity/affinity_state.h"

/* An answer is overdue after this multiple of its target's mean answer time.
 * The limits apply to targets that answer very quickly or slowly. */
#define OVERDUE_ANSWER_TIMES 2
#define OVERDUE_MIN_US       50000U
#define OVERDUE_MAX_US       200000U

#define REFERENCES 3 /* in a round */
/* A target that has answered within this time may be a reference. */
#define REFERENCE_AGE_MAX_US 1000000U

static uint64_t overdue_us(const struct affinity_load *);
static void add_probe(struct affinity_core *, const struct catalog_target *,
                      struct affinity_load *suspect, struct affinity_probe *);
static bool is_reference(struct affinity_core *, uint64_t now_us,
                         const struct catalog_target *,
                         const struct catalog_target *suspect);
static size_t add_references(struct affinity_core *, uint64_t now_us,
                             const struct catalog *,
                             const struct catalog_target *suspect,
                             struct affinity_load *, struct affinity_probe *);
static size_t begin_round(struct affinity_core *, uint64_t now_us,
                          const struct catalog *, struct affinity_load *,
                          struct affinity_probe *);
static bool round_is_due(const struct affinity_load *, uint64_t now_us);

/* Return the time after which an answer of the target is overdue. */
static uint64_t
overdue_us(const struct affinity_load *load)
{
    return load->mean_answer_us == 0
               ? OVERDUE_MAX_US
               : CLAMP(load->mean_answer_us * OVERDUE_ANSWER_TIMES,
                       OVERDUE_MIN_US, OVERDUE_MAX_US);
}

/* Write a probe of TARGET, which is about SUSPECT, to PROBE. */
static void
add_probe(struct affinity_core *core, const struct catalog_target *target,
          struct affinity_load *suspect, struct affinity_probe *probe)
{
    *probe = (struct affinity_probe){
        .suspect = suspect->host,
        .host = target->host,
        .round = suspect->suspicion.round,
        .address = target->address,
        .port = target->port,
        .timeout_us = affinity_loss_probe_timeout_us(core),
    };
    suspect->suspicion.pending++;
    core->counters.probes++;
}

/* Return true if TARGET is in the zone of SUSPECT and has answered recently. */
static bool
is_reference(struct affinity_core *core, uint64_t now_us,
             const struct catalog_target *target,
             const struct catalog_target *suspect)
{
    const struct affinity_load *load;

    if (target->zone != suspect->zone || target->host == suspect->host ||
        target->state == CATALOG_GONE || target->missing) {
        return false;
    }
    load = g_hash_table_lookup(core->loads, &target->host);
    return load != NULL && load->heard_us != 0 &&
           now_us - load->heard_us < REFERENCE_AGE_MAX_US &&
           !affinity_silence_is_suspected(load);
}

/* Add probes of up to REFERENCES targets, drawn at random, to PROBES.  Return
 * their number. */
static size_t
add_references(struct affinity_core *core, uint64_t now_us,
               const struct catalog *catalog,
               const struct catalog_target *suspect,
               struct affinity_load *load, struct affinity_probe *probes)
{
    const GPtrArray *targets = catalog_targets(catalog);
    guint start = g_rand_int(core->rand) % MAX(targets->len, 1);
    size_t count = 0;

    for (guint i = 0; i < targets->len && count < REFERENCES; i++) {
        const struct catalog_target *target =
            targets->pdata[(start + i) % targets->len];

        if (is_reference(core, now_us, target, suspect)) {
            add_probe(core, target, load, &probes[count++]);
        }
    }
    return count;
}

/*
 * Begin a round: write the probes of the target to PROBES, and those of
 * references if it is suspected and not known to be silent.  Return their
 * number.
 */
static size_t
begin_round(struct affinity_core *core, uint64_t now_us,
            const struct catalog *catalog, struct affinity_load *load,
            struct affinity_probe *probes)
{
    const struct catalog_target *target =
        catalog_find_target(catalog, load->host);
    struct affinity_suspicion *suspicion = &load->suspicion;
    size_t count = 0;

    if (target == NULL || target->state == CATALOG_GONE) {
        return 0;
    }
    suspicion->round++;
    suspicion->round_us = now_us;
    suspicion->pending = 0;
    suspicion->references = 0;
    suspicion->answered = false;
    suspicion->suspect_probes = suspicion->silent || !suspicion->suspected
                                    ? 1
                                    : AFFINITY_SUSPECT_PROBES;
    while (count < suspicion->suspect_probes) {
        add_probe(core, target, load, &probes[count++]);
    }
    if (suspicion->suspect_probes > 1) {
        count += add_references(core, now_us, catalog, target, load,
                                &probes[count]);
    }
    return count;
}

/* Return true if the target is to be probed now. */
static bool
round_is_due(const struct affinity_load *load, uint64_t now_us)
{
    const struct affinity_suspicion *suspicion = &load->suspicion;

    return suspicion->pending == 0 && now_us >= suspicion->next_round_us &&
           now_us - suspicion->since_us >= overdue_us(load);
}

/*
 * Write the probes that are due to PROBES, at most MAX, and return their
 * number.  The caller reports each outcome to affinity_core_record_probe().
 */
size_t
affinity_core_due_probes(struct affinity_core *core, uint64_t now_us,
                         const struct catalog *catalog,
                         struct affinity_probe *probes, size_t max)
{
    size_t count = 0;

    for (GList *item = core->suspicions.head; item != NULL;
         item = item->next) {
        struct affinity_load *load = item->data;

        if (now_us - load->suspicion.since_us < OVERDUE_MIN_US ||
            count + AFFINITY_SUSPECT_PROBES + REFERENCES > max) {
            break;
        }
        if (round_is_due(load, now_us)) {
            count += begin_round(core, now_us, catalog, load, &probes[count]);
        }
    }
    return count;
}

/*
 * Record the OUTCOME of PROBE, known TOOK_US after it began.  A connection is a
 * sign of life.  The round ends with its last outcome.
 */
void
affinity_core_record_probe(struct affinity_core *core, uint64_t now_us,
                           const struct affinity_probe *probe,
                           enum affinity_probe_outcome outcome,
                           uint64_t took_us)
{
    struct affinity_load *load =
        g_hash_table_lookup(core->loads, &probe->suspect);
    bool connected = outcome == AFFINITY_PROBE_CONNECTED;

    affinity_loss_decay(core, now_us);
    if (connected) {
        core->loss.connect_us = MAX(core->loss.connect_us, took_us);
    }
    if (probe->host != probe->suspect) {
        core->loss.probes.answered += connected ? 1 : 0;
        core->loss.probes.lost += connected ? 0 : 1;
    }
    if (load == NULL || load->suspicion.round != probe->round ||
        load->suspicion.pending == 0) {
        return;
    }
    load->suspicion.pending--;
    if (probe->host != probe->suspect) {
        load->suspicion.references += connected ? 1 : 0;
    }
    else {
        load->suspicion.answered |= connected;
    }
    if (load->suspicion.pending == 0) {
        affinity_silence_end_round(core, now_us, load);
    }
}
