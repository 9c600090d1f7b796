//! Streamed chat requests.

use std::{
    io::{BufRead, BufReader, Read},
    net::SocketAddr,
};

use serde_json::Value;

use crate::caller;

/// Time limit for a whole stream; it only ends a test that hangs.
const TIMEOUT_SECONDS: u64 = 120;

/// Result of a stream that has ended.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Outcome {
    /// Status code; 0 if there was no answer.
    pub status: u16,
    /// Tokens in the order in which they arrived.
    pub tokens: Vec<String>,
    /// Whether the stream was complete: a finish reason, `[DONE]` and the end of the body without an error.
    pub is_complete: bool,
    /// Last error, from the transport or an error event.
    pub error: Option<String>,
}

fn open(
    address: SocketAddr,
    model: &str,
    prompt: &str,
    tokens: u32,
) -> Result<minreq::ResponseLazy, minreq::Error> {
    minreq::post(format!("http://{address}/v1/chat/completions"))
        .with_body(caller::chat_body(model, prompt, tokens, true))
        .with_header("Request-Timeout-Ms", (TIMEOUT_SECONDS * 1000).to_string())
        .with_timeout(TIMEOUT_SECONDS)
        .send_lazy()
}

/// Reads a stream to its end.
pub fn read(address: SocketAddr, model: &str, prompt: &str, tokens: u32) -> Outcome {
    follow(address, model, prompt, tokens, |_| {})
}

/// Reads a stream to its end and calls `on_token` after each token with the number of tokens so far.
pub fn follow(
    address: SocketAddr,
    model: &str,
    prompt: &str,
    tokens: u32,
    mut on_token: impl FnMut(usize),
) -> Outcome {
    let mut outcome = Outcome::default();
    let response = match open(address, model, prompt, tokens) {
        Ok(response) => response,
        Err(error) => {
            outcome.error = Some(error.to_string());
            return outcome;
        }
    };
    outcome.status = response.status_code;
    let (mut is_finished, mut is_done) = (false, false);
    for line in BufReader::with_capacity(1 << 10, response).lines() {
        let text = match line {
            Ok(text) => text,
            Err(error) => {
                outcome.error = Some(error.to_string());
                return outcome;
            }
        };
        let data = text.strip_prefix("data: ").unwrap_or_default();
        is_done |= data == "[DONE]";
        let event: Value = serde_json::from_str(data).unwrap_or_default();
        let choice = &event["choices"][0];
        is_finished |= choice["finish_reason"].is_string();
        if let Some(token) = choice["delta"]["content"].as_str() {
            outcome.tokens.push(token.to_owned());
            on_token(outcome.tokens.len());
        }
        if !event["error"].is_null() {
            outcome.error = Some(event["error"].to_string());
        }
    }
    outcome.is_complete = is_finished && is_done && outcome.error.is_none();
    outcome
}

/// Opens a stream, reads some bytes of it and disconnects. Returns whether the bytes were read.
pub fn abandon(address: SocketAddr, model: &str, prompt: &str, tokens: u32, bytes: usize) -> bool {
    let Ok(mut response) = open(address, model, prompt, tokens) else {
        return false;
    };
    let mut buffer = vec![0; bytes];
    response.read_exact(&mut buffer).is_ok()
}

/// Returns the tokens that a stand-in engine generates for a prompt.
pub fn expected_tokens(prompt: &str, tokens: u32) -> Vec<String> {
    let words: Vec<&str> = prompt.split_whitespace().collect();
    let word = |index: u32| words.get(index as usize % words.len().max(1));
    (0..tokens)
        .map(|index| format!("{}-{index} ", word(index).unwrap_or(&"ok")))
        .collect()
}
