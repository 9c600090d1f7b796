//! Interface to the component that decides which models and adapters are loaded at which target.

use std::{fmt, future::Future, time::Duration};

use buckthornmast_limit::{
    account,
    statement::{Grant, Report},
};
use buckthornmast_origin::{
    inquiry::{Finding, Question},
    record::Record,
};
use buckthornmast_quarantine::{ledger::Evidence, part};
use buckthornmast_quota::credit::Claim;
use buckthornmast_types::{id, prompt::Prefix};
use smallvec::SmallVec;

/// Model or adapter that a request needs.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Item {
    /// Service whose targets can load it.
    pub service: id::Service,
    /// Model.
    pub model: id::Model,
    /// Adapter of the model.
    pub adapter: Option<id::Adapter>,
}

impl fmt::Display for Item {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.adapter {
            Some(adapter) => write!(f, "{}/{adapter}", self.model),
            None => self.model.fmt(f),
        }
    }
}

/// Answer to a copy request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Availability {
    /// The model or adapter is resident at a target.
    Ready(id::Target),
    /// It is expected to be resident at a target after this time.
    Later(Duration),
    /// No target has room for it, or the leader can't be reached.
    No,
}

/// Request for a permit to send a prompt to a target where the model or adapter is resident.
#[derive(Debug, Clone, PartialEq)]
pub struct PermitRequest {
    /// Model or adapter.
    pub item: Item,
    /// Length of the prompt in tokens.
    pub tokens: u32,
    /// Hash of the prompt prefix, if requests that share it should be sent to the same target.
    pub prefix: Option<u64>,
    /// Time left until the first event misses the objective.
    pub objective: Duration,
    /// Time left until the caller disconnects or this instance stops.
    pub max_wait: Duration,
    /// Targets that the request has been dispatched to already, or that fail.
    pub avoid: SmallVec<[id::Target; 2]>,
    /// Priority of the caller, of which 0 is the most urgent.
    pub priority: u32,
    /// Organisation that the caller belongs to.
    pub organisation: Option<id::Organisation>,
    /// Maximum number of tokens of the answer.
    pub answer_tokens: u32,
    /// Beginnings of the prompt that other requests may share, from the shortest to the longest.
    pub prefixes: SmallVec<[Prefix; 4]>,
}

/// Answer to the request for a permit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Permit {
    /// The request may be sent to this target.
    Granted(id::Target),
    /// The request may be sent to this target, which takes requests at a limited rate only.
    Limited(id::Target, Grant),
    /// The request would wait for about this time, which is too long.
    Refuse(Duration),
    /// The leader can't be reached or knows no target. This instance decides locally.
    Unknown,
}

/// Time and events that a generation took at its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Usage {
    /// Time from its dispatch to its end.
    pub total_time: Duration,
    /// Number of events of its stream after the first one.
    pub events: u32,
    /// Time from the first event to the end.
    pub event_time: Duration,
}

/// Source of models and adapters.
pub trait Supply: 'static {
    /// Requests a copy of a model or an adapter.
    fn request_copy(&self, item: Item) -> impl Future<Output = Availability>;
    /// Records demand for a model or an adapter, whether or not the request can be served.
    fn record_demand(&self, item: &Item);
    /// Reports that a target of a model service is down.
    fn report_down(&self, target: &id::Target, incarnation: id::Incarnation);
    /// Requests a permit and waits for the answer.
    fn request_permit(&self, request: PermitRequest) -> impl Future<Output = Permit>;
    /// Requests a grant to send a request to a target with a limit. Returns `None` if the leader can't be reached.
    fn request_grant(
        &self,
        request: account::Request,
    ) -> impl Future<Output = Option<account::Answer>>;
    /// Reports what a target states about its limit.
    fn report_limit(&self, report: Report);
    /// Sends a claim for credit to the leader. A claim that is lost gets no answer.
    fn claim_credit(&self, claim: Claim);
    /// Reports a request that its target was beginning to answer when it ended.
    fn report_crash(&self, evidence: &Evidence);
    /// Reports that a target answers on parts that were blamed for crashes.
    fn report_progress(&self, parts: &part::Set);
    /// Reports which version began a stream, before its first event is passed on.
    fn report_origin(&self, record: Record);
    /// Asks the instances of the core which version began a stream.
    fn find_origin(&self, question: Question) -> impl Future<Output = Finding>;
    /// Reports that a request was answered, and the time and events that it took at its target.
    fn report_usage(&self, item: &Item, usage: Usage);
}
