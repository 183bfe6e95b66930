/*
 * The platform's network: hands each packet of callers and targets to any of
 * the entry daemons, and the daemons' answers to the callers; it also is the
 * network between daemons.  All of it with faults by rules and a seed.
 *
 *     fabric --up ADDRESS:PORT --down ADDRESS:PORT --control ADDRESS:PORT
 *            --entry ADDRESS:PORT ... [--way FROM,TO,VIA,VIA-BACK ...]
 *            [--peer-port PORT] [--seed N] [--script FILE]
 *
 * Callers and targets send to --up; daemons send what is for callers to
 * --down.  Each --way opens both directions between two daemons.
 */
#include <signal.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "edge/geneve.h"
#include "lib_control.h"
#include "lib_path.h"
#include "lib_peer_proxy.h"

#define PEER_PORT_DEFAULT 7946

struct fabric {
    struct path path;
    struct net_udp *up;
    struct net_udp *down;
    struct peer_proxy *peers;
    GArray *entries;     /* struct net_address */
    GHashTable *callers; /* inner address to struct net_address */
    GHashTable *sources; /* outer address to struct net_udp */
    uint64_t unknown;    /* answers for a caller never seen */
    uint64_t malformed;
    uint64_t unreachable; /* packets with every entry daemon cut off */
};

struct options {
    char *up, *down, *control, *script;
    char **entries, **ways;
    int seed, peer_port;
};

static void options_parse(int, char **, struct options *);
static void ways_open(struct fabric *, char **ways);
static void learn(struct fabric *, uint32_t inner, struct net_address);
static struct net_udp *source_of(struct fabric *, uint32_t ip);
static void ignore_cb(void *, struct net_udp *, struct net_address,
                      const uint8_t *, size_t);
static void up_cb(void *, struct net_udp *, struct net_address,
                  const uint8_t *, size_t);
static void down_cb(void *, struct net_udp *, struct net_address,
                    const uint8_t *, size_t);
static void command_fault(void *, const char *, GString *);
static void command_clear(void *, const char *, GString *);
static void command_break(void *, const char *, GString *);
static void command_entry(void *, const char *, GString *);
static void command_gone(void *, const char *, GString *);
static void command_status(void *, const char *, GString *);

static const struct control_command commands[] = {
    {"fault", command_fault}, /* SOURCE DESTINATION NAME=VALUE... */
    {"clear", command_clear}, /* take back every fault */
    {"break", command_break}, /* FROM TO: reset TCP between two daemons */
    {"entry", command_entry}, /* ADDRESS:PORT: one more entry daemon */
    {"gone", command_gone},   /* ADDRESS:PORT: one less */
    {"status", command_status}, {NULL, NULL},
};

static void
options_parse(int argc, char **argv, struct options *options)
{
    const GOptionEntry entries[] = {
        {"up", 0, 0, G_OPTION_ARG_STRING, &options->up, NULL, NULL},
        {"down", 0, 0, G_OPTION_ARG_STRING, &options->down, NULL, NULL},
        {"control", 0, 0, G_OPTION_ARG_STRING, &options->control, NULL, NULL},
        {"script", 0, 0, G_OPTION_ARG_STRING, &options->script, NULL, NULL},
        {"entry", 0, 0, G_OPTION_ARG_STRING_ARRAY, &options->entries, NULL,
         NULL},
        {"way", 0, 0, G_OPTION_ARG_STRING_ARRAY, &options->ways, NULL, NULL},
        {"seed", 0, 0, G_OPTION_ARG_INT, &options->seed, NULL, NULL},
        {"peer-port", 0, 0, G_OPTION_ARG_INT, &options->peer_port, NULL, NULL},
        G_OPTION_ENTRY_NULL,
    };
    GOptionContext *context = g_option_context_new(NULL);
    GError *error = NULL;

    g_option_context_add_main_entries(context, entries, NULL);
    if (!g_option_context_parse(context, &argc, &argv, &error)) {
        net_die("fabric: %s", error->message);
    }
    g_option_context_free(context);
}

/* Open each "FROM,TO,VIA,VIA-BACK". */
static void
ways_open(struct fabric *fabric, char **ways)
{
    for (size_t i = 0; ways != NULL && ways[i] != NULL; i++) {
        char **words = g_strsplit(ways[i], ",", 0);
        struct peer_way way, back;

        if (g_strv_length(words) != 4 || !net_parse_ip(words[0], &way.from) ||
            !net_parse_ip(words[1], &way.to) ||
            !net_parse_ip(words[2], &way.via) ||
            !net_parse_ip(words[3], &back.via)) {
            net_die("--way: got \"%s\", expected FROM,TO,VIA,VIA-BACK",
                    ways[i]);
        }
        back.from = way.to;
        back.to = way.from;
        peer_proxy_add(fabric->peers, &way, &back);
        g_strfreev(words);
    }
}

/* Remember where the packets of an inner address come from. */
static void
learn(struct fabric *fabric, uint32_t inner, struct net_address from)
{
    struct net_address *known =
        g_hash_table_lookup(fabric->callers, GUINT_TO_POINTER(inner));

    if (known == NULL) {
        known = g_new(struct net_address, 1);
        g_hash_table_insert(fabric->callers, GUINT_TO_POINTER(inner), known);
    }
    *known = from;
}

static void
ignore_cb(void *arg, struct net_udp *udp, struct net_address from,
          const uint8_t *data, size_t len)
{
    (void)arg;
    (void)udp;
    (void)from;
    (void)data;
    (void)len;
}

/*
 * A socket that sends from IP, since the outer source of a packet is still
 * its sender's when it comes out of a fabric.
 */
static struct net_udp *
source_of(struct fabric *fabric, uint32_t ip)
{
    struct net_address local = {ip, 0};
    struct net_udp *udp =
        g_hash_table_lookup(fabric->sources, GUINT_TO_POINTER(ip));

    if (udp == NULL) {
        udp = g_new0(struct net_udp, 1);
        net_udp_open(fabric->path.loop, udp, local, ignore_cb, fabric);
        g_hash_table_insert(fabric->sources, GUINT_TO_POINTER(ip), udp);
    }
    return udp;
}

/* A packet of a caller or a target: to any entry daemon that it reaches. */
static void
up_cb(void *arg, struct net_udp *udp, struct net_address from,
      const uint8_t *data, size_t len)
{
    struct fabric *fabric = arg;
    struct net_address *reached[256];
    struct geneve_packet packet;
    uint32_t count = 0;
    struct net_address *to;

    (void)udp;
    if (geneve_decode(data, len, &packet) == GENEVE_OK) {
        learn(fabric, packet.src, from);
    }
    for (guint i = 0; i < fabric->entries->len && count < 256; i++) {
        to = &g_array_index(fabric->entries, struct net_address, i);
        if (!fault_is_cut(fabric->path.rules, from.ip, to->ip)) {
            reached[count++] = to;
        }
    }
    if (count == 0) {
        fabric->unreachable++;
        return;
    }
    to = reached[fault_random(fabric->path.rules, count)];
    path_send(&fabric->path, source_of(fabric, from.ip), from.ip, to->ip, *to,
              data, len);
}

/* A packet of a daemon for a caller. */
static void
down_cb(void *arg, struct net_udp *udp, struct net_address from,
        const uint8_t *data, size_t len)
{
    struct fabric *fabric = arg;
    struct geneve_packet packet;
    const struct net_address *to;

    if (geneve_decode(data, len, &packet) != GENEVE_OK) {
        fabric->malformed++;
        return;
    }
    to = g_hash_table_lookup(fabric->callers, GUINT_TO_POINTER(packet.dst));
    if (to == NULL) {
        fabric->unknown++;
        return;
    }
    path_send(&fabric->path, udp, from.ip, to->ip, *to, data, len);
}

static void
command_fault(void *arg, const char *rest, GString *reply)
{
    struct fabric *fabric = arg;
    GString *error = g_string_new(NULL);

    if (fault_rules_set(fabric->path.rules, rest, error)) {
        g_string_append(reply, "ok");
    }
    else {
        g_string_append_printf(reply, "error: %s", error->str);
    }
    g_string_free(error, TRUE);
}

static void
command_clear(void *arg, const char *rest, GString *reply)
{
    struct fabric *fabric = arg;

    (void)rest;
    fault_rules_clear(fabric->path.rules);
    g_string_append(reply, "ok");
}

static void
command_break(void *arg, const char *rest, GString *reply)
{
    struct fabric *fabric = arg;
    char **words = g_strsplit(rest, " ", 0);
    uint32_t from, to;

    if (g_strv_length(words) == 2 && net_parse_ip(words[0], &from) &&
        net_parse_ip(words[1], &to)) {
        peer_proxy_break(fabric->peers, from, to);
        g_string_append(reply, "ok");
    }
    else {
        g_string_append(reply, "error: expected FROM TO");
    }
    g_strfreev(words);
}

static void
command_entry(void *arg, const char *rest, GString *reply)
{
    struct fabric *fabric = arg;
    struct net_address entry = net_parse_or_die("entry", rest);

    g_array_append_val(fabric->entries, entry);
    g_string_append(reply, "ok");
}

static void
command_gone(void *arg, const char *rest, GString *reply)
{
    struct fabric *fabric = arg;
    struct net_address gone = net_parse_or_die("gone", rest);

    for (guint i = 0; i < fabric->entries->len; i++) {
        struct net_address *entry =
            &g_array_index(fabric->entries, struct net_address, i);

        if (entry->ip == gone.ip && entry->port == gone.port) {
            g_array_remove_index(fabric->entries, i);
            break;
        }
    }
    g_string_append(reply, "ok");
}

static void
command_status(void *arg, const char *rest, GString *reply)
{
    const struct fabric *fabric = arg;
    const struct path_counters *counters = &fabric->path.counters;

    (void)rest;
    g_string_append_printf(
        reply,
        "entries=%u callers=%u passed=%lu lost=%lu doubled=%lu delayed=%lu "
        "unknown=%lu malformed=%lu unreachable=%lu unsent=%lu",
        fabric->entries->len, g_hash_table_size(fabric->callers),
        counters->passed, counters->lost, counters->doubled, counters->delayed,
        fabric->unknown, fabric->malformed, fabric->unreachable,
        fabric->up->unsent + fabric->down->unsent);
}

int
main(int argc, char **argv)
{
    struct options options = {.seed = 1, .peer_port = PEER_PORT_DEFAULT};
    uv_loop_t *loop = uv_default_loop();
    struct fabric fabric;
    struct control *control;

    signal(SIGPIPE, SIG_IGN); /* a daemon may be gone when a cut heals */
    options_parse(argc, argv, &options);
    memset(&fabric, 0, sizeof(fabric));
    fabric.path.loop = loop;
    fabric.path.rules = fault_rules_new((uint32_t)options.seed);
    fabric.peers = peer_proxy_new(&fabric.path, (uint16_t)options.peer_port);
    fabric.entries = g_array_new(FALSE, FALSE, sizeof(struct net_address));
    fabric.sources = g_hash_table_new(NULL, NULL);
    fabric.callers = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    fabric.up = g_new0(struct net_udp, 1);
    fabric.down = g_new0(struct net_udp, 1);
    for (size_t i = 0; options.entries != NULL && options.entries[i] != NULL;
         i++) {
        struct net_address entry =
            net_parse_or_die("entry", options.entries[i]);

        g_array_append_val(fabric.entries, entry);
    }
    ways_open(&fabric, options.ways);
    net_udp_open(loop, fabric.up, net_parse_or_die("up", options.up), up_cb,
                 &fabric);
    net_udp_open(loop, fabric.down, net_parse_or_die("down", options.down),
                 down_cb, &fabric);
    control = control_new(loop, commands, &fabric);
    control_listen(control, net_parse_or_die("control", options.control));
    if (options.script != NULL) {
        control_script(control, options.script);
    }
    return uv_run(loop, UV_RUN_DEFAULT);
}
