//! Answers to claims for credit.

use buckthornmast_link::Outbox;
use buckthornmast_quota::credit::Claim;
use buckthornmast_types::time::Clock;

use crate::{core::Core, message::Downstream, platform::Platform};

impl<P: Platform> Core<P> {
    /// Answers a claim of an entry instance, if this instance leads. It checks that anew, since another instance may have
    /// been elected while this one was suspended.
    pub(super) fn answer_claim(&self, subscriber: u64, claim: &Claim, outbox: &Outbox<Downstream>) {
        let now = self.clock.now();
        let leading_term = self.replica.leading_term(now);
        if leading_term.is_none() || leading_term != self.state.borrow().leading_term {
            return;
        }
        if let Some(grant) = self.controller.lend(subscriber, claim) {
            // Credit that doesn't arrive counts as spent.
            let _ = outbox.send(&Downstream::Credit(grant));
        }
    }
}
