//! Boundary to whoever decides which target holds which model.

use std::{fmt, future::Future, time::Duration};

use buckthornmast_types::id;
use smallvec::SmallVec;

/// Model or adapter that no target holds.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Want {
    /// Service whose targets may load it.
    pub service: id::Service,
    /// Model.
    pub model: id::Model,
    /// Adapter of the model.
    pub adapter: Option<id::Adapter>,
}

impl fmt::Display for Want {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.adapter {
            Some(adapter) => write!(f, "{}/{adapter}", self.model),
            None => self.model.fmt(f),
        }
    }
}

/// Answer to a want.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Wanted {
    /// A target holds it now.
    Ready(id::Target),
    /// A target will hold it after about this time.
    Later(Duration),
    /// There is no place for it, or nobody who could decide can be reached.
    No,
}

/// Request for a turn at a target that holds what a generation needs.
#[derive(Debug, Clone, PartialEq)]
pub struct Prompt {
    /// Model or adapter.
    pub want: Want,
    /// Tokens of the prompt.
    pub tokens: u32,
    /// Hash of the start of the prompt, if requests that share it should meet.
    pub prefix: Option<u64>,
    /// Time left until the first event is late.
    pub objective: Duration,
    /// Time left until the caller leaves.
    pub patience: Duration,
    /// Targets that have had the request, or fail.
    pub avoid: SmallVec<[id::Target; 2]>,
}

/// Answer to the request for a turn.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Turn {
    /// The request goes to this target.
    Go(id::Target),
    /// It would wait for about this time, which is too long.
    Refuse(Duration),
    /// Nobody who gives turns can be reached, or knows a target; this instance decides alone.
    Unknown,
}

/// What a generation took at its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Spent {
    /// Time from its dispatch to its end.
    pub whole: Duration,
    /// Events of its stream, but the first.
    pub events: u32,
    /// Time in which they came.
    pub event_time: Duration,
}

/// Source of models and adapters.
pub trait Supply: 'static {
    /// Asks for a model or an adapter.
    fn want(&self, want: Want) -> impl Future<Output = Wanted>;
    /// Notes a request for a model or an adapter, whether or not it can be served.
    fn note(&self, want: &Want);
    /// Notes that a target which holds models is down.
    fn down(&self, target: &id::Target, born: id::Incarnation);
    /// Asks for a turn and waits for it.
    fn turn(&self, prompt: Prompt) -> impl Future<Output = Turn>;
    /// Notes that a request was answered, and what it took at its target.
    fn ended(&self, want: &Want, spent: Spent);
}
