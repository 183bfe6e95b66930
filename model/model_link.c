/* One entry VM's link: packets of uploads and of small requests. */
#include "model_link.h"

#include <math.h>
#include <string.h>

#include <glib.h>

#include "affinity/affinity.h"
#include "model_queue.h"
#include "shape/shape.h"

#define ROUTE_ADDRESS 0xc6120001U
#define SMALL_PORT    443
#define UPLOAD_PORT   444
#define TARGETS       30
#define SLOTS         2

#define PACKET_DATA   1200
#define HEADS         70 /* bytes of a packet beside its data */
#define UPLOAD_DATA   40000
#define SMALL_DATA    900
#define PACKETS_MAX   34 /* of an upload */
#define WINDOW        16 /* packets in flight */
#define RESEND_US     200000
#define RESEND_MAX_US 1600000
#define OPEN_LIMIT_US 1400000
#define TRIP_US       4000 /* target to caller, caller to us */
#define RETRIES       2
#define RETRY_US      50000
#define LINK_QUEUE_US 500000 /* towards us; what is beyond is dropped */
#define PROMPT_BYTES  256
#define SECOND_US     1000000
#define TICK_US       100000
#define BACK_SHARE    0.95

struct request {
    bool upload;
    uint16_t port;
    uint32_t cookie;
    uint64_t asked_us;
    uint64_t opened_us; /* this try's first opening */
    unsigned retries;
    bool open;
    bool done;
    unsigned packets;  /* of its data */
    unsigned next;     /* first packet never sent */
    unsigned received; /* by the target, each once */
    bool has[PACKETS_MAX];
    bool acked[PACKETS_MAX];
    unsigned unacked; /* packets received since the last acknowledgement */
    unsigned references;
};

enum event_kind {
    EVENT_ASK,      /* the next request comes up */
    EVENT_SEND,     /* an opening or data packet leaves the caller */
    EVENT_IN,       /* it has passed the link towards us */
    EVENT_DRAIN,    /* the shaper may let packets leave */
    EVENT_AT,       /* a packet is at the target */
    EVENT_OPENED,   /* the caller hears that the flow is open */
    EVENT_ACKED,    /* the caller hears of packets received */
    EVENT_ANSWERED, /* the caller has its answer */
    EVENT_REFUSED,  /* the caller hears a reset */
    EVENT_TICK,
    EVENT__MAX
};

struct event {
    struct model_moment when;
    enum event_kind kind;
    struct request *request;
    unsigned packet; /* PACKETS_MAX: the opening */
    unsigned copy;
};

struct link_world {
    struct model_link_options options;
    struct model_link_result *result;
    GRand *rand;
    struct model_queue events;
    uint64_t now_us;
    uint64_t in_free_us; /* when the link towards us is free */
    uint64_t drain_us;   /* of the event under way; 0 for none */
    uint64_t port;
    GHashTable *requests; /* port -> request */
    struct affinity_core *core;
    struct catalog *catalog;
    struct shape *shape;
    double small_in_goal[MODEL_LINK_WINDOWS_MAX];
    double small_asked[MODEL_LINK_WINDOWS_MAX];
    double upload_in_goal[MODEL_LINK_WINDOWS_MAX];
    double upload_asked[MODEL_LINK_WINDOWS_MAX];
};

static const char *const way_names[MODEL_LINK_WAY__MAX] = {
    [MODEL_LINK_ALL] = "take-all",
    [MODEL_LINK_PRODUCT] = "product",
};

static void push(struct link_world *, uint64_t in_us, enum event_kind,
                 struct request *, unsigned packet, unsigned copy);
static void unref(struct link_world *, struct request *);
static uint64_t limit_us(const struct request *);
static uint64_t goal_us(const struct request *);
static unsigned data_of(const struct request *, unsigned packet);
static void ask(struct link_world *, bool upload);
static void open_try(struct link_world *, struct request *);
static void send(struct link_world *, const struct event *);
static void pass(struct link_world *, const struct event *);
static void forward(struct link_world *, const struct event *, bool bulk);
static void drain(struct link_world *);
static void at_target(struct link_world *, const struct event *);
static void fill_window(struct link_world *, struct request *);
static void finish(struct link_world *, struct request *, bool served);
static void refused(struct link_world *, struct request *);
static void set_up(struct link_world *);
static void sum_up(struct link_world *);
static bool step(struct link_world *, uint64_t end_us);

const char *
model_link_way_name(enum model_link_way way)
{
    return way < MODEL_LINK_WAY__MAX ? way_names[way] : "none";
}

/* An event IN_US from now; it holds a reference to REQUEST. */
static void
push(struct link_world *world, uint64_t in_us, enum event_kind kind,
     struct request *request, unsigned packet, unsigned copy)
{
    struct event *event = g_new0(struct event, 1);

    event->kind = kind;
    event->request = request;
    event->packet = packet;
    event->copy = copy;
    if (request != NULL) {
        request->references++;
    }
    model_queue_push(&world->events, world->now_us + in_us, event);
}

static void
unref(struct link_world *world, struct request *request)
{
    if (request == NULL || --request->references > 0) {
        return;
    }
    if (!request->done) {
        finish(world, request, false);
    }
    g_hash_table_remove(world->requests, GUINT_TO_POINTER(request->port));
    g_free(request);
}

static uint64_t
limit_us(const struct request *request)
{
    return request->upload ? 8 * SECOND_US : 2500000;
}

static uint64_t
goal_us(const struct request *request)
{
    return request->upload ? 1200000 : 400000;
}

static unsigned
data_of(const struct request *request, unsigned packet)
{
    unsigned all = request->upload ? UPLOAD_DATA : SMALL_DATA;

    if (packet == PACKETS_MAX) {
        return 0;
    }
    return MIN(all - packet * PACKET_DATA, (unsigned)PACKET_DATA);
}

/* A request comes up; so does, later, the next one of its class. */
static void
ask(struct link_world *world, bool upload)
{
    const struct model_link_options *options = &world->options;
    struct request *request = g_new0(struct request, 1);
    double rate = upload ? options->uploads_per_s : options->small_per_s;

    if (world->now_us >= (uint64_t)options->begin_s * SECOND_US &&
        world->now_us < (uint64_t)options->end_s * SECOND_US) {
        rate *= options->times;
    }
    push(world,
         (uint64_t)(-log(1.0 - g_rand_double(world->rand)) * SECOND_US / rate),
         EVENT_ASK, NULL, upload ? 1 : 0, 0);
    request->upload = upload;
    request->packets =
        upload ? (UPLOAD_DATA + PACKET_DATA - 1) / PACKET_DATA : 1;
    request->asked_us = world->now_us;
    request->references = 1;
    open_try(world, request);
    unref(world, request);
}

/* Open a flow from a new port; copies follow if nothing is heard. */
static void
open_try(struct link_world *world, struct request *request)
{
    if (request->port != 0) {
        g_hash_table_remove(world->requests, GUINT_TO_POINTER(request->port));
    }
    request->port = (uint16_t)(1024 + world->port++ % 64000);
    g_hash_table_insert(world->requests, GUINT_TO_POINTER(request->port),
                        request);
    request->opened_us = world->now_us;
    request->open = false;
    push(world, 0, EVENT_SEND, request, PACKETS_MAX, 0);
}

/* A packet leaves the caller, unless it is not wanted any more. */
static void
send(struct link_world *world, const struct event *event)
{
    struct request *request = event->request;
    unsigned bytes = data_of(request, event->packet) + HEADS;
    uint64_t wait_us;
    uint64_t again_us =
        MIN((uint64_t)RESEND_US << event->copy, (uint64_t)RESEND_MAX_US);

    if (request->done ||
        world->now_us > request->asked_us + limit_us(request)) {
        return;
    }
    if (event->packet == PACKETS_MAX
            ? request->open ||
                  world->now_us > request->opened_us + OPEN_LIMIT_US
            : request->acked[event->packet]) {
        return;
    }
    world->result->copies += event->copy > 0 ? 1 : 0;
    push(world, again_us, EVENT_SEND, request, event->packet, event->copy + 1);
    world->in_free_us = MAX(world->in_free_us, world->now_us);
    wait_us = world->in_free_us - world->now_us;
    if (wait_us > LINK_QUEUE_US) {
        world->result->lost++;
        return;
    }
    world->in_free_us +=
        (uint64_t)bytes * SECOND_US / world->options.bytes_per_s;
    push(world, world->in_free_us - world->now_us, EVENT_IN, request,
         event->packet, event->copy);
}

/* The entry daemon has read a packet. */
static void
pass(struct link_world *world, const struct event *event)
{
    struct request *request = event->request;
    struct affinity_packet packet = {
        .source = 0x64400001,
        .source_port = request->port,
        .destination = ROUTE_ADDRESS,
        .destination_port = request->upload ? UPLOAD_PORT : SMALL_PORT,
        .flags = event->packet == PACKETS_MAX ? AFFINITY_SYN : AFFINITY_ACK,
        .cookie = event->packet == PACKETS_MAX ? 0 : request->cookie,
        .sequence =
            event->packet == PACKETS_MAX ? 0 : 1 + event->packet * PACKET_DATA,
        .acknowledged = 1,
        .payload = (uint16_t)data_of(request, event->packet),
    };
    struct affinity_verdict verdict;

    if (world->options.way == MODEL_LINK_ALL) {
        forward(world, event,
                data_of(request, event->packet) + HEADS > PROMPT_BYTES);
        return;
    }
    affinity_core_set_queued(
        world->core, shape_queued_bytes(world->shape, SHAPE_INTERACTIVE),
        shape_queued_bytes(world->shape, SHAPE_BULK));
    affinity_core_handle_packet(world->core, world->now_us, world->catalog,
                                &packet, &verdict);
    switch (verdict.action) {
    case AFFINITY_FORWARD:
        request->cookie = verdict.target->cookie;
        forward(world, event, verdict.bulk);
        break;
    case AFFINITY_RESET:
        world->result->refused++;
        push(world, TRIP_US, EVENT_REFUSED, request, 0, 0);
        break;
    case AFFINITY_DROP:
    case AFFINITY_ACTION__MAX:
        break;
    }
}

/* Put a packet into the queue before the link towards the targets. */
static void
forward(struct link_world *world, const struct event *event, bool bulk)
{
    static const uint8_t nothing[PACKET_DATA + HEADS];
    struct shape_packet packet = {
        .address = event->packet,
        .port = event->request->port,
        .class = bulk ? SHAPE_BULK : SHAPE_INTERACTIVE,
        .flow = event->request->port,
        .key = (uint64_t)event->request->port << 8 | event->packet,
        .data = nothing,
        .len = data_of(event->request, event->packet) + HEADS,
    };

    shape_enqueue(world->shape, world->now_us, &packet);
    drain(world);
}

static void
drain(struct link_world *world)
{
    const struct shape_packet *packet;
    uint64_t wait_us;

    while ((packet = shape_dequeue(world->shape, world->now_us)) != NULL) {
        struct request *request = g_hash_table_lookup(
            world->requests, GUINT_TO_POINTER(packet->port));

        if (request != NULL) {
            push(world, TRIP_US / 4, EVENT_AT, request, packet->address, 0);
        }
    }
    wait_us = shape_wait_us(world->shape, world->now_us);
    if (wait_us > 0 && world->drain_us <= world->now_us) {
        world->drain_us = world->now_us + wait_us;
        push(world, wait_us, EVENT_DRAIN, NULL, 0, 0);
    }
}

/* The target answers openings, and every second packet of data. */
static void
at_target(struct link_world *world, const struct event *event)
{
    struct request *request = event->request;

    if (event->packet == PACKETS_MAX) {
        push(world, TRIP_US, EVENT_OPENED, request, 0, 0);
        return;
    }
    if (!request->has[event->packet]) {
        request->has[event->packet] = true;
        request->received++;
    }
    if (++request->unacked >= 2 || request->received == request->packets) {
        request->unacked = 0;
        push(world, TRIP_US, EVENT_ACKED, request, 0, 0);
    }
    if (request->received == request->packets) {
        push(world, TRIP_US + (request->upload ? 5000 : 29000), EVENT_ANSWERED,
             request, 0, 0);
    }
}

/* Send new packets as long as the window has room. */
static void
fill_window(struct link_world *world, struct request *request)
{
    unsigned flying = 0;

    for (unsigned i = 0; i < request->next; i++) {
        flying += request->acked[i] ? 0 : 1;
    }
    while (request->next < request->packets && flying < WINDOW) {
        push(world, 0, EVENT_SEND, request, request->next++, 0);
        flying++;
    }
}

/* Count the outcome of REQUEST. */
static void
finish(struct link_world *world, struct request *request, bool served)
{
    struct model_link_class *class =
        request->upload ? &world->result->upload : &world->result->small;
    uint64_t took_us = world->now_us - request->asked_us;
    size_t window = MIN(request->asked_us / SECOND_US,
                        (uint64_t)MODEL_LINK_WINDOWS_MAX - 1);
    bool in_goal = served && took_us <= goal_us(request);

    request->done = true;
    class->asked++;
    class->in_goal += in_goal ? 1 : 0;
    class->late += served && !in_goal ? 1 : 0;
    class->failed += served ? 0 : 1;
    if (request->upload) {
        world->upload_asked[window]++;
        world->upload_in_goal[window] += in_goal ? 1 : 0;
    }
    else {
        world->small_asked[window]++;
        world->small_in_goal[window] += in_goal ? 1 : 0;
    }
}

/* A refused caller tries again on a new flow. */
static void
refused(struct link_world *world, struct request *request)
{
    if (request->done || request->open) {
        return;
    }
    if (request->retries++ >= RETRIES) {
        finish(world, request, false);
        return;
    }
    world->now_us += RETRY_US;
    open_try(world, request);
    world->now_us -= RETRY_US;
}

static void
set_up(struct link_world *world)
{
    struct catalog_command command = {.kind = CATALOG_REPLACE};
    struct catalog_route small = {
        .key = catalog_endpoint_key(ROUTE_ADDRESS, SMALL_PORT),
        .kind = CATALOG_NON_IDEMPOTENT,
        .goal_ms = 400,
        .priority = 1,
    };
    struct catalog_route upload = small;
    struct catalog_change change;
    struct affinity_options affinity = {
        .zone = 1,
        .seed = world->options.seed,
        .link_bytes_per_s = world->options.bytes_per_s,
    };
    struct shape_options shape = {.bytes_per_s =
                                      world->options.bytes_per_s * 95 / 100};

    upload.key = catalog_endpoint_key(ROUTE_ADDRESS, UPLOAD_PORT);
    upload.kind = CATALOG_UPLOAD;
    upload.goal_ms = 1200;
    upload.priority = 2;
    catalog_route_add_split(&small, view_pool_id("desk"), 1);
    catalog_route_add_split(&upload, view_pool_id("desk"), 1);
    world->catalog = catalog_new();
    catalog_tables_init(&command.u.tables);
    command.u.tables.version = 1;
    command.u.tables.document = g_bytes_new_static("", 0);
    g_array_append_val(command.u.tables.routes, small);
    g_array_append_val(command.u.tables.routes, upload);
    catalog_apply(world->catalog, 1, &command, &change);
    catalog_command_clear(&command);
    for (uint64_t host = 1; host <= TARGETS; host++) {
        struct catalog_command announce = {.kind = CATALOG_ANNOUNCE};

        announce.u.target.host = host;
        announce.u.target.incarnation = 1;
        announce.u.target.sequence = 1;
        announce.u.target.address = (uint32_t)(0x0a000000U + host);
        announce.u.target.port = 80;
        announce.u.target.pool = view_pool_id("desk");
        announce.u.target.zone = 1;
        announce.u.target.slots = SLOTS;
        catalog_apply(world->catalog, 1 + host, &announce, &change);
    }
    world->core = affinity_core_new(&affinity);
    world->shape = shape_new(&shape);
}

/* The share in goal of each second, and when it came back. */
static void
sum_up(struct link_world *world)
{
    const struct model_link_options *options = &world->options;
    struct model_link_result *result = world->result;
    double prompt =
        options->small_per_s * options->times * (SMALL_DATA + 4.0 * HEADS);
    double demand = options->uploads_per_s * options->times *
                    (UPLOAD_DATA + (PACKETS_MAX + 4.0) * HEADS);

    for (size_t i = 0; i < MODEL_LINK_WINDOWS_MAX; i++) {
        result->small.windows[i] =
            world->small_asked[i] == 0
                ? 1
                : world->small_in_goal[i] / world->small_asked[i];
        result->upload.windows[i] =
            world->upload_asked[i] == 0
                ? 1
                : world->upload_in_goal[i] / world->upload_asked[i];
    }
    for (unsigned i = options->end_s; i < options->seconds; i++) {
        if (result->small.windows[i] < BACK_SHARE) {
            result->back_s = i + 1 - options->end_s;
        }
    }
    result->bound =
        MIN(1.0, ((double)options->bytes_per_s * 0.95 - prompt) / demand);
}

/* Play the next event; false when there is none before END_US. */
static bool
step(struct link_world *world, uint64_t end_us)
{
    struct event *next = model_queue_pop(&world->events);
    struct event event;

    if (next == NULL) {
        return false;
    }
    event = *next;
    g_free(next);
    if (event.when.at_us > end_us) {
        unref(world, event.request);
        return false;
    }
    world->now_us = event.when.at_us;
    switch (event.kind) {
    case EVENT_ASK:
        ask(world, event.packet == 1);
        break;
    case EVENT_SEND:
        send(world, &event);
        break;
    case EVENT_IN:
        pass(world, &event);
        break;
    case EVENT_DRAIN:
        drain(world);
        break;
    case EVENT_AT:
        at_target(world, &event);
        break;
    case EVENT_OPENED:
        event.request->open = true;
        fill_window(world, event.request);
        break;
    case EVENT_ACKED:
        memcpy(event.request->acked, event.request->has,
               sizeof(event.request->acked));
        fill_window(world, event.request);
        break;
    case EVENT_ANSWERED:
        if (!event.request->done) {
            finish(world, event.request,
                   world->now_us <=
                       event.request->asked_us + limit_us(event.request));
        }
        break;
    case EVENT_REFUSED:
        refused(world, event.request);
        break;
    case EVENT_TICK:
        affinity_core_tick(world->core, world->now_us, world->catalog);
        push(world, TICK_US, EVENT_TICK, NULL, 0, 0);
        break;
    case EVENT__MAX:
        break;
    }
    unref(world, event.request);
    return true;
}

/* Run one experiment and fill RESULT. */
void
model_link_run(const struct model_link_options *options,
               struct model_link_result *result)
{
    struct link_world *world = g_new0(struct link_world, 1);

    memset(result, 0, sizeof(*result));
    world->options = *options;
    world->result = result;
    world->rand = g_rand_new_with_seed((guint32)options->seed);
    model_queue_init(&world->events);
    world->requests = g_hash_table_new(NULL, NULL);
    set_up(world);
    push(world, 1, EVENT_ASK, NULL, 0, 0);
    push(world, 2, EVENT_ASK, NULL, 1, 0);
    push(world, 3, EVENT_TICK, NULL, 0, 0);
    while (step(world, (uint64_t)options->seconds * SECOND_US)) {
    }
    sum_up(world);
    affinity_core_free(world->core);
    catalog_free(world->catalog);
    shape_free(world->shape);
    model_queue_clear(&world->events);
    g_hash_table_destroy(world->requests);
    g_rand_free(world->rand);
    g_free(world);
}
