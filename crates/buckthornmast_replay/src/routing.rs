//! Routing rules.
//!
//! A rule sees what an entry instance knows: reports that lag, and the requests that this instance has
//! sent since. The daemon's own rules are adapted to this trait where they are compared.

use rand::{Rng, rngs::SmallRng};

/// Target that has the artifact.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// Index of the target.
    pub target: usize,
    /// Requests running and waiting there, as last reported.
    pub reported: u32,
    /// Requests that this instance has sent there since that report.
    pub sent: u32,
    /// Requests that the target works on at once.
    pub slots: u32,
}

impl Candidate {
    fn load(&self) -> f64 {
        f64::from(self.reported + self.sent) / f64::from(self.slots.max(1))
    }
}

/// Choice of a target.
pub trait Rule {
    /// Returns the index of the chosen candidate; `candidates` is not empty.
    fn choose(&self, candidates: &[Candidate], random: &mut SmallRng) -> usize;
}

/// Target with the lowest known load.
#[derive(Debug, Clone, Copy)]
pub struct LeastLoaded;

/// Any target.
#[derive(Debug, Clone, Copy)]
pub struct Random;

/// The less loaded of two random targets.
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
