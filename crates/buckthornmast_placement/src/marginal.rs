//! Placement by marginal utility.
//!
//! A copy is worth the requests that it is expected to bring within their deadline over a planning
//! horizon, less those lost by the copies that make room, less a price per move. Loads are ranked by
//! worth per byte, because bytes are what both the weight store and the accelerators run short of.
//! Demand is forecast from a fast and a slow average and the time of day. A copy stays for a minimum
//! time, and an artifact whose copy just went is not loaded again at once, so that noise in the demand
//! causes no moves. Nothing is unloaded unless its memory is needed.

mod estimate;
mod forecast;

use std::{collections::HashMap, time::Duration};

use buckthornmast_types::{artifact::Artifact, id, report::Phase, size::Bytes, time::Point};
use smallvec::SmallVec;

use self::{
    estimate::{Estimate, Need},
    forecast::{Outlook, Track},
};
use crate::{
    draft::Draft,
    duty,
    plan::{Action, Move, Moves, Reason},
    policy::Policy,
    view::View,
};

/// Policy `marginal`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Marginal {
    /// Time over which a new copy has to pay off.
    pub horizon: Duration,
    /// Requests within their deadline that a move has to bring, times the team's weight of moves.
    pub cost: f64,
    /// Least time between a change of a copy and the opposite change.
    pub hold: Duration,
    /// Utilisation of a target from which requests start to miss their deadline.
    pub knee: f64,
    /// How far ahead demand is forecast.
    pub lead: Duration,
}

impl Default for Marginal {
    /// Returns the values that the sweep in `docs/POLICIES.md` favoured for both deployments.
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

/// Memory of policy `marginal`.
#[derive(Debug, Clone, Default)]
pub struct Memory {
    tracks: HashMap<Artifact, Track>,
    since: HashMap<(Artifact, id::Target), Point>,
    dropped: HashMap<Artifact, Point>,
    intents: HashMap<Artifact, id::Target>,
}

#[derive(Debug, Clone)]
struct Choice {
    target: usize,
    victims: SmallVec<[usize; 4]>,
    value: f64,
    score: f64,
}

#[derive(Debug, Clone, Copy)]
struct Victim {
    item: usize,
    bytes: Bytes,
    loss: f64,
    moves: f64,
}

/// Copies that would have to go from a target, what they lose and the moves it takes.
#[derive(Debug, Clone, Default)]
struct Room {
    victims: SmallVec<[usize; 4]>,
    loss: f64,
    moves: f64,
}

/// Factor on the worth of a copy in a failure domain that has none yet.
///
/// The loss of a domain is rare within a planning horizon, so spread decides between near-equal
/// targets and causes no moves of its own.
const SPREAD: f64 = 1.1;
/// Factor on the worth of the target that room is already being made on.
const INTENT: f64 = 1.5;

/// Targets that are examined for one artifact, those with the lowest utilisation first.
///
/// A full search grows with artifacts times targets, and took more than 50 ms for 820 models on 470
/// targets. The gain falls with the utilisation of the target, so the rest rarely matters.
const MAX_EXAMINED: usize = 24;

struct Search<'a, 'b> {
    policy: &'a Marginal,
    view: &'a View,
    team: usize,
    memory: &'a mut Memory,
    draft: &'b mut Draft<'a>,
    estimate: Estimate,
    extra: Vec<Need>,
    victims: Vec<Option<Vec<Victim>>>,
    order: Vec<usize>,
    cost: f64,
}

impl Policy for Marginal {
    type Memory = Memory;

    fn decide(&self, view: &View, team: usize, memory: &mut Memory, limit: usize) -> Moves {
        let outlooks = self.observe(view, team, memory);
        let mut draft = Draft::new(view);
        let mut moves = duty::moves(&mut draft, team, limit);
        let needs = needs(view, &outlooks);
        let extra = adapter_needs(view, &needs);
        let mut search = Search {
            policy: self,
            view,
            team,
            memory,
            estimate: Estimate::new(view, needs, self.knee),
            extra,
            victims: vec![None; view.targets.len()],
            order: (0..view.targets.len()).collect(),
            cost: self.cost * view.teams[team].moves,
            draft: &mut draft,
        };
        search.grow(limit, &mut moves);
        for wanted in &moves {
            if let Action::Unload { artifact, .. } = wanted.action {
                let artifact = view.artifacts[artifact].artifact.clone();
                memory.dropped.insert(artifact, view.now);
            }
        }
        moves
    }
}

impl Marginal {
    /// Updates the averages and the ages of copies, and forgets what the view no longer has.
    fn observe(&self, view: &View, team: usize, memory: &mut Memory) -> Vec<Outlook> {
        let now = view.now;
        let mut since = HashMap::new();
        let mut tracks = HashMap::new();
        let mut outlooks = Vec::with_capacity(view.artifacts.len());
        for entry in &view.artifacts {
            let rate = entry.demand.rate.get();
            if entry.team != team {
                let (rising, kept) = (rate, rate);
                outlooks.push(Outlook { rising, kept });
                continue;
            }
            let old = memory.tracks.get(&entry.artifact).copied();
            let mut track = old.unwrap_or_else(|| Track::start(now, rate));
            track.observe(now, rate);
            outlooks.push(track.outlook(&entry.demand, view.time_of_day, self.lead));
            tracks.insert(entry.artifact.clone(), track);
            for copy in &entry.copies {
                let key = (entry.artifact.clone(), view.targets[copy.target].id.clone());
                let at = memory.since.get(&key).copied().unwrap_or(now);
                since.insert(key, at);
            }
        }
        memory.since = since;
        memory
            .intents
            .retain(|artifact, _| tracks.contains_key(artifact));
        memory.tracks = tracks;
        memory.dropped.retain(|_, at| now.since(*at) < self.hold);
        outlooks
    }
}

/// Returns the demand to plan for.
fn needs(view: &View, outlooks: &[Outlook]) -> Vec<Need> {
    let need = |(entry, outlook): (&crate::view::Item, &Outlook)| {
        let rate = entry.demand.rate.get();
        let each = if rate > 0.0 {
            entry.demand.tokens.get() / rate
        } else {
            0.0
        };
        let planned = outlook.rising.max(outlook.kept);
        Need {
            value: planned * entry.weight,
            tokens: planned * each,
        }
    };
    view.artifacts.iter().zip(outlooks).map(need).collect()
}

/// Returns for each model the demand of its adapters, which a new copy of the model can take over.
fn adapter_needs(view: &View, needs: &[Need]) -> Vec<Need> {
    let mut extra = vec![Need::default(); needs.len()];
    for (item, entry) in view.artifacts.iter().enumerate() {
        if let Some(base) = entry.base {
            extra[base].value += needs[item].value;
            extra[base].tokens += needs[item].tokens;
        }
    }
    extra
}

impl Search<'_, '_> {
    /// Takes the best load again and again until none is worth its cost.
    fn grow(&mut self, limit: usize, moves: &mut Moves) {
        let own: Vec<_> = (0..self.view.artifacts.len())
            .filter(|item| self.is_candidate(*item))
            .collect();
        self.sort_targets();
        let mut choices: Vec<Option<Choice>> = own.iter().map(|item| self.choose(*item)).collect();
        for _ in 0..limit {
            let scored = choices.iter().enumerate();
            let scored = scored.filter_map(|(at, choice)| Some((at, choice.as_ref()?.score)));
            let Some((at, _)) = scored.max_by(|a, b| a.1.total_cmp(&b.1)) else {
                break;
            };
            let Some(choice) = choices[at].take() else {
                break;
            };
            if moves.len() >= limit {
                break;
            }
            self.take(own[at], &choice, limit, moves);
            self.sort_targets();
            // Only choices that share a target with the move can have changed much.
            for (other, item) in own.iter().enumerate() {
                let same = choices[other].as_ref();
                if other == at
                    || same.is_some_and(|c| c.target == choice.target)
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
        self.order
            .sort_by(|a, b| key(a).total_cmp(&key(b)).then(a.cmp(b)));
    }

    fn is_candidate(&self, item: usize) -> bool {
        let entry = &self.view.artifacts[item];
        entry.team == self.team
            && entry.demand.rate.get() + self.extra[item].value > 0.0
            && !self.view.is_superseded(item)
            && self.draft.is_covered(item)
            && !self.memory.dropped.contains_key(&entry.artifact)
    }

    /// Returns the best target for one more copy of an artifact, if a copy is worth its cost.
    fn choose(&mut self, item: usize) -> Option<Choice> {
        let pressure = self.estimate.pressure(item);
        if pressure <= self.policy.knee {
            return None;
        }
        let entry = &self.view.artifacts[item];
        let intent = self.memory.intents.get(&entry.artifact).cloned();
        let speed = self.view.store.speed;
        let seconds = if speed > 0.0 {
            entry.bytes.0 as f64 / speed
        } else {
            0.0
        };
        let span = (self.policy.horizon.as_secs_f64() - seconds).max(0.0);
        let mut best: Option<Choice> = None;
        let mut examined = 0;
        for at in 0..self.order.len() {
            let target = self.order[at];
            if examined >= MAX_EXAMINED || self.estimate.utilisation(target) >= pressure {
                break;
            }
            if !self.draft.is_eligible(item, target) {
                continue;
            }
            examined += 1;
            let extra = self.extra[item];
            let gain = self.estimate.gain(item, extra, Some(target), None) * span;
            let most = gain * SPREAD * INTENT;
            if gain <= self.cost || best.as_ref().is_some_and(|b| most <= b.value) {
                continue;
            }
            let choice = self.weigh(item, target, gain, intent.as_ref());
            let floor = best.as_ref().map_or(0.0, |best| best.value);
            best = choice.filter(|choice| choice.value > floor).or(best);
        }
        best
    }

    /// Returns a copy on a target with its worth, if that exceeds its cost.
    fn weigh(
        &mut self,
        item: usize,
        target: usize,
        gain: f64,
        intent: Option<&id::Target>,
    ) -> Option<Choice> {
        let Room {
            victims,
            loss,
            moves,
        } = self.room(item, target)?;
        let loss = loss * self.policy.horizon.as_secs_f64();
        let mut value = gain - loss - self.cost * (1.0 + moves);
        if value <= 0.0 {
            return None;
        }
        if !self.has_domain(item, target) {
            value *= SPREAD;
        }
        if intent == Some(&self.view.targets[target].id) {
            value *= INTENT;
        }
        let score = value / self.view.artifacts[item].bytes.0.max(1) as f64;
        Some(Choice {
            target,
            victims,
            value,
            score,
        })
    }

    fn has_domain(&self, item: usize, target: usize) -> bool {
        let domain = self.view.targets[target].domain;
        let mut copies = self.draft.copies(item).iter();
        copies.any(|copy| self.view.targets[copy.target].domain == domain)
    }

    /// Returns the copies that would have to go for an artifact to fit, and what they lose.
    fn room(&mut self, item: usize, target: usize) -> Option<Room> {
        let need = self.view.artifacts[item].bytes;
        let mut free = self.draft.free(target);
        let mut room = Room::default();
        if free >= need {
            return Some(Room::default());
        }
        for other in self.draft.on(target) {
            if self.draft.phase(*other, target) == Some(Phase::Unloading) {
                free = free.saturating_add(self.view.artifacts[*other].bytes);
            }
        }
        if self.victims[target].is_none() {
            self.victims[target] = Some(self.find_victims(target));
        }
        for victim in self.victims[target].iter().flatten() {
            if free >= need {
                break;
            }
            if victim.item != item && Some(victim.item) != self.view.artifacts[item].base {
                free = free.saturating_add(victim.bytes);
                room.loss += victim.loss;
                room.moves += victim.moves;
                room.victims.push(victim.item);
            }
        }
        (free >= need).then_some(room)
    }

    /// Returns the copies of the team on a target that may go, the least loss per byte first.
    fn find_victims(&self, target: usize) -> Vec<Victim> {
        let id = &self.view.targets[target].id;
        let mut victims = Vec::new();
        for item in self.draft.on(target).iter().copied() {
            let entry = &self.view.artifacts[item];
            if entry.team != self.team || entry.base.is_some() {
                continue;
            }
            let since = self.memory.since.get(&(entry.artifact.clone(), id.clone()));
            let held = since.is_none_or(|at| self.view.now.since(*at) < self.policy.hold);
            if held || !duty::is_evictable(self.draft, item, target) {
                continue;
            }
            let mut loss = -self
                .estimate
                .gain(item, Need::default(), None, Some(target));
            let mut moves = 1.0;
            for adapter in self.draft.adapters(item, target) {
                moves += 1.0;
                // A single copy is moved to another copy of its model and goes on serving there.
                if self.draft.is_spare(adapter, target) {
                    loss -= self
                        .estimate
                        .gain(adapter, Need::default(), None, Some(target));
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
        let rate = |v: &Victim| v.loss / v.bytes.0.max(1) as f64;
        victims.sort_by(|a, b| rate(a).total_cmp(&rate(b)));
        victims
    }

    /// Loads the chosen copy, or takes the next step to make room for it.
    fn take(&mut self, item: usize, choice: &Choice, limit: usize, moves: &mut Moves) {
        let artifact = self.view.artifacts[item].artifact.clone();
        let target = choice.target;
        if self.draft.can_load(item, target) {
            let action = Action::Load {
                artifact: item,
                target,
            };
            let value = choice.value / self.policy.horizon.as_secs_f64();
            let reason = Reason::Demand;
            duty::push(
                self.draft,
                moves,
                limit,
                Move {
                    action,
                    reason,
                    value,
                },
            );
            self.memory.intents.remove(&artifact);
        } else {
            let id = self.view.targets[target].id.clone();
            self.memory.intents.insert(artifact, id);
            for victim in choice.victims.iter().copied() {
                duty::evict(self.draft, victim, target, Reason::Room, limit, moves);
                self.estimate.remove(victim, target);
            }
            self.victims[target] = None;
        }
        self.estimate.add(item, target);
    }
}
