/* Announcements of a target, to each of the given daemons in turn. */
#include "lib_target.h"

#include <curl/curl.h>
#include <string.h>

#define ANNOUNCE_EVERY_MS   2000
#define ANNOUNCE_TIMEOUT_MS 1000L

struct announcement {
    uv_work_t work;
    struct target *target;
    char *body;
    size_t first; /* of the daemons to try */
    bool delivered;
};

static void timer_cb(uv_timer_t *);
static void work_cb(uv_work_t *);
static void after_cb(uv_work_t *, int);
static bool post(const char *daemon, const char *body);
static size_t discard(char *, size_t, size_t, void *);
static char *body_of(const struct target *);

static const char *const state_names[ANNOUNCED__MAX] = {
    [ANNOUNCED_READY] = "ready",
    [ANNOUNCED_COLD] = "cold",
    [ANNOUNCED_DRAINING] = "draining",
};

const char *
target_state_name(enum announced_state state)
{
    return state_names[state];
}

/* Announce now and from now on. */
void
target_announce_start(struct target *target)
{
    uv_timer_t *timer = g_new0(uv_timer_t, 1);

    if (target->options.announce_to == NULL) {
        return;
    }
    curl_global_init(CURL_GLOBAL_DEFAULT);
    uv_timer_init(target->loop, timer);
    timer->data = target;
    uv_timer_start(timer, timer_cb, 0, ANNOUNCE_EVERY_MS);
}

static void
timer_cb(uv_timer_t *timer)
{
    target_announce_now(timer->data);
}

static char *
body_of(const struct target *target)
{
    const struct target_options *options = &target->options;
    char *health = g_strdup_printf("http://%s:%d/health", options->address,
                                   options->http_port);
    char *load = g_strdup_printf("http://%s:%d/load", options->address,
                                 options->http_port);
    json_t *body = json_pack(
        "{s:s,s:s,s:i,s:i,s:i,s:s,s:s,s:i,s:i,s:s,s:s}", "pool", options->pool,
        "address", options->address, "port", GENEVE_PORT, "slots",
        options->slots, "connections", options->connections, "zone",
        options->zone, "state", target_state_name(target->state),
        "incarnation", options->incarnation, "weight", options->weight,
        "health", health, "load", load);
    char *text = json_dumps(body, JSON_COMPACT);

    json_decref(body);
    g_free(health);
    g_free(load);
    return text;
}

/* Announce the present state, in a thread of its own. */
void
target_announce_now(struct target *target)
{
    struct announcement *announcement;

    if (target->options.announce_to == NULL) {
        return;
    }
    announcement = g_new0(struct announcement, 1);
    announcement->target = target;
    announcement->body = body_of(target);
    announcement->first = target->announced + target->announce_failed;
    announcement->work.data = announcement;
    uv_queue_work(target->loop, &announcement->work, work_cb, after_cb);
}

static void
work_cb(uv_work_t *work)
{
    struct announcement *announcement = work->data;
    char **daemons = announcement->target->options.announce_to;
    size_t count = g_strv_length(daemons);

    for (size_t i = 0; i < count && !announcement->delivered; i++) {
        announcement->delivered = post(
            daemons[(announcement->first + i) % count], announcement->body);
    }
}

static void
after_cb(uv_work_t *work, int status)
{
    struct announcement *announcement = work->data;

    (void)status;
    if (announcement->delivered) {
        announcement->target->announced++;
    }
    else {
        announcement->target->announce_failed++;
    }
    free(announcement->body);
    g_free(announcement);
}

static size_t
discard(char *data, size_t size, size_t count, void *arg)
{
    (void)data;
    (void)arg;
    return size * count;
}

/* Post BODY to the administration address of a daemon; true on 2xx. */
static bool
post(const char *daemon, const char *body)
{
    CURL *curl = curl_easy_init();
    char *url = g_strdup_printf("http://%s/v1/announce", daemon);
    struct curl_slist *headers =
        curl_slist_append(NULL, "Content-Type: application/json");
    long status = 0;

    curl_easy_setopt(curl, CURLOPT_URL, url);
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, ANNOUNCE_TIMEOUT_MS);
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_PROXY, "");
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, discard);
    if (curl_easy_perform(curl) == CURLE_OK) {
        curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
    }
    curl_slist_free_all(headers);
    curl_easy_cleanup(curl);
    g_free(url);
    return status >= 200 && status < 300;
}
