/*
 * A deterministic carrier between spreading cores in one process, with a
 * plain model of what stands around them: the tables of each daemon, a view
 * of the daemons that lags behind the truth, and targets that announce
 * themselves to any daemon of their zone.
 */
#ifndef PS_TESTS_PROP_SPREAD_NET_H
#define PS_TESTS_PROP_SPREAD_NET_H

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "member/spread.h"
#include "peer/spread_wire.h"
}

namespace spread_net {

constexpr uint64_t TICK_US = 50'000;
constexpr uint64_t SECOND_US = 1'000'000;
constexpr uint32_t TARGET_LIFE_MS = 4000;
constexpr uint64_t ANNOUNCE_US = SECOND_US;

struct Node {
    spread_core *core = nullptr;
    std::string name, zone;
    daemon_id id = {0};
    bool entry = true;
    uint64_t incarnation = 1;
    /* The daemon's tables: versions staged, and the one in force. */
    uint64_t staged = 0, active = 0;
    std::set<uint64_t> boundaries;
    /* Its view: by daemon, what it knows and when it will know better. */
    std::map<size_t, daemon_view> known;
    std::multimap<uint64_t, std::pair<size_t, daemon_view>> coming;
    std::map<uint32_t, spread_target> targets;
    uint64_t downs = 0; /* targets that were told to be down */
};

struct Target {
    uint32_t address = 0;
    bool up = true;
    size_t zone = 0;
    uint64_t pool = 1;
    uint32_t incarnation = 1;
    target_state state = TARGET_READY;
    uint64_t next_us = 0;
};

class Net {
  public:
    double loss = 0, doubling = 0;
    uint64_t delay_us = 1000, jitter_us = 3000;
    uint64_t view_lag_us = 3 * SECOND_US;
    bool keeps_disk = true;
    uint64_t now = SECOND_US;
    uint64_t committed = 0, term = 0, in_force = 0;
    size_t leader = 0;
    std::string broken; /* the first promise that was broken */
    std::vector<Node> nodes;
    std::vector<Target> targets;
    std::set<std::pair<size_t, size_t>> cuts;
    size_t zones;
    uint32_t fanout = 0;
    std::map<uint64_t, uint64_t> in_force_at;

    Net(size_t count, size_t zone_count, uint64_t seed)
        : zones(zone_count), random(seed)
    {
        for (size_t i = 0; i < count; i++) {
            Node node;

            node.name = "daemon-" + std::to_string(i);
            node.zone = "zone-" + std::to_string(i % zones);
            node.id = view_daemon_id(node.name.c_str());
            nodes.push_back(node);
            by_id[node.id.value] = i;
        }
    }

    ~Net()
    {
        for (auto &node : nodes) {
            spread_core_free(node.core);
        }
        spread_actions_clear(&actions);
    }

    Net(const Net &) = delete;
    Net &operator=(const Net &) = delete;

    bool
    up(size_t index) const
    {
        return nodes[index].core != nullptr;
    }

    void
    start(size_t index)
    {
        Node &node = nodes[index];
        spread_options options = {};

        if (!keeps_disk) {
            node.active = 0;
        }
        node.staged = node.active;
        node.boundaries.clear();
        node.incarnation++;
        node.targets.clear();
        options.self = node.id;
        options.zone = node.zone.c_str();
        options.entry = node.entry;
        options.version = node.active;
        options.seed = random();
        options.fanout = fanout;
        node.core = spread_core_new(&options);
        truth_changed(index);
    }

    void
    crash(size_t index)
    {
        spread_core_free(nodes[index].core);
        nodes[index].core = nullptr;
        truth_changed(index);
    }

    /* Cut the first FIRST + 1 daemons off from the others, or heal. */
    void
    cut(size_t first, bool both_ways)
    {
        for (size_t i = 0; i <= first; i++) {
            for (size_t j = first + 1; j < nodes.size(); j++) {
                cuts.insert({i, j});
                if (both_ways) {
                    cuts.insert({j, i});
                }
            }
        }
        all_changed();
    }

    void
    heal()
    {
        cuts.clear();
        loss = 0;
        all_changed();
    }

    /* Another daemon leads from now on; the former one is not told. */
    void
    lead(size_t index)
    {
        spread_event event = {};

        leader = index;
        term++;
        event.kind = SPREAD_EV_LEAD;
        event.u.lead.term = term;
        event.u.lead.leading = true;
        step(index, event);
        if (committed > 0) {
            commit_event(committed, committed);
        }
    }

    void
    commit()
    {
        if (!up(leader)) {
            return;
        }
        committed++;
        commit_event(committed - 1, committed);
    }

    void
    run(uint64_t duration)
    {
        uint64_t end = now + duration;

        while (now < end) {
            now += TICK_US;
            deliver();
            announce();
            for (size_t i = 0; i < nodes.size(); i++) {
                if (up(i)) {
                    update_view(i);
                    spread_event tick = {};

                    tick.kind = SPREAD_EV_TICK;
                    step(i, tick);
                }
            }
        }
    }

    /* Whether all running daemons have the last version in force. */
    bool
    versions_converged() const
    {
        for (const auto &node : nodes) {
            if (node.core != nullptr && node.entry &&
                node.active != committed) {
                return false;
            }
        }
        return true;
    }

    /* Whether all running daemons know the targets as they are. */
    bool
    targets_converged() const
    {
        for (const auto &node : nodes) {
            if (node.core == nullptr || !node.entry) {
                continue;
            }
            for (const auto &target : targets) {
                auto found = node.targets.find(target.address);

                if (target.up != (found != node.targets.end())) {
                    return false;
                }
                if (target.up && (found->second.pool.value != target.pool ||
                                  found->second.view.state != target.state ||
                                  found->second.view.key.incarnation !=
                                      target.incarnation)) {
                    return false;
                }
            }
        }
        return true;
    }

    /* Whether all running daemons name the same holder of each target. */
    bool
    holders_agree() const
    {
        std::map<uint32_t, std::set<uint64_t>> holders;

        for (const auto &node : nodes) {
            if (node.core != nullptr && node.entry) {
                spread_core_targets(
                    node.core,
                    [](const spread_target *target, void *data) {
                        (*static_cast<decltype(holders) *>(
                            data))[target->view.key.address]
                            .insert(target->holder.value);
                    },
                    &holders);
            }
        }
        for (const auto &entry : holders) {
            if (entry.second.size() > 1) {
                return false;
            }
        }
        return holders.size() == targets.size() && targets_converged();
    }

    bool
    settle(uint64_t limit)
    {
        uint64_t end = now + limit;

        while (now < end && !(versions_converged() && targets_converged())) {
            run(TICK_US);
        }
        return versions_converged() && targets_converged();
    }

    uint64_t
    next_random()
    {
        return random();
    }

  private:
    struct Flight {
        size_t to, from;
        std::shared_ptr<GByteArray> bytes;
    };

    std::mt19937_64 random;
    std::multimap<uint64_t, Flight> flying;
    std::map<uint64_t, size_t> by_id;
    spread_actions actions = {};

    bool
    chance(double probability)
    {
        return probability > 0 &&
               (double)(random() >> 11) / (double)(1ULL << 53) < probability;
    }

    void
    fail(const std::string &promise)
    {
        if (broken.empty()) {
            broken = promise;
        }
    }

    /* What VIEWER will find out about SUBJECT. */
    daemon_view
    truth(size_t viewer, size_t subject) const
    {
        daemon_view view = {};
        bool cut = cuts.count({viewer, subject}) != 0 ||
                   cuts.count({subject, viewer}) != 0;

        view.id = nodes[subject].id;
        view.zone = view_zone_id(nodes[subject].zone.c_str());
        view.entry = nodes[subject].entry;
        view.incarnation = nodes[subject].incarnation;
        view.state = up(subject) && !cut ? DAEMON_ALIVE : DAEMON_DEAD;
        return view;
    }

    void
    learn_later(size_t viewer, size_t subject)
    {
        uint64_t lag = viewer == subject ? 0 : random() % view_lag_us;

        nodes[viewer].coming.emplace(
            now + lag, std::make_pair(subject, truth(viewer, subject)));
    }

    void
    truth_changed(size_t subject)
    {
        for (size_t i = 0; i < nodes.size(); i++) {
            learn_later(i, subject);
            if (i != subject && up(subject)) {
                learn_later(subject, i);
            }
        }
    }

    void
    all_changed()
    {
        for (size_t i = 0; i < nodes.size(); i++) {
            truth_changed(i);
        }
    }

    void
    update_view(size_t index)
    {
        Node &node = nodes[index];
        bool changed = false;
        std::map<uint64_t, daemon_view> sorted;
        std::vector<daemon_view> list;
        spread_event event = {};

        while (!node.coming.empty() && node.coming.begin()->first <= now) {
            size_t subject = node.coming.begin()->second.first;

            node.known[subject] = truth(index, subject);
            node.coming.erase(node.coming.begin());
            changed = true;
        }
        if (!changed) {
            return;
        }
        for (auto &[subject, view] : node.known) {
            sorted[view.id.value] = view;
        }
        for (auto &[id, view] : sorted) {
            list.push_back(view);
        }
        event.kind = SPREAD_EV_VIEW;
        event.u.view.daemons = list.data();
        event.u.view.count = list.size();
        step(index, event);
    }

    static std::string
    bytes_of(uint64_t from, uint64_t to)
    {
        return std::to_string(from) + ">" + std::to_string(to);
    }

    void
    commit_event(uint64_t from, uint64_t to)
    {
        std::string bytes = bytes_of(from, to);
        spread_event event = {};

        event.kind = SPREAD_EV_COMMITTED;
        event.u.committed.from = from;
        event.u.committed.to = to;
        event.u.committed.data = (const uint8_t *)bytes.data();
        event.u.committed.len = from == to ? 0 : bytes.size();
        step(leader, event);
    }

    /* Running entry daemons from FIRST on, EACHth of them. */
    std::vector<size_t>
    entries(size_t first, size_t each) const
    {
        std::vector<size_t> found;

        for (size_t i = first; i < nodes.size(); i += each) {
            if (up(i) && nodes[i].entry) {
                found.push_back(i);
            }
        }
        return found;
    }

    void
    announce()
    {
        for (auto &target : targets) {
            std::vector<size_t> near;
            spread_event event = {};

            if (!target.up || target.next_us > now) {
                continue;
            }
            target.next_us = now + ANNOUNCE_US;
            near = entries(target.zone, zones);
            if (near.empty()) {
                near = entries(0, 1);
            }
            if (near.empty()) {
                continue;
            }
            event.kind = SPREAD_EV_ANNOUNCED;
            event.u.announced.pool = {target.pool};
            event.u.announced.view.key = {target.address, target.incarnation};
            event.u.announced.view.state = target.state;
            event.u.announced.view.weight = 100;
            event.u.announced.life_ms = TARGET_LIFE_MS;
            step(near[random() % near.size()], event);
        }
    }

    void
    deliver()
    {
        while (!flying.empty() && flying.begin()->first <= now) {
            Flight flight = flying.begin()->second;
            spread_message message;
            spread_event event = {};

            flying.erase(flying.begin());
            if (!up(flight.to) || cuts.count({flight.from, flight.to}) != 0) {
                continue;
            }
            if (!spread_wire_unpack(flight.bytes->data, flight.bytes->len,
                                    &message)) {
                fail("a message was not understood");
                continue;
            }
            event.kind = SPREAD_EV_MESSAGE;
            event.u.message.from = nodes[flight.from].id;
            event.u.message.message = &message;
            step(flight.to, event);
            spread_message_clear(&message);
        }
    }

    void
    step(size_t index, const spread_event &event)
    {
        spread_actions own = {};

        spread_core_step(nodes[index].core, now, &event, &own);
        for (size_t i = 0; i < own.count; i++) {
            act(index, own.items[i]);
        }
        answer_needs(index, own);
        spread_actions_clear(&own);
    }

    /* Last, since a further step ends what the actions borrow. */
    void
    answer_needs(size_t index, const spread_actions &own)
    {
        for (size_t i = 0; i < own.count; i++) {
            const spread_action &action = own.items[i];
            bool has = index == leader ||
                       nodes[index].staged >= action.u.need.version;
            spread_event event = {};
            std::string bytes;

            if (action.kind != SPREAD_ACT_NEED) {
                continue;
            }
            if (!has && committed < action.u.need.version) {
                fail("a version was asked for that does not exist");
            }
            bool snapshot = random() % 4 == 0;
            uint64_t from = snapshot ? 0 : action.u.need.from;

            bytes = bytes_of(from, action.u.need.version);
            event.kind = SPREAD_EV_DIFFERENCE;
            event.u.difference.to = action.u.need.to;
            event.u.difference.bytes = {from, action.u.need.version,
                                        (const uint8_t *)bytes.data(),
                                        bytes.size()};
            step(index, event);
        }
    }

    void
    act(size_t index, const spread_action &action)
    {
        Node &node = nodes[index];

        switch (action.kind) {
        case SPREAD_ACT_SEND:
            send(index, action);
            break;
        case SPREAD_ACT_STAGE:
            stage(node, action.u.stage);
            break;
        case SPREAD_ACT_ACTIVATE:
            activate(node, action.u.activate);
            break;
        case SPREAD_ACT_IN_FORCE:
            check_in_force(index, action.u.in_force);
            break;
        case SPREAD_ACT_TARGET:
            if (action.u.target.view.state == TARGET_DOWN) {
                node.downs++;
                node.targets.erase(action.u.target.view.key.address);
                break;
            }
            node.targets[action.u.target.view.key.address] = action.u.target;
            break;
        default:
            break;
        }
    }

    void
    stage(Node &node, const spread_bytes &bytes)
    {
        std::string data((const char *)bytes.data, bytes.len);

        if (bytes.to <= node.staged ||
            (bytes.from != node.staged && bytes.from != 0)) {
            fail("a staged version does not follow");
        }
        if (data != bytes_of(bytes.from, bytes.to)) {
            fail("a staged version's bytes are not its own");
        }
        node.staged = bytes.to;
        node.boundaries.insert(bytes.to);
    }

    void
    activate(Node &node, uint64_t version)
    {
        if (version <= node.active) {
            fail("a version was reverted");
        }
        if (node.boundaries.count(version) == 0) {
            fail("a version came in force that was not staged");
        }
        if (version > in_force) {
            fail("a version came in force before all had it staged");
        }
        node.active = version;
    }

    void
    check_in_force(size_t index, uint64_t version)
    {
        in_force = std::max(in_force, version);
        in_force_at.emplace(version, now);
        for (auto &[subject, view] : nodes[index].known) {
            const Node &node = nodes[subject];

            if (view.state != DAEMON_DEAD && view.entry && up(subject) &&
                view.incarnation == node.incarnation &&
                node.staged < version) {
                fail("in force although a live daemon had not staged it");
            }
        }
    }

    void
    send(size_t from, const spread_action &action)
    {
        auto found = by_id.find(action.u.send.to.value);
        std::shared_ptr<GByteArray> bytes(
            g_byte_array_new(),
            [](GByteArray *array) { g_byte_array_free(array, TRUE); });
        int copies = chance(doubling) ? 2 : 1;

        if (found == by_id.end()) {
            fail("a message was sent to nobody");
            return;
        }
        spread_wire_pack(&action.u.send.message, bytes.get());
        for (int i = 0; i < copies; i++) {
            if (!chance(loss)) {
                flying.emplace(now + delay_us + random() % jitter_us,
                               Flight{found->second, from, bytes});
            }
        }
    }
};

} // namespace spread_net

#endif
