//! Messages between instances.

use std::time::Duration;

use buckthornmast_consensus::{driver::ProposeError, message::Message};
use buckthornmast_controller::notebook::{Life, Page};
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

/// Report of a target, passed on by the instance that received it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Relayed {
    /// Whole report.
    Full {
        /// Report.
        report: Box<Report>,
        /// Milliseconds since the target sent it.
        age_ms: u64,
    },
    /// Newer report whose content has not changed.
    Brief {
        /// Target.
        target: id::Target,
        /// Start of the target.
        incarnation: id::Incarnation,
        /// Number of the report.
        sequence: u64,
        /// Content of the report.
        content: Content,
        /// Whether the target wants no new work.
        leaving: bool,
        /// Load.
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
    /// Targets whose content the sender lacks.
    Wanted(Vec<id::Target>),
    /// Demand at the sender.
    Demand(crate::demand::News),
    /// The sender lacks the demand at the receiver.
    DemandWanted,
    /// Intents that the quorum has, so that journals may forget them.
    Forget(Vec<id::Order>),
    /// Cache events of engines.
    Cache(Vec<crate::cache::Passed>),
}

/// Why a proposal has no answer.
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
            ProposeError::NotAppended => Self::NotAppended,
            ProposeError::Unknown => Self::Unknown,
        }
    }
}

/// Question of a candidate or holder to the leader of the log.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum LeaseAsk {
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

/// Answer to [`LeaseAsk`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum LeaseReply {
    /// Granted, with the answer of the replicated state.
    Granted(buckthornmast_state::leases::Granted),
    /// Renewed.
    Renewed,
    /// Another candidate holds the lease.
    Held,
    /// The token is no longer the domain's.
    Superseded,
    /// The receiver can't tell or does not lead.
    NotNow {
        /// Leader, if known.
        hint: Option<id::Instance>,
    },
}

/// Question to the journal of a candidate.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum JournalAsk {
    /// Record intents of the holder of a token.
    Record {
        /// Token.
        token: id::Token,
        /// Orders.
        orders: Vec<Order>,
    },
    /// Read everything for the holder of a token.
    Read {
        /// Token.
        token: id::Token,
    },
    /// Return the identity of the journal's life.
    Life,
    /// Declare the journal complete if this is still its life.
    DeclareClean {
        /// Life.
        life: Life,
    },
    /// Promise not to ask for the lease that has this token.
    Promise {
        /// Token.
        token: id::Token,
    },
}

/// Answer to [`JournalAsk`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum JournalReply {
    /// Whether it was done.
    Done(bool),
    /// Content.
    Page(Page),
    /// Life.
    Life(Life),
}

/// Call between instances.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Request {
    /// Propose a command to the replicated log.
    Propose {
        /// Command.
        command: Command,
        /// Time for it in milliseconds.
        timeout_ms: u64,
    },
    /// Return what brings a copy of the settings up to date.
    Follow {
        /// Revision of the copy.
        revision: id::Revision,
    },
    /// Return the history of a scope.
    History {
        /// Scope.
        scope: Scope,
    },
    /// Ask the leader of the log about a controller lease.
    Lease(LeaseAsk),
    /// Ask the journal of a candidate.
    Journal(JournalAsk),
    /// Return how long ago the settings in force were confirmed.
    Confirmed,
    /// Return what this instance knows for status and reports.
    Summary,
}

/// Answer to a [`Request`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Response {
    /// Answer to a proposal.
    Proposed(Result<Answer, Refusal>),
    /// What brings the copy up to date, if it is not.
    Followed(Option<Update>),
    /// History, if the receiver has one.
    History(Option<Vec<Entry>>),
    /// Answer about a controller lease.
    Lease(LeaseReply),
    /// Answer of a journal.
    Journal(JournalReply),
    /// Time since the settings were confirmed.
    Confirmed {
        /// Milliseconds.
        age_ms: u64,
    },
    /// Summary.
    Summary(Box<Summary>),
}

/// Returns milliseconds for a message.
pub fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
