//! Recovery from an overload, in virtual time against targets of fixed capacity.

#![allow(clippy::unwrap_used, reason = "a helper that fails must fail its test")]

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    time::Duration,
};

use buckthornmast_routing::{admission::Next, prelude::*};
use buckthornmast_types::prelude::*;
use rand::{Rng, SeedableRng, rngs::SmallRng};

const TARGETS: usize = 4;
const SLOTS: u32 = 10;
/// Each target answers about 100 requests a second, all targets together 400.
const SERVICE_TIME: Duration = Duration::from_millis(100);
const NORMAL_REQUESTS_PER_SECOND: f64 = 240.0;
const OVERLOAD_REQUESTS_PER_SECOND: f64 = 1200.0;
const OVERLOAD_START_SECONDS: u64 = 20;
const OVERLOAD_END_SECONDS: u64 = 50;
const DEADLINE: Duration = Duration::from_secs(1);
const CLIENT_ATTEMPTS: u8 = 4;
const DURATION_SECONDS: u64 = 90;

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Attempt { client: usize },
    Done { target: usize, call: usize },
    Timeout { call: usize },
    Report { sequence: u64 },
}

struct Call {
    client: usize,
    deadline: Point,
    sent: Point,
    has_ended: bool,
}

#[derive(Default)]
struct Server {
    running: u32,
    queue: VecDeque<usize>,
}

struct World {
    now: Point,
    events: BinaryHeap<Reverse<(Point, u64, Event)>>,
    /// Number of the last scheduled event; events of equal time run in the order of these numbers.
    event_number: u64,
    rng: SmallRng,
    has_limits: bool,
    attempts: Vec<u8>,
    calls: Vec<Call>,
    servers: Vec<Server>,
    table: Table,
    gate: Gate<usize>,
    adaptive: Vec<limit::Adaptive>,
    in_progress: Vec<u32>,
    model: id::Model,
    artifact: Artifact,
    goodput: Vec<u32>,
}

fn report(target: usize, sequence: u64, server: &Server, artifact: &Artifact) -> Report {
    Report {
        target: format!("t{target}").parse().unwrap(),
        domain: "d".parse().unwrap(),
        kind: "engine".parse().unwrap(),
        service: "s".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        incarnation: id::Incarnation(1),
        sequence,
        is_leaving: false,
        accelerators: 1,
        memory: Bytes::gib(80),
        copies: vec![report::Copy {
            artifact: artifact.clone(),
            phase: report::Phase::Ready,
            bytes: Bytes::gib(10),
        }],
        token: id::Token(0),
        load: report::Load {
            running: server.running,
            waiting: u32::try_from(server.queue.len()).unwrap(),
            slots: SLOTS,
        },
    }
}

impl World {
    fn new(has_limits: bool) -> Self {
        let mut world = Self {
            now: Point::ZERO,
            events: BinaryHeap::new(),
            event_number: 0,
            rng: SmallRng::seed_from_u64(0x5eed_0000_0003),
            has_limits,
            attempts: Vec::new(),
            calls: Vec::new(),
            servers: (0..TARGETS).map(|_| Server::default()).collect(),
            table: Table::new(table::Config::default(), "d".parse().unwrap()),
            gate: Gate::new(admission::Config::default()),
            adaptive: vec![limit::Adaptive::new(limit::Config::default()); TARGETS],
            in_progress: vec![0; TARGETS],
            model: "m".parse().unwrap(),
            artifact: "m@1".parse().unwrap(),
            goodput: vec![0; usize::try_from(DURATION_SECONDS).unwrap() + 1],
        };
        world.schedule(Duration::ZERO, Event::Report { sequence: 1 });
        world.schedule(Duration::ZERO, Event::Arrive);
        world
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.event_number += 1;
        self.events
            .push(Reverse((self.now + after, self.event_number, event)));
    }

    fn run(mut self) -> Vec<u32> {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at >= Point::from_millis(DURATION_SECONDS * 1000) {
                break;
            }
            self.now = at;
            match event {
                Event::Arrive => self.arrive(),
                Event::Attempt { client } => self.attempt(client),
                Event::Done { target, call } => self.done(target, call),
                Event::Timeout { call } => self.timeout(call),
                Event::Report { sequence } => self.report(sequence),
            }
        }
        self.goodput
    }

    fn report(&mut self, sequence: u64) {
        for target in 0..TARGETS {
            let report = report(target, sequence, &self.servers[target], &self.artifact);
            self.table
                .observe(report, Duration::from_millis(100), self.now);
        }
        let sequence = sequence + 1;
        self.schedule(Duration::from_secs(1), Event::Report { sequence });
    }

    fn arrive(&mut self) {
        let second = self.now.0 / 1_000_000;
        let rate = if (OVERLOAD_START_SECONDS..OVERLOAD_END_SECONDS).contains(&second) {
            OVERLOAD_REQUESTS_PER_SECOND
        } else {
            NORMAL_REQUESTS_PER_SECOND
        };
        // The gaps are exponentially distributed; arrivals don't wait for answers.
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate;
        self.schedule(Duration::from_secs_f64(gap), Event::Arrive);
        self.attempts.push(0);
        self.attempt(self.attempts.len() - 1);
    }

    fn attempt(&mut self, client: usize) {
        self.attempts[client] += 1;
        let call = self.calls.len();
        let deadline = self.now + DEADLINE;
        self.calls.push(Call {
            client,
            deadline,
            sent: self.now,
            has_ended: false,
        });
        if !self.has_limits {
            self.schedule(DEADLINE, Event::Timeout { call });
            let target = self.rng.random_range(0..TARGETS);
            return self.send(target, call);
        }
        self.set_capacity();
        let request = AdmissionRequest {
            key: call,
            team: "team".parse().unwrap(),
            priority: Priority::Interactive,
            deadline,
        };
        match self.gate.offer(&self.model, request, self.now) {
            Verdict::Run => {
                self.schedule(DEADLINE, Event::Timeout { call });
                self.dispatch(call);
            }
            Verdict::Queued => self.schedule(DEADLINE, Event::Timeout { call }),
            Verdict::Refused { retry_after, .. } => {
                let spread = 1.0 + self.rng.random::<f64>();
                self.retry(call, retry_after.mul_f64(spread));
            }
        }
    }

    fn set_capacity(&mut self) {
        let capacity = self.adaptive.iter().map(limit::Adaptive::get).sum();
        self.gate.set_capacity(&self.model, capacity);
    }

    /// Ends a call at its caller, which may try again.
    fn retry(&mut self, call: usize, after: Duration) {
        if std::mem::replace(&mut self.calls[call].has_ended, true) {
            return;
        }
        let client = self.calls[call].client;
        if self.attempts[client] < CLIENT_ATTEMPTS {
            self.schedule(after, Event::Attempt { client });
        }
    }

    fn dispatch(&mut self, call: usize) {
        let need = Need::Artifact(&self.artifact);
        let mut candidates = self.table.candidates(need, &[], self.now);
        let (in_progress, adaptive, table) = (&self.in_progress, &self.adaptive, &self.table);
        let index = |slot| -> usize {
            let name = &table.report(slot).unwrap().target;
            name.as_str()[1..].parse().unwrap()
        };
        candidates.retain(|candidate| {
            let target = index(candidate.slot);
            adaptive[target].allows(in_progress[target])
        });
        let rule = PowerOfTwo::default();
        let affinity = &mut choice::Affinity::default();
        let slot = rule.choose(&candidates, None, affinity, self.now, &mut self.rng);
        let Some(slot) = slot else {
            self.gate.finished(&self.model, None);
            return self.retry(call, Duration::from_secs(1));
        };
        let target = index(slot);
        self.in_progress[target] += 1;
        self.table.started(slot, need, self.now);
        self.send(target, call);
    }

    fn send(&mut self, target: usize, call: usize) {
        self.calls[call].sent = self.now;
        self.servers[target].queue.push_back(call);
        self.serve(target);
    }

    /// Starts calls while the target has free slots. It also serves calls whose callers have disconnected.
    fn serve(&mut self, target: usize) {
        while self.servers[target].running < SLOTS {
            let Some(call) = self.servers[target].queue.pop_front() else {
                return;
            };
            self.servers[target].running += 1;
            let time = SERVICE_TIME.mul_f64(self.rng.random_range(0.8..1.2));
            self.schedule(time, Event::Done { target, call });
        }
    }

    fn done(&mut self, target: usize, call: usize) {
        self.servers[target].running -= 1;
        self.serve(target);
        let Call {
            has_ended, sent, ..
        } = self.calls[call];
        if !has_ended {
            self.calls[call].has_ended = true;
            self.goodput[usize::try_from(self.now.0 / 1_000_000).unwrap()] += 1;
        }
        if self.has_limits {
            let latency = self.now.since(sent);
            let name = format!("t{target}").parse().unwrap();
            let slot = self.table.slot(&name).unwrap();
            let need = Need::Artifact(&self.artifact);
            let outcome = table::Outcome::Answered(latency);
            self.table.finished(slot, need, outcome, self.now);
            self.adaptive[target].answered(latency, self.in_progress[target]);
            self.in_progress[target] -= 1;
            self.gate.finished(&self.model, Some(latency));
            self.set_capacity();
            self.dispatch_waiting();
        }
    }

    fn dispatch_waiting(&mut self) {
        while let Some(next) = self.gate.next(&self.model, self.now) {
            match next {
                Next::Run(call) => self.dispatch(call),
                Next::Expired(call) => self.retry(call, Duration::from_secs(1)),
            }
        }
    }

    fn timeout(&mut self, call: usize) {
        if !self.calls[call].has_ended && self.calls[call].deadline <= self.now {
            let pause = self.rng.random_range(0..100);
            self.retry(call, Duration::from_millis(pause));
        }
    }
}

fn mean(goodput: &[u32], seconds: std::ops::Range<u64>) -> f64 {
    let range = usize::try_from(seconds.start).unwrap()..usize::try_from(seconds.end).unwrap();
    let count = u32::try_from(range.len()).unwrap();
    f64::from(goodput[range].iter().sum::<u32>()) / f64::from(count)
}

/// Guards against an overload of 3 times the capacity whose retries and queues keep goodput low after it has
/// ended. The variant without limits shows that the scenario can collapse.
#[test]
fn overload_ends_with_its_cause() {
    let limited = World::new(true).run();
    let unlimited = World::new(false).run();
    for (name, goodput) in [("limits on", &limited), ("limits off", &unlimited)] {
        println!(
            "{name}: answers a second before {:.0}, in the overload {:.0}, 0 to 10 s after it {:.0}, 10 to 20 s {:.0}, 30 to 40 s {:.0}",
            mean(goodput, 10..OVERLOAD_START_SECONDS),
            mean(goodput, OVERLOAD_START_SECONDS + 5..OVERLOAD_END_SECONDS),
            mean(goodput, OVERLOAD_END_SECONDS..OVERLOAD_END_SECONDS + 10),
            mean(
                goodput,
                OVERLOAD_END_SECONDS + 10..OVERLOAD_END_SECONDS + 20
            ),
            mean(goodput, OVERLOAD_END_SECONDS + 30..DURATION_SECONDS),
        );
    }
    let normal = mean(&limited, 10..OVERLOAD_START_SECONDS);
    let in_overload = mean(&limited, OVERLOAD_START_SECONDS + 5..OVERLOAD_END_SECONDS);
    assert!(
        in_overload > 0.8 * 400.0,
        "goodput of {in_overload} in the overload"
    );
    for second in OVERLOAD_END_SECONDS + 10..DURATION_SECONDS {
        let now = mean(&limited, second..second + 1);
        assert!(
            now > 0.75 * normal,
            "goodput of {now} in second {second}, {normal} before the overload"
        );
    }
    let after = mean(&limited, OVERLOAD_END_SECONDS + 10..DURATION_SECONDS);
    assert!(
        after > 0.95 * normal,
        "goodput of {after} after the overload, {normal} before it"
    );
    let collapsed = mean(&unlimited, OVERLOAD_END_SECONDS + 30..DURATION_SECONDS);
    assert!(collapsed < 0.2 * normal, "no collapse without limits");
}
