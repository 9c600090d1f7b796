//! Requests that may crash their targets: which are refused, which are suspected, and which are cleared.

use buckthornmast_quarantine::{guard::Verdict, ledger::Crash};
use buckthornmast_types::{id, time::Clock};

use crate::{
    context::{Context, millis},
    forwarder::Forwarder,
    mapping::Mapping,
    pool,
    refusal::Refusal,
    supply::Supply,
};

/// Batches of events after the first one from which a target is taken to survive a request.
pub(crate) const PROGRESS_BATCHES: u32 = 3;

impl<M: Mapping, S: Supply> Forwarder<M, S> {
    /// Refuses a request whose prompt has quarantined parts, unless it is their trial.
    pub(crate) fn check_quarantine(&self, context: &mut Context) -> Result<(), Refusal> {
        if context.is_trial || context.shared_parts.is_empty() {
            return Ok(());
        }
        let now = self.clock.now();
        let verdict = self
            .state
            .borrow_mut()
            .guard
            .check(&context.shared_parts, now);
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
            state.guard.is_quarantined(&context.shared_parts)
        };
        !context.is_trial && is_quarantined()
    }

    /// Records that a target goes on answering a request.
    pub(crate) fn record_progress(&self, context: &Context) {
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
        let (evidence, is_proven) = {
            let guard = &self.state.borrow().guard;
            let evidence = guard.suspect(crash, &context.shared_parts, now);
            (evidence, guard.is_proven(&context.shared_parts))
        };
        let Some(evidence) = evidence else {
            return false;
        };
        if !self.has_ended(context, target, incarnation).await {
            return false;
        }
        log::info!(
            step = "quarantine",
            request:% = context.head.request,
            target:% = target,
            born = incarnation.0,
            parts:% = context.shared_part_names(),
            suspected:% = evidence.parts,
            is_stale = evidence.is_stale,
            age_ms = millis(now.since(context.received));
            "target ended as it began to answer a request; suspecting the request"
        );
        metrics::counter!("buckthornmast_suspects_total").increment(1);
        self.supply.report_crash(&evidence);
        let now = self.clock.now();
        let is_changed = self.state.borrow_mut().guard.record_crash(evidence, now);
        if is_changed {
            log::warn!(step = "quarantine", request:% = context.head.request, parts:% = context.shared_part_names(); "targets crash on parts of this prompt; refusing requests with these parts");
        }
        !is_proven
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
        match pool::connect(address).await {
            Ok(_) => false,
            Err(error) => {
                log::info!(step = "quarantine", request:% = context.head.request, target:% = target; "connecting to a target whose connection failed as it began to answer: {error}");
                if error.is_refused() {
                    self.supply.report_down(target, incarnation);
                }
                error.is_refused()
            }
        }
    }
}
