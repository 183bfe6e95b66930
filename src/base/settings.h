/*
 * Settings of a daemon: one table of rows drives parsing, checking,
 * `settings check` and the list in the manual.  Flags go before environment
 * variables; there is no file.
 */
#ifndef PS_BASE_SETTINGS_H
#define PS_BASE_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#define SETTINGS_ENV_PREFIX "PARSLEYSPUR_"
#define SETTINGS_PEERS_MAX  64

enum setting_type {
    SETTING_TEXT,
    SETTING_NAME,     /* letters, digits, '-', '_' and '.' */
    SETTING_NUMBER,   /* within min and max */
    SETTING_ADDRESS,  /* IPv4 address */
    SETTING_ENDPOINT, /* IPv4 address:port */
    SETTING_PATH,
    SETTING_CHOICE, /* one of the words in `choices` */
    SETTING__MAX
};

struct settings_endpoint {
    uint32_t address; /* IPv4, host order; 0 for none */
    uint16_t port;
};

/* A voter of the quorum, or another way to a peer's address. */
struct settings_peer {
    char name[64]; /* empty where only the address is given */
    uint32_t address;
    struct settings_endpoint via;
};

struct settings {
    char *name;
    char *zone;
    char *cluster;
    char *roles;
    char *data_dir;
    char *peers_text;
    char *voters_text;
    char *peer_map_text;
    char *token_file;
    char *log_format;
    char *span_file;
    struct settings_endpoint address; /* port unused */
    struct settings_endpoint fabric;
    struct settings_endpoint admin;
    int64_t geneve_port;
    int64_t peer_port;
    int64_t max_flows;
    int64_t span_sample;
    int64_t span_max_mb;
    int64_t probe_interval_ms;
    int64_t probe_timeout_ms;
    int64_t announce_ttl_ms;
    int64_t control_bytes_per_s;
    int64_t drain_ms;
    int64_t seed;
    /* Derived by settings_finish(). */
    bool entry;
    bool control;
    struct settings_peer peers[SETTINGS_PEERS_MAX];
    size_t peer_count;
    struct settings_peer voters[SETTINGS_PEERS_MAX];
    size_t voter_count;
    struct settings_peer peer_map[SETTINGS_PEERS_MAX];
    size_t peer_map_count;
};

struct setting_row {
    const char *flag; /* without the leading dashes */
    enum setting_type type;
    const char *fallback; /* default, as text; NULL for none */
    const char *unit;     /* of a number, or NULL */
    int64_t min;
    int64_t max;
    const char *choices; /* words split by '|', or NULL */
    size_t offset;       /* of the member in struct settings */
    const char *help;
};

const struct setting_row *settings_rows(size_t *count);
void settings_init(struct settings *);
void settings_clear(struct settings *);
char *settings_env_name(const struct setting_row *);
bool settings_set(struct settings *, const struct setting_row *,
                  const char *text, const char *origin, GError **);
char *settings_get(const struct settings *, const struct setting_row *);
bool settings_from_env(struct settings *, char **environment,
                       const bool *from_flag, GError **);
bool settings_take_peer_map(struct settings *, const char *, GError **);
bool settings_finish(struct settings *, GError **);
bool settings_parse_endpoint(const char *, uint16_t default_port,
                             struct settings_endpoint *);

#endif
