//! Moves that follow from the settings alone: missing copies, version changes and drains.

use std::collections::{HashMap, VecDeque};

use buckthornmast_ledger::prelude::*;
use buckthornmast_types::{prelude::*, report::Phase};

use crate::{
    core::Shift,
    plan::{Move, Need, Plan, TargetView, View},
};

/// Copies of one artifact, as indices into the view's targets.
#[derive(Debug, Default)]
struct ArtifactCopies {
    /// Ready on targets whose copies count for the guard, with no open unload.
    stable: Vec<usize>,
    /// Ready on targets whose copies do not count for the guard.
    uncounted: Vec<usize>,
    /// Being loaded on targets whose copies count for the guard.
    loading: Vec<usize>,
}

/// Index of a view by artifact, with the memory that remains free after the moves so far.
pub(crate) struct CopyIndex<'a> {
    view: &'a View,
    is_counted: Vec<bool>,
    free: Vec<Bytes>,
    copies_by_artifact: HashMap<&'a Artifact, ArtifactCopies>,
}

impl<'a> CopyIndex<'a> {
    pub(crate) fn new(view: &'a View, guard: &Guard) -> Self {
        let targets = view.targets.iter();
        let is_counted: Vec<bool> = targets.map(|t| guard.is_counted(&t.target)).collect();
        let mut copies_by_artifact: HashMap<&Artifact, ArtifactCopies> = HashMap::new();
        for (index, target) in view.targets.iter().enumerate() {
            for copy in &target.copies {
                let copies = copies_by_artifact.entry(&copy.artifact).or_default();
                let is_leaving = |a: &Artifact| *a == copy.artifact || *a == copy.artifact.base();
                let is_stable = !target.unloading.iter().any(is_leaving);
                match copy.phase {
                    Phase::Ready if is_counted[index] && is_stable => copies.stable.push(index),
                    Phase::Ready if !is_counted[index] => copies.uncounted.push(index),
                    Phase::Loading if is_counted[index] => copies.loading.push(index),
                    _ => {}
                }
            }
            for artifact in target.loading.iter().filter(|_| is_counted[index]) {
                let copies = copies_by_artifact.entry(artifact).or_default();
                let is_listed = copies.stable.contains(&index) || copies.loading.contains(&index);
                if !is_listed {
                    copies.loading.push(index);
                }
            }
        }
        Self {
            view,
            is_counted,
            free: view.targets.iter().map(|t| t.free).collect(),
            copies_by_artifact,
        }
    }

    fn stable(&self, artifact: &Artifact) -> &[usize] {
        self.copies_by_artifact
            .get(artifact)
            .map_or(&[], |copies| &copies.stable)
    }

    fn loading(&self, artifact: &Artifact) -> &[usize] {
        self.copies_by_artifact
            .get(artifact)
            .map_or(&[], |copies| &copies.loading)
    }

    fn fits(&self, index: usize, need: &Need) -> bool {
        let target: &TargetView = &self.view.targets[index];
        let artifact = &need.artifact;
        let base = artifact.base();
        self.is_counted[index]
            && target.service == need.service
            && self.free[index] >= need.bytes
            && target.copies.iter().all(|copy| copy.artifact != *artifact)
            && !target.loading.contains(artifact)
            && !target.unloading.contains(artifact)
            && (artifact.adapter.is_none() || self.stable(&base).contains(&index))
    }

    /// Returns the target with the least sufficient memory, so that larger artifacts fit elsewhere.
    fn best_fit(&self, need: &Need) -> Option<usize> {
        let fitting = (0..self.free.len()).filter(|index| self.fits(*index, need));
        fitting.min_by_key(|index| self.free[*index])
    }

    fn reserve(&mut self, index: usize, need: &Need) -> id::Target {
        self.free[index] = self.free[index].saturating_sub(need.bytes);
        self.view.targets[index].target.clone()
    }

    /// Returns whether a need's artifact is ready in any version on a target that is drained or leaving, but on
    /// no target whose copies count for the guard.
    fn is_departing(&self, need: &Need, plan: &Plan) -> bool {
        let departs = |index: &usize| {
            let target = &self.view.targets[*index];
            target.is_leaving || plan.drains.contains(&target.target)
        };
        let versions = std::iter::once(&need.artifact).chain(&need.old_versions);
        let all_copies = versions.filter_map(|artifact| self.copies_by_artifact.get(artifact));
        let all_copies: Vec<&ArtifactCopies> = all_copies.collect();
        let is_stable = all_copies.iter().any(|copies| !copies.stable.is_empty());
        !is_stable
            && all_copies
                .iter()
                .any(|copies| copies.uncounted.iter().any(departs))
    }

    fn target_id(&self, index: usize) -> &id::Target {
        &self.view.targets[index].target
    }
}

fn load(need: &Need, target: id::Target) -> Move {
    Move::Load {
        team: need.team.clone(),
        target,
        artifact: need.artifact.clone(),
        bytes: need.bytes,
    }
}

/// Returns the needs in the order in which missing copies are loaded.
///
/// The order of the teams among the needs stays the same. Within a team, artifacts that are ready only on a
/// departing target come first, since their callers wait as soon as that target gets no more work.
fn needs_in_load_order<'a>(copy_index: &CopyIndex<'_>, plan: &'a Plan) -> Vec<&'a Need> {
    let mut queues: HashMap<&id::Team, VecDeque<&Need>> = HashMap::new();
    let (departing, others): (Vec<&Need>, Vec<&Need>) = plan
        .needs
        .iter()
        .partition(|need| copy_index.is_departing(need, plan));
    for need in departing.into_iter().chain(others) {
        queues.entry(&need.team).or_default().push_back(need);
    }
    let teams = plan.needs.iter().map(|need| &need.team);
    teams
        .filter_map(|team| queues.get_mut(team)?.pop_front())
        .collect()
}

/// Returns loads, or shifts from drained targets, for needs that no copy covers: on the targets whose copies count
/// for the guard, no version is ready and the current one is not being loaded.
pub(crate) fn missing_loads(
    copy_index: &mut CopyIndex<'_>,
    plan: &Plan,
    max_moves: usize,
) -> Vec<Move> {
    let mut moves = Vec::new();
    for need in needs_in_load_order(copy_index, plan) {
        if moves.len() >= max_moves {
            break;
        }
        let is_covered = !copy_index.loading(&need.artifact).is_empty()
            || !copy_index.stable(&need.artifact).is_empty()
            || need
                .old_versions
                .iter()
                .any(|old| !copy_index.stable(old).is_empty());
        if is_covered {
            continue;
        }
        let Some(index) = copy_index.best_fit(need) else {
            continue;
        };
        let others = copy_index
            .copies_by_artifact
            .get(&need.artifact)
            .map(|copies| &copies.uncounted);
        let mut others = others
            .into_iter()
            .flatten()
            .map(|other| copy_index.target_id(*other));
        let drained = others.find(|t| plan.drains.contains(t)).cloned();
        let to = copy_index.reserve(index, need);
        moves.push(match drained {
            Some(from) => Move::Shift {
                team: need.team.clone(),
                from,
                to,
                artifact: need.artifact.clone(),
                bytes: need.bytes,
            },
            None => load(need, to),
        });
    }
    moves
}

/// Returns the moves of version changes and drains.
pub(crate) fn updates_and_drains(
    copy_index: &mut CopyIndex<'_>,
    plan: &Plan,
    shifts: &[Shift],
) -> Vec<Move> {
    let mut moves = Vec::new();
    for need in plan
        .needs
        .iter()
        .filter(|need| !need.old_versions.is_empty())
    {
        change_version(copy_index, need, &mut moves);
    }
    drain(copy_index, plan, shifts, &mut moves);
    moves
}

/// Loads the new version once for each copy of the old ones, on the same target if its memory allows and on
/// another one otherwise.
///
/// An old copy is unloaded once the new version is ready on its target, or in as many copies as the old ones.
fn change_version(copy_index: &mut CopyIndex<'_>, need: &Need, moves: &mut Vec<Move>) {
    let old_copies: Vec<(usize, Artifact)> = need
        .old_versions
        .iter()
        .flat_map(|old| {
            copy_index
                .stable(old)
                .iter()
                .map(|index| (*index, old.clone()))
        })
        .collect();
    let ready = copy_index.stable(&need.artifact).to_vec();
    let mut missing_count = old_copies
        .len()
        .saturating_sub(ready.len() + copy_index.loading(&need.artifact).len());
    for (index, old) in &old_copies {
        if ready.contains(index) || ready.len() >= old_copies.len() {
            moves.push(Move::Unload {
                team: need.team.clone(),
                target: copy_index.target_id(*index).clone(),
                artifact: old.clone(),
            });
        } else if missing_count > 0 {
            let beside = Some(*index).filter(|index| copy_index.fits(*index, need));
            if let Some(chosen) = beside.or_else(|| copy_index.best_fit(need)) {
                let target = copy_index.reserve(chosen, need);
                moves.push(load(need, target));
                missing_count -= 1;
            }
        }
    }
}

/// Unloads all copies from drained targets, except those that a shift moves; the guard retains those that are not
/// ready elsewhere yet.
fn drain(copy_index: &CopyIndex<'_>, plan: &Plan, shifts: &[Shift], moves: &mut Vec<Move>) {
    let teams: HashMap<&Artifact, &id::Team> = plan
        .needs
        .iter()
        .flat_map(|need| {
            let all = std::iter::once(&need.artifact).chain(&need.old_versions);
            all.map(|artifact| (artifact, &need.team))
        })
        .collect();
    let drained = copy_index.view.targets.iter();
    for target in drained.filter(|t| t.is_live && plan.drains.contains(&t.target)) {
        for copy in target.copies.iter().filter(|c| c.phase == Phase::Ready) {
            let mut shifts = shifts.iter();
            let is_shifted = shifts.any(|s| s.from == target.target && s.artifact == copy.artifact);
            let is_unloading = target.unloading.contains(&copy.artifact);
            if let Some(team) = teams.get(&copy.artifact)
                && !is_shifted
                && !is_unloading
            {
                moves.push(Move::Unload {
                    team: (*team).clone(),
                    target: target.target.clone(),
                    artifact: copy.artifact.clone(),
                });
            }
        }
    }
}
