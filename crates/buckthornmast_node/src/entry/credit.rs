//! Credit under the quotas of organisations, lent by the leader.

use std::net::SocketAddr;

use buckthornmast_forward::{access::boot_time, state::State};
use buckthornmast_quota::credit::Grant;

use crate::{entry::Entry, platform::Platform};

impl<P: Platform> Entry<P> {
    /// Tells the purse which leader there is.
    pub(super) fn set_lender(&self, state: &State) {
        let lender = self.supplier.0.lender();
        if !state.credit.purse.borrow_mut().set_lender(lender) {
            return;
        }
        log::debug!(step = "quota", lender:? = lender; "the lender of credit has changed");
        // Tells a new leader what was spent.
        let claim = state.credit.purse.borrow_mut().claim(boot_time());
        if let Some(claim) = claim {
            self.supplier.0.claim_credit(claim);
        }
        // Waiting requests ask the new leader, or spend the reserve.
        state.credit.changed.notify_waiters();
    }

    /// Adds credit that the leader lends, and claims what is still needed.
    pub(super) fn receive_credit(&self, state: &State, peer: SocketAddr, grant: &Grant) {
        if !self.supplier.0.is_leader(peer) {
            return;
        }
        let mut purse = state.credit.purse.borrow_mut();
        if purse.receive(grant, boot_time()) {
            state.credit.changed.notify_waiters();
        }
        if let Some(claim) = purse.claim(boot_time()) {
            self.supplier.0.claim_credit(claim);
        }
    }

    /// Returns expired credit to the leader, and publishes the age of the credit in use.
    pub(super) fn tick_credit(&self) {
        let state = self.forwarder.state.borrow();
        let mut purse = state.credit.purse.borrow_mut();
        if purse.is_empty() {
            return;
        }
        if let Some(claim) = purse.claim(boot_time()) {
            self.supplier.0.claim_credit(claim);
        }
        for (organisation, age) in purse.lease_ages(boot_time()) {
            metrics::gauge!("buckthornmast_quota_lease_seconds", "organisation" => organisation.to_string())
                .set(age.as_secs_f64());
        }
    }
}
