//! Result of a run and the measures derived from it.

/// Counts of one second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Second {
    /// Requests that arrived, not counting retries.
    pub arrived: u32,
    /// Requests that arrived in this second and were answered in time by one of their tries.
    pub in_time: u32,
    /// Interactive requests that arrived.
    pub interactive: u32,
    /// Interactive requests that arrived in this second and were answered in time.
    pub interactive_in_time: u32,
    /// Answers that ended in this second, in time.
    pub answered: u32,
}

/// Result of a run.
#[derive(Debug, Clone, Default)]
pub struct Score {
    /// Requests.
    pub requests: u64,
    /// Requests that were answered in full within their deadline.
    pub in_time: u64,
    /// Requests that failed on their last try without having run: there was no reachable copy, every copy's
    /// queue was full, or admission expected the deadline to pass or could not admit them in time.
    pub refused: u64,
    /// Requests that failed on their last try because an engine that may have run them crashed.
    pub lost_requests: u64,
    /// Tries of callers, including retries.
    pub tries: u64,
    /// Tries that ended with an error.
    pub failed_tries: u64,
    /// Tries whose deadline passed.
    pub late_tries: u64,
    /// Dispatches to engines, including further attempts and second dispatches.
    pub dispatches: u64,
    /// Second dispatches in addition to one whose first token was late.
    pub hedges: u64,
    /// Slot-seconds of engines spent on answers in time.
    pub useful_slot_seconds: f64,
    /// Slot-seconds of engines spent on answers that were late, lost or cancelled.
    pub wasted_slot_seconds: f64,
    /// Counts for each second.
    pub seconds: Vec<Second>,
    /// Granted loads, shifts and unloads.
    pub moves: u64,
    /// Granted loads and shifts.
    pub loads: u64,
    /// Accelerators that the deployment owns.
    pub owned_accelerators: f64,
    /// Mean number of accelerators with at least one copy.
    pub occupied_accelerators: f64,
    /// First-token times in seconds.
    pub first_tokens: Vec<f32>,
    /// Artifact-seconds without a reachable ready copy.
    pub unreachable_seconds: f64,
    /// Copies of replaced versions that remain at the end.
    pub replaced_copies: usize,
    /// Granted moves with their times, one a line.
    pub log: Vec<String>,
    /// Violated invariants, each with its time.
    pub violations: Vec<String>,
}

impl Score {
    /// Returns the counts of the second that contains a time.
    pub(crate) fn second(&mut self, time: f64) -> &mut Second {
        let at = time.max(0.0) as usize;
        if self.seconds.len() <= at {
            self.seconds.resize(at + 1, Second::default());
        }
        &mut self.seconds[at]
    }

    /// Returns the share of slot-seconds not spent on answers in time.
    pub fn wasted_share(&self) -> f64 {
        self.wasted_slot_seconds
            / (self.useful_slot_seconds + self.wasted_slot_seconds).max(f64::MIN_POSITIVE)
    }

    /// Returns the share of interactive requests that arrived in a span of seconds and were answered in time.
    pub fn attained_interactive(&self, seconds: std::ops::Range<usize>) -> f64 {
        let span = self.seconds.get(seconds).unwrap_or_default();
        let arrived: u32 = span.iter().map(|second| second.interactive).sum();
        let in_time: u32 = span.iter().map(|second| second.interactive_in_time).sum();
        f64::from(in_time) / f64::from(arrived.max(1))
    }

    /// Returns the share of requests that arrived in a span of seconds and were answered in time.
    pub fn attained(&self, seconds: std::ops::Range<usize>) -> f64 {
        let span = self.seconds.get(seconds).unwrap_or_default();
        let arrived: u32 = span.iter().map(|second| second.arrived).sum();
        let in_time: u32 = span.iter().map(|second| second.in_time).sum();
        f64::from(in_time) / f64::from(arrived.max(1))
    }

    /// Returns the share of requests answered in time.
    pub fn attainment(&self) -> f64 {
        self.in_time as f64 / self.requests.max(1) as f64
    }

    /// Returns the attainment in percent per accelerator that the deployment owns.
    pub fn per_owned(&self) -> f64 {
        100.0 * self.attainment() / self.owned_accelerators.max(1.0)
    }

    /// Returns the attainment in percent per accelerator with at least one copy.
    pub fn per_occupied(&self) -> f64 {
        100.0 * self.attainment() / self.occupied_accelerators.max(1.0)
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
