/* A daemon: its settings in, its exit status out. */
#ifndef PS_DAEMON_DAEMON_H
#define PS_DAEMON_DAEMON_H

#include <glib.h>

#include "base/settings.h"

/* Run until a planned stop or SIGTERM twice.  False with the reason. */
bool daemon_run(const struct settings *, GError **);

#endif
