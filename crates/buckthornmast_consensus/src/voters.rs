//! Voter sets and their quorums.
//!
//! Replacing a member is not a single-voter change: majorities of {a, b, c} and {a, b, d} may have no member in
//! common. From when it is appended until it is known to be committed, a new set therefore needs a majority of
//! the old set as well (joint consensus).
//!
//! A set that is known to be committed is settled. This knowledge is made durable and is sent with votes. Without
//! it, a restarted replica would need the majority of the old set again, and after the loss of another disk there
//! might be none.

use buckthornmast_types::id;
use smallvec::SmallVec;

use crate::message::{Member, Position};

/// Voter set with the position of its entry.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Set {
    /// Position of the entry.
    pub position: Position,
    /// Members.
    pub members: Vec<Member>,
}

/// Voter sets that may be in effect: the last one, and the earlier ones that are needed if entries are
/// truncated.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Voters {
    sets: SmallVec<[Set; 2]>,
}

impl Voters {
    /// Puts a set into effect.
    pub fn push(&mut self, position: Position, members: Vec<Member>) {
        self.sets.push(Set { position, members });
    }

    /// Removes the sets of truncated entries.
    pub fn truncate(&mut self, from: id::Index) {
        self.sets.retain(|set| set.position.index < from);
    }

    /// Removes the sets that a committed set has replaced; returns whether there were any.
    pub fn commit(&mut self, commit: id::Index) -> bool {
        let before = self.sets.len();
        while self
            .sets
            .get(1)
            .is_some_and(|set| set.position.index <= commit)
        {
            self.sets.remove(0);
        }
        self.sets.len() < before
    }

    /// Returns the position of the oldest set in effect. It is committed, unless it is the first set of the log.
    pub fn settled(&self) -> Position {
        self.sets
            .first()
            .map_or(Position::default(), |set| set.position)
    }

    /// Records that another replica knows a set to be committed; returns whether that changed anything.
    pub fn settle(&mut self, position: Position) -> bool {
        let is_known = self.sets.iter().any(|set| set.position == position);
        is_known && self.commit(position.index)
    }

    /// Returns the last set.
    pub fn current(&self) -> Option<&Set> {
        self.sets.last()
    }

    /// Returns the last set whose entry is at or before an index.
    pub fn in_effect_at(&self, index: id::Index) -> Option<&Set> {
        self.sets
            .iter()
            .rev()
            .find(|set| set.position.index <= index)
    }

    /// Returns whether a replaced set is still in effect.
    pub fn is_joint(&self) -> bool {
        self.sets.len() > 1
    }

    /// Returns whether a member is in the last set.
    pub fn contains(&self, member: &Member) -> bool {
        self.current()
            .is_some_and(|set| set.members.contains(member))
    }

    // The last set, and the one that it replaces until it is known to be committed.
    fn sets_in_effect(&self) -> impl Iterator<Item = &Set> {
        self.sets.iter().rev().take(2)
    }

    /// Returns the members of all sets in effect, without duplicates.
    pub fn members(&self) -> SmallVec<[&Member; 8]> {
        let mut members = SmallVec::new();
        for member in self.sets_in_effect().flat_map(|set| &set.members) {
            if !members.contains(&member) {
                members.push(member);
            }
        }
        members
    }

    /// Returns whether the members that satisfy a predicate are a quorum.
    pub fn has_quorum(&self, predicate: impl Fn(&Member) -> bool) -> bool {
        let majority = |set: &Set| {
            let count = set
                .members
                .iter()
                .filter(|member| predicate(member))
                .count();
            count > set.members.len() / 2
        };
        !self.sets.is_empty() && self.sets_in_effect().all(majority)
    }

    /// Returns the highest value that is reached by a quorum.
    pub fn quorum_value<T: Ord + Copy>(&self, value: impl Fn(&Member) -> T) -> Option<T> {
        let members = self.members();
        let values = members.iter().map(|member| value(member));
        values
            .filter(|reached| self.has_quorum(|member| value(member) >= *reached))
            .max()
    }
}
