//! Claims for credit to the leader.

use std::net::SocketAddr;

use buckthornmast_quota::{
    credit::Claim,
    purse::{Lender, Session},
};

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
        let leaders = cores
            .values()
            .filter_map(|core| Some((core.leading_term?, core)));
        match leaders.max_by_key(|(term, _)| *term) {
            None => Lender::Absent,
            Some((term, core)) if core.lends_credit => Lender::Present(Session {
                term,
                connection: core.number,
            }),
            Some(_) => Lender::Older,
        }
    }

    /// Sends a claim to the leader, if it lends credit.
    pub fn claim_credit(&self, claim: Claim) {
        let lends = matches!(self.lender(), Lender::Present(_));
        if let Some(leader) = self.leader().filter(|_| lends) {
            // A claim that is lost gets no answer, and what it returns counts as spent.
            let _ = leader.send(&Upstream::Credit(claim));
        }
    }
}
