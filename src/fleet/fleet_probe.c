/*
 * Probes targets that are suspected to be down: opens TCP connections as the
 * affinity core asks for, and closes them at once.  Nothing is sent on them.
 * Then carries out what the core concludes.
 */
#include <arpa/inet.h>

#include "fleet/fleet_entry_private.h"

/* Between two looks for probes that are due or have timed out. */
#define INTERVAL_MS 20

/* A connection that is being opened or closed. */
struct fleet_probe {
    struct fleet *fleet;
    struct affinity_probe probe;
    uv_tcp_t tcp;
    uv_connect_t request;
    uint64_t started_us;
    GList link; /* in the entry's probes */
};

static void on_timer(uv_timer_t *);
static void start_probe(struct fleet *, uint64_t now_us,
                        const struct affinity_probe *);
static void on_connect(uv_connect_t *, int status);
static void on_closed(uv_handle_t *);
static void end_probe(struct fleet_probe *, uint64_t now_us,
                      enum affinity_probe_outcome);
static void close_probe(struct fleet_probe *);
static void expire_probes(struct fleet *, uint64_t now_us);
static void report_beliefs(struct fleet *, uint64_t now_us);
static void send_resets(struct fleet *, uint64_t now_us);

/* Start to look for probes that are due. */
void
fleet_probe_start(struct fleet *fleet)
{
    struct fleet_entry *entry = fleet->entry;

    g_queue_init(&entry->probes);
    uv_timer_init(&fleet->loop, &entry->probe_timer);
    entry->probe_timer.data = fleet;
}

/* Begin to close the timer and all connections. */
void
fleet_probe_close(struct fleet *fleet)
{
    struct fleet_entry *entry = fleet->entry;

    if (!uv_is_closing((uv_handle_t *)&entry->probe_timer)) {
        uv_close((uv_handle_t *)&entry->probe_timer, NULL);
    }
    while (entry->probes.length > 0) {
        close_probe(entry->probes.head->data);
    }
}

/* Open the connections that are due, and carry out what the core concludes.
 * The timer runs while there are connections. */
void
fleet_probe_run(struct fleet *fleet, uint64_t now_us)
{
    struct fleet_entry *entry = fleet->entry;
    struct affinity_probe due[FLEET_PROBES_MAX];
    size_t count, free_slots;

    expire_probes(fleet, now_us);
    free_slots =
        FLEET_PROBES_MAX - MIN(entry->probes.length, FLEET_PROBES_MAX);
    count = affinity_core_due_probes(entry->affinity, now_us, fleet->catalog,
                                     due, free_slots);
    for (size_t i = 0; i < count; i++) {
        start_probe(fleet, now_us, &due[i]);
    }
    report_beliefs(fleet, now_us);
    send_resets(fleet, now_us);
    if (entry->probes.length > 0 &&
        !uv_is_active((uv_handle_t *)&entry->probe_timer) &&
        !uv_is_closing((uv_handle_t *)&entry->probe_timer)) {
        uv_timer_start(&entry->probe_timer, on_timer, INTERVAL_MS, 0);
    }
}

/* Look again while connections are being opened. */
static void
on_timer(uv_timer_t *timer)
{
    fleet_probe_run(timer->data, clock_boottime_us());
}

/* Open the connection of PROBE.  One that cannot be opened here, for lack of
 * descriptors for example, is reported as timed out when its time is over. */
static void
start_probe(struct fleet *fleet, uint64_t now_us,
            const struct affinity_probe *probe)
{
    struct fleet_probe *started = g_new0(struct fleet_probe, 1);
    struct sockaddr_in to = {
        .sin_family = AF_INET,
        .sin_port = htons(probe->port),
        .sin_addr.s_addr = htonl(probe->address),
    };

    started->fleet = fleet;
    started->probe = *probe;
    started->started_us = now_us;
    started->request.data = started;
    started->tcp.data = started;
    started->link.data = started;
    g_queue_push_tail_link(&fleet->entry->probes, &started->link);
    uv_tcp_init(&fleet->loop, &started->tcp);
    if (uv_tcp_connect(&started->request, &started->tcp,
                       (struct sockaddr *)&to, on_connect) != 0) {
        fleet->entry->probe_failures++;
    }
}

/* The connection is open, or was refused, or its probe has ended. */
static void
on_connect(uv_connect_t *request, int status)
{
    struct fleet_probe *probe = request->data;

    if (status == UV_ECANCELED) {
        return;
    }
    end_probe(probe, clock_boottime_us(),
              status == 0 ? AFFINITY_PROBE_CONNECTED : AFFINITY_PROBE_REFUSED);
}

/* Close PROBE and report its outcome, unless it is closing already. */
static void
end_probe(struct fleet_probe *probe, uint64_t now_us,
          enum affinity_probe_outcome outcome)
{
    if (uv_is_closing((uv_handle_t *)&probe->tcp)) {
        return;
    }
    close_probe(probe);
    affinity_core_record_probe(probe->fleet->entry->affinity, now_us,
                               &probe->probe, outcome,
                               now_us - probe->started_us);
}

/* Close PROBE, which is freed later. */
static void
close_probe(struct fleet_probe *probe)
{
    g_queue_unlink(&probe->fleet->entry->probes, &probe->link);
    uv_close((uv_handle_t *)&probe->tcp, on_closed);
}

/* Free the probe of HANDLE, which is closed. */
static void
on_closed(uv_handle_t *handle)
{
    g_free(handle->data);
}

/* End the probes whose time is over. */
static void
expire_probes(struct fleet *fleet, uint64_t now_us)
{
    GList *item = fleet->entry->probes.head;

    while (item != NULL) {
        struct fleet_probe *probe = item->data;

        item = item->next;
        if (now_us - probe->started_us >= probe->probe.timeout_us) {
            end_probe(probe, now_us, AFFINITY_PROBE_TIMED_OUT);
        }
    }
}

/* Log what the core has concluded about targets. */
static void
report_beliefs(struct fleet *fleet, uint64_t now_us)
{
    static const char *const names[AFFINITY_BELIEF__MAX] = {
        [AFFINITY_BELIEF_SILENT] = "target-silent",
        [AFFINITY_BELIEF_ANSWERING] = "target-answers",
    };
    struct affinity_belief belief;

    while (affinity_core_next_belief(fleet->entry->affinity, &belief)) {
        fleet_log_line(fleet->log, FLEET_LOG_STATE, now_us, names[belief.kind],
                       "\"target\":\"%" G_GINT64_MODIFIER
                       "x\",\"silent_ms\":%" G_GUINT64_FORMAT
                       ",\"packets\":%u,\"probes\":%u,\"loss\":%.3f"
                       ",\"flows\":%u,\"revision\":%" G_GUINT64_FORMAT,
                       belief.host, belief.silent_us / 1000, belief.packets,
                       belief.probes, belief.loss, belief.flows,
                       catalog_revision(fleet->catalog));
    }
}

/* Reset the flows of targets that have become silent. */
static void
send_resets(struct fleet *fleet, uint64_t now_us)
{
    struct affinity_packet last;

    while (affinity_core_next_reset(fleet->entry->affinity, &last)) {
        fleet_packet_end_flow(fleet, now_us, &last);
    }
    fleet_packet_send_queued(fleet);
}
