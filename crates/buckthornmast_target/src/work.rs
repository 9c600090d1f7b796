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
    /// Request.
    pub request: id::Request,
    /// Attempt; each attempt of a request has a number of its own.
    pub attempt: id::Attempt,
    /// Artifact that shall answer.
    pub artifact: Artifact,
    /// Conversation.
    pub messages: Vec<Message>,
    /// Tokens of the answer at the most.
    pub max_tokens: u32,
    /// Priority, higher first.
    pub priority: u8,
    /// Tokens that an earlier attempt produced; the answer goes on after them.
    pub resume: Vec<String>,
    /// Milliseconds that the caller still waits.
    pub deadline_ms: u64,
    /// Hash that cache events name the start of the prompt by; older instances send none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prefix: Option<Prefix>,
}

/// Token or end of an answer, as the engine sends it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Request that the chunk belongs to.
    pub request: id::Request,
    /// Attempt that the chunk belongs to.
    pub attempt: id::Attempt,
    /// Position in the whole answer, resumed tokens included.
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
    /// The model ended it.
    Stop,
    /// The limit of tokens was reached.
    Length,
}

impl Finish {
    /// Returns the word that callers know.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Stop => "stop",
            Self::Length => "length",
        }
    }
}
