//! Prefill permits, simulated against a load model of batching engines.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

#[path = "support/engine.rs"]
mod engine;
#[path = "support/pool.rs"]
mod pool;

use std::{collections::HashMap, time::Duration};

use buckthornmast_supply::{
    demand::{Demand, Item},
    ledger::Ledger,
    permits::{Permit, Queue, Request, Ticket},
};
use buckthornmast_types::time::Point;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use smallvec::{SmallVec, smallvec};

use crate::{
    engine::{Answer, Engine},
    pool::{at, model, observe, service, target},
};

const OBJECTIVE_MS: u64 = 300;
const MAX_WAIT_MS: u64 = 2000;
const MAX_EVENT_GAP_MS: f64 = 150.0;

fn ledger(targets: usize) -> Ledger {
    let mut ledger = Ledger::default();
    let models: &[(usize, &[usize])] = &[(0, &[1])];
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
        objective: Duration::from_millis(OBJECTIVE_MS),
        max_wait: Duration::from_millis(MAX_WAIT_MS),
        avoid: SmallVec::new(),
        priority: 1,
        organisation: None,
        answer_tokens: 0,
        prefixes: SmallVec::new(),
    }
}

/// Outcomes of the callers of a simulation.
#[derive(Debug, Default)]
struct Outcomes {
    arrived: usize,
    on_time: usize,
    late: usize,
    refused: usize,
}

impl Outcomes {
    fn on_time_share(&self) -> f64 {
        self.on_time as f64 / self.arrived as f64
    }
}

/// Simulation of callers with long answers and prompts of uneven length, some of which arrive together.
struct Simulation {
    engines: Vec<Engine>,
    random: SmallRng,
    rate: f64,
    outcomes: Outcomes,
}

impl Simulation {
    fn new(seed: u64, engines: usize, rate: f64) -> Self {
        Self {
            engines: vec![Engine::new(64); engines],
            random: SmallRng::seed_from_u64(seed),
            rate,
            outcomes: Outcomes::default(),
        }
    }

    fn arrivals(&mut self, now: f64) -> Vec<Answer> {
        let mut arrivals = Vec::new();
        // Up to three requests arrive in a millisecond.
        for _ in 0..3 {
            if self.random.random_bool(self.rate / 3000.0) {
                let draw: f64 = self.random.random();
                // Prompt lengths in tokens are exponentially distributed between bounds.
                let prompt = (-(1.0 - draw).ln() * 600.0).clamp(100.0, 2300.0);
                let events = self.random.random_range(20..80);
                arrivals.push(Answer::new(now, prompt, events));
                self.outcomes.arrived += 1;
            }
        }
        arrivals
    }

    fn end(mut self, until: f64) -> Outcomes {
        for engine in &mut self.engines {
            engine.run_until(until + 20_000.0);
            for answer in &engine.done {
                let first = answer.first - answer.arrived;
                if first <= OBJECTIVE_MS as f64 && answer.longest_gap <= MAX_EVENT_GAP_MS {
                    self.outcomes.on_time += 1;
                } else {
                    self.outcomes.late += 1;
                }
            }
        }
        self.outcomes
    }

    /// Sends each request at once to the engine with the fewest requests.
    fn without_permits(mut self, millis: u64) -> Outcomes {
        for now in 0..millis {
            let now = now as f64;
            for answer in self.arrivals(now) {
                let least = self.engines.iter_mut().min_by_key(|engine| engine.load());
                least.unwrap().send(answer);
            }
            self.engines
                .iter_mut()
                .for_each(|engine| engine.run_until(now));
        }
        self.end(millis as f64)
    }

    /// Sends each request when it gets a permit.
    fn with_permits(mut self, millis: u64) -> Outcomes {
        let ledger = ledger(self.engines.len());
        let demand = Demand::default();
        let mut permits = Queue::default();
        let mut waiting: HashMap<Ticket, Answer> = HashMap::new();
        for now in 0..millis {
            let point = at(now);
            for answer in self.arrivals(now as f64) {
                let (ticket, permit) =
                    permits.request(request(answer_prompt(&answer)), &ledger, &demand, point);
                waiting.insert(ticket, answer);
                self.apply_permit(&mut waiting, ticket, permit);
            }
            if now.is_multiple_of(5) {
                for (ticket, permit) in permits.poll(&ledger, point) {
                    self.apply_permit(&mut waiting, ticket, permit);
                }
            }
            self.engines
                .iter_mut()
                .for_each(|engine| engine.run_until(now as f64));
        }
        self.end(millis as f64)
    }

    fn apply_permit(
        &mut self,
        waiting: &mut HashMap<Ticket, Answer>,
        ticket: Ticket,
        permit: Permit,
    ) {
        match permit {
            Permit::Go(target) => {
                let number: usize = target.as_str()[1..].parse().unwrap();
                self.engines[number].send(waiting.remove(&ticket).unwrap());
            }
            Permit::Refuse(_) => {
                waiting.remove(&ticket);
                self.outcomes.refused += 1;
            }
            Permit::Wait(_) => {}
            Permit::Limited(target, _) => panic!("{target} states no limit"),
            Permit::Unknown => panic!("no target has the model"),
        }
    }
}

fn answer_prompt(answer: &Answer) -> u32 {
    answer.prompt() as u32
}

/// Guards against prompts that arrive together and make all running answers late, at a third of the prompt tokens that
/// the engines could read.
#[test]
fn simulation_prompts() {
    for seed in 0..4 {
        let without_permits = Simulation::new(seed, 4, 80.0).without_permits(30_000);
        let with_permits = Simulation::new(seed, 4, 80.0).with_permits(30_000);
        println!(
            "seed {seed}: on time {:.3} without permits, {:.3} with permits, {with_permits:?}",
            without_permits.on_time_share(),
            with_permits.on_time_share()
        );
        assert!(
            with_permits.on_time_share() > 0.9,
            "seed {seed}: {with_permits:?}"
        );
        assert!(
            with_permits.on_time_share() > without_permits.on_time_share(),
            "seed {seed}"
        );
    }
}

/// Guards against a queue that makes all callers late when there are more than the engines can answer: requests with a
/// permit are on time, the others are refused.
#[test]
fn simulation_overload() {
    for seed in 0..4 {
        let without_permits = Simulation::new(seed, 4, 320.0).without_permits(20_000);
        let with_permits = Simulation::new(seed, 4, 320.0).with_permits(20_000);
        println!("seed {seed}: {without_permits:?} without permits, {with_permits:?} with permits");
        assert!(
            with_permits.on_time > without_permits.on_time * 2,
            "seed {seed}: {with_permits:?}; without permits {without_permits:?}"
        );
        assert!(with_permits.refused > 0, "seed {seed}: {with_permits:?}");
    }
}

/// Guards against an urgent request that waits behind others with later deadlines.
#[test]
fn poll_urgent_first() {
    let ledger = ledger(1);
    let demand = Demand::default();
    let mut permits = Queue::default();
    let relaxed = Request {
        objective: Duration::from_millis(4000),
        max_wait: Duration::from_millis(16_000),
        ..request(2000)
    };
    let send =
        |permits: &mut Queue, request: Request| permits.request(request, &ledger, &demand, at(0));
    let mut order = Vec::new();
    let mut relaxed_answers = Vec::new();
    for _ in 0..4 {
        relaxed_answers.push(send(&mut permits, relaxed.clone()));
    }
    let (urgent, permit) = send(&mut permits, request(200));
    assert!(matches!(permit, Permit::Wait(_)), "{permit:?}");
    for step in 1..1000 {
        let answers = permits.poll(&ledger, at(step * 5));
        order.extend(answers.into_iter().map(|(ticket, _)| ticket));
    }
    assert_eq!(order.first(), Some(&urgent), "{order:?}");
    assert_eq!(permits.waiting(), 0);
}

/// Guards against a permit for a target that has already had the request, or that lacks the model.
#[test]
fn request_avoids_targets() {
    let ledger = ledger(2);
    let demand = Demand::default();
    let mut permits = Queue::default();
    for number in 0..5 {
        let request = Request {
            avoid: smallvec![target(0)],
            ..request(10)
        };
        let (_, permit) = permits.request(request, &ledger, &demand, at(number * 100));
        assert_eq!(permit, Permit::Go(target(1)));
    }
    let all_avoided = Request {
        avoid: smallvec![target(0), target(1)],
        ..request(10)
    };
    let (_, permit) = permits.request(all_avoided, &ledger, &demand, at(900));
    assert_eq!(permit, Permit::Unknown);
    let mut missing = request(10);
    missing.item.model = model(3);
    assert_eq!(
        permits.request(missing, &ledger, &demand, at(900)).1,
        Permit::Unknown
    );
}

/// Guards against permits that are granted to callers that have disconnected, and against callers that wait longer than
/// their wait limit.
#[test]
fn poll_after_leave() {
    let ledger = ledger(1);
    let demand = Demand::default();
    let mut permits = Queue::default();
    let mut waiting = Vec::new();
    for _ in 0..8 {
        let (ticket, permit) =
            permits.request(request(2000), &ledger, &demand, Point::from_millis(5));
        if matches!(permit, Permit::Wait(_)) {
            waiting.push(ticket);
        }
    }
    assert!(waiting.len() > 1, "{}", waiting.len());
    let left = waiting[0];
    permits.cancel(left);
    let late = Point::from_millis(MAX_WAIT_MS + 10);
    let ended = permits.poll(&ledger, late);
    assert!(ended.iter().all(|(ticket, _)| *ticket != left));
    assert!(
        ended
            .iter()
            .all(|(_, permit)| matches!(permit, Permit::Refuse(_))),
        "{ended:?}"
    );
    assert_eq!(ended.len(), waiting.len() - 1);
}

/// Guards against permits for targets that no longer have the model, and against none for one that has just got it.
#[test]
fn request_after_placement_changes() {
    let demand = Demand::default();
    let mut permits = Queue::default();
    let mut ledger = Ledger::default();
    let with_model: &[(usize, &[usize])] = &[(0, &[])];
    let without_model: &[(usize, &[usize])] = &[(1, &[])];
    let mut play = |targets: &[&[(usize, &[usize])]], sequence, now| {
        ledger = Ledger::default();
        observe(&mut ledger, targets, sequence, now);
        permits.request(request(10), &ledger, &demand, now).1
    };
    assert_eq!(
        play(&[with_model, without_model], 1, at(0)),
        Permit::Go(target(0))
    );
    // The next plays are within the lifetime of what is known from this one.
    assert_eq!(
        play(&[without_model, without_model], 2, at(1)),
        Permit::Unknown
    );
    assert_eq!(
        play(&[without_model, with_model], 3, at(2)),
        Permit::Go(target(1))
    );
}
