/*
 * Real daemons on loopback for the benches: started, killed, asked by HTTP.
 * A bench is no part of the product, so it may start processes.
 */
#ifndef PS_BENCH_PROCESS_FLEET_H
#define PS_BENCH_PROCESS_FLEET_H

#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include <curl/curl.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <jansson.h>

#define FLEET_MAX       16
#define FLEET_BINARY    "build/parsleyspur"
#define FLEET_TOKEN     "bench"
#define FLEET_HTTP_PORT 8080

struct process_daemon {
    char name[32];
    char zone[32];
    char address[32];
    const char *roles;
    pid_t pid; /* 0 while it does not run */
};

struct process_fleet {
    struct process_daemon daemons[FLEET_MAX];
    size_t count;
    unsigned block; /* second byte of the loopback addresses */
    char *folder;
    char *token_file;
};

struct fleet_answer {
    long status; /* 0 if none came */
    json_t *body;
};

/* Make room for daemons in 127.BLOCK.0.0/16 and a new folder. */
static inline void
fleet_init(struct process_fleet *fleet, unsigned block)
{
    GError *error = NULL;

    memset(fleet, 0, sizeof(*fleet));
    fleet->block = block;
    fleet->folder = g_dir_make_tmp("parsleyspur-bench-XXXXXX", &error);
    if (fleet->folder == NULL) {
        fprintf(stderr, "%s\n", error->message);
        exit(1);
    }
    fleet->token_file = g_build_filename(fleet->folder, "token", NULL);
    g_file_set_contents(fleet->token_file, FLEET_TOKEN, -1, NULL);
    curl_global_init(CURL_GLOBAL_DEFAULT);
}

/* Add a daemon; it is started by fleet_start(). */
static inline void
fleet_add(struct process_fleet *fleet, const char *zone, unsigned zone_number,
          const char *roles)
{
    struct process_daemon *daemon = &fleet->daemons[fleet->count];

    fleet->count++;
    g_snprintf(daemon->name, sizeof(daemon->name), "%s-%zu", zone,
               fleet->count);
    g_snprintf(daemon->zone, sizeof(daemon->zone), "%s", zone);
    g_snprintf(daemon->address, sizeof(daemon->address), "127.%u.%u.%zu",
               fleet->block, zone_number, fleet->count);
    daemon->roles = roles;
}

/* The arguments of one daemon; freed by g_strfreev(). */
static inline char **
fleet_arguments(const struct process_fleet *fleet,
                const struct process_daemon *daemon)
{
    GPtrArray *list = g_ptr_array_new();
    GString *peers = g_string_new(NULL), *voters = g_string_new(NULL);

    for (size_t i = 0; i < fleet->count; i++) {
        const struct process_daemon *other = &fleet->daemons[i];

        g_string_append_printf(peers, "%s%s", i == 0 ? "" : ",",
                               other->address);
        if (strstr(other->roles, "control") != NULL) {
            g_string_append_printf(voters, "%s%s=%s",
                                   voters->len == 0 ? "" : ",", other->name,
                                   other->address);
        }
    }
    g_ptr_array_add(list, g_strdup(FLEET_BINARY));
    g_ptr_array_add(list, g_strdup("serve"));
    g_ptr_array_add(list, g_strdup_printf("--name=%s", daemon->name));
    g_ptr_array_add(list, g_strdup_printf("--zone=%s", daemon->zone));
    g_ptr_array_add(list, g_strdup_printf("--address=%s", daemon->address));
    g_ptr_array_add(list, g_strdup_printf("--roles=%s", daemon->roles));
    g_ptr_array_add(list, g_strdup_printf("--peers=%s", peers->str));
    g_ptr_array_add(list, g_strdup_printf("--voters=%s", voters->str));
    g_ptr_array_add(list, g_strdup_printf("--admin=%s:%d", daemon->address,
                                          FLEET_HTTP_PORT));
    g_ptr_array_add(list,
                    g_strdup_printf("--token-file=%s", fleet->token_file));
    g_ptr_array_add(
        list, g_strdup_printf("--fabric=127.%u.250.1:6081", fleet->block));
    g_ptr_array_add(list, g_strdup_printf("--data-dir=%s/%s", fleet->folder,
                                          daemon->name));
    g_ptr_array_add(list, NULL);
    g_string_free(peers, TRUE);
    g_string_free(voters, TRUE);
    return (char **)g_ptr_array_free(list, FALSE);
}

/* Start the daemon with INDEX; its log goes into the fleet's folder. */
static inline void
fleet_start(struct process_fleet *fleet, size_t index)
{
    struct process_daemon *daemon = &fleet->daemons[index];
    char **arguments = fleet_arguments(fleet, daemon);
    char *data = g_build_filename(fleet->folder, daemon->name, NULL);
    char *log = g_strconcat(data, ".log", NULL);

    g_mkdir_with_parents(data, 0700);
    daemon->pid = fork();
    if (daemon->pid == 0) {
        int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);

        dup2(fd, STDERR_FILENO);
        execv(FLEET_BINARY, arguments);
        _exit(127);
    }
    g_free(log);
    g_free(data);
    g_strfreev(arguments);
}

/* End the daemon with INDEX by SIGNAL and wait for it. */
static inline void
fleet_end(struct process_fleet *fleet, size_t index, int number)
{
    struct process_daemon *daemon = &fleet->daemons[index];

    if (daemon->pid > 0) {
        kill(daemon->pid, number);
        waitpid(daemon->pid, NULL, 0);
        daemon->pid = 0;
    }
}

/* End all daemons and remove the folder. */
static inline void
fleet_clear(struct process_fleet *fleet)
{
    char *command[] = {"rm", "-rf", fleet->folder, NULL};
    pid_t pid;

    for (size_t i = 0; i < fleet->count; i++) {
        fleet_end(fleet, i, SIGKILL);
    }
    pid = fork();
    if (pid == 0) {
        execvp(command[0], command);
        _exit(127);
    }
    waitpid(pid, NULL, 0);
    g_free(fleet->token_file);
    g_free(fleet->folder);
}

static inline size_t
fleet_on_body(char *data, size_t size, size_t count, void *user)
{
    g_string_append_len(user, data, (gssize)(size * count));
    return size * count;
}

/* One HTTP request; TEXT, if not NULL, gets the body as it came. */
static inline struct fleet_answer
fleet_http(const struct process_daemon *daemon, const char *method,
           const char *path, const char *body, GString *text)
{
    struct fleet_answer answer = {0, NULL};
    GString *got = g_string_new(NULL);
    char *url = g_strdup_printf("http://%s:%d%s", daemon->address,
                                FLEET_HTTP_PORT, path);
    struct curl_slist *list =
        curl_slist_append(NULL, "Authorization: Bearer " FLEET_TOKEN);
    CURL *easy = curl_easy_init();

    curl_easy_setopt(easy, CURLOPT_URL, url);
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, list);
    curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, 6000L);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, fleet_on_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, got);
    if (body != NULL) {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body);
    }
    if (curl_easy_perform(easy) == CURLE_OK) {
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &answer.status);
        answer.body = json_loadb(got->str, got->len, 0, NULL);
        if (text != NULL) {
            g_string_append_len(text, got->str, (gssize)got->len);
        }
    }
    curl_easy_cleanup(easy);
    curl_slist_free_all(list);
    g_string_free(got, TRUE);
    g_free(url);
    return answer;
}

/* The version that a daemon has in force, or -1 if it does not answer. */
static inline json_int_t
fleet_in_force(const struct process_daemon *daemon)
{
    struct fleet_answer answer =
        fleet_http(daemon, "GET", "/v1/status", NULL, NULL);
    json_t *value = json_object_get(answer.body, "in_force");
    json_int_t version = value == NULL ? -1 : json_integer_value(value);

    json_decref(answer.body);
    return version;
}

/* Wait until the tables can be read through every daemon; false after 20 s. */
static inline bool
fleet_wait_ready(struct process_fleet *fleet)
{
    for (size_t i = 0; i < fleet->count; i++) {
        gint64 end = g_get_monotonic_time() + (gint64)20 * G_USEC_PER_SEC;
        long status = 0;

        while (status != 200) {
            struct fleet_answer answer = fleet_http(&fleet->daemons[i], "GET",
                                                    "/v1/routes", NULL, NULL);

            status = answer.status;
            json_decref(answer.body);
            if (g_get_monotonic_time() > end) {
                return false;
            }
            g_usleep(20000);
        }
    }
    return true;
}

static inline int
fleet_compare(const void *a, const void *b)
{
    double x = *(const double *)a, y = *(const double *)b;

    return x < y ? -1 : x > y;
}

/* The value at PERCENT of COUNT values, which are sorted. */
static inline double
fleet_percentile(double *values, size_t count, double percent)
{
    size_t at;

    if (count == 0) {
        return 0;
    }
    qsort(values, count, sizeof(*values), fleet_compare);
    at = (size_t)((double)count * percent / 100);
    return values[at < count ? at : count - 1];
}

#endif
