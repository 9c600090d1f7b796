//! Account of the targets that take requests at a limited rate only, at the leader.

use buckthornmast_fleet::registry::Registry;
use buckthornmast_limit::{
    account::{Account, Answer, Request},
    statement::{Key, Notice, Report},
};
use buckthornmast_supply::ledger::Ledger;
use buckthornmast_types::time::{Clock, Point};

use super::{Controller, State};
use crate::{message::Downstream, platform::Platform};

/// Notes the limits of targets in the ledger, for the plan of placement.
pub(super) fn apply(limits: &Account, ledger: &mut Ledger) {
    for (target, inventory) in &mut ledger.inventories {
        inventory.limit = limits.limit(&(target.clone(), inventory.incarnation));
    }
}

impl<P: Platform> Controller<P> {
    /// Adds what an entry instance reports about a target's limit, if this instance leads. The others are told at the next
    /// tick, of all changes together.
    pub fn record_limit(&self, report: &Report) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        if state.leadership.is_some() {
            state.permits.limits.record(report, now);
        }
    }

    /// Answers a request for a grant. Returns `None` if this instance doesn't lead.
    pub fn request_grant(&self, request: &Request) -> Option<Answer> {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        state.leadership.as_ref()?;
        let answer = state.permits.limits.request(request, now);
        let label = match answer {
            Answer::Granted(..) => "granted",
            Answer::Unlimited(_) => "unlimited",
            Answer::Refused(_) => "refused",
        };
        metrics::counter!("buckthornmast_grants_total", "answer" => label).increment(1);
        Some(answer)
    }

    /// Returns all limits, for a new subscriber. Empty if this instance does not lead.
    pub fn limits(&self) -> Vec<Notice> {
        let state = self.state.borrow();
        if state.leadership.is_none() {
            return Vec::new();
        }
        state.permits.limits.notices()
    }

    /// Removes limits that have ended, and tells the entry instances what has changed.
    pub(super) fn prune_limits(&self, state: &mut State, registry: &Registry, now: Point) {
        let limits = &mut state.permits.limits;
        if limits.is_empty() {
            return;
        }
        let is_known = |(target, incarnation): &Key| {
            let entry = registry.get(target);
            entry.is_some_and(|entry| entry.announcement.incarnation <= *incarnation)
        };
        let mut notices = limits.prune(is_known, now);
        notices.extend(limits.changes(now));
        if notices.is_empty() {
            return;
        }
        for Notice { key, limit } in &notices {
            log::info!(step = "limit", target:% = key.0, born = key.1.0, limit:? = limit; "telling the entry instances the limit of a target");
        }
        self.subscribers.send_entries(&Downstream::Limits(notices));
    }
}
