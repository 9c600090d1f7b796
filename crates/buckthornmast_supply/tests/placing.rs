//! Choice of a target by the leader, simulated against a load model of batching engines that differ in speed.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

#[path = "support/engine.rs"]
mod engine;
#[path = "support/pool.rs"]
mod pool;

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Duration,
};

use buckthornmast_supply::{
    adapters,
    demand::{Demand, Item},
    kept::{Cache, Use},
    ledger::{Inventory, Ledger},
    occupancy::{Occupancy, Reporter, Row, Statement},
    order::{self, Action},
    permits::{Permit, Queue, Request, Ticket},
};
use buckthornmast_types::{id, prompt::Prefix, slowdown::Slowdown};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use smallvec::{SmallVec, smallvec};

use crate::{
    engine::{Answer, Engine},
    pool::{INCARNATION, SLOTS, at, model, observe, service, target},
};

const OBJECTIVE_MS: f64 = 300.0;
const MAX_EVENT_GAP_MS: f64 = 200.0;
const REPORT_INTERVAL_MS: u64 = 50;
const SLOT_TIME: Duration = Duration::from_millis(500);

fn ledger(targets: usize) -> Ledger {
    let mut ledger = Ledger::default();
    let models: &[(usize, &[usize])] = &[(0, &[])];
    observe(&mut ledger, &vec![models; targets], 1, at(0));
    ledger
}

fn request(prompt: u32) -> Request {
    Request {
        item: Item {
            service: service(),
            model: model(0),
            adapter: None,
        },
        prompt_tokens: prompt,
        prefix: None,
        objective: Duration::from_millis(OBJECTIVE_MS as u64),
        max_wait: Duration::from_millis(2000),
        avoid: SmallVec::new(),
        priority: 1,
        organisation: None,
        answer_tokens: 0,
        prefixes: SmallVec::new(),
    }
}

/// How targets are chosen.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Rule {
    /// By the leader, with reports that arrive after this time.
    Reports { delay_ms: u64 },
    /// By the leader, with no reports.
    NoReports,
    /// By the true state at the moment: the engine that has least to do for its speed.
    TrueState,
}

/// Engines of different speed, and their callers.
struct Fleet {
    engines: Vec<Engine>,
    // Engine that states that it is idle and fast.
    liar: Option<usize>,
    // Time from which the first engine is this many times slower.
    turn: Option<(u64, f64)>,
    // Requests sent to each engine since the last report.
    begun: Vec<u32>,
    random: SmallRng,
    arrived: usize,
}

impl Fleet {
    fn new(seed: u64, paces: &[f64]) -> Self {
        let engine = |pace: &f64| {
            let mut engine = Engine::new(SLOTS as usize);
            engine.pace = *pace;
            engine
        };
        Self {
            engines: paces.iter().map(engine).collect(),
            liar: None,
            turn: None,
            begun: vec![0; paces.len()],
            random: SmallRng::seed_from_u64(seed),
            arrived: 0,
        }
    }

    fn send(&mut self, number: usize, answer: Answer) {
        self.begun[number] += 1;
        self.engines[number].send(answer);
    }

    fn report(&mut self) -> Vec<Row> {
        let rows = self.engines.iter().enumerate().map(|(number, engine)| {
            let running = engine.load() as u32;
            let (requests, percent) = if self.liar == Some(number) {
                (0, 1)
            } else {
                (running, (engine.pace * 100.0) as u16)
            };
            Row {
                target: target(number),
                incarnation: INCARNATION,
                running,
                begun: std::mem::take(&mut self.begun[number]),
                stated: Some(Statement {
                    requests,
                    slowdown: Slowdown::percent(percent).unwrap(),
                    age_ms: 0,
                }),
            }
        });
        rows.collect()
    }

    /// Plays requests at a rate per second, and returns the share of them that were answered on time.
    fn play(mut self, rule: Rule, rate: f64, millis: u64) -> f64 {
        let ledger = ledger(self.engines.len());
        let demand = Demand::default();
        let mut queue = Queue::default();
        let mut waiting: HashMap<Ticket, Answer> = HashMap::new();
        let mut reports: VecDeque<(u64, Vec<Row>)> = VecDeque::new();
        for now in 0..millis {
            if let Some((_, slowdown)) = self.turn.filter(|(from, _)| *from == now) {
                self.engines[0].pace *= slowdown;
            }
            let mut permits = Vec::new();
            if now.is_multiple_of(REPORT_INTERVAL_MS)
                && let Rule::Reports { delay_ms } = rule
            {
                let rows = self.report();
                reports.push_back((now + delay_ms, rows));
            }
            while let Some((_, rows)) = reports.pop_front_if(|(due, _)| *due <= now) {
                queue.record_report(Reporter(0), &rows, at(now));
            }
            if self.random.random_bool(rate / 1000.0) {
                self.arrived += 1;
                let draw: f64 = self.random.random();
                let prompt = (-(1.0 - draw).ln() * 600.0).clamp(100.0, 2300.0);
                let answer = Answer::new(now as f64, prompt, self.random.random_range(5..60));
                if rule == Rule::TrueState {
                    let cost = |number: &usize| {
                        let engine = &self.engines[*number];
                        ((engine.load() + 1) as f64 * engine.pace * 1000.0) as u64
                    };
                    let best = (0..self.engines.len()).min_by_key(cost).unwrap();
                    self.send(best, answer);
                } else {
                    let (ticket, permit) =
                        queue.request(request(prompt as u32), &ledger, &demand, at(now));
                    waiting.insert(ticket, answer);
                    permits.push((ticket, permit));
                }
            }
            if now.is_multiple_of(5) {
                permits.extend(queue.poll(&ledger, at(now)));
            }
            for (ticket, permit) in permits {
                if let Permit::Go(target) = permit {
                    let number = target.as_str()[1..].parse().unwrap();
                    self.send(number, waiting.remove(&ticket).unwrap());
                }
            }
            self.engines
                .iter_mut()
                .for_each(|engine| engine.run_until(now as f64));
        }
        let mut on_time = 0;
        for engine in &mut self.engines {
            engine.run_until(millis as f64 + 30_000.0);
            let answered = engine.done.iter().filter(|answer| {
                answer.first - answer.arrived <= OBJECTIVE_MS
                    && answer.longest_gap <= MAX_EVENT_GAP_MS
            });
            on_time += answered.count();
        }
        on_time as f64 / self.arrived as f64
    }
}

/// Plays the same load by each rule, and returns the shares on time: with reports, without, and by the true state.
fn compare(fleet: impl Fn(u64) -> Fleet, delay_ms: u64, rate: f64) -> [f64; 3] {
    let rules = [Rule::Reports { delay_ms }, Rule::NoReports, Rule::TrueState];
    rules.map(|rule| {
        let shares = (0..3).map(|seed| fleet(seed).play(rule, rate, 15_000));
        shares.sum::<f64>() / 3.0
    })
}

/// Guards against targets that are loaded alike although they differ in speed, with fresh reports and with stale ones.
#[test]
fn simulation_three_speeds() {
    for delay_ms in [1, 300] {
        let paces = [1.0, 1.0, 1.5, 1.5, 2.5, 2.5];
        let [with, without, best] = compare(|seed| Fleet::new(seed, &paces), delay_ms, 55.0);
        println!("delay {delay_ms} ms: {with:.3}, {without:.3} without reports, {best:.3} best");
        assert!(
            with > without,
            "delay {delay_ms} ms: {with}; without reports {without}"
        );
        assert!(
            with > best - 0.05,
            "delay {delay_ms} ms: {with}; by the true state {best}"
        );
    }
}

/// Guards against callers that wait at a target that has turned slow while others are free.
#[test]
fn simulation_turn_slow() {
    let fleet = |seed| Fleet {
        turn: Some((5000, 5.0)),
        ..Fleet::new(seed, &[1.0; 5])
    };
    let [with, without, best] = compare(fleet, 1, 55.0);
    println!("{with:.3}, {without:.3} without reports, {best:.3} best");
    assert!(with > without, "{with}; without reports {without}");
    assert!(with > best - 0.05, "{with}; by the true state {best}");
}

/// Guards against a target that attracts requests by stating that it is idle and fast.
#[test]
fn simulation_liar() {
    let honest = |seed| Fleet::new(seed, &[1.0; 4]);
    let lying = |seed| Fleet {
        liar: Some(0),
        ..honest(seed)
    };
    let [honest, ..] = compare(honest, 1, 50.0);
    let [lying, ..] = compare(lying, 1, 50.0);
    println!("{honest:.3} with honest targets, {lying:.3} with a liar");
    assert!(lying > honest - 0.03, "{lying}; honest {honest}");
}

/// Returns how often each target got a request with a prefix, of 40 a second over ten seconds. Answers take half a second.
fn spread() -> BTreeMap<id::Target, usize> {
    let ledger = ledger(6);
    let demand = Demand::default();
    let mut queue = Queue::default();
    queue.cache_tokens.insert(service(), 36_000);
    let mut running: Vec<(u64, id::Target)> = Vec::new();
    let mut sent = BTreeMap::new();
    for step in 0..400 {
        let now = step * 25;
        running.retain(|(until, _)| *until > now);
        let rows: Vec<Row> = (0..6)
            .map(|number| {
                let at_target = running.iter().filter(|(_, to)| *to == target(number));
                Row {
                    target: target(number),
                    incarnation: INCARNATION,
                    running: at_target.count() as u32,
                    begun: 1,
                    stated: None,
                }
            })
            .collect();
        queue.record_report(Reporter(0), &rows, at(now));
        let prefix = Prefix {
            hash: 7,
            tokens: 400,
        };
        let request = Request {
            prefix: Some(7),
            prefixes: smallvec![prefix],
            answer_tokens: 100,
            ..request(600)
        };
        let (_, permit) = queue.request(request, &ledger, &demand, at(now));
        if let Permit::Go(target) = permit {
            running.push((now + 500, target.clone()));
            *sent.entry(target).or_insert(0) += 1;
        }
    }
    sent
}

/// Guards against a hot prefix that is read again at every target, and against one that fills its only holder.
#[test]
fn request_hot_prefix() {
    let sent = spread();
    println!("{sent:?}");
    let total: usize = sent.values().sum();
    assert_eq!(total, 400, "{sent:?}");
    assert!((2..=5).contains(&sent.len()), "{sent:?}");
    assert!(
        sent.values().all(|count| *count < total * 3 / 4),
        "{sent:?}"
    );
}

/// Guards against parts that are counted on after an eviction, a long pause, or the unload of their model.
#[test]
fn kept_tokens_doubt() {
    let prefixes = [(1, 100), (2, 50)].map(|(hash, tokens)| Prefix { hash, tokens });
    let sent = |prefixes, prompt_tokens| Use {
        model: 1,
        prefixes,
        prompt_tokens,
        answer_tokens: 0,
    };
    let kept = |cache: &Cache, millis| cache.kept_tokens(&prefixes, 10_000, 0.0, at(millis));
    let mut cache = Cache::default();
    assert_eq!(kept(&cache, 0), 0.0);
    cache.record(sent(&prefixes, 500), 0.0, at(0));
    assert!(kept(&cache, 0) > 149.0, "{}", kept(&cache, 0));
    assert!(kept(&cache, 60_000) < 15.0, "{}", kept(&cache, 60_000));
    // The running requests leave no room.
    assert_eq!(cache.kept_tokens(&prefixes, 10_000, 20.0, at(0)), 0.0);
    let mut unloaded = cache.clone();
    unloaded.retain_models(|model| model != 1);
    assert_eq!(kept(&unloaded, 0), 0.0);
    // The second part is of no use without the first.
    let mut partial = Cache::default();
    partial.record(sent(&prefixes[1..], 500), 0.0, at(0));
    assert_eq!(kept(&partial, 0), 0.0);
    cache.record(sent(&[], 9000), 0.0, at(10));
    assert!(kept(&cache, 10) < 60.0, "{}", kept(&cache, 10));
    cache.record(sent(&[], 1500), 0.0, at(20));
    assert_eq!(kept(&cache, 20), 0.0);
}

fn row(running: u32, begun: u32, stated: Option<u32>) -> Row {
    Row {
        target: target(0),
        incarnation: INCARNATION,
        running,
        begun,
        stated: stated.map(|requests| Statement {
            requests,
            slowdown: Slowdown::NONE,
            age_ms: 0,
        }),
    }
}

/// Guards against requests that are counted twice, or not at all: after a permit, a report, the loss of an instance or of
/// its reports, and a false statement.
#[test]
fn occupancy_reports() {
    let mut occupancy = Occupancy::default();
    let count =
        |occupancy: &Occupancy, millis| occupancy.requests(SLOT_TIME, at(millis)).round() as u32;
    let report = |occupancy: &mut Occupancy, reporter, row: &Row, millis| {
        occupancy.record_report(Reporter(reporter), row, SLOT_TIME, at(millis));
    };
    report(&mut occupancy, 1, &row(0, 0, None), 0);
    for _ in 0..4 {
        occupancy.record_permit(at(0));
    }
    assert_eq!(count(&occupancy, 10), 4);
    report(&mut occupancy, 1, &row(4, 4, None), 50);
    assert_eq!(count(&occupancy, 50), 4);
    // Requests of instances that report nothing.
    report(&mut occupancy, 2, &row(1, 1, Some(9)), 60);
    assert_eq!(count(&occupancy, 60), 9);
    report(&mut occupancy, 2, &row(1, 0, Some(0)), 70);
    assert_eq!(
        count(&occupancy, 70),
        5,
        "a false statement takes nothing away"
    );
    occupancy.remove(Reporter(1));
    assert_eq!(count(&occupancy, 70), 1);
    assert_eq!(count(&occupancy, 5000), 0, "reports that stopped");
}

/// Guards against an adapter whose only target is full while others with its model are free, and against a further place
/// that costs another adapter its own.
#[test]
fn further_place_when_strained() {
    let pool = pool::pool();
    let mut ledger = Ledger::default();
    let targets: [&[(usize, &[usize])]; 4] =
        [&[(0, &[1])], &[(0, &[])], &[(0, &[2, 3])], &[(1, &[])]];
    observe(&mut ledger, &targets, 1, at(0));
    for (number, models) in targets.iter().enumerate() {
        let report = order::Report {
            accepted: 0,
            is_busy: false,
            resident: pool::resident_models(models),
            arriving: Vec::new(),
            incarnation: None,
            is_leaving: false,
        };
        ledger.apply_report(&target(number), INCARNATION, &report);
    }
    let wanted = Item {
        adapter: Some(pool::adapter(1)),
        ..request(10).item
    };
    let demand = Demand::default();
    let mut queue = Queue::default();
    let place = |queue: &Queue, has_room: bool| {
        let has_room = |target: &id::Target, inventory: &Inventory| {
            has_room && queue.has_spare_slots(target, inventory, at(100))
        };
        adapters::further_place(&ledger, &pool, &demand, &wanted, has_room, at(100))
    };
    assert!(!queue.is_strained(&wanted, &ledger, at(100)));
    let full = Row {
        target: target(0),
        ..row(SLOTS, 0, None)
    };
    queue.record_report(Reporter(0), &[full], at(100));
    assert!(queue.is_strained(&wanted, &ledger, at(100)));
    let load = Action::LoadAdapter(model(0), pool::adapter(1));
    assert_eq!(place(&queue, true), Some((target(1), load)));
    assert_eq!(place(&queue, false), None);
    let also_full = Row {
        target: target(1),
        ..row(SLOTS, 0, None)
    };
    queue.record_report(Reporter(0), &[also_full], at(100));
    assert_eq!(place(&queue, true), None);
}
