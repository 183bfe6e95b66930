/* Counters of the daemon and of its cores as Prometheus text. */
#include "daemon/daemon_private.h"

#include <string.h>

#include "daemon/control.h"

/* A member of a core's counters, by its place. */
struct metric_row {
    const char *name;
    const char *help;
    size_t offset;
    bool gauge;
};

#define FLOW(member)   offsetof(struct flow_counters, member)
#define CALL(member)   offsetof(struct call_counters, member)
#define POOL(member)   offsetof(struct pool_counters, member)
#define MEMBER(member) offsetof(struct member_counters, member)
#define SPREAD(member) offsetof(struct spread_counters, member)

static const struct metric_row flow_rows[] = {
    {"flows_opened_total", "Flows opened as lead.", FLOW(opened), false},
    {"flows_closed_total", "Flows closed as lead.", FLOW(closed), false},
    {"flows_expired_total", "Idle flows ended.", FLOW(expired), false},
    {"flows_off_map_total", "Flows opened off the map.",
     FLOW(exceptions_opened), false},
    {"flow_copies_total", "Records sent to replicas.", FLOW(records_sent),
     false},
    {"flow_takeovers_total", "Leads taken after a death.", FLOW(takeovers),
     false},
    {"flow_handovers_total", "Leads given by plan.", FLOW(handovers), false},
    {"flows", "Open flows held as lead.", FLOW(flows), true},
    {"flow_exceptions", "Open flows off the map.", FLOW(exceptions), true},
    {"flow_table_bytes", "Memory of the flow table.", FLOW(table_bytes), true},
};

static const struct metric_row call_rows[] = {
    {"calls_total", "Requests taken in as lead.", CALL(requests), false},
    {"calls_duplicate_total", "Duplicates removed.", CALL(duplicates), false},
    {"calls_repeated_total", "Kept answers given again.", CALL(repeated),
     false},
    {"calls_sent_total", "Requests sent to targets.", CALL(sent), false},
    {"calls_retried_total", "Retries sent.", CALL(retries), false},
    {"calls_retry_denied_total", "Retries denied by the budget.",
     CALL(retries_denied), false},
    {"calls_answered_total", "Answers given.", CALL(answered), false},
    {"calls_cancelled_total", "Calls cancelled.", CALL(cancelled), false},
    {"call_records_total", "Call ids recorded.", CALL(records), false},
    {"call_record_bytes_total", "Bytes of call ids sent.", CALL(record_bytes),
     false},
    {"call_epochs_total", "Call epochs won.", CALL(epochs), false},
    {"calls_queued", "Calls that wait.", CALL(gauge_queued), true},
    {"calls_open", "Calls at targets.", CALL(gauge_open), true},
};

static const struct metric_row pool_rows[] = {
    {"targets_expired_total", "Announcements that expired.", POOL(expired),
     false},
    {"targets_moved_total", "Addresses that changed pools.", POOL(moved),
     false},
    {"targets_held_by_traffic_total", "Targets held by traffic's evidence.",
     POOL(held_by_traffic), false},
    {"targets_held_by_endpoint_total", "Targets held by their endpoint.",
     POOL(held_by_endpoint), false},
    {"targets_floor_total", "Holds denied by the floor.", POOL(holds_denied),
     false},
    {"targets", "Targets known.", POOL(gauge_targets), true},
    {"targets_held", "Targets held unhealthy.", POOL(gauge_held), true},
};

static const struct metric_row member_rows[] = {
    {"member_probes_total", "Probes sent.", MEMBER(probes), false},
    {"member_probes_failed_total", "Probes without an answer.",
     MEMBER(probes_failed), false},
    {"member_suspected_total", "Suspicions raised.", MEMBER(suspected), false},
    {"member_refuted_total", "Suspicions refuted.", MEMBER(refuted), false},
    {"member_dead_total", "Daemons declared dead.", MEMBER(declared_dead),
     false},
    {"members_alive", "Daemons alive.", MEMBER(gauge_alive), true},
    {"members_suspect", "Daemons suspected.", MEMBER(gauge_suspect), true},
};

static const struct metric_row spread_rows[] = {
    {"spread_orders_total", "Orders sent.", SPREAD(orders), false},
    {"spread_orders_again_total", "Orders repeated.", SPREAD(orders_again),
     false},
    {"spread_refused_term_total", "Orders of an older term.",
     SPREAD(refused_term), false},
    {"spread_refused_version_total", "Orders of an older version.",
     SPREAD(refused_version), false},
    {"spread_syncs_total", "Comparisons with a peer.", SPREAD(syncs), false},
    {"version_staged", "Table version staged.", SPREAD(gauge_staged), true},
    {"version_in_force", "Table version in force.", SPREAD(gauge_active),
     true},
};

static void write_rows(const void *counters, const struct metric_row *, size_t,
                       GString *);
static void write_reasons(struct daemon *, GString *);

static void
write_rows(const void *counters, const struct metric_row *rows, size_t count,
           GString *out)
{
    for (size_t i = 0; i < count; i++) {
        uint64_t value;
        struct counter_extra extra = {rows[i].name, rows[i].help,
                                      rows[i].gauge ? "gauge" : "counter", 0};

        memcpy(&value, (const char *)counters + rows[i].offset, sizeof(value));
        extra.value = (double)value;
        counter_write_extra(&extra, 1, out);
    }
}

/* Reasons of drops, resets and refusals, as labels. */
static void
write_reasons(struct daemon *daemon, GString *out)
{
    const struct flow_counters *flow = flow_core_counters(daemon->flow);
    const struct call_counters *call = call_core_counters(daemon->call);

    g_string_append(out, "# HELP parsleyspur_reasons_total Drops, resets and "
                         "refusals by reason.\n"
                         "# TYPE parsleyspur_reasons_total counter\n");
    for (size_t i = 1; i < GENEVE__MAX; i++) {
        g_string_append_printf(
            out,
            "parsleyspur_reasons_total{what=\"malformed\",reason=\"%s\"} "
            "%" G_GUINT64_FORMAT "\n",
            geneve_error_name((enum geneve_error)i), daemon->geneve_drops[i]);
    }
    for (size_t i = 1; i < FLOW_REASON__MAX; i++) {
        const char *name = flow_reason_name((enum flow_reason)i);

        g_string_append_printf(
            out,
            "parsleyspur_reasons_total{what=\"flow_dropped\",reason=\"%s\"} "
            "%" G_GUINT64_FORMAT "\n"
            "parsleyspur_reasons_total{what=\"flow_reset\",reason=\"%s\"} "
            "%" G_GUINT64_FORMAT "\n",
            name, flow->dropped[i], name, flow->reset[i]);
    }
    for (size_t i = 0; i < CALL_REASON__MAX; i++) {
        const char *name = call_reason_name((enum call_reason)i);

        g_string_append_printf(
            out,
            "parsleyspur_reasons_total{what=\"call_refused\",reason=\"%s\"} "
            "%" G_GUINT64_FORMAT "\n"
            "parsleyspur_reasons_total{what=\"call_dropped\",reason=\"%s\"} "
            "%" G_GUINT64_FORMAT "\n",
            name, call->refused[i], name, call->dropped[i]);
    }
    for (size_t i = CALL_UNCERTAIN_NONE + 1; i < CALL_UNCERTAIN__MAX; i++) {
        g_string_append_printf(
            out,
            "parsleyspur_reasons_total{what=\"call_unknown\",reason=\"%s\"} "
            "%" G_GUINT64_FORMAT "\n",
            call_uncertainty_name((enum call_uncertainty)i),
            call->uncertain[i]);
    }
}

/* Append all metrics of DAEMON to OUT. */
void
daemon_metrics_write(struct daemon *daemon, GString *out)
{
    counter_write(&daemon->counters, out);
    write_rows(flow_core_counters(daemon->flow), flow_rows,
               G_N_ELEMENTS(flow_rows), out);
    write_rows(call_core_counters(daemon->call), call_rows,
               G_N_ELEMENTS(call_rows), out);
    write_rows(pool_core_counters(daemon->pool), pool_rows,
               G_N_ELEMENTS(pool_rows), out);
    write_rows(member_core_counters(daemon->member), member_rows,
               G_N_ELEMENTS(member_rows), out);
    write_rows(spread_core_counters(daemon->spread), spread_rows,
               G_N_ELEMENTS(spread_rows), out);
    write_reasons(daemon, out);
}
