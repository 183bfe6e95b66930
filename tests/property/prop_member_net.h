/*
 * A deterministic carrier of datagrams between membership cores in one
 * process: loss, delay, doubling, cuts in one direction, crashes, pauses.
 */
#ifndef PS_TESTS_PROP_MEMBER_NET_H
#define PS_TESTS_PROP_MEMBER_NET_H

#include <cstring>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "member/member.h"
#include "peer/member_wire.h"
}

namespace member_net {

constexpr uint64_t TICK_US = 50'000;
constexpr uint64_t SECOND_US = 1'000'000;
constexpr uint32_t BASE_ADDRESS = 0x7f000100;

struct Node {
    member_core *core = nullptr;
    std::string name, zone;
    uint32_t address = 0;
    uint64_t starts = 0;
    uint64_t paused_until = 0;
    uint64_t changes = 0; /* of the state of another daemon in its view */
    std::map<uint64_t, daemon_state> seen;
    uint64_t false_deaths = 0; /* of daemons that run */
};

class Net {
  public:
    double loss = 0;
    double doubling = 0;
    uint64_t delay_us = 1000;
    uint64_t jitter_us = 2000;
    uint64_t now = SECOND_US;
    uint64_t bytes = 0, datagrams = 0, largest = 0;
    bool through_wire = false;
    bool pause_drops = false; /* what a paused daemon is sent is lost */
    std::vector<Node> nodes;
    std::set<std::pair<size_t, size_t>> cuts;

    Net(size_t count, size_t zones, uint64_t seed) : random(seed)
    {
        for (size_t i = 0; i < count; i++) {
            Node node;

            node.name = "daemon-" + std::to_string(i);
            node.zone = "zone-" + std::to_string(i % zones);
            node.address = BASE_ADDRESS + (uint32_t)i;
            nodes.push_back(node);
            by_id[view_daemon_id(node.name.c_str()).value] = i;
        }
    }

    ~Net()
    {
        for (auto &node : nodes) {
            member_core_free(node.core);
        }
        member_actions_clear(&actions);
    }

    Net(const Net &) = delete;
    Net &operator=(const Net &) = delete;

    void
    start(size_t index)
    {
        Node &node = nodes[index];
        uint32_t seeds[2] = {nodes[0].address, nodes.back().address};
        member_options options = {};

        options.name = node.name.c_str();
        options.zone = node.zone.c_str();
        options.address = node.address;
        options.incarnation = now / 1000;
        options.entry = true;
        options.seeds = seeds;
        options.seed_count = 2;
        options.seed = random();
        node.core = member_core_new(&options);
        node.starts++;
        node.seen.clear();
    }

    void
    crash(size_t index)
    {
        member_core_free(nodes[index].core);
        nodes[index].core = nullptr;
    }

    bool
    up(size_t index) const
    {
        return nodes[index].core != nullptr;
    }

    void
    event(size_t index, member_event_kind kind)
    {
        member_event event = {};

        event.kind = kind;
        step(index, event);
    }

    /* Let DURATION of simulated time pass. */
    void
    run(uint64_t duration)
    {
        uint64_t end = now + duration;

        while (now < end) {
            now += TICK_US;
            deliver();
            for (size_t i = 0; i < nodes.size(); i++) {
                if (up(i) && nodes[i].paused_until <= now) {
                    event(i, MEMBER_EV_TICK);
                }
            }
        }
    }

    daemon_state
    state(size_t viewer, size_t subject) const
    {
        size_t count;
        const daemon_view *view =
            member_core_daemons(nodes[viewer].core, &count);
        daemon_id id = view_daemon_id(nodes[subject].name.c_str());

        for (size_t i = 0; i < count; i++) {
            if (view[i].id.value == id.value) {
                return view[i].state;
            }
        }
        return DAEMON__MAX;
    }

    /* Whether each running daemon sees the others as they are. */
    bool
    converged() const
    {
        for (size_t i = 0; i < nodes.size(); i++) {
            for (size_t j = 0; up(i) && j < nodes.size(); j++) {
                daemon_state seen = state(i, j);

                if (up(j) ? seen != DAEMON_ALIVE
                          : (seen != DAEMON_DEAD && seen != DAEMON__MAX)) {
                    return false;
                }
            }
        }
        return true;
    }

    /* Run until converged() holds or LIMIT has passed; the time taken. */
    uint64_t
    settle(uint64_t limit)
    {
        uint64_t start_us = now;

        while (!converged() && now - start_us < limit) {
            run(TICK_US);
        }
        return now - start_us;
    }

    uint64_t
    false_deaths() const
    {
        uint64_t sum = 0;

        for (const auto &node : nodes) {
            sum += node.false_deaths;
        }
        return sum;
    }

  private:
    struct Datagram {
        size_t to;
        uint32_t from_address;
        std::shared_ptr<member_message> message;
    };

    std::mt19937_64 random;
    std::multimap<uint64_t, Datagram> flying;
    std::map<uint64_t, size_t> by_id;
    member_actions actions = {};

    bool
    chance(double probability)
    {
        return probability > 0 &&
               (double)(random() >> 11) / (double)(1ULL << 53) < probability;
    }

    void
    deliver()
    {
        while (!flying.empty() && flying.begin()->first <= now) {
            auto [due, datagram] = *flying.begin();
            Node &node = nodes[datagram.to];
            member_event event = {};

            flying.erase(flying.begin());
            if (!up(datagram.to)) {
                continue;
            }
            if (node.paused_until > now && pause_drops) {
                continue;
            }
            if (node.paused_until > now) {
                flying.emplace(node.paused_until, datagram);
                continue;
            }
            event.kind = MEMBER_EV_MESSAGE;
            event.u.message.from_address = datagram.from_address;
            event.u.message.message = datagram.message.get();
            step(datagram.to, event);
        }
    }

    void
    step(size_t index, const member_event &event)
    {
        actions.count = 0;
        member_core_step(nodes[index].core, now, &event, &actions);
        for (size_t i = 0; i < actions.count; i++) {
            const member_action &action = actions.items[i];

            if (action.kind == MEMBER_ACT_SEND) {
                send(index, action);
            }
            else {
                look(index);
            }
        }
    }

    /* Note what INDEX's view says anew. */
    void
    look(size_t index)
    {
        Node &node = nodes[index];
        size_t count;
        const daemon_view *view = member_core_daemons(node.core, &count);

        for (size_t i = 0; i < count; i++) {
            auto found = node.seen.find(view[i].id.value);
            bool first = found == node.seen.end();

            if (!first && found->second == view[i].state) {
                continue;
            }
            if (view[i].state == DAEMON_DEAD && !first &&
                up(by_id[view[i].id.value])) {
                node.false_deaths++;
            }
            node.changes++;
            node.seen[view[i].id.value] = view[i].state;
        }
    }

    void
    send(size_t from, const member_action &action)
    {
        size_t to = action.u.send.address - BASE_ADDRESS;
        auto message = std::make_shared<member_message>(action.u.send.message);
        int copies = chance(doubling) ? 2 : 1;

        if (to >= nodes.size()) {
            return;
        }
        if (through_wire) {
            GByteArray *packed = g_byte_array_new();

            member_wire_pack(&action.u.send.message, packed);
            bytes += packed->len;
            datagrams++;
            largest = std::max<uint64_t>(largest, packed->len);
            if (!member_wire_unpack(packed->data, packed->len,
                                    message.get())) {
                largest = UINT64_MAX;
            }
            g_byte_array_free(packed, TRUE);
        }
        for (int i = 0; i < copies; i++) {
            if (cuts.count({from, to}) != 0 || chance(loss)) {
                continue;
            }
            flying.emplace(now + delay_us +
                               (jitter_us > 0 ? random() % jitter_us : 0),
                           Datagram{to, nodes[from].address, message});
        }
    }
};

} // namespace member_net

#endif
