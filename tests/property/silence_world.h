/*
 * One entry daemon, its targets and callers with long-lived flows, on a network
 * that loses packets.  Used to test when a target is taken for dead.
 */
#ifndef PS_TESTS_SILENCE_WORLD_H
#define PS_TESTS_SILENCE_WORLD_H

#include <cstdint>
#include <map>
#include <random>
#include <vector>

extern "C" {
#include "../unit/catalog_fixture.h"
#include "affinity/affinity.h"
}

static const uint64_t MS = 1000;
static const uint64_t STEP_US = 5 * MS;
static const uint64_t PROBES_US = 20 * MS; /* between looks for probes */
static const uint64_t TICK_US = 100 * MS;
static const uint64_t GIVE_UP_US = 1500 * MS;   /* a caller's time limit */
static const uint64_t RETRANSMIT_US = 200 * MS; /* doubles each time */

/* How a target behaves. */
enum class Target {
    Prompt, /* answers after 5 to 40 ms */
    Queues, /* accepts everything, answers after up to 2 s */
    Paused, /* stands still for 200 ms each second, and goes on */
    Dead,   /* answers nothing after DEATH_US */
};

/* When dead targets die: the daemon knows its targets by then. */
static const uint64_t DEATH_US = 3000 * MS;

/* A caller's flow: one request at a time. */
struct Caller {
    uint16_t port = 0;
    uint64_t host = 0; /* of the target; 0 if the flow is not open */
    uint32_t cookie = 0;
    uint32_t sequence = 0;
    uint32_t acknowledged = 0;
    uint64_t asked_us = 0;  /* 0: idle */
    uint64_t next_us = 0;   /* next request or retransmission */
    uint64_t wait_us = 0;   /* until the next retransmission */
    uint64_t answer_us = 0; /* when the answer arrives; 0 if none will */
};

class SilenceWorld {
  public:
    SilenceWorld(const std::vector<Target> &targets, double loss,
                 unsigned callers, uint32_t seed);
    ~SilenceWorld();
    SilenceWorld(const SilenceWorld &) = delete;
    SilenceWorld &operator=(const SilenceWorld &) = delete;
    void run(uint64_t until_us);

    std::map<uint64_t, uint64_t> silent; /* host -> time of the belief */
    /* Host of a dead target -> time of the first request to it. */
    std::map<uint64_t, uint64_t> unanswered;
    unsigned resets = 0;
    unsigned asked = 0;

  private:
    struct Outcome {
        affinity_probe probe;
        affinity_probe_outcome outcome;
        uint64_t at_us;
        uint64_t took_us;
    };

    bool
    lost()
    {
        return draw_(random_) < loss_;
    }
    bool stands_still(uint64_t host) const;
    uint64_t work_us(uint64_t host);
    affinity_verdict send(Caller &, unsigned flags, uint16_t payload);
    void ask(Caller &);
    void step_caller(Caller &);
    void give_up(Caller &);
    void open(Caller &);
    void probe();
    void reset_flows();

    catalog_fixture fixture_ = {};
    affinity_core *core_;
    std::vector<Target> targets_;
    double loss_;
    std::vector<Caller> callers_;
    std::vector<Outcome> outcomes_;
    std::mt19937 random_;
    std::uniform_real_distribution<double> draw_{0, 1};
    uint64_t now_us_ = 1000 * MS;
    uint16_t last_port_ = 1000;
};

inline SilenceWorld::SilenceWorld(const std::vector<Target> &targets,
                                  double loss, unsigned callers, uint32_t seed)
    : targets_(targets), loss_(loss), callers_(callers), random_(seed)
{
    affinity_options options = {};

    options.seed = seed;
    options.zone = 1;
    fixture_.catalog = catalog_new();
    core_ = affinity_core_new(&options);
    replace(&fixture_, 1, "desk", 1);
    for (size_t i = 0; i < targets_.size(); i++) {
        announce(&fixture_, i + 1, 100, 1, "desk");
    }
    affinity_core_catalog_changed(core_, now_us_, fixture_.catalog);
    for (Caller &caller : callers_) {
        caller.next_us = now_us_ + (uint64_t)(draw_(random_) * 1e6);
    }
}

inline SilenceWorld::~SilenceWorld()
{
    affinity_core_free(core_);
    catalog_free(fixture_.catalog);
}

/* Return true if the target on HOST takes nothing in at present. */
inline bool
SilenceWorld::stands_still(uint64_t host) const
{
    switch (targets_[host - 1]) {
    case Target::Prompt:
    case Target::Queues:
        return false;
    case Target::Paused:
        return (now_us_ + host * 300 * MS) % (1000 * MS) < 200 * MS;
    case Target::Dead:
        return now_us_ >= DEATH_US;
    }
    return false;
}

/* Return the time until the target on HOST answers a request. */
inline uint64_t
SilenceWorld::work_us(uint64_t host)
{
    uint64_t longest =
        targets_[host - 1] == Target::Queues ? 2000 * MS : 40 * MS;

    return 5 * MS + (uint64_t)(draw_(random_) * (double)longest);
}

/* Pass a packet of CALLER to the daemon and return the verdict. */
inline affinity_verdict
SilenceWorld::send(Caller &caller, unsigned flags, uint16_t payload)
{
    affinity_packet packet = {};
    affinity_verdict verdict;

    packet.source = 0x64400001;
    packet.source_port = caller.port;
    packet.destination = ROUTE_ADDRESS;
    packet.destination_port = 1;
    packet.flags = flags;
    packet.cookie = caller.cookie;
    packet.sequence = caller.sequence;
    packet.acknowledged = caller.acknowledged;
    packet.payload = payload;
    affinity_core_handle_packet(core_, now_us_, fixture_.catalog, &packet,
                                &verdict);
    return verdict;
}

/* Open a flow; the handshake is not delayed, and tried again if it is lost. */
inline void
SilenceWorld::open(Caller &caller)
{
    affinity_verdict verdict;

    caller = Caller();
    caller.port = ++last_port_;
    caller.next_us = now_us_ + 50 * MS;
    verdict = send(caller, AFFINITY_SYN, 0);
    if (verdict.action != AFFINITY_FORWARD || lost() || lost() ||
        stands_still(verdict.target->host)) {
        return;
    }
    caller.host = verdict.target->host;
    caller.cookie = verdict.target->cookie;
    caller.sequence = 1;
    caller.acknowledged = 1;
    send(caller, AFFINITY_ACK, 0);
}

/* Send the request of CALLER, or send it again. */
inline void
SilenceWorld::ask(Caller &caller)
{
    bool forwarded =
        !lost() && send(caller, AFFINITY_ACK, 100).action == AFFINITY_FORWARD;
    bool reaches = forwarded && !lost() && !stands_still(caller.host);

    if (forwarded && targets_[caller.host - 1] == Target::Dead &&
        now_us_ >= DEATH_US) {
        unanswered.emplace(caller.host, now_us_);
    }
    if (reaches && caller.answer_us == 0) {
        caller.answer_us = now_us_ + work_us(caller.host);
    }
    else if (reaches) {
        caller.wait_us = GIVE_UP_US; /* a copy is acknowledged at once */
    }
    caller.next_us = now_us_ + caller.wait_us;
    caller.wait_us *= 2;
}

/* End the flow of CALLER, which has waited for too long. */
inline void
SilenceWorld::give_up(Caller &caller)
{
    if (!lost()) {
        send(caller, AFFINITY_ACK | AFFINITY_RST, 0);
    }
    caller.host = 0;
    caller.next_us = now_us_ + 50 * MS;
}

/* Let CALLER do what is due. */
inline void
SilenceWorld::step_caller(Caller &caller)
{
    if (caller.host != 0 && caller.answer_us != 0 &&
        now_us_ >= caller.answer_us) {
        if (lost() || stands_still(caller.host)) {
            caller.answer_us += RETRANSMIT_US; /* the target sends it again */
            return;
        }
        caller.sequence += 100;
        caller.acknowledged += 500;
        caller.asked_us = 0;
        caller.answer_us = 0;
        caller.next_us = now_us_ + (uint64_t)(draw_(random_) * 2e6);
        if (!lost()) {
            send(caller, AFFINITY_ACK, 0);
        }
        return;
    }
    if (now_us_ < caller.next_us) {
        return;
    }
    if (caller.host == 0) {
        open(caller);
        return;
    }
    if (caller.asked_us == 0) {
        caller.asked_us = now_us_;
        caller.wait_us = RETRANSMIT_US;
        asked++;
    }
    else if (now_us_ - caller.asked_us >= GIVE_UP_US) {
        give_up(caller);
        return;
    }
    ask(caller);
}

/* Open the connections that are due, and report the outcomes of earlier
 * ones. */
inline void
SilenceWorld::probe()
{
    affinity_probe due[64];
    std::vector<Outcome> open;

    for (const Outcome &outcome : outcomes_) {
        if (now_us_ >= outcome.at_us) {
            affinity_core_record_probe(core_, now_us_, &outcome.probe,
                                       outcome.outcome, outcome.took_us);
        }
        else {
            open.push_back(outcome);
        }
    }
    outcomes_ = open;
    size_t count = affinity_core_due_probes(core_, now_us_, fixture_.catalog,
                                            due, G_N_ELEMENTS(due));
    for (size_t i = 0; i < count; i++) {
        bool connects = !stands_still(due[i].host) && !lost() && !lost();
        uint64_t took_us = connects ? 1 * MS : due[i].timeout_us;

        outcomes_.push_back(
            {due[i],
             connects ? AFFINITY_PROBE_CONNECTED : AFFINITY_PROBE_TIMED_OUT,
             now_us_ + took_us, took_us});
    }
}

/* Note the targets taken for dead, and end the flows that are reset. */
inline void
SilenceWorld::reset_flows()
{
    affinity_belief belief;
    affinity_packet packet;

    while (affinity_core_next_belief(core_, &belief)) {
        if (belief.kind == AFFINITY_BELIEF_SILENT) {
            silent.emplace(belief.host, now_us_);
        }
    }
    while (affinity_core_next_reset(core_, &packet)) {
        resets++;
        for (Caller &caller : callers_) {
            if (caller.port == packet.source_port) {
                caller.host = 0;
                caller.next_us = now_us_ + 50 * MS;
            }
        }
    }
}

/* Let time pass until UNTIL_US. */
inline void
SilenceWorld::run(uint64_t until_us)
{
    while (now_us_ < until_us) {
        now_us_ += STEP_US;
        for (Caller &caller : callers_) {
            step_caller(caller);
        }
        if (now_us_ % TICK_US == 0) {
            affinity_core_tick(core_, now_us_, fixture_.catalog);
        }
        if (now_us_ % PROBES_US == 0) {
            probe();
        }
        reset_flows();
    }
}

#endif
