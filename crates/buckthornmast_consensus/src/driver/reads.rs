//! Reads that wait until a majority has confirmed that this replica leads.

use buckthornmast_types::{id, time::Point};
use snafu::Snafu;

/// Reason why it is not certain that this replica knows everything that was committed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ConfirmError {
    /// This replica is not the leader.
    #[snafu(display("this replica is not the leader"))]
    NotLeader {
        /// Leader, if known.
        hint: Option<id::Instance>,
    },
    /// No majority has answered in time.
    #[snafu(display("no majority has confirmed in time that this replica leads"))]
    Unconfirmed,
}

/// Read that waits.
struct Read {
    // Messages that were sent until then prove nothing: they left before the read arrived.
    after: Point,
    reply: flume::Sender<Result<(), ConfirmError>>,
}

/// Reads that wait.
#[derive(Default)]
pub(super) struct Reads {
    waiting: Vec<Read>,
    // Time until which messages were sent before the batch in progress.
    sent_until: Point,
}

impl Reads {
    /// Adds a read that has arrived in the batch in progress.
    pub(super) fn push(&mut self, reply: flume::Sender<Result<(), ConfirmError>>) {
        let after = self.sent_until;
        self.waiting.push(Read { after, reply });
    }

    /// Ends a batch whose messages have been sent.
    pub(super) fn end_batch(&mut self, now: Point) {
        self.sent_until = now;
    }

    /// Answers the reads that arrived before the time at which this replica certainly led.
    pub(super) fn confirm(&mut self, confirmed_at: Point) {
        self.waiting.retain(|read| {
            let is_confirmed = confirmed_at > read.after;
            if is_confirmed {
                // The reader may have given up.
                let _ = read.reply.send(Ok(()));
            }
            !is_confirmed && !read.reply.is_disconnected()
        });
    }

    /// Fails all reads.
    pub(super) fn fail(&mut self, error: &ConfirmError) {
        for read in self.waiting.drain(..) {
            let _ = read.reply.send(Err(error.clone()));
        }
    }
}
