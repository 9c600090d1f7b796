//! Simulation of targets that carry out orders, and of callers whose demand shifts from model to model.
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
    plan::Planner,
    quota::Quota,
};
use buckthornmast_types::time::Point;
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::pool::{
    self, INCARNATION, SLOTS, TERM, adapter, at, model, pool, registry, service, target,
};

pub(crate) const MODELS: usize = 10;
pub(crate) const TICK_MS: u64 = 200;

/// Models that fit into the memory of a target.
pub(crate) const PLACES_PER_TARGET: usize = 3;

/// Callers that a target serves per tick.
const CALLERS_PER_TICK: u32 = SLOTS / 5;

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

/// Outcomes of the callers of one model.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Tally {
    pub(crate) arrived: u32,
    pub(crate) served: u32,
}

pub(crate) struct Simulation {
    pub(crate) pool: Pool,
    pub(crate) resident: Vec<BTreeSet<usize>>,
    pub(crate) tallies: [Tally; MODELS],
    pub(crate) loads: u32,
    ledger: Ledger,
    registry: Registry,
    demand: Demand,
    quota: Quota,
    random: SmallRng,
    // Order in progress at each target, with its completion time.
    orders_in_progress: Vec<Option<(Order, Point)>>,
    accepted: Vec<u64>,
    sequence: u64,
    // Ticks after which a caller that was not served disconnects.
    max_wait_ticks: u64,
    // Requested model and arrival tick of each waiting caller.
    waiting: Vec<(usize, u64)>,
}

impl Simulation {
    pub(crate) fn new(seed: u64, targets: usize, max_wait_ticks: u64) -> Self {
        let resident: Vec<BTreeSet<usize>> = (0..targets)
            .map(|at| {
                (0..PLACES_PER_TARGET)
                    .map(|place| (at + place) % MODELS)
                    .collect()
            })
            .collect();
        let mut simulation = Self {
            pool: pool(),
            resident,
            tallies: Default::default(),
            loads: 0,
            ledger: Ledger::default(),
            registry: Registry::default(),
            demand: Demand::default(),
            quota: Quota::new(at(0)),
            random: SmallRng::seed_from_u64(seed),
            orders_in_progress: vec![None; targets],
            accepted: vec![0; targets],
            sequence: 0,
            max_wait_ticks,
            waiting: Vec::new(),
        };
        simulation.announce(at(0));
        for number in 0..targets {
            let report = Report {
                accepted: 0,
                is_busy: false,
                resident: simulation.announced(number),
                arriving: Vec::new(),
                incarnation: None,
                is_leaving: false,
            };
            simulation
                .ledger
                .apply_report(&target(number), INCARNATION, &report);
        }
        simulation
    }

    /// Returns the share of the callers of these models that were served.
    pub(crate) fn served_share(&self, models: impl Iterator<Item = usize>) -> f64 {
        let sum = models.fold(Tally::default(), |sum, model| Tally {
            arrived: sum.arrived + self.tallies[model].arrived,
            served: sum.served + self.tallies[model].served,
        });
        f64::from(sum.served) / f64::from(sum.arrived.max(1))
    }

    fn announced(&self, number: usize) -> Vec<announcement::Resident> {
        let models: Vec<(usize, &[usize])> = self.resident[number]
            .iter()
            .map(|model| (*model, &[][..]))
            .collect();
        pool::resident_models(&models)
    }

    fn announce(&mut self, now: Point) {
        self.sequence += 1;
        let models: Vec<Vec<(usize, &[usize])>> = self
            .resident
            .iter()
            .map(|models| models.iter().map(|model| (*model, &[][..])).collect())
            .collect();
        let targets: Vec<&[(usize, &[usize])]> = models.iter().map(Vec::as_slice).collect();
        self.registry = registry(&targets, self.sequence, now);
        self.ledger.observe(&self.registry, |_| true, now);
    }

    /// Simulates one tick with this many callers, some of which request the hot models and the others any model.
    pub(crate) fn tick(&mut self, tick: u64, callers: u32, hot: &[(usize, f64)]) {
        let now = at(tick * TICK_MS);
        self.carry_out(now);
        self.announce(now);
        let mut arrived = [0u32; MODELS];
        for _ in 0..callers {
            let mut draw: f64 = self.random.random();
            let is_hot = hot.iter().find(|(_, share)| {
                draw -= share;
                draw < 0.0
            });
            let requested = match is_hot {
                Some((model, _)) => *model,
                None => self.random.random_range(0..MODELS),
            };
            arrived[requested] += 1;
            self.tallies[requested].arrived += 1;
            self.waiting.push((requested, tick));
        }
        self.serve(tick);
        let rows = (0..MODELS).map(|number| row(item(number, None), arrived[number]));
        self.demand.add(&rows.collect::<Vec<_>>(), now);
        self.plan(now);
    }

    fn carry_out(&mut self, now: Point) {
        for number in 0..self.resident.len() {
            let is_done = self.orders_in_progress[number]
                .as_ref()
                .is_some_and(|(_, due)| now >= *due);
            if let Some((order, _)) = self.orders_in_progress[number].take_if(|_| is_done) {
                let name: usize = order.action.model().as_str()[1..].parse().unwrap();
                match order.action {
                    Action::Load(_) => drop(self.resident[number].insert(name)),
                    _ => drop(self.resident[number].remove(&name)),
                }
                let count = self.resident[number].len();
                assert!(count <= PLACES_PER_TARGET, "the target is overcommitted");
            }
        }
    }

    /// Serves the callers that have waited longest first. Callers beyond the maximum wait disconnect.
    fn serve(&mut self, tick: u64) {
        let mut capacity = vec![CALLERS_PER_TICK; self.resident.len()];
        let resident = &self.resident;
        let tallies = &mut self.tallies;
        let max_wait_ticks = self.max_wait_ticks;
        self.waiting.retain(|(requested, since)| {
            let holders = (0..resident.len()).filter(|at| resident[*at].contains(requested));
            if let Some(best) = holders.max_by_key(|at| capacity[*at])
                && capacity[best] > 0
            {
                capacity[best] -= 1;
                tallies[*requested].served += 1;
                return false;
            }
            tick < since + max_wait_ticks
        });
    }

    fn plan(&mut self, now: Point) {
        let loads = self.quota.available(self.pool.loads, now);
        let service = service();
        for model in self.pool.models.keys() {
            let has_any = self.ledger.has_usable(&service, model);
            self.demand.record_copies(&service, model, has_any, now);
        }
        let planner = Planner::new(&self.ledger, &service, &self.pool, &self.demand, now);
        let steps = planner.steps(loads);
        for step in steps {
            let number: usize = step.target.as_str()[1..].parse().unwrap();
            if let Some(model) = step.makes_room_for {
                self.ledger.reserve(&step.target, model, now);
            }
            // Time in milliseconds until the target has carried out the order.
            let time = match step.action {
                Action::Load(_) => {
                    self.quota.take();
                    self.loads += 1;
                    4000
                }
                _ => 300,
            };
            let order = Order {
                target: step.target,
                incarnation: INCARNATION,
                expected: self.accepted[number],
                action: step.action,
            };
            let due = now + Duration::from_millis(time);
            self.ledger.record_order(&order, TERM, due, now);
            self.ledger.record_outcome(&order, Outcome::Accepted, now);
            self.accepted[number] += 1;
            assert!(
                self.orders_in_progress[number].is_none(),
                "a target has two orders in progress"
            );
            self.orders_in_progress[number] = Some((order, due));
        }
    }
}
