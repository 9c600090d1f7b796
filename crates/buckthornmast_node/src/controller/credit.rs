//! Account of the quotas of organisations, at the leader.

use buckthornmast_quota::credit::{Claim, Grant};
use buckthornmast_types::time::{Clock, Point};

use super::Controller;
use crate::platform::Platform;

impl<P: Platform> Controller<P> {
    /// Answers a claim for credit. Returns `None` if this instance doesn't lead, or the claim needs no answer.
    pub fn lend(&self, subscriber: u64, claim: &Claim) -> Option<Grant> {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let grant = state.credit.as_mut()?.answer(subscriber, claim, now)?;
        for (item, loan) in claim.items.iter().zip(&grant.loans) {
            let denied = item.want.saturating_sub(loan.amount);
            if denied > 0 {
                metrics::counter!("buckthornmast_quota_denied_total", "organisation" => item.organisation.to_string())
                    .increment(denied);
                log::debug!(step = "quota", organisation:% = item.organisation, want = item.want, lent = loan.amount, wait:? = loan.wait; "the quota is used up");
            }
        }
        // A claim with returns only needs no answer.
        (!claim.items.is_empty()).then_some(grant)
    }

    /// Counts what an entry instance may spend alone as lent, because its connection has ended.
    pub fn lose_borrower(&self, subscriber: u64) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        if let Some(credit) = &mut state.credit {
            credit.lose(subscriber, now);
        }
    }

    /// Records that this instance runs and the number of entry instances.
    pub fn tick_credit(&self, entry_count: u32) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        // Also before this instance leads: it has to know then whose use isn't reported.
        state.census.record(entry_count, now);
        if let Some(credit) = &mut state.credit {
            credit.tick(entry_count, now);
        }
    }

    /// Publishes what is lent.
    pub fn publish_credit(&self, now: Point) {
        let mut state = self.state.borrow_mut();
        let Some(credit) = &mut state.credit else {
            return;
        };
        for (organisation, figures) in credit.figures(now) {
            let organisation = organisation.to_string();
            metrics::gauge!("buckthornmast_quota_lent", "organisation" => organisation.clone())
                .set(figures.lent);
            metrics::gauge!("buckthornmast_quota_left", "organisation" => organisation)
                .set(figures.level);
        }
    }
}
