/*
 * Addresses, UDP sockets and the clock of the stand-ins.  A failure to open
 * a socket ends the process with a message: a stand-in has no other remedy.
 */
#ifndef PS_STANDINS_LIB_NET_H
#define PS_STANDINS_LIB_NET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#define NET_DATAGRAM_MAX 65536 /* bytes */
#define NET_TEXT_MAX     24    /* bytes of "A.B.C.D:PORT" with its NUL */

struct net_address {
    uint32_t ip; /* host order */
    uint16_t port;
};

struct net_udp;

/* Called for each datagram; the data is valid during the call only. */
typedef void (*net_udp_cb)(void *arg, struct net_udp *, struct net_address,
                           const uint8_t *, size_t);

struct net_udp {
    uv_udp_t handle;
    struct net_address local;
    net_udp_cb cb;
    void *arg;
    uint64_t unsent; /* datagrams that the socket did not take */
    uint8_t buffer[NET_DATAGRAM_MAX];
};

bool net_parse_ip(const char *, uint32_t *);
bool net_parse(const char *, struct net_address *);
struct net_address net_parse_or_die(const char *option, const char *);
void net_format(struct net_address, char *, size_t);
void net_format_ip(uint32_t, char *, size_t);
struct sockaddr_in net_sockaddr(struct net_address);

void net_udp_open(uv_loop_t *, struct net_udp *, struct net_address,
                  net_udp_cb, void *arg);
void net_udp_send(struct net_udp *, struct net_address, const uint8_t *,
                  size_t);

uint64_t net_now_ms(void);
void net_die(const char *format, ...) __attribute__((format(printf, 1, 2)))
__attribute__((noreturn));

#endif
