//! Placement by current demand.
//!
//! Each artifact gets as many copies as its current token load fills, the largest shortfall first. Spare
//! copies with the least demand are evicted to free memory. The policy neither forecasts demand nor
//! considers the cost of a move.

use crate::{
    draft::Draft,
    mandatory,
    plan::{Moves, Reason},
    policy::Policy,
    view::View,
};

/// Policy `greedy`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Greedy {
    /// Share of a target's capacity that one copy may use.
    pub fill: f64,
}

impl Default for Greedy {
    /// Returns the default fill. A lower one causes more moves, a higher one lowers attainment;
    /// `docs/POLICIES.md` compares them.
    fn default() -> Self {
        Self { fill: 0.7 }
    }
}

impl Greedy {
    fn required_copies(&self, view: &View, artifact: usize) -> usize {
        let capacity: f64 = view
            .targets
            .iter()
            .map(|target| target.capacity.get())
            .sum();
        let mean = (capacity / view.targets.len().max(1) as f64).max(1.0);
        let tokens = view.artifacts[artifact].demand.tokens.get();
        (tokens / (mean * self.fill)).ceil().max(1.0) as usize
    }
}

impl Policy for Greedy {
    type State = ();

    fn decide(&self, view: &View, team: usize, (): &mut (), max_moves: usize) -> Moves {
        let mut draft = Draft::new(view);
        let mut moves = mandatory::moves(&mut draft, team, max_moves);
        let mut shortfalls: Vec<(usize, usize)> = (0..view.artifacts.len())
            .filter(|item| view.artifacts[*item].team == team && !view.is_superseded(*item))
            .filter_map(|item| {
                let shortfall = self
                    .required_copies(view, item)
                    .saturating_sub(draft.copies(item).len());
                (shortfall > 0).then_some((shortfall, item))
            })
            .collect();
        shortfalls.sort_by(|a, b| b.cmp(a));
        for (shortfall, item) in shortfalls {
            for _ in 0..shortfall {
                if moves.len() >= max_moves
                    || !mandatory::place_copy(
                        &mut draft,
                        team,
                        item,
                        Reason::Demand,
                        max_moves,
                        &mut moves,
                    )
                {
                    break;
                }
            }
        }
        moves
    }
}
