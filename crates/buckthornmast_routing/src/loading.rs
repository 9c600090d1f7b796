//! Copies that are being loaded, and the times at which they are expected to be ready.

use std::{collections::HashMap, time::Duration};

use buckthornmast_types::{prelude::*, report::Phase};

use crate::estimate::Estimate;

/// Assumed time to load 1 GiB before the first sample.
///
/// It is deliberately short: if it is too short, a request waits in vain but is still refused before its
/// deadline; if it is too long, a request that could have been answered is refused.
const ASSUMED_TIME_PER_GIB: Duration = Duration::from_millis(100);

/// Estimate of the time that a load takes per GiB.
#[derive(Debug, Clone, Copy)]
pub struct LoadTime(Estimate);

impl Default for LoadTime {
    fn default() -> Self {
        Self(Estimate::new(ASSUMED_TIME_PER_GIB))
    }
}

impl LoadTime {
    fn gib(bytes: Bytes) -> f64 {
        #[expect(
            clippy::cast_precision_loss,
            reason = "artifacts are far below 2^52 bytes"
        )]
        let gib = bytes.0 as f64 / Bytes::gib(1).0 as f64;
        gib.max(1e-3)
    }

    fn add(&mut self, bytes: Bytes, duration: Duration) {
        self.0.add(duration.div_f64(Self::gib(bytes)));
    }

    /// Returns the expected remaining time of a load. An overdue load is expected to need as much longer as it
    /// is already overdue.
    pub fn remaining(&self, bytes: Bytes, elapsed: Duration) -> Duration {
        let total = self.0.mean().mul_f64(Self::gib(bytes));
        total.abs_diff(elapsed)
    }
}

/// Loads of one target, with the sample times of their first reports.
#[derive(Debug, Clone, Default)]
pub struct Loads(HashMap<Artifact, Point>);

impl Loads {
    /// Records the newest report. Returns whether a copy has become ready.
    pub fn observe(&mut self, report: &Report, sampled: Point, load_time: &mut LoadTime) -> bool {
        let mut is_any_ready = false;
        self.0.retain(|artifact, since| {
            let copy = report.copy(artifact);
            if let Some(copy) = copy.filter(|copy| copy.phase == Phase::Ready) {
                load_time.add(copy.bytes, sampled.since(*since));
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

    /// Removes all loads, such as those of an earlier incarnation.
    pub fn clear(&mut self) {
        self.0.clear();
    }

    /// Returns the time until a copy is expected to be ready, if it is being loaded.
    pub fn remaining(
        &self,
        artifact: &Artifact,
        bytes: Bytes,
        load_time: &LoadTime,
        now: Point,
    ) -> Option<Duration> {
        let since = self.0.get(artifact)?;
        Some(load_time.remaining(bytes, now.since(*since)))
    }
}
