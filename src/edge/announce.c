/* Parsing of announcements by a table of fields. */
#include "edge/announce.h"

#include <arpa/inet.h>
#include <string.h>

#include <jansson.h>

#include "base/err.h"

#define WEIGHT_DEFAULT  100
#define WEIGHT_MAX      1000
#define SLOTS_MAX       60000
#define CONNECTIONS_MAX 1000000
#define PORT_DEFAULT    6081

struct number_field {
    const char *name;
    json_int_t fallback; /* -1 where the field must be given */
    json_int_t min;
    json_int_t max;
};

enum number_id {
    NUMBER_PORT,
    NUMBER_SLOTS,
    NUMBER_CONNECTIONS,
    NUMBER_INCARNATION,
    NUMBER_WEIGHT,
    NUMBER__MAX
};

static const struct number_field numbers[NUMBER__MAX] = {
    [NUMBER_PORT] = {"port", PORT_DEFAULT, 1, 65535},
    [NUMBER_SLOTS] = {"slots", -1, 1, SLOTS_MAX},
    [NUMBER_CONNECTIONS] = {"connections", -1, 1, CONNECTIONS_MAX},
    [NUMBER_INCARNATION] = {"incarnation", -1, 1, UINT32_MAX},
    [NUMBER_WEIGHT] = {"weight", WEIGHT_DEFAULT, 1, WEIGHT_MAX},
};

static const char *const state_names[] = {
    [TARGET_READY] = "ready",
    [TARGET_COLD] = "cold",
    [TARGET_DRAINING] = "draining",
};

static bool read_numbers(json_t *, json_int_t *, GError **);
static bool read_texts(json_t *, struct announcement *, GError **);
static bool read_state(json_t *, struct announcement *, GError **);
static bool copy_text(json_t *, const char *name, char *out, size_t size,
                      bool wanted, GError **);

static bool
read_numbers(json_t *object, json_int_t *values, GError **error)
{
    for (size_t i = 0; i < NUMBER__MAX; i++) {
        const struct number_field *field = &numbers[i];
        json_t *value = json_object_get(object, field->name);

        values[i] =
            value == NULL
                ? field->fallback
                : (json_is_integer(value) ? json_integer_value(value) : -1);
        if (values[i] < field->min || values[i] > field->max) {
            g_set_error(error, ERR_DOMAIN, ERR_INPUT,
                        "announcement: \"%s\" is missing or out of range; "
                        "give a whole number from %" JSON_INTEGER_FORMAT
                        " to %" JSON_INTEGER_FORMAT,
                        field->name, field->min, field->max);
            return false;
        }
    }
    return true;
}

/* Copy a text field; one that is absent is only an error if WANTED. */
static bool
copy_text(json_t *object, const char *name, char *out, size_t size,
          bool wanted, GError **error)
{
    json_t *value = json_object_get(object, name);
    const char *text = json_string_value(value);

    out[0] = '\0';
    if (value == NULL && !wanted) {
        return true;
    }
    if (text == NULL || text[0] == '\0' ||
        g_strlcpy(out, text, size) >= size) {
        g_set_error(error, ERR_DOMAIN, ERR_INPUT,
                    "announcement: \"%s\" is missing or wrong; give a text "
                    "of 1 to %zu bytes",
                    name, size - 1);
        return false;
    }
    return true;
}

static bool
read_state(json_t *object, struct announcement *out, GError **error)
{
    char text[VIEW_NAME_MAX];

    if (!copy_text(object, "state", text, sizeof(text), false, error)) {
        return false;
    }
    out->target.state = TARGET_READY;
    if (text[0] == '\0') {
        return true;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(state_names); i++) {
        if (strcmp(text, state_names[i]) == 0) {
            out->target.state = (enum target_state)i;
            return true;
        }
    }
    g_set_error(error, ERR_DOMAIN, ERR_INPUT,
                "announcement: \"state\" is \"%s\"; give ready, cold or "
                "draining",
                text);
    return false;
}

static bool
read_texts(json_t *object, struct announcement *out, GError **error)
{
    char address[VIEW_NAME_MAX], zone[VIEW_NAME_MAX];
    struct in_addr parsed;

    if (!copy_text(object, "pool", out->pool, sizeof(out->pool), true,
                   error) ||
        !copy_text(object, "address", address, sizeof(address), true, error) ||
        !copy_text(object, "zone", zone, sizeof(zone), true, error) ||
        !copy_text(object, "health", out->health_url, sizeof(out->health_url),
                   false, error) ||
        !copy_text(object, "load", out->load_url, sizeof(out->load_url), false,
                   error)) {
        return false;
    }
    if (inet_pton(AF_INET, address, &parsed) != 1) {
        g_set_error(error, ERR_DOMAIN, ERR_INPUT,
                    "announcement: \"address\" is \"%s\"; give an IPv4 "
                    "address",
                    address);
        return false;
    }
    out->target.key.address = ntohl(parsed.s_addr);
    out->target.zone = view_zone_id(zone);
    return true;
}

/*
 * Parse LEN bytes of JSON into OUT.  False with ERR_INPUT, naming the field
 * and what it must be.
 */
bool
announce_parse(const char *body, size_t len, struct announcement *out,
               GError **error)
{
    json_error_t fault;
    json_t *object = json_loadb(body, len, JSON_REJECT_DUPLICATES, &fault);
    json_int_t values[NUMBER__MAX];
    bool ok;

    memset(out, 0, sizeof(*out));
    if (!json_is_object(object)) {
        g_set_error(error, ERR_DOMAIN, ERR_INPUT,
                    "announcement: not a JSON object (%s); send one object",
                    object == NULL ? fault.text : "another type");
        json_decref(object);
        return false;
    }
    ok = read_numbers(object, values, error) &&
         read_texts(object, out, error) && read_state(object, out, error);
    json_decref(object);
    if (!ok) {
        return false;
    }
    out->target.port = (uint16_t)values[NUMBER_PORT];
    out->target.slots = (uint16_t)values[NUMBER_SLOTS];
    out->target.connections = (uint32_t)values[NUMBER_CONNECTIONS];
    out->target.key.incarnation = (uint32_t)values[NUMBER_INCARNATION];
    out->target.weight = (uint16_t)values[NUMBER_WEIGHT];
    return true;
}
