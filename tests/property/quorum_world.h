/*
 * A few quorum cores with tables behind a faulty network, faulty disks and
 * drifting clocks, in simulated time; every promise is checked on the way.
 */
#ifndef PS_TESTS_QUORUM_WORLD_H
#define PS_TESTS_QUORUM_WORLD_H

#include <cstdint>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

extern "C" {
#include "fleet/fleet_assignment.h"
#include "base/hash.h"
#include "peer/quorum_wire.h"
#include "peer/table_wire.h"
#include "quorum/quorum_core.h"
#include "quorum/quorum_state.h"
#include "table/table_core.h"
}

enum class Op {
    Propose,    /* a new edit to node a */
    Resend,     /* earlier edit b to node a */
    Crash,      /* node a loses what it has not stored */
    Wipe,       /* node a crashes and its store is emptied */
    Restart,    /* node a, if it is down */
    Cut,        /* messages from a to b */
    Isolate,    /* node a from all others, both ways */
    IsolateIn,  /* nothing reaches node a */
    IsolateOut, /* nothing leaves node a */
    Heal,       /* all cuts */
    Loss,       /* a sixteenths of all messages */
    Delay,      /* up to longest_delays_ms[a] for each message */
    Slow,       /* writes of node a take b * 100 ms */
    FailDisk,   /* the next write of node a fails */
    Replace,    /* an empty node takes a's place; a itself runs on */
    Resign,     /* node a gives its lead up, if it leads */
    OpMax
};

struct Step {
    Op op;
    int a;
    int b;
    int wait_ms;
};

/* How often each kind of thing came about, to show that it is tested. */
struct Seen {
    uint64_t answers = 0;
    uint64_t leaders = 0;
    uint64_t admissions = 0;
    uint64_t installs = 0;
    uint64_t reads = 0;
    uint64_t reverted = 0;
    uint64_t wiped_between =
        0; /* stores lost while a number had two holders */
    uint64_t lease_lost = 0;
    uint64_t wipes = 0;
    uint64_t resigned = 0;
    uint64_t replaced = 0;
    uint64_t unknown = 0;
    uint64_t events = 0;
};

struct Write {
    uint64_t token;
    std::vector<quorum_record> records;
};

struct Node {
    daemon_id id = {0};
    quorum_core *core = nullptr; /* NULL while it is down */
    table_core *table = nullptr;
    quorum_stored disk;
    std::vector<Write> writes;
    uint64_t writes_due = 0;
    double rate = 1.0;
    uint64_t offset = 0;
    uint64_t life = 0; /* counts starts; events of an earlier one are void */
    uint64_t write_us = 2000;
    uint64_t checked = 0; /* commit index compared so far */
    bool fail_next = false;
    bool wiped = false;       /* and without a vote since */
    bool lost_before = false; /* not its voter's first store */
    uint64_t tenure = 0;      /* which holder of its voter's place it is */
    uint64_t known[5] = {};   /* tenures of others, as heard */
    /* With successions: */
    fleet_assignment views[5] = {};
    bool keeps = false;    /* replaced, and has its log and its vote yet */
    bool admitted = false; /* some log admits its store */
};

enum class Due {
    Tick,
    Message,
    Written,
    Restart
};

struct Event {
    uint64_t at;
    uint64_t order;
    int node;
    uint64_t life; /* not read for messages: they reach any life */
    Due due;
    std::shared_ptr<std::string> bytes;
    uint64_t tenure; /* of a message's sender */
    uint32_t sender; /* its address */
    std::shared_ptr<std::vector<fleet_assignment>> views; /* its, or NULL */
    bool
    operator<(const Event &other) const
    {
        return at != other.at ? at > other.at : order > other.order;
    }
};

struct Answer {
    table_reason reason = TABLE_ACCEPTED;
    uint64_t version = 0;
    std::string message;
    bool
    operator==(const Answer &other) const
    {
        return reason == other.reason && version == other.version &&
               message == other.message;
    }
};

struct World {
    World(size_t count, uint64_t seed);
    ~World();
    World(const World &) = delete;
    World &operator=(const World &) = delete;

    void run(const std::vector<Step> &);
    void finish(); /* heal all, and check what must come back */

    std::string broken; /* the first promise found broken */
    Seen seen;

    size_t count; /* of voters */
    /* A replaced node keeps its vote until its successor votes, and who is
     * written to follows from what daemons tell each other. */
    bool successions = false;
    /* Stores may be lost also while a successor is about to be admitted. */
    bool wipes_at_admission = false;
    std::vector<Node> nodes; /* the voters, then those that were replaced */
    std::priority_queue<Event> events;
    std::mt19937_64 random;
    uint64_t now = 1000000; /* microseconds */
    uint64_t order = 0;
    bool cut[10][10] = {};
    int loss = 0;
    uint64_t delay_us = 1000;
    bool formed = false;     /* every node has voted at some time */
    bool early_wipe = false; /* a store was lost before that */
    uint64_t next_request = 1;
    uint64_t newest = 0; /* highest table version seen by the operator */
    std::vector<std::string> edits;       /* bytes, by number */
    std::vector<std::string> edit_ids;    /* by number */
    std::map<uint64_t, size_t> requests;  /* to edit number */
    std::map<size_t, Answer> answers;     /* first, by edit number */
    std::map<uint64_t, Answer> results;   /* by log index */
    std::map<uint64_t, uint64_t> leaders; /* by term */
    std::map<uint64_t, std::pair<uint64_t, uint64_t>> committed;
    std::map<std::pair<uint64_t, uint64_t>, std::pair<uint64_t, uint64_t>>
        entries;                 /* (index, term) to (content, term before) */
    uint64_t answered_index = 0; /* highest log index answered for */

    uint64_t local(const Node &) const;
    size_t draw(size_t below);
    void fail(const std::string &);
    void push(uint64_t at, int node, Due,
              std::shared_ptr<std::string> = nullptr, uint64_t tenure = 0);
    bool is_heard(Node &, const quorum_message &, uint64_t tenure);
    void start(int);
    void stop(int, bool wipe);
    void persist(Node &, const quorum_record &);
    void until(uint64_t time);
    void step(int, const quorum_event &);
    void carry_out(int, quorum_action &);
    void send(int from, daemon_id to, const quorum_message &);
    void installed(Node &, const quorum_snapshot *);
    void written(int);
    void applied(int, const quorum_entry *);
    void propose(int, size_t edit);
    void new_edit();
    void apply_op(const Step &);
    void isolate(int, bool in, bool out);
    bool may_lose(int);
    void replace(int);
    uint32_t address_of(int) const;
    int node_at(uint32_t address) const;
    void begin_successions();
    void succeed(int a, int leader);
    void take_back(int);
    void consider_former(int at);
    void follow(int at);
    void learn(int at, const fleet_assignment *views);
    void send_heartbeat(int from, int to);
    bool heard_of(int at, const Event &, const quorum_message &);
    bool has_lost_vote(int) const;
    bool admission_is_near() const;
    bool is_unsettled(int) const;
    bool has_nothing_to_lose(int) const;
    void wipe_former(int);
    void send_to_holders(int from, daemon_id to, const quorum_message &);
    void transmit(int from, int at, const quorum_message &);
    void check(int);
    void check_reads();
    void check_logs();
    bool settled();
};

#endif
