//! Inquiry of the instances of the core about a stream.

use std::time::Duration;

use smallvec::SmallVec;

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
    /// Whether its disk is new, so that it knows nothing of the time before its start and contradicts nobody.
    pub is_new: bool,
    /// Number of other instances that may be new, because more than these have to withdraw before another version is used.
    /// Older builds state none.
    pub spare: u32,
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
    // What all answers state together, and those of instances that are not new. The outer option is whether there was one.
    all: Option<Option<Sole>>,
    lasting: Option<Option<Sole>>,
    // Versions of new instances, as far as they have seen any.
    fresh: SmallVec<[Option<Mark>; 4]>,
    spare: u32,
}

impl Inquiry {
    /// Returns an inquiry of this number of instances. `is_complete` is whether they are the whole core.
    pub fn new(asked: usize, is_complete: bool) -> Self {
        Self {
            pending: asked,
            is_complete,
            all: None,
            lasting: None,
            fresh: SmallVec::new(),
            spare: u32::MAX,
        }
    }

    /// Adds an answer. Returns the result once there is one.
    pub fn answer(&mut self, answer: Answer) -> Option<Finding> {
        match answer.entry {
            Some(Entry::Begun(mark)) => return Some(Finding::Known(mark)),
            Some(Entry::Void) => return Some(Finding::Unknown),
            None => {}
        }
        self.all = Some(join(self.all, answer.sole));
        if answer.is_new {
            self.fresh.push(answer.sole.map(|sole| sole.mark));
        } else {
            self.lasting = Some(join(self.lasting, answer.sole));
            self.spare = self.spare.min(answer.spare);
        }
        self.pending = self.pending.saturating_sub(1);
        self.result()
    }

    /// Returns what the instances that are not new state, if they are enough without the others.
    fn without_new(&self) -> Option<Sole> {
        let sole = self.lasting??;
        let is_spared = u32::try_from(self.fresh.len()).is_ok_and(|fresh| fresh <= self.spare);
        let agrees = |mark: &Option<Mark>| mark.is_none_or(|mark| mark == sole.mark);
        (is_spared && self.fresh.iter().all(agrees)).then_some(sole)
    }

    /// Returns the result if no answer is awaited.
    pub fn result(&self) -> Option<Finding> {
        (self.pending == 0).then(|| {
            if !self.is_complete {
                return Finding::Unknown;
            }
            let sole = self.without_new().or(self.all.flatten());
            sole.map_or(Finding::Nowhere, Finding::Only)
        })
    }
}

/// Returns what an answer and those before it state together.
fn join(before: Option<Option<Sole>>, answer: Option<Sole>) -> Option<Sole> {
    match before {
        None => answer,
        Some(sole) => sole.zip(answer).and_then(|(sole, other)| sole.and(other)),
    }
}
