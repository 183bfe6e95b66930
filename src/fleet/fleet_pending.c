/* Commands that are stored here, and may be committed. */
#include "fleet/fleet_pending.h"

#include "peer/catalog_wire.h"

/*
 * Entries may hold large tables and are read once for each state of the log,
 * which the number and the term of its last entry name.
 */
struct fleet_pending {
    GArray *leaving; /* uint64_t: hosts, as of: */
    uint64_t commit;
    uint64_t last;
    uint64_t last_term;
};

static bool tells_of_leaving(const struct catalog_command *);
static void read_entries(const struct quorum_core *, GArray *hosts);
static uint64_t last_term(const struct quorum_core *);

static bool
tells_of_leaving(const struct catalog_command *command)
{
    return command->kind == CATALOG_LEAVE ||
           (command->kind == CATALOG_ANNOUNCE &&
            command->u.target.state != CATALOG_READY);
}

/*
 * Append to HOSTS (uint64_t) the targets that drain or leave by entries which
 * are not known to be committed.
 */
static void
read_entries(const struct quorum_core *core, GArray *hosts)
{
    for (uint64_t index = quorum_core_commit_index(core) + 1;
         index <= quorum_core_last_index(core); index++) {
        const struct quorum_entry *entry = quorum_core_entry(core, index);
        struct catalog_command command;
        gsize len;
        const uint8_t *data;

        if (entry == NULL || entry->kind != QUORUM_ENTRY_COMMAND) {
            continue;
        }
        data = g_bytes_get_data(entry->command, &len);
        if (!catalog_wire_unpack(data, len, &command)) {
            continue; /* applying it will tell */
        }
        if (tells_of_leaving(&command)) {
            g_array_append_val(hosts, command.u.target.host);
        }
        catalog_command_clear(&command);
    }
}

static uint64_t
last_term(const struct quorum_core *core)
{
    const struct quorum_entry *last =
        quorum_core_entry(core, quorum_core_last_index(core));

    return last == NULL ? 0 : last->term;
}

struct fleet_pending *
fleet_pending_new(void)
{
    struct fleet_pending *pending = g_new0(struct fleet_pending, 1);

    pending->leaving = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    return pending;
}

void
fleet_pending_free(struct fleet_pending *pending)
{
    g_array_unref(pending->leaving);
    g_free(pending);
}

/*
 * The targets (uint64_t) that drain or leave by entries of CORE's log which
 * are not known to be committed; valid until the next call.
 */
const GArray *
fleet_pending_leaving(struct fleet_pending *pending,
                      const struct quorum_core *core)
{
    uint64_t commit = quorum_core_commit_index(core);
    uint64_t last = quorum_core_last_index(core);
    uint64_t term = last_term(core);

    if (commit != pending->commit || last != pending->last ||
        term != pending->last_term) {
        g_array_set_size(pending->leaving, 0);
        read_entries(core, pending->leaving);
        pending->commit = commit;
        pending->last = last;
        pending->last_term = term;
    }
    return pending->leaving;
}
