/* One sendmmsg for the datagrams of a turn. */
#include "daemon/packet_batch.h"

#include <errno.h>
#include <string.h>

/* An empty batch; headers are filled in once. */
void
packet_batch_init(struct packet_batch *batch)
{
    memset(batch, 0, sizeof(*batch));
    for (unsigned i = 0; i < PACKET_BATCH_MAX; i++) {
        struct msghdr *header = &batch->messages[i].msg_hdr;

        header->msg_name = &batch->to[i];
        header->msg_namelen = sizeof(batch->to[i]);
        header->msg_iov = &batch->vectors[i];
        header->msg_iovlen = 1;
    }
}

/*
 * Add LEN bytes at DATA, which must stay until the flush.  A full batch is
 * sent first.  Returns the number of datagrams that the socket did not take.
 */
unsigned
packet_batch_add(struct packet_batch *batch, int fd,
                 const struct sockaddr_in *to, uint8_t *data, size_t len)
{
    unsigned lost = 0;

    if (batch->count == PACKET_BATCH_MAX) {
        lost = packet_batch_flush(batch, fd);
    }
    batch->to[batch->count] = *to;
    batch->vectors[batch->count].iov_base = data;
    batch->vectors[batch->count].iov_len = len;
    batch->count++;
    return lost;
}

/*
 * Send all datagrams.  One that the socket refuses is left out; a socket that
 * is full loses the rest.  Returns the number lost.
 */
unsigned
packet_batch_flush(struct packet_batch *batch, int fd)
{
    unsigned done = 0, lost = 0;

    while (done < batch->count) {
        int sent = sendmmsg(fd, batch->messages + done, batch->count - done,
                            MSG_DONTWAIT);

        if (sent > 0) {
            done += (unsigned)sent;
        }
        else if (errno == EAGAIN || errno == EWOULDBLOCK) {
            lost += batch->count - done;
            break;
        }
        else if (errno != EINTR) {
            done++;
            lost++;
        }
    }
    batch->count = 0;
    return lost;
}
