//! Messages between instances.
//!
//! The instance that opens a connection to an instance of the core introduces itself. It is then sent the full state
//! of that instance, followed by updates.
//!
//! Messages are encoded by position and exchanged between processes of different builds, so the order of variants and
//! fields is part of the format. Fields may be added at the end of a variant: an older build passes over them, and a newer
//! one reads zeros, which stand for nothing, where an older build has sent none.

use std::time::Duration;

use buckthornmast_consensus::message::Message;
use buckthornmast_discovery::roster::{Member, Sighting};
use buckthornmast_fleet::{announcement::Resident, registry::Update, version::Version};
use buckthornmast_limit::{
    account::{self, Answer},
    statement,
};
use buckthornmast_origin::{
    attestation::Variant,
    history::Sole,
    lease::Content,
    record::{self, Key, Mark, Record},
};
use buckthornmast_quarantine::{
    ledger::{Evidence, Notice},
    part,
};
use buckthornmast_quota::credit;
use buckthornmast_routes::register::{Command, Revision, Text};
use buckthornmast_supply::{
    demand::{Item, Row},
    occupancy,
    permits::{Permit, Request},
    stray::Stray,
};
use buckthornmast_types::{id, time::Point};
use buckthornmast_way::way::Way;
use serde::{Deserialize, Serialize};

/// Message to an instance of the core, from the instance that opened the connection.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Upstream {
    /// Introduces an entry instance.
    ///
    /// At the end, how other entry instances open tunnels through it. Older builds state none, and understand no
    /// [`Downstream::Ways`].
    Entry(id::Instance, Option<Way>),
    /// Introduces an instance of the core.
    Core(Member),
    /// Carries a message of the replicated log.
    Log(Box<Message<Command>>),
    /// Acknowledges an update about a target.
    #[serde(rename = "Noted")]
    Acknowledge {
        /// Target.
        target: id::Target,
        /// Incarnation that the update was about.
        #[serde(rename = "born")]
        incarnation: id::Incarnation,
    },
    /// Reports the demand since the last report.
    ///
    /// At the end, the changes of the sender's requests at targets since the last report. Older builds send none.
    Demand(Vec<Row>, Vec<occupancy::Row>),
    /// Requests a copy of a model or an adapter from the leader.
    #[serde(rename = "Want")]
    CopyRequest {
        /// Number of the request.
        number: u64,
        /// Model or adapter.
        item: Item,
    },
    /// Requests a permit to send a prompt to a target from the leader.
    #[serde(rename = "Turn")]
    PermitRequest {
        /// Number of the request.
        number: u64,
        /// Model or adapter, length and deadline of the prompt.
        #[serde(rename = "ask")]
        request: Request,
    },
    /// Reports that a target with models refuses connections.
    #[serde(rename = "Down")]
    Unreachable {
        /// Target.
        target: id::Target,
        /// Incarnation.
        #[serde(rename = "born")]
        incarnation: id::Incarnation,
    },
    /// Cancels a permit request.
    #[serde(rename = "Leave")]
    CancelPermit {
        /// Number of the request.
        number: u64,
    },
    /// Reports a request that its target was beginning to answer when it ended.
    Crash(Evidence),
    /// Reports prompt parts that were blamed for crashes, and on which a target answers.
    Progress(part::Set),
    /// Reports the quarantines that an entry instance knows, which an instance of the core may have lost.
    Quarantines(Vec<Notice>),
    /// Reports what a target states about its limit to the leader.
    Limit(statement::Report),
    /// Requests a grant from the leader to send a request to a target with a limit.
    GrantRequest {
        /// Number of the request.
        number: u64,
        /// Targets and wait.
        request: account::Request,
    },
    /// Reports which versions began streams.
    Origins(Vec<Record>),
    /// Asks which version began a stream.
    OriginRequest {
        /// Number of the request.
        number: u64,
        /// Stream, or none if its caller names none.
        key: Key,
        /// Service of the stream. Older builds name none, and need no answer about it.
        service: record::Service,
    },
    /// Asks the leader for the newest version of the routes. Only sent to instances that have stated
    /// [`UNDERSTANDS_CONFIRMATIONS`].
    ConfirmRequest {
        /// Number of the request.
        number: u64,
    },
    /// Claims credit from the leader.
    Credit(credit::Claim),
    /// Asks for a copy of what the receiver attests. This and the following are only sent to instances that have stated
    /// [`UNDERSTANDS_LEASES`].
    LeaseRequest {
        /// Time by the clock of the sender, for the answer.
        asked_at: Point,
    },
    /// Withdraws what contradicts a version from the copy that the receiver keeps of the sender.
    Withdrawal {
        /// Number of the withdrawal.
        number: u64,
        /// Version.
        variant: Variant,
    },
    /// Asks for the copy that the receiver keeps of the sender, whose disk is empty.
    Recovery {
        /// Time since the sender started.
        age: Duration,
    },
}

/// Models and adapters of a target that requests may use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Target.
    pub target: id::Target,
    /// Incarnation.
    #[serde(rename = "born")]
    pub incarnation: id::Incarnation,
    /// Resident models and adapters.
    #[serde(rename = "held")]
    pub resident: Vec<Resident>,
}

/// Liveness of a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Liveness {
    /// Target.
    pub target: id::Target,
    /// Incarnation.
    #[serde(rename = "born")]
    pub incarnation: id::Incarnation,
    /// Time since it last contacted the sender.
    pub age: Duration,
}

/// Answer to a copy request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Grant {
    /// The model or adapter is loaded at this target.
    Ready(id::Target),
    /// The model or adapter is expected to be loaded after this time.
    Later(Duration),
    /// The model is unknown, the instance does not lead, or no target had a copy in time.
    No,
}

/// States that an instance of the core understands [`Upstream::Origins`] and [`Upstream::OriginRequest`]. Older builds close
/// a connection on which they are sent such messages.
pub const UNDERSTANDS_ORIGINS: u8 = 1;

/// States that an instance of the core understands [`Upstream::ConfirmRequest`] besides.
pub const UNDERSTANDS_CONFIRMATIONS: u8 = 2;

/// States that an instance of the core understands [`Upstream::Credit`], and all that lower numbers stand for.
pub const UNDERSTANDS_CREDIT: u8 = 3;

/// States that an instance of the core understands [`Upstream::LeaseRequest`], [`Upstream::Withdrawal`] and
/// [`Upstream::Recovery`], and all that lower numbers stand for.
pub const UNDERSTANDS_LEASES: u8 = 4;

/// Message from an instance of the core, to the instance that opened the connection.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Downstream {
    /// Instances of the core.
    Roster(Vec<Sighting>),
    /// Number of entry instances.
    ///
    /// At the end, what the sender understands: [`UNDERSTANDS_ORIGINS`], [`UNDERSTANDS_CONFIRMATIONS`],
    /// [`UNDERSTANDS_CREDIT`], [`UNDERSTANDS_LEASES`] or nothing.
    #[serde(rename = "Entries")]
    EntryCount(u32, u8),
    /// Routes in force.
    Routes(Text),
    /// Announcements of targets.
    ///
    /// The versions of their software, in the same order, are at the end, where older builds pass over them.
    Targets(Vec<Update>, Vec<Option<Version>>),
    /// Targets that have contacted this instance directly.
    #[serde(rename = "Alive")]
    Liveness(Vec<Liveness>),
    /// Models and adapters that requests may use, from the leader.
    #[serde(rename = "Placed")]
    Placements(Vec<Placement>),
    /// Target to which the leader is about to send an order, for the other instances of the core.
    ///
    /// At the end, the term of the leader, and the orders to this target that it knows may still be carried out, the new one
    /// among them. Older builds name none.
    Ordered(id::Target, id::Term, Vec<Stray>),
    /// Term in which this instance leads, if it does.
    #[serde(rename = "Leads")]
    Leadership(Option<id::Term>),
    /// Answers a copy request.
    #[serde(rename = "Granted")]
    CopyGrant {
        /// Number of the request.
        number: u64,
        /// Answer.
        #[serde(rename = "granted")]
        grant: Grant,
    },
    /// Answers a permit request; sent more than once if the request has to wait.
    #[serde(rename = "Turn")]
    Permit {
        /// Number of the request.
        number: u64,
        /// Answer.
        #[serde(rename = "turn")]
        permit: Permit,
    },
    /// Quarantines of prompt parts, in addition to those sent before.
    Quarantines(Vec<Notice>),
    /// Prompt parts that were blamed for crashes, and on which a target answers.
    Progress(part::Set),
    /// Permits one request with quarantined parts as a trial.
    Trial(part::Set),
    /// Limits of targets that have changed, from the leader.
    Limits(Vec<statement::Notice>),
    /// Answers a request for a grant.
    Grant {
        /// Number of the request.
        number: u64,
        /// Answer.
        answer: Answer,
    },
    /// Answers which version began a stream, if it is known.
    Origin {
        /// Number of the request.
        number: u64,
        /// Version.
        mark: Option<Mark>,
        /// Whether several versions are recorded.
        is_void: bool,
        /// Only version that the sender has seen, if there is no record. An older build's answer shows nothing of it.
        sole: Option<Sole>,
        /// Version of the routes at the sender. Older builds state 0.
        routes: Revision,
    },
    /// Ways of the receiver to targets that are out of its reach. Only sent to entry instances that have introduced
    /// themselves as ways.
    Ways(Vec<Way>),
    /// Answers a request for a confirmation, from the leader. A majority has confirmed since the request arrived that the
    /// sender leads.
    Confirmation {
        /// Number of the request.
        number: u64,
        /// Newest version, or 0 if there are no routes.
        version: Revision,
    },
    /// Answers a claim for credit.
    Credit(credit::Grant),
    /// Grants a copy of what the sender attests.
    Lease {
        /// Time of the question by the clock of the receiver.
        asked_at: Point,
        /// What the sender attests.
        content: Content,
    },
    /// States that the disk of the sender has nothing any more that contradicts a version.
    Withdrawn {
        /// Number of the withdrawal.
        number: u64,
    },
    /// Answers what the sender keeps of the receiver. Empty if the receiver started too late.
    Recovered(Content),
}

impl Downstream {
    /// Returns a message with updates about targets.
    pub fn targets(updates: Vec<Update>) -> Self {
        let versions = updates.iter();
        let versions = versions.map(|update| update.announcement.version.clone());
        let versions = versions.collect();
        Self::Targets(updates, versions)
    }
}

/// Returns the updates of a message with their versions. An older build sends none.
pub fn with_versions(
    mut updates: Vec<Update>,
    versions: Vec<Option<Version>>,
) -> impl Iterator<Item = Update> {
    for (update, version) in updates.iter_mut().zip(versions) {
        update.announcement.version = version;
    }
    updates.into_iter()
}
