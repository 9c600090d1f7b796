//! Plain service whose calls are not idempotent.

use std::collections::BTreeMap;

use serde::Serialize;

/// Plain service that counts its calls by idempotency key.
#[derive(Debug, Default, Serialize)]
pub struct Plain {
    /// Number of calls per idempotency key. Calls without a key are counted under an empty one.
    pub calls: BTreeMap<String, u64>,
    /// Total number of calls.
    pub total: u64,
}

impl Plain {
    /// Runs a call and returns its number.
    pub fn run(&mut self, key: &str) -> u64 {
        *self.calls.entry(key.to_owned()).or_default() += 1;
        self.total += 1;
        self.total
    }

    /// Returns the number of keys that were called more than once.
    pub fn repeated_keys(&self) -> u64 {
        self.calls
            .iter()
            .filter(|(key, count)| !key.is_empty() && **count > 1)
            .count() as u64
    }
}
