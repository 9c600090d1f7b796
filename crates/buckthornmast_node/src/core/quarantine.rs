//! Quarantines of prompt parts and of requests on which targets crash.
//!
//! Entry instances report suspects to every instance of the core, and each of these keeps a ledger and tells its quarantines
//! to the entry instances, and to each instance of the core that connects. So evidence meets without a leader, and on either
//! side of a partition. Only the leader permits trials, one entry instance after the other.

use buckthornmast_quarantine::{
    ledger::{Evidence, Notice},
    part,
};
use buckthornmast_types::{
    id,
    time::{Clock, Point},
};

use crate::{core::Core, message::Downstream, platform::Platform};

impl<P: Platform> Core<P> {
    /// Records a request that is suspected of the end of its target.
    pub(super) fn record_crash(&self, evidence: Evidence) {
        let now = self.clock.now();
        // A crash makes a suspect of each request at the target, and its entry instance has logged it.
        let level = if evidence.request().is_some() {
            log::Level::Debug
        } else {
            log::Level::Info
        };
        log::log!(level, step = "quarantine", target:% = evidence.crash.target, born = evidence.crash.incarnation.0, parts:% = evidence.parts, is_stale = evidence.is_stale; "target ended as it began to answer a request; suspecting the request");
        let suspected = evidence.parts.clone();
        let is_changed = self.state.borrow_mut().crashes.record_crash(evidence, now);
        if is_changed {
            self.publish_quarantines(now, |notice| notice.parts.is_subset(&suspected));
        }
    }

    /// Clears parts on which a target answers, here and at the entry instances.
    pub(super) fn record_progress(&self, parts: part::Set) {
        let is_changed = self.state.borrow_mut().crashes.record_progress(&parts);
        if is_changed {
            log::info!(step = "quarantine", parts:% = parts; "a target answers on quarantined parts; clearing them");
            self.subscribers.send_entries(&Downstream::Progress(parts));
        }
    }

    /// Adds the quarantines that another instance knows, for example from before a restart of this instance.
    pub(super) fn merge_quarantines(&self, notices: &[Notice]) {
        let now = self.clock.now();
        let is_changed = self.state.borrow_mut().crashes.merge(notices, now);
        if is_changed {
            let is_merged =
                |notice: &Notice| notices.iter().any(|known| known.parts == notice.parts);
            self.publish_quarantines(now, is_merged);
        }
    }

    /// Tells the entry instances the quarantines that are selected.
    fn publish_quarantines(&self, now: Point, is_selected: impl Fn(&Notice) -> bool) {
        let mut notices = self.state.borrow().crashes.notices(now);
        notices.retain(is_selected);
        for notice in &notices {
            if notice.is_watch() {
                log::info!(step = "quarantine", parts:% = notice.parts; "two targets ended under the same request; it is not repeated any more");
                continue;
            }
            log::warn!(step = "quarantine", parts:% = notice.parts, quarantines = notices.len(); "targets crash on prompt parts; quarantining them");
        }
        // Other instances of the core are told only as they connect. They remember no answers, so a quarantine and its refutation
        // could follow each other between them without end.
        self.subscribers
            .send_entries(&Downstream::Quarantines(notices));
    }

    /// Forgets old crashes, and permits a trial if one is due and this instance leads.
    pub(super) fn tick_quarantines(&self, now: Point) {
        let mut state = self.state.borrow_mut();
        state.crashes.prune(now);
        if state.leading_term.is_none() || state.crashes.is_empty() {
            return;
        }
        let Some(entry) = self.trial_entry(state.trials) else {
            return;
        };
        let Some(parts) = state.crashes.begin_trial(now) else {
            return;
        };
        state.trials = state.trials.wrapping_add(1);
        drop(state);
        log::info!(step = "quarantine", parts:% = parts, peer:% = entry; "permitting one request with quarantined parts as a trial");
        let trial = Downstream::Trial(parts);
        self.subscribers
            .send_where(&trial, |subscriber| subscriber.instance == entry);
    }

    /// Returns the entry instance that is permitted the trial with this number.
    fn trial_entry(&self, trial: usize) -> Option<id::Instance> {
        let entries = self.subscribers.entries();
        let index = trial.checked_rem(entries.len())?;
        entries.into_iter().nth(index)
    }
}
