//! Boundary to the headers of a platform.
//!
//! An adapter decodes what callers and targets send into these types and encodes what targets are sent.
//! Decisions are made on the decoded types only.

use std::{fmt, time::Duration};

use buckthornmast_types::id;
use http::{HeaderMap, request, response};
use smallvec::SmallVec;
use snafu::Snafu;

/// Id that a caller gave to its request. Each try of a caller has another one.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Request(pub Box<str>);

impl fmt::Display for Request {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Part of a prompt that other requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Part {
    /// Identity.
    pub id: u64,
    /// Length.
    pub tokens: u32,
}

/// What a request asks of a model engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Generation {
    /// Model.
    pub model: id::Model,
    /// Adapter of the model.
    pub adapter: Option<id::Adapter>,
    /// Length of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens of the answer.
    pub answer_tokens: u32,
    /// Parts of the prompt in order; the last one belongs to this request or to its session.
    pub parts: SmallVec<[Part; 4]>,
}

/// Decoded head of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Head {
    /// Id.
    pub request: Request,
    /// Time that the caller waits.
    pub deadline: Option<Duration>,
    /// Last event of the stream that the caller has, if it resumes one.
    pub last_event: Option<u64>,
    /// What is asked of a model engine.
    pub generation: Option<Generation>,
}

/// What a target is told with a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sending<'a> {
    /// Target that is meant. Another one at its address must not run the request.
    pub target: &'a id::Target,
    /// Time that is left.
    pub left: Duration,
    /// Rank among the requests of the target; 0 comes first.
    pub rank: Option<u8>,
    /// Event after which the stream goes on.
    pub last_event: Option<u64>,
}

/// Load as a target reported it with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

/// Decoded head of an answer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Answer {
    /// Request that it answers.
    pub request: Option<Box<str>>,
    /// Whether the target states that it did not run the request.
    pub is_refusal: bool,
    /// Whether another target has the address, or it lacks what the request needs.
    pub is_misdirected: bool,
    /// Whether the target marked the answer as its own.
    pub is_stamped: bool,
    /// Whether the body was transformed on its way, so that it isn't the target's.
    pub is_transformed: bool,
    /// Load of the target.
    pub load: Option<Load>,
    /// Time after which the target closes the connection if it is idle.
    pub idle: Option<Duration>,
}

/// Reason why a head can't be decoded.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("header {header}: {reason}"))]
pub struct Malformed {
    /// Header.
    pub header: &'static str,
    /// What is wrong.
    pub reason: &'static str,
}

/// Translation of one platform's headers.
pub trait Mapping: 'static {
    /// Decodes the head of a caller's request.
    fn decode(&self, head: &request::Parts) -> Result<Head, Malformed>;
    /// Removes headers that are not the caller's to set, and sets those for the target.
    fn encode(&self, headers: &mut HeaderMap, sending: &Sending<'_>);
    /// Decodes the head of a target's answer.
    fn answer(&self, head: &response::Parts) -> Answer;
}
