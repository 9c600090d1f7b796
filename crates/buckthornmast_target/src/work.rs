//! Work for a model engine and the events of its answer.

use buckthornmast_types::{artifact::Artifact, cache::Prefix, id};
use serde::{Deserialize, Serialize};

/// Message of a conversation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Role of the author, for example `user`.
    pub role: String,
    /// Text.
    pub content: String,
}

/// Request to generate tokens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// Request of a caller that the work is for.
    pub request: id::Request,
    /// Attempt; the attempts of a request have different numbers.
    pub attempt: id::Attempt,
    /// Artifact that generates the answer.
    pub artifact: Artifact,
    /// Conversation.
    pub messages: Vec<Message>,
    /// Maximum number of tokens of the answer.
    pub max_tokens: u32,
    /// Priority; higher values are served first.
    pub priority: u8,
    /// Tokens that an earlier attempt produced; the answer continues after them.
    pub resume: Vec<String>,
    /// Milliseconds until the deadline of the caller.
    pub deadline_ms: u64,
    /// Hash by which cache events identify the start of the prompt; older instances send none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prefix: Option<Prefix>,
}

/// Token or end of an answer, as sent by the engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Request that the chunk belongs to.
    pub request: id::Request,
    /// Attempt that the chunk belongs to.
    pub attempt: id::Attempt,
    /// Position in the complete answer, resumed tokens included.
    pub index: u32,
    /// Token or end.
    #[serde(flatten)]
    pub event: Event,
}

/// Content of a chunk.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// Token.
    Token(String),
    /// End of the answer.
    Finish(Finish),
}

/// Reason why an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Finish {
    /// The model ended the answer.
    Stop,
    /// The maximum number of tokens was reached.
    Length,
}

impl Finish {
    /// Returns the name that is sent to callers.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Stop => "stop",
            Self::Length => "length",
        }
    }
}
