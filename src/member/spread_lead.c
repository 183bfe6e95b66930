/* What the daemon that leads the control daemons does for a version. */
#include "member/spread_priv.h"

static guint count_stages(const struct spread_core *);
static void stage_waiting(struct spread_core *);
static struct spread_job *newest_done(struct spread_core *);
static void begin_force(struct spread_core *, uint64_t version);
static void drop_leader_jobs(struct spread_core *, enum spread_phase,
                             uint64_t up_to);
static const struct spread_job *
find_status(const struct spread_core *, enum spread_phase, uint64_t version);

/* Drop the leader's own jobs of PHASE for versions up to UP_TO. */
static void
drop_leader_jobs(struct spread_core *core, enum spread_phase phase,
                 uint64_t up_to)
{
    for (guint i = core->jobs->len; i-- > 0;) {
        const struct spread_job *job = g_ptr_array_index(core->jobs, i);

        if (job->leader && job->phase == phase && job->version <= up_to) {
            g_ptr_array_remove_index(core->jobs, i);
        }
    }
}

/* This daemon leads in TERM, or no longer does. */
void
spread_on_lead(struct spread_core *core, uint64_t term, bool leading)
{
    if (term < core->term) {
        return;
    }
    if (!leading || term > core->term) {
        drop_leader_jobs(core, SPREAD_STAGE, UINT64_MAX);
        drop_leader_jobs(core, SPREAD_FORCE, UINT64_MAX);
    }
    core->ordered = leading && term > core->term ? 0 : core->ordered;
    core->committed = leading && term > core->term ? 0 : core->committed;
    core->term = term;
    core->leading = leading;
}

/* The number of versions that the leader has under way. */
static guint
count_stages(const struct spread_core *core)
{
    guint count = 0;

    for (guint i = 0; i < core->jobs->len; i++) {
        const struct spread_job *job = g_ptr_array_index(core->jobs, i);

        count += job->leader && job->phase == SPREAD_STAGE;
    }
    return count;
}

/* Have BYTES staged on all live entry daemons. */
void
spread_lead_stage(struct spread_core *core, const struct spread_bytes *bytes)
{
    struct spread_job *job;
    GBytes *data;

    if (!core->leading || bytes->to <= core->ordered) {
        return;
    }
    core->ordered = bytes->to;
    data = g_bytes_new(bytes->data, bytes->len);
    job = spread_job_add(core, SPREAD_STAGE, bytes->from, bytes->to, data);
    g_bytes_unref(data);
    job->leader = true;
    spread_job_send(core, job);
    spread_lead_check(core);
}

/*
 * A version was committed.  If enough versions are under way it waits; all
 * that wait are then asked for as one difference.
 */
void
spread_on_committed(struct spread_core *core, const struct spread_bytes *bytes)
{
    bool waits = core->ordered < core->committed;

    if (!core->leading || bytes->to < core->committed) {
        return;
    }
    core->committed = bytes->to;
    if (!waits && count_stages(core) < WINDOW) {
        spread_lead_stage(core, bytes);
    }
}

/* Ask for what waits as one difference, to be given back to this daemon. */
static void
stage_waiting(struct spread_core *core)
{
    struct spread_action *action;

    if (core->ordered >= core->committed || count_stages(core) >= WINDOW ||
        core->now_us < core->need_us) {
        return;
    }
    core->need_us = core->now_us + core->options.retry_ms * US_PER_MS;
    action = spread_act(core, SPREAD_ACT_NEED);
    action->u.need.to = core->options.self;
    action->u.need.from = core->ordered;
    action->u.need.version = core->committed;
}

/* The newest version that all live entry daemons have staged, or NULL. */
static struct spread_job *
newest_done(struct spread_core *core)
{
    struct spread_job *newest = NULL;

    for (guint i = 0; i < core->jobs->len; i++) {
        struct spread_job *job = g_ptr_array_index(core->jobs, i);
        struct spread_sum sum;

        if (!job->leader || job->phase != SPREAD_STAGE) {
            continue;
        }
        spread_job_sum(core, job, &sum);
        if (spread_job_done(&sum) &&
            (newest == NULL || job->version > newest->version)) {
            newest = job;
        }
    }
    return newest;
}

static void
begin_force(struct spread_core *core, uint64_t version)
{
    GBytes *none = g_bytes_new(NULL, 0);
    struct spread_job *job;

    spread_act(core, SPREAD_ACT_IN_FORCE)->u.in_force = version;
    spread_learn_force(core, version);
    drop_leader_jobs(core, SPREAD_STAGE, version);
    drop_leader_jobs(core, SPREAD_FORCE, version);
    job = spread_job_add(core, SPREAD_FORCE, version, version, none);
    g_bytes_unref(none);
    job->leader = true;
    spread_job_send(core, job);
}

/*
 * Put in force what all live entry daemons have staged.  The last version in
 * force is ordered again for daemons that have joined.
 */
void
spread_lead_check(struct spread_core *core)
{
    struct spread_job *done;
    bool reopen = false;

    if (!core->leading) {
        return;
    }
    done = newest_done(core);
    if (done != NULL) {
        begin_force(core, done->version);
    }
    stage_waiting(core);
    if (core->view_changed && core->now_us >= core->reopen_us) {
        core->view_changed = false;
        core->reopen_us = core->now_us + REOPEN_MS * US_PER_MS;
        reopen = true;
    }
    for (guint i = 0; i < core->jobs->len; i++) {
        struct spread_job *job = g_ptr_array_index(core->jobs, i);
        struct spread_sum sum;

        if (job->leader && job->phase == SPREAD_FORCE &&
            (reopen || !job->closed)) {
            spread_job_sum(core, job, &sum);
            job->closed = spread_job_done(&sum);
        }
    }
}

/* The leader's job for the lowest version that includes VERSION. */
static const struct spread_job *
find_status(const struct spread_core *core, enum spread_phase phase,
            uint64_t version)
{
    const struct spread_job *found = NULL;

    for (guint i = 0; i < core->jobs->len; i++) {
        const struct spread_job *job = g_ptr_array_index(core->jobs, i);

        if (job->leader && job->phase == phase && job->version >= version &&
            (found == NULL || job->version < found->version)) {
            found = job;
        }
    }
    return found;
}

/*
 * On the leader: how far VERSION has come, to STATUS.  A later version
 * includes it.  False if VERSION is not known here.
 */
bool
spread_core_status(const struct spread_core *core, uint64_t version,
                   struct spread_status *status)
{
    const struct spread_job *job = find_status(core, SPREAD_FORCE, version);
    const struct spread_job waiting = {.leader = true, .version = version};
    struct spread_sum sum;

    if (!core->leading || version > core->committed) {
        return false;
    }
    if (job == NULL) {
        job = find_status(core, SPREAD_STAGE, version);
    }
    if (job == NULL) {
        job = &waiting;
    }
    spread_job_sum(core, job, &sum);
    *status = (struct spread_status){
        .version = job->version,
        .phase = job->phase,
        .done = MIN(sum.done, sum.known),
        .known = sum.known,
        .lacking_count = sum.lacking_count,
    };
    for (uint32_t i = 0; i < sum.lacking_count; i++) {
        status->lacking[i] = sum.lacking[i];
    }
    return true;
}

/*
 * The zones that are known to hold entry daemons of which none is live: up to
 * MAX of them to ZONES, and their full number as the result.  An edit is to
 * be refused while there is one that the operator did not except.
 */
size_t
spread_core_unreachable_zones(const struct spread_core *core, uint32_t *zones,
                              size_t max)
{
    GHashTable *seen = g_hash_table_new(g_direct_hash, g_direct_equal);
    size_t found = 0;

    for (guint i = 0; i < core->view->len; i++) {
        const struct daemon_view *daemon =
            &g_array_index(core->view, struct daemon_view, i);
        struct spread_range zone = {daemon->zone, 0, UINT64_MAX};
        size_t live;

        if (!daemon->entry ||
            !g_hash_table_add(seen, GUINT_TO_POINTER(daemon->zone))) {
            continue;
        }
        spread_live(core, &zone, &live);
        if (live > 0) {
            continue;
        }
        if (found < max) {
            zones[found] = daemon->zone;
        }
        found++;
    }
    g_hash_table_destroy(seen);
    return found;
}
