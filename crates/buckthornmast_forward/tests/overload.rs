//! Simulates a burst of three times the capacity of batching engines in virtual time.
//!
//! Each engine runs one request per slot, all equally long, and starts waiting ones by rank, then by arrival. Answers
//! are counted by the time at which they began.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::time::Duration;

use buckthornmast_forward::{
    admission::{self, Verdict},
    board::{Board, Ended},
    choice::{self, Candidate},
};
use buckthornmast_types::{id, time::Point};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const ENGINES: usize = 4;
const SLOTS: u32 = 24;
const SERVICE: u64 = 1200;
const OBJECTIVE: u64 = 300;
/// Time without an answer after which callers disconnect, in milliseconds.
const LEAVE: u64 = 2000;
const STEP: u64 = 10;
const BORN: id::Incarnation = id::Incarnation(0);

/// Capacity of the engines in requests per second.
const CAPACITY: f64 = ENGINES as f64 * SLOTS as f64 * 1000.0 / SERVICE as f64;

struct Waiting {
    asked: u64,
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
    asked: u32,
    in_time: u32,
    late: u32,
    refused: u32,
}

struct Play {
    board: Board,
    engines: Vec<Engine>,
    candidates: Vec<Candidate>,
    random: SmallRng,
    seconds: Vec<Second>,
    decides: bool,
}

fn at(millis: u64) -> Point {
    Point::from_millis(100_000 + millis)
}

impl Play {
    fn new(seed: u64, decides: bool) -> Self {
        let names = (0..ENGINES).map(|number| format!("t{number}").parse().unwrap());
        let candidates = names.map(|target| Candidate {
            target,
            born: BORN,
            slots: SLOTS,
            is_near: true,
        });
        Self {
            board: Board::default(),
            engines: (0..ENGINES).map(|_| Engine::default()).collect(),
            candidates: candidates.collect(),
            random: SmallRng::seed_from_u64(seed),
            seconds: vec![Second::default(); 40],
            decides,
        }
    }

    fn ask(&mut self, now: u64) {
        let second = &mut self.seconds[(now / 1000) as usize];
        second.asked += 1;
        let ask = choice::Ask {
            prefix: None,
            tried: &[],
            draw: self.random.random(),
        };
        let pick = choice::pick(&self.candidates, ask, &self.board, at(now)).unwrap();
        let target = &self.candidates[pick.index].target;
        let lane = self.board.lane(target, BORN);
        let verdict = admission::decide(&admission::Ask {
            load: lane.map_or(0.0, |lane| lane.load(at(now))),
            slots: SLOTS,
            is_late: pick.wait > Duration::from_millis(OBJECTIVE),
            is_plain: false,
        });
        let rank = match verdict {
            Verdict::Refuse if self.decides => {
                second.refused += 1;
                return;
            }
            Verdict::Send { rank: Some(rank) } if self.decides => rank,
            _ => 5,
        };
        self.board.started(target, BORN);
        self.engines[pick.index]
            .waiting
            .push(Waiting { asked: now, rank });
    }

    fn step(&mut self, now: u64) {
        for number in 0..ENGINES {
            let engine = &mut self.engines[number];
            let target = &self.candidates[number].target;
            let done = engine.running.extract_if(.., |end| *end <= now).count();
            for _ in 0..done {
                let ended = Ended::Answered {
                    first: Duration::from_millis(30),
                    whole: Duration::from_millis(SERVICE),
                };
                self.board.ended(target, BORN, ended, at(now));
            }
            let left = engine
                .waiting
                .extract_if(.., |waiting| now >= waiting.asked + LEAVE);
            for _ in left {
                self.board.ended(target, BORN, Ended::Abandoned, at(now));
            }
            while engine.running.len() < SLOTS as usize && !engine.waiting.is_empty() {
                let first = engine
                    .waiting
                    .iter()
                    .enumerate()
                    .min_by_key(|(_, waiting)| (waiting.rank, waiting.asked));
                let first = first.map(|(index, _)| index).unwrap();
                let started = engine.waiting.remove(first);
                engine.running.push(now + SERVICE);
                let second = &mut self.seconds[(started.asked / 1000) as usize];
                if now - started.asked <= OBJECTIVE {
                    second.in_time += 1;
                } else {
                    second.late += 1;
                }
            }
        }
    }

    /// Simulates 10 s at half the capacity, 10 s at three times the capacity, and 15 s at half of it again.
    fn run(mut self) -> Vec<Second> {
        for now in (0..37_000).step_by(STEP as usize) {
            let factor = match now / 1000 {
                10..20 => 3.0,
                0..35 => 0.5,
                _ => 0.0,
            };
            let expected = CAPACITY * factor * STEP as f64 / 1000.0;
            let mut arrivals = expected as u32;
            if self.random.random_bool(expected.fract()) {
                arrivals += 1;
            }
            for _ in 0..arrivals {
                self.ask(now);
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
        let seconds = Play::new(seed, true).run();
        let before = &seconds[1..10];
        assert_eq!(
            sum(before, |second| second.refused),
            0.0,
            "refused with free slots"
        );
        assert_eq!(sum(before, |second| second.late), 0.0);
        let burst = &seconds[10..20];
        let in_time = sum(burst, |second| second.in_time) / (CAPACITY * 10.0);
        println!("seed {seed}: {in_time:.2} of the capacity in time during the burst");
        assert!(in_time > 0.5, "seed {seed}: {in_time:.2}");
        let after = &seconds[23..34];
        let in_time = sum(after, |second| second.in_time) / sum(after, |second| second.asked);
        assert!(
            in_time > 0.99,
            "seed {seed}: {in_time:.3} in time 3 s after the burst"
        );
    }
}

/// Guards against admission control that serves no more requests in time than an unbounded queue.
#[test]
fn burst_against_plain_queue() {
    let served = |decides: bool| {
        let seconds = Play::new(1, decides).run();
        sum(&seconds[10..23], |second| second.in_time)
    };
    let (with, without) = (served(true), served(false));
    println!("in time during and after the burst: {with} with admission control, {without} without");
    assert!(
        with > 2.0 * without,
        "{with} in time with admission control, {without} without"
    );
}
