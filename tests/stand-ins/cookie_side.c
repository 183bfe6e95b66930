/*
 * cookie-side --listen A:P --callers A:P --route A --entry DATAGRAM,READY ...
 *             --control A:P ... --seed N
 *
 * Runs until it is told to stop.  Commands, a line each over TCP:
 *
 *   host N SERVICE ZONE A:P   a host starts at an address
 *   drain N | leave N | crash N | reborn N
 *   flows COUNT               as many flows as are kept open
 *   downloads 0|1             whether some of them ask for large answers
 *   counts | reset
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cookie_side.h"
#include "lib_control.h"

#define TICK_MS  10
#define PROBE_MS 250
#define BEAT_MS  300
#define DRAIN_MS 3000

static void command_host(void *, const char *, GString *);
static void command_drain(void *, const char *, GString *);
static void command_leave(void *, const char *, GString *);
static void command_crash(void *, const char *, GString *);
static void command_reborn(void *, const char *, GString *);
static void command_flows(void *, const char *, GString *);
static void command_downloads(void *, const char *, GString *);
static void command_counts(void *, const char *, GString *);
static void command_reset(void *, const char *, GString *);

static const struct control_command commands[] = {
    {"host", command_host},           {"drain", command_drain},
    {"leave", command_leave},         {"crash", command_crash},
    {"reborn", command_reborn},       {"flows", command_flows},
    {"downloads", command_downloads}, {"counts", command_counts},
    {"reset", command_reset},         {NULL, NULL},
};

static struct side_host *
find_host(struct side *side, const char *rest)
{
    unsigned number = (unsigned)strtoul(rest, NULL, 10);

    for (size_t i = 0; i < side->host_count; i++) {
        if (side->hosts[i].number == number) {
            return &side->hosts[i];
        }
    }
    return NULL;
}

/* A new incarnation of HOST, under ID. */
static void
bear(struct side *side, struct side_host *host, uint64_t id)
{
    host->id = id;
    host->born = (uint64_t)(g_get_real_time() / 1000);
    host->sequence = 0;
    host->alive = true;
    host->draining = false;
    host->leaving = false;
    host->drain_acked_ms = 0;
    host->side = side;
    if (host->flows == NULL) {
        host->flows = g_hash_table_new(NULL, NULL);
        host->sent = g_hash_table_new(NULL, NULL);
    }
    g_hash_table_remove_all(host->sent);
    g_hash_table_remove_all(host->flows);
}

static void
command_host(void *arg, const char *rest, GString *reply)
{
    struct side *side = arg;
    unsigned number;
    char service[SIDE_NAME_MAX], zone[SIDE_NAME_MAX], address[32];
    struct side_host *host = find_host(side, rest);

    if (sscanf(rest, "%u %255s %255s %31s", &number, service, zone, address) !=
        4) {
        g_string_append(reply, "bad");
        return;
    }
    if (host == NULL) {
        host = &side->hosts[side->host_count++];
        host->number = number;
        host->address = net_parse_or_die("host", address);
        net_udp_open(&side->loop, &host->udp, host->address, side_on_host,
                     host);
    }
    g_strlcpy(host->service, service, sizeof(host->service));
    g_strlcpy(host->zone, zone, sizeof(host->zone));
    bear(side, host, ++side->host_seed);
    g_string_append(reply, "ok");
}

static void
command_drain(void *arg, const char *rest, GString *reply)
{
    struct side_host *host = find_host(arg, rest);

    host->leaving = true;
    g_string_append(reply, "ok");
}

static void
command_leave(void *arg, const char *rest, GString *reply)
{
    struct side_host *host = find_host(arg, rest);

    host->alive = false;
    side_leave(arg, host);
    g_string_append(reply, "ok");
}

static void
command_crash(void *arg, const char *rest, GString *reply)
{
    find_host(arg, rest)->alive = false;
    g_string_append(reply, "ok");
}

/* The host starts again under its own id, and knows nothing of before. */
static void
command_reborn(void *arg, const char *rest, GString *reply)
{
    struct side_host *host = find_host(arg, rest);

    bear(arg, host, host->id);
    g_string_append(reply, "ok");
}

static void
command_flows(void *arg, const char *rest, GString *reply)
{
    struct side *side = arg;

    side->flows_wanted = (unsigned)strtoul(rest, NULL, 10);
    g_string_append(reply, "ok");
}

static void
command_downloads(void *arg, const char *rest, GString *reply)
{
    struct side *side = arg;

    side->downloads_wanted = (unsigned)strtoul(rest, NULL, 10);
    g_string_append(reply, "ok");
}

static void
command_counts(void *arg, const char *rest, GString *reply)
{
    const struct side *side = arg;
    const struct side_counts *counts = &side->counts;

    (void)rest;
    g_string_append_printf(
        reply,
        "asked=%" G_GUINT64_FORMAT " served=%" G_GUINT64_FORMAT
        " failed=%" G_GUINT64_FORMAT " reset_open=%" G_GUINT64_FORMAT
        " mixed=%" G_GUINT64_FORMAT " wrong_pool=%" G_GUINT64_FORMAT
        " drained=%" G_GUINT64_FORMAT " ran_twice=%" G_GUINT64_FORMAT
        " downloads=%" G_GUINT64_FORMAT " torn=%" G_GUINT64_FORMAT,
        counts->asked, counts->served, counts->failed, counts->reset_open,
        counts->mixed, counts->wrong_pool, counts->drained, counts->ran_twice,
        counts->downloads, counts->torn);
}

static void
command_reset(void *arg, const char *rest, GString *reply)
{
    (void)rest;
    memset(&((struct side *)arg)->counts, 0, sizeof(struct side_counts));
    g_string_append(reply, "ok");
}

static void
on_tick(uv_timer_t *timer)
{
    struct side *side = timer->data;
    uint64_t now_ms = net_now_ms();

    side_flows_tick(side, now_ms);
    if (now_ms >= side->next_probe_ms) {
        side->next_probe_ms = now_ms + PROBE_MS;
        for (size_t i = 0; i < side->entry_count; i++) {
            if (!side->entries[i].probing) {
                side_probe(side, &side->entries[i]);
            }
        }
    }
    if (now_ms >= side->next_beat_ms) {
        side->next_beat_ms = now_ms + BEAT_MS;
        for (size_t i = 0; i < side->host_count; i++) {
            if (side->hosts[i].alive && !side->hosts[i].calling) {
                side_announce(side, &side->hosts[i]);
            }
        }
    }
}

static void
add_entry(struct side *side, const char *text)
{
    char **parts = g_strsplit(text, ",", 2);
    struct side_entry *entry = &side->entries[side->entry_count++];

    entry->packets = net_parse_or_die("--entry", parts[0]);
    entry->readiness = net_parse_or_die("--entry", parts[1]);
    g_strfreev(parts);
}

static void
take_option(struct side *side, struct net_address *listen,
            struct net_address *callers, const char *name, const char *value)
{
    if (strcmp(name, "--listen") == 0) {
        *listen = net_parse_or_die(name, value);
    }
    else if (strcmp(name, "--callers") == 0) {
        *callers = net_parse_or_die(name, value);
    }
    else if (strcmp(name, "--route") == 0) {
        net_parse_ip(value, &side->route_address);
    }
    else if (strcmp(name, "--entry") == 0) {
        add_entry(side, value);
    }
    else if (strcmp(name, "--control") == 0) {
        side->controls[side->control_count++] = net_parse_or_die(name, value);
    }
    else {
        net_die("unknown option %s; see the head of cookie_side.c", name);
    }
}

int
main(int argc, char **argv)
{
    struct side *side = g_new0(struct side, 1);
    struct net_address listen = {0}, callers = {0};

    signal(SIGPIPE, SIG_IGN);
    uv_loop_init(&side->loop);
    for (int i = 1; i + 1 < argc; i += 2) {
        take_option(side, &listen, &callers, argv[i], argv[i + 1]);
    }
    side->drain_ms = DRAIN_MS;
    side->flows = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    side->ran = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    net_udp_open(&side->loop, &side->callers, callers, side_on_caller, side);
    control_listen(control_new(&side->loop, commands, side), listen);
    uv_timer_init(&side->loop, &side->tick);
    side->tick.data = side;
    uv_timer_start(&side->tick, on_tick, TICK_MS, TICK_MS);
    uv_run(&side->loop, UV_RUN_DEFAULT);
    return 0;
}
