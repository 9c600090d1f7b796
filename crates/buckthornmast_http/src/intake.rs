//! Receiving one request after another from the bytes of a connection, without I/O.

use crate::{
    chunk::Decoder,
    head::{self, Head, Length},
    problem::Problem,
    server::Config,
};

/// What to do after bytes were taken in.
#[derive(Debug)]
pub(crate) enum Step {
    /// More bytes are needed.
    More,
    /// More bytes are needed, and the client waits for `100 Continue`.
    Continue,
    /// A whole request.
    Whole(Box<Head>, Vec<u8>),
    /// The connection must be closed after this answer.
    Refuse(Box<Problem>),
}

/// What is being received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Nothing yet.
    Idle,
    /// Request line and headers.
    Head,
    /// Body.
    Body,
}

#[derive(Debug)]
struct Body {
    head: Box<Head>,
    chunked: Option<Decoder>,
    bytes: Vec<u8>,
}

/// Bytes of a connection that are not yet a whole request.
#[derive(Debug, Default)]
pub(crate) struct Intake {
    buffer: Vec<u8>,
    body: Option<Body>,
}

impl Intake {
    /// Starts with bytes that arrived behind an earlier request.
    pub(crate) fn new(buffer: Vec<u8>) -> Self {
        Self { buffer, body: None }
    }

    pub(crate) fn phase(&self) -> Phase {
        match self.body {
            Some(_) => Phase::Body,
            None if self.buffer.is_empty() => Phase::Idle,
            None => Phase::Head,
        }
    }

    /// Returns the bytes held.
    pub(crate) fn len(&self) -> usize {
        self.buffer.len() + self.body.as_ref().map_or(0, |body| body.bytes.len())
    }

    /// Takes the bytes behind a whole request.
    pub(crate) fn into_rest(self) -> Vec<u8> {
        self.buffer
    }

    /// Takes bytes in. Empty input looks at the bytes that are already held.
    pub(crate) fn push(&mut self, bytes: &[u8], config: &Config) -> Step {
        let fresh = self.buffer.is_empty() || bytes.is_empty();
        self.buffer.extend_from_slice(bytes);
        match self.advance(fresh || bytes.contains(&b'\n'), config) {
            Ok(step) => step,
            Err(problem) => Step::Refuse(problem),
        }
    }

    fn advance(&mut self, parse: bool, config: &Config) -> Result<Step, Box<Problem>> {
        let mut wants_continue = false;
        if self.body.is_none() {
            // RFC 9112 asks servers to skip empty lines in front of a request.
            let start = self.buffer.iter().position(|byte| !b"\r\n".contains(byte));
            self.buffer.drain(..start.unwrap_or(self.buffer.len()));
            // A head is only looked at again after a line break, so that a client that sends single
            // bytes does not make the server parse the same bytes over and over.
            let over = self.buffer.len() > config.head_limit;
            if self.buffer.is_empty() || !(parse || over) {
                return Ok(Step::More);
            }
            let Some((head, len)) = head::parse(&self.buffer, config.head_limit)? else {
                return Ok(Step::More);
            };
            self.buffer.drain(..len);
            if let Length::Fixed(len) = head.length
                && len > config.body_limit as u64
            {
                return Err(too_large(config));
            }
            wants_continue = head.expects_continue && self.buffer.is_empty();
            self.body = Some(Body {
                chunked: (head.length == Length::Chunked).then(Decoder::new),
                head: Box::new(head),
                bytes: Vec::new(),
            });
        }
        self.advance_body(wants_continue, config)
    }

    fn advance_body(
        &mut self,
        wants_continue: bool,
        config: &Config,
    ) -> Result<Step, Box<Problem>> {
        let Some(body) = &mut self.body else {
            return Ok(Step::More);
        };
        let whole = match (&mut body.chunked, body.head.length) {
            (Some(decoder), _) => {
                let used = decoder
                    .decode(&self.buffer, &mut body.bytes)
                    .map_err(|_| Box::new(Problem::new(400, "malformed chunked body", "body")))?;
                self.buffer.drain(..used);
                if body.bytes.len() > config.body_limit {
                    return Err(too_large(config));
                }
                decoder.is_done()
            }
            (None, Length::Fixed(len)) => {
                let left = len - body.bytes.len() as u64;
                let take = usize::try_from(left)
                    .map_or(self.buffer.len(), |left| left.min(self.buffer.len()));
                body.bytes.extend(self.buffer.drain(..take));
                body.bytes.len() as u64 == len
            }
            (None, Length::Chunked) => true,
        };
        if whole && let Some(body) = self.body.take() {
            return Ok(Step::Whole(body.head, body.bytes));
        }
        Ok(if wants_continue {
            Step::Continue
        } else {
            Step::More
        })
    }
}

fn too_large(config: &Config) -> Box<Problem> {
    let detail = format!("the limit is {} bytes", config.body_limit);
    Box::new(Problem::new(413, "body too large", "body").detail(detail))
}
