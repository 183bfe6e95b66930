/* JSON of rows and edits; unknown members are refused by name. */
#include "edge/row_json.h"

#include <arpa/inet.h>
#include <string.h>

#include "base/err.h"

static const char *const prefer_names[POOL_PREFER__MAX] = {
    [POOL_PREFER_FLOWS] = "flows",
    [POOL_PREFER_BALANCE] = "balance",
};

static const char *const route_kind_names[ROUTE__MAX] = {
    [ROUTE_STREAM] = "stream",
    [ROUTE_CALL] = "call",
};

static const char *const route_members[] = {
    "name", "address",         "port",    "kind", "pool",
    "team", "new_flows_per_s", "version", NULL};

static const char *const pool_members[] = {"name",        "prefer", "team",
                                           "queue_limit", "drain",  "weights",
                                           "version",     "vni",    NULL};

static const char *const edit_members[] = {"edit_id", "base_version", "row",
                                           "accept_without", NULL};

static bool fault(GError **, const char *member, const char *expected);
static bool known_members(json_t *, const char *const *, GError **);
static bool read_text(json_t *, const char *, char *, size_t, GError **);
static bool read_number(json_t *, const char *, json_int_t max, json_int_t *,
                        GError **);
static bool read_address(const char *, uint32_t *);
static int read_choice(json_t *, const char *, const char *const *, int count);
static bool read_route(json_t *, struct table_route *, GError **);
static bool read_pool(json_t *, struct table_pool *, GError **);
static bool read_drain(json_t *, struct table_pool *, GError **);
static bool read_weights(json_t *, struct table_pool *, GError **);
static bool read_zones(json_t *, struct row_json_edit *, GError **);
static bool read_edit(json_t *, struct row_json_edit *, GError **);

static json_t *
address_json(uint32_t address)
{
    char *text = view_address_text(address);
    json_t *value = json_string(text);

    g_free(text);
    return value;
}

static json_t *
route_json(const struct table_route *route)
{
    return json_pack(
        "{s:s, s:o, s:i, s:s, s:s, s:s, s:I}", "name", route->name, "address",
        address_json(route->address), "port", route->port, "kind",
        route_kind_names[route->kind], "pool", route->pool, "team",
        route->team, "new_flows_per_s", (json_int_t)route->new_flows_per_s);
}

static json_t *
pool_json(const struct table_pool *pool)
{
    json_t *drain = json_array(), *weights = json_object();

    for (size_t i = 0; i < pool->drain_count; i++) {
        json_array_append_new(drain, address_json(pool->drain[i]));
    }
    for (size_t i = 0; i < pool->weight_count; i++) {
        char *text = view_address_text(pool->weights[i].address);

        json_object_set_new(weights, text,
                            json_integer(pool->weights[i].weight));
        g_free(text);
    }
    return json_pack(
        "{s:s, s:I, s:s, s:s, s:I, s:o, s:o}", "name", pool->name, "vni",
        (json_int_t)view_pool_vni(view_pool_id(pool->name)), "prefer",
        prefer_names[pool->prefer], "team", pool->team, "queue_limit",
        (json_int_t)pool->queue_limit, "drain", drain, "weights", weights);
}

/* ROW as an object with its version. */
json_t *
row_json_from(const struct table_row *row)
{
    json_t *object = row->kind == TABLE_ROUTE ? route_json(&row->u.route)
                                              : pool_json(&row->u.pool);

    json_object_set_new(object, "version",
                        json_integer((json_int_t)row->version));
    return object;
}

static bool
fault(GError **error, const char *member, const char *expected)
{
    g_set_error(error, ERR_DOMAIN, ERR_INPUT, "\"%s\" is wrong; give %s",
                member, expected);
    return false;
}

static bool
known_members(json_t *object, const char *const *members, GError **error)
{
    const char *key;
    json_t *value;

    if (!json_is_object(object)) {
        g_set_error(error, ERR_DOMAIN, ERR_INPUT,
                    "not a JSON object; send one object");
        return false;
    }
    json_object_foreach(object, key, value)
    {
        if (!g_strv_contains(members, key)) {
            char *all = g_strjoinv(", ", (char **)(uintptr_t)members);

            g_set_error(error, ERR_DOMAIN, ERR_INPUT,
                        "\"%s\" is not known; members are %s", key, all);
            g_free(all);
            return false;
        }
    }
    return true;
}

/* Copy a text; an absent member leaves OUT empty. */
static bool
read_text(json_t *object, const char *name, char *out, size_t size,
          GError **error)
{
    json_t *value = json_object_get(object, name);
    const char *text = json_string_value(value);

    out[0] = '\0';
    if (value == NULL) {
        return true;
    }
    if (text == NULL || g_strlcpy(out, text, size) >= size) {
        g_set_error(error, ERR_DOMAIN, ERR_INPUT,
                    "\"%s\" is wrong; give a text of at most %zu bytes", name,
                    size - 1);
        return false;
    }
    return true;
}

/* Read a whole number from 0 to MAX; an absent member is 0. */
static bool
read_number(json_t *object, const char *name, json_int_t max,
            json_int_t *number, GError **error)
{
    json_t *value = json_object_get(object, name);

    *number = json_integer_value(value);
    if (value != NULL &&
        (!json_is_integer(value) || *number < 0 || *number > max)) {
        g_set_error(error, ERR_DOMAIN, ERR_INPUT,
                    "\"%s\" is wrong; give a whole number from 0 to "
                    "%" JSON_INTEGER_FORMAT,
                    name, max);
        return false;
    }
    return true;
}

static bool
read_address(const char *text, uint32_t *address)
{
    struct in_addr parsed;

    if (text == NULL || inet_pton(AF_INET, text, &parsed) != 1) {
        return false;
    }
    *address = ntohl(parsed.s_addr);
    return true;
}

/* The index of the member's word in WORDS, or -1; an absent one is 0. */
static int
read_choice(json_t *object, const char *name, const char *const *words,
            int count)
{
    json_t *value = json_object_get(object, name);

    if (value == NULL) {
        return 0;
    }
    for (int i = 0; i < count; i++) {
        if (g_strcmp0(json_string_value(value), words[i]) == 0) {
            return i;
        }
    }
    return -1;
}

static bool
read_route(json_t *row, struct table_route *route, GError **error)
{
    json_int_t port, rate;
    int kind = read_choice(row, "kind", route_kind_names, ROUTE__MAX);

    if (!known_members(row, route_members, error) ||
        !read_text(row, "pool", route->pool, sizeof(route->pool), error) ||
        !read_text(row, "team", route->team, sizeof(route->team), error) ||
        !read_number(row, "port", UINT16_MAX, &port, error) ||
        !read_number(row, "new_flows_per_s", UINT32_MAX, &rate, error)) {
        return false;
    }
    if (kind < 0) {
        return fault(error, "kind", "stream or call");
    }
    if (!read_address(json_string_value(json_object_get(row, "address")),
                      &route->address)) {
        return fault(error, "address", "an IPv4 address");
    }
    route->kind = (enum route_kind)kind;
    route->port = (uint16_t)port;
    route->new_flows_per_s = (uint32_t)rate;
    return true;
}

static bool
read_drain(json_t *row, struct table_pool *pool, GError **error)
{
    json_t *list = json_object_get(row, "drain");
    size_t count = json_array_size(list);

    if (list != NULL && (!json_is_array(list) || count > TABLE_TARGETS_MAX)) {
        return fault(error, "drain", "a list of IPv4 addresses");
    }
    pool->drain = g_new0(uint32_t, count);
    pool->drain_count = count;
    for (size_t i = 0; i < count; i++) {
        if (!read_address(json_string_value(json_array_get(list, i)),
                          &pool->drain[i])) {
            return fault(error, "drain", "a list of IPv4 addresses");
        }
    }
    return true;
}

static bool
read_weights(json_t *row, struct table_pool *pool, GError **error)
{
    static const char expected[] =
        "an object of IPv4 addresses and whole numbers from 1 to 1000";
    json_t *object = json_object_get(row, "weights"), *value;
    size_t count = json_object_size(object), i = 0;
    const char *key;

    if (object != NULL &&
        (!json_is_object(object) || count > TABLE_TARGETS_MAX)) {
        return fault(error, "weights", expected);
    }
    pool->weights = g_new0(struct table_weight, count);
    pool->weight_count = count;
    json_object_foreach(object, key, value)
    {
        json_int_t weight = json_integer_value(value);

        if (!read_address(key, &pool->weights[i].address) || weight < 1 ||
            weight > TABLE_WEIGHT_MAX) {
            return fault(error, "weights", expected);
        }
        pool->weights[i++].weight = (uint16_t)weight;
    }
    return true;
}

static bool
read_pool(json_t *row, struct table_pool *pool, GError **error)
{
    json_int_t queue_limit;
    int prefer = read_choice(row, "prefer", prefer_names, POOL_PREFER__MAX);

    if (!known_members(row, pool_members, error) ||
        !read_text(row, "team", pool->team, sizeof(pool->team), error) ||
        !read_number(row, "queue_limit", UINT32_MAX, &queue_limit, error)) {
        return false;
    }
    if (prefer < 0) {
        return fault(error, "prefer", "flows or balance");
    }
    pool->prefer = (enum pool_prefer)prefer;
    pool->queue_limit = (uint32_t)queue_limit;
    return read_drain(row, pool, error) && read_weights(row, pool, error);
}

static bool
read_zones(json_t *object, struct row_json_edit *out, GError **error)
{
    json_t *list = json_object_get(object, "accept_without");
    size_t count = json_array_size(list);

    if (list != NULL && (!json_is_array(list) || count > ROW_JSON_ZONES_MAX)) {
        return fault(error, "accept_without", "a list of zones");
    }
    for (size_t i = 0; i < count; i++) {
        const char *zone = json_string_value(json_array_get(list, i));

        if (zone == NULL) {
            return fault(error, "accept_without", "a list of zones");
        }
        out->zones[out->zone_count++] = view_zone_id(zone);
    }
    return true;
}

static bool
read_edit(json_t *object, struct row_json_edit *out, GError **error)
{
    struct table_edit *edit = &out->edit;
    json_t *row = json_object_get(object, "row");
    json_int_t base;

    if (!known_members(object, edit_members, error) ||
        !read_text(object, "edit_id", edit->id, sizeof(edit->id), error) ||
        !read_number(object, "base_version", INT64_MAX, &base, error) ||
        !read_zones(object, out, error)) {
        return false;
    }
    if (edit->id[0] == '\0') {
        return fault(error, "edit_id", "an id of your own, unique per edit");
    }
    if (json_object_get(object, "base_version") == NULL) {
        return fault(error, "base_version",
                     "the version that the edit is built on");
    }
    edit->base_version = (uint64_t)base;
    if (edit->operation == TABLE_DELETE) {
        return true;
    }
    return edit->row.kind == TABLE_ROUTE
               ? read_route(row, &edit->row.u.route, error)
               : read_pool(row, &edit->row.u.pool, error);
}

/*
 * Read the edit of the row NAME from LEN bytes of JSON.  False with ERR_INPUT
 * naming the member; OUT is then empty.
 */
bool
row_json_read_edit(const char *body, size_t len, enum table_kind kind,
                   const char *name, enum table_operation operation,
                   struct row_json_edit *out, GError **error)
{
    json_error_t parse_fault;
    json_t *object =
        json_loadb(body, len, JSON_REJECT_DUPLICATES, &parse_fault);
    bool ok;

    memset(out, 0, sizeof(*out));
    out->edit.operation = operation;
    out->edit.row.kind = kind;
    g_strlcpy(kind == TABLE_ROUTE ? out->edit.row.u.route.name
                                  : out->edit.row.u.pool.name,
              name, TABLE_NAME_MAX);
    if (strlen(name) >= TABLE_NAME_MAX) {
        json_decref(object);
        return fault(error, "name", "at most 63 bytes");
    }
    ok = read_edit(object, out, error);
    json_decref(object);
    if (!ok) {
        table_row_clear(&out->edit.row);
    }
    return ok;
}
