//! Moves per team.

use std::collections::BTreeMap;

use buckthornmast_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Kind of move as it is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Kind {
    /// Load.
    Load,
    /// Unload.
    Unload,
    /// Load that begins the shift of an artifact from one target to another.
    Shift,
    /// Unload that ends a shift. It is not counted, since its shift is.
    ShiftEnd,
}

/// Moves of one team since the controller started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Moves {
    /// Number of loads.
    pub loads: u64,
    /// Number of unloads.
    pub unloads: u64,
    /// Number of shifts.
    pub shifts: u64,
}

/// Moves of all teams.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Moves per team.
    pub teams: BTreeMap<id::Team, Moves>,
}

impl Counters {
    pub(crate) fn count(&mut self, team: &id::Team, kind: Kind) {
        let moves = self.teams.entry(team.clone()).or_default();
        match kind {
            Kind::Load => moves.loads += 1,
            Kind::Unload => moves.unloads += 1,
            Kind::Shift => moves.shifts += 1,
            Kind::ShiftEnd => {}
        }
    }
}
