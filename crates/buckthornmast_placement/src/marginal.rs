//! Placement by marginal utility.
//!
//! The value of a copy is the number of additional requests that it is expected to answer within their
//! deadline over a planning horizon, less those lost with the copies evicted for it, less a cost per move.
//! Loads are ranked by value per byte, because bytes are the scarce resource of both the weight store and
//! the accelerators. Demand is forecast from a fast and a slow average and the time of day. A copy stays
//! for a minimum time, and an artifact is not loaded again right after one of its copies was unloaded, so
//! that noise in the demand causes no moves. Nothing is unloaded unless its memory is needed.

mod estimate;
mod forecast;

use std::{collections::HashMap, time::Duration};

use buckthornmast_types::{artifact::Artifact, id, report::Phase, size::Bytes, time::Point};
use smallvec::SmallVec;

use self::{
    estimate::{Estimate, PlannedDemand},
    forecast::{Averages, Forecast},
};
use crate::{
    draft::Draft,
    mandatory,
    plan::{Action, Move, Moves, Reason},
    policy::Policy,
    view::View,
};

/// Policy `marginal`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Marginal {
    /// Time over which a new copy has to pay off.
    pub horizon: Duration,
    /// Number of requests within their deadline that a move has to gain, before it is multiplied by the team's
    /// weight of moves.
    pub cost: f64,
    /// Minimum time between a change to a copy and the opposite change.
    pub hold: Duration,
    /// Utilisation of a target above which requests start to miss their deadline.
    pub knee: f64,
    /// Time by which demand is forecast ahead.
    pub lead: Duration,
}

impl Default for Marginal {
    /// Returns the default parameters, a compromise between attainment and moves for both deployments;
    /// `docs/POLICIES.md` compares them with others.
    fn default() -> Self {
        Self {
            horizon: Duration::from_secs(300),
            cost: 130.0,
            hold: Duration::from_secs(180),
            knee: 1.0,
            lead: Duration::from_secs(60),
        }
    }
}

/// State that policy `marginal` keeps between decisions.
#[derive(Debug, Clone, Default)]
pub struct State {
    averages: HashMap<Artifact, Averages>,
    /// Time from which each copy has been in every view, for [`Marginal::hold`].
    present_since: HashMap<(Artifact, id::Target), Point>,
    /// Time of the last proposed unload of each artifact, for [`Marginal::hold`].
    unloaded_at: HashMap<Artifact, Point>,
    /// Target on which copies are being evicted for an artifact.
    pending_targets: HashMap<Artifact, id::Target>,
}

/// Best target for another copy of an artifact.
#[derive(Debug, Clone)]
struct Choice {
    target: usize,
    victims: SmallVec<[usize; 4]>,
    /// Requests gained over the horizon times their weight, less losses and the cost of moves, times the factors of
    /// the target.
    value: f64,
    /// Value per byte.
    score: f64,
}

/// Copy that may be evicted from a target.
#[derive(Debug, Clone, Copy)]
struct Victim {
    item: usize,
    bytes: Bytes,
    /// Requests per second times their weight that are no longer answered in time.
    loss: f64,
    /// Number of moves, including those of the adapters on the target.
    moves: f64,
}

/// Copies to evict from a target, the goodput lost with them and the number of moves needed.
#[derive(Debug, Clone, Default)]
struct EvictionPlan {
    victims: SmallVec<[usize; 4]>,
    loss: f64,
    moves: f64,
}

/// Factor on the value of a copy in a failure domain without another copy.
///
/// The loss of a domain is rare within a planning horizon, so spread only decides between nearly equal
/// targets and causes no moves by itself.
const NEW_DOMAIN_FACTOR: f64 = 1.1;
/// Factor on the value of a copy on the target on which copies are already being evicted for the artifact.
const PENDING_TARGET_FACTOR: f64 = 1.5;

/// Maximum number of targets examined for one artifact, those with the lowest utilisation first.
///
/// The time of a full search grows with artifacts times targets: more than 50 ms for 820 models on 470
/// targets. The gain falls with the utilisation of the target, so the remaining targets rarely matter.
const MAX_EXAMINED_TARGETS: usize = 24;

struct Search<'a, 'b> {
    policy: &'a Marginal,
    view: &'a View,
    team: usize,
    state: &'a mut State,
    draft: &'b mut Draft<'a>,
    estimate: Estimate,
    adapter_demand: Vec<PlannedDemand>,
    victims: Vec<Option<Vec<Victim>>>,
    target_order: Vec<usize>,
    move_cost: f64,
}

impl Policy for Marginal {
    type State = State;

    fn decide(&self, view: &View, team: usize, state: &mut State, max_moves: usize) -> Moves {
        let forecasts = self.observe(view, team, state);
        let mut draft = Draft::new(view);
        let mut moves = mandatory::moves(&mut draft, team, max_moves);
        let demand = planned_demand(view, &forecasts);
        let adapter_demand = adapter_demand(view, &demand);
        let mut search = Search {
            policy: self,
            view,
            team,
            state,
            estimate: Estimate::new(view, demand, self.knee),
            adapter_demand,
            victims: vec![None; view.targets.len()],
            target_order: (0..view.targets.len()).collect(),
            move_cost: self.cost * view.teams[team].moves_weight,
            draft: &mut draft,
        };
        search.add_copies(max_moves, &mut moves);
        for proposal in &moves {
            if let Action::Unload { artifact, .. } = proposal.action {
                let artifact = view.artifacts[artifact].artifact.clone();
                state.unloaded_at.insert(artifact, view.now);
            }
        }
        moves
    }
}

impl Marginal {
    /// Updates the averages and the ages of copies, and returns the forecasts.
    ///
    /// State of artifacts and copies that are no longer in the view is dropped.
    fn observe(&self, view: &View, team: usize, state: &mut State) -> Vec<Forecast> {
        let now = view.now;
        let mut present_since = HashMap::new();
        let mut averages = HashMap::new();
        let mut forecasts = Vec::with_capacity(view.artifacts.len());
        for entry in &view.artifacts {
            let rate = entry.demand.rate.get();
            if entry.team != team {
                let (for_loading, for_keeping) = (rate, rate);
                forecasts.push(Forecast {
                    for_loading,
                    for_keeping,
                });
                continue;
            }
            let old = state.averages.get(&entry.artifact).copied();
            let mut updated = old.unwrap_or_else(|| Averages::new(now, rate));
            updated.observe(now, rate);
            forecasts.push(updated.forecast(&entry.demand, view.time_of_day, self.lead));
            averages.insert(entry.artifact.clone(), updated);
            for copy in &entry.copies {
                let key = (entry.artifact.clone(), view.targets[copy.target].id.clone());
                let at = state.present_since.get(&key).copied().unwrap_or(now);
                present_since.insert(key, at);
            }
        }
        state.present_since = present_since;
        state
            .pending_targets
            .retain(|artifact, _| averages.contains_key(artifact));
        state.averages = averages;
        state.unloaded_at.retain(|_, at| now.since(*at) < self.hold);
        forecasts
    }
}

/// Returns the demand to plan for.
fn planned_demand(view: &View, forecasts: &[Forecast]) -> Vec<PlannedDemand> {
    let planned_demand = |(entry, forecast): (&crate::view::ArtifactView, &Forecast)| {
        let rate = entry.demand.rate.get();
        let tokens_per_request = if rate > 0.0 {
            entry.demand.tokens.get() / rate
        } else {
            0.0
        };
        let rate_to_serve = forecast.for_loading.max(forecast.for_keeping);
        PlannedDemand {
            value: rate_to_serve * entry.weight,
            tokens: rate_to_serve * tokens_per_request,
        }
    };
    view.artifacts
        .iter()
        .zip(forecasts)
        .map(planned_demand)
        .collect()
}

/// Returns for each model the demand for its adapters, which a new copy of the model can take over.
fn adapter_demand(view: &View, demand: &[PlannedDemand]) -> Vec<PlannedDemand> {
    let mut by_base = vec![PlannedDemand::default(); demand.len()];
    for (item, entry) in view.artifacts.iter().enumerate() {
        if let Some(base) = entry.base {
            by_base[base].value += demand[item].value;
            by_base[base].tokens += demand[item].tokens;
        }
    }
    by_base
}

impl Search<'_, '_> {
    /// Proposes the best load repeatedly until no load is worth its cost.
    fn add_copies(&mut self, max_moves: usize, moves: &mut Moves) {
        let candidates: Vec<_> = (0..self.view.artifacts.len())
            .filter(|item| self.is_candidate(*item))
            .collect();
        self.sort_targets();
        let mut choices: Vec<Option<Choice>> =
            candidates.iter().map(|item| self.choose(*item)).collect();
        for _ in 0..max_moves {
            let scored = choices.iter().enumerate();
            let scored = scored.filter_map(|(at, choice)| Some((at, choice.as_ref()?.score)));
            let Some((at, _)) = scored.max_by(|a, b| a.1.total_cmp(&b.1)) else {
                break;
            };
            let Some(choice) = choices[at].take() else {
                break;
            };
            if moves.len() >= max_moves {
                break;
            }
            self.apply(candidates[at], &choice, max_moves, moves);
            self.sort_targets();
            // Only choices that share a target with the move can change considerably.
            for (other, item) in candidates.iter().enumerate() {
                let other_choice = choices[other].as_ref();
                if other == at
                    || other_choice.is_some_and(|c| c.target == choice.target)
                    || self.draft.phase(*item, choice.target).is_some()
                {
                    choices[other] = self.choose(*item);
                }
            }
        }
    }

    /// Sorts targets by utilisation, the lowest first.
    fn sort_targets(&mut self) {
        let estimate = &self.estimate;
        let key = |target: &usize| estimate.utilisation(*target);
        self.target_order
            .sort_by(|a, b| key(a).total_cmp(&key(b)).then(a.cmp(b)));
    }

    fn is_candidate(&self, item: usize) -> bool {
        let entry = &self.view.artifacts[item];
        entry.team == self.team
            && entry.demand.rate.get() + self.adapter_demand[item].value > 0.0
            && !self.view.is_superseded(item)
            && self.draft.is_covered(item)
            && !self.state.unloaded_at.contains_key(&entry.artifact)
    }

    /// Returns the best target for one more copy of an artifact, if a copy is worth its cost.
    fn choose(&mut self, item: usize) -> Option<Choice> {
        let pressure = self.estimate.pressure(item);
        if pressure <= self.policy.knee {
            return None;
        }
        let entry = &self.view.artifacts[item];
        let pending_target = self.state.pending_targets.get(&entry.artifact).cloned();
        let speed = self.view.store.bytes_per_second;
        let load_seconds = if speed > 0.0 {
            entry.bytes.0 as f64 / speed
        } else {
            0.0
        };
        let served_seconds = (self.policy.horizon.as_secs_f64() - load_seconds).max(0.0);
        let mut best: Option<Choice> = None;
        let mut examined = 0;
        for at in 0..self.target_order.len() {
            let target = self.target_order[at];
            if examined >= MAX_EXAMINED_TARGETS || self.estimate.utilisation(target) >= pressure {
                break;
            }
            if !self.draft.is_eligible(item, target) {
                continue;
            }
            examined += 1;
            let adapter_demand = self.adapter_demand[item];
            let gain =
                self.estimate.gain(item, adapter_demand, Some(target), None) * served_seconds;
            let max_value = gain * NEW_DOMAIN_FACTOR * PENDING_TARGET_FACTOR;
            if gain <= self.move_cost || best.as_ref().is_some_and(|b| max_value <= b.value) {
                continue;
            }
            let choice = self.weigh(item, target, gain, pending_target.as_ref());
            let best_value = best.as_ref().map_or(0.0, |best| best.value);
            best = choice.filter(|choice| choice.value > best_value).or(best);
        }
        best
    }

    /// Returns the choice of a copy on a target, if its value exceeds its cost.
    fn weigh(
        &mut self,
        item: usize,
        target: usize,
        gain: f64,
        pending_target: Option<&id::Target>,
    ) -> Option<Choice> {
        let EvictionPlan {
            victims,
            loss,
            moves,
        } = self.plan_eviction(item, target)?;
        let loss = loss * self.policy.horizon.as_secs_f64();
        let mut value = gain - loss - self.move_cost * (1.0 + moves);
        if value <= 0.0 {
            return None;
        }
        if !self.has_copy_in_domain(item, target) {
            value *= NEW_DOMAIN_FACTOR;
        }
        if pending_target == Some(&self.view.targets[target].id) {
            value *= PENDING_TARGET_FACTOR;
        }
        let score = value / self.view.artifacts[item].bytes.0.max(1) as f64;
        Some(Choice {
            target,
            victims,
            value,
            score,
        })
    }

    fn has_copy_in_domain(&self, item: usize, target: usize) -> bool {
        let domain = self.view.targets[target].domain;
        let mut copies = self.draft.copies(item).iter();
        copies.any(|copy| self.view.targets[copy.target].domain == domain)
    }

    /// Returns the copies to evict so that an artifact fits on a target.
    fn plan_eviction(&mut self, item: usize, target: usize) -> Option<EvictionPlan> {
        let required = self.view.artifacts[item].bytes;
        let mut free = self.draft.free(target);
        let mut plan = EvictionPlan::default();
        if free >= required {
            return Some(EvictionPlan::default());
        }
        for other in self.draft.artifacts_on(target) {
            if self.draft.phase(*other, target) == Some(Phase::Unloading) {
                free = free.saturating_add(self.view.artifacts[*other].bytes);
            }
        }
        if self.victims[target].is_none() {
            self.victims[target] = Some(self.find_victims(target));
        }
        for victim in self.victims[target].iter().flatten() {
            if free >= required {
                break;
            }
            if victim.item != item && Some(victim.item) != self.view.artifacts[item].base {
                free = free.saturating_add(victim.bytes);
                plan.loss += victim.loss;
                plan.moves += victim.moves;
                plan.victims.push(victim.item);
            }
        }
        (free >= required).then_some(plan)
    }

    /// Returns the copies of the team on a target that may be evicted, those with the least loss per byte first.
    fn find_victims(&self, target: usize) -> Vec<Victim> {
        let id = &self.view.targets[target].id;
        let mut victims = Vec::new();
        for item in self.draft.artifacts_on(target).iter().copied() {
            let entry = &self.view.artifacts[item];
            if entry.team != self.team || entry.base.is_some() {
                continue;
            }
            let present_since = self
                .state
                .present_since
                .get(&(entry.artifact.clone(), id.clone()));
            let is_recent =
                present_since.is_none_or(|at| self.view.now.since(*at) < self.policy.hold);
            if is_recent || !mandatory::is_evictable(self.draft, item, target) {
                continue;
            }
            let mut loss = -self
                .estimate
                .gain(item, PlannedDemand::default(), None, Some(target));
            let mut moves = 1.0;
            for adapter in self.draft.adapters(item, target) {
                moves += 1.0;
                // The only copy of an adapter is shifted to another copy of its model and continues to serve there.
                if self.draft.is_spare(adapter, target) {
                    loss -=
                        self.estimate
                            .gain(adapter, PlannedDemand::default(), None, Some(target));
                } else {
                    moves += 1.0;
                }
            }
            let (bytes, loss) = (entry.bytes, loss.max(0.0));
            victims.push(Victim {
                item,
                bytes,
                loss,
                moves,
            });
        }
        let loss_per_byte = |v: &Victim| v.loss / v.bytes.0.max(1) as f64;
        victims.sort_by(|a, b| loss_per_byte(a).total_cmp(&loss_per_byte(b)));
        victims
    }

    /// Loads the chosen copy, or proposes the next moves that free memory for it.
    fn apply(&mut self, item: usize, choice: &Choice, max_moves: usize, moves: &mut Moves) {
        let artifact = self.view.artifacts[item].artifact.clone();
        let target = choice.target;
        if self.draft.can_load(item, target) {
            let action = Action::Load {
                artifact: item,
                target,
            };
            let value = choice.value / self.policy.horizon.as_secs_f64();
            let reason = Reason::Demand;
            mandatory::push(
                self.draft,
                moves,
                max_moves,
                Move {
                    action,
                    reason,
                    value,
                },
            );
            self.state.pending_targets.remove(&artifact);
        } else {
            let id = self.view.targets[target].id.clone();
            self.state.pending_targets.insert(artifact, id);
            for victim in choice.victims.iter().copied() {
                mandatory::evict(self.draft, victim, target, Reason::Room, max_moves, moves);
                self.estimate.remove_copy(victim, target);
            }
            self.victims[target] = None;
        }
        self.estimate.add_copy(item, target);
    }
}
