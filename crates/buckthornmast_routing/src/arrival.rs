//! Copies that are being loaded, and when they are expected to be ready.

use std::{collections::HashMap, time::Duration};

use buckthornmast_types::{prelude::*, report::Phase};

use crate::estimate::Estimate;

/// Assumed time to load 1 GiB before the first sample.
///
/// It is short on purpose: a request that waits in vain still gets its refusal before its deadline, while
/// one that is refused in vain is lost.
const ASSUMED: Duration = Duration::from_millis(100);

/// Time that loads took, per GiB.
#[derive(Debug, Clone, Copy)]
pub struct Pace(Estimate);

impl Default for Pace {
    fn default() -> Self {
        Self(Estimate::new(ASSUMED))
    }
}

impl Pace {
    fn gib(bytes: Bytes) -> f64 {
        #[expect(
            clippy::cast_precision_loss,
            reason = "artifacts are far below 2^52 bytes"
        )]
        let gib = bytes.0 as f64 / Bytes::gib(1).0 as f64;
        gib.max(1e-3)
    }

    fn add(&mut self, bytes: Bytes, took: Duration) {
        self.0.add(took.div_f64(Self::gib(bytes)));
    }

    /// Returns the time that a load is expected to go on. One that is overdue is expected to take as long
    /// again as it is overdue.
    pub fn left(&self, bytes: Bytes, elapsed: Duration) -> Duration {
        let whole = self.0.mean().mul_f64(Self::gib(bytes));
        whole.abs_diff(elapsed)
    }
}

/// Loads of one target, with the times at which they were first reported.
#[derive(Debug, Clone, Default)]
pub struct Loads(HashMap<Artifact, Point>);

impl Loads {
    /// Takes the newest report. Returns whether a copy has become ready.
    pub fn observe(&mut self, report: &Report, sampled: Point, pace: &mut Pace) -> bool {
        let mut is_any_ready = false;
        self.0.retain(|artifact, since| {
            let copy = report.copy(artifact);
            if let Some(copy) = copy.filter(|copy| copy.phase == Phase::Ready) {
                pace.add(copy.bytes, sampled.since(*since));
                is_any_ready = true;
            }
            copy.is_some_and(|copy| copy.phase == Phase::Loading)
        });
        let loading = report.copies.iter();
        for copy in loading.filter(|copy| copy.phase == Phase::Loading) {
            self.0.entry(copy.artifact.clone()).or_insert(sampled);
        }
        is_any_ready
    }

    /// Forgets all loads, as those of an earlier incarnation.
    pub fn clear(&mut self) {
        self.0.clear();
    }

    /// Returns the time until a copy is expected to be ready, if it is being loaded.
    pub fn left(
        &self,
        artifact: &Artifact,
        bytes: Bytes,
        pace: &Pace,
        now: Point,
    ) -> Option<Duration> {
        let since = self.0.get(artifact)?;
        Some(pace.left(bytes, now.since(*since)))
    }
}
