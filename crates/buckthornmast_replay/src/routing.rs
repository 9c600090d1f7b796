//! Routing rules.
//!
//! A rule sees what an entry instance knows: reports that lag, and the requests that this instance has
//! sent since. The daemon's own rules implement [`crate::path::Path`] instead.

use rand::{Rng, rngs::SmallRng};

/// Target where the artifact is ready.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// Index of the target.
    pub target: usize,
    /// Requests running and waiting at the target, as last reported.
    pub reported: u32,
    /// Requests that this instance has sent to the target since that report.
    pub sent: u32,
    /// Requests that the target processes concurrently.
    pub slots: u32,
}

impl Candidate {
    fn load(&self) -> f64 {
        f64::from(self.reported + self.sent) / f64::from(self.slots.max(1))
    }
}

/// Routing rule.
pub trait Rule {
    /// Returns the index of the chosen candidate; `candidates` must not be empty.
    fn choose(&self, candidates: &[Candidate], random: &mut SmallRng) -> usize;
}

/// Chooses the target with the lowest known load.
#[derive(Debug, Clone, Copy)]
pub struct LeastLoaded;

/// Chooses a random target.
#[derive(Debug, Clone, Copy)]
pub struct Random;

/// Chooses the less loaded of two random targets.
#[derive(Debug, Clone, Copy)]
pub struct PowerOfTwo;

impl Rule for LeastLoaded {
    fn choose(&self, candidates: &[Candidate], _random: &mut SmallRng) -> usize {
        let indexed = candidates.iter().enumerate();
        indexed
            .min_by(|a, b| a.1.load().total_cmp(&b.1.load()))
            .map_or(0, |(at, _)| at)
    }
}

impl Rule for Random {
    fn choose(&self, candidates: &[Candidate], random: &mut SmallRng) -> usize {
        random.random_range(0..candidates.len())
    }
}

impl Rule for PowerOfTwo {
    fn choose(&self, candidates: &[Candidate], random: &mut SmallRng) -> usize {
        let first = random.random_range(0..candidates.len());
        if candidates.len() == 1 {
            return first;
        }
        let step = random.random_range(1..candidates.len());
        let second = (first + step) % candidates.len();
        match candidates[second].load() < candidates[first].load() {
            true => second,
            false => first,
        }
    }
}
