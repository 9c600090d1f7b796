//! Claims for credit to the leader.

use std::net::SocketAddr;

use buckthornmast_quota::{credit::Claim, purse::Lender};

use super::Supplier;
use crate::message::Upstream;

impl Supplier {
    /// Records that an instance of the core lends credit when it leads.
    pub fn add_lender(&self, peer: SocketAddr) {
        if let Some(core) = self.cores.borrow_mut().get_mut(&peer) {
            core.lends_credit = true;
        }
    }

    /// Returns whether the leader lends credit.
    pub fn lender(&self) -> Lender {
        let cores = self.cores.borrow();
        let leaders = cores.values().filter(|core| core.leading_term.is_some());
        match leaders.max_by_key(|core| core.leading_term) {
            None => Lender::Absent,
            Some(core) if core.lends_credit => Lender::Present,
            Some(_) => Lender::Older,
        }
    }

    /// Sends a claim to the leader, if it lends credit.
    pub fn claim_credit(&self, claim: Claim) {
        if let Some(leader) = self.leader().filter(|_| self.lender() == Lender::Present) {
            // A claim that is lost gets no answer, and what it returns counts as spent.
            let _ = leader.send(&Upstream::Credit(claim));
        }
    }
}
