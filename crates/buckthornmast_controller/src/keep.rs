//! Moves that follow from the settings alone: missing copies, version changes and drains.

use std::collections::{HashMap, VecDeque};

use buckthornmast_ledger::prelude::*;
use buckthornmast_types::{prelude::*, report::Phase};

use crate::{
    core::Shift,
    plan::{Move, Need, Planned, TargetView, View},
};

/// Copies of one artifact, as indices into the view's targets.
#[derive(Debug, Default)]
struct Holding {
    /// Ready on targets that count, with no open unload.
    kept: Vec<usize>,
    /// Ready on targets that do not count.
    other: Vec<usize>,
    /// Being loaded on targets that count.
    loading: Vec<usize>,
}

/// Index of a view by artifact, with the memory that the moves so far leave free.
pub(crate) struct Stock<'a> {
    view: &'a View,
    counts: Vec<bool>,
    free: Vec<Bytes>,
    holdings: HashMap<&'a Artifact, Holding>,
}

impl<'a> Stock<'a> {
    pub(crate) fn new(view: &'a View, guard: &Guard) -> Self {
        let targets = view.targets.iter();
        let counts: Vec<bool> = targets.map(|t| guard.counts(&t.target)).collect();
        let mut holdings: HashMap<&Artifact, Holding> = HashMap::new();
        for (index, target) in view.targets.iter().enumerate() {
            for copy in &target.copies {
                let holding = holdings.entry(&copy.artifact).or_default();
                let is_leaving = |a: &Artifact| *a == copy.artifact || *a == copy.artifact.base();
                let is_kept = !target.unloading.iter().any(is_leaving);
                match copy.phase {
                    Phase::Ready if counts[index] && is_kept => holding.kept.push(index),
                    Phase::Ready if !counts[index] => holding.other.push(index),
                    Phase::Loading if counts[index] => holding.loading.push(index),
                    _ => {}
                }
            }
            for artifact in target.loading.iter().filter(|_| counts[index]) {
                let holding = holdings.entry(artifact).or_default();
                let is_known = holding.kept.contains(&index) || holding.loading.contains(&index);
                if !is_known {
                    holding.loading.push(index);
                }
            }
        }
        Self {
            view,
            counts,
            free: view.targets.iter().map(|t| t.free).collect(),
            holdings,
        }
    }

    fn kept(&self, artifact: &Artifact) -> &[usize] {
        self.holdings.get(artifact).map_or(&[], |h| &h.kept)
    }

    fn loading(&self, artifact: &Artifact) -> &[usize] {
        self.holdings.get(artifact).map_or(&[], |h| &h.loading)
    }

    fn fits(&self, index: usize, need: &Need) -> bool {
        let target: &TargetView = &self.view.targets[index];
        let artifact = &need.artifact;
        let base = artifact.base();
        self.counts[index]
            && target.service == need.service
            && self.free[index] >= need.bytes
            && target.copies.iter().all(|copy| copy.artifact != *artifact)
            && !target.loading.contains(artifact)
            && !target.unloading.contains(artifact)
            && (artifact.adapter.is_none() || self.kept(&base).contains(&index))
    }

    /// Returns the target with the least memory that suffices, so that larger artifacts fit elsewhere.
    fn best(&self, need: &Need) -> Option<usize> {
        let fitting = (0..self.free.len()).filter(|index| self.fits(*index, need));
        fitting.min_by_key(|index| self.free[*index])
    }

    fn take(&mut self, index: usize, need: &Need) -> id::Target {
        self.free[index] = self.free[index].saturating_sub(need.bytes);
        self.view.targets[index].target.clone()
    }

    /// Returns whether a target that is drained or leaving, and none that counts, has a need's artifact
    /// ready in any version.
    fn is_departing(&self, need: &Need, planned: &Planned) -> bool {
        let departs = |index: &usize| {
            let target = &self.view.targets[*index];
            target.is_leaving || planned.drains.contains(&target.target)
        };
        let versions = std::iter::once(&need.artifact).chain(&need.old);
        let holdings = versions.filter_map(|artifact| self.holdings.get(artifact));
        let holdings: Vec<&Holding> = holdings.collect();
        let is_kept = holdings.iter().any(|holding| !holding.kept.is_empty());
        !is_kept
            && holdings
                .iter()
                .any(|holding| holding.other.iter().any(departs))
    }

    fn name(&self, index: usize) -> &id::Target {
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

/// Returns the needs in the order in which missing copies are loaded: the places of each team stay as they
/// are, and within them the artifacts that only a departing target has ready come first, since their
/// callers wait for them from the moment at which that target gets no more work.
fn in_order<'a>(stock: &Stock<'_>, planned: &'a Planned) -> Vec<&'a Need> {
    let mut queues: HashMap<&id::Team, VecDeque<&Need>> = HashMap::new();
    let (departing, others): (Vec<&Need>, Vec<&Need>) = planned
        .needs
        .iter()
        .partition(|need| stock.is_departing(need, planned));
    for need in departing.into_iter().chain(others) {
        queues.entry(&need.team).or_default().push_back(need);
    }
    let teams = planned.needs.iter().map(|need| &need.team);
    teams
        .filter_map(|team| queues.get_mut(team)?.pop_front())
        .collect()
}

/// Returns loads for needs without a ready copy on a target that counts.
pub(crate) fn missing(stock: &mut Stock<'_>, planned: &Planned, limit: usize) -> Vec<Move> {
    let mut moves = Vec::new();
    for need in in_order(stock, planned) {
        if moves.len() >= limit {
            break;
        }
        let is_served = !stock.loading(&need.artifact).is_empty()
            || !stock.kept(&need.artifact).is_empty()
            || need.old.iter().any(|old| !stock.kept(old).is_empty());
        if is_served {
            continue;
        }
        let Some(index) = stock.best(need) else {
            continue;
        };
        let others = stock.holdings.get(&need.artifact).map(|h| &h.other);
        let mut others = others.into_iter().flatten().map(|other| stock.name(*other));
        let drained = others.find(|t| planned.drains.contains(t)).cloned();
        let to = stock.take(index, need);
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
pub(crate) fn upkeep(stock: &mut Stock<'_>, planned: &Planned, shifts: &[Shift]) -> Vec<Move> {
    let mut moves = Vec::new();
    for need in planned.needs.iter().filter(|need| !need.old.is_empty()) {
        change_version(stock, need, &mut moves);
    }
    drain(stock, planned, shifts, &mut moves);
    moves
}

/// Loads the new version once for each copy of the old ones, beside it where memory allows, and
/// unloads old copies for which a new one is ready.
fn change_version(stock: &mut Stock<'_>, need: &Need, moves: &mut Vec<Move>) {
    let olds: Vec<(usize, Artifact)> = need
        .old
        .iter()
        .flat_map(|old| stock.kept(old).iter().map(|index| (*index, old.clone())))
        .collect();
    let ready = stock.kept(&need.artifact).to_vec();
    let mut wanted = olds
        .len()
        .saturating_sub(ready.len() + stock.loading(&need.artifact).len());
    for (index, old) in &olds {
        if ready.contains(index) || ready.len() >= olds.len() {
            moves.push(Move::Unload {
                team: need.team.clone(),
                target: stock.name(*index).clone(),
                artifact: old.clone(),
            });
        } else if wanted > 0 {
            let beside = Some(*index).filter(|index| stock.fits(*index, need));
            if let Some(chosen) = beside.or_else(|| stock.best(need)) {
                let target = stock.take(chosen, need);
                moves.push(load(need, target));
                wanted -= 1;
            }
        }
    }
}

/// Unloads everything from drained targets; the guard keeps what is not ready elsewhere yet.
fn drain(stock: &Stock<'_>, planned: &Planned, shifts: &[Shift], moves: &mut Vec<Move>) {
    let teams: HashMap<&Artifact, &id::Team> = planned
        .needs
        .iter()
        .flat_map(|need| {
            let all = std::iter::once(&need.artifact).chain(&need.old);
            all.map(|artifact| (artifact, &need.team))
        })
        .collect();
    let drained = stock.view.targets.iter();
    for target in drained.filter(|t| t.is_live && planned.drains.contains(&t.target)) {
        for copy in target.copies.iter().filter(|c| c.phase == Phase::Ready) {
            let mut shifts = shifts.iter();
            let is_shifted = shifts.any(|s| s.from == target.target && s.artifact == copy.artifact);
            let is_going = target.unloading.contains(&copy.artifact);
            if let Some(team) = teams.get(&copy.artifact)
                && !is_shifted
                && !is_going
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
