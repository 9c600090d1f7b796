//! Trait of policies.

use crate::{plan::Moves, view::View};

/// Rule that decides on the placement of one team's artifacts.
pub trait Policy {
    /// What the policy remembers from one decision to the next.
    type Memory: Default;

    /// Returns at most `limit` moves for artifacts of the team with index `team`.
    ///
    /// The result depends on the arguments only. A load may name a target that lacks memory if the
    /// artifact has no copy at all that can answer; the arbiter then reclaims spare copies of other teams.
    fn decide(&self, view: &View, team: usize, memory: &mut Self::Memory, limit: usize) -> Moves;

    /// Returns the moves that the policy would make, without changing its memory or anything else.
    fn evaluate(&self, view: &View, team: usize, memory: &Self::Memory, limit: usize) -> Moves
    where
        Self::Memory: Clone,
    {
        self.decide(view, team, &mut memory.clone(), limit)
    }
}
