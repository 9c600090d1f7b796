//! Sharing of accelerators and of the weight store between teams.
//!
//! The arbiter grants wishes in this order, and never more loads than the budget:
//!
//! 1. loads of artifacts without a reachable copy, models before adapters;
//! 2. everything else by weighted max-min fairness: the team with the smallest dominant share that
//!    still has a wish is granted its next one. The dominant share is the larger of its share of
//!    memory and its share of the store's concurrent loads, divided by the team's weight.
//!
//! Within a step and team, artifacts that only a departing target has come first, then higher value. Unloads cost no budget, and are granted first so
//! that memory becomes free early. A load that lacks memory for an artifact without a reachable copy,
//! or for a version that an operator has declared, reclaims it: spare copies are unloaded, those of the team itself and of teams above their fair
//! share of memory first, then the least demand. Only spare copies are reclaimed, so no team loses a model.
//!
//! Ways that were weighed:
//!
//! - First come: no bookkeeping, but the team whose wishes are read first takes the whole store
//!   budget at every decision, and a team with many short bursts holds all spare memory.
//! - Fixed partitions by weight: no team can disturb another, but spare memory stays unused while the
//!   other team needs it, which is the usual case with bursts at different times.
//! - Weighted max-min (chosen): the same guarantee as partitions where there is contention, and no
//!   unused budget where there is none. It is stateless, so a controller that takes over continues
//!   without history; a team's past loads count only while they are running.

use buckthornmast_types::report::Phase;

use crate::{
    draft::Draft,
    duty,
    plan::{Action, Move, Moves, Reason},
    view::{Copy, View},
};

/// Returns the granted moves to targets that the deciding controller controls.
///
/// `wishes` has one entry for each team of the view. At most `budget` of all granted moves are loads,
/// counting those to targets of other controllers.
pub fn arbitrate(view: &View, wishes: &[Moves], budget: usize) -> Moves {
    let mut grant = Grant {
        draft: Draft::new(view),
        shares: Shares::new(view),
        granted: Moves::new(),
        budget,
    };
    grant.unloads(wishes);
    grant.rescues(wishes);
    grant.rest(wishes);
    let mut granted = grant.granted;
    granted.retain(|wish| view.targets[wish.action.target()].controlled);
    granted
}

struct Shares {
    memory: Vec<f64>,
    loads: Vec<f64>,
    total: f64,
    slots: f64,
    weights: Vec<f64>,
}

impl Shares {
    fn new(view: &View) -> Self {
        let total: f64 = view.targets.iter().map(|host| host.memory.0 as f64).sum();
        let mut loads = vec![0.0; view.teams.len()];
        for item in &view.artifacts {
            let loading = |copy: &&Copy| copy.phase == Phase::Loading;
            loads[item.team] += item.copies.iter().filter(loading).count() as f64;
        }
        Self {
            memory: view.memory_by_team(),
            loads,
            total: total.max(1.0),
            slots: view.store.concurrent.max(1) as f64,
            weights: view.teams.iter().map(|t| t.weight.max(1e-9)).collect(),
        }
    }

    fn dominant(&self, team: usize) -> f64 {
        let memory = self.memory[team] / self.total;
        memory.max(self.loads[team] / self.slots) / self.weights[team]
    }

    /// Returns whether a team takes more memory than its weight entitles it to.
    fn is_above(&self, team: usize) -> bool {
        let sum: f64 = self.weights.iter().sum();
        self.memory[team] / self.total > self.weights[team] / sum
    }
}

struct Grant<'a> {
    draft: Draft<'a>,
    shares: Shares,
    granted: Moves,
    budget: usize,
}

impl Grant<'_> {
    fn loads(&self) -> usize {
        let granted = self.granted.iter();
        granted.filter(|wish| wish.action.is_load()).count()
    }

    fn is_own(&self, team: usize, action: Action) -> bool {
        let view = self.draft.view();
        let artifact = view.artifacts.get(action.artifact());
        artifact.is_some_and(|entry| entry.team == team) && action.target() < view.targets.len()
    }

    fn grant(&mut self, team: usize, wish: Move) -> bool {
        let load = wish.action.is_load();
        if !self.is_own(team, wish.action)
            || !self.draft.allows(wish.action)
            || (load && self.loads() >= self.budget)
        {
            return false;
        }
        if load {
            self.shares.loads[team] += 1.0;
            let bytes = self.draft.view().artifacts[wish.action.artifact()].bytes;
            self.shares.memory[team] += bytes.0 as f64;
        }
        self.draft.apply(wish.action);
        self.granted.push(wish);
        true
    }

    fn unloads(&mut self, wishes: &[Moves]) {
        for (team, wishes) in wishes.iter().enumerate() {
            for wish in wishes.iter().filter(|wish| !wish.action.is_load()) {
                self.grant(team, *wish);
            }
        }
    }

    fn rescues(&mut self, wishes: &[Moves]) {
        let view = self.draft.view();
        let mut queue: Vec<(usize, Move)> = Vec::new();
        for (team, wishes) in wishes.iter().enumerate() {
            let lost = wishes.iter().filter(|wish| {
                wish.action.is_load()
                    && self.is_own(team, wish.action)
                    && !self.draft.is_covered(wish.action.artifact())
            });
            queue.extend(lost.map(|wish| (team, *wish)));
        }
        let rank = |wish: &Move| {
            let is_adapter = view.artifacts[wish.action.artifact()].base.is_some();
            (wish.reason != Reason::Unreachable, is_adapter)
        };
        queue.sort_by(|a, b| {
            let departs = |wish: &Move| !view.is_departing(wish.action.artifact());
            let values = b.1.value.total_cmp(&a.1.value);
            let ranks = rank(&a.1).cmp(&rank(&b.1));
            let departing = departs(&a.1).cmp(&departs(&b.1));
            ranks.then(departing).then(values)
        });
        while !queue.is_empty() {
            // Models come before adapters; among equals the team with the smallest share is first.
            let head = rank(&queue[0].1);
            let same = queue.iter().take_while(|(_, wish)| rank(wish) == head);
            let next = same
                .enumerate()
                .min_by(|a, b| {
                    self.shares
                        .dominant(a.1.0)
                        .total_cmp(&self.shares.dominant(b.1.0))
                })
                .map_or(0, |(at, _)| at);
            let (team, wish) = queue.remove(next);
            if !self.grant(team, wish)
                && matches!(wish.reason, Reason::Unreachable | Reason::Rollout)
            {
                self.reclaim(team, wish.action.artifact());
            }
        }
    }

    /// Unloads spare copies so that a load fits later.
    fn reclaim(&mut self, team: usize, item: usize) {
        let view = self.draft.view();
        let class = |other: usize| {
            let owner = view.artifacts[other].team;
            Some(usize::from(owner != team && !self.shares.is_above(owner)))
        };
        let best = (0..view.targets.len())
            .filter(|target| self.draft.is_eligible(item, *target))
            .filter_map(|target| {
                let room = duty::find_room(&self.draft, item, target, class)?;
                Some((target, room))
            })
            .min_by(|a, b| {
                let key = |room: &duty::Room| (room.class, room.tight);
                key(&a.1)
                    .cmp(&key(&b.1))
                    .then(a.1.loss.total_cmp(&b.1.loss))
            });
        let Some((target, duty::Room { victims, .. })) = best else {
            return;
        };
        for victim in victims {
            let adapters = self.draft.adapters(victim, target);
            let pinned = adapters
                .filter(|a| !self.draft.can_unload(*a, target))
                .count();
            if self.loads() + pinned > self.budget {
                continue;
            }
            let granted = &mut self.granted;
            duty::evict(
                &mut self.draft,
                victim,
                target,
                Reason::Room,
                usize::MAX,
                granted,
            );
            let entry = &self.draft.view().artifacts[victim];
            self.shares.memory[entry.team] -= entry.bytes.0 as f64;
        }
        // Without this, a lesser wish takes the memory as soon as it is free.
        self.draft.reserve(target);
    }

    fn rest(&mut self, wishes: &[Moves]) {
        let mut queues: Vec<Vec<Move>> = wishes
            .iter()
            .map(|wishes| {
                let loads = wishes.iter().filter(|wish| wish.action.is_load());
                let mut loads: Vec<_> = loads.copied().collect();
                // The stack's top is the next wish: the reason decides, then the value.
                loads.sort_by(|a, b| b.reason.cmp(&a.reason).then(a.value.total_cmp(&b.value)));
                loads
            })
            .collect();
        loop {
            let teams = (0..queues.len()).filter(|team| !queues[*team].is_empty());
            let next = teams.min_by(|a, b| {
                self.shares
                    .dominant(*a)
                    .total_cmp(&self.shares.dominant(*b))
            });
            let Some(team) = next else {
                break;
            };
            if let Some(wish) = queues[team].pop() {
                self.grant(team, wish);
            }
        }
    }
}
