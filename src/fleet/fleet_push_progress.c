/* Decides when an update is sent, and when it is sent again. */
#include "fleet/fleet_push_progress.h"

/*
 * Delay for each control daemon with a smaller rank, which should have sent
 * first.
 */
#define RANK_DELAY_US 300000U
/* Time without a confirmation until an update is sent again. */
#define RESEND_TIMEOUT_US 300000U
/* Minimum time between two updates to one daemon if the first is confirmed. */
#define PUSH_INTERVAL_MIN_US 100000U
/*
 * Transfer times are computed for half of the link's rate, because the link is
 * shared with callers' packets.
 */
#define LINK_SHARE_DIVISOR 2U
#define US_PER_S           1000000U

static uint64_t elapsed_us(uint64_t now_us, uint64_t then_us);
static uint64_t transfer_us(const struct fleet_push_progress *,
                            uint64_t bytes);
static bool is_unconfirmed(const struct fleet_push_progress *);

/* Return the microseconds from THEN_US to NOW_US; 0 if THEN_US is later. */
static uint64_t
elapsed_us(uint64_t now_us, uint64_t then_us)
{
    return now_us > then_us ? now_us - then_us : 0;
}

/*
 * Return the microseconds until BYTES have passed the receiver's link; 0 if
 * its rate is unknown.  A copy sent earlier than that only queues behind the
 * first one and delays callers' packets.
 */
static uint64_t
transfer_us(const struct fleet_push_progress *progress, uint64_t bytes)
{
    uint64_t rate = progress->receiver.link_bytes_per_s;

    return rate == 0 ? 0 : bytes * LINK_SHARE_DIVISOR * US_PER_S / rate;
}

/* Return true if the receiver has not confirmed the last update. */
static bool
is_unconfirmed(const struct fleet_push_progress *progress)
{
    return progress->last_sent_us != 0 &&
           progress->receiver.revision <= progress->sent_from;
}

/*
 * Record what the receiver reports.  A receiver that has started again has
 * received nothing of what was sent before.
 */
void
fleet_push_progress_set_receiver(struct fleet_push_progress *progress,
                                 const struct fleet_push_receiver *receiver)
{
    if (receiver->start_id != progress->receiver.start_id) {
        progress->behind_since_us = 0;
        progress->last_sent_us = 0;
    }
    progress->receiver = *receiver;
}

/*
 * Update since when the receiver lacks something, where CHANGED is the
 * revision that last changed a route or a target here, and TIMES says when
 * revisions were created.  While changes go on, a receiver always lacks the
 * latest one; if its revision advances, another daemon sends it updates.
 */
void
fleet_push_progress_update_behind_since(
    struct fleet_push_progress *progress, uint64_t now_us, uint64_t changed,
    const struct fleet_revision_times *times)
{
    uint64_t since_us;

    if (progress->receiver.revision >= changed) {
        progress->behind_since_us = 0;
        return;
    }
    since_us =
        fleet_revision_times_after(times, now_us, progress->receiver.revision);
    if (progress->behind_since_us == 0) {
        progress->behind_since_us = now_us;
    }
    else if (progress->behind_since_us < since_us) {
        progress->behind_since_us = since_us;
    }
}

/*
 * Return true if an update of BYTES is to be sent now.  With 0 for BYTES: if
 * an update of any size may be.
 */
bool
fleet_push_progress_is_due(const struct fleet_push_progress *progress,
                           uint64_t now_us, size_t bytes)
{
    uint64_t delay_us = progress->receiver.rank *
                        (RANK_DELAY_US + transfer_us(progress, bytes));
    uint64_t interval_us = PUSH_INTERVAL_MIN_US;

    if (progress->behind_since_us == 0) {
        return false;
    }
    if (is_unconfirmed(progress)) {
        interval_us =
            RESEND_TIMEOUT_US + transfer_us(progress, progress->sent_bytes);
    }
    return elapsed_us(now_us, progress->behind_since_us) >= delay_us &&
           elapsed_us(now_us, progress->last_sent_us) >= interval_us;
}

/* Record that an update of BYTES was sent. */
void
fleet_push_progress_record_sent(struct fleet_push_progress *progress,
                                uint64_t now_us, size_t bytes)
{
    progress->last_sent_us = now_us;
    progress->sent_from = progress->receiver.revision;
    progress->sent_bytes = bytes;
}
