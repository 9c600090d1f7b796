//! Limits of a dispatcher.

#![allow(clippy::unwrap_used, reason = "a helper that fails must fail its test")]

use std::time::Duration;

use buckthornmast_routing::{
    dispatcher::{Completion, Pick, Resource},
    prelude::*,
};
use buckthornmast_types::prelude::*;
use rand::{Rng, SeedableRng, rngs::SmallRng};

const SLOTS: u32 = 32;

fn artifact() -> Artifact {
    "m@1".parse().unwrap()
}

fn report(sequence: u64, running: u32, waiting: u32) -> Report {
    Report {
        target: "t".parse().unwrap(),
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
            artifact: artifact(),
            phase: report::Phase::Ready,
            bytes: Bytes::gib(10),
        }],
        token: id::Token(0),
        load: report::Load {
            running,
            waiting,
            slots: SLOTS,
        },
    }
}

struct World {
    dispatcher: Dispatcher,
    rng: SmallRng,
    now: Point,
    open: Vec<Pick>,
    sequence: u64,
}

impl World {
    fn new(seed: u64) -> Self {
        let config = dispatcher::Config::default();
        let home = "d".parse().unwrap();
        Self {
            dispatcher: Dispatcher::new(config, home, Point::ZERO),
            rng: SmallRng::seed_from_u64(seed),
            now: Point::ZERO,
            open: Vec::new(),
            sequence: 0,
        }
    }

    fn report(&mut self, running: u32, waiting: u32) {
        self.sequence += 1;
        let report = report(self.sequence, running, waiting);
        let age = Duration::from_millis(100);
        assert!(self.dispatcher.observe(report, age, self.now).is_newest);
    }

    fn start(&mut self) {
        let artifact = artifact();
        let resource = Resource::Artifact {
            artifact: &artifact,
            exact: false,
            first_message: None,
        };
        let pick = self.dispatcher.pick(resource, &[], self.now, &mut self.rng);
        self.open.push(pick.unwrap());
    }

    fn answer(&mut self, latency: Duration) {
        let pick = self.open.remove(0);
        let completion = Completion::Answered(latency);
        self.dispatcher.complete(&pick, completion, self.now);
    }

    fn limit(&self) -> u32 {
        let slot = self.dispatcher.table.slot(&"t".parse().unwrap()).unwrap();
        self.dispatcher.limit(slot)
    }
}

/// Guards against a limit that shrinks although the engine has room, because first-token times vary by noise
/// and batch size. Requests would then be refused with 503.
#[test]
fn limit_keeps_slots_of_unloaded_engine() {
    for (seed, millis) in (1..=8).flat_map(|seed| [(seed, 1..5), (seed, 1..2), (seed, 100..300)]) {
        let mut world = World::new(seed);
        let mut reported = Point::ZERO;
        for round in 0..100 {
            world.now = Point::from_millis(round * 1000);
            let in_progress = world.rng.random_range(4..SLOTS);
            if round == 0 {
                world.report(0, 0);
            }
            while world.open.len() > in_progress as usize {
                world.answer(Duration::from_millis(1));
            }
            for _ in 0..60 {
                while world.open.len() < in_progress as usize {
                    world.start();
                }
                if world.now != reported {
                    // The engine has no other clients, so it reports only the requests of this instance.
                    reported = world.now;
                    world.report(in_progress, 0);
                }
                let prompt = f64::from(world.rng.random_range(millis.clone()));
                let jitter = world.rng.random_range(0.5..1.5);
                let batch = 1.0 + f64::from(in_progress) / f64::from(SLOTS);
                world.answer(Duration::from_secs_f64(prompt * jitter * batch / 1000.0));
                let limit = world.limit();
                // The limit may shrink while the engine is nearly full. It is restored by the first report of
                // enough free slots.
                let has_free_slots = in_progress * 4 <= SLOTS * 3;
                assert!(
                    limit >= SLOTS || !has_free_slots,
                    "limit of {limit} in round {round}, seed {seed}, {millis:?} ms"
                );
            }
        }
    }
}

/// Guards against a limit that stays at the reported slots although requests queue at the engine or are refused
/// by it.
#[test]
fn limit_shrinks_when_engine_queues() {
    let mut world = World::new(1);
    world.report(4, 0);
    for _ in 0..50 {
        world.start();
        world.answer(Duration::from_millis(100));
    }
    world.now = Point::from_millis(1000);
    world.report(SLOTS, 20);
    for _ in 0..200 {
        world.start();
        world.answer(Duration::from_millis(1000));
    }
    let queued = world.limit();
    assert!(
        queued < SLOTS,
        "limit of {queued} with a queue at the engine"
    );
    let mut world = World::new(1);
    world.report(4, 0);
    for round in 0..12 {
        world.start();
        if round % 4 == 3 {
            // An answer between the refusals keeps the breaker of the copy closed.
            world.answer(Duration::from_millis(100));
            continue;
        }
        let pick = world.open.remove(0);
        world
            .dispatcher
            .complete(&pick, Completion::Refused, world.now);
    }
    let refused = world.limit();
    assert!(refused < SLOTS, "limit of {refused} after refusals");
}

/// Guards against a target that is left although no other one can go on, or no attempt is left.
#[test]
fn can_move_conditions() {
    let artifact = artifact();
    let resource = Resource::Artifact {
        artifact: &artifact,
        exact: true,
        first_message: None,
    };
    let mut world = World::new(1);
    world.report(0, 0);
    let slot = world.dispatcher.table.slot(&"t".parse().unwrap()).unwrap();
    let mut history = attempt::History::default();
    history.add(attempt::Dispatch::Streaming { next: 1 });
    let now = world.now;
    let deadline = now + Duration::from_secs(10);
    let mut can_move = |tried: &[Slot], history: &attempt::History, deadline| {
        let dispatcher = &mut world.dispatcher;
        dispatcher.can_move(resource, tried, history, true, deadline, now)
    };
    assert!(!can_move(&[slot], &history, deadline));
    assert!(!can_move(&[], &history, now));
    // No call takes anything from the budget.
    assert!((0..100).all(|_| can_move(&[], &history, deadline)));
    for _ in 0..dispatcher::Config::default().max_attempts {
        history.add(attempt::Dispatch::Sent);
    }
    assert!(!can_move(&[], &history, deadline));
    while !matches!(
        world
            .dispatcher
            .decide(&attempt::History::default(), true, deadline, now),
        attempt::Decision::End { .. }
    ) {}
    let history = attempt::History::default();
    let dispatcher = &mut world.dispatcher;
    assert!(!dispatcher.can_move(resource, &[], &history, true, deadline, now));
}
