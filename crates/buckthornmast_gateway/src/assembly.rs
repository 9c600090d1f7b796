//! Assembly of an answer from its chunks.
//!
//! Each chunk carries its request, attempt and position. Chunks of another request or an older attempt and
//! duplicates are dropped; early chunks are buffered until the missing ones arrive. The answer is complete
//! only when its end was received and no position is missing.

use std::collections::BTreeMap;

use buckthornmast_target::work::{Chunk, Event, Finish};
use buckthornmast_types::id;
use snafu::Snafu;

/// Maximum number of buffered early chunks. More of them mean that the missing chunk is lost.
pub const MAX_EARLY_CHUNKS: usize = 256;

/// Reason why an answer can't be completed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum AssemblyError {
    /// Too many chunks arrived ahead of a missing one.
    #[snafu(display("token {index} is missing and {MAX_EARLY_CHUNKS} later ones arrived"))]
    Missing {
        /// Missing position.
        index: u32,
    },
}

/// Answer that is being assembled.
#[derive(Debug)]
pub struct Answer {
    request: id::Request,
    attempt: id::Attempt,
    tokens: Vec<String>,
    early_chunks: BTreeMap<u32, Event>,
    finish: Option<Finish>,
    dropped: u64,
}

impl Answer {
    /// Returns an empty answer.
    pub fn new(request: id::Request) -> Self {
        Self {
            request,
            attempt: id::Attempt(0),
            tokens: Vec::new(),
            early_chunks: BTreeMap::new(),
            finish: None,
            dropped: 0,
        }
    }

    /// Starts the next attempt, which continues after the tokens received so far.
    pub fn next_attempt(&mut self) -> id::Attempt {
        self.attempt = self.attempt.next();
        self.early_chunks.clear();
        self.attempt
    }

    /// Accepts a chunk and returns the tokens that it adds to the answer, in order.
    pub fn accept(&mut self, chunk: Chunk) -> Result<&[String], AssemblyError> {
        let first = self.tokens.len();
        let position = u32::try_from(first).unwrap_or(u32::MAX);
        let is_foreign = chunk.request != self.request || chunk.attempt != self.attempt;
        if is_foreign || chunk.index < position || self.finish.is_some() {
            self.dropped += 1;
            return Ok(&[]);
        }
        if self.early_chunks.len() >= MAX_EARLY_CHUNKS && chunk.index != position {
            return Err(AssemblyError::Missing { index: position });
        }
        self.early_chunks.entry(chunk.index).or_insert(chunk.event);
        self.append_ready();
        Ok(&self.tokens[first..])
    }

    /// Moves buffered chunks into the answer up to the first missing position.
    fn append_ready(&mut self) {
        while self.finish.is_none() {
            let position = u32::try_from(self.tokens.len()).unwrap_or(u32::MAX);
            match self.early_chunks.remove(&position) {
                Some(Event::Token(token)) => self.tokens.push(token),
                Some(Event::Finish(finish)) => self.finish = Some(finish),
                None => return,
            }
        }
    }

    /// Returns the tokens in order.
    pub fn tokens(&self) -> &[String] {
        &self.tokens
    }

    /// Returns how the answer ended, once it is complete.
    pub fn finish(&self) -> Option<Finish> {
        self.finish
    }

    /// Returns the number of dropped chunks.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}
