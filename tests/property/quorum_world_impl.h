/* The bodies of struct World; included by one program only. */
#ifndef PS_TESTS_QUORUM_WORLD_IMPL_H
#define PS_TESTS_QUORUM_WORLD_IMPL_H

#include <algorithm>
#include <cstring>

#include "quorum_world.h"

static const uint64_t MS = 1000; /* microseconds */
static const uint64_t TICK_US = 50 * MS;
static const uint64_t longest_delays_ms[] = {1, 20, 100, 500, 2000};
static const double DRIFT = 0.01; /* as the cores assume */

World::World(size_t voters, uint64_t seed)
    : count(voters), nodes(2 * voters), random(seed)
{
    for (size_t i = 0; i < 2 * count; i++) {
        Node &node = nodes[i];
        double part = (double)draw(2001) / 1000.0 - 1.0;

        node.id.value = i % count + 1;
        node.rate = 1.0 + part * DRIFT;
        node.offset = draw(1000000);
        quorum_stored_init(&node.disk);
        if (i < count) {
            start((int)i);
        }
    }
}

World::~World()
{
    for (size_t i = 0; i < nodes.size(); i++) {
        stop((int)i, false);
        quorum_stored_clear(&nodes[i].disk);
    }
}

uint64_t
World::local(const Node &node) const
{
    return node.offset + (uint64_t)((double)now * node.rate);
}

size_t
World::draw(size_t below)
{
    return random() % below;
}

void
World::fail(const std::string &what)
{
    if (broken.empty()) {
        broken = what;
    }
}

void
World::push(uint64_t at, int node, Due due, std::shared_ptr<std::string> bytes,
            uint64_t tenure)
{
    events.push(Event{at, order++, node, nodes[node].life, due,
                      std::move(bytes), tenure, 0, nullptr});
}

/*
 * As the daemons do it: a message for a place that has passed to another
 * holder is left out by all who have heard of that.
 */
bool
World::is_heard(Node &node, const quorum_message &message, uint64_t tenure)
{
    uint64_t &known = node.known[message.from.value - 1];

    if (quorum_core_read_ok(node.core, local(node))) {
        /* It has applied the entry that gave the place away. */
        known = std::max(known, nodes[message.from.value - 1].tenure);
    }
    if (tenure < known) {
        return false;
    }
    known = tenure;
    return true;
}

void
World::start(int at)
{
    Node &node = nodes[at];
    quorum_options options = {};

    options.self = node.id;
    options.voter_count = count;
    for (size_t i = 0; i < count; i++) {
        options.voters[i].value = i + 1;
    }
    options.seed = random();
    options.may_not_found = node.lost_before;
    options.heartbeat_us = 200 * MS;
    options.snapshot_entries = 8;
    options.trailing_entries = 3;
    options.piece_bytes = 200;
    options.append_bytes = 300;
    options.clock_drift_ppm = (uint32_t)(DRIFT * 1e6);
    node.life++;
    node.checked = 0;
    node.table = table_core_new(NULL);
    node.core = quorum_core_new(&options, &node.disk, local(node));
    push(now + draw(TICK_US), at, Due::Tick);
}

/* A crash: of the writes under way, any first part may have come through. */
void
World::stop(int at, bool wipe)
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
    kept = records == 0 ? 0 : draw(records + 1);
    for (Write &write : node.writes) {
        for (quorum_record &record : write.records) {
            if (kept > 0) {
                persist(node, record);
                kept--;
            }
            quorum_record_clear(&record);
        }
    }
    node.writes.clear();
    node.writes_due = 0;
    quorum_core_free(node.core);
    table_core_free(node.table);
    node.core = nullptr;
    node.table = nullptr;
    node.life++;
    if (wipe) {
        quorum_stored_clear(&node.disk);
        quorum_stored_init(&node.disk);
        node.wiped = true;
        seen.wipes++;
    }
}

/* Take RECORD into the disk, with a copy of an entry as a file would have. */
void
World::persist(Node &node, const quorum_record &record)
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
    quorum_stored_take(&node.disk, &copy);
    if (entry != nullptr) {
        quorum_entry_unref(entry);
    }
}

void
World::until(uint64_t time)
{
    while (broken.empty() && !events.empty() && events.top().at <= time) {
        Event event = events.top();
        Node &node = nodes[event.node];
        quorum_event input = {};

        events.pop();
        now = std::max(now, event.at);
        seen.events++;
        if (event.due == Due::Message) {
            quorum_message message;

            if (node.core == nullptr) {
                continue;
            }
            if (!quorum_wire_unpack((const uint8_t *)event.bytes->data(),
                                    event.bytes->size(), &message)) {
                fail("a message cannot be read back");
                return;
            }
            input.kind = QUORUM_EV_MESSAGE;
            input.u.message = &message;
            if (successions ? heard_of(event.node, event, message)
                            : is_heard(node, message, event.tenure)) {
                step(event.node, input);
            }
            if (successions && node.core != nullptr) {
                follow(event.node);
            }
            quorum_message_clear(&message);
            continue;
        }
        if (event.life != node.life) {
            continue;
        }
        switch (event.due) {
        case Due::Tick:
            input.kind = QUORUM_EV_TICK;
            push(now + TICK_US, event.node, Due::Tick);
            step(event.node, input);
            if (successions) {
                consider_former(event.node);
            }
            break;
        case Due::Written:
            written(event.node);
            break;
        case Due::Restart:
            start(event.node);
            break;
        case Due::Message:
            break;
        }
    }
    now = std::max(now, time);
}

void
World::step(int at, const quorum_event &event)
{
    Node &node = nodes[at];
    quorum_actions actions = {};

    quorum_core_step(node.core, local(node), &event, &actions);
    for (size_t i = 0; i < actions.count; i++) {
        carry_out(at, actions.items[i]);
    }
    quorum_actions_clear(&actions);
    g_free(actions.items);
    check(at);
}

void
World::carry_out(int at, quorum_action &action)
{
    Node &node = nodes[at];

    switch (action.kind) {
    case QUORUM_ACT_STORE: {
        Write write = {action.u.store.token, {}};

        write.records.assign(action.u.store.records,
                             action.u.store.records + action.u.store.count);
        action.u.store.count = 0; /* the references are ours now */
        node.writes.push_back(write);
        node.writes_due = std::max(node.writes_due, now) + node.write_us / 2 +
                          draw(node.write_us);
        push(node.writes_due, at, Due::Written);
        break;
    }
    case QUORUM_ACT_SEND:
        send(at, action.u.send.to, action.u.send.message);
        break;
    case QUORUM_ACT_APPLY:
        applied(at, action.u.apply);
        break;
    case QUORUM_ACT_TAKE_SNAPSHOT: {
        GByteArray *bytes = g_byte_array_new();
        quorum_event event = {};

        table_core_pack_snapshot(node.table, TABLE_ROWS_AND_ANSWERS, bytes);
        event.kind = QUORUM_EV_SNAPSHOT;
        event.u.snapshot.index = action.u.take_snapshot;
        event.u.snapshot.data = g_byte_array_free_to_bytes(bytes);
        step(at, event);
        g_bytes_unref(event.u.snapshot.data);
        break;
    }
    case QUORUM_ACT_INSTALL_SNAPSHOT:
        installed(node, action.u.install);
        break;
    case QUORUM_ACT_ROLE:
        if (action.u.role.role == QUORUM_LEADER) {
            auto found =
                leaders.emplace(action.u.role.term, (uint64_t)at).first;

            seen.leaders++;
            if (found->second != (uint64_t)at) {
                fail("election safety: two leaders in one term");
            }
        }
        break;
    case QUORUM_ACT_REFUSE:
        seen.unknown += action.u.refuse.reason == QUORUM_UNKNOWN ? 1 : 0;
        break;
    case QUORUM_ACT__MAX:
        break;
    }
}

/* The table is as the snapshot says, whether it was so before or not. */
void
World::installed(Node &node, const quorum_snapshot *snapshot)
{
    GByteArray *bytes = g_byte_array_new();
    gsize len;
    const void *data = g_bytes_get_data(snapshot->data, &len);

    seen.installs++;
    table_core_merge(node.table, (const uint8_t *)data, len);
    table_core_pack_snapshot(node.table, TABLE_ROWS_AND_ANSWERS, bytes);
    if (bytes->len != len || memcmp(bytes->data, data, len) != 0) {
        fail("a snapshot did not go into the table");
    }
    g_byte_array_unref(bytes);
}

void
World::send(int from, daemon_id to, const quorum_message &message)
{
    int at = (int)to.value - 1;

    if (successions) {
        send_to_holders(from, to, message);
        return;
    }
    if (at + (int)count != from && nodes[at + count].core != nullptr &&
        draw(4) == 0) {
        at += (int)count; /* to one that was replaced */
    }
    transmit(from, at, message);
}

/* Pass MESSAGE on to node AT, late, twice or not at all as it comes. */
void
World::transmit(int from, int at, const quorum_message &message)
{
    GByteArray *out;
    std::shared_ptr<std::string> bytes;
    std::shared_ptr<std::vector<fleet_tenure>> views;
    int copies = 1;

    if (cut[from][at] || (loss != 0 && draw(16) < (size_t)loss)) {
        return;
    }
    out = g_byte_array_new();
    quorum_wire_pack(&message, out);
    bytes = std::make_shared<std::string>((const char *)out->data, out->len);
    g_byte_array_unref(out);
    if (successions) {
        views = std::make_shared<std::vector<fleet_tenure>>(
            nodes[from].views, nodes[from].views + count);
    }
    copies += draw(16) == 0 ? 1 : 0;
    for (int i = 0; i < copies; i++) {
        uint64_t delay = 200 + draw(delay_us);

        if (draw(64) == 0) {
            delay += draw(4000 * MS); /* long in coming */
        }
        events.push(Event{now + delay, order++, at, nodes[at].life,
                          Due::Message, bytes, nodes[from].tenure,
                          address_of(from), views});
    }
}

void
World::written(int at)
{
    Node &node = nodes[at];
    Write write = node.writes.front();
    quorum_event event = {};
    size_t count = write.records.size();

    node.writes.erase(node.writes.begin());
    event.kind = QUORUM_EV_STORED;
    event.u.stored.token = write.token;
    event.u.stored.ok = !node.fail_next;
    if (node.fail_next) {
        count = draw(count + 1);
    }
    for (size_t i = 0; i < write.records.size(); i++) {
        if (i < count) {
            persist(node, write.records[i]);
        }
        quorum_record_clear(&write.records[i]);
    }
    if (!node.fail_next) {
        step(at, event);
        return;
    }
    node.fail_next = false;
    for (Write &later : node.writes) { /* none of them comes through */
        for (quorum_record &record : later.records) {
            quorum_record_clear(&record);
        }
    }
    node.writes.clear();
    step(at, event);
    stop(at, false);
    if (at < (int)count) {
        push(now + 300 * MS, at, Due::Restart);
    }
}

void
World::applied(int at, const quorum_entry *entry)
{
    Node &node = nodes[at];
    table_result result;
    gsize len;
    const void *data = g_bytes_get_data(entry->command, &len);
    Answer answer;

    if (!table_core_apply(node.table, entry->index, (const uint8_t *)data, len,
                          &result)) {
        fail("a command was applied twice");
        return;
    }
    answer.reason = result.reason;
    answer.version = result.version;
    answer.message = result.message;
    if (!(results.emplace(entry->index, answer).first->second == answer)) {
        fail("state machine safety: an index gave two results");
    }
    if (entry->request == 0) {
        return;
    }
    auto request = requests.find(entry->request);

    if (request == requests.end()) {
        fail("an answer to no request");
        return;
    }
    seen.answers++;
    answered_index = std::max(answered_index, entry->index);
    newest = std::max(newest, answer.version);
    if (!(answers.emplace(request->second, answer).first->second == answer)) {
        fail("an edit id was answered in two ways");
    }
    requests.erase(request);
}

void
World::new_edit()
{
    table_command command = {};
    GByteArray *bytes = g_byte_array_new();
    std::string id = "edit-" + std::to_string(edits.size());
    std::string pool = "pool-" + std::to_string(draw(4));

    command.kind = TABLE_COMMAND_EDIT;
    command.u.edit.base_version =
        newest > 0 && draw(4) == 0 ? newest - 1 : newest;
    g_strlcpy(command.u.edit.id, id.c_str(), TABLE_EDIT_ID_MAX);
    command.u.edit.row.kind = TABLE_POOL;
    command.u.edit.row.u.pool.queue_limit = (uint32_t)edits.size();
    g_strlcpy(command.u.edit.row.u.pool.name, pool.c_str(), TABLE_NAME_MAX);
    table_wire_pack_command(&command, bytes);
    edits.emplace_back((const char *)bytes->data, bytes->len);
    edit_ids.push_back(id);
    g_byte_array_unref(bytes);
}

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
    step(at, event);
    g_bytes_unref(proposal.command);
}

void
World::isolate(int at, bool in, bool out)
{
    for (size_t i = 0; i < 2 * count; i++) {
        cut[i][at] = cut[i][at] || in;
        cut[at][i] = cut[at][i] || out;
    }
}

/* True if the store of node A may be lost: at most a minority is at once. */
bool
World::may_lose(int a)
{
    size_t lost = 0;

    if (!wipes_at_admission && admission_is_near()) {
        return false;
    }
    for (size_t i = 0; i < count; i++) {
        lost += has_lost_vote((int)i) ? 1 : 0;
    }
    return has_lost_vote(a) || lost < (count - 1) / 2;
}

/*
 * Node A's place is taken by an empty one.  A itself, which was only out of
 * reach, runs on with its store and its vote, and hears some of what is meant
 * for the other; nobody has told it.
 */
void
World::replace(int a)
{
    int former = a + (int)count;

    if (nodes[a].core == nullptr) {
        start(a);
    }
    stop(former, false);
    quorum_stored_clear(&nodes[former].disk);
    for (size_t i = 0; i < 2 * count; i++) { /* cut off as it was */
        cut[former][i] = cut[a][i];
        cut[i][former] = cut[i][a];
    }
    stop(a, false);
    nodes[former].disk = nodes[a].disk;
    nodes[former].lost_before = nodes[a].lost_before;
    nodes[former].tenure = nodes[a].tenure;
    nodes[a].tenure++;
    nodes[former].rate = nodes[a].rate;
    nodes[former].offset = nodes[a].offset;
    quorum_stored_init(&nodes[a].disk);
    nodes[a].lost_before = true;
    nodes[a].wiped = true;
    seen.replaced++;
    start(former);
    push(now + draw(500 * MS), a, Due::Restart);
}

void
World::apply_op(const Step &s)
{
    int a = s.a % (int)count;
    int b = s.b % (int)count;

    switch (s.op) {
    case Op::Propose:
        new_edit();
        for (size_t i = 0; i < count; i++) { /* whoever believes it */
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
        stop(a + (is_unsettled(a) && s.b % 2 == 1 ? (int)count : 0), false);
        break;
    case Op::Wipe:
        if (is_unsettled(a) && s.b % 2 == 1) {
            wipe_former(a);
        }
        else if (has_nothing_to_lose(a) || may_lose(a)) {
            seen.wiped_between += is_unsettled(0) || is_unsettled(1) ||
                                          (count > 2 && is_unsettled(2))
                                      ? 1
                                      : 0;
            early_wipe = early_wipe || !formed;
            if (nodes[a].core == nullptr) {
                start(a);
            }
            nodes[a].lost_before = formed;
            stop(a, true);
            push(now + draw(500 * MS), a, Due::Restart);
        }
        break;
    case Op::Restart:
        if (nodes[a].core == nullptr) {
            start(a);
        }
        if (is_unsettled(a) && nodes[a + count].core == nullptr) {
            start(a + (int)count);
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
        nodes[a].write_us = 2000 + (uint64_t)s.b * 100 * MS;
        break;
    case Op::FailDisk:
        nodes[a].fail_next = true;
        break;
    case Op::Replace:
        for (size_t i = 0; i < count; i++) { /* a leader must commit it */
            if ((int)i != a && formed && (successions || may_lose(a)) &&
                nodes[i].core != nullptr &&
                quorum_core_read_ok(nodes[i].core, local(nodes[i]))) {
                successions ? succeed(a, (int)i) : replace(a);
                break;
            }
        }
        break;
    case Op::Resign:
        if (nodes[a].core != nullptr) {
            quorum_event event = {};

            event.kind = QUORUM_EV_RESIGN;
            seen.resigned +=
                quorum_core_role(nodes[a].core) == QUORUM_LEADER ? 1 : 0;
            step(a, event);
        }
        break;
    case Op::OpMax:
        break;
    }
}

void
World::run(const std::vector<Step> &steps)
{
    until(now + 3000 * MS);
    for (const Step &s : steps) {
        if (!broken.empty()) {
            return;
        }
        apply_op(s);
        until(now + (uint64_t)s.wait_ms * MS);
        check_logs();
    }
}

#endif
