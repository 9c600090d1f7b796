//! Places of models.
//!
//! The load that is answered here: the demand for models moves within seconds, a target is fast only while few requests
//! are read and answered there at once, and there may be more models than places. So each copy is weighed by the
//! requests that it saves from being late or refused while demand stays as it is, less those that are hurt by what has
//! to make room for it, and the copy that is worth most is ordered first.
//!
//! A model that nobody holds counts for more the longer its callers have been waiting. So models that are hardly asked
//! for take turns on few places when there are too few for all, and the models that most callers ask for keep theirs.

mod level;

use std::time::Duration;

use buckthornmast_routes::document::{Model, Pool};
use buckthornmast_types::{id, time::Point};
use smallvec::SmallVec;

use self::level::{fill, harm};
use crate::{demand::Demand, ledger::Ledger, order::Action};

/// Requests at once up to which a target answers fast, whatever its slots: reading a prompt takes some tens of
/// milliseconds during which the answers of all others pause.
const COMFORT: f64 = 32.0;

/// Seconds for which demand is expected to stay as it is.
const HORIZON: f64 = 10.0;

/// Seconds that an idle copy takes to go, since entry instances are told first.
const UNLOAD: f64 = 0.2;

/// How much longer than the usual request the longest of a copy's requests takes, times the logarithm of their
/// number. A copy goes when the last of them has ended.
const LONGEST: f64 = 1.2;

/// Seconds of waiting after which a model that nobody holds counts twice.
const AGING: f64 = 4.0;

/// Requests that each second of a load costs, since the target takes no other order meanwhile, for adapters neither.
const BUSY: f64 = 1.0;

/// How much more a copy must save than what makes room for it.
const GAIN: f64 = 1.2;

/// Time for which the only copy of a model stays once it is ready, so that its callers have something of it.
const STAY: Duration = Duration::from_secs(3);

/// Requests that the only copy of a model is worth although nobody asks for it.
const LAST_COPY: f64 = 0.5;

/// Requests a second from which an adapter counts as in demand.
const ADAPTER_RATE: f64 = 0.2;

/// Rounds in which the demand is spread; the levels hardly move after that.
const ROUNDS: usize = 4;

/// Models that are weighed for each step, those with the most to gain.
const WEIGHED: usize = 8;

/// Next order to a target.
#[derive(Debug, Clone, PartialEq)]
pub struct Step {
    /// Target.
    pub target: id::Target,
    /// Order that is given next.
    pub action: Action,
    /// Model that the order makes room for.
    pub makes_room_for: Option<id::Model>,
    /// Whether the load takes from the ration of the weight store.
    pub is_rationed: bool,
    /// Requests that the copy is expected to save, for the log.
    pub saves: f64,
    /// Why, for the log.
    pub reason: &'static str,
}

struct Weighed<'a> {
    name: &'a id::Model,
    model: &'a Model,
    // Requests at once, over all copies.
    demand: f64,
    rate: f64,
    // Adapters in demand, and the requests a second for adapters.
    adapters: usize,
    adapter_rate: f64,
    // Seconds for which callers have been waiting for a first copy.
    waiting: f64,
    // Indices of the targets that have it, load it, or make room for it.
    copies: Vec<usize>,
    ready: usize,
    // Share of the demand on each copy.
    flows: Vec<f64>,
}

impl Weighed<'_> {
    fn flow_at(&self, place: usize) -> f64 {
        let at = self.copies.iter().position(|copy| *copy == place);
        at.map_or(0.0, |at| self.flows[at])
    }
}

struct Place<'a> {
    target: &'a id::Target,
    comfort: f64,
    level: f64,
    is_taken: bool,
    // Index of the model that room is being made for.
    reserved: Option<usize>,
}

/// Copy that may be ordered.
struct Offer {
    model: usize,
    place: usize,
    // Indices of the models that have to go.
    leaving: SmallVec<[usize; 4]>,
    is_rationed: bool,
    saves: f64,
}

/// Situation of one service.
pub struct Situation<'a> {
    ledger: &'a Ledger,
    pool: &'a Pool,
    models: Vec<Weighed<'a>>,
    places: Vec<Place<'a>>,
    now: Point,
}

impl<'a> Situation<'a> {
    /// Weighs demand against copies.
    pub fn new(
        ledger: &'a Ledger,
        service: &'a id::Service,
        pool: &'a Pool,
        demand: &Demand,
        now: Point,
    ) -> Self {
        let shelves = ledger
            .shelves
            .iter()
            .filter(|(_, shelf)| shelf.is_ready && shelf.service == *service);
        let places: Vec<Place<'_>> = shelves
            .map(|(target, shelf)| Place {
                target,
                comfort: f64::from(shelf.slots).clamp(1.0, COMFORT),
                level: 0.0,
                is_taken: !shelf.is_free(),
                reserved: None,
            })
            .collect();
        let models = pool.models.iter().map(|(name, model)| {
            let asked = demand.of_model(service, name, now);
            let waiting = demand.unserved(service, name, now);
            Weighed {
                name,
                model,
                demand: asked.slots,
                rate: asked.rate,
                adapters: demand.adapters_of(service, name, ADAPTER_RATE, now),
                adapter_rate: asked.adapter_rate,
                waiting: waiting.as_secs_f64(),
                copies: Vec::new(),
                ready: 0,
                flows: Vec::new(),
            }
        });
        let mut situation = Self {
            ledger,
            pool,
            models: models.collect(),
            places,
            now,
        };
        situation.find_copies();
        situation.spread();
        situation
    }

    fn find_copies(&mut self) {
        for (index, weighed) in self.models.iter_mut().enumerate() {
            for (at, place) in self.places.iter_mut().enumerate() {
                let shelf = &self.ledger.shelves[place.target];
                let loads = shelf
                    .loading()
                    .is_some_and(|(loading, _)| loading == weighed.name);
                let is_reserved = shelf.reserved(self.now) == Some(weighed.name);
                let holds = shelf.is_usable(weighed.name);
                if is_reserved && !holds {
                    place.reserved = Some(index);
                }
                if holds || loads || is_reserved {
                    weighed.copies.push(at);
                    weighed.ready += usize::from(holds);
                }
            }
        }
    }

    /// Spreads the demand for each model over its copies, so that the fullest target is as little full as possible.
    fn spread(&mut self) {
        let mut levels = vec![0.0; self.places.len()];
        for weighed in &mut self.models {
            let share = weighed.demand / weighed.copies.len().max(1) as f64;
            weighed.copies.iter().for_each(|at| levels[*at] += share);
            weighed.flows = vec![share; weighed.copies.len()];
        }
        for _ in 0..ROUNDS {
            for weighed in &mut self.models {
                for (at, flow) in weighed.copies.iter().zip(&weighed.flows) {
                    levels[*at] -= flow;
                }
                let others: Vec<f64> = weighed.copies.iter().map(|at| levels[*at]).collect();
                weighed.flows = fill(&others, weighed.demand).flows;
                for (at, flow) in weighed.copies.iter().zip(&weighed.flows) {
                    levels[*at] += flow;
                }
            }
        }
        for (place, level) in self.places.iter_mut().zip(levels) {
            place.level = level.max(0.0);
        }
    }

    /// Returns the next orders, at most one a target and at most `loads` from the weight store.
    pub fn steps(mut self, mut loads: usize) -> Vec<Step> {
        let mut steps = self.go_on(&mut loads);
        // Each copy changes the levels, so the next one is weighed anew.
        while let Some(offer) = self.best_offer(loads) {
            steps.push(self.take(offer, &mut loads));
        }
        steps
    }

    /// Returns the next orders for places where room is being made.
    fn go_on(&mut self, loads: &mut usize) -> Vec<Step> {
        let mut steps = Vec::new();
        for at in 0..self.places.len() {
            let Some(index) = self.places[at].reserved else {
                continue;
            };
            if self.places[at].is_taken {
                *loads = loads.saturating_sub(usize::from(self.is_rationed(index, at)));
                continue;
            }
            // Weighed again, since demand may have moved on.
            let weighed = &mut self.models[index];
            weighed.copies.retain(|copy| *copy != at);
            self.spread();
            if let Some(offer) = self.offer(index, at, *loads) {
                steps.push(self.take(offer, loads));
            }
        }
        steps
    }

    /// Returns the copy that saves the most requests.
    fn best_offer(&self, loads: usize) -> Option<Offer> {
        let mut gains: Vec<(usize, f64)> = (0..self.models.len())
            .map(|index| (index, self.hurt(index)))
            .filter(|(_, hurt)| *hurt > 0.0)
            .collect();
        gains.sort_by(|(_, one), (_, other)| other.total_cmp(one));
        let places = 0..self.places.len();
        let offers = gains.iter().take(WEIGHED).flat_map(|(index, _)| {
            let open = places.clone().filter(|at| !self.places[*at].is_taken);
            open.filter_map(|at| self.offer(*index, at, loads))
        });
        offers.max_by(|one, other| {
            // Equal gains go to the emptier target.
            let level = |offer: &Offer| self.places[offer.place].level;
            one.saves
                .total_cmp(&other.saves)
                .then_with(|| level(other).total_cmp(&level(one)))
                .then_with(|| other.model.cmp(&one.model))
        })
    }

    /// Returns the requests of a model that are hurt within the horizon if nothing changes.
    fn hurt(&self, index: usize) -> f64 {
        let weighed = &self.models[index];
        if weighed.copies.is_empty() {
            return self.worth_of_first(weighed, 0.0);
        }
        let level = self.least_full(weighed);
        (weighed.rate * level + self.without_place(weighed, 0.0)) * HORIZON
    }

    /// Returns the share of requests that are hurt at the least crowded copy.
    fn least_full(&self, weighed: &Weighed<'_>) -> f64 {
        let places = weighed.copies.iter().map(|at| &self.places[*at]);
        let shares = places.map(|place| harm(place.level, place.comfort));
        shares.min_by(f64::total_cmp).unwrap_or(1.0)
    }

    /// Returns the requests a second for adapters that find no place, with this many copies more.
    fn without_place(&self, weighed: &Weighed<'_>, more: f64) -> f64 {
        let places = (weighed.copies.len() as f64 + more) * f64::from(self.pool.adapters);
        let covered = places / (weighed.adapters.max(1) as f64);
        weighed.adapter_rate * (1.0 - covered).clamp(0.0, 1.0)
    }

    /// Returns the requests that a first copy saves when it is ready after this time.
    fn worth_of_first(&self, weighed: &Weighed<'_>, ready: f64) -> f64 {
        let to_come = weighed.rate * (HORIZON - ready).max(0.0);
        let waiting = weighed.rate * weighed.waiting * (1.0 + weighed.waiting / AGING);
        to_come + waiting + LAST_COPY
    }

    fn is_rationed(&self, index: usize, at: usize) -> bool {
        let shelf = &self.ledger.shelves[self.places[at].target];
        !shelf.has_copy(self.models[index].name)
    }

    fn load_time(&self, index: usize, at: usize) -> f64 {
        let shelf = &self.ledger.shelves[self.places[at].target];
        let weighed = &self.models[index];
        shelf.load_time(weighed.model).as_secs_f64()
    }

    /// Returns the seconds that a copy takes to go once its requests have ended.
    fn unload_time(&self, index: usize, at: usize) -> f64 {
        let weighed = &self.models[index];
        let request = weighed.demand / weighed.rate.max(f64::MIN_POSITIVE);
        UNLOAD + LONGEST * request.min(HORIZON) * weighed.flow_at(at).ln_1p()
    }

    /// Weighs a copy of a model at a place.
    fn offer(&self, index: usize, at: usize, loads: usize) -> Option<Offer> {
        let weighed = &self.models[index];
        let place = &self.places[at];
        let shelf = &self.ledger.shelves[place.target];
        let is_rationed = self.is_rationed(index, at);
        if shelf.held.contains_key(weighed.name) || (is_rationed && loads == 0) {
            return None;
        }
        let (leaving, lost) = self.make_room(index, at)?;
        let unloads = leaving.iter().map(|other| self.unload_time(*other, at));
        let unload: f64 = unloads.sum();
        let ready = self.load_time(index, at) + unload;
        let left: f64 = leaving
            .iter()
            .map(|other| self.models[*other].flow_at(at))
            .sum();
        let base = (place.level - left).max(0.0);
        let gained = if weighed.copies.is_empty() {
            self.worth_of_first(weighed, ready)
        } else {
            self.gain(weighed, at, base) * (HORIZON - ready).max(0.0)
        };
        let is_free = weighed.copies.is_empty() && leaving.is_empty();
        let busy = if is_free { 0.0 } else { BUSY * ready };
        let saves = gained - GAIN * lost - busy;
        (saves > 0.0).then_some(Offer {
            model: index,
            place: at,
            leaving,
            is_rationed,
            saves,
        })
    }

    /// Returns the requests a second that another copy at a place with this level saves.
    fn gain(&self, weighed: &Weighed<'_>, at: usize, base: f64) -> f64 {
        let place = &self.places[at];
        let mut levels: SmallVec<[f64; 16]> = weighed
            .copies
            .iter()
            .zip(&weighed.flows)
            .map(|(copy, flow)| (self.places[*copy].level - flow).max(0.0))
            .collect();
        levels.push(base);
        let filled = fill(&levels, weighed.demand);
        let before = self.least_full(weighed);
        let after = harm(filled.surface, place.comfort);
        // Models that are only here are hurt by the new one.
        let here = base + filled.flows.last().copied().unwrap_or_default();
        let pressed = harm(here, place.comfort) - harm(base, place.comfort);
        let neighbours = self.models.iter().filter(|other| other.copies == [at]);
        let hurt: f64 = neighbours.map(|other| other.rate * pressed).sum();
        let adapters = self.without_place(weighed, 0.0) - self.without_place(weighed, 1.0);
        weighed.rate * (before - after).max(0.0) + adapters - hurt.max(0.0)
    }

    /// Returns the copies whose loss hurts the fewest requests among those that make enough room.
    fn make_room(&self, index: usize, at: usize) -> Option<(SmallVec<[usize; 4]>, f64)> {
        let wanted = &self.models[index];
        let shelf = &self.ledger.shelves[self.places[at].target];
        let free = shelf.free(self.pool).0;
        let needed = wanted.model.weights.0;
        if free >= needed {
            return Some((SmallVec::new(), 0.0));
        }
        let held: SmallVec<[(usize, f64); 8]> = (0..self.models.len())
            .filter(|other| {
                let other = &self.models[*other];
                shelf.held.contains_key(other.name) && other.copies.contains(&at)
            })
            .filter_map(|other| Some((other, self.loss(other, at)?)))
            .collect();
        let mut best: Option<(u32, f64)> = None;
        for set in 1..1u32 << held.len().min(8) {
            let chosen = held
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
        let mut leaving: SmallVec<[usize; 4]> = SmallVec::new();
        for (bit, (other, _)) in held.iter().enumerate() {
            if set >> bit & 1 == 1 {
                leaving.push(*other);
            }
        }
        Some((leaving, lost))
    }

    /// Returns the requests that are hurt when a model's copy at a place goes; `None` if it has to stay.
    fn loss(&self, index: usize, at: usize) -> Option<f64> {
        let weighed = &self.models[index];
        let shelf = &self.ledger.shelves[self.places[at].target];
        if weighed.ready < 2 {
            let ready = shelf.ready_since(weighed.name);
            let is_new = ready.is_some_and(|since| self.now.since(since) < STAY);
            return (!is_new).then_some(weighed.rate * HORIZON + LAST_COPY);
        }
        let mut levels: SmallVec<[f64; 16]> = SmallVec::new();
        for (copy, flow) in weighed.copies.iter().zip(&weighed.flows) {
            if *copy != at {
                levels.push((self.places[*copy].level - flow).max(0.0));
            }
        }
        let filled = fill(&levels, weighed.demand);
        let comfort = self.places[at].comfort;
        let more = harm(filled.surface, comfort) - self.least_full(weighed);
        let adapters = self.without_place(weighed, -1.0) - self.without_place(weighed, 0.0);
        Some((weighed.rate * more.max(0.0) + adapters) * HORIZON)
    }

    fn take(&mut self, offer: Offer, loads: &mut usize) -> Step {
        if offer.is_rationed {
            *loads -= 1;
        }
        let weighed = &self.models[offer.model];
        let reason = if weighed.copies.is_empty() {
            "no target has the model"
        } else {
            "its targets are crowded"
        };
        let name = weighed.name.clone();
        let first = offer.leaving.first().map(|first| self.models[*first].name);
        let action = first.map_or(Action::Load(name.clone()), |first| {
            Action::Unload(first.clone())
        });
        for other in &offer.leaving {
            let leaving = &mut self.models[*other];
            leaving.copies.retain(|copy| *copy != offer.place);
            leaving.ready = leaving.ready.saturating_sub(1);
        }
        self.models[offer.model].copies.push(offer.place);
        self.places[offer.place].is_taken = true;
        self.spread();
        Step {
            target: self.places[offer.place].target.clone(),
            makes_room_for: matches!(action, Action::Unload(_)).then_some(name),
            action,
            is_rationed: offer.is_rationed,
            saves: offer.saves,
            reason,
        }
    }
}
