/* The table of settings, and what one row's text must look like. */
#include "base/settings.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "base/view.h"

#define NAME_LEN_MAX 63 /* bytes of a name without its NUL */
#define AT(member)   offsetof(struct settings, member)

static const struct setting_row rows[] = {
    {"name", SETTING_NAME, "daemon", NULL, 0, 0, NULL, AT(name),
     "name of this daemon, unique in the cluster"},
    {"zone", SETTING_NAME, "zone", NULL, 0, 0, NULL, AT(zone),
     "availability zone of this daemon"},
    {"cluster", SETTING_NAME, "parsleyspur", NULL, 0, 0, NULL, AT(cluster),
     "name of the cluster; a peer of another cluster is refused"},
    {"roles", SETTING_CHOICE, "entry,control", NULL, 0, 0,
     "entry|control|entry,control|control,entry", AT(roles),
     "what this daemon does"},
    {"address", SETTING_ADDRESS, "127.0.0.1", NULL, 0, 0, NULL, AT(address),
     "address for packets and for the other daemons"},
    {"geneve-port", SETTING_NUMBER, "6081", "port", 1, 65535, NULL,
     AT(geneve_port), "UDP port for Geneve packets"},
    {"peer-port", SETTING_NUMBER, "7946", "port", 1, 65535, NULL,
     AT(peer_port), "TCP and UDP port between daemons"},
    {"peers", SETTING_TEXT, "", NULL, 0, 0, NULL, AT(peers_text),
     "addresses of some other daemons, split by commas"},
    {"voters", SETTING_TEXT, "", NULL, 0, 0, NULL, AT(voters_text),
     "control daemons with a vote, NAME=ADDRESS split by commas"},
    {"peer-map", SETTING_TEXT, "", NULL, 0, 0, NULL, AT(peer_map_text),
     "other ways to peers, ADDRESS=ADDRESS:PORT split by commas"},
    {"fabric", SETTING_ENDPOINT, "127.0.0.1:6082", NULL, 0, 0, NULL,
     AT(fabric), "where answers to callers are sent"},
    {"admin", SETTING_ENDPOINT, "127.0.0.1:8080", NULL, 0, 0, NULL, AT(admin),
     "HTTP address of the administration API"},
    {"token-file", SETTING_PATH, NULL, NULL, 0, 0, NULL, AT(token_file),
     "file that holds the operators' token"},
    {"data-dir", SETTING_PATH, NULL, NULL, 0, 0, NULL, AT(data_dir),
     "folder for the state that must survive"},
    {"log-format", SETTING_CHOICE, "text", NULL, 0, 0, "text|json",
     AT(log_format), "form of log lines"},
    {"span-file", SETTING_PATH, NULL, NULL, 0, 0, NULL, AT(span_file),
     "file for spans as OTLP JSON lines"},
    {"span-sample", SETTING_NUMBER, "1000", "flows", 1, 1000000000, NULL,
     AT(span_sample), "one flow or call in this many is traced"},
    {"span-max", SETTING_NUMBER, "64", "MB", 1, 4096, NULL, AT(span_max_mb),
     "size at which the span file is started anew"},
    {"max-flows", SETTING_NUMBER, "1000000", "flows", 1, 100000000, NULL,
     AT(max_flows), "flows that this daemon may hold"},
    {"probe-interval", SETTING_NUMBER, "1000", "ms", 50, 60000, NULL,
     AT(probe_interval_ms), "time between health probes of a target"},
    {"probe-timeout", SETTING_NUMBER, "500", "ms", 10, 60000, NULL,
     AT(probe_timeout_ms), "time limit of a health probe"},
    {"announce-ttl", SETTING_NUMBER, "10000", "ms", 500, 600000, NULL,
     AT(announce_ttl_ms), "life of a target's announcement"},
    {"control-rate", SETTING_NUMBER, "4000", "bytes/s", 500, 1000000, NULL,
     AT(control_bytes_per_s), "budget of control traffic"},
    {"drain-time", SETTING_NUMBER, "3000", "ms", 0, 3600000, NULL,
     AT(drain_ms), "time that a planned stop forwards on after hand-over"},
    {"seed", SETTING_NUMBER, "0", "number", 0, INT64_MAX, NULL, AT(seed),
     "seed of random choices; 0 takes one from the clock"},
};

static bool valid_name(const char *);
static bool valid_choice(const char *, const char *choices);
static bool parse_number(const struct setting_row *, const char *, int64_t *);
static bool split_peer(const char *, struct settings_peer *);
static bool parse_list(const char *, const char *flag, bool wants_name,
                       struct settings_peer *, size_t *, GError **);
static bool parse_map(struct settings *, GError **);

/* The rows of the table, in the order of the manual. */
const struct setting_row *
settings_rows(size_t *count)
{
    *count = G_N_ELEMENTS(rows);
    return rows;
}

/* Fill SETTINGS with the defaults.  Free with settings_clear(). */
void
settings_init(struct settings *settings)
{
    memset(settings, 0, sizeof(*settings));
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        if (rows[i].fallback != NULL) {
            settings_set(settings, &rows[i], rows[i].fallback, "default",
                         NULL);
        }
    }
}

/* Free the texts that SETTINGS owns. */
void
settings_clear(struct settings *settings)
{
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        switch (rows[i].type) {
        case SETTING_TEXT:
        case SETTING_NAME:
        case SETTING_PATH:
        case SETTING_CHOICE:
            g_free(*(char **)((char *)settings + rows[i].offset));
            break;
        case SETTING_NUMBER:
        case SETTING_ADDRESS:
        case SETTING_ENDPOINT:
        case SETTING__MAX:
            break;
        }
    }
    memset(settings, 0, sizeof(*settings));
}

/* The environment variable of ROW; the caller frees it. */
char *
settings_env_name(const struct setting_row *row)
{
    char *upper = g_ascii_strup(row->flag, -1);
    char *name;

    g_strdelimit(upper, "-", '_');
    name = g_strconcat(SETTINGS_ENV_PREFIX, upper, NULL);
    g_free(upper);
    return name;
}

static bool
valid_name(const char *text)
{
    size_t len = strlen(text);

    return len > 0 && len <= NAME_LEN_MAX &&
           strspn(text, G_CSET_a_2_z G_CSET_A_2_Z G_CSET_DIGITS "-_.") == len;
}

static bool
valid_choice(const char *text, const char *choices)
{
    char **words = g_strsplit(choices, "|", -1);
    bool found = g_strv_contains((const char *const *)words, text);

    g_strfreev(words);
    return found;
}

static bool
parse_number(const struct setting_row *row, const char *text, int64_t *value)
{
    char *end;

    errno = 0;
    *value = g_ascii_strtoll(text, &end, 10);
    return errno == 0 && end != text && *end == '\0' && *value >= row->min &&
           *value <= row->max;
}

/*
 * Parse "ADDRESS" or "ADDRESS:PORT".  Without a port DEFAULT_PORT is taken;
 * a DEFAULT_PORT of 0 makes the port mandatory.
 */
bool
settings_parse_endpoint(const char *text, uint16_t default_port,
                        struct settings_endpoint *endpoint)
{
    const char *colon = strchr(text, ':');
    char *host = colon == NULL ? g_strdup(text)
                               : g_strndup(text, (size_t)(colon - text));
    struct in_addr parsed;
    bool ok = inet_pton(AF_INET, host, &parsed) == 1;
    guint64 port = default_port;

    g_free(host);
    if (ok && colon != NULL) {
        ok = g_ascii_string_to_unsigned(colon + 1, 10, 1, 65535, &port, NULL);
    }
    if (!ok || port == 0) {
        return false;
    }
    endpoint->address = ntohl(parsed.s_addr);
    endpoint->port = (uint16_t)port;
    return true;
}

/*
 * Set the member of ROW from TEXT, which came from ORIGIN ("flag --x" or a
 * variable's name, for the message).  False with ERR_SETTING if it is wrong.
 */
bool
settings_set(struct settings *settings, const struct setting_row *row,
             const char *text, const char *origin, GError **error)
{
    void *member = (char *)settings + row->offset;
    int64_t number;

    switch (row->type) {
    case SETTING_NAME:
        if (!valid_name(text)) {
            g_set_error(error, ERR_DOMAIN, ERR_SETTING,
                        "%s: got \"%s\"; give 1 to %d letters, digits, "
                        "'-', '_' or '.'",
                        origin, text, NAME_LEN_MAX);
            return false;
        }
        break;
    case SETTING_CHOICE:
        if (!valid_choice(text, row->choices)) {
            g_set_error(error, ERR_DOMAIN, ERR_SETTING,
                        "%s: got \"%s\"; give one of %s", origin, text,
                        row->choices);
            return false;
        }
        break;
    case SETTING_NUMBER:
        if (!parse_number(row, text, &number)) {
            g_set_error(error, ERR_DOMAIN, ERR_SETTING,
                        "%s: got \"%s\"; give a whole number of %s from "
                        "%" G_GINT64_FORMAT " to %" G_GINT64_FORMAT,
                        origin, text, row->unit, row->min, row->max);
            return false;
        }
        *(int64_t *)member = number;
        return true;
    case SETTING_ADDRESS:
    case SETTING_ENDPOINT:
        if (!settings_parse_endpoint(
                text, row->type == SETTING_ADDRESS ? 1 : 0, member)) {
            g_set_error(error, ERR_DOMAIN, ERR_SETTING,
                        "%s: got \"%s\"; give an IPv4 address%s", origin, text,
                        row->type == SETTING_ADDRESS ? "" : ":port");
            return false;
        }
        return true;
    case SETTING_TEXT:
    case SETTING_PATH:
    case SETTING__MAX:
        break;
    }
    g_free(*(char **)member);
    *(char **)member = g_strdup(text);
    return true;
}

/* The value of ROW as text; the caller frees it. */
char *
settings_get(const struct settings *settings, const struct setting_row *row)
{
    const void *member = (const char *)settings + row->offset;
    const struct settings_endpoint *endpoint = member;
    char *address, *text;

    switch (row->type) {
    case SETTING_NUMBER:
        return g_strdup_printf("%" G_GINT64_FORMAT, *(const int64_t *)member);
    case SETTING_ADDRESS:
    case SETTING_ENDPOINT:
        address = view_address_text(endpoint->address);
        if (row->type == SETTING_ADDRESS) {
            return address;
        }
        text = g_strdup_printf("%s:%u", address, endpoint->port);
        g_free(address);
        return text;
    case SETTING_TEXT:
    case SETTING_NAME:
    case SETTING_PATH:
    case SETTING_CHOICE:
    case SETTING__MAX:
        break;
    }
    return g_strdup(*(char *const *)member);
}

/*
 * Take the variables with the product's prefix from ENVIRONMENT, but for the
 * rows marked in FROM_FLAG.  An unknown or doubled variable is an error.
 */
bool
settings_from_env(struct settings *settings, char **environment,
                  const bool *from_flag, GError **error)
{
    bool seen[G_N_ELEMENTS(rows)] = {false};

    for (char **entry = environment; *entry != NULL; entry++) {
        const char *equals = strchr(*entry, '=');
        bool known = false;

        if (equals == NULL || !g_str_has_prefix(*entry, SETTINGS_ENV_PREFIX)) {
            continue;
        }
        for (size_t i = 0; i < G_N_ELEMENTS(rows) && !known; i++) {
            char *name = settings_env_name(&rows[i]);

            known = strlen(name) == (size_t)(equals - *entry) &&
                    strncmp(name, *entry, strlen(name)) == 0;
            if (known && seen[i]) {
                g_set_error(error, ERR_DOMAIN, ERR_SETTING,
                            "%s: set twice; keep one", name);
                g_free(name);
                return false;
            }
            if (known && !from_flag[i] &&
                !settings_set(settings, &rows[i], equals + 1, name, error)) {
                g_free(name);
                return false;
            }
            seen[i] = seen[i] || known;
            g_free(name);
        }
        if (!known) {
            g_set_error(error, ERR_DOMAIN, ERR_SETTING,
                        "%.*s: no such setting; remove it, or see "
                        "`parsleyspur serve --help` for the names",
                        (int)(equals - *entry), *entry);
            return false;
        }
    }
    return true;
}

/* Parse "NAME=ADDRESS[:PORT]", or without a name. */
static bool
split_peer(const char *text, struct settings_peer *peer)
{
    const char *equals = strchr(text, '=');
    struct settings_endpoint endpoint;

    memset(peer, 0, sizeof(*peer));
    if (equals != NULL) {
        size_t len = (size_t)(equals - text);

        if (len == 0 || len >= sizeof(peer->name)) {
            return false;
        }
        memcpy(peer->name, text, len);
        text = equals + 1;
    }
    if (!settings_parse_endpoint(text, 1, &endpoint)) {
        return false;
    }
    peer->address = endpoint.address;
    peer->via = endpoint;
    return true;
}

static bool
parse_list(const char *text, const char *flag, bool wants_name,
           struct settings_peer *list, size_t *count, GError **error)
{
    char **words = g_strsplit(text, ",", -1);
    bool ok = true;

    *count = 0;
    for (char **word = words; *word != NULL && ok; word++) {
        g_strstrip(*word);
        if (**word == '\0') {
            continue;
        }
        ok = *count < SETTINGS_PEERS_MAX && split_peer(*word, &list[*count]) &&
             (list[*count].name[0] != '\0') == wants_name;
        if (!ok) {
            g_set_error(error, ERR_DOMAIN, ERR_SETTING,
                        "--%s: got \"%s\"; give at most %d of %s, split by "
                        "commas",
                        flag, *word, SETTINGS_PEERS_MAX,
                        wants_name ? "NAME=ADDRESS" : "ADDRESS");
        }
        (*count)++;
    }
    g_strfreev(words);
    return ok;
}

/* Entries of the peer map are ADDRESS=ADDRESS:PORT; the name is an address. */
static bool
parse_map(struct settings *settings, GError **error)
{
    if (!parse_list(settings->peer_map_text, "peer-map", true,
                    settings->peer_map, &settings->peer_map_count, error)) {
        return false;
    }
    for (size_t i = 0; i < settings->peer_map_count; i++) {
        struct settings_peer *entry = &settings->peer_map[i];
        struct settings_endpoint peer;

        if (!settings_parse_endpoint(entry->name, 1, &peer)) {
            g_set_error(error, ERR_DOMAIN, ERR_SETTING,
                        "--peer-map: got \"%s\"; give "
                        "ADDRESS=ADDRESS:PORT",
                        entry->name);
            return false;
        }
        entry->address = peer.address;
    }
    return true;
}

/* Take other ways to peers' addresses from TEXT, as --peer-map has them. */
bool
settings_take_peer_map(struct settings *settings, const char *text,
                       GError **error)
{
    g_free(settings->peer_map_text);
    settings->peer_map_text = g_strdup(text);
    return parse_map(settings, error);
}

/*
 * Check the settings against each other and derive the lists.  False with
 * ERR_SETTING naming the contradiction and the remedy.
 */
bool
settings_finish(struct settings *settings, GError **error)
{
    bool self_votes = false;

    settings->entry = strstr(settings->roles, "entry") != NULL;
    settings->control = strstr(settings->roles, "control") != NULL;
    if (!parse_list(settings->peers_text, "peers", false, settings->peers,
                    &settings->peer_count, error) ||
        !parse_list(settings->voters_text, "voters", true, settings->voters,
                    &settings->voter_count, error) ||
        !parse_map(settings, error)) {
        return false;
    }
    if (settings->control && settings->data_dir == NULL) {
        g_set_error(error, ERR_DOMAIN, ERR_SETTING,
                    "--data-dir: not set, but the role control keeps state; "
                    "name a folder, or leave control out of --roles");
        return false;
    }
    if (settings->voter_count != 0 && settings->voter_count != 1 &&
        settings->voter_count != 3 && settings->voter_count != 5) {
        g_set_error(error, ERR_DOMAIN, ERR_SETTING,
                    "--voters: got %zu; name 1, 3 or 5 control daemons",
                    settings->voter_count);
        return false;
    }
    for (size_t i = 0; i < settings->voter_count; i++) {
        self_votes = self_votes ||
                     strcmp(settings->voters[i].name, settings->name) == 0;
    }
    if (settings->control && settings->voter_count > 0 && !self_votes) {
        g_set_error(error, ERR_DOMAIN, ERR_SETTING,
                    "--voters: \"%s\" is not among them, but has the role "
                    "control; add it, or leave control out of --roles",
                    settings->name);
        return false;
    }
    if (!settings->control && settings->voter_count == 0 &&
        settings->peer_count == 0) {
        g_set_error(error, ERR_DOMAIN, ERR_SETTING,
                    "--peers: empty, and without the role control this "
                    "daemon learns nothing; name some daemons");
        return false;
    }
    return true;
}
