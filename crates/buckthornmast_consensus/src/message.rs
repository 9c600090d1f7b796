//! Entries of the log and messages between replicas.

use buckthornmast_types::{id, time::Point};
use serde::{Deserialize, Serialize};

use crate::machine::LogTime;

/// Replica as the voter set names it: an instance with a certain disk.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Instance.
    pub instance: id::Instance,
    /// Identity of its data folder.
    pub disk: id::Disk,
}

/// Position in the log.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// Term; the first field, so that positions compare as the election rule needs it.
    pub term: id::Term,
    /// Index.
    pub index: id::Index,
}

/// Content of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Payload<C> {
    /// First entry of a term.
    Noop,
    /// Command for the machine.
    Command(C),
    /// New voter set; in effect from the moment it is appended.
    Voters(Vec<Member>),
}

/// Entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry<C> {
    /// Position.
    pub position: Position,
    /// Log time.
    pub at: LogTime,
    /// Approximate encoded size in bytes, for flow control.
    pub size: u32,
    /// Content.
    pub payload: Payload<C>,
}

/// Message between two replicas.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Message<C> {
    /// Term of the sender; for a pre-vote the term that it would start.
    pub term: id::Term,
    /// Disk identity of the sender.
    pub disk: id::Disk,
    /// Content.
    pub body: Body<C>,
}

/// Highest term and index that a message may carry, so that counting on from them can't overflow.
const MAX_NUMBER: u64 = u64::MAX / 2;

impl<C> Message<C> {
    /// Returns whether all numbers are below the bound that no working replica reaches.
    pub fn is_plausible(&self) -> bool {
        let index = match &self.body {
            Body::Vote { last, .. } => last.index,
            Body::Voted { settled, .. } => settled.index,
            Body::Append { prev, commit, .. } => prev.index.max(*commit),
            Body::Appended { index, .. } | Body::Received { index, .. } => *index,
            Body::Chunk { position, .. } => position.index,
            Body::Probe | Body::Probed { .. } => id::Index(0),
        };
        self.term.0 <= MAX_NUMBER && index.0 <= MAX_NUMBER
    }
}

/// Content of a message.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Body<C> {
    /// Asks for a vote.
    Vote {
        /// Whether this only asks if the vote would be given.
        pre: bool,
        /// Disk identity that the vote is asked from. A replica with another identity doesn't answer.
        voter: id::Disk,
        /// Last position of the candidate's log.
        last: Position,
        /// First voter set, if the candidate wants to found the log; else empty.
        founding: Vec<Member>,
    },
    /// Answers a request for a vote.
    Voted {
        /// Whether this answers a pre-vote.
        pre: bool,
        /// Term of the request.
        asked: id::Term,
        /// Whether the vote is given.
        granted: bool,
        /// Position of a voter set that is committed.
        settled: Position,
    },
    /// Appends entries; without entries a heartbeat.
    Append {
        /// Time of sending on the leader's clock.
        sent: Point,
        /// Position before the first entry.
        prev: Position,
        /// Highest committed index.
        commit: id::Index,
        /// Entries.
        entries: Vec<Entry<C>>,
    },
    /// Answers an append.
    Appended {
        /// Time of sending as in the append.
        sent: Point,
        /// Whether the entries follow on from the log.
        accepted: bool,
        /// Highest index known to match if accepted, else the index to try after.
        index: id::Index,
    },
    /// Part of a snapshot.
    Chunk {
        /// Time of sending on the leader's clock.
        sent: Point,
        /// Position that the snapshot covers.
        position: Position,
        /// Size of the whole snapshot.
        total: u64,
        /// Offset of this part.
        offset: u64,
        /// Bytes.
        data: Vec<u8>,
    },
    /// Answers a part of a snapshot.
    Received {
        /// Time of sending as in the part.
        sent: Point,
        /// Index that the snapshot covers.
        index: id::Index,
        /// Bytes received without a gap; at the end the whole size.
        offset: u64,
        /// Whether the replica has everything up to the index.
        done: bool,
    },
    /// Asks whether the folder of the other replica is empty.
    Probe,
    /// Answers a probe.
    Probed {
        /// Whether the folder is empty and was never bootstrapped.
        fresh: bool,
    },
}
