/* OTLP JSON lines: one ExportTraceServiceRequest of one span a line. */
#include "base/span.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

#include <jansson.h>

#include "base/err.h"
#include "base/hash.h"

struct span_writer {
    FILE *file;
    char *path;
    char *daemon;
    char *zone;
    uint64_t sample;
    uint64_t max_bytes;
    uint64_t written;
};

static const char *const hop_names[SPAN_HOP__MAX] = {
    [SPAN_FABRIC_IN] = "fabric-in", [SPAN_HAND_ON] = "hand-on",
    [SPAN_LEAD] = "lead",           [SPAN_TARGET] = "target",
    [SPAN_ANSWER] = "answer",       [SPAN_REFUSE] = "refuse",
};

static json_t *attribute(const char *key, const char *value);
static json_t *span_object(const struct span *);
static json_t *span_request(const struct span_writer *, const struct span *);

/*
 * Open the span file.  Returns NULL with ERR_STORAGE if that fails; without a
 * path a writer that samples nothing.
 */
struct span_writer *
span_writer_new(const struct span_options *options, GError **error)
{
    struct span_writer *writer = g_new0(struct span_writer, 1);

    writer->daemon = g_strdup(options->daemon);
    writer->zone = g_strdup(options->zone);
    writer->path = g_strdup(options->path);
    writer->sample = options->sample;
    writer->max_bytes = options->max_bytes;
    if (options->path == NULL) {
        return writer;
    }
    writer->file = fopen(options->path, "w");
    if (writer->file == NULL) {
        g_set_error(error, ERR_DOMAIN, ERR_STORAGE,
                    "--span-file: cannot write \"%s\" (%s); name a file in a "
                    "writable folder",
                    options->path, g_strerror(errno));
        span_writer_free(writer);
        return NULL;
    }
    return writer;
}

/* Close the file and free WRITER; NULL is taken. */
void
span_writer_free(struct span_writer *writer)
{
    if (writer == NULL) {
        return;
    }
    if (writer->file != NULL) {
        fclose(writer->file);
    }
    g_free(writer->path);
    g_free(writer->daemon);
    g_free(writer->zone);
    g_free(writer);
}

/* Whether spans of the flow or call with this KEY are written. */
bool
span_sampled(const struct span_writer *writer, uint64_t key)
{
    return writer->file != NULL && key % writer->sample == 0;
}

static json_t *
attribute(const char *key, const char *value)
{
    return json_pack("{s:s, s:{s:s}}", "key", key, "value", "stringValue",
                     value);
}

static json_t *
span_object(const struct span *span)
{
    char trace[33], id[17], parent[17], start[32], end[32];
    json_t *attributes = json_array(), *object;

    g_snprintf(trace, sizeof(trace),
               "%016" G_GINT64_MODIFIER "x%016" G_GINT64_MODIFIER "x",
               span->key, hash_pair(span->key, 1));
    g_snprintf(id, sizeof(id), "%016" G_GINT64_MODIFIER "x",
               hash_pair(span->key ^ (uint64_t)span->start_us, span->hop));
    g_snprintf(parent, sizeof(parent), "%016" G_GINT64_MODIFIER "x",
               hash_pair(span->key, 2));
    g_snprintf(start, sizeof(start), "%" G_GINT64_FORMAT "000",
               span->start_us);
    g_snprintf(end, sizeof(end), "%" G_GINT64_FORMAT "000", span->end_us);
    if (span->route != NULL) {
        json_array_append_new(attributes, attribute("route", span->route));
    }
    if (span->peer != NULL) {
        json_array_append_new(attributes,
                              attribute("net.peer.ip", span->peer));
    }
    object = json_pack("{s:s, s:s, s:s, s:s, s:s, s:s, s:o}", "traceId", trace,
                       "spanId", id, "parentSpanId", parent, "name",
                       hop_names[span->hop], "startTimeUnixNano", start,
                       "endTimeUnixNano", end, "attributes", attributes);
    return object;
}

static json_t *
span_request(const struct span_writer *writer, const struct span *span)
{
    return json_pack("{s:[{s:{s:[o,o,o]}, s:[{s:[o]}]}]}", "resourceSpans",
                     "resource", "attributes",
                     attribute("service.name", "parsleyspur"),
                     attribute("service.instance.id", writer->daemon),
                     attribute("cloud.availability_zone", writer->zone),
                     "scopeSpans", "spans", span_object(span));
}

/* Write SPAN as one line; false if it could not be written. */
bool
span_write(struct span_writer *writer, const struct span *span)
{
    json_t *request;
    char *line;
    int written;

    if (writer->file == NULL) {
        return false;
    }
    if (writer->written > writer->max_bytes) {
        writer->file = freopen(writer->path, "w", writer->file);
        writer->written = 0;
        if (writer->file == NULL) {
            return false;
        }
    }
    request = span_request(writer, span);
    line = json_dumps(request, JSON_COMPACT);
    json_decref(request);
    if (line == NULL) {
        return false;
    }
    written = fprintf(writer->file, "%s\n", line);
    free(line);
    if (written < 0 || fflush(writer->file) != 0) {
        return false;
    }
    writer->written += (uint64_t)written;
    return true;
}
