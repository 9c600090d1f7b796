//! Sharing of accelerators and of the weight store between teams.
//!
//! The arbiter grants proposed moves in this order, and never more loads than the budget that its caller passes:
//!
//! 1. Loads of artifacts that no ready target has ready or is loading: those proposed as
//!    [`Reason::Unreachable`] first, and models before adapters. Among equals, the team with the smallest
//!    dominant share is first.
//! 2. All other loads by weighted max-min fairness: the team with the smallest dominant share that still
//!    has a proposed load is granted its next one. The dominant share is the larger of the team's share
//!    of memory and its share of the store's concurrent loads, divided by the team's weight.
//!
//! Within a team, step 1 prefers artifacts that only a leaving target has ready, then a higher value. Step 2
//! goes by the reason in the order of [`Reason`], then by value. Unloads use no budget and are granted first,
//! so that memory becomes free early.
//!
//! If memory is short for an artifact without a reachable copy, or for a version that an operator has
//! declared, the load reclaims it by unloading spare copies. Those of the team itself and of teams above
//! their fair share of memory go first, then those with the least demand. Only spare copies are
//! reclaimed, so no team loses a model.
//!
//! Alternatives:
//!
//! - First come, first served: needs no bookkeeping, but the team whose moves are read first takes the
//!   whole budget at every decision, and a team with many short bursts occupies all spare memory.
//! - Fixed partitions by weight: teams are isolated from each other, but spare memory stays unused while
//!   another team needs it, which is the usual case with bursts at different times.
//! - Weighted max-min (chosen): gives the same guarantee as partitions under contention, and leaves no
//!   budget unused otherwise. It is stateless, so a controller that takes over continues without
//!   history; a team's past loads count only while they are running.

use buckthornmast_types::report::Phase;

use crate::{
    draft::Draft,
    mandatory,
    plan::{Action, Move, Moves, Reason},
    view::{Copy, View},
};

/// Returns the granted moves to targets that the deciding controller controls.
///
/// `proposals` has one entry for each team of the view. At most `budget` of all granted moves are loads,
/// including those to targets of other controllers.
pub fn arbitrate(view: &View, proposals: &[Moves], budget: usize) -> Moves {
    let mut arbiter = Arbiter {
        draft: Draft::new(view),
        shares: Shares::new(view),
        granted: Moves::new(),
        budget,
    };
    arbiter.grant_unloads(proposals);
    arbiter.grant_uncovered(proposals);
    arbiter.grant_by_share(proposals);
    let mut granted = arbiter.granted;
    granted.retain(|proposal| view.targets[proposal.action.target()].is_controlled);
    granted
}

/// Use of memory and of the weight store by each team.
struct Shares {
    /// Bytes of all copies, by team.
    memory: Vec<f64>,
    /// Loads in progress or granted, by team.
    loads: Vec<f64>,
    /// Bytes of accelerator memory of all targets, at least 1.
    total_memory: f64,
    /// Loads that the store serves at the same time at full speed, at least 1.
    store_slots: f64,
    weights: Vec<f64>,
}

impl Shares {
    fn new(view: &View) -> Self {
        let total_memory: f64 = view
            .targets
            .iter()
            .map(|target| target.memory.0 as f64)
            .sum();
        let mut loads = vec![0.0; view.teams.len()];
        for item in &view.artifacts {
            let loading = |copy: &&Copy| copy.phase == Phase::Loading;
            loads[item.team] += item.copies.iter().filter(loading).count() as f64;
        }
        Self {
            memory: view.memory_by_team(),
            loads,
            total_memory: total_memory.max(1.0),
            store_slots: view.store.max_concurrent_loads.max(1) as f64,
            weights: view.teams.iter().map(|t| t.weight.max(1e-9)).collect(),
        }
    }

    fn dominant_share(&self, team: usize) -> f64 {
        let memory = self.memory[team] / self.total_memory;
        memory.max(self.loads[team] / self.store_slots) / self.weights[team]
    }

    /// Returns whether a team occupies more memory than its weighted share.
    fn is_above_share(&self, team: usize) -> bool {
        let sum: f64 = self.weights.iter().sum();
        self.memory[team] / self.total_memory > self.weights[team] / sum
    }
}

struct Arbiter<'a> {
    draft: Draft<'a>,
    shares: Shares,
    granted: Moves,
    budget: usize,
}

impl Arbiter<'_> {
    fn granted_loads(&self) -> usize {
        let granted = self.granted.iter();
        granted.filter(|proposal| proposal.action.is_load()).count()
    }

    fn is_valid(&self, team: usize, action: Action) -> bool {
        let view = self.draft.view();
        let artifact = view.artifacts.get(action.artifact());
        artifact.is_some_and(|entry| entry.team == team) && action.target() < view.targets.len()
    }

    fn grant(&mut self, team: usize, proposal: Move) -> bool {
        let is_load = proposal.action.is_load();
        if !self.is_valid(team, proposal.action)
            || !self.draft.allows(proposal.action)
            || (is_load && self.granted_loads() >= self.budget)
        {
            return false;
        }
        if is_load {
            self.shares.loads[team] += 1.0;
            let bytes = self.draft.view().artifacts[proposal.action.artifact()].bytes;
            self.shares.memory[team] += bytes.0 as f64;
        }
        self.draft.apply(proposal.action);
        self.granted.push(proposal);
        true
    }

    fn grant_unloads(&mut self, proposals: &[Moves]) {
        for (team, proposals) in proposals.iter().enumerate() {
            for proposal in proposals
                .iter()
                .filter(|proposal| !proposal.action.is_load())
            {
                self.grant(team, *proposal);
            }
        }
    }

    fn grant_uncovered(&mut self, proposals: &[Moves]) {
        let view = self.draft.view();
        let mut queue: Vec<(usize, Move)> = Vec::new();
        for (team, proposals) in proposals.iter().enumerate() {
            let uncovered = proposals.iter().filter(|proposal| {
                proposal.action.is_load()
                    && self.is_valid(team, proposal.action)
                    && !self.draft.is_covered(proposal.action.artifact())
            });
            queue.extend(uncovered.map(|proposal| (team, *proposal)));
        }
        let rank = |proposal: &Move| {
            let is_adapter = view.artifacts[proposal.action.artifact()].base.is_some();
            (proposal.reason != Reason::Unreachable, is_adapter)
        };
        queue.sort_by(|a, b| {
            let is_staying =
                |proposal: &Move| !view.is_only_on_leaving_targets(proposal.action.artifact());
            let value_order = b.1.value.total_cmp(&a.1.value);
            let rank_order = rank(&a.1).cmp(&rank(&b.1));
            let departing_order = is_staying(&a.1).cmp(&is_staying(&b.1));
            rank_order.then(departing_order).then(value_order)
        });
        while !queue.is_empty() {
            // Models come before adapters. Within a rank, the team with the smallest share is first.
            let first = rank(&queue[0].1);
            let same_rank = queue
                .iter()
                .take_while(|(_, proposal)| rank(proposal) == first);
            let next = same_rank
                .enumerate()
                .min_by(|a, b| {
                    self.shares
                        .dominant_share(a.1.0)
                        .total_cmp(&self.shares.dominant_share(b.1.0))
                })
                .map_or(0, |(at, _)| at);
            let (team, proposal) = queue.remove(next);
            if !self.grant(team, proposal)
                && matches!(proposal.reason, Reason::Unreachable | Reason::Rollout)
            {
                self.reclaim(team, proposal.action.artifact());
            }
        }
    }

    /// Unloads spare copies so that a later decision can load an artifact.
    fn reclaim(&mut self, team: usize, item: usize) {
        let view = self.draft.view();
        let class = |other: usize| {
            let owner = view.artifacts[other].team;
            Some(usize::from(
                owner != team && !self.shares.is_above_share(owner),
            ))
        };
        let best = (0..view.targets.len())
            .filter(|target| self.draft.is_eligible(item, *target))
            .filter_map(|target| {
                let plan = mandatory::plan_eviction(&self.draft, item, target, class)?;
                Some((target, plan))
            })
            .min_by(|a, b| {
                let key = |plan: &mandatory::EvictionPlan| (plan.class, plan.is_tight);
                key(&a.1)
                    .cmp(&key(&b.1))
                    .then(a.1.loss.total_cmp(&b.1.loss))
            });
        let Some((target, mandatory::EvictionPlan { victims, .. })) = best else {
            return;
        };
        for victim in victims {
            let adapters = self.draft.adapters(victim, target);
            let pinned_adapters = adapters
                .filter(|a| !self.draft.can_unload(*a, target))
                .count();
            if self.granted_loads() + pinned_adapters > self.budget {
                continue;
            }
            let granted = &mut self.granted;
            mandatory::evict(
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
        // Otherwise a proposal of lower rank would take the memory as soon as it is free.
        self.draft.reserve(target);
    }

    fn grant_by_share(&mut self, proposals: &[Moves]) {
        let mut queues: Vec<Vec<Move>> = proposals
            .iter()
            .map(|proposals| {
                let loads = proposals
                    .iter()
                    .filter(|proposal| proposal.action.is_load());
                let mut loads: Vec<_> = loads.copied().collect();
                // The last element is granted next. Moves are ordered by reason, then by value.
                loads.sort_by(|a, b| b.reason.cmp(&a.reason).then(a.value.total_cmp(&b.value)));
                loads
            })
            .collect();
        loop {
            let teams = (0..queues.len()).filter(|team| !queues[*team].is_empty());
            let next = teams.min_by(|a, b| {
                self.shares
                    .dominant_share(*a)
                    .total_cmp(&self.shares.dominant_share(*b))
            });
            let Some(team) = next else {
                break;
            };
            if let Some(proposal) = queues[team].pop() {
                self.grant(team, proposal);
            }
        }
    }
}
