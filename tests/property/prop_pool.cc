/*
 * Property test of the pool core with generated events: each address is in
 * one pool, no older incarnation returns, the limit of held targets is kept,
 * and refused events change nothing.
 */
#include <cstdlib>
#include <map>
#include <string>
#include <vector>

#include <rapidcheck.h>

extern "C" {
#include "base/hash.h"
#include "pool/pool.h"
}

static const unsigned ADDRESSES = 8;
static const unsigned POOLS = 2;
static const uint32_t BASE = 0x0a000001;

struct Seen {
    uint32_t incarnation = 0;
    unsigned pool = 0;
};

class History {
  public:
    explicit History(uint32_t seed) : seed_(seed)
    {
        pool_options options = {};

        options.seed = 1;
        core_ = pool_core_new(&options);
        for (unsigned pool = 0; pool < POOLS; pool++) {
            pool_event event = {};

            event.kind = POOL_EV_ROW_SET;
            event.u.row.id.value = 1 + pool;
            event.u.row.name = "name";
            step(event);
        }
    }
    ~History()
    {
        pool_core_free(core_);
        pool_actions_clear(&out_);
    }
    std::string run(const std::vector<uint32_t> &words);

  private:
    bool step(const pool_event &event);
    pool_event event_of(uint64_t word);
    std::string check(const pool_event &event, bool refused);
    std::string snapshot();

    uint32_t seed_;
    uint64_t now_ = 1000000;
    pool_core *core_;
    pool_actions out_ = {};
    std::map<uint32_t, Seen> seen_;
};

/* Step the core; returns true if it refused the event. */
bool
History::step(const pool_event &event)
{
    bool refused = false;

    out_.count = 0;
    pool_core_step(core_, now_, &event, &out_);
    for (size_t i = 0; i < out_.count; i++) {
        refused = refused || out_.items[i].kind == POOL_ACT_REFUSE;
    }
    return refused;
}

std::string
History::snapshot()
{
    std::string text;

    for (unsigned pool = 0; pool < POOLS; pool++) {
        pool_view view;

        if (!pool_core_view(core_, pool_id{1 + pool}, &view)) {
            continue;
        }
        for (size_t i = 0; i < view.target_count; i++) {
            const target_view &target = view.targets[i];

            text += std::to_string(pool) + " " +
                    std::to_string(target.key.address) + " " +
                    std::to_string(target.key.incarnation) + " " +
                    std::to_string(target.state) + " " +
                    std::to_string(target.weight) + "\n";
        }
    }
    return text;
}

pool_event
History::event_of(uint64_t word)
{
    pool_event event = {};
    target_key key = {BASE + (uint32_t)(word >> 8) % ADDRESSES,
                      1 + (uint32_t)(word >> 16) % 4};
    unsigned kind = word % 16;

    if (kind < 6) {
        pool_announcement &announcement = event.u.announce.announcement;

        event.kind = POOL_EV_ANNOUNCE;
        announcement.pool.value = 1 + (word >> 20) % 8 / 7;
        announcement.key = key;
        announcement.port = (word >> 24) % 32 != 0;
        announcement.slots = 2;
        announcement.state = (target_state)((word >> 32) % 3);
        event.u.announce.life_us = (word >> 40) % 3 == 0 ? 0 : 4000000;
    }
    else if (kind < 10) {
        event.kind = POOL_EV_EVIDENCE;
        event.u.evidence.pool.value = 1;
        event.u.evidence.key = key;
        event.u.evidence.answered = (word >> 32) % 4;
        event.u.evidence.refused = (word >> 34) % 3;
        event.u.evidence.unanswered = (word >> 36) % 8;
    }
    else if (kind < 13) {
        event.kind = POOL_EV_HEALTH;
        event.u.health.key = key;
        event.u.health.result = (pool_health)((word >> 32) % POOL_HEALTH__MAX);
    }
    else if (kind == 13) {
        event.kind = POOL_EV_LOAD;
        event.u.load.key = key;
        event.u.load.load = (double)((word >> 32) % 12) / 10;
    }
    else {
        now_ += (word >> 32) % 1500000;
        event.kind = POOL_EV_TICK;
    }
    return event;
}

/* Return which property is violated after EVENT, or an empty string. */
std::string
History::check(const pool_event &event, bool refused)
{
    std::map<uint32_t, unsigned> pools;

    for (unsigned pool = 0; pool < POOLS; pool++) {
        pool_view view;
        unsigned live = 0;
        unsigned held = 0;
        uint32_t last = 0;

        pool_core_view(core_, pool_id{1 + pool}, &view);
        for (size_t i = 0; i < view.target_count; i++) {
            const target_view &target = view.targets[i];
            Seen &seen = seen_[target.key.address];
            pool_announcement announcement;
            uint64_t life;
            bool is_live = pool_core_announcement(core_, target.key.address,
                                                  now_, &announcement, &life);

            if (target.key.address <= last) {
                return "the view is out of order";
            }
            last = target.key.address;
            if (pools[target.key.address]++ > 0) {
                return "an address is in two pools";
            }
            if (target.key.incarnation < seen.incarnation) {
                return "an older incarnation came back";
            }
            if (target.key.incarnation == seen.incarnation &&
                seen.pool != pool) {
                return "changed pools without a new incarnation";
            }
            seen.incarnation = target.key.incarnation;
            seen.pool = pool;
            if (target.weight == 0) {
                return "a weight of 0";
            }
            if (!is_live || target.state == TARGET_DRAINING) {
                continue;
            }
            live++;
            held += target.state == TARGET_DOWN;
        }
        if (event.kind == POOL_EV_TICK && held > 0 &&
            (held >= live || (held > 1 && held * 100 > live * 30))) {
            return "too many targets are held";
        }
    }
    if (event.kind == POOL_EV_ANNOUNCE && !refused &&
        event.u.announce.life_us == 0 &&
        event.u.announce.announcement.state == TARGET_DRAINING) {
        pool_view view;

        pool_core_view(core_, event.u.announce.announcement.pool, &view);
        for (size_t i = 0; i < view.target_count; i++) {
            if (view.targets[i].key.address ==
                    event.u.announce.announcement.key.address &&
                view.targets[i].state != TARGET_DRAINING) {
                return "draining was not seen at once";
            }
        }
    }
    return "";
}

std::string
History::run(const std::vector<uint32_t> &words)
{
    for (size_t i = 0; i < words.size(); i++) {
        uint64_t word = hash_pair(words[i] + i, seed_);
        std::string before = snapshot();
        pool_event event = event_of(word);
        bool refused = step(event);
        std::string violation = check(event, refused);

        if (refused && snapshot() != before) {
            return "a refused event changed a view";
        }
        if (!violation.empty()) {
            return violation;
        }
    }
    return "";
}

int
main()
{
    setenv("RC_PARAMS", "seed=20261204 max_success=10000 max_size=150", 0);
    return rc::check("the pool core keeps its rules",
                     [](uint32_t seed, const std::vector<uint32_t> &words) {
                         RC_ASSERT(History(seed).run(words) == "");
                     })
               ? 0
               : 1;
}
