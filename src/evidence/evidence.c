/* Sums of evidence by target and pool, and the sequential test. */
#include "evidence/evidence.h"

#include <math.h>

#include "base/hash.h"

/* Share of failures of a failing target, against which the pool's is tested. */
#define FAILING_SHARE 0.4
/* If half of a pool's targets fail in a share of their requests that is larger
 * than usual by more than this, the reason is another one: an overload, or what
 * lies between.  Putting targets out would then only load the others. */
#define TYPICAL_EXCESS_MAX 0.03
/* Bounds of the usual share, against which targets are tested. */
#define USUAL_SHARE_MIN 0.01
#define USUAL_SHARE_MAX 0.25
/* Requests of the pool that count as answered before any were seen. */
#define POOL_PRIOR 20.0

/* Natural logarithm of 10,000: under load each target is tested many times a
 * second. */
#define CERTAINTY_FAILING 9.2
#define CERTAINTY_MAX     20.0
/* From which a trial starts, and at which it ends well: two failures are enough
 * again, or four answers. */
#define CERTAINTY_TRIAL 4.0
#define CERTAINTY_WELL  2.2
/* Entry daemons that must have seen failures. */
#define REPORTERS_MIN 2

#define OUT_SHARE_MAX 0.2 /* of a pool's targets at once */

/* A failing target is out for this time, which doubles, and then on trial. */
#define OUT_MIN_US 2000000U
#define OUT_MAX_US 8000000U
/* One of so many entry daemons places flows on a target on trial. */
#define TRIAL_DAEMONS 8

/* Requests in a pool's sums, which are then halved: many, so that targets that
 * fail at the same time do not hide each other. */
#define POOL_REQUESTS_MAX 4000.0
/* Of a target's sums, for what is typical now. */
#define TARGET_HALF_LIFE_US 1000000.0
/* Requests in a target's sums below which its share says nothing. */
#define TARGET_REQUESTS_MIN 2.0
/* A target of which nothing is seen for longer has left, or has no traffic. */
#define FORGET_US 15000000U

struct target {
    uint64_t host;
    struct pool_id pool;
    enum evidence_state state;
    double certainty;
    double answered; /* lately */
    double failed;
    uint64_t reporters; /* a bit for the hash of each that saw a failure */
    uint64_t until_us;  /* of FAILING */
    uint64_t out_us;    /* duration of the next FAILING */
    uint64_t heard_us;
};

struct pool {
    struct pool_id id;
    double answered; /* requests of targets that are not out; older ones count
                      * less */
    double failed;
    size_t size;    /* targets */
    size_t out;     /* of these, FAILING or on TRIAL */
    GArray *shares; /* double: of the targets, while the tick runs */
    bool fails_as_a_whole;
};

struct evidence_core {
    GHashTable *targets; /* host -> struct target */
    GHashTable *pools;   /* id -> struct pool */
    GQueue changes;      /* struct evidence_change, not yet reported */
    uint64_t ticked_us;
};

static struct target *get_target(struct evidence_core *,
                                 const struct evidence_report *);
static struct pool *get_pool(struct evidence_core *, struct pool_id);
static double usual_share(const struct pool *);
static unsigned count_reporters(const struct target *);
static void set_state(struct evidence_core *, struct target *,
                      enum evidence_state);
static void free_pool(gpointer);
static gint compare_shares(gconstpointer, gconstpointer);
static void judge_pools(struct evidence_core *, uint64_t now_us);
static void bring_back(struct evidence_core *, struct target *);
static bool may_put_out(const struct pool *);
static void add_to_pool(struct pool *, const struct evidence_report *);
static void put_out(struct evidence_core *, struct target *, uint64_t now_us);
static void advance(struct evidence_core *, struct target *, uint64_t now_us);

static const char *const state_names[EVIDENCE_STATE__MAX] = {
    [EVIDENCE_WELL] = "well",
    [EVIDENCE_FAILING] = "failing",
    [EVIDENCE_TRIAL] = "trial",
};

/* Return the stable name of STATE, as used in logs. */
const char *
evidence_state_name(enum evidence_state state)
{
    return state < EVIDENCE_STATE__MAX ? state_names[state] : "none";
}

/* Return an empty core; evidence_core_free() frees it. */
struct evidence_core *
evidence_core_new(void)
{
    struct evidence_core *core = g_new0(struct evidence_core, 1);

    core->targets =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    core->pools =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_pool);
    g_queue_init(&core->changes);
    return core;
}

/* Free CORE; NULL is allowed. */
void
evidence_core_free(struct evidence_core *core)
{
    if (core == NULL) {
        return;
    }
    g_queue_clear_full(&core->changes, g_free);
    g_hash_table_destroy(core->targets);
    g_hash_table_destroy(core->pools);
    g_free(core);
}

/* Return the record of the target of REPORT, created if missing.  A host that
 * has come to serve another pool starts anew. */
static struct target *
get_target(struct evidence_core *core, const struct evidence_report *report)
{
    struct target *target = g_hash_table_lookup(core->targets, &report->host);

    if (target == NULL) {
        target = g_new0(struct target, 1);
        target->host = report->host;
        target->out_us = OUT_MIN_US;
        target->pool = report->pool;
        g_hash_table_insert(core->targets, &target->host, target);
    }
    else if (target->pool.value != report->pool.value) {
        bring_back(core, target);
        target->pool = report->pool;
    }
    return target;
}

/* Free POOL, a struct pool. */
static void
free_pool(gpointer pool)
{
    g_array_unref(((struct pool *)pool)->shares);
    g_free(pool);
}

/* Return the record of the pool ID, created if missing. */
static struct pool *
get_pool(struct evidence_core *core, struct pool_id id)
{
    struct pool *pool = g_hash_table_lookup(core->pools, &id.value);

    if (pool == NULL) {
        pool = g_new0(struct pool, 1);
        pool->id = id;
        pool->shares = g_array_new(FALSE, FALSE, sizeof(double));
        g_hash_table_insert(core->pools, &pool->id.value, pool);
    }
    return pool;
}

/* Set the number of live targets of the pool ID. */
void
evidence_core_set_pool_size(struct evidence_core *core, struct pool_id id,
                            size_t targets)
{
    get_pool(core, id)->size = targets;
}

/* Return the share of failed requests that is usual for a target of POOL. */
static double
usual_share(const struct pool *pool)
{
    double share = pool->failed / (pool->answered + pool->failed + POOL_PRIOR);

    return CLAMP(share, USUAL_SHARE_MIN, USUAL_SHARE_MAX);
}

/* Return how many reporters have seen TARGET fail. */
static unsigned
count_reporters(const struct target *target)
{
    return (unsigned)__builtin_popcountll(target->reporters);
}

/* Set the state of TARGET and queue the change. */
static void
set_state(struct evidence_core *core, struct target *target,
          enum evidence_state state)
{
    struct evidence_change *change = g_new0(struct evidence_change, 1);
    struct pool *pool = get_pool(core, target->pool);
    bool was_out = target->state != EVIDENCE_WELL;

    if (was_out != (state != EVIDENCE_WELL)) {
        pool->out += was_out ? -1 : 1;
    }
    target->state = state;
    change->host = target->host;
    change->state = state;
    change->certainty = target->certainty;
    change->pool_failed_share = usual_share(pool);
    g_queue_push_tail(&core->changes, change);
}

/* Return true if one more target of POOL may be put out. */
static bool
may_put_out(const struct pool *pool)
{
    return !pool->fails_as_a_whole &&
           (double)(pool->out + 1) <= OUT_SHARE_MAX * (double)pool->size;
}

/* Put TARGET out, for longer than the last time if that was lately. */
static void
put_out(struct evidence_core *core, struct target *target, uint64_t now_us)
{
    target->until_us = now_us + target->out_us;
    target->out_us = MIN(target->out_us * 2, OUT_MAX_US);
    set_state(core, target, EVIDENCE_FAILING);
}

/* Add REPORT to the sums of POOL. */
static void
add_to_pool(struct pool *pool, const struct evidence_report *report)
{
    pool->answered += report->answered;
    pool->failed += report->failed;
    if (pool->answered + pool->failed > POOL_REQUESTS_MAX) {
        pool->answered /= 2;
        pool->failed /= 2;
    }
}

/*
 * Add what the entry daemon REPORTER saw.  What is seen of a target that is out
 * belongs to flows from before, and does not count.
 */
void
evidence_core_add(struct evidence_core *core, uint64_t now_us,
                  uint32_t reporter, const struct evidence_report *report)
{
    struct target *target = get_target(core, report);
    struct pool *pool = get_pool(core, report->pool);
    double share = usual_share(pool);

    target->heard_us = now_us;
    if (target->state == EVIDENCE_FAILING) {
        return;
    }
    if (target->state == EVIDENCE_WELL) {
        add_to_pool(pool, report);
    }
    target->answered += report->answered;
    target->failed += report->failed;
    target->certainty +=
        report->failed * log(FAILING_SHARE / share) +
        report->answered * log((1 - FAILING_SHARE) / (1 - share));
    target->certainty = CLAMP(target->certainty, 0, CERTAINTY_MAX);
    if (report->failed > 0) {
        target->reporters |= UINT64_C(1) << hash_pair(reporter, 0) % 64;
    }
    if (target->certainty == 0) {
        target->reporters = 0;
    }
    if (target->certainty > CERTAINTY_FAILING &&
        count_reporters(target) >= REPORTERS_MIN &&
        (target->state == EVIDENCE_TRIAL || may_put_out(pool))) {
        put_out(core, target, now_us);
    }
}

/* Count TARGET as well, with nothing held against it. */
static void
bring_back(struct evidence_core *core, struct target *target)
{
    target->out_us = OUT_MIN_US;
    target->certainty = 0;
    target->reporters = 0;
    if (target->state != EVIDENCE_WELL) {
        set_state(core, target, EVIDENCE_WELL);
    }
}

/* Move TARGET on from a state that is over. */
static void
advance(struct evidence_core *core, struct target *target, uint64_t now_us)
{
    if (target->state == EVIDENCE_FAILING && now_us >= target->until_us) {
        target->certainty = CERTAINTY_TRIAL;
        set_state(core, target, EVIDENCE_TRIAL);
    }
    else if (target->state == EVIDENCE_TRIAL &&
             target->certainty <= CERTAINTY_WELL) {
        bring_back(core, target);
    }
}

/* Compare two doubles for sorting. */
static gint
compare_shares(gconstpointer a, gconstpointer b)
{
    double x = *(const double *)a, y = *(const double *)b;

    return x < y ? -1 : x > y;
}

/* Find the pools whose typical target fails, and bring their targets back. */
static void
judge_pools(struct evidence_core *core, uint64_t now_us)
{
    double kept =
        pow(0.5, (double)(now_us - core->ticked_us) / TARGET_HALF_LIFE_US);
    GHashTableIter iter;
    gpointer key, value;

    core->ticked_us = now_us;
    g_hash_table_iter_init(&iter, core->targets);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        struct target *target = value;
        double requests = target->answered + target->failed;
        double share = target->failed / MAX(requests, 1);

        if (requests >= TARGET_REQUESTS_MIN) {
            g_array_append_val(get_pool(core, target->pool)->shares, share);
        }
        target->answered *= kept;
        target->failed *= kept;
    }
    g_hash_table_iter_init(&iter, core->pools);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        struct pool *pool = value;

        g_array_sort(pool->shares, compare_shares);
        pool->fails_as_a_whole =
            pool->shares->len > 0 &&
            g_array_index(pool->shares, double, pool->shares->len / 2) >
                usual_share(pool) + TYPICAL_EXCESS_MAX;
        g_array_set_size(pool->shares, 0);
    }
}

/* Move targets on from states that are over, and forget old ones. */
void
evidence_core_tick(struct evidence_core *core, uint64_t now_us)
{
    GHashTableIter iter;
    gpointer key, value;

    judge_pools(core, now_us);
    g_hash_table_iter_init(&iter, core->targets);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        struct target *target = value;

        if (get_pool(core, target->pool)->fails_as_a_whole) {
            bring_back(core, target);
        }
        advance(core, target, now_us);
        if (now_us - MIN(now_us, target->heard_us) > FORGET_US) {
            bring_back(core, target);
            g_hash_table_iter_remove(&iter);
        }
    }
}

/* Append to HOSTS (uint64_t) the targets on which the entry daemon REPORTER
 * is to place no new flows. */
void
evidence_core_list_failing(const struct evidence_core *core, uint32_t reporter,
                           GArray *hosts)
{
    GHashTableIter iter;
    gpointer key, value;

    g_hash_table_iter_init(&iter, core->targets);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const struct target *target = value;

        if (target->state == EVIDENCE_FAILING ||
            (target->state == EVIDENCE_TRIAL &&
             hash_pair(target->host, reporter) % TRIAL_DAEMONS != 0)) {
            g_array_append_val(hosts, target->host);
        }
    }
}

/* Return true if there are changes not reported yet. */
bool
evidence_core_has_changes(const struct evidence_core *core)
{
    return core->changes.length > 0;
}

/* Take the oldest change not reported yet; return false if there is none. */
bool
evidence_core_next_change(struct evidence_core *core,
                          struct evidence_change *change)
{
    struct evidence_change *next = g_queue_pop_head(&core->changes);

    if (next == NULL) {
        return false;
    }
    *change = *next;
    g_free(next);
    return true;
}
