//! What an instance sends of its collector to the instance that makes a report.

use buckthornmast_types::id;
use serde::{Deserialize, Serialize};

use crate::tier::Counts;

/// Windows of burn rates in milliseconds; the last column of a row is the objective's own window.
pub const WINDOWS_MS: [u64; 4] = [300_000, 3_600_000, 6 * 3_600_000, 3 * 86_400_000];

/// Number of window sums in a row: [`WINDOWS_MS`] and the objective's window.
pub const SUMS: usize = WINDOWS_MS.len() + 1;

/// Length of the buckets of series and usage in milliseconds.
pub const SLOT_MS: u64 = 900_000;

/// Slots that are kept: three days.
pub const SLOTS: u64 = 288;

/// Rows that an extract holds; the rest is added up per objective under [`OTHER`].
pub const MAX_ROWS: usize = 512;

/// Name of models that were added up.
pub const OTHER: &str = "(other)";

/// What requests are counted by.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// Team.
    pub team: id::Team,
    /// Objective.
    pub objective: String,
    /// Model or adapter.
    pub model: String,
    /// Target that answered last, if any.
    pub target: Option<id::Target>,
}

/// Window sums of one key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Key.
    pub key: Key,
    /// Sums over [`WINDOWS_MS`] and the objective's window.
    pub sums: [Counts; SUMS],
}

/// Recorded values of a histogram in milliseconds and how often each occurred.
pub type Values = Vec<(u64, u64)>;

/// Times of the last hour.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Times {
    /// Team.
    pub team: id::Team,
    /// Objective.
    pub objective: String,
    /// Times to the first token.
    pub first_token: Values,
    /// Times to the end.
    pub total: Values,
}

/// Requests of one slot.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// Slot.
    pub slot: u64,
    /// Team.
    pub team: id::Team,
    /// Objective.
    pub objective: String,
    /// Policy in force when the requests ended.
    pub policy: String,
    /// Requests.
    pub counts: Counts,
}

/// Loads, unloads and shifts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Moves {
    /// Loads.
    pub loads: u64,
    /// Unloads.
    pub unloads: u64,
    /// Shifts.
    pub shifts: u64,
}

impl Moves {
    /// Adds other moves.
    pub fn add(&mut self, other: Self) {
        self.loads += other.loads;
        self.unloads += other.unloads;
        self.shifts += other.shifts;
    }

    /// Returns all moves.
    pub fn total(&self) -> u64 {
        self.loads + self.unloads + self.shifts
    }
}

/// Use of accelerators and moves.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Accelerators used, times the milliseconds of use.
    pub accelerator_ms: u64,
    /// Milliseconds in which a controller measured the use.
    pub observed_ms: u64,
    /// Moves of the controller.
    pub moves: Moves,
    /// Moves that the shadow policy would have made.
    pub shadow: Moves,
}

impl Usage {
    /// Adds other usage.
    pub fn add(&mut self, other: Self) {
        self.accelerator_ms += other.accelerator_ms;
        self.observed_ms += other.observed_ms;
        self.moves.add(other.moves);
        self.shadow.add(other.shadow);
    }
}

/// Usage of one slot in the domain of the instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Use {
    /// Slot.
    pub slot: u64,
    /// Team.
    pub team: id::Team,
    /// Policy in force.
    pub policy: String,
    /// Shadow policy, if one was named.
    pub shadow: Option<String>,
    /// Usage.
    pub usage: Usage,
}

/// Policy that the settings named from a revision on.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Period {
    /// Team.
    pub team: id::Team,
    /// Revision of all settings at which an instance first saw it.
    pub revision: u64,
    /// When the instance saw it.
    pub since_ms: u64,
    /// Policy.
    pub policy: String,
    /// Shadow policy.
    pub shadow: Option<String>,
}

/// Extract of a collector.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Extract {
    /// When the collector started; earlier samples are lost.
    pub started_ms: u64,
    /// When the extract was made, on the clock of its instance.
    pub at_ms: u64,
    /// Since when each window is complete on this instance.
    pub since_ms: [u64; SUMS],
    /// Window sums; keys without a request in any window are left out.
    pub rows: Vec<Row>,
    /// Times of the last hour.
    pub times: Vec<Times>,
    /// Requests per slot.
    pub points: Vec<Point>,
    /// Usage per slot.
    pub uses: Vec<Use>,
    /// Policies.
    pub periods: Vec<Period>,
    /// Samples that found no room in the bounded tables.
    pub dropped: u64,
}
