//! Status that a replica publishes.

use buckthornmast_types::{id, time::Point};
use serde::{Deserialize, Serialize};

use crate::message::Member;

/// Role of a replica.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Receives the log; has no vote, or a vote in a voter set that is not settled yet.
    #[default]
    Learner,
    /// Voter of a settled set that follows a leader or has none.
    Follower,
    /// Voter that requests votes.
    Candidate,
    /// Leader of its term.
    Leader,
    /// Neither votes nor acknowledges, since a write failed or an invariant was violated.
    Stopped,
}

/// State of a replica.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Disk identity of the data folder.
    pub disk: Option<id::Disk>,
    /// Role.
    pub role: Role,
    /// Current term.
    pub term: id::Term,
    /// Leader of the term, if known.
    pub leader: Option<id::Instance>,
    /// Last index of the log.
    pub last: id::Index,
    /// Commit index.
    pub commit: id::Index,
    /// Highest index applied to the machine.
    pub applied: id::Index,
    /// Last index covered by the snapshot.
    pub snapshot: id::Index,
    /// Whether the voter set in effect is durably known to be committed.
    pub settled: bool,
    /// Voter set in effect.
    pub voters: Vec<Member>,
    /// Time until which this leader may answer reads without contacting a quorum.
    pub leader_lease: Option<Point>,
    /// Reason why the replica neither votes nor acknowledges.
    pub fault: Option<String>,
    /// Damage because of which the folder was reset when the replica was started.
    pub damage: Option<String>,
    /// Reason why the data folder refuses writes. Until it accepts them again, the replica casts no votes and
    /// acknowledges no entries.
    pub refusal: Option<String>,
    /// Number of writes that the data folder has refused since the replica was started.
    pub refused_writes: u64,
    /// Size of the log file in bytes.
    pub log_bytes: u64,
    /// Size of the snapshot file in bytes.
    pub snapshot_bytes: u64,
}
