/*
 * Which daemons are the voters of the log, this one among them or not, and, on
 * the leader, which standby replaces a voter that is lost.
 */
#include <string.h>

#include "fleet/fleet_control_private.h"
#include "fleet/fleet_replace.h"

#define VOTER_LOST_US   1500000U /* a voter that is not heard for so long */
#define VOTER_SETTLE_US 1500000U /* a new voter has so long until it votes */
#define STANDBYS_MAX    32

static gint by_address(gconstpointer, gconstpointer);
static void become_voter(struct fleet *, size_t index);
static void end_voter(struct fleet *);
static bool may_end(const struct fleet *);
static void log_holder(struct fleet *, const char *event, size_t index,
                       struct fleet_holder);
static struct fleet_replacement choose_former(const struct fleet *);
static bool is_voter(const struct fleet *, const struct fleet_peer *);
static size_t list_standbys(struct fleet *, struct fleet_standby *,
                            uint64_t now_us);

static gint
by_address(gconstpointer a, gconstpointer b)
{
    uint32_t x = *(const uint32_t *)a, y = *(const uint32_t *)b;

    return x < y ? -1 : x > y;
}

/*
 * The whole fleet starts for the first time.  All are told the same seeds, so
 * that all know which voters the founders are; further ones are no daemon
 * until a standby is heard.
 */
void
fleet_voter_found(struct fleet *fleet)
{
    struct fleet_control *control = fleet->control;
    struct fleet_seeds seeds = fleet->seeds;
    size_t wanted = 2 * (size_t)fleet->options->losses + 1;

    qsort(seeds.addresses, seeds.count, sizeof(seeds.addresses[0]),
          by_address);
    if (seeds.count == 0) {
        return;
    }
    wanted = MAX(wanted, 3);
    wanted = MIN(wanted, 2 * seeds.count - 1);
    control->voter_count = MIN(wanted, CATALOG_VOTERS_MAX);
    for (size_t i = 0; i < seeds.count && i < control->voter_count; i++) {
        struct fleet_holder founder = {seeds.addresses[i], 0};

        fleet_tenure_votes(&control->voters[i], founder);
        if (seeds.addresses[i] == fleet->options->address) {
            control->voter = i + 1;
        }
    }
    fleet_voter_file_write(fleet);
    if (control->voter != 0) {
        fleet_quorum_try_open(fleet, true);
    }
}

/* Be the voter INDEX from now on, with an empty log and no vote yet. */
static void
become_voter(struct fleet *fleet, size_t index)
{
    struct fleet_control *control = fleet->control;

    control->voter = index + 1;
    control->tenure = control->voters[index].current.revision;
    control->log_number++;
    control->formed = true;
    fleet_voter_remove_logs(fleet);
    fleet_voter_file_write(fleet);
    fleet_log_line(fleet->log, FLEET_LOG_STATE, clock_boottime_us(),
                   "voter-begun",
                   "\"voter\":%zu,\"revision\":%" G_GUINT64_FORMAT,
                   control->voter, control->tenure);
    fleet_quorum_try_open(fleet, false);
}

/* Another daemon has replaced this voter for good. */
static void
end_voter(struct fleet *fleet)
{
    struct fleet_control *control = fleet->control;

    fleet_log_line(
        fleet->log, FLEET_LOG_STATE, clock_boottime_us(), "voter-ended",
        "\"voter\":%zu,\"revision\":%" G_GUINT64_FORMAT, control->voter,
        control->voters[control->voter - 1].current.revision);
    fleet_request_fail_all(fleet);
    fleet_quorum_close(fleet);
    control->voter = 0;
    fleet_voter_file_write(fleet);
    fleet_voter_remove_logs(fleet);
}

/*
 * A replaced voter keeps its log until its successor votes; one that never had
 * the vote has nothing that the others need.
 */
static bool
may_end(const struct fleet *fleet)
{
    const struct fleet_control *control = fleet->control;

    return fleet_tenure_is_over(&control->voters[control->voter - 1],
                                fleet_voter_self(fleet)) ||
           (control->quorum != NULL && !quorum_core_has_vote(control->quorum));
}

/* Act on what is known of the voters. */
void
fleet_voter_follow(struct fleet *fleet)
{
    struct fleet_control *control = fleet->control;
    uint32_t self = fleet->options->address;

    if (control->voter != 0) {
        const struct fleet_tenure *tenure =
            &control->voters[control->voter - 1];

        if (tenure->current.address != self && may_end(fleet)) {
            end_voter(fleet);
        }
        else if (tenure->current.address == self &&
                 tenure->current.revision != control->tenure) {
            control->tenure = tenure->current.revision;
            fleet_voter_file_write(fleet);
        }
    }
    for (size_t i = 0; i < control->voter_count && control->voter == 0; i++) {
        if (control->voters[i].current.address == self) {
            become_voter(fleet, i);
        }
    }
}

/* This daemon as the holder of its voter's number. */
struct fleet_holder
fleet_voter_self(const struct fleet *fleet)
{
    struct fleet_holder self = {fleet->options->address,
                                fleet->control->tenure};

    return self;
}

static void
log_holder(struct fleet *fleet, const char *event, size_t index,
           struct fleet_holder holder)
{
    char *text = view_address_text(holder.address);

    fleet_log_line(
        fleet->log, FLEET_LOG_STATE, clock_boottime_us(), event,
        "\"voter\":%zu,\"address\":\"%s\",\"revision\":%" G_GUINT64_FORMAT,
        index + 1, text, holder.revision);
    g_free(text);
}

/*
 * Another daemon says, or the log has committed, that HOLDER is the voter
 * INDEX.  What is not newer than known changes nothing.
 */
void
fleet_voter_adopt(struct fleet *fleet, size_t index,
                  struct fleet_holder holder)
{
    if (index >= CATALOG_VOTERS_MAX ||
        !fleet_tenure_name(&fleet->control->voters[index], holder)) {
        return;
    }
    log_holder(fleet, "voter", index, holder);
    fleet_peer_learn(fleet, holder.address);
    fleet_voter_file_write(fleet);
}

/* HOLDER has the vote of the voter INDEX, as it says, or as others heard. */
void
fleet_voter_note_vote(struct fleet *fleet, size_t index,
                      struct fleet_holder holder)
{
    if (index >= CATALOG_VOTERS_MAX ||
        !fleet_tenure_votes(&fleet->control->voters[index], holder)) {
        return;
    }
    log_holder(fleet, "voter-votes", index, holder);
    fleet_voter_file_write(fleet);
}

/* True if the voting holder of the number INDEX answers this leader. */
bool
fleet_voter_answers(const struct fleet *fleet, size_t index)
{
    const struct fleet_control *control = fleet->control;
    uint32_t address = control->voters[index].voting.address;
    const struct fleet_peer *peer =
        g_hash_table_lookup(fleet->peers, GUINT_TO_POINTER(address));

    return peer != NULL && peer->voter == index + 1 &&
           fleet_peer_is_fresh(peer, clock_boottime_us()) &&
           quorum_core_voter_in_contact(
               control->quorum, (struct daemon_id){index + 1}, VOTER_LOST_US);
}

/* True if PEER is a voter, whether it knows that or not. */
static bool
is_voter(const struct fleet *fleet, const struct fleet_peer *peer)
{
    for (size_t i = 0; i < fleet->control->voter_count; i++) {
        const struct fleet_tenure *tenure = &fleet->control->voters[i];

        if (tenure->current.address == peer->address ||
            tenure->voting.address == peer->address) {
            return true;
        }
    }
    return false;
}

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

        if (peer->control && peer->empty && !is_voter(fleet, peer) &&
            fleet_peer_is_fresh(peer, now_us)) {
            standbys[count].address = peer->address;
            standbys[count].zone = peer->zone;
            count++;
        }
    }
    return count;
}

/*
 * A voter that was replaced and is back before its successor votes: name it
 * again, so that its number has one holder.  0 if there is none.
 */
static struct fleet_replacement
choose_former(const struct fleet *fleet)
{
    const struct fleet_control *control = fleet->control;
    struct fleet_replacement change = {0, 0};

    for (size_t i = 0; i < control->voter_count; i++) {
        const struct fleet_tenure *tenure = &control->voters[i];

        if (!fleet_tenure_is_settled(tenure) &&
            (i + 1 == control->voter ||
             quorum_core_voter_acked(
                 control->quorum, (struct daemon_id){i + 1}, VOTER_LOST_US))) {
            change.voter = i;
            change.address = tenure->voting.address;
        }
    }
    return change;
}

/* The leader replaces a voter that is not heard by a standby. */
void
fleet_voter_replace_lost(struct fleet *fleet, uint64_t now_us)
{
    struct fleet_control *control = fleet->control;
    struct fleet_voter_view voters[CATALOG_VOTERS_MAX];
    struct fleet_standby standbys[STANDBYS_MAX];
    struct fleet_replacement change;
    struct catalog_command command = {.kind = CATALOG_VOTER};
    struct fleet_waiter waiter = {.kind = FLEET_WAITER_NONE, .what = "voter"};

    if (!control->leading || !quorum_core_read_ok(control->quorum, now_us)) {
        return;
    }
    for (size_t i = 0; i < control->voter_count; i++) {
        const struct fleet_peer *peer = g_hash_table_lookup(
            fleet->peers,
            GUINT_TO_POINTER(control->voters[i].current.address));

        voters[i].address = control->voters[i].current.address;
        voters[i].zone = i + 1 == control->voter
                             ? fleet->zone
                             : (peer == NULL ? 0 : peer->zone);
        voters[i].heard =
            voters[i].address != 0 &&
            quorum_core_voter_in_contact(
                control->quorum, (struct daemon_id){i + 1}, VOTER_LOST_US);
    }
    if (fleet_elapsed_us(now_us, control->voter_change_us) < VOTER_SETTLE_US &&
        !voters[control->voter_changed].heard) {
        return;
    }
    change = choose_former(fleet);
    if (change.address == 0) {
        change = fleet_replace_choose(voters, control->voter_count, standbys,
                                      list_standbys(fleet, standbys, now_us));
    }
    if (change.address == 0) {
        return;
    }
    control->voter_change_us = now_us;
    control->voter_changed = change.voter;
    command.u.voter.index = change.voter;
    command.u.voter.address = change.address;
    fleet_request_command(fleet, &command, &waiter);
}
