/* The share of requests within their goal over time, as an SVG. */
#include <stdio.h>

#include "model.h"

#define WIDTH  720
#define HEIGHT 320
#define MARGIN 40

static const char *const colours[MODEL_WAY__MAX] = {
    [MODEL_PRODUCT] = "#c02020",     [MODEL_HASH] = "#808080",
    [MODEL_ROUND_ROBIN] = "#2060c0", [MODEL_TWO_STALE] = "#20a060",
    [MODEL_ALL_KNOWING] = "#000000",
};

static double x_of(size_t window, size_t count);
static double y_of(double share);

static double
x_of(size_t window, size_t count)
{
    return MARGIN + (double)window * (WIDTH - 2 * MARGIN) /
                        (double)(count > 1 ? count - 1 : 1);
}

static double
y_of(double share)
{
    return HEIGHT - MARGIN - share * (HEIGHT - 2 * MARGIN);
}

/* Draw COUNT results to PATH; a file that cannot be written is told. */
void
model_plot(const char *path, const char *title,
           const struct model_result *results, const enum model_way *ways,
           size_t count)
{
    FILE *out = fopen(path, "w");

    if (out == NULL) {
        perror(path);
        return;
    }
    fprintf(out,
            "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" "
            "height=\"%d\" font-family=\"sans-serif\" font-size=\"11\">\n"
            "<text x=\"%d\" y=\"20\">%s: share of requests within their "
            "goal, each 2 s</text>\n",
            WIDTH, HEIGHT, MARGIN, title);
    for (int tenth = 0; tenth <= 10; tenth += 2) {
        fprintf(out,
                "<line x1=\"%d\" x2=\"%d\" y1=\"%.0f\" y2=\"%.0f\" "
                "stroke=\"#ddd\"/><text x=\"8\" y=\"%.0f\">%.1f</text>\n",
                MARGIN, WIDTH - MARGIN, y_of(tenth / 10.0), y_of(tenth / 10.0),
                y_of(tenth / 10.0) + 4, tenth / 10.0);
    }
    for (size_t i = 0; i < count; i++) {
        const struct model_result *result = &results[i];

        fprintf(out,
                "<text x=\"%zu\" y=\"%d\" fill=\"%s\">%s</text>\n"
                "<polyline fill=\"none\" stroke=\"%s\" points=\"",
                MARGIN + i * 110, HEIGHT - 12, colours[ways[i]],
                model_way_name(ways[i]), colours[ways[i]]);
        for (size_t at = 0; at < result->window_count; at++) {
            fprintf(out, "%.1f,%.1f ", x_of(at, result->window_count),
                    y_of(result->windows[at]));
        }
        fprintf(out, "\"/>\n");
    }
    fprintf(out, "</svg>\n");
    fclose(out);
}
