//! Policy trait.

use crate::{plan::Moves, view::View};

/// Algorithm that decides on the placement of one team's artifacts.
pub trait Policy {
    /// State that the policy keeps from one decision to the next.
    type State: Default;

    /// Returns at most `max_moves` moves for artifacts of the team with index `team`.
    ///
    /// The result depends on the arguments only. A load may name a target without enough free memory if the
    /// artifact has no copy that can answer requests; the arbiter then reclaims spare copies of other teams.
    fn decide(&self, view: &View, team: usize, state: &mut Self::State, max_moves: usize) -> Moves;

    /// Returns the moves that the policy would propose, without changing its state.
    fn evaluate(&self, view: &View, team: usize, state: &Self::State, max_moves: usize) -> Moves
    where
        Self::State: Clone,
    {
        self.decide(view, team, &mut state.clone(), max_moves)
    }
}
