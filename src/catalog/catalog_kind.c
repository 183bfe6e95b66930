/* The kinds of requests that routes carry. */
#include "catalog/catalog.h"

static const struct catalog_traits traits[CATALOG_KIND__MAX] = {
    [CATALOG_IDEMPOTENT] = {.name = "idempotent", .idempotent = true},
    [CATALOG_NON_IDEMPOTENT] = {.name = "non-idempotent"},
    [CATALOG_UPLOAD] = {.name = "upload", .large_request = true},
    [CATALOG_DOWNLOAD] = {.name = "download",
                          .idempotent = true,
                          .large_answer = true},
};

/* The traits of KIND, which is one of the enumeration's. */
const struct catalog_traits *
catalog_kind_traits(enum catalog_kind kind)
{
    return &traits[kind < CATALOG_KIND__MAX ? kind : CATALOG_NON_IDEMPOTENT];
}
