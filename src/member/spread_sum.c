/*
 * How far a job has come.  What was reported counts only for daemons that are
 * live in this daemon's own view, at the incarnation known here: one that
 * restarted has to report anew, and a dead one is no longer waited for.
 */
#include "member/spread_priv.h"

static void count_known(const struct spread_core *,
                        const struct spread_range *, struct spread_sum *);
static void add_lacking(struct spread_sum *, struct daemon_id);
static void add_child(const struct spread_core *, const struct spread_child *,
                      struct spread_sum *);
static void add_self(const struct spread_core *, const struct spread_job *,
                     struct spread_sum *);

/* Add the live daemons of RANGE to the known of SUM. */
static void
count_known(const struct spread_core *core, const struct spread_range *range,
            struct spread_sum *sum)
{
    size_t count;
    const struct daemon_view *daemons = spread_live(core, range, &count);

    sum->known += (uint32_t)count;
    for (size_t i = 0; i < count; i++) {
        sum->known_digest ^= spread_mark(&daemons[i]);
    }
}

static void
add_lacking(struct spread_sum *sum, struct daemon_id id)
{
    if (sum->lacking_count < SPREAD_LACKING_MAX) {
        sum->lacking[sum->lacking_count++] = id;
    }
}

/* Whether all live daemons of CHILD's range have reported. */
bool
spread_child_done(const struct spread_core *core,
                  const struct spread_child *child)
{
    struct spread_sum sum = {0};

    count_known(core, &child->range, &sum);
    return sum.known == 0 || (child->reported && child->done == sum.known &&
                              child->done_digest == sum.known_digest);
}

static void
add_child(const struct spread_core *core, const struct spread_child *child,
          struct spread_sum *sum)
{
    size_t count;
    const struct daemon_view *daemons =
        spread_live(core, &child->range, &count);
    bool done = spread_child_done(core, child);

    if (count == 0) {
        return;
    }
    if (done || (child->reported && count > 1)) {
        sum->done += child->done;
        sum->done_digest ^= child->done_digest;
    }
    if (done) {
        return;
    }
    if (child->reported && count > 1) {
        for (uint32_t i = 0; i < child->lacking_count; i++) {
            add_lacking(sum, child->lacking[i]);
        }
        return;
    }
    for (size_t i = 0; i < count; i++) {
        add_lacking(sum, daemons[i].id);
    }
}

/* This daemon's own part in JOB. */
static void
add_self(const struct spread_core *core, const struct spread_job *job,
         struct spread_sum *sum)
{
    struct spread_range own = {core->zone, core->options.self.value,
                               core->options.self.value};
    uint64_t reached =
        job->phase == SPREAD_STAGE ? core->staged : core->active;
    size_t count;
    const struct daemon_view *self = spread_live(core, &own, &count);

    if (!job->with_self || count == 0) {
        return;
    }
    if (reached < job->version) {
        add_lacking(sum, core->options.self);
        return;
    }
    sum->done++;
    sum->done_digest ^= spread_mark(self);
}

/* Add up JOB into SUM. */
void
spread_job_sum(const struct spread_core *core, const struct spread_job *job,
               struct spread_sum *sum)
{
    *sum = (struct spread_sum){0};
    if (job->leader) {
        for (guint i = 0; i < core->live->len; i++) {
            sum->known_digest ^=
                spread_mark(&g_array_index(core->live, struct daemon_view, i));
        }
        sum->known = core->live->len;
    }
    else {
        count_known(core, &job->range, sum);
    }
    for (guint i = 0; job->children != NULL && i < job->children->len; i++) {
        add_child(core, &g_array_index(job->children, struct spread_child, i),
                  sum);
    }
    add_self(core, job, sum);
}

/* Whether SUM says that all known daemons are done. */
bool
spread_job_done(const struct spread_sum *sum)
{
    return sum->done == sum->known && sum->done_digest == sum->known_digest;
}
