/* Membership: planned stops, new addresses, foreign messages, codecs. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "member/member.h"
#include "peer/member_wire.h"

#define DAEMONS 3
#define TICK_US 50000

/* Cores whose datagrams arrive at once, in order. */
struct cluster {
    struct member_core *cores[DAEMONS];
    uint32_t addresses[DAEMONS];
    struct member_actions queue;
    size_t senders[4096];
    uint64_t now_us;
};

static void start(struct cluster *, size_t, uint32_t, uint64_t);
static void step(struct cluster *, size_t, const struct member_event *);
static void drain(struct cluster *);
static void run(struct cluster *, unsigned ticks);
static enum daemon_state state_of(struct cluster *, size_t, const char *);
static void setup_cluster(struct cluster *);
static void teardown_cluster(struct cluster *);
static void test_leave(void **);
static void test_new_address(void **);
static void test_foreign(void **);
static void test_limit(void **);
static void test_wire(void **);

static const char *const names[DAEMONS] = {"one", "two", "three"};

static void
start(struct cluster *cluster, size_t index, uint32_t address,
      uint64_t incarnation)
{
    const uint32_t seeds[] = {1, 2};
    struct member_options options = {
        .name = names[index],
        .zone = "suva",
        .address = address,
        .incarnation = incarnation,
        .entry = true,
        .seeds = seeds,
        .seed_count = 2,
        .seed = index + 7,
    };

    member_core_free(cluster->cores[index]);
    cluster->cores[index] = member_core_new(&options);
    cluster->addresses[index] = address;
}

static void
step(struct cluster *cluster, size_t index, const struct member_event *event)
{
    size_t before = cluster->queue.count;

    member_core_step(cluster->cores[index], cluster->now_us, event,
                     &cluster->queue);
    for (size_t i = before; i < cluster->queue.count; i++) {
        assert_true(i < 4096);
        cluster->senders[i] = index;
    }
}

static void
drain(struct cluster *cluster)
{
    for (size_t i = 0; i < cluster->queue.count; i++) {
        struct member_action action = cluster->queue.items[i];
        struct member_event event = {.kind = MEMBER_EV_MESSAGE};

        if (action.kind != MEMBER_ACT_SEND) {
            continue;
        }
        event.u.message.from_address = cluster->addresses[cluster->senders[i]];
        event.u.message.message = &action.u.send.message;
        for (size_t to = 0; to < DAEMONS; to++) {
            if (cluster->cores[to] != NULL &&
                cluster->addresses[to] == action.u.send.address) {
                step(cluster, to, &event);
            }
        }
    }
    cluster->queue.count = 0;
}

static void
run(struct cluster *cluster, unsigned ticks)
{
    const struct member_event tick = {.kind = MEMBER_EV_TICK};

    for (unsigned i = 0; i < ticks; i++) {
        cluster->now_us += TICK_US;
        for (size_t j = 0; j < DAEMONS; j++) {
            if (cluster->cores[j] != NULL) {
                step(cluster, j, &tick);
                drain(cluster);
            }
        }
    }
}

/* What daemon VIEWER's view says of NAME; DAEMON__MAX if nothing. */
static enum daemon_state
state_of(struct cluster *cluster, size_t viewer, const char *name)
{
    size_t count;
    const struct daemon_view *view =
        member_core_daemons(cluster->cores[viewer], &count);

    for (size_t i = 0; i < count; i++) {
        if (view[i].id.value == view_daemon_id(name).value) {
            return view[i].state;
        }
    }
    return DAEMON__MAX;
}

static void
setup_cluster(struct cluster *cluster)
{
    memset(cluster, 0, sizeof(*cluster));
    cluster->now_us = 5000000;
    for (size_t i = 0; i < DAEMONS; i++) {
        start(cluster, i, (uint32_t)i + 1, 1000);
    }
    run(cluster, 60);
}

static void
teardown_cluster(struct cluster *cluster)
{
    for (size_t i = 0; i < DAEMONS; i++) {
        member_core_free(cluster->cores[i]);
    }
    member_actions_clear(&cluster->queue);
}

/* A planned stop is seen at once; after it the daemon is not counted. */
static void
test_leave(void **state)
{
    const struct member_event leave = {.kind = MEMBER_EV_LEAVE};
    const struct member_event left = {.kind = MEMBER_EV_LEFT};
    struct cluster cluster;

    (void)state;
    setup_cluster(&cluster);
    assert_int_equal(state_of(&cluster, 0, "three"), DAEMON_ALIVE);
    step(&cluster, 2, &leave);
    drain(&cluster);
    assert_int_equal(state_of(&cluster, 0, "three"), DAEMON_LEAVING);
    assert_int_equal(state_of(&cluster, 2, "three"), DAEMON_LEAVING);
    run(&cluster, 200);
    assert_int_equal(state_of(&cluster, 1, "three"), DAEMON_LEAVING);
    step(&cluster, 2, &left);
    drain(&cluster);
    member_core_free(cluster.cores[2]);
    cluster.cores[2] = NULL;
    run(&cluster, 100);
    assert_int_equal(state_of(&cluster, 0, "three"), DAEMON__MAX);
    start(&cluster, 2, 3, 9000);
    run(&cluster, 100);
    assert_int_equal(state_of(&cluster, 0, "three"), DAEMON_ALIVE);
    teardown_cluster(&cluster);
}

/*
 * A daemon that comes back at another address, with a start time that its
 * clock puts before the last one, is found there.
 */
static void
test_new_address(void **state)
{
    struct cluster cluster;
    size_t count;
    const struct daemon_view *view;

    (void)state;
    setup_cluster(&cluster);
    start(&cluster, 2, 99, 500);
    run(&cluster, 100);
    assert_int_equal(state_of(&cluster, 0, "three"), DAEMON_ALIVE);
    assert_int_equal(state_of(&cluster, 2, "one"), DAEMON_ALIVE);
    view = member_core_daemons(cluster.cores[0], &count);
    assert_int_equal(count, DAEMONS);
    for (size_t i = 0; i < count; i++) {
        if (view[i].id.value == view_daemon_id("three").value) {
            assert_int_equal(view[i].address, 99);
            assert_true(view[i].incarnation > 1000);
        }
    }
    assert_string_equal(
        member_core_name(cluster.cores[0], view_daemon_id("three")), "three");
    assert_string_equal(
        member_core_zone_name(cluster.cores[0], view_zone_id("suva")), "suva");
    teardown_cluster(&cluster);
}

/* Messages of another cluster are counted and change nothing. */
static void
test_foreign(void **state)
{
    struct cluster cluster;
    struct member_message message = {.kind = MEMBER_PING, .cluster = 1};
    struct member_event event = {.kind = MEMBER_EV_MESSAGE};

    (void)state;
    setup_cluster(&cluster);
    event.u.message.message = &message;
    event.u.message.from_address = 50;
    message.record_count = 1;
    strcpy(message.records[0].name, "stranger");
    step(&cluster, 0, &event);
    assert_int_equal(cluster.queue.count, 0);
    assert_int_equal(state_of(&cluster, 0, "stranger"), DAEMON__MAX);
    assert_int_equal(member_core_counters(cluster.cores[0])->foreign, 1);
    teardown_cluster(&cluster);
}

/* Above daemons_max a record is refused and counted. */
static void
test_limit(void **state)
{
    struct member_options options = {
        .name = "one", .zone = "suva", .cluster = "c", .daemons_max = 2};
    struct member_core *core = member_core_new(&options);
    struct member_message message = {.kind = MEMBER_RECORDS};
    struct member_event event = {.kind = MEMBER_EV_MESSAGE};
    struct member_actions actions = {0};
    size_t count;

    (void)state;
    event.u.message.message = &message;
    message.cluster = (uint32_t)view_daemon_id("c").value;
    message.record_count = 2;
    strcpy(message.records[0].name, "two");
    strcpy(message.records[1].name, "three");
    member_core_step(core, 1, &event, &actions);
    member_core_daemons(core, &count);
    assert_int_equal(count, 2);
    assert_int_equal(member_core_counters(core)->refused_full, 1);
    member_actions_clear(&actions);
    member_core_free(core);
}

/* A message survives its codec; cut or out of range it is refused. */
static void
test_wire(void **state)
{
    struct member_message message = {
        .kind = MEMBER_DIGESTS, .seq = 7, .from = {42}, .buckets = 0x80000001};
    struct member_message back;
    GByteArray *bytes = g_byte_array_new();

    (void)state;
    message.record_count = 1;
    strcpy(message.records[0].name, "one");
    strcpy(message.records[0].zone, "suva");
    message.records[0].status = MEMBER_DEAD;
    message.records[0].age_s = 12;
    message.records[0].leaving = true;
    message.stamp_count = 1;
    message.stamps[0].incarnation = UINT64_MAX;
    message.digests[31] = 5;
    member_wire_pack(&message, bytes);
    assert_true(member_wire_unpack(bytes->data, bytes->len, &back));
    assert_memory_equal(&message, &back, sizeof(back));
    assert_false(member_wire_unpack(bytes->data, bytes->len - 1, &back));
    message.records[0].status = MEMBER_STATUS__MAX;
    g_byte_array_set_size(bytes, 0);
    member_wire_pack(&message, bytes);
    assert_false(member_wire_unpack(bytes->data, bytes->len, &back));
    g_byte_array_free(bytes, TRUE);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_leave),   cmocka_unit_test(test_new_address),
        cmocka_unit_test(test_foreign), cmocka_unit_test(test_limit),
        cmocka_unit_test(test_wire),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
