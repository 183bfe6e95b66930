/* Membership: datagrams in and out, and what follows from a change. */
#include "daemon/daemon_private.h"

#include "base/log.h"
#include "peer/member_wire.h"

static void step(struct daemon *, const struct member_event *);
static void changed(struct daemon *);
static void log_changes(struct daemon *, const struct daemon_view *, size_t);

/* Start membership with the peers and voters that the settings name. */
void
daemon_member_start(struct daemon *daemon)
{
    const struct settings *settings = daemon->settings;
    uint32_t seeds[2 * SETTINGS_PEERS_MAX];
    size_t seed_count = 0;
    struct member_options options = {
        .name = settings->name,
        .zone = settings->zone,
        .cluster = settings->cluster,
        .address = settings->address.address,
        .incarnation = daemon->incarnation,
        .entry = settings->entry,
        .control = settings->control,
        .joining = settings->entry,
        .seeds = seeds,
        .seed = daemon->seed,
    };

    for (size_t i = 0; i < settings->peer_count; i++) {
        seeds[seed_count++] = settings->peers[i].address;
    }
    for (size_t i = 0; i < settings->voter_count; i++) {
        mesh_set_peer(daemon->mesh, view_daemon_id(settings->voters[i].name),
                      settings->voters[i].address);
        seeds[seed_count++] = settings->voters[i].address;
    }
    options.seed_count = seed_count;
    daemon->member = member_core_new(&options);
    changed(daemon);
}

void
daemon_member_stop(struct daemon *daemon)
{
    member_core_free(daemon->member);
}

static void
step(struct daemon *daemon, const struct member_event *event)
{
    struct member_actions actions = {0};
    bool has_changed = false;

    member_core_step(daemon->member, daemon_now_us(), event, &actions);
    for (size_t i = 0; i < actions.count; i++) {
        const struct member_action *action = &actions.items[i];
        GByteArray *bytes;

        switch (action->kind) {
        case MEMBER_ACT_SEND:
            bytes = g_byte_array_new();
            member_wire_pack(&action->u.send.message, bytes);
            mesh_send_datagram(daemon->mesh, action->u.send.address,
                               PEER_MEMBER, NULL, 0, bytes->data, bytes->len);
            g_byte_array_unref(bytes);
            break;
        case MEMBER_ACT_CHANGED:
            has_changed = true;
            break;
        case MEMBER_ACTION__MAX:
            break;
        }
    }
    member_actions_clear(&actions);
    if (has_changed) {
        changed(daemon);
    }
}

void
daemon_member_tick(struct daemon *daemon, uint64_t now_us)
{
    struct member_event event = {.kind = MEMBER_EV_TICK};

    (void)now_us;
    step(daemon, &event);
}

/* Take in a datagram of another daemon's membership. */
void
daemon_member_datagram(struct daemon *daemon, const uint8_t *data, size_t len)
{
    struct member_message message;
    struct member_event event = {.kind = MEMBER_EV_MESSAGE};

    if (!member_wire_unpack(data, len, &message)) {
        counter_add(&daemon->counters, COUNTER_PEER_BAD_FRAMES, 1);
        return;
    }
    event.u.message.from_address =
        mesh_peer_address(daemon->mesh, message.from);
    event.u.message.message = &message;
    step(daemon, &event);
}

/* Tell the peers that this daemon may take leads. */
void
daemon_member_joined(struct daemon *daemon)
{
    struct member_event event = {.kind = MEMBER_EV_JOINED};

    step(daemon, &event);
}

/* Tell the peers of a planned stop; LAST just before the process ends. */
void
daemon_member_leave(struct daemon *daemon, bool last)
{
    struct member_event event = {.kind =
                                     last ? MEMBER_EV_LEFT : MEMBER_EV_LEAVE};

    step(daemon, &event);
}

/* One line for each daemon whose state is new. */
static void
log_changes(struct daemon *daemon, const struct daemon_view *views,
            size_t count)
{
    for (size_t i = 0; i < count; i++) {
        uint64_t *last =
            g_hash_table_lookup(daemon->member_states, &views[i].id.value);
        const char *name = member_core_name(daemon->member, views[i].id);

        if (last == NULL) {
            uint64_t *entry = g_new(uint64_t, 2);

            entry[0] = views[i].id.value;
            entry[1] = views[i].state;
            g_hash_table_insert(daemon->member_states, entry, entry);
        }
        else if (last[1] == views[i].state) {
            continue;
        }
        else {
            last[1] = views[i].state;
        }
        log_state(G_LOG_LEVEL_MESSAGE, "daemon changed state", "peer",
                  name == NULL ? "?" : name, "state",
                  view_daemon_state_name(views[i].state), NULL);
    }
}

/* Give the daemons' view to all that follows from it. */
static void
changed(struct daemon *daemon)
{
    size_t count;
    const struct daemon_view *views =
        member_core_daemons(daemon->member, &count);
    struct spread_event spread = {.kind = SPREAD_EV_VIEW};
    struct flow_event flow = {.kind = FLOW_EV_DAEMONS};
    struct call_event call = {.kind = CALL_EV_DAEMONS};

    for (size_t i = 0; i < count; i++) {
        mesh_set_peer(daemon->mesh, views[i].id, views[i].address);
    }
    log_changes(daemon, views, count);
    spread.u.view.daemons = views;
    spread.u.view.count = count;
    daemon_spread_event(daemon, &spread);
    flow.u.daemons.items = views;
    flow.u.daemons.count = count;
    daemon_packet_event(daemon, &flow);
    call.u.daemons.items = views;
    call.u.daemons.count = count;
    daemon_call_event(daemon, &call);
}
