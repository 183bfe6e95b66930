/* Versions and announcements between daemons. */
#include "daemon/daemon_private.h"

#include "base/log.h"
#include "daemon/control.h"
#include "peer/spread_wire.h"

static void send_message(struct daemon *, const struct spread_action *);
static void act(struct daemon *, const struct spread_action *);

void
daemon_spread_start(struct daemon *daemon)
{
    struct spread_options options = {
        .self = daemon->self,
        .zone = daemon->settings->zone,
        .entry = daemon->settings->entry,
        .version = table_core_position(daemon->in_force).version,
        .seed = daemon->seed + 1,
    };

    daemon->spread = spread_core_new(&options);
}

void
daemon_spread_stop(struct daemon *daemon)
{
    spread_core_free(daemon->spread);
}

static void
send_message(struct daemon *daemon, const struct spread_action *action)
{
    GByteArray *bytes = g_byte_array_new();

    spread_wire_pack(&action->u.send.message, bytes);
    mesh_send(daemon->mesh, action->u.send.to, PEER_SPREAD, bytes->data,
              bytes->len);
    g_byte_array_unref(bytes);
}

static void
act(struct daemon *daemon, const struct spread_action *action)
{
    switch (action->kind) {
    case SPREAD_ACT_SEND:
        send_message(daemon, action);
        break;
    case SPREAD_ACT_STAGE:
        daemon_table_stage(daemon, &action->u.stage);
        break;
    case SPREAD_ACT_ACTIVATE:
        daemon_table_activate(daemon, action->u.activate);
        break;
    case SPREAD_ACT_NEED:
        break;
    case SPREAD_ACT_IN_FORCE:
        control_in_force(daemon, action->u.in_force);
        break;
    case SPREAD_ACT_TARGET:
        daemon_target_spread(daemon, &action->u.target);
        break;
    case SPREAD_ACT_REFUSED:
        counter_add(&daemon->counters, COUNTER_ANNOUNCEMENTS_BAD, 1);
        break;
    case SPREAD_ACTION__MAX:
        break;
    }
}

/*
 * Step the core and carry out its actions.  What a daemon needs is looked up
 * last, since the answer is a further step, which ends the life of the bytes
 * that the other actions borrow.
 */
void
daemon_spread_event(struct daemon *daemon, const struct spread_event *event)
{
    struct spread_actions actions = {0};

    spread_core_step(daemon->spread, daemon_now_us(), event, &actions);
    for (size_t i = 0; i < actions.count; i++) {
        act(daemon, &actions.items[i]);
    }
    for (size_t i = 0; i < actions.count; i++) {
        const struct spread_action *action = &actions.items[i];

        if (action->kind == SPREAD_ACT_NEED) {
            control_need(daemon, action->u.need.to, action->u.need.from,
                         action->u.need.version);
        }
    }
    spread_actions_clear(&actions);
}

void
daemon_spread_message(struct daemon *daemon, struct daemon_id from,
                      const uint8_t *data, size_t len)
{
    struct spread_message message;
    struct spread_event event = {.kind = SPREAD_EV_MESSAGE};

    if (!spread_wire_unpack(data, len, &message)) {
        counter_add(&daemon->counters, COUNTER_PEER_BAD_FRAMES, 1);
        return;
    }
    event.u.message.from = from;
    event.u.message.message = &message;
    daemon_spread_event(daemon, &event);
    spread_message_clear(&message);
}
