/* Health and load endpoints of a target, which may lag, lie or hang. */
#include "lib_target.h"

#include <microhttpd.h>
#include <string.h>

#define HANG_US 20000000 /* longer than any reader waits */

struct mode_name {
    const char *name;
    enum endpoint_mode mode;
};

static const struct mode_name mode_names[] = {
    {"true", ENDPOINT_TRUE}, {"fine", ENDPOINT_FINE},
    {"full", ENDPOINT_FULL}, {"frozen", ENDPOINT_FROZEN},
    {"hang", ENDPOINT_HANG},
};

static atomic_int frozen_flows;
static atomic_int frozen_calls;

static enum MHD_Result request_cb(void *, struct MHD_Connection *,
                                  const char *, const char *, const char *,
                                  const char *, size_t *, void **);
static char *load_body(struct target *, enum endpoint_mode);

/* Serve /health and /load on the target's address. */
void
target_http_start(struct target *target)
{
    struct net_address address = {target->ip,
                                  (uint16_t)target->options.http_port};
    struct sockaddr_in local = net_sockaddr(address);

    if (MHD_start_daemon(
            MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION,
            address.port, NULL, NULL, request_cb, target, MHD_OPTION_SOCK_ADDR,
            &local, MHD_OPTION_CONNECTION_TIMEOUT, 30U,
            MHD_OPTION_END) == NULL) {
        net_die("target: port %d cannot be served", address.port);
    }
}

/* Set how ENDPOINT ("health" or "load") answers. */
bool
target_http_mode(struct target *target, const char *endpoint, const char *mode)
{
    for (size_t i = 0; i < G_N_ELEMENTS(mode_names); i++) {
        if (strcmp(mode_names[i].name, mode) != 0) {
            continue;
        }
        atomic_store(&frozen_flows, atomic_load(&target->flows));
        atomic_store(&frozen_calls, atomic_load(&target->running));
        atomic_store(strcmp(endpoint, "health") == 0 ? &target->health_mode
                                                     : &target->load_mode,
                     (int)mode_names[i].mode);
        return true;
    }
    return false;
}

static char *
load_body(struct target *target, enum endpoint_mode mode)
{
    int flows = atomic_load(&target->flows);
    int calls = atomic_load(&target->running);

    if (mode == ENDPOINT_FINE) {
        flows = 0;
        calls = 0;
    }
    else if (mode == ENDPOINT_FULL) {
        flows = target->options.connections;
        calls = target->options.slots;
    }
    else if (mode == ENDPOINT_FROZEN) {
        flows = atomic_load(&frozen_flows);
        calls = atomic_load(&frozen_calls);
    }
    return g_strdup_printf("{\"calls\":%d,\"slots\":%d,\"flows\":%d,"
                           "\"connections\":%d}\n",
                           calls, target->options.slots, flows,
                           target->options.connections);
}

static enum MHD_Result
request_cb(void *arg, struct MHD_Connection *connection, const char *url,
           const char *method, const char *version, const char *upload,
           size_t *upload_size, void **state)
{
    struct target *target = arg;
    bool health = strcmp(url, "/health") == 0;
    enum endpoint_mode mode = (enum endpoint_mode)atomic_load(
        health ? &target->health_mode : &target->load_mode);
    struct MHD_Response *response;
    enum MHD_Result result;
    unsigned status = MHD_HTTP_OK;
    char *body;

    (void)method;
    (void)version;
    (void)upload;
    (void)upload_size;
    (void)state;
    if (mode == ENDPOINT_HANG) {
        g_usleep(HANG_US);
        return MHD_NO;
    }
    if (health && mode == ENDPOINT_FULL) {
        status = MHD_HTTP_SERVICE_UNAVAILABLE;
    }
    body = health ? g_strdup("ok\n") : load_body(target, mode);
    response = MHD_create_response_from_buffer(strlen(body), body,
                                               MHD_RESPMEM_MUST_COPY);
    result = MHD_queue_response(connection, status, response);
    MHD_destroy_response(response);
    g_free(body);
    return result;
}
