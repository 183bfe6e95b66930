/*
 * Tests cookie-based affinity under generated histories: several entry daemons
 * whose catalogs differ in age, packets of any flow at any daemon, targets
 * that appear, drain, leave, restart and are replaced at their address, and
 * tables that change while flows are open.
 *
 * Checked at every packet: a packet of an open flow is forwarded to the flow's
 * target and to no other, or dropped.  A drop is allowed only if the daemon's
 * catalog lacks the target, it is gone there, or its cookie clashes.  A flow
 * is reset only if its target is gone, or if it never opened.  A new flow is
 * placed only in a pool that its route names in the daemon's catalog, and
 * never on a target that is draining or gone there, except for retransmitted
 * first packets.
 */
#include <cstdlib>
#include <map>
#include <string>
#include <vector>

#include <rapidcheck.h>

extern "C" {
#include "../unit/catalog_fixture.h"
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
        fixture_ = {};
        fixture_.catalog = catalog_new();
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
        catalog_free(fixture_.catalog);
    }
    std::string run(const std::vector<uint32_t> &words);

  private:
    void change_catalog(uint32_t word);
    void push_update(Daemon &daemon);
    std::string send(uint32_t word);
    std::string check_new_flow(const Daemon &, const affinity_packet &,
                               const affinity_verdict &);
    std::string check_open_flow(const Daemon &, const Flow &,
                                const affinity_verdict &);

    catalog_fixture fixture_;
    std::vector<Daemon> daemons_;
    std::map<uint16_t, Flow> flows_;          /* by the caller's port */
    std::map<unsigned, uint64_t> live_hosts_; /* address -> host */
    uint64_t now_us_ = 1000000;
    uint64_t version_ = 0;
    uint64_t last_incarnation_ = 1000;
    uint64_t last_sequence_ = 0;
    uint64_t last_host_ = 0;
    uint16_t last_port_ = 0;
};

/* Apply the change selected by WORD to the catalog, but not to the
 * replicas. */
void
History::change_catalog(uint32_t word)
{
    unsigned address = word / 8 % ADDRESSES;
    uint64_t host = live_hosts_.count(address) ? live_hosts_[address] : 0;
    catalog_target target = make_target(
        host, last_incarnation_, ++last_sequence_, POOLS[word / 64 % 2]);

    target.address = 0x0a000000U + address;
    target.zone = word / 128 % DAEMONS;
    switch (word % 6) {
    case 0: /* another host at the address */
        target.host = ++last_host_;
        live_hosts_[address] = last_host_;
        target.incarnation = ++last_incarnation_;
        apply_target_command(&fixture_, CATALOG_ANNOUNCE, &target);
        break;
    case 1: /* the same host restarts */
        if (host != 0) {
            target.incarnation = ++last_incarnation_;
            apply_target_command(&fixture_, CATALOG_ANNOUNCE, &target);
        }
        break;
    case 2:
        if (host != 0) {
            target.state = CATALOG_DRAINING;
            target.incarnation =
                catalog_find_target(fixture_.catalog, host)->incarnation;
            apply_target_command(&fixture_, CATALOG_ANNOUNCE, &target);
        }
        break;
    case 3:
        if (host != 0) {
            apply_target_command(&fixture_, CATALOG_LEAVE, &target);
            live_hosts_.erase(address);
        }
        break;
    case 4:
        if (host != 0) {
            target.incarnation =
                catalog_find_target(fixture_.catalog, host)->incarnation;
            target.missing = word / 256 % 2 == 0;
            apply_target_command(&fixture_, CATALOG_PRESENCE, &target);
        }
        break;
    case 5:
        replace(&fixture_, version_ += 1 + word / 32 % 3, POOLS[word / 16 % 2],
                1 + word / 64 % 2);
        break;
    }
}

/* Update the replica of DAEMON to the current catalog. */
void
History::push_update(Daemon &daemon)
{
    GByteArray *bytes = g_byte_array_new();
    catalog_change changed;

    catalog_pack_update(fixture_.catalog, catalog_revision(daemon.replica),
                        CATALOG_FOR_ENTRY, bytes);
    catalog_merge(daemon.replica, bytes->data, bytes->len, &changed);
    affinity_core_catalog_changed(daemon.core, now_us_, daemon.replica);
    g_byte_array_unref(bytes);
}

/* Return the fault of the verdict on a first packet, or an empty string. */
std::string
History::check_new_flow(const Daemon &daemon, const affinity_packet &packet,
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
        return "a new flow went to a pool that its route does not name";
    }
    if (verdict.reason != AFFINITY_REPEATED &&
        verdict.target->state != CATALOG_READY) {
        return "a new flow went to a target that is draining or gone";
    }
    return "";
}

/* Return the fault of the verdict on a packet of FLOW, or an empty string. */
std::string
History::check_open_flow(const Daemon &daemon, const Flow &flow,
                         const affinity_verdict &verdict)
{
    const catalog_target *target =
        catalog_find_target(daemon.replica, flow.host);

    if (verdict.action == AFFINITY_FORWARD &&
        verdict.target->host != flow.host) {
        return "a packet of an open flow went to another target";
    }
    if (verdict.action == AFFINITY_RESET &&
        (target == nullptr || target->state != CATALOG_GONE)) {
        return "an open flow was reset though its target is not gone";
    }
    if (verdict.action == AFFINITY_DROP && target != nullptr &&
        target->state != CATALOG_GONE && !target->cookie_clashes) {
        return "a packet of an open flow was dropped";
    }
    return "";
}

/* Pass a packet of a new or an open flow to one daemon, all selected by WORD.
 * Return the fault found, or an empty string. */
std::string
History::send(uint32_t word)
{
    Daemon &daemon = daemons_[word % DAEMONS];
    bool new_flow = word / 4 % 3 == 0 || flows_.empty();
    affinity_packet packet = {};
    affinity_verdict verdict;
    auto flow = flows_.begin();

    packet.source = 0x64400001;
    packet.destination = ROUTE_ADDRESS;
    packet.destination_port = 1 + word / 16 % 2;
    packet.source_port = new_flow ? ++last_port_ : 0;
    packet.flags = new_flow ? AFFINITY_SYN : AFFINITY_ACK;
    if (!new_flow) {
        std::advance(flow, word / 16 % flows_.size());
        packet.source_port = flow->first;
        packet.cookie = flow->second.cookie;
        packet.payload = word / 1024 % 2 * 100;
        packet.acknowledged = word / 2048;
    }
    affinity_core_handle_packet(daemon.core, now_us_, daemon.replica, &packet,
                                &verdict);
    if (!new_flow) {
        return check_open_flow(daemon, flow->second, verdict);
    }
    if (verdict.action == AFFINITY_FORWARD) {
        flows_[packet.source_port] = {verdict.target->host,
                                      verdict.target->incarnation,
                                      verdict.target->cookie};
    }
    return check_new_flow(daemon, packet, verdict);
}

/* Run the history that WORDS determine; return the first fault, or an empty
 * string. */
std::string
History::run(const std::vector<uint32_t> &words)
{
    for (uint32_t word : words) {
        std::string fault;

        now_us_ += word / 4096 % 300000;
        if (word % 4 == 0) {
            change_catalog(word / 4);
        }
        else if (word % 4 == 1) {
            push_update(daemons_[word / 4 % DAEMONS]);
        }
        else {
            fault = send(word / 4);
        }
        affinity_core_tick(daemons_[word % DAEMONS].core, now_us_,
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
