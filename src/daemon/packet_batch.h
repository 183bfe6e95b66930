/*
 * Datagrams of one turn of the loop, sent by one sendmmsg.  libuv 1.44 sends
 * several at once only what waits for a full socket.
 */
#ifndef PS_DAEMON_PACKET_BATCH_H
#define PS_DAEMON_PACKET_BATCH_H

#include <netinet/in.h>
#include <stdint.h>
#include <sys/socket.h>

#define PACKET_BATCH_MAX 32 /* datagrams */

struct packet_batch {
    unsigned count;
    struct mmsghdr messages[PACKET_BATCH_MAX];
    struct iovec vectors[PACKET_BATCH_MAX];
    struct sockaddr_in to[PACKET_BATCH_MAX];
};

void packet_batch_init(struct packet_batch *);
unsigned packet_batch_add(struct packet_batch *, int fd,
                          const struct sockaddr_in *, uint8_t *, size_t);
unsigned packet_batch_flush(struct packet_batch *, int fd);

#endif
