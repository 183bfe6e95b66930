/* Names of the error kinds. */
#include "base/err.h"

static const char *const err_names[ERR__MAX] = {
    [ERR_USAGE] = "usage",
    [ERR_SETTING] = "setting",
    [ERR_INPUT] = "input",
    [ERR_CONFLICT] = "conflict",
    [ERR_REFUSED] = "refused",
    [ERR_NOT_FOUND] = "not-found",
    [ERR_UNAVAILABLE] = "unavailable",
    [ERR_STORAGE] = "storage",
    [ERR_CORRUPT] = "corrupt",
    [ERR_LIMIT] = "limit",
    [ERR_NETWORK] = "network",
    [ERR_AUTH] = "auth",
};

/* The GError domain of every error of the product. */
GQuark
err_quark(void)
{
    return g_quark_from_static_string("parsleyspur-error");
}

/* The stable name of CODE, as the administration API reports it. */
const char *
err_name(enum err_code code)
{
    return code < ERR__MAX ? err_names[code] : "unknown";
}
