/*
 * Affinity by cookie under generated histories: several entry daemons whose
 * catalogs differ in age, packets of any flow at any daemon, targets that
 * come, drain, leave, start again and hand their addresses on, tables that
 * change while flows are open.
 *
 * Checked at every packet: a packet of an open flow reaches the flow's target
 * and no other, or waits; a reset comes only when the target has ended or the
 * flow never opened; an opening goes only to a pool that its route names in
 * the daemon's catalog, and never to a target that drains there.
 */
#include <cstdlib>
#include <map>
#include <string>
#include <vector>

#include <rapidcheck.h>

extern "C" {
#include "../unit/catalog_script.h"
#include "affinity/affinity.h"
}

static const unsigned DAEMONS = 3;
static const unsigned ADDRESSES = 5;
static const char *const POOLS[] = {"desk", "intake"};

struct Flow {
    uint64_t host;
    uint64_t incarnation;
    uint32_t cookie;
};

struct Daemon {
    catalog *replica;
    affinity_core *core;
};

class History {
  public:
    explicit History(uint32_t seed)
    {
        script_ = {};
        script_.catalog = catalog_new();
        for (unsigned i = 0; i < DAEMONS; i++) {
            affinity_options options = {};

            options.seed = seed + i;
            options.zone = i;
            daemons_.push_back({catalog_new(), affinity_core_new(&options)});
        }
    }
    ~History()
    {
        for (Daemon &daemon : daemons_) {
            affinity_core_free(daemon.core);
            catalog_free(daemon.replica);
        }
        catalog_free(script_.catalog);
    }
    std::string run(const std::vector<uint32_t> &words);

  private:
    void change(uint32_t word);
    void feed(Daemon &daemon);
    std::string send(uint32_t word);
    std::string check_opening(const Daemon &, const affinity_packet &,
                              const affinity_verdict &);
    std::string check_packet(const Daemon &, const Flow &,
                             const affinity_verdict &);

    script script_;
    std::vector<Daemon> daemons_;
    std::map<uint16_t, Flow> flows_;      /* by the caller's port */
    std::map<unsigned, uint64_t> living_; /* address -> host */
    uint64_t now_ = 1000000;
    uint64_t version_ = 0;
    uint64_t born_ = 1000;
    uint64_t sequence_ = 0;
    uint64_t host_ = 0;
    uint16_t port_ = 0;
};

/* A change of the fleet, committed at once and fed to nobody yet. */
void
History::change(uint32_t word)
{
    unsigned address = word / 8 % ADDRESSES;
    uint64_t host = living_.count(address) ? living_[address] : 0;
    catalog_target target =
        target_of(host, born_, ++sequence_, POOLS[word / 64 % 2]);

    target.address = 0x0a000000U + address;
    target.zone = word / 128 % DAEMONS;
    switch (word % 6) {
    case 0: /* another host at the address */
        target.host = ++host_;
        living_[address] = host_;
        target.incarnation = ++born_;
        tell(&script_, CATALOG_ANNOUNCE, &target);
        break;
    case 1: /* the same host starts again */
        if (host != 0) {
            target.incarnation = ++born_;
            tell(&script_, CATALOG_ANNOUNCE, &target);
        }
        break;
    case 2:
        if (host != 0) {
            target.state = CATALOG_DRAINING;
            target.incarnation =
                catalog_find_target(script_.catalog, host)->incarnation;
            tell(&script_, CATALOG_ANNOUNCE, &target);
        }
        break;
    case 3:
        if (host != 0) {
            tell(&script_, CATALOG_LEAVE, &target);
            living_.erase(address);
        }
        break;
    case 4:
        if (host != 0) {
            target.incarnation =
                catalog_find_target(script_.catalog, host)->incarnation;
            target.missing = word / 256 % 2 == 0;
            tell(&script_, CATALOG_PRESENCE, &target);
        }
        break;
    case 5:
        replace(&script_, version_ += 1 + word / 32 % 3, POOLS[word / 16 % 2],
                1 + word / 64 % 2);
        break;
    }
}

/* A daemon gets what it lacks. */
void
History::feed(Daemon &daemon)
{
    GByteArray *bytes = g_byte_array_new();
    catalog_change changed;

    catalog_pack_update(script_.catalog, catalog_revision(daemon.replica),
                        CATALOG_FOR_ENTRY, bytes);
    catalog_merge(daemon.replica, bytes->data, bytes->len, &changed);
    affinity_core_catalog(daemon.core, now_, daemon.replica);
    g_byte_array_unref(bytes);
}

std::string
History::check_opening(const Daemon &daemon, const affinity_packet &packet,
                       const affinity_verdict &verdict)
{
    const catalog_route *route = catalog_find_route(
        daemon.replica,
        catalog_endpoint_key(packet.destination, packet.destination_port));

    if (verdict.action != AFFINITY_FORWARD) {
        return "";
    }
    if (route == nullptr ||
        route->splits[0].pool.value != verdict.target->pool.value) {
        return "an opening went to a pool that its route does not name";
    }
    if (verdict.reason != AFFINITY_REPEATED &&
        verdict.target->state != CATALOG_READY) {
        return "an opening went to a target that drains or is gone";
    }
    return "";
}

std::string
History::check_packet(const Daemon &daemon, const Flow &flow,
                      const affinity_verdict &verdict)
{
    const catalog_target *known =
        catalog_find_target(daemon.replica, flow.host);

    if (verdict.action == AFFINITY_FORWARD &&
        verdict.target->host != flow.host) {
        return "a packet of an open flow went to another target";
    }
    if (verdict.action == AFFINITY_RESET &&
        (known == nullptr || known->state != CATALOG_GONE)) {
        return "an open flow was reset though its target has not ended";
    }
    if (verdict.action == AFFINITY_DROP && known != nullptr &&
        known->state != CATALOG_GONE && !known->cookie_clashes) {
        return "a packet of an open flow was dropped";
    }
    return "";
}

/* A packet at any daemon: an opening, a copy of one, or of an open flow. */
std::string
History::send(uint32_t word)
{
    Daemon &daemon = daemons_[word % DAEMONS];
    bool opening = word / 4 % 3 == 0 || flows_.empty();
    affinity_packet packet = {};
    affinity_verdict verdict;
    auto flow = flows_.begin();

    packet.source = 0x64400001;
    packet.destination = ROUTE_ADDRESS;
    packet.destination_port = 1 + word / 16 % 2;
    packet.source_port = opening ? ++port_ : 0;
    packet.flags = opening ? AFFINITY_SYN : AFFINITY_ACK;
    if (!opening) {
        std::advance(flow, word / 16 % flows_.size());
        packet.source_port = flow->first;
        packet.cookie = flow->second.cookie;
        packet.payload = word / 1024 % 2 * 100;
        packet.acknowledged = word / 2048;
    }
    affinity_core_packet(daemon.core, now_, daemon.replica, &packet, &verdict);
    if (!opening) {
        return check_packet(daemon, flow->second, verdict);
    }
    if (verdict.action == AFFINITY_FORWARD) {
        flows_[packet.source_port] = {verdict.target->host,
                                      verdict.target->incarnation,
                                      verdict.target->cookie};
    }
    return check_opening(daemon, packet, verdict);
}

std::string
History::run(const std::vector<uint32_t> &words)
{
    for (uint32_t word : words) {
        std::string fault;

        now_ += word / 4096 % 300000;
        if (word % 4 == 0) {
            change(word / 4);
        }
        else if (word % 4 == 1) {
            feed(daemons_[word / 4 % DAEMONS]);
        }
        else {
            fault = send(word / 4);
        }
        affinity_core_tick(daemons_[word % DAEMONS].core, now_,
                           daemons_[word % DAEMONS].replica);
        if (!fault.empty()) {
            return fault;
        }
    }
    return "";
}

int
main()
{
    setenv("RC_PARAMS", "seed=20261204 max_success=12000 max_size=150", 0);
    return rc::check("cookies keep flows on their targets",
                     [](const std::vector<uint32_t> &words, uint32_t seed) {
                         RC_ASSERT(History(seed).run(words) == "");
                     })
               ? 0
               : 1;
}
