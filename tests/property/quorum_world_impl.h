/*
 * The methods of struct World that run the simulation.  A program includes
 * this file in one source file only.
 */
#ifndef PS_TESTS_QUORUM_WORLD_IMPL_H
#define PS_TESTS_QUORUM_WORLD_IMPL_H

#include <algorithm>
#include <cstring>

#include "quorum_world.h"

static const uint64_t MS = 1000; /* microseconds */
static const uint64_t TICK_US = 50 * MS;
static const uint64_t longest_delays_ms[] = {1, 20, 100, 500, 2000};
static const double DRIFT = 0.01; /* the drift that the cores allow for */

/* Start VOTERS nodes; SEED determines clocks, network and disks. */
World::World(size_t voters, uint64_t seed)
    : count(voters), nodes(2 * voters), random(seed)
{
    for (size_t i = 0; i < 2 * count; i++) {
        Node &node = nodes[i];
        double part = (double)random_below(2001) / 1000.0 - 1.0;

        node.id.value = i % count + 1;
        node.clock_rate = 1.0 + part * DRIFT;
        node.clock_offset = random_below(1000000);
        quorum_stored_init(&node.disk);
        if (i < count) {
            start_node((int)i);
        }
    }
}

/* Stop all nodes and free their disks. */
World::~World()
{
    for (size_t i = 0; i < nodes.size(); i++) {
        stop_node((int)i, false);
        quorum_stored_clear(&nodes[i].disk);
    }
}

/* Return the time on NODE's clock in microseconds. */
uint64_t
World::local_time(const Node &node) const
{
    return node.clock_offset + (uint64_t)((double)now * node.clock_rate);
}

/* Return a random number from 0 to BELOW - 1. */
size_t
World::random_below(size_t below)
{
    return random() % below;
}

/* Note a violated invariant; only the first one is kept. */
void
World::report_violation(const std::string &what)
{
    if (violation.empty()) {
        violation = what;
    }
}

/* Add an event for NODE at time AT. */
void
World::schedule(uint64_t at, int node, EventKind kind,
                std::shared_ptr<std::string> bytes, uint64_t assignment)
{
    events.push(Event{at, order++, node, nodes[node].generation, kind,
                      std::move(bytes), assignment, 0, nullptr});
}

/*
 * Return true if NODE accepts MESSAGE, whose sender has its voter number by
 * ASSIGNMENT.  As in the daemons, a message of a former assignee is dropped by
 * all nodes that know of a later assignment.
 */
bool
World::accepts_sender(Node &node, const quorum_message &message,
                      uint64_t assignment)
{
    uint64_t &known = node.known_assignments[message.from.value - 1];

    if (quorum_core_read_ok(node.core, local_time(node))) {
        /* A leader has applied the entry with the latest assignment. */
        known = std::max(known, nodes[message.from.value - 1].assignment);
    }
    if (assignment < known) {
        return false;
    }
    known = assignment;
    return true;
}

/* Start the node AT from what its disk holds. */
void
World::start_node(int at)
{
    Node &node = nodes[at];
    quorum_options options = {};

    options.self = node.id;
    options.voter_count = count;
    for (size_t i = 0; i < count; i++) {
        options.voters[i].value = i + 1;
    }
    options.seed = random();
    options.no_bootstrap = node.store_lost_before;
    options.heartbeat_us = 200 * MS;
    options.snapshot_entries = 8;
    options.trailing_entries = 3;
    options.piece_bytes = 200;
    options.append_bytes = 300;
    options.clock_drift_ppm = (uint32_t)(DRIFT * 1e6);
    node.generation++;
    node.checked_index = 0;
    node.table = table_core_new(NULL);
    node.core = quorum_core_new(&options, &node.disk, local_time(node));
    schedule(now + random_below(TICK_US), at, EventKind::Tick);
}

/*
 * Let the node AT crash: a random prefix of the records of its incomplete
 * writes is on its disk.  With WIPE, its store is lost.
 */
void
World::stop_node(int at, bool wipe)
{
    Node &node = nodes[at];
    size_t records = 0;
    size_t kept;

    if (node.core == nullptr) {
        return;
    }
    for (Write &write : node.writes) {
        records += write.records.size();
    }
    kept = records == 0 ? 0 : random_below(records + 1);
    for (Write &write : node.writes) {
        for (quorum_record &record : write.records) {
            if (kept > 0) {
                persist_record(node, record);
                kept--;
            }
            quorum_record_clear(&record);
        }
    }
    node.writes.clear();
    node.last_write_due = 0;
    quorum_core_free(node.core);
    table_core_free(node.table);
    node.core = nullptr;
    node.table = nullptr;
    node.generation++;
    if (wipe) {
        quorum_stored_clear(&node.disk);
        quorum_stored_init(&node.disk);
        node.wiped_without_vote = true;
        counts.wipes++;
    }
}

/*
 * Put RECORD on NODE's disk.  An entry is copied, as it would be in a file,
 * and loses its request number.
 */
void
World::persist_record(Node &node, const quorum_record &record)
{
    quorum_record copy = record;
    quorum_entry *entry = nullptr;

    if (record.kind == QUORUM_RECORD_ENTRY) {
        const quorum_entry *from = record.u.entry;

        entry = quorum_entry_new(from->index, from->term, from->kind);
        entry->voter = from->voter;
        entry->store = from->store;
        entry->command = from->command ? g_bytes_ref(from->command) : nullptr;
        copy.u.entry = entry;
    }
    quorum_stored_apply(&node.disk, &copy);
    if (entry != nullptr) {
        quorum_entry_unref(entry);
    }
}

/* Handle all events up to TIME, or until an invariant is violated. */
void
World::run_until(uint64_t time)
{
    while (violation.empty() && !events.empty() && events.top().at <= time) {
        Event event = events.top();
        Node &node = nodes[event.node];
        quorum_event input = {};

        events.pop();
        now = std::max(now, event.at);
        counts.events++;
        if (event.kind == EventKind::Message) {
            quorum_message message;

            if (node.core == nullptr) {
                continue;
            }
            if (!quorum_wire_unpack((const uint8_t *)event.bytes->data(),
                                    event.bytes->size(), &message)) {
                report_violation("a message cannot be read back");
                return;
            }
            input.kind = QUORUM_EV_MESSAGE;
            input.u.message = &message;
            if (tracks_assignments
                    ? accepts_assignee(event.node, event, message)
                    : accepts_sender(node, message, event.assignment)) {
                step_node(event.node, input);
            }
            if (tracks_assignments && node.core != nullptr) {
                stop_if_replaced(event.node);
            }
            quorum_message_clear(&message);
            continue;
        }
        if (event.generation != node.generation) {
            continue;
        }
        switch (event.kind) {
        case EventKind::Tick:
            input.kind = QUORUM_EV_TICK;
            schedule(now + TICK_US, event.node, EventKind::Tick);
            step_node(event.node, input);
            if (tracks_assignments) {
                try_restore_former(event.node);
            }
            break;
        case EventKind::Written:
            on_written(event.node);
            break;
        case EventKind::Restart:
            start_node(event.node);
            break;
        case EventKind::Message:
            break;
        }
    }
    now = std::max(now, time);
}

/* Pass EVENT to the node AT, execute its actions, and check the invariants. */
void
World::step_node(int at, const quorum_event &event)
{
    Node &node = nodes[at];
    quorum_actions actions = {};

    quorum_core_step(node.core, local_time(node), &event, &actions);
    for (size_t i = 0; i < actions.count; i++) {
        execute_action(at, actions.items[i]);
    }
    quorum_actions_clear(&actions);
    g_free(actions.items);
    check_committed(at);
}

/* Execute ACTION of the node AT. */
void
World::execute_action(int at, quorum_action &action)
{
    Node &node = nodes[at];

    switch (action.kind) {
    case QUORUM_ACT_STORE: {
        Write write = {action.u.store.token, {}};

        write.records.assign(action.u.store.records,
                             action.u.store.records + action.u.store.count);
        action.u.store.count = 0; /* `write` has taken the references over */
        node.writes.push_back(write);
        node.last_write_due = std::max(node.last_write_due, now) +
                              node.write_time_us / 2 +
                              random_below(node.write_time_us);
        schedule(node.last_write_due, at, EventKind::Written);
        break;
    }
    case QUORUM_ACT_SEND:
        send(at, action.u.send.to, action.u.send.message);
        break;
    case QUORUM_ACT_APPLY:
        on_applied(at, action.u.apply);
        break;
    case QUORUM_ACT_TAKE_SNAPSHOT: {
        GByteArray *bytes = g_byte_array_new();
        quorum_event event = {};

        table_core_pack_snapshot(node.table, TABLE_ROWS_AND_ANSWERS, bytes);
        event.kind = QUORUM_EV_SNAPSHOT;
        event.u.snapshot.index = action.u.take_snapshot;
        event.u.snapshot.data = g_byte_array_free_to_bytes(bytes);
        step_node(at, event);
        g_bytes_unref(event.u.snapshot.data);
        break;
    }
    case QUORUM_ACT_INSTALL_SNAPSHOT:
        on_installed(node, action.u.install);
        break;
    case QUORUM_ACT_ROLE:
        if (action.u.role.role == QUORUM_LEADER) {
            auto found =
                leaders.emplace(action.u.role.term, (uint64_t)at).first;

            counts.leaders++;
            if (found->second != (uint64_t)at) {
                report_violation("election safety: two leaders in one term");
            }
        }
        break;
    case QUORUM_ACT_REFUSE:
        counts.unknown_outcomes +=
            action.u.refuse.reason == QUORUM_OUTCOME_UNKNOWN ? 1 : 0;
        break;
    case QUORUM_ACT__MAX:
        break;
    }
}

/* Install SNAPSHOT; NODE's table must then be the same as the snapshot. */
void
World::on_installed(Node &node, const quorum_snapshot *snapshot)
{
    GByteArray *bytes = g_byte_array_new();
    gsize len;
    const void *data = g_bytes_get_data(snapshot->data, &len);

    counts.installs++;
    table_core_merge(node.table, (const uint8_t *)data, len);
    table_core_pack_snapshot(node.table, TABLE_ROWS_AND_ANSWERS, bytes);
    if (bytes->len != len || memcmp(bytes->data, data, len) != 0) {
        report_violation("a snapshot did not go into the table");
    }
    g_byte_array_unref(bytes);
}

/*
 * Send MESSAGE from node FROM to the voter TO.  A quarter of the messages goes
 * to the former assignee instead, if there is one.
 */
void
World::send(int from, daemon_id to, const quorum_message &message)
{
    int at = (int)to.value - 1;

    if (tracks_assignments) {
        send_to_assignees(from, to, message);
        return;
    }
    if (at + (int)count != from && nodes[at + count].core != nullptr &&
        random_below(4) == 0) {
        at += (int)count; /* to the former assignee */
    }
    transmit(from, at, message);
}

/* Deliver MESSAGE to node AT with a random delay, loss or duplication. */
void
World::transmit(int from, int at, const quorum_message &message)
{
    GByteArray *out;
    std::shared_ptr<std::string> bytes;
    std::shared_ptr<std::vector<fleet_assignment>> views;
    int copies = 1;

    if (cut[from][at] || (loss != 0 && random_below(16) < (size_t)loss)) {
        return;
    }
    out = g_byte_array_new();
    quorum_wire_pack(&message, out);
    bytes = std::make_shared<std::string>((const char *)out->data, out->len);
    g_byte_array_unref(out);
    if (tracks_assignments) {
        views = std::make_shared<std::vector<fleet_assignment>>(
            nodes[from].views, nodes[from].views + count);
    }
    copies += random_below(16) == 0 ? 1 : 0;
    for (int i = 0; i < copies; i++) {
        uint64_t delay = 200 + random_below(delay_us);

        if (random_below(64) == 0) {
            delay += random_below(4000 * MS); /* delayed for very long */
        }
        events.push(Event{now + delay, order++, at, nodes[at].generation,
                          EventKind::Message, bytes, nodes[from].assignment,
                          address_of(from), views});
    }
}

/*
 * Complete the oldest write of the node AT.  If it is to fail, a random prefix
 * of its records is on the disk, all later writes are lost, and the node
 * restarts.
 */
void
World::on_written(int at)
{
    Node &node = nodes[at];
    Write write = node.writes.front();
    quorum_event event = {};
    size_t count = write.records.size();

    node.writes.erase(node.writes.begin());
    event.kind = QUORUM_EV_STORED;
    event.u.stored.token = write.token;
    event.u.stored.ok = !node.fail_next_write;
    if (node.fail_next_write) {
        count = random_below(count + 1);
    }
    for (size_t i = 0; i < write.records.size(); i++) {
        if (i < count) {
            persist_record(node, write.records[i]);
        }
        quorum_record_clear(&write.records[i]);
    }
    if (!node.fail_next_write) {
        step_node(at, event);
        return;
    }
    node.fail_next_write = false;
    for (Write &later : node.writes) { /* none of them is stored */
        for (quorum_record &record : later.records) {
            quorum_record_clear(&record);
        }
    }
    node.writes.clear();
    step_node(at, event);
    stop_node(at, false);
    if (at < (int)count) {
        schedule(now + 300 * MS, at, EventKind::Restart);
    }
}

/*
 * Apply ENTRY to the table of the node AT.  An index must have the same result
 * on all nodes, and an edit id the same answer each time.
 */
void
World::on_applied(int at, const quorum_entry *entry)
{
    Node &node = nodes[at];
    table_result result;
    gsize len;
    const void *data = g_bytes_get_data(entry->command, &len);
    Answer answer;

    if (!table_core_apply(node.table, entry->index, (const uint8_t *)data, len,
                          &result)) {
        report_violation("a command was applied twice");
        return;
    }
    answer.reason = result.reason;
    answer.version = result.version;
    answer.message = result.message;
    if (!(results.emplace(entry->index, answer).first->second == answer)) {
        report_violation("state machine safety: an index gave two results");
    }
    if (entry->request == 0) {
        return;
    }
    auto request = requests.find(entry->request);

    if (request == requests.end()) {
        report_violation("an answer to no request");
        return;
    }
    counts.answers++;
    answered_index = std::max(answered_index, entry->index);
    newest_version = std::max(newest_version, answer.version);
    if (!(answers.emplace(request->second, answer).first->second == answer)) {
        report_violation("an edit id was answered in two ways");
    }
    requests.erase(request);
}

/* Create an edit; one in four has an outdated base version. */
void
World::new_edit()
{
    table_command command = {};
    GByteArray *bytes = g_byte_array_new();
    std::string id = "edit-" + std::to_string(edits.size());
    std::string pool = "pool-" + std::to_string(random_below(4));

    command.kind = TABLE_COMMAND_EDIT;
    command.u.edit.base_version = newest_version > 0 && random_below(4) == 0
                                      ? newest_version - 1
                                      : newest_version;
    g_strlcpy(command.u.edit.id, id.c_str(), TABLE_EDIT_ID_MAX);
    command.u.edit.row.kind = TABLE_POOL;
    command.u.edit.row.u.pool.queue_limit = (uint32_t)edits.size();
    g_strlcpy(command.u.edit.row.u.pool.name, pool.c_str(), TABLE_NAME_MAX);
    table_wire_pack_command(&command, bytes);
    edits.emplace_back((const char *)bytes->data, bytes->len);
    edit_ids.push_back(id);
    g_byte_array_unref(bytes);
}

/* Propose the edit number EDIT to the node AT, if it is up. */
void
World::propose(int at, size_t edit)
{
    quorum_proposal proposal = {};
    quorum_event event = {};

    if (nodes[at].core == nullptr) {
        return;
    }
    proposal.request = next_request++;
    proposal.command = g_bytes_new(edits[edit].data(), edits[edit].size());
    requests[proposal.request] = edit;
    event.kind = QUORUM_EV_PROPOSE;
    event.u.propose.items = &proposal;
    event.u.propose.count = 1;
    step_node(at, event);
    g_bytes_unref(proposal.command);
}

/* Cut all connections to (IN) or from (OUT) the node AT. */
void
World::isolate(int at, bool in, bool out)
{
    for (size_t i = 0; i < 2 * count; i++) {
        cut[i][at] = cut[i][at] || in;
        cut[at][i] = cut[at][i] || out;
    }
}

/*
 * Return true if the store of node A may be lost.  At any time at most a
 * minority of the votes may be lost.
 */
bool
World::may_lose_store(int a)
{
    size_t lost = 0;

    if (!wipes_at_admission && admission_is_possible()) {
        return false;
    }
    for (size_t i = 0; i < count; i++) {
        lost += has_lost_vote((int)i) ? 1 : 0;
    }
    return has_lost_vote(a) || lost < (count - 1) / 2;
}

/*
 * Replace node A by a node with an empty store.  The former node, which was
 * only unreachable, continues to run with its store and its vote.  It is not
 * told of its replacement and receives some of the messages for the new node.
 */
void
World::replace_node(int a)
{
    int former = a + (int)count;

    if (nodes[a].core == nullptr) {
        start_node(a);
    }
    stop_node(former, false);
    quorum_stored_clear(&nodes[former].disk);
    for (size_t i = 0; i < 2 * count; i++) { /* the same cuts as before */
        cut[former][i] = cut[a][i];
        cut[i][former] = cut[i][a];
    }
    stop_node(a, false);
    nodes[former].disk = nodes[a].disk;
    nodes[former].store_lost_before = nodes[a].store_lost_before;
    nodes[former].assignment = nodes[a].assignment;
    nodes[a].assignment++;
    nodes[former].clock_rate = nodes[a].clock_rate;
    nodes[former].clock_offset = nodes[a].clock_offset;
    quorum_stored_init(&nodes[a].disk);
    nodes[a].store_lost_before = true;
    nodes[a].wiped_without_vote = true;
    counts.replaced++;
    start_node(former);
    schedule(now + random_below(500 * MS), a, EventKind::Restart);
}

/* Execute the operation of step S. */
void
World::apply_op(const Step &s)
{
    int a = s.a % (int)count;
    int b = s.b % (int)count;

    switch (s.op) {
    case Op::Propose:
        new_edit();
        for (size_t i = 0; i < count;
             i++) { /* all that take themselves for leader */
            if (nodes[i].core != nullptr &&
                quorum_core_role(nodes[i].core) == QUORUM_LEADER) {
                propose((int)i, edits.size() - 1);
            }
        }
        propose(a, edits.size() - 1);
        break;
    case Op::Resend:
        for (size_t i = 0; i < count && !edits.empty(); i++) {
            propose((int)i, (size_t)s.b % edits.size());
        }
        break;
    case Op::Crash:
        stop_node(
            a + (has_former_with_vote(a) && s.b % 2 == 1 ? (int)count : 0),
            false);
        break;
    case Op::Wipe:
        if (has_former_with_vote(a) && s.b % 2 == 1) {
            wipe_former(a);
        }
        else if (is_successor_without_vote(a) || may_lose_store(a)) {
            counts.wiped_during_replacement +=
                has_former_with_vote(0) || has_former_with_vote(1) ||
                        (count > 2 && has_former_with_vote(2))
                    ? 1
                    : 0;
            early_wipe = early_wipe || !all_have_voted;
            if (nodes[a].core == nullptr) {
                start_node(a);
            }
            nodes[a].store_lost_before = all_have_voted;
            stop_node(a, true);
            schedule(now + random_below(500 * MS), a, EventKind::Restart);
        }
        break;
    case Op::Restart:
        if (nodes[a].core == nullptr) {
            start_node(a);
        }
        if (has_former_with_vote(a) && nodes[a + count].core == nullptr) {
            start_node(a + (int)count);
        }
        break;
    case Op::Cut:
        cut[a][b] = true;
        break;
    case Op::Isolate:
        isolate(a, true, true);
        break;
    case Op::IsolateIn:
        isolate(a, true, false);
        break;
    case Op::IsolateOut:
        isolate(a, false, true);
        break;
    case Op::Heal:
        memset(cut, 0, sizeof(cut));
        break;
    case Op::Loss:
        loss = s.a;
        break;
    case Op::Delay:
        delay_us = longest_delays_ms[s.a] * MS;
        break;
    case Op::Slow:
        nodes[a].write_time_us = 2000 + (uint64_t)s.b * 100 * MS;
        break;
    case Op::FailDisk:
        nodes[a].fail_next_write = true;
        break;
    case Op::Replace:
        for (size_t i = 0; i < count;
             i++) { /* another node must lead to commit it */
            if ((int)i != a && all_have_voted &&
                (tracks_assignments || may_lose_store(a)) &&
                nodes[i].core != nullptr &&
                quorum_core_read_ok(nodes[i].core, local_time(nodes[i]))) {
                tracks_assignments ? assign_successor(a, (int)i)
                                   : replace_node(a);
                break;
            }
        }
        break;
    case Op::Resign:
        if (nodes[a].core != nullptr) {
            quorum_event event = {};

            event.kind = QUORUM_EV_RESIGN;
            counts.resigned +=
                quorum_core_role(nodes[a].core) == QUORUM_LEADER ? 1 : 0;
            step_node(a, event);
        }
        break;
    case Op::OpMax:
        break;
    }
}

/* Let the cluster form, then execute STEPS. */
void
World::run(const std::vector<Step> &steps)
{
    run_until(now + 3000 * MS);
    for (const Step &s : steps) {
        if (!violation.empty()) {
            return;
        }
        apply_op(s);
        run_until(now + (uint64_t)s.wait_ms * MS);
        check_logs();
    }
}

#endif
