/* The faulted network between two sockets. */
#include "lib_path.h"

#include <string.h>

struct late_datagram {
    uv_timer_t timer;
    struct net_udp *udp;
    struct net_address to;
    size_t len;
    uint8_t data[];
};

static void send_late(struct path *, struct net_udp *, struct net_address,
                      const uint8_t *, size_t, uint32_t delay_ms);
static void timer_cb(uv_timer_t *);
static void close_cb(uv_handle_t *);

/*
 * Send a datagram by UDP to TO.  SRC and DST are the addresses that the rules
 * go by, which need not be the sockets' own.
 */
void
path_send(struct path *path, struct net_udp *udp, uint32_t src, uint32_t dst,
          struct net_address to, const uint8_t *data, size_t len)
{
    struct fault_verdict verdict;

    fault_judge(path->rules, src, dst, &verdict);
    if (verdict.copies == 0) {
        path->counters.lost++;
        return;
    }
    path->counters.passed++;
    path->counters.doubled += verdict.copies - 1;
    for (unsigned i = 0; i < verdict.copies; i++) {
        if (verdict.delay_ms[i] == 0) {
            net_udp_send(udp, to, data, len);
        }
        else {
            path->counters.delayed++;
            send_late(path, udp, to, data, len, verdict.delay_ms[i]);
        }
    }
}

static void
send_late(struct path *path, struct net_udp *udp, struct net_address to,
          const uint8_t *data, size_t len, uint32_t delay_ms)
{
    struct late_datagram *late = g_malloc(sizeof(*late) + len);

    late->udp = udp;
    late->to = to;
    late->len = len;
    memcpy(late->data, data, len);
    uv_timer_init(path->loop, &late->timer);
    late->timer.data = late;
    uv_timer_start(&late->timer, timer_cb, delay_ms, 0);
}

static void
timer_cb(uv_timer_t *timer)
{
    struct late_datagram *late = timer->data;

    net_udp_send(late->udp, late->to, late->data, late->len);
    uv_close((uv_handle_t *)timer, close_cb);
}

static void
close_cb(uv_handle_t *handle)
{
    g_free(handle->data);
}
