//! Turns of requests at targets, played against a load model of batching engines.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

#[path = "support/engine.rs"]
mod engine;
#[path = "support/pool.rs"]
mod pool;

use std::{collections::HashMap, time::Duration};

use buckthornmast_supply::{
    demand::{Demand, Item},
    ledger::Ledger,
    turns::{Ask, Ticket, Turn, Turns},
};
use buckthornmast_types::time::Point;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use smallvec::{SmallVec, smallvec};

use crate::{
    engine::{Answer, Engine},
    pool::{at, model, observe, service, target},
};

const OBJECTIVE: u64 = 300;
const PATIENCE: u64 = 2000;
const PAUSE: f64 = 150.0;

fn ledger(targets: usize) -> Ledger {
    let mut ledger = Ledger::default();
    let models: &[(usize, &[usize])] = &[(0, &[1])];
    observe(&mut ledger, &vec![models; targets], 1, at(0));
    ledger
}

fn ask(prompt: u32) -> Ask {
    Ask {
        item: Item {
            service: service(),
            model: model(0),
            adapter: None,
        },
        prompt,
        prefix: None,
        objective: Duration::from_millis(OBJECTIVE),
        patience: Duration::from_millis(PATIENCE),
        avoid: SmallVec::new(),
    }
}

/// What became of the callers of a play.
#[derive(Debug, Default)]
struct Played {
    asked: usize,
    on_time: usize,
    late: usize,
    refused: usize,
}

impl Played {
    fn share(&self) -> f64 {
        self.on_time as f64 / self.asked as f64
    }
}

/// Plays callers with long answers and prompts of uneven length; those who come in a burst arrive together.
struct Play {
    engines: Vec<Engine>,
    random: SmallRng,
    rate: f64,
    played: Played,
}

impl Play {
    fn new(seed: u64, engines: usize, rate: f64) -> Self {
        Self {
            engines: vec![Engine::new(64); engines],
            random: SmallRng::seed_from_u64(seed),
            rate,
            played: Played::default(),
        }
    }

    fn arrivals(&mut self, now: f64) -> Vec<Answer> {
        let mut arrivals = Vec::new();
        for _ in 0..3 {
            if self.random.random_bool(self.rate / 3000.0) {
                let draw: f64 = self.random.random();
                let prompt = (-(1.0 - draw).ln() * 600.0).clamp(100.0, 2300.0);
                let events = self.random.random_range(20..80);
                arrivals.push(Answer::new(now, prompt, events));
                self.played.asked += 1;
            }
        }
        arrivals
    }

    fn end(mut self, until: f64) -> Played {
        for engine in &mut self.engines {
            engine.play(until + 20_000.0);
            for answer in &engine.done {
                let first = answer.first - answer.asked;
                if first <= OBJECTIVE as f64 && answer.longest <= PAUSE {
                    self.played.on_time += 1;
                } else {
                    self.played.late += 1;
                }
            }
        }
        self.played
    }

    /// Each request goes to the engine with the fewest at once.
    fn at_once(mut self, millis: u64) -> Played {
        for now in 0..millis {
            let now = now as f64;
            for answer in self.arrivals(now) {
                let least = self.engines.iter_mut().min_by_key(|engine| engine.load());
                least.unwrap().send(answer);
            }
            self.engines.iter_mut().for_each(|engine| engine.play(now));
        }
        self.end(millis as f64)
    }

    /// Each request waits for its turn.
    fn by_turns(mut self, millis: u64) -> Played {
        let ledger = ledger(self.engines.len());
        let demand = Demand::default();
        let mut turns = Turns::default();
        let mut waiting: HashMap<Ticket, Answer> = HashMap::new();
        for now in 0..millis {
            let point = at(now);
            for answer in self.arrivals(now as f64) {
                let (ticket, turn) =
                    turns.ask(ask(answer_prompt(&answer)), &ledger, &demand, point);
                waiting.insert(ticket, answer);
                self.take(&mut waiting, ticket, turn);
            }
            if now.is_multiple_of(5) {
                for (ticket, turn) in turns.poll(&ledger, point) {
                    self.take(&mut waiting, ticket, turn);
                }
            }
            self.engines
                .iter_mut()
                .for_each(|engine| engine.play(now as f64));
        }
        self.end(millis as f64)
    }

    fn take(&mut self, waiting: &mut HashMap<Ticket, Answer>, ticket: Ticket, turn: Turn) {
        match turn {
            Turn::Go(target) => {
                let number: usize = target.as_str()[1..].parse().unwrap();
                self.engines[number].send(waiting.remove(&ticket).unwrap());
            }
            Turn::Refuse(_) => {
                waiting.remove(&ticket);
                self.played.refused += 1;
            }
            Turn::Wait(_) => {}
            Turn::Unknown => panic!("no target"),
        }
    }
}

fn answer_prompt(answer: &Answer) -> u32 {
    answer.prompt() as u32
}

/// Guards against prompts that arrive together and make all running answers late, at a third of what the engines
/// could read.
#[test]
fn play_prompts_by_turns() {
    for seed in 0..4 {
        let at_once = Play::new(seed, 4, 80.0).at_once(30_000);
        let by_turns = Play::new(seed, 4, 80.0).by_turns(30_000);
        println!(
            "seed {seed}: on time {:.3} at once, {:.3} by turns, {by_turns:?}",
            at_once.share(),
            by_turns.share()
        );
        assert!(by_turns.share() > 0.9, "seed {seed}: {by_turns:?}");
        assert!(by_turns.share() > at_once.share(), "seed {seed}");
    }
}

/// Guards against a queue that makes everybody late when more callers come than the engines can answer: those whose
/// turn comes are on time, the others are refused.
#[test]
fn play_overload_by_turns() {
    for seed in 0..4 {
        let at_once = Play::new(seed, 4, 320.0).at_once(20_000);
        let by_turns = Play::new(seed, 4, 320.0).by_turns(20_000);
        println!("seed {seed}: {at_once:?} at once, {by_turns:?} by turns");
        assert!(
            by_turns.on_time > at_once.on_time * 2,
            "seed {seed}: {by_turns:?}, at once {at_once:?}"
        );
        assert!(by_turns.refused > 0, "seed {seed}: {by_turns:?}");
    }
}

/// Guards against an urgent request behind others that have time.
#[test]
fn poll_urgent_first() {
    let ledger = ledger(1);
    let demand = Demand::default();
    let mut turns = Turns::default();
    let patient = Ask {
        objective: Duration::from_millis(4000),
        patience: Duration::from_millis(16_000),
        ..ask(2000)
    };
    let go = |turns: &mut Turns, ask: Ask| turns.ask(ask, &ledger, &demand, at(0));
    let mut order = Vec::new();
    let mut wait = Vec::new();
    for _ in 0..4 {
        wait.push(go(&mut turns, patient.clone()));
    }
    let (urgent, turn) = go(&mut turns, ask(200));
    assert!(matches!(turn, Turn::Wait(_)), "{turn:?}");
    for step in 1..1000 {
        let given = turns.poll(&ledger, at(step * 5));
        order.extend(given.into_iter().map(|(ticket, _)| ticket));
    }
    assert_eq!(order.first(), Some(&urgent), "{order:?}");
    assert_eq!(turns.waiting(), 0);
}

/// Guards against a request at a target that has had it, or without anything that it needs.
#[test]
fn ask_avoids_targets() {
    let ledger = ledger(2);
    let demand = Demand::default();
    let mut turns = Turns::default();
    for number in 0..5 {
        let ask = Ask {
            avoid: smallvec![target(0)],
            ..ask(10)
        };
        let (_, turn) = turns.ask(ask, &ledger, &demand, at(number * 100));
        assert_eq!(turn, Turn::Go(target(1)));
    }
    let nobody = Ask {
        avoid: smallvec![target(0), target(1)],
        ..ask(10)
    };
    let (_, turn) = turns.ask(nobody, &ledger, &demand, at(900));
    assert_eq!(turn, Turn::Unknown);
    let mut missing = ask(10);
    missing.item.model = model(3);
    assert_eq!(
        turns.ask(missing, &ledger, &demand, at(900)).1,
        Turn::Unknown
    );
}

/// Guards against turns that are given to callers who have left, and against callers who wait for longer than they
/// would stay.
#[test]
fn poll_without_those_who_left() {
    let ledger = ledger(1);
    let demand = Demand::default();
    let mut turns = Turns::default();
    let mut waiting = Vec::new();
    for _ in 0..8 {
        let (ticket, turn) = turns.ask(ask(2000), &ledger, &demand, Point::from_millis(5));
        if matches!(turn, Turn::Wait(_)) {
            waiting.push(ticket);
        }
    }
    assert!(waiting.len() > 1, "{}", waiting.len());
    let left = waiting[0];
    turns.leave(left);
    let late = Point::from_millis(PATIENCE + 10);
    let ended = turns.poll(&ledger, late);
    assert!(ended.iter().all(|(ticket, _)| *ticket != left));
    assert!(
        ended
            .iter()
            .all(|(_, turn)| matches!(turn, Turn::Refuse(_))),
        "{ended:?}"
    );
    assert_eq!(ended.len(), waiting.len() - 1);
}
