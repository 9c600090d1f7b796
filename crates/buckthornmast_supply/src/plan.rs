//! Placement of models.
//!
//! Designed for workloads in which the demand for models shifts within seconds, a target is fast only while few
//! requests are read and answered there concurrently, and there may be more models than places. Each possible copy is
//! valued by the number of requests that it saves from being late or refused under the current demand, less the
//! requests that are impaired by the evictions that make room for it. The copy with the highest value is ordered first.
//!
//! The value of a model without a copy grows with the time for which its callers have been waiting. When there are too
//! few places for all models, rarely requested models thus alternate on few places, and frequently requested models
//! keep theirs.

mod level;

use std::{collections::HashMap, time::Duration};

use buckthornmast_routes::document::{Model, Pool};
use buckthornmast_types::{id, time::Point};
use smallvec::SmallVec;

use self::level::{distribute, impaired_share};
use crate::{demand::Demand, ledger::Ledger, order::Action};

/// Number of concurrent requests up to which a target answers fast, whatever its slots: reading a prompt takes some
/// tens of milliseconds during which the answers of all others pause.
const SOFT_CONCURRENCY_LIMIT: f64 = 32.0;

/// Seconds for which demand is expected to stay unchanged.
const HORIZON_SECONDS: f64 = 10.0;

/// Seconds that the unloading of an idle copy takes, since entry instances are notified first.
const UNLOAD_SECONDS: f64 = 0.2;

/// Ratio of the longest to the average time of a copy's requests, per logarithm of their number. A copy is unloaded
/// when the last of them has ended.
const LONGEST_REQUEST_RATIO: f64 = 1.2;

/// Seconds of waiting after which the waiting requests for a model without a copy count twice.
const WAIT_DOUBLING_SECONDS: f64 = 4.0;

/// Cost of each second until a copy is ready, in requests, since the target takes no other order meanwhile, not even
/// for adapters. The first copy of a model costs nothing if it needs no eviction.
const LOAD_COST_REQUESTS_PER_SECOND: f64 = 1.0;

/// Factor by which the value of a copy must exceed the loss of the copies that make room for it.
const HYSTERESIS_RATIO: f64 = 1.2;

/// Time for which the only copy of a model stays once it is ready, so that it serves its callers.
const MIN_RESIDENCY: Duration = Duration::from_secs(3);

/// Value of the only copy of a model without demand, in requests.
const LAST_COPY_VALUE_REQUESTS: f64 = 0.5;

/// Requests per second from which an adapter counts as in demand.
const MIN_ADAPTER_REQUESTS_PER_SECOND: f64 = 0.2;

/// Iterations of the spreading of demand. The levels hardly change after that.
const SPREAD_ITERATIONS: usize = 4;

/// Number of models that are evaluated for each step, those with the most impaired requests.
const MAX_EVALUATED_MODELS: usize = 8;

/// Next order to a target.
#[derive(Debug, Clone, PartialEq)]
pub struct Step {
    /// Target.
    pub target: id::Target,
    /// Next order to the target.
    pub action: Action,
    /// Model that the order makes room for.
    pub makes_room_for: Option<id::Model>,
    /// Whether the load counts against the load quota of the weight store.
    pub is_from_store: bool,
    /// Expected number of requests that the copy saves, less the costs of the load and of the evictions, for the log.
    pub saved_requests: f64,
    /// Reason, for the log.
    pub reason: &'static str,
}

struct ModelState<'a> {
    name: &'a id::Model,
    model: &'a Model,
    // Expected number of concurrent requests over all copies.
    demand: f64,
    // Expected requests per second.
    rate: f64,
    // Number of adapters in demand, and the requests per second for adapters.
    active_adapters: usize,
    adapter_rate: f64,
    // Time for which callers have been waiting for a first copy.
    waiting_seconds: f64,
    // Indices of the targets that have the model, load it, or make room for it.
    copies: Vec<usize>,
    ready_copies: usize,
    // Share of `demand` at each copy, in the order of `copies`.
    parts: Vec<f64>,
}

impl ModelState<'_> {
    fn part_at(&self, target_index: usize) -> f64 {
        let position = self.copies.iter().position(|copy| *copy == target_index);
        position.map_or(0.0, |position| self.parts[position])
    }
}

struct TargetState<'a> {
    name: &'a id::Target,
    // Number of concurrent requests up to which the target answers fast.
    soft_limit: f64,
    // Part of it that the target's limit on its rate leaves without requests.
    unused: f64,
    // Expected number of concurrent requests, and the part that can't be used.
    level: f64,
    // Whether the target can't be sent an order now.
    is_busy: bool,
    // Index of the model that room is being made for.
    reserved: Option<usize>,
}

/// Copy that may be ordered, with its value.
struct Proposal {
    model: usize,
    target: usize,
    // Indices of the models that have to be evicted.
    evicted: SmallVec<[usize; 4]>,
    is_from_store: bool,
    value: f64,
}

/// Demand and copies of one service, from which orders are planned.
pub struct Planner<'a> {
    ledger: &'a Ledger,
    pool: &'a Pool,
    models: Vec<ModelState<'a>>,
    // Indices of the models by name.
    indices: HashMap<&'a id::Model, usize>,
    targets: Vec<TargetState<'a>>,
    // Requests per second for the models whose only copy is at a target, by target.
    sole_rates: Vec<f64>,
    now: Point,
}

impl<'a> Planner<'a> {
    /// Compares the demand for a service's models with their copies.
    pub fn new(
        ledger: &'a Ledger,
        service: &'a id::Service,
        pool: &'a Pool,
        demand: &Demand,
        now: Point,
    ) -> Self {
        let inventories = ledger
            .inventories
            .iter()
            .filter(|(_, inventory)| inventory.is_ready && inventory.service == *service);
        let targets: Vec<TargetState<'_>> = inventories
            .map(|(target, inventory)| TargetState {
                name: target,
                soft_limit: f64::from(inventory.slots).clamp(1.0, SOFT_CONCURRENCY_LIMIT),
                unused: 0.0,
                level: 0.0,
                is_busy: !inventory.is_free(),
                reserved: None,
            })
            .collect();
        let models = pool.models.iter().map(|(name, model)| {
            let forecast = demand.forecast(service, name, now);
            let waiting = demand.unserved_for(service, name, now);
            ModelState {
                name,
                model,
                demand: forecast.slots,
                rate: forecast.rate,
                active_adapters: demand.active_adapters(
                    service,
                    name,
                    MIN_ADAPTER_REQUESTS_PER_SECOND,
                    now,
                ),
                adapter_rate: forecast.adapter_rate,
                waiting_seconds: waiting.as_secs_f64(),
                copies: Vec::new(),
                ready_copies: 0,
                parts: Vec::new(),
            }
        });
        let mut planner = Self {
            ledger,
            pool,
            models: models.collect(),
            indices: pool.models.keys().zip(0..).collect(),
            sole_rates: vec![0.0; targets.len()],
            targets,
            now,
        };
        planner.find_copies();
        planner.apply_limits();
        planner.spread();
        planner
    }

    fn find_copies(&mut self) {
        for (target_index, target) in self.targets.iter_mut().enumerate() {
            let inventory = &self.ledger.inventories[target.name];
            let loading = inventory.loading().map(|(loading, _)| loading);
            let reserved = inventory.reserved(self.now);
            let resident = inventory.resident.keys();
            let usable: SmallVec<[&id::Model; 8]> = resident
                .filter(|model| inventory.is_usable(model))
                .collect();
            for model in &usable {
                if let Some(model_index) = self.indices.get(model) {
                    let state = &mut self.models[*model_index];
                    state.copies.push(target_index);
                    state.ready_copies += 1;
                }
            }
            if let Some(reserved) = reserved.filter(|reserved| !usable.contains(reserved)) {
                target.reserved = self.indices.get(reserved).copied();
            }
            let expected = loading
                .into_iter()
                .chain(reserved.filter(|reserved| loading != Some(reserved)))
                .filter(|expected| !usable.contains(expected));
            for model in expected {
                if let Some(model_index) = self.indices.get(model) {
                    self.models[*model_index].copies.push(target_index);
                }
            }
        }
    }

    /// Takes the limits that targets state into account, as concurrent requests.
    fn apply_limits(&mut self) {
        let demand: f64 = self.models.iter().map(|state| state.demand).sum();
        let rate: f64 = self.models.iter().map(|state| state.rate).sum();
        if rate <= 0.0 {
            return;
        }
        let request_seconds = demand / rate;
        for target in &mut self.targets {
            if let Some(limit) = self.ledger.inventories[target.name].limit {
                target.unused = (target.soft_limit - limit.get() * request_seconds).max(0.0);
            }
        }
    }

    /// Spreads the demand for each model over its copies, so that the highest level is as low as possible.
    fn spread(&mut self) {
        let mut levels: Vec<f64> = self.targets.iter().map(|target| target.unused).collect();
        for state in &mut self.models {
            let share = state.demand / state.copies.len().max(1) as f64;
            state
                .copies
                .iter()
                .for_each(|target_index| levels[*target_index] += share);
            state.parts = vec![share; state.copies.len()];
        }
        for _ in 0..SPREAD_ITERATIONS {
            for state in &mut self.models {
                for (target_index, part) in state.copies.iter().zip(&state.parts) {
                    levels[*target_index] -= part;
                }
                let others: Vec<f64> = state
                    .copies
                    .iter()
                    .map(|target_index| levels[*target_index])
                    .collect();
                state.parts = distribute(&others, state.demand).shares;
                for (target_index, part) in state.copies.iter().zip(&state.parts) {
                    levels[*target_index] += part;
                }
            }
        }
        for (target, level) in self.targets.iter_mut().zip(levels) {
            target.level = level.max(0.0);
        }
        self.sole_rates.fill(0.0);
        for state in &self.models {
            if let [target_index] = state.copies[..] {
                self.sole_rates[target_index] += state.rate;
            }
        }
    }

    /// Returns the next orders, at most one per target and at most `loads` from the weight store.
    pub fn steps(mut self, mut loads: usize) -> Vec<Step> {
        let mut steps = self.continue_reserved(&mut loads);
        // Each copy changes the levels, so the next proposal is evaluated anew.
        while let Some(proposal) = self.best_proposal(loads) {
            steps.push(self.accept(proposal, &mut loads));
        }
        steps
    }

    /// Returns the next orders for targets where room is being made.
    fn continue_reserved(&mut self, loads: &mut usize) -> Vec<Step> {
        let mut steps = Vec::new();
        for target_index in 0..self.targets.len() {
            let Some(model_index) = self.targets[target_index].reserved else {
                continue;
            };
            if self.targets[target_index].is_busy {
                *loads = loads
                    .saturating_sub(usize::from(self.is_from_store(model_index, target_index)));
                continue;
            }
            // Evaluated again, since demand may have shifted.
            let state = &mut self.models[model_index];
            state.copies.retain(|copy| *copy != target_index);
            self.spread();
            if let Some(proposal) = self.proposal(model_index, target_index, *loads) {
                steps.push(self.accept(proposal, loads));
            }
        }
        steps
    }

    /// Returns the copy that saves the most requests.
    fn best_proposal(&self, loads: usize) -> Option<Proposal> {
        let mut impaired: Vec<(usize, f64)> = (0..self.models.len())
            .map(|model_index| (model_index, self.impaired(model_index)))
            .filter(|(_, impaired)| *impaired > 0.0)
            .collect();
        impaired.sort_by(|(_, one), (_, other)| other.total_cmp(one));
        let targets = 0..self.targets.len();
        let proposals = impaired
            .iter()
            .take(MAX_EVALUATED_MODELS)
            .flat_map(|(model_index, _)| {
                let open = targets
                    .clone()
                    .filter(|target_index| !self.targets[*target_index].is_busy);
                open.filter_map(|target_index| self.proposal(*model_index, target_index, loads))
            });
        proposals.max_by(|one, other| {
            // Among equal values, the less loaded target is preferred.
            let level = |proposal: &Proposal| self.targets[proposal.target].level;
            one.value
                .total_cmp(&other.value)
                .then_with(|| level(other).total_cmp(&level(one)))
                .then_with(|| other.model.cmp(&one.model))
        })
    }

    /// Returns the number of a model's requests that are impaired within the horizon if nothing changes.
    fn impaired(&self, model_index: usize) -> f64 {
        let state = &self.models[model_index];
        if state.copies.is_empty() {
            return self.first_copy_value(state, 0.0);
        }
        let level = self.least_impaired_share(state);
        (state.rate * level + self.adapter_rate_without_place(state, 0.0)) * HORIZON_SECONDS
    }

    /// Returns the share of requests that are impaired at the least loaded copy.
    fn least_impaired_share(&self, state: &ModelState<'_>) -> f64 {
        let targets = state
            .copies
            .iter()
            .map(|target_index| &self.targets[*target_index]);
        let shares = targets.map(|target| impaired_share(target.level, target.soft_limit));
        shares.min_by(f64::total_cmp).unwrap_or(1.0)
    }

    /// Returns the requests per second for adapters that find no free place, with this many additional
    /// copies of the model.
    fn adapter_rate_without_place(&self, state: &ModelState<'_>, extra_copies: f64) -> f64 {
        let slots = (state.copies.len() as f64 + extra_copies) * f64::from(self.pool.adapters);
        let covered_share = slots / (state.active_adapters.max(1) as f64);
        state.adapter_rate * (1.0 - covered_share).clamp(0.0, 1.0)
    }

    /// Returns the number of requests that a first copy saves if it is ready after this many seconds.
    fn first_copy_value(&self, state: &ModelState<'_>, seconds_to_ready: f64) -> f64 {
        let upcoming = state.rate * (HORIZON_SECONDS - seconds_to_ready).max(0.0);
        let waiting = state.rate
            * state.waiting_seconds
            * (1.0 + state.waiting_seconds / WAIT_DOUBLING_SECONDS);
        upcoming + waiting + LAST_COPY_VALUE_REQUESTS
    }

    /// Returns whether a load of the model at the target reads the weight store.
    fn is_from_store(&self, model_index: usize, target_index: usize) -> bool {
        let inventory = &self.ledger.inventories[self.targets[target_index].name];
        !inventory.has_copy(self.models[model_index].name)
    }

    fn load_seconds(&self, model_index: usize, target_index: usize) -> f64 {
        let inventory = &self.ledger.inventories[self.targets[target_index].name];
        let state = &self.models[model_index];
        inventory.load_time(state.model).as_secs_f64()
    }

    /// Returns the seconds that the unloading of a copy takes, including the end of its requests.
    fn unload_seconds(&self, model_index: usize, target_index: usize) -> f64 {
        let state = &self.models[model_index];
        let request = state.demand / state.rate.max(f64::MIN_POSITIVE);
        UNLOAD_SECONDS
            + LONGEST_REQUEST_RATIO
                * request.min(HORIZON_SECONDS)
                * state.part_at(target_index).ln_1p()
    }

    /// Evaluates a copy of a model at a target. Returns `None` if it can't be ordered or isn't worth its cost.
    fn proposal(&self, model_index: usize, target_index: usize, loads: usize) -> Option<Proposal> {
        let state = &self.models[model_index];
        let target = &self.targets[target_index];
        let inventory = &self.ledger.inventories[target.name];
        let is_from_store = self.is_from_store(model_index, target_index);
        if inventory.resident.contains_key(state.name) || (is_from_store && loads == 0) {
            return None;
        }
        let (evicted, lost) = self.make_room(model_index, target_index)?;
        let unloads = evicted
            .iter()
            .map(|other| self.unload_seconds(*other, target_index));
        let unload: f64 = unloads.sum();
        let seconds_to_ready = self.load_seconds(model_index, target_index) + unload;
        let evicted_demand: f64 = evicted
            .iter()
            .map(|other| self.models[*other].part_at(target_index))
            .sum();
        let base_level = (target.level - evicted_demand).max(0.0);
        let gained = if state.copies.is_empty() {
            self.first_copy_value(state, seconds_to_ready)
        } else {
            self.gain(state, target_index, base_level)
                * (HORIZON_SECONDS - seconds_to_ready).max(0.0)
        };
        let has_free_place = state.copies.is_empty() && evicted.is_empty();
        let load_cost = if has_free_place {
            0.0
        } else {
            LOAD_COST_REQUESTS_PER_SECOND * seconds_to_ready
        };
        let value = gained - HYSTERESIS_RATIO * lost - load_cost;
        (value > 0.0).then_some(Proposal {
            model: model_index,
            target: target_index,
            evicted,
            is_from_store,
            value,
        })
    }

    /// Returns the requests per second that another copy at a target with this level saves.
    fn gain(&self, state: &ModelState<'_>, target_index: usize, base_level: f64) -> f64 {
        let target = &self.targets[target_index];
        let mut levels: SmallVec<[f64; 16]> = state
            .copies
            .iter()
            .zip(&state.parts)
            .map(|(copy, part)| (self.targets[*copy].level - part).max(0.0))
            .collect();
        levels.push(base_level);
        let distribution = distribute(&levels, state.demand);
        let before = self.least_impaired_share(state);
        let after = impaired_share(distribution.common_level, target.soft_limit);
        // The new copy impairs the requests for the models whose only copy is at this target.
        let new_level = base_level + distribution.shares.last().copied().unwrap_or_default();
        let impaired_more = impaired_share(new_level, target.soft_limit)
            - impaired_share(base_level, target.soft_limit);
        let impaired = self.sole_rates[target_index] * impaired_more;
        let adapters = self.adapter_rate_without_place(state, 0.0)
            - self.adapter_rate_without_place(state, 1.0);
        state.rate * (before - after).max(0.0) + adapters - impaired.max(0.0)
    }

    /// Returns the set of models whose eviction impairs the fewest requests among the sets that make enough room, and
    /// the number of these requests.
    fn make_room(
        &self,
        model_index: usize,
        target_index: usize,
    ) -> Option<(SmallVec<[usize; 4]>, f64)> {
        let new = &self.models[model_index];
        let inventory = &self.ledger.inventories[self.targets[target_index].name];
        let free = inventory.free(self.pool).0;
        let needed = new.model.weights.0;
        if free >= needed {
            return Some((SmallVec::new(), 0.0));
        }
        let resident = inventory.resident.keys();
        let resident: SmallVec<[(usize, f64); 8]> = resident
            .filter_map(|other| self.indices.get(other).copied())
            .filter(|other| self.models[*other].copies.contains(&target_index))
            .filter_map(|other| Some((other, self.loss(other, target_index)?)))
            .collect();
        let mut best: Option<(u32, f64)> = None;
        for set in 1..1u32 << resident.len().min(8) {
            let chosen = resident
                .iter()
                .enumerate()
                .filter(|(bit, _)| set >> bit & 1 == 1);
            let (room, lost) = chosen.fold((free, 0.0), |(room, lost), (_, (other, loss))| {
                (room + self.models[*other].model.weights.0, lost + loss)
            });
            if room >= needed && best.is_none_or(|(_, least)| lost < least) {
                best = Some((set, lost));
            }
        }
        let (set, lost) = best?;
        let mut evicted: SmallVec<[usize; 4]> = SmallVec::new();
        for (bit, (other, _)) in resident.iter().enumerate() {
            if set >> bit & 1 == 1 {
                evicted.push(*other);
            }
        }
        Some((evicted, lost))
    }

    /// Returns the number of requests that are impaired when a model's copy at a target is unloaded, or `None` if it
    /// has to stay.
    fn loss(&self, model_index: usize, target_index: usize) -> Option<f64> {
        let state = &self.models[model_index];
        let inventory = &self.ledger.inventories[self.targets[target_index].name];
        if state.ready_copies < 2 {
            let ready = inventory.ready_since(state.name);
            let is_recent = ready.is_some_and(|since| self.now.since(since) < MIN_RESIDENCY);
            return (!is_recent).then_some(state.rate * HORIZON_SECONDS + LAST_COPY_VALUE_REQUESTS);
        }
        let mut levels: SmallVec<[f64; 16]> = SmallVec::new();
        for (copy, part) in state.copies.iter().zip(&state.parts) {
            if *copy != target_index {
                levels.push((self.targets[*copy].level - part).max(0.0));
            }
        }
        let distribution = distribute(&levels, state.demand);
        let soft_limit = self.targets[target_index].soft_limit;
        let additional_share = impaired_share(distribution.common_level, soft_limit)
            - self.least_impaired_share(state);
        let adapters = self.adapter_rate_without_place(state, -1.0)
            - self.adapter_rate_without_place(state, 0.0);
        Some((state.rate * additional_share.max(0.0) + adapters) * HORIZON_SECONDS)
    }

    /// Applies a proposal to the copies and levels, so that further proposals take it into account, and returns its
    /// first order: the first eviction, or the load if there is none.
    fn accept(&mut self, proposal: Proposal, loads: &mut usize) -> Step {
        if proposal.is_from_store {
            *loads -= 1;
        }
        let state = &self.models[proposal.model];
        let reason = if state.copies.is_empty() {
            "no target has the model"
        } else {
            "the copies of the model can't serve its demand"
        };
        let name = state.name.clone();
        let first = proposal
            .evicted
            .first()
            .map(|first| self.models[*first].name);
        let action = first.map_or(Action::Load(name.clone()), |first| {
            Action::Unload(first.clone())
        });
        for other in &proposal.evicted {
            let evicted = &mut self.models[*other];
            evicted.copies.retain(|copy| *copy != proposal.target);
            evicted.ready_copies = evicted.ready_copies.saturating_sub(1);
        }
        self.models[proposal.model].copies.push(proposal.target);
        self.targets[proposal.target].is_busy = true;
        self.spread();
        Step {
            target: self.targets[proposal.target].name.clone(),
            makes_room_for: matches!(action, Action::Unload(_)).then_some(name),
            action,
            is_from_store: proposal.is_from_store,
            saved_requests: proposal.value,
            reason,
        }
    }
}
