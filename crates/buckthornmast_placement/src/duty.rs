//! Moves that every policy owes, whatever it optimises.
//!
//! An artifact without a reachable copy gets one, a target that is leaving is emptied, and a rollout
//! proceeds. The new version is loaded beside the old one, or waits for memory; old copies go once the
//! new version is reachable.

use buckthornmast_types::{report::Phase, size::Bytes};

use crate::{
    draft::Draft,
    plan::{Action, Move, Moves, Reason},
    view::Health,
};

/// Appends a move to a plan and applies it to the draft, if the rules and the limit allow it.
pub fn push(draft: &mut Draft<'_>, moves: &mut Moves, limit: usize, wanted: Move) -> bool {
    if moves.len() >= limit || !draft.allows(wanted.action) {
        return false;
    }
    draft.apply(wanted.action);
    moves.push(wanted);
    true
}

/// Returns the demand for one copy of an artifact, in requests a second times weight.
pub fn demand_per_copy(draft: &Draft<'_>, item: usize) -> f64 {
    let entry = &draft.view().artifacts[item];
    entry.demand.rate.get() * entry.weight / draft.copies(item).len().max(1) as f64
}

/// Returns the moves that reachability, drains and rollouts ask for.
pub fn moves(draft: &mut Draft<'_>, team: usize, limit: usize) -> Moves {
    let mut moves = Moves::new();
    rescue(draft, team, limit, &mut moves);
    drain(draft, team, limit, &mut moves);
    retire(draft, team, limit, &mut moves);
    moves
}

fn own_items(draft: &Draft<'_>, team: usize) -> impl Iterator<Item = usize> + use<> {
    let artifacts = &draft.view().artifacts;
    let own: Vec<_> = (0..artifacts.len())
        .filter(|item| artifacts[*item].team == team)
        .collect();
    own.into_iter()
}

fn rescue(draft: &mut Draft<'_>, team: usize, limit: usize, moves: &mut Moves) {
    let view = draft.view();
    let mut lost: Vec<_> = own_items(draft, team)
        .filter(|item| !draft.is_covered(*item) && !view.is_superseded(*item))
        .filter(|item| {
            // A replaced version that has no copy left is not worth a load any more.
            let entry = &view.artifacts[*item];
            entry.replaced_by.is_none() || !entry.copies.is_empty()
        })
        .collect();
    // What only a departing target has comes first, since it still answers for a short while. A model comes
    // before an adapter, which can't be loaded without it, then the larger demand counts.
    lost.sort_by(|a, b| {
        let key = |item: usize| {
            let entry = &view.artifacts[item];
            let is_departing = view.is_departing(item);
            (
                !is_departing,
                entry.base.is_some(),
                -entry.demand.rate.get(),
            )
        };
        key(*a)
            .partial_cmp(&key(*b))
            .unwrap_or(std::cmp::Ordering::Equal)
    });
    for item in lost {
        let olds = 0..view.artifacts.len();
        let mut olds = olds.filter(|old| view.artifacts[*old].replaced_by == Some(item));
        let reason = match olds.any(|old| view.is_item_reachable(old)) {
            true => Reason::Rollout,
            false => Reason::Unreachable,
        };
        let placed = place(draft, team, item, reason, limit, moves);
        if let Some(base) = view.artifacts[item].base.filter(|_| !placed) {
            widen(draft, team, base, reason, limit, moves);
        }
    }
}

/// Loads another copy of a model whose targets have no memory for an adapter that has no copy yet.
fn widen(
    draft: &mut Draft<'_>,
    team: usize,
    base: usize,
    reason: Reason,
    limit: usize,
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
                limit,
                Move {
                    action,
                    reason,
                    value: 0.0,
                },
            );
        }
        None => {
            make_room(draft, team, base, f64::INFINITY, limit, moves);
        }
    }
}

/// Loads an artifact where it fits best, or makes room for it.
///
/// Returns whether the artifact is loaded or room is being made. Room for demand is made only if the copies that go serve less demand than the new copy would.
pub fn place(
    draft: &mut Draft<'_>,
    team: usize,
    item: usize,
    reason: Reason,
    limit: usize,
    moves: &mut Moves,
) -> bool {
    let value = draft.view().artifacts[item].demand.rate.get();
    let worth = match reason {
        Reason::Demand => demand_per_copy(draft, item),
        _ => f64::INFINITY,
    };
    let wanted = |target| Move {
        action: Action::Load {
            artifact: item,
            target,
        },
        reason,
        value,
    };
    if let Some(target) = best_target(draft, item) {
        return push(draft, moves, limit, wanted(target));
    }
    if make_room(draft, team, item, worth, limit, moves) {
        return true;
    }
    // Nothing of the team's own can go, so the wish itself is passed to the arbiter.
    let hosts = 0..draft.view().targets.len();
    let target = hosts
        .filter(|target| draft.is_eligible(item, *target))
        .max_by_key(|target| draft.free(*target));
    match target {
        Some(target)
            if moves.len() < limit && matches!(reason, Reason::Unreachable | Reason::Rollout) =>
        {
            moves.push(wanted(target));
            false
        }
        _ => false,
    }
}

/// Returns the best target with free memory: one that also has room for the adapters first, then
/// another failure domain, then the lowest load, then the most free memory.
pub fn best_target(draft: &Draft<'_>, item: usize) -> Option<usize> {
    let view = draft.view();
    let bytes = footprint(draft, item);
    let hosts = (0..view.targets.len()).filter(|target| draft.can_load(item, *target));
    hosts.min_by_key(|target| {
        let host = &view.targets[*target];
        let shared = draft
            .copies(item)
            .iter()
            .filter(|copy| view.targets[copy.target].domain == host.domain)
            .count();
        let load = (host.load.running + host.load.waiting) * 8 / host.load.slots.max(1);
        let tight = draft.free(*target) < bytes;
        (tight, shared, load, std::cmp::Reverse(draft.free(*target)))
    })
}

/// Unloads spare copies of the team so that an artifact fits on a target.
///
/// Returns false if no target can be made to fit. The load follows in a later decision, once the
/// unloads are confirmed.
pub fn make_room(
    draft: &mut Draft<'_>,
    team: usize,
    item: usize,
    worth: f64,
    limit: usize,
    moves: &mut Moves,
) -> bool {
    let view = draft.view();
    let class = |other: usize| (view.artifacts[other].team == team).then_some(0);
    let best = (0..view.targets.len())
        .filter(|target| draft.is_eligible(item, *target))
        .filter_map(|target| Some((target, find_room(draft, item, target, class)?)))
        .filter(|(_, room)| room.loss < worth)
        .min_by(|a, b| {
            a.1.tight
                .cmp(&b.1.tight)
                .then(a.1.loss.total_cmp(&b.1.loss))
        });
    let Some((target, Room { victims, .. })) = best else {
        return false;
    };
    for victim in victims {
        evict(draft, victim, target, Reason::Room, limit, moves);
    }
    // Without this, a lesser wish takes the memory as soon as it is free.
    draft.reserve(target);
    true
}

/// Copies that would have to go from a target.
#[derive(Debug, Clone, Default)]
pub struct Room {
    /// Copies.
    pub victims: Vec<usize>,
    /// Whether the artifact fits, but not all of its adapters that have no copy yet.
    pub tight: bool,
    /// Sum of the classes of the copies.
    pub class: usize,
    /// Demand that the copies serve.
    pub loss: f64,
}

/// Returns the spare copies on a target that would free enough memory, of the lowest class and with the
/// least demand first. Memory that is already being freed counts. `class` tells which copies may go.
pub fn find_room(
    draft: &Draft<'_>,
    item: usize,
    target: usize,
    class: impl Fn(usize) -> Option<usize>,
) -> Option<Room> {
    let view = draft.view();
    let bytes = |item: usize| view.artifacts[item].bytes;
    let on = draft.on(target).iter().copied();
    let leaving = on.filter(|other| draft.phase(*other, target) == Some(Phase::Unloading));
    let mut free = draft.free(target).saturating_add(leaving.map(bytes).sum());
    let on = draft.on(target).iter().copied();
    let mut spare: Vec<(usize, f64, usize)> = on
        .filter(|other| *other != item && is_victim(draft, *other, item, target))
        .filter_map(|other| Some((class(other)?, demand_per_copy(draft, other), other)))
        .collect();
    spare.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
    let mut room = Room::default();
    for (class, loss, other) in spare {
        if free >= footprint(draft, item) {
            break;
        }
        free = free.saturating_add(bytes(other));
        room.class += class;
        room.loss += loss;
        room.victims.push(other);
    }
    room.tight = free < footprint(draft, item);
    (free >= bytes(item)).then_some(room)
}

/// Returns the memory of an artifact and of its adapters that have no copy yet.
fn footprint(draft: &Draft<'_>, item: usize) -> Bytes {
    let artifacts = &draft.view().artifacts;
    let bytes = artifacts[item].bytes;
    let adapters = draft.all_adapters(item).iter();
    let missing = adapters.filter(|adapter| !draft.is_covered(**adapter));
    bytes.saturating_add(missing.map(|adapter| artifacts[*adapter].bytes).sum())
}

/// Returns whether a copy may make room for an artifact: not the model that the artifact stands on.
pub fn is_victim(draft: &Draft<'_>, victim: usize, item: usize, target: usize) -> bool {
    let artifacts = &draft.view().artifacts;
    match artifacts[victim].base {
        Some(_) => draft.can_unload(victim, target),
        None => artifacts[item].base != Some(victim) && is_evictable(draft, victim, target),
    }
}

/// Returns whether a copy can go, possibly after its adapters have been moved to other copies.
pub fn is_evictable(draft: &Draft<'_>, item: usize, target: usize) -> bool {
    draft.phase(item, target) == Some(Phase::Ready)
        && draft.is_spare(item, target)
        && draft.adapters(item, target).all(|adapter| {
            draft.is_spare(adapter, target)
                || draft
                    .copies(adapter)
                    .iter()
                    .any(|c| c.target != target && c.phase == Phase::Loading)
                || refuge(draft, adapter, target).is_some()
        })
}

fn refuge(draft: &Draft<'_>, adapter: usize, from: usize) -> Option<usize> {
    let entry = &draft.view().artifacts[adapter];
    // A version that is being replaced waits for its replacement; moving it would be in vain.
    let base = entry.base.filter(|_| entry.replaced_by.is_none())?;
    let copies = draft.copies(base).iter();
    copies
        .map(|copy| copy.target)
        .find(|target| *target != from && draft.can_load(adapter, *target))
}

/// Takes the next step to remove a copy: its adapters are moved or unloaded first, then the copy goes.
pub fn evict(
    draft: &mut Draft<'_>,
    item: usize,
    target: usize,
    reason: Reason,
    limit: usize,
    moves: &mut Moves,
) {
    let value = 0.0;
    let adapters: Vec<_> = draft.adapters(item, target).collect();
    for artifact in adapters.iter().copied() {
        let action = if draft.can_unload(artifact, target) {
            Action::Unload { artifact, target }
        } else {
            let pending = draft.copies(artifact).iter();
            let pending = pending
                .filter(|c| c.target != target && c.phase == Phase::Loading)
                .count();
            match refuge(draft, artifact, target) {
                Some(to) if pending == 0 => Action::Shift {
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
            limit,
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
            limit,
            Move {
                action,
                reason,
                value,
            },
        );
    }
}

fn drain(draft: &mut Draft<'_>, team: usize, limit: usize, moves: &mut Moves) {
    let view = draft.view();
    for item in own_items(draft, team) {
        for copy in view.artifacts[item].copies.clone() {
            if view.targets[copy.target].health != Health::Leaving {
                continue;
            }
            if draft.is_covered(item) {
                evict(draft, item, copy.target, Reason::Drain, limit, moves);
            }
        }
    }
}

fn retire(draft: &mut Draft<'_>, team: usize, limit: usize, moves: &mut Moves) {
    let view = draft.view();
    for old in own_items(draft, team) {
        let Some(new) = view.artifacts[old].replaced_by else {
            continue;
        };
        if !view.is_superseded(old) {
            continue;
        }
        // Old copies go one for one while the new version still finds room, and all at once if not.
        let keep = draft.reachable(new) < draft.reachable(old) && best_target(draft, new).is_some();
        if keep {
            place(draft, team, new, Reason::Rollout, limit, moves);
            continue;
        }
        for copy in view.artifacts[old].copies.clone() {
            evict(draft, old, copy.target, Reason::Rollout, limit, moves);
        }
    }
}
