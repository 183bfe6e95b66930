/*
 * Counts what is sent to the fleet's other daemons, and writes the counts as
 * metrics.
 */
#include "fleet/fleet_traffic.h"

#include "base/counter.h"

#define NAME_SIZE 96
#define ROWS      ((size_t)FLEET_TRAFFIC__MAX * FLEET_TRAFFIC_ZONE__MAX)

static enum fleet_traffic_kind kind_of(const Parsleyspur__FleetMessage *);
static void
write_rows(const char *name, const char *help,
           const uint64_t values[FLEET_TRAFFIC__MAX][FLEET_TRAFFIC_ZONE__MAX],
           GString *out);

static const char *const kind_names[FLEET_TRAFFIC__MAX] = {
    [FLEET_TRAFFIC_HEARTBEAT] = "heartbeat",
    [FLEET_TRAFFIC_ANSWER] = "answer",
    [FLEET_TRAFFIC_CONFIRMATION] = "confirmation",
    [FLEET_TRAFFIC_COMMAND] = "command",
    [FLEET_TRAFFIC_READ] = "read",
    [FLEET_TRAFFIC_PRESENCE] = "presence",
    [FLEET_TRAFFIC_LOG] = "log",
    [FLEET_TRAFFIC_CATALOG] = "catalog",
};

static const char *const zone_names[FLEET_TRAFFIC_ZONE__MAX] = {
    [FLEET_TRAFFIC_OWN] = "own",
    [FLEET_TRAFFIC_OTHER] = "other",
};

/* Return the kind of MESSAGE. */
static enum fleet_traffic_kind
kind_of(const Parsleyspur__FleetMessage *message)
{
    if (message->heartbeat != NULL) {
        if (message->heartbeat->confirms) {
            return FLEET_TRAFFIC_CONFIRMATION;
        }
        return message->heartbeat->answer ? FLEET_TRAFFIC_ANSWER
                                          : FLEET_TRAFFIC_HEARTBEAT;
    }
    if (message->submit != NULL || message->submit_answer != NULL) {
        return FLEET_TRAFFIC_COMMAND;
    }
    if (message->heard != NULL) {
        return FLEET_TRAFFIC_PRESENCE;
    }
    if (message->quorum != NULL) {
        return FLEET_TRAFFIC_LOG;
    }
    return message->update.len > 0 ? FLEET_TRAFFIC_CATALOG
                                   : FLEET_TRAFFIC_READ;
}

/* Count MESSAGE as sent, packed as BYTES bytes without the frame. */
void
fleet_traffic_count_sent(struct fleet_traffic *traffic,
                         const Parsleyspur__FleetMessage *message,
                         enum fleet_traffic_zone zone, size_t bytes)
{
    enum fleet_traffic_kind kind = kind_of(message);

    traffic->messages[kind][zone]++;
    traffic->bytes[kind][zone] += bytes;
}

/* Append VALUES to OUT as the metric NAME, with kind and zone as labels. */
static void
write_rows(const char *name, const char *help,
           const uint64_t values[FLEET_TRAFFIC__MAX][FLEET_TRAFFIC_ZONE__MAX],
           GString *out)
{
    struct counter_extra rows[ROWS];
    char names[ROWS][NAME_SIZE];

    for (size_t i = 0; i < ROWS; i++) {
        size_t kind = i / FLEET_TRAFFIC_ZONE__MAX;
        size_t zone = i % FLEET_TRAFFIC_ZONE__MAX;

        g_snprintf(names[i], sizeof(names[i]), "%s{kind=\"%s\",zone=\"%s\"}",
                   name, kind_names[kind], zone_names[zone]);
        rows[i] = (struct counter_extra){names[i], help, "counter",
                                         (double)values[kind][zone]};
    }
    counter_write_extra(rows, ROWS, out);
}

/* Append the counts as metrics to OUT. */
void
fleet_traffic_write(const struct fleet_traffic *traffic, GString *out)
{
    write_rows("fleet_messages_sent_total", "Messages to other daemons.",
               traffic->messages, out);
    write_rows("fleet_bytes_sent_total", "Their bytes, without frames.",
               traffic->bytes, out);
}
