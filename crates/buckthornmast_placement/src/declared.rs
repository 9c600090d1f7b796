//! Placement as declared in the settings.
//!
//! Loads each declared copy and ignores demand. Copies that are not declared, such as one that replaced a
//! lost copy, stay until a declared copy needs their memory.

use crate::{
    draft::Draft,
    mandatory,
    plan::{Action, Move, Moves, Reason},
    policy::Policy,
    view::View,
};

/// Policy `static`.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Declared;

impl Policy for Declared {
    type State = ();

    fn decide(&self, view: &View, team: usize, (): &mut (), max_moves: usize) -> Moves {
        let mut draft = Draft::new(view);
        let mut moves = mandatory::moves(&mut draft, team, max_moves);
        for artifact in 0..view.artifacts.len() {
            let entry = &view.artifacts[artifact];
            if entry.team != team || view.is_superseded(artifact) {
                continue;
            }
            for target in entry.declared_targets.iter().copied() {
                let proposal = Move {
                    action: Action::Load { artifact, target },
                    reason: Reason::Declared,
                    value: entry.demand.rate.get(),
                };
                if mandatory::push(&mut draft, &mut moves, max_moves, proposal)
                    || !draft.is_eligible(artifact, target)
                {
                    continue;
                }
                evict_undeclared(&mut draft, team, target, max_moves, &mut moves);
            }
        }
        moves
    }
}

fn evict_undeclared(
    draft: &mut Draft<'_>,
    team: usize,
    target: usize,
    max_moves: usize,
    moves: &mut Moves,
) {
    let view = draft.view();
    for other in draft.artifacts_on(target).to_vec() {
        let entry = &view.artifacts[other];
        let is_undeclared = entry.team == team && !entry.declared_targets.contains(&target);
        if is_undeclared && mandatory::is_evictable(draft, other, target) {
            mandatory::evict(draft, other, target, Reason::Room, max_moves, moves);
        }
    }
}
