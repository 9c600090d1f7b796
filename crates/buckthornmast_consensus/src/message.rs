//! Log entries and messages between replicas.

use buckthornmast_types::{byte_vector, id, time::Point};
use serde::{Deserialize, Serialize};

use crate::machine::LogTime;

/// Replica as listed in a voter set: an instance together with its disk identity.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Instance.
    pub instance: id::Instance,
    /// Identity of its data folder.
    pub disk: id::Disk,
}

/// Position of an entry in the log.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// Term. It is the first field, so that positions compare as the election rule requires.
    pub term: id::Term,
    /// Index: 1 for the first entry, 0 for the position before it.
    pub index: id::Index,
}

/// Content of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Payload<C> {
    /// First entry of a term.
    Noop,
    /// Command for the machine.
    Command(C),
    /// New voter set, which is in effect as soon as it is appended.
    Voters(Vec<Member>),
}

/// Entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry<C> {
    /// Position.
    pub position: Position,
    /// Log time, at least that of the entry before.
    pub at: LogTime,
    /// Encoded size of the command in bytes, for flow control and the snapshot policy; 0 for other entries.
    pub size: u32,
    /// Content.
    pub payload: Payload<C>,
}

/// Message between two replicas.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Message<C> {
    /// Term of the sender, or for a pre-vote the term that the candidate would start.
    pub term: id::Term,
    /// Disk identity of the sender.
    pub disk: id::Disk,
    /// Content.
    pub body: Body<C>,
}

/// Highest term and index that a message may carry, so that incrementing them can't overflow.
const MAX_TERM_OR_INDEX: u64 = u64::MAX / 2;

impl<C> Message<C> {
    /// Returns whether the term and index are within a bound that no correct replica exceeds.
    pub fn is_plausible(&self) -> bool {
        let index = match &self.body {
            Body::Vote { last, .. } => last.index,
            Body::Voted { settled, .. } => settled.index,
            Body::Append { prev, commit, .. } => prev.index.max(*commit),
            Body::Appended { index, .. } | Body::Received { index, .. } => *index,
            Body::Chunk { position, .. } => position.index,
            Body::Probe | Body::Probed { .. } => id::Index(0),
        };
        self.term.0 <= MAX_TERM_OR_INDEX && index.0 <= MAX_TERM_OR_INDEX
    }
}

/// Content of a message.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Body<C> {
    /// Requests a vote.
    Vote {
        /// Whether this is a pre-vote, which asks whether the vote would be granted.
        pre: bool,
        /// Disk identity of the requested voter. A replica with another identity doesn't answer.
        voter: id::Disk,
        /// Last position of the candidate's log.
        last: Position,
        /// First voter set if the candidate bootstraps the log, otherwise empty.
        founding: Vec<Member>,
    },
    /// Answers a vote request.
    Voted {
        /// Whether this answers a pre-vote.
        pre: bool,
        /// Term of the request.
        asked: id::Term,
        /// Whether the vote is granted.
        granted: bool,
        /// Position of the oldest voter set in effect. It is committed, unless it is the first set of the log.
        settled: Position,
    },
    /// Appends entries; a heartbeat if there are none.
    Append {
        /// Send time on the leader's clock.
        sent: Point,
        /// Position before the first entry.
        prev: Position,
        /// Commit index of the leader.
        commit: id::Index,
        /// Entries, without a gap.
        entries: Vec<Entry<C>>,
    },
    /// Answers an append.
    Appended {
        /// Send time of the append.
        sent: Point,
        /// Whether the log contains the previous position and the sender's term is current.
        accepted: bool,
        /// Highest index that matches if accepted, otherwise the index after which the leader should retry.
        index: id::Index,
    },
    /// Chunk of a snapshot.
    Chunk {
        /// Send time on the leader's clock.
        sent: Point,
        /// Position that the snapshot covers.
        position: Position,
        /// Size of the snapshot in bytes.
        total: u64,
        /// Offset of this chunk.
        offset: u64,
        /// Bytes of the snapshot from the offset on.
        #[serde(with = "byte_vector")]
        data: Vec<u8>,
    },
    /// Answers a chunk of a snapshot.
    Received {
        /// Send time of the chunk.
        sent: Point,
        /// Index that the snapshot covers.
        index: id::Index,
        /// Contiguous bytes received; the total size once the snapshot is complete.
        offset: u64,
        /// Whether the replica durably has the log up to the index.
        done: bool,
    },
    /// Asks whether the data folder of the receiver is empty.
    Probe,
    /// Answers a probe.
    Probed {
        /// Whether the data folder is empty and was never bootstrapped.
        fresh: bool,
    },
}
