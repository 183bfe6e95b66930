/*
 * Property tests of the tables.  Random edits give the same results as a
 * simple model, also over a restart from a snapshot and for resent edits.
 * Replicas that merge differences and snapshots in any order never return to
 * an earlier state.
 */
#include <cstdlib>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include <rapidcheck.h>

extern "C" {
#include "peer/table_wire.h"
#include "table/table_core.h"
}

/* The ranges are small, so that edits collide often. */
struct Edit {
    int id;     /* edit id; an equal id is a resend */
    int behind; /* current version minus base version */
    bool remove;
    bool route;
    int name;
    int pool;
    int address;
    int port; /* 0 for all ports */
};

struct UpdateSpec {
    int from; /* index of an earlier position */
    int to;   /* number of latest versions to leave out */
    int kind; /* 0 for a snapshot, else a difference */
};

namespace rc {
template <> struct Arbitrary<Edit> {
    static Gen<Edit>
    arbitrary()
    {
        return gen::build<Edit>(
            gen::set(&Edit::id, gen::inRange(0, 60)),
            gen::set(&Edit::behind, gen::weightedElement<int>(
                                        {{8, 0}, {1, 1}, {1, 3}, {1, -1}})),
            gen::set(&Edit::remove,
                     gen::weightedElement<bool>({{3, false}, {1, true}})),
            gen::set(&Edit::route), gen::set(&Edit::name, gen::inRange(0, 4)),
            gen::set(&Edit::pool, gen::inRange(0, 4)),
            gen::set(&Edit::address, gen::inRange(0, 3)),
            gen::set(&Edit::port, gen::inRange(0, 3)));
    }
};
template <> struct Arbitrary<UpdateSpec> {
    static Gen<UpdateSpec>
    arbitrary()
    {
        return gen::build<UpdateSpec>(
            gen::set(&UpdateSpec::from, gen::inRange(0, 40)),
            gen::set(&UpdateSpec::to, gen::inRange(0, 4)),
            gen::set(&UpdateSpec::kind, gen::inRange(0, 4)));
    }
};
} // namespace rc

static std::ostream &
operator<<(std::ostream &out, const Edit &e)
{
    return out << "{id " << e.id << " behind " << e.behind
               << (e.remove ? " delete " : " set ")
               << (e.route ? "route " : "pool ") << e.name << " pool "
               << e.pool << " at " << e.address << ":" << e.port << "}";
}

static std::ostream &
operator<<(std::ostream &out, const UpdateSpec &f)
{
    return out << "{from " << f.from << " to -" << f.to << " kind " << f.kind
               << "}";
}

/* A simple model of the tables. */
struct Model {
    struct Route {
        int pool;
        int address;
        int port;
    };
    std::map<int, bool> pools;
    std::map<int, Route> routes;
    std::map<int, std::pair<table_reason, uint64_t>> answers;
    uint64_t version = 0;

    /* Return the expected result of E as a new edit. */
    table_reason
    check_edit(const Edit &e) const
    {
        if (e.behind != 0 && (e.behind < 0 || version > 0)) {
            return TABLE_CONFLICT;
        }
        if (e.remove &&
            (e.route ? routes.count(e.name) : pools.count(e.name)) == 0) {
            return TABLE_NO_SUCH_ROW;
        }
        for (const auto &route : routes) {
            if (e.remove && !e.route && route.second.pool == e.name) {
                return TABLE_POOL_IN_USE;
            }
        }
        if (e.remove || !e.route) {
            return TABLE_ACCEPTED;
        }
        if (pools.count(e.pool) == 0) {
            return TABLE_POOL_MISSING;
        }
        for (const auto &route : routes) {
            const Route &other = route.second;

            if (route.first != e.name && other.address == e.address &&
                (other.port == e.port || other.port == 0 || e.port == 0)) {
                return TABLE_ADDRESS_TAKEN;
            }
        }
        return TABLE_ACCEPTED;
    }

    /* Apply E, or return the first answer to its id. */
    std::pair<table_reason, uint64_t>
    apply(const Edit &e)
    {
        auto seen = answers.find(e.id);
        table_reason reason;

        if (seen != answers.end()) {
            return seen->second;
        }
        reason = check_edit(e);
        if (reason == TABLE_ACCEPTED) {
            version++;
            if (e.remove) {
                e.route ? (void)routes.erase(e.name)
                        : (void)pools.erase(e.name);
            }
            else if (e.route) {
                routes[e.name] = {e.pool, e.address, e.port};
            }
            else {
                pools[e.name] = true;
            }
        }
        return answers[e.id] = {reason, version};
    }
};

/* Return the encoded command of E, sent when the tables are at VERSION. */
static std::string
pack(const Edit &e, uint64_t version)
{
    table_command command = {};
    table_edit &edit = command.u.edit;
    GByteArray *bytes = g_byte_array_new();
    std::string name = "row-" + std::to_string(e.name);
    std::string packed;

    command.kind = TABLE_COMMAND_EDIT;
    g_snprintf(edit.id, sizeof(edit.id), "edit-%d", e.id);
    edit.base_version = e.behind > 0 && version < (uint64_t)e.behind
                            ? 0
                            : version - (uint64_t)e.behind;
    edit.operation = e.remove ? TABLE_DELETE : TABLE_SET;
    edit.row.kind = e.route ? TABLE_ROUTE : TABLE_POOL;
    if (e.route) {
        table_route &route = edit.row.u.route;

        g_strlcpy(route.name, name.c_str(), TABLE_NAME_MAX);
        g_snprintf(route.pool, TABLE_NAME_MAX, "row-%d", e.pool);
        route.address = 0x0a000001U + (uint32_t)e.address;
        route.port = (uint16_t)e.port;
    }
    else {
        g_strlcpy(edit.row.u.pool.name, name.c_str(), TABLE_NAME_MAX);
        edit.row.u.pool.queue_limit = (uint32_t)e.address;
    }
    table_wire_pack_command(&command, bytes);
    packed.assign((const char *)bytes->data, bytes->len);
    g_byte_array_unref(bytes);
    return packed;
}

/* Return a snapshot of CORE with the contents that SCOPE says. */
static std::string
snapshot(const table_core *core, table_scope scope)
{
    GByteArray *bytes = g_byte_array_new();
    std::string packed;

    table_core_pack_snapshot(core, scope, bytes);
    packed.assign((const char *)bytes->data, bytes->len);
    g_byte_array_unref(bytes);
    return packed;
}

/* Merge the update BYTES into CORE. */
static table_merge_result
merge(table_core *core, const std::string &bytes)
{
    return table_core_merge(core, (const uint8_t *)bytes.data(), bytes.size());
}

/* Apply the command BYTES at the log index INDEX and return the result. */
static table_result
apply(table_core *core, uint64_t index, const std::string &bytes)
{
    table_result result;

    RC_ASSERT(table_core_apply(core, index, (const uint8_t *)bytes.data(),
                               bytes.size(), &result));
    return result;
}

/*
 * Return the rows and the version as text, without the log index, which
 * differences do not carry.
 */
static std::string
rows(const table_core *core)
{
    std::string text;

    for (int kind = 0; kind < TABLE_KIND__MAX; kind++) {
        table_core_each(
            core, (table_kind)kind,
            [](const table_row *row, void *data) {
                std::string *out = (std::string *)data;

                *out += std::string(table_row_name(row)) + "@" +
                        std::to_string(row->version) +
                        (row->kind == TABLE_ROUTE ? row->u.route.pool : "") +
                        ";";
            },
            &text);
    }
    return text + std::to_string(table_core_position(core).version);
}

/*
 * Apply EDITS to the tables and to the model and compare the results.  Before
 * the edit with index RESTART, replace the tables by a copy from a snapshot.
 */
static void
check_edits(const std::vector<Edit> &edits, size_t restart)
{
    table_core *core = table_core_new(NULL);
    Model model;

    for (size_t i = 0; i < edits.size(); i++) {
        std::string bytes = pack(edits[i], model.version);
        auto expected = model.apply(edits[i]);
        table_result result;

        if (i == restart) {
            table_core *next = table_core_new(NULL);
            std::string state = snapshot(core, TABLE_ROWS_AND_ANSWERS);

            merge(next, state);
            RC_ASSERT(snapshot(next, TABLE_ROWS_AND_ANSWERS) == state);
            table_core_free(core);
            core = next;
        }
        result = apply(core, i + 1, bytes);
        RC_ASSERT(result.reason == expected.first);
        RC_ASSERT(result.version == expected.second);
        RC_ASSERT((result.message[0] == '\0') ==
                  (result.reason == TABLE_ACCEPTED));
    }
    table_core_free(core);
}

/*
 * Apply EDITS and make an update after each as SPECS say.  Merge the updates
 * into a replica in mixed order; after each merge, the replica must equal the
 * tables at its version and must not be at an earlier version than before.
 */
static void
check_replica(const std::vector<Edit> &edits,
              const std::vector<UpdateSpec> &specs)
{
    table_core_options options = {0, 20, 0, 0};
    table_core *core = table_core_new(&options);
    table_core *replica = table_core_new(NULL);
    std::vector<table_position> positions = {{0, 0}};
    std::vector<std::string> states = {rows(core)}; /* by version */
    std::vector<std::string> updates;
    table_position before;

    for (size_t i = 0; i < edits.size(); i++) {
        Edit edit = edits[i];
        const UpdateSpec *spec =
            specs.empty() ? NULL : &specs[i % specs.size()];
        GByteArray *bytes = g_byte_array_new();
        uint64_t version = positions.back().version;

        edit.id = (int)i;
        apply(core, i + 1, pack(edit, version));
        if (table_core_position(core).version != version) {
            states.push_back(rows(core));
        }
        positions.push_back(table_core_position(core));
        version = positions.back().version;
        if (spec == NULL || spec->kind == 0) {
            updates.push_back(snapshot(core, TABLE_ROWS));
        }
        else if (table_core_pack_difference(
                     core, positions[(size_t)spec->from % positions.size()],
                     version > (uint64_t)spec->to
                         ? version - (uint64_t)spec->to
                         : 0,
                     bytes)) {
            updates.emplace_back((const char *)bytes->data, bytes->len);
        }
        g_byte_array_unref(bytes);
    }
    for (size_t i = 0; i < 2 * updates.size(); i++) { /* in mixed order */
        before = table_core_position(replica);
        merge(replica, updates[i * 7 % updates.size()]);
        RC_ASSERT(table_core_position(replica).version >= before.version);
        RC_ASSERT(rows(replica) ==
                  states[table_core_position(replica).version]);
    }
    merge(replica, snapshot(core, TABLE_ROWS));
    RC_ASSERT(rows(replica) == states.back());
    table_core_free(core);
    table_core_free(replica);
}

int
main()
{
    bool passed = true;

    setenv("RC_PARAMS", "max_success=5000 max_size=80 seed=20261204", 0);
    passed &= rc::check("edits give the same results as a simple model", [] {
        const auto edits = *rc::gen::arbitrary<std::vector<Edit>>();
        const auto restart = *rc::gen::inRange<size_t>(0, 40);

        check_edits(edits, restart);
    });
    passed &= rc::check("a replica never returns to an earlier state", [] {
        const auto edits = *rc::gen::arbitrary<std::vector<Edit>>();
        const auto specs = *rc::gen::arbitrary<std::vector<UpdateSpec>>();

        check_replica(edits, specs);
    });
    passed &= rc::check("damaged bytes are refused or decoded safely", [] {
        const auto edits = *rc::gen::arbitrary<std::vector<Edit>>();
        const auto at = *rc::gen::arbitrary<uint32_t>();
        const auto value = *rc::gen::arbitrary<uint8_t>();
        table_core *core = table_core_new(NULL);

        for (size_t i = 0; i < edits.size(); i++) {
            std::string bytes = pack(edits[i], i);

            bytes[at % bytes.size()] = (char)value;
            apply(core, i + 1, bytes);
        }
        std::string state = snapshot(core, TABLE_ROWS_AND_ANSWERS);
        if (!state.empty()) {
            table_core *other = table_core_new(NULL);

            state[at % state.size()] = (char)value;
            merge(other, state);
            merge(other, state.substr(0, at % state.size()));
            table_core_free(other);
        }
        table_core_free(core);
    });
    return passed ? 0 : 1;
}
