//! Places of models and adapters while demand moves, played against targets that carry orders out.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

#[path = "support/pool.rs"]
mod pool;

use std::{collections::BTreeSet, time::Duration};

use buckthornmast_fleet::registry::Registry;
use buckthornmast_routes::document::Pool;
use buckthornmast_supply::{
    adapters::{self, Place},
    demand::{Demand, Item, Row},
    ledger::Ledger,
    order::{Action, Order, Outcome, Report},
    plan::Situation,
    ration::Ration,
};
use buckthornmast_types::time::Point;
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::pool::{BORN, SLOTS, adapter, at, model, observe, pool, registry, service, target};

fn item(number: usize, adapter_number: Option<usize>) -> Item {
    Item {
        service: service(),
        model: model(number),
        adapter: adapter_number.map(adapter),
    }
}

fn row(item: Item, requests: u32) -> Row {
    Row {
        item,
        requests,
        ended: requests,
        slot_time: Duration::from_secs(requests.into()),
    }
}

fn known(targets: &[&[(usize, &[usize])]]) -> Ledger {
    let mut ledger = Ledger::default();
    observe(&mut ledger, targets, 1, at(0));
    for (number, models) in targets.iter().enumerate() {
        let report = Report {
            accepted: 0,
            is_busy: false,
            held: pool::held(models),
            born: None,
        };
        ledger.reported(&target(number), BORN, &report);
    }
    ledger
}

fn steps(ledger: &Ledger, pool: &Pool, demand: &Demand, loads: usize) -> Vec<Action> {
    let service = service();
    let situation = Situation::new(ledger, &service, pool, demand, at(0));
    let steps = situation.steps(loads);
    steps.into_iter().map(|step| step.action).collect()
}

/// Guards against models that nobody could ask for, and against more loads than the weight store allows.
#[test]
fn plan_missing_models() {
    let mut pool = pool();
    pool.models.retain(|name, _| name.as_str() < "m4");
    let ledger = known(&[&[(0, &[]), (1, &[])], &[]]);
    let demand = Demand::default();
    assert_eq!(steps(&ledger, &pool, &demand, 0), []);
    let given = steps(&ledger, &pool, &demand, 5);
    assert_eq!(given, [Action::Load(model(2)), Action::Load(model(3))]);
}

/// Guards against models that count as held by a target that crashed and says nothing any more.
#[test]
fn plan_after_silent_crash() {
    let mut pool = pool();
    pool.models.retain(|name, _| name.as_str() < "m2");
    let targets: &[&[(usize, &[usize])]] = &[&[(0, &[])], &[(1, &[])]];
    let mut ledger = known(targets);
    let mut heard = registry(targets, 2, at(0));
    let now = at(7000);
    heard.note_alive(&target(1), BORN, now);
    ledger.observe(&heard, |_| true, now);
    let demand = Demand::default();
    let engines = service();
    let situation = Situation::new(&ledger, &engines, &pool, &demand, now);
    let steps = situation.steps(3);
    assert_eq!(steps.len(), 1, "{steps:?}");
    assert_eq!(steps[0].target, target(1));
    assert_eq!(steps[0].action, Action::Load(model(0)));
}

/// Guards against copies of models that are asked for making room for one that nobody asks for.
#[test]
fn plan_keeps_hot_copies() {
    let mut pool = pool();
    pool.models.retain(|name, _| name.as_str() < "m4");
    let full: &[(usize, &[usize])] = &[(0, &[]), (1, &[]), (2, &[])];
    let ledger = known(&[full, full]);
    let mut demand = Demand::default();
    for number in 0..3 {
        demand.add(&[row(item(number, None), 30)], at(0));
    }
    assert_eq!(steps(&ledger, &pool, &demand, 3), []);
}

/// Guards against several copies of one model going at once because each decision counts on the others.
#[test]
fn plan_leaves_a_copy() {
    let mut pool = pool();
    pool.models.retain(|name, _| name.as_str() < "m6");
    let ledger = known(&[
        &[(0, &[]), (1, &[]), (2, &[])],
        &[(0, &[]), (1, &[]), (2, &[])],
    ]);
    let mut demand = Demand::default();
    for number in 3..6 {
        demand.add(&[row(item(number, None), 20)], at(0));
    }
    let given = steps(&ledger, &pool, &demand, 3);
    let gone: Vec<_> = given
        .iter()
        .filter_map(|action| match action {
            Action::Unload(model) => Some(model.clone()),
            _ => None,
        })
        .collect();
    let distinct: BTreeSet<_> = gone.iter().collect();
    assert_eq!(distinct.len(), gone.len(), "{given:?}");
}

/// Guards against an adapter that has no turn while others that are asked for hold all places.
#[test]
fn place_takes_turns() {
    let pool = pool();
    let mut ledger = known(&[&[(0, &[])]]);
    let mut demand = Demand::default();
    let mut served = BTreeSet::new();
    let mut accepted = 0;
    for tick in 0..400 {
        let now = at(tick * 100);
        for number in 0..5 {
            demand.add(&[row(item(0, Some(number)), 1)], now);
        }
        for number in 0..5 {
            match adapters::place(&ledger, &pool, &demand, &item(0, Some(number)), now) {
                Place::Held(_) => drop(served.insert(number)),
                Place::Order(target, action) => {
                    let order = Order {
                        target,
                        born: BORN,
                        expected: accepted,
                        action,
                    };
                    accepted += 1;
                    ledger.sent(&order, now, now);
                    ledger.answered(&order, Outcome::Accepted, now);
                }
                _ => {}
            }
        }
        let shelf = &ledger.shelves[&target(0)];
        assert!(shelf.adapters() <= 2, "more adapters than places");
        // What is in use goes once it isn't used any more.
        if tick % 10 == 0 && !shelf.going.is_empty() {
            let held = shelf.usable();
            let report = Report {
                accepted,
                is_busy: false,
                held,
                born: None,
            };
            ledger.reported(&target(0), BORN, &report);
        }
    }
    assert_eq!(served.len(), 5, "{served:?}");
}

/// Targets that carry out what they are ordered, and a load that moves from model to model.
struct Play {
    pool: Pool,
    ledger: Ledger,
    registry: Registry,
    demand: Demand,
    ration: Ration,
    random: SmallRng,
    held: Vec<BTreeSet<usize>>,
    // Order in progress on each target, and when it is done.
    busy: Vec<Option<(Order, Point)>>,
    accepted: Vec<u64>,
    sequence: u64,
    asked: u64,
    served: u64,
}

const TARGETS: usize = 8;
const TICK: u64 = 200;

impl Play {
    fn new(seed: u64) -> Self {
        let held: Vec<BTreeSet<usize>> = (0..TARGETS)
            .map(|at| BTreeSet::from([at, (at + 1) % 10, (at + 2) % 10]))
            .collect();
        let mut play = Self {
            pool: pool(),
            ledger: Ledger::default(),
            registry: Registry::default(),
            demand: Demand::default(),
            ration: Ration::new(at(0)),
            random: SmallRng::seed_from_u64(seed),
            held,
            busy: vec![None; TARGETS],
            accepted: vec![0; TARGETS],
            sequence: 0,
            asked: 0,
            served: 0,
        };
        play.announce(at(0));
        for number in 0..TARGETS {
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

    fn announced(&self, number: usize) -> Vec<buckthornmast_fleet::announcement::Held> {
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

    /// Plays one tick in which one model gets most requests; whoever finds no slot is turned away.
    fn tick(&mut self, tick: u64, hot: usize) {
        let now = at(tick * TICK);
        for number in 0..TARGETS {
            let done = self.busy[number]
                .as_ref()
                .is_some_and(|(_, due)| now >= *due);
            if let Some((order, _)) = self.busy[number].take_if(|_| done) {
                let name: usize = order.action.model().as_str()[1..].parse().unwrap();
                match order.action {
                    Action::Load(_) => drop(self.held[number].insert(name)),
                    _ => drop(self.held[number].remove(&name)),
                }
                assert!(self.held[number].len() <= 3, "the target is overcommitted");
            }
        }
        self.announce(now);
        let mut room = [SLOTS / 5; TARGETS];
        let mut asked = [0u32; 10];
        for _ in 0..14 {
            let wanted = if self.random.random_bool(0.7) {
                hot
            } else {
                self.random.random_range(0..10)
            };
            asked[wanted] += 1;
            self.asked += 1;
            let holders = (0..TARGETS).filter(|at| self.held[*at].contains(&wanted));
            if let Some(best) = holders.max_by_key(|at| room[*at])
                && room[best] > 0
            {
                room[best] -= 1;
                self.served += 1;
            }
        }
        let rows = (0..10).map(|number| row(item(number, None), asked[number]));
        self.demand.add(&rows.collect::<Vec<_>>(), now);
        self.plan(now);
    }

    fn plan(&mut self, now: Point) {
        let loads = self.ration.available(self.pool.loads, now);
        let service = service();
        let situation = Situation::new(&self.ledger, &service, &self.pool, &self.demand, now);
        let steps = situation.steps(loads);
        for step in steps {
            let number: usize = step.target.as_str()[1..].parse().unwrap();
            let time = match step.action {
                Action::Load(_) => {
                    self.ration.take();
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

/// Guards against copies that don't follow the demand: each model in turn is asked for by most callers for 20 s.
/// Without any orders, a third of the callers would be served in these plays.
#[test]
fn play_moving_demand() {
    for seed in 0..4 {
        let mut play = Play::new(seed);
        for tick in 0..600 {
            play.tick(tick, (tick / 100) as usize % 10);
        }
        let all: BTreeSet<usize> = play.held.iter().flatten().copied().collect();
        assert_eq!(all.len(), 10, "a model has no copy left");
        let share = play.served as f64 / play.asked as f64;
        println!("seed {seed}: {share:.3} of the callers served");
        assert!(share > 0.6, "seed {seed}: {share:.3} of the callers served");
    }
}
