//! Messages between instances.

use std::time::Duration;

use buckthornmast_consensus::{driver::ProposeError, message::Message};
use buckthornmast_controller::journal::{Contents, Incarnation};
use buckthornmast_state::{
    machine::{Answer, Command},
    settings::{Entry, Scope, Update},
};
use buckthornmast_types::{
    id,
    order::Order,
    report::{Load, Report},
};
use serde::{Deserialize, Serialize};

use crate::{relay::Content, summary::Summary};

/// Report of a target, relayed by the instance that received it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Relayed {
    /// Full report.
    Full {
        /// Complete report.
        report: Box<Report>,
        /// Milliseconds since the target sent it.
        age_ms: u64,
    },
    /// Newer report with unchanged content.
    Brief {
        /// Target.
        target: id::Target,
        /// Incarnation of the target.
        incarnation: id::Incarnation,
        /// Sequence number of the report.
        sequence: u64,
        /// Hash of the fields that a brief omits.
        content: Content,
        /// Whether the target accepts no new work.
        leaving: bool,
        /// Load of the target.
        load: Load,
        /// Milliseconds since the target sent it.
        age_ms: u64,
    },
}

/// Message without an answer.
#[derive(Debug, Serialize, Deserialize)]
pub enum Notice {
    /// Message of the replicated log.
    Consensus(Message<Command>),
    /// Reports of targets.
    Reports(Vec<Relayed>),
    /// Targets whose full report the sender lacks.
    #[serde(rename = "Wanted")]
    ReportRequest(Vec<id::Target>),
    /// Demand at the sender.
    Demand(crate::demand::Update),
    /// The sender lacks the demand rows of the receiver.
    #[serde(rename = "DemandWanted")]
    DemandRequest,
    /// Intents that the quorum has committed, so that journals may forget them.
    Forget(Vec<id::Order>),
    /// Cache events of engines.
    Cache(Vec<crate::cache::Relayed>),
}

/// Reason why a proposal has no answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The receiver does not lead the log.
    NotLeader {
        /// Leader, if known.
        hint: Option<id::Instance>,
    },
    /// The command will never be committed.
    NotAppended,
    /// The command may still be committed.
    Unknown,
}

impl From<ProposeError> for Refusal {
    fn from(error: ProposeError) -> Self {
        match error {
            ProposeError::NotLeader { hint } => Self::NotLeader { hint },
            ProposeError::NotAppended | ProposeError::TooLarge { .. } => Self::NotAppended,
            ProposeError::Unknown => Self::Unknown,
        }
    }
}

/// Request of a candidate or holder to the leader of the log.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum LeaseRequest {
    /// Grant the lease.
    Grant {
        /// Failure domain.
        domain: id::Domain,
    },
    /// Renew the lease.
    Renew {
        /// Failure domain.
        domain: id::Domain,
        /// Token of the lease.
        token: id::Token,
    },
}

/// Answer to [`LeaseRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum LeaseReply {
    /// The lease was granted; contains the answer of the replicated state.
    Granted(buckthornmast_state::leases::GrantAnswer),
    /// The lease was renewed.
    Renewed,
    /// Another candidate holds the lease.
    Held,
    /// The domain has a newer token.
    Superseded,
    /// The receiver does not lead or cannot decide.
    NotNow {
        /// Leader, if known.
        hint: Option<id::Instance>,
    },
}

/// Request to the journal of a candidate.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum JournalRequest {
    /// Record the intents of the holder of a token.
    Record {
        /// Fencing token of the holder's lease.
        token: id::Token,
        /// Orders that the holder is about to send.
        orders: Vec<Order>,
    },
    /// Return all intents to the holder of a token.
    Read {
        /// Fencing token of the holder's lease.
        token: id::Token,
    },
    /// Return the incarnation of the journal.
    #[serde(rename = "Life")]
    Incarnation,
    /// Declare the journal complete if this is still its incarnation.
    DeclareClean {
        /// Expected incarnation of the journal.
        #[serde(rename = "life")]
        incarnation: Incarnation,
    },
    /// Promise not to request the lease that has this token.
    Promise {
        /// Fencing token of that lease.
        token: id::Token,
    },
}

/// Answer to [`JournalRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum JournalReply {
    /// Whether the request was executed.
    Done(bool),
    /// Contents of the journal.
    Page(Contents),
    /// Incarnation of the journal.
    #[serde(rename = "Life")]
    Incarnation(Incarnation),
}

/// Call between instances.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Request {
    /// Propose a command to the replicated log.
    Propose {
        /// Command to commit.
        command: Command,
        /// Maximum time for the receiver to commit, in milliseconds.
        timeout_ms: u64,
    },
    /// Return the update that brings a copy of the settings up to date.
    Follow {
        /// Revision of the copy.
        revision: id::Revision,
    },
    /// Return the history of a scope.
    History {
        /// Scope of the settings.
        scope: Scope,
    },
    /// Request to the leader of the log about a controller lease.
    Lease(LeaseRequest),
    /// Request to the journal of a candidate.
    Journal(JournalRequest),
    /// Return the confirmation age of the settings in force.
    Confirmed,
    /// Return the state of this instance for status and reports.
    Summary,
}

/// Answer to a [`Request`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Response {
    /// Answer to a proposal.
    Proposed(Result<Answer, Refusal>),
    /// Update for the copy, if it is out of date.
    Followed(Option<Update>),
    /// History, if the receiver has a replica.
    History(Option<Vec<Entry>>),
    /// Answer about a controller lease.
    Lease(LeaseReply),
    /// Answer of a journal.
    Journal(JournalReply),
    /// Confirmation age of the settings in force.
    Confirmed {
        /// Milliseconds since the settings were confirmed; the maximum if the receiver is still starting.
        age_ms: u64,
    },
    /// State of the receiver; empty while it is starting.
    Summary(Box<Summary>),
}

/// Returns a duration in milliseconds for a message.
pub fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
