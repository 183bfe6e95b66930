/*
 * Suspicion and death.  A daemon is suspected when a probe failed directly
 * and through helpers; its accuser goes on probing it, and declares it dead
 * only if it stays silent.  Nobody believes in a death that it only heard
 * of: it probes for itself first.
 */
#include "member/member_priv.h"

static uint64_t suspicion_us(const struct member_core *,
                             const struct member *);
static uint64_t retry_interval_us(const struct member_core *,
                                  const struct member *);

/* How much longer intervals and suspicions are while health is not full. */
uint64_t
member_health_factor(const struct member_core *core)
{
    return MIN(core->health + 1, HEALTH_FACTOR_MAX);
}

/* How long MEMBER may be suspect; longer while this daemon is unwell. */
static uint64_t
suspicion_us(const struct member_core *core, const struct member *member)
{
    uint64_t limit_ms = core->options.suspicion_max_ms;

    if (member->death_heard) {
        limit_ms = HEARSAY_MS;
    }
    else if (!member->first_hand) {
        limit_ms += limit_ms / 2;
    }
    else if (member->confirmed) {
        limit_ms = core->options.suspicion_ms;
    }
    return limit_ms * US_PER_MS * member_health_factor(core);
}

/*
 * The time between probes of a suspect.  Those who only heard of it probe it
 * more rarely the more daemons there are, so that it is not flooded.
 */
static uint64_t
retry_interval_us(const struct member_core *core, const struct member *member)
{
    uint64_t others = member_peer_count(core) / RETRY_OTHER_DAEMONS;

    if (member->first_hand || member->death_heard) {
        return RETRY_FIRST_MS * US_PER_MS;
    }
    return RETRY_OTHER_MS * US_PER_MS * MAX(others, 1);
}

/* Suspect MEMBER, by an own failed probe or by hearsay. */
void
member_suspect(struct member_core *core, struct member *member,
               bool first_hand)
{
    uint64_t spread;

    if (member->record.status > MEMBER_SUSPECT || member == core->self) {
        return;
    }
    if (member->record.status == MEMBER_SUSPECT) {
        member->confirmed |= first_hand && !member->first_hand;
        member->first_hand |= first_hand;
        return;
    }
    member->record.status = MEMBER_SUSPECT;
    member->since_us = core->now_us;
    member->first_hand = first_hand;
    member->confirmed = false;
    member->death_heard = false;
    spread = first_hand ? 0 : retry_interval_us(core, member);
    member->retry_us =
        core->now_us + (uint64_t)((double)spread * g_rand_double(core->rand));
    if (!g_ptr_array_find(core->suspects, member, NULL)) {
        g_ptr_array_add(core->suspects, member);
    }
    core->changed = true;
    core->counters.suspected++;
    member_announce(core, member);
}

/* Another daemon declared MEMBER dead: probe it before believing so. */
void
member_hear_death(struct member_core *core, struct member *member)
{
    member_suspect(core, member, false);
    if (member->death_heard) {
        return;
    }
    member->death_heard = true;
    member->retry_us = core->now_us;
    if (member_peer_count(core) > RETRY_OTHER_DAEMONS) {
        member->since_us = core->now_us;
    }
}

/*
 * MEMBER answered a probe.  A refutation came in the same message, if it knew
 * that it was suspected; otherwise its time begins anew.
 */
void
member_answered(struct member_core *core, struct member *member)
{
    if (member->unproved && member->record.status <= MEMBER_SUSPECT) {
        member->unproved = false;
        core->changed = true;
    }
    if (member->record.status == MEMBER_SUSPECT) {
        member->since_us = core->now_us;
        member->confirmed = false;
        member->death_heard = false;
    }
}

/* Probe the suspects that are due, and declare dead those out of time. */
void
member_check_suspects(struct member_core *core)
{
    for (guint i = core->suspects->len; i-- > 0;) {
        struct member *member = g_ptr_array_index(core->suspects, i);

        if (member->record.status != MEMBER_SUSPECT) {
            g_ptr_array_remove_index_fast(core->suspects, i);
            continue;
        }
        if (core->now_us - member->since_us >= suspicion_us(core, member)) {
            core->counters.declared_dead++;
            g_ptr_array_remove_index_fast(core->suspects, i);
            member_set_status(core, member, MEMBER_DEAD);
            continue;
        }
        if (core->now_us >= member->retry_us) {
            member->retry_us = core->now_us + retry_interval_us(core, member);
            member_probe_suspect(core, member);
        }
    }
}

/*
 * Where nobody was heard for a while, this daemon is cut off: waiting for
 * each probe to fail in turn would keep it from serving alone.
 */
void
member_check_isolation(struct member_core *core)
{
    if (member_peer_count(core) == 0 ||
        core->now_us - core->heard_us < ISOLATED_MS * US_PER_MS) {
        return;
    }
    core->heard_us = core->now_us;
    for (guint i = 0; i < core->order->len; i++) {
        struct member *member = g_ptr_array_index(core->order, i);

        if (member_is_peer(core, member)) {
            member_suspect(core, member, true);
        }
    }
}
