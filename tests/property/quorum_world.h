/*
 * A simulated cluster of quorum cores with their tables, a faulty network,
 * faulty disks and drifting clocks.  All invariants are checked while it runs.
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

/* The operations of a schedule; a and b are the arguments of the step. */
enum class Op {
    Propose,    /* propose a new edit to node a and to all leaders */
    Resend,     /* propose the earlier edit b again to all nodes */
    Crash,      /* node a crashes and loses what it has not stored */
    Wipe,       /* node a crashes and its store is lost */
    Restart,    /* start node a if it is down */
    Cut,        /* drop messages from a to b */
    Isolate,    /* drop all messages to and from node a */
    IsolateIn,  /* drop all messages to node a */
    IsolateOut, /* drop all messages from node a */
    Heal,       /* end all cuts */
    Loss,       /* drop a sixteenths of all messages */
    Delay,      /* delay each message by up to longest_delays_ms[a] */
    Slow,       /* writes of node a take 2 ms + b * 100 ms on average */
    FailDisk,   /* the next write of node a fails */
    Replace,    /* an empty node replaces a; a itself continues to run */
    Resign,     /* node a resigns if it is the leader */
    OpMax
};

/* One operation and the time to wait after it. */
struct Step {
    Op op;
    int a;
    int b;
    int wait_ms;
};

/* How often each case occurred, to show that it is tested. */
struct Counts {
    uint64_t answers = 0;
    uint64_t leaders = 0;
    uint64_t admissions = 0;
    uint64_t installs = 0;
    uint64_t reads = 0;
    uint64_t restored = 0; /* former assignees assigned again */
    /* Stores lost while a voter number had two assignees. */
    uint64_t wiped_during_replacement = 0;
    uint64_t lease_lost = 0;
    uint64_t wipes = 0;
    uint64_t resigned = 0;
    uint64_t replaced = 0;
    uint64_t unknown_outcomes = 0;
    uint64_t events = 0;
};

/* A store action that is not complete yet. */
struct Write {
    uint64_t token;
    std::vector<quorum_record> records;
};

/* A daemon with a core, a table, a disk and a clock. */
struct Node {
    daemon_id id = {0};
    quorum_core *core = nullptr; /* NULL while it is down */
    table_core *table = nullptr;
    quorum_stored disk;
    std::vector<Write> writes;   /* oldest first */
    uint64_t last_write_due = 0; /* when the latest of `writes` completes */
    double clock_rate = 1.0;     /* of its clock, relative to `now` */
    uint64_t clock_offset = 0;
    /* Counts starts and stops; events of an earlier generation are ignored. */
    uint64_t generation = 0;
    uint64_t write_time_us = 2000; /* average */
    uint64_t checked_index = 0;    /* committed entries compared so far */
    bool fail_next_write = false;
    bool wiped_without_vote = false; /* store lost, and no vote since */
    bool store_lost_before = false;  /* not the first store of its voter */
    /* Number of its assignment to the voter number; a later one is higher. */
    uint64_t assignment = 0;
    uint64_t known_assignments[5] = {}; /* by voter, from received messages */
    /* The members below are used with World::tracks_assignments. */
    fleet_assignment views[5] = {}; /* by voter, as this node knows them */
    bool keeps_vote = false;     /* replaced, but still has its log and vote */
    bool store_admitted = false; /* the log of some node admits its store */
};

/* What an event in the simulation does. */
enum class EventKind {
    Tick,
    Message,
    Written,
    Restart
};

/* An event for one node; the earliest one is handled first. */
struct Event {
    uint64_t at;
    uint64_t order;
    int node;
    uint64_t generation; /* of the node; not compared for messages */
    EventKind kind;
    std::shared_ptr<std::string> bytes;
    uint64_t assignment; /* of a message's sender */
    uint32_t sender;     /* address of a message's sender */
    std::shared_ptr<std::vector<fleet_assignment>>
        views; /* sender's, or NULL */
    bool
    operator<(const Event &other) const
    {
        return at != other.at ? at > other.at : order > other.order;
    }
};

/* The result of an edit as the operator receives it. */
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

/*
 * The simulation.  nodes[0] to nodes[count - 1] are the current assignees of
 * the voter numbers; nodes[i + count] is the former assignee that nodes[i]
 * replaced, if there is one.
 */
struct World {
    World(size_t count, uint64_t seed);
    ~World();
    World(const World &) = delete;
    World &operator=(const World &) = delete;

    void run(const std::vector<Step> &);
    void finish(); /* end all faults, and check that the cluster recovers */

    std::string violation; /* the first violated invariant; empty if none */
    Counts counts;

    size_t count; /* of voters */
    /* A replaced node keeps its vote until its successor votes, and the nodes
     * that a message is sent to follow from the voter assignments which the
     * daemons report to each other. */
    bool tracks_assignments = false;
    /* Stores may be lost even while a successor is about to be admitted. */
    bool wipes_at_admission = false;
    std::vector<Node> nodes; /* current assignees, then former ones */
    std::priority_queue<Event> events;
    std::mt19937_64 random;
    uint64_t now = 1000000; /* microseconds */
    uint64_t order = 0;
    bool cut[10][10] = {}; /* from, to: messages are dropped */
    int loss = 0;          /* sixteenths of all messages */
    uint64_t delay_us = 1000;
    bool all_have_voted = false; /* every current assignee has had its vote */
    bool early_wipe = false;     /* a store was lost before that */
    uint64_t next_request = 1;
    uint64_t newest_version = 0;          /* highest version in an answer */
    std::vector<std::string> edits;       /* bytes, by number */
    std::vector<std::string> edit_ids;    /* by number */
    std::map<uint64_t, size_t> requests;  /* to edit number */
    std::map<size_t, Answer> answers;     /* first, by edit number */
    std::map<uint64_t, Answer> results;   /* by log index */
    std::map<uint64_t, uint64_t> leaders; /* by term */
    std::map<uint64_t, std::pair<uint64_t, uint64_t>> committed;
    std::map<std::pair<uint64_t, uint64_t>, std::pair<uint64_t, uint64_t>>
        entries; /* (index, term) to (content, previous term) */
    uint64_t answered_index = 0; /* highest log index that was acknowledged */

    uint64_t local_time(const Node &) const;
    size_t random_below(size_t below);
    void report_violation(const std::string &);
    void schedule(uint64_t at, int node, EventKind,
                  std::shared_ptr<std::string> = nullptr,
                  uint64_t assignment = 0);
    bool accepts_sender(Node &, const quorum_message &, uint64_t assignment);
    void start_node(int);
    void stop_node(int, bool wipe);
    void persist_record(Node &, const quorum_record &);
    void run_until(uint64_t time);
    void step_node(int, const quorum_event &);
    void execute_action(int, quorum_action &);
    void send(int from, daemon_id to, const quorum_message &);
    void on_installed(Node &, const quorum_snapshot *);
    void on_written(int);
    void on_applied(int, const quorum_entry *);
    void propose(int, size_t edit);
    void new_edit();
    void apply_op(const Step &);
    void isolate(int, bool in, bool out);
    bool may_lose_store(int);
    void replace_node(int);
    uint32_t address_of(int) const;
    int node_at(uint32_t address) const;
    void track_assignments();
    void assign_successor(int a, int leader);
    void restore_former(int);
    void try_restore_former(int at);
    void stop_if_replaced(int at);
    void merge_views(int at, const fleet_assignment *views);
    void send_heartbeat(int from, int to);
    bool accepts_assignee(int at, const Event &, const quorum_message &);
    bool has_lost_vote(int) const;
    bool admission_is_possible() const;
    bool has_former_with_vote(int) const;
    bool is_successor_without_vote(int) const;
    void wipe_former(int);
    void send_to_assignees(int from, daemon_id to, const quorum_message &);
    void transmit(int from, int at, const quorum_message &);
    void check_committed(int);
    void check_reads();
    void check_logs();
    bool has_recovered();
};

#endif
