//! What a replica says about itself.

use buckthornmast_types::{id, time::Point};
use serde::{Deserialize, Serialize};

use crate::message::Member;

/// Role of a replica.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Receives the log and has no vote, or one in a voter set that is not settled yet.
    #[default]
    Learner,
    /// Voter of a settled set that follows a leader or waits for one.
    Follower,
    /// Voter that asks for votes.
    Candidate,
    /// Leader of its term.
    Leader,
    /// Neither votes nor acknowledges after a failed write.
    Stopped,
}

/// State of a replica.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Identity of the data folder.
    pub disk: Option<id::Disk>,
    /// Role.
    pub role: Role,
    /// Current term.
    pub term: id::Term,
    /// Leader of the term, if known.
    pub leader: Option<id::Instance>,
    /// Last index of the log.
    pub last: id::Index,
    /// Highest committed index.
    pub commit: id::Index,
    /// Highest index applied to the machine.
    pub applied: id::Index,
    /// Last index covered by the snapshot.
    pub snapshot: id::Index,
    /// Whether the voter set in effect is known to be committed, and durably so.
    pub settled: bool,
    /// Voter set in effect.
    pub voters: Vec<Member>,
    /// Until when this leader may answer without a new quorum round.
    pub leader_lease: Option<Point>,
    /// Why the replica neither votes nor acknowledges.
    pub fault: Option<String>,
    /// Why the folder was given up when the replica was started.
    pub damage: Option<String>,
}
