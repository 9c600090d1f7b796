//! Interface to the header format of a platform.
//!
//! A platform's implementation decodes the headers of callers and targets into these types, and encodes the headers
//! that are sent to targets. All decisions are made on the decoded types.

use std::{fmt, time::Duration};

use buckthornmast_limit::statement::Statement;
use buckthornmast_organisation::ring::Credential;
use buckthornmast_quarantine::part::{Part, Set};
use buckthornmast_types::{id, rate::Rate, slowdown::Slowdown};
use http::{HeaderMap, request, response};
use smallvec::SmallVec;
use snafu::Snafu;

/// Number of parts of a prompt that may be quarantined. Comparing suspects takes quadratic time in it.
const MAX_QUARANTINE_PARTS: usize = 64;

/// Id that a caller assigned to its request. Each retry of a caller has a new id.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RequestId(pub Box<str>);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Part of a prompt that other requests may share. It is displayed as the hexadecimal id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct PromptPart {
    /// Identity.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

impl fmt::Display for PromptPart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.id)
    }
}

/// Generation that a request requires of a model engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Generation {
    /// Model.
    pub model: id::Model,
    /// Adapter of the model.
    pub adapter: Option<id::Adapter>,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Maximum number of tokens of the answer.
    pub answer_tokens: u32,
    /// Parts of the prompt in order; the last one belongs to this request or to its session.
    pub parts: SmallVec<[PromptPart; 4]>,
}

impl Generation {
    /// Returns the parts of the prompt that other requests may share.
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns these parts as they are quarantined at the targets of a service.
    pub fn quarantine_parts(&self, service: &id::Service) -> Set {
        let parts = self.shared_parts().iter().take(MAX_QUARANTINE_PARTS);
        parts.map(|part| Part::new(service, part.id)).collect()
    }
}

/// Decoded request head.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Head {
    /// Id.
    pub request: RequestId,
    /// Time for which the caller waits.
    pub deadline: Option<Duration>,
    /// Last event that the caller has received, if it resumes a stream.
    pub last_event: Option<u64>,
    /// Request that brought the caller the first event of the stream that it resumes.
    pub resumes: Option<Box<str>>,
    /// Generation, if the request is for a model engine.
    pub generation: Option<Generation>,
}

/// What a target is told about the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Caller<'a> {
    /// Nothing, since the routes name no organisations. What the caller states about itself is passed on.
    Unchecked,
    /// Nothing, since the route needs no key. What the caller states about itself is removed.
    Anonymous,
    /// The organisation that holds its key, whatever the caller states.
    Known(&'a id::Organisation),
}

/// Fields that are sent to a target with a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetHeaders<'a> {
    /// Target that the request is for. Another one at the same address must not run the request.
    pub target: &'a id::Target,
    /// Time left until the deadline.
    pub time_left: Duration,
    /// Rank among the requests of the target. 0 is served first.
    pub rank: Option<u8>,
    /// Event after which the stream is resumed.
    pub last_event: Option<u64>,
    /// Caller.
    pub caller: Caller<'a>,
}

/// Load that a target reported with an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Number of requests that it runs concurrently, if it states one.
    pub slots: Option<u32>,
    /// Slowdown by other work beside it. A target that states none works as usual.
    pub slowdown: Slowdown,
}

/// Decoded response head of a target.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Answer {
    /// Id of the request that is answered.
    pub request: Option<Box<str>>,
    /// Whether the target states that it did not run the request.
    pub is_refusal: bool,
    /// Whether another target uses the address, or the target lacks the model or adapter that the request needs.
    pub is_misdirected: bool,
    /// Whether the target marked the answer as its own.
    pub is_stamped: bool,
    /// Whether an intermediary transformed the body, so that it isn't the target's own.
    pub is_transformed: bool,
    /// Load of the target.
    pub load: Option<Load>,
    /// Idle timeout after which the target closes the connection.
    pub idle: Option<Duration>,
    /// Whether the target states that it leaves.
    pub is_leaving: bool,
    /// Time for which the target wants no request from this instance.
    pub pause: Option<Duration>,
    /// Rate that the target takes from all instances together.
    pub limit: Statement,
    /// Requests a second that the target can refuse without falling over, if it is brittle.
    pub brittle: Option<Rate>,
}

/// Error when decoding a request head.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("header {header}: {reason}"))]
pub struct Malformed {
    /// Header.
    pub header: &'static str,
    /// Reason why the header is malformed.
    pub reason: &'static str,
}

/// Translation between one platform's headers and the decoded types.
pub trait Mapping: 'static {
    /// Decodes the request head of a caller.
    fn decode(&self, head: &request::Parts) -> Result<Head, Malformed>;
    /// Returns the tokens of the prompt and the longest answer that a request states, also if it is not for a model engine.
    fn stated_tokens(&self, _head: &request::Parts) -> Option<u64> {
        None
    }
    /// Decodes the key of a caller.
    fn decode_credential(&self, _: &HeaderMap) -> Credential {
        Credential::Missing
    }
    /// Removes headers that callers must not set, and sets those for the target.
    fn encode(&self, headers: &mut HeaderMap, target_headers: &TargetHeaders<'_>);
    /// Decodes the response head of a target.
    fn decode_answer(&self, head: &response::Parts) -> Answer;
}
