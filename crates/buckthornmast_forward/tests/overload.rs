//! Simulates a burst of three times the capacity of batching engines in virtual time.
//!
//! Each engine runs one request per slot, all equally long, and starts waiting ones by rank, then by arrival. Answers
//! are counted by the time at which they began.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::time::Duration;

use buckthornmast_forward::{
    admission::{self, Verdict},
    choice::{self, Candidate},
    stats::{Ended, StatsTable},
};
use buckthornmast_types::{id, time::Point};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const ENGINES: usize = 4;
const SLOTS: u32 = 24;
const SERVICE_MS: u64 = 1200;
const OBJECTIVE_MS: u64 = 300;
/// Time without an answer after which callers disconnect, in milliseconds.
const CALLER_WAIT_MS: u64 = 2000;
const STEP_MS: u64 = 10;
const INCARNATION: id::Incarnation = id::Incarnation(0);

/// Capacity of the engines in requests per second.
const CAPACITY_PER_SECOND: f64 = ENGINES as f64 * SLOTS as f64 * 1000.0 / SERVICE_MS as f64;

struct Waiting {
    arrived: u64,
    rank: u8,
}

#[derive(Default)]
struct Engine {
    // End times of the running requests.
    running: Vec<u64>,
    waiting: Vec<Waiting>,
}

/// Results of the requests that arrived within one second.
#[derive(Debug, Default, Clone, Copy)]
struct Second {
    arrived: u32,
    in_time: u32,
    late: u32,
    refused: u32,
}

struct Simulation {
    table: StatsTable,
    engines: Vec<Engine>,
    candidates: Vec<Candidate>,
    random: SmallRng,
    seconds: Vec<Second>,
    has_admission: bool,
}

fn at(millis: u64) -> Point {
    Point::from_millis(100_000 + millis)
}

impl Simulation {
    fn new(seed: u64, has_admission: bool) -> Self {
        let names = (0..ENGINES).map(|number| format!("t{number}").parse().unwrap());
        let candidates = names.map(|target| Candidate {
            target,
            incarnation: INCARNATION,
            slots: SLOTS,
            is_local: true,
        });
        Self {
            table: StatsTable::default(),
            engines: (0..ENGINES).map(|_| Engine::default()).collect(),
            candidates: candidates.collect(),
            random: SmallRng::seed_from_u64(seed),
            seconds: vec![Second::default(); 40],
            has_admission,
        }
    }

    fn arrive(&mut self, now: u64) {
        let second = &mut self.seconds[(now / 1000) as usize];
        second.arrived += 1;
        let query = choice::Query {
            prefix: None,
            tried: &[],
            tie_breaker: self.random.random(),
        };
        let pick = choice::pick(&self.candidates, query, &self.table, at(now)).unwrap();
        let target = &self.candidates[pick.index].target;
        let stats = self.table.get(target, INCARNATION);
        let verdict = admission::decide(&admission::Query {
            load: stats.map_or(0.0, |stats| stats.load(at(now))),
            slots: SLOTS,
            is_late: pick.wait > Duration::from_millis(OBJECTIVE_MS),
            is_beyond_share: false,
            is_plain: false,
        });
        let rank = match verdict {
            Verdict::Refuse if self.has_admission => {
                second.refused += 1;
                return;
            }
            Verdict::Send { rank: Some(rank) } if self.has_admission => rank,
            _ => 5,
        };
        self.table.record_dispatch(target, INCARNATION);
        self.engines[pick.index]
            .waiting
            .push(Waiting { arrived: now, rank });
    }

    fn step(&mut self, now: u64) {
        for number in 0..ENGINES {
            let engine = &mut self.engines[number];
            let target = &self.candidates[number].target;
            let done = engine.running.extract_if(.., |end| *end <= now).count();
            for _ in 0..done {
                let ended = Ended::Answered {
                    first_event_time: Duration::from_millis(30),
                    total_time: Duration::from_millis(SERVICE_MS),
                };
                self.table.record_end(target, INCARNATION, ended, at(now));
            }
            let disconnected = engine
                .waiting
                .extract_if(.., |waiting| now >= waiting.arrived + CALLER_WAIT_MS);
            for _ in disconnected {
                self.table
                    .record_end(target, INCARNATION, Ended::Abandoned, at(now));
            }
            while engine.running.len() < SLOTS as usize && !engine.waiting.is_empty() {
                let first = engine
                    .waiting
                    .iter()
                    .enumerate()
                    .min_by_key(|(_, waiting)| (waiting.rank, waiting.arrived));
                let first = first.map(|(index, _)| index).unwrap();
                let started = engine.waiting.remove(first);
                engine.running.push(now + SERVICE_MS);
                let second = &mut self.seconds[(started.arrived / 1000) as usize];
                if now - started.arrived <= OBJECTIVE_MS {
                    second.in_time += 1;
                } else {
                    second.late += 1;
                }
            }
        }
    }

    /// Simulates 10 s at half the capacity, 10 s at three times the capacity, and 15 s at half of it again.
    fn run(mut self) -> Vec<Second> {
        for now in (0..37_000).step_by(STEP_MS as usize) {
            let factor = match now / 1000 {
                10..20 => 3.0,
                0..35 => 0.5,
                _ => 0.0,
            };
            let expected = CAPACITY_PER_SECOND * factor * STEP_MS as f64 / 1000.0;
            let mut arrivals = expected as u32;
            if self.random.random_bool(expected.fract()) {
                arrivals += 1;
            }
            for _ in 0..arrivals {
                self.arrive(now);
            }
            self.step(now);
        }
        self.seconds
    }
}

fn sum(seconds: &[Second], value: impl Fn(&Second) -> u32) -> f64 {
    f64::from(seconds.iter().map(value).sum::<u32>())
}

/// Guards against a queue so long that all requests in it are late, and which outlasts the burst.
#[test]
fn burst_of_three_times() {
    for seed in 0..4 {
        let seconds = Simulation::new(seed, true).run();
        let before = &seconds[1..10];
        assert_eq!(
            sum(before, |second| second.refused),
            0.0,
            "refused with free slots"
        );
        assert_eq!(sum(before, |second| second.late), 0.0);
        let burst = &seconds[10..20];
        let in_time = sum(burst, |second| second.in_time) / (CAPACITY_PER_SECOND * 10.0);
        println!("seed {seed}: {in_time:.2} of the capacity in time during the burst");
        assert!(in_time > 0.5, "seed {seed}: {in_time:.2}");
        let after = &seconds[23..34];
        let in_time = sum(after, |second| second.in_time) / sum(after, |second| second.arrived);
        assert!(
            in_time > 0.99,
            "seed {seed}: {in_time:.3} in time 3 s after the burst"
        );
    }
}

/// Guards against admission control that serves no more requests in time than an unbounded queue.
#[test]
fn burst_against_plain_queue() {
    let served = |has_admission: bool| {
        let seconds = Simulation::new(1, has_admission).run();
        sum(&seconds[10..23], |second| second.in_time)
    };
    let (with, without) = (served(true), served(false));
    println!(
        "in time during and after the burst: {with} with admission control, {without} without"
    );
    assert!(
        with > 2.0 * without,
        "{with} in time with admission control, {without} without"
    );
}

/// Guards against an organisation beyond its share that fills the queue of a target, and against slots that stay empty
/// because only such an organisation asks.
#[test]
fn decide_beyond_share() {
    let decide = |load: f64, is_beyond_share| {
        admission::decide(&admission::Query {
            load,
            slots: SLOTS,
            is_late: false,
            is_beyond_share,
            is_plain: false,
        })
    };
    let slots = f64::from(SLOTS);
    assert_eq!(decide(slots * 1.6, true), Verdict::Refuse);
    assert_eq!(decide(slots * 1.6, false), Verdict::Send { rank: None });
    assert_eq!(decide(slots - 1.0, true), Verdict::Send { rank: None });
}
