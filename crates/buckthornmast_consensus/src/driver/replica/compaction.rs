//! Snapshots of the machine, and compaction of the log.

use std::sync::PoisonError;

use buckthornmast_types::{id, time::Clock};

use super::Replica;
use crate::{
    core::{Effect, Input},
    driver::Transport,
    machine::StateMachine,
};

/// Largest number of entries that stay in the log when it is compacted, so that a slow follower needs no snapshot.
const RETAINED_ENTRIES: u64 = 512;

impl<M, T, K> Replica<M, T, K>
where
    M: StateMachine,
    T: Transport<Command = M::Command>,
    K: Clock,
{
    pub(super) fn needs_snapshot(&self) -> bool {
        let last = self.core.snapshot();
        let covered = last.map_or(0, |snapshot| snapshot.position.index.0);
        let since = self.applied.0 - covered.min(self.applied.0);
        self.fault.is_none()
            && !self.is_compacting
            && self.applied >= self.next_snapshot
            && self.core.can_compact(self.applied)
            && self.disk.may_compact(self.clock.now())
            && (since >= self.snapshot_entries || self.is_log_oversized(since))
    }

    /// Returns whether the log file is too large and rewriting it would make it smaller.
    fn is_log_oversized(&self, since_snapshot: u64) -> bool {
        let log = self.disk.usage().log;
        let has_grown = log >= self.rewritten_log + self.limits.retained;
        log >= self.limits.log && (since_snapshot > 0 || has_grown)
    }

    pub(super) fn save_snapshot(&mut self, effects: &mut Vec<Effect<M::Command>>) {
        let machine = {
            let machine = self.shared.machine.read();
            machine.unwrap_or_else(PoisonError::into_inner).snapshot()
        };
        let input = Input::Compact {
            index: self.applied,
            machine,
            retained_entries: RETAINED_ENTRIES.min(self.snapshot_entries),
            retained_bytes: self.limits.retained,
        };
        let before = effects.len();
        self.core.step(self.clock.now(), input, effects);
        self.is_compacting = effects.len() > before;
        if !self.is_compacting {
            self.next_snapshot = id::Index(self.applied.0 + self.snapshot_entries);
            log::error!(step = "snapshot"; "no snapshot of the replicated state was taken and the log was not compacted: the snapshot would be too large");
        }
    }
}
