//! Buckets of equal length with counts per key.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Requests by outcome.
///
/// Requests that a caller abandoned count against the objective: most callers that disconnect have waited too long,
/// and without these requests a slow service would look better than it is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "[u64; 5]", into = "[u64; 5]")]
pub struct Counts {
    /// All requests.
    pub total: u64,
    /// Answered within the deadline.
    pub good: u64,
    /// Refused without being run.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Abandoned by the caller.
    pub abandoned: u64,
}

impl From<[u64; 5]> for Counts {
    fn from([total, good, refused, failed, abandoned]: [u64; 5]) -> Self {
        Self {
            total,
            good,
            refused,
            failed,
            abandoned,
        }
    }
}

impl From<Counts> for [u64; 5] {
    fn from(counts: Counts) -> Self {
        [
            counts.total,
            counts.good,
            counts.refused,
            counts.failed,
            counts.abandoned,
        ]
    }
}

impl Counts {
    /// Adds the counts of another key or bucket.
    pub fn add(&mut self, other: Self) {
        self.total += other.total;
        self.good += other.good;
        self.refused += other.refused;
        self.failed += other.failed;
        self.abandoned += other.abandoned;
    }

    /// Returns the number of requests that missed the objective.
    pub fn missed(&self) -> u64 {
        self.total.saturating_sub(self.good)
    }

    /// Returns the number of requests that were answered after their deadline.
    pub fn late(&self) -> u64 {
        self.missed()
            .saturating_sub(self.refused + self.failed + self.abandoned)
    }
}

/// Counts of one key in one bucket. Kept to 24 bytes, since there are hundreds of thousands.
#[derive(Debug, Clone, Copy)]
struct Cell {
    key: u32,
    counts: [u32; 5],
}

/// Buckets of equal length, bounded in number and in the total number of cells.
#[derive(Debug)]
pub struct Tier {
    length_ms: u64,
    max_buckets: u64,
    max_cells: usize,
    cells: usize,
    buckets: BTreeMap<u64, Vec<Cell>>,
    /// Index of the first bucket of which no counts were evicted.
    first_complete: u64,
}

impl Tier {
    /// Returns an empty tier that retains at most `max_buckets` buckets and `max_cells` cells, each with the counts of
    /// one key in one bucket.
    pub fn new(length_ms: u64, max_buckets: u64, max_cells: usize) -> Self {
        Self {
            length_ms,
            max_buckets,
            max_cells,
            cells: 0,
            buckets: BTreeMap::new(),
            first_complete: 0,
        }
    }

    /// Adds counts to a key in the bucket of the current time.
    pub(crate) fn record(&mut self, now_ms: u64, key: u32, counts: [u32; 5]) {
        let index = now_ms / self.length_ms;
        let bucket = self.buckets.entry(index).or_default();
        match bucket.binary_search_by_key(&key, |cell| cell.key) {
            Ok(at) => {
                for (sum, count) in bucket[at].counts.iter_mut().zip(counts) {
                    *sum = sum.saturating_add(count);
                }
            }
            Err(at) => {
                bucket.insert(at, Cell { key, counts });
                self.cells += 1;
            }
        }
        self.evict(index);
    }

    /// Evicts the oldest buckets beyond the bounds. The newest bucket is always retained.
    fn evict(&mut self, newest: u64) {
        while let Some((oldest, bucket)) = self.buckets.first_key_value() {
            let is_expired = oldest + self.max_buckets <= newest;
            let is_over_limit = self.cells > self.max_cells && self.buckets.len() > 1;
            if !is_expired && !is_over_limit {
                break;
            }
            self.cells -= bucket.len();
            self.first_complete = self.first_complete.max(oldest + 1);
            self.buckets.pop_first();
        }
    }

    /// Returns the start time of the first bucket of which no counts were evicted; 0 before any eviction.
    pub fn complete_since_ms(&self) -> u64 {
        self.first_complete * self.length_ms
    }

    /// Returns the longest window that the tier covers.
    pub fn span_ms(&self) -> u64 {
        self.max_buckets * self.length_ms
    }

    /// Returns the number of stored cells.
    pub fn cells(&self) -> usize {
        self.cells
    }

    /// Calls `add` with the counts of each key in the last `window_ms`.
    ///
    /// The current bucket counts as a full one, so the window is shorter by at most one bucket.
    pub(crate) fn sum(&self, now_ms: u64, window_ms: u64, mut add: impl FnMut(u32, Counts)) {
        let last = now_ms / self.length_ms;
        let first = (last + 1).saturating_sub(window_ms.div_ceil(self.length_ms));
        for cell in self
            .buckets
            .range(first..=last)
            .flat_map(|(_, bucket)| bucket)
        {
            add(cell.key, Counts::from(cell.counts.map(u64::from)));
        }
    }
}
