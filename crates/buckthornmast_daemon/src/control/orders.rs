//! Implements [`port::OrderTransport`]: sends orders to the targets.

use std::time::Duration;

use buckthornmast_controller::port::{self, AttemptResult};
use buckthornmast_ledger::entry::{Attempt, Outcome};
use buckthornmast_target::{
    engine::{Endpoint, Engine},
    error::Cause,
    mapping::Http,
};
use buckthornmast_types::{
    id,
    order::Order,
    time::{Clock, Point, System},
};
use flume::Sender;

use crate::{control::pool::Job, current::Current, targets::Targets};

/// Sender of orders.
pub(super) struct Orders {
    pub(super) jobs: Sender<Job>,
    pub(super) targets: Targets,
    pub(super) current: Current,
    pub(super) token: String,
    pub(super) clock: System,
}

impl Orders {
    /// Returns the endpoint of a target, if it has reported.
    fn endpoint(&self, target: &id::Target) -> Option<Endpoint> {
        let observed = self.targets.get(target)?;
        let snapshot = self.current.get();
        let kind = snapshot
            .declarations
            .platform
            .kinds
            .get(&observed.report.kind);
        let token = kind
            .is_none_or(|kind| kind.checks_access)
            .then(|| self.token.clone());
        Some(Endpoint {
            target: target.clone(),
            address: observed.report.address,
            token,
        })
    }
}

/// Sends one order and returns the outcome of the attempt.
fn send_order(endpoint: &Endpoint, order: &Order, left: Duration) -> Outcome {
    match Http.order(endpoint, order, left) {
        Ok(reply) => reply.into(),
        Err(error) => {
            log::info!(step = "order", peer = order.target.as_str(); "sending the order failed: {error}");
            match error.cause {
                Cause::NotSent { .. } | Cause::LocalResource { .. } => Outcome::NotSent,
                _ => Outcome::Unknown,
            }
        }
    }
}

impl port::OrderTransport for Orders {
    fn send(
        &self,
        order: Order,
        attempt: Attempt,
        not_after: Point,
        answer: Sender<AttemptResult>,
    ) {
        let endpoint = self.endpoint(&order.target);
        let clock = self.clock;
        let job = Box::new(move || {
            let left = not_after.since(clock.now());
            let outcome = match &endpoint {
                Some(endpoint) if !left.is_zero() => send_order(endpoint, &order, left),
                _ => Outcome::NotSent,
            };
            let result = AttemptResult {
                target: order.target.clone(),
                order: order.id,
                attempt,
                outcome,
            };
            let _ = answer.send(result);
        });
        // The pool is stopped after the controller, so the job is always accepted.
        let _ = self.jobs.send(job);
    }
}
