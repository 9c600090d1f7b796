//! Requests that may crash their targets: which are refused, which are suspected, and which are cleared.

use std::borrow::Cow;

use buckthornmast_quarantine::{
    guard::{Guard, Verdict},
    ledger::{Crash, Evidence},
    part::Set,
};
use buckthornmast_types::{id, time::Clock};

use crate::{
    context::{Context, millis},
    forwarder::Forwarder,
    mapping::Mapping,
    refusal::Refusal,
    supply::Supply,
};

/// Batches of events after the first one from which a target is taken to survive a request.
pub(crate) const PROGRESS_BATCHES: u32 = 3;

/// Returns what a request may be refused for: the shared parts of its prompt and, if any request is suspected as a whole, its
/// identity. Computing that costs a digest of the body.
fn blamable_parts<'a>(guard: &Guard, context: &'a Context) -> Cow<'a, Set> {
    if guard.blames_requests() {
        Cow::Owned(context.shared_parts.with(context.identity()))
    } else {
        Cow::Borrowed(&context.shared_parts)
    }
}

impl<M: Mapping, S: Supply> Forwarder<M, S> {
    /// Refuses a request that is quarantined, or whose prompt has quarantined parts, unless it is their trial.
    pub(crate) fn check_quarantine(&self, context: &mut Context) -> Result<(), Refusal> {
        if context.is_trial {
            return Ok(());
        }
        let now = self.clock.now();
        let verdict = {
            let guard = &mut self.state.borrow_mut().guard;
            let parts = blamable_parts(guard, context);
            guard.check(&parts, now)
        };
        match verdict {
            Verdict::Pass => Ok(()),
            Verdict::Trial => {
                log::info!(step = "quarantine", request:% = context.head.request, parts:% = context.shared_part_names(); "sending a request with quarantined parts as their trial");
                context.is_trial = true;
                Ok(())
            }
            Verdict::Refuse { remaining } => Err(Refusal::Quarantined { remaining }),
        }
    }

    /// Returns whether the parts of a prompt have been quarantined since the request was let through.
    pub(crate) fn is_quarantined(&self, context: &Context) -> bool {
        let is_quarantined = || {
            let state = self.state.borrow();
            let parts = blamable_parts(&state.guard, context);
            state.guard.is_quarantined(&parts)
        };
        !context.is_trial && is_quarantined()
    }

    /// Records that a target goes on answering a request.
    pub(crate) fn record_progress(&self, context: &Context) {
        self.clear_request(context);
        if context.shared_parts.is_empty() {
            return;
        }
        let now = self.clock.now();
        let parts = &context.shared_parts;
        let is_blamed = self.state.borrow_mut().guard.record_progress(parts, now);
        if is_blamed {
            log::info!(step = "quarantine", request:% = context.head.request, parts:% = context.shared_part_names(); "a target answers on parts that were suspected; clearing them");
            self.supply.report_progress(parts);
        }
    }

    /// Clears a request that a target answers, if it was suspected as a whole.
    fn clear_request(&self, context: &Context) {
        let is_blamed = {
            let guard = &mut self.state.borrow_mut().guard;
            guard.blames_requests() && guard.clear_request(context.identity())
        };
        if is_blamed {
            let identity = context.identity();
            log::info!(step = "quarantine", request:% = context.head.request, identity:% = identity; "a target answers a request that was suspected; clearing it");
            self.supply.report_progress(&Set::of(identity));
        }
    }

    /// Examines a request whose connection failed while its target was beginning to answer. Returns whether it may have
    /// ended the target, so that it must not be sent to another one.
    pub(crate) async fn examine_lost(
        &self,
        context: &Context,
        target: &id::Target,
        incarnation: id::Incarnation,
    ) -> bool {
        let now = self.clock.now();
        let crash = Crash {
            target: target.clone(),
            incarnation,
        };
        let (of_parts, is_proven) = {
            let guard = &self.state.borrow().guard;
            let evidence = guard.suspect(crash.clone(), &context.shared_parts, now);
            (evidence, guard.is_proven(&context.shared_parts))
        };
        if !self.has_ended(context, target, incarnation).await {
            return false;
        }
        let has_suspected_parts = of_parts.is_some();
        let identity = context.identity();
        let of_request = Evidence::against_request(crash, identity);
        for evidence in of_parts.into_iter().chain([of_request]) {
            self.report_suspect(context, evidence);
        }
        let is_watched = self.state.borrow().guard.watches(identity);
        is_watched || (has_suspected_parts && !is_proven)
    }

    /// Records evidence here and at the core.
    fn report_suspect(&self, context: &Context, evidence: Evidence) {
        let now = self.clock.now();
        log::info!(
            step = "quarantine",
            request:% = context.head.request,
            target:% = evidence.crash.target,
            born = evidence.crash.incarnation.0,
            parts:% = context.shared_part_names(),
            suspected:% = evidence.parts,
            is_stale = evidence.is_stale,
            age_ms = millis(now.since(context.received));
            "target ended as it began to answer a request; suspecting the request"
        );
        metrics::counter!("buckthornmast_suspects_total").increment(1);
        self.supply.report_crash(&evidence);
        let suspected = evidence.parts.clone();
        let is_changed = self.state.borrow_mut().guard.record_crash(evidence, now);
        if is_changed {
            log::warn!(step = "quarantine", request:% = context.head.request, parts:% = context.shared_part_names(), suspected:% = suspected; "targets crash on this request or on parts of its prompt; refusing or watching such requests");
        }
    }

    /// Returns whether the incarnation of a target has ended, and not only a connection to it.
    async fn has_ended(
        &self,
        context: &Context,
        target: &id::Target,
        incarnation: id::Incarnation,
    ) -> bool {
        let address = {
            let state = self.state.borrow();
            let entry = state.registry().get(target);
            let same = entry.filter(|entry| entry.announcement.incarnation == incarnation);
            same.map(|entry| entry.announcement.address)
        };
        let Some(address) = address else {
            return true;
        };
        match self.connect_directly(target, incarnation, address).await {
            Ok(_) => false,
            Err(error) => {
                log::info!(step = "quarantine", request:% = context.head.request, target:% = target; "connecting to a target whose connection failed as it began to answer: {error}");
                if !error.is_refused() {
                    return false;
                }
                // A partition may refuse connections as a target that has ended does.
                if self.is_reached_around(target, incarnation).await {
                    return false;
                }
                if context.head.generation.is_some() {
                    self.supply.report_down(target, incarnation);
                }
                true
            }
        }
    }
}
