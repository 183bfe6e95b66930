/* Addresses, UDP sockets and the clock of the stand-ins. */
#include "lib_net.h"

#include <arpa/inet.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NET_SOCKET_BUFFER 4194304 /* bytes asked for, each way */

static void alloc_cb(uv_handle_t *, size_t, uv_buf_t *);
static void recv_cb(uv_udp_t *, ssize_t, const uv_buf_t *,
                    const struct sockaddr *, unsigned);

/* Print a message and end the process with status 2. */
void
net_die(const char *format, ...)
{
    va_list args;

    va_start(args, format);
    vfprintf(stderr, format, args);
    va_end(args);
    fputc('\n', stderr);
    exit(2);
}

/* Read "A.B.C.D" into IP, host order. */
bool
net_parse_ip(const char *text, uint32_t *ip)
{
    struct in_addr parsed;

    if (inet_pton(AF_INET, text, &parsed) != 1) {
        return false;
    }
    *ip = ntohl(parsed.s_addr);
    return true;
}

/* Read "A.B.C.D:PORT". */
bool
net_parse(const char *text, struct net_address *address)
{
    char ip[NET_TEXT_MAX];
    const char *colon = strchr(text, ':');
    unsigned long port;
    char *end;

    if (colon == NULL || (size_t)(colon - text) >= sizeof(ip)) {
        return false;
    }
    memcpy(ip, text, (size_t)(colon - text));
    ip[colon - text] = '\0';
    port = strtoul(colon + 1, &end, 10);
    if (*end != '\0' || port > UINT16_MAX) {
        return false;
    }
    address->port = (uint16_t)port;
    return net_parse_ip(ip, &address->ip);
}

/* net_parse() of the value of OPTION; ends the process if it is malformed. */
struct net_address
net_parse_or_die(const char *option, const char *text)
{
    struct net_address address;

    if (text == NULL || !net_parse(text, &address)) {
        net_die("--%s: got \"%s\", expected ADDRESS:PORT", option,
                text == NULL ? "" : text);
    }
    return address;
}

void
net_format_ip(uint32_t ip, char *out, size_t size)
{
    snprintf(out, size, "%u.%u.%u.%u", ip >> 24, ip >> 16 & 0xff,
             ip >> 8 & 0xff, ip & 0xff);
}

void
net_format(struct net_address address, char *out, size_t size)
{
    char ip[NET_TEXT_MAX];

    net_format_ip(address.ip, ip, sizeof(ip));
    snprintf(out, size, "%s:%u", ip, address.port);
}

struct sockaddr_in
net_sockaddr(struct net_address address)
{
    struct sockaddr_in out;

    memset(&out, 0, sizeof(out));
    out.sin_family = AF_INET;
    out.sin_port = htons(address.port);
    out.sin_addr.s_addr = htonl(address.ip);
    return out;
}

static void
alloc_cb(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
    struct net_udp *udp = handle->data;

    (void)suggested;
    *buf = uv_buf_init((char *)udp->buffer, sizeof(udp->buffer));
}

static void
recv_cb(uv_udp_t *handle, ssize_t len, const uv_buf_t *buf,
        const struct sockaddr *from, unsigned flags)
{
    const struct sockaddr_in *source = (const struct sockaddr_in *)from;
    struct net_udp *udp = handle->data;
    struct net_address address;

    (void)flags;
    if (len <= 0 || source == NULL) {
        return;
    }
    address.ip = ntohl(source->sin_addr.s_addr);
    address.port = ntohs(source->sin_port);
    udp->cb(udp->arg, udp, address, (const uint8_t *)buf->base, (size_t)len);
}

/*
 * Bind UDP to LOCAL and call CB for each datagram.  UDP stays the caller's
 * and must outlive the loop.
 */
void
net_udp_open(uv_loop_t *loop, struct net_udp *udp, struct net_address local,
             net_udp_cb cb, void *arg)
{
    struct sockaddr_in address = net_sockaddr(local);
    char text[NET_TEXT_MAX];
    int size = NET_SOCKET_BUFFER, error;

    udp->local = local;
    udp->cb = cb;
    udp->arg = arg;
    udp->unsent = 0;
    uv_udp_init(loop, &udp->handle);
    udp->handle.data = udp;
    error = uv_udp_bind(&udp->handle, (const struct sockaddr *)&address, 0);
    if (error != 0) {
        net_format(local, text, sizeof(text));
        net_die("udp %s: %s", text, uv_strerror(error));
    }
    uv_recv_buffer_size((uv_handle_t *)&udp->handle, &size);
    uv_send_buffer_size((uv_handle_t *)&udp->handle, &size);
    uv_udp_recv_start(&udp->handle, alloc_cb, recv_cb);
}

/* Send one datagram now; one that the socket does not take is counted. */
void
net_udp_send(struct net_udp *udp, struct net_address to, const uint8_t *data,
             size_t len)
{
    struct sockaddr_in address = net_sockaddr(to);
    uv_buf_t buf = uv_buf_init((char *)data, (unsigned)len);

    if (uv_udp_try_send(&udp->handle, &buf, 1,
                        (const struct sockaddr *)&address) < 0) {
        udp->unsent++;
    }
}

/* Milliseconds of a monotonic clock that all processes here share. */
uint64_t
net_now_ms(void)
{
    return uv_hrtime() / 1000000;
}
