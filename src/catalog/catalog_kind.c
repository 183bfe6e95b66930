/* Defines the traits of each request kind. */
#include "catalog/catalog.h"

static const struct catalog_traits traits[CATALOG_KIND__MAX] = {
    [CATALOG_IDEMPOTENT] = {.name = "idempotent", .idempotent = true},
    [CATALOG_NON_IDEMPOTENT] = {.name = "non-idempotent"},
    [CATALOG_UPLOAD] = {.name = "upload", .large_request = true},
    [CATALOG_DOWNLOAD] = {.name = "download",
                          .idempotent = true,
                          .large_answer = true},
};

/* Return the traits of KIND; those of a non-idempotent request if KIND is
 * invalid. */
const struct catalog_traits *
catalog_kind_traits(enum catalog_kind kind)
{
    return &traits[kind < CATALOG_KIND__MAX ? kind : CATALOG_NON_IDEMPOTENT];
}
