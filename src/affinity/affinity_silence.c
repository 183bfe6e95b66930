/*
 * Detection of targets that are down or out of reach.
 *
 * A target that dies without a word leaves its callers waiting: a request on
 * an open flow ends only when the caller gives up, and the announcements are
 * overdue only after seconds.  This module looks for such targets and ends
 * their flows, so that callers ask elsewhere.
 *
 * A target is suspected when a packet to it stays unanswered for longer than
 * its answers take.  It is then probed by TCP connections, which a living
 * target accepts even if its slots are busy or it is slow.  Together with each
 * probe some targets of the same zone are probed as references; the round
 * counts only if one of them answers, since otherwise this daemon's network
 * or a partition may be the reason.
 *
 * The decision is a sequential test: a target is silent when the probability
 * that a living one left that many probes unanswered in a row is below
 * FALSE_ALARM.  The probability of a single loss is estimated from all other
 * targets, so that a daemon whose network loses packets needs more evidence.
 * A VM may also stand still for PAUSE_MAX_US at any moment, so the rounds that
 * a single pause explains do not count.
 */
#include <math.h>
#include <string.h>

#include "affinity/affinity_state.h"

/* Probability that a living target is taken for dead, for each suspicion. */
#define FALSE_ALARM 1e-7
/* A VM may stand still for this time and go on. */
#define PAUSE_MAX_US 200000U

/* An answer is overdue after this multiple of its target's mean answer time.
 * The limits apply to targets that answer very quickly or slowly. */
#define OVERDUE_ANSWER_TIMES 2
#define OVERDUE_MIN_US       50000U
#define OVERDUE_MAX_US       200000U

/* A probe times out after this multiple of the slowest recent connection. */
#define CONNECT_TIMES        8
#define PROBE_TIMEOUT_MIN_US 30000U
#define PROBE_TIMEOUT_MAX_US 200000U

/* Probes of a round: of the target, and of references.  The first round is a
 * single probe, which most suspects answer. */
#define SUSPECT_PROBES 5
#define REFERENCES     3
/* Between rounds that count: no pause explains two of them. */
#define ROUND_INTERVAL_US (PAUSE_MAX_US + 10000U)
/* Older rounds do not count: the target may have stood still twice. */
#define ROUND_AGE_MAX_US 800000U
/* Probes that the loss of packets counts for in the estimate of the probes'
 * loss. */
#define PRIOR_PROBES 4.0
/* A target that has answered within this time may be a reference. */
#define REFERENCE_AGE_MAX_US 1000000U

/* Between the probes of a target that answers them but not its callers. */
#define ANSWERED_PAUSE_US 500000U
/* Between the probes of a silent target, or of one whose references do not
 * answer either, at first and at most. */
#define RECHECK_MIN_US 200000U
#define RECHECK_MAX_US 4000000U

#define LOSS_HALF_LIFE_US 1000000U
#define LOSS_FORGOTTEN_US 30000000U

static void halve(struct affinity_trials *);
static void decay_loss(struct affinity_core *, uint64_t now_us);
static double loss_share(const struct affinity_core *);
static void record_life(struct affinity_core *, uint64_t now_us,
                        struct affinity_load *);
static uint64_t overdue_us(const struct affinity_load *);
static uint32_t probe_timeout_us(const struct affinity_core *);
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
static void end_round(struct affinity_core *, uint64_t now_us,
                      struct affinity_load *);
static void back_off(struct affinity_suspicion *, uint64_t now_us);
static void count_missed(struct affinity_suspicion *);
static uint32_t unexplained_rounds(const struct affinity_suspicion *);
static bool is_proved_silent(const struct affinity_core *,
                             const struct affinity_load *);
static void declare_silent(struct affinity_core *, uint64_t now_us,
                           struct affinity_load *);
static uint32_t queue_resets(struct affinity_core *, uint64_t host);
static void report(struct affinity_core *, uint64_t now_us,
                   const struct affinity_load *, enum affinity_belief_kind,
                   uint32_t flows);

/* Halve the counts of TRIALS. */
static void
halve(struct affinity_trials *trials)
{
    trials->answered /= 2;
    trials->lost /= 2;
}

/* Halve the counts of trials for each half-life that has passed. */
static void
decay_loss(struct affinity_core *core, uint64_t now_us)
{
    struct affinity_loss *loss = &core->loss;

    if (now_us - loss->halved_us > LOSS_FORGOTTEN_US) {
        *loss = (struct affinity_loss){.halved_us = now_us};
    }
    while (now_us - loss->halved_us >= LOSS_HALF_LIFE_US) {
        halve(&loss->packets);
        halve(&loss->probes);
        loss->connect_us /= 2;
        loss->halved_us += LOSS_HALF_LIFE_US;
    }
}

/*
 * Return the estimated probability that a probe of a living target is lost.
 * Probes are few at first, so the share of packets that callers sent again is
 * the prior estimate; it also counts answers that are only slow.
 */
static double
loss_share(const struct affinity_core *core)
{
    const struct affinity_trials *packets = &core->loss.packets;
    const struct affinity_trials *probes = &core->loss.probes;
    double prior =
        (packets->lost + 1) / (packets->answered + packets->lost + 2);

    return (probes->lost + PRIOR_PROBES * prior) /
           (probes->answered + probes->lost + PRIOR_PROBES);
}

/* Return the time after which an answer of the target is overdue. */
static uint64_t
overdue_us(const struct affinity_load *load)
{
    return load->mean_answer_us == 0
               ? OVERDUE_MAX_US
               : CLAMP(load->mean_answer_us * OVERDUE_ANSWER_TIMES,
                       OVERDUE_MIN_US, OVERDUE_MAX_US);
}

/* Return the time that a probe waits for a connection. */
static uint32_t
probe_timeout_us(const struct affinity_core *core)
{
    return (uint32_t)CLAMP(core->loss.connect_us * CONNECT_TIMES,
                           PROBE_TIMEOUT_MIN_US, PROBE_TIMEOUT_MAX_US);
}

/* Return true while the target gets no new flows if there are others: it is
 * silent, or did not answer a probe. */
bool
affinity_silence_is_suspected(const struct affinity_load *load)
{
    return load->suspicion.suspected;
}

/* Record that a packet which must be answered is sent to the target.  With
 * RETRANSMITTED an earlier copy was not answered in time. */
void
affinity_silence_sent(struct affinity_core *core, uint64_t now_us,
                      struct affinity_load *load, bool retransmitted)
{
    struct affinity_suspicion *suspicion = &load->suspicion;

    if (suspicion->since_us == 0) {
        suspicion->since_us = now_us;
        suspicion->link.data = load;
        g_queue_push_tail_link(&core->suspicions, &suspicion->link);
    }
    suspicion->packets += retransmitted ? 1 : 0;
}

/*
 * Record that a caller acknowledges an answer of the target, whose flow's
 * packet before came at PREVIOUS_US.  What the target left unanswered before
 * was lost.  An answer to a packet from before the suspicion says nothing of
 * the time since: the caller's first acknowledgement may have been lost.
 */
void
affinity_silence_heard(struct affinity_core *core, uint64_t now_us,
                       struct affinity_load *load, uint64_t previous_us)
{
    if (previous_us < load->suspicion.since_us) {
        return;
    }
    decay_loss(core, now_us);
    core->loss.packets.answered++;
    core->loss.packets.lost += load->suspicion.packets;
    record_life(core, now_us, load);
}

/* Record a sign of life of the target, which ends its suspicion. */
static void
record_life(struct affinity_core *core, uint64_t now_us,
            struct affinity_load *load)
{
    /* The probes of a round were lost together, or the target paused. */
    core->loss.probes.lost += load->suspicion.rounds;
    load->heard_us = now_us;
    if (load->suspicion.silent) {
        report(core, now_us, load, AFFINITY_BELIEF_ANSWERING, 0);
    }
    affinity_silence_forget(core, load);
}

/* End the suspicion of the target.  Outcomes of its probes are ignored. */
void
affinity_silence_forget(struct affinity_core *core, struct affinity_load *load)
{
    struct affinity_suspicion *suspicion = &load->suspicion;

    if (suspicion->since_us != 0) {
        g_queue_unlink(&core->suspicions, &suspicion->link);
    }
    *suspicion = (struct affinity_suspicion){
        .round = suspicion->round + 1,
        .next_round_us = suspicion->next_round_us,
    };
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
        .timeout_us = probe_timeout_us(core),
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
    suspicion->suspect_probes =
        suspicion->silent || !suspicion->suspected ? 1 : SUSPECT_PROBES;
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
            count + SUSPECT_PROBES + REFERENCES > max) {
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

    decay_loss(core, now_us);
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
        end_round(core, now_us, load);
    }
}

/* Draw the conclusion from the round that has just ended. */
static void
end_round(struct affinity_core *core, uint64_t now_us,
          struct affinity_load *load)
{
    struct affinity_suspicion *suspicion = &load->suspicion;

    if (suspicion->answered) {
        record_life(core, now_us, load);
        suspicion->next_round_us = now_us + ANSWERED_PAUSE_US;
        return;
    }
    if (!suspicion->suspected) {
        suspicion->suspected = true;
        return;
    }
    if (suspicion->silent || suspicion->references == 0) {
        back_off(suspicion, now_us);
        return;
    }
    suspicion->recheck_interval_us = 0;
    count_missed(suspicion);
    if (is_proved_silent(core, load)) {
        declare_silent(core, now_us, load);
    }
}

/*
 * Wait longer each time before the target is probed again, while no reference
 * answers either or the target is known to be silent.
 */
static void
back_off(struct affinity_suspicion *suspicion, uint64_t now_us)
{
    suspicion->recheck_interval_us = CLAMP(2 * suspicion->recheck_interval_us,
                                           RECHECK_MIN_US, RECHECK_MAX_US);
    suspicion->next_round_us = now_us + suspicion->recheck_interval_us;
}

/* Count a round without an answer of the target, although a reference gave
 * one. */
static void
count_missed(struct affinity_suspicion *suspicion)
{
    suspicion->missed += suspicion->suspect_probes;
    if (suspicion->rounds == AFFINITY_ROUNDS_MAX) {
        suspicion->rounds--;
        memmove(&suspicion->rounds_us[0], &suspicion->rounds_us[1],
                suspicion->rounds * sizeof(suspicion->rounds_us[0]));
    }
    suspicion->rounds_us[suspicion->rounds++] = suspicion->round_us;
    suspicion->next_round_us = suspicion->round_us + ROUND_INTERVAL_US;
}

/* Return the number of rounds without an answer that remain if the target
 * stood still for PAUSE_MAX_US when that explains most of them. */
static uint32_t
unexplained_rounds(const struct affinity_suspicion *suspicion)
{
    uint32_t first = 0, longest = 0, start;

    while (first < suspicion->rounds &&
           suspicion->round_us - suspicion->rounds_us[first] >
               ROUND_AGE_MAX_US) {
        first++;
    }
    start = first;
    for (uint32_t last = start; last < suspicion->rounds; last++) {
        while (suspicion->rounds_us[last] - suspicion->rounds_us[first] >
               PAUSE_MAX_US) {
            first++;
        }
        longest = MAX(longest, last - first + 1);
    }
    return suspicion->rounds - start - longest;
}

/* Return true if a living target leaves that many probes unanswered only with
 * the probability FALSE_ALARM. */
static bool
is_proved_silent(const struct affinity_core *core,
                 const struct affinity_load *load)
{
    uint32_t probes = unexplained_rounds(&load->suspicion) * SUSPECT_PROBES;

    return probes * log(loss_share(core)) <= log(FALSE_ALARM);
}

/* Take the target for dead: its flows are reset, and it is probed from time to
 * time until it answers. */
static void
declare_silent(struct affinity_core *core, uint64_t now_us,
               struct affinity_load *load)
{
    struct affinity_suspicion *suspicion = &load->suspicion;

    suspicion->silent = true;
    back_off(suspicion, now_us);
    core->counters.silent++;
    report(core, now_us, load, AFFINITY_BELIEF_SILENT,
           queue_resets(core, load->host));
}

/* Stop tracking the established flows of the target on HOST and queue their
 * resets.  Return the number of flows. */
static uint32_t
queue_resets(struct affinity_core *core, uint64_t host)
{
    GList *flows = g_hash_table_get_values(core->flows);
    uint32_t count = 0;

    for (GList *item = flows; item != NULL; item = item->next) {
        struct affinity_flow *flow = item->data;
        struct affinity_packet *last;

        if (flow->host != host || flow->phase != AFFINITY_ESTABLISHED) {
            continue;
        }
        last = g_new0(struct affinity_packet, 1);
        last->source = flow->key.source;
        last->source_port = flow->key.source_port;
        last->destination = flow->key.destination;
        last->destination_port = flow->key.destination_port;
        last->cookie = catalog_cookie(host);
        last->acknowledged = flow->acknowledged;
        last->flags = AFFINITY_ACK;
        g_queue_push_tail(&core->resets, last);
        affinity_flow_remove(core, flow);
        count++;
    }
    g_list_free(flows);
    return count;
}

/* Queue a belief of KIND about the target, with the inputs of the decision. */
static void
report(struct affinity_core *core, uint64_t now_us,
       const struct affinity_load *load, enum affinity_belief_kind kind,
       uint32_t flows)
{
    const struct affinity_suspicion *suspicion = &load->suspicion;
    struct affinity_belief *belief = g_new0(struct affinity_belief, 1);

    belief->kind = kind;
    belief->host = load->host;
    belief->silent_us = now_us - suspicion->since_us;
    belief->packets = 1 + suspicion->packets;
    belief->probes = suspicion->missed;
    belief->loss = loss_share(core);
    belief->flows = flows;
    g_queue_push_tail(&core->beliefs, belief);
}

/* Move the oldest unreported change of belief to BELIEF.  Return false if
 * there is none. */
bool
affinity_core_next_belief(struct affinity_core *core,
                          struct affinity_belief *belief)
{
    struct affinity_belief *next = g_queue_pop_head(&core->beliefs);

    if (next == NULL) {
        return false;
    }
    *belief = *next;
    g_free(next);
    return true;
}

/*
 * Move the last packet of a flow that is to be reset to PACKET: the caller of
 * its target is told that the flow has ended.  Return false if there is none.
 */
bool
affinity_core_next_reset(struct affinity_core *core,
                         struct affinity_packet *packet)
{
    struct affinity_packet *next = g_queue_pop_head(&core->resets);

    if (next == NULL) {
        return false;
    }
    *packet = *next;
    g_free(next);
    return true;
}
