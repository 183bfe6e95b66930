/* Jobs: orders passed down the tree until all reports have come up. */
#include "member/spread_priv.h"

static struct spread_job *find_job(const struct spread_core *,
                                   enum spread_phase, uint64_t version,
                                   const struct spread_range *);
static struct spread_job *take_order(struct spread_core *, struct daemon_id,
                                     const struct spread_message *);
static void part_job(struct spread_core *, struct spread_job *);
static void cover(struct spread_core *, struct spread_job *);
static void send_order(struct spread_core *, struct spread_job *,
                       struct spread_child *);
static void report(struct spread_core *, struct spread_job *,
                   const struct spread_sum *);
static void report_news(struct spread_core *, struct spread_job *);
static void advance_self(struct spread_core *, struct spread_job *);
static bool is_stale_report(const struct spread_child *,
                            const struct spread_message *);
static void take_report(struct spread_core *, struct spread_job *,
                        const struct spread_message *);
static void refuse_term(struct spread_core *, struct daemon_id,
                        const struct spread_message *);
static bool is_same_range(const struct spread_range *,
                          const struct spread_range *);

static bool
is_same_range(const struct spread_range *a, const struct spread_range *b)
{
    return a->zone == b->zone && a->first == b->first && a->last == b->last;
}

void
spread_job_free(void *data)
{
    struct spread_job *job = data;

    g_bytes_unref(job->bytes);
    g_array_free(job->children, TRUE);
    g_free(job);
}

/*
 * Add a job, which takes a reference to BYTES; above the limit the oldest
 * that was ordered by another gives way.  Owned by the core.
 */
struct spread_job *
spread_job_add(struct spread_core *core, enum spread_phase phase,
               uint64_t from, uint64_t version, GBytes *bytes)
{
    struct spread_job *job = g_new0(struct spread_job, 1);

    for (guint i = 0;
         core->jobs->len >= core->options.jobs_max && i < core->jobs->len;
         i++) {
        if (!((struct spread_job *)g_ptr_array_index(core->jobs, i))->leader) {
            g_ptr_array_remove_index(core->jobs, i);
        }
    }
    job->phase = phase;
    job->from = from;
    job->version = version;
    job->bytes = g_bytes_ref(bytes);
    job->heard_us = core->now_us;
    job->children = g_array_new(FALSE, TRUE, sizeof(struct spread_child));
    g_ptr_array_add(core->jobs, job);
    return job;
}

static struct spread_job *
find_job(const struct spread_core *core, enum spread_phase phase,
         uint64_t version, const struct spread_range *range)
{
    for (guint i = 0; i < core->jobs->len; i++) {
        struct spread_job *job = g_ptr_array_index(core->jobs, i);

        if (!job->leader && job->phase == phase && job->version == version &&
            is_same_range(&job->range, range)) {
            return job;
        }
    }
    return NULL;
}

/* Give JOB its children: zones on the leader, else parts of its range. */
static void
part_job(struct spread_core *core, struct spread_job *job)
{
    GArray *ranges;

    if (job->leader) {
        ranges = spread_zones(core);
    }
    else {
        ranges = g_array_new(FALSE, TRUE, sizeof(struct spread_range));
        spread_part(core, &job->range, ranges);
    }
    for (guint i = 0; i < ranges->len; i++) {
        struct spread_child child = {
            .range = g_array_index(ranges, struct spread_range, i)};

        g_array_append_val(job->children, child);
    }
    g_array_free(ranges, TRUE);
}

/* Add children for live daemons that none covers: they joined since. */
static void
cover(struct spread_core *core, struct spread_job *job)
{
    for (guint i = 0; i < core->live->len; i++) {
        const struct daemon_view *daemon =
            &g_array_index(core->live, struct daemon_view, i);
        struct spread_child added = {
            .range = {daemon->zone, daemon->id.value, daemon->id.value}};
        bool covered =
            job->with_self && daemon->id.value == core->options.self.value;

        if (!job->leader &&
            !spread_in_range(&job->range, daemon->zone, daemon->id)) {
            continue;
        }
        for (guint j = 0; j < job->children->len && !covered; j++) {
            covered = spread_in_range(
                &g_array_index(job->children, struct spread_child, j).range,
                daemon->zone, daemon->id);
        }
        if (covered) {
            continue;
        }
        if (job->leader) {
            added.range.first = 0;
            added.range.last = UINT64_MAX;
        }
        g_array_append_val(job->children, added);
    }
}

static void
send_order(struct spread_core *core, struct spread_job *job,
           struct spread_child *child)
{
    struct spread_message message = spread_start(core, SPREAD_ORDER);
    struct daemon_id head =
        spread_head(core, &child->range, child->attempts / ATTEMPTS_PER_HEAD);
    struct spread_bytes *bytes = &message.u.order.bytes;

    child->sent_us = core->now_us;
    child->attempts++;
    if (head.value == 0) {
        return;
    }
    message.u.order.phase = job->phase;
    message.u.order.attempt = child->attempts;
    message.u.order.range = child->range;
    bytes->from = job->from;
    bytes->to = job->version;
    bytes->data = g_bytes_get_data(job->bytes, &bytes->len);
    g_ptr_array_add(core->scratch, g_bytes_ref(job->bytes));
    core->counters.orders++;
    if (child->attempts > 1) {
        core->counters.orders_again++;
    }
    spread_send(core, head, &message);
}

/* Send JOB's orders to all children that are due and not done. */
void
spread_job_send(struct spread_core *core, struct spread_job *job)
{
    if (job->children->len == 0) {
        part_job(core, job);
    }
    for (guint i = 0; i < job->children->len; i++) {
        struct spread_child *child =
            &g_array_index(job->children, struct spread_child, i);
        uint32_t doublings =
            MIN(child->attempts / ATTEMPTS_PER_HEAD, RETRY_DOUBLINGS);
        uint64_t wait_us = (core->options.retry_ms * US_PER_MS) << doublings;

        if (child->attempts > 0 && core->now_us - child->sent_us < wait_us) {
            continue;
        }
        if (!spread_child_done(core, child)) {
            send_order(core, job, child);
        }
    }
}

/* Tell the parent of JOB how far it has come. */
static void
report(struct spread_core *core, struct spread_job *job,
       const struct spread_sum *sum)
{
    struct spread_message message = spread_start(core, SPREAD_REPORT);

    message.u.report.phase = job->phase;
    message.u.report.attempt = job->attempt;
    message.u.report.seq = ++job->seq;
    message.u.report.version = job->version;
    message.u.report.range = job->range;
    message.u.report.done = sum->done;
    message.u.report.known = sum->known;
    message.u.report.done_digest = sum->done_digest;
    message.u.report.lacking_count = sum->lacking_count;
    for (uint32_t i = 0; i < sum->lacking_count; i++) {
        message.u.report.lacking[i] = sum->lacking[i];
    }
    job->reported_us = core->now_us;
    job->reported_done = sum->done;
    job->reported_digest = sum->done_digest;
    core->counters.reports++;
    spread_send(core, job->parent, &message);
}

/* Report if something changed: at once when all are done, else by and by. */
static void
report_news(struct spread_core *core, struct spread_job *job)
{
    struct spread_sum sum;

    if (job->leader) {
        return;
    }
    spread_job_sum(core, job, &sum);
    if (sum.done == job->reported_done &&
        sum.done_digest == job->reported_digest) {
        return;
    }
    if (spread_job_done(&sum) ||
        core->now_us - job->reported_us >= REPORT_MS * US_PER_MS) {
        report(core, job, &sum);
    }
}

/* Do on this daemon itself what JOB orders, if it can be done yet. */
static void
advance_self(struct spread_core *core, struct spread_job *job)
{
    struct spread_bytes bytes = {.from = job->from, .to = job->version};

    if (job->phase == SPREAD_STAGE) {
        bytes.data = g_bytes_get_data(job->bytes, &bytes.len);
        if (bytes.from != 0 || core->staged == 0) {
            spread_stage(core, &bytes);
        }
        return;
    }
    spread_learn_force(core, job->version);
}

static void
refuse_term(struct spread_core *core, struct daemon_id from,
            const struct spread_message *order)
{
    struct spread_message message = spread_start(core, SPREAD_REPORT);

    core->counters.refused_term++;
    message.u.report.phase = order->u.order.phase;
    message.u.report.version = order->u.order.bytes.to;
    message.u.report.range = order->u.order.range;
    spread_send(core, from, &message);
}

/* The job that ORDER asks for: a new one, or the one under way. */
static struct spread_job *
take_order(struct spread_core *core, struct daemon_id from,
           const struct spread_message *order)
{
    const struct spread_bytes *bytes = &order->u.order.bytes;
    struct spread_job *job =
        find_job(core, order->u.order.phase, bytes->to, &order->u.order.range);
    GBytes *data;

    if (job == NULL) {
        data = g_bytes_new(bytes->data, bytes->len);
        job = spread_job_add(core, order->u.order.phase, bytes->from,
                             bytes->to, data);
        g_bytes_unref(data);
        job->range = order->u.order.range;
        job->with_self =
            core->options.entry &&
            spread_in_range(&job->range, core->zone, core->options.self);
    }
    job->parent = from;
    job->attempt = order->u.order.attempt;
    job->heard_us = core->now_us;
    return job;
}

/*
 * FROM orders a phase for a range.  A leader of an older term is refused; an
 * order that was already carried out is only reported on again.
 */
void
spread_on_order(struct spread_core *core, struct daemon_id from,
                const struct spread_message *order)
{
    struct spread_job *job;
    struct spread_sum sum;

    if (order->term < core->term) {
        refuse_term(core, from, order);
        return;
    }
    job = take_order(core, from, order);
    advance_self(core, job);
    if (job->phase == SPREAD_STAGE) {
        spread_jobs_staged(core);
    }
    if (job->children->len == 0) {
        spread_job_send(core, job);
    }
    spread_job_sum(core, job, &sum);
    report(core, job, &sum);
}

/* Whether a later report on CHILD's range is known: messages may cross. */
static bool
is_stale_report(const struct spread_child *child,
                const struct spread_message *message)
{
    if (!child->reported || message->u.report.attempt != child->attempt) {
        return child->reported && message->u.report.attempt < child->attempt;
    }
    return message->u.report.seq <= child->seq;
}

static void
take_report(struct spread_core *core, struct spread_job *job,
            const struct spread_message *message)
{
    for (guint i = 0; i < job->children->len; i++) {
        struct spread_child *child =
            &g_array_index(job->children, struct spread_child, i);

        if (!is_same_range(&child->range, &message->u.report.range) ||
            is_stale_report(child, message)) {
            continue;
        }
        child->reported = true;
        child->attempt = message->u.report.attempt;
        child->seq = message->u.report.seq;
        child->done = message->u.report.done;
        child->done_digest = message->u.report.done_digest;
        child->lacking_count = message->u.report.lacking_count;
        for (uint32_t j = 0; j < child->lacking_count; j++) {
            child->lacking[j] = message->u.report.lacking[j];
        }
        report_news(core, job);
        return;
    }
}

/* A child tells how far its range has come. */
void
spread_on_report(struct spread_core *core,
                 const struct spread_message *message)
{
    core->counters.reports++;
    for (guint i = 0; i < core->jobs->len; i++) {
        struct spread_job *job = g_ptr_array_index(core->jobs, i);

        if (job->phase == message->u.report.phase &&
            job->version == message->u.report.version) {
            take_report(core, job, message);
        }
    }
    spread_lead_check(core);
}

/* Something was staged: what waited for it may follow. */
void
spread_jobs_staged(struct spread_core *core)
{
    uint64_t before;

    do {
        before = core->staged;
        for (guint i = 0; i < core->jobs->len; i++) {
            struct spread_job *job = g_ptr_array_index(core->jobs, i);

            if (job->with_self && job->phase == SPREAD_STAGE) {
                advance_self(core, job);
            }
        }
    } while (core->staged > before);
    for (guint i = 0; i < core->jobs->len; i++) {
        struct spread_job *job = g_ptr_array_index(core->jobs, i);

        if (!job->leader && !job->closed && job->reported_us != 0) {
            report_news(core, job);
        }
    }
}

/* Repeat what is overdue; drop what is over. */
void
spread_jobs_tick(struct spread_core *core)
{
    for (guint i = core->jobs->len; i-- > 0;) {
        struct spread_job *job = g_ptr_array_index(core->jobs, i);
        bool is_over =
            job->phase == SPREAD_STAGE && core->in_force >= job->version;

        if (!job->leader &&
            core->now_us - job->heard_us > JOB_LIFE_MS * US_PER_MS) {
            g_ptr_array_remove_index(core->jobs, i);
            continue;
        }
        if (job->closed) {
            continue;
        }
        if (is_over && !job->leader) {
            job->closed = true;
            continue;
        }
        if (job->with_self && core->staged < job->version) {
            spread_fetch(core, job->parent);
        }
        cover(core, job);
        spread_job_send(core, job);
        report_news(core, job);
    }
}
