//! Targets that carry out what they are ordered, and callers whose demand moves from model to model.
#![allow(
    dead_code,
    clippy::unwrap_used,
    reason = "shared by several test binaries; helpers of tests may panic"
)]

use std::{collections::BTreeSet, time::Duration};

use buckthornmast_fleet::{announcement, registry::Registry};
use buckthornmast_routes::document::Pool;
use buckthornmast_supply::{
    demand::{Demand, Item, Row},
    ledger::Ledger,
    order::{Action, Order, Outcome, Report},
    plan::Situation,
    ration::Ration,
};
use buckthornmast_types::time::Point;
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::pool::{self, BORN, SLOTS, adapter, at, model, pool, registry, service, target};

pub(crate) const MODELS: usize = 10;
pub(crate) const TICK: u64 = 200;

/// Models that a target holds.
pub(crate) const PLACES: usize = 3;

/// Callers that a target serves in a tick.
const ROOM: u32 = SLOTS / 5;

pub(crate) fn item(number: usize, adapter_number: Option<usize>) -> Item {
    Item {
        service: service(),
        model: model(number),
        adapter: adapter_number.map(adapter),
    }
}

pub(crate) fn row(item: Item, requests: u32) -> Row {
    Row {
        item,
        requests,
        ended: requests,
        slot_time: Duration::from_secs(requests.into()),
        events: 0,
        event_time: Duration::ZERO,
    }
}

/// What became of the callers of one model.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Tally {
    pub(crate) asked: u32,
    pub(crate) served: u32,
}

pub(crate) struct Play {
    pub(crate) pool: Pool,
    pub(crate) held: Vec<BTreeSet<usize>>,
    pub(crate) tallies: [Tally; MODELS],
    pub(crate) loads: u32,
    ledger: Ledger,
    registry: Registry,
    demand: Demand,
    ration: Ration,
    random: SmallRng,
    // Order in progress on each target, and when it is done.
    busy: Vec<Option<(Order, Point)>>,
    accepted: Vec<u64>,
    sequence: u64,
    // Ticks for which a caller waits.
    patience: u64,
    waiting: Vec<(usize, u64)>,
}

impl Play {
    pub(crate) fn new(seed: u64, targets: usize, patience: u64) -> Self {
        let held: Vec<BTreeSet<usize>> = (0..targets)
            .map(|at| (0..PLACES).map(|place| (at + place) % MODELS).collect())
            .collect();
        let mut play = Self {
            pool: pool(),
            held,
            tallies: Default::default(),
            loads: 0,
            ledger: Ledger::default(),
            registry: Registry::default(),
            demand: Demand::default(),
            ration: Ration::new(at(0)),
            random: SmallRng::seed_from_u64(seed),
            busy: vec![None; targets],
            accepted: vec![0; targets],
            sequence: 0,
            patience,
            waiting: Vec::new(),
        };
        play.announce(at(0));
        for number in 0..targets {
            let report = Report {
                accepted: 0,
                is_busy: false,
                held: play.announced(number),
                born: None,
            };
            play.ledger.reported(&target(number), BORN, &report);
        }
        play
    }

    /// Returns the share of callers that were served, over these models.
    pub(crate) fn share(&self, models: impl Iterator<Item = usize>) -> f64 {
        let sum = models.fold(Tally::default(), |sum, model| Tally {
            asked: sum.asked + self.tallies[model].asked,
            served: sum.served + self.tallies[model].served,
        });
        f64::from(sum.served) / f64::from(sum.asked.max(1))
    }

    fn announced(&self, number: usize) -> Vec<announcement::Held> {
        let models: Vec<(usize, &[usize])> = self.held[number]
            .iter()
            .map(|model| (*model, &[][..]))
            .collect();
        pool::held(&models)
    }

    fn announce(&mut self, now: Point) {
        self.sequence += 1;
        let models: Vec<Vec<(usize, &[usize])>> = self
            .held
            .iter()
            .map(|held| held.iter().map(|model| (*model, &[][..])).collect())
            .collect();
        let targets: Vec<&[(usize, &[usize])]> = models.iter().map(Vec::as_slice).collect();
        self.registry = registry(&targets, self.sequence, now);
        self.ledger.observe(&self.registry, |_| true, now);
    }

    /// Plays one tick with this many callers, of whom some want the hot models and the others any model.
    pub(crate) fn tick(&mut self, tick: u64, callers: u32, hot: &[(usize, f64)]) {
        let now = at(tick * TICK);
        self.carry_out(now);
        self.announce(now);
        let mut asked = [0u32; MODELS];
        for _ in 0..callers {
            let mut draw: f64 = self.random.random();
            let is_hot = hot.iter().find(|(_, share)| {
                draw -= share;
                draw < 0.0
            });
            let wanted = match is_hot {
                Some((model, _)) => *model,
                None => self.random.random_range(0..MODELS),
            };
            asked[wanted] += 1;
            self.tallies[wanted].asked += 1;
            self.waiting.push((wanted, tick));
        }
        self.serve(tick);
        let rows = (0..MODELS).map(|number| row(item(number, None), asked[number]));
        self.demand.add(&rows.collect::<Vec<_>>(), now);
        self.plan(now);
    }

    fn carry_out(&mut self, now: Point) {
        for number in 0..self.held.len() {
            let done = self.busy[number]
                .as_ref()
                .is_some_and(|(_, due)| now >= *due);
            if let Some((order, _)) = self.busy[number].take_if(|_| done) {
                let name: usize = order.action.model().as_str()[1..].parse().unwrap();
                match order.action {
                    Action::Load(_) => drop(self.held[number].insert(name)),
                    _ => drop(self.held[number].remove(&name)),
                }
                let count = self.held[number].len();
                assert!(count <= PLACES, "the target is overcommitted");
            }
        }
    }

    /// Serves those who have waited longest first; whoever has waited too long leaves.
    fn serve(&mut self, tick: u64) {
        let mut room = vec![ROOM; self.held.len()];
        let held = &self.held;
        let tallies = &mut self.tallies;
        let patience = self.patience;
        self.waiting.retain(|(wanted, since)| {
            let holders = (0..held.len()).filter(|at| held[*at].contains(wanted));
            if let Some(best) = holders.max_by_key(|at| room[*at])
                && room[best] > 0
            {
                room[best] -= 1;
                tallies[*wanted].served += 1;
                return false;
            }
            tick < since + patience
        });
    }

    fn plan(&mut self, now: Point) {
        let loads = self.ration.available(self.pool.loads, now);
        let service = service();
        for model in self.pool.models.keys() {
            let has_any = self.ledger.has_usable(&service, model);
            self.demand.note_copies(&service, model, has_any, now);
        }
        let situation = Situation::new(&self.ledger, &service, &self.pool, &self.demand, now);
        let steps = situation.steps(loads);
        for step in steps {
            let number: usize = step.target.as_str()[1..].parse().unwrap();
            if let Some(model) = step.makes_room_for {
                self.ledger.reserve(&step.target, model, now);
            }
            let time = match step.action {
                Action::Load(_) => {
                    self.ration.take();
                    self.loads += 1;
                    4000
                }
                _ => 300,
            };
            let order = Order {
                target: step.target,
                born: BORN,
                expected: self.accepted[number],
                action: step.action,
            };
            let due = now + Duration::from_millis(time);
            self.ledger.sent(&order, due, now);
            self.ledger.answered(&order, Outcome::Accepted, now);
            self.accepted[number] += 1;
            assert!(self.busy[number].is_none(), "a target has two orders");
            self.busy[number] = Some((order, due));
        }
    }
}
