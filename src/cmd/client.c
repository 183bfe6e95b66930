/* One request to the administration API, sent again if the answer is lost. */
#include "cmd/client.h"

#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>

#include "base/err.h"

#define SERVER_DEFAULT "http://127.0.0.1:8080"
#define TIMEOUT_MS     8000L
#define TRIES_MAX      5
#define RETRY_WAIT_US  300000
#define UNAVAILABLE    503

static size_t on_body(char *, size_t, size_t, void *);
static struct curl_slist *headers(const struct client_options *, GError **);
static CURLcode perform(CURL *, GString *text, long *status);

static size_t
on_body(char *data, size_t size, size_t count, void *user)
{
    g_string_append_len(user, data, (gssize)(size * count));
    return size * count;
}

/* The header with the token; NULL with an error if it cannot be read. */
static struct curl_slist *
headers(const struct client_options *options, GError **error)
{
    struct curl_slist *list =
        curl_slist_append(NULL, "Content-Type: application/json");
    char *token, *line;

    if (options->token_file == NULL) {
        return list;
    }
    if (!g_file_get_contents(options->token_file, &token, NULL, error)) {
        curl_slist_free_all(list);
        return NULL;
    }
    line = g_strdup_printf("Authorization: Bearer %s", g_strstrip(token));
    list = curl_slist_append(list, line);
    g_free(line);
    g_free(token);
    return list;
}

/* Send, and again while the answer is lost or no leader is known. */
static CURLcode
perform(CURL *easy, GString *text, long *status)
{
    CURLcode code = CURLE_OK;

    for (int i = 0; i < TRIES_MAX; i++) {
        if (i > 0) {
            g_usleep(RETRY_WAIT_US);
        }
        g_string_truncate(text, 0);
        *status = 0;
        code = curl_easy_perform(easy);
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, status);
        if (code == CURLE_OK && *status != UNAVAILABLE) {
            break;
        }
    }
    return code;
}

/*
 * Send METHOD to PATH with BODY, which may be NULL.  An edit is safe to be
 * sent again, since it carries its id.  False with ERR_NETWORK if no answer
 * came.
 */
bool
client_request(const struct client_options *options, const char *method,
               const char *path, json_t *body, struct client_answer *answer,
               GError **error)
{
    const char *server =
        options->server == NULL ? SERVER_DEFAULT : options->server;
    char *url = g_strconcat(server, path, NULL);
    char *sent = body == NULL ? NULL : json_dumps(body, JSON_COMPACT);
    GString *text = g_string_new(NULL);
    struct curl_slist *list = headers(options, error);
    CURL *easy = curl_easy_init();
    CURLcode code = CURLE_FAILED_INIT;

    answer->body = NULL;
    if (list != NULL && easy != NULL) {
        curl_easy_setopt(easy, CURLOPT_URL, url);
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method);
        curl_easy_setopt(easy, CURLOPT_HTTPHEADER, list);
        curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
        curl_easy_setopt(easy, CURLOPT_WRITEDATA, text);
        curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, TIMEOUT_MS);
        curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
        if (sent != NULL) {
            curl_easy_setopt(easy, CURLOPT_POSTFIELDS, sent);
        }
        code = perform(easy, text, &answer->status);
        answer->body = json_loadb(text->str, text->len, 0, NULL);
        if (code != CURLE_OK) {
            g_set_error(error, ERR_DOMAIN, ERR_NETWORK,
                        "%s does not answer (%s); start a daemon there, or "
                        "name another with --server",
                        server, curl_easy_strerror(code));
        }
    }
    curl_slist_free_all(list);
    curl_easy_cleanup(easy);
    g_string_free(text, TRUE);
    free(sent);
    g_free(url);
    return code == CURLE_OK;
}
