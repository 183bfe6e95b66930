/*
 * What this daemon's network loses, estimated from packets and probes that
 * living targets left unanswered, and how long connections take.
 */
#include "affinity/affinity_state.h"

/* A probe times out after this multiple of the slowest recent connection. */
#define CONNECT_TIMES        8
#define PROBE_TIMEOUT_MIN_US 30000U
#define PROBE_TIMEOUT_MAX_US 200000U

/* Probes that the loss of packets counts for in the estimate of the probes'
 * loss. */
#define PRIOR_PROBES 4.0

#define LOSS_HALF_LIFE_US 1000000U
#define LOSS_FORGOTTEN_US 30000000U

static void halve(struct affinity_trials *);

/* Halve the counts of TRIALS. */
static void
halve(struct affinity_trials *trials)
{
    trials->answered /= 2;
    trials->lost /= 2;
}

/* Halve the counts of trials for each half-life that has passed. */
void
affinity_loss_decay(struct affinity_core *core, uint64_t now_us)
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
double
affinity_loss_share(const struct affinity_core *core)
{
    const struct affinity_trials *packets = &core->loss.packets;
    const struct affinity_trials *probes = &core->loss.probes;
    double prior =
        (packets->lost + 1) / (packets->answered + packets->lost + 2);

    return (probes->lost + PRIOR_PROBES * prior) /
           (probes->answered + probes->lost + PRIOR_PROBES);
}

/* Return the time that a probe waits for a connection. */
uint32_t
affinity_loss_probe_timeout_us(const struct affinity_core *core)
{
    return (uint32_t)CLAMP(core->loss.connect_us * CONNECT_TIMES,
                           PROBE_TIMEOUT_MIN_US, PROBE_TIMEOUT_MAX_US);
}
