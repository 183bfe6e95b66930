/* Writes the metrics of an entry daemon. */
#include "fleet/fleet_entry_private.h"

static void write_verdicts(const struct affinity_counters *, GString *);

/* Append the metrics of the entry role to OUT. */
void
fleet_entry_metrics(struct fleet *fleet, GString *out)
{
    const struct fleet_entry *entry = fleet->entry;
    const struct affinity_counters *counters =
        affinity_core_counters(entry->affinity);
    struct counter_extra extra[] = {
        {"packets_in_total", "Packets of callers.", "counter",
         (double)entry->packets_in},
        {"packets_out_total", "Packets sent on, resets among them.", "counter",
         (double)entry->packets_out},
        {"packets_malformed_total", "Datagrams that are no packet.", "counter",
         (double)entry->malformed},
        {"packets_lost_total", "Packets that the socket did not take.",
         "counter", (double)entry->send_failures},
        {"resets_total", "Resets sent to callers.", "counter",
         (double)entry->resets},
        {"flows_followed", "Flows whose packets come through here.", "gauge",
         (double)affinity_core_flow_count(entry->affinity)},
        {"flows_remote_total", "Openings placed in another zone.", "counter",
         (double)counters->remote},
        {"targets_suspected_total", "Targets that stopped answering.",
         "counter", (double)counters->suspected},
        {"packets_held_total", "Packets that waited for the catalog.",
         "counter", (double)fleet_hold_counters(entry->hold)->held},
        {"packets_held_expired_total", "Of these, too old when it came.",
         "counter", (double)fleet_hold_counters(entry->hold)->expired},
        {"targets_silent_total", "Targets taken for dead.", "counter",
         (double)counters->silent},
        {"probes_total", "Connections opened to targets.", "counter",
         (double)counters->probes},
        {"probe_failures_total", "Of these, not begun for lack of resources.",
         "counter", (double)entry->probe_failures},
        {"shaped_packets_total", "Packets that waited for the link.",
         "counter", (double)shape_counters(entry->shape)->delayed},
        {"shaped_copies_total", "Copies left out of what waits.", "counter",
         (double)shape_counters(entry->shape)->duplicates},
        {"shaped_drops_total", "Packets above the queue's bound.", "counter",
         (double)(shape_counters(entry->shape)->dropped[SHAPE_INTERACTIVE] +
                  shape_counters(entry->shape)->dropped[SHAPE_BULK])},
        {"shaped_drops_prompt_total", "Of these, other than uploads' data.",
         "counter",
         (double)shape_counters(entry->shape)->dropped[SHAPE_INTERACTIVE]},
        {"shaped_ended_total", "Packets left out since their flow has ended.",
         "counter", (double)shape_counters(entry->shape)->dropped_ended},
        {"link_owed_bytes", "Of large requests that are still to pass.",
         "gauge", (double)affinity_core_pending_upload_bytes(entry->affinity)},
        {"shaped_wait_max_ms", "Longest wait for the link.", "gauge",
         (double)shape_counters(entry->shape)->max_wait_us / 1000},
        {"routes_without_pool", "Routes to a pool that no tables name.",
         "gauge", (double)catalog_routes_without_pool(fleet->catalog)},
        {"zones_emptied", "Zones whose targets get no new flows.", "gauge",
         (double)catalog_emptied_count(fleet->catalog)},
        {"hedged_total", "Openings given to a second target.", "counter",
         (double)counters->hedged},
        {"hedges_lost_total", "Of these, answered by the first one after all.",
         "counter", (double)counters->hedges_lost},
        {"cold_skipped_total", "Cold targets passed over by their limit.",
         "counter", (double)counters->cold_skipped},
        {"ready", "Whether the fabric may send packets.", "gauge",
         fleet_entry_is_ready(fleet) ? 1 : 0},
    };

    counter_write_extra(extra, G_N_ELEMENTS(extra), out);
    counter_write_latency("answer_latency_ms",
                          "From a caller's request to its answer.",
                          counters->answer_latency, out);
    write_verdicts(counters, out);
}

/*
 * Append the number of packets for each reason of a verdict, with the reason
 * as a label.
 */
static void
write_verdicts(const struct affinity_counters *counters, GString *out)
{
    struct counter_extra rows[AFFINITY_REASON__MAX];
    char names[AFFINITY_REASON__MAX][64];

    for (int i = 0; i < AFFINITY_REASON__MAX; i++) {
        g_snprintf(names[i], sizeof(names[i]), "verdicts_total{reason=\"%s\"}",
                   affinity_reason_name((enum affinity_reason)i));
        rows[i] =
            (struct counter_extra){names[i], "Packets by decision.", "counter",
                                   (double)counters->reasons[i]};
    }
    counter_write_extra(rows, AFFINITY_REASON__MAX, out);
}
