//! Requests to the leader for a confirmation of the newest version.

use std::net::SocketAddr;

use super::Supplier;
use crate::message::Upstream;

impl Supplier {
    /// Records that an instance of the core confirms versions while it leads.
    pub fn set_confirms(&self, peer: SocketAddr) {
        if let Some(core) = self.cores.borrow_mut().get_mut(&peer) {
            core.confirms = true;
        }
    }

    /// Returns whether a leader is known that confirms versions.
    pub fn can_confirm(&self) -> bool {
        self.with_leader(|leader| leader.confirms).unwrap_or(false)
    }

    /// Asks the leader to confirm the newest version.
    pub fn request_confirmation(&self, number: u64) {
        let message = Upstream::ConfirmRequest { number };
        // A lost request is followed by the next one.
        let _ = self.with_leader(|leader| leader.outbox.send(&message));
    }
}
