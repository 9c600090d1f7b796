//! Where a stream may go on.

use crate::record::Mark;

/// Version that began the stream of a request. Every choice of a target asks it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub enum Origin {
    /// The caller has no event, so any target may begin the stream.
    #[default]
    Open,
    /// A version began it.
    Begun(Mark),
    /// A target that states no version began it, so no other one is known to write the same.
    Unstated,
}

impl Origin {
    /// Returns whether the stream may begin or go on at a target of this version.
    pub fn permits(self, mark: Option<Mark>) -> bool {
        match self {
            Self::Open => true,
            Self::Begun(begun) => mark == Some(begun),
            Self::Unstated => false,
        }
    }

    /// Records that a target of this version has sent the first event, unless the stream has begun before.
    pub fn begin(&mut self, mark: Option<Mark>) {
        if self.is_open() {
            *self = mark.map_or(Self::Unstated, Self::Begun);
        }
    }

    /// Returns whether any target may begin the stream.
    pub fn is_open(self) -> bool {
        self == Self::Open
    }
}

/// Returns the version of all of these targets, if there is only one and each of them states it.
pub fn only_version(marks: impl IntoIterator<Item = Option<Mark>>) -> Option<Mark> {
    let mut marks = marks.into_iter();
    let first = marks.next()??;
    marks.all(|mark| mark == Some(first)).then_some(first)
}
