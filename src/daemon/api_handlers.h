/* What the paths of the administration API do. */
#ifndef PS_DAEMON_API_HANDLERS_H
#define PS_DAEMON_API_HANDLERS_H

#include <jansson.h>

#include "daemon/control.h"

/* Whether PATH speaks of this daemon alone and needs no leader. */
bool api_is_local(const char *path);
void api_handle(struct daemon *, const struct api_caller *, const char *method,
                const char *path, const char *body, size_t len);
void api_answer(struct daemon *, const struct api_caller *, unsigned status,
                json_t *object);
void api_refuse(struct daemon *, const struct api_caller *, enum err_code,
                const char *message);

/* In daemon_api.c: send an epoch wish towards the leader. */
bool daemon_api_pass_want(struct daemon *, struct control_message *);

#endif
