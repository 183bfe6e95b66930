/*
 * Reads the entries of the log that are not known to be committed for targets
 * that drain or leave, and for zones that are emptied.
 */
#include "fleet/fleet_pending.h"

#include "peer/catalog_wire.h"

/*
 * The result for one state of the log, identified by the index and term of its
 * last entry and by the commit index.  Entries may hold large tables, so they
 * are read only once for each state.
 */
struct fleet_pending {
    GArray *leaving; /* uint64_t: hosts, as of the state below */
    GArray *emptied; /* uint32_t: zones, as of the state below */
    uint64_t commit;
    uint64_t last;
    uint64_t last_term;
};

static bool is_drain_or_leave(const struct catalog_command *);
static void read_entries(struct fleet_pending *, const struct quorum_core *);
static void refresh(struct fleet_pending *, const struct quorum_core *);
static uint64_t last_term(const struct quorum_core *);

/* Return true if COMMAND makes a target drain or leave. */
static bool
is_drain_or_leave(const struct catalog_command *command)
{
    return command->kind == CATALOG_LEAVE ||
           (command->kind == CATALOG_ANNOUNCE &&
            command->u.target.state != CATALOG_READY);
}

/* Add to PENDING what the entries that are not known to be committed say. */
static void
read_entries(struct fleet_pending *pending, const struct quorum_core *core)
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
            continue; /* reported when the entry is applied */
        }
        if (is_drain_or_leave(&command)) {
            g_array_append_val(pending->leaving, command.u.target.host);
        }
        if (command.kind == CATALOG_ZONE && command.u.zone.zone.emptied) {
            g_array_append_val(pending->emptied, command.u.zone.zone.zone);
        }
        catalog_command_clear(&command);
    }
}

/* Return the term of the last entry of the log; 0 if it has none. */
static uint64_t
last_term(const struct quorum_core *core)
{
    const struct quorum_entry *last =
        quorum_core_entry(core, quorum_core_last_index(core));

    return last == NULL ? 0 : last->term;
}

/* Return an empty state.  Free it with fleet_pending_free(). */
struct fleet_pending *
fleet_pending_new(void)
{
    struct fleet_pending *pending = g_new0(struct fleet_pending, 1);

    pending->leaving = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    pending->emptied = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    return pending;
}

/* Free PENDING. */
void
fleet_pending_free(struct fleet_pending *pending)
{
    g_array_unref(pending->leaving);
    g_array_unref(pending->emptied);
    g_free(pending);
}

/* Read the entries of CORE's log again if they have changed. */
static void
refresh(struct fleet_pending *pending, const struct quorum_core *core)
{
    uint64_t commit = quorum_core_commit_index(core);
    uint64_t last = quorum_core_last_index(core);
    uint64_t term = last_term(core);

    if (commit != pending->commit || last != pending->last ||
        term != pending->last_term) {
        g_array_set_size(pending->leaving, 0);
        g_array_set_size(pending->emptied, 0);
        read_entries(pending, core);
        pending->commit = commit;
        pending->last = last;
        pending->last_term = term;
    }
}

/*
 * Return the targets (uint64_t) that drain or leave by entries of CORE's log
 * which are not known to be committed.  The array belongs to PENDING and is
 * valid until the next call.
 */
const GArray *
fleet_pending_leaving(struct fleet_pending *pending,
                      const struct quorum_core *core)
{
    refresh(pending, core);
    return pending->leaving;
}

/* Return the zones (uint32_t) that are emptied by such entries; the array is
 * PENDING's as above. */
const GArray *
fleet_pending_emptied(struct fleet_pending *pending,
                      const struct quorum_core *core)
{
    refresh(pending, core);
    return pending->emptied;
}
