//! Data of a collector that an instance sends to the instance that computes a report.

use buckthornmast_types::id;
use serde::{Deserialize, Serialize};

use crate::tier::Counts;

/// Windows of burn rates in milliseconds. A row has one more window, the objective's own, in its last column.
pub const WINDOWS_MS: [u64; 4] = [300_000, 3_600_000, 6 * 3_600_000, 3 * 86_400_000];

/// Number of windows in a row: [`WINDOWS_MS`] and the objective's window.
pub const WINDOW_COUNT: usize = WINDOWS_MS.len() + 1;

/// Length of the slots of time series and usage in milliseconds.
pub const SLOT_MS: u64 = 900_000;

/// Number of slots that are retained: three days.
pub const MAX_SLOTS: u64 = 288;

/// Maximum number of rows in an extract. The remaining rows are summed per objective under [`OTHER_MODEL`].
pub const MAX_ROWS: usize = 512;

/// Model name of rows that hold the sums over several models and targets of an objective.
pub const OTHER_MODEL: &str = "(other)";

/// Attributes by which requests are counted.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// Team.
    pub team: id::Team,
    /// Objective.
    pub objective: String,
    /// Model or adapter.
    pub model: String,
    /// Target that answered last, if any did.
    pub target: Option<id::Target>,
}

/// Window sums of one key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Key.
    pub key: Key,
    /// Sums over [`WINDOWS_MS`] and the objective's window.
    pub sums: [Counts; WINDOW_COUNT],
}

/// Recorded values of a histogram in milliseconds, each with its number of occurrences.
pub type Values = Vec<(u64, u64)>;

/// Latencies of one objective over the last hour.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Latencies {
    /// Team.
    pub team: id::Team,
    /// Objective.
    pub objective: String,
    /// Times to the first token.
    pub first_token: Values,
    /// Times to the end of the answer.
    pub total: Values,
}

/// Requests of one slot, objective and policy.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// Number of the slot since the Unix epoch.
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

/// Counters of loads, unloads and shifts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Moves {
    /// Copies loaded, other than by a shift.
    pub loads: u64,
    /// Copies unloaded, other than by a shift.
    pub unloads: u64,
    /// Copies shifted from one target to another.
    pub shifts: u64,
}

impl Moves {
    /// Adds the moves of another counter.
    pub fn add(&mut self, other: Self) {
        self.loads += other.loads;
        self.unloads += other.unloads;
        self.shifts += other.shifts;
    }

    /// Returns the number of all moves.
    pub fn total(&self) -> u64 {
        self.loads + self.unloads + self.shifts
    }
}

/// Usage of accelerators, and moves.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Accelerators in use, multiplied by the milliseconds of their use.
    pub accelerator_ms: u64,
    /// Milliseconds over which a controller measured the usage.
    pub observed_ms: u64,
    /// Moves of the controller.
    pub moves: Moves,
    /// Moves that the shadow policy would have made.
    pub shadow: Moves,
}

impl Usage {
    /// Adds usage of another slot or domain.
    pub fn add(&mut self, other: Self) {
        self.accelerator_ms += other.accelerator_ms;
        self.observed_ms += other.observed_ms;
        self.moves.add(other.moves);
        self.shadow.add(other.shadow);
    }
}

/// Usage of one slot in the domain of the instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SlotUsage {
    /// Number of the slot since the Unix epoch.
    pub slot: u64,
    /// Team.
    pub team: id::Team,
    /// Policy in force.
    pub policy: String,
    /// Shadow policy, if one was configured.
    pub shadow: Option<String>,
    /// Usage.
    pub usage: Usage,
}

/// Policy that the settings name from a revision on.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Period {
    /// Team.
    pub team: id::Team,
    /// Revision of the team's settings at which the instance first saw the policy.
    pub revision: u64,
    /// Time at which the instance first saw the policy.
    pub since_ms: u64,
    /// Policy.
    pub policy: String,
    /// Shadow policy.
    pub shadow: Option<String>,
}

/// Extract of a collector.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Extract {
    /// Start time of the collector. Earlier samples are lost.
    pub started_ms: u64,
    /// Time of the extract on the clock of its instance.
    pub at_ms: u64,
    /// Time since which each window is complete on this instance.
    pub since_ms: [u64; WINDOW_COUNT],
    /// Window sums. Keys without a request in any window are omitted.
    pub rows: Vec<Row>,
    /// Latencies of the last hour.
    pub times: Vec<Latencies>,
    /// Requests per slot.
    pub points: Vec<Point>,
    /// Usage per slot.
    pub uses: Vec<SlotUsage>,
    /// Policies over time.
    pub periods: Vec<Period>,
    /// Number of samples that were dropped because the bounded tables were full.
    pub dropped: u64,
}
