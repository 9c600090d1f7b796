//! Buckets of equal length with counts per key.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Requests by how they ended.
///
/// Requests that a caller abandoned count against the objective, since most callers that give up have
/// waited too long, and leaving them out would flatter a slow service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "[u64; 5]", into = "[u64; 5]")]
pub struct Counts {
    /// All requests.
    pub total: u64,
    /// Answered within the deadline.
    pub good: u64,
    /// Refused at once.
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
    fn from(c: Counts) -> Self {
        [c.total, c.good, c.refused, c.failed, c.abandoned]
    }
}

impl Counts {
    /// Adds other counts.
    pub fn add(&mut self, other: Self) {
        self.total += other.total;
        self.good += other.good;
        self.refused += other.refused;
        self.failed += other.failed;
        self.abandoned += other.abandoned;
    }

    /// Returns the requests that missed the objective.
    pub fn bad(&self) -> u64 {
        self.total.saturating_sub(self.good)
    }

    /// Returns the requests that were answered too late.
    pub fn late(&self) -> u64 {
        self.bad()
            .saturating_sub(self.refused + self.failed + self.abandoned)
    }
}

/// Counts of one key in one bucket: 24 bytes, since there are many.
#[derive(Debug, Clone, Copy)]
struct Cell {
    key: u32,
    counts: [u32; 5],
}

/// Buckets of equal length.
#[derive(Debug)]
pub struct Tier {
    length_ms: u64,
    kept: u64,
    max_cells: usize,
    cells: usize,
    buckets: BTreeMap<u64, Vec<Cell>>,
    floor: u64,
}

impl Tier {
    /// Returns an empty tier that keeps `kept` buckets and at most `max_cells` counts.
    pub fn new(length_ms: u64, kept: u64, max_cells: usize) -> Self {
        Self {
            length_ms,
            kept,
            max_cells,
            cells: 0,
            buckets: BTreeMap::new(),
            floor: 0,
        }
    }

    /// Adds a request of a key.
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

    /// Drops the oldest buckets beyond the bounds; the newest one always stays.
    fn evict(&mut self, newest: u64) {
        while let Some((oldest, bucket)) = self.buckets.first_key_value() {
            let is_old = oldest + self.kept <= newest;
            let is_over = self.cells > self.max_cells && self.buckets.len() > 1;
            if !is_old && !is_over {
                break;
            }
            self.cells -= bucket.len();
            self.floor = self.floor.max(oldest + 1);
            self.buckets.pop_first();
        }
    }

    /// Returns the time since which the buckets are complete, as far as eviction is concerned.
    pub fn floor_ms(&self) -> u64 {
        self.floor * self.length_ms
    }

    /// Returns the longest window that the tier can hold.
    pub fn span_ms(&self) -> u64 {
        self.kept * self.length_ms
    }

    /// Returns the number of counts held.
    pub fn cells(&self) -> usize {
        self.cells
    }

    /// Calls `add` with the counts of each key in the last `window_ms`.
    ///
    /// The bucket of the moment counts as whole, so that the window is at most one bucket shorter.
    pub(crate) fn sum(&self, now_ms: u64, window_ms: u64, mut add: impl FnMut(u32, Counts)) {
        let last = now_ms / self.length_ms;
        let first = (last + 1).saturating_sub(window_ms.div_ceil(self.length_ms));
        for cell in self.buckets.range(first..=last).flat_map(|(_, b)| b) {
            add(cell.key, Counts::from(cell.counts.map(u64::from)));
        }
    }
}
