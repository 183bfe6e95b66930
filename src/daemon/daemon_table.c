/*
 * The version in force on this daemon: staged updates are kept until they
 * are activated, merged into the tables, and given to the cores.  With a data
 * folder the tables are saved, so that a restart serves the last version.
 */
#include "daemon/daemon_private.h"

#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#include "base/err.h"
#include "base/log.h"

#define SAVED_NAME  "tables"
#define STAGED_HEAD 12 /* bytes before an update: its version and length */

static char *saved_path(const struct daemon *);
static bool load(struct daemon *, GError **);
static void save(struct daemon *);
static bool write_synced(const char *path, const GByteArray *);
static void publish(struct daemon *);
static void publish_pool(const struct table_row *, void *);
static void collect_pool_id(const struct table_row *, void *);
static void collect_route(const struct table_row *, void *);
static void publish_routes(struct daemon *);
static void publish_pools(struct daemon *);

/* Open the tables, with what was saved if there is a data folder. */
bool
daemon_table_start(struct daemon *daemon, GError **error)
{
    struct table_core_options options = {0};

    daemon->in_force = table_core_new(&options);
    daemon->staged = g_byte_array_new();
    daemon->routes =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    daemon->pools =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    return daemon->settings->data_dir == NULL || load(daemon, error);
}

void
daemon_table_stop(struct daemon *daemon)
{
    table_core_free(daemon->in_force);
    g_byte_array_unref(daemon->staged);
    g_hash_table_destroy(daemon->routes);
    g_hash_table_destroy(daemon->pools);
}

static char *
saved_path(const struct daemon *daemon)
{
    return g_build_filename(daemon->settings->data_dir, SAVED_NAME, NULL);
}

/* Read the saved tables; a file that does not decode stops the start. */
static bool
load(struct daemon *daemon, GError **error)
{
    char *path = saved_path(daemon), *data;
    gsize len;
    bool ok = true;

    if (g_file_get_contents(path, &data, &len, NULL)) {
        ok = table_core_merge(daemon->in_force, (const uint8_t *)data, len) !=
             TABLE_DAMAGED;
        g_free(data);
    }
    if (!ok) {
        g_set_error(error, ERR_DOMAIN, ERR_CORRUPT,
                    "--data-dir: \"%s\" is damaged; remove this file and the "
                    "daemon fetches the tables from its peers",
                    path);
    }
    g_free(path);
    return ok;
}

/* Write BYTES to PATH and sync them; false with errno set. */
static bool
write_synced(const char *path, const GByteArray *bytes)
{
    int fd = open(path, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    size_t done = 0;
    bool ok = fd >= 0;

    while (ok && done < bytes->len) {
        ssize_t written = write(fd, bytes->data + done, bytes->len - done);

        ok = written > 0;
        done += ok ? (size_t)written : 0;
    }
    ok = ok && fdatasync(fd) == 0;
    if (fd >= 0) {
        close(fd);
    }
    return ok;
}

/* Save the tables beside the old file, then rename over it. */
static void
save(struct daemon *daemon)
{
    GByteArray *bytes = g_byte_array_new();
    uint64_t version;
    char *path = saved_path(daemon);
    char *fresh = g_strconcat(path, ".new", NULL);
    bool ok;

    table_core_pack_rows(daemon->in_force, 0, 0, bytes, &version);
    ok = write_synced(fresh, bytes) && rename(fresh, path) == 0;
    if (!ok && !daemon->save_failed) {
        log_state(G_LOG_LEVEL_WARNING,
                  "cannot save the tables; free space in --data-dir", "path",
                  path, "error", g_strerror(errno), NULL);
    }
    daemon->save_failed = !ok;
    g_free(fresh);
    g_free(path);
    g_byte_array_unref(bytes);
}

/* Keep an update until its version is activated. */
void
daemon_table_stage(struct daemon *daemon, const struct spread_bytes *bytes)
{
    uint64_t version = bytes->to;
    uint32_t len = (uint32_t)bytes->len;

    g_byte_array_append(daemon->staged, (const guint8 *)&version,
                        sizeof(version));
    g_byte_array_append(daemon->staged, (const guint8 *)&len, sizeof(len));
    g_byte_array_append(daemon->staged, bytes->data, len);
}

/* Put all staged updates up to VERSION in force. */
void
daemon_table_activate(struct daemon *daemon, uint64_t version)
{
    GByteArray *staged = daemon->staged;
    size_t done = 0;
    char text[32];

    while (done < staged->len) {
        uint64_t update;
        uint32_t len;

        memcpy(&update, staged->data + done, sizeof(update));
        memcpy(&len, staged->data + done + sizeof(update), sizeof(len));
        if (update > version) {
            break;
        }
        done += STAGED_HEAD;
        if (table_core_merge(daemon->in_force, staged->data + done, len) ==
            TABLE_GAP) {
            log_state(G_LOG_LEVEL_WARNING,
                      "a staged update does not fit; the tables are fetched "
                      "whole",
                      NULL);
        }
        done += len;
    }
    if (done > 0) {
        g_byte_array_remove_range(staged, 0, (guint)done);
    }
    publish(daemon);
    if (daemon->settings->data_dir != NULL) {
        save(daemon);
    }
    g_snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT,
               table_core_position(daemon->in_force).version);
    log_state(G_LOG_LEVEL_MESSAGE, "version in force", "version", text, NULL);
}

static void
collect_pool_id(const struct table_row *row, void *data)
{
    GHashTable *present = data;
    uint64_t *id = g_new(uint64_t, 1);

    *id = view_pool_id(row->u.pool.name).value;
    g_hash_table_add(present, id);
}

/* Give one pool's row to the pool core. */
static void
publish_pool(const struct table_row *row, void *data)
{
    const struct table_pool *pool = &row->u.pool;
    struct pool_override *overrides =
        g_new(struct pool_override, pool->weight_count + 1);
    struct pool_event event = {.kind = POOL_EV_ROW_SET};

    for (size_t i = 0; i < pool->weight_count; i++) {
        overrides[i].address = pool->weights[i].address;
        overrides[i].weight = pool->weights[i].weight;
    }
    event.u.row.id = view_pool_id(pool->name);
    event.u.row.name = pool->name;
    event.u.row.version = row->version;
    event.u.row.prefer = pool->prefer;
    event.u.row.queue_limit = pool->queue_limit;
    event.u.row.override_count = pool->weight_count;
    event.u.row.overrides = overrides;
    event.u.row.draining_count = pool->drain_count;
    event.u.row.draining = pool->drain;
    daemon_target_event(data, &event);
    g_free(overrides);
}

/* Give the pools to the pool core, deleted ones too. */
static void
publish_pools(struct daemon *daemon)
{
    GHashTable *present =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    GHashTableIter iter;
    gpointer key;

    table_core_each(daemon->in_force, TABLE_POOL, collect_pool_id, present);
    g_hash_table_iter_init(&iter, daemon->pools);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        if (!g_hash_table_contains(present, key)) {
            struct pool_event event = {.kind = POOL_EV_ROW_DELETE};

            event.u.row_delete.value = *(uint64_t *)key;
            daemon_target_event(daemon, &event);
        }
    }
    g_hash_table_destroy(daemon->pools);
    daemon->pools = present;
    table_core_each(daemon->in_force, TABLE_POOL, publish_pool, daemon);
}

static void
collect_route(const struct table_row *row, void *data)
{
    GArray *views = data;
    struct route_view view;

    table_route_view(row, &view);
    g_array_append_val(views, view);
}

/* Give the routes to the flow core and to the lookup table. */
static void
publish_routes(struct daemon *daemon)
{
    GArray *views = g_array_new(FALSE, TRUE, sizeof(struct route_view));
    struct flow_event event = {.kind = FLOW_EV_ROUTES};

    table_core_each(daemon->in_force, TABLE_ROUTE, collect_route, views);
    g_hash_table_remove_all(daemon->routes);
    for (guint i = 0; i < views->len; i++) {
        const struct route_view *view =
            &g_array_index(views, struct route_view, i);
        struct daemon_route *route = g_new0(struct daemon_route, 1);

        route->key = (uint64_t)view->address << 16 | view->port;
        route->kind = view->kind;
        route->pool = view->pool;
        g_hash_table_insert(daemon->routes, &route->key, route);
    }
    event.u.routes.items = (const struct route_view *)(void *)views->data;
    event.u.routes.count = views->len;
    event.u.routes.version = table_core_position(daemon->in_force).version;
    daemon_packet_event(daemon, &event);
    g_array_free(views, TRUE);
}

static void
publish(struct daemon *daemon)
{
    publish_pools(daemon);
    publish_routes(daemon);
}

/* Give the tables that were loaded at the start to the cores. */
void
daemon_table_publish(struct daemon *daemon)
{
    publish(daemon);
}

/* The route of ADDRESS and PORT, or of the address for all ports, or NULL. */
const struct daemon_route *
daemon_table_route(const struct daemon *daemon, uint32_t address,
                   uint16_t port)
{
    uint64_t key = (uint64_t)address << 16 | port;
    const struct daemon_route *route =
        g_hash_table_lookup(daemon->routes, &key);

    if (route == NULL) {
        key = (uint64_t)address << 16;
        route = g_hash_table_lookup(daemon->routes, &key);
    }
    return route;
}
