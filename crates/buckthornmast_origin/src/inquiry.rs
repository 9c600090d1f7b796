//! Inquiry of the instances of the core about a stream.

use crate::record::Mark;

/// What an inquiry has found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finding {
    /// The version that began the stream.
    Known(Mark),
    /// All instances of the core have answered, and none has a record.
    Nowhere,
    /// An instance that may have a record could not be asked, or two answers differ.
    Unknown,
}

/// Answers of the instances of the core.
#[derive(Debug, Clone)]
pub struct Inquiry {
    pending: usize,
    is_complete: bool,
}

impl Inquiry {
    /// Returns an inquiry of this number of instances. `is_complete` is whether they are the whole core.
    pub fn new(asked: usize, is_complete: bool) -> Self {
        Self {
            pending: asked,
            is_complete,
        }
    }

    /// Adds an answer. Returns the result once there is one.
    pub fn answer(&mut self, mark: Option<Mark>) -> Option<Finding> {
        if let Some(mark) = mark {
            return Some(Finding::Known(mark));
        }
        self.pending = self.pending.saturating_sub(1);
        self.result()
    }

    /// Returns the result if no answer is awaited.
    pub fn result(&self) -> Option<Finding> {
        (self.pending == 0).then_some(if self.is_complete {
            Finding::Nowhere
        } else {
            Finding::Unknown
        })
    }
}
