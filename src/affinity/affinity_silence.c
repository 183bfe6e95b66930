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

/* Between rounds that count: no pause explains two of them. */
#define ROUND_INTERVAL_US (PAUSE_MAX_US + 10000U)
/* Older rounds do not count: the target may have stood still twice. */
#define ROUND_AGE_MAX_US 800000U

/* Between the probes of a target that answers them but not its callers. */
#define ANSWERED_PAUSE_US 500000U
/* Between the probes of a silent target, or of one whose references do not
 * answer either, at first and at most. */
#define RECHECK_MIN_US 200000U
#define RECHECK_MAX_US 4000000U

static void record_life(struct affinity_core *, uint64_t now_us,
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
    affinity_loss_decay(core, now_us);
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

/* Draw the conclusion from the round that has just ended. */
void
affinity_silence_end_round(struct affinity_core *core, uint64_t now_us,
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
    uint32_t probes =
        unexplained_rounds(&load->suspicion) * AFFINITY_SUSPECT_PROBES;

    return probes * log(affinity_loss_share(core)) <= log(FALSE_ALARM);
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
    belief->loss = affinity_loss_share(core);
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
