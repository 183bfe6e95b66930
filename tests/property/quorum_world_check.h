/*
 * The invariants that struct World checks.  A program includes this file in
 * one source file only.
 */
#ifndef PS_TESTS_QUORUM_WORLD_CHECK_H
#define PS_TESTS_QUORUM_WORLD_CHECK_H

#include <algorithm>
#include <cstring>

#include "quorum_world.h"

/* Time for the cluster to recover after all faults have ended. */
static const uint64_t HEAL_US = 30000000;

/*
 * State machine safety: the entries that the node AT has committed are the
 * same as on every other node.  Also update what is known of its vote.
 */
void
World::check_committed(int at)
{
    Node &node = nodes[at];
    const quorum_log &log = node.core->log;
    uint64_t commit = quorum_core_commit_index(node.core);

    for (uint64_t i = std::max(node.checked_index, log.base) + 1; i <= commit;
         i++) {
        const quorum_entry *entry = quorum_log_at(&log, i);
        gsize len = 0;
        const void *data =
            entry->command ? g_bytes_get_data(entry->command, &len) : "";
        std::pair<uint64_t, uint64_t> value(
            entry->term, hash_bytes(data, len, entry->store));

        if (committed.emplace(i, value).first->second != value) {
            report_violation(
                "state machine safety: two entries committed at an index");
        }
    }
    node.checked_index = std::max(node.checked_index, commit);
    if (quorum_core_has_vote(node.core) && !node.core->hard_state_dirty &&
        node.disk.hard_state.has_vote) {
        node.wiped_without_vote = false;
    }
    for (size_t i = 0; tracks_assignments && i < count; i++) {
        uint64_t store = nodes[i].disk.hard_state.store;

        nodes[i].store_admitted =
            nodes[i].store_admitted ||
            (store != 0 &&
             quorum_admitted_store(node.core, nodes[i].id) == store);
    }
    check_reads();
}

/*
 * Only one node at a time serves reads, and it has applied all entries that
 * were acknowledged.
 */
void
World::check_reads()
{
    int serving = 0;

    for (Node &node : nodes) {
        if (node.core == nullptr ||
            !quorum_core_read_ok(node.core, local_time(node))) {
            continue;
        }
        serving++;
        counts.reads++;
        if (quorum_core_commit_index(node.core) < answered_index) {
            report_violation("a stale read would be served as current");
        }
    }
    if (serving > 1) {
        report_violation("two leaders hold the lease at once");
    }
}

/*
 * Log matching: entries with the same index and term are the same, and so are
 * the terms of the entries before them.
 */
void
World::check_logs()
{
    bool all = true;

    for (Node &node : nodes) {
        bool former = &node >= &nodes[count];

        all = all && (former || node.disk.hard_state.has_vote);
        if (node.core == nullptr) {
            continue;
        }
        const quorum_log &log = node.core->log;
        uint64_t before = log.base_term;

        for (uint64_t i = log.base + 1; i <= quorum_log_last_index(&log);
             i++) {
            const quorum_entry *entry = quorum_log_at(&log, i);
            gsize len = 0;
            const void *data =
                entry->command ? g_bytes_get_data(entry->command, &len) : "";
            std::pair<uint64_t, uint64_t> value(
                hash_bytes(data, len, entry->store), before);
            auto key = std::make_pair(i, entry->term);

            if (entries.emplace(key, value).first->second != value) {
                report_violation(
                    "log matching: an index and term name two entries");
            }
            before = entry->term;
        }
    }
    all_have_voted = all_have_voted || all;
}

/*
 * Return true if there is a leader, all nodes have committed the entries up to
 * its commit index, and each of them has its vote.
 */
bool
World::has_recovered()
{
    uint64_t commit = 0;

    for (size_t i = 0; i < count; i++) {
        Node &node = nodes[i];

        if (node.core == nullptr) { /* will be started soon */
            return false;
        }
        if (quorum_core_read_ok(node.core, local_time(node))) {
            commit = quorum_core_commit_index(node.core);
        }
    }
    for (size_t i = 0; i < count; i++) {
        Node &node = nodes[i];

        if (has_former_with_vote((int)i)) {
            return false;
        }
        if (commit == 0 || quorum_core_commit_index(node.core) != commit ||
            !quorum_core_has_vote(node.core)) {
            return false;
        }
    }
    return true;
}

/*
 * End all faults and start all nodes.  The cluster must then recover within
 * HEAL_US, and all acknowledged edits must have kept their answers.  Recovery
 * is not required if a store was lost before all nodes had their vote.
 */
void
World::finish()
{
    uint64_t end;

    memset(cut, 0, sizeof(cut));
    loss = 0;
    delay_us = 1000;
    for (size_t i = 0; i < count; i++) {
        nodes[i].write_time_us = 2000;
        nodes[i].fail_next_write = false;
        if (!tracks_assignments) {
            stop_node((int)(i + count),
                      false); /* learned that it is replaced */
        }
        else if (has_former_with_vote((int)i) &&
                 nodes[i + count].core == nullptr) {
            start_node((int)(i + count));
        }
    }
    run_until(now + 600000);
    for (size_t i = 0; i < count; i++) {
        if (nodes[i].core == nullptr) {
            start_node((int)i);
        }
    }
    run_until(now + 100000); /* each node has taken a step */
    end = now + HEAL_US;
    while (violation.empty() && now < end && !has_recovered()) {
        run_until(now + 100000);
    }
    check_logs();
    if (!violation.empty()) {
        return;
    }
    if (!has_recovered()) {
        if (!early_wipe) {
            report_violation(
                "no leader, no vote or no progress after all was healed");
        }
        return;
    }
    for (size_t i = 0; i < count; i++) {
        Node &node = nodes[i];

        counts.lease_lost += quorum_core_counters(node.core)->lease_lost;
        counts.admissions += quorum_core_counters(node.core)->admissions;
        for (const auto &answer : answers) {
            table_result result;

            if (!table_core_answer(node.table, edit_ids[answer.first].c_str(),
                                   &result)) {
                report_violation("an answered edit is lost");
                return;
            }
            if (result.reason != answer.second.reason ||
                result.version != answer.second.version ||
                answer.second.message != result.message) {
                report_violation(
                    "an edit is kept with another answer than it got");
            }
        }
    }
}

#endif
