//! Placement by the demand of this moment.
//!
//! Each artifact gets as many copies as its current token load fills, the largest shortfall first, and
//! spare copies with the least demand make room. It neither forecasts nor weighs the cost of a move.

use crate::{
    draft::Draft,
    duty,
    plan::{Moves, Reason},
    policy::Policy,
    view::View,
};

/// Policy `greedy`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Greedy {
    /// Share of a target's capacity that one copy may fill.
    pub fill: f64,
}

impl Default for Greedy {
    /// Returns the fill with the best attainment for the fewest moves in `docs/POLICIES.md`.
    fn default() -> Self {
        Self { fill: 0.7 }
    }
}

impl Greedy {
    fn wanted_copies(&self, view: &View, artifact: usize) -> usize {
        let capacity: f64 = view.targets.iter().map(|host| host.capacity.get()).sum();
        let mean = (capacity / view.targets.len().max(1) as f64).max(1.0);
        let tokens = view.artifacts[artifact].demand.tokens.get();
        (tokens / (mean * self.fill)).ceil().max(1.0) as usize
    }
}

impl Policy for Greedy {
    type Memory = ();

    fn decide(&self, view: &View, team: usize, (): &mut (), limit: usize) -> Moves {
        let mut draft = Draft::new(view);
        let mut moves = duty::moves(&mut draft, team, limit);
        let mut short: Vec<(usize, usize)> = (0..view.artifacts.len())
            .filter(|item| view.artifacts[*item].team == team && !view.is_superseded(*item))
            .filter_map(|item| {
                let shortfall = self
                    .wanted_copies(view, item)
                    .saturating_sub(draft.copies(item).len());
                (shortfall > 0).then_some((shortfall, item))
            })
            .collect();
        short.sort_by(|a, b| b.cmp(a));
        for (shortfall, item) in short {
            for _ in 0..shortfall {
                if moves.len() >= limit
                    || !duty::place(&mut draft, team, item, Reason::Demand, limit, &mut moves)
                {
                    break;
                }
            }
        }
        moves
    }
}
