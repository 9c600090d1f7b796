//! Requests that targets have refused lately.
//!
//! A request that comes again under its id at the same target gets a connection of its own, on which no earlier refusal
//! can be written once more.

use std::collections::{HashSet, VecDeque};

use buckthornmast_types::id;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of refusals that are remembered.
pub const MAX_REFUSALS: usize = 16_384;

/// Refusals of all targets, the oldest first. An equal hash of another request costs it a connection of its own.
#[derive(Debug, Default)]
pub struct Memory {
    hashes: VecDeque<u64>,
    known: HashSet<u64>,
}

fn hash(target: &id::Target, incarnation: id::Incarnation, request: &str) -> u64 {
    let of_target = xxh3_64_with_seed(target.as_str().as_bytes(), incarnation.0);
    xxh3_64_with_seed(request.as_bytes(), of_target)
}

impl Memory {
    /// Records that a target has refused a request.
    pub fn record(&mut self, target: &id::Target, incarnation: id::Incarnation, request: &str) {
        let hash = hash(target, incarnation, request);
        if !self.known.insert(hash) {
            return;
        }
        self.hashes.push_back(hash);
        if self.hashes.len() > MAX_REFUSALS
            && let Some(oldest) = self.hashes.pop_front()
        {
            self.known.remove(&oldest);
        }
    }

    /// Returns whether a target has refused a request lately.
    pub fn contains(
        &self,
        target: &id::Target,
        incarnation: id::Incarnation,
        request: &str,
    ) -> bool {
        !self.known.is_empty() && self.known.contains(&hash(target, incarnation, request))
    }
}
