//! Metrics and log lines on what the organisations get while they compete for room.

use std::{collections::HashMap, time::Duration};

use buckthornmast_supply::permits::{Permit, Queue, Request};
use buckthornmast_types::{id, time::Point};

use super::label;

/// Interval at which the waiting requests are counted for the metrics: the usual one of a scrape or less.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Permit request of an organisation, for the metrics and the log.
#[derive(Debug)]
pub(in crate::controller) struct Claim {
    organisation: Option<id::Organisation>,
    priority: u32,
    model: id::Model,
    tokens: (u32, u32),
    requested_at: Point,
}

impl Claim {
    /// Returns what is recorded of a request.
    pub(in crate::controller) fn of(request: &Request, now: Point) -> Self {
        Self {
            organisation: request.organisation.clone(),
            priority: request.priority,
            model: request.item.model.clone(),
            tokens: (request.prompt_tokens, request.answer_tokens),
            requested_at: now,
        }
    }

    /// Records the answer. Requests without an organisation are counted with all others only.
    pub(in crate::controller) fn record(&self, permit: &Permit, queue: &Queue, now: Point) {
        let Some(organisation) = &self.organisation else {
            return;
        };
        let labels = [
            ("organisation", organisation.to_string()),
            ("priority", self.priority.to_string()),
        ];
        let mut with_answer = labels.to_vec();
        with_answer.push(("turn", label(permit).to_owned()));
        metrics::counter!("buckthornmast_share_turns_total", &with_answer).increment(1);
        let waited = now.since(self.requested_at);
        if !matches!(permit, Permit::Wait(_)) {
            metrics::histogram!("buckthornmast_share_wait_seconds", &labels)
                .record(waited.as_secs_f64());
        }
        if let Permit::Refuse(wait) = permit {
            let (service, limit) = queue.service(organisation, now);
            log::info!(
                step = "turn",
                organisation:% = organisation,
                priority = self.priority,
                model:% = self.model,
                prompt_tokens = self.tokens.0,
                answer_tokens = self.tokens.1,
                waited_ms = waited.as_millis() as u64,
                wait_ms = wait.as_millis() as u64,
                waiting = queue.waiting(),
                service:% = service,
                share:% = limit;
                "refusing a permit: no room is expected in time"
            );
        }
    }
}

/// Gauges of the waiting requests.
#[derive(Debug, Default)]
pub(super) struct Report {
    updated_at: Point,
    // Organisations and priorities whose gauges aren't zero.
    reported: HashMap<(id::Organisation, u32), (u32, Duration)>,
}

impl Report {
    /// Counts the waiting requests of each organisation and priority.
    pub(super) fn update<'a>(&mut self, waiting: impl Iterator<Item = &'a Claim>, now: Point) {
        let mut waiting = waiting.peekable();
        let is_last = waiting.peek().is_none();
        if !is_last && now.since(self.updated_at) < REPORT_INTERVAL {
            return;
        }
        self.updated_at = now;
        self.reported.retain(|_, (count, _)| *count > 0);
        for of_flow in self.reported.values_mut() {
            *of_flow = (0, Duration::ZERO);
        }
        for claim in waiting {
            let Some(organisation) = claim.organisation.clone() else {
                continue;
            };
            let of_flow = self.reported.entry((organisation, claim.priority));
            let (count, oldest) = of_flow.or_default();
            *count += 1;
            *oldest = (*oldest).max(now.since(claim.requested_at));
        }
        for ((organisation, priority), (count, oldest)) in &self.reported {
            let labels = [
                ("organisation", organisation.to_string()),
                ("priority", priority.to_string()),
            ];
            metrics::gauge!("buckthornmast_share_waiting", &labels).set(f64::from(*count));
            metrics::gauge!("buckthornmast_share_oldest_seconds", &labels)
                .set(oldest.as_secs_f64());
        }
    }
}
