//! Metrics and reports of finished requests.

use buckthornmast_gateway::observe::{End, Observer, Sample};
use metrics::{counter, histogram};

use crate::reports::Reports;

/// Observer that feeds the metrics and a collector.
pub struct Samples {
    reports: Reports,
}

impl Samples {
    /// Returns an observer for a collector.
    pub fn new(reports: Reports) -> Self {
        Self { reports }
    }
}

impl Observer for Samples {
    fn observe(&self, sample: &Sample<'_>) {
        self.reports.record(sample);
        let team = sample.team.to_string();
        let end = match sample.end {
            End::Answered => "answered",
            End::Refused => "refused",
            End::Failed => "failed",
            End::Abandoned => "abandoned",
        };
        let met = if sample.is_in_time { "yes" } else { "no" };
        counter!("buckthornmast_requests_total", "team" => team.clone(), "end" => end, "met" => met)
            .increment(1);
        if let Some(first) = sample.first_token {
            histogram!("buckthornmast_first_token_seconds", "team" => team.clone())
                .record(first.as_secs_f64());
        }
        counter!("buckthornmast_tokens_total", "team" => team).increment(sample.tokens.into());
    }
}
