//! Moves that every policy has to propose, whatever it optimises.
//!
//! An artifact without a reachable copy gets one, a leaving target is emptied, and rollouts proceed. The
//! new version is loaded beside the old one, or waits for memory; old copies are unloaded once the new
//! version is reachable.

use buckthornmast_types::{report::Phase, size::Bytes};

use crate::{
    draft::Draft,
    plan::{Action, Move, Moves, Reason},
    view::Health,
};

/// Appends a move to a plan and applies it to the draft, if the rules and `max_moves` allow it.
pub fn push(draft: &mut Draft<'_>, moves: &mut Moves, max_moves: usize, proposal: Move) -> bool {
    if moves.len() >= max_moves || !draft.allows(proposal.action) {
        return false;
    }
    draft.apply(proposal.action);
    moves.push(proposal);
    true
}

/// Returns the demand per copy of an artifact, in requests per second times their weight.
pub fn demand_per_copy(draft: &Draft<'_>, item: usize) -> f64 {
    let entry = &draft.view().artifacts[item];
    entry.demand.rate.get() * entry.weight / draft.copies(item).len().max(1) as f64
}

/// Returns the moves that reachability, drains and rollouts require.
pub fn moves(draft: &mut Draft<'_>, team: usize, max_moves: usize) -> Moves {
    let mut moves = Moves::new();
    restore_reachability(draft, team, max_moves, &mut moves);
    drain(draft, team, max_moves, &mut moves);
    advance_rollouts(draft, team, max_moves, &mut moves);
    moves
}

fn team_items(draft: &Draft<'_>, team: usize) -> impl Iterator<Item = usize> + use<> {
    let artifacts = &draft.view().artifacts;
    let items: Vec<_> = (0..artifacts.len())
        .filter(|item| artifacts[*item].team == team)
        .collect();
    items.into_iter()
}

/// Proposes a copy of each artifact that no ready target has ready or is loading.
fn restore_reachability(draft: &mut Draft<'_>, team: usize, max_moves: usize, moves: &mut Moves) {
    let view = draft.view();
    let mut uncovered: Vec<_> = team_items(draft, team)
        .filter(|item| !draft.is_covered(*item) && !view.is_superseded(*item))
        .filter(|item| {
            // A version that is being replaced is not loaded again once it has no copies left.
            let entry = &view.artifacts[*item];
            entry.replaced_by.is_none() || !entry.copies.is_empty()
        })
        .collect();
    // Artifacts that only a leaving target has ready come first, since that target answers for a short time
    // only. Models come before adapters, which can't be loaded without them, then the larger demand decides.
    uncovered.sort_by(|a, b| {
        let key = |item: usize| {
            let entry = &view.artifacts[item];
            let is_only_on_leaving_targets = view.is_only_on_leaving_targets(item);
            (
                !is_only_on_leaving_targets,
                entry.base.is_some(),
                -entry.demand.rate.get(),
            )
        };
        key(*a)
            .partial_cmp(&key(*b))
            .unwrap_or(std::cmp::Ordering::Equal)
    });
    for item in uncovered {
        let old_versions = 0..view.artifacts.len();
        let mut old_versions =
            old_versions.filter(|old| view.artifacts[*old].replaced_by == Some(item));
        let reason = match old_versions.any(|old| view.is_artifact_reachable(old)) {
            true => Reason::Rollout,
            false => Reason::Unreachable,
        };
        let is_placed = place_copy(draft, team, item, reason, max_moves, moves);
        if let Some(base) = view.artifacts[item].base.filter(|_| !is_placed) {
            add_base_copy(draft, team, base, reason, max_moves, moves);
        }
    }
}

/// Loads another copy of a model if none of its targets has memory for an adapter without a copy.
fn add_base_copy(
    draft: &mut Draft<'_>,
    team: usize,
    base: usize,
    reason: Reason,
    max_moves: usize,
    moves: &mut Moves,
) {
    let copies = draft.copies(base).iter();
    if copies.filter(|copy| copy.phase != Phase::Ready).count() > 0 {
        return;
    }
    let target = best_target(draft, base);
    match target.filter(|target| draft.free(*target) >= footprint(draft, base)) {
        Some(target) => {
            let action = Action::Load {
                artifact: base,
                target,
            };
            push(
                draft,
                moves,
                max_moves,
                Move {
                    action,
                    reason,
                    value: 0.0,
                },
            );
        }
        None => {
            evict_to_fit(draft, team, base, f64::INFINITY, max_moves, moves);
        }
    }
}

/// Proposes to load an artifact on the best target, or to evict copies so that it fits.
///
/// Returns whether a load that fits was proposed, or copies are being evicted for it. For [`Reason::Demand`],
/// copies are evicted only if they serve less demand than the new copy would. If the team can evict nothing for
/// [`Reason::Unreachable`] or [`Reason::Rollout`], the load is proposed all the same, so that the arbiter reclaims
/// memory, and the result is `false`.
pub fn place_copy(
    draft: &mut Draft<'_>,
    team: usize,
    item: usize,
    reason: Reason,
    max_moves: usize,
    moves: &mut Moves,
) -> bool {
    let value = draft.view().artifacts[item].demand.rate.get();
    let max_loss = match reason {
        Reason::Demand => demand_per_copy(draft, item),
        _ => f64::INFINITY,
    };
    let proposal = |target| Move {
        action: Action::Load {
            artifact: item,
            target,
        },
        reason,
        value,
    };
    if let Some(target) = best_target(draft, item) {
        return push(draft, moves, max_moves, proposal(target));
    }
    if evict_to_fit(draft, team, item, max_loss, max_moves, moves) {
        return true;
    }
    // No copy of the team can be evicted, so the arbiter has to reclaim memory for the load.
    let targets = 0..draft.view().targets.len();
    let target = targets
        .filter(|target| draft.is_eligible(item, *target))
        .max_by_key(|target| draft.free(*target));
    match target {
        Some(target)
            if moves.len() < max_moves
                && matches!(reason, Reason::Unreachable | Reason::Rollout) =>
        {
            moves.push(proposal(target));
            false
        }
        _ => false,
    }
}

/// Returns the best target with enough free memory.
///
/// Targets that also have memory for the adapters come first, then those in a failure domain with fewer copies,
/// then those with the lowest load, then those with the most free memory.
pub fn best_target(draft: &Draft<'_>, item: usize) -> Option<usize> {
    let view = draft.view();
    let bytes = footprint(draft, item);
    let targets = (0..view.targets.len()).filter(|target| draft.can_load(item, *target));
    targets.min_by_key(|target| {
        let host = &view.targets[*target];
        let domain_copies = draft
            .copies(item)
            .iter()
            .filter(|copy| view.targets[copy.target].domain == host.domain)
            .count();
        let load = (host.load.running + host.load.waiting) * 8 / host.load.slots.max(1);
        let is_tight = draft.free(*target) < bytes;
        (
            is_tight,
            domain_copies,
            load,
            std::cmp::Reverse(draft.free(*target)),
        )
    })
}

/// Unloads spare copies of the team so that an artifact fits on a target.
///
/// Returns false if no eviction makes the artifact fit on a target. A later decision loads the artifact, once the
/// unloads are confirmed.
pub fn evict_to_fit(
    draft: &mut Draft<'_>,
    team: usize,
    item: usize,
    max_loss: f64,
    max_moves: usize,
    moves: &mut Moves,
) -> bool {
    let view = draft.view();
    let class = |other: usize| (view.artifacts[other].team == team).then_some(0);
    let best = (0..view.targets.len())
        .filter(|target| draft.is_eligible(item, *target))
        .filter_map(|target| Some((target, plan_eviction(draft, item, target, class)?)))
        .filter(|(_, plan)| plan.loss < max_loss)
        .min_by(|a, b| {
            a.1.is_tight
                .cmp(&b.1.is_tight)
                .then(a.1.loss.total_cmp(&b.1.loss))
        });
    let Some((target, EvictionPlan { victims, .. })) = best else {
        return false;
    };
    for victim in victims {
        evict(draft, victim, target, Reason::Room, max_moves, moves);
    }
    // Otherwise a proposal of lower rank would take the memory as soon as it is free.
    draft.reserve(target);
    true
}

/// Copies to evict from a target so that an artifact fits.
#[derive(Debug, Clone, Default)]
pub struct EvictionPlan {
    /// Artifacts whose copies are evicted.
    pub victims: Vec<usize>,
    /// Whether the artifact fits, but not all of its adapters without a copy.
    pub is_tight: bool,
    /// Sum of the eviction classes of the copies.
    pub class: usize,
    /// Demand that the copies serve, in requests per second times their weight.
    pub loss: f64,
}

/// Returns the spare copies on a target whose eviction frees enough memory for an artifact.
///
/// Copies of the lowest class come first, then those with the least demand. Memory that is already being freed
/// counts. `class` returns the eviction class of an artifact, or `None` if its copies may not be evicted.
pub fn plan_eviction(
    draft: &Draft<'_>,
    item: usize,
    target: usize,
    class: impl Fn(usize) -> Option<usize>,
) -> Option<EvictionPlan> {
    let view = draft.view();
    let bytes = |item: usize| view.artifacts[item].bytes;
    let on_target = draft.artifacts_on(target).iter().copied();
    let unloading = on_target.filter(|other| draft.phase(*other, target) == Some(Phase::Unloading));
    let mut free = draft
        .free(target)
        .saturating_add(unloading.map(bytes).sum());
    let on_target = draft.artifacts_on(target).iter().copied();
    let mut spare: Vec<(usize, f64, usize)> = on_target
        .filter(|other| *other != item && is_victim(draft, *other, item, target))
        .filter_map(|other| Some((class(other)?, demand_per_copy(draft, other), other)))
        .collect();
    spare.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
    let mut plan = EvictionPlan::default();
    for (class, loss, other) in spare {
        if free >= footprint(draft, item) {
            break;
        }
        free = free.saturating_add(bytes(other));
        plan.class += class;
        plan.loss += loss;
        plan.victims.push(other);
    }
    plan.is_tight = free < footprint(draft, item);
    (free >= bytes(item)).then_some(plan)
}

/// Returns the memory that an artifact and its adapters without a copy need.
fn footprint(draft: &Draft<'_>, item: usize) -> Bytes {
    let artifacts = &draft.view().artifacts;
    let bytes = artifacts[item].bytes;
    let adapters = draft.all_adapters(item).iter();
    let missing = adapters.filter(|adapter| !draft.is_covered(**adapter));
    bytes.saturating_add(missing.map(|adapter| artifacts[*adapter].bytes).sum())
}

/// Returns whether a copy may be evicted for an artifact. The base model of that artifact may not.
pub fn is_victim(draft: &Draft<'_>, victim: usize, item: usize, target: usize) -> bool {
    let artifacts = &draft.view().artifacts;
    match artifacts[victim].base {
        Some(_) => draft.can_unload(victim, target),
        None => artifacts[item].base != Some(victim) && is_evictable(draft, victim, target),
    }
}

/// Returns whether a copy can be unloaded, possibly after its adapters have been shifted to other targets.
pub fn is_evictable(draft: &Draft<'_>, item: usize, target: usize) -> bool {
    draft.phase(item, target) == Some(Phase::Ready)
        && draft.is_spare(item, target)
        && draft.adapters(item, target).all(|adapter| {
            draft.is_spare(adapter, target)
                || draft
                    .copies(adapter)
                    .iter()
                    .any(|c| c.target != target && c.phase == Phase::Loading)
                || shift_target(draft, adapter, target).is_some()
        })
}

fn shift_target(draft: &Draft<'_>, adapter: usize, from: usize) -> Option<usize> {
    let entry = &draft.view().artifacts[adapter];
    // A version that is being replaced waits for its replacement; shifting it would be wasted work.
    let base = entry.base.filter(|_| entry.replaced_by.is_none())?;
    let copies = draft.copies(base).iter();
    copies
        .map(|copy| copy.target)
        .find(|target| *target != from && draft.can_load(adapter, *target))
}

/// Proposes the next moves to remove a copy: its adapters are shifted or unloaded first, then the copy itself.
pub fn evict(
    draft: &mut Draft<'_>,
    item: usize,
    target: usize,
    reason: Reason,
    max_moves: usize,
    moves: &mut Moves,
) {
    let value = 0.0;
    let adapters: Vec<_> = draft.adapters(item, target).collect();
    for artifact in adapters.iter().copied() {
        let action = if draft.can_unload(artifact, target) {
            Action::Unload { artifact, target }
        } else {
            let loading = draft.copies(artifact).iter();
            let loading = loading
                .filter(|c| c.target != target && c.phase == Phase::Loading)
                .count();
            match shift_target(draft, artifact, target) {
                Some(to) if loading == 0 => Action::Shift {
                    artifact,
                    from: target,
                    to,
                },
                _ => continue,
            }
        };
        push(
            draft,
            moves,
            max_moves,
            Move {
                action,
                reason,
                value,
            },
        );
    }
    if adapters.is_empty() {
        let action = Action::Unload {
            artifact: item,
            target,
        };
        push(
            draft,
            moves,
            max_moves,
            Move {
                action,
                reason,
                value,
            },
        );
    }
}

/// Evicts copies from leaving targets if the artifact is ready or loading on a ready target.
fn drain(draft: &mut Draft<'_>, team: usize, max_moves: usize, moves: &mut Moves) {
    let view = draft.view();
    for item in team_items(draft, team) {
        for copy in view.artifacts[item].copies.clone() {
            if view.targets[copy.target].health != Health::Departing {
                continue;
            }
            if draft.is_covered(item) {
                evict(draft, item, copy.target, Reason::Drain, max_moves, moves);
            }
        }
    }
}

/// Replaces the copies of old versions whose new version is reachable.
fn advance_rollouts(draft: &mut Draft<'_>, team: usize, max_moves: usize, moves: &mut Moves) {
    let view = draft.view();
    for old in team_items(draft, team) {
        let Some(new) = view.artifacts[old].replaced_by else {
            continue;
        };
        if !view.is_superseded(old) {
            continue;
        }
        // Old copies are replaced one by one while the new version still fits on a target, and all at once if not.
        let should_add_copy = draft.reachable_copies(new) < draft.reachable_copies(old)
            && best_target(draft, new).is_some();
        if should_add_copy {
            place_copy(draft, team, new, Reason::Rollout, max_moves, moves);
            continue;
        }
        for copy in view.artifacts[old].copies.clone() {
            evict(draft, old, copy.target, Reason::Rollout, max_moves, moves);
        }
    }
}
