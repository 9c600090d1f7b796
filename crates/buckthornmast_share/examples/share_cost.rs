//! Measures the leader's processor time for requests that wait: 820 models, 467 targets, 1,000 organisations, 10,000
//! waiting requests.
//!
//! `cargo run --release -p buckthornmast_share --example share_cost`
#![allow(clippy::unwrap_used, reason = "a measurement may panic")]

use std::{
    collections::HashSet,
    time::{Duration, Instant},
};

use buckthornmast_share::prelude::*;
use buckthornmast_types::{id, time::Point};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const MODELS: u32 = 820;
const ORGANISATIONS: usize = 1000;
const WAITING: usize = 10_000;
const STEP: Duration = Duration::from_millis(5);
const STEPS: u32 = 2000;
/// Models whose targets get room in a step: 467 targets that take some ten prompts a second each.
const OPEN: usize = 25;

fn main() {
    let mut random = SmallRng::seed_from_u64(1);
    let organisations: Vec<id::Organisation> = (0..ORGANISATIONS)
        .map(|number| format!("organisation-{number}").parse().unwrap())
        .collect();
    let mut scheduler: Scheduler<u32, u32> = Scheduler::default();
    scheduler.policy = Policy::Share;
    let mut now = Point::from_millis(10_000);
    let mut number = 0;
    let mut reviewed_at = now;
    let mut times = [Duration::ZERO; 3];
    let mut events = [0_u32; 3];
    for step in 0..STEPS {
        now = now + STEP;
        let started = Instant::now();
        while scheduler.len() < WAITING {
            let group = random.random_range(0..MODELS);
            let priority = random.random_range(0..3);
            let entry = Entry {
                group,
                flow: Flow {
                    organisation: Some(
                        organisations[random.random_range(0..ORGANISATIONS)].clone(),
                    ),
                    priority,
                },
                cost: Cost::of_tokens(random.random_range(20..2000), 100),
                work: Duration::from_millis(20),
                deadline: now + Duration::from_secs(1 + 5 * u64::from(priority)),
                is_late: false,
            };
            std::hint::black_box(scheduler.ahead(&entry, now));
            number += 1;
            scheduler.insert(number, entry, group);
            events[0] += u32::from(step > 0);
        }
        if step > 0 {
            times[0] += started.elapsed();
        }
        let open: HashSet<u32> = (0..OPEN).map(|_| random.random_range(0..MODELS)).collect();
        let mut taken = HashSet::new();
        let started = Instant::now();
        let left = scheduler.dispatch(
            now,
            |group| open.contains(group),
            |_, group| {
                if taken.insert(*group) {
                    Offer::Taken
                } else {
                    Offer::Full
                }
            },
        );
        times[1] += started.elapsed();
        events[1] += u32::try_from(left.len()).unwrap();
        if now.since(reviewed_at) >= scheduler.review_interval() {
            reviewed_at = now;
            let started = Instant::now();
            let refused = scheduler.review(now, |_, outlook| {
                outlook.is_late || outlook.ahead.work > Duration::from_secs(2)
            });
            times[2] += started.elapsed();
            events[2] += u32::try_from(refused.len()).unwrap();
        }
    }
    let total: Duration = times.iter().sum();
    for (name, (time, events)) in ["arrivals", "permits", "refusals"]
        .iter()
        .zip(times.iter().zip(events))
    {
        let each = time.as_secs_f64() * 1e6 / f64::from(events.max(1));
        println!("{name}: {events}, {each:.1} us each");
    }
    let events: u32 = events.iter().sum();
    let each = total.as_secs_f64() * 1e6 / f64::from(events);
    println!("all: {events} events, {each:.1} us each");
}
