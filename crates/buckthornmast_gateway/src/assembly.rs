//! Puts the chunks of an answer together.
//!
//! Chunks carry request, attempt and position. Those of another request or an older attempt and those
//! seen before are dropped; those that arrive early wait for the missing ones. The answer is whole
//! only when the end was received and no position is missing.

use std::collections::BTreeMap;

use buckthornmast_target::work::{Chunk, Event, Finish};
use buckthornmast_types::id;
use snafu::Snafu;

/// Chunks that may wait for an earlier one; more means that the missing one is lost.
pub const MAX_EARLY_CHUNKS: usize = 256;

/// Reason why an answer can't become whole.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Broken {
    /// Too many chunks arrived ahead of a missing one.
    #[snafu(display("token {index} is missing and {MAX_EARLY_CHUNKS} later ones arrived"))]
    Missing {
        /// Position that is missing.
        index: u32,
    },
}

/// Answer that is being put together.
#[derive(Debug)]
pub struct Answer {
    request: id::Request,
    attempt: id::Attempt,
    tokens: Vec<String>,
    early: BTreeMap<u32, Event>,
    finish: Option<Finish>,
    dropped: u64,
}

impl Answer {
    /// Starts empty.
    pub fn new(request: id::Request) -> Self {
        Self {
            request,
            attempt: id::Attempt(0),
            tokens: Vec::new(),
            early: BTreeMap::new(),
            finish: None,
            dropped: 0,
        }
    }

    /// Starts the next attempt, which goes on after the tokens received so far.
    pub fn next_attempt(&mut self) -> id::Attempt {
        self.attempt = self.attempt.next();
        self.early.clear();
        self.attempt
    }

    /// Takes a chunk and returns the tokens that are now in order.
    pub fn accept(&mut self, chunk: Chunk) -> Result<&[String], Broken> {
        let first = self.tokens.len();
        let position = u32::try_from(first).unwrap_or(u32::MAX);
        let foreign = chunk.request != self.request || chunk.attempt != self.attempt;
        if foreign || chunk.index < position || self.finish.is_some() {
            self.dropped += 1;
            return Ok(&[]);
        }
        if self.early.len() >= MAX_EARLY_CHUNKS && chunk.index != position {
            return Err(Broken::Missing { index: position });
        }
        self.early.entry(chunk.index).or_insert(chunk.event);
        self.drain();
        Ok(&self.tokens[first..])
    }

    fn drain(&mut self) {
        while self.finish.is_none() {
            let position = u32::try_from(self.tokens.len()).unwrap_or(u32::MAX);
            match self.early.remove(&position) {
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

    /// Returns how the answer ended, once it is whole.
    pub fn finish(&self) -> Option<Finish> {
        self.finish
    }

    /// Returns the number of chunks dropped.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}
