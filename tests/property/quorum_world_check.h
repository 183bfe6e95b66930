/* The promises that struct World checks; included by one program only. */
#ifndef PS_TESTS_QUORUM_WORLD_CHECK_H
#define PS_TESTS_QUORUM_WORLD_CHECK_H

#include <algorithm>
#include <cstring>

#include "quorum_world.h"

static const uint64_t HEAL_US = 30000000; /* time to come back whole */

/* What a node has committed is what every other has, entry by entry. */
void
World::check(int at)
{
    Node &node = nodes[at];
    const quorum_log &log = node.core->log;
    uint64_t commit = quorum_core_commit_index(node.core);

    for (uint64_t i = std::max(node.checked, log.base) + 1; i <= commit; i++) {
        const quorum_entry *entry = quorum_log_at(&log, i);
        gsize len = 0;
        const void *data =
            entry->command ? g_bytes_get_data(entry->command, &len) : "";
        std::pair<uint64_t, uint64_t> value(
            entry->term, hash_bytes(data, len, entry->store));

        if (committed.emplace(i, value).first->second != value) {
            fail("state machine safety: two entries committed at an index");
        }
    }
    node.checked = std::max(node.checked, commit);
    if (quorum_core_has_vote(node.core) && !node.core->hard_state_dirty &&
        node.disk.hard_state.has_vote) {
        node.wiped = false;
    }
    for (size_t i = 0; successions && i < count; i++) {
        uint64_t store = nodes[i].disk.hard_state.store;

        nodes[i].admitted =
            nodes[i].admitted ||
            (store != 0 &&
             quorum_admitted_store(node.core, nodes[i].id) == store);
    }
    check_reads();
}

/* Who serves reads as current has applied all that was answered for. */
void
World::check_reads()
{
    int serving = 0;

    for (Node &node : nodes) {
        if (node.core == nullptr ||
            !quorum_core_read_ok(node.core, local(node))) {
            continue;
        }
        serving++;
        seen.reads++;
        if (quorum_core_commit_index(node.core) < answered_index) {
            fail("a stale read would be served as current");
        }
    }
    if (serving > 1) {
        fail("two leaders hold the lease at once");
    }
}

/* Log matching: an index and a term name one entry and one before it. */
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
                fail("log matching: an index and term name two entries");
            }
            before = entry->term;
        }
    }
    formed = formed || all;
}

/* A leader, all up to its commit, and everybody's vote back. */
bool
World::settled()
{
    uint64_t commit = 0;

    for (size_t i = 0; i < count; i++) {
        Node &node = nodes[i];

        if (node.core == nullptr) { /* starts in a moment */
            return false;
        }
        if (quorum_core_read_ok(node.core, local(node))) {
            commit = quorum_core_commit_index(node.core);
        }
    }
    for (size_t i = 0; i < count; i++) {
        Node &node = nodes[i];

        if (is_unsettled((int)i)) {
            return false;
        }
        if (commit == 0 || quorum_core_commit_index(node.core) != commit ||
            !quorum_core_has_vote(node.core)) {
            return false;
        }
    }
    return true;
}

void
World::finish()
{
    uint64_t end;

    memset(cut, 0, sizeof(cut));
    loss = 0;
    delay_us = 1000;
    for (size_t i = 0; i < count; i++) {
        nodes[i].write_us = 2000;
        nodes[i].fail_next = false;
        if (!successions) {
            stop((int)(i + count), false); /* told that they are replaced */
        }
        else if (is_unsettled((int)i) && nodes[i + count].core == nullptr) {
            start((int)(i + count));
        }
    }
    until(now + 600000);
    for (size_t i = 0; i < count; i++) {
        if (nodes[i].core == nullptr) {
            start((int)i);
        }
    }
    until(now + 100000); /* all have taken a step */
    end = now + HEAL_US;
    while (broken.empty() && now < end && !settled()) {
        until(now + 100000);
    }
    check_logs();
    if (!broken.empty()) {
        return;
    }
    if (!settled()) {
        if (!early_wipe) {
            fail("no leader, no vote or no progress after all was healed");
        }
        return;
    }
    for (size_t i = 0; i < count; i++) {
        Node &node = nodes[i];

        seen.lease_lost += quorum_core_counters(node.core)->lease_lost;
        seen.admissions += quorum_core_counters(node.core)->admissions;
        for (const auto &answer : answers) {
            table_result result;

            if (!table_core_answer(node.table, edit_ids[answer.first].c_str(),
                                   &result)) {
                fail("an answered edit is lost");
                return;
            }
            if (result.reason != answer.second.reason ||
                result.version != answer.second.version ||
                answer.second.message != result.message) {
                fail("an edit is kept with another answer than it got");
            }
        }
    }
}

#endif
