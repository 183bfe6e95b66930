/*
 * How fast an entry daemon forwards, beside a bare libuv UDP relay in the
 * same run.  The daemon holds FLOWS flows; windows of full load alternate
 * between the two, and the median of the pairs' ratios counts.  The added
 * time is the difference of the 99th percentiles at a moderate rate.
 *
 * Prints forward.relay_ratio and forward.p99_added_us, and what they were
 * made of.  PARSLEYSPUR_BENCH_FLOWS sets another number of flows.
 */
#include <arpa/inet.h>
#include <curl/curl.h>
#include <fcntl.h>
#include <glib.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>
#include <uv.h>

#include "edge/geneve.h"

#define FLOWS_DEFAULT   500000
#define TARGETS         14
#define PAIRS           7       /* windows of each kind */
#define WINDOW_US       1000000 /* of full load */
#define LATENCY_RATE    20000   /* packets a second */
#define LATENCY_PACKETS 40000
#define BATCH           64
#define PACKET_MAX      256
#define OPEN_ROUNDS     20
#define OPEN_PACE_US    1000 /* between batches while flows are opened */
#define SOCKET_BUFFER   8388608
#define BASE            0x7ffa0000U /* 127.250.0.0 */
#define SOURCE          (BASE + 0x0901)
#define RELAY           (BASE + 0x0902)
#define FABRIC          (BASE + 0x0903)
#define DAEMON          (BASE + 0x0101)
#define FIRST_TARGET    (BASE + 0x0b01)
#define ROUTE_ADDRESS   0x0a000001U
#define FIRST_CALLER    0x0a640001U
#define FLOWS_PER_IP    50000

struct bench {
    unsigned flows;
    int sender;
    int sinks[TARGETS + 1]; /* the last takes what is for the fabric */
    atomic_bool ending;
    atomic_uint_fast64_t received;
    double offered;  /* packets a second of the last window */
    uint8_t *opened; /* a byte a flow, set by the receiver */
    atomic_uint opened_count;
    double *waits; /* microseconds, by the receiver */
    atomic_uint wait_count;
    char folder[64];
    pid_t daemon, relay;
};

static void die(const char *);
static double now_us(void);
static struct sockaddr_in address_of(uint32_t ip, uint16_t port);
static int open_socket(uint32_t ip);
static pid_t run(char *const argv[]);
static void run_wait(const char *server, const char *folder, char **words);
static void start_daemon(struct bench *);
static void set_tables(struct bench *);
static size_t discard(char *, size_t, size_t, void *);
static void announce(struct bench *);
static pid_t start_relay(void);
static void *receive(void *);
static void receive_from(struct bench *, int sink);
static size_t build(unsigned flow, uint8_t flags, double stamp, uint8_t *);
static void send_flows(struct bench *, uint32_t to, unsigned first,
                       uint8_t flags);
static void open_flows(struct bench *);
static double throughput(struct bench *, uint32_t to);
static double latency_p99(struct bench *, uint32_t to);
static int compare(const void *, const void *);
static double median(double *, size_t);
static void measure(struct bench *);

static void
die(const char *message)
{
    perror(message);
    exit(1);
}

static double
now_us(void)
{
    return (double)g_get_monotonic_time();
}

static struct sockaddr_in
address_of(uint32_t ip, uint16_t port)
{
    struct sockaddr_in out;

    memset(&out, 0, sizeof(out));
    out.sin_family = AF_INET;
    out.sin_addr.s_addr = htonl(ip);
    out.sin_port = htons(port);
    return out;
}

static int
open_socket(uint32_t ip)
{
    struct sockaddr_in address = address_of(ip, GENEVE_PORT);
    int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    int size = SOCKET_BUFFER;

    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
    if (bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
        die("bind");
    }
    return fd;
}

static pid_t
run(char *const argv[])
{
    pid_t pid = fork();

    if (pid == 0) {
        int null = open("/dev/null", O_WRONLY);

        prctl(PR_SET_PDEATHSIG, SIGKILL);
        dup2(null, STDOUT_FILENO);
        execv(argv[0], argv);
        _exit(127);
    }
    return pid;
}

static void
start_daemon(struct bench *bench)
{
    char *token = g_strdup_printf("%s/token", bench->folder);
    char *argv[] = {"build/parsleyspur",
                    "serve",
                    "--name",
                    "bench-1",
                    "--zone",
                    "suva",
                    "--address",
                    "127.250.1.1",
                    "--fabric",
                    "127.250.9.3:6081",
                    "--admin",
                    "127.250.1.1:8080",
                    "--data-dir",
                    bench->folder,
                    "--token-file",
                    token,
                    NULL};

    g_file_set_contents(token, "bench-token", -1, NULL);
    chmod(token, 0600);
    bench->daemon = run(argv);
    g_usleep(1000000);
}

/* Run one edit until it is accepted, since the daemon may not lead yet. */
static void
run_wait(const char *server, const char *folder, char **words)
{
    char *token = g_strdup_printf("%s/token", folder);
    GPtrArray *argv = g_ptr_array_new();
    int status = 1;

    g_ptr_array_add(argv, "build/parsleyspur");
    for (size_t i = 0; words[i] != NULL; i++) {
        g_ptr_array_add(argv, words[i]);
    }
    g_ptr_array_add(argv, "--server");
    g_ptr_array_add(argv, (char *)server);
    g_ptr_array_add(argv, "--token-file");
    g_ptr_array_add(argv, token);
    g_ptr_array_add(argv, NULL);
    for (int i = 0; i < 20 && status != 0; i++) {
        waitpid(run((char *const *)argv->pdata), &status, 0);
        if (status != 0) {
            g_usleep(500000);
        }
    }
    if (status != 0) {
        fprintf(stderr, "bench_forward: %s %s %s was refused\n", words[0],
                words[1], words[2]);
        exit(1);
    }
    g_ptr_array_free(argv, TRUE);
    g_free(token);
}

static size_t
discard(char *data, size_t size, size_t count, void *arg)
{
    (void)data;
    (void)arg;
    return size * count;
}

static void
set_tables(struct bench *bench)
{
    char *pool[] = {"pool", "set", "fieldline", "--prefer", "flows", NULL};
    char *route[] = {"route",    "set",    "alerts",    "--address",
                     "10.0.0.1", "--port", "0",         "--kind",
                     "stream",   "--pool", "fieldline", NULL};

    run_wait("http://127.250.1.1:8080", bench->folder, pool);
    run_wait("http://127.250.1.1:8080", bench->folder, route);
}

/* Announce every target once. */
static void
announce(struct bench *bench)
{
    CURL *curl = curl_easy_init();

    for (unsigned i = 0; i < TARGETS; i++) {
        char *body = g_strdup_printf(
            "{\"pool\":\"fieldline\",\"address\":\"127.250.11.%u\","
            "\"port\":6081,\"slots\":2,\"connections\":%u,"
            "\"zone\":\"suva\",\"state\":\"ready\",\"incarnation\":1,"
            "\"weight\":100}",
            i + 1, bench->flows);

        curl_easy_setopt(curl, CURLOPT_URL,
                         "http://127.250.1.1:8080/v1/announce");
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body);
        curl_easy_setopt(curl, CURLOPT_PROXY, "");
        curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, 2000L);
        curl_easy_setopt(curl, CURLOPT_FAILONERROR, 1L);
        curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, discard);
        if (curl_easy_perform(curl) != CURLE_OK) {
            fprintf(stderr, "bench_forward: announcement refused\n");
        }
        g_free(body);
    }
    curl_easy_cleanup(curl);
}

static uint8_t relay_buffer[64 * 65536];
static struct sockaddr_in relay_to;

static void
relay_alloc_cb(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
    (void)handle;
    (void)suggested;
    *buf = uv_buf_init((char *)relay_buffer, sizeof(relay_buffer));
}

static void
relay_recv_cb(uv_udp_t *udp, ssize_t len, const uv_buf_t *buf,
              const struct sockaddr *from, unsigned flags)
{
    uv_buf_t out;

    (void)flags;
    if (len > 0 && from != NULL) {
        out = uv_buf_init(buf->base, (unsigned)len);
        uv_udp_try_send(udp, &out, 1, (const struct sockaddr *)&relay_to);
    }
}

/* The bare relay: each datagram on to the first target, in a process. */
static pid_t
start_relay(void)
{
    struct sockaddr_in local = address_of(RELAY, GENEVE_PORT);
    uv_loop_t loop;
    uv_udp_t udp;
    int size = SOCKET_BUFFER;
    pid_t pid = fork();

    if (pid != 0) {
        return pid;
    }
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    relay_to = address_of(FIRST_TARGET, GENEVE_PORT);
    uv_loop_init(&loop);
    uv_udp_init_ex(&loop, &udp, AF_INET | UV_UDP_RECVMMSG);
    if (uv_udp_bind(&udp, (struct sockaddr *)&local, 0) != 0) {
        _exit(1);
    }
    uv_recv_buffer_size((uv_handle_t *)&udp, &size);
    uv_udp_recv_start(&udp, relay_alloc_cb, relay_recv_cb);
    uv_run(&loop, UV_RUN_DEFAULT);
    _exit(0);
}

/*
 * Build the packet of FLOW.  A STAMP other than 0 makes it one whose time is
 * taken.  Returns its length.
 */
static size_t
build(unsigned flow, uint8_t flags, double stamp, uint8_t *out)
{
    uint8_t payload[12];
    struct geneve_build packet = {
        .src = FIRST_CALLER + flow / FLOWS_PER_IP,
        .dst = ROUTE_ADDRESS,
        .src_port = (uint16_t)(1024 + flow % FLOWS_PER_IP),
        .dst_port = 443,
        .tcp_flags = flags,
        .tcp_seq = (flags & GENEVE_TCP_SYN) != 0 ? 1 : 2,
        .payload = payload,
        .payload_len = sizeof(payload),
    };

    memcpy(payload, &flow, sizeof(flow));
    memcpy(payload + 4, &stamp, sizeof(stamp));
    return geneve_build_tcp(out, PACKET_MAX, &packet);
}

static void
receive_from(struct bench *bench, int sink)
{
    static uint8_t data[BATCH][PACKET_MAX];
    struct mmsghdr messages[BATCH];
    struct iovec parts[BATCH];
    int count;

    memset(messages, 0, sizeof(messages));
    for (int i = 0; i < BATCH; i++) {
        parts[i].iov_base = data[i];
        parts[i].iov_len = PACKET_MAX;
        messages[i].msg_hdr.msg_iov = &parts[i];
        messages[i].msg_hdr.msg_iovlen = 1;
    }
    count = recvmmsg(bench->sinks[sink], messages, BATCH, MSG_DONTWAIT, NULL);
    for (int i = 0; i < count && sink < TARGETS; i++) {
        const uint8_t *end = data[i] + messages[i].msg_len;
        unsigned flow;
        double stamp;

        memcpy(&flow, end - 12, sizeof(flow));
        memcpy(&stamp, end - 8, sizeof(stamp));
        if (flow < bench->flows && bench->opened[flow] == 0) {
            bench->opened[flow] = 1;
            atomic_fetch_add(&bench->opened_count, 1);
        }
        if (stamp > 0 && atomic_load(&bench->wait_count) < LATENCY_PACKETS) {
            bench->waits[atomic_fetch_add(&bench->wait_count, 1)] =
                now_us() - stamp;
        }
    }
    if (count > 0 && sink < TARGETS) {
        atomic_fetch_add(&bench->received, (unsigned)count);
    }
}

/* The receiver's thread: counts what arrives at the targets. */
static void *
receive(void *arg)
{
    struct bench *bench = arg;
    int epoll = epoll_create1(EPOLL_CLOEXEC);

    for (int i = 0; i <= TARGETS; i++) {
        struct epoll_event event = {.events = EPOLLIN,
                                    .data.u32 = (unsigned)i};

        epoll_ctl(epoll, EPOLL_CTL_ADD, bench->sinks[i], &event);
    }
    while (!atomic_load(&bench->ending)) {
        struct epoll_event events[TARGETS + 1];
        int count = epoll_wait(epoll, events, TARGETS + 1, 10);

        for (int i = 0; i < count; i++) {
            receive_from(bench, (int)events[i].data.u32);
        }
    }
    close(epoll);
    return NULL;
}

/* Send one batch of packets, of the flows from FIRST on. */
static void
send_flows(struct bench *bench, uint32_t to, unsigned first, uint8_t flags)
{
    static uint8_t data[BATCH][PACKET_MAX];
    struct sockaddr_in address = address_of(to, GENEVE_PORT);
    struct mmsghdr messages[BATCH];
    struct iovec parts[BATCH];

    memset(messages, 0, sizeof(messages));
    for (unsigned i = 0; i < BATCH; i++) {
        parts[i].iov_base = data[i];
        parts[i].iov_len =
            build((first + i) % bench->flows, flags, 0, data[i]);
        messages[i].msg_hdr.msg_iov = &parts[i];
        messages[i].msg_hdr.msg_iovlen = 1;
        messages[i].msg_hdr.msg_name = &address;
        messages[i].msg_hdr.msg_namelen = sizeof(address);
    }
    sendmmsg(bench->sender, messages, BATCH, 0);
}

/* Open every flow, sending again for those that were lost. */
static void
open_flows(struct bench *bench)
{
    double announced = now_us();

    for (int round = 0; round < OPEN_ROUNDS; round++) {
        for (unsigned flow = 0; flow < bench->flows; flow += BATCH) {
            bool missing = false;

            for (unsigned i = flow; i < MIN(flow + BATCH, bench->flows); i++) {
                missing |= bench->opened[i] == 0;
            }
            if (missing) {
                send_flows(bench, DAEMON, flow, GENEVE_TCP_SYN);
                g_usleep(OPEN_PACE_US);
            }
            if (now_us() - announced > 2e6) {
                announce(bench);
                announced = now_us();
            }
        }
        if (atomic_load(&bench->opened_count) == bench->flows) {
            break;
        }
    }
    printf("forward.flows_held %u flows\n", atomic_load(&bench->opened_count));
}

/* Packets a second that arrive by way of TO under full load. */
static double
throughput(struct bench *bench, uint32_t to)
{
    static unsigned next;
    double begun, took;
    uint64_t before, sent = 0;

    announce(bench);
    g_usleep(100000);
    before = atomic_load(&bench->received);
    begun = now_us();
    do {
        send_flows(bench, to, next, GENEVE_TCP_ACK);
        next = (next + BATCH * 7919) % bench->flows;
        sent += BATCH;
        took = now_us() - begun;
    } while (took < WINDOW_US);
    bench->offered = (double)sent / took * 1e6;
    return (double)(atomic_load(&bench->received) - before) / took * 1e6;
}

/* The 99th percentile of the time to a target by way of TO. */
static double
latency_p99(struct bench *bench, uint32_t to)
{
    struct sockaddr_in address = address_of(to, GENEVE_PORT);
    double begun = now_us();
    uint8_t data[PACKET_MAX];
    unsigned count;

    atomic_store(&bench->wait_count, 0);
    for (unsigned i = 0; i < LATENCY_PACKETS; i++) {
        unsigned flow = (unsigned)((uint64_t)i * 7919 % bench->flows);
        size_t len;

        while (now_us() - begun < (double)i * 1e6 / LATENCY_RATE) {
        }
        len = build(flow, GENEVE_TCP_ACK, now_us(), data);
        sendto(bench->sender, data, len, 0, (struct sockaddr *)&address,
               sizeof(address));
    }
    g_usleep(200000);
    count = atomic_load(&bench->wait_count);
    if (count < LATENCY_PACKETS * 99 / 100) {
        fprintf(stderr, "bench_forward: %u of %d timed packets came\n", count,
                LATENCY_PACKETS);
    }
    qsort(bench->waits, count, sizeof(double), compare);
    return count == 0 ? 1e9 : bench->waits[count * 99 / 100];
}

static int
compare(const void *left, const void *right)
{
    double a = *(const double *)left, b = *(const double *)right;

    return (a > b) - (a < b);
}

static double
median(double *values, size_t count)
{
    qsort(values, count, sizeof(double), compare);
    return values[count / 2];
}

static void
measure(struct bench *bench)
{
    double ratios[PAIRS], relays[PAIRS], daemons[PAIRS], added[PAIRS];
    double offered[PAIRS];

    for (int i = 0; i < PAIRS; i++) {
        relays[i] = throughput(bench, RELAY);
        daemons[i] = throughput(bench, DAEMON);
        offered[i] = bench->offered;
        ratios[i] = daemons[i] / relays[i];
    }
    for (int i = 0; i < PAIRS; i++) {
        double relay = latency_p99(bench, RELAY);

        added[i] = latency_p99(bench, DAEMON) - relay;
        announce(bench);
    }
    printf("forward.offered_pps %.0f packets/s\n", median(offered, PAIRS));
    printf("forward.relay_pps %.0f packets/s\n", median(relays, PAIRS));
    printf("forward.daemon_pps %.0f packets/s\n", median(daemons, PAIRS));
    printf("forward.relay_ratio %.3f ratio\n", median(ratios, PAIRS));
    printf("forward.p99_added_us %.1f us\n", median(added, PAIRS));
}

int
main(void)
{
    static struct bench bench;
    const char *flows = getenv("PARSLEYSPUR_BENCH_FLOWS");
    char *remove[] = {"/bin/rm", "-rf", bench.folder, NULL};
    GThread *receiver;

    bench.flows = flows == NULL ? FLOWS_DEFAULT : (unsigned)atoi(flows);
    bench.opened = g_new0(uint8_t, bench.flows);
    bench.waits = g_new0(double, LATENCY_PACKETS);
    snprintf(bench.folder, sizeof(bench.folder), "/tmp/parsleyspur-XXXXXX");
    if (mkdtemp(bench.folder) == NULL) {
        die("mkdtemp");
    }
    unsetenv("PARSLEYSPUR_BENCH_FLOWS");
    bench.relay = start_relay();
    start_daemon(&bench);
    bench.sender = open_socket(SOURCE);
    for (unsigned i = 0; i < TARGETS; i++) {
        bench.sinks[i] = open_socket(FIRST_TARGET + i);
    }
    bench.sinks[TARGETS] = open_socket(FABRIC);
    receiver = g_thread_new("receive", receive, &bench);
    set_tables(&bench);
    announce(&bench);
    g_usleep(1000000);
    open_flows(&bench);
    measure(&bench);
    atomic_store(&bench.ending, true);
    g_thread_join(receiver);
    kill(bench.daemon, SIGTERM);
    kill(bench.relay, SIGKILL);
    waitpid(bench.daemon, NULL, 0);
    waitpid(bench.relay, NULL, 0);
    waitpid(run(remove), NULL, 0);
    return 0;
}
