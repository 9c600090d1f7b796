//! Inquiry of the instances of the core about a stream.

use std::time::Duration;

use crate::{
    history::Sole,
    record::{Entry, Key, Mark, Service},
};

/// Time that evidence must cover beyond the longest life of a stream: targets announce themselves within 12 s of the start of
/// an instance of the core, versions are seen each second, and callers come back a little later.
pub const MARGIN: Duration = Duration::from_secs(15);

/// Question about a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Question {
    /// Service of the stream.
    pub service: Service,
    /// Stream, if its caller names the request that began it.
    pub key: Option<Key>,
}

/// Answer of one instance of the core.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Answer {
    /// What it has recorded of the stream.
    pub entry: Option<Entry>,
    /// Only version that it has seen, if there is no record.
    pub sole: Option<Sole>,
}

/// What an inquiry has found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finding {
    /// The version that began the stream.
    Known(Mark),
    /// All instances of the core have answered, and none has a record. All have seen one version only.
    Only(Sole),
    /// All instances of the core have answered, and none has a record. Any version may have begun the stream.
    Nowhere,
    /// An instance that may have a record could not be asked, or two versions are recorded.
    Unknown,
}

impl Finding {
    /// Returns the version at which a stream of a service may go on that lives for this time at most. `known` is the only
    /// version that the asking instance itself knows now.
    pub fn version(self, life: Duration, known: Option<Mark>) -> Option<Mark> {
        match self {
            Self::Known(mark) => Some(mark),
            Self::Only(sole) => {
                known.filter(|mark| *mark == sole.mark && sole.age > life.saturating_add(MARGIN))
            }
            Self::Nowhere | Self::Unknown => None,
        }
    }
}

/// Answers of the instances of the core.
#[derive(Debug, Clone)]
pub struct Inquiry {
    pending: usize,
    is_complete: bool,
    // What the answers state together. The outer option is whether there was one.
    sole: Option<Option<Sole>>,
}

impl Inquiry {
    /// Returns an inquiry of this number of instances. `is_complete` is whether they are the whole core.
    pub fn new(asked: usize, is_complete: bool) -> Self {
        Self {
            pending: asked,
            is_complete,
            sole: None,
        }
    }

    /// Adds an answer. Returns the result once there is one.
    pub fn answer(&mut self, answer: Answer) -> Option<Finding> {
        match answer.entry {
            Some(Entry::Begun(mark)) => return Some(Finding::Known(mark)),
            Some(Entry::Void) => return Some(Finding::Unknown),
            None => {}
        }
        self.sole = Some(match self.sole {
            None => answer.sole,
            Some(sole) => sole
                .zip(answer.sole)
                .and_then(|(sole, other)| sole.and(other)),
        });
        self.pending = self.pending.saturating_sub(1);
        self.result()
    }

    /// Returns the result if no answer is awaited.
    pub fn result(&self) -> Option<Finding> {
        (self.pending == 0).then_some(match self.sole {
            _ if !self.is_complete => Finding::Unknown,
            Some(Some(sole)) => Finding::Only(sole),
            _ => Finding::Nowhere,
        })
    }
}
