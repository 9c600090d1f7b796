//! Chat completions in the format that existing clients expect.

use buckthornmast_target::work::{Finish, Message};
use buckthornmast_types::id;
use serde::Deserialize;
use serde_json::{Value, json};
use snafu::Snafu;

/// Token limit of an answer where the caller sets none.
pub const DEFAULT_MAX_TOKENS: u32 = 256;

/// Largest token limit that a caller may set.
pub const MAX_TOKENS: u32 = 32_768;

/// Maximum number of messages in a conversation.
pub const MAX_MESSAGES: usize = 4096;

/// Reason why a body is refused.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ParseError {
    /// The body is not the expected JSON.
    #[snafu(display("{reason}"))]
    Json {
        /// Human-readable reason.
        reason: String,
    },
    /// A value is out of range.
    #[snafu(display("{field}: {reason}"))]
    Value {
        /// Name of the field.
        field: &'static str,
        /// Human-readable reason.
        reason: String,
    },
}

#[derive(Deserialize)]
struct Body {
    model: String,
    messages: Vec<Message>,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    n: Option<u32>,
}

/// Parsed request. Other members of the body, such as sampling parameters, are accepted and ignored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Name of a model or adapter.
    pub model: String,
    /// Conversation.
    pub messages: Vec<Message>,
    /// Whether the answer is streamed.
    pub is_streamed: bool,
    /// Maximum number of tokens in the answer.
    pub max_tokens: u32,
}

fn value_error<T>(field: &'static str, reason: impl Into<String>) -> Result<T, ParseError> {
    Err(ParseError::Value {
        field,
        reason: reason.into(),
    })
}

/// Parses the body of `POST /v1/chat/completions`.
pub fn parse(text: &str) -> Result<Request, ParseError> {
    let body: Body = serde_json::from_str(text).map_err(|error| ParseError::Json {
        reason: error.to_string(),
    })?;
    if body.messages.is_empty() || body.messages.len() > MAX_MESSAGES {
        return value_error("messages", format!("expected 1 to {MAX_MESSAGES} messages"));
    }
    if body.n.is_some_and(|n| n != 1) {
        return value_error("n", "expected 1, one answer per request");
    }
    let max_tokens = body
        .max_completion_tokens
        .or(body.max_tokens)
        .unwrap_or(DEFAULT_MAX_TOKENS);
    if !(1..=MAX_TOKENS).contains(&max_tokens) {
        return value_error("max_tokens", format!("expected 1 to {MAX_TOKENS}"));
    }
    let Body {
        model,
        messages,
        stream,
        ..
    } = body;
    Ok(Request {
        model,
        messages,
        is_streamed: stream,
        max_tokens,
    })
}

impl Request {
    /// Returns the number of words in all messages.
    pub fn words(&self) -> usize {
        let words = |message: &Message| message.content.split_whitespace().count();
        self.messages.iter().map(words).sum()
    }
}

/// Metadata that every part of one answer repeats.
#[derive(Debug, Clone)]
pub struct Metadata {
    /// Id of the request.
    pub request: id::Request,
    /// Model as the caller named it.
    pub model: String,
    /// Creation time in seconds since the Unix epoch.
    pub created: u64,
    /// Number of words in the conversation, written as `prompt_tokens`. Engines don't report how many tokens
    /// a prompt has, and typed clients reject an answer without that field.
    pub prompt_words: usize,
}

impl Metadata {
    fn object(&self, kind: &str, choice: Value) -> Value {
        json!({
            "id": format!("chatcmpl-{}", self.request),
            "object": kind,
            "created": self.created,
            "model": self.model,
            "choices": [choice],
        })
    }

    /// Returns the event that carries one token.
    pub fn token_event(&self, token: &str, is_first: bool) -> String {
        let delta = if is_first {
            json!({ "role": "assistant", "content": token })
        } else {
            json!({ "content": token })
        };
        let choice = json!({ "index": 0, "delta": delta, "finish_reason": null });
        self.object("chat.completion.chunk", choice).to_string()
    }

    /// Returns the event that ends a stream.
    pub fn end_event(&self, finish: Finish) -> String {
        let choice = json!({ "index": 0, "delta": {}, "finish_reason": finish.as_str() });
        self.object("chat.completion.chunk", choice).to_string()
    }

    /// Returns the body of an answer that is not streamed.
    pub fn completion(&self, tokens: &[String], finish: Finish) -> String {
        let message = json!({ "role": "assistant", "content": tokens.concat() });
        let choice = json!({ "index": 0, "message": message, "finish_reason": finish.as_str() });
        let mut object = self.object("chat.completion", choice);
        object["usage"] = json!({
            "prompt_tokens": self.prompt_words,
            "completion_tokens": tokens.len(),
            "total_tokens": self.prompt_words + tokens.len(),
        });
        object.to_string()
    }
}

/// Returns the body of `GET /v1/models`.
pub fn models<'a>(names: impl Iterator<Item = (&'a str, &'a id::Team)>) -> String {
    let entry = |(name, team): (&str, &id::Team)| json!({ "id": name, "object": "model", "owned_by": team.as_str() });
    json!({ "object": "list", "data": names.map(entry).collect::<Vec<_>>() }).to_string()
}
