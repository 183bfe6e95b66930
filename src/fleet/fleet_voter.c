/*
 * Tracks the voters of the log, starts and stops this daemon as a voter, and,
 * on the leader, replaces a lost voter with a standby.
 */
#include <string.h>

#include "fleet/fleet_control_private.h"
#include "fleet/fleet_replace.h"

/* A voter without contact for this time is lost. */
#define VOTER_LOST_US 1500000U
/*
 * No other voter is replaced for this time after a replacement, unless the new
 * voter is active before.
 */
#define VOTER_ADMISSION_US 1500000U
#define STANDBYS_MAX       32

static gint compare_address(gconstpointer, gconstpointer);
static void become_voter(struct fleet *, size_t index);
static void stop_being_voter(struct fleet *);
static bool may_stop_being_voter(const struct fleet *);
static void log_assignee(struct fleet *, const char *event, size_t index,
                         struct fleet_assignee);
static struct fleet_replacement choose_returned_voter(const struct fleet *);
static bool is_voter(const struct fleet *, const struct fleet_peer *);
static size_t list_standbys(struct fleet *, struct fleet_standby *,
                            uint64_t now_us);

/* Compare two addresses, for qsort(). */
static gint
compare_address(gconstpointer a, gconstpointer b)
{
    uint32_t x = *(const uint32_t *)a, y = *(const uint32_t *)b;

    return x < y ? -1 : x > y;
}

/*
 * Assign the initial voters, when the whole fleet starts for the first time.
 * All daemons are given the same seeds, so all compute the same initial
 * voters.  Further voter numbers have no assignee until a standby is found.
 */
void
fleet_voter_assign_initial(struct fleet *fleet)
{
    struct fleet_assignee initial[CATALOG_VOTERS_MAX] = {{0, 0}};
    struct fleet_seeds seeds = fleet->seeds;
    size_t wanted = 2 * (size_t)fleet->options->losses_tolerated + 1;

    qsort(seeds.addresses, seeds.count, sizeof(seeds.addresses[0]),
          compare_address);
    if (seeds.count == 0) {
        return;
    }
    wanted = MAX(wanted, 3);
    wanted = MIN(wanted, 2 * seeds.count - 1);
    wanted = MIN(wanted, CATALOG_VOTERS_MAX);
    for (size_t i = 0; i < seeds.count && i < wanted; i++) {
        initial[i].address = seeds.addresses[i];
    }
    fleet_voter_become_initial(fleet, initial, wanted);
}

/*
 * Record the initial voters of a fleet that has not formed, COUNT with those
 * that have no assignee yet, and start the voter if this daemon is one.  It
 * gets its vote only if no other initial voter ever had a term.
 */
void
fleet_voter_become_initial(struct fleet *fleet,
                           const struct fleet_assignee initial[], size_t count)
{
    struct fleet_control *control = fleet->control;

    control->voter_count = count;
    for (size_t i = 0; i < count; i++) {
        if (initial[i].address == 0) {
            continue;
        }
        fleet_assignment_set_voting(&control->voters[i], initial[i]);
        fleet_peer_add_control(fleet, initial[i].address);
        if (initial[i].address == fleet->options->address) {
            control->voter = i + 1;
        }
    }
    fleet_voter_file_write(fleet);
    if (control->voter != 0) {
        fleet_quorum_try_open(fleet);
    }
}

/* Become the voter INDEX, with an empty log and no vote yet. */
static void
become_voter(struct fleet *fleet, size_t index)
{
    struct fleet_control *control = fleet->control;

    control->voter = index + 1;
    control->assigned_revision = control->voters[index].assigned.revision;
    control->log_number++;
    control->fleet_formed = true;
    fleet_voter_file_remove_logs(fleet);
    fleet_voter_file_write(fleet);
    fleet_log_line(fleet->log, FLEET_LOG_STATE, clock_boottime_us(),
                   "voter-begun",
                   "\"voter\":%zu,\"revision\":%" G_GUINT64_FORMAT,
                   control->voter, control->assigned_revision);
    fleet_quorum_try_open(fleet);
}

/* Stop being a voter, since another daemon has replaced this one for good. */
static void
stop_being_voter(struct fleet *fleet)
{
    struct fleet_control *control = fleet->control;

    fleet_log_line(
        fleet->log, FLEET_LOG_STATE, clock_boottime_us(), "voter-ended",
        "\"voter\":%zu,\"revision\":%" G_GUINT64_FORMAT, control->voter,
        control->voters[control->voter - 1].assigned.revision);
    fleet_request_fail_all(fleet);
    fleet_quorum_close(fleet);
    control->voter = 0;
    fleet_voter_file_write(fleet);
    fleet_voter_file_remove_logs(fleet);
}

/*
 * Return true if this daemon may stop being a voter.  A replaced voter keeps
 * its log until its successor votes; one that never had the vote has nothing
 * that the others need.
 */
static bool
may_stop_being_voter(const struct fleet *fleet)
{
    const struct fleet_control *control = fleet->control;

    return fleet_assignment_is_superseded(&control->voters[control->voter - 1],
                                          fleet_voter_self(fleet)) ||
           (control->quorum != NULL && !quorum_core_has_vote(control->quorum));
}

/* Start or stop being a voter, according to the known assignments. */
void
fleet_voter_update_role(struct fleet *fleet)
{
    struct fleet_control *control = fleet->control;
    uint32_t self = fleet->options->address;

    if (control->voter != 0) {
        const struct fleet_assignment *assignment =
            &control->voters[control->voter - 1];

        if (assignment->assigned.address != self &&
            may_stop_being_voter(fleet)) {
            stop_being_voter(fleet);
        }
        else if (assignment->assigned.address == self &&
                 assignment->assigned.revision != control->assigned_revision) {
            control->assigned_revision = assignment->assigned.revision;
            fleet_voter_file_write(fleet);
        }
    }
    for (size_t i = 0; i < control->voter_count && control->voter == 0; i++) {
        if (control->voters[i].assigned.address == self) {
            become_voter(fleet, i);
        }
    }
}

/* Return this daemon as the assignee of its voter number. */
struct fleet_assignee
fleet_voter_self(const struct fleet *fleet)
{
    struct fleet_assignee self = {fleet->options->address,
                                  fleet->control->assigned_revision};

    return self;
}

/* Log EVENT for ASSIGNEE of the voter INDEX. */
static void
log_assignee(struct fleet *fleet, const char *event, size_t index,
             struct fleet_assignee assignee)
{
    char *text = view_address_text(assignee.address);

    fleet_log_line(
        fleet->log, FLEET_LOG_STATE, clock_boottime_us(), event,
        "\"voter\":%zu,\"address\":\"%s\",\"revision\":%" G_GUINT64_FORMAT,
        index + 1, text, assignee.revision);
    g_free(text);
}

/*
 * Record that ASSIGNEE is assigned to the voter INDEX, as another daemon
 * reports or the log has committed.  Nothing changes unless this is newer than
 * what is known.
 */
void
fleet_voter_set_assigned(struct fleet *fleet, size_t index,
                         struct fleet_assignee assignee)
{
    if (index >= CATALOG_VOTERS_MAX ||
        !fleet_assignment_set_assigned(&fleet->control->voters[index],
                                       assignee)) {
        return;
    }
    log_assignee(fleet, "voter", index, assignee);
    fleet_peer_add_control(fleet, assignee.address);
    fleet_voter_file_write(fleet);
}

/*
 * Record that ASSIGNEE has the vote of the voter INDEX, as reported by
 * ASSIGNEE or by another daemon.
 */
void
fleet_voter_set_voting(struct fleet *fleet, size_t index,
                       struct fleet_assignee assignee)
{
    if (index >= CATALOG_VOTERS_MAX ||
        !fleet_assignment_set_voting(&fleet->control->voters[index],
                                     assignee)) {
        return;
    }
    log_assignee(fleet, "voter-votes", index, assignee);
    fleet_voter_file_write(fleet);
}

/*
 * Return true if the voting assignee of the voter INDEX answers this leader.
 */
bool
fleet_voter_answers(const struct fleet *fleet, size_t index)
{
    const struct fleet_control *control = fleet->control;
    uint32_t address = control->voters[index].voting.address;
    const struct fleet_peer *peer =
        g_hash_table_lookup(fleet->peers, GUINT_TO_POINTER(address));

    return peer != NULL && peer->voter == index + 1 &&
           fleet_peer_is_reachable(peer, clock_boottime_us()) &&
           quorum_core_voter_in_contact(
               control->quorum, (struct daemon_id){index + 1}, VOTER_LOST_US);
}

/*
 * Return true if PEER is assigned to a voter number or has its vote, whether
 * PEER knows that or not.
 */
static bool
is_voter(const struct fleet *fleet, const struct fleet_peer *peer)
{
    for (size_t i = 0; i < fleet->control->voter_count; i++) {
        const struct fleet_assignment *assignment = &fleet->control->voters[i];

        if (assignment->assigned.address == peer->address ||
            assignment->voting.address == peer->address) {
            return true;
        }
    }
    return false;
}

/*
 * Fill STANDBYS, which has room for STANDBYS_MAX, with the reachable control
 * daemons that could become voters.  Return how many there are.
 */
static size_t
list_standbys(struct fleet *fleet, struct fleet_standby *standbys,
              uint64_t now_us)
{
    GHashTableIter iter;
    gpointer key, value;
    size_t count = 0;

    g_hash_table_iter_init(&iter, fleet->peers);
    while (g_hash_table_iter_next(&iter, &key, &value) &&
           count < STANDBYS_MAX) {
        const struct fleet_peer *peer = value;

        if (peer->control && peer->can_become_voter &&
            !is_voter(fleet, peer) && fleet_peer_is_reachable(peer, now_us)) {
            standbys[count].address = peer->address;
            standbys[count].zone = peer->zone;
            count++;
        }
    }
    return count;
}

/*
 * Return a replaced voter that answers again before its successor votes,
 * to be assigned again so that its number has one assignee.  The address is 0
 * if there is none.
 */
static struct fleet_replacement
choose_returned_voter(const struct fleet *fleet)
{
    const struct fleet_control *control = fleet->control;
    struct fleet_replacement replacement = {0, 0};

    for (size_t i = 0; i < control->voter_count; i++) {
        const struct fleet_assignment *assignment = &control->voters[i];

        if (!fleet_assignment_is_settled(assignment) &&
            (i + 1 == control->voter ||
             quorum_core_voter_acked(
                 control->quorum, (struct daemon_id){i + 1}, VOTER_LOST_US))) {
            replacement.voter = i;
            replacement.address = assignment->voting.address;
        }
    }
    return replacement;
}

/*
 * On the leader, propose to assign a returned voter again, or a standby in
 * place of a lost voter.
 */
void
fleet_voter_replace_lost(struct fleet *fleet, uint64_t now_us)
{
    struct fleet_control *control = fleet->control;
    struct fleet_voter_view voters[CATALOG_VOTERS_MAX];
    struct fleet_standby standbys[STANDBYS_MAX];
    struct fleet_replacement replacement;
    struct catalog_command command = {.kind = CATALOG_VOTER};
    struct fleet_requester requester = {.kind = FLEET_REQUESTER_NONE,
                                        .what = "voter"};

    if (!control->leading || !quorum_core_read_ok(control->quorum, now_us)) {
        return;
    }
    for (size_t i = 0; i < control->voter_count; i++) {
        const struct fleet_peer *peer = g_hash_table_lookup(
            fleet->peers,
            GUINT_TO_POINTER(control->voters[i].assigned.address));

        voters[i].address = control->voters[i].assigned.address;
        voters[i].zone = i + 1 == control->voter
                             ? fleet->zone
                             : (peer == NULL ? 0 : peer->zone);
        voters[i].active =
            voters[i].address != 0 &&
            quorum_core_voter_in_contact(
                control->quorum, (struct daemon_id){i + 1}, VOTER_LOST_US);
    }
    if (fleet_elapsed_us(now_us, control->last_replacement_us) <
            VOTER_ADMISSION_US &&
        !voters[control->last_replaced_voter].active) {
        return;
    }
    replacement = choose_returned_voter(fleet);
    if (replacement.address == 0) {
        replacement = fleet_replace_choose_standby(
            voters, control->voter_count, standbys,
            list_standbys(fleet, standbys, now_us));
    }
    if (replacement.address == 0) {
        return;
    }
    control->last_replacement_us = now_us;
    control->last_replaced_voter = replacement.voter;
    command.u.voter.index = replacement.voter;
    command.u.voter.address = replacement.address;
    fleet_request_command(fleet, &command, &requester);
}
