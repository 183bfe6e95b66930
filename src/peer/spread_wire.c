/* Spreading messages as protobuf-c packs them. */
#include "peer/spread_wire.h"

#include <string.h>

#include "peer/spread.pb-c.h"

static void fill_range(const struct spread_range *,
                       Parsleyspur__SpreadRange *);
static void fill_bytes(const struct spread_bytes *,
                       Parsleyspur__SpreadBytes *);
static void fill_target(const struct spread_target *,
                        Parsleyspur__SpreadTarget *);
static void pack_body(Parsleyspur__SpreadMessage *, GByteArray *);
static void pack_order(const struct spread_message *,
                       Parsleyspur__SpreadMessage *, GByteArray *);
static void pack_report(const struct spread_message *,
                        Parsleyspur__SpreadMessage *, GByteArray *);
static void pack_targets(const struct spread_message *,
                         Parsleyspur__SpreadMessage *, GByteArray *);
static void pack_stamps(const struct spread_message *,
                        Parsleyspur__SpreadMessage *, GByteArray *);
static void pack_small(const struct spread_message *,
                       Parsleyspur__SpreadMessage *, GByteArray *);
static bool read_range(const Parsleyspur__SpreadRange *,
                       struct spread_range *);
static bool read_bytes(const Parsleyspur__SpreadBytes *,
                       struct spread_bytes *);
static bool read_order(const Parsleyspur__SpreadOrder *,
                       struct spread_message *);
static bool read_report(const Parsleyspur__SpreadReport *,
                        struct spread_message *);
static bool read_target(const Parsleyspur__SpreadTarget *,
                        struct spread_target *);
static bool read_targets(const Parsleyspur__SpreadTargets *,
                         struct spread_message *);
static bool read_refresh(const Parsleyspur__SpreadRefresh *,
                         struct spread_message *);
static bool read_digests(const Parsleyspur__SpreadDigests *,
                         struct spread_message *);
static bool read_stamps(const Parsleyspur__SpreadStamps *,
                        struct spread_message *);
static bool read_body(const Parsleyspur__SpreadMessage *,
                      struct spread_message *);

static void
fill_range(const struct spread_range *range, Parsleyspur__SpreadRange *out)
{
    parsleyspur__spread_range__init(out);
    out->zone = range->zone;
    out->first = range->first;
    out->last = range->last;
}

static void
fill_bytes(const struct spread_bytes *bytes, Parsleyspur__SpreadBytes *out)
{
    parsleyspur__spread_bytes__init(out);
    out->from = bytes->from;
    out->to = bytes->to;
    out->data.data = (uint8_t *)bytes->data;
    out->data.len = bytes->len;
}

static void
fill_target(const struct spread_target *target, Parsleyspur__SpreadTarget *out)
{
    parsleyspur__spread_target__init(out);
    out->pool = target->pool.value;
    out->address = target->view.key.address;
    out->incarnation = target->view.key.incarnation;
    out->port = target->view.port;
    out->weight = target->view.weight;
    out->slots = target->view.slots;
    out->connections = target->view.connections;
    out->zone = target->view.zone;
    out->state = target->view.state;
    out->life_ms = target->life_ms;
    out->stamp = target->stamp;
    out->holder = target->holder.value;
}

static void
pack_body(Parsleyspur__SpreadMessage *wire, GByteArray *out)
{
    size_t len = parsleyspur__spread_message__get_packed_size(wire);
    size_t start = out->len;

    g_byte_array_set_size(out, (guint)(start + len));
    parsleyspur__spread_message__pack(wire, out->data + start);
}

static void
pack_order(const struct spread_message *message,
           Parsleyspur__SpreadMessage *wire, GByteArray *out)
{
    Parsleyspur__SpreadOrder order = PARSLEYSPUR__SPREAD_ORDER__INIT;
    Parsleyspur__SpreadRange range;
    Parsleyspur__SpreadBytes bytes;

    fill_range(&message->u.order.range, &range);
    fill_bytes(&message->u.order.bytes, &bytes);
    order.phase = message->u.order.phase;
    order.attempt = message->u.order.attempt;
    order.range = &range;
    order.bytes = &bytes;
    wire->body_case = PARSLEYSPUR__SPREAD_MESSAGE__BODY_ORDER;
    wire->order = &order;
    pack_body(wire, out);
}

static void
pack_report(const struct spread_message *message,
            Parsleyspur__SpreadMessage *wire, GByteArray *out)
{
    Parsleyspur__SpreadReport report = PARSLEYSPUR__SPREAD_REPORT__INIT;
    Parsleyspur__SpreadRange range;
    uint64_t lacking[SPREAD_LACKING_MAX];

    fill_range(&message->u.report.range, &range);
    for (size_t i = 0; i < message->u.report.lacking_count; i++) {
        lacking[i] = message->u.report.lacking[i].value;
    }
    report.phase = message->u.report.phase;
    report.attempt = message->u.report.attempt;
    report.seq = message->u.report.seq;
    report.version = message->u.report.version;
    report.range = &range;
    report.done = message->u.report.done;
    report.known = message->u.report.known;
    report.done_digest = message->u.report.done_digest;
    report.n_lacking = message->u.report.lacking_count;
    report.lacking = lacking;
    wire->body_case = PARSLEYSPUR__SPREAD_MESSAGE__BODY_REPORT;
    wire->report = &report;
    pack_body(wire, out);
}

static void
pack_targets(const struct spread_message *message,
             Parsleyspur__SpreadMessage *wire, GByteArray *out)
{
    Parsleyspur__SpreadTargets targets = PARSLEYSPUR__SPREAD_TARGETS__INIT;
    Parsleyspur__SpreadRange range;
    Parsleyspur__SpreadTarget items[SPREAD_TARGETS_MAX];
    Parsleyspur__SpreadTarget *list[SPREAD_TARGETS_MAX];

    fill_range(&message->u.targets.range, &range);
    for (size_t i = 0; i < message->u.targets.count; i++) {
        fill_target(&message->u.targets.items[i], &items[i]);
        list[i] = &items[i];
    }
    targets.range = &range;
    targets.relay = message->u.targets.relay;
    targets.sync = message->u.targets.sync;
    targets.n_items = message->u.targets.count;
    targets.items = list;
    wire->body_case = PARSLEYSPUR__SPREAD_MESSAGE__BODY_TARGETS;
    wire->targets = &targets;
    pack_body(wire, out);
}

static void
pack_stamps(const struct spread_message *message,
            Parsleyspur__SpreadMessage *wire, GByteArray *out)
{
    Parsleyspur__SpreadStamps stamps = PARSLEYSPUR__SPREAD_STAMPS__INIT;
    size_t count = message->u.stamps.count;
    Parsleyspur__SpreadStamp *items = g_new(Parsleyspur__SpreadStamp, count);
    Parsleyspur__SpreadStamp **list = g_new(Parsleyspur__SpreadStamp *, count);

    for (size_t i = 0; i < count; i++) {
        const struct spread_stamp *stamp = &message->u.stamps.items[i];

        parsleyspur__spread_stamp__init(&items[i]);
        items[i].address = stamp->address;
        items[i].incarnation = stamp->incarnation;
        items[i].stamp = stamp->stamp;
        items[i].holder = stamp->holder.value;
        list[i] = &items[i];
    }
    stamps.bits = message->u.stamps.bits;
    stamps.bucket = message->u.stamps.bucket;
    stamps.request = message->u.stamps.request;
    stamps.n_items = count;
    stamps.items = list;
    wire->body_case = PARSLEYSPUR__SPREAD_MESSAGE__BODY_STAMPS;
    wire->stamps = &stamps;
    pack_body(wire, out);
    g_free(list);
    g_free(items);
}

/* The kinds whose bodies point at what MESSAGE already holds. */
static void
pack_small(const struct spread_message *message,
           Parsleyspur__SpreadMessage *wire, GByteArray *out)
{
    Parsleyspur__SpreadBytes bytes;
    Parsleyspur__SpreadRefresh refresh = PARSLEYSPUR__SPREAD_REFRESH__INIT;
    Parsleyspur__SpreadDigest digest = PARSLEYSPUR__SPREAD_DIGEST__INIT;
    Parsleyspur__SpreadDigests digests = PARSLEYSPUR__SPREAD_DIGESTS__INIT;

    if (message->kind == SPREAD_FETCH) {
        wire->body_case = PARSLEYSPUR__SPREAD_MESSAGE__BODY_FETCH;
        wire->fetch = true;
    }
    else if (message->kind == SPREAD_DIFFERENCE) {
        fill_bytes(&message->u.difference, &bytes);
        wire->body_case = PARSLEYSPUR__SPREAD_MESSAGE__BODY_DIFFERENCE;
        wire->difference = &bytes;
    }
    else if (message->kind == SPREAD_REFRESH) {
        refresh.n_addresses = message->u.refresh.count;
        refresh.addresses = (uint32_t *)message->u.refresh.addresses;
        wire->body_case = PARSLEYSPUR__SPREAD_MESSAGE__BODY_REFRESH;
        wire->refresh = &refresh;
    }
    else if (message->kind == SPREAD_DIGEST) {
        digest.count = message->u.digest.count;
        digest.digest = message->u.digest.digest;
        digest.echo = message->u.digest.echo;
        digest.synced = message->u.digest.synced;
        wire->body_case = PARSLEYSPUR__SPREAD_MESSAGE__BODY_DIGEST;
        wire->digest = &digest;
    }
    else {
        digests.bits = message->u.digests.bits;
        digests.n_digests = (size_t)1 << digests.bits;
        digests.digests = (uint32_t *)message->u.digests.digests;
        wire->body_case = PARSLEYSPUR__SPREAD_MESSAGE__BODY_DIGESTS;
        wire->digests = &digests;
    }
    pack_body(wire, out);
}

/* Append MESSAGE's bytes to OUT. */
void
spread_wire_pack(const struct spread_message *message, GByteArray *out)
{
    Parsleyspur__SpreadMessage wire = PARSLEYSPUR__SPREAD_MESSAGE__INIT;

    wire.term = message->term;
    wire.staged = message->staged;
    wire.active = message->active;
    switch (message->kind) {
    case SPREAD_ORDER:
        pack_order(message, &wire, out);
        return;
    case SPREAD_REPORT:
        pack_report(message, &wire, out);
        return;
    case SPREAD_TARGETS:
        pack_targets(message, &wire, out);
        return;
    case SPREAD_STAMPS:
        pack_stamps(message, &wire, out);
        return;
    case SPREAD_FETCH:
    case SPREAD_DIFFERENCE:
    case SPREAD_REFRESH:
    case SPREAD_DIGEST:
    case SPREAD_DIGESTS:
    case SPREAD_MESSAGE__MAX:
        pack_small(message, &wire, out);
        return;
    }
}

static bool
read_range(const Parsleyspur__SpreadRange *wire, struct spread_range *out)
{
    if (wire == NULL || wire->first > wire->last) {
        return false;
    }
    out->zone = wire->zone;
    out->first = wire->first;
    out->last = wire->last;
    return true;
}

static bool
read_bytes(const Parsleyspur__SpreadBytes *wire, struct spread_bytes *out)
{
    if (wire == NULL || wire->from > wire->to) {
        return false;
    }
    out->from = wire->from;
    out->to = wire->to;
    out->len = wire->data.len;
    out->data = g_memdup2(wire->data.data, wire->data.len);
    return true;
}

static bool
read_order(const Parsleyspur__SpreadOrder *wire, struct spread_message *out)
{
    out->kind = SPREAD_ORDER;
    out->u.order.phase = (enum spread_phase)wire->phase;
    out->u.order.attempt = wire->attempt;
    return wire->phase < SPREAD_PHASE__MAX &&
           read_range(wire->range, &out->u.order.range) &&
           read_bytes(wire->bytes, &out->u.order.bytes);
}

static bool
read_report(const Parsleyspur__SpreadReport *wire, struct spread_message *out)
{
    out->kind = SPREAD_REPORT;
    if (wire->phase >= SPREAD_PHASE__MAX ||
        wire->n_lacking > SPREAD_LACKING_MAX ||
        !read_range(wire->range, &out->u.report.range)) {
        return false;
    }
    out->u.report.phase = (enum spread_phase)wire->phase;
    out->u.report.attempt = wire->attempt;
    out->u.report.seq = wire->seq;
    out->u.report.version = wire->version;
    out->u.report.done = wire->done;
    out->u.report.known = wire->known;
    out->u.report.done_digest = wire->done_digest;
    out->u.report.lacking_count = (uint32_t)wire->n_lacking;
    for (size_t i = 0; i < wire->n_lacking; i++) {
        out->u.report.lacking[i].value = wire->lacking[i];
    }
    return true;
}

static bool
read_target(const Parsleyspur__SpreadTarget *wire, struct spread_target *out)
{
    if (wire->state >= TARGET__MAX || wire->port > UINT16_MAX ||
        wire->weight > UINT16_MAX || wire->slots > UINT16_MAX) {
        return false;
    }
    out->pool.value = wire->pool;
    out->view.key.address = wire->address;
    out->view.key.incarnation = wire->incarnation;
    out->view.port = (uint16_t)wire->port;
    out->view.weight = (uint16_t)wire->weight;
    out->view.slots = (uint16_t)wire->slots;
    out->view.connections = wire->connections;
    out->view.zone = wire->zone;
    out->view.state = (enum target_state)wire->state;
    out->life_ms = wire->life_ms;
    out->stamp = wire->stamp;
    out->holder.value = wire->holder;
    return true;
}

static bool
read_targets(const Parsleyspur__SpreadTargets *wire,
             struct spread_message *out)
{
    struct spread_target *items;

    out->kind = SPREAD_TARGETS;
    if (wire->n_items > SPREAD_TARGETS_MAX ||
        !read_range(wire->range, &out->u.targets.range)) {
        return false;
    }
    items = g_new0(struct spread_target, wire->n_items);
    out->u.targets.items = items;
    out->u.targets.relay = wire->relay;
    out->u.targets.sync = wire->sync;
    out->u.targets.count = wire->n_items;
    for (size_t i = 0; i < wire->n_items; i++) {
        if (!read_target(wire->items[i], &items[i])) {
            return false;
        }
    }
    return true;
}

static bool
read_refresh(const Parsleyspur__SpreadRefresh *wire,
             struct spread_message *out)
{
    out->kind = SPREAD_REFRESH;
    out->u.refresh.count = wire->n_addresses;
    out->u.refresh.addresses =
        g_memdup2(wire->addresses, wire->n_addresses * sizeof(uint32_t));
    return true;
}

static bool
read_digests(const Parsleyspur__SpreadDigests *wire,
             struct spread_message *out)
{
    out->kind = SPREAD_DIGESTS;
    if (wire->bits > 8 || wire->n_digests != (size_t)1 << wire->bits) {
        return false;
    }
    out->u.digests.bits = wire->bits;
    memcpy(out->u.digests.digests, wire->digests,
           wire->n_digests * sizeof(uint32_t));
    return true;
}

static bool
read_stamps(const Parsleyspur__SpreadStamps *wire, struct spread_message *out)
{
    struct spread_stamp *items;

    out->kind = SPREAD_STAMPS;
    if (wire->bits > 8 || wire->bucket >= 1u << wire->bits) {
        return false;
    }
    items = g_new0(struct spread_stamp, wire->n_items);
    out->u.stamps.bits = wire->bits;
    out->u.stamps.bucket = wire->bucket;
    out->u.stamps.request = wire->request;
    out->u.stamps.items = items;
    out->u.stamps.count = wire->n_items;
    for (size_t i = 0; i < wire->n_items; i++) {
        items[i].address = wire->items[i]->address;
        items[i].incarnation = wire->items[i]->incarnation;
        items[i].stamp = wire->items[i]->stamp;
        items[i].holder.value = wire->items[i]->holder;
    }
    return true;
}

static bool
read_body(const Parsleyspur__SpreadMessage *wire, struct spread_message *out)
{
    switch (wire->body_case) {
    case PARSLEYSPUR__SPREAD_MESSAGE__BODY_ORDER:
        return read_order(wire->order, out);
    case PARSLEYSPUR__SPREAD_MESSAGE__BODY_REPORT:
        return read_report(wire->report, out);
    case PARSLEYSPUR__SPREAD_MESSAGE__BODY_FETCH:
        out->kind = SPREAD_FETCH;
        return true;
    case PARSLEYSPUR__SPREAD_MESSAGE__BODY_DIFFERENCE:
        out->kind = SPREAD_DIFFERENCE;
        return read_bytes(wire->difference, &out->u.difference);
    case PARSLEYSPUR__SPREAD_MESSAGE__BODY_TARGETS:
        return read_targets(wire->targets, out);
    case PARSLEYSPUR__SPREAD_MESSAGE__BODY_REFRESH:
        return read_refresh(wire->refresh, out);
    case PARSLEYSPUR__SPREAD_MESSAGE__BODY_DIGEST:
        out->kind = SPREAD_DIGEST;
        out->u.digest.count = wire->digest->count;
        out->u.digest.digest = wire->digest->digest;
        out->u.digest.echo = wire->digest->echo;
        out->u.digest.synced = wire->digest->synced;
        return true;
    case PARSLEYSPUR__SPREAD_MESSAGE__BODY_DIGESTS:
        return read_digests(wire->digests, out);
    case PARSLEYSPUR__SPREAD_MESSAGE__BODY_STAMPS:
        return read_stamps(wire->stamps, out);
    case PARSLEYSPUR__SPREAD_MESSAGE__BODY__NOT_SET:
    case _PARSLEYSPUR__SPREAD_MESSAGE__BODY__CASE_IS_INT_SIZE:
        return false;
    }
    return false;
}

/*
 * Read LEN bytes into OUT, to be freed with spread_message_clear(); false,
 * with nothing to free, if they are malformed or out of range.
 */
bool
spread_wire_unpack(const uint8_t *data, size_t len, struct spread_message *out)
{
    Parsleyspur__SpreadMessage *wire;
    bool valid;

    wire = parsleyspur__spread_message__unpack(NULL, len, data);
    if (wire == NULL) {
        return false;
    }
    memset(out, 0, sizeof(*out));
    out->kind = SPREAD_FETCH;
    out->term = wire->term;
    out->staged = wire->staged;
    out->active = wire->active;
    valid = read_body(wire, out);
    parsleyspur__spread_message__free_unpacked(wire, NULL);
    if (!valid) {
        spread_message_clear(out);
    }
    return valid;
}

void
spread_message_clear(struct spread_message *message)
{
    switch (message->kind) {
    case SPREAD_ORDER:
        g_free((void *)message->u.order.bytes.data);
        break;
    case SPREAD_DIFFERENCE:
        g_free((void *)message->u.difference.data);
        break;
    case SPREAD_TARGETS:
        g_free((void *)message->u.targets.items);
        break;
    case SPREAD_REFRESH:
        g_free((void *)message->u.refresh.addresses);
        break;
    case SPREAD_STAMPS:
        g_free((void *)message->u.stamps.items);
        break;
    case SPREAD_REPORT:
    case SPREAD_FETCH:
    case SPREAD_DIGEST:
    case SPREAD_DIGESTS:
    case SPREAD_MESSAGE__MAX:
        break;
    }
    memset(message, 0, sizeof(*message));
}
