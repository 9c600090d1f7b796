//! What a run is judged by.

/// Result of a run.
#[derive(Debug, Clone, Default)]
pub struct Score {
    /// Requests.
    pub requests: u64,
    /// Requests that were answered in full within their deadline.
    pub in_time: u64,
    /// Requests that were refused: no copy, or every copy's queue was full.
    pub refused: u64,
    /// Granted loads, shifts and unloads.
    pub moves: u64,
    /// Granted loads and shifts.
    pub loads: u64,
    /// Accelerators that the deployment owns.
    pub owned: f64,
    /// Mean number of accelerators that held a copy.
    pub occupied: f64,
    /// First-token times in seconds.
    pub first_tokens: Vec<f32>,
    /// Artifact-seconds without a copy that can answer.
    pub unreachable: f64,
    /// Copies of replaced versions that are left at the end.
    pub replaced: usize,
    /// Granted moves with their times, one a line.
    pub log: Vec<String>,
    /// Broken invariants.
    pub faults: Vec<String>,
}

impl Score {
    /// Returns the share of requests answered in time.
    pub fn attainment(&self) -> f64 {
        self.in_time as f64 / self.requests.max(1) as f64
    }

    /// Returns the attainment in per cent per accelerator that the deployment owns.
    pub fn per_owned(&self) -> f64 {
        100.0 * self.attainment() / self.owned.max(1.0)
    }

    /// Returns the attainment in per cent per accelerator that held a copy.
    pub fn per_occupied(&self) -> f64 {
        100.0 * self.attainment() / self.occupied.max(1.0)
    }

    /// Returns the share of requests refused.
    pub fn refused_share(&self) -> f64 {
        self.refused as f64 / self.requests.max(1) as f64
    }

    /// Returns the 95th percentile of the time to the first token in seconds.
    pub fn p95_first_token(&self) -> f64 {
        let mut times = self.first_tokens.clone();
        if times.is_empty() {
            return 0.0;
        }
        let at = (times.len() - 1) * 95 / 100;
        let (_, time, _) = times.select_nth_unstable_by(at, f32::total_cmp);
        f64::from(*time)
    }
}
