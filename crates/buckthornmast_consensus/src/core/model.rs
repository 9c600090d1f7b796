//! Access for the model checker in `tests/`.

use buckthornmast_types::time::Point;

use crate::{
    core::{Core, State},
    voters::Voters,
};

impl<C> Core<C> {
    /// Sets every point in time to zero, so that states that differ only in time are equal. The specification
    /// chooses for each step whether timeouts have elapsed. The send times of messages that may confirm a read, which
    /// are those from `proven_from` on, become equal instead.
    #[doc(hidden)]
    pub fn zero_times(&mut self, proven_from: Point) {
        let proven = |sent: Point| (sent >= proven_from).then_some(proven_from);
        self.leader_contact = Point::ZERO;
        self.election_deadline = Point::ZERO;
        if let Some(pending) = &mut self.pending_ack {
            pending.sent = proven(pending.sent).unwrap_or(Point::ZERO);
        }
        if let State::Leader(leading) = &mut self.state {
            leading.next_heartbeat = Point::ZERO;
            for progress in &mut leading.progress {
                progress.valid_from = Point::ZERO;
                progress.acked_send = progress.acked_send.and_then(proven);
                progress.last_answer = Point::ZERO;
            }
        }
    }

    /// Returns the voter sets, for a mutation that a check must detect.
    #[doc(hidden)]
    pub fn voters_mut(&mut self) -> &mut Voters {
        &mut self.voters
    }
}
