/*
 * A model of the control traffic: many membership and spreading cores in one
 * process, with every message packed and unpacked as on the wire.  What is
 * not in it: sockets, TCP acknowledgements, the tables of the daemons.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <malloc.h>

#include <glib.h>

#include "control_model.h"
#include "peer/member_wire.h"
#include "peer/spread_wire.h"

static void start_node(struct model *, size_t);
static void post(struct model *, size_t from, size_t to, bool is_member,
                 GByteArray *);
static void member_step(struct model *, size_t, const struct member_event *);
static void spread_step(struct model *, size_t, const struct spread_event *);
static void give_view(struct model *, size_t);
static void give_difference(struct model *, size_t,
                            const struct spread_action *);
static void deliver(struct model *);
static void announce(struct model *, size_t target);
static void commit(struct model *);
static void tick(struct model *, uint64_t tick);
static void simulate_ticks(struct model *, uint64_t ticks);
static void simulate(struct model *, unsigned seconds);
static void open_model(struct model *);
static void close_model(struct model *);
static uint64_t detect(struct model *, size_t);
static int compare_ms(const void *, const void *);
static void run_detection(void);
static double used_kb(void);
static void measure(struct run *);
static double slope(const double *x, const double *y, size_t count);
static void set_size(struct run *, const char *name, double value);
static void run_series(const char *name, const double *values, size_t);

static const uint8_t edit_bytes[EDIT_BYTES];

static double
used_kb(void)
{
    struct mallinfo2 info = mallinfo2();

    return (double)(info.uordblks + info.hblkhd) / 1024.0;
}

static void
start_node(struct model *model, size_t index)
{
    struct node *node = &model->nodes[index];
    const uint32_t seeds[] = {BASE_ADDRESS, BASE_ADDRESS + 1};
    struct member_options member = {
        .name = node->name,
        .zone = node->zone,
        .address = BASE_ADDRESS + (uint32_t)index,
        .incarnation = ++node->incarnation * 1000000,
        .entry = true,
        .seeds = seeds,
        .seed_count = 2,
        .seed = index + 1,
    };
    struct spread_options spread = {
        .self = view_daemon_id(node->name),
        .zone = node->zone,
        .entry = true,
        .seed = index + 1,
    };

    member_core_free(node->member);
    spread_core_free(node->spread);
    node->member = member_core_new(&member);
    node->spread = spread_core_new(&spread);
    give_view(model, index);
}

static void
post(struct model *model, size_t from, size_t to, bool is_member,
     GByteArray *bytes)
{
    struct packet packet = {(uint32_t)to, (uint32_t)from, is_member, bytes};

    model->nodes[from].bytes +=
        bytes->len + (is_member ? UDP_HEADERS : TCP_HEADERS);
    g_array_append_val(model->next_packets, packet);
}

static void
give_view(struct model *model, size_t index)
{
    struct spread_event event = {.kind = SPREAD_EV_VIEW};

    event.u.view.daemons =
        member_core_daemons(model->nodes[index].member, &event.u.view.count);
    spread_step(model, index, &event);
}

static void
member_step(struct model *model, size_t index,
            const struct member_event *event)
{
    struct member_actions *actions = &model->member_actions;
    bool changed = false;

    if (model->nodes[index].member == NULL) {
        return;
    }
    actions->count = 0;
    member_core_step(model->nodes[index].member, model->now_us, event,
                     actions);
    for (size_t i = 0; i < actions->count; i++) {
        const struct member_action *action = &actions->items[i];
        GByteArray *bytes;

        if (action->kind == MEMBER_ACT_CHANGED) {
            changed = true;
            continue;
        }
        bytes = g_byte_array_new();
        member_wire_pack(&action->u.send.message, bytes);
        post(model, index, action->u.send.address - BASE_ADDRESS, true, bytes);
    }
    if (changed) {
        give_view(model, index);
    }
}

static void
give_difference(struct model *model, size_t index,
                const struct spread_action *need)
{
    struct spread_event event = {.kind = SPREAD_EV_DIFFERENCE};

    event.u.difference.to = need->u.need.to;
    event.u.difference.bytes = (struct spread_bytes){
        need->u.need.from, need->u.need.version, edit_bytes, EDIT_BYTES};
    spread_step(model, index, &event);
}

static void
spread_step(struct model *model, size_t index,
            const struct spread_event *event)
{
    struct spread_actions actions = {0};

    if (model->nodes[index].spread == NULL) {
        return;
    }
    spread_core_step(model->nodes[index].spread, model->now_us, event,
                     &actions);
    for (size_t i = 0; i < actions.count; i++) {
        const struct spread_action *action = &actions.items[i];
        size_t *to;

        if (action->kind == SPREAD_ACT_IN_FORCE) {
            double ms = (double)(model->now_us - model->committed_us) / 1000.0;

            g_array_append_val(model->in_force_ms, ms);
        }
        if (action->kind != SPREAD_ACT_SEND) {
            continue;
        }
        to = g_hash_table_lookup(model->by_id, &action->u.send.to.value);
        if (to != NULL) {
            GByteArray *bytes = g_byte_array_new();

            spread_wire_pack(&action->u.send.message, bytes);
            post(model, index, *to, false, bytes);
        }
    }
    for (size_t i = 0; i < actions.count; i++) {
        if (actions.items[i].kind == SPREAD_ACT_NEED) {
            struct spread_action need = actions.items[i];

            give_difference(model, index, &need);
        }
    }
    spread_actions_clear(&actions);
}

static void
deliver(struct model *model)
{
    GArray *packets = model->next_packets;

    model->next_packets = model->now_packets;
    model->now_packets = packets;
    g_array_set_size(model->next_packets, 0);
    for (guint i = 0; i < packets->len; i++) {
        struct packet packet = g_array_index(packets, struct packet, i);
        struct member_message member;
        struct spread_message spread;

        if (packet.is_member &&
            member_wire_unpack(packet.bytes->data, packet.bytes->len,
                               &member)) {
            struct member_event event = {.kind = MEMBER_EV_MESSAGE};

            event.u.message.from_address = BASE_ADDRESS + packet.from;
            event.u.message.message = &member;
            member_step(model, packet.to, &event);
        }
        if (!packet.is_member &&
            spread_wire_unpack(packet.bytes->data, packet.bytes->len,
                               &spread)) {
            struct spread_event event = {.kind = SPREAD_EV_MESSAGE};

            event.u.message.from =
                view_daemon_id(model->nodes[packet.from].name);
            event.u.message.message = &spread;
            spread_step(model, packet.to, &event);
            spread_message_clear(&spread);
        }
        g_byte_array_free(packet.bytes, TRUE);
    }
}

/* TARGET announces itself to a daemon of its zone, taken by chance. */
static void
announce(struct model *model, size_t target)
{
    size_t zones = model->run->zones;
    size_t per_zone = model->run->daemons / zones;
    size_t index =
        target % zones +
        zones * (size_t)g_rand_int_range(model->rand, 0, (gint32)per_zone);
    struct spread_event event = {.kind = SPREAD_EV_ANNOUNCED};

    event.u.announced.pool.value = 1 + target % model->run->pools;
    event.u.announced.view = (struct target_view){
        .key = {0x0b000000u + (uint32_t)target, 1},
        .port = 6081,
        .weight = (uint16_t)(100 + model->target_changes[target] % 2),
        .slots = 2,
        .connections = 2000,
    };
    event.u.announced.life_ms = LIFE_MS;
    spread_step(model, index, &event);
}

static void
commit(struct model *model)
{
    struct spread_event event = {.kind = SPREAD_EV_COMMITTED};

    event.u.committed = (struct spread_bytes){
        model->committed, model->committed + 1, edit_bytes, EDIT_BYTES};
    model->committed++;
    model->committed_us = model->now_us;
    spread_step(model, 0, &event);
}

static void
tick(struct model *model, uint64_t number)
{
    const struct member_event member = {.kind = MEMBER_EV_TICK};
    const struct spread_event spread = {.kind = SPREAD_EV_TICK};
    const struct run *run = model->run;
    double tick_s = TICK_US / 1e6;
    uint64_t period = ANNOUNCE_S * 1000000 / TICK_US;

    for (size_t i = number % period; i < run->targets; i += period) {
        announce(model, i);
    }
    if (g_rand_double(model->rand) < run->changes_per_s * tick_s) {
        model->target_changes[(size_t)g_rand_int_range(
            model->rand, 0, (gint32)run->targets)]++;
    }
    if (model->leading &&
        g_rand_double(model->rand) < run->edits_per_s * tick_s) {
        commit(model);
    }
    if (g_rand_double(model->rand) < run->restarts_per_s * tick_s) {
        start_node(model, 1 + (size_t)g_rand_int_range(
                                  model->rand, 0, (gint32)run->daemons - 1));
    }
    for (size_t i = 0; i < run->daemons; i++) {
        member_step(model, i, &member);
        spread_step(model, i, &spread);
    }
}

/* Messages travel for DELAY_US; those of one tick arrive before the next. */
static void
simulate_ticks(struct model *model, uint64_t ticks)
{
    for (uint64_t i = 0; i < ticks; i++) {
        uint64_t start_us = model->now_us;

        tick(model, start_us / TICK_US);
        while (model->next_packets->len > 0 &&
               model->now_us + DELAY_US < start_us + TICK_US) {
            model->now_us += DELAY_US;
            deliver(model);
        }
        model->now_us = start_us + TICK_US;
    }
}

static void
simulate(struct model *model, unsigned seconds)
{
    simulate_ticks(model, (uint64_t)seconds * 1000000 / TICK_US);
}

/* Start all daemons of a new model of MODEL's run. */
static void
open_model(struct model *model)
{
    struct run *run = model->run;

    model->now_us = 1000000;
    model->nodes = g_new0(struct node, run->daemons);
    model->by_id =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    model->now_packets = g_array_new(FALSE, FALSE, sizeof(struct packet));
    model->next_packets = g_array_new(FALSE, FALSE, sizeof(struct packet));
    model->in_force_ms = g_array_new(FALSE, FALSE, sizeof(double));
    model->rand = g_rand_new_with_seed(7);
    model->target_changes = g_new0(uint32_t, run->targets);
    for (size_t i = 0; i < run->daemons; i++) {
        struct node *node = &model->nodes[i];
        uint64_t id;

        snprintf(node->name, sizeof(node->name), "daemon-%zu", i);
        snprintf(node->zone, sizeof(node->zone), "zone-%zu", i % run->zones);
        id = view_daemon_id(node->name).value;
        g_hash_table_insert(model->by_id, g_memdup2(&id, sizeof(id)),
                            g_memdup2(&i, sizeof(i)));
        start_node(model, i);
        spread_core_set_synced(node->spread);
    }
    simulate(model, SETTLE_S);
}

static void
close_model(struct model *model)
{
    for (size_t i = 0; i < model->run->daemons; i++) {
        member_core_free(model->nodes[i].member);
        spread_core_free(model->nodes[i].spread);
    }
    for (guint i = 0; i < model->next_packets->len; i++) {
        g_byte_array_free(
            g_array_index(model->next_packets, struct packet, i).bytes, TRUE);
    }
    g_array_free(model->now_packets, TRUE);
    g_array_free(model->next_packets, TRUE);
    g_array_free(model->in_force_ms, TRUE);
    g_hash_table_destroy(model->by_id);
    g_rand_free(model->rand);
    g_free(model->target_changes);
    g_free(model->nodes);
    member_actions_clear(&model->member_actions);
}

/* Run the model at RUN's sizes and fill in what it measures. */
static void
measure(struct run *run)
{
    struct model model = {.run = run};
    struct spread_event lead = {.kind = SPREAD_EV_LEAD};
    double before_kb = used_kb();
    uint64_t total = 0;
    uint64_t busiest = 0;
    clock_t clocks;

    open_model(&model);
    lead.u.lead.term = 1;
    lead.u.lead.leading = true;
    spread_step(&model, 0, &lead);
    model.leading = true;
    for (size_t i = 0; i < run->daemons; i++) {
        model.nodes[i].bytes = 0;
    }
    clocks = clock();
    simulate(&model, MEASURE_S);
    clocks = clock() - clocks;
    run->kb = (used_kb() - before_kb) / (double)run->daemons;
    for (size_t i = 0; i < run->daemons; i++) {
        total += model.nodes[i].bytes;
        busiest = MAX(busiest, model.nodes[i].bytes);
    }
    run->bytes_per_s = (double)total / MEASURE_S / (double)run->daemons;
    run->max_bytes_per_s = (double)busiest / MEASURE_S;
    run->core_percent = 100.0 * (double)clocks / CLOCKS_PER_SEC / MEASURE_S /
                        (double)run->daemons;
    for (guint i = 0; i < model.in_force_ms->len; i++) {
        double ms = g_array_index(model.in_force_ms, double, i);

        run->in_force_ms += ms / model.in_force_ms->len;
        run->in_force_max_ms = MAX(run->in_force_max_ms, ms);
    }
    close_model(&model);
}

/* Kill daemon VICTIM; the time in ms until all others see it dead. */
static uint64_t
detect(struct model *model, size_t victim)
{
    struct node *node = &model->nodes[victim];
    uint64_t start_us = model->now_us;
    bool seen = false;

    member_core_free(node->member);
    spread_core_free(node->spread);
    node->member = NULL;
    node->spread = NULL;
    while (!seen && model->now_us - start_us < 60000000) {
        simulate_ticks(model, 1);
        seen = true;
        for (size_t i = 0; i < model->run->daemons; i++) {
            if (model->nodes[i].member != NULL) {
                seen &=
                    member_core_counters(model->nodes[i].member)->gauge_dead ==
                    1;
            }
        }
    }
    return (model->now_us - start_us) / 1000;
}

static int
compare_ms(const void *a, const void *b)
{
    uint64_t left = *(const uint64_t *)a;
    uint64_t right = *(const uint64_t *)b;

    return left < right ? -1 : left > right;
}

/* How long it takes until all see that a daemon was killed. */
static void
run_detection(void)
{
    struct run run = {.daemons = 8, .zones = 4, .targets = 18, .pools = 2};
    struct model model = {.run = &run};
    uint64_t ms[DETECTIONS];

    open_model(&model);
    for (size_t i = 0; i < DETECTIONS; i++) {
        ms[i] = detect(&model, i % run.daemons);
        start_node(&model, i % run.daemons);
        simulate(&model, SETTLE_S + (unsigned)i % 7);
    }
    close_model(&model);
    qsort(ms, DETECTIONS, sizeof(ms[0]), compare_ms);
    printf("control_model.detect_ms_p50 %lu ms\n",
           (unsigned long)ms[DETECTIONS / 2]);
    printf("control_model.detect_ms_p99 %lu ms\n",
           (unsigned long)ms[DETECTIONS * 99 / 100]);
}

/* The slope of the least-squares line through COUNT points. */
static double
slope(const double *x, const double *y, size_t count)
{
    double sx = 0;
    double sy = 0;
    double sxx = 0;
    double sxy = 0;
    double n = (double)count;

    for (size_t i = 0; i < count; i++) {
        sx += x[i];
        sy += y[i];
        sxx += x[i] * x[i];
        sxy += x[i] * y[i];
    }
    return (n * sxy - sx * sy) / (n * sxx - sx * sx);
}

/* Let the size called NAME be VALUE in RUN. */
static void
set_size(struct run *run, const char *name, double value)
{
    if (strcmp(name, "daemons") == 0) {
        run->daemons = (size_t)value;
    }
    else if (strcmp(name, "targets") == 0) {
        run->targets = (size_t)value;
    }
    else if (strcmp(name, "pools") == 0) {
        run->pools = (size_t)value;
    }
    else if (strcmp(name, "edits_per_hour") == 0) {
        run->edits_per_s = value / 3600.0;
    }
    else {
        run->daemons = (size_t)value;
        run->targets = (size_t)(value * DESIGN_TARGETS);
        run->pools = (size_t)(value * DESIGN_POOLS);
        run->edits_per_s = DESIGN_EDITS_PER_S;
        run->changes_per_s = DESIGN_CHANGES_PER_S;
        run->restarts_per_s = DESIGN_RESTARTS_PER_S;
    }
}

/* Measure at each of VALUES, all else as today, and print the lines. */
static void
run_series(const char *name, const double *values, size_t count)
{
    double x[8];
    double bytes[8];
    double core[8];
    double kb[8];

    for (size_t i = 0; i < count; i++) {
        struct run run = {.daemons = 8,
                          .zones = 4,
                          .targets = 18,
                          .pools = 2,
                          .edits_per_s = 0.1,
                          .changes_per_s = 0.1};

        set_size(&run, name, values[i]);
        run.zones = run.daemons >= (size_t)4 * ZONES ? ZONES : run.zones;
        measure(&run);
        x[i] = values[i];
        bytes[i] = run.bytes_per_s;
        core[i] = run.core_percent;
        kb[i] = run.kb;
        printf("control_model.bytes_per_s.%s_%.0f %.1f B/s\n", name, values[i],
               run.bytes_per_s);
        printf("control_model.busiest_bytes_per_s.%s_%.0f %.1f B/s\n", name,
               values[i], run.max_bytes_per_s);
        printf("control_model.core_percent.%s_%.0f %.4f %%\n", name, values[i],
               run.core_percent);
        printf("control_model.memory_kb.%s_%.0f %.1f KB\n", name, values[i],
               run.kb);
        printf("control_model.in_force_ms.%s_%.0f %.1f ms\n", name, values[i],
               run.in_force_ms);
        printf("control_model.in_force_max_ms.%s_%.0f %.1f ms\n", name,
               values[i], run.in_force_max_ms);
        fflush(stdout);
    }
    printf("control_model.bytes_per_s.slope_%s %.5f B/s\n", name,
           slope(x, bytes, count));
    printf("control_model.core_percent.slope_%s %.7f %%\n", name,
           slope(x, core, count));
    printf("control_model.memory_kb.slope_%s %.5f KB\n", name,
           slope(x, kb, count));
}

int
main(void)
{
    const double daemons[] = {8, 32, 128, 512};
    const double targets[] = {18, 72, 288, 1152};
    const double pools[] = {2, 8, 32, 128};
    const double edits[] = {60, 240, 960, 3600};

    const double design[] = {64, 128, 256, 512};

    run_detection();
    run_series("daemons", daemons, 4);
    run_series("targets", targets, 4);
    run_series("pools", pools, 4);
    run_series("edits_per_hour", edits, 4);
    run_series("design", design, 4);
    return EXIT_SUCCESS;
}
