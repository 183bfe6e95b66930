/*
 * Writes spans of sampled flows: one from the receipt of a packet to the
 * decision, one for what was sent.  All daemons sample the same flows, so that
 * a flow whose packets pass several daemons gives one trace.
 */
#include <stdlib.h>

#include "base/hash.h"
#include "fleet/fleet_private.h"

#define SPAN_FLAG_PREFIX "span-" /* prefix of the flags of span settings */

static bool read_settings(struct settings *, GError **);

/*
 * Read the settings for spans from the environment, or take their defaults.
 * Return false and set ERROR if one is not valid.
 */
static bool
read_settings(struct settings *settings, GError **error)
{
    size_t count;
    const struct setting_row *rows = settings_rows(&count);
    bool ok = true;

    for (size_t i = 0; i < count && ok; i++) {
        char *name = settings_env_name(&rows[i]);
        const char *text = getenv(name);

        if (text == NULL) {
            text = rows[i].fallback;
        }
        if (g_str_has_prefix(rows[i].flag, SPAN_FLAG_PREFIX) && text != NULL) {
            ok = settings_set(settings, &rows[i], text, name, error);
        }
        g_free(name);
    }
    return ok;
}

/*
 * Open the span file, if one is set.  Return false and set ERROR on failure.
 */
bool
fleet_span_start(struct fleet *fleet, GError **error)
{
    struct span_options options = {
        .daemon = fleet->options->name,
        .zone = fleet->options->zone,
    };

    if (!read_settings(&fleet->settings, error)) {
        return false;
    }
    options.path = fleet->settings.span_file;
    options.sample = (uint64_t)fleet->settings.span_sample;
    options.max_bytes = (uint64_t)fleet->settings.span_max_mb << 20;
    fleet->spans = span_writer_new(&options, error);
    return fleet->spans != NULL;
}

/* Close the span file. */
void
fleet_span_free(struct fleet *fleet)
{
    span_writer_free(fleet->spans);
    g_free(fleet->settings.span_file);
}

/*
 * Write the span of HOP of the flow KEY, if it is sampled: from the
 * wall-clock time START_US until now, to or from PEER.
 */
void
fleet_span(struct fleet *fleet, uint64_t key, enum span_hop hop,
           int64_t start_us, uint32_t peer)
{
    struct span span = {.key = key, .hop = hop, .start_us = start_us};
    char *text;

    if (!span_sampled(fleet->spans, key)) {
        return;
    }
    text = view_address_text(peer);
    span.end_us = g_get_real_time();
    span.peer = text;
    counter_add(&fleet->counters,
                span_write(fleet->spans, &span) ? COUNTER_SPANS_WRITTEN
                                                : COUNTER_SPANS_LOST,
                1);
    g_free(text);
}
