//! State of the data folder, as the writes to it have shown.

use std::time::Duration;

use buckthornmast_storage::store::{Usage, WriteError};
use buckthornmast_types::time::Point;

/// Pause after a refused write until the next attempt.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Pause after a refused compaction until the next attempt. Appends go on meanwhile, if there is room for them.
const COMPACTION_PAUSE: Duration = Duration::from_secs(5);

/// Refused writes since the last one that succeeded.
struct Refusal {
    reason: String,
    since: Point,
    retry_at: Point,
}

/// State of the data folder.
#[derive(Default)]
pub(super) struct Disk {
    usage: Usage,
    refusal: Option<Refusal>,
    refused_writes: u64,
    // Time of the next attempt after a compaction was refused.
    compact_at: Option<Point>,
}

impl Disk {
    /// Returns the state of a folder that has just been opened.
    pub(super) fn new(usage: Usage) -> Self {
        Self {
            usage,
            ..Self::default()
        }
    }

    pub(super) fn usage(&self) -> Usage {
        self.usage
    }

    /// Returns the number of refused writes.
    pub(super) fn refused_writes(&self) -> u64 {
        self.refused_writes
    }

    /// Returns why writes are refused, if they are.
    pub(super) fn refusal(&self) -> Option<&str> {
        self.refusal.as_ref().map(|refusal| refusal.reason.as_str())
    }

    /// Returns whether a write may be tried now.
    pub(super) fn may_write(&self, now: Point) -> bool {
        let refusal = self.refusal.as_ref();
        refusal.is_none_or(|refusal| now >= refusal.retry_at)
    }

    /// Returns whether a compaction may be tried now.
    pub(super) fn may_compact(&self, now: Point) -> bool {
        self.compact_at.is_none_or(|at| now >= at)
    }

    /// Records a refused compaction.
    pub(super) fn refuse_compaction(&mut self, error: &WriteError, now: Point) {
        self.refused_writes += 1;
        if self.compact_at.replace(now + COMPACTION_PAUSE).is_none() {
            log::error!(
                step = "compact",
                log_bytes = self.usage.log,
                snapshot_bytes = self.usage.snapshot;
                "the data folder has no room to compact the log, trying again until it has: {error}"
            );
        }
    }

    /// Records a successful compaction.
    pub(super) fn accept_compaction(&mut self) {
        if self.compact_at.take().is_some() {
            log::info!(
                step = "compact",
                log_bytes = self.usage.log,
                snapshot_bytes = self.usage.snapshot;
                "the log is compacted again"
            );
        }
    }

    /// Sets the sizes of the files after a write.
    pub(super) fn set_usage(&mut self, usage: Usage) {
        self.usage = usage;
    }

    /// Records a refused write. Returns whether the one before was accepted.
    pub(super) fn refuse(&mut self, error: &WriteError, now: Point) -> bool {
        self.refused_writes += 1;
        let before = self.refusal.take();
        let is_first = before.is_none();
        if is_first {
            log::error!(
                step = "persist",
                log_bytes = self.usage.log,
                snapshot_bytes = self.usage.snapshot;
                "the data folder refuses writes, so this replica neither votes nor acknowledges entries until it accepts them: {error}"
            );
        }
        self.refusal = Some(Refusal {
            reason: error.to_string(),
            since: before.map_or(now, |refusal| refusal.since),
            retry_at: now + RETRY_PAUSE,
        });
        is_first
    }

    /// Records a successful write. Returns whether the one before was refused.
    pub(super) fn accept(&mut self, now: Point) -> bool {
        let Some(refusal) = self.refusal.take() else {
            return false;
        };
        log::info!(
            step = "persist",
            refused_ms = now.since(refusal.since).as_millis(),
            refused_writes = self.refused_writes,
            log_bytes = self.usage.log,
            snapshot_bytes = self.usage.snapshot;
            "the data folder accepts writes again"
        );
        true
    }
}
