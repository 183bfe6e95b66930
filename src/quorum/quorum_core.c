/* One voter: creation, dispatch of events, applying of committed entries. */
#include "quorum/quorum_core.h"

#include <string.h>

#include "quorum/quorum_state.h"

#define PPM 1000000U
/* Fraction of the lease that is used; the rest is a margin in addition to the
 * drift of the clocks. */
#define LEASE_FRACTION 0.95

static void on_message(struct quorum_core *, const struct quorum_message *);
static void on_answer(struct quorum_core *, struct quorum_peer *,
                      const struct quorum_message *);
static void on_stored(struct quorum_core *, uint64_t token, bool ok);
static void on_tick(struct quorum_core *);
static void set_defaults(struct quorum_options *);
static void handle_event(struct quorum_core *, const struct quorum_event *);
static void load_stored(struct quorum_core *, const struct quorum_stored *);

static const struct quorum_options default_options = {
    .election_timeout_us = 1000000,
    .heartbeat_us = 100000,
    .clock_drift_ppm = 10000,
    .snapshot_entries = 8192,
    .snapshot_bytes = 64U << 20,
    .trailing_entries = 1024,
    .piece_bytes = 65536,
    .append_bytes = 262144,
    .uncommitted_max = 4096,
};

static const char *const refusal_names[QUORUM_REFUSAL__MAX] = {
    [QUORUM_NOT_LEADER] = "not-leader",
    [QUORUM_NO_QUORUM] = "no-quorum",
    [QUORUM_BUSY] = "busy",
    [QUORUM_NO_SPACE] = "no-space",
    [QUORUM_TOO_LARGE] = "too-large",
    [QUORUM_OUTCOME_UNKNOWN] = "unknown",
};

static const char *const role_names[QUORUM_ROLE__MAX] = {
    [QUORUM_FOLLOWER] = "follower",
    [QUORUM_PRE_CANDIDATE] = "pre-candidate",
    [QUORUM_CANDIDATE] = "candidate",
    [QUORUM_LEADER] = "leader",
};

/* Set each member of OPTIONS that is 0 to its default. */
static void
set_defaults(struct quorum_options *options)
{
#define DEFAULT(member)                                                       \
    options->member =                                                         \
        options->member != 0 ? options->member : default_options.member
    DEFAULT(election_timeout_us);
    DEFAULT(heartbeat_us);
    DEFAULT(clock_drift_ppm);
    DEFAULT(snapshot_entries);
    DEFAULT(snapshot_bytes);
    DEFAULT(trailing_entries);
    DEFAULT(piece_bytes);
    DEFAULT(append_bytes);
    DEFAULT(uncommitted_max);
#undef DEFAULT
    if (options->initial_voter_count == 0) {
        options->initial_voter_count = options->voter_count;
    }
}

/*
 * Return a new voter that continues from STORED; quorum_core_free() frees it.
 * The core takes references of its own, so the caller keeps STORED.  An empty
 * STORED means a new or a lost store.  The voter gives no vote for one
 * election timeout after NOW_US, in microseconds, because it may have been in
 * contact with a leader before it stopped.
 */
struct quorum_core *
quorum_core_new(const struct quorum_options *options,
                const struct quorum_stored *stored, uint64_t now_us)
{
    struct quorum_core *core = g_new0(struct quorum_core, 1);
    struct quorum_options *opts = &core->options;

    *opts = *options;
    set_defaults(opts);
    core->rand = g_rand_new_with_seed_array(
        (const guint32 *)&opts->seed, sizeof(opts->seed) / sizeof(guint32));
    core->now_us = now_us;
    core->lease_us =
        (uint64_t)((double)opts->election_timeout_us *
                   (PPM - opts->clock_drift_ppm) /
                   (PPM + opts->clock_drift_ppm) * LEASE_FRACTION);
    for (size_t i = 0; i < opts->voter_count; i++) {
        core->admitted[i].voter = opts->voters[i];
        if (opts->voters[i].value != opts->self.value) {
            core->peers[core->peer_count++].id = opts->voters[i];
        }
    }
    core->records = g_array_new(FALSE, FALSE, sizeof(struct quorum_record));
    core->pending_stores =
        g_array_new(FALSE, FALSE, sizeof(struct quorum_pending_store));
    core->outgoing = g_array_new(FALSE, FALSE, sizeof(struct quorum_outgoing));
    core->waiting = g_array_new(FALSE, FALSE, sizeof(struct quorum_outgoing));
    quorum_log_init(&core->log);
    load_stored(core, stored);
    core->role_dirty = true;
    core->no_vote_until_us = now_us + opts->election_timeout_us;
    quorum_election_reset(core);
    return core;
}

/*
 * Set the state of CORE from STORED.  An empty store gets a new random id.  If
 * the log's last term is higher than the stored one, that term is adopted
 * without a vote left in it.
 */
static void
load_stored(struct quorum_core *core, const struct quorum_stored *stored)
{
    const struct quorum_snapshot *snapshot = stored->snapshot;

    core->hard_state = stored->hard_state;
    core->written_hard_state = stored->hard_state;
    core->stored_hard_state = stored->hard_state;
    while (core->hard_state.store == 0) {
        core->hard_state.store =
            (uint64_t)g_rand_int(core->rand) << 32 | g_rand_int(core->rand);
        core->hard_state.has_vote = core->peer_count == 0;
        core->hard_state_dirty = true;
    }
    if (snapshot != NULL) {
        core->snapshot = quorum_snapshot_ref(stored->snapshot);
        quorum_log_reset(&core->log, snapshot->index, snapshot->term);
        quorum_restore_admissions(core, snapshot);
        core->commit_index = snapshot->index;
        core->applied_index = snapshot->index;
        core->install_pending = true;
    }
    for (guint i = 0; i < stored->entries->len; i++) {
        quorum_log_append(&core->log, stored->entries->pdata[i]);
    }
    core->stored_index = quorum_log_last_index(&core->log);
    core->resume_pending = true;
    if (core->hard_state.term < quorum_log_last_term(&core->log)) {
        core->hard_state.term = quorum_log_last_term(&core->log);
        core->hard_state.vote =
            core->options.self; /* no vote left in this term */
        core->hard_state_dirty = true;
    }
}

/* Free CORE; NULL is allowed. */
void
quorum_core_free(struct quorum_core *core)
{
    if (core == NULL) {
        return;
    }
    quorum_drop_messages(core);
    for (guint i = 0; i < core->records->len; i++) {
        quorum_record_clear(
            &g_array_index(core->records, struct quorum_record, i));
    }
    for (size_t i = 0; i < core->peer_count; i++) {
        quorum_snapshot_unref(core->peers[i].sending_snapshot);
    }
    g_array_unref(core->records);
    g_array_unref(core->pending_stores);
    g_array_unref(core->outgoing);
    g_array_unref(core->waiting);
    if (core->incoming.data != NULL) {
        g_byte_array_unref(core->incoming.data);
    }
    quorum_snapshot_unref(core->snapshot);
    quorum_log_clear(&core->log);
    g_rand_free(core->rand);
    g_free(core);
}

/*
 * Handle EVENT at time NOW_US, in microseconds, and append the resulting
 * actions to OUT.  A time earlier than that of the last step is not used.
 */
void
quorum_core_step(struct quorum_core *core, uint64_t now_us,
                 const struct quorum_event *event, struct quorum_actions *out)
{
    core->now_us = MAX(core->now_us, now_us);
    core->out = out;
    if (core->install_pending) {
        core->install_pending = false;
        quorum_add_action(core, QUORUM_ACT_INSTALL_SNAPSHOT)->u.install =
            quorum_snapshot_ref(core->snapshot);
    }
    if (core->resume_pending) {
        core->resume_pending = false;
        quorum_commit_to(core, MIN(core->hard_state.commit_index,
                                   quorum_log_last_index(&core->log)));
    }
    handle_event(core, event);
    quorum_end_step(core);
    core->out = NULL;
}

/* Call the handler for EVENT. */
static void
handle_event(struct quorum_core *core, const struct quorum_event *event)
{
    switch (event->kind) {
    case QUORUM_EV_TICK:
        on_tick(core);
        break;
    case QUORUM_EV_MESSAGE:
        on_message(core, event->u.message);
        break;
    case QUORUM_EV_PROPOSE:
        quorum_on_propose(core, event->u.propose.items,
                          event->u.propose.count);
        break;
    case QUORUM_EV_STORED:
        on_stored(core, event->u.stored.token, event->u.stored.ok);
        break;
    case QUORUM_EV_SNAPSHOT:
        quorum_on_snapshot_taken(core, event->u.snapshot.index,
                                 event->u.snapshot.data);
        break;
    case QUORUM_EV_RESIGN:
        quorum_resign(core);
        break;
    case QUORUM_EV_DISK_SPACE:
        core->space_low = event->u.space_low;
        break;
    case QUORUM_EV__MAX:
        break;
    }
}

/* Check all timeouts. */
static void
on_tick(struct quorum_core *core)
{
    if (core->failed) {
        return;
    }
    quorum_hello_tick(core);
    if (core->role == QUORUM_LEADER) {
        quorum_leader_tick(core);
    }
    else {
        quorum_election_tick(core);
    }
}

/*
 * Handle the end of store action TOKEN.  After a failed one the voter gives up
 * leadership and does nothing any more.
 */
static void
on_stored(struct quorum_core *core, uint64_t token, bool ok)
{
    if (core->failed) {
        return;
    }
    if (!ok) {
        core->counters.store_failures++;
        quorum_become_follower(core, core->hard_state.term,
                               (struct daemon_id){0});
        quorum_drop_messages(core);
        core->failed = true;
        return;
    }
    quorum_on_token_stored(core, token);
    quorum_election_on_stored(core);
    if (core->role == QUORUM_LEADER) {
        quorum_leader_advance_commit(core);
    }
}

/* Call the handler for MESSAGE, if it comes from another voter. */
static void
on_message(struct quorum_core *core, const struct quorum_message *message)
{
    struct quorum_peer *peer = quorum_find_peer(core, message->from);

    if (core->failed) {
        return;
    }
    if (peer == NULL) {
        core->counters.invalid_messages++;
        return;
    }
    switch (message->kind) {
    case QUORUM_MSG_HELLO:
        quorum_on_hello(core, message);
        break;
    case QUORUM_MSG_HELLO_ANSWER:
        quorum_on_hello_answer(core, peer, message);
        break;
    case QUORUM_MSG_VOTE_REQUEST:
        quorum_on_vote_request(core, message);
        break;
    case QUORUM_MSG_APPEND:
        quorum_on_append(core, message);
        break;
    case QUORUM_MSG_SNAPSHOT:
        quorum_on_snapshot(core, message);
        break;
    case QUORUM_MSG_VOTE:
    case QUORUM_MSG_APPEND_ANSWER:
    case QUORUM_MSG_SNAPSHOT_ANSWER:
        on_answer(core, peer, message);
        break;
    case QUORUM_MSG_RESIGN:
        quorum_on_resign(core, message);
        break;
    case QUORUM_MSG__MAX:
        break;
    }
}

/*
 * Handle an answer to a vote request, an append or a snapshot message.  One of
 * a later term makes this voter a follower; one of an earlier term, except for
 * a vote, is ignored.
 */
static void
on_answer(struct quorum_core *core, struct quorum_peer *peer,
          const struct quorum_message *message)
{
    if (message->term > core->hard_state.term) {
        quorum_become_follower(core, message->term, (struct daemon_id){0});
        return;
    }
    if (message->kind == QUORUM_MSG_VOTE) {
        quorum_on_vote(core, peer, message);
        return;
    }
    if (message->term < core->hard_state.term || core->role != QUORUM_LEADER) {
        return;
    }
    quorum_leader_note_answer(core, peer, message);
    if (message->kind == QUORUM_MSG_APPEND_ANSWER) {
        quorum_on_append_answer(core, peer, message);
    }
    else {
        quorum_on_snapshot_answer(core, peer, message);
    }
    quorum_admit_if_ready(core, peer);
}

/* Return the other voter with ID, or NULL. */
struct quorum_peer *
quorum_find_peer(struct quorum_core *core, struct daemon_id id)
{
    for (size_t i = 0; i < core->peer_count; i++) {
        if (core->peers[i].id.value == id.value) {
            return &core->peers[i];
        }
    }
    return NULL;
}

/*
 * Return the number of votes that win an election, which is also the number
 * of copies that commit an entry.
 */
size_t
quorum_majority(const struct quorum_core *core)
{
    return core->options.voter_count / 2 + 1;
}

/*
 * Become a follower of LEADER, which is 0 if unknown, in TERM, which must not
 * be lower than the current one.  If this voter was the leader, its
 * uncommitted proposals are refused with an unknown outcome.
 */
void
quorum_become_follower(struct quorum_core *core, uint64_t term,
                       struct daemon_id leader)
{
    if (core->role == QUORUM_LEADER) {
        quorum_leader_refuse_uncommitted(core);
    }
    if (term > core->hard_state.term) {
        core->hard_state.term = term;
        core->hard_state.vote = (struct daemon_id){0};
        core->hard_state_dirty = true;
        core->role_dirty = true;
    }
    if (core->role != QUORUM_FOLLOWER || core->leader.value != leader.value) {
        core->role_dirty = true;
    }
    core->role = QUORUM_FOLLOWER;
    core->leader = leader;
    quorum_election_reset(core);
}

/*
 * Apply the entries up to INDEX, which are committed and must be in the log.
 */
void
quorum_commit_to(struct quorum_core *core, uint64_t index)
{
    core->commit_index = MAX(core->commit_index, index);
    while (core->applied_index < core->commit_index) {
        struct quorum_entry *entry =
            quorum_log_at(&core->log, ++core->applied_index);

        core->counters.committed++;
        if (entry->kind == QUORUM_ENTRY_ADMIT) {
            quorum_apply_admission(core, entry);
        }
        if (entry->kind == QUORUM_ENTRY_COMMAND) {
            core->applied_bytes += g_bytes_get_size(entry->command);
            quorum_add_action(core, QUORUM_ACT_APPLY)->u.apply =
                quorum_entry_ref(entry);
        }
    }
    quorum_snapshot_check_due(core);
}

/*
 * Return true if the state applied here includes every edit that any leader
 * has acknowledged.  This holds for a leader that has committed an entry of
 * its term and has a lease: a majority was in contact with it so recently
 * that no other leader can have been elected.
 */
bool
quorum_core_read_ok(const struct quorum_core *core, uint64_t now_us)
{
    return !core->failed && core->role == QUORUM_LEADER &&
           core->commit_index >= core->term_start_index &&
           quorum_leader_has_lease(core, MAX(now_us, core->now_us));
}

/*
 * Return true after a store action has failed.  The core then gives no vote,
 * stores nothing and answers no message.  The caller is to read the store
 * again and continue with a new core.
 */
bool
quorum_core_failed(const struct quorum_core *core)
{
    return core->failed;
}

/*
 * Return true if this voter has its vote.  One that started with an empty
 * store gets it when it is admitted, or when the cluster proves to be new.
 */
bool
quorum_core_has_vote(const struct quorum_core *core)
{
    return core->hard_state.has_vote;
}

/*
 * Return the time since the last contact with the leader, in microseconds.
 * It is 0 for a leader with a lease, and UINT32_MAX for a leader without one
 * or if there was no contact yet.
 */
uint64_t
quorum_core_leader_lag_us(const struct quorum_core *core, uint64_t now_us)
{
    if (core->role == QUORUM_LEADER) {
        return quorum_core_read_ok(core, now_us) ? 0 : UINT32_MAX;
    }
    if (core->leader_contact_us == 0) {
        return UINT32_MAX;
    }
    return now_us - MIN(now_us, core->leader_contact_us);
}

/*
 * Return true if VOTER has a vote and has acknowledged a message that this
 * leader sent in the last WITHIN_US microseconds.  Also return true for this
 * voter itself, and for all if it became the leader less than WITHIN_US ago.
 */
bool
quorum_core_voter_in_contact(const struct quorum_core *core,
                             struct daemon_id voter, uint64_t within_us)
{
    return voter.value == core->options.self.value ||
           core->now_us - core->leader_since_us < within_us ||
           quorum_core_voter_acked(core, voter, within_us);
}

/*
 * Return true if VOTER has acknowledged a message that this leader sent in the
 * last WITHIN_US microseconds, and its store has the vote.  Another store may
 * have been admitted for VOTER since it answered.
 */
bool
quorum_core_voter_acked(const struct quorum_core *core, struct daemon_id voter,
                        uint64_t within_us)
{
    for (size_t i = 0; i < core->peer_count; i++) {
        const struct quorum_peer *peer = &core->peers[i];

        if (peer->id.value == voter.value) {
            uint64_t admitted = quorum_admitted_store(core, voter);

            return peer->has_vote &&
                   core->now_us - peer->acked_sent_us < within_us &&
                   (admitted == 0 || admitted == peer->store);
        }
    }
    return false;
}

/* Return the current role. */
enum quorum_role
quorum_core_role(const struct quorum_core *core)
{
    return core->role;
}

/* Return the leader that this voter knows of; 0 if none. */
struct daemon_id
quorum_core_leader(const struct quorum_core *core)
{
    return core->leader;
}

/* Return the current term. */
uint64_t
quorum_core_term(const struct quorum_core *core)
{
    return core->hard_state.term;
}

/* Return the commit index; the entries up to it are applied. */
uint64_t
quorum_core_commit_index(const struct quorum_core *core)
{
    return core->commit_index;
}

/* Return the index of the log's last entry. */
uint64_t
quorum_core_last_index(const struct quorum_core *core)
{
    return quorum_log_last_index(&core->log);
}

/*
 * Return the entry at INDEX, or NULL if it is compacted away or not in the log
 * yet.  The log keeps the reference.
 */
const struct quorum_entry *
quorum_core_entry(const struct quorum_core *core, uint64_t index)
{
    return index > core->log.base && index <= quorum_log_last_index(&core->log)
               ? quorum_log_at(&core->log, index)
               : NULL;
}

/*
 * Return the length of the leader lease in microseconds.  It begins when a
 * message is sent that a majority acknowledges.
 */
uint64_t
quorum_core_lease_us(const struct quorum_core *core)
{
    return core->lease_us;
}

/* Return the counters, which live as long as CORE. */
const struct quorum_counters *
quorum_core_counters(const struct quorum_core *core)
{
    return &core->counters;
}

/* Return the name of REFUSAL; operators see it, so it must not change. */
const char *
quorum_refusal_name(enum quorum_refusal refusal)
{
    return refusal < QUORUM_REFUSAL__MAX ? refusal_names[refusal] : "none";
}

/* Return the name of ROLE; operators see it, so it must not change. */
const char *
quorum_role_name(enum quorum_role role)
{
    return role < QUORUM_ROLE__MAX ? role_names[role] : "none";
}
